//! Settings that a running box takes over when they change.
//!
//! All others hold until the next start: addresses and names are bound, and what decides how
//! the table is read would have to change in the middle of a wait.

use std::sync::Arc;
use std::time::Duration;

use super::run::Run;

/// The settings that may change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Live {
    /// Callers at once. Those that are there stay.
    pub max_callers: usize,
    /// Time that requests in flight get at a stop.
    pub drain_timeout: Duration,
    /// Peers to ask when the platform is down before any box is known.
    pub peers: Vec<Arc<str>>,
    /// Time that a leaving member is served; none where that does not change. A member that
    /// leaves already keeps the shorter of both.
    pub member_drain_limit: Option<Duration>,
}

impl Live {
    /// Those of a box that starts.
    pub fn new(run: &Run) -> Self {
        Self {
            max_callers: run.max_callers,
            drain_timeout: run.drain_timeout,
            peers: run.peers.clone(),
            member_drain_limit: None,
        }
    }
}
