//! Tracks since when changes of a feed may have gone unnoticed.

use std::time::Duration;

use tokio::time::Instant;

use super::cache::Written;
use crate::http::DEAD_CONNECTION_TIMEOUT;

/// Time within which rows that an older copy of the store lacks are written again. Members write
/// about every second, and write a change at once.
const REWRITE_TIME: Duration = Duration::from_secs(4);

/// Period in which a feed was not followed.
#[derive(Debug, Default)]
pub struct Gap {
    /// Whether the feed was read before.
    was_read: bool,
    since: Option<Instant>,
    /// Set after the store was replaced by an older copy: rows lost with the replaced one are
    /// written again.
    rewriting: Option<Rewriting>,
}

/// Rewriting of the rows that an older copy of the store lacks.
#[derive(Clone, Copy, Debug)]
struct Rewriting {
    /// Earliest time at which the lost rows were first written.
    since: Instant,
    /// Time by which all of them are written again.
    until: Instant,
}

impl Gap {
    /// Records that changes may have gone unnoticed since this time.
    pub fn open(&mut self, since: Instant) {
        self.since = Some(self.since.map_or(since, |known| known.min(since)));
    }

    /// Records that a call made at `called` was not answered. `wait` is how long the store may
    /// hold back the answer.
    ///
    /// Within `wait`, a lost connection is detected after at most [`DEAD_CONNECTION_TIMEOUT`], so
    /// changes may have been missed for that long. After `wait`, the store may have held back changes
    /// since the call.
    pub fn open_unanswered(&mut self, called: Instant, wait: Duration) {
        let overdue = called.elapsed() > wait;
        let undetected_since = Instant::now().checked_sub(DEAD_CONNECTION_TIMEOUT);
        self.open(undetected_since.filter(|_| !overdue).unwrap_or(called));
    }

    /// Records that the store was replaced by an older copy. Rows written since the feed was last
    /// followed may be written again, so a row may be older than its arrival suggests.
    pub fn start_era(&mut self) {
        let now = Instant::now();
        let since = self.since.unwrap_or(now);
        let until = now + REWRITE_TIME;
        self.rewriting = Some(Rewriting { since, until });
    }

    /// Records an answer that began to arrive at `arrived`. Returns the earliest time at which its
    /// changes may have been written.
    pub fn close(&mut self, arrived: Instant) -> Written {
        self.rewriting = self.rewriting.filter(|rewriting| arrived < rewriting.until);
        let missed_since = self.since.take().unwrap_or(arrived);
        let since = self
            .rewriting
            .map_or(missed_since, |rewriting| rewriting.since.min(missed_since));
        match std::mem::replace(&mut self.was_read, true) {
            true => Written::After(since),
            false => Written::Unknown,
        }
    }
}
