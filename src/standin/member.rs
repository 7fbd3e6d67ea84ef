//! State of a stand-in member: its log, its terms and its replication.
//!
//! A log entry is a transaction, stored as statements with their parameters. A replica fetches
//! entries from the primary's log ([`Member::ship`]) and applies them to its engine after a
//! configurable lag. The log and the promised term, which a real member keeps on disk, are lost
//! when the process ends.

use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rusqlite::types::Value;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::engine::{Engine, Kind, Prepared, QueryError};
use super::faults::Gate;
use crate::borders::member::{MemberError, Role, Status, Stream};
use crate::decisions::position::Position;
use crate::declarations::resource::Address;

/// Time without a batch after which a stream is reported as silent.
pub const STREAM_TIMEOUT: Duration = Duration::from_millis(400);

/// Settings of one stand-in member.
#[derive(Clone, Debug)]
pub struct Settings {
    pub ip: IpAddr,
    pub sql_port: u16,
    pub control_port: u16,
    /// Limit of statements that run at the same time.
    pub slots: usize,
    /// Limit of open connections.
    pub connections: usize,
    /// Delay of each new connection, in milliseconds.
    pub connect_ms: u64,
    /// Delay of each statement, in milliseconds.
    pub service_ms: u64,
    /// Time between receiving an entry and applying it, in milliseconds.
    pub lag_ms: u64,
    /// Whether the member starts as the primary of term 1.
    pub primary: bool,
}

/// A replicated statement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    pub sql: String,
    pub params: Vec<Cell>,
}

/// A replicated parameter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Cell {
    Null,
    Integer(i64),
    Real(f64),
    Text(String),
    Blob(Vec<u8>),
}

/// A transaction in the log. A primary starts its term with an empty entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Entry {
    pub term: u64,
    pub changes: Vec<Change>,
}

/// Entries that a primary sends to a replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    pub term: u64,
    /// Each term in the primary's log, with the index of the term's first entry.
    pub runs: Vec<(u64, u64)>,
    /// Index of the first entry in `entries`.
    pub first: u64,
    pub entries: Vec<Entry>,
}

struct Received {
    entry: Entry,
    received_at: Instant,
}

/// The mutable state of a member.
pub struct State {
    /// Highest term of a fence or follow request that the member has accepted.
    pub promised: u64,
    pub role: Role,
    /// Term in which the member is the primary, or whose primary it last received entries from.
    pub term: u64,
    pub primary: Option<Address>,
    log: Vec<Received>,
    /// Number of entries that are applied to the engine.
    pub applied: u64,
    pub engine: Engine,
    pub stream: Stream,
    pub last_received: Instant,
    pub open_connections: usize,
    /// Time between receiving an entry and applying it.
    pub lag: Duration,
}

impl State {
    pub fn last_position(&self) -> Position {
        let term = self.log.last().map_or(0, |received| received.entry.term);
        Position::new(term, self.log.len() as u64)
    }

    pub fn applied_position(&self) -> Position {
        let newest = self.applied.checked_sub(1).map(|i| i as usize);
        let term = newest.map_or(0, |i| self.log[i].entry.term);
        Position::new(term, self.applied)
    }

    /// Whether the member is a primary that isn't fenced.
    pub fn accepts_writes(&self) -> bool {
        self.role == Role::Primary && self.promised == self.term
    }

    pub fn status(&self) -> Status {
        Status {
            promised: self.promised,
            role: self.role,
            log: self.last_position(),
            applied: self.applied_position(),
            stream: self.current_stream(),
        }
    }

    fn current_stream(&self) -> Stream {
        match self.stream {
            _ if self.role == Role::Primary => Stream::None,
            Stream::Live if self.last_received.elapsed() > STREAM_TIMEOUT => Stream::Silent,
            other => other,
        }
    }

