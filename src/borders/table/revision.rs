//! Revisions of the platform's table.
//!
//! If the table is restored from an older copy of itself, its counter falls back and assigns the
//! same numbers again. A revision therefore combines a number with the era in which it was
//! assigned, and any revision of a later era is later.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bits of the number within an era. The remaining bits of a 53-bit integer hold the era, so that
/// revisions stay exact as floats in operators' tools.
const NUMBER_BITS: u32 = 40;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
const MAX_ERA: u64 = (1 << (53 - NUMBER_BITS)) - 1;
/// Era of numbers that operators assign. It ranks above era 0, in which boxes without support for
/// eras report all revisions, so that both kinds of boxes can run together during an upgrade.
const OPERATOR_ERA: u64 = 1;

/// A revision of the table, ordered by era and then by number. The default precedes all others.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(u64);

impl Revision {
    /// Precedes all revisions; as a condition, requires that the row doesn't exist.
    pub const NONE: Self = Self(0);

    /// Creates the revision for a number that the table assigned in an era.
    pub fn new(era: u64, number: u64) -> Self {
        Self(era.min(MAX_ERA) << NUMBER_BITS | number.min(MAX_NUMBER))
    }

    /// Creates the revision for a number that an operator assigned, which doesn't fall back when
    /// the table is restored.
    pub fn from_operator(number: u64) -> Self {
        Self::new(OPERATOR_ERA, number)
    }

    pub fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Returns the number within the era.
    pub fn number(self) -> u64 {
        self.0 & MAX_NUMBER
    }

    /// Returns the next revision of the same era.
    pub fn next(self) -> Self {
        Self::new(self.era(), self.number() + 1)
    }
}

/// Converts from the form in which operators and boxes exchange revisions.
impl From<u64> for Revision {
    fn from(encoded: u64) -> Self {
        Self(encoded)
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
