//! Probes once a period and again at short intervals while no answer comes.
//!
//! After "An Adaptive Failure Detector Based on Quality of Service in
//! Peer-to-Peer Networks": at most `tries` probes, `interval` apart, in each
//! `period`; suspicion when none of them was answered. Detection takes at most
//! `period + tries * interval`.

use std::time::Duration;

use super::Detector;

/// What the detector is set to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// tau.
    pub period: Duration,
    /// Delta.
    pub interval: Duration,
    /// r.
    pub tries: u32,
}

pub struct Baseline {
    settings: Settings,
    /// Start of the present period, the sending of its first probe.
    start: Duration,
    sent: u32,
    /// Start of the next period.
    next: Duration,
    heard: bool,
    suspected: bool,
    last: Duration,
}

impl Baseline {
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            settings,
            start: now,
            sent: 0,
            next: now,
            heard: true,
            suspected: false,
            last: now,
        }
    }
}

impl Detector for Baseline {
    fn due(&self) -> Duration {
        if !self.heard && self.sent < self.settings.tries {
            return self.last + self.settings.interval;
        }
        self.next
    }

    fn sent(&mut self, now: Duration) {
        let fresh = self.sent == 0 || now >= self.next;
        if fresh {
            self.suspected = self.sent > 0 && !self.heard;
            self.start = now;
            self.next = now + self.settings.period;
            self.sent = 0;
            self.heard = false;
        }
        self.sent += 1;
        self.last = now;
    }

    fn heard(&mut self, sent: Duration, _now: Duration) {
        if sent < self.start {
            return;
        }
        // An answered statement is as good as a probe sent at the same time: the
        // period starts anew, and a busy member costs no probes.
        self.start = sent;
        self.next = sent + self.settings.period;
        self.sent = self.sent.max(1);
        self.last = self.last.max(sent);
        self.heard = true;
        self.suspected = false;
    }

    fn suspects(&self, now: Duration) -> bool {
        let all_sent = self.sent >= self.settings.tries;
        let late = all_sent && now >= self.last + self.settings.interval;
        !self.heard && (self.suspected || late)
    }

    fn deadline(&self) -> Option<Duration> {
        let last_try = !self.heard && self.sent >= self.settings.tries;
        last_try.then(|| self.last + self.settings.interval)
    }

    fn hurry(&mut self, now: Duration) {
        let recent = now < self.last + self.settings.interval;
        if self.heard && !recent {
            self.next = now;
        }
    }

    fn set_period(&mut self, period: Duration) {
        self.settings.period = period;
        if self.sent > 0 {
            self.next = self.start + period;
        }
    }
}
