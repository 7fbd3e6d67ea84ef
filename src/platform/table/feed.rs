//! The tables of the store that a box follows, and how it polls each for changes.

use std::time::Duration;

use crate::borders::table::{Polling, Section};

/// Long polls per apply deadline of a box that other boxes follow. The end of each poll confirms
/// that the followers' configuration is current, which must not expire before the next one.
const FREQUENT_POLLS_PER_APPLY_DEADLINE: u32 = 3;

/// Share of the apply deadline that a long poll of a box without followers waits. If the store never
/// answers it, the rest is left for noticing that and for asking again.
const POLL_SHARE_OF_APPLY_DEADLINE: f64 = 2.0 / 3.0;

/// A table of the store that a box follows, by who writes its rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Feed {
    /// The operator's manifest.
    Operator,
    /// The members' entries.
    Members,
    /// The list of boxes and the records that boxes keep.
    Boxes,
}

impl Feed {
    pub const ALL: [Feed; 3] = [Feed::Operator, Feed::Members, Feed::Boxes];

    /// Returns the table's name in the store.
    pub fn table(self) -> &'static str {
        match self {
            Feed::Operator => "op",
            Feed::Members => "servers",
            Feed::Boxes => "larkfall",
        }
    }

    /// Returns the section of the rows that the table yields.
    pub fn section(self) -> Section {
        match self {
            Feed::Operator => Section::Declarations,
            Feed::Members => Section::Members,
            Feed::Boxes => Section::Records,
        }
    }

    /// Returns how long one long poll waits, given that a change must be in force within
    /// `apply_deadline`. A poll that the store has lost is noticed only at its end, so urgent
    /// tables use shorter polls, at the cost of more calls.
    pub fn long_poll_wait(self, polling: Polling, apply_deadline: Duration) -> Duration {
        match (self, polling) {
            // The end of each poll shows this box's followers that the store answers.
            (Feed::Operator, Polling::Frequent) => {
                apply_deadline / FREQUENT_POLLS_PER_APPLY_DEADLINE
            }
            (Feed::Operator, _) => apply_deadline.mul_f64(POLL_SHARE_OF_APPLY_DEADLINE),
            // Also bounds how late a member's leave notice is read.
            (Feed::Members, _) => apply_deadline,
            (Feed::Boxes, _) => Duration::from_secs(25),
        }
    }

    /// Returns the pause after a change, in which further changes accumulate. Saves calls when
    /// all boxes or members start and each of them changes a row.
    pub fn batch_delay(self) -> Duration {
        match self {
            Feed::Operator => Duration::from_millis(200),
            Feed::Members => Duration::from_millis(400),
            Feed::Boxes => Duration::from_secs(2),
        }
    }
}
