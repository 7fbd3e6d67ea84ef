//! How long ago a member announced that it leaves, as far as a box knows.
//!
//! The time for which a leaving member is still sent statements runs from its announcement.
//! A box may learn of the announcement late, so the announcement's age at that time is
//! recorded too.

use std::time::Duration;

/// A member's announcement that it leaves, or the removal of its entry from the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// When this box learned of the departure.
    learned: Duration,
    /// Maximum age of the announcement at that time; `None` if unknown.
    age: Option<Duration>,
}

impl Departure {
    /// Creates a departure learned of now, whose announcement is at most `age` old.
    pub fn with_age(now: Duration, age: Option<Duration>) -> Self {
        Self { learned: now, age }
    }

    /// Creates a departure announced now.
    pub fn announced(now: Duration) -> Self {
        Self::with_age(now, Some(Duration::ZERO))
    }

    /// Returns the maximum age of the announcement; `None` if unknown.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(self.age? + now.saturating_sub(self.learned))
    }

    /// Limits the age to `max_age`. The entry of a member that still serves may
    /// have expired, so the member gets some time to be listed again in any case.
    pub fn cap_age(self, max_age: Duration) -> Self {
        let age = self.age.map_or(max_age, |age| age.min(max_age));
        Self::with_age(self.learned, Some(age))
    }

    /// Whether this box learned of the departure at least `ago` before `now`.
    pub fn known_for(&self, ago: Duration, now: Duration) -> bool {
        now >= self.learned + ago
    }

    /// Returns when the announcement reaches `age`: at once if its age is unknown.
    pub fn time_at_age(&self, age: Duration) -> Duration {
        let known = self.age.unwrap_or(Duration::MAX);
        self.learned + age.saturating_sub(known)
    }
}
