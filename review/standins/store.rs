//! A stand-in for the platform's metadata store, and for its endpoint for promotion orders.
//!
//! Follows PROTOCOL.md: rows with versions from one counter, conditional transactions, long polls,
//! and the header `Store-Era`. It can turn machines away, be away for a moment, and come back from
//! an older copy of itself.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::{self, Json};
use crate::member::Group;
use crate::record::Record;

type Key = (String, String);

/// A write, kept so that an older copy can be restored.
struct Written {
    version: u64,
    key: Key,
    value: Option<String>,
    /// Whether the operator or a member wrote it. They repeat what an older copy lacks.
    external: bool,
}

#[derive(Default)]
struct State {
    era: u64,
    version: u64,
    rows: BTreeMap<Key, (u64, Option<String>)>,
    written: Vec<Written>,
    /// Whether the store is away: connections are closed without an answer.
    away: bool,
    /// Machines that get 503 to every call.
    turned_away: HashSet<IpAddr>,
    /// Raised to close the connections that are open.
    generation: u64,
}

impl State {
    fn put(&mut self, key: Key, value: Option<String>, external: bool) {
        self.written.push(Written {
            version: self.version,
            key: key.clone(),
            value: value.clone(),
            external,
        });
        self.rows.insert(key, (self.version, value));
    }
}

/// A call that the store or the platform makes before it answers.
type Hook<T> = Mutex<Option<Box<dyn Fn(T) + Send>>>;

/// An order to promote a member.
#[derive(Clone, Debug)]
pub struct Order {
    pub group: String,
    pub member: String,
    pub holder: String,
    pub generation: u64,
}

pub struct Store {
    /// Called with the machine that has claimed a duty.
    pub on_claim: Hook<IpAddr>,
    /// Called with each order to promote that is accepted.
    pub on_order: Hook<Order>,
    /// All orders to promote, in the order in which they came.
    pub orders: Mutex<Vec<Order>>,
    state: Mutex<State>,
    changed: Condvar,
    groups: Mutex<HashMap<String, Arc<Group>>>,
    record: Arc<Record>,
    start: Instant,
}

