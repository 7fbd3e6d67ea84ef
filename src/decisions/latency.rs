//! Moving average of a member's response time, as this box measures it.

use std::time::Duration;

/// Divisor of a new sample in the moving average.
const SMOOTHING: u32 = 8;
/// Time without a sample in which the excess over the initial value halves, so that a member
/// that was slow is tried again.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// A moving average that decays to its initial value while no samples arrive.
#[derive(Clone, Debug)]
pub struct Latency {
    initial: Duration,
    mean: Duration,
    updated: Duration,
}

impl Latency {
    pub fn new(initial: Duration) -> Self {
        Self {
            initial,
            mean: initial,
            updated: Duration::ZERO,
        }
    }

    /// Adds the response time of an answer.
    pub fn record_answer(&mut self, took: Duration, now: Duration) {
        let mean = self.mean(now);
        self.mean = (mean * (SMOOTHING - 1) + took) / SMOOTHING;
        self.updated = now;
    }

    /// Raises the average to the time after which an answer was still missing.
    pub fn record_timeout(&mut self, after: Duration, now: Duration) {
        self.mean = self.mean(now).max(after);
        self.updated = now;
    }

    /// Returns the average, decayed to `now`.
    pub fn mean(&self, now: Duration) -> Duration {
        let excess = self.mean.saturating_sub(self.initial);
        let half_lives = now.saturating_sub(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        match excess.is_zero() {
            true => self.mean,
            false => self.initial + excess.mul_f64(0.5_f64.powf(half_lives)),
        }
    }
}
