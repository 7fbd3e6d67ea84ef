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
    pub admin: Option<Arc<str>>,
    pub log: Format,
    /// Time between two looks at the table's head.
    pub poll: Duration,
    /// Peers that news is pushed to.
    pub fanout: usize,
    /// An open transaction without a statement for this long is rolled back.
    pub lease_idle: Duration,
    /// Time a new connection to a member may take.
    pub connect_wait: Duration,
    /// Callers at once.
    pub callers: usize,
    /// Time that requests in flight get at a stop.
    pub drain: Duration,
    /// Time after which a balancer sends no callers any more to a box that is not ready.
    pub balancer_turn: Duration,
    /// Time after which it is expected to send none.
    pub balancer_notice: Duration,
    /// Retries that each hundred answers earn.
    pub retry_percent: u64,
    /// Retries that can be saved up.
    pub retry_most: u64,
    /// Promotions are ordered under a generation number that is kept in the table.
    pub duty: bool,
    /// Where a failure domain has many boxes, a few of them read the table for all.
    pub follow: bool,
    /// Width of the box's link, in Mbit/s; 0 where that is not known.
    pub link_mbps: u32,
    /// Time in which an accepted change has to be in force.
    pub apply: Duration,
    /// Operations that a workspace may do at once beyond its declared burst.
    pub limit_slack: u32,
    /// Part of a workspace's limit by which it may be passed.
    pub limit_overage: f64,
    /// Operations wait for their turn where a workspace's limit is used up.
    pub limit_waits: bool,
    /// The loss of a whole failure domain is to be borne: its boxes warn each other of it.
    pub domain_loss: bool,
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
            admin: None,
            log: Format::Terminal,
            poll: Duration::from_secs(2),
            fanout: 3,
            lease_idle: Duration::from_secs(30),
            connect_wait: Duration::from_secs(1),
            callers: 10_000,
            drain: Duration::from_secs(30),
            balancer_turn: Duration::from_millis(2_300),
            balancer_notice: Duration::from_millis(1_500),
            retry_percent: 10,
            retry_most: 20,
            duty: false,
            follow: false,
            link_mbps: 0,
            apply: Duration::from_secs(3),
            limit_slack: 0,
            limit_overage: 0.0,
            limit_waits: false,
            domain_loss: false,
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

pub fn log_format(text: &str) -> Option<Format> {
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
    pub fn read(source: Source<'_>) -> Result<Self, Vec<Finding>> {
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
            admin: reader.optional(
                "admin",
                defaults.admin,
                "a SHA-256 in 64 hexadecimal digits",
                |t| {
                    let digits = t.len() == 64 && t.chars().all(|c| c.is_ascii_hexdigit());
                    digits.then(|| Some(t.into()))
                },
            ),
            log: reader.optional("log", defaults.log, "terminal, json or none", log_format),
            poll: reader.milliseconds("poll-ms", defaults.poll),
            fanout: reader.number("fanout", defaults.fanout),
            lease_idle: reader.milliseconds("lease-idle-ms", defaults.lease_idle),
            connect_wait: reader.milliseconds("connect-wait-ms", defaults.connect_wait),
            callers: reader.number("callers", defaults.callers),
            drain: reader.milliseconds("drain-ms", defaults.drain),
            balancer_turn: defaults.balancer_turn,
            balancer_notice: defaults.balancer_notice,
            retry_percent: defaults.retry_percent,
            retry_most: defaults.retry_most,
            duty: defaults.duty,
            follow: defaults.follow,
            link_mbps: defaults.link_mbps,
            apply: defaults.apply,
            limit_slack: defaults.limit_slack,
            limit_overage: defaults.limit_overage,
            limit_waits: defaults.limit_waits,
            domain_loss: defaults.domain_loss,
            first_start: defaults.first_start,
        };
        match reader.findings.is_empty() {
            true => Ok(run),
            false => Err(reader.findings),
        }
    }
}
