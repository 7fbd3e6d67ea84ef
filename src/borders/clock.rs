//! Access to time. Decisions get the current time as an argument and never read a clock.

use std::time::{Duration, Instant};

pub trait Clock {
    /// Returns the monotonic time since the process started.
    fn now(&self) -> Duration;
}

/// The machine's monotonic clock.
pub struct System {
    start: Instant,
}

impl Default for System {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for System {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
