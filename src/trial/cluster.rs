//! A whole system on loopback. Each failure domain has IP numbers of its own, so
//! that a cut between domains is a cut between prefixes.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use anyhow::{Context, anyhow};
use hyper::Method;
use serde_json::{Value, json};

use super::client::{Client, ClientError};
use super::host::{Handle, Host};
use crate::borders::table::Revision;
use crate::configs::run::Run;
use crate::events::Format;
use crate::http::{Call, Client as Http};
use crate::secret;
use crate::standin::faults::Faults;
use crate::standin::{member, platform};

const SQL_PORT: u16 = 5432;
const CONTROL_PORT: u16 = 7432;
const API_PORT: u16 = 8432;
const PLATFORM_PORT: u16 = 9432;
const WAIT: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(2);
const START: Duration = Duration::from_secs(20);
const FIRST_MEMBER: u8 = 10;
const FIRST_BOX: u8 = 100;
const DOMAINS_A_NET: u8 = 8;

static NEXT: AtomicU8 = AtomicU8::new(0);

/// What is to be built.
#[derive(Clone, Debug)]
pub struct Shape {
    pub partner: String,
    pub groups: Vec<String>,
    pub domains: u8,
    pub boxes: u8,
    pub members: u8,
    pub lag_ms: u64,
    pub service_ms: u64,
    pub slots: usize,
    pub connections: usize,
    pub connect_ms: u64,
    /// One way between failure domains.
    pub delay_ms: u64,
    pub log: Format,
    pub poll: Duration,
    /// Fields added to every group's declaration.
    pub group_fields: Value,
    /// Read kinds and once rules of every group: (kind, fields).
    pub rules: Vec<(String, Value)>,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            partner: "huerto".to_owned(),
            groups: vec!["market".to_owned()],
            domains: 3,
            boxes: 2,
            members: 3,
            lag_ms: 5,
            service_ms: 0,
            slots: 3,
            connections: 24,
            connect_ms: 10,
            delay_ms: 0,
            log: Format::None,
            poll: Duration::from_millis(200),
            group_fields: json!({}),
            rules: Vec::new(),
        }
    }
}

/// A box or a member at its place.
pub struct Instance {
    pub name: String,
    pub ip: IpAddr,
    pub domain: u8,
    pub handle: Box<dyn Handle>,
}

/// A running system.
pub struct Cluster {
    pub shape: Shape,
    pub net: (u8, u8),
    pub http: Http,
    pub boxes: Vec<Instance>,
    /// By group, then by member.
    pub members: Vec<Vec<Instance>>,
    pub platform: Instance,
}

/// A pair of bytes below which this process's systems put their addresses.
fn fresh_net() -> (u8, u8) {
    let process = std::process::id() % 200;
    let trial = NEXT.fetch_add(1, Ordering::Relaxed);
    (20 + process as u8, (trial % 30) * DOMAINS_A_NET)
}

/// Token of a partner's operator.
pub fn operator_token(partner: &str) -> String {
    format!("operator of {partner}")
}

pub fn domain_name(domain: u8) -> String {
    format!("d{domain}")
}

