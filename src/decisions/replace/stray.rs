//! Fences that no primary has followed, where a replica's fence may be taken back.
//!
//! A fence keeps a majority from the old primary while another is promoted. Whoever takes
//! one back must know that nobody was promoted on the strength of it, nor will be: every
//! member there was has to be seen, after the time that an order takes, without a primary
//! of a higher term among them. A member that can't be seen may be that primary, on the
//! other side of a cut; then only another ballot ends the fence, since its majority
//! meets the one before.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Replace, Step};

/// Fences above the present term.
#[derive(Clone, Debug)]
pub(super) struct Stray {
    /// Highest of them.
    term: u64,
    /// When the first was seen.
    since: Duration,
    /// When the highest was seen.
    newest: Duration,
    /// Members, also former ones, that were not seen since an order would show.
    unseen: BTreeSet<usize>,
    /// The members were looked at for that.
    looked: bool,
}

impl Stray {
    /// Takes a report of a member, begun at `began`. One of a newer primary ends the
    /// term, and the stray fences with it.
    pub(super) fn observe(&mut self, member: usize, began: Duration, settled: Duration) {
        if began >= self.newest + settled {
            self.unseen.remove(&member);
        }
    }
}

impl Stray {
    /// A member started again, at another place: it has to be seen there.
    pub(super) fn rename(&mut self, earlier: usize, member: usize) {
        self.unseen.remove(&earlier);
        self.unseen.insert(member);
    }
}

impl Replace {
    /// Notes that a higher term than ours is promised.
    pub(super) fn note_stray(&mut self, now: Duration) {
        if self.highest <= self.term {
            return;
        }
        let known = self.stray.as_ref();
        if known.is_some_and(|stray| stray.term >= self.highest) {
            return;
        }
        let mut unseen = self.members.clone();
        unseen.extend(known.iter().flat_map(|stray| &stray.unseen));
        self.stray = Some(Stray {
            term: self.highest,
            since: known.map_or(now, |stray| stray.since),
            newest: now,
            unseen,
            looked: false,
        });
    }

    /// Time that another box gets to promote after its fence.
    pub(super) fn patience(&self) -> Duration {
        self.settings.abandoned + self.settings.stagger * self.rank
    }

    /// Whether a fence has waited in vain for its primary, and can't be taken back.
    pub(super) fn is_abandoned(&self, now: Duration) -> bool {
        let stray = self.stray.as_ref();
        let stray = stray.filter(|stray| !(self.settings.fences_end && stray.unseen.is_empty()));
        stray.is_some_and(|stray| now >= stray.since + self.patience())
    }

    /// When stray fences ask for something to be done.
    pub(super) fn stray_due(&self) -> Option<Duration> {
        let stray = self.stray.as_ref()?;
        let given_up = stray.since + self.patience();
        match self.settings.fences_end && (stray.unseen.is_empty() || !stray.looked) {
            true => Some(given_up.min(self.settled_at(stray))),
            false => Some(given_up),
        }
    }

    fn settled_at(&self, stray: &Stray) -> Duration {
        stray.newest + self.settings.settled + self.settings.stagger * self.rank
    }

    /// Whether a promotion on the strength of stray fences would show by now, and the
    /// fences may be taken back or looked after.
    pub(super) fn is_settled(&self, now: Duration) -> bool {
        let Some(stray) = &self.stray else {
            return false;
        };
        let helps = stray.unseen.is_empty() || !stray.looked;
        self.settings.fences_end && helps && now >= self.settled_at(stray)
    }

    /// Takes back the fences if every member was seen, else looks at them.
    pub(super) fn release_or_look(&mut self) -> Vec<Step> {
        let Some(stray) = &mut self.stray else {
            return Vec::new();
        };
        if !stray.unseen.is_empty() {
            stray.looked = true;
            return vec![Step::Look];
        }
        self.stray = None;
        let others = self.members.iter().filter(|m| Some(**m) != self.primary);
        let release = |member: &usize| Step::Release { member: *member };
        others.map(release).collect()
    }
}
