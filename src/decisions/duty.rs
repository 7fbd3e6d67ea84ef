//! Who may order a promotion, and under which generation number.
//!
//! A ballot at the members already lets only one box promote at a time. The duty
//! adds a number that rises from order to order, for a platform that wants one. It
//! follows from the ballot: the term that is replaced, how far the ballot's term is
//! above it, and the box. So the numbers of two orders compare as their ballots do,
//! also where one of the boxes has no table. In the table stands the least number of
//! whoever holds the duty; it is taken by a conditional commit.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::borders::table::Revision;

/// Numbers of one ballot; a box takes the one that its name hashes to.
const LANES: u64 = 4_096;
/// Ballots that one term is told apart by. With 29 bits left for terms a number stays
/// exact as a float.
const TURNS: u64 = 4_096;

/// The duty for one group, as last taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// The box that holds it.
    pub holder: Arc<str>,
    /// Least number of its orders.
    pub generation: u64,
    /// Revision of the row, which the next one to take it must name.
    #[serde(skip)]
    pub revision: Revision,
}

/// The duty as this box has taken it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub duty: Duty,
    /// The table gave no answer: others may not know of the claim.
    pub alone: bool,
}

/// What the number of an order follows from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ballot {
    /// Term that the promotion ends.
    pub replaced: u64,
    /// How far the ballot's term, or a later one that was seen, is above it.
    pub turn: u64,
}

impl Ballot {
    /// Least number of `holder` for an order after this ballot.
    pub fn number(&self, holder: &str) -> u64 {
        let ballot = self.replaced * TURNS + self.turn.min(TURNS - 1);
        ballot * LANES + lane(holder)
    }
}

impl Claim {
    /// The number of an order after `ballot`.
    pub fn number(&self, ballot: &Ballot) -> u64 {
        let least = self.duty.generation;
        ballot.number(&self.duty.holder).max(least)
    }

    /// Whether an order may still go out: nobody else is known to have taken the duty
    /// since, nor the table to be an older copy, which may lack the claim and grant it to
    /// another.
    pub fn stands(&self, known: Option<&Duty>) -> bool {
        let Some(known) = known else {
            return true;
        };
        let claimed = self.duty.revision;
        let own = known.holder == self.duty.holder && known.revision.era() <= claimed.era();
        own || known.revision <= claimed
    }
}

fn lane(holder: &str) -> u64 {
    xxh3_64(holder.as_bytes()) % LANES
}

/// The duty as `holder` takes it from `known` before a ballot.
pub fn taken(known: Option<&Duty>, holder: &Arc<str>, ballot: &Ballot) -> Duty {
    let after = known.map_or(0, |known| match known.holder == *holder {
        true => known.generation,
        false => (known.generation / LANES + 1) * LANES + lane(holder),
    });
    Duty {
        holder: holder.clone(),
        generation: ballot.number(holder).max(after),
        revision: known.map_or(Revision::NONE, |known| known.revision),
    }
}
