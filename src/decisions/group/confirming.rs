//! Waits for a majority: of writes, and of reads from the primary.

use std::time::Duration;

use super::*;

impl Group {
    pub(super) fn wrote(
        &mut self,
        id: u64,
        member: usize,
        position: Position,
        deadline: Duration,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let alone = self.plan.group.durability != Durability::Majority;
        if alone && !self.settings.replace.lease.is_zero() {
            return self.wrote_alone(id, member, position, deadline, now, out);
        }
        let outcome = if alone {
            Some(Outcome::Confirmed)
        } else if position.term < self.replace.term {
            Some(Outcome::Unknown)
        } else if self.replace.majority() == 1 {
            Some(Outcome::Confirmed)
        } else {
            None
        };
        if Self::settle_now(id, outcome, out) {
            return;
        }
        let need = Need::Held(position);
        self.confirm.add(id, need, Some(member), now, deadline);
        self.want_for_confirmation(now);
    }

    /// A write that only the primary holds is acknowledged while no other primary can
    /// have been promoted.
    fn wrote_alone(
        &mut self,
        id: u64,
        member: usize,
        position: Position,
        deadline: Duration,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let leads = Some(member) == self.replace.primary;
        let outcome = match (leads, self.is_leased(now)) {
            (false, _) => Some(Outcome::Unknown),
            (true, true) => Some(Outcome::Confirmed),
            (true, false) => None,
        };
        if Self::settle_now(id, outcome, out) {
            return;
        }
        // A primary that has not written yet in its term may show the one before.
        let need = Need::Received(Position::new(self.replace.term, position.index));
        self.confirm.add(id, need, Some(member), now, deadline);
        self.want_for_confirmation(now);
    }

    /// What a read from the primary must wait for. What no majority holds yet may
    /// be lost with this primary, and then its reader would go back in time.
    pub(super) fn read_need(&self, term: u64, position: Option<Position>) -> Need {
        let sure = self.plan.group.durability != Durability::Majority;
        match position {
            Some(position) if !sure && position > self.held => Need::Held(position),
            _ => Need::Unfenced(term),
        }
    }

    pub(super) fn verify(
        &mut self,
        id: u64,
        need: Need,
        since: Duration,
        deadline: Duration,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let seen = self.verified(now).is_some_and(|moment| moment >= since) || self.is_leased(now);
        let outcome = if self.replace.majority() == 1 {
            Some(Outcome::Confirmed)
        } else if need.term() < self.replace.term {
            Some(Outcome::Unknown)
        } else if seen && matches!(need, Need::Unfenced(_)) {
            Some(Outcome::Confirmed)
        } else {
            None
        };
        if Self::settle_now(id, outcome, out) {
            return;
        }
        self.confirm.add(id, need, None, since, deadline);
        self.want_for_confirmation(now);
    }

    /// Moves up the newest position that a majority is known to hold.
    pub(super) fn note_held(&mut self) {
        let term = self.replace.term;
        let held = |member: &Member| {
            let log = member.status()?.log;
            (log.term == term).then_some(log)
        };
        let mut logs: Vec<Position> = self.members.iter().filter_map(held).collect();
        logs.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(log) = logs.get(self.replace.majority() - 1) {
            self.held = self.held.max(*log);
        }
    }

    /// Ends a wait that need not begin.
    fn settle_now(id: u64, outcome: Option<Outcome>, out: &mut Vec<Action>) -> bool {
        let settled = outcome.map(|outcome| (id, outcome));
        Self::settle(settled.into_iter().collect(), out);
        settled.is_some()
    }

    pub(super) fn settle(ended: Vec<(u64, Outcome)>, out: &mut Vec<Action>) {
        let settle = |(id, outcome)| Action::Settle { id, outcome };
        out.extend(ended.into_iter().map(settle));
    }
}
