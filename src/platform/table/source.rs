//! The tables of the store that a box keeps up with, and how it waits for their news.

use std::time::Duration;

use crate::borders::table::{Polling, Section};

/// Waits for changes within the time in which these have to be in force: what followers
/// know is then fresh for at least as long again.
const BRISK_WAITS: u32 = 3;

/// A table of the store that is kept up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The operator's rows.
    Operator,
    /// The members' entries.
    Members,
    /// Larkfall's own rows.
    Own,
}

impl Source {
    pub const ALL: [Source; 3] = [Source::Operator, Source::Members, Source::Own];

    pub fn table(self) -> &'static str {
        match self {
            Source::Operator => "op",
            Source::Members => "servers",
            Source::Own => "larkfall",
        }
    }

    /// The product's rows that it holds.
    pub fn section(self) -> Section {
        match self {
            Source::Operator => Section::Declarations,
            Source::Members => Section::Members,
            Source::Own => Section::Records,
        }
    }

    /// Length of one wait for changes, where these have to be in force within `apply`. A
    /// wait that the store forgot is noticed only when it ends, so it is shorter where news
    /// is urgent; each costs a call.
    pub fn wait(self, pace: Polling, apply: Duration) -> Duration {
        match (self, pace) {
            // Its end tells those who follow that the store still answers.
            (Source::Operator, Polling::Frequent) => apply / BRISK_WAITS,
            (Source::Operator, _) => Duration::from_secs(8),
            (Source::Members, Polling::Frequent) => apply,
            (Source::Members, _) => Duration::from_secs(12),
            (Source::Own, _) => Duration::from_secs(25),
        }
    }

    /// Rest after news, in which further changes gather: each call has its price, and
    /// when all boxes or members start, every one of them changes a row.
    pub fn rest(self) -> Duration {
        match self {
            Source::Operator => Duration::from_millis(200),
            Source::Members => Duration::from_millis(400),
            Source::Own => Duration::from_secs(2),
        }
    }
}
