//! Which boxes own a group: rendezvous hashing, spread over failure domains.
//!
//! Every box reckons it for itself from the list of boxes. Boxes whose lists
//! differ choose differently for a while; that costs a hop or a connection,
//! never correctness, since an owner is no more than an efficiency.

use std::collections::BTreeSet;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::borders::roster::Listing;

/// Boxes of `group`, best first. Members' own domains come first, then one box
/// a domain, then whatever is left.
pub fn owners<'a>(
    group: &str,
    count: usize,
    domains: &BTreeSet<Arc<str>>,
    boxes: &'a [Listing],
) -> Vec<&'a Listing> {
    let mut ranked: Vec<&Listing> = boxes.iter().filter(|listing| !listing.leaving).collect();
    ranked.sort_by_key(|listing| std::cmp::Reverse(weight(group, &listing.name)));
    let mut taken: BTreeSet<&str> = BTreeSet::new();
    let mut chosen: Vec<&Listing> = Vec::new();
    for near in [true, false] {
        for listing in &ranked {
            let fits = domains.contains(&listing.domain) == near;
            if fits && chosen.len() < count && taken.insert(&listing.domain) {
                chosen.push(listing);
            }
        }
    }
    for listing in &ranked {
        let missing = !chosen.iter().any(|other| other.name == listing.name);
        if missing && chosen.len() < count {
            chosen.push(listing);
        }
    }
    chosen
}

fn weight(group: &str, name: &str) -> u64 {
    xxh3_64(format!("{group}\0{name}").as_bytes())
}

/// Connections to one member that each owner may hold.
///
/// A tenth is kept in reserve for the moments when two lists of boxes differ.
pub fn share(connections: u32, owners: u32) -> usize {
    const RESERVE_PERCENT: u32 = 10;
    let usable = connections - connections * RESERVE_PERCENT / 100;
    ((usable / owners.max(1)) as usize).max(1)
}
