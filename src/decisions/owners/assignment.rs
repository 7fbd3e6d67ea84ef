//! Keeps the owners of all groups up to date, and knows which groups this box owns.
//!
//! A change of the list of boxes moves only the groups that a removed box owned, or for which an
//! added box outweighs an owner. Only these are assigned again, so that a change costs about as much
//! as there are groups, and not groups times boxes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use imbl::OrdMap;

use super::{Candidate, Ranking, Weigher, member_domains};
use crate::borders::roster::Listing;
use crate::declarations::snapshot::Plan;

/// This box's part in a group that it owns.
#[derive(Clone, Debug)]
pub struct Ownership {
    pub plan: Arc<Plan>,
    /// Position among the owners, the best first.
    pub rank: u32,
    /// Number of owners.
    pub owners: u32,
}

/// The owners of all groups.
#[derive(Debug, Default)]
pub struct Assignment {
    /// Name of this box.
    name: Arc<str>,
    ranking: Ranking,
    /// Number of declared groups.
    declared: usize,
    groups: HashMap<Arc<str>, Assigned>,
    owned: BTreeMap<Arc<str>, Ownership>,
    /// Number of times that a group's owners were selected.
    selections: u64,
}

/// A group with its owners.
#[derive(Debug)]
struct Assigned {
    plan: Arc<Plan>,
    weigher: Weigher,
    count: usize,
    owners: Vec<Owner>,
}

#[derive(Debug)]
struct Owner {
    hash: u64,
    weight: u64,
    domain: Arc<str>,
}

impl Assigned {
    fn is_owner(&self, hash: u64) -> bool {
        self.owners.iter().any(|owner| owner.hash == hash)
    }

    /// Whether a box that is added to the list may become an owner.
    fn may_gain(&self, candidate: &Candidate) -> bool {
        if self.owners.len() < self.count {
            return true;
        }
        let weight = self.weigher.weight(candidate);
        let domain = &candidate.listing.domain;
        if self.owners.iter().any(|owner| owner.domain == *domain) {
            return self.outweighs_within(domain, weight);
        }
        // Owners beyond the best of each domain give way to the best of another domain.
        let mut domains = HashSet::new();
        let one_per_domain = self
            .owners
            .iter()
            .all(|owner| domains.insert(&owner.domain));
        let mut others = self
            .owners
            .iter()
            .filter(|o| !self.has_member_in(&o.domain));
        !one_per_domain || self.has_member_in(domain) || others.any(|o| weight > o.weight)
    }

    /// Whether a box outweighs an owner, if its domain has owners. The best box of another domain
    /// stays an owner whatever its weight is.
    fn outweighs_within(&self, domain: &Arc<str>, weight: u64) -> bool {
        let mut domains = HashSet::new();
        self.owners.iter().any(|owner| {
            let is_best = domains.insert(&owner.domain);
            weight > owner.weight && (owner.domain == *domain || !is_best)
        })
    }

    fn has_member_in(&self, domain: &Arc<str>) -> bool {
        let listed = self.plan.members.iter().map(|member| &member.domain);
        listed
            .chain(self.plan.recorded.values())
            .any(|known| known == domain)
    }
}

impl Assignment {
    pub fn new(name: Arc<str>) -> Self {
        Self {
            name,
            ..Self::default()
        }
    }

    pub fn ranking(&self) -> &Ranking {
        &self.ranking
    }

    /// Returns the groups that this box owns.
    pub fn owned(&self) -> &BTreeMap<Arc<str>, Ownership> {
        &self.owned
    }

    /// Returns how many times a group's owners were selected.
    pub fn selections(&self) -> u64 {
        self.selections
    }

    /// Updates the list of boxes.
    pub fn set_boxes(&mut self, boxes: &[Listing]) {
        let before = std::mem::replace(&mut self.ranking, Ranking::new(boxes));
        let known: HashSet<(u64, &Arc<str>)> = before.candidates().map(identity).collect();
        let listed: HashSet<(u64, &Arc<str>)> = self.ranking.candidates().map(identity).collect();
        let removed: Vec<u64> = known.difference(&listed).map(|(hash, _)| *hash).collect();
        let added = self.ranking.candidates();
        let added: Vec<&Candidate> = added.filter(|c| !known.contains(&identity(c))).collect();
        let groups = self.declared;
        let is_affected = |assigned: &Assigned| {
            assigned.count != self.ranking.count_for(&assigned.plan, groups)
                || removed.iter().any(|hash| assigned.is_owner(*hash))
                || added.iter().any(|candidate| assigned.may_gain(candidate))
        };
        let affected = self.groups.values().filter(|group| is_affected(group));
        let affected: Vec<Arc<Plan>> = affected.map(|group| group.plan.clone()).collect();
        for plan in affected {
            self.assign(plan);
        }
    }

    /// Updates the declared groups.
    pub fn set_groups(&mut self, groups: &OrdMap<Arc<str>, Arc<Plan>>) {
        self.groups.retain(|id, _| groups.contains_key(id));
        self.owned.retain(|id, _| groups.contains_key(id));
        self.declared = groups.len();
        for (id, plan) in groups {
            let count = self.ranking.count_for(plan, self.declared);
            let known = self.groups.get(id);
            let is_current =
                |known: &Assigned| Arc::ptr_eq(&known.plan, plan) && known.count == count;
            if !known.is_some_and(is_current) {
                self.assign(plan.clone());
            }
        }
    }

    /// Returns the owners of a group, best first.
    pub fn owners_of(&self, plan: &Plan) -> Vec<&Listing> {
        self.ranking.owners_of(plan, self.declared)
    }

    /// Selects the owners of a group.
    fn assign(&mut self, plan: Arc<Plan>) {
        self.selections += 1;
        let count = self.ranking.count_for(&plan, self.declared);
        let selected = self.ranking.select(&plan.id, count, &member_domains(&plan));
        let own_rank = selected
            .iter()
            .position(|owner| owner.candidate.listing.name == self.name);
        let owners: Vec<Owner> = selected
            .iter()
            .map(|owner| Owner {
                hash: owner.candidate.hash,
                weight: owner.weight,
                domain: owner.candidate.listing.domain.clone(),
            })
            .collect();
        match own_rank {
            Some(rank) => {
                let ownership = Ownership {
                    plan: plan.clone(),
                    rank: rank as u32,
                    owners: owners.len() as u32,
                };
                self.owned.insert(plan.id.clone(), ownership);
            }
            None => {
                self.owned.remove(&plan.id);
            }
        }
        let assigned = Assigned {
            weigher: Weigher::new(&plan.id),
            count,
            owners,
            plan: plan.clone(),
        };
        self.groups.insert(plan.id.clone(), assigned);
    }
}

/// Identifies a box for the choice of owners. A box that moves to another failure domain counts as
/// another one.
fn identity(candidate: &Candidate) -> (u64, &Arc<str>) {
    (candidate.hash, &candidate.listing.domain)
}
