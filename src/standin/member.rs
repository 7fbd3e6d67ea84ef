//! A stand-in member: its log, its terms and its replication.
//!
//! The log holds whole transactions as statements with their parameters. A
//! replica takes entries from the primary's log (`ship`), and applies them to
//! its own engine after a settable lag. The log and the promised term stand for
//! what a real member has on its disk: they live as long as the process.

use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rusqlite::types::Value;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::engine::{Engine, Fault, Prepared, Verb};
use super::faults::Gate;
use crate::borders::member::{MemberError, Role, Status, Stream};
use crate::decisions::position::Position;
use crate::declarations::resource::Address;

/// A silent stream is one without a word for this long.
pub const STREAM_SILENT: Duration = Duration::from_millis(400);

/// Settings of one stand-in member.
#[derive(Clone, Debug)]
pub struct Settings {
    pub ip: IpAddr,
    pub sql_port: u16,
    pub control_port: u16,
    /// Statements that run at once.
    pub slots: usize,
    /// Connections taken at once.
    pub connections: usize,
    /// Time a new connection takes, in milliseconds.
    pub connect_ms: u64,
    /// Time a statement takes besides the engine's own, in milliseconds.
    pub service_ms: u64,
    /// Time between receiving an entry and applying it, in milliseconds.
    pub lag_ms: u64,
    /// Starts as primary of term 1.
    pub primary: bool,
}

/// One statement of a transaction as replicated.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    pub sql: String,
    pub params: Vec<Cell>,
}

/// A parameter as replicated.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Cell {
    Null,
    Integer(i64),
    Real(f64),
    Text(String),
    Blob(Vec<u8>),
}

/// One transaction in the log. A primary opens its term with an empty one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Entry {
    pub term: u64,
    pub changes: Vec<Change>,
}

/// What a primary ships to a replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    pub term: u64,
    /// Start of each term in the primary's log: (term, first index).
    pub runs: Vec<(u64, u64)>,
    pub first: u64,
    pub entries: Vec<Entry>,
}

struct Received {
    entry: Entry,
    at: Instant,
}

/// The state a member keeps, guarded by one lock.
pub struct State {
    pub promised: u64,
    pub role: Role,
    /// Term this member leads or has adopted the history of.
    pub term: u64,
    pub primary: Option<Address>,
    log: Vec<Received>,
    pub applied: u64,
    pub engine: Engine,
    pub stream: Stream,
    pub heard: Instant,
    pub open: usize,
    pub lag: Duration,
}

impl State {
    pub fn last(&self) -> Position {
        let term = self.log.last().map_or(0, |received| received.entry.term);
        Position::new(term, self.log.len() as u64)
    }

    pub fn applied_position(&self) -> Position {
        let newest = self.applied.checked_sub(1).map(|i| i as usize);
        let term = newest.map_or(0, |i| self.log[i].entry.term);
        Position::new(term, self.applied)
    }

    /// Whether this member may take writes now.
    pub fn leads(&self) -> bool {
        self.role == Role::Primary && self.promised == self.term
    }

    pub fn status(&self) -> Status {
        Status {
            promised: self.promised,
            role: self.role,
            log: self.last(),
            applied: self.applied_position(),
            stream: self.stream_now(),
        }
    }

    fn stream_now(&self) -> Stream {
        match self.stream {
            _ if self.role == Role::Primary => Stream::None,
            Stream::Live if self.heard.elapsed() > STREAM_SILENT => Stream::Silent,
            other => other,
        }
    }

    fn append(&mut self, changes: Vec<Change>) {
        let entry = Entry {
            term: self.term,
            changes,
        };
        let at = Instant::now();
        self.log.push(Received { entry, at });
        self.applied = self.log.len() as u64;
    }

    fn runs(&self) -> Vec<(u64, u64)> {
        let mut runs: Vec<(u64, u64)> = Vec::new();
        for (i, received) in self.log.iter().enumerate() {
            if runs.last().is_none_or(|run| run.0 != received.entry.term) {
                runs.push((received.entry.term, i as u64 + 1));
            }
        }
        runs
    }

