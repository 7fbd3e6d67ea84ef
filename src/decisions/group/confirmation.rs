//! Confirmation of writes, and of reads from the primary, by a majority or the lease.

use std::time::Duration;

use super::*;

impl Group {
    pub(super) fn confirm_write(
        &mut self,
        id: u64,
        member: usize,
        position: Position,
        deadline: Duration,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let primary_suffices = self.plan.group.durability != Durability::Majority;
        if primary_suffices && !self.settings.failover.lease.is_zero() {
            return self.confirm_write_under_lease(id, member, position, deadline, now, out);
        }
        let outcome = if primary_suffices {
            Some(Outcome::Confirmed)
        } else if position.term < self.failover.term {
            Some(Outcome::Unknown)
        } else if self.failover.majority() == 1 {
            Some(Outcome::Confirmed)
        } else {
            None
        };
        if Self::report_if_known(id, outcome, out) {
            return;
        }
        let need = Need::Held(position);
        self.unconfirmed.add(id, need, Some(member), now, deadline);
        self.request_confirmation_probes(now);
    }

    /// Confirms a write that only the primary holds, provided that no other primary can
    /// have been promoted.
    fn confirm_write_under_lease(
        &mut self,
        id: u64,
        member: usize,
        position: Position,
        deadline: Duration,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let leads = Some(member) == self.failover.primary;
        let outcome = match (leads, self.holds_lease(now)) {
            (false, _) => Some(Outcome::Unknown),
            (true, true) => Some(Outcome::Confirmed),
            (true, false) => None,
        };
        if Self::report_if_known(id, outcome, out) {
            return;
        }
        // Before its first write in a term, a primary may report the previous term.
        let need = Need::Received(Position::new(self.failover.term, position.index));
        self.unconfirmed.add(id, need, Some(member), now, deadline);
        self.request_confirmation_probes(now);
    }

    /// Returns what a read from the primary must wait for. Entries that no majority holds
    /// may be lost with the primary, and a later read would then show an older state.
    pub(super) fn read_need(&self, term: u64, position: Option<Position>) -> Need {
        let primary_suffices = self.plan.group.durability != Durability::Majority;
        match position {
            Some(position) if !primary_suffices && position > self.majority_position => {
                Need::Held(position)
            }
            _ => Need::Unfenced(term),
        }
    }

    pub(super) fn confirm_read(
        &mut self,
        id: u64,
        need: Need,
        since: Duration,
        deadline: Duration,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let current = self
            .term_confirmed_at(now)
            .is_some_and(|moment| moment >= since)
            || self.holds_lease(now);
        let outcome = if self.failover.majority() == 1 {
            Some(Outcome::Confirmed)
        } else if need.term() < self.failover.term {
            Some(Outcome::Unknown)
        } else if current && matches!(need, Need::Unfenced(_)) {
            Some(Outcome::Confirmed)
        } else {
            None
        };
        if Self::report_if_known(id, outcome, out) {
            return;
        }
        self.unconfirmed.add(id, need, None, since, deadline);
        self.request_confirmation_probes(now);
    }

    /// Advances the newest position that a majority is known to hold.
    pub(super) fn update_majority_position(&mut self) {
        let term = self.failover.term;
        let log_of_term = |member: &Member| {
            let log = member.status()?.log;
            (log.term == term).then_some(log)
        };
        let mut logs: Vec<Position> = self.members.iter().filter_map(log_of_term).collect();
        logs.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(log) = logs.get(self.failover.majority() - 1) {
            self.majority_position = self.majority_position.max(*log);
        }
    }

    /// Reports the outcome of a request if it is known already. Returns whether it is.
    fn report_if_known(id: u64, outcome: Option<Outcome>, out: &mut Vec<Action>) -> bool {
        let ended = outcome.map(|outcome| (id, outcome));
        Self::report_outcomes(ended.into_iter().collect(), out);
        ended.is_some()
    }

    pub(super) fn report_outcomes(ended: Vec<(u64, Outcome)>, out: &mut Vec<Action>) {
        let report = |(id, outcome)| Action::ReportOutcome { id, outcome };
        out.extend(ended.into_iter().map(report));
    }
}
