//! Which boxes own a group: rendezvous hashing, spread over failure domains.
//!
//! Every box reckons it for itself from the list of boxes. Boxes whose lists
//! differ choose differently for a while; that costs a hop or a connection,
//! never correctness, since an owner is no more than an efficiency.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::borders::roster::Listing;
use crate::declarations::snapshot::Plan;

/// The boxes that may own, hashed once for all groups.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    boxes: Vec<(u64, Listing)>,
}

impl Ranking {
    /// Boxes that may own.
    pub fn len(&self) -> usize {
        self.boxes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.boxes.is_empty()
    }

    /// Whether so many owners are all boxes there are. Only then do two boxes with
    /// different lists agree on who owns a group.
    pub fn covers_all_boxes(&self, owners: usize) -> bool {
        owners == self.boxes.len()
    }

    /// Leaving boxes own nothing.
    pub fn new(boxes: &[Listing]) -> Self {
        let present = boxes.iter().filter(|listing| !listing.leaving);
        let hashed = |listing: &Listing| (xxh3_64(listing.name.as_bytes()), listing.clone());
        Self {
            boxes: present.map(hashed).collect(),
        }
    }

    /// Owners of `group`, best first. Members' own domains come first, then one
    /// box a domain, then whatever is left.
    pub fn owners(&self, group: &str, count: usize, domains: &BTreeSet<Arc<str>>) -> Vec<&Listing> {
        let seed = xxh3_64(group.as_bytes());
        let weight = |hash: &u64| xxh3_64_with_seed(&hash.to_le_bytes(), seed);
        let mut best: BTreeMap<&str, (u64, &Listing)> = BTreeMap::new();
        for (hash, listing) in &self.boxes {
            let weight = weight(hash);
            let known = best.entry(&listing.domain).or_insert((weight, listing));
            if weight > known.0 {
                *known = (weight, listing);
            }
        }
        let mut chosen: Vec<(bool, u64, &Listing)> = best
            .into_values()
            .map(|(weight, listing)| (domains.contains(&listing.domain), weight, listing))
            .collect();
        chosen.sort_by_key(|(near, weight, _)| std::cmp::Reverse((*near, *weight)));
        let mut owners: Vec<&Listing> = chosen.into_iter().map(|(_, _, l)| l).collect();
        if owners.len() < count {
            self.fill(&mut owners, weight);
        }
        owners.truncate(count);
        owners
    }

    /// Owners of a declared group, best first.
    pub fn owners_of(&self, plan: &Plan) -> Vec<&Listing> {
        let domains: BTreeSet<Arc<str>> = plan.members.iter().map(|m| m.domain.clone()).collect();
        let group = &plan.group;
        let per_slot = match plan.keyed {
            true => KEYED_OWNERS_PER_SLOT,
            false => OWNERS_PER_SLOT,
        };
        let useful = group.slots * per_slot;
        let count = owner_count(group.owners, group.connections, useful, self.len());
        self.owners(&plan.id, count, &domains)
    }

    /// Fewer domains than owners are wanted: the rest by weight alone.
    fn fill<'a>(&'a self, owners: &mut Vec<&'a Listing>, weight: impl Fn(&u64) -> u64) {
        let mut rest: Vec<&(u64, Listing)> = self.boxes.iter().collect();
        rest.sort_by_key(|(hash, _)| std::cmp::Reverse(weight(hash)));
        for (_, listing) in rest {
            if !owners.iter().any(|owner| owner.name == listing.name) {
                owners.push(listing);
            }
        }
    }
}

/// Owners in the order in which a workspace's statements try them, out of the one for all:
/// its own choice among those of the caller's failure domain, then among the others. A
/// connection serves one workspace only, so that each keeps to few owners.
pub fn workspace_order(owners: &[Listing], domain: &str, workspace: &str) -> Vec<Listing> {
    let seed = xxh3_64(workspace.as_bytes());
    let weight = |listing: &Listing| xxh3_64_with_seed(listing.name.as_bytes(), seed);
    let mut ordered = owners.to_vec();
    ordered.sort_by_cached_key(|owner| (*owner.domain != *domain, weight(owner)));
    ordered
}

/// How many boxes own a group: as many as are declared, or where none are, as many as
/// its members' connections allow when each has the fewest that serve, and no more than
/// are `useful`. Each owner looks at the members, and the fewer
/// share the statements, the more their answers tell.
pub fn owner_count(declared: u32, connections: u32, useful: u32, boxes: usize) -> usize {
    if declared > 0 {
        return declared as usize;
    }
    let allowed = connection_share(connections, 1) / MIN_CONNECTION_SHARE;
    allowed.min(useful as usize).clamp(1, boxes.max(1))
}

/// Owners for each slot of a member: each brings two statements at most, and most are
/// idle at any moment.
const OWNERS_PER_SLOT: u32 = 4;

/// The same where each connection serves one workspace: the fewer owners share a member's
/// connections, the more workspaces find one of theirs open. With 78 workspaces before 29
/// connections and 2 slots, mean worth over five days was 0.763 with four owners a slot,
/// 0.781 with two, and 0.755 with one and a half.
const KEYED_OWNERS_PER_SLOT: u32 = 2;

/// Connections to a member that an owner needs: one that holds a transaction, and
/// another.
pub const MIN_CONNECTION_SHARE: usize = 2;

/// Connections to one member that each owner may hold.
///
/// A tenth is kept in reserve for the moments when two lists of boxes differ.
pub fn connection_share(connections: u32, owners: u32) -> usize {
    const RESERVE_PERCENT: u32 = 10;
    let usable = connections - connections * RESERVE_PERCENT / 100;
    ((usable / owners.max(1)) as usize).max(1)
}
