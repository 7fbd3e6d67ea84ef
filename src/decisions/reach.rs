//! Whether a box is cut off, so that callers are better served by others.
//!
//! An owner sees by itself whether it reaches a majority of its groups' members. A
//! box that does not own every group asks owners of the others, but only while
//! something speaks for a cut: it would cost each box questions to all owners.

use std::time::Duration;

/// Time between two rounds of questions: short against the seconds that a balancer
/// takes to turn to others.
const AGAIN: Duration = Duration::from_millis(500);
/// Time for which a refusal speaks for a cut.
const DOUBT: Duration = Duration::from_secs(2);

/// What a box's own groups show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Groups there are.
    pub groups: usize,
    /// Groups this box owns.
    pub owned: usize,
    /// The list of boxes, and so of owners, is not just filling.
    pub listed: bool,
    /// Owned groups of whose members it reaches a majority.
    pub reached: usize,
    /// Owned groups of whose members it reaches none; it has not found out yet about
    /// the rest.
    pub cut_off: usize,
}

impl View {
    /// What its own groups tell by themselves, if they tell enough.
    fn verdict(&self) -> Option<bool> {
        if self.reached > 0 {
            return Some(false);
        }
        (self.owned == self.groups).then_some(self.owned > 0 && self.cut_off == self.owned)
    }
}

/// Whether this box is cut off.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    view: View,
    /// When an exchange was last refused because its owner reached no majority.
    refused: Option<Duration>,
    asked: Option<Duration>,
    cut_off: bool,
}

impl Reach {
    pub fn is_cut_off(&self) -> bool {
        self.cut_off
    }

    /// Takes what the box's own groups show.
    pub fn see(&mut self, view: View) {
        self.view = view;
        if let Some(verdict) = view.verdict() {
            self.cut_off = verdict;
        }
    }

    /// An owner reached no majority of its group, or no owner was reached.
    pub fn refuse(&mut self, now: Duration) {
        self.refused = Some(now);
    }

    /// When owners are to be asked next, if at all.
    pub fn due(&self, now: Duration) -> Option<Duration> {
        if self.view.verdict().is_some() {
            return None;
        }
        let doubted = self.refused.is_some_and(|refused| now < refused + DOUBT);
        // A box that starts again in a cut failure domain is to know it before callers
        // do. When all boxes start for the first time, all would ask the few that the
        // list names by then.
        let fresh = self.asked.is_none() && self.view.listed;
        let wanted = self.cut_off || self.view.owned > 0 || doubted || fresh;
        let next = self.asked.map_or(now, |asked| asked + AGAIN);
        wanted.then_some(next)
    }

    /// Owners are being asked.
    pub fn ask(&mut self, now: Duration) {
        self.asked = Some(now);
    }

    /// Takes the owners' words: whether each reaches a majority of its group, as far as
    /// they can tell. Those that have just started can't, and would bring back a whole
    /// failure domain in the middle of a cut.
    pub fn answer(&mut self, words: &[Option<bool>]) {
        let told = words.iter().flatten();
        if self.view.verdict().is_some() || told.clone().count() == 0 {
            return;
        }
        self.cut_off = told.clone().all(|reached| !reached);
    }
}
