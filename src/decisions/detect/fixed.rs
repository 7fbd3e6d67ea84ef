//! Suspects after a fixed time without an answer.

use std::time::Duration;

use super::Detector;

pub struct Fixed {
    period: Duration,
    timeout: Duration,
    due: Duration,
    heard: Duration,
}

impl Fixed {
    pub fn new(period: Duration, timeout: Duration, now: Duration) -> Self {
        Self {
            period,
            timeout,
            due: now,
            heard: now,
        }
    }
}

impl Detector for Fixed {
    fn due(&self) -> Duration {
        self.due
    }

    fn sent(&mut self, now: Duration) {
        self.due = now + self.period;
    }

    fn heard(&mut self, _sent: Duration, now: Duration) {
        self.heard = self.heard.max(now);
    }

    fn suspects(&self, now: Duration) -> bool {
        now > self.heard + self.timeout
    }

    fn deadline(&self) -> Option<Duration> {
        Some(self.heard + self.timeout)
    }

    fn hurry(&mut self, now: Duration) {
        self.due = self.due.min(now);
    }

    fn set_period(&mut self, period: Duration) {
        self.period = period;
    }
}
