//! Settings of a box, read from flags and environment variables.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::declarations::finding::Finding;
use crate::events::Format;

/// Settings of `larkfall run`.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// The box's name in the platform's list.
    pub name: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Address on which the box listens and from which it connects.
    pub ip: IpAddr,
    /// Port for callers.
    pub port: u16,
    /// Port for peers, the resource API, metrics and the state dump.
    pub api_port: u16,
    /// Separate port for the metrics. It can be the same on all boxes even if their API ports are
    /// assigned dynamically.
    pub metrics_port: Option<u16>,
    /// `IP:port` of the platform.
    pub platform: Arc<str>,
    /// `IP:port` of peers to ask if the platform is down at startup.
    pub peers: Vec<Arc<str>>,
    /// SHA-256 of the token that permits declaring partners, in hexadecimal.
    pub admin_hash: Option<Arc<str>>,
    pub log: Format,
    /// Interval at which the table is polled for a new revision.
    pub poll_interval: Duration,
    /// Number of peers to which a box pushes changes.
    pub fanout: usize,
    /// Time without a statement after which an open transaction is rolled back.
    pub transaction_idle_timeout: Duration,
    /// Time to open a connection to a member.
    pub connect_timeout: Duration,
    /// Maximum number of concurrent callers.
    pub max_callers: usize,
    /// Time that requests in flight may take at shutdown.
    pub drain_timeout: Duration,
    /// Longest time for which the load balancer still sends callers to a box that is not ready.
    pub max_balancer_delay: Duration,
    /// Mean time for which the load balancer still sends callers to a box that is not ready.
    pub mean_balancer_delay: Duration,
    /// Retries allowed per hundred successful answers.
    pub retry_percent: u64,
    /// Unused retries that can accumulate.
    pub max_saved_retries: u64,
    /// Whether a box must hold the duty to order a promotion. The duty's generation number is kept
    /// in the table.
    pub duty: bool,
    /// Whether only a few boxes of a large failure domain read the table and pass changes on to the
    /// others.
    pub share_table_reads: bool,
    /// Bandwidth of the box's network link in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// Time within which an accepted change must be in force.
    pub apply_deadline: Duration,
    /// Operations that are added to a workspace's declared burst.
    pub limit_slack: u32,
    /// Fraction by which a workspace's rate limit may be exceeded.
    pub limit_overage: f64,
    /// Whether operations beyond a workspace's limit are queued instead of refused.
    pub queue_over_limit: bool,
    /// Whether the system must tolerate the loss of a whole failure domain. The boxes of a domain
    /// then alert each other when they detect a partition.
    pub tolerate_domain_loss: bool,
    /// Whether the whole system starts for the first time, with no box listed yet.
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

/// Where settings are read from. A flag takes precedence over an environment variable.
pub struct Source<'a> {
    /// Returns the value of a flag.
    pub flag: &'a dyn Fn(&str) -> Option<String>,
    /// Returns the value of an environment variable.
    pub variable: &'a dyn Fn(&str) -> Option<String>,
}

/// Reads settings one by one and collects findings about them.
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

    fn add_finding(&mut self, origin: &str, name: &str, message: String) {
        self.findings.push(Finding {
            file: origin.into(),
            line: None,
            field: name.to_owned(),
            message,
        });
    }

    /// Returns the unparsed value and its origin.
    fn lookup(&self, name: &str) -> Option<(&'static str, String)> {
        if let Some(text) = (self.source.flag)(name) {
            return Some(("flags", text));
        }
        let variable = format!("LARKFALL_{}", name.to_uppercase().replace('-', "_"));
        (self.source.variable)(&variable).map(|text| ("environment", text))
    }

    /// Reads an optional setting. `what` describes valid values for the finding.
    pub fn optional<T>(
        &mut self,
        name: &str,
        default: T,
        what: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> T {
        let Some((origin, text)) = self.lookup(name) else {
            return default;
        };
        parse(&text).unwrap_or_else(|| {
            self.add_finding(origin, name, format!("must be {what}, not {text:?}"));
            default
        })
    }

    /// Reads a required setting. `fallback` is only a placeholder if there is a finding.
    pub fn required<T>(
        &mut self,
        name: &str,
        fallback: T,
        what: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> T {
        if self.lookup(name).is_none() {
            self.add_finding("flags", name, format!("is missing; it must be {what}"));
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

fn parse_name(text: &str) -> Option<Arc<str>> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    (!text.is_empty() && text.chars().all(allowed)).then(|| text.into())
}

fn parse_address(text: &str) -> Option<Arc<str>> {
    let parsed: Result<std::net::SocketAddr, _> = text.parse();
    parsed.ok().map(|_| text.into())
}

impl Run {
    /// Reads and validates all settings.
    pub fn from_source(source: Source<'_>) -> Result<Self, Vec<Finding>> {
        let defaults = Run::default();
        let mut reader = Reader::new(source);
        let run = Run {
            name: reader.required(
                "name",
                defaults.name,
                "letters, digits, - and _",
                parse_name,
            ),
            domain: reader.required(
                "domain",
                defaults.domain,
                "letters, digits, - and _",
                parse_name,
            ),
            ip: reader.optional("ip", defaults.ip, "an IP number", |t| t.parse().ok()),
            port: reader.number("port", defaults.port),
            api_port: reader.number("api-port", defaults.api_port),
            metrics_port: defaults.metrics_port,
            platform: reader.required("platform", defaults.platform, "IP:port", parse_address),
            peers: reader.optional(
                "peer",
                defaults.peers,
                "IP:port, or several with commas",
                |t| t.split(',').map(parse_address).collect(),
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
