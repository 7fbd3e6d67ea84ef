//! How long a member takes to answer, as this box sees it.

use std::time::Duration;

/// Answers over which the mean is taken, about.
const SMOOTHING: u32 = 8;
/// Time without an answer in which what is known loses half of its weight: a member
/// that was slow is tried again.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// A smoothed mean that returns to a guess while nothing is heard.
#[derive(Clone, Debug)]
pub struct Latency {
    guess: Duration,
    mean: Duration,
    heard: Duration,
}

impl Latency {
    pub fn new(guess: Duration) -> Self {
        Self {
            guess,
            mean: guess,
            heard: Duration::ZERO,
        }
    }

    /// An answer took this long.
    pub fn record_answer(&mut self, took: Duration, now: Duration) {
        let mean = self.mean(now);
        self.mean = (mean * (SMOOTHING - 1) + took) / SMOOTHING;
        self.heard = now;
    }

    /// No answer came for this long.
    pub fn record_timeout(&mut self, after: Duration, now: Duration) {
        self.mean = self.mean(now).max(after);
        self.heard = now;
    }

    /// The mean as far as it still counts.
    pub fn mean(&self, now: Duration) -> Duration {
        let above = self.mean.saturating_sub(self.guess);
        let lives = now.saturating_sub(self.heard).as_secs_f64() / HALF_LIFE.as_secs_f64();
        match above.is_zero() {
            true => self.mean,
            false => self.guess + above.mul_f64(0.5_f64.powf(lives)),
        }
    }
}
