//! The wait between fencing a majority and the promotion: leases run out or are revoked,
//! and the majority must keep its fences until then.

use std::time::Duration;

use super::*;
use crate::borders::member::{Role, Status};

impl Failover {
    /// Ends the wait for leases: all boxes have given up theirs on the terms before `term`.
    pub fn handle_revoked(&mut self, term: u64, now: Duration) -> Vec<Step> {
        match &mut self.phase {
            Phase::Waiting {
                term: waiting_term,
                until,
                ..
            } if *waiting_term == term => *until = now,
            _ => return Vec::new(),
        }
        self.advance_waiting(now)
    }

    /// Time before the end of the wait at which members are probed again.
    pub(super) fn probe_lead(&self) -> Duration {
        self.settings.fence_max_age / 3
    }

    /// Records whether a member still keeps its fence for the ballot's term.
    pub(super) fn record_kept_fence(&mut self, member: usize, status: &Status, began: Duration) {
        let primary = self.primary;
        let replaced = self.replaced_term();
        let Phase::Waiting { term, kept_at, .. } = &mut self.phase else {
            return;
        };
        // A primary that stepped down may not report the term for which it did.
        let stepped_down = Some(member) == primary && status.role == Role::Replica;
        let keeps_fence = status.promised == *term || (stepped_down && status.promised < *term);
        // The term of another box's new primary may happen to equal this ballot's.
        if keeps_fence && status.log.term <= replaced {
            kept_at.insert(member, began);
        } else {
            kept_at.remove(&member);
        }
    }

    /// Promotes once all leases have run out and a majority still keeps its fences. Without
    /// that check another box may have fenced the majority since, and ordered a promotion
    /// with a higher generation number.
    pub(super) fn advance_waiting(&mut self, now: Duration) -> Vec<Step> {
        let Phase::Waiting {
            term,
            since,
            until,
            kept_at,
            probed,
            ..
        } = &self.phase
        else {
            return Vec::new();
        };
        let max_age = self.settings.fence_max_age;
        let is_recent = |seen: Duration| now <= seen + max_age;
        let counted = |(member, seen): &(&usize, &Duration)| {
            self.acceptors.contains(member) && is_recent(**seen)
        };
        let majority_kept = kept_at.iter().filter(counted).count() >= self.majority();
        if now >= *until && (majority_kept || is_recent(*since)) {
            return self.promote(now);
        }
        if now >= *until + self.settings.ballot_timeout {
            return self.fail_ballot(*term, now);
        }
        let due = probed.map_or(until.saturating_sub(self.probe_lead()), |probed| {
            probed + self.settings.poll_interval
        });
        if now < due {
            return Vec::new();
        }
        if let Phase::Waiting { probed, .. } = &mut self.phase {
            *probed = Some(now);
        }
        vec![Step::ProbeMembers]
    }
}