    fn append(&mut self, changes: Vec<Change>) {
        let entry = Entry {
            term: self.term,
            changes,
        };
        let received_at = Instant::now();
        self.log.push(Received { entry, received_at });
        self.applied = self.log.len() as u64;
    }

    fn term_runs(&self) -> Vec<(u64, u64)> {
        let mut runs: Vec<(u64, u64)> = Vec::new();
        for (i, received) in self.log.iter().enumerate() {
            if runs.last().is_none_or(|run| run.0 != received.entry.term) {
                runs.push((received.entry.term, i as u64 + 1));
            }
        }
        runs
    }

    /// Returns the length of the prefix shared with a log of `length` entries and these runs.
    fn shared_prefix_length(&self, runs: &[(u64, u64)], length: u64) -> u64 {
        let term_of_index = |index: u64| {
            let run = runs.iter().rev().find(|run| run.1 <= index);
            run.map_or(0, |run| run.0)
        };
        let max_shared = length.min(self.log.len() as u64);
        let has_same_term =
            |index: &u64| self.log[*index as usize - 1].entry.term == term_of_index(*index);
        (1..=max_shared).rev().find(has_same_term).unwrap_or(0)
    }

    fn truncate(&mut self, length: u64) -> Result<(), QueryError> {
        if length >= self.log.len() as u64 {
            return Ok(());
        }
        self.log.truncate(length as usize);
        if self.applied <= length {
            return Ok(());
        }
        // The engine can't undo applied entries, so it is rebuilt from the remaining log.
        let engine = Engine::open().map_err(|error| QueryError::new("XX000", error.to_string()))?;
        self.engine = engine;
        self.applied = 0;
        while self.applied < length {
            self.apply_next()?;
        }
        Ok(())
    }

