//! Retry times for refused requests.
//!
//! Callers that were all refused with the same retry time would come back together and be
//! refused again. Each caller therefore gets the time after the one before, spaced at the rate
//! at which slots become free, so that callers return in the order in which they were refused.

use std::time::Duration;

/// Longest wait handed out, unless the queue itself takes longer: beyond it the load can't be
/// predicted.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Retry times handed out for one queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    /// First retry time that is not handed out yet.
    next: Duration,
}

impl Schedule {
    /// Reserves the next retry time and returns the wait until then. `wait` is the time in
    /// which the requests that wait now are served, `gap` the time in which one slot becomes
    /// free.
    pub fn reserve(&mut self, wait: Duration, gap: Duration, now: Duration) -> Duration {
        let at = self.next.max(now + wait).min(now + MAX_WAIT.max(wait));
        self.next = at + gap;
        at - now
    }
}
