//! All declarations at one revision, indexed for use by a box.
//!
//! The maps are persistent: a copy of a snapshot shares all entries with the original, so keeping
//! the previous snapshot while the next one is built costs only what has changed.

mod builder;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use imbl::OrdMap;
use imbl::ordmap::DiffItem;
use serde::{Deserialize, Serialize};

use crate::borders::table::Revision;
use crate::decisions::departure::Departure;
use crate::decisions::duty::Duty;

use super::resource::{Database, Group, Key, Kind, Member, Once, Partner, Read, Spec, Workspace};

pub use builder::Builder;

/// A resource with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    pub revision: Revision,
    pub spec: Spec,
}

/// A group with everything that is declared for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// `PARTNER/GROUP`.
    pub id: Arc<str>,
    pub group: Group,
    pub members: Vec<Member>,
    pub reads: Vec<Read>,
    pub onces: Vec<Once>,
    /// Whether callers of any of the group's databases need a workspace's key. Each connection to
    /// the members then serves a single workspace.
    pub keyed: bool,
    /// Departures that this box knows of, by the name of the member: it is leaving or no longer
    /// listed.
    pub departures: BTreeMap<Arc<str>, Departure>,
    /// The group's members as recorded in the table, listed or not: failure domains by name.
    pub recorded: BTreeMap<Arc<str>, Arc<str>>,
}

impl Plan {
    /// Whether any member is listed or recorded.
    pub fn has_members(&self) -> bool {
        !self.members.is_empty() || !self.recorded.is_empty()
    }

    fn mark_leaving(&mut self, name: &str) {
        let members = self.members.iter_mut();
        for member in members.filter(|member| *member.name == *name) {
            member.leaving = true;
        }
    }
}

/// A group's primary, as last recorded in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Primary {
    pub term: u64,
    /// The member's name.
    pub member: Arc<str>,
    /// Revision of the row. An update must give it as the expected revision.
    #[serde(skip)]
    pub revision: Revision,
}

/// A group's members, as last recorded in the table. The list of members may lack some that are
/// alive, so a majority is counted over these too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Failure domains of the members, by name.
    pub members: BTreeMap<Arc<str>, Arc<str>>,
    /// Revision of the row. An update must give it as the expected revision.
    #[serde(skip)]
    pub revision: Revision,
}

/// Every resource at one revision. A snapshot is immutable; a newer one replaces it.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    pub revision: Revision,
    pub resources: OrdMap<Key, Stored>,
    pub partners: OrdMap<Arc<str>, Partner>,
    /// By `PARTNER/GROUP`.
    pub groups: OrdMap<Arc<str>, Arc<Plan>>,
    /// By the name that callers use.
    pub databases: OrdMap<Arc<str>, Arc<Database>>,
    /// By `PARTNER/WORKSPACE`.
    pub workspaces: OrdMap<Arc<str>, Arc<Workspace>>,
    /// By the SHA-256 of a key, in lower-case hexadecimal.
    pub workspaces_by_key: OrdMap<Arc<str>, Arc<Workspace>>,
    /// By `PARTNER/GROUP`.
    pub primaries: OrdMap<Arc<str>, Primary>,
    /// By `PARTNER/GROUP`.
    pub duties: OrdMap<Arc<str>, Duty>,
    /// By `PARTNER/GROUP`.
    pub memberships: OrdMap<Arc<str>, Membership>,
    /// Whether all records of the table are known, so that a missing one doesn't exist.
    pub records_known: bool,
}

impl Snapshot {
    /// Returns the workspace whose key has the hash `key`, or `None` if the database needs no key.
    pub fn workspace_for_key(
        &self,
        database: &Database,
        key: &str,
    ) -> Result<Option<Arc<Workspace>>, UnknownKey> {
        if !database.keyed {
            return Ok(None);
        }
        let known = self.workspaces_by_key.get(key);
        let matching = known.filter(|workspace| workspace.partner == database.partner);
        matching.cloned().map(Some).ok_or(UnknownKey)
    }

    /// Returns a declared member.
    pub fn member(&self, key: &Key) -> Option<&Member> {
        match &self.resources.get(key)?.spec {
            Spec::Member(member) => Some(member),
            _ => None,
        }
    }

    /// Adds the known departures. A member that has announced its departure counts as leaving even
    /// if the table, which may be an older copy, does not list it as such.
    pub fn with_departures<'a>(
        mut self,
        departures: impl Iterator<Item = (&'a Member, Departure)>,
    ) -> Self {
        for (member, departure) in departures {
            let group = group_id(&member.partner, &member.group);
            if let Some(plan) = self.groups.get_mut(&group) {
                let plan = Arc::make_mut(plan);
                plan.departures.insert(member.name.clone(), departure);
                if member.leaving {
                    plan.mark_leaving(&member.name);
                }
            }
        }
        self
    }

    /// Returns the members that have started to leave since the snapshot `before`, and those that
    /// are no longer listed.
    pub fn departed_since<'a>(
        &'a self,
        before: &'a Snapshot,
    ) -> impl Iterator<Item = (Key, DepartureReason)> + 'a {
        use DepartureReason::{Leaving, Unlisted};
        let changes = before.resources.diff(&self.resources);
        changes.filter_map(|change| {
            let (key, reason) = match change {
                DiffItem::Add(key, stored) => (key, is_leaving(stored).then_some(Leaving)),
                DiffItem::Update {
                    old: (_, earlier),
                    new: (key, stored),
                } => {
                    let was_leaving = is_leaving(earlier) && !restarted_as(earlier, stored);
                    let starts_to_leave = is_leaving(stored) && !was_leaving;
                    (key, starts_to_leave.then_some(Leaving))
                }
                DiffItem::Remove(key, _) => (key, (key.kind == Kind::Member).then_some(Unlisted)),
            };
            Some((key.clone(), reason?))
        })
    }
}

/// The caller's key belongs to no workspace of the database's partner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no workspace has this key")]
pub struct UnknownKey;

/// Why a member counts as departing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureReason {
    /// The member announced that it is leaving.
    Leaving,
    /// The member is no longer listed.
    Unlisted,
}

impl fmt::Display for DepartureReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DepartureReason::Leaving => "leaving",
            DepartureReason::Unlisted => "not listed",
        })
    }
}

fn is_leaving(stored: &Stored) -> bool {
    matches!(&stored.spec, Spec::Member(member) if member.leaving)
}

fn restarted_as(earlier: &Stored, later: &Stored) -> bool {
    match (&earlier.spec, &later.spec) {
        (Spec::Member(earlier), Spec::Member(later)) => earlier.restarted_as(later),
        _ => false,
    }
}

/// Returns `PARTNER/NAME`, which identifies a group or a workspace across partners.
pub fn group_id(partner: &str, name: &str) -> Arc<str> {
    format!("{partner}/{name}").into()
}
