//! Settings of a box: flags and environment, checked together.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::declarations::finding::Finding;
use crate::events::Format;

/// Settings of `larkfall run`.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// The box's name, as the platform lists it.
    pub name: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Address the box listens on and calls from.
    pub ip: IpAddr,
    /// Callers' port.
    pub port: u16,
    /// Port of peers, the resource API, metrics and dump.
    pub api_port: u16,
    /// Port that shows the metrics apart from the rest, at the same for all boxes where
    /// the API's port differs from day to day.
    pub metrics_port: Option<u16>,
    /// `IP:port` of the platform.
    pub platform: Arc<str>,
    /// `IP:port` of peers to ask when the platform is down at the start.
    pub peers: Vec<Arc<str>>,
    /// SHA-256 of the token that may declare partners, in hexadecimal.
    pub admin_hash: Option<Arc<str>>,
    pub log: Format,
    /// Time between two looks at the table's head.
    pub poll_interval: Duration,
    /// Peers that news is pushed to.
    pub fanout: usize,
    /// An open transaction without a statement for this long is rolled back.
    pub transaction_idle_timeout: Duration,
    /// Time a new connection to a member may take.
    pub connect_timeout: Duration,
    /// Callers at once.
    pub max_callers: usize,
    /// Time that requests in flight get at a stop.
    pub drain_timeout: Duration,
    /// Time after which a balancer sends no callers any more to a box that is not ready.
    pub max_balancer_delay: Duration,
    /// Time after which it is expected to send none.
    pub mean_balancer_delay: Duration,
    /// Retries that each hundred answers earn.
    pub retry_percent: u64,
    /// Retries that can be saved up.
    pub max_saved_retries: u64,
    /// Promotions are ordered under a generation number that is kept in the table.
    pub duty: bool,
    /// Where a failure domain has many boxes, a few of them read the table for all.
    pub share_table_reads: bool,
    /// Width of the box's link, in Mbit/s; 0 where that is not known.
    pub link_mbps: u32,
    /// Time in which an accepted change has to be in force.
    pub apply_deadline: Duration,
    /// Operations that a workspace may do at once beyond its declared burst.
    pub limit_slack: u32,
    /// Part of a workspace's limit by which it may be passed.
    pub limit_overage: f64,
    /// Operations wait for their turn where a workspace's limit is used up.
    pub queue_over_limit: bool,
    /// The loss of a whole failure domain is to be borne: its boxes warn each other of it.
    pub tolerate_domain_loss: bool,
    /// The whole system starts for the first time: no box is listed yet.
    pub first_start: bool,
}

impl Default for Run {
    fn default() -> Self {
        Self {
            name: "".into(),
            domain: "".into(),
            ip: IpAddr::from([127, 0, 0, 1]),
            port: 5432,
            api_port: 8432,
            metrics_port: None,
            platform: "".into(),
            peers: Vec::new(),
            admin_hash: None,
            log: Format::Terminal,
            poll_interval: Duration::from_secs(2),
            fanout: 3,
            transaction_idle_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_secs(1),
            max_callers: 10_000,
            drain_timeout: Duration::from_secs(30),
            max_balancer_delay: Duration::from_millis(2_300),
            mean_balancer_delay: Duration::from_millis(1_500),
            retry_percent: 10,
            max_saved_retries: 20,
            duty: false,
            share_table_reads: false,
            link_mbps: 0,
            apply_deadline: Duration::from_secs(3),
            limit_slack: 0,
            limit_overage: 0.0,
            queue_over_limit: false,
            tolerate_domain_loss: false,
            first_start: false,
        }
    }
}

/// A setting as written: flag first, then environment.
pub struct Source<'a> {
    pub flag: &'a dyn Fn(&str) -> Option<String>,
    pub variable: &'a dyn Fn(&str) -> Option<String>,
}

/// Reads settings one by one and collects what is wrong with them.
pub struct Reader<'a> {
    source: Source<'a>,
    pub findings: Vec<Finding>,
}

impl<'a> Reader<'a> {
    pub fn new(source: Source<'a>) -> Self {
        Self {
            source,
            findings: Vec::new(),
        }
    }

    fn note(&mut self, place: &str, name: &str, message: String) {
        self.findings.push(Finding {
            file: place.into(),
            line: None,
            field: name.to_owned(),
            message,
        });
    }

