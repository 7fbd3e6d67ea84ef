//! The declared resources: partner, workspace, group, member, read kind, once rule, database.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Kinds of resource, by their names in files and paths.
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

/// A resource's name: its kind, its partner, and its name within the partner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    pub kind: Kind,
    pub partner: Arc<str>,
    /// `GROUP` or `GROUP.NAME`; empty for the partner itself.
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

/// A partner: who shares this system with others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partner {
    pub name: Arc<str>,
    /// Share of a box under contention, against the other partners' weights.
    pub weight: u32,
    /// SHA-256 of the operators' bearer token, in hexadecimal.
    pub operator: Arc<str>,
    /// SHA-256 of the callers' password, in hexadecimal; none takes any caller.
    pub caller: Option<Arc<str>>,
}

/// What a group promises of an acknowledged write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// A majority of the members holds it.
    Majority,
    /// The members see to it: the primary answers a write when a replica holds it.
    Members,
    /// Only the primary is known to hold it: a replacement may lose it.
    Primary,
}

/// A database group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    pub partner: Arc<str>,
    pub name: Arc<str>,
    pub durability: Durability,
    /// Statements a member runs at once.
    pub slots: u32,
    /// Connections a member takes from all boxes together.
    pub connections: u32,
    /// Boxes that hold connections to the members; 0: as many as these allow.
    pub owners: u32,
    /// Milliseconds after which a statement that did not start is refused.
    pub deadline_ms: u64,
    /// Staleness that a read of no declared kind tolerates, in milliseconds.
    pub max_age_ms: u64,
    /// Milliseconds without a statement after which an open transaction is ended;
    /// the box's setting where none are declared.
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
    /// Takes no new work.
    pub leaving: bool,
    /// Unix milliseconds of its start, where it tells: a later start under the same name is
    /// another member, which holds nothing of what the earlier one promised.
    #[serde(default)]
    pub born: Option<u64>,
}

impl Member {
    /// Whether `later` is this member after another start. An older start is late news.
    pub fn restarted_as(&self, later: &Member) -> bool {
        matches!((self.born, later.born), (Some(born), Some(again)) if again > born)
    }

    /// Whether both are names of one place to connect to.
    pub fn same_endpoint(&self, other: &Member) -> bool {
        self.name == other.name && self.address == other.address
    }
}

/// Which of a session's writes a kind of read must show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OwnWrites {
    All,
    /// Those to the kind's tables. The operator vouches that no trigger, view or
    /// cascade makes other writes show in them.
    Tables,
}

/// A kind of read and the staleness it tolerates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    pub partner: Arc<str>,
    pub group: Arc<str>,
    pub name: Arc<str>,
    /// 0 tolerates none: served by a primary that is seen not to be replaced.
    pub max_age_ms: u64,
    /// Reads of only these tables are of this kind, without a hint.
    pub tables: Vec<Arc<str>>,
    pub own_writes: OwnWrites,
}

/// Requests that must never be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Once {
    pub partner: Arc<str>,
    pub group: Arc<str>,
    pub name: Arc<str>,
    /// Writes to this table must carry a key.
    pub table: Arc<str>,
}

/// What reads on a database must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Everything that was acknowledged before.
    Primary,
    /// The session's own writes, and nothing older than the bound.
    OwnWrites,
    /// Nothing older than the bound.
    Bounded,
}

/// A name under which callers reach a group, and how it serves them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Database {
    pub partner: Arc<str>,
    /// As callers name it.
    pub name: Arc<str>,
    pub group: Arc<str>,
    pub access: Access,
    /// Staleness that reads tolerate, in milliseconds; without meaning for
    /// [`Access::Primary`].
    pub max_age_ms: u64,
    /// Milliseconds that one statement may take, its wait included.
    pub timeout_ms: u64,
    /// Milliseconds within which callers want their answer.
    pub target_ms: u64,
    /// 0 goes first under overload.
    pub priority: u64,
    /// Only callers with a workspace's key are served.
    #[serde(default)]
    pub keyed: bool,
}

/// Callers that share keys and a limit: one customer of a partner's databases.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    pub partner: Arc<str>,
    /// As members are told it.
    pub name: Arc<str>,
    /// SHA-256 of each key with which its callers come, in hexadecimal.
    pub keys: Vec<Arc<str>>,
    /// 0 goes first under overload.
    pub priority: u64,
    /// Operations a second over all boxes; unlimited where none are declared.
    #[serde(default)]
    pub rate_per_s: Option<u32>,
    /// Operations above the rate that may come at once.
    #[serde(default)]
    pub burst: u32,
}

/// Digests of keys stay out of logs: a short key could be guessed from one.
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

/// A checked resource.
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
            Spec::Member(m) => (Kind::Member, &m.partner, inner(&m.group, &m.name)),
            Spec::Read(r) => (Kind::Read, &r.partner, inner(&r.group, &r.name)),
            Spec::Once(o) => (Kind::Once, &o.partner, inner(&o.group, &o.name)),
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

fn inner(group: &str, name: &str) -> Arc<str> {
    format!("{group}.{name}").into()
}
