//! A stand-in member: connections that speak lines before a group's logs.

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

/// Faults and counts of one member, shared with the test.
#[derive(Clone)]
pub struct Handle {
    /// Answers nobody, and takes nobody.
    pub frozen: Arc<AtomicBool>,
    /// Answers to statements that are thrown away after they ran.
    pub lose_answers: Arc<AtomicU64>,
    /// Breaks off in the middle of this many rows.
    pub truncate_rows: Arc<AtomicU64>,
    /// Time from receiving to applying, in milliseconds.
    pub lag_ms: Arc<AtomicU64>,
    /// Connections open now, and the most there were.
    pub open_connections: Arc<AtomicUsize>,
    pub peak_connections: Arc<AtomicUsize>,
    /// Reads that it ran.
    pub reads: Arc<AtomicU64>,
    /// All that was asked, in order.
    pub statements: Arc<Mutex<Vec<String>>>,
    /// Who was told to call, and the statement's id, for all statements of callers.
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
    /// Ends the listener and all connections, as a crash does.
    pub fn crash(&self) {
        self.stop.notify_waiters();
    }

    fn takes(&self, counter: &AtomicU64) -> bool {
        let less = |left: u64| left.checked_sub(1);
        let order = Ordering::SeqCst;
        counter.fetch_update(order, order, less).is_ok()
    }

