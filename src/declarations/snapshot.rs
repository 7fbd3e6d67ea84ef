//! All declarations at one revision, as the boxes use them.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::borders::table::Revision;
use crate::decisions::departure::Departure;
use crate::decisions::duty::Duty;

use super::resource::{Database, Group, Key, Kind, Member, Once, Partner, Read, Spec, Workspace};

/// A resource with the revision that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    pub revision: Revision,
    pub spec: Spec,
}

/// A group with all that is declared for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// `PARTNER/GROUP`.
    pub id: Arc<str>,
    pub group: Group,
    pub members: Vec<Member>,
    pub reads: Vec<Read>,
    pub onces: Vec<Once>,
    /// Callers of one of its databases come with workspaces' keys, so that each of its
    /// connections serves one workspace.
    pub keyed: bool,
    /// Since when members leave or are listed no more, by name, as far as this box was told.
    pub departures: BTreeMap<Arc<str>, Departure>,
}

impl Plan {
    fn leave(&mut self, name: &str) {
        let known = self.members.iter_mut();
        for member in known.filter(|member| *member.name == *name) {
            member.leaving = true;
        }
    }
}

/// Who leads a group, as last recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Primary {
    pub term: u64,
    /// The member's name.
    pub member: Arc<str>,
    /// Revision of the row, which a newer record must name.
    #[serde(skip)]
    pub revision: Revision,
}

/// Every resource at one revision. Never changed, only replaced by a newer one.
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
    /// Who comes with a key, by the key's digest.
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
        let mut keys = BTreeMap::new();
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
                        // Of two workspaces with one key the first has it: checks refuse
                        // such declarations, but not every writer runs them.
                        let first = keys.entry(key.to_ascii_lowercase().into());
                        first.or_insert_with(|| shared.clone());
                    }
                    let id = group_id(&workspace.partner, &workspace.name);
                    workspaces.insert(id, shared);
                }
                _ => {}
            }
        }
        for stored in resources.values() {
            attach(&stored.spec, &mut groups);
        }
        let shared = |(id, plan): (Arc<str>, Plan)| (id, Arc::new(plan));
        Self {
            revision,
            resources,
            partners,
            databases,
            workspaces_by_key: keys,
            workspaces,
            duties,
            groups: groups.into_iter().map(shared).collect(),
            primaries,
        }
    }

    /// The workspace that calls a database with a key of this digest; none where the
    /// database asks for no key.
    pub fn workspace_for_key(
        &self,
        database: &Database,
        key: &str,
    ) -> Result<Option<Arc<Workspace>>, UnknownKey> {
        if !database.keyed {
            return Ok(None);
        }
        let known = self.workspaces_by_key.get(key);
        let own = known.filter(|workspace| workspace.partner == database.partner);
        own.cloned().map(Some).ok_or(UnknownKey)
    }

    /// A member, if it is declared.
    pub fn member(&self, key: &Key) -> Option<&Member> {
        match &self.resources.get(key)?.spec {
            Spec::Member(member) => Some(member),
            _ => None,
        }
    }

    /// The same with the times since when members leave. One that said so leaves, also where an
    /// older copy of the table lists it as before.
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
                    plan.leave(&member.name);
                }
            }
        }
        self
    }

    /// Members that leave or are gone here, and neither in an earlier snapshot.
    pub fn departed_since<'a>(
        &'a self,
        before: &'a Snapshot,
    ) -> impl Iterator<Item = (Key, DepartureReason)> + 'a {
        let left = self.resources.iter().filter(|(_, stored)| leaves(stored));
        let known = |key: &Key, stored: &Stored| {
            let earlier = before.resources.get(key).filter(|earlier| leaves(earlier));
            earlier.is_some_and(|earlier| !started_again(earlier, stored))
        };
        let left = left.filter(move |(key, stored)| !known(key, stored));
        let left = left.map(|(key, _)| (key.clone(), DepartureReason::Leaving));
        let known = before.resources.keys();
        let gone =
            known.filter(|key| key.kind == Kind::Member && !self.resources.contains_key(key));
        left.chain(gone.map(|key| (key.clone(), DepartureReason::Unlisted)))
    }
}

/// A caller whose key no workspace holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no workspace has this key")]
pub struct UnknownKey;

/// How a member departs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureReason {
    /// It says so itself.
    Leaving,
    /// The list names it no more.
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

fn leaves(stored: &Stored) -> bool {
    matches!(&stored.spec, Spec::Member(member) if member.leaving)
}

fn started_again(earlier: &Stored, later: &Stored) -> bool {
    match (&earlier.spec, &later.spec) {
        (Spec::Member(earlier), Spec::Member(later)) => earlier.restarted_as(later),
        _ => false,
    }
}

fn attach(spec: &Spec, groups: &mut BTreeMap<Arc<str>, Plan>) {
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

/// `PARTNER/NAME`, the name of a group or a workspace across partners.
pub fn group_id(partner: &str, name: &str) -> Arc<str> {
    format!("{partner}/{name}").into()
}