    /// Length of the prefix shared with a log of these runs and `length` entries.
    fn shared(&self, runs: &[(u64, u64)], length: u64) -> u64 {
        let term_at = |index: u64| {
            let run = runs.iter().rev().find(|run| run.1 <= index);
            run.map_or(0, |run| run.0)
        };
        let most = length.min(self.log.len() as u64);
        let same = |index: &u64| self.log[*index as usize - 1].entry.term == term_at(*index);
        (1..=most).rev().find(same).unwrap_or(0)
    }

    fn truncate(&mut self, length: u64) -> Result<(), Fault> {
        if length >= self.log.len() as u64 {
            return Ok(());
        }
        self.log.truncate(length as usize);
        if self.applied <= length {
            return Ok(());
        }
        let engine = Engine::open().map_err(|error| Fault::new("XX000", error.to_string()))?;
        self.engine = engine;
        self.applied = 0;
        while self.applied < length {
            self.apply_next()?;
        }
        Ok(())
    }

    fn apply_next(&mut self) -> Result<(), Fault> {
        let changes = self.log[self.applied as usize].entry.changes.clone();
        for change in &changes {
            let prepared = self.engine.prepare(&change.sql, &[])?;
            let params: Vec<Value> = change.params.iter().map(Cell::value).collect();
            self.engine.run(&prepared, &params)?;
        }
        self.applied += 1;
        Ok(())
    }
}

impl Cell {
    fn value(&self) -> Value {
        match self {
            Cell::Null => Value::Null,
            Cell::Integer(number) => Value::Integer(*number),
            Cell::Real(number) => Value::Real(*number),
            Cell::Text(text) => Value::Text(text.clone()),
            Cell::Blob(bytes) => Value::Blob(bytes.clone()),
        }
    }

    pub fn from_value(value: &Value) -> Self {
        match value {
            Value::Null => Cell::Null,
            Value::Integer(number) => Cell::Integer(*number),
            Value::Real(number) => Cell::Real(*number),
            Value::Text(text) => Cell::Text(text.clone()),
            Value::Blob(bytes) => Cell::Blob(bytes.clone()),
        }
    }
}

/// One member, shared by its sessions, its control and its replication.
pub struct Member {
    pub settings: Settings,
    pub gate: Gate,
    state: Mutex<State>,
    /// Held by a transaction from its first statement to its end.
    pub lock: Arc<tokio::sync::Mutex<()>>,
    pub slots: tokio::sync::Semaphore,
    grown: Notify,
    pub refollow: Notify,
}

impl Member {
    pub fn new(settings: Settings) -> rusqlite::Result<Arc<Self>> {
        let mut state = State {
            promised: 0,
            role: Role::Replica,
            term: 0,
            primary: None,
            log: Vec::new(),
            applied: 0,
            engine: Engine::open()?,
            stream: Stream::Broken,
            heard: Instant::now(),
            open: 0,
            lag: Duration::from_millis(settings.lag_ms),
        };
        if settings.primary {
            state.promised = 1;
            state.term = 1;
            state.role = Role::Primary;
            state.append(Vec::new());
        }
        Ok(Arc::new(Self {
            slots: tokio::sync::Semaphore::new(settings.slots),
            gate: Gate::new(settings.ip),
            settings,
            state: Mutex::new(state),
            lock: Arc::default(),
            grown: Notify::new(),
            refollow: Notify::new(),
        }))
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the lock")
    }

    /// Runs one statement inside the open SQLite transaction.
    pub fn run(
        &self,
        prepared: &Prepared,
        params: &[Value],
    ) -> Result<super::engine::Answer, Fault> {
        let mut state = self.state();
        if prepared.verb == Verb::Write && !state.leads() {
            return Err(not_primary());
        }
        state.engine.run(prepared, params)
    }

    /// Ends the open SQLite transaction and appends what it changed.
    pub fn commit(&self, changes: Vec<Change>) -> Result<(), Fault> {
        let mut state = self.state();
        if changes.is_empty() {
            return state.engine.control("COMMIT");
        }
        if !state.leads() {
            state.engine.control("ROLLBACK")?;
            return Err(not_primary());
        }
        state.engine.control("COMMIT")?;
        state.append(changes);
        drop(state);
        self.grown.notify_waiters();
        Ok(())
    }

    pub fn fence(&self, term: u64) -> Result<Status, MemberError> {
        let mut state = self.state();
        if term <= state.promised {
            let promised = state.promised;
            return Err(MemberError::Fenced { promised });
        }
        state.promised = term;
        Ok(state.status())
    }

