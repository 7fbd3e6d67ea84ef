//! Probes once a period, and repeats the probe at short intervals until it is answered.
//!
//! After "An Adaptive Failure Detector Based on Quality of Service in Peer-to-Peer Networks":
//! sends at most `tries` probes, `interval` apart, in each `period`, and suspects the member if
//! none of them is answered. Detection takes at most `period + tries * interval`.

use std::time::Duration;

use super::Detector;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between two regular probes; tau in the paper.
    pub period: Duration,
    /// Time between a probe and its repetition; Delta in the paper.
    pub interval: Duration,
    /// Maximum number of probes in a period; r in the paper.
    pub tries: u32,
}

pub struct Baseline {
    settings: Settings,
    /// Start of the current period, when its first probe was sent.
    period_start: Duration,
    /// Number of probes sent in the current period.
    probes: u32,
    next_period: Duration,
    /// Whether a probe of the current period was answered.
    answered: bool,
    suspected: bool,
    last_probe: Duration,
}

impl Baseline {
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            settings,
            period_start: now,
            probes: 0,
            next_period: now,
            answered: true,
            suspected: false,
            last_probe: now,
        }
    }
}

impl Detector for Baseline {
    fn probe_due(&self) -> Duration {
        if !self.answered && self.probes < self.settings.tries {
            return self.last_probe + self.settings.interval;
        }
        self.next_period
    }

    fn record_probe(&mut self, now: Duration) {
        let starts_period = self.probes == 0 || now >= self.next_period;
        if starts_period {
            self.suspected = self.probes > 0 && !self.answered;
            self.period_start = now;
            self.next_period = now + self.settings.period;
            self.probes = 0;
            self.answered = false;
        }
        self.probes += 1;
        self.last_probe = now;
    }

    fn record_answer(&mut self, sent: Duration, _now: Duration) {
        if sent < self.period_start {
            return;
        }
        // An answered statement counts as a probe sent at the same time and starts a new
        // period, so a busy member needs no probes.
        self.period_start = sent;
        self.next_period = sent + self.settings.period;
        self.probes = self.probes.max(1);
        self.last_probe = self.last_probe.max(sent);
        self.answered = true;
        self.suspected = false;
    }

    fn suspects(&self, now: Duration) -> bool {
        let all_sent = self.probes >= self.settings.tries;
        let late = all_sent && now >= self.last_probe + self.settings.interval;
        !self.answered && (self.suspected || late)
    }

    fn deadline(&self) -> Option<Duration> {
        let last_try = !self.answered && self.probes >= self.settings.tries;
        last_try.then(|| self.last_probe + self.settings.interval)
    }

    fn expedite_probe(&mut self, now: Duration) {
        let recent = now < self.last_probe + self.settings.interval;
        if self.answered && !recent {
            self.next_period = now;
        }
    }

    fn set_period(&mut self, period: Duration) {
        self.settings.period = period;
        if self.probes > 0 {
            self.next_period = self.period_start + period;
        }
    }
}
