//! Dispatching requests: to a member, to its queue, or to a wait for a suitable member.

use std::time::Duration;

use rand::Rng;

use super::*;

/// Time left before a request's deadline at which it is refused, so that the refusal arrives
/// in time.
pub(super) const REFUSAL_MARGIN: Duration = Duration::from_millis(10);
/// Mean time without a refused connection after which a member's connection limit is raised
/// by one.
const LIMIT_RAISE_INTERVAL: Duration = Duration::from_millis(250);
/// A request that is queued within this time of its arrival did not wait for a primary.
const PROMPT_DISPATCH_LIMIT: Duration = Duration::from_millis(50);
/// Least time between two probes that only refresh the age of replicas.
const READ_PROBE_INTERVAL: Duration = Duration::from_millis(400);

impl Group {
    pub(super) fn dispatch(&mut self, request: Request, now: Duration, out: &mut Vec<Action>) {
        match request.target {
            Target::Primary | Target::Strict => self.dispatch_to_primary(request, now, out),
            Target::Replica { max_age } => match request.floor {
                Some(floor) if self.primary_reached(floor) => {
                    self.dispatch_read(request, Demand { floor, max_age }, now, out);
                }
                // No floor, or one beyond the primary's known position, which may be forged.
                _ => self.wait_for_position(request, now, out),
            },
        }
    }

    pub(super) fn dispatch_to_primary(
        &mut self,
        request: Request,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        match self.writable_primary() {
            Some(primary) => self.enqueue(request, primary, now, out),
            None => self.wait_for_primary(request, now, out),
        }
    }

    /// Returns the primary if it answers and a majority can confirm its writes.
    pub(super) fn writable_primary(&self) -> Option<usize> {
        let primary = self.failover.primary?;
        let known = &self.members[primary];
        let leaving = match self.settings.serve_leaving {
            true => self.failover.is_deposing() || known.drain_expired,
            false => known.spec.leaving,
        };
        let leads = !known.suspected && !self.failover.is_replaced();
        let usable = leads && !leaving && self.sees_majority();
        usable.then_some(primary)
    }

    /// Whether a majority of the members has reported and is not suspected.
    pub(super) fn sees_majority(&self) -> bool {
        let trusted = |(i, member): &(usize, &Member)| {
            self.failover.is_acceptor(*i) && !member.suspected && member.report.is_some()
        };
        let members = self.members.iter().enumerate();
        members.filter(trusted).count() >= self.failover.majority()
    }

    /// Whether a majority of the members is not suspected. Unlike [`Self::sees_majority`] this
    /// counts members without a report, which may only be short of connections for a moment.
    pub(super) fn may_see_majority(&self) -> bool {
        let unsuspected =
            |(i, member): &(usize, &Member)| self.failover.is_acceptor(*i) && !member.suspected;
        let members = self.members.iter().enumerate();
        members.filter(unsuspected).count() >= self.failover.majority()
    }

    /// Lets a request wait for a primary, or refuses it if none is expected in time.
    pub(super) fn wait_for_primary(
        &mut self,
        request: Request,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        if let Some(refusal) = self.primary_wait_refusal(&request, now) {
            let id = request.id;
            out.push(Action::Refuse { id, refusal });
            return;
        }
        self.waiting.for_primary.insert(request.id, request);
    }

    /// Returns the refusal for a request that no primary is expected to serve in time.
    pub(super) fn primary_wait_refusal(&self, request: &Request, now: Duration) -> Option<Refusal> {
        let starting = now < self.started_at + self.settings.detect.period;
        if !starting && !self.may_see_majority() {
            let wait = self.settings.cut_off_retry;
            return Some(Refusal {
                via: self.cut_off_via(),
                ..Refusal::new(Reason::CutOff, wait)
            });
        }
        if let Some(name) = self.failover.peers_reaching_primary().next() {
            return Some(Refusal {
                via: Via::Named(name.clone()),
                ..Refusal::new(Reason::CutOff, self.settings.cut_off_retry)
            });
        }
        if self.has_no_successor() {
            let wait = self.settings.cut_off_retry;
            return Some(Refusal::new(Reason::NoSuccessor, wait));
        }
        let remaining = self.failover.expected_remaining(now);
        let needed = match self.settings.wait_until_deadline {
            true => REFUSAL_MARGIN,
            false => remaining,
        };
        let late = now + needed > request.deadline;
        late.then(|| Refusal::new(Reason::Replacement, remaining))
    }

    /// Whether the primary's drain time is over and no member could take over.
    fn has_no_successor(&self) -> bool {
        let expired = |primary: usize| self.members[primary].drain_expired;
        self.failover.primary.is_some_and(expired) && self.successors() == 0
    }

