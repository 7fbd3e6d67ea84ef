//! Settings that can change while a box runs.
//!
//! All other settings take effect at the next start: addresses and names are in use, and the
//! settings for reading the table can't change during a long poll.

use std::sync::Arc;
use std::time::Duration;

use super::run::Run;

/// The settings that can change while a box runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Live {
    /// Maximum number of concurrent callers. A lower limit disconnects no callers.
    pub max_callers: usize,
    /// Time that requests in flight may take at shutdown.
    pub drain_timeout: Duration,
    /// Peers to ask if the platform is down before any box is known.
    pub peers: Vec<Arc<str>>,
    /// Time for which a leaving member is still used; `None` leaves the current value unchanged. If
    /// the time changes while a member is leaving, the shorter of both applies to that member.
    pub member_drain_limit: Option<Duration>,
}

impl Live {
    /// Returns the initial values.
    pub fn new(run: &Run) -> Self {
        Self {
            max_callers: run.max_callers,
            drain_timeout: run.drain_timeout,
            peers: run.peers.clone(),
            member_drain_limit: None,
        }
    }
}
