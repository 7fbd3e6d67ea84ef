//! Boxes that run as processes of their own.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::client::Client;

/// Where a box listens, and what its settings file holds.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
    pub store: SocketAddr,
    /// Address of the API that takes orders to promote.
    pub cloud_api: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Whether the settings demand the platform's rules on pressure and on shared connections, and
    /// tolerance of the loss of a failure domain.
    pub with_pressure_rules: bool,
}

/// Returns a loopback address that no other box of any test uses.
fn unique_ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let net = (process % 200) as u8;
    Ipv4Addr::new(
        127,
        30 + net,
        (number / 250) as u8,
        (number % 250) as u8 + 1,
    )
}

impl Settings {
    pub fn new(name: &str, zone: &str, store: SocketAddr) -> Self {
        let ip = unique_ip();
        let at = |port: u16| SocketAddr::from((ip, port));
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            front: at(5432),
            ready: at(8080),
            control: at(8432),
            metrics: at(9464),
            store,
            cloud_api: store,
            seeds: Vec::new(),
            bootstrap: false,
            with_pressure_rules: false,
        }
    }

    /// Returns the text of the settings file, including fields that boxes don't know.
    pub fn yaml(&self) -> String {
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|s| format!("  - \"{s}\"\n"))
            .collect();
        let seeds = match seeds.is_empty() {
            true => " []\n".to_owned(),
            false => format!("\n{}", seeds.concat()),
        };
        let rules = match self.with_pressure_rules {
            true => "contracts: [base, pool, pressure]\nfault_tolerance:\n  zones: 1\n",
            false => "",
        };
        format!(
            "{rules}bootstrap: {}\nnode_name: \"{}\"\nip: \"{}\"\nzone: \"{}\"\nlisten_addrs:\n  front: \"{}\"\n  ready: \"{}\"\n  control: \"{}\"\ninternal_port_range:\n  - 7440\n  - 7455\nseeds:{seeds}limits:\n  max_fds: 1000\n  new_limit: 3\nbounds:\n  grace_s: 4\nplatform:\n  address: \"{}\"\ncloud_api:\n  address: \"{}\"\nnew_field: [1, 2]\n",
            self.bootstrap,
            self.name,
            self.front.ip(),
            self.zone,
            self.front,
            self.ready,
            self.control,
            self.store,
            self.cloud_api
        )
    }
}

/// A running box; killed when dropped.
pub struct Process {
    pub settings: Settings,
    child: Child,
    settings_file: PathBuf,
    log_file: PathBuf,
}

impl Process {
    pub fn start(settings: Settings) -> Self {
        // Each start has a file of its own, since dropping an earlier process removes its file.
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let start = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("larkfall-{}-{start}.yaml", std::process::id());
        let settings_file = std::env::temp_dir().join(name);
        std::fs::write(&settings_file, settings.yaml()).expect("a settings file can be written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_larkfall"));
        command.arg("serve");
        command.args(["--metrics-port", &settings.metrics.port().to_string()]);
        command.env("LARKFALL_NODE_FILE", &settings_file);
        let log_file = settings_file.with_extension("log");
        let output = std::fs::File::create(&log_file).expect("a log file can be written");
        let child = command.stdout(Stdio::from(output)).spawn();
        Self {
            settings,
            child: child.expect("a box starts"),
            settings_file,
            log_file,
        }
    }

    /// Rewrites the settings file with one text replaced by another.
    pub fn replace_in_settings(&self, from: &str, to: &str) {
        let text = self.settings.yaml();
        assert!(text.contains(from), "{from:?} is in the file");
        std::fs::write(&self.settings_file, text.replace(from, to))
            .expect("the file can be written");
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("the box runs");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Whether the readiness check answers 200.
    pub async fn is_ready(&self) -> bool {
        status_of(self.settings.ready, "/v1/readyz").await == Some(200)
    }

    /// Waits until the box accepts callers of a database.
    pub async fn wait_until_served(&self, database: &str) {
        let front = self.settings.front;
        while Client::connect(front, database, "probe").await.is_err() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn wait_ready(&self) {
        while !self.is_ready().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns what the box has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_file).unwrap_or_default()
    }

    /// Returns the box's metrics as text.
    pub async fn metrics(&self) -> String {
        get(self.settings.metrics, "/metrics")
            .await
            .unwrap_or_default()
    }

    /// Returns the box's state as JSON text.
    pub async fn dump(&self) -> String {
        get(self.settings.control, "/dump")
            .await
            .unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings_file);
        let _ = std::fs::remove_file(&self.log_file);
    }
}

/// Returns the whole answer to a GET, with status line and headers.
async fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: box\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await.ok()?;
    Some(text)
}

async fn status_of(address: SocketAddr, path: &str) -> Option<u16> {
    let text = get(address, path).await?;
    text.split(' ').nth(1)?.parse().ok()
}
