//! The settings file that the platform lays for each process, in YAML.
//!
//! Fields that are not known are skipped: the file may gain some. What is missing
//! or malformed is a finding with its place.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use super::settings;
use crate::configs::run::Run;
use crate::decisions::group::Settings;
use crate::declarations::finding::Finding;
use crate::events::Format;

/// Variable that names the file.
pub const VARIABLE: &str = "LARKFALL_NODE_FILE";

/// Time kept between the end of a drain and the platform's kill.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Callers at once for each descriptor that a process may open: each caller takes
/// one, and a quarter is kept for members, peers and files.
const CALLERS_PERCENT: u64 = 75;
/// Time that a new connection to a member may take: 12 ms on the sites, and a lost
/// packet is sent again after a second.
const CONNECT_WAIT: Duration = Duration::from_millis(400);
/// A cut makes every statement of a second be placed again, once or twice.
const RETRY_PERCENT: u64 = 20;
const RETRY_MOST: u64 = 100;

/// The fields that are used.
#[derive(Clone, Debug, Deserialize)]
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
    pub platform: Service,
    /// Where promotions are ordered.
    pub cloud_api: Service,
}

/// Where the process listens.
#[derive(Clone, Debug, Deserialize)]
pub struct Listen {
    /// Callers.
    pub front: SocketAddr,
    /// The balancer's question whether it may send callers.
    pub ready: SocketAddr,
    /// Peers, resource API, metrics, dump.
    pub control: Option<SocketAddr>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Descriptors that the process may open.
    pub max_fds: u64,
    /// Width of the machine's link.
    #[serde(default)]
    pub link_mbps: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Bounds {
    /// Seconds between the signal to stop and the kill.
    pub grace_s: f64,
    /// Milliseconds after its word from which nothing may reach a leaving member.
    #[serde(default = "drain_ms")]
    pub drain_ms: f64,
    /// Milliseconds after which an accepted change has to be in force.
    #[serde(default = "config_apply_ms")]
    pub config_apply_ms: f64,
}

/// A service of the platform.
#[derive(Clone, Debug, Deserialize)]
pub struct Service {
    /// `IP:port`.
    pub address: Arc<str>,
}

fn drain_ms() -> f64 {
    settings::DRAIN.as_secs_f64() * 1_000.0
}

fn config_apply_ms() -> f64 {
    Run::default().apply.as_secs_f64() * 1_000.0
}

impl File {
    /// Reads and checks the file's text.
    pub fn parse(place: &str, text: &str) -> Result<Self, Vec<Finding>> {
        serde_saphyr::from_str(text).map_err(|error| {
            vec![Finding {
                file: place.into(),
                line: None,
                field: "settings".to_owned(),
                message: error.to_string(),
            }]
        })
    }

    /// Address of the peers' and operators' API.
    pub fn api(&self) -> SocketAddr {
        let own = SocketAddr::new(self.ip, self.internal_port_range.0);
        self.listen_addrs.control.unwrap_or(own)
    }

    /// Settings of the decisions.
    pub fn decisions(&self) -> Settings {
        settings::with_drain(Duration::from_secs_f64(
            self.bounds.drain_ms.max(0.0) / 1_000.0,
        ))
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
            // Every box hears of changes from the store itself.
            fanout: 0,
            retry_percent: RETRY_PERCENT,
            retry_most: RETRY_MOST,
            duty: true,
            follow: true,
            link_mbps: self.limits.link_mbps as u32,
            apply: self.apply(),
            first_start: self.bootstrap,
            ..Run::default()
        }
    }
}
