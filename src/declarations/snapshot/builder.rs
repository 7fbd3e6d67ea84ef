//! Builds snapshots from single changes. The cost of a change depends on the groups that it
//! affects, not on the number of declarations.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Membership, Plan, Primary, Snapshot, Stored, group_id};
use crate::borders::table::Revision;
use crate::decisions::duty::Duty;
use crate::declarations::resource::{Database, Key, Kind, Spec, Workspace};

/// Separates the group from the name in the key of a resource inside a group.
const NAME_SEPARATOR: char = '.';

/// A group, by its partner and its name.
type GroupName = (Arc<str>, Arc<str>);

/// The newest declarations, and what has to be derived again for the next snapshot.
#[derive(Default)]
pub struct Builder {
    snapshot: Snapshot,
    /// Groups whose plans are outdated.
    changed_groups: BTreeSet<GroupName>,
    /// Number of databases whose callers need a workspace's key, by group.
    keyed_databases: BTreeMap<GroupName, usize>,
    /// Names of databases that were removed or moved to another partner.
    removed_databases: BTreeSet<Arc<str>>,
    workspaces_changed: bool,
    rebuilt_plans: u64,
}

impl Builder {
    /// Sets a resource; none removes it.
    pub fn set_resource(&mut self, key: Key, stored: Option<Stored>) {
        let before = match &stored {
            Some(stored) => self.snapshot.resources.insert(key.clone(), stored.clone()),
            None => self.snapshot.resources.remove(&key),
        };
        if let Some(before) = before {
            self.withdraw(&before.spec);
        }
        if let Some(stored) = stored {
            self.declare(&stored.spec);
        }
    }

    /// Sets the recorded primary of a group; none removes it.
    pub fn set_primary(&mut self, group: Arc<str>, primary: Option<Primary>) {
        match primary {
            Some(primary) => self.snapshot.primaries.insert(group, primary),
            None => self.snapshot.primaries.remove(&group),
        };
    }

    /// Sets the recorded duty of a group; none removes it.
    pub fn set_duty(&mut self, group: Arc<str>, duty: Option<Duty>) {
        match duty {
            Some(duty) => self.snapshot.duties.insert(group, duty),
            None => self.snapshot.duties.remove(&group),
        };
    }

    /// Sets the recorded members of a group; none removes the record.
    pub fn set_membership(&mut self, group: Arc<str>, membership: Option<Membership>) {
        if let Some((partner, name)) = group.split_once('/') {
            self.changed_groups.insert((partner.into(), name.into()));
        }
        match membership {
            Some(membership) => self.snapshot.memberships.insert(group, membership),
            None => self.snapshot.memberships.remove(&group),
        };
    }

    /// Returns the recorded duty of a group.
    pub fn duty(&self, group: &str) -> Option<&Duty> {
        self.snapshot.duties.get(group)
    }

    /// Returns how many plans were derived from their declarations so far.
    pub fn rebuilt_plans(&self) -> u64 {
        self.rebuilt_plans
    }

    /// Returns the snapshot of all changes so far.
    pub fn snapshot(&mut self, revision: Revision) -> Snapshot {
        for name in std::mem::take(&mut self.changed_groups) {
            self.rebuild_plan(&name);
        }
        self.restore_databases();
        if std::mem::take(&mut self.workspaces_changed) {
            self.rebuild_workspaces();
        }
        Snapshot {
            revision,
            ..self.snapshot.clone()
        }
    }

    fn declare(&mut self, spec: &Spec) {
        match spec {
            Spec::Partner(partner) => {
                let partners = &mut self.snapshot.partners;
                partners.insert(partner.name.clone(), partner.clone());
            }
            Spec::Database(database) => self.declare_database(database),
            Spec::Workspace(_) => self.workspaces_changed = true,
            _ => self.mark_group(spec),
        }
    }

    fn withdraw(&mut self, spec: &Spec) {
        match spec {
            Spec::Partner(partner) => {
                self.snapshot.partners.remove(&partner.name);
            }
            Spec::Database(database) => self.withdraw_database(database),
            Spec::Workspace(_) => self.workspaces_changed = true,
            _ => self.mark_group(spec),
        }
    }

    /// Marks the plan to which a group, or a resource inside one, belongs.
    fn mark_group(&mut self, spec: &Spec) {
        let (partner, group) = match spec {
            Spec::Group(group) => (&group.partner, &group.name),
            Spec::Member(member) => (&member.partner, &member.group),
            Spec::Read(read) => (&read.partner, &read.group),
            Spec::Once(once) => (&once.partner, &once.group),
            Spec::Partner(_) | Spec::Database(_) | Spec::Workspace(_) => return,
        };
        self.changed_groups.insert((partner.clone(), group.clone()));
    }

