//! The settings file that the platform lays for each process, in YAML.
//!
//! Fields that are not known are skipped: the file may gain some. What is missing
//! or malformed is a finding with its place.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use super::settings;
use crate::configs::live::Live;
use crate::configs::run::Run;
use crate::decisions::group::Settings;
use crate::declarations::finding::Finding;
use crate::events::Format;

/// Variable that names the file.
pub const VARIABLE: &str = "LARKFALL_NODE_FILE";

/// The longest time that a bound may be: a day, in milliseconds.
const MOST_MS: f64 = 86_400_000.0;
/// Field of a finding about the file as a whole.
const WHOLE: &str = "settings";

/// Time kept between the end of a drain and the platform's kill.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Callers at once for each descriptor that a process may open: each caller takes
/// one, and a quarter is kept for members, peers and files.
const CALLERS_PERCENT: u64 = 75;
/// Time that a new connection to a member may take: 12 ms on the sites, and a lost
/// packet is sent again after a second.
const CONNECT_WAIT: Duration = Duration::from_millis(400);
/// The balancer asks each box every second, and turns away after two misses: by then it has.
const BALANCER_TURN: Duration = Duration::from_millis(2_300);
/// The same, at the mean.
const BALANCER_NOTICE: Duration = Duration::from_millis(1_500);
/// Part of the operations by which a workspace may pass its limit that is used.
const SLACK_USED: f64 = 0.5;
/// The most that is used.
const MOST_SLACK: f64 = 1_000_000.0;
/// The largest part of a limit by which it may be passed.
const MOST_OVERAGE: f64 = 1.0;
/// The part of the rules under which callers compete for too little room.
const PRESSURE: &str = "pressure";
/// The part of the rules on the members' connections, which sessions share.
const POOL: &str = "pool";
/// A cut makes every statement of a second be placed again, once or twice.
const RETRY_PERCENT: u64 = 20;
const RETRY_MOST: u64 = 100;

/// The fields that are used.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct File {
    pub node_name: Arc<str>,
    pub ip: IpAddr,
    /// Failure domain.
    pub zone: Arc<str>,
    pub listen_addrs: Listen,
    /// Ports between the system's own processes, first and last.
    pub internal_port_range: (u16, u16),
    /// Peers' addresses for the start; may be stale.
    #[serde(default)]
    pub seeds: Vec<Arc<str>>,
    /// The whole system starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    pub limits: Limits,
    pub bounds: Bounds,
    /// Parts of the platform's rules that are in force.
    #[serde(default)]
    pub contracts: Vec<Arc<str>>,
    /// What may be lost at once.
    #[serde(default)]
    pub fault_tolerance: Tolerance,
    pub platform: Service,
    /// Where promotions are ordered.
    pub cloud_api: Service,
}

/// Where the process listens.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Listen {
    /// Callers.
    pub front: SocketAddr,
    /// The balancer's question whether it may send callers.
    pub ready: SocketAddr,
    /// Peers, resource API, metrics, dump.
    pub control: Option<SocketAddr>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// Descriptors that the process may open.
    pub max_fds: u64,
    /// Width of the machine's link.
    #[serde(default)]
    pub link_mbps: f64,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Bounds {
    /// Seconds between the signal to stop and the kill.
    pub grace_s: f64,
    /// Milliseconds after its word from which nothing may reach a leaving member.
    #[serde(default = "drain_ms")]
    pub drain_ms: f64,
    /// Milliseconds after which an accepted change has to be in force.
    #[serde(default = "config_apply_ms")]
    pub config_apply_ms: f64,
    /// Operations by which a workspace may pass its limit.
    #[serde(default)]
    pub quota_slack: f64,
    /// Part of its limit by which it may pass it besides.
    #[serde(default)]
    pub quota_overage: f64,
}

/// What the system has to bear the loss of.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Tolerance {
    /// Whole failure domains.
    #[serde(default)]
    pub zones: u64,
}

/// A service of the platform.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Service {
    /// `IP:port`.
    pub address: Arc<str>,
}

