//! Validated resources: partner, workspace, group, member, read, once rule and database.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Kinds of resource, named as in files and API paths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    Partner,
    Group,
    Member,
    Read,
    Once,
    Database,
    Workspace,
}

impl Kind {
    pub const ALL: [Kind; 7] = [
        Kind::Partner,
        Kind::Group,
        Kind::Member,
        Kind::Read,
        Kind::Once,
        Kind::Database,
        Kind::Workspace,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Kind::Partner => "partner",
            Kind::Group => "group",
            Kind::Member => "member",
            Kind::Read => "read",
            Kind::Once => "once",
            Kind::Database => "database",
            Kind::Workspace => "workspace",
        }
    }

    pub fn from_name(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// A resource's identity: its kind, its partner and its name within the partner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    pub kind: Kind,
    pub partner: Arc<str>,
    /// `NAME`, or `GROUP.NAME` for a resource inside a group; empty for the partner itself.
    pub name: Arc<str>,
}

impl Key {
    pub fn parse(text: &str) -> Option<Key> {
        let mut parts = text.splitn(3, '/');
        let kind = Kind::from_name(parts.next()?)?;
        let partner = parts.next()?.into();
        let name = parts.next().unwrap_or_default().into();
        Some(Key {
            kind,
            partner,
            name,
        })
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.name(), self.partner)?;
        if self.name.is_empty() {
            return Ok(());
        }
        write!(f, "/{}", self.name)
    }
}

/// An organisation that shares the system with others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partner {
    pub name: Arc<str>,
    /// Share of a box's capacity under contention, relative to the other partners' weights.
    pub weight: u32,
    /// SHA-256 of the operators' bearer token, in hexadecimal.
    pub operator: Arc<str>,
    /// SHA-256 of the callers' password, in hexadecimal; `None` admits every caller.
    pub caller: Option<Arc<str>>,
}

/// Where a write of a group must be stored before it is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// On a majority of the members.
    Majority,
    /// On the primary and a replica: the primary acknowledges a write only after a replica has
    /// stored it.
    Members,
    /// On the primary only: replacing the primary may lose it.
    Primary,
}

/// A database group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    pub partner: Arc<str>,
    pub name: Arc<str>,
    pub durability: Durability,
    /// Statements that a member runs concurrently.
    pub slots: u32,
    /// Connections that a member accepts from all boxes together.
    pub connections: u32,
    /// Number of boxes that hold connections to the members; 0 means as many as `connections`
    /// allows.
    pub owners: u32,
    /// Milliseconds after which a statement that has not started is refused.
    pub deadline_ms: u64,
    /// Maximum staleness of reads that match no declared kind, in milliseconds.
    pub max_age_ms: u64,
    /// Milliseconds without a statement after which an open transaction is rolled back; `None`
    /// uses the box's setting.
    #[serde(default)]
    pub idle_ms: Option<u64>,
}

/// Where a member listens.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Address {
    /// `IP:port` of the PostgreSQL protocol.
    pub sql: Arc<str>,
    /// `IP:port` of the control protocol.
    pub control: Arc<str>,
}

/// A member of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub partner: Arc<str>,
    pub group: Arc<str>,
    pub name: Arc<str>,
    #[serde(flatten)]
    pub address: Address,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Whether the member is about to stop and takes no new work.
    pub leaving: bool,
    /// Start time of the member in Unix milliseconds; `None` if it is unknown. A member that
    /// restarts under its name has a later start time, and no longer keeps promises such as fences
    /// that it made before.
    #[serde(default)]
    pub born: Option<u64>,
}

/// Identifies one start of a member. An address alone doesn't: another member, of another group too,
/// may listen there later.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Identity {
    partner: Arc<str>,
    group: Arc<str>,
    name: Arc<str>,
    address: Address,
    born: Option<u64>,
}

impl Member {
    pub fn identity(&self) -> Identity {
        Identity {
            partner: self.partner.clone(),
            group: self.group.clone(),
            name: self.name.clone(),
            address: self.address.clone(),
            born: self.born,
        }
    }

