//! Stand-ins for the members of a service: the wire, the replicated log, and promotion.
//!
//! Follows PROTOCOL.md under "Members". Each member notes what it ran, on which connection and in
//! whose transaction, so that a run can be checked afterwards.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::record::Record;

/// Time between receiving and applying an entry.
const REPLICA_LAG: Duration = Duration::from_millis(60);
/// Time from an order to promote until the member leads.
const PROMOTION_TIME: Duration = Duration::from_millis(300);
/// Time for which an old primary that reaches the new one goes on.
const OLD_PRIMARY_TIME: Duration = Duration::from_secs(1);
/// Statements that a member runs at once.
const SLOTS: usize = 3;
/// Interval of the accept loop and of the replication.
const TICK: Duration = Duration::from_millis(2);

/// A committed write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    pub thing: String,
    pub data: String,
    /// Id of the statement that wrote it.
    pub id: String,
}

/// A member's log and its place in the service.
struct State {
    running: bool,
    primary: bool,
    term: u64,
    /// Term of the fence under which the member receives nothing; 0 without one.
    fence: u64,
    log: Vec<Entry>,
    /// When each entry was received; none if it counts as applied.
    received: Vec<Option<Instant>>,
    lag: Duration,
    /// Whether the member receives nothing for a while.
    deaf: bool,
    /// Whether the member is partitioned from the other members.
    isolated: bool,
}

impl State {
    fn applied(&self) -> usize {
        let due = |at: &&Option<Instant>| at.is_none_or(|at| at.elapsed() >= self.lag);
        self.received.iter().take_while(due).count()
    }

    fn position(&self, length: usize) -> String {
        match self.term {
            0 => "-".to_owned(),
            term => format!("{term}.{length}"),
        }
    }
}

/// A statement of a client that a member ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub member: String,
    pub connection: u64,
    /// Machine that sent the statement.
    pub sender: IpAddr,
    pub id: String,
    pub text: String,
    /// Mode and shape that an EXECUTE ran.
    pub shape: Option<String>,
    /// Id of the BEGIN of the transaction in which it ran.
    pub transaction: Option<String>,
    /// Length of the log that a read saw.
    pub applied: usize,
}

/// A commit that changed the log.
#[derive(Clone, Debug)]
pub struct Commit {
    pub at: Duration,
    pub member: String,
    pub term: u64,
    /// Length of the log after it.
    pub index: usize,
    /// Id of the COMMIT or of the single write.
    pub id: String,
    /// Ids of the writes that it made permanent.
    pub writes: Vec<String>,
}

/// A promotion that took effect.
#[derive(Clone, Debug)]
pub struct Promotion {
    pub at: Duration,
    pub member: String,
    pub old: String,
    pub term: u64,
    /// Ids of the writes in the promoted member's log.
    pub log: Vec<String>,
}

/// The members of one service.
pub struct Group {
    pub name: String,
    /// Whether a commit is answered once one replica has received it.
    sync: bool,
    states: Mutex<BTreeMap<String, State>>,
    pub runs: Mutex<Vec<Run>>,
    pub commits: Mutex<Vec<Commit>>,
    pub promotions: Mutex<Vec<Promotion>>,
    pub record: Arc<Record>,
}

impl Group {
    /// Creates a service whose first member is the primary of term 1.
    pub fn new(name: &str, ids: &[&str], sync: bool, record: Arc<Record>) -> Arc<Self> {
        let state = |(i, id): (usize, &&str)| {
            let state = State {
                running: true,
                primary: i == 0,
                term: 1,
                fence: 0,
                log: Vec::new(),
                received: Vec::new(),
                lag: REPLICA_LAG,
                deaf: false,
                isolated: false,
            };
            (id.to_string(), state)
        };
        let group = Arc::new(Self {
            name: name.to_owned(),
            sync,
            states: Mutex::new(ids.iter().enumerate().map(state).collect()),
            runs: Mutex::default(),
            commits: Mutex::default(),
            promotions: Mutex::default(),
            record,
        });
        let replicated = group.clone();
        std::thread::spawn(move || {
            loop {
                replicated.replicate();
                std::thread::sleep(TICK);
            }
        });
        group
    }

