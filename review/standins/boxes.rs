//! Boxes under test: the project's own program, started with the run command of the deploy file.

use std::io::{BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::member::read_line;

const FRONT: u16 = 8784;
const READY: u16 = 8785;
const CONTROL: u16 = 8782;
/// Metrics port in the run command of the deploy file.
const METRICS: u16 = 9464;
/// Memory of a box's machine.
pub const MEMORY_MB: u64 = 260;
/// Longer than any answer of a box takes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Process ids of all boxes that were started and not yet waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all boxes that still run.
pub fn end_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        send_signal(id, "KILL");
    }
}

/// Adds a process id to the file that `STARTED` names, for the script that ends the boxes if this
/// program is interrupted.
fn note_started(id: u32) {
    let Some(path) = std::env::var_os("STARTED") else {
        return;
    };
    let file = std::fs::OpenOptions::new().append(true).open(path);
    let noted = file.and_then(|mut file| writeln!(file, "{id}"));
    noted.expect("a process id can be noted");
}

/// Sends a signal to a process that a run has started.
pub fn send_signal(id: u32, signal: &str) {
    let command = format!("kill -{signal} {id}");
    let _ = Command::new("sh")
        .args(["-c", &command])
        .stderr(Stdio::null())
        .status();
}

/// Returns a network of loopback addresses whose ports are free.
pub fn free_network() -> u8 {
    let first = std::process::id() % 150;
    let mut networks = (0..150).map(|i| 64 + ((first + i) % 150) as u8);
    let is_free = |network: &u8| {
        let ip = Ipv4Addr::new(127, *network, 1, 1);
        TcpListener::bind((ip, FRONT)).is_ok()
    };
    networks.find(is_free).expect("a free network")
}

pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: IpAddr,
    settings: String,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    starts: u32,
}

/// What the settings files of all boxes have in common.
pub struct Site {
    pub network: u8,
    pub folder: PathBuf,
    pub program: PathBuf,
    pub store: SocketAddr,
    pub seeds: Vec<String>,
}

impl Site {
    /// Returns the address of the box with this number.
    pub fn ip(&self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network, 1, number))
    }

    /// Returns a box that isn't started yet, with the settings of the cosecha-larkfall site.
    pub fn new_box(&self, number: u8, zone: &str, bootstrap: bool) -> Machine {
        let ip = self.ip(number);
        let name = format!("edge-{zone}-{number}");
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|s| format!("  - \"{s}\"\n"))
            .collect();
        let seeds = match seeds.is_empty() {
            true => " []\n".to_owned(),
            false => format!("\n{}", seeds.concat()),
        };
        let (store, zones) = (self.store, zone_list());
        let settings = format!(
            "node_name: \"{name}\"\nrole: \"box\"\nmachine_class: \"edge\"\nserves:\n  - \"edge\"\n  - \"control_plane\"\n\
ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"santiago\"\nzones:\n{zones}\
listen_addrs:\n  front: \"{ip}:{FRONT}\"\n  ready: \"{ip}:{READY}\"\n  control: \"{ip}:{CONTROL}\"\n\
internal_port_range:\n  - 7440\n  - 7455\nseeds:{seeds}bootstrap: {bootstrap}\nloss_counts: false\n\
limits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: {MEMORY_MB}\n  max_fds: 4200\n  link_mbps: 1000.0\n  disk_mb: 0\n\
data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\n\
contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"recover\"\n  - \"sql\"\n  - \"platform\"\n\
fault_tolerance:\n  machines: 2\n  zones: 1\n  regions: 0\n\
bounds:\n  seed_lag_s: 3\n  addr_reuse_s: 2\n  contact_ms: 4000\n  ack_ms: 5000\n  catch_up_s: 4\n  drain_ms: 7000\n  grace_s: 6\n  loss_slack_ms: 200\n  config_apply_ms: 3000\n  downgrade_slack_ms: 250\n  max_skew_ms: 12000\n  recovery_s: 12\n  require_fencing: false\n  thaw_slack_ms: 300\n\
platform:\n  address: \"{store}\"\n  form: \"table\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  tx_timeout_ms: 8.0\n  partition_writes_s: 150\n  max_row_bytes: 65536\n  cross_region: false\n  history_s: 20\n\
cloud_api:\n  address: \"{store}\"\n  rate_per_s: 50.0\n  duties:\n    - \"promotion\"\n  duty_per_s: 50.0\n"
        );
        Machine {
            name,
            zone: zone.to_owned(),
            ip,
            settings,
            folder: self.folder.clone(),
            program: self.program.clone(),
            child: None,
            starts: 0,
        }
    }
}

fn zone_list() -> String {
    let line = |zone: &&str| format!("  {zone}: \"santiago\"\n");
    ZONES.iter().map(line).collect()
}

pub const ZONES: [&str; 3] = ["santiago-a", "santiago-b", "santiago-c"];