    fn apply_next(&mut self) -> Result<(), QueryError> {
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

/// A member, shared by its sessions, its control port and its replication.
pub struct Member {
    pub settings: Settings,
    pub gate: Gate,
    state: Mutex<State>,
    /// Held by a transaction from its first statement to its end, and while the log is truncated,
    /// entries are applied or the member is promoted.
    pub transaction_lock: Arc<tokio::sync::Mutex<()>>,
    pub slots: tokio::sync::Semaphore,
    log_grown: Notify,
    pub primary_changed: Notify,
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
            last_received: Instant::now(),
            open_connections: 0,
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
            transaction_lock: Arc::default(),
            log_grown: Notify::new(),
            primary_changed: Notify::new(),
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
    ) -> Result<super::engine::Answer, QueryError> {
        let mut state = self.state();
        if prepared.kind == Kind::Write && !state.accepts_writes() {
            return Err(not_primary());
        }
        state.engine.run(prepared, params)
    }

    /// Commits the open SQLite transaction and appends its changes to the log.
    pub fn commit(&self, changes: Vec<Change>) -> Result<(), QueryError> {
        let mut state = self.state();
        if changes.is_empty() {
            return state.engine.run_command("COMMIT");
        }
        if !state.accepts_writes() {
            state.engine.run_command("ROLLBACK")?;
            return Err(not_primary());
        }
        state.engine.run_command("COMMIT")?;
        state.append(changes);
        drop(state);
        self.log_grown.notify_waiters();
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
        let _guard = self.transaction_lock.lock().await;
        let mut state = self.state();
        if state.promised != term {
            let promised = state.promised;
            return Err(MemberError::Fenced { promised });
        }
        if state.role == Role::Primary && state.term == term {
            return Ok(state.status());
        }
        while state.applied < state.log.len() as u64 {
            state.apply_next().map_err(apply_error)?;
        }
        state.role = Role::Primary;
        state.term = term;
        state.primary = None;
        state.append(Vec::new());
        let status = state.status();
        drop(state);
        self.log_grown.notify_waiters();
        Ok(status)
    }

    pub fn follow(&self, term: u64, primary: Address) -> Result<Status, MemberError> {
        let mut state = self.state();
        if term < state.promised {
            let promised = state.promised;
            return Err(MemberError::Fenced { promised });
        }
        state.promised = term;
        let is_new = state.primary.as_ref() != Some(&primary) || state.role == Role::Primary;
        state.role = Role::Replica;
        state.primary = Some(primary);
        if is_new {
            state.stream = Stream::Broken;
            self.primary_changed.notify_waiters();
        }
        Ok(state.status())
    }

    /// Returns the next entries for a replica that has `from` entries and follows `term`. Waits up
    /// to `wait` if there are none.
    pub async fn ship(&self, term: u64, from: u64, wait: Duration) -> Result<Batch, MemberError> {
        let log_grown = self.log_grown.notified();
        tokio::pin!(log_grown);
        log_grown.as_mut().enable();
        {
            let state = self.state();
            if !state.accepts_writes() || state.term != term {
                let promised = state.promised;
                return Err(MemberError::Fenced { promised });
            }
            if state.log.len() as u64 > from {
                return Ok(next_batch(&state, from));
            }
        }
        let _ = tokio::time::timeout(wait, log_grown).await;
        let state = self.state();
        if !state.accepts_writes() || state.term != term {
            let promised = state.promised;
            return Err(MemberError::Fenced { promised });
        }
        Ok(next_batch(&state, from))
    }

    /// Stores entries from a primary and truncates the log where it diverges from the primary's.
    /// Returns whether entries were added or must be requested from an earlier index.
    pub async fn receive(&self, batch: Batch) -> Result<bool, QueryError> {
        let length = batch.first - 1 + batch.entries.len() as u64;
        let (shared_length, log_length) = {
            let state = self.state();
            (
                state.shared_prefix_length(&batch.runs, length),
                state.last_position().index,
            )
        };
        let truncates = shared_length < log_length;
        let _guard = match truncates {
            true => Some(self.transaction_lock.lock().await),
            false => None,
        };
        let mut state = self.state();
        if state.promised != batch.term || state.role == Role::Primary {
            return Ok(false);
        }
        state.stream = Stream::Live;
        state.last_received = Instant::now();
        if shared_length < batch.first - 1 {
            // There is a gap before the first entry. The next request starts at the shared prefix.
            state.truncate(shared_length)?;
            return Ok(true);
        }
        state.truncate(shared_length)?;
        state.term = batch.term;
        let skip = (shared_length + 1 - batch.first) as usize;
        let received_at = Instant::now();
        let new_entries = batch.entries.into_iter().skip(skip);
        let before = state.log.len();
        state
            .log
            .extend(new_entries.map(|entry| Received { entry, received_at }));
        Ok(state.log.len() > before)
    }

    /// Applies the entries for which the replication lag has passed. Returns the time until the next
    /// entry is due, or `None` if there is none or it can't be applied.
    pub async fn apply_due(&self) -> Option<Duration> {
        let _guard = self.transaction_lock.lock().await;
        let mut state = self.state();
        loop {
            let next = state.log.get(state.applied as usize)?;
            let age = next.received_at.elapsed();
            if age < state.lag {
                return Some(state.lag - age);
            }
            if state.apply_next().is_err() {
                return None;
            }
        }
    }
}

fn next_batch(state: &State, from: u64) -> Batch {
    const MAX_ENTRIES: usize = 512;
    let start = (from as usize).min(state.log.len());
    let end = (start + MAX_ENTRIES).min(state.log.len());
    let entries = state.log[start..end].iter();
    Batch {
        term: state.term,
        runs: state.term_runs(),
        first: start as u64 + 1,
        entries: entries.map(|received| received.entry.clone()).collect(),
    }
}

fn not_primary() -> QueryError {
    QueryError::new("25006", "this member is not the primary of its term")
}

fn apply_error(error: QueryError) -> MemberError {
    MemberError::InvalidAnswer(error.message)
}