    async fn thaw(&self) {
        while self.frozen.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Starts a member; returns its address.
pub async fn start(group: Group, id: &str, connections: usize, switch: Handle) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let id = id.to_owned();
    tokio::spawn(async move {
        loop {
            let stopped = switch.stop.notified();
            let stream = tokio::select! {
                accepted = listener.accept() => accepted.expect("accepts").0,
                () = stopped => return,
            };
            let (group, id, switch) = (group.clone(), id.clone(), switch.clone());
            tokio::spawn(async move {
                let stop = switch.stop.clone();
                let open = switch.open_connections.fetch_add(1, Ordering::SeqCst) + 1;
                switch.peak_connections.fetch_max(open, Ordering::SeqCst);
                let full = open > connections;
                let session = serve(group, id, switch.clone(), stream, full);
                tokio::select! {
                    _ = session => {}
                    () = stop.notified() => {}
                }
                switch.open_connections.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    address
}

/// A connection's own state.
#[derive(Default)]
struct Session {
    transaction: Option<Vec<(String, String, String)>>,
    read_only: bool,
    failed: bool,
    values: HashMap<String, String>,
    prepared: HashMap<String, (String, String)>,
}

struct Member {
    group: Group,
    id: String,
    switch: Handle,
}

async fn serve(
    group: Group,
    id: String,
    switch: Handle,
    stream: TcpStream,
    full: bool,
) -> std::io::Result<()> {
    let (read, mut write): (OwnedReadHalf, OwnedWriteHalf) = stream.into_split();
    let mut lines = BufReader::new(read).lines();
    switch.thaw().await;
    let Some(hello) = lines.next_line().await? else {
        return Ok(());
    };
    switch.thaw().await;
    let words: Vec<&str> = hello.split(' ').collect();
    let wrong = words.get(1) != Some(&&*group.name) || words.get(3).is_some_and(|w| **w != *id);
    if wrong {
        return write.write_all(b"ERROR WRONGNODE another\r\n").await;
    }
    if full {
        return write.write_all(b"ERROR OVERLOAD full\r\n").await;
    }
    write.write_all(b"READY I -\r\n").await?;
    let who = words.get(2).copied().unwrap_or_default().to_owned();
    let member = Member { group, id, switch };
    let mut session = Session::default();
    while let Some(line) = lines.next_line().await? {
        member.switch.thaw().await;
        let Some(query) = line.strip_prefix("QUERY ") else {
            return Ok(());
        };
        let (query_id, text) = query.split_once(' ').unwrap_or((query, ""));
        let asked = &member.switch.statements;
        asked
            .lock()
            .expect("no panic under the lock")
            .push(text.to_owned());
        if query_id != "-" {
            let told = (who.clone(), query_id.to_owned());
            let all = &member.switch.caller_statements;
            all.lock().expect("no panic under the lock").push(told);
        }
        let answer = {
            let _slot = member.switch.slots.acquire().await.expect("never closed");
            member.run(&mut session, query_id, text)
        };
        member.switch.thaw().await;
        if query_id != "-" && member.switch.takes(&member.switch.lose_answers) {
            return Ok(());
        }
        if answer.starts_with("DATA") && member.switch.takes(&member.switch.truncate_rows) {
            return write.write_all(&answer.as_bytes()[..4]).await;
        }
        let state = member.state(&session);
        write
            .write_all(format!("{answer}{state}").as_bytes())
            .await?;
    }
    Ok(())
}

const DONE: &str = "COMPLETE -\r\n";

impl Member {
    fn lag(&self) -> Duration {
        Duration::from_millis(self.switch.lag_ms.load(Ordering::SeqCst))
    }

    fn state(&self, session: &Session) -> String {
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

    fn run(&self, session: &mut Session, id: &str, text: &str) -> String {
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        let (first, tail) = rest.split_once(' ').unwrap_or((rest, ""));
        match verb {
            "AFTER" => self.after(session, id, first, tail),
            "STATUS" => self.status(),
            "PAUSE" => self.pause(first.parse().unwrap_or_default()),
            "RESUME" => {
                self.with(|state| state.fence_term = 0);
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
                let (mode, shape) = tail.split_once(' ').unwrap_or((tail, ""));
                let statement = (mode.to_owned(), shape.to_owned());
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

    fn with<T>(&self, change: impl FnOnce(&mut super::group::State) -> T) -> T {
        let mut members = self.group.members();
        change(members.get_mut(&self.id).expect("a member of its group"))
    }

    fn after(&self, session: &mut Session, id: &str, floor: &str, text: &str) -> String {
        let index: usize = floor
            .split_once('.')
            .and_then(|(_, index)| index.parse().ok())
            .unwrap_or_default();
        let lag = self.lag();
        match self.with(|state| state.applied(lag) >= index) {
            true => self.run(session, id, text),
            false => "ERROR LAGGING behind\r\n".to_owned(),
        }
    }

    fn status(&self) -> String {
        let open = self.switch.open_connections.load(Ordering::SeqCst);
        self.with(|state| {
            let role = if state.primary { "primary" } else { "replica" };
            let position = state.position(state.log.len());
            format!(
                "DATA {role} {} {position} {} 0 0 {open}\r\n{DONE}",
                state.term, state.fence_term
            )
        })
    }

    fn pause(&self, term: u64) -> String {
        let taken = self.with(|state| {
            let taken = !state.primary && term > state.term;
            if taken {
                state.fence_term = term;
            }
            taken
        });
        match taken {
            true => self.status(),
            false => "ERROR MALFORMED not above the newest\r\n".to_owned(),
        }
    }

    fn step_down(&self, term: u64) -> String {
        self.with(|state| state.primary &= term <= state.term);
        self.status()
    }

    fn begin(&self, session: &mut Session, read_only: bool) -> String {
        if !read_only && !self.with(|state| state.primary) {
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
        if !writes.is_empty() && !self.with(|state| state.primary) {
            return format!("ERROR READONLY {}\r\n", self.id);
        }
        self.with(|state| {
            for (id, thing, data) in &writes {
                state.append(thing, data, id);
            }
        });
        self.group.replicate();
        format!("COMPLETE commit.{}\r\n", self.id)
    }

    fn read(&self, session: &Session, thing: &str) -> String {
        self.switch.reads.fetch_add(1, Ordering::SeqCst);
        let lag = self.lag();
        let value = self.with(|state| state.value(thing, state.applied(lag)));
        let open = session.transaction.iter().flatten();
        let mut own = open.rev().filter(|(_, written, _)| written == thing);
        let value = own.next().map(|(_, _, data)| data.clone()).or(value);
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

    fn write(&self, session: &mut Session, id: &str, thing: &str, data: &str) -> String {
        if session.read_only && session.transaction.is_some() || !self.with(|state| state.primary) {
            session.failed = session.transaction.is_some();
            return format!("ERROR READONLY {}\r\n", self.id);
        }
        match &mut session.transaction {
            Some(writes) => writes.push((id.to_owned(), thing.to_owned(), data.to_owned())),
            None => {
                self.with(|state| state.append(thing, data, id));
                self.group.replicate();
            }
        }
        format!("COMPLETE write.{}\r\n", self.id)
    }

    fn execute(&self, session: &mut Session, id: &str, name: &str, arguments: &str) -> String {
        let Some((mode, shape)) = session.prepared.get(name).cloned() else {
            return "ERROR NOSTMT unknown\r\n".to_owned();
        };
        let (thing, data) = arguments.split_once(' ').unwrap_or((arguments, ""));
        match &*mode {
            "READ" => self.read(session, thing),
            _ => self.write(session, id, thing, &format!("{shape}:{data}")),
        }
    }
}
