//! All declarations at one revision, indexed for use by a box.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::borders::table::Revision;
use crate::decisions::departure::Departure;
use crate::decisions::duty::Duty;

use super::resource::{Database, Group, Key, Kind, Member, Once, Partner, Read, Spec, Workspace};

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
}

impl Plan {
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

/// Every resource at one revision. A snapshot is immutable; a newer one replaces it.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    pub revision: Revision,
    pub resources: BTreeMap<Key, Stored>,
    pub partners: BTreeMap<Arc<str>, Partner>,
    /// By `PARTNER/GROUP`.
    pub groups: BTreeMap<Arc<str>, Arc<Plan>>,
    /// By the name that callers use.
    pub databases: BTreeMap<Arc<str>, Arc<Database>>,
    /// By `PARTNER/WORKSPACE`.
    pub workspaces: BTreeMap<Arc<str>, Arc<Workspace>>,
    /// By the SHA-256 of a key, in lower-case hexadecimal.
    pub workspaces_by_key: BTreeMap<Arc<str>, Arc<Workspace>>,
    /// By `PARTNER/GROUP`.
    pub primaries: BTreeMap<Arc<str>, Primary>,
    /// By `PARTNER/GROUP`.
    pub duties: BTreeMap<Arc<str>, Duty>,
}

impl Snapshot {
    pub fn new(
        revision: Revision,
        resources: BTreeMap<Key, Stored>,
        primaries: BTreeMap<Arc<str>, Primary>,
        duties: BTreeMap<Arc<str>, Duty>,
    ) -> Self {
        let mut partners = BTreeMap::new();
        let mut databases = BTreeMap::new();
        let mut workspaces_by_key = BTreeMap::new();
        let mut workspaces = BTreeMap::new();
        let mut groups: BTreeMap<Arc<str>, Plan> = BTreeMap::new();
        for stored in resources.values() {
            match &stored.spec {
                Spec::Partner(partner) => {
                    partners.insert(partner.name.clone(), partner.clone());
                }
                Spec::Group(group) => {
                    let plan = Plan {
                        id: group_id(&group.partner, &group.name),
                        group: group.clone(),
                        members: Vec::new(),
                        reads: Vec::new(),
                        onces: Vec::new(),
                        keyed: false,
                        departures: BTreeMap::new(),
                    };
                    groups.insert(plan.id.clone(), plan);
                }
                Spec::Database(database) => {
                    databases.insert(database.name.clone(), Arc::new(database.clone()));
                }
                Spec::Workspace(workspace) => {
                    let shared = Arc::new(workspace.clone());
                    for key in &workspace.keys {
                        // If two workspaces declare the same key, the first one gets it.
                        // Validation refuses such declarations, but rows may also be written
                        // without it.
                        let entry = workspaces_by_key.entry(key.to_ascii_lowercase().into());
                        entry.or_insert_with(|| shared.clone());
                    }
                    let id = group_id(&workspace.partner, &workspace.name);
                    workspaces.insert(id, shared);
                }
                _ => {}
            }
        }
        for stored in resources.values() {
            add_to_group(&stored.spec, &mut groups);
        }
        let shared = |(id, plan): (Arc<str>, Plan)| (id, Arc::new(plan));
        Self {
            revision,
            resources,
            partners,
            databases,
            workspaces_by_key,
            workspaces,
            duties,
            groups: groups.into_iter().map(shared).collect(),
            primaries,
        }
    }

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
        let leaving = self
            .resources
            .iter()
            .filter(|(_, stored)| is_leaving(stored));
        let was_leaving = |key: &Key, stored: &Stored| {
            let earlier = before
                .resources
                .get(key)
                .filter(|earlier| is_leaving(earlier));
            earlier.is_some_and(|earlier| !restarted_as(earlier, stored))
        };
        let leaving = leaving.filter(move |(key, stored)| !was_leaving(key, stored));
        let leaving = leaving.map(|(key, _)| (key.clone(), DepartureReason::Leaving));
        let earlier_keys = before.resources.keys();
        let unlisted = earlier_keys
            .filter(|key| key.kind == Kind::Member && !self.resources.contains_key(key));
        leaving.chain(unlisted.map(|key| (key.clone(), DepartureReason::Unlisted)))
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

/// Adds the resource to the group that it belongs to.
fn add_to_group(spec: &Spec, groups: &mut BTreeMap<Arc<str>, Plan>) {
    match spec {
        Spec::Partner(_) | Spec::Group(_) | Spec::Workspace(_) => {}
        Spec::Database(database) => {
            if let Some(plan) = groups.get_mut(&group_id(&database.partner, &database.group)) {
                plan.keyed |= database.keyed;
            }
        }
        Spec::Member(member) => {
            if let Some(plan) = groups.get_mut(&group_id(&member.partner, &member.group)) {
                plan.members.push(member.clone());
            }
        }
        Spec::Read(read) => {
            if let Some(plan) = groups.get_mut(&group_id(&read.partner, &read.group)) {
                plan.reads.push(read.clone());
            }
        }
        Spec::Once(once) => {
            if let Some(plan) = groups.get_mut(&group_id(&once.partner, &once.group)) {
                plan.onces.push(once.clone());
            }
        }
    }
}

/// Returns `PARTNER/NAME`, which identifies a group or a workspace across partners.
pub fn group_id(partner: &str, name: &str) -> Arc<str> {
    format!("{partner}/{name}").into()
}
