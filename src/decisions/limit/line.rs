//! Operations that wait for their turn under a part of a workspace's limit.
//!
//! The load it answers: a workspace that asks for somewhat more than its limit for a moment.
//! Refused at once, its callers come back within milliseconds and use up their tries;
//! waiting, they are served in time. An operation waits only if its turn comes in the time
//! that its caller has for it: under a load that stays too high the line stays short, and
//! those that are served are on time. One that has little time goes before those that have
//! more; who then can't be served in time any more is told to come back, the one with the
//! most time first: it can best afford to.

use std::collections::BTreeSet;
use std::time::Duration;

/// Operations that wait in one line, at most: joining looks at each of them.
const LONGEST: usize = 512;

/// When turns come: the first one, and the time between two.
#[derive(Clone, Copy, Debug)]
pub struct Turns {
    pub first: Duration,
    pub gap: Duration,
}

impl Turns {
    /// When the turn of this place in the line comes.
    pub fn of(&self, place: usize) -> Duration {
        self.first + self.gap.saturating_mul(place as u32)
    }
}

/// Operations in the order of their turns: the earliest end first.
#[derive(Clone, Debug, Default)]
pub struct Line {
    /// Latest moment of a turn, and whose it is.
    waiting: BTreeSet<(Duration, u64)>,
}

impl Line {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Lets an operation wait for a turn until `end`. False where its turn would come later.
    pub fn join(&mut self, id: u64, end: Duration, turns: Turns) -> bool {
        let entry = (end, id);
        let place = self.waiting.range(..entry).count();
        if place >= LONGEST || turns.of(place) > end {
            return false;
        }
        self.waiting.insert(entry);
        self.make_room(place, turns);
        true
    }

    /// Takes the last ones out until those behind a new one get their turns in time.
    fn make_room(&mut self, place: usize, turns: Turns) {
        loop {
            let mut behind = self.waiting.iter().enumerate().skip(place);
            let late = behind.any(|(i, (end, _))| turns.of(i) > *end);
            if !late && self.waiting.len() <= LONGEST {
                return;
            }
            self.waiting.pop_last();
        }
    }

    /// Place of an operation in the line; none where it does not wait.
    pub fn place(&self, id: u64, end: Duration) -> Option<usize> {
        let entry = (end, id);
        let waits = self.waiting.contains(&entry);
        waits.then(|| self.waiting.range(..entry).count())
    }

    pub fn leave(&mut self, id: u64, end: Duration) {
        self.waiting.remove(&(end, id));
    }
}