    fn states(&self) -> MutexGuard<'_, BTreeMap<String, State>> {
        self.states.lock().unwrap()
    }

    /// Returns a copy of a member's log.
    pub fn log(&self, id: &str) -> Vec<Entry> {
        self.states()[id].log.clone()
    }

    /// Returns the primary of the newest term.
    pub fn primary(&self) -> String {
        let states = self.states();
        let primaries = states
            .iter()
            .filter(|(_, state)| state.primary && state.running);
        let newest = primaries.max_by_key(|(_, state)| state.term);
        newest.map(|(id, _)| id.clone()).unwrap_or_default()
    }

    /// Sets the time that a replica needs to apply an entry.
    pub fn set_lag(&self, id: &str, lag: Duration) {
        self.states().get_mut(id).expect("a member").lag = lag;
    }

    /// Sets whether a replica receives nothing.
    pub fn set_deaf(&self, id: &str, deaf: bool) {
        self.states().get_mut(id).expect("a member").deaf = deaf;
    }

    /// Sets whether a member is partitioned from the other members.
    pub fn set_isolated(&self, id: &str, isolated: bool) {
        self.states().get_mut(id).expect("a member").isolated = isolated;
    }

    fn is_isolated(&self, id: &str) -> bool {
        self.states().get(id).is_some_and(|state| state.isolated)
    }

    /// Whether a running replica has received the log up to this length.
    fn is_received(&self, index: usize) -> bool {
        let states = self.states();
        let mut replicas = states
            .values()
            .filter(|state| state.running && !state.primary);
        replicas.any(|state| state.log.len() >= index)
    }

    /// Marks a member as crashed.
    pub fn stop(&self, id: &str) {
        self.states().get_mut(id).expect("a member").running = false;
    }

    /// Starts a crashed member as one that retains nothing.
    pub fn start_blank(&self, id: &str) {
        let mut states = self.states();
        let state = states.get_mut(id).expect("a member");
        state.running = true;
        state.primary = false;
        state.term = 0;
        state.fence = 0;
        state.log.clear();
        state.received.clear();
    }

    /// Starts a crashed member under a new id, as a replica with its log.
    pub fn start_as(&self, old: &str, new: &str) {
        let mut states = self.states();
        let state = states.remove(old).expect("a member");
        let state = State {
            running: true,
            primary: false,
            fence: 0,
            ..state
        };
        states.insert(new.to_owned(), state);
    }

    /// Copies the newest primary's log to the replicas that receive.
    fn replicate(&self) {
        let mut states = self.states();
        let primaries = states
            .values()
            .filter(|state| state.primary && state.running);
        let Some(newest) = primaries.max_by_key(|state| state.term) else {
            return;
        };
        if newest.isolated {
            return;
        }
        let (term, log) = (newest.term, newest.log.clone());
        for state in states.values_mut() {
            let receives = state.running && !state.deaf && !state.isolated && state.fence == 0;
            if state.primary || !receives {
                continue;
            }
            let same = state.log.iter().zip(&log).take_while(|(a, b)| a == b);
            let common = same.count();
            state.log.truncate(common);
            state.received.truncate(common);
            for entry in &log[common..] {
                state.log.push(entry.clone());
                state.received.push(Some(Instant::now()));
            }
            state.term = term;
        }
    }

    /// Accepts an order to promote. Returns false if the member isn't running.
    pub fn promote(self: &Arc<Self>, id: &str) -> bool {
        let running = self.states().get(id).is_some_and(|state| state.running);
        if running {
            let (group, id) = (self.clone(), id.to_owned());
            std::thread::spawn(move || {
                std::thread::sleep(PROMOTION_TIME);
                group.lead(&id);
            });
        }
        running
    }

    fn lead(self: &Arc<Self>, id: &str) {
        let old = self.primary();
        let mut states = self.states();
        let newest = states.values().map(|state| state.term).max();
        let term = newest.unwrap_or_default() + 1;
        let Some(state) = states.get_mut(id) else {
            return;
        };
        if state.primary || !state.running {
            return;
        }
        state.primary = true;
        state.term = term;
        state.received.iter_mut().for_each(|at| *at = None);
        let log: Vec<String> = state.log.iter().map(|entry| entry.id.clone()).collect();
        // A promotion ends all fences.
        states.values_mut().for_each(|state| state.fence = 0);
        let at = self.record.now();
        drop(states);
        let text = format!("{}: {id} leads term {term}; {old} led before", self.name);
        self.record.line(&text);
        let (member, replaced) = (id.to_owned(), old.clone());
        let promotion = Promotion {
            at,
            member,
            old,
            term,
            log,
        };
        self.promotions.lock().unwrap().push(promotion);
        let group = self.clone();
        std::thread::spawn(move || {
            // It goes on until a second after it can reach the new one.
            std::thread::sleep(OLD_PRIMARY_TIME);
            while group.is_isolated(&replaced) {
                std::thread::sleep(OLD_PRIMARY_TIME);
            }
            group.step_down(&replaced, term);
        });
    }

    /// Turns a primary of a lower term into a replica.
    fn step_down(&self, id: &str, term: u64) {
        let mut states = self.states();
        let Some(state) = states.get_mut(id) else {
            return;
        };
        if state.primary && state.term < term {
            state.primary = false;
            drop(states);
            let text = format!("{}: {id} is a replica from now on", self.name);
            self.record.line(&text);
        }
    }
}

