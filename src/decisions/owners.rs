//! Selects the boxes that own a group, by rendezvous hashing spread over failure domains.
//!
//! Each box computes the owners from its own list of boxes. Boxes with different lists select
//! different owners for a while, which costs an extra hop or connection but never correctness:
//! ownership is only an optimization.

mod assignment;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::borders::roster::Listing;
use crate::declarations::snapshot::Plan;

pub use assignment::{Assignment, Ownership};

/// The boxes that may own groups, by failure domain.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    domains: BTreeMap<Arc<str>, Vec<Candidate>>,
    count: usize,
}

/// A box that may own groups.
#[derive(Clone, Debug)]
struct Candidate {
    /// Hash of the box's name.
    hash: u64,
    listing: Listing,
}

/// A box with its weight for a group.
#[derive(Clone, Copy, Debug)]
struct Weighted<'a> {
    weight: u64,
    candidate: &'a Candidate,
}

impl Ranking {
    /// Number of boxes that may own groups.
    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Whether a group with this number of owners is owned by every box. Only then do boxes
    /// with different lists agree on the owners.
    pub fn covers_all_boxes(&self, owners: usize) -> bool {
        owners == self.count
    }

    /// Ranks the listed boxes, without those that are leaving.
    pub fn new(boxes: &[Listing]) -> Self {
        let mut ranking = Self::default();
        for listing in boxes.iter().filter(|listing| !listing.leaving) {
            let candidate = Candidate {
                hash: xxh3_64(listing.name.as_bytes()),
                listing: listing.clone(),
            };
            let domain = ranking.domains.entry(listing.domain.clone());
            domain.or_default().push(candidate);
            ranking.count += 1;
        }
        ranking
    }

    fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        self.domains.values().flatten()
    }

    /// Returns `count` owners of `group`, best first: the best box of each failure domain in
    /// `domains`, then the best box of each other domain, then the remaining boxes.
    pub fn owners(&self, group: &str, count: usize, domains: &BTreeSet<Arc<str>>) -> Vec<&Listing> {
        let chosen = self.select(group, count, domains).into_iter();
        chosen.map(|owner| &owner.candidate.listing).collect()
    }

    fn select(&self, group: &str, count: usize, domains: &BTreeSet<Arc<str>>) -> Vec<Weighted<'_>> {
        let weigh = Weigher::new(group);
        let weighted = |candidate| Weighted {
            weight: weigh.weight(candidate),
            candidate,
        };
        let mut heaviest = Heaviest::new(count);
        let mut best: Vec<(bool, Weighted)> = Vec::with_capacity(self.domains.len());
        for (domain, candidates) in &self.domains {
            let Some(first) = candidates.first() else {
                continue;
            };
            let mut best_here = weighted(first);
            heaviest.add(best_here);
            for candidate in &candidates[1..] {
                let candidate = weighted(candidate);
                heaviest.add(candidate);
                if candidate.weight > best_here.weight {
                    best_here = candidate;
                }
            }
            best.push((domains.contains(domain), best_here));
        }
        best.sort_by_key(|(preferred, best)| std::cmp::Reverse((*preferred, best.weight)));
        let mut owners: Vec<Weighted> = best.into_iter().map(|(_, best)| best).collect();
        for candidate in heaviest.into_descending() {
            let hash = candidate.candidate.hash;
            if !owners.iter().any(|owner| owner.candidate.hash == hash) {
                owners.push(candidate);
            }
        }
        owners.truncate(count);
        owners
    }

    /// Returns the owners of one of `groups` declared groups, best first.
    pub fn owners_of(&self, plan: &Plan, groups: usize) -> Vec<&Listing> {
        let (count, domains) = (self.count_for(plan, groups), member_domains(plan));
        self.owners(&plan.id, count, &domains)
    }

    /// Returns the number of owners of one of `groups` declared groups.
    fn count_for(&self, plan: &Plan, groups: usize) -> usize {
        let group = &plan.group;
        let per_slot = match plan.keyed {
            true => KEYED_OWNERS_PER_SLOT,
            false => OWNERS_PER_SLOT,
        };
        let useful = (group.slots * per_slot).min(affordable_owners(&plan.id, self.len(), groups));
        owner_count(group.owners, group.connections, useful, self.len())
    }
}

/// Returns the failure domains of a group's members, listed or not: the owners stay the same while
/// entries are missing.
fn member_domains(plan: &Plan) -> BTreeSet<Arc<str>> {
    let listed = plan.members.iter().map(|member| &member.domain);
    listed.chain(plan.recorded.values()).cloned().collect()
}

/// Computes the weights of boxes for a group.
#[derive(Clone, Copy, Debug)]
struct Weigher {
    seed: u64,
}

impl Weigher {
    fn new(group: &str) -> Self {
        Self {
            seed: xxh3_64(group.as_bytes()),
        }
    }

    fn weight(self, candidate: &Candidate) -> u64 {
        xxh3_64_with_seed(&candidate.hash.to_le_bytes(), self.seed)
    }
}

/// Keeps the boxes with the greatest weights.
struct Heaviest<'a> {
    limit: usize,
    /// In ascending order of weight.
    kept: Vec<Weighted<'a>>,
}

impl<'a> Heaviest<'a> {
    fn new(limit: usize) -> Self {
        Self {
            limit,
            kept: Vec::with_capacity(limit + 1),
        }
    }

    fn add(&mut self, candidate: Weighted<'a>) {
        let is_full = self.kept.len() >= self.limit;
        let lightest = self.kept.first().map(|kept| kept.weight);
        if is_full && lightest.is_none_or(|lightest| candidate.weight <= lightest) {
            return;
        }
        let at = self
            .kept
            .partition_point(|kept| kept.weight < candidate.weight);
        self.kept.insert(at, candidate);
        if self.kept.len() > self.limit {
            self.kept.remove(0);
        }
    }

    fn into_descending(self) -> impl Iterator<Item = Weighted<'a>> {
        self.kept.into_iter().rev()
    }
}

/// Returns the number of owners that a group can have so that a box owns no more than
/// [`GROUPS_PER_BOX`] on average. Every owner opens connections to the members and probes them,
/// which otherwise costs each box more the more groups there are.
///
/// Each group rounds at a point of its own. If all rounded at the same one, a single box that joins
/// or leaves could change the owners of every group.
fn affordable_owners(group: &str, boxes: usize, groups: usize) -> u32 {
    let average = (GROUPS_PER_BOX * boxes) as f64 / groups.max(1) as f64;
    let rounding = xxh3_64(group.as_bytes()) as f64 / u64::MAX as f64;
    (average + rounding).max(MIN_OWNERS) as u32
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
/// of a member's connections, and more workspaces find one of theirs open. With 78 workspaces, 29
/// connections and 2 slots per member, callers were served better than with 4 or 1.5.
const KEYED_OWNERS_PER_SLOT: u32 = 2;

/// Average number of groups that a box owns in a large system.
pub const GROUPS_PER_BOX: usize = 6;

/// Number of owners that a group gets however many groups there are: two remain if a failure domain
/// is lost.
const MIN_OWNERS: f64 = 3.0;

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