    /// Whether a caller refused by a cut-off box should try another owner. Where every box is
    /// an owner, retries at each of them would only multiply the load.
    fn cut_off_via(&self) -> Via {
        match self.settings.wait_until_deadline {
            true => Via::Nobody,
            false => Via::Owner,
        }
    }

    /// Whether the primary is known to have reached a floor.
    pub(super) fn primary_reached(&self, floor: Position) -> bool {
        let Some(primary) = self.failover.primary else {
            return false;
        };
        let primary = &self.members[primary];
        let reported = primary.status().map_or(Position::ZERO, |status| status.log);
        primary.applied.max(reported).covers(floor)
    }

    /// Lets a request without a usable floor wait for a report of the primary's position,
    /// which becomes its floor.
    pub(super) fn wait_for_position(
        &mut self,
        request: Request,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        if let Some(refusal) = self
            .writable_primary()
            .map_or_else(|| self.primary_wait_refusal(&request, now), |_| None)
        {
            let id = request.id;
            out.push(Action::Refuse { id, refusal });
            return;
        }
        self.waiting.for_position.insert(request.id, request);
        self.request_probes();
    }

    pub(super) fn dispatch_read(
        &mut self,
        request: Request,
        demand: Demand,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let candidates = self.candidates(now);
        if let Some(member) = choose_member(&candidates, demand, &self.domain, &mut self.rng) {
            self.probe_if_aging(&candidates, member, demand, now);
            return self.enqueue(request, member, now, out);
        }
        let until = request.arrived + self.settings.replica_wait;
        if now < until && !candidates.is_empty() {
            self.waiting
                .for_replica
                .insert(request.id, (request, until));
            self.request_read_probes(now);
            return;
        }
        self.dispatch_read_to_primary(request, demand, now, out);
    }

    /// Sends a read that no replica can serve to the primary.
    pub(super) fn dispatch_read_to_primary(
        &mut self,
        request: Request,
        demand: Demand,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        if self.failover.term < demand.floor.term {
            // The session has seen writes of a newer primary than the known one.
            self.request_probes();
            return self.wait_for_primary(request, now, out);
        }
        self.request_read_probes(now);
        if let Some(primary) = self.writable_primary() {
            return self.enqueue(request, primary, now, out);
        }
        if let Some(refusal) = self.primary_wait_refusal(&request, now) {
            let reason = Reason::Stale;
            let refusal = Refusal { reason, ..refusal };
            let id = request.id;
            out.push(Action::Refuse { id, refusal });
            return;
        }
        self.waiting.for_primary.insert(request.id, request);
    }

    /// Requests probes when the chosen member's age exceeds half of the read's bound.
    fn probe_if_aging(
        &mut self,
        candidates: &[Candidate],
        chosen: usize,
        demand: Demand,
        now: Duration,
    ) {
        let aging = |candidate: &Candidate| candidate.age.is_none_or(|a| a * 2 > demand.max_age);
        let chosen = candidates
            .iter()
            .find(|candidate| candidate.member == chosen);
        if chosen.is_some_and(aging) {
            self.request_read_probes(now);
        }
    }

    /// Requests probes of the replicas, and of the primary, whose position tells the replicas'
    /// age.
    pub(super) fn request_read_probes(&mut self, now: Duration) {
        let gap = match self.settings.failover.lease.is_zero() {
            true => Duration::ZERO,
            false => READ_PROBE_INTERVAL,
        };
        for member in &mut self.members {
            let gap_over = member.last_probe.is_none_or(|probed| now >= probed + gap);
            member.probe_wanted |= gap_over;
        }
    }

    /// Returns the primary as a candidate for reads, if it may relieve the replicas. A primary
    /// that may have been replaced unseen is as old as the newest moment at which its term is
    /// known to have lasted. So in a partitioned failure domain it serves reads for as long
    /// as a replica would: 0.7 to 0.8 % of all answers are in time for that where a domain is cut
    /// off for 6 s of 41.
    fn primary_as_candidate(&self, now: Duration) -> Option<Candidate> {
        let cost = self.settings.primary_cost?;
        let primary = self.failover.primary?;
        let member = &self.members[primary];
        let leaves = member.drain_expired || (member.spec.leaving && !self.settings.serve_leaving);
        if member.suspected || member.removed || leaves || self.failover.is_deposing() {
            return None;
        }
        let age = match self.writable_primary() {
            Some(_) => Some(Duration::ZERO),
            None => self
                .term_confirmed_at(now)
                .map(|moment| now.saturating_sub(moment)),
        };
        Some(Candidate {
            member: primary,
            domain: member.spec.domain.clone(),
            applied: member.applied,
            age,
            wait: member.expected_wait(now, self.plan.group.slots as usize) + cost,
        })
    }

