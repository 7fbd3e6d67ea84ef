//! Positions in the history of the platform's table.
//!
//! The table's counter goes back when the table comes back as an older copy of itself, and
//! then gives its numbers out again. So a number alone says nothing: it is a position only
//! with the era that it was given out in, and a later era is later in every respect.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bits of the number within an era. The rest leaves room for more than eight thousand
/// copies, while a revision stays exact as a float in operators' tools.
const NUMBER_BITS: u32 = 40;
const MOST_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
const MOST_ERA: u64 = (1 << (53 - NUMBER_BITS)) - 1;
/// Era of what operators count themselves. Above those revisions that boxes without eras
/// tell, so that both understand each other while a system is brought up to date.
const COUNTED: u64 = 1;

/// A position in the table's history. Ordered by era, then by the number within it; the
/// default is before everything.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(u64);

impl Revision {
    /// Before everything; as a condition, a row that is not there.
    pub const NONE: Self = Self(0);

    /// A number that the table gave out in an era.
    pub fn new(era: u64, number: u64) -> Self {
        Self(era.min(MOST_ERA) << NUMBER_BITS | number.min(MOST_NUMBER))
    }

    /// A number that an operator gave out, which no copy of the table turns back.
    pub fn from_operator(number: u64) -> Self {
        Self::new(COUNTED, number)
    }

    pub fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Number within the era.
    pub fn number(self) -> u64 {
        self.0 & MOST_NUMBER
    }

    /// The next one of the same era.
    pub fn next(self) -> Self {
        Self::new(self.era(), self.number() + 1)
    }
}

/// As operators and boxes tell it.
impl From<u64> for Revision {
    fn from(told: u64) -> Self {
        Self(told)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            0 => write!(f, "{}", self.number()),
            era => write!(f, "{era}.{}", self.number()),
        }
    }
}