impl Store {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            on_claim: Mutex::default(),
            on_order: Mutex::default(),
            orders: Mutex::default(),
            state: Mutex::default(),
            changed: Condvar::new(),
            groups: Mutex::default(),
            record,
            start: Instant::now(),
        })
    }

    /// Starts to serve and returns the address.
    pub fn start(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        address
    }

    pub fn add_group(&self, group: &Arc<Group>) {
        let mut groups = self.groups.lock().unwrap();
        groups.insert(group.name.clone(), group.clone());
    }

    /// Puts a row in the place of the operator or of a member.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let value = json::base64(value.as_bytes());
        state.put((table.to_owned(), key.to_owned()), Some(value), true);
        drop(state);
        self.changed.notify_all();
    }

    /// Removes a row in the place of the platform.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        state.put((table.to_owned(), key.to_owned()), None, true);
        drop(state);
        self.changed.notify_all();
    }

    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().version
    }

    /// Whether the store holds a row.
    pub fn has_row(&self, table: &str, key: &str) -> bool {
        let state = self.state.lock().unwrap();
        let row = state.rows.get(&(table.to_owned(), key.to_owned()));
        row.is_some_and(|(_, value)| value.is_some())
    }

    /// Answers 503 to all calls of a machine from now on, or serves it again.
    pub fn turn_away(&self, machine: IpAddr, turned_away: bool) {
        let mut state = self.state.lock().unwrap();
        match turned_away {
            true => state.turned_away.insert(machine),
            false => state.turned_away.remove(&machine),
        };
        drop(state);
        self.changed.notify_all();
    }

    /// Sets whether the store is away. Going away closes all connections.
    pub fn set_away(&self, away: bool) {
        let mut state = self.state.lock().unwrap();
        state.away = away;
        state.generation += u64::from(away);
        drop(state);
        self.changed.notify_all();
    }

    /// Replaces the rows by those at an older version, under the next era. What the operator and
    /// the members wrote since is written again.
    pub fn restore(&self, version: u64) {
        let mut state = self.state.lock().unwrap();
        let kept = state
            .written
            .iter()
            .filter(|w| w.version <= version)
            .count();
        let lost = state.written.split_off(kept);
        state.era += 1;
        state.version = version;
        state.rows.clear();
        for i in 0..state.written.len() {
            let written = &state.written[i];
            let (key, row) = (
                written.key.clone(),
                (written.version, written.value.clone()),
            );
            state.rows.insert(key, row);
        }
        for written in lost.into_iter().filter(|written| written.external) {
            state.version += 1;
            state.put(written.key, written.value, true);
        }
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(peer) = stream.peer_addr() else { return };
        let _ = stream.set_nodelay(true);
        let generation = {
            let state = self.state.lock().unwrap();
            if state.away {
                return;
            }
            state.generation
        };
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let (mut reader, mut writer) = (BufReader::new(reading), stream);
        while let Some(request) = Request::read(&mut reader) {
            let answer = self.answer(&request, peer.ip(), generation);
            let Some((status, body)) = answer else { return };
            let era = self.state.lock().unwrap().era;
            let answer = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the status and the body; none if the connection ends without an answer.
    fn answer(&self, request: &Request, machine: IpAddr, generation: u64) -> Option<(u16, String)> {
        if request.path == "/promote" {
            return Some(self.promote(request));
        }
        // The time that the store takes for a call.
        std::thread::sleep(Duration::from_millis(4));
        let state = self.state.lock().unwrap();
        if state.away || state.generation != generation {
            return None;
        }
        if state.turned_away.contains(&machine) {
            return Some((503, "{}".to_owned()));
        }
        drop(state);
        match request.path.as_str() {
            "/v1/rows-get" => Some((200, self.rows(request.query("table"), None))),
            "/v1/rows-feed" => self.feed(request, machine, generation),
            "/v1/rows-tx" => Some(self.transact(request, machine)),
            _ => Some((404, "{}".to_owned())),
        }
    }

    /// Returns the rows of a table, or those that changed after a version.
    fn rows(&self, table: &str, after: Option<u64>) -> String {
        let state = self.state.lock().unwrap();
        let mut rows: Vec<_> = state.rows.iter().filter(|((t, _), _)| t == table).collect();
        match after {
            Some(after) => rows.retain(|(_, (version, _))| *version > after),
            None => rows.retain(|(_, (_, value))| value.is_some()),
        }
        if after.is_some() {
            rows.sort_by_key(|(_, (version, _))| *version);
        }
        let row = |((_, key), (version, value)): (&Key, &(u64, Option<String>))| {
            let end = match value {
                Some(value) => format!("\"value\":\"{value}\""),
                None => "\"deleted\":true".to_owned(),
            };
            format!(
                "{{\"table\":\"{table}\",\"part\":\"\",\"tls_key\":\"{key}\",\"schema_version\":{version},{end}}}"
            )
        };
        let rows: Vec<String> = rows.into_iter().map(row).collect();
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"schema_version\":{},\"now_ms\":{}}}",
            rows.join(","),
            state.version,
            self.start.elapsed().as_millis()
        )
    }

    fn feed(&self, request: &Request, machine: IpAddr, generation: u64) -> Option<(u16, String)> {
        let table = request.query("table").to_owned();
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if state.away || state.generation != generation {
                return None;
            }
            if state.turned_away.contains(&machine) {
                return Some((503, "{}".to_owned()));
            }
            if after > state.version {
                return Some((410, "{}".to_owned()));
            }
            let mut rows = state.rows.iter();
            let changed = rows.any(|((t, _), (version, _))| *t == table && *version > after);
            let left = deadline.saturating_duration_since(Instant::now());
            if changed || left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        drop(state);
        Some((200, self.rows(&table, Some(after))))
    }

    fn transact(&self, request: &Request, machine: IpAddr) -> (u16, String) {
        let Some(body) = json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        // The time that a transaction takes.
        std::thread::sleep(Duration::from_millis(8));
        let key = |row: &Json| -> Key {
            let field = |name| row.get(name).text().unwrap_or_default().to_owned();
            (field("table"), field("tls_key"))
        };
        let mut state = self.state.lock().unwrap();
        let version_of = |state: &State, key: &Key| match state.rows.get(key) {
            Some((version, Some(_))) => *version,
            _ => 0,
        };
        let expected = body.get("expected_revision").list();
        let holds = |row: &Json| {
            version_of(&state, &key(row)) == row.get("schema_version").number().unwrap_or(0)
        };
        if !expected.iter().all(holds) {
            let row = |row: &Json| {
                let key = key(row);
                let value = match state.rows.get(&key) {
                    Some((_, Some(value))) => format!(",\"value\":\"{value}\""),
                    _ => ",\"deleted\":true".to_owned(),
                };
                format!(
                    "{{\"table\":\"{}\",\"part\":\"\",\"tls_key\":\"{}\",\"schema_version\":{}{value}}}",
                    key.0,
                    key.1,
                    version_of(&state, &key)
                )
            };
            let rows: Vec<String> = expected.iter().map(row).collect();
            return (412, format!("{{\"rows\":[{}]}}", rows.join(",")));
        }
        state.version += 1;
        for row in body.get("puts").list() {
            let value = row.get("value").text().unwrap_or_default().to_owned();
            self.note(machine, "puts", &key(row));
            state.put(key(row), Some(value), false);
        }
        for row in body.get("remove").list() {
            self.note(machine, "removes", &key(row));
            state.put(key(row), None, false);
        }
        let version = state.version;
        drop(state);
        self.changed.notify_all();
        let puts = body.get("puts").list();
        if puts.iter().any(|row| key(row).1.starts_with("duty/"))
            && let Some(hook) = &*self.on_claim.lock().unwrap()
        {
            hook(machine);
        }
        let now = self.start.elapsed().as_millis();
        (
            200,
            format!("{{\"schema_version\":{version},\"now_ms\":{now}}}"),
        )
    }

    fn note(&self, machine: IpAddr, what: &str, key: &Key) {
        let text = format!("store: {machine} {what} {}/{}", key.0, key.1);
        self.record.line(&text);
    }

    fn promote(&self, request: &Request) -> (u16, String) {
        let Some(body) = json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let field = |name| body.get(name).text().unwrap_or_default().to_owned();
        let (group, member) = (field("backend"), field("id"));
        let groups = self.groups.lock().unwrap();
        let accepted = groups
            .get(&group)
            .is_some_and(|group| group.promote(&member));
        let status = if accepted { 200 } else { 409 };
        let order = Order {
            group: group.clone(),
            member: member.clone(),
            holder: request.header("x-duty-holder").to_owned(),
            generation: request.header("x-fencing-token").parse().unwrap_or(0),
        };
        self.orders.lock().unwrap().push(order.clone());
        if accepted && let Some(hook) = &*self.on_order.lock().unwrap() {
            hook(order);
        }
        self.record.line(&format!(
            "platform: order to promote {member} of {group} from {} under {}: {status}",
            request.header("x-duty-holder"),
            request.header("x-fencing-token")
        ));
        (status, "{}".to_owned())
    }
}

/// An HTTP request.
struct Request {
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: String,
}

impl Request {
    fn read(reader: &mut BufReader<TcpStream>) -> Option<Self> {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let target = line.split(' ').nth(1)?.to_owned();
        let mut headers = HashMap::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers.get("content-length").and_then(|l| l.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body).ok()?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        Some(Self {
            path: path.to_owned(),
            query: pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect(),
            headers,
            body: String::from_utf8(body).ok()?,
        })
    }

    fn query(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}
