//! Selects the boxes that own a group, by rendezvous hashing spread over failure domains.
//!
//! Each box computes the owners from its own list of boxes. Boxes with different lists select
//! different owners for a while, which costs an extra hop or connection but never correctness:
//! ownership is only an optimization.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::borders::roster::Listing;
use crate::declarations::snapshot::Plan;

/// The boxes that may own groups, each with the hash of its name.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    boxes: Vec<(u64, Listing)>,
}

impl Ranking {
    /// Number of boxes that may own groups.
    pub fn len(&self) -> usize {
        self.boxes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.boxes.is_empty()
    }

    /// Whether a group with this number of owners is owned by every box. Only then do boxes
    /// with different lists agree on the owners.
    pub fn covers_all_boxes(&self, owners: usize) -> bool {
        owners == self.boxes.len()
    }

    /// Ranks the listed boxes, without those that are leaving.
    pub fn new(boxes: &[Listing]) -> Self {
        let present = boxes.iter().filter(|listing| !listing.leaving);
        let hashed = |listing: &Listing| (xxh3_64(listing.name.as_bytes()), listing.clone());
        Self {
            boxes: present.map(hashed).collect(),
        }
    }

    /// Returns `count` owners of `group`, best first: the best box of each failure domain in
    /// `domains`, then the best box of each other domain, then the remaining boxes.
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
        chosen.sort_by_key(|(preferred, weight, _)| std::cmp::Reverse((*preferred, *weight)));
        let mut owners: Vec<&Listing> = chosen.into_iter().map(|(_, _, l)| l).collect();
        if owners.len() < count {
            self.fill_by_weight(&mut owners, weight);
        }
        owners.truncate(count);
        owners
    }

    /// Returns the owners of a declared group, best first.
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

    /// Appends the boxes that aren't owners yet, by weight.
    fn fill_by_weight<'a>(&'a self, owners: &mut Vec<&'a Listing>, weight: impl Fn(&u64) -> u64) {
        let mut rest: Vec<&(u64, Listing)> = self.boxes.iter().collect();
        rest.sort_by_key(|(hash, _)| std::cmp::Reverse(weight(hash)));
        for (_, listing) in rest {
            if !owners.iter().any(|owner| owner.name == listing.name) {
                owners.push(listing);
            }
        }
    }
}

/// Returns a group's owners in the order in which a workspace's statements try them: those of
/// the caller's failure domain first, each part in an order of the workspace's own. A connection
/// serves a single workspace, so a workspace should keep to few owners.
pub fn workspace_order(owners: &[Listing], domain: &str, workspace: &str) -> Vec<Listing> {
    let seed = xxh3_64(workspace.as_bytes());
    let weight = |listing: &Listing| xxh3_64_with_seed(listing.name.as_bytes(), seed);
    let mut ordered = owners.to_vec();
    ordered.sort_by_cached_key(|owner| (*owner.domain != *domain, weight(owner)));
    ordered
}

/// Returns how many boxes own a group: the declared number, or if none is declared, as many as
/// can each get [`MIN_CONNECTION_SHARE`] connections to a member, limited to `useful`. Every
/// owner probes the members, and sees more of their answers the fewer owners there are.
pub fn owner_count(declared: u32, connections: u32, useful: u32, boxes: usize) -> usize {
    if declared > 0 {
        return declared as usize;
    }
    let allowed = connection_share(connections, 1) / MIN_CONNECTION_SHARE;
    allowed.min(useful as usize).clamp(1, boxes.max(1))
}

/// Maximum number of owners for each slot of a member. An owner with the minimum share runs two
/// statements on the member at most, and most owners are idle at any moment.
const OWNERS_PER_SLOT: u32 = 4;

/// The same where each connection serves a single workspace. With fewer owners, each holds more
/// of a member's connections, and more workspaces find one of theirs open.
const KEYED_OWNERS_PER_SLOT: u32 = 2;

/// Connections to a member that an owner needs: one for an open transaction, and one more.
pub const MIN_CONNECTION_SHARE: usize = 2;

/// Returns how many connections to a member each owner may hold.
///
/// A reserve covers the time during which boxes have different lists, and so different owners.
pub fn connection_share(connections: u32, owners: u32) -> usize {
    const RESERVE_PERCENT: u32 = 10;
    let usable = connections - connections * RESERVE_PERCENT / 100;
    ((usable / owners.max(1)) as usize).max(1)
}
