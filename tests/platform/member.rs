//! A stand-in for a member: serves the line protocol from the group's logs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};

use super::group::Group;

/// Faults to inject into a member and records of its work, shared with the test.
#[derive(Clone)]
pub struct Handle {
    /// Whether the member stops answering, on open and new connections.
    pub frozen: Arc<AtomicBool>,
    /// Number of callers' next statements that run, but whose connection closes without an answer.
    pub lose_answers: Arc<AtomicU64>,
    /// Number of the next answers with rows that are cut off within the first row.
    pub truncate_rows: Arc<AtomicU64>,
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
    /// Name in the connection's CONNECT line and statement id, for all statements of callers.
    pub caller_statements: Arc<Mutex<Vec<(String, String)>>>,
    stop: Arc<Notify>,
    slots: Arc<Semaphore>,
}

impl Default for Handle {
    fn default() -> Self {
        Self {
            frozen: Arc::default(),
            lose_answers: Arc::default(),
            truncate_rows: Arc::default(),
            lag_ms: Arc::new(AtomicU64::new(5)),
            open_connections: Arc::default(),
            peak_connections: Arc::default(),
            reads: Arc::default(),
            statements: Arc::default(),
            caller_statements: Arc::default(),
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

    /// Waits while the member is frozen.
    async fn wait_while_frozen(&self) {
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
    let (read, mut write): (OwnedReadHalf, OwnedWriteHalf) = stream.into_split();
    let mut lines = BufReader::new(read).lines();
    handle.wait_while_frozen().await;
    let Some(connect) = lines.next_line().await? else {
        return Ok(());
    };
    handle.wait_while_frozen().await;
    let words: Vec<&str> = connect.split(' ').collect();
    let wrong_node =
        words.get(1) != Some(&&*group.name) || words.get(3).is_some_and(|w| **w != *id);
    if wrong_node {
        return write.write_all(b"ERROR WRONGNODE another\r\n").await;
    }
    if full {
        return write.write_all(b"ERROR OVERLOAD full\r\n").await;
    }
    write.write_all(b"READY I -\r\n").await?;
    let caller = words.get(2).copied().unwrap_or_default().to_owned();
    let member = Member { group, id, handle };
    let mut session = Session::default();
    while let Some(line) = lines.next_line().await? {
        member.handle.wait_while_frozen().await;
        let Some(query) = line.strip_prefix("QUERY ") else {
            return Ok(());
        };
        let (query_id, text) = query.split_once(' ').unwrap_or((query, ""));
        let statements = &member.handle.statements;
        statements
            .lock()
            .expect("no panic under the lock")
            .push(text.to_owned());
        if query_id != "-" {
            let statement = (caller.clone(), query_id.to_owned());
            let caller_statements = &member.handle.caller_statements;
            caller_statements
                .lock()
                .expect("no panic under the lock")
                .push(statement);
        }
        let answer = {
            let _slot = member.handle.slots.acquire().await.expect("never closed");
            member.run(&mut session, query_id, text)
        };
        member.handle.wait_while_frozen().await;
        if query_id != "-" && member.handle.consume(&member.handle.lose_answers) {
            return Ok(());
        }
        if answer.starts_with("DATA") && member.handle.consume(&member.handle.truncate_rows) {
            return write.write_all(&answer.as_bytes()[..4]).await;
        }
        let ready = member.ready_line(&session);
        write
            .write_all(format!("{answer}{ready}").as_bytes())
            .await?;
    }
    Ok(())
}

const DONE: &str = "COMPLETE -\r\n";

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
        format!("READY {letter} {position}\r\n")
    }

    /// Runs a statement and returns its answer.
    fn run(&self, session: &mut Session, id: &str, text: &str) -> String {
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
                DONE.to_owned()
            }
            "SET" => {
                session.values.insert(first.to_owned(), tail.to_owned());
                DONE.to_owned()
            }
            "PREPARE" => {
                let (mode, prefix) = tail.split_once(' ').unwrap_or((tail, ""));
                let statement = (mode.to_owned(), prefix.to_owned());
                session.prepared.insert(first.to_owned(), statement);
                DONE.to_owned()
            }
            "EXECUTE" => self.execute(session, id, first, tail),
            "BEGIN" => self.begin(session, rest == "READ"),
            "ROLLBACK" => {
                session.transaction = None;
                session.failed = false;
                DONE.to_owned()
            }
            "COMMIT" => self.commit(session),
            "READ" => self.read(session, first),
            "WRITE" => self.write(session, id, first, tail),
            _ => "ERROR MALFORMED unknown\r\n".to_owned(),
        }
    }

    /// Gives access to the member's replication state.
    fn with_state<T>(&self, access: impl FnOnce(&mut super::group::State) -> T) -> T {
        let mut members = self.group.members();
        access(members.get_mut(&self.id).expect("a member of its group"))
    }

    /// Runs a statement if the member has applied the position `floor`.
    fn after(&self, session: &mut Session, id: &str, floor: &str, text: &str) -> String {
        let index: usize = floor
            .split_once('.')
            .and_then(|(_, index)| index.parse().ok())
            .unwrap_or_default();
        let lag = self.lag();
        match self.with_state(|state| state.applied(lag) >= index) {
            true => self.run(session, id, text),
            false => "ERROR LAGGING behind\r\n".to_owned(),
        }
    }

    fn status(&self) -> String {
        let open = self.handle.open_connections.load(Ordering::SeqCst);
        self.with_state(|state| {
            let role = if state.primary { "primary" } else { "replica" };
            let position = state.position(state.log.len());
            format!(
                "DATA {role} {} {position} {} 0 0 {open}\r\n{DONE}",
                state.term, state.fence_term
            )
        })
    }

    /// Fences a replica under a term newer than its own.
    fn pause(&self, term: u64) -> String {
        let accepted = self.with_state(|state| {
            let accepted = !state.primary && term > state.term;
            if accepted {
                state.fence_term = term;
            }
            accepted
        });
        match accepted {
            true => self.status(),
            false => "ERROR MALFORMED not above the newest\r\n".to_owned(),
        }
    }

    /// Makes a primary of a term before this one a replica.
    fn step_down(&self, term: u64) -> String {
        self.with_state(|state| state.primary &= term <= state.term);
        self.status()
    }

    fn begin(&self, session: &mut Session, read_only: bool) -> String {
        if !read_only && !self.with_state(|state| state.primary) {
            return format!("ERROR READONLY {}\r\n", self.id);
        }
        session.transaction = Some(Vec::new());
        session.read_only = read_only;
        DONE.to_owned()
    }

    fn commit(&self, session: &mut Session) -> String {
        let writes = session.transaction.take().unwrap_or_default();
        if std::mem::take(&mut session.failed) {
            return "ERROR ABORTED it had failed\r\n".to_owned();
        }
        if !writes.is_empty() && !self.with_state(|state| state.primary) {
            return format!("ERROR READONLY {}\r\n", self.id);
        }
        self.with_state(|state| {
            for (id, key, value) in &writes {
                state.append(key, value, id);
            }
        });
        self.group.replicate();
        format!("COMPLETE commit.{}\r\n", self.id)
    }

    fn read(&self, session: &Session, key: &str) -> String {
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
        format!("DATA {value} [{values}]\r\nCOMPLETE read.{}\r\n", self.id)
    }

    fn write(&self, session: &mut Session, id: &str, key: &str, value: &str) -> String {
        if session.read_only && session.transaction.is_some()
            || !self.with_state(|state| state.primary)
        {
            session.failed = session.transaction.is_some();
            return format!("ERROR READONLY {}\r\n", self.id);
        }
        match &mut session.transaction {
            Some(writes) => writes.push((id.to_owned(), key.to_owned(), value.to_owned())),
            None => {
                self.with_state(|state| state.append(key, value, id));
                self.group.replicate();
            }
        }
        format!("COMPLETE write.{}\r\n", self.id)
    }

    fn execute(&self, session: &mut Session, id: &str, name: &str, arguments: &str) -> String {
        let Some((mode, prefix)) = session.prepared.get(name).cloned() else {
            return "ERROR NOSTMT unknown\r\n".to_owned();
        };
        let (key, value) = arguments.split_once(' ').unwrap_or((arguments, ""));
        match &*mode {
            "READ" => self.read(session, key),
            _ => self.write(session, id, key, &format!("{prefix}:{value}")),
        }
    }
}