/// Names of the fields that differ.
fn named(fields: &[(&'static str, bool)]) -> Vec<&'static str> {
    let differ = fields.iter().filter(|(_, differs)| *differs);
    differ.map(|(field, _)| *field).collect()
}

fn finding(place: &str, field: &str, message: &str) -> Finding {
    Finding {
        file: place.into(),
        line: None,
        field: field.to_owned(),
        message: message.to_owned(),
    }
}

fn drain_ms() -> f64 {
    settings::DRAIN.as_secs_f64() * 1_000.0
}

fn config_apply_ms() -> f64 {
    Run::default().apply.as_secs_f64() * 1_000.0
}

impl File {
    /// Reads and checks the file at `path`.
    pub fn read(path: &str) -> Result<Self, Vec<Finding>> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| vec![finding(path, WHOLE, &error.to_string())])?;
        Self::parse(path, &text)
    }

    /// Reads and checks the file's text.
    pub fn parse(place: &str, text: &str) -> Result<Self, Vec<Finding>> {
        let parsed = serde_saphyr::from_str::<Self>(text);
        let file = parsed.map_err(|error| vec![finding(place, WHOLE, &error.to_string())])?;
        let findings = file.check(place);
        match findings.is_empty() {
            true => Ok(file),
            false => Err(findings),
        }
    }

    /// What no field's type rules out.
    fn check(&self, place: &str) -> Vec<Finding> {
        let times = [
            ("bounds.grace_s", self.bounds.grace_s * 1_000.0),
            ("bounds.drain_ms", self.bounds.drain_ms),
            ("bounds.config_apply_ms", self.bounds.config_apply_ms),
        ];
        let times = times
            .into_iter()
            .filter(|(_, ms)| !(0.0..=MOST_MS).contains(ms));
        let times = times.map(|(field, _)| finding(place, field, "must be a time up to a day"));
        let addresses = [
            ("platform.address", &self.platform.address),
            ("cloud_api.address", &self.cloud_api.address),
        ];
        let addresses = addresses.into_iter();
        let addresses = addresses.filter(|(_, address)| address.parse::<SocketAddr>().is_err());
        let addresses = addresses.map(|(field, _)| finding(place, field, "must be IP:port"));
        times.chain(addresses).collect()
    }

    /// Fields in which another reading of the file differs: those that a running box takes
    /// over, and those that hold until its next start.
    pub fn changes(&self, other: &File) -> (Vec<&'static str>, Vec<&'static str>) {
        let taken = [
            ("seeds", self.seeds != other.seeds),
            (
                "limits.max_fds",
                self.limits.max_fds != other.limits.max_fds,
            ),
            (
                "bounds.grace_s",
                self.bounds.grace_s != other.bounds.grace_s,
            ),
            (
                "bounds.drain_ms",
                self.bounds.drain_ms != other.bounds.drain_ms,
            ),
        ];
        let held = [
            ("node_name", self.node_name != other.node_name),
            ("ip", self.ip != other.ip),
            ("zone", self.zone != other.zone),
            ("listen_addrs", self.listen_addrs != other.listen_addrs),
            (
                "internal_port_range",
                self.internal_port_range != other.internal_port_range,
            ),
            (
                "limits.link_mbps",
                self.limits.link_mbps != other.limits.link_mbps,
            ),
            (
                "bounds.config_apply_ms",
                self.bounds.config_apply_ms != other.bounds.config_apply_ms,
            ),
            (
                "bounds.quota_slack",
                self.bounds.quota_slack != other.bounds.quota_slack,
            ),
            (
                "bounds.quota_overage",
                self.bounds.quota_overage != other.bounds.quota_overage,
            ),
            ("contracts", self.contracts != other.contracts),
            (
                "fault_tolerance",
                self.fault_tolerance != other.fault_tolerance,
            ),
            ("platform", self.platform != other.platform),
            ("cloud_api", self.cloud_api != other.cloud_api),
        ];
        (named(&taken), named(&held))
    }

    /// The same with what a running box takes over of another reading.
    pub fn with_live(&self, other: &File) -> Self {
        let mut file = self.clone();
        file.seeds = other.seeds.clone();
        file.limits.max_fds = other.limits.max_fds;
        file.bounds.grace_s = other.bounds.grace_s;
        file.bounds.drain_ms = other.bounds.drain_ms;
        file
    }

    /// Settings that a running box takes over.
    pub fn live(&self) -> Live {
        Live {
            leave_most: Some(self.decisions().drain_limit),
            ..Live::new(&self.run())
        }
    }

    /// Address of the peers' and operators' API.
    pub fn api(&self) -> SocketAddr {
        let own = SocketAddr::new(self.ip, self.internal_port_range.0);
        self.listen_addrs.control.unwrap_or(own)
    }

    /// Settings of the decisions.
    pub fn decisions(&self) -> Settings {
        let drain = Duration::from_secs_f64(self.bounds.drain_ms.max(0.0) / 1_000.0);
        Settings {
            idle_frees_slot: self.holds(POOL),
            serve_late: self.holds(POOL),
            domain_loss: self.bears_domain_loss(),
            ..settings::with_drain(drain)
        }
    }

    /// Whether a part of the platform's rules is in force.
    fn holds(&self, contract: &str) -> bool {
        self.contracts.iter().any(|held| **held == *contract)
    }

    fn bears_domain_loss(&self) -> bool {
        self.fault_tolerance.zones > 0
    }

    fn limit_overage(&self) -> f64 {
        match self.holds(PRESSURE) {
            true => (self.bounds.quota_overage * SLACK_USED).clamp(0.0, MOST_OVERAGE),
            false => 0.0,
        }
    }

    /// The rest is kept for what waits before a member while its time counts already.
    fn limit_slack(&self) -> u32 {
        (self.bounds.quota_slack * SLACK_USED).clamp(0.0, MOST_SLACK) as u32
    }

    fn apply(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.config_apply_ms.max(0.0) / 1_000.0)
    }

    /// The same as settings of a box.
    pub fn run(&self) -> Run {
        let grace = Duration::from_secs_f64(self.bounds.grace_s.max(0.0));
        Run {
            name: self.node_name.clone(),
            domain: self.zone.clone(),
            ip: self.ip,
            port: self.listen_addrs.front.port(),
            api_port: self.api().port(),
            platform: self.platform.address.clone(),
            peers: self.seeds.clone(),
            log: Format::Json,
            connect_wait: CONNECT_WAIT,
            callers: (self.limits.max_fds * CALLERS_PERCENT / 100) as usize,
            drain: grace.saturating_sub(KILL_MARGIN),
            balancer_turn: BALANCER_TURN,
            balancer_notice: BALANCER_NOTICE,
            // Every box hears of changes from the store itself.
            fanout: 0,
            retry_percent: RETRY_PERCENT,
            retry_most: RETRY_MOST,
            duty: true,
            follow: true,
            link_mbps: self.limits.link_mbps as u32,
            apply: self.apply(),
            limit_slack: self.limit_slack(),
            limit_overage: self.limit_overage(),
            limit_waits: self.holds(PRESSURE),
            domain_loss: self.bears_domain_loss(),
            first_start: self.bootstrap,
            ..Run::default()
        }
    }
}
