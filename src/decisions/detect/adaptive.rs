//! Suspects a member when its next answer is overdue by the delays of the last ones.
//!
//! The answer is expected one period after the last answered probe, plus the mean delay and a
//! safety margin.

use std::collections::VecDeque;
use std::time::Duration;

use super::Detector;

/// Number of delays that count towards the mean.
const WINDOW: usize = 100;

pub struct Adaptive {
    period: Duration,
    margin: Duration,
    probe_due: Duration,
    /// When the latest answered probe was sent.
    last_answered: Duration,
    delays: VecDeque<Duration>,
    sum: Duration,
}

impl Adaptive {
    pub fn new(period: Duration, margin: Duration, now: Duration) -> Self {
        Self {
            period,
            margin,
            probe_due: now,
            last_answered: now,
            delays: VecDeque::new(),
            sum: Duration::ZERO,
        }
    }

    fn mean(&self) -> Duration {
        self.sum / self.delays.len().max(1) as u32
    }
}

impl Detector for Adaptive {
    fn probe_due(&self) -> Duration {
        self.probe_due
    }

    fn record_probe(&mut self, now: Duration) {
        self.probe_due = now + self.period;
    }

    fn record_answer(&mut self, sent: Duration, now: Duration) {
        if sent < self.last_answered {
            return;
        }
        self.last_answered = sent;
        let delay = now.saturating_sub(sent);
        self.delays.push_back(delay);
        self.sum += delay;
        if self.delays.len() > WINDOW {
            self.sum -= self.delays.pop_front().unwrap_or_default();
        }
    }

    fn suspects(&self, now: Duration) -> bool {
        now > self.last_answered + self.period + self.mean() + self.margin
    }

    fn deadline(&self) -> Option<Duration> {
        Some(self.last_answered + self.period + self.mean() + self.margin)
    }

    fn expedite_probe(&mut self, now: Duration) {
        self.probe_due = self.probe_due.min(now);
    }

    fn set_period(&mut self, period: Duration) {
        self.period = period;
    }
}