impl Machine {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT)
    }

    pub fn control(&self) -> String {
        format!("{}:{CONTROL}", self.ip)
    }

    /// Starts the process, for the first time or again.
    pub fn start(&mut self) {
        self.starts += 1;
        if self.starts > 1 {
            self.settings = self.settings.replace("bootstrap: true", "bootstrap: false");
        }
        let file = self.folder.join(format!("{}.yaml", self.name));
        std::fs::write(&file, &self.settings).expect("the settings can be written");
        let log = self
            .folder
            .join(format!("{}-{}.log", self.name, self.starts));
        let log = std::fs::File::create(log).expect("a log can be written");
        let errors = log.try_clone().expect("a log can be written");
        let child = Command::new(&self.program)
            .args(["serve", "--metrics-port", &METRICS.to_string()])
            .env("LARKFALL_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("a box starts");
        RUNNING.lock().unwrap().push(child.id());
        note_started(child.id());
        self.child = Some(child);
    }

    /// Returns the process id; 0 if none runs.
    pub fn process(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            send_signal(child.id(), signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)));
        self.child.as_mut().is_none_or(ended)
    }

    pub fn is_ready(&self) -> bool {
        let answer = get(SocketAddr::new(self.ip, READY), "/v1/readyz");
        answer.is_some_and(|answer| answer.contains(" 200 "))
    }

    /// Returns the box's state as JSON text.
    pub fn dump(&self) -> String {
        get(SocketAddr::new(self.ip, CONTROL), "/dump").unwrap_or_default()
    }

    /// Whether the box is one of those that own the group.
    pub fn owns(&self, group: &str) -> bool {
        self.dump()
            .contains(&format!("\"id\":\"platform/{group}\""))
    }

    /// Whether the box takes clients, owns the group and knows its primary.
    pub fn serves(&self, group: &str) -> bool {
        self.is_ready() && self.owns(group) && self.dump().contains("\"primary\":\"")
    }

    /// Returns the number of boxes that this box knows.
    pub fn known_boxes(&self) -> usize {
        let dump = self.dump();
        let boxes = dump.split("\"boxes\":").nth(1).unwrap_or_default();
        let boxes = boxes.split(']').next().unwrap_or_default();
        boxes.matches("\"address\":").count()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: box\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

/// Waits until a condition holds. Returns false if it doesn't in time.
pub fn wait_until(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + time;
    while !holds() {
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    true
}

/// The whole answer to a statement.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub rows: Vec<String>,
    /// Digest of a statement that succeeded.
    pub digest: Option<String>,
    pub error: Option<String>,
    /// Transaction state.
    pub state: String,
}

impl Answer {
    pub fn succeeded(&self) -> bool {
        self.error.is_none() && self.digest.is_some()
    }

    pub fn summary(&self) -> String {
        match &self.error {
            Some(error) => format!("ERROR {error}, state {}", self.state),
            None => format!(
                "COMPLETE {}, rows {:?}, state {}",
                self.digest.as_deref().unwrap_or_default(),
                self.rows,
                self.state
            ),
        }
    }
}

/// A client's session.
pub struct Client {
    pub name: String,
    reader: BufReader<TcpStream>,
    writer: TcpStream,
    statements: u32,
}

impl Client {
    /// Opens a session. The error is the refusal.
    pub fn connect(front: SocketAddr, database: &str, name: &str) -> Result<Self, String> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(2));
        let stream = stream.map_err(|error| error.to_string())?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ANSWER_TIMEOUT));
        let writer = stream.try_clone().map_err(|error| error.to_string())?;
        let mut client = Self {
            name: name.to_owned(),
            reader: BufReader::new(stream),
            writer,
            statements: 0,
        };
        client.send(&format!("CONNECT {database} {name}"))?;
        let line = read_line(&mut client.reader).ok_or("closed")?;
        match line.starts_with("READY") {
            true => Ok(client),
            false => Err(line),
        }
    }

    fn send(&mut self, line: &str) -> Result<(), String> {
        let sent = self.writer.write_all(format!("{line}\r\n").as_bytes());
        sent.map_err(|error| error.to_string())
    }

    /// Returns the id of the last statement.
    pub fn last_id(&self) -> String {
        format!("{}-{}", self.name, self.statements)
    }

    /// Runs a statement under the next id. The error tells that the connection ended.
    pub fn run(&mut self, text: &str) -> Result<Answer, String> {
        self.statements += 1;
        self.send(&format!("QUERY {} {text}", self.last_id()))?;
        let mut answer = Answer::default();
        loop {
            let line = read_line(&mut self.reader).ok_or("the connection ended")?;
            let (verb, rest) = line.split_once(' ').unwrap_or((&line, ""));
            let first = rest.split(' ').next().unwrap_or_default().to_owned();
            match verb {
                "DATA" => answer.rows.push(rest.to_owned()),
                "COMPLETE" => answer.digest = Some(first),
                "ERROR" => answer.error = Some(first),
                "READY" => {
                    answer.state = first;
                    return Ok(answer);
                }
                _ => return Err(format!("unknown line {line}")),
            }
        }
    }
}

/// Returns the folder for a run's settings files and logs.
pub fn temporary_folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("larkfall-review-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

/// Removes the folder, unless KEEP_LOGS is set.
pub fn remove_folder(folder: &Path) {
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(folder);
    }
}