/// A running member.
#[derive(Clone)]
pub struct Member {
    pub group: Arc<Group>,
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    connections: usize,
    /// Time that a read, a write or a commit occupies a slot.
    work: Duration,
    draining: Arc<AtomicBool>,
    /// Whether the store doesn't hear the member.
    unheard: Arc<AtomicBool>,
    life: Arc<Mutex<Life>>,
    /// Machines whose links to this member are cut.
    cut: Arc<Mutex<HashSet<IpAddr>>>,
    slots: Arc<(Mutex<usize>, Condvar)>,
    next_connection: Arc<AtomicU64>,
}

/// One life of a member's process.
#[derive(Default)]
struct Life {
    ended: Arc<AtomicBool>,
    streams: Vec<TcpStream>,
}

impl Member {
    /// Starts a member that accepts so many connections.
    pub fn start(
        group: &Arc<Group>,
        id: &str,
        zone: &str,
        connections: usize,
        work: Duration,
    ) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(any, group, id, zone, connections, work)
    }

    /// Starts a member at an address that is free.
    pub fn start_at(
        address: SocketAddr,
        group: &Arc<Group>,
        id: &str,
        zone: &str,
        connections: usize,
        work: Duration,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("a free port");
        let member = Self {
            group: group.clone(),
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("bound"),
            connections,
            work,
            draining: Arc::default(),
            unheard: Arc::default(),
            life: Arc::default(),
            cut: Arc::default(),
            slots: Arc::new((Mutex::new(SLOTS), Condvar::new())),
            next_connection: Arc::new(AtomicU64::new(1)),
        };
        member.serve(listener);
        member
    }

    /// Returns the member's entry in the store.
    pub fn entry(&self, sequence: u64, born: Option<u64>) -> String {
        let born = born.map_or(String::new(), |born| format!(",\"born\":{born}"));
        format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":3,\"state\":\"{}\",\"cold_remaining_ms\":0,\"db_role\":\"{}\",\"sequence\":{sequence}{born}}}",
            self.group.name,
            self.address,
            self.zone,
            if self.draining.load(Ordering::SeqCst) {
                "draining"
            } else {
                "ready"
            },
            if self.group.primary() == self.id {
                "primary"
            } else {
                "replica"
            },
        )
    }

    /// Whether the member's process has ended.
    pub fn has_ended(&self) -> bool {
        self.life.lock().unwrap().ended.load(Ordering::SeqCst)
    }

    /// Says that the member leaves. It serves on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Sets whether the store hears the member, which keeps its entry there.
    pub fn set_heard(&self, heard: bool) {
        self.unheard.store(!heard, Ordering::SeqCst);
    }

    /// Whether the member writes its entry.
    pub fn keeps_entry(&self) -> bool {
        !self.has_ended() && !self.unheard.load(Ordering::SeqCst)
    }

    /// Cuts the link to a machine, or heals it. Nothing passes a cut link, and nothing is reset.
    pub fn cut_link(&self, machine: IpAddr, cut: bool) {
        let mut links = self.cut.lock().unwrap();
        match cut {
            true => links.insert(machine),
            false => links.remove(&machine),
        };
    }

    /// Crashes the member: its listener and connections end.
    pub fn crash(&self) {
        self.group.stop(&self.id);
        let mut life = self.life.lock().unwrap();
        life.ended.store(true, Ordering::SeqCst);
        for stream in life.streams.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Starts the crashed member again at its address, as a replica with its log.
    pub fn start_with_log(&self) {
        self.group.start_as(&self.id, &self.id);
        self.listen_again();
    }

    /// Starts the crashed member again at its address. It retains nothing.
    pub fn start_again(&self) {
        self.group.start_blank(&self.id);
        self.listen_again();
    }

    fn listen_again(&self) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => std::thread::sleep(TICK),
            }
        };
        *self.life.lock().unwrap() = Life::default();
        self.serve(listener);
    }

    fn serve(&self, listener: TcpListener) {
        let member = self.clone();
        let ended = self.life.lock().unwrap().ended.clone();
        listener
            .set_nonblocking(true)
            .expect("a listener can be nonblocking");
        std::thread::spawn(move || {
            let open = Arc::new(AtomicUsize::new(0));
            while !ended.load(Ordering::SeqCst) {
                let Ok((stream, peer)) = listener.accept() else {
                    std::thread::sleep(TICK);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(kept) = stream.try_clone() {
                    member.life.lock().unwrap().streams.push(kept);
                }
                let (member, open, ended) = (member.clone(), open.clone(), ended.clone());
                std::thread::spawn(move || {
                    let full = open.fetch_add(1, Ordering::SeqCst) >= member.connections;
                    let mut session = Session {
                        number: member.next_connection.fetch_add(1, Ordering::SeqCst),
                        member,
                        machine: peer.ip(),
                        ended,
                        transaction: None,
                        read_only: false,
                        failed: false,
                        writes: Vec::new(),
                        values: BTreeMap::new(),
                        prepared: HashMap::new(),
                        shape: None,
                    };
                    session.run(stream, full);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
    }

    /// Waits while the link to a machine is cut. Returns false if the other end is gone then: what
    /// a cut held up is lost if its sender has closed the connection.
    fn pass_link(&self, machine: IpAddr, stream: &TcpStream) -> bool {
        let mut waited = false;
        while self.cut.lock().unwrap().contains(&machine) {
            waited = true;
            std::thread::sleep(TICK);
        }
        let mut byte = [0];
        !waited || {
            let _ = stream.set_nonblocking(true);
            let closed = matches!(stream.peek(&mut byte), Ok(0))
                || stream.take_error().is_ok_and(|error| error.is_some());
            let _ = stream.set_nonblocking(false);
            !closed
        }
    }

    /// Occupies a slot for the time of one statement.
    fn work(&self) {
        let (free, freed) = &*self.slots;
        let mut slots = free.lock().unwrap();
        while *slots == 0 {
            slots = freed.wait(slots).unwrap();
        }
        *slots -= 1;
        drop(slots);
        std::thread::sleep(self.work);
        *free.lock().unwrap() += 1;
        freed.notify_one();
    }
}

/// One connection to a member.
struct Session {
    member: Member,
    number: u64,
    machine: IpAddr,
    /// Whether the member's process has ended.
    ended: Arc<AtomicBool>,
    /// Id of the BEGIN of the open transaction.
    transaction: Option<String>,
    read_only: bool,
    failed: bool,
    writes: Vec<Entry>,
    values: BTreeMap<String, String>,
    prepared: HashMap<String, (String, String)>,
    /// Mode and shape of the EXECUTE that runs.
    shape: Option<String>,
}

const DONE: &str = "COMPLETE -\r\n";

impl Session {
    fn run(&mut self, stream: TcpStream, full: bool) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        let mut writer = &stream;
        let Some(connect) = read_line(&mut reader) else {
            return;
        };
        if !self.member.pass_link(self.machine, &stream) {
            return;
        }
        let words: Vec<&str> = connect.split(' ').collect();
        let named = words.get(1) == Some(&self.member.group.name.as_str())
            && words.get(3).is_none_or(|id| *id == self.member.id);
        let refusal = match (named, full) {
            (false, _) => Some("ERROR WRONGNODE another\r\n"),
            (_, true) => Some("ERROR OVERLOAD full\r\n"),
            _ => None,
        };
        if let Some(refusal) = refusal {
            let _ = writer.write_all(refusal.as_bytes());
            return;
        }
        // A new connection holds a slot for a while.
        std::thread::sleep(Duration::from_millis(12));
        if writer.write_all(self.ready().as_bytes()).is_err() {
            return;
        }
        while let Some(line) = read_line(&mut reader) {
            if !self.member.pass_link(self.machine, &stream) {
                return;
            }
            let Some(query) = line.strip_prefix("QUERY ") else {
                return;
            };
            let (id, text) = query.split_once(' ').unwrap_or((query, ""));
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let answer = self.answer(id, text);
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let answer = format!("{answer}{}", self.ready());
            if !self.member.pass_link(self.machine, &stream)
                || writer.write_all(answer.as_bytes()).is_err()
            {
                return;
            }
        }
    }

    fn with_state<T>(&self, access: impl FnOnce(&mut State) -> T) -> T {
        let mut states = self.member.group.states();
        access(states.get_mut(&self.member.id).expect("a member"))
    }

    /// Returns the line that ends an answer.
    fn ready(&self) -> String {
        let letter = match (&self.transaction, self.failed) {
            (_, true) => 'E',
            (Some(_), _) => 'T',
            (None, _) => 'I',
        };
        let position = self.with_state(|state| state.position(state.applied()));
        format!("READY {letter} {position}\r\n")
    }

    fn is_primary(&self) -> bool {
        self.with_state(|state| state.primary)
    }

    fn refuse_read_only(&mut self) -> String {
        self.failed = self.transaction.is_some();
        format!("ERROR READONLY {}\r\n", self.member.id)
    }

    /// Notes that a client's statement has run.
    fn note(&self, id: &str, text: &str, applied: usize) {
        if id == "-" {
            return;
        }
        let group = &self.member.group;
        let transaction = self.transaction.clone();
        let inside = transaction
            .as_ref()
            .map(|begin| format!(" in the transaction of {begin}"));
        group.record.line(&format!(
            "{} runs {id} {text} on connection {} from {}{}, log {applied}",
            self.member.id,
            self.number,
            self.machine,
            inside.unwrap_or_default()
        ));
        group.runs.lock().unwrap().push(Run {
            at: group.record.now(),
            member: self.member.id.clone(),
            connection: self.number,
            sender: self.machine,
            id: id.to_owned(),
            text: text.to_owned(),
            shape: self.shape.clone(),
            transaction,
            applied,
        });
    }

    fn answer(&mut self, id: &str, text: &str) -> String {
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        let (first, tail) = rest.split_once(' ').unwrap_or((rest, ""));
        if self.failed && !matches!(verb, "COMMIT" | "ROLLBACK") {
            return "ERROR MALFORMED the transaction has failed\r\n".to_owned();
        }
        match verb {
            "AFTER" => self.after(id, first, tail),
            "STATUS" => self.status(),
            "PAUSE" => self.pause(first.parse().unwrap_or(0)),
            "RESUME" => {
                self.with_state(|state| state.fence = 0);
                self.status()
            }
            "STEPDOWN" => {
                self.member
                    .group
                    .step_down(&self.member.id, first.parse().unwrap_or(0));
                self.status()
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                DONE.to_owned()
            }
            "SET" => {
                self.values.insert(first.to_owned(), tail.to_owned());
                DONE.to_owned()
            }
            "PREPARE" => {
                let (mode, shape) = tail.split_once(' ').unwrap_or((tail, ""));
                let shape = (mode.to_owned(), shape.to_owned());
                self.prepared.insert(first.to_owned(), shape);
                DONE.to_owned()
            }
            "EXECUTE" => match self.prepared.get(first).cloned() {
                None => "ERROR NOSTMT unknown\r\n".to_owned(),
                Some((mode, shape)) => {
                    let (thing, data) = tail.split_once(' ').unwrap_or((tail, ""));
                    self.shape = Some(format!("{mode} {shape}"));
                    let answer = match mode.as_str() {
                        "READ" => self.read(id, text, thing),
                        _ => self.write(id, text, thing, data),
                    };
                    self.shape = None;
                    answer
                }
            },
            "BEGIN" => self.begin(id, text, rest == "READ"),
            "ROLLBACK" => {
                self.note(id, text, 0);
                self.end_transaction();
                DONE.to_owned()
            }
            "COMMIT" => self.commit(id, text),
            "READ" => self.read(id, text, first),
            "WRITE" => self.write(id, text, first, tail),
            _ => "ERROR MALFORMED unknown\r\n".to_owned(),
        }
    }

    fn end_transaction(&mut self) -> Vec<Entry> {
        self.transaction = None;
        self.failed = false;
        std::mem::take(&mut self.writes)
    }

    fn after(&mut self, id: &str, position: &str, text: &str) -> String {
        let index = position
            .split_once('.')
            .and_then(|(_, index)| index.parse().ok());
        let index: usize = index.unwrap_or(0);
        match self.with_state(|state| state.applied() >= index) {
            true => self.answer(id, text),
            false => "ERROR LAGGING behind\r\n".to_owned(),
        }
    }

    fn status(&self) -> String {
        self.with_state(|state| {
            let role = if state.primary { "primary" } else { "replica" };
            let position = state.position(state.log.len());
            let lag = state.lag.as_millis();
            format!(
                "DATA {role} {} {position} {} {lag} 0 1\r\n{DONE}",
                state.term, state.fence
            )
        })
    }

    fn pause(&self, term: u64) -> String {
        let accepted = self.with_state(|state| {
            let accepted = !state.primary && term > state.term.max(state.fence);
            if accepted {
                state.fence = term;
            }
            accepted
        });
        match accepted {
            true => {
                let text = format!(
                    "{} pauses under {term} for {}",
                    self.member.id, self.machine
                );
                self.member.group.record.line(&text);
                self.status()
            }
            false => "ERROR MALFORMED not above the newest\r\n".to_owned(),
        }
    }

    fn begin(&mut self, id: &str, text: &str, read_only: bool) -> String {
        if !read_only && !self.is_primary() {
            return self.refuse_read_only();
        }
        self.note(id, text, 0);
        self.transaction = Some(id.to_owned());
        self.read_only = read_only;
        DONE.to_owned()
    }

    fn digest(&self, id: &str) -> String {
        format!("COMPLETE {}.{}.{id}\r\n", self.member.id, self.number)
    }

    fn read(&mut self, id: &str, text: &str, thing: &str) -> String {
        self.member.work();
        let (applied, value) = self.with_state(|state| {
            let applied = state.applied();
            let mut entries = state.log[..applied].iter().rev();
            let found = entries.find(|entry| entry.thing == thing);
            (applied, found.map(|entry| entry.data.clone()))
        });
        let mut own = self.writes.iter().rev();
        let own = own.find(|entry| entry.thing == thing);
        let value = own.map(|entry| entry.data.clone()).or(value);
        self.note(id, text, applied);
        format!(
            "DATA {}\r\n{}",
            value.as_deref().unwrap_or("none"),
            self.digest(id)
        )
    }

    fn write(&mut self, id: &str, text: &str, thing: &str, data: &str) -> String {
        self.member.work();
        let read_only = self.read_only && self.transaction.is_some();
        if read_only || !self.is_primary() {
            return self.refuse_read_only();
        }
        let entry = Entry {
            term: 0,
            thing: thing.to_owned(),
            data: data.to_owned(),
            id: id.to_owned(),
        };
        self.note(id, text, 0);
        match self.transaction {
            Some(_) => self.writes.push(entry),
            None => self.append(id, vec![entry]),
        }
        self.digest(id)
    }

    fn commit(&mut self, id: &str, text: &str) -> String {
        self.member.work();
        if self.failed {
            self.end_transaction();
            return "ERROR ABORTED the transaction had failed\r\n".to_owned();
        }
        if !self.writes.is_empty() && !self.is_primary() {
            self.end_transaction();
            return format!("ERROR READONLY {}\r\n", self.member.id);
        }
        self.note(id, text, 0);
        let writes = self.end_transaction();
        if !writes.is_empty() {
            self.append(id, writes);
        }
        self.digest(id)
    }

    fn append(&self, id: &str, writes: Vec<Entry>) {
        let ids: Vec<String> = writes.iter().map(|entry| entry.id.clone()).collect();
        let (term, index) = self.with_state(|state| {
            for entry in writes {
                let term = state.term;
                state.log.push(Entry { term, ..entry });
                state.received.push(None);
            }
            (state.term, state.log.len())
        });
        let group = &self.member.group;
        let member = &self.member.id;
        while group.sync && !group.is_received(index) && !self.ended.load(Ordering::SeqCst) {
            std::thread::sleep(TICK);
        }
        let text = format!(
            "{member} commits {term}.{index} for {id}: writes {}",
            ids.join(" ")
        );
        group.record.line(&text);
        group.commits.lock().unwrap().push(Commit {
            at: group.record.now(),
            member: member.clone(),
            term,
            index,
            id: id.to_owned(),
            writes: ids,
        });
    }
}

/// Reads a line up to its CR LF. Returns `None` at the end of the connection.
pub fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    loop {
        let read = reader.read_until(b'\n', &mut line).ok()?;
        if read == 0 {
            return None;
        }
        if line.ends_with(b"\r\n") {
            line.truncate(line.len() - 2);
            return String::from_utf8(line).ok();
        }
    }
}
