//! A stand-in for a member: serves the line protocol from the group's logs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};

use super::framing::{Lines, frame};
use super::group::Group;
use super::replies::{Duplication, Kind, Sent, Writer};

/// A statement with a caller's id, as a member received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerStatement {
    /// Name in the connection's CONNECT line.
    pub workspace: String,
    pub id: String,
    pub text: String,
}

/// Faults to inject into a member and records of its work, shared with the test.
#[derive(Clone)]
pub struct Handle {
    /// Whether the member stops answering, on open and new connections.
    pub frozen: Arc<AtomicBool>,
    /// Number of callers' next statements that run, but whose connection closes without an answer.
    pub lose_answers: Arc<AtomicU64>,
    /// Number of the next answers with rows that are cut off within the first row.
    pub truncate_rows: Arc<AtomicU64>,
    /// Error codes with which the next statements of callers are refused, without being run; the
    /// last one first.
    pub refuse: Arc<Mutex<Vec<&'static str>>>,
    /// The fault that answers are sent twice.
    pub duplication: Arc<Mutex<Option<Duplication>>>,
    /// Whether answers are written in random pieces.
    pub split_answers: Arc<AtomicBool>,
    /// Rows that each read returns after its own.
    pub extra_rows: Arc<Mutex<Vec<String>>>,
    /// Time between receiving and applying an entry.
    pub lag_ms: Arc<AtomicU64>,
    /// Connections that are open now.
    pub open_connections: Arc<AtomicUsize>,
    /// The most connections that were open at once.
    pub peak_connections: Arc<AtomicUsize>,
    /// Number of reads that the member ran.
    pub reads: Arc<AtomicU64>,
    /// Texts of all statements, in the order in which they arrived.
    pub statements: Arc<Mutex<Vec<String>>>,
    /// All statements of callers, in the order in which they arrived.
    pub caller_statements: Arc<Mutex<Vec<CallerStatement>>>,
    /// All answers and their duplicates, in the order in which they were sent.
    pub sent: Arc<Mutex<Vec<Sent>>>,
    /// Number of digests given out.
    digests: Arc<AtomicU64>,
    /// Number of connections that were ever opened.
    opened: Arc<AtomicU64>,
    stop: Arc<Notify>,
    slots: Arc<Semaphore>,
}

impl Default for Handle {
    fn default() -> Self {
        Self {
            frozen: Arc::default(),
            lose_answers: Arc::default(),
            truncate_rows: Arc::default(),
            refuse: Arc::default(),
            duplication: Arc::default(),
            split_answers: Arc::default(),
            extra_rows: Arc::default(),
            lag_ms: Arc::new(AtomicU64::new(5)),
            open_connections: Arc::default(),
            peak_connections: Arc::default(),
            reads: Arc::default(),
            statements: Arc::default(),
            caller_statements: Arc::default(),
            sent: Arc::default(),
            digests: Arc::default(),
            opened: Arc::default(),
            stop: Arc::default(),
            slots: Arc::new(Semaphore::new(3)),
        }
    }
}

impl Handle {
    /// Ends the listener and all connections abruptly.
    pub fn crash(&self) {
        self.stop.notify_waiters();
    }

    /// Decrements the counter of a fault. Returns false when the counter is zero.
    fn consume(&self, counter: &AtomicU64) -> bool {
        let decrement = |left: u64| left.checked_sub(1);
        let order = Ordering::SeqCst;
        counter.fetch_update(order, order, decrement).is_ok()
    }

    /// Sets or, with `None`, ends the fault that answers are sent twice.
    pub fn duplicate_answers(&self, fault: Option<Duplication>) {
        *self.duplication.lock().expect("no panic under the lock") = fault;
    }

    /// Forgets the callers' statements and the answers, so that ids may be used again.
    pub fn forget_records(&self) {
        let mut statements = self.caller_statements.lock().expect("no panic");
        statements.clear();
        self.sent.lock().expect("no panic under the lock").clear();
    }

    /// Returns copies of the answers that were sent so far, duplicates included.
    pub fn sent(&self) -> Vec<Sent> {
        self.sent.lock().expect("no panic under the lock").clone()
    }

