//! The members of one service: logs, replication, promotion and the wire that they speak.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::net::Links;

/// Time for which a replaced primary that can reach the new one goes on.
const STEP_DOWN_AFTER: Duration = Duration::from_secs(1);
/// Time of a new connection.
const HANDSHAKE: Duration = Duration::from_millis(12);
const SLOTS: usize = 3;

#[derive(Clone, Debug)]
pub struct Entry {
    pub term: u64,
    pub id: String,
    pub key: String,
    pub value: String,
}

pub struct State {
    pub zone: String,
    pub address: SocketAddr,
    pub running: bool,
    /// Whether the member has ended for good.
    gone: bool,
    pub primary: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    /// When the entry at each index was received.
    received: Vec<Instant>,
    held_term: u64,
    draining: bool,
    /// Whether the member, a replica, receives nothing.
    deaf: bool,
    sequence: u64,
    born: u128,
    /// Since when the member, a primary, could reach one of a newer term.
    replaced_since: Option<Instant>,
}

impl State {
    fn applied(&self, lag: Duration) -> usize {
        if self.primary {
            return self.log.len();
        }
        let now = Instant::now();
        self.received
            .iter()
            .take_while(|at| now >= **at + lag)
            .count()
    }

    fn position(&self, index: usize) -> String {
        format!("{}.{index}", self.term)
    }
}

/// A write that took effect at a member.
#[derive(Clone, Debug)]
pub struct Commit {
    pub at: Instant,
    pub member: String,
    pub term: u64,
    pub id: String,
}

/// A promotion that took effect.
#[derive(Clone, Debug)]
pub struct Promotion {
    pub at: Instant,
    pub member: String,
    pub term: u64,
    /// Ids of the commits in the member's log.
    pub held: Vec<String>,
    /// What the other running members held.
    pub others: String,
}

/// What the sheet of a site tells of its members.
#[derive(Clone, Copy, Debug)]
pub struct Sheet {
    /// How far the replicas are behind.
    pub lag: Duration,
    /// Time from an order to the new leader.
    pub promote: Duration,
    /// Time for which a read, a write or a commit holds a slot.
    pub work: Duration,
    /// `max_connections` of each member.
    pub connections: usize,
    /// `sync_replicas`: replicas that must have received a write before it is answered.
    pub sync_replicas: usize,
    /// `max_fds` of the boxes, where it is to be enforced.
    pub files: Option<u64>,
}

#[derive(Clone)]
pub struct Group {
    pub name: String,
    sheet: Sheet,
    /// Links of the boxes to each member.
    links: Arc<Mutex<HashMap<String, Links>>>,
    members: Arc<Mutex<BTreeMap<String, State>>>,
    pub commits: Arc<Mutex<Vec<Commit>>>,
    pub promotions: Arc<Mutex<Vec<Promotion>>>,
    /// Open connections by member, to end them when it crashes.
    streams: Arc<Mutex<HashMap<String, Vec<TcpStream>>>>,
    start: Instant,
    record: Arc<Mutex<File>>,
}

impl Group {
    pub fn new(name: &str, record: File, sheet: Sheet) -> Self {
        Self {
            name: name.to_owned(),
            sheet,
            links: Arc::default(),
            members: Arc::default(),
            commits: Arc::default(),
            promotions: Arc::default(),
            streams: Arc::default(),
            start: Instant::now(),
            record: Arc::new(Mutex::new(record)),
        }
    }