    fn declare_database(&mut self, database: &Database) {
        if database.keyed {
            let group = (database.partner.clone(), database.group.clone());
            let count = self.keyed_databases.entry(group.clone()).or_default();
            *count += 1;
            if *count == 1 {
                self.changed_groups.insert(group);
            }
        }
        let known = self.snapshot.databases.get(&database.name);
        // Of several partners' databases with the same name, callers reach the last one.
        if known.is_none_or(|known| known.partner <= database.partner) {
            let shared = Arc::new(database.clone());
            self.snapshot
                .databases
                .insert(database.name.clone(), shared);
        }
    }

    fn withdraw_database(&mut self, database: &Database) {
        if database.keyed {
            let group = (database.partner.clone(), database.group.clone());
            let count = self.keyed_databases.entry(group.clone()).or_default();
            *count -= 1;
            if *count == 0 {
                self.keyed_databases.remove(&group);
                self.changed_groups.insert(group);
            }
        }
        let known = self.snapshot.databases.get(&database.name);
        if known.is_some_and(|known| known.partner == database.partner) {
            self.snapshot.databases.remove(&database.name);
            self.removed_databases.insert(database.name.clone());
        }
    }

    /// Makes databases reachable that were hidden by one of another partner with the same name.
    fn restore_databases(&mut self) {
        let databases = &self.snapshot.databases;
        let mut removed = std::mem::take(&mut self.removed_databases);
        removed.retain(|name| !databases.contains_key(name));
        if removed.is_empty() {
            return;
        }
        let hidden: Vec<Database> = self
            .resources(Kind::Database, "", "")
            .filter_map(|spec| match spec {
                Spec::Database(database) => Some(database),
                _ => None,
            })
            .filter(|database| removed.contains(&database.name))
            .cloned()
            .collect();
        for database in hidden {
            let name = database.name.clone();
            self.snapshot.databases.insert(name, Arc::new(database));
        }
    }

    fn rebuild_workspaces(&mut self) {
        let workspaces: Vec<Arc<Workspace>> = self
            .resources(Kind::Workspace, "", "")
            .filter_map(|spec| match spec {
                Spec::Workspace(workspace) => Some(Arc::new(workspace.clone())),
                _ => None,
            })
            .collect();
        self.snapshot.workspaces.clear();
        self.snapshot.workspaces_by_key.clear();
        for workspace in workspaces {
            for key in &workspace.keys {
                // If two workspaces declare the same key, the first one gets it. Validation
                // refuses such declarations, but rows may also be written without it.
                let by_key = &mut self.snapshot.workspaces_by_key;
                let entry = by_key.entry(key.to_ascii_lowercase().into());
                entry.or_insert_with(|| workspace.clone());
            }
            let id = group_id(&workspace.partner, &workspace.name);
            self.snapshot.workspaces.insert(id, workspace);
        }
    }

    fn rebuild_plan(&mut self, name: &GroupName) {
        let (partner, group) = name;
        let id = group_id(partner, group);
        let key = Key {
            kind: Kind::Group,
            partner: partner.clone(),
            name: group.clone(),
        };
        let Some(Spec::Group(declared)) = self.snapshot.resources.get(&key).map(|s| &s.spec) else {
            self.snapshot.groups.remove(&id);
            return;
        };
        let prefix = format!("{group}{NAME_SEPARATOR}");
        let mut plan = Plan {
            id: id.clone(),
            group: declared.clone(),
            members: Vec::new(),
            reads: Vec::new(),
            onces: Vec::new(),
            keyed: self.keyed_databases.contains_key(name),
            departures: BTreeMap::new(),
            recorded: self.recorded_members(&id),
        };
        for kind in [Kind::Member, Kind::Read, Kind::Once] {
            for spec in self.resources(kind, partner, &prefix) {
                // A name with a separator may belong to a group with a longer name.
                match spec {
                    Spec::Member(m) if m.group == *group => plan.members.push(m.clone()),
                    Spec::Read(r) if r.group == *group => plan.reads.push(r.clone()),
                    Spec::Once(o) if o.group == *group => plan.onces.push(o.clone()),
                    _ => {}
                }
            }
        }
        self.rebuilt_plans += 1;
        self.snapshot.groups.insert(id, Arc::new(plan));
    }

    fn recorded_members(&self, group: &str) -> BTreeMap<Arc<str>, Arc<str>> {
        let recorded = self.snapshot.memberships.get(group);
        recorded.map_or_else(BTreeMap::new, |recorded| recorded.members.clone())
    }

    /// Returns the resources of a kind whose names start with a prefix, in the order of their keys;
    /// without a partner, those of all partners.
    fn resources(&self, kind: Kind, partner: &str, prefix: &str) -> impl Iterator<Item = &Spec> {
        let first = Key {
            kind,
            partner: partner.into(),
            name: prefix.into(),
        };
        let (partner, prefix) = (first.partner.clone(), first.name.clone());
        let following = self.snapshot.resources.range(first..);
        let belongs = move |key: &Key| {
            let partner_matches = partner.is_empty() || key.partner == partner;
            key.kind == kind && partner_matches && key.name.starts_with(&*prefix)
        };
        following
            .take_while(move |(key, _)| belongs(key))
            .map(|(_, stored)| &stored.spec)
    }
}