    /// Returns the members that may serve reads.
    pub(super) fn candidates(&self, now: Duration) -> Vec<Candidate> {
        let slots = self.plan.group.slots as usize;
        let confirmed = self.term_confirmed_at(now);
        let mut candidates = Vec::new();
        for (i, member) in self.members.iter().enumerate() {
            let Some(status) = member.status() else {
                continue;
            };
            let follows = status.log.term == self.failover.term && status.role == Role::Replica;
            let leaves = member.spec.leaving || member.drain_expired;
            if member.removed || member.suspected || leaves || !follows {
                continue;
            }
            let moment = self.history.last_at_or_before(member.applied.index);
            let moment = moment
                .zip(confirmed)
                .map(|(seen, confirmed)| seen.min(confirmed));
            candidates.push(Candidate {
                member: i,
                domain: member.spec.domain.clone(),
                applied: member.applied,
                age: moment.map(|moment| now.saturating_sub(moment)),
                wait: member.expected_wait(now, slots),
            });
        }
        candidates.extend(self.primary_as_candidate(now));
        candidates
    }

    /// Newest moment at which the present term is known not to have been replaced: a majority
    /// was in the term, or no member was fenced or led another term.
    pub(super) fn term_confirmed_at(&self, now: Duration) -> Option<Duration> {
        let member = |i: usize| &self.members[i];
        let unreplaced = |i: usize| member(i).in_term_at.max(member(i).unfenced_at);
        // A member that joined and never answered may not exist. It must not keep an idle
        // group from being served.
        let known = |i: &usize| !member(*i).joined_later || member(*i).report.is_some();
        // `None` is less than any moment.
        let all = self.present().filter(known).map(unreplaced).min().flatten();
        let all = all.filter(|_| self.failover.absent() == 0);
        self.majority_confirmed_at(now).max(all)
    }

    /// Newest moment at which a majority was in the present term.
    fn majority_confirmed_at(&self, now: Duration) -> Option<Duration> {
        let in_term = |(i, member): (usize, &Member)| {
            let moment = member.in_term_at.filter(|_| self.failover.is_acceptor(i))?;
            self.counts_for_lease(i, now).then_some(moment)
        };
        let members = self.members.iter().enumerate();
        let mut moments: Vec<Duration> = members.filter_map(in_term).collect();
        moments.sort_unstable_by(|a, b| b.cmp(a));
        moments.get(self.failover.majority() - 1).copied()
    }

    /// Whether this box holds the lease on the present term: a majority was in the term so
    /// recently that no other member can have been promoted.
    pub(super) fn holds_lease(&self, now: Duration) -> bool {
        let lease = self.settings.failover.lease;
        let Some(usable) = lease.checked_sub(self.settings.lease_margin) else {
            return false;
        };
        let allowed = !lease.is_zero() && self.listed;
        allowed
            && self
                .term_confirmed_at(now)
                .is_some_and(|seen| now < seen + usable)
    }

    /// Passes a request to a member's queue, which runs, keeps or refuses it.
    pub(super) fn enqueue(
        &mut self,
        request: Request,
        member: usize,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let id = request.id;
        let believed = request.believed;
        let run = self.members[member].latency.mean(now);
        let queue = &mut self.members[member].queue;
        // A request that waited for a primary has missed its latency target already.
        let prompt = now < request.arrived + PROMPT_DISPATCH_LIMIT || self.settings.serve_late;
        let aim = request.aim.filter(|_| prompt);
        let limit = request.deadline;
        let due = Deadlines {
            soft: aim.map_or(limit, |aim| limit.min(request.arrived + aim)),
            // Unless late requests are served, those that miss the target are refused.
            hard: limit,
        };
        queue.set_statement_time(run);
        match queue.admit(id, &request.partner, request.weight, now, due) {
            Admission::Run => {
                let term = self.failover.term;
                out.push(Action::Assign {
                    id,
                    member,
                    term,
                    believed,
                });
            }
            Admission::Wait => {
                self.waiting.queued.insert(id, (request, member));
            }
            Admission::Refuse { retry_after } => {
                let refusal = Refusal::overload(retry_after);
                out.push(Action::Refuse { id, refusal });
            }
        }
    }

    pub(super) fn withdraw(&mut self, id: u64) {
        self.waiting.for_primary.remove(&id);
        self.waiting.for_position.remove(&id);
        self.waiting.for_replica.remove(&id);
        if let Some((_, member)) = self.waiting.queued.remove(&id) {
            self.members[member].queue.remove(id);
        }
    }

