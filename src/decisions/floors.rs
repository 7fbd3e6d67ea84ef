//! Positions that a session's reads must see: its own writes, and what it has read before.
//!
//! One position for all reads would be enough, and is what the token carries. But after a
//! write, or a read from the primary, it keeps the session off all replicas for as long as they
//! lag. A kind of read for which the operator declares that only writes to its own tables
//! matter (`own_writes = "tables"`) is therefore tracked separately: it must see the session's
//! writes to these tables, and what earlier reads of the kind saw on replicas. Its reads from
//! the primary don't count, or a session that reads often would never return to a replica. So
//! such a kind may go back in time after a read from the primary, by at most its staleness
//! bound.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::position::Position;

/// What an exchange reads or writes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scope {
    /// The declared kind of read.
    pub read_kind: Option<Arc<str>>,
    /// The declared kind of read, if it is tracked separately.
    pub separate_kind: Option<Arc<str>>,
    pub tables: BTreeSet<Arc<str>>,
    /// Whether the exchange only ends a transaction.
    pub ends_transaction: bool,
}

/// The floors of one session.
#[derive(Clone, Debug, Default)]
pub struct Floors {
    /// Floor for every read; none while it is unknown, in a session without a token.
    base: Option<Position>,
    /// What reads have seen that are not tracked separately.
    reads: Position,
    /// The session's writes, by table.
    writes_by_table: HashMap<Arc<str>, Position>,
    /// What reads have seen, by separately tracked kind.
    reads_by_kind: HashMap<Arc<str>, Position>,
    /// Tables written in the open transaction; none if not all of them are known.
    pending_tables: Option<BTreeSet<Arc<str>>>,
    has_pending_writes: bool,
}

impl Floors {
    pub fn new(base: Option<Position>) -> Self {
        Self {
            base,
            ..Self::default()
        }
    }

    /// Returns the floor for an exchange, or none while it is unknown.
    pub fn floor_for(&self, scope: &Scope) -> Option<Position> {
        let base = self.base?;
        let Some(kind) = &scope.separate_kind else {
            let writes = self.writes_by_table.values().copied();
            return Some(writes.fold(base.join(self.reads), Position::join));
        };
        let writes = scope
            .tables
            .iter()
            .filter_map(|table| self.writes_by_table.get(table));
        let floor = writes.copied().fold(base, Position::join);
        let seen = self.reads_by_kind.get(kind).copied().unwrap_or_default();
        Some(floor.join(seen))
    }

    /// Returns the least position that covers all floors, for the token.
    pub fn token(&self) -> Option<Position> {
        let floor = self.floor_for(&Scope::default())?;
        Some(
            self.reads_by_kind
                .values()
                .copied()
                .fold(floor, Position::join),
        )
    }

    /// Raises the floor for every read, as for a token received during the session.
    pub fn raise(&mut self, position: Position) {
        self.base = Some(self.base.unwrap_or_default().join(position));
    }

    /// Drops all floors, since the one that the caller handed in can't be reached.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Records the position that a read saw, and whether a replica answered it.
    pub fn record_read(&mut self, scope: &Scope, position: Position, replica: bool) {
        if self.base.is_none() {
            // The first answer sets the unknown floor.
            self.base = Some(position);
            return;
        }
        match &scope.separate_kind {
            None => self.reads = self.reads.join(position),
            Some(_) if !replica => {}
            Some(kind) => {
                let seen = self.reads_by_kind.entry(kind.clone()).or_default();
                *seen = seen.join(position);
            }
        }
    }

    /// Records a statement that may write in a transaction that is not committed yet.
    pub fn record_pending_write(&mut self, scope: &Scope) {
        if scope.ends_transaction {
            return;
        }
        let before = match self.has_pending_writes {
            true => self.pending_tables.take(),
            false => Some(BTreeSet::new()),
        };
        self.has_pending_writes = true;
        self.pending_tables = before
            .filter(|_| !scope.tables.is_empty())
            .map(|tables| tables.union(&scope.tables).cloned().collect());
    }

    /// Raises the floors of the tables with pending writes, which are acknowledged at
    /// `position`. Without pending writes, the position counts as one read from the primary.
    pub fn acknowledge_writes(&mut self, position: Position) {
        if !self.has_pending_writes {
            return self.record_read(&Scope::default(), position, false);
        }
        let tables = self.pending_tables.take().unwrap_or_default();
        self.has_pending_writes = false;
        if tables.is_empty() {
            self.raise(position);
            return;
        }
        for table in tables {
            let floor = self.writes_by_table.entry(table).or_default();
            *floor = floor.join(position);
        }
    }

    /// Discards pending writes that were not acknowledged before their transaction ended.
    pub fn discard_pending_writes(&mut self) {
        self.pending_tables = None;
        self.has_pending_writes = false;
    }
}