    /// Writes a line to the record.
    pub fn note(&self, text: String) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.record.lock().unwrap(), "{at:9.3}  {text}");
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn members(&self) -> MutexGuard<'_, BTreeMap<String, State>> {
        self.members.lock().unwrap()
    }

    /// Returns the ids of the running members.
    pub fn ids(&self) -> Vec<String> {
        let members = self.members();
        let running = members.iter().filter(|(_, state)| state.running);
        running.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the running primary with the newest term.
    pub fn primary(&self) -> Option<String> {
        let members = self.members();
        let leading = members.iter().filter(|(_, s)| s.primary && s.running);
        leading
            .max_by_key(|(_, s)| s.term)
            .map(|(id, _)| id.clone())
    }

    fn links_of(&self, id: &str) -> Links {
        let mut links = self.links.lock().unwrap();
        links.entry(id.to_owned()).or_default().clone()
    }

    /// Cuts a member off from boxes.
    pub fn cut_member(&self, id: &str, from: &[std::net::Ipv4Addr]) {
        self.links_of(id).cut(from);
    }

    pub fn heal_members(&self) {
        for links in self.links.lock().unwrap().values() {
            links.heal();
        }
    }

    /// Whether the box was cut off from a member within `slack` before `moment`.
    pub fn was_cut(&self, machine: std::net::Ipv4Addr, moment: Instant, slack: Duration) -> bool {
        let links = self.links.lock().unwrap();
        links
            .values()
            .any(|links| links.was_cut(machine, moment, slack))
    }

    /// Starts a member. The first one is the primary of term 1.
    pub fn start(&self, id: &str, zone: &str, ip: std::net::Ipv4Addr) -> std::io::Result<()> {
        self.start_at(id, zone, (ip, 0).into())
    }

    /// Starts a member that holds and knows nothing.
    fn start_at(&self, id: &str, zone: &str, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let mut members = self.members();
        let first = members.is_empty();
        let unix = std::time::SystemTime::UNIX_EPOCH.elapsed();
        let born = unix.map_err(std::io::Error::other)?.as_millis();
        let state = State {
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            running: true,
            gone: false,
            primary: first,
            term: u64::from(first),
            log: Vec::new(),
            received: Vec::new(),
            held_term: 0,
            draining: false,
            deaf: false,
            sequence: 0,
            born,
            replaced_since: None,
        };
        members.insert(id.to_owned(), state);
        drop(members);
        let (group, id) = (self.clone(), id.to_owned());
        std::thread::spawn(move || group.accept(&id, listener));
        Ok(())
    }

    fn accept(&self, id: &str, listener: TcpListener) {
        let slots = Arc::new(Slots::default());
        let open = Arc::new(AtomicUsize::new(0));
        for stream in listener.incoming().flatten() {
            if self.members()[id].gone {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                let mut streams = self.streams.lock().unwrap();
                streams.entry(id.to_owned()).or_default().push(copy);
            }
            let (group, id) = (self.clone(), id.to_owned());
            let (slots, open) = (slots.clone(), open.clone());
            std::thread::spawn(move || {
                let count = open.fetch_add(1, Ordering::SeqCst) + 1;
                let full = count > group.sheet.connections;
                let mut session = Session::new(group, id, slots, open.clone());
                let _ = session.serve(stream, full);
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    }

    /// Lets a member crash without a word, and starts it again under its id and at its address. It
    /// holds and knows nothing of before; connections of before are reset.
    pub fn restart(&self, id: &str, down: Duration, boxes: &[std::net::Ipv4Addr]) {
        self.note(format!("{id} crashes and is dark"));
        self.cut_member(id, boxes);
        if let Some(state) = self.members().get_mut(id) {
            state.running = false;
        }
        std::thread::sleep(down);
        let unix = std::time::SystemTime::UNIX_EPOCH.elapsed();
        if let Some(state) = self.members().get_mut(id) {
            state.running = true;
            state.primary = false;
            state.term = 0;
            state.log.clear();
            state.received.clear();
            state.held_term = 0;
            state.sequence = 0;
            state.born = unix.unwrap_or_default().as_millis();
            state.replaced_since = None;
        }
        let streams = self.streams.lock().unwrap().remove(id);
        for stream in streams.into_iter().flatten() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.heal_members();
        self.note(format!("{id} starts again and holds nothing"));
    }

    /// Whether the member runs and is the one that started at `born`.
    fn is_running(&self, id: &str, born: u128) -> bool {
        let members = self.members();
        let state = members.get(id).filter(|state| state.running);
        state.is_some_and(|state| state.born == born)
    }

    /// Sets whether a replica receives nothing.
    pub fn set_deaf(&self, id: &str, deaf: bool) {
        if let Some(state) = self.members().get_mut(id) {
            state.deaf = deaf;
        }
        let what = if deaf {
            "receives nothing"
        } else {
            "receives again"
        };
        self.note(format!("{id} {what}"));
    }

    /// Copies the newest primary's log to the replicas, and lets replaced primaries step down.
    pub fn replicate(&self) {
        let mut members = self.members();
        let leading = members.values().filter(|s| s.primary && s.running);
        let Some(leader) = leading.max_by_key(|s| s.term) else {
            return;
        };
        let (term, log) = (leader.term, leader.log.clone());
        for state in members.values_mut().filter(|s| s.running) {
            if state.primary && state.term < term {
                let since = *state.replaced_since.get_or_insert(Instant::now());
                if since.elapsed() >= STEP_DOWN_AFTER {
                    state.primary = false;
                    state.replaced_since = None;
                }
                continue;
            }
            if state.primary || state.deaf || state.held_term > 0 || state.term > term {
                continue;
            }
            let shorter = state.log.len().min(log.len());
            let same = |i: &usize| {
                let (own, other) = (&state.log[*i], &log[*i]);
                own.term == other.term && own.id == other.id
            };
            let common = match state.term == term {
                true => shorter,
                false => (0..shorter).take_while(same).count(),
            };
            state.log.truncate(common);
            state.received.truncate(common);
            state.log.extend_from_slice(&log[common..]);
            state.received.resize(log.len(), Instant::now());
            state.term = term;
        }
    }

    /// Takes an order to promote. Returns false if the member isn't running.
    pub fn order_promotion(&self, id: &str) -> bool {
        let members = self.members();
        let Some(state) = members.get(id).filter(|state| state.running) else {
            return false;
        };
        let newest = members.values().filter(|s| s.primary && s.running);
        if state.primary && newest.map(|s| s.term).max() == Some(state.term) {
            return true;
        }
        let (group, id) = (self.clone(), id.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(group.sheet.promote);
            group.promote(&id);
        });
        true
    }

    fn promote(&self, id: &str) {
        let mut members = self.members();
        let newest = members.values().map(|state| state.term).max().unwrap_or(0);
        let others = members
            .iter()
            .filter(|(other, s)| **other != id && s.running);
        let others = others.map(|(other, s)| format!("{other} held {} then", s.log.len()));
        let others = others.collect::<Vec<_>>().join(", ");
        let Some(state) = members.get_mut(id).filter(|state| state.running) else {
            return;
        };
        state.primary = true;
        state.term = newest + 1;
        state.held_term = 0;
        let promotion = Promotion {
            at: Instant::now(),
            member: id.to_owned(),
            term: state.term,
            held: state.log.iter().map(|entry| entry.id.clone()).collect(),
            others,
        };
        self.note(format!("{id} leads term {}", state.term));
        self.promotions.lock().unwrap().push(promotion);
    }

    /// The member's entry in the store.
    pub fn entry(&self, id: &str) -> Option<String> {
        let mut members = self.members();
        let state = members.get_mut(id).filter(|state| state.running)?;
        state.sequence += 1;
        let role = if state.primary { "primary" } else { "replica" };
        let phase = if state.draining { "draining" } else { "ready" };
        Some(format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":{SLOTS},\"state\":\"{phase}\",\"cold_remaining_ms\":0,\"sequence\":{},\"db_role\":\"{role}\",\"born\":{}}}",
            self.name, state.address, state.zone, state.sequence, state.born
        ))
    }

    pub fn set_draining(&self, id: &str) {
        self.note(format!("{id} says draining"));
        if let Some(state) = self.members().get_mut(id) {
            state.draining = true;
        }
    }

    pub fn end(&self, id: &str) {
        self.note(format!("{id} ends"));
        let address = match self.members().get_mut(id) {
            Some(state) => {
                state.running = false;
                state.gone = true;
                state.address
            }
            None => return,
        };
        // Wakes the thread that accepts connections, which ends.
        let _ = TcpStream::connect(address);
        let streams = self.streams.lock().unwrap().remove(id);
        for stream in streams.into_iter().flatten() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// The slots of a member.
#[derive(Default)]
struct Slots {
    busy: Mutex<usize>,
    freed: Condvar,
}

impl Slots {
    fn hold(&self, time: Duration) {
        let mut busy = self.busy.lock().unwrap();
        while *busy >= SLOTS {
            busy = self.freed.wait(busy).unwrap();
        }
        *busy += 1;
        drop(busy);
        std::thread::sleep(time);
        *self.busy.lock().unwrap() -= 1;
        self.freed.notify_one();
    }
}

/// One connection to a member.
struct Session {
    group: Group,
    id: String,
    slots: Arc<Slots>,
    open: Arc<AtomicUsize>,
    transaction: Option<Vec<(String, String, String)>>,
    read_only: bool,
    failed: bool,
    values: HashMap<String, String>,
    prepared: HashMap<String, (String, String)>,
    links: Links,
    /// Start of the member that opened the connection.
    born: u128,
}

const DONE: &str = "COMPLETE -\r\n";

impl Session {
    fn new(group: Group, id: String, slots: Arc<Slots>, open: Arc<AtomicUsize>) -> Self {
        let links = group.links_of(&id);
        let born = group.members()[&id].born;
        Self {
            group,
            id,
            links,
            born,
            slots,
            open,
            transaction: None,
            read_only: false,
            failed: false,
            values: HashMap::new(),
            prepared: HashMap::new(),
        }
    }

    fn serve(&mut self, stream: TcpStream, full: bool) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let from: IpAddr = stream.peer_addr()?.ip();
        if self.links.pass(from) {
            // Opened during a cut.
            return Ok(());
        }
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line)?;
        self.links.pass(from);
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let wrong = words.first() != Some(&"CONNECT")
            || words.get(1) != Some(&&*self.group.name)
            || words.get(3).is_some_and(|id| *id != self.id);
        if wrong {
            return writer.write_all(b"ERROR WRONGNODE another\r\n");
        }
        if full {
            return writer.write_all(b"ERROR OVERLOAD full\r\n");
        }
        self.slots.hold(HANDSHAKE);
        writer.write_all(b"READY I -\r\n")?;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 || !self.group.is_running(&self.id, self.born) {
                return Ok(());
            }
            self.links.pass(from);
            let Some(query) = line.trim_end_matches(['\r', '\n']).strip_prefix("QUERY ") else {
                return Ok(());
            };
            let (id, text) = query.split_once(' ').unwrap_or((query, ""));
            let answer = self.run(id, text);
            if !self.group.is_running(&self.id, self.born) {
                return Ok(());
            }
            if id != "-" {
                let code = answer.rsplit("\r\n").nth(1).unwrap_or("").to_owned();
                self.group
                    .note(format!("{} for {from} runs {id} {text}: {code}", self.id));
            }
            let state = match (&self.transaction, self.failed) {
                (_, true) => 'E',
                (Some(_), _) => 'T',
                (None, _) => 'I',
            };
            let position = {
                let members = self.group.members();
                let member = &members[&self.id];
                member.position(member.applied(self.group.sheet.lag))
            };
            self.links.pass(from);
            writer.write_all(format!("{answer}READY {state} {position}\r\n").as_bytes())?;
        }
    }

    fn with_state<T>(&self, access: impl FnOnce(&mut State) -> T) -> T {
        let mut members = self.group.members();
        access(members.get_mut(&self.id).expect("a member of its group"))
    }

    fn leads(&self) -> bool {
        self.with_state(|state| state.primary)
    }

    fn read_only_error(&mut self) -> String {
        self.failed = self.transaction.is_some();
        format!("ERROR READONLY {}\r\n", self.id)
    }

    fn run(&mut self, id: &str, text: &str) -> String {
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        let (first, tail) = rest.split_once(' ').unwrap_or((rest, ""));
        if self.failed && !matches!(verb, "COMMIT" | "ROLLBACK") {
            return "ERROR MALFORMED the transaction failed\r\n".to_owned();
        }
        match verb {
            "AFTER" => self.after(id, first, tail),
            "STATUS" => {
                self.slots.hold(Duration::from_millis(1));
                self.status()
            }
            "PAUSE" => self.pause(first.parse().unwrap_or(0)),
            "RESUME" => {
                self.with_state(|state| state.held_term = 0);
                self.status()
            }
            "STEPDOWN" => {
                let term: u64 = first.parse().unwrap_or(0);
                self.with_state(|state| {
                    if state.primary && state.term < term {
                        state.primary = false;
                        state.replaced_since = None;
                    }
                });
                self.group.note(format!("{} gets STEPDOWN {term}", self.id));
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
                let prepared = (mode.to_owned(), shape.to_owned());
                self.prepared.insert(first.to_owned(), prepared);
                DONE.to_owned()
            }
            "BEGIN" => {
                self.read_only = rest == "READ";
                if !self.read_only && !self.leads() {
                    return format!("ERROR READONLY {}\r\n", self.id);
                }
                self.transaction = Some(Vec::new());
                DONE.to_owned()
            }
            "ROLLBACK" => {
                self.transaction = None;
                self.failed = false;
                DONE.to_owned()
            }
            "COMMIT" => self.commit(),
            "READ" => self.read(first),
            "WRITE" => self.write(id, first, tail),
            "EXECUTE" => match self.prepared.get(first).cloned() {
                None => "ERROR NOSTMT unknown\r\n".to_owned(),
                Some((mode, shape)) => {
                    let (key, value) = tail.split_once(' ').unwrap_or((tail, ""));
                    match mode.as_str() {
                        "READ" => self.read(key),
                        _ => self.write(id, key, &format!("{shape}:{value}")),
                    }
                }
            },
            _ => "ERROR MALFORMED unknown\r\n".to_owned(),
        }
    }

    fn after(&mut self, id: &str, floor: &str, text: &str) -> String {
        let (term, index) = floor.split_once('.').unwrap_or(("0", "0"));
        let wanted = (
            term.parse::<u64>().unwrap_or(0),
            index.parse::<usize>().unwrap_or(0),
        );
        let lag = self.group.sheet.lag;
        let has = self.with_state(|state| {
            state.term > wanted.0 || (state.term == wanted.0 && state.applied(lag) >= wanted.1)
        });
        match has {
            true => self.run(id, text),
            false => "ERROR LAGGING behind\r\n".to_owned(),
        }
    }

    fn status(&self) -> String {
        let open = self.open.load(Ordering::SeqCst);
        self.with_state(|state| {
            let role = if state.primary { "primary" } else { "replica" };
            let received = state.position(state.log.len());
            let held = state.held_term;
            format!(
                "DATA {role} {} {received} {held} 0 0 {open}\r\n{DONE}",
                state.term
            )
        })
    }

    fn pause(&mut self, term: u64) -> String {
        let taken = self.with_state(|state| {
            let taken = !state.primary && term > state.term && term > state.held_term;
            if taken {
                state.held_term = term;
            }
            taken
        });
        match taken {
            true => self.status(),
            false => "ERROR MALFORMED not above the newest\r\n".to_owned(),
        }
    }

    fn read(&mut self, key: &str) -> String {
        self.slots.hold(self.group.sheet.work);
        if self.transaction.is_some() && !self.read_only && !self.leads() {
            return self.read_only_error();
        }
        let lag = self.group.sheet.lag;
        let stored = self.with_state(|state| {
            let applied = state.applied(lag);
            let found = state.log[..applied].iter().rev().find(|e| e.key == key);
            found.map(|entry| entry.value.clone())
        });
        let own = self.transaction.iter().flatten().rev().find(|w| w.1 == key);
        let value = own
            .map(|w| w.2.clone())
            .or(stored)
            .unwrap_or("none".to_owned());
        format!("DATA {value}\r\nCOMPLETE r.{}.{key}\r\n", self.id)
    }

    fn write(&mut self, id: &str, key: &str, value: &str) -> String {
        self.slots.hold(self.group.sheet.work);
        if !self.leads() || (self.transaction.is_some() && self.read_only) {
            return self.read_only_error();
        }
        let write = (id.to_owned(), key.to_owned(), value.to_owned());
        match &mut self.transaction {
            Some(writes) => writes.push(write),
            None => {
                if !self.append(&[write]) {
                    return self.read_only_error();
                }
            }
        }
        format!("COMPLETE w.{}.{id}\r\n", self.id)
    }

    fn commit(&mut self) -> String {
        self.slots.hold(self.group.sheet.work);
        let writes = self.transaction.take().unwrap_or_default();
        if std::mem::take(&mut self.failed) {
            return "ERROR ABORTED it had failed\r\n".to_owned();
        }
        if !writes.is_empty() && !self.append(&writes) {
            return self.read_only_error();
        }
        format!("COMPLETE c.{}\r\n", self.id)
    }

    /// Commits writes. Returns false if the member doesn't lead.
    fn append(&self, writes: &[(String, String, String)]) -> bool {
        let end = self.with_state(|state| {
            if !state.primary || state.born != self.born {
                return None;
            }
            let now = Instant::now();
            let mut commits = self.group.commits.lock().unwrap();
            for (id, key, value) in writes {
                state.log.push(Entry {
                    term: state.term,
                    id: id.clone(),
                    key: key.clone(),
                    value: value.clone(),
                });
                state.received.push(now);
                commits.push(Commit {
                    at: now,
                    member: self.id.clone(),
                    term: state.term,
                    id: id.clone(),
                });
            }
            Some((state.term, state.log.len()))
        });
        let Some((term, length)) = end else {
            return false;
        };
        // Answered once as many replicas as wanted have received it.
        while self.group.is_running(&self.id, self.born) {
            let members = self.group.members();
            let others = members
                .iter()
                .filter(|(id, s)| **id != self.id && s.running);
            let holds = others.filter(|(_, s)| s.term == term && s.log.len() >= length);
            if holds.count() >= self.group.sheet.sync_replicas {
                break;
            }
            drop(members);
            std::thread::sleep(Duration::from_millis(1));
        }
        true
    }
}