    /// Returns the first answers, without duplicates, to the statements with an id.
    pub fn answers(&self, id: &str) -> Vec<Sent> {
        let answers = self.sent().into_iter();
        answers
            .filter(|answer| answer.id == id && !answer.duplicate)
            .collect()
    }

    /// Records a statement that has arrived.
    fn record_statement(&self, workspace: &str, id: &str, text: &str) {
        let mut statements = self.statements.lock().expect("no panic under the lock");
        statements.push(text.to_owned());
        if id == "-" {
            return;
        }
        let mut statements = self.caller_statements.lock().expect("no panic");
        statements.push(CallerStatement {
            workspace: workspace.to_owned(),
            id: id.to_owned(),
            text: text.to_owned(),
        });
    }

    /// Records an answer that is about to be sent, and returns its number.
    pub fn record_answer(&self, answer: Sent) -> u64 {
        let mut sent = self.sent.lock().expect("no panic under the lock");
        sent.push(answer);
        sent.len() as u64
    }

    /// Returns the code with which to refuse a statement, if the fault is set.
    fn refusal(&self, id: &str) -> Option<&'static str> {
        let mut codes = self.refuse.lock().expect("no panic under the lock");
        (id != "-").then(|| codes.pop())?
    }

    /// Returns a digest that no other answer has.
    fn digest(&self, effect: &str, member: &str) -> String {
        let number = self.digests.fetch_add(1, Ordering::SeqCst);
        format!("{effect}.{member}.{number}")
    }

    /// Waits while the member is frozen.
    pub async fn wait_while_frozen(&self) {
        while self.frozen.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Starts a member that accepts this many connections at once, and returns its address.
pub async fn start(group: Group, id: &str, connections: usize, handle: Handle) -> SocketAddr {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    start_at(any_port, group, id, connections, handle).await
}

/// Starts a member at an address, once that is free.
pub async fn start_at(
    address: SocketAddr,
    group: Group,
    id: &str,
    connections: usize,
    handle: Handle,
) -> SocketAddr {
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    };
    let address = listener.local_addr().expect("bound");
    let id = id.to_owned();
    tokio::spawn(async move {
        loop {
            let stopped = handle.stop.notified();
            let stream = tokio::select! {
                accepted = listener.accept() => accepted.expect("accepts").0,
                () = stopped => return,
            };
            let (group, id, handle) = (group.clone(), id.clone(), handle.clone());
            tokio::spawn(async move {
                let stop = handle.stop.clone();
                let open = handle.open_connections.fetch_add(1, Ordering::SeqCst) + 1;
                handle.peak_connections.fetch_max(open, Ordering::SeqCst);
                let full = open > connections;
                let session = serve(group, id, handle.clone(), stream, full);
                tokio::select! {
                    _ = session => {}
                    () = stop.notified() => {}
                }
                handle.open_connections.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    address
}

/// The state of a connection.
#[derive(Default)]
struct Session {
    /// Statement id, key and value of each write in the open transaction.
    transaction: Option<Vec<(String, String, String)>>,
    read_only: bool,
    failed: bool,
    values: HashMap<String, String>,
    /// Mode and value prefix of each prepared statement, by name.
    prepared: HashMap<String, (String, String)>,
}

struct Member {
    group: Group,
    id: String,
    handle: Handle,
}

async fn serve(
    group: Group,
    id: String,
    handle: Handle,
    stream: TcpStream,
    full: bool,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let mut lines = Lines::new(read);
    let mut writer = Writer::new(handle.clone(), write);
    handle.wait_while_frozen().await;
    let Some(connect) = lines.next().await? else {
        return Ok(());
    };
    handle.wait_while_frozen().await;
    let words: Vec<&str> = connect.split(' ').collect();
    let wrong_node =
        words.get(1) != Some(&&*group.name) || words.get(3).is_some_and(|w| **w != *id);
    if wrong_node {
        return writer.write(&frame("ERROR WRONGNODE another")).await;
    }
    if full {
        return writer.write(&frame("ERROR OVERLOAD full")).await;
    }
    let connection = handle.opened.fetch_add(1, Ordering::SeqCst);
    let ready = Sent {
        connection,
        id: "-".to_owned(),
        kind: Kind::Connect,
        rows: Vec::new(),
        end: None,
        ready: "READY I -".to_owned(),
        duplicate: false,
    };
    writer.send(ready).await?;
    let workspace = words.get(2).copied().unwrap_or_default().to_owned();
    let member = Member { group, id, handle };
    let mut session = Session::default();
    while let Some(line) = lines.next().await? {
        member.handle.wait_while_frozen().await;
        let Some(query) = line.strip_prefix("QUERY ") else {
            return Ok(());
        };
        let (query_id, text) = query.split_once(' ').unwrap_or((query, ""));
        member.handle.record_statement(&workspace, query_id, text);
        let reply = {
            let _slot = member.handle.slots.acquire().await.expect("never closed");
            match member.handle.refusal(query_id) {
                Some(code) => Reply::error(code, "not run"),
                None => member.run(&mut session, query_id, text),
            }
        };
        member.handle.wait_while_frozen().await;
        if query_id != "-" && member.handle.consume(&member.handle.lose_answers) {
            return Ok(());
        }
        let has_rows = !reply.rows.is_empty();
        let answer = Sent {
            connection,
            id: query_id.to_owned(),
            kind: Kind::of(text, &reply.end),
            rows: reply.rows,
            end: Some(reply.end),
            ready: member.ready_line(&session),
            duplicate: false,
        };
        if has_rows && member.handle.consume(&member.handle.truncate_rows) {
            return writer.write(&answer.bytes()[..4]).await;
        }
        writer.send(answer).await?;
    }
    Ok(())
}

/// The result of a statement.
struct Reply {
    rows: Vec<String>,
    /// The line with COMPLETE or ERROR.
    end: String,
}

impl Reply {
    /// Completed without a digest or rows.
    fn done() -> Self {
        Self::complete("-")
    }

    fn complete(digest: &str) -> Self {
        Self {
            rows: Vec::new(),
            end: format!("COMPLETE {digest}"),
        }
    }

    fn error(code: &str, text: &str) -> Self {
        Self {
            rows: Vec::new(),
            end: format!("ERROR {code} {text}"),
        }
    }
}

impl Member {
    fn lag(&self) -> Duration {
        Duration::from_millis(self.handle.lag_ms.load(Ordering::SeqCst))
    }

    /// Returns the line that ends an answer: transaction state and applied position.
    fn ready_line(&self, session: &Session) -> String {
        let members = self.group.members();
        let state = &members[&self.id];
        let letter = match (&session.transaction, session.failed) {
            (_, true) => 'E',
            (Some(_), _) => 'T',
            (None, _) => 'I',
        };
        let position = state.position(state.applied(self.lag()));
        format!("READY {letter} {position}")
    }

    /// Runs a statement and returns its answer.
    fn run(&self, session: &mut Session, id: &str, text: &str) -> Reply {
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        let (first, tail) = rest.split_once(' ').unwrap_or((rest, ""));
        match verb {
            "AFTER" => self.after(session, id, first, tail),
            "STATUS" => self.status(),
            "PAUSE" => self.pause(first.parse().unwrap_or_default()),
            "RESUME" => {
                self.with_state(|state| state.fence_term = 0);
                self.status()
            }
            "STEPDOWN" => self.step_down(first.parse().unwrap_or_default()),
            "RESET" => {
                session.values.clear();
                session.prepared.clear();
                Reply::done()
            }
            "SET" => {
                session.values.insert(first.to_owned(), tail.to_owned());
                Reply::done()
            }
            "PREPARE" => {
                let (mode, prefix) = tail.split_once(' ').unwrap_or((tail, ""));
                let statement = (mode.to_owned(), prefix.to_owned());
                session.prepared.insert(first.to_owned(), statement);
                Reply::done()
            }
            "EXECUTE" => self.execute(session, id, first, tail),
            "BEGIN" => self.begin(session, rest == "READ"),
            "ROLLBACK" => {
                session.transaction = None;
                session.failed = false;
                Reply::done()
            }
            "COMMIT" => self.commit(session),
            "READ" => self.read(session, first),
            "WRITE" => self.write(session, id, first, tail),
            _ => Reply::error("MALFORMED", "unknown"),
        }
    }

    /// Gives access to the member's replication state.
    fn with_state<T>(&self, access: impl FnOnce(&mut super::group::State) -> T) -> T {
        let mut members = self.group.members();
        access(members.get_mut(&self.id).expect("a member of its group"))
    }

    /// Runs a statement if the member has applied the position `floor`.
    fn after(&self, session: &mut Session, id: &str, floor: &str, text: &str) -> Reply {
        let index: usize = floor
            .split_once('.')
            .and_then(|(_, index)| index.parse().ok())
            .unwrap_or_default();
        let lag = self.lag();
        match self.with_state(|state| state.applied(lag) >= index) {
            true => self.run(session, id, text),
            false => Reply::error("LAGGING", "behind"),
        }
    }

    fn status(&self) -> Reply {
        let open = self.handle.open_connections.load(Ordering::SeqCst);
        self.with_state(|state| {
            let role = if state.primary { "primary" } else { "replica" };
            let position = state.position(state.log.len());
            let (term, fence_term) = (state.term, state.fence_term);
            let row = format!("{role} {term} {position} {fence_term} 0 0 {open}");
            Reply {
                rows: vec![row],
                ..Reply::done()
            }
        })
    }

    /// Fences a replica under a term newer than its own.
    fn pause(&self, term: u64) -> Reply {
        let accepted = self.with_state(|state| {
            let accepted = !state.primary && term > state.term;
            if accepted {
                state.fence_term = term;
            }
            accepted
        });
        match accepted {
            true => self.status(),
            false => Reply::error("MALFORMED", "not above the newest"),
        }
    }

    /// Makes a primary of a term before this one a replica.
    fn step_down(&self, term: u64) -> Reply {
        self.with_state(|state| state.primary &= term <= state.term);
        self.status()
    }

    fn begin(&self, session: &mut Session, read_only: bool) -> Reply {
        if !read_only && !self.with_state(|state| state.primary) {
            return Reply::error("READONLY", &self.id);
        }
        session.transaction = Some(Vec::new());
        session.read_only = read_only;
        Reply::done()
    }

    fn commit(&self, session: &mut Session) -> Reply {
        let writes = session.transaction.take().unwrap_or_default();
        if std::mem::take(&mut session.failed) {
            return Reply::error("ABORTED", "it had failed");
        }
        if !writes.is_empty() && !self.with_state(|state| state.primary) {
            return Reply::error("READONLY", &self.id);
        }
        self.with_state(|state| {
            for (id, key, value) in &writes {
                state.append(key, value, id);
            }
        });
        self.group.replicate();
        Reply::complete(&self.handle.digest("commit", &self.id))
    }

    fn read(&self, session: &Session, key: &str) -> Reply {
        self.handle.reads.fetch_add(1, Ordering::SeqCst);
        let lag = self.lag();
        let value = self.with_state(|state| state.value(key, state.applied(lag)));
        let open = session.transaction.iter().flatten();
        let mut written = open.rev().filter(|(_, written, _)| written == key);
        let value = written.next().map(|(_, _, value)| value.clone()).or(value);
        let value = value.unwrap_or_else(|| "none".to_owned());
        let mut values: Vec<String> = session
            .values
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        values.sort();
        let values = values.join(",");
        let extra_rows = self.handle.extra_rows.lock().expect("no panic");
        let mut reply = Reply::complete(&self.handle.digest("read", &self.id));
        reply.rows.push(format!("{value} [{values}]"));
        reply.rows.extend(extra_rows.iter().cloned());
        reply
    }

    fn write(&self, session: &mut Session, id: &str, key: &str, value: &str) -> Reply {
        if session.read_only && session.transaction.is_some()
            || !self.with_state(|state| state.primary)
        {
            session.failed = session.transaction.is_some();
            return Reply::error("READONLY", &self.id);
        }
        match &mut session.transaction {
            Some(writes) => writes.push((id.to_owned(), key.to_owned(), value.to_owned())),
            None => {
                self.with_state(|state| state.append(key, value, id));
                self.group.replicate();
            }
        }
        Reply::complete(&self.handle.digest("write", &self.id))
    }

    fn execute(&self, session: &mut Session, id: &str, name: &str, arguments: &str) -> Reply {
        let Some((mode, prefix)) = session.prepared.get(name).cloned() else {
            return Reply::error("NOSTMT", "unknown");
        };
        let (key, value) = arguments.split_once(' ').unwrap_or((arguments, ""));
        match &*mode {
            "READ" => self.read(session, key),
            _ => self.write(session, id, key, &format!("{prefix}:{value}")),
        }
    }
}
