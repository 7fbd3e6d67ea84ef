//! The project's boxes, as processes of their own, started with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

const FRONT: u16 = 8784;
const READY: u16 = 8785;
const CONTROL: u16 = 8782;

pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    settings_text: String,
    log: PathBuf,
    run: Vec<String>,
    /// Limit on the box's descriptors, as the platform sets it; none for this process's own.
    files: Option<u64>,
    child: Option<Child>,
}

/// What the settings of all machines have in common.
pub struct Site {
    pub store: SocketAddr,
    pub api: SocketAddr,
    pub seeds: Vec<Ipv4Addr>,
    pub folder: PathBuf,
    /// `max_fds` as a limit of the processes, if that matters.
    pub files: Option<u64>,
}

impl Machine {
    pub fn new(site: &Site, name: &str, zone: &str, ip: Ipv4Addr) -> std::io::Result<Self> {
        let settings = site.folder.join(format!("{name}.yaml"));
        let seeds: Vec<String> = site
            .seeds
            .iter()
            .map(|seed| format!("  - \"{seed}:{CONTROL}\"\n"))
            .collect();
        let seeds = seeds.concat();
        let (store, api) = (site.store, site.api);
        let text = format!(
            r#"node_name: "{name}"
role: "box"
machine_class: "edge"
serves:
  - "edge"
  - "control_plane"
ip: "{ip}"
zone: "{zone}"
region: "santiago"
zones:
  santiago-a: "santiago"
  santiago-b: "santiago"
  santiago-c: "santiago"
listen_addrs:
  front: "{ip}:{FRONT}"
  ready: "{ip}:{READY}"
  control: "{ip}:{CONTROL}"
internal_port_range:
  - 7440
  - 7455
seeds:
{seeds}bootstrap: true
loss_counts: false
limits:
  cpu_share: 0.25
  cores: 1
  memory_mb: 260
  max_fds: 4200
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
contracts:
  - "base"
  - "drain"
  - "config"
  - "cost"
  - "recover"
  - "sql"
  - "platform"
fault_tolerance:
  machines: 2
  zones: 1
  regions: 0
bounds:
  seed_lag_s: 3
  addr_reuse_s: 2
  contact_ms: 4000
  ack_ms: 5000
  catch_up_s: 4
  drain_ms: 7000
  grace_s: 6
  loss_slack_ms: 200
  config_apply_ms: 3000
  downgrade_slack_ms: 250
  max_skew_ms: 12000
  recovery_s: 12
  require_fencing: false
  thaw_slack_ms: 300
platform:
  address: "{store}"
  form: "table"
  writes_per_s: 400
  reads_per_s: 2000
  tx_timeout_ms: 8.0
  partition_writes_s: 150
  max_row_bytes: 65536
  cross_region: false
  history_s: 20
  max_blob_bytes: 8388608
  blob_timeout_ms: 25.0
  blob_mb_s: 80.0
cloud_api:
  address: "{api}"
  rate_per_s: 50.0
  duties:
    - "promotion"
  duty_per_s: 50.0
"#
        );
        Ok(Self {
            name: name.to_owned(),
            ip,
            settings,
            settings_text: text,
            log: site.folder.join(format!("{name}.log")),
            run: run_command()?,
            files: site.files,
            child: None,
        })
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT))
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        std::fs::write(&self.settings, &self.settings_text)?;
        let mut command = Command::new(&self.run[0]);
        command.args(&self.run[1..]);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("LARKFALL_NODE_FILE", &self.settings);
        let log = File::options().create(true).append(true).open(&self.log)?;
        command.stdout(Stdio::from(log.try_clone()?));
        command.stderr(Stdio::from(log));
        let files = self.files;
        // The box ends with this process, however that ends.
        unsafe {
            command.pre_exec(move || {
                unsafe extern "C" {
                    fn prctl(option: i32, signal: u64, ...) -> i32;
                    fn setrlimit(resource: i32, limit: *const [u64; 2]) -> i32;
                }
                const SET_PARENT_DEATH_SIGNAL: i32 = 1;
                const SIGKILL: u64 = 9;
                prctl(SET_PARENT_DEATH_SIGNAL, SIGKILL);
                const NOFILE: i32 = 7;
                if files.is_some_and(|files| setrlimit(NOFILE, &[files, files]) != 0) {
                    return Err(std::io::Error::last_os_error());
                }
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        // Only the very first start of the system is one with `bootstrap`.
        self.settings_text = self
            .settings_text
            .replace("bootstrap: true", "bootstrap: false");
        Ok(())
    }

    fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.ip, READY))
    }

    pub fn is_ready(&self) -> bool {
        http::status_of(self.ready(), "/v1/readyz") == Some(200)
    }

    pub fn dump(&self) -> String {
        let address = SocketAddr::from((self.ip, CONTROL));
        http::get(address, "/dump").unwrap_or_default()
    }

    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        while !(self.is_ready() && self.dump().contains("\"primary\":\"")) {
            if Instant::now() > end {
                return Err(format!("{} isn't ready", self.name));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the command in the deploy file, split at blanks.
fn run_command() -> std::io::Result<Vec<String>> {
    let text = std::fs::read_to_string(Path::new("deploy/system.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let words = line.and_then(|line| line.split('"').next()).unwrap_or("");
    let words: Vec<String> = words.split(' ').map(str::to_owned).collect();
    match words.len() > 1 {
        true => Ok(words),
        false => Err(std::io::Error::other("the deploy file has no run command")),
    }
}