    /// Whether `later` is this member after a restart. An earlier start time is outdated
    /// information and no restart.
    pub fn restarted_as(&self, later: &Member) -> bool {
        matches!((self.born, later.born), (Some(before), Some(after)) if after > before)
    }

    /// Whether both members have the same name and address.
    pub fn same_endpoint(&self, other: &Member) -> bool {
        self.name == other.name && self.address == other.address
    }
}

/// Which of a session's own writes a read must show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OwnWrites {
    All,
    /// Only writes to the read's tables. Correct only if no trigger, view or cascade makes writes
    /// to other tables visible in them.
    Tables,
}

/// A kind of read and the staleness that it tolerates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    pub partner: Arc<str>,
    pub group: Arc<str>,
    pub name: Arc<str>,
    /// Maximum staleness in milliseconds. With 0, the read is served by the primary, after a check
    /// that it has not been replaced.
    pub max_age_ms: u64,
    /// Reads that use only these tables are of this kind, even without a hint.
    pub tables: Vec<Arc<str>>,
    pub own_writes: OwnWrites,
}

/// Writes that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Once {
    pub partner: Arc<str>,
    pub group: Arc<str>,
    pub name: Arc<str>,
    /// Table whose writes must carry a key.
    pub table: Arc<str>,
}

/// Which writes the reads of a database must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Every write that was acknowledged before the read.
    Primary,
    /// The session's own writes, and all others up to the maximum staleness.
    OwnWrites,
    /// All writes up to the maximum staleness.
    Bounded,
}

/// A name under which callers reach a group, with the rules for serving them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Database {
    pub partner: Arc<str>,
    /// Name that callers use.
    pub name: Arc<str>,
    pub group: Arc<str>,
    pub access: Access,
    /// Maximum staleness of reads, in milliseconds; ignored with [`Access::Primary`].
    pub max_age_ms: u64,
    /// Milliseconds that a statement may take, including the time in the queue.
    pub timeout_ms: u64,
    /// Target for the answer time, in milliseconds.
    pub target_ms: u64,
    /// Priority under overload; 0 is served first.
    pub priority: u64,
    /// Whether only callers with a workspace's key are served.
    #[serde(default)]
    pub keyed: bool,
}

/// A customer of a partner: callers that share API keys and a rate limit.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    pub partner: Arc<str>,
    /// Name that is sent to members.
    pub name: Arc<str>,
    /// SHA-256 of each of its API keys, in hexadecimal.
    pub keys: Vec<Arc<str>>,
    /// Priority under overload; 0 is served first.
    pub priority: u64,
    /// Operations per second over all boxes; `None` means unlimited.
    #[serde(default)]
    pub rate_per_s: Option<u32>,
    /// Operations that may exceed the rate in a burst.
    #[serde(default)]
    pub burst: u32,
}

/// Omits the hashes of keys: a short key could be guessed from its hash in a log.
impl fmt::Debug for Workspace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Workspace")
            .field("partner", &self.partner)
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .field("rate_per_s", &self.rate_per_s)
            .field("burst", &self.burst)
            .finish()
    }
}

/// A validated resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Spec {
    Partner(Partner),
    Group(Group),
    Member(Member),
    Read(Read),
    Once(Once),
    Database(Database),
    Workspace(Workspace),
}

impl Spec {
    pub fn key(&self) -> Key {
        let (kind, partner, name) = match self {
            Spec::Partner(partner) => (Kind::Partner, &partner.name, "".into()),
            Spec::Group(group) => (Kind::Group, &group.partner, group.name.clone()),
            Spec::Member(m) => (Kind::Member, &m.partner, name_in_group(&m.group, &m.name)),
            Spec::Read(r) => (Kind::Read, &r.partner, name_in_group(&r.group, &r.name)),
            Spec::Once(o) => (Kind::Once, &o.partner, name_in_group(&o.group, &o.name)),
            Spec::Database(d) => (Kind::Database, &d.partner, d.name.clone()),
            Spec::Workspace(w) => (Kind::Workspace, &w.partner, w.name.clone()),
        };
        Key {
            kind,
            partner: partner.clone(),
            name,
        }
    }
}

fn name_in_group(group: &str, name: &str) -> Arc<str> {
    format!("{group}.{name}").into()
}
