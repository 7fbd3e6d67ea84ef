//! Applies probe answers, lost connections and announced primaries to the group's state.

use std::time::Duration;

use super::*;

impl Group {
    /// Handles the answer to a probe.
    pub(super) fn handle_probe(
        &mut self,
        member: usize,
        began: Duration,
        answer: Result<Status, MemberError>,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        self.members[member].pending_probes = self.members[member].pending_probes.saturating_sub(1);
        if self.members[member].removed {
            // A late answer of a removed member must not make it the primary.
            return;
        }
        match answer {
            Ok(status) if self.is_plausible(&status) => {
                self.apply_report(member, status, began, now, out)
            }
            Ok(_) => out.push(Action::Log(Note::ImplausibleReport { member })),
            Err(MemberError::Broken) => self.record_connection_loss(member, now, out),
            Err(MemberError::Busy) => self.members[member].detector.record_answer(began, now),
            Err(_) => {}
        }
    }

    /// Whether a report's term is within reach and its positions are consistent.
    pub(super) fn is_plausible(&self, status: &Status) -> bool {
        let reachable = status.promised <= self.failover.highest_promise() + MAX_TERMS_AHEAD;
        let ordered = status.log.term <= status.promised && status.log.covers(status.applied);
        reachable && ordered
    }

    /// Applies a plausible report. A report older than the newest one only shows that the
    /// member answers.
    pub(super) fn apply_report(
        &mut self,
        member: usize,
        status: Status,
        began: Duration,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let known = &mut self.members[member];
        known.detector.record_answer(began, now);
        if known.connection_lost.is_some_and(|since| began >= since) {
            known.connection_lost = None;
        }
        if known
            .report
            .as_ref()
            .is_some_and(|(_, newest)| *newest > began)
        {
            return;
        }
        self.record_outdated |= known.report.is_none();
        known.report = Some((status, began));
        known.applied = status.applied;
        let leads = status.role == Role::Primary && !self.has_lost_log(member, &status);
        self.members[member].demoted = !leads;
        if Some(member) == self.failover.primary {
            self.failover.set_demoted(!leads);
        }
        self.failover.observe(member, &status, began, now);
        self.update_promises();
        if status.role == Role::Primary && status.log.term == status.promised {
            self.adopt_primary(status.log.term, member, now, out);
        }
        if status.promised <= self.failover.term {
            self.record_unfenced(member, &status, began);
        }
        if Some(member) == self.failover.primary && status.promised == self.failover.term {
            self.history.record(began, status.log.index);
        }
        let counted = self.failover.is_acceptor(member) && self.counts_for_lease(member, now);
        if counted && !self.is_demoted_primary(member) {
            let majority = self.failover.majority();
            let fences_are_permanent = !self.settings.failover.promotion_clears_fences;
            let ended =
                self.unconfirmed
                    .observe(member, &status, began, majority, fences_are_permanent);
            Self::report_outcomes(ended, out);
        }
        self.confirm_by_lease(now, out);
        self.update_majority_position();
        self.order_to_follow(member, &status, now, out);
        self.dispatch_for_position(now, out);
        self.dispatch_for_replica(now, out);
        self.request_confirmation_probes(now);
    }

    /// Records that a member reported no fence for a later term.
    fn record_unfenced(&mut self, member: usize, status: &Status, began: Duration) {
        let promotion_clears_fences = self.settings.failover.promotion_clears_fences;
        if Some(member) == self.failover.primary {
            if status.role == Role::Primary {
                self.record_in_term(member, began);
            }
            return;
        }
        if !promotion_clears_fences {
            return self.record_in_term(member, began);
        }
        if began > self.lease_revoked_at {
            let known = &mut self.members[member];
            known.unfenced_at = known.unfenced_at.max(Some(began));
        }
        if status.log.term == self.failover.term {
            self.record_received(member, status.log.index);
        }
    }

    /// Records that a replica holds an entry of the present term. A fenced replica receives
    /// nothing, and after a promotion it follows the new primary. So the replica was in the
    /// term at every moment at which the primary had not yet written the entry.
    pub(super) fn record_received(&mut self, member: usize, index: u64) {
        if let Some(moment) = self.history.last_before(index) {
            self.record_in_term(member, moment);
        }
    }

    /// Records that a member was in the present term at a moment.
    pub(super) fn record_in_term(&mut self, member: usize, moment: Duration) {
        if moment > self.lease_revoked_at {
            let known = &mut self.members[member];
            known.in_term_at = known.in_term_at.max(Some(moment));
        }
    }

    /// Gives up the lease. Only reports requested from now on can renew it.
    pub(super) fn revoke_lease(&mut self, now: Duration) {
        self.lease_revoked_at = now;
        for member in &mut self.members {
            member.in_term_at = None;
            member.unfenced_at = None;
        }
    }

    /// Confirms the requests for which the lease, or a later proof that the term was not
    /// replaced, suffices.
    pub(super) fn confirm_by_lease(&mut self, now: Duration, out: &mut Vec<Action>) {
        let term = self.failover.term;
        let ended = match (self.holds_lease(now), self.term_confirmed_at(now)) {
            (true, _) => self.unconfirmed.confirm_leased(term),
            (false, Some(moment)) => self.unconfirmed.confirm_unreplaced(term, moment),
            (false, None) => return,
        };
        Self::report_outcomes(ended, out);
    }

