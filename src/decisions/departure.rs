//! How long ago a member said that it leaves, as far as a box knows.
//!
//! What a leaving member still gets is bounded from its word on. A box that hears of it
//! late, or has just started, must not count from its own clock alone: so the age that the
//! word had when the box heard it goes along.

use std::time::Duration;

/// A member's word that it leaves, or that the list names it no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// When this box heard of it.
    heard: Duration,
    /// Age of the word by then, at the most; none where nobody can tell.
    age: Option<Duration>,
}

impl Departure {
    /// A word of this age, at the most, was heard.
    pub fn heard(now: Duration, age: Option<Duration>) -> Self {
        Self { heard: now, age }
    }

    /// A word that was heard as it was said.
    pub fn said(now: Duration) -> Self {
        Self::heard(now, Some(Duration::ZERO))
    }

    /// Age of the word; none where nobody can tell.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(self.age? + now.saturating_sub(self.heard))
    }

    /// The same with an age of at most `most`: an entry that is listed no more may only have
    /// lapsed, and has some time to come back in any case.
    pub fn at_most(self, most: Duration) -> Self {
        let age = self.age.map_or(most, |age| age.min(most));
        Self::heard(self.heard, Some(age))
    }

    /// Whether it was heard as long ago as that.
    pub fn was_heard(&self, ago: Duration, now: Duration) -> bool {
        now >= self.heard + ago
    }

    /// When the word is as old as that: at once where its age can't be told.
    pub fn due(&self, age: Duration) -> Duration {
        let known = self.age.unwrap_or(Duration::MAX);
        self.heard + age.saturating_sub(known)
    }
}