    pub(super) fn release_slot(
        &mut self,
        member: usize,
        took: Duration,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        self.refuse_expired_in_queue(member, now, out);
        let next = self.members[member].queue.finish(took);
        self.fill_slot(member, next, now, out);
    }

    pub(super) fn set_transaction_idle(
        &mut self,
        member: usize,
        took: Duration,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        self.refuse_expired_in_queue(member, now, out);
        let next = self.members[member].queue.go_idle(took);
        self.fill_slot(member, next, now, out);
    }

    pub(super) fn end_idle_transaction(
        &mut self,
        member: usize,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        self.refuse_expired_in_queue(member, now, out);
        let next = self.members[member].queue.end_idle();
        self.fill_slot(member, next, now, out);
    }

    /// Gives a free slot to the next queued request that the member can still serve.
    fn fill_slot(
        &mut self,
        member: usize,
        mut next: Option<u64>,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        while let Some(id) = next {
            let (request, _) = self
                .waiting
                .queued
                .remove(&id)
                .expect("a request admitted from the queue is recorded as queued");
            if self.still_fits(&request, member, now) {
                self.assign(&request, member, out);
                return;
            }
            // The member's data became too old for the request while it was queued.
            next = self.members[member]
                .queue
                .finish(self.settings.service_time);
            self.dispatch(request, now, out);
        }
    }

    /// Whether a member still meets the demand of a request that was queued there.
    pub(super) fn still_fits(&self, request: &Request, member: usize, now: Duration) -> bool {
        let leads = Some(member) == self.failover.primary;
        let Some(demand) = read_demand(request) else {
            return leads;
        };
        if self.writable_primary() == Some(member) {
            return true;
        }
        let candidates = self.candidates(now);
        candidates
            .iter()
            .any(|c| c.member == member && demand.met_by(c))
    }

    pub(super) fn assign(&self, request: &Request, member: usize, out: &mut Vec<Action>) {
        out.push(Action::Assign {
            id: request.id,
            member,
            term: self.failover.term,
            believed: request.believed,
        });
    }

    /// Lowers a member's connection limit to the connections in use, without the one that the
    /// member refused.
    pub(super) fn lower_connection_limit(&mut self, member: usize, now: Duration) {
        let step = self.draw_raise_interval();
        let known = &mut self.members[member];
        let in_use = known.queue.running() + known.queue.idle_transactions();
        known.connection_limit = in_use.saturating_sub(1).min(known.connection_limit);
        known.next_limit_raise = now + step;
        known.queue.set_connection_limit(known.connection_limit);
    }

    /// Draws the time until the next raise of a connection limit. Random, so that boxes don't
    /// raise theirs at the same moment.
    fn draw_raise_interval(&mut self) -> Duration {
        LIMIT_RAISE_INTERVAL.mul_f64(self.rng.random_range(0.6..1.4))
    }

    /// Raises lowered connection limits by one after some time without a refusal.
    pub(super) fn raise_connection_limits(&mut self, now: Duration, out: &mut Vec<Action>) {
        let capacity = self.connection_capacity();
        for member in 0..self.members.len() {
            let step = self.draw_raise_interval();
            let known = &mut self.members[member];
            if known.connection_limit >= capacity || now < known.next_limit_raise {
                continue;
            }
            known.connection_limit += 1;
            known.next_limit_raise = now + step;
            known.queue.set_connection_limit(known.connection_limit);
            let next = known.queue.admit_next();
            self.fill_slot(member, next, now, out);
        }
    }

    /// Records what a statement's answer shows of the member, as a probe would.
    pub(super) fn record_answer(
        &mut self,
        member: usize,
        began: Duration,
        position: Option<Position>,
        proves_primary: bool,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let primary = Some(member) == self.failover.primary;
        let known = &mut self.members[member];
        known.detector.record_answer(began, now);
        known.latency.record_answer(now.saturating_sub(began), now);
        if primary && proves_primary {
            self.record_in_term(member, began);
        }
        if let Some(position) = position
            && position.term == self.failover.term
        {
            self.record_position(member, began, position);
        }
        self.confirm_by_lease(now, out);
    }

    /// Records that a member's log reached a position of the present term.
    fn record_position(&mut self, member: usize, began: Duration, position: Position) {
        let known = &mut self.members[member];
        known.applied = known.applied.max(position);
        if Some(member) == self.failover.primary {
            self.history.record(began, position.index);
            return;
        }
        self.record_received(member, position.index);
    }
}
