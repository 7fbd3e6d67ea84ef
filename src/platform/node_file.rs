//! The YAML settings file that the platform writes for each process.
//!
//! Unknown fields are ignored, since the platform may add some. Missing or malformed fields
//! are reported as findings.

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

/// Environment variable that holds the file's path.
pub const PATH_VARIABLE: &str = "LARKFALL_NODE_FILE";

/// Upper limit of the times in `bounds`: one day.
const MAX_BOUND_MS: f64 = 86_400_000.0;
/// Field name of findings about the file as a whole.
const WHOLE_FILE: &str = "settings";

/// Time between the end of the drain and the platform's kill.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Percentage of the file descriptors available to callers, who take one each. The others are for
/// members, peers and files.
const CALLERS_PERCENT_OF_FDS: u64 = 75;
/// Timeout of a new connection to a member, which normally takes 12 ms. TCP retransmits a lost
/// packet only after a second, so waiting longer gains little.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which the balancer certainly sends no callers to a box that is not ready. The
/// balancer checks readiness every second and reacts to the second failed check.
const MAX_BALANCER_DELAY: Duration = Duration::from_millis(2_300);
/// Mean time after which the balancer sends no callers to a box that is not ready.
const MEAN_BALANCER_DELAY: Duration = Duration::from_millis(1_500);
/// Share of the platform's quota tolerances that the limits use.
const QUOTA_TOLERANCE_SHARE: f64 = 0.5;
/// Upper limit of the used slack, in operations.
const MAX_LIMIT_SLACK: f64 = 1_000_000.0;
/// Upper limit of the used overage, as a share of the limit.
const MAX_LIMIT_OVERAGE: f64 = 1.0;
/// Contract under which callers compete for scarce capacity.
const PRESSURE_CONTRACT: &str = "pressure";
/// Contract under which sessions share the members' connections.
const POOL_CONTRACT: &str = "pool";
/// Retries earned per hundred answers. Allows for a network partition, in which every statement
/// is retried.
const RETRY_PERCENT: u64 = 20;
/// Retries that can be saved up.
const MAX_SAVED_RETRIES: u64 = 100;

/// The fields of the settings file that are used.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct File {
    pub node_name: Arc<str>,
    pub ip: IpAddr,
    /// Failure domain of the box.
    pub zone: Arc<str>,
    pub listen_addrs: Listen,
    /// First and last port for traffic between boxes.
    pub internal_port_range: (u16, u16),
    /// Addresses of peers to contact at startup. May be outdated.
    #[serde(default)]
    pub seeds: Vec<Arc<str>>,
    /// Whether the whole deployment starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    pub limits: Limits,
    pub bounds: Bounds,
    /// Names of the platform's contracts in force.
    #[serde(default)]
    pub contracts: Vec<Arc<str>>,
    /// Losses that the service must tolerate.
    #[serde(default)]
    pub fault_tolerance: Tolerance,
    pub platform: Service,
    /// API that takes promotion orders.
    pub cloud_api: Service,
}

/// Listen addresses of the process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Listen {
    /// Address for callers.
    pub front: SocketAddr,
    /// Address of the readiness endpoint for the balancer.
    pub ready: SocketAddr,
    /// Address for peers, the resource API, metrics and the dump.
    pub control: Option<SocketAddr>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// File descriptor limit of the process.
    pub max_fds: u64,
    /// Bandwidth of the machine's link; 0 if unknown.
    #[serde(default)]
    pub link_mbps: f64,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Bounds {
    /// Seconds between the stop signal and the kill.
    pub grace_s: f64,
    /// Milliseconds after a member's leave notice from which no request may reach the member.
    #[serde(default = "drain_ms")]
    pub drain_ms: f64,
    /// Milliseconds within which an accepted change must be in force.
    #[serde(default = "config_apply_ms")]
    pub config_apply_ms: f64,
    /// Operations by which a workspace may exceed its limit.
    #[serde(default)]
    pub quota_slack: f64,
    /// Additional share of the limit by which a workspace may exceed it.
    #[serde(default)]
    pub quota_overage: f64,
}

/// Simultaneous losses that the service must tolerate.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Tolerance {
    /// Number of failure domains.
    #[serde(default)]
    pub zones: u64,
}

/// A service of the platform.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Service {
    /// `IP:port`.
    pub address: Arc<str>,
}

