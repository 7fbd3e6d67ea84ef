//! What a session must not miss: its own writes, and what it has read.
//!
//! One position for everything would be enough, and is what the token carries.
//! But after a write, or a read from the primary, it keeps a session off all
//! replicas for as long as they lag. A kind of read whose operator vouches that
//! only writes to its own tables concern it (`own_writes = "tables"`) is kept
//! apart: it must meet the session's writes to these tables, and what it has read
//! from replicas. What it has read from the primary does not count: a session
//! that looks often would never leave the primary again. So such a kind may see
//! time go back after a read from the primary, by at most its staleness bound.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::position::Position;

/// What an exchange reads or writes, as far as floors are concerned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scope {
    /// The declared kind of read.
    pub read_kind: Option<Arc<str>>,
    /// The same, where it is kept apart.
    pub separate_kind: Option<Arc<str>>,
    pub tables: BTreeSet<Arc<str>>,
    /// Only ends a transaction.
    pub ends_transaction: bool,
}

/// The floors of one session.
#[derive(Clone, Debug, Default)]
pub struct Floors {
    /// Holds for every read. None: the session came without a token.
    base: Option<Position>,
    /// What reads of no kind kept apart have seen.
    reads: Position,
    /// Own writes by table.
    tables: HashMap<Arc<str>, Position>,
    /// What reads have seen, by kind kept apart.
    kinds: HashMap<Arc<str>, Position>,
    /// Tables written in the open transaction; none within when not all are known.
    open: Option<BTreeSet<Arc<str>>>,
    record_pending_write: bool,
}

impl Floors {
    pub fn new(base: Option<Position>) -> Self {
        Self {
            base,
            ..Self::default()
        }
    }

    /// Floor for an exchange; none while it is unknown.
    pub fn floor_for(&self, scope: &Scope) -> Option<Position> {
        let base = self.base?;
        let Some(kind) = &scope.separate_kind else {
            let own = self.tables.values().copied();
            return Some(own.fold(base.join(self.reads), Position::join));
        };
        let own = scope
            .tables
            .iter()
            .filter_map(|table| self.tables.get(table));
        let floor = own.copied().fold(base, Position::join);
        let seen = self.kinds.get(kind).copied().unwrap_or_default();
        Some(floor.join(seen))
    }

    /// Everything in one position, for the token.
    pub fn token(&self) -> Option<Position> {
        let all = self.floor_for(&Scope::default())?;
        Some(self.kinds.values().copied().fold(all, Position::join))
    }

    /// Takes a token in the middle of a session.
    pub fn raise(&mut self, position: Position) {
        self.base = Some(self.base.unwrap_or_default().join(position));
    }

    /// The floor that was handed in is not possible: the session starts anew.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// A read's answer reached `position`, at a replica or not.
    pub fn record_read(&mut self, scope: &Scope, position: Position, replica: bool) {
        if self.base.is_none() {
            // The first answer settles the unknown floor.
            self.base = Some(position);
            return;
        }
        match &scope.separate_kind {
            None => self.reads = self.reads.join(position),
            Some(_) if !replica => {}
            Some(kind) => {
                let seen = self.kinds.entry(kind.clone()).or_default();
                *seen = seen.join(position);
            }
        }
    }

    /// A statement that may write was run in a transaction that is still open.
    pub fn record_pending_write(&mut self, scope: &Scope) {
        if scope.ends_transaction {
            return;
        }
        let before = match self.record_pending_write {
            true => self.open.take(),
            false => Some(BTreeSet::new()),
        };
        self.record_pending_write = true;
        self.open = before
            .filter(|_| !scope.tables.is_empty())
            .map(|tables| tables.union(&scope.tables).cloned().collect());
    }

    /// What was written since the last call is acknowledged at `position`.
    pub fn acknowledge_writes(&mut self, position: Position) {
        if !self.record_pending_write {
            return self.record_read(&Scope::default(), position, false);
        }
        let tables = self.open.take().unwrap_or_default();
        self.record_pending_write = false;
        if tables.is_empty() {
            self.raise(position);
            return;
        }
        for table in tables {
            let floor = self.tables.entry(table).or_default();
            *floor = floor.join(position);
        }
    }

    /// The open transaction ended without an acknowledged write.
    pub fn discard_pending_writes(&mut self) {
        self.open = None;
        self.record_pending_write = false;
    }
}
