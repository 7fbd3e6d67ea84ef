//! Starts and controls a system of members, boxes and a platform on loopback.
//!
//! Each failure domain has its own prefix of IP addresses, so faults can cut off whole domains by
//! prefix.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use anyhow::{Context, anyhow};
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
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const FIRST_MEMBER_HOST: u8 = 10;
const FIRST_BOX_HOST: u8 = 100;
const DOMAINS_PER_SUBNET: u8 = 8;

static NEXT_SUBNET: AtomicU8 = AtomicU8::new(0);

/// Size and settings of a cluster.
#[derive(Clone, Debug)]
pub struct Shape {
    pub partner: String,
    pub groups: Vec<String>,
    pub domains: u8,
    pub boxes: u8,
    /// Members per group.
    pub members: u8,
    /// Replication lag.
    pub lag_ms: u64,
    /// Delay of each statement, added to its execution time.
    pub service_ms: u64,
    /// Number of statements that a member runs at once.
    pub slots: usize,
    /// Connection limit of a member.
    pub connections: usize,
    /// Time that a new connection to a member takes.
    pub connect_ms: u64,
    /// One-way network delay between failure domains.
    pub delay_ms: u64,
    pub log: Format,
    /// Interval at which boxes poll the platform.
    pub poll: Duration,
    /// Fields added to every group's declaration.
    pub group_fields: Value,
    /// Further resources of every group, such as read kinds and once rules, as (kind, fields).
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

/// A started member, box or platform.
pub struct Instance {
    pub name: String,
    pub ip: IpAddr,
    pub domain: u8,
    pub handle: Box<dyn Handle>,
}

/// A running system.
pub struct Cluster {
    pub shape: Shape,
    pub subnet: (u8, u8),
    pub http: Http,
    pub boxes: Vec<Instance>,
    /// Members by the index of their group.
    pub members: Vec<Vec<Instance>>,
    pub platform: Instance,
}

/// Returns the second byte of a cluster's IP addresses, and the third byte of its first domain.
///
/// Concurrent processes and the clusters of one process get different subnets.
fn allocate_subnet() -> (u8, u8) {
    let process = std::process::id() % 200;
    let cluster = NEXT_SUBNET.fetch_add(1, Ordering::Relaxed);
    (20 + process as u8, (cluster % 30) * DOMAINS_PER_SUBNET)
}

/// Returns the API token of a partner's operator.
pub fn operator_token(partner: &str) -> String {
    format!("operator of {partner}")
}

pub fn domain_name(domain: u8) -> String {
    format!("d{domain}")
}

impl Cluster {
    pub fn host_ip(subnet: (u8, u8), domain: u8, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, subnet.0, subnet.1 + domain, host))
    }

    /// Returns the prefix of a failure domain's IP addresses, as [`Faults::cut`] takes it.
    pub fn prefix(&self, domain: u8) -> String {
        format!("127.{}.{}.", self.subnet.0, self.subnet.1 + domain)
    }

    /// Starts and declares the cluster, and waits until every box serves every group.
    pub async fn start(shape: Shape, host: &dyn Host) -> anyhow::Result<Self> {
        let subnet = allocate_subnet();
        let platform_ip = Self::host_ip(subnet, 0, 1);
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
            subnet,
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
        cluster.register_boxes().await?;
        for index in 0..cluster.shape.boxes {
            let instance = cluster.start_box(host, index);
            cluster.boxes.push(instance);
        }
        cluster.declare().await?;
        cluster.wait_until_serving().await?;
        cluster.set_delays().await?;
        Ok(cluster)
    }

    pub fn member_settings(&self, group: usize, member: u8) -> member::Settings {
        let domain = member % self.shape.domains;
        member::Settings {
            ip: Self::host_ip(
                self.subnet,
                domain,
                FIRST_MEMBER_HOST + group as u8 * 4 + member,
            ),
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

    pub fn box_settings(&self, index: u8) -> Run {
        let domain = index % self.shape.domains;
        Run {
            name: format!("b{index}").into(),
            domain: domain_name(domain).into(),
            ip: Self::host_ip(self.subnet, domain, FIRST_BOX_HOST + index),
            port: SQL_PORT,
            api_port: API_PORT,
            platform: format!("{}:{PLATFORM_PORT}", self.platform.ip).into(),
            peers: vec![
                format!(
                    "{}:{API_PORT}",
                    Self::host_ip(self.subnet, 0, FIRST_BOX_HOST)
                )
                .into(),
            ],
            log: self.shape.log,
            poll_interval: self.shape.poll,
            admin_hash: Some(secret::hash("admin").into()),
            ..Run::default()
        }
    }

    pub fn start_box(&self, host: &dyn Host, index: u8) -> Instance {
        let settings = self.box_settings(index);
        Instance {
            name: settings.name.to_string(),
            ip: settings.ip,
            domain: index % self.shape.domains,
            handle: host.start_box(&settings),
        }
    }

    async fn wait_for_platform(&self) -> anyhow::Result<()> {
        let address = format!("{}:{PLATFORM_PORT}", self.platform.ip);
        wait_until("the platform answers", async || {
            self.http
                .get(&address, "/head", REQUEST_TIMEOUT)
                .await
                .is_ok()
        })
        .await
    }

    /// Registers the boxes with the platform.
    pub async fn register_boxes(&self) -> anyhow::Result<()> {
        let entry = |index: u8| {
            let settings = self.box_settings(index);
            json!({
                "name": settings.name,
                "address": format!("{}:{API_PORT}", settings.ip),
                "domain": settings.domain,
            })
        };
        let boxes: Vec<Value> = (0..self.shape.boxes).map(entry).collect();
        self.post(&self.platform, PLATFORM_PORT, "/boxes", &json!(boxes))
            .await
    }

    async fn post(
        &self,
        instance: &Instance,
        port: u16,
        path: &str,
        body: &Value,
    ) -> anyhow::Result<()> {
        let address = format!("{}:{port}", instance.ip);
        let call = Call {
            headers: vec![("content-type", "application/json".to_owned())],
            ..Call::post(
                &address,
                path,
                body.to_string().into_bytes(),
                REQUEST_TIMEOUT,
            )
        };
        self.http.call(call).await.map_err(|error| anyhow!(error))?;
        Ok(())
    }

    /// Splits `PARTNER/NAME` into partner and name. Without a partner, the shape's partner is used.
    pub fn split_group_name<'a>(&'a self, group: &'a str) -> (&'a str, &'a str) {
        group
            .split_once('/')
            .unwrap_or((&self.shape.partner, group))
    }

    /// Returns the partners of all groups.
    pub fn partners(&self) -> BTreeSet<String> {
        let groups = self.shape.groups.iter();
        groups
            .map(|group| self.split_group_name(group).0.to_owned())
            .collect()
    }

    /// Returns the resources of a partner's groups, as the apply endpoint takes them.
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
            insert_fields(&mut spec, &self.shape.group_fields);
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
                insert_fields(&mut spec, fields);
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
            self.apply_with_retries("admin", &resource).await?;
            let resources = self.declarations(&partner);
            self.apply_with_retries(&operator_token(&partner), &resources)
                .await?;
        }
        Ok(())
    }

    /// Applies resources to the first box, and retries until the box accepts them.
    async fn apply_with_retries(&self, token: &str, resources: &[Value]) -> anyhow::Result<()> {
        wait_until("the first box accepts declarations", async || {
            self.apply(0, token, resources).await.is_ok()
        })
        .await
    }

    /// Applies resources through the API of a box.
    pub async fn apply(
        &self,
        index: usize,
        token: &str,
        resources: &[Value],
    ) -> Result<Value, crate::http::HttpError> {
        let address = self.api_address(index);
        let body = json!({ "resources": resources });
        let call = Call {
            bearer: Some(token),
            headers: vec![("content-type", "application/json".to_owned())],
            ..Call::post(
                &address,
                "/v1/resources",
                body.to_string().into_bytes(),
                Duration::from_secs(10),
            )
        };
        let bytes = self.http.call(call).await?;
        Ok(serde_json::from_slice(&bytes).unwrap_or_default())
    }

    pub fn api_address(&self, index: usize) -> String {
        format!("{}:{API_PORT}", self.boxes[index].ip)
    }

    async fn wait_until_serving(&self) -> anyhow::Result<()> {
        for index in 0..self.boxes.len() {
            for group in &self.shape.groups {
                wait_until("a box serves", async || {
                    let Ok(mut client) = self.connect(index, group, None).await else {
                        return false;
                    };
                    client.query("SELECT 1").await.is_ok()
                })
                .await?;
            }
        }
        Ok(())
    }

    pub fn sql_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.boxes[index].ip, SQL_PORT)
    }

    /// Connects a client to a group through a box.
    pub async fn connect(
        &self,
        index: usize,
        group: &str,
        token: Option<&str>,
    ) -> Result<Client, ClientError> {
        let (partner, group) = self.split_group_name(group);
        Client::connect(self.sql_address(index), partner, group, token).await
    }

    /// Replaces the faults of a member.
    pub async fn set_faults(
        &self,
        group: usize,
        member: usize,
        faults: &Faults,
    ) -> anyhow::Result<()> {
        let instance = &self.members[group][member];
        self.post(instance, CONTROL_PORT, "/faults", &json!(faults))
            .await
    }

    /// Returns the faults of a healthy member: only the shape's network delay.
    pub fn default_faults(&self) -> Faults {
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
                self.set_faults(group, member, &self.default_faults())
                    .await?;
            }
        }
        Ok(())
    }

    /// Replaces the faults of the platform.
    pub async fn set_platform_faults(&self, faults: &Faults) -> anyhow::Result<()> {
        self.post(&self.platform, PLATFORM_PORT, "/faults", &json!(faults))
            .await
    }

    /// Returns the newest revision of the platform's table.
    pub async fn platform_head(&self) -> anyhow::Result<Revision> {
        let address = format!("{}:{PLATFORM_PORT}", self.platform.ip);
        let body = self.http.get(&address, "/head", REQUEST_TIMEOUT).await;
        let body = body.map_err(|error| anyhow!(error))?;
        serde_json::from_slice(&body).context("the head is not a revision")
    }

    /// Restores the platform's table to its copy of an earlier revision.
    pub async fn restore_platform(&self, revision: Revision) -> anyhow::Result<()> {
        self.post(&self.platform, PLATFORM_PORT, "/restore", &json!(revision))
            .await
    }

    /// Returns a resource from the API of a box, `None` if the request fails.
    pub async fn resource(&self, index: usize, token: &str, key: &str) -> Option<Value> {
        let address = self.api_address(index);
        let path = format!("/v1/resources/{key}");
        let call = Call {
            bearer: Some(token),
            ..Call::get(&address, &path, REQUEST_TIMEOUT)
        };
        let body = self.http.call(call).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Sets the replication lag of a member.
    pub async fn set_lag(&self, group: usize, member: usize, ms: u64) -> anyhow::Result<()> {
        let instance = &self.members[group][member];
        self.post(instance, CONTROL_PORT, "/lag", &json!(ms)).await
    }

    /// Returns the state of a box.
    pub async fn dump(&self, index: usize) -> anyhow::Result<Value> {
        let body = self
            .http
            .get(&self.api_address(index), "/dump", REQUEST_TIMEOUT)
            .await;
        let body = body.map_err(|error| anyhow!(error))?;
        serde_json::from_slice(&body).context("the dump is not JSON")
    }

    /// Returns a counter, summed over its labels and the boxes that answer.
    pub async fn counter(&self, name: &str) -> f64 {
        self.counter_with_label(name, "").await
    }

    /// Returns a counter, summed over the lines that contain a label such as `kind="deck"`.
    pub async fn counter_with_label(&self, name: &str, label: &str) -> f64 {
        let mut sum = 0.0;
        for index in 0..self.boxes.len() {
            let Ok(body) = self
                .http
                .get(&self.api_address(index), "/metrics", REQUEST_TIMEOUT)
                .await
            else {
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

    /// Returns the number of reads that the platform has served.
    pub async fn platform_reads(&self) -> u64 {
        let address = format!("{}:{PLATFORM_PORT}", self.platform.ip);
        let body = self.http.get(&address, "/counts", REQUEST_TIMEOUT).await;
        let counts = body
            .ok()
            .and_then(|body| serde_json::from_slice::<(u64, u64)>(&body).ok());
        counts.unwrap_or_default().0
    }

    /// Waits until every box has applied a revision or a later one.
    pub async fn wait_for_revision(&self, revision: u64) -> anyhow::Result<()> {
        for index in 0..self.boxes.len() {
            wait_until("the box has applied the revision", async || {
                let answer = self
                    .http
                    .get(&self.api_address(index), "/revision", REQUEST_TIMEOUT)
                    .await;
                let found = answer
                    .ok()
                    .and_then(|body| serde_json::from_slice::<u64>(&body).ok());
                found.is_some_and(|found| found >= revision)
            })
            .await?;
        }
        Ok(())
    }

    /// Returns the index of a group's primary in the highest term that a box reports.
    pub async fn primary(&self, group: usize) -> Option<usize> {
        let (partner, name) = self.split_group_name(&self.shape.groups[group]);
        let id = format!("{partner}/{name}");
        let mut newest: (u64, Option<usize>) = (0, None);
        for index in 0..self.boxes.len() {
            let Ok(dump) = self.dump(index).await else {
                continue;
            };
            for found in dump["groups"].as_array().into_iter().flatten() {
                let term = found["term"].as_u64().unwrap_or_default();
                if found["id"] == id.as_str() && term > newest.0 {
                    let name = found["primary"].as_str().unwrap_or_default();
                    newest = (term, name.strip_prefix('m').and_then(|n| n.parse().ok()));
                }
            }
        }
        newest.1
    }
}

fn insert_fields(spec: &mut Value, fields: &Value) {
    for (name, value) in fields.as_object().into_iter().flatten() {
        spec[name] = value.clone();
    }
}

/// Waits until a condition holds. `what` names the condition in the error of a timeout.
pub async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) -> anyhow::Result<()> {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        if condition().await {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(anyhow!("timed out waiting until {what}"))
}