    fn raw(&self, name: &str) -> Option<(&'static str, String)> {
        if let Some(text) = (self.source.flag)(name) {
            return Some(("flags", text));
        }
        let variable = format!("LARKFALL_{}", name.to_uppercase().replace('-', "_"));
        (self.source.variable)(&variable).map(|text| ("environment", text))
    }

    /// A setting with a default; `what` says what it must be.
    pub fn optional<T>(
        &mut self,
        name: &str,
        default: T,
        what: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> T {
        let Some((place, text)) = self.raw(name) else {
            return default;
        };
        parse(&text).unwrap_or_else(|| {
            self.note(place, name, format!("must be {what}, not {text:?}"));
            default
        })
    }

    /// A setting that must be given.
    pub fn required<T>(
        &mut self,
        name: &str,
        fallback: T,
        what: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> T {
        if self.raw(name).is_none() {
            self.note("flags", name, format!("is missing; it must be {what}"));
            return fallback;
        }
        self.optional(name, fallback, what, parse)
    }

    pub fn milliseconds(&mut self, name: &str, default: Duration) -> Duration {
        self.optional(name, default, "milliseconds, at least 1", |text| {
            let number: u64 = text.parse().ok()?;
            (number > 0).then(|| Duration::from_millis(number))
        })
    }

    pub fn number<T: std::str::FromStr>(&mut self, name: &str, default: T) -> T {
        self.optional(name, default, "a whole number", |text| text.parse().ok())
    }
}

pub fn parse_log_format(text: &str) -> Option<Format> {
    match text {
        "terminal" => Some(Format::Terminal),
        "json" => Some(Format::Json),
        "none" => Some(Format::None),
        _ => None,
    }
}

fn name(text: &str) -> Option<Arc<str>> {
    let fits = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    (!text.is_empty() && text.chars().all(fits)).then(|| text.into())
}

fn address(text: &str) -> Option<Arc<str>> {
    let parsed: Result<std::net::SocketAddr, _> = text.parse();
    parsed.ok().map(|_| text.into())
}

impl Run {
    /// Reads and checks all settings.
    pub fn from_source(source: Source<'_>) -> Result<Self, Vec<Finding>> {
        let defaults = Run::default();
        let mut reader = Reader::new(source);
        let run = Run {
            name: reader.required("name", defaults.name, "letters, digits, - and _", name),
            domain: reader.required("domain", defaults.domain, "letters, digits, - and _", name),
            ip: reader.optional("ip", defaults.ip, "an IP number", |t| t.parse().ok()),
            port: reader.number("port", defaults.port),
            api_port: reader.number("api-port", defaults.api_port),
            metrics_port: defaults.metrics_port,
            platform: reader.required("platform", defaults.platform, "IP:port", address),
            peers: reader.optional(
                "peer",
                defaults.peers,
                "IP:port, or several with commas",
                |t| t.split(',').map(address).collect(),
            ),
            admin_hash: reader.optional(
                "admin",
                defaults.admin_hash,
                "a SHA-256 in 64 hexadecimal digits",
                |t| {
                    let digits = t.len() == 64 && t.chars().all(|c| c.is_ascii_hexdigit());
                    digits.then(|| Some(t.into()))
                },
            ),
            log: reader.optional(
                "log",
                defaults.log,
                "terminal, json or none",
                parse_log_format,
            ),
            poll_interval: reader.milliseconds("poll-ms", defaults.poll_interval),
            fanout: reader.number("fanout", defaults.fanout),
            transaction_idle_timeout: reader
                .milliseconds("lease-idle-ms", defaults.transaction_idle_timeout),
            connect_timeout: reader.milliseconds("connect-wait-ms", defaults.connect_timeout),
            max_callers: reader.number("callers", defaults.max_callers),
            drain_timeout: reader.milliseconds("drain-ms", defaults.drain_timeout),
            max_balancer_delay: defaults.max_balancer_delay,
            mean_balancer_delay: defaults.mean_balancer_delay,
            retry_percent: defaults.retry_percent,
            max_saved_retries: defaults.max_saved_retries,
            duty: defaults.duty,
            share_table_reads: defaults.share_table_reads,
            link_mbps: defaults.link_mbps,
            apply_deadline: defaults.apply_deadline,
            limit_slack: defaults.limit_slack,
            limit_overage: defaults.limit_overage,
            queue_over_limit: defaults.queue_over_limit,
            tolerate_domain_loss: defaults.tolerate_domain_loss,
            first_start: defaults.first_start,
        };
        match reader.findings.is_empty() {
            true => Ok(run),
            false => Err(reader.findings),
        }
    }
}
