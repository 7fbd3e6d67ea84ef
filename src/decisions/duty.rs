//! Who may order a promotion, and under which generation number.
//!
//! A ballot at the members already lets only one box promote at a time. The duty
//! adds a number that rises whenever another box orders, for a platform that wants
//! one. It is kept in the table, and taken by a conditional commit. While the table
//! gives no answer a box goes on from the last number it has seen: the low part of
//! every number is the box's own, so that no two boxes ever use the same one. Between
//! stand the terms of the ballots: where one box orders without the table, another
//! that follows has seen its term at the members, and so has the higher number.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Numbers of one term; a box takes the one that its name hashes to.
const LANES: u64 = 4_096;
/// Terms of one rise. With 17 bits of rises a number stays exact as a float.
const TERMS: u64 = 1 << 24;
/// Numbers of one rise.
const RISE: u64 = TERMS * LANES;

/// The duty for one group, as last taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// The box that holds it.
    pub holder: Arc<str>,
    pub generation: u64,
    /// Revision of the row, which the next one to take it must name.
    #[serde(skip)]
    pub revision: u64,
}

/// The number of an order after the ballot of `term`; never below `last`, the one
/// that the box has ordered under before.
pub fn number(generation: u64, term: u64, last: u64) -> u64 {
    let number = generation + term.min(TERMS - 1) * LANES;
    number.max(last)
}

/// Whether an order under `generation` may still go out: nobody is known to have
/// taken the duty since.
pub fn stands(generation: u64, known: Option<&Duty>) -> bool {
    known.is_none_or(|known| known.generation <= generation)
}

/// The duty as `holder` takes it from `known`; the same while it holds it already.
pub fn taken(known: Option<&Duty>, holder: &Arc<str>) -> Duty {
    if let Some(known) = known
        && known.holder == *holder
    {
        return known.clone();
    }
    let rises = known.map_or(0, |known| known.generation / RISE) + 1;
    Duty {
        holder: holder.clone(),
        generation: rises * RISE + xxh3_64(holder.as_bytes()) % LANES,
        revision: 0,
    }
}