    pub async fn promote(&self, term: u64) -> Result<Status, MemberError> {
        let _whole = self.lock.lock().await;
        let mut state = self.state();
        if state.promised != term {
            let promised = state.promised;
            return Err(MemberError::Fenced { promised });
        }
        if state.role == Role::Primary && state.term == term {
            return Ok(state.status());
        }
        while state.applied < state.log.len() as u64 {
            state.apply_next().map_err(nonsense)?;
        }
        state.role = Role::Primary;
        state.term = term;
        state.primary = None;
        state.append(Vec::new());
        let status = state.status();
        drop(state);
        self.grown.notify_waiters();
        Ok(status)
    }

    pub fn follow(&self, term: u64, primary: Address) -> Result<Status, MemberError> {
        let mut state = self.state();
        if term < state.promised {
            let promised = state.promised;
            return Err(MemberError::Fenced { promised });
        }
        state.promised = term;
        let news = state.primary.as_ref() != Some(&primary) || state.role == Role::Primary;
        state.role = Role::Replica;
        state.primary = Some(primary);
        if news {
            state.stream = Stream::Broken;
            self.refollow.notify_waiters();
        }
        Ok(state.status())
    }

    /// What a replica that holds `from` entries and follows `term` gets next.
    pub async fn ship(&self, term: u64, from: u64, wait: Duration) -> Result<Batch, MemberError> {
        let grown = self.grown.notified();
        tokio::pin!(grown);
        grown.as_mut().enable();
        {
            let state = self.state();
            if !state.leads() || state.term != term {
                let promised = state.promised;
                return Err(MemberError::Fenced { promised });
            }
            if state.log.len() as u64 > from {
                return Ok(batch(&state, from));
            }
        }
        let _ = tokio::time::timeout(wait, grown).await;
        let state = self.state();
        if !state.leads() || state.term != term {
            let promised = state.promised;
            return Err(MemberError::Fenced { promised });
        }
        Ok(batch(&state, from))
    }

    /// Takes what a primary shipped. True when something was received.
    pub async fn receive(&self, batch: Batch) -> Result<bool, Fault> {
        let length = batch.first - 1 + batch.entries.len() as u64;
        let (shared, held) = {
            let state = self.state();
            (state.shared(&batch.runs, length), state.last().index)
        };
        let cuts = shared < held;
        let _whole = match cuts {
            true => Some(self.lock.lock().await),
            false => None,
        };
        let mut state = self.state();
        if state.promised != batch.term || state.role == Role::Primary {
            return Ok(false);
        }
        state.stream = Stream::Live;
        state.heard = Instant::now();
        if shared < batch.first - 1 {
            // The entries shipped do not join ours: ask again from the shared prefix.
            state.truncate(shared)?;
            return Ok(true);
        }
        state.truncate(shared)?;
        state.term = batch.term;
        let skip = (shared + 1 - batch.first) as usize;
        let at = Instant::now();
        let fresh = batch.entries.into_iter().skip(skip);
        let before = state.log.len();
        state.log.extend(fresh.map(|entry| Received { entry, at }));
        Ok(state.log.len() > before)
    }

    /// Applies what is due; tells when the next entry is.
    pub async fn apply_due(&self) -> Option<Duration> {
        let _whole = self.lock.lock().await;
        let mut state = self.state();
        loop {
            let next = state.log.get(state.applied as usize)?;
            let age = next.at.elapsed();
            if age < state.lag {
                return Some(state.lag - age);
            }
            if state.apply_next().is_err() {
                return None;
            }
        }
    }
}

fn batch(state: &State, from: u64) -> Batch {
    const MOST: usize = 512;
    let start = (from as usize).min(state.log.len());
    let end = (start + MOST).min(state.log.len());
    let entries = state.log[start..end].iter();
    Batch {
        term: state.term,
        runs: state.runs(),
        first: start as u64 + 1,
        entries: entries.map(|received| received.entry.clone()).collect(),
    }
}

fn not_primary() -> Fault {
    Fault::new("25006", "this member is not the primary of its term")
}

fn nonsense(fault: Fault) -> MemberError {
    MemberError::InvalidAnswer(fault.message)
}
