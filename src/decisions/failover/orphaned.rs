//! Orphaned fences: fences above the current term for which no primary has appeared yet.
//!
//! A fence keeps its member from confirming the old primary's writes while another member
//! is promoted. A box may release one only if no member was or will be promoted because of
//! it: after the time that a promotion takes to become visible, the box must have seen
//! every member, and no primary of a higher term among them. An unreachable member may be
//! that primary, beyond a network partition. Then only a new ballot ends the fence, since
//! its majority overlaps with the earlier one.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Failover, Step};

/// Fences above the current term.
#[derive(Clone, Debug)]
pub(super) struct OrphanedFences {
    /// Highest fenced term.
    term: u64,
    /// When the first fence was seen.
    first_seen: Duration,
    /// When the fence of the highest term was seen.
    newest_seen: Duration,
    /// Members, including former ones, not seen since a promotion would be visible.
    unseen: BTreeSet<usize>,
    /// Whether the members were probed for a report since `newest_seen`.
    probed: bool,
}

impl OrphanedFences {
    /// Records that a member reported to a probe sent at `began`. The caller handles a report
    /// of a newer primary, which ends these fences.
    pub(super) fn observe(&mut self, member: usize, began: Duration, settle_time: Duration) {
        if began >= self.newest_seen + settle_time {
            self.unseen.remove(&member);
        }
    }
}

impl OrphanedFences {
    /// Moves a restarted member to its new index, where it counts as unseen.
    pub(super) fn move_member(&mut self, earlier: usize, member: usize) {
        self.unseen.remove(&earlier);
        self.unseen.insert(member);
    }
}

impl Failover {
    /// Records a promise above the current term.
    pub(super) fn record_orphaned(&mut self, now: Duration) {
        if self.highest_promise <= self.term {
            return;
        }
        let previous = self.orphaned.as_ref();
        if previous.is_some_and(|orphaned| orphaned.term >= self.highest_promise) {
            return;
        }
        let mut unseen = self.members.clone();
        unseen.extend(previous.iter().flat_map(|orphaned| &orphaned.unseen));
        self.orphaned = Some(OrphanedFences {
            term: self.highest_promise,
            first_seen: previous.map_or(now, |orphaned| orphaned.first_seen),
            newest_seen: now,
            unseen,
            probed: false,
        });
    }

    /// Time after a fence by which another box should have promoted a member.
    pub(super) fn abandon_delay(&self) -> Duration {
        self.settings.abandon_timeout + self.settings.stagger * self.rank
    }

    /// Whether a promised term was abandoned and its fences can't be released.
    pub(super) fn has_abandoned_promise(&self, now: Duration) -> bool {
        let orphaned = self.orphaned.as_ref();
        let orphaned = orphaned.filter(|orphaned| {
            !(self.settings.promotion_clears_fences && self.has_seen_all(orphaned))
        });
        orphaned.is_some_and(|orphaned| now >= orphaned.first_seen + self.abandon_delay())
    }

    /// Returns when orphaned fences need an action.
    pub(super) fn orphaned_due(&self) -> Option<Duration> {
        let orphaned = self.orphaned.as_ref()?;
        let abandoned_at = orphaned.first_seen + self.abandon_delay();
        match self.settings.promotion_clears_fences
            && (self.has_seen_all(orphaned) || !orphaned.probed)
        {
            true => Some(abandoned_at.min(self.settled_at(orphaned))),
            false => Some(abandoned_at),
        }
    }

    fn settled_at(&self, orphaned: &OrphanedFences) -> Duration {
        orphaned.newest_seen + self.settings.settle_time + self.settings.stagger * self.rank
    }

    /// Whether a promotion that relies on the orphaned fences would be visible by now, and
    /// the fences can be released or the members still have to be probed.
    pub(super) fn orphaned_settled(&self, now: Duration) -> bool {
        let Some(orphaned) = &self.orphaned else {
            return false;
        };
        let is_actionable = self.has_seen_all(orphaned) || !orphaned.probed;
        self.settings.promotion_clears_fences && is_actionable && now >= self.settled_at(orphaned)
    }

    /// Whether every member was seen since a promotion would be visible.
    fn has_seen_all(&self, orphaned: &OrphanedFences) -> bool {
        self.absent == 0 && orphaned.unseen.is_empty()
    }

    /// Releases the fences if every member was seen; otherwise probes the members.
    pub(super) fn release_or_probe(&mut self) -> Vec<Step> {
        let absent = self.absent;
        let Some(orphaned) = &mut self.orphaned else {
            return Vec::new();
        };
        if absent > 0 || !orphaned.unseen.is_empty() {
            orphaned.probed = true;
            return vec![Step::ProbeMembers];
        }
        self.orphaned = None;
        let others = self.members.iter().filter(|m| Some(**m) != self.primary);
        let release = |member: &usize| Step::Release { member: *member };
        others.map(release).collect()
    }
}
