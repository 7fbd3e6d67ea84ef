//! When callers that were refused may come back.
//!
//! The load it answers: more requests than a queue can serve, refused at once. Told the same
//! time, all of them would come back together and be refused together. So each is told the
//! moment after the one before, as far apart as places become free: they come back in the
//! order in which they were refused, and find room.

use std::time::Duration;

/// The longest that a caller is told to wait: the load is another one by then.
const LONGEST: Duration = Duration::from_secs(2);

/// Promised moments before one queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    /// The first moment that was promised to nobody.
    free: Duration,
}

impl Schedule {
    /// Time for a caller refused now to wait: at least `wait`, in which those that wait are
    /// served; `gap` is the time in which one place becomes free.
    pub fn reserve(&mut self, wait: Duration, gap: Duration, now: Duration) -> Duration {
        let at = self.free.max(now + wait).min(now + LONGEST.max(wait));
        self.free = at + gap;
        at - now
    }
}
