//! Border to time. Decisions are handed the time; they never ask for it.

use std::time::{Duration, Instant};

/// Monotonic time since the process started.
pub trait Clock {
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
