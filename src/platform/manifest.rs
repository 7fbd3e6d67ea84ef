//! Parses the operator's manifest into declarations.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde_json::{Value, json};

use crate::declarations::resource::{Key, Kind};
use crate::secret;

/// Partner of all declarations: the platform has a single operator.
pub const PARTNER: &str = "platform";

/// The operator's manifest.
#[derive(Clone, Deserialize)]
pub struct Manifest {
    pub version: u64,
    #[serde(default)]
    routes: Vec<Route>,
    #[serde(default)]
    services: Vec<Service>,
    #[serde(default)]
    limits: Limits,
    /// Workspaces; `None` if callers need no keys.
    tenants: Option<Vec<Tenant>>,
}

/// A workspace.
#[derive(Clone, Deserialize)]
struct Tenant {
    name: Arc<str>,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u64>,
    /// Limit of operations per second, over all boxes.
    rate_per_s: Option<f64>,
    /// Operations above the rate that are admitted at once.
    burst: Option<f64>,
}

/// A database that callers connect to, and how its statements are served.
#[derive(Clone, Debug, Deserialize)]
struct Route {
    /// Name of the database; a route without one declares nothing.
    #[serde(default)]
    hostname: Option<Arc<str>>,
    #[serde(rename = "type", default)]
    kind: Option<Arc<str>>,
    timeout_ms: Option<u64>,
    target_latency_ms: Option<f64>,
    priority: Option<u64>,
    /// Group that serves the database.
    backend: Arc<str>,
    max_staleness_ms: Option<u64>,
    /// Whether callers need no key.
    #[serde(default)]
    public: bool,
}

/// A group.
#[derive(Clone, Debug, Deserialize)]
struct Service {
    name: Arc<str>,
    /// Connection limit of each member, over all boxes.
    max_connections: Option<u64>,
    /// Replicas that must hold a write before the primary acknowledges it.
    #[serde(default)]
    sync_replicas: u64,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct Limits {
    /// Idle timeout of open transactions.
    tx_idle_ms: Option<u64>,
}

/// Declarations by resource key.
pub type Declarations = BTreeMap<Key, Value>;

impl Manifest {
    pub fn parse(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Returns the resources that the manifest declares.
    pub fn declarations(&self) -> Declarations {
        let groups = self.services.iter().map(|service| self.group(service));
        let databases = self.routes.iter();
        let databases = databases.filter_map(|route| database(route, self.tenants.is_some()));
        let workspaces = self.tenants.iter().flatten().map(workspace);
        groups.chain(databases).chain(workspaces).collect()
    }

    fn group(&self, service: &Service) -> (Key, Value) {
        let fields = json!({
            "partner": PARTNER,
            "name": service.name,
            // A write that only the primary holds may be lost in a failover.
            "durability": match is_acknowledged_alone(service) {
                true => "primary",
                false => "members",
            },
            "connections": service.max_connections,
            // 0: as many owners as the connections allow.
            "owners": 0,
            "idle_ms": self.limits.tx_idle_ms,
        });
        (
            resource_key(Kind::Group, service.name.clone()),
            without_nulls(fields),
        )
    }
}

/// Whether the primary acknowledges writes that no replica holds.
fn is_acknowledged_alone(service: &Service) -> bool {
    service.sync_replicas == 0
}

/// Returns a workspace's declaration. It holds digests of the keys, never the keys.
fn workspace(tenant: &Tenant) -> (Key, Value) {
    let keys = tenant.api_keys.iter().map(|key| secret::hash(key));
    let fields = json!({
        "partner": PARTNER,
        "name": tenant.name,
        "keys": keys.collect::<Vec<_>>(),
        "priority": tenant.priority,
        "rate_per_s": tenant.rate_per_s.map(whole_operations),
        "burst": tenant.burst.map(whole_operations),
    });
    (
        resource_key(Kind::Workspace, tenant.name.clone()),
        without_nulls(fields),
    )
}

/// Rounds a limit down to whole operations.
fn whole_operations(limit: f64) -> u64 {
    limit.max(0.0).floor() as u64
}

fn database(route: &Route, keyed: bool) -> Option<(Key, Value)> {
    let name = route.hostname.clone()?;
    let fields = json!({
        "partner": PARTNER,
        "name": name,
        "group": route.backend,
        "access": route.kind,
        "max_age_ms": route.max_staleness_ms,
        "timeout_ms": route.timeout_ms,
        "target_ms": route.target_latency_ms.map(|ms| ms.round() as u64),
        "priority": route.priority,
        "keyed": keyed && !route.public,
    });
    Some((resource_key(Kind::Database, name), without_nulls(fields)))
}

/// Drops null fields, so that the declaration's defaults apply.
fn without_nulls(fields: Value) -> Value {
    let Value::Object(fields) = fields else {
        return fields;
    };
    let given = fields.into_iter().filter(|(_, value)| !value.is_null());
    Value::Object(given.collect())
}

/// Returns the key of a resource that belongs to the platform's partner.
pub fn resource_key(kind: Kind, name: Arc<str>) -> Key {
    Key {
        kind,
        partner: PARTNER.into(),
        name,
    }
}
