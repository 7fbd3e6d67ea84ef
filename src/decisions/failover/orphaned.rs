//! Orphaned fences: fences above the current term for which no primary has appeared yet.
//!
//! A fence keeps its member from confirming the old primary's writes while another member
//! is promoted. An order to promote that got no answer may be carried out at any later moment,
//! so no passing of time makes its fences void: the promotion can only be finished, by the next
//! ballot. Fences are released where no order can rely on them:
//!
//! - All of them are of this box's own ballots, and this box has no order outstanding.
//! - A majority of the members is without a fence, and none of it restarted. An order is sent only
//!   while a majority keeps its fences.
//!
//! In both cases the box must have seen every member. An unreachable member may be the new
//! primary, beyond a network partition.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Failover, Step};

/// What a member reported of its fence.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// When the probe was sent.
    began: Duration,
    promised: u64,
}

/// Fences above the current term.
#[derive(Clone, Debug)]
pub(super) struct OrphanedFences {
    /// Highest fenced term.
    term: u64,
    /// When the first fence was seen.
    first_seen: Duration,
    /// When the fence of the highest term was seen.
    newest_seen: Duration,
    /// Members that must be seen before a release, including former ones.
    required: BTreeSet<usize>,
    /// Newest reports of the members since `newest_seen`.
    reports: BTreeMap<usize, Report>,
    /// Whether the members were probed for a report since `newest_seen`.
    probed: bool,
}

impl OrphanedFences {
    /// Records a member's report. The caller handles a report of a newer primary, which ends
    /// these fences.
    pub(super) fn observe(&mut self, member: usize, promised: u64, began: Duration) {
        let is_newer = |known: &Report| began >= known.began;
        if began >= self.newest_seen && self.reports.get(&member).is_none_or(is_newer) {
            self.reports.insert(member, Report { began, promised });
        }
    }

    /// Requires new reports of all members.
    pub(super) fn reset(&mut self, now: Duration) {
        self.newest_seen = now;
        self.reports.clear();
        self.probed = false;
    }

    /// Moves a restarted member to its new index, where it counts as unseen.
    pub(super) fn move_member(&mut self, earlier: usize, member: usize) {
        self.required.remove(&earlier);
        self.required.insert(member);
        self.reports.remove(&earlier);
    }

    /// Whether every member was seen since `moment`.
    fn has_seen_all(&self, moment: Duration) -> bool {
        let seen = |member| {
            let report: Option<&Report> = self.reports.get(member);
            report.is_some_and(|report| report.began >= moment)
        };
        self.required.iter().all(seen)
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
        let mut required = self.members.clone();
        required.extend(previous.iter().flat_map(|orphaned| &orphaned.required));
        self.orphaned = Some(OrphanedFences {
            term: self.highest_promise,
            first_seen: previous.map_or(now, |orphaned| orphaned.first_seen),
            newest_seen: now,
            required,
            reports: BTreeMap::new(),
            probed: false,
        });
    }

    /// When another box should have promoted a member, and it is this box's turn.
    fn abandoned_at(&self, orphaned: &OrphanedFences) -> Duration {
        let timeout = self.settings.abandon_timeout;
        let first_seen = orphaned.first_seen;
        let resigned = self.resigned_at.map(|resigned| resigned.max(first_seen));
        let by_others = resigned.unwrap_or(first_seen + timeout);
        let by_this = self.yielded_at.map(|yielded| yielded + timeout);
        by_this.map_or(by_others, |by_this| by_others.max(by_this))
            + self.settings.stagger * self.rank
    }

    /// Whether a promised term was abandoned and its fences can't be released.
    pub(super) fn has_abandoned_promise(&self, now: Duration) -> bool {
        let orphaned = self.orphaned.as_ref();
        let orphaned = orphaned.filter(|orphaned| !self.is_releasable(orphaned));
        orphaned.is_some_and(|orphaned| now >= self.abandoned_at(orphaned))
    }

    /// Returns when orphaned fences need an action.
    pub(super) fn orphaned_due(&self) -> Option<Duration> {
        let orphaned = self.orphaned.as_ref()?;
        let abandoned_at = self.abandoned_at(orphaned);
        let may_release = self.settings.promotion_clears_fences
            && (self.is_releasable(orphaned) || !orphaned.probed);
        match may_release {
            true => Some(abandoned_at.min(self.settled_at(orphaned))),
            false => Some(abandoned_at),
        }
    }

    /// When the fences may be released. Those of other boxes are left alone for the time of a
    /// ballot, which could otherwise not get its majority.
    fn settled_at(&self, orphaned: &OrphanedFences) -> Duration {
        match self.is_own(orphaned.term) {
            true => orphaned.newest_seen,
            false => {
                let settle_time = self.settings.settle_time;
                orphaned.newest_seen + settle_time + self.settings.stagger * self.rank
            }
        }
    }

    /// Whether a fence is of this box's ballots, and no order of this box relies on it.
    fn is_own(&self, promised: u64) -> bool {
        !self.has_order_outstanding && self.own_ballots.contains(&promised)
    }

    /// Whether the fences can be released, or the members still have to be probed.
    pub(super) fn orphaned_settled(&self, now: Duration) -> bool {
        let Some(orphaned) = &self.orphaned else {
            return false;
        };
        let is_actionable = self.is_releasable(orphaned) || !orphaned.probed;
        self.settings.promotion_clears_fences && is_actionable && now >= self.settled_at(orphaned)
    }

    /// Whether every member was seen, and no order to promote can rely on the fences.
    fn is_releasable(&self, orphaned: &OrphanedFences) -> bool {
        if !self.settings.promotion_clears_fences || self.absent > 0 {
            return false;
        }
        let is_unfenced = |report: &Report| report.promised <= self.term;
        let all_own = orphaned
            .reports
            .values()
            .all(|report| is_unfenced(report) || self.is_own(report.promised));
        if all_own && orphaned.has_seen_all(orphaned.newest_seen) {
            return true;
        }
        let reports = orphaned.reports.iter();
        let unfenced = reports.filter(|(member, report)| {
            let may_have_forgotten = self.restarted.contains(member);
            self.acceptors.contains(member) && is_unfenced(report) && !may_have_forgotten
        });
        let settled = orphaned.newest_seen + self.settings.settle_time;
        unfenced.count() >= self.majority() && orphaned.has_seen_all(settled)
    }

    /// Releases the fences if no order can rely on them; otherwise probes the members.
    pub(super) fn release_or_probe(&mut self) -> Vec<Step> {
        let Some(orphaned) = self.orphaned.take() else {
            return Vec::new();
        };
        if !self.is_releasable(&orphaned) {
            self.orphaned = Some(OrphanedFences {
                probed: true,
                ..orphaned
            });
            return vec![Step::ProbeMembers];
        }
        let reports = orphaned.reports.iter();
        let fenced = reports.filter(|(_, report)| report.promised > self.term);
        let release = |(member, report): (&usize, &Report)| Step::Release {
            member: *member,
            term: report.promised,
        };
        fenced.map(release).collect()
    }
}