impl Cluster {
    pub fn ip_in(net: (u8, u8), domain: u8, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, net.0, net.1 + domain, host))
    }

    /// Prefix of a domain's IP numbers, for cuts.
    pub fn prefix(&self, domain: u8) -> String {
        format!("127.{}.{}.", self.net.0, self.net.1 + domain)
    }

    /// Starts everything, declares it, and waits until every box serves.
    pub async fn start(shape: Shape, host: &dyn Host) -> anyhow::Result<Self> {
        let net = fresh_net();
        let platform_ip = Self::ip_in(net, 0, 1);
        let platform = Instance {
            name: "platform".to_owned(),
            ip: platform_ip,
            domain: 0,
            handle: host.start_platform(&platform::Settings {
                ip: platform_ip,
                port: PLATFORM_PORT,
                roster_lag_ms: 0,
            }),
        };
        let mut cluster = Self {
            net,
            http: Http::new(IpAddr::V4(Ipv4Addr::LOCALHOST)),
            boxes: Vec::new(),
            members: Vec::new(),
            platform,
            shape,
        };
        for group in 0..cluster.shape.groups.len() {
            let members = (0..cluster.shape.members)
                .map(|member| cluster.start_member(host, group, member))
                .collect();
            cluster.members.push(members);
        }
        cluster.wait_for_platform().await?;
        cluster.list_boxes().await?;
        for i in 0..cluster.shape.boxes {
            let part = cluster.start_box(host, i);
            cluster.boxes.push(part);
        }
        cluster.declare().await?;
        cluster.wait_until_serving().await?;
        cluster.set_delays().await?;
        Ok(cluster)
    }

    pub fn member_settings(&self, group: usize, member: u8) -> member::Settings {
        let domain = member % self.shape.domains;
        member::Settings {
            ip: Self::ip_in(self.net, domain, FIRST_MEMBER + group as u8 * 4 + member),
            sql_port: SQL_PORT,
            control_port: CONTROL_PORT,
            slots: self.shape.slots,
            connections: self.shape.connections,
            connect_ms: self.shape.connect_ms,
            service_ms: self.shape.service_ms,
            lag_ms: self.shape.lag_ms,
            primary: member == 0,
        }
    }

    fn start_member(&self, host: &dyn Host, group: usize, member: u8) -> Instance {
        let settings = self.member_settings(group, member);
        Instance {
            name: format!("m{member}"),
            ip: settings.ip,
            domain: member % self.shape.domains,
            handle: host.start_member(&settings),
        }
    }

    pub fn box_settings(&self, i: u8) -> Run {
        let domain = i % self.shape.domains;
        Run {
            name: format!("b{i}").into(),
            domain: domain_name(domain).into(),
            ip: Self::ip_in(self.net, domain, FIRST_BOX + i),
            port: SQL_PORT,
            api_port: API_PORT,
            platform: format!("{}:{PLATFORM_PORT}", self.platform.ip).into(),
            peers: vec![format!("{}:{API_PORT}", Self::ip_in(self.net, 0, FIRST_BOX)).into()],
            log: self.shape.log,
            poll: self.shape.poll,
            admin: Some(secret::hash("admin").into()),
            ..Run::default()
        }
    }

    pub fn start_box(&self, host: &dyn Host, i: u8) -> Instance {
        let settings = self.box_settings(i);
        Instance {
            name: settings.name.to_string(),
            ip: settings.ip,
            domain: i % self.shape.domains,
            handle: host.start_box(&settings),
        }
    }

    async fn wait_for_platform(&self) -> anyhow::Result<()> {
        let address = format!("{}:{PLATFORM_PORT}", self.platform.ip);
        wait_until("the platform answers", async || {
            self.http.get(&address, "/head", WAIT).await.is_ok()
        })
        .await
    }

    /// Tells the platform which boxes there are.
    pub async fn list_boxes(&self) -> anyhow::Result<()> {
        let listing = |i: u8| {
            let settings = self.box_settings(i);
            json!({
                "name": settings.name,
                "address": format!("{}:{API_PORT}", settings.ip),
                "domain": settings.domain,
            })
        };
        let boxes: Vec<Value> = (0..self.shape.boxes).map(listing).collect();
        self.post(&self.platform, PLATFORM_PORT, "/boxes", &json!(boxes))
            .await
    }

    async fn post(
        &self,
        part: &Instance,
        port: u16,
        path: &str,
        body: &Value,
    ) -> anyhow::Result<()> {
        let address = format!("{}:{port}", part.ip);
        let call = Call {
            method: Method::POST,
            address: &address,
            path,
            bearer: None,
            headers: vec![("content-type", "application/json".to_owned())],
            body: body.to_string().into_bytes(),
            wait: WAIT,
        };
        self.http.call(call).await.map_err(|error| anyhow!(error))?;
        Ok(())
    }

    /// Partner and name of a group, which is written `PARTNER/NAME` or `NAME`.
    pub fn split_group_name<'a>(&'a self, group: &'a str) -> (&'a str, &'a str) {
        group
            .split_once('/')
            .unwrap_or((&self.shape.partner, group))
    }

    /// All partners of the shape.
    pub fn partners(&self) -> BTreeSet<String> {
        let groups = self.shape.groups.iter();
        groups
            .map(|group| self.split_group_name(group).0.to_owned())
            .collect()
    }

    /// One partner's declarations, as the apply endpoint takes them.
    pub fn declarations(&self, partner: &str) -> Vec<Value> {
        let mut resources = Vec::new();
        for (g, group) in self.shape.groups.iter().enumerate() {
            let (owner, group) = self.split_group_name(group);
            if owner != partner {
                continue;
            }
            let mut spec = json!({
                "partner": partner,
                "name": group,
                "slots": self.shape.slots,
                "connections": self.shape.connections,
            });
            merge(&mut spec, &self.shape.group_fields);
            resources.push(json!({ "kind": "group", "spec": spec }));
            for (m, member) in self.members[g].iter().enumerate() {
                let spec = json!({
                    "partner": partner,
                    "group": group,
                    "name": format!("m{m}"),
                    "sql": format!("{}:{SQL_PORT}", member.ip),
                    "control": format!("{}:{CONTROL_PORT}", member.ip),
                    "domain": domain_name(member.domain),
                });
                resources.push(json!({ "kind": "member", "spec": spec }));
            }
            for (kind, fields) in &self.shape.rules {
                let mut spec = json!({ "partner": partner, "group": group });
                merge(&mut spec, fields);
                resources.push(json!({ "kind": kind, "spec": spec }));
            }
        }
        resources
    }

    async fn declare(&self) -> anyhow::Result<()> {
        for partner in self.partners() {
            let spec = json!({
                "name": partner,
                "operator": secret::hash(&operator_token(&partner)),
            });
            let resource = vec![json!({ "kind": "partner", "spec": spec })];
            self.apply_until("admin", &resource).await?;
            let resources = self.declarations(&partner);
            self.apply_until(&operator_token(&partner), &resources)
                .await?;
        }
        Ok(())
    }

    /// Applies as soon as the first box takes it.
    async fn apply_until(&self, token: &str, resources: &[Value]) -> anyhow::Result<()> {
        wait_until("the first box takes declarations", async || {
            self.apply(0, token, resources).await.is_ok()
        })
        .await
    }

    /// Sends declarations to one box.
    pub async fn apply(
        &self,
        i: usize,
        token: &str,
        resources: &[Value],
    ) -> Result<Value, crate::http::HttpError> {
        let address = self.api_address(i);
        let body = json!({ "resources": resources });
        let call = Call {
            method: Method::POST,
            address: &address,
            path: "/v1/resources",
            bearer: Some(token),
            headers: vec![("content-type", "application/json".to_owned())],
            body: body.to_string().into_bytes(),
            wait: Duration::from_secs(10),
        };
        let bytes = self.http.call(call).await?;
        Ok(serde_json::from_slice(&bytes).unwrap_or_default())
    }

    pub fn api_address(&self, i: usize) -> String {
        format!("{}:{API_PORT}", self.boxes[i].ip)
    }

    async fn wait_until_serving(&self) -> anyhow::Result<()> {
        for i in 0..self.boxes.len() {
            for group in &self.shape.groups {
                wait_until("a box serves", async || {
                    let Ok(mut client) = self.connect(i, group, None).await else {
                        return false;
                    };
                    client.query("SELECT 1").await.is_ok()
                })
                .await?;
            }
        }
        Ok(())
    }

    pub fn sql_address(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.boxes[i].ip, SQL_PORT)
    }

    /// Connects to a box.
    pub async fn connect(
        &self,
        i: usize,
        group: &str,
        token: Option<&str>,
    ) -> Result<Client, ClientError> {
        let (partner, group) = self.split_group_name(group);
        Client::connect(self.sql_address(i), partner, group, token).await
    }

    /// Switches a member's faults.
    pub async fn set_faults(
        &self,
        group: usize,
        member: usize,
        faults: &Faults,
    ) -> anyhow::Result<()> {
        let part = &self.members[group][member];
        self.post(part, CONTROL_PORT, "/faults", &json!(faults))
            .await
    }

    /// The faults of a member that has none but the shape's delay.
    pub fn no_faults(&self) -> Faults {
        Faults {
            delay_ms: self.shape.delay_ms,
            ..Faults::default()
        }
    }

    async fn set_delays(&self) -> anyhow::Result<()> {
        if self.shape.delay_ms == 0 {
            return Ok(());
        }
        for group in 0..self.members.len() {
            for member in 0..self.members[group].len() {
                self.set_faults(group, member, &self.no_faults()).await?;
            }
        }
        Ok(())
    }

    /// Switches the platform's faults.
    pub async fn set_platform_faults(&self, faults: &Faults) -> anyhow::Result<()> {
        self.post(&self.platform, PLATFORM_PORT, "/faults", &json!(faults))
            .await
    }

    /// The newest revision of the platform's table.
    pub async fn platform_head(&self) -> anyhow::Result<Revision> {
        let address = format!("{}:{PLATFORM_PORT}", self.platform.ip);
        let body = self.http.get(&address, "/head", WAIT).await;
        let body = body.map_err(|error| anyhow!(error))?;
        serde_json::from_slice(&body).context("the head is a revision")
    }

    /// Has the platform's table come back as the copy that was made at a revision.
    pub async fn restore_platform(&self, revision: Revision) -> anyhow::Result<()> {
        self.post(&self.platform, PLATFORM_PORT, "/restore", &json!(revision))
            .await
    }

    /// A resource as a box shows it; none where it shows none.
    pub async fn resource(&self, i: usize, token: &str, key: &str) -> Option<Value> {
        let address = self.api_address(i);
        let path = format!("/v1/resources/{key}");
        let call = Call {
            bearer: Some(token),
            ..Call::get(&address, &path, WAIT)
        };
        let body = self.http.call(call).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    pub async fn set_lag(&self, group: usize, member: usize, ms: u64) -> anyhow::Result<()> {
        let part = &self.members[group][member];
        self.post(part, CONTROL_PORT, "/lag", &json!(ms)).await
    }

    /// A box's state.
    pub async fn dump(&self, i: usize) -> anyhow::Result<Value> {
        let body = self.http.get(&self.api_address(i), "/dump", WAIT).await;
        let body = body.map_err(|error| anyhow!(error))?;
        serde_json::from_slice(&body).context("the dump is JSON")
    }

    /// A counter summed over its labels and the boxes that answer.
    pub async fn counter(&self, name: &str) -> f64 {
        self.counter_with(name, "").await
    }

    /// The same, of the lines with this label only, as `kind="deck"`.
    pub async fn counter_with(&self, name: &str, label: &str) -> f64 {
        let mut sum = 0.0;
        for i in 0..self.boxes.len() {
            let Ok(body) = self.http.get(&self.api_address(i), "/metrics", WAIT).await else {
                continue;
            };
            let text = String::from_utf8_lossy(&body).into_owned();
            let values = text.lines().filter_map(|line| {
                let rest = line
                    .strip_prefix(name)
                    .filter(|rest| rest.contains(label))?;
                rest.rsplit(' ').next()?.parse::<f64>().ok()
            });
            sum += values.sum::<f64>();
        }
        sum
    }

    /// Reads that the platform has served.
    pub async fn platform_reads(&self) -> u64 {
        let address = format!("{}:{PLATFORM_PORT}", self.platform.ip);
        let body = self.http.get(&address, "/counts", WAIT).await;
        let counts = body
            .ok()
            .and_then(|body| serde_json::from_slice::<(u64, u64)>(&body).ok());
        counts.unwrap_or_default().0
    }

    /// Waits until every box has a revision in force.
    pub async fn wait_for_revision(&self, revision: u64) -> anyhow::Result<()> {
        for i in 0..self.boxes.len() {
            wait_until("the revision is in force", async || {
                let dump = self.http.get(&self.api_address(i), "/revision", WAIT).await;
                let found = dump
                    .ok()
                    .and_then(|body| serde_json::from_slice::<u64>(&body).ok());
                found.is_some_and(|found| found >= revision)
            })
            .await?;
        }
        Ok(())
    }

    /// Which member leads the group, by what an owner knows.
    pub async fn primary(&self, group: usize) -> Option<usize> {
        let (partner, name) = self.split_group_name(&self.shape.groups[group]);
        let id = format!("{partner}/{name}");
        let mut best: (u64, Option<usize>) = (0, None);
        for i in 0..self.boxes.len() {
            let Ok(dump) = self.dump(i).await else {
                continue;
            };
            for found in dump["groups"].as_array().into_iter().flatten() {
                let term = found["term"].as_u64().unwrap_or_default();
                if found["id"] == id.as_str() && term > best.0 {
                    let name = found["primary"].as_str().unwrap_or_default();
                    best = (term, name.strip_prefix('m').and_then(|n| n.parse().ok()));
                }
            }
        }
        best.1
    }
}

fn merge(into: &mut Value, fields: &Value) {
    for (name, value) in fields.as_object().into_iter().flatten() {
        into[name] = value.clone();
    }
}

/// Waits until something holds.
pub async fn wait_until(what: &str, holds: impl AsyncFn() -> bool) -> anyhow::Result<()> {
    let end = tokio::time::Instant::now() + START;
    while tokio::time::Instant::now() < end {
        if holds().await {
            return Ok(());
        }
        tokio::time::sleep(STEP).await;
    }
    Err(anyhow!("waited in vain until {what}"))
}