/// Returns the names of the fields that differ.
fn differing_fields(fields: &[(&'static str, bool)]) -> Vec<&'static str> {
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
    settings::DEFAULT_DRAIN.as_secs_f64() * 1_000.0
}

fn config_apply_ms() -> f64 {
    Run::default().apply_deadline.as_secs_f64() * 1_000.0
}

impl File {
    /// Reads and checks the file at `path`.
    pub fn read(path: &str) -> Result<Self, Vec<Finding>> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| vec![finding(path, WHOLE_FILE, &error.to_string())])?;
        Self::parse(path, &text)
    }

    /// Reads and checks the file's text.
    pub fn parse(place: &str, text: &str) -> Result<Self, Vec<Finding>> {
        let parsed = serde_saphyr::from_str::<Self>(text);
        let file = parsed.map_err(|error| vec![finding(place, WHOLE_FILE, &error.to_string())])?;
        let findings = file.check(place);
        match findings.is_empty() {
            true => Ok(file),
            false => Err(findings),
        }
    }

    /// Checks constraints that the field types don't express.
    fn check(&self, place: &str) -> Vec<Finding> {
        let times = [
            ("bounds.grace_s", self.bounds.grace_s * 1_000.0),
            ("bounds.drain_ms", self.bounds.drain_ms),
            ("bounds.config_apply_ms", self.bounds.config_apply_ms),
        ];
        let times = times
            .into_iter()
            .filter(|(_, ms)| !(0.0..=MAX_BOUND_MS).contains(ms));
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

    /// Returns the fields that differ in `other`: first those that a running box adopts, then
    /// those that need a restart.
    pub fn changed_fields(&self, other: &File) -> (Vec<&'static str>, Vec<&'static str>) {
        let adopted = [
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
        let restart = [
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
        (differing_fields(&adopted), differing_fields(&restart))
    }

    /// Returns this file with the fields of `other` that a running box adopts.
    pub fn with_live_fields(&self, other: &File) -> Self {
        let mut file = self.clone();
        file.seeds = other.seeds.clone();
        file.limits.max_fds = other.limits.max_fds;
        file.bounds.grace_s = other.bounds.grace_s;
        file.bounds.drain_ms = other.bounds.drain_ms;
        file
    }

    /// Returns the settings that a running box adopts.
    pub fn live_settings(&self) -> Live {
        Live {
            member_drain_limit: Some(self.group_settings().drain_limit),
            ..Live::new(&self.run_settings())
        }
    }

    /// Returns the address of the API for peers and operators.
    pub fn api_address(&self) -> SocketAddr {
        let default = SocketAddr::new(self.ip, self.internal_port_range.0);
        self.listen_addrs.control.unwrap_or(default)
    }

    /// Returns the settings of the group decisions.
    pub fn group_settings(&self) -> Settings {
        let drain = Duration::from_secs_f64(self.bounds.drain_ms.max(0.0) / 1_000.0);
        Settings {
            idle_frees_slot: self.has_contract(POOL_CONTRACT),
            serve_late: self.has_contract(POOL_CONTRACT),
            domain_loss: self.tolerates_domain_loss(),
            ..settings::group_settings_with_drain(drain)
        }
    }

    /// Whether a contract of the platform is in force.
    fn has_contract(&self, contract: &str) -> bool {
        self.contracts.iter().any(|name| **name == *contract)
    }

    fn tolerates_domain_loss(&self) -> bool {
        self.fault_tolerance.zones > 0
    }

    fn limit_overage(&self) -> f64 {
        match self.has_contract(PRESSURE_CONTRACT) {
            true => {
                (self.bounds.quota_overage * QUOTA_TOLERANCE_SHARE).clamp(0.0, MAX_LIMIT_OVERAGE)
            }
            false => 0.0,
        }
    }

    /// Returns the used slack. The unused share covers operations that are already counted
    /// while they wait for a member.
    fn limit_slack(&self) -> u32 {
        (self.bounds.quota_slack * QUOTA_TOLERANCE_SHARE).clamp(0.0, MAX_LIMIT_SLACK) as u32
    }

    fn apply_deadline(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.config_apply_ms.max(0.0) / 1_000.0)
    }

    /// Returns the settings of a box.
    pub fn run_settings(&self) -> Run {
        let grace = Duration::from_secs_f64(self.bounds.grace_s.max(0.0));
        Run {
            name: self.node_name.clone(),
            domain: self.zone.clone(),
            ip: self.ip,
            port: self.listen_addrs.front.port(),
            api_port: self.api_address().port(),
            platform: self.platform.address.clone(),
            peers: self.seeds.clone(),
            log: Format::Json,
            connect_timeout: CONNECT_TIMEOUT,
            max_callers: (self.limits.max_fds * CALLERS_PERCENT_OF_FDS / 100) as usize,
            drain_timeout: grace.saturating_sub(KILL_MARGIN),
            max_balancer_delay: MAX_BALANCER_DELAY,
            mean_balancer_delay: MEAN_BALANCER_DELAY,
            // Not needed: every box learns of changes from the store.
            fanout: 0,
            retry_percent: RETRY_PERCENT,
            max_saved_retries: MAX_SAVED_RETRIES,
            duty: true,
            share_table_reads: true,
            link_mbps: self.limits.link_mbps as u32,
            apply_deadline: self.apply_deadline(),
            limit_slack: self.limit_slack(),
            limit_overage: self.limit_overage(),
            queue_over_limit: self.has_contract(PRESSURE_CONTRACT),
            tolerate_domain_loss: self.tolerates_domain_loss(),
            first_start: self.bootstrap,
            ..Run::default()
        }
    }
}
