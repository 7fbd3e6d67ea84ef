//! Suspects when the next answer is later than expected from the last ones.
//!
//! The expected arrival is the mean of the last answers' delays after their
//! probes' due times, plus a safety margin.

use std::collections::VecDeque;
use std::time::Duration;

use super::Detector;

const WINDOW: usize = 100;

pub struct Adaptive {
    period: Duration,
    margin: Duration,
    due: Duration,
    newest: Duration,
    delays: VecDeque<Duration>,
    sum: Duration,
}

impl Adaptive {
    pub fn new(period: Duration, margin: Duration, now: Duration) -> Self {
        Self {
            period,
            margin,
            due: now,
            newest: now,
            delays: VecDeque::new(),
            sum: Duration::ZERO,
        }
    }

    fn mean(&self) -> Duration {
        self.sum / self.delays.len().max(1) as u32
    }
}

impl Detector for Adaptive {
    fn due(&self) -> Duration {
        self.due
    }

    fn sent(&mut self, now: Duration) {
        self.due = now + self.period;
    }

    fn heard(&mut self, sent: Duration, now: Duration) {
        if sent < self.newest {
            return;
        }
        self.newest = sent;
        let delay = now.saturating_sub(sent);
        self.delays.push_back(delay);
        self.sum += delay;
        if self.delays.len() > WINDOW {
            self.sum -= self.delays.pop_front().unwrap_or_default();
        }
    }

    fn suspects(&self, now: Duration) -> bool {
        now > self.newest + self.period + self.mean() + self.margin
    }

    fn deadline(&self) -> Option<Duration> {
        Some(self.newest + self.period + self.mean() + self.margin)
    }

    fn hurry(&mut self, now: Duration) {
        self.due = self.due.min(now);
    }

    fn set_period(&mut self, period: Duration) {
        self.period = period;
    }
}
