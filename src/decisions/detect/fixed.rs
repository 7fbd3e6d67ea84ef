//! Suspects a member after a fixed time without an answer.

use std::time::Duration;

use super::Detector;

pub struct Fixed {
    period: Duration,
    timeout: Duration,
    probe_due: Duration,
    last_answer: Duration,
}

impl Fixed {
    pub fn new(period: Duration, timeout: Duration, now: Duration) -> Self {
        Self {
            period,
            timeout,
            probe_due: now,
            last_answer: now,
        }
    }
}

impl Detector for Fixed {
    fn probe_due(&self) -> Duration {
        self.probe_due
    }

    fn record_probe(&mut self, now: Duration) {
        self.probe_due = now + self.period;
    }

    fn record_answer(&mut self, _sent: Duration, now: Duration) {
        self.last_answer = self.last_answer.max(now);
    }

    fn suspects(&self, now: Duration) -> bool {
        now > self.last_answer + self.timeout
    }

    fn deadline(&self) -> Option<Duration> {
        Some(self.last_answer + self.timeout)
    }

    fn expedite_probe(&mut self, now: Duration) {
        self.probe_due = self.probe_due.min(now);
    }

    fn set_period(&mut self, period: Duration) {
        self.period = period;
    }
}
