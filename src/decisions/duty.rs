//! The duty: the right to order promotions in a group, with a generation number as
//! fencing token.
//!
//! A ballot among the members already lets only one box promote at a time. The duty adds
//! the fencing token that the platform expects: a number that rises with every order. It
//! consists of the replaced term, the offset of the ballot's term above it, and the box, so
//! two orders compare as their ballots do, even if one of the boxes can't reach the table.
//! The table holds the least generation of the current holder; a box claims the duty with
//! a conditional commit.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::borders::table::Revision;

/// Generations per ballot. Each box uses the one that its name hashes to.
const BOX_SLOTS: u64 = 4_096;
/// Distinguishable ballots per replaced term. Leaves 29 bits for the term, so that a
/// generation is exact as a 64-bit float.
const BALLOTS_PER_TERM: u64 = 4_096;

/// The duty for one group, as last claimed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// The box that holds the duty.
    pub holder: Arc<str>,
    /// Least generation of the holder's orders.
    pub generation: u64,
    /// Whether the holder couldn't promote a member and leaves the duty to the other boxes.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub resigned: bool,
    /// Member that an order of the resigned holder names, if the order had no answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ordered: Option<Arc<str>>,
    /// Revision of the row, which the next claim must name.
    #[serde(skip)]
    pub revision: Revision,
}

impl Duty {
    /// Returns the term that the holder's ballot was to replace.
    pub fn replaced_term(&self) -> u64 {
        self.generation / (BOX_SLOTS * BALLOTS_PER_TERM)
    }
}

/// This box's claim of the duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub duty: Duty,
    /// Whether the table gave no answer, so that other boxes may not know of the claim.
    pub unconfirmed: bool,
}

/// The ballot that a generation is derived from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ballot {
    /// Term that the promotion ends.
    pub replaced: u64,
    /// Offset of the ballot's term, or of a later promise that was seen, above `replaced`.
    pub term_offset: u64,
}

impl Ballot {
    /// Returns the least generation of `holder` for an order after this ballot.
    pub fn generation(&self, holder: &str) -> u64 {
        let ballot = self.replaced * BALLOTS_PER_TERM + self.term_offset.min(BALLOTS_PER_TERM - 1);
        ballot * BOX_SLOTS + box_slot(holder)
    }
}

impl Claim {
    /// Returns the generation of an order after `ballot`.
    pub fn generation(&self, ballot: &Ballot) -> u64 {
        let least = self.duty.generation;
        ballot.generation(&self.duty.holder).max(least)
    }

    /// Whether an order may still go out: no other box is known to have claimed the duty
    /// since, and the table isn't known to have become an older copy. Such a copy may lack
    /// this claim and grant the duty to another box.
    pub fn is_current(&self, known: Option<&Duty>) -> bool {
        let Some(known) = known else {
            return true;
        };
        let claimed = self.duty.revision;
        let same_claim = known.holder == self.duty.holder && known.revision.era() <= claimed.era();
        same_claim || known.revision <= claimed
    }
}

fn box_slot(holder: &str) -> u64 {
    xxh3_64(holder.as_bytes()) % BOX_SLOTS
}

/// Returns the duty that `holder` claims before `ballot`, following the `known` one.
pub fn next_duty(known: Option<&Duty>, holder: &Arc<str>, ballot: &Ballot) -> Duty {
    let after = known.map_or(0, |known| match known.holder == *holder {
        true => known.generation,
        false => (known.generation / BOX_SLOTS + 1) * BOX_SLOTS + box_slot(holder),
    });
    Duty {
        holder: holder.clone(),
        generation: ballot.generation(holder).max(after),
        resigned: false,
        ordered: None,
        revision: known.map_or(Revision::NONE, |known| known.revision),
    }
}