    /// Whether the member is the primary and reports that it no longer leads.
    fn is_demoted_primary(&self, member: usize) -> bool {
        Some(member) == self.failover.primary && self.members[member].demoted
    }

    fn update_promises(&mut self) {
        let present = self.members.iter().filter(|member| !member.removed);
        let promised = present.filter_map(|member| member.status().map(|s| s.promised));
        if let Some(highest) = promised.max() {
            self.failover.set_highest_promise(highest);
        }
    }

    /// Orders a member that is behind the present term, or leads without being the primary,
    /// to follow the primary.
    pub(super) fn order_to_follow(
        &mut self,
        member: usize,
        status: &Status,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let Some(primary) = self.failover.primary else {
            return;
        };
        let term = self.failover.term;
        let needs_order = status.promised < term
            || status.role == Role::Primary
            || (status.log.term < term && status.stream != crate::borders::member::Stream::Live);
        let last = self.members[member].last_follow;
        let due = last.is_none_or(|last| now >= last + self.settings.follow_gap);
        if member != primary && status.promised <= term && needs_order && due {
            self.members[member].last_follow = Some(now);
            out.push(Action::Follow {
                member,
                term,
                primary,
            });
        }
    }

    /// Dispatches the requests that waited for a report of the primary's position.
    pub(super) fn dispatch_for_position(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.waiting.for_position.is_empty() {
            return;
        }
        let Some(confirmed) = self.term_confirmed_at(now) else {
            return;
        };
        let Some((status, seen)) = self.failover.primary.and_then(|p| self.members[p].report)
        else {
            return;
        };
        let known_since = seen.min(confirmed);
        let ready: Vec<u64> = self
            .waiting
            .for_position
            .iter()
            .filter(|(_, request)| request.arrived <= known_since)
            .map(|(id, _)| *id)
            .collect();
        for id in ready {
            let mut request = self.waiting.for_position.remove(&id).expect("just found");
            let reached = request.floor.is_some_and(|floor| status.log.covers(floor));
            if !reached {
                // A token beyond the primary's position counts as none.
                request.believed = request.floor.is_none();
                request.floor = Some(status.log);
            }
            self.dispatch(request, now, out);
        }
    }

    /// Dispatches the reads for which a replica is now suitable, or whose wait for one is over.
    pub(super) fn dispatch_for_replica(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.waiting.for_replica.is_empty() {
            return;
        }
        let candidates = self.candidates(now);
        let ids: Vec<u64> = self.waiting.for_replica.keys().copied().collect();
        for id in ids {
            let (request, until) = &self.waiting.for_replica[&id];
            let Some(demand) = read_demand(request) else {
                continue;
            };
            let met = candidates.iter().any(|c| demand.met_by(c));
            if met || now >= *until {
                let (request, _) = self.waiting.for_replica.remove(&id).expect("just seen");
                self.dispatch(request, now, out);
            }
        }
    }

    /// Suspects a member to which a connection was refused or lost, and probes it.
    pub(super) fn record_connection_loss(
        &mut self,
        member: usize,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let known = &mut self.members[member];
        known.connection_lost = known.connection_lost.or(Some(now));
        if !known.suspected {
            known.suspected = true;
            out.push(Action::Log(Note::Suspected { member }));
        }
        known.probe_wanted = true;
    }

    /// Adopts a primary that a peer or the table names.
    pub(super) fn learn_primary(
        &mut self,
        term: u64,
        primary: &str,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let named = |member: &Member| !member.removed && &*member.spec.name == primary;
        let found = self.members.iter().position(named);
        if let Some(member) = found {
            self.adopt_primary(term, member, now, out);
        }
    }

    /// Adopts the primary of a newer term.
    pub(super) fn adopt_primary(
        &mut self,
        term: u64,
        member: usize,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let promoted = self.failover.is_promoting(member);
        if !self.failover.adopt(term, member, now) {
            return;
        }
        if promoted {
            // The probe's answer came before the answer to the promotion.
            return self.complete_promotion(member, term, now, out);
        }
        out.push(Action::Log(Note::PrimaryAdopted { term, member }));
        self.enter_term(now, out);
    }

    /// Starts a new term: ends the confirmations of the old one, forgets what was known of
    /// the members in that term and dispatches the waiting requests.
    pub(super) fn enter_term(&mut self, now: Duration, out: &mut Vec<Action>) {
        let ended = self.unconfirmed.end_older_terms(self.failover.term);
        Self::report_outcomes(ended, out);
        self.history.clear();
        self.record_outdated = true;
        for member in &mut self.members {
            member.in_term_at = None;
            member.unfenced_at = None;
            member.last_follow = None;
        }
        self.update_probe_periods();
        self.request_probes();
        self.requeue(now, out);
        self.dispatch_for_primary(now, out);
    }

    /// Dispatches all queued requests again.
    pub(super) fn requeue(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut moved = BTreeSet::new();
        for member in &mut self.members {
            moved.extend(member.queue.drain());
        }
        for id in moved {
            if let Some((request, _)) = self.waiting.queued.remove(&id) {
                self.dispatch(request, now, out);
            }
        }
    }

    /// Dispatches the requests that wait for a primary, if one can take them.
    pub(super) fn dispatch_for_primary(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.writable_primary().is_none() || self.waiting.for_primary.is_empty() {
            return;
        }
        for (_, request) in std::mem::take(&mut self.waiting.for_primary) {
            self.dispatch(request, now, out);
        }
    }
}
