//! Members that restart under the same name.
//!
//! A restarted member has forgotten its fences and may have lost its log, so everything that
//! was known of it is void. It gets a new member index without any report, grant, latency
//! or departure; late answers for the old index are dropped.
//!
//! A restarted primary is used again only once it reports that it leads the same term with
//! all entries that it was seen to hold. Otherwise it is replaced.

use std::time::Duration;

use super::*;

impl Group {
    /// Moves a restarted member to a new index and returns the index.
    pub(super) fn restart_member(
        &mut self,
        index: usize,
        spec: &MemberSpec,
        now: Duration,
    ) -> usize {
        let earlier = &mut self.members[index];
        let reported = earlier.status().map_or(Position::ZERO, |status| status.log);
        let before = earlier
            .earlier_start
            .map_or(Position::ZERO, |start| start.log);
        let log = reported.max(earlier.applied).max(before);
        earlier.removed = true;
        earlier.superseded = true;
        earlier.report = None;
        earlier.suspected = true;
        earlier.connection_lost = Some(now);
        let mut member = Member::new(spec.clone(), 1, &self.settings, now);
        member.earlier_start = Some(EarlierStart {
            log,
            restart_seen: now,
        });
        member.probe_wanted = true;
        if self.failover.primary == Some(index) {
            // Suspected until a report shows that it still leads.
            member.connection_lost = Some(now);
            member.suspected = true;
        }
        self.members.push(member);
        let new = self.members.len() - 1;
        self.failover.move_member(index, new);
        self.pending_restarts.push((index, new));
        new
    }

    /// Drops the confirmations and failover steps that rely on members' earlier starts.
    pub(super) fn apply_restarts(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.pending_restarts.is_empty() {
            return;
        }
        for (earlier, member) in std::mem::take(&mut self.pending_restarts) {
            out.push(Action::Log(Note::Restarted { member }));
            self.unconfirmed.forget_member(earlier);
            // The restarted member may have lost entries, which leaves fewer holders.
            self.majority_position = Position::ZERO;
            let steps = self.failover.handle_restart(earlier, member, now);
            self.apply_steps(steps, now, out);
        }
        self.requeue(now, out);
    }

    /// Whether a restarted member lost entries that it was seen to hold. A primary that did
    /// must not lead any longer.
    pub(super) fn has_lost_log(&self, member: usize, status: &Status) -> bool {
        let earlier = self.members[member].earlier_start;
        earlier.is_some_and(|start| !status.log.covers(start.log))
    }

    /// Whether a member's reports count for the lease. A restarted member may have forgotten
    /// the fence on which another box's promotion relies. It counts once such a promotion
    /// would have become visible, or once every other member was seen after the restart
    /// neither leading a later term nor fenced for one. The time limit lets a group go on
    /// while another member is away: it would not be served at all meanwhile. It doesn't apply
    /// while a fence is in sight, whose promotion has to be finished.
    pub(super) fn counts_for_lease(&self, member: usize, now: Duration) -> bool {
        let Some(earlier) = self.members[member].earlier_start else {
            return true;
        };
        let settled = now >= earlier.restart_seen + self.settings.failover.settle_time;
        if settled && !self.failover.has_orphaned_fences() {
            return true;
        }
        let seen = |other: usize| {
            let other = &self.members[other];
            other.in_term_at.max(other.unfenced_at) >= Some(earlier.restart_seen)
        };
        let others_seen = self.present().filter(|other| *other != member).all(seen);
        others_seen && self.failover.absent() == 0
    }
}
