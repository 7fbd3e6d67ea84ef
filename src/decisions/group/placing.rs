//! Placing requests: at a member, in its queue, or held until there is one.

use std::time::Duration;

use rand::Rng;

use super::*;

/// Time kept for a refusal's way back when a request has waited as long as it may.
pub(super) const PATIENT_END: Duration = Duration::from_millis(10);
/// Time without a refusal after which one more statement is tried at a member whose
/// connections were all taken.
const ROOM_STEP: Duration = Duration::from_millis(250);
/// A request that was placed within this time did not wait for a primary.
const FRESH: Duration = Duration::from_millis(50);
/// Least time between two looks at replicas that are only known to be old.
const REFRESH_GAP: Duration = Duration::from_millis(400);

impl Group {
    pub(super) fn place(&mut self, request: Request, now: Duration, out: &mut Vec<Action>) {
        match request.target {
            Target::Primary | Target::Strict => self.place_primary(request, now, out),
            Target::Replica { max_age } => match request.floor {
                Some(floor) if self.primary_reached(floor) => {
                    self.place_read(request, Demand { floor, max_age }, now, out);
                }
                // Without a floor, or with one that may be forged.
                _ => self.place_floorless(request, now, out),
            },
        }
    }

    pub(super) fn place_primary(&mut self, request: Request, now: Duration, out: &mut Vec<Action>) {
        match self.writable() {
            Some(primary) => self.enqueue(request, primary, now, out),
            None => self.park(request, now, out),
        }
    }

    /// The primary, if it answers and a majority can confirm its writes.
    pub(super) fn writable(&self) -> Option<usize> {
        let primary = self.replace.primary?;
        let known = &self.members[primary];
        let leaving = match self.settings.serve_leaving {
            true => self.replace.is_deposing() || known.spent,
            false => known.spec.leaving,
        };
        let fine = !known.suspected && !leaving && self.sees_majority();
        fine.then_some(primary)
    }

    pub(super) fn sees_majority(&self) -> bool {
        let trusted = |(i, member): &(usize, &Member)| {
            self.replace.accepts(*i) && !member.suspected && member.view.is_some()
        };
        let members = self.members.iter().enumerate();
        members.filter(trusted).count() >= self.replace.majority()
    }

    /// Whether a majority is seen, or may be: a member that was not heard of yet may
    /// only have no connection to spare for a moment.
    pub(super) fn may_see_majority(&self) -> bool {
        let hoped = |(i, member): &(usize, &Member)| self.replace.accepts(*i) && !member.suspected;
        let members = self.members.iter().enumerate();
        members.filter(hoped).count() >= self.replace.majority()
    }

    /// Holds a request for a primary while one is to be expected in time.
    pub(super) fn park(&mut self, request: Request, now: Duration, out: &mut Vec<Action>) {
        if let Some(refusal) = self.hopeless(&request, now) {
            let id = request.id;
            out.push(Action::Refuse { id, refusal });
            return;
        }
        self.waiting.parked.insert(request.id, request);
    }

    /// Why waiting for a primary makes no sense for this request.
    pub(super) fn hopeless(&self, request: &Request, now: Duration) -> Option<Refusal> {
        let looking = now < self.born + self.settings.detect.period;
        if !looking && !self.may_see_majority() {
            let wait = self.settings.cut_off_retry;
            return Some(Refusal {
                via: self.cut_off_via(),
                ..Refusal::new(Reason::CutOff, wait)
            });
        }
        if let Some(name) = self.replace.reaching().next() {
            return Some(Refusal {
                via: Via::Named(name.clone()),
                ..Refusal::new(Reason::CutOff, self.settings.cut_off_retry)
            });
        }
        if self.is_last_spent() {
            let wait = self.settings.cut_off_retry;
            return Some(Refusal::new(Reason::NoSuccessor, wait));
        }
        let remaining = self.replace.remaining(now);
        let needed = match self.settings.patient {
            true => PATIENT_END,
            false => remaining,
        };
        let late = now + needed > request.deadline;
        late.then(|| Refusal::new(Reason::Replacement, remaining))
    }

    /// Whether the primary has left and nobody could lead instead.
    fn is_last_spent(&self) -> bool {
        let spent = |primary: usize| self.members[primary].spent;
        self.replace.primary.is_some_and(spent) && self.successors() == 0
    }

    /// Few owners may be cut off where others are not. Where every box is an owner,
    /// asking them in turn would only pass the load on.
    fn cut_off_via(&self) -> Via {
        match self.settings.patient {
            true => Via::Nobody,
            false => Via::Owner,
        }
    }

    /// Whether the primary is known to have come as far as a floor.
    pub(super) fn primary_reached(&self, floor: Position) -> bool {
        let Some(primary) = self.replace.primary else {
            return false;
        };
        let primary = &self.members[primary];
        let reported = primary.status().map_or(Position::ZERO, |status| status.log);
        primary.applied.max(reported).covers(floor)
    }

    /// A session without a token first learns where the primary is.
    pub(super) fn place_floorless(
        &mut self,
        request: Request,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        if let Some(refusal) = self
            .writable()
            .map_or_else(|| self.hopeless(&request, now), |_| None)
        {
            let id = request.id;
            out.push(Action::Refuse { id, refusal });
            return;
        }
        self.waiting.floorless.insert(request.id, request);
        self.want_all();
    }

    pub(super) fn place_read(
        &mut self,
        request: Request,
        demand: Demand,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let candidates = self.candidates(now);
        if let Some(member) = choose_member(&candidates, demand, &self.domain, &mut self.dice) {
            self.refresh(&candidates, member, demand, now);
            return self.enqueue(request, member, now, out);
        }
        let until = request.arrived + self.settings.replica_wait;
        if now < until && !candidates.is_empty() {
            self.waiting.lagging.insert(request.id, (request, until));
            self.want_for_reads(now);
            return;
        }
        self.place_fallback(request, demand, now, out);
    }

    /// No replica meets the demand: the primary does, if it is not replaced.
    pub(super) fn place_fallback(
        &mut self,
        request: Request,
        demand: Demand,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        if self.replace.term < demand.floor.term {
            // A newer primary than ours wrote what this session saw.
            self.want_all();
            return self.park(request, now, out);
        }
        self.want_for_reads(now);
        if let Some(primary) = self.writable() {
            return self.enqueue(request, primary, now, out);
        }
        if let Some(refusal) = self.hopeless(&request, now) {
            let reason = Reason::Stale;
            let refusal = Refusal { reason, ..refusal };
            let id = request.id;
            out.push(Action::Refuse { id, refusal });
            return;
        }
        self.waiting.parked.insert(request.id, request);
    }

    /// Asks ahead of need when the age of the chosen one comes near the bound.
    fn refresh(&mut self, candidates: &[Candidate], chosen: usize, demand: Demand, now: Duration) {
        let old = |candidate: &Candidate| candidate.age.is_none_or(|a| a * 2 > demand.max_age);
        let chosen = candidates
            .iter()
            .find(|candidate| candidate.member == chosen);
        if chosen.is_some_and(old) {
            self.want_for_reads(now);
        }
    }

    /// Looks at the replicas, and at the primary that tells how old they are.
    pub(super) fn want_for_reads(&mut self, now: Duration) {
        let gap = match self.settings.replace.lease.is_zero() {
            true => Duration::ZERO,
            false => REFRESH_GAP,
        };
        for member in &mut self.members {
            let rested = member.probed.is_none_or(|probed| now >= probed + gap);
            member.wanted |= rested;
        }
    }

    /// The primary, where it may relieve slow replicas. One that may have been replaced
    /// unseen is as old as the newest moment at which it had not been: in a cut failure
    /// domain it serves reads for as long as a replica there would. That is 0.7 to 0.8% of
    /// all answers more in time, on three deployments whose domains are cut for 6 s in 41.
    fn primary_as_candidate(&self, now: Duration) -> Option<Candidate> {
        let cost = self.settings.primary_cost?;
        let primary = self.replace.primary?;
        let member = &self.members[primary];
        let leaves = member.spent || (member.spec.leaving && !self.settings.serve_leaving);
        if member.suspected || member.gone || leaves || self.replace.is_deposing() {
            return None;
        }
        let age = match self.writable() {
            Some(_) => Some(Duration::ZERO),
            None => self.verified(now).map(|moment| now.saturating_sub(moment)),
        };
        Some(Candidate {
            member: primary,
            domain: member.spec.domain.clone(),
            applied: member.applied,
            age,
            wait: member.wait(now, self.plan.group.slots as usize) + cost,
        })
    }

    pub(super) fn candidates(&self, now: Duration) -> Vec<Candidate> {
        let slots = self.plan.group.slots as usize;
        let verified = self.verified(now);
        let mut candidates = Vec::new();
        for (i, member) in self.members.iter().enumerate() {
            let Some(status) = member.status() else {
                continue;
            };
            let follows = status.log.term == self.replace.term && status.role == Role::Replica;
            let leaves = member.spec.leaving || member.spent;
            if member.gone || member.suspected || leaves || !follows {
                continue;
            }
            let moment = self.history.last_at_or_before(member.applied.index);
            let moment = moment.zip(verified).map(|(seen, sure)| seen.min(sure));
            candidates.push(Candidate {
                member: i,
                domain: member.spec.domain.clone(),
                applied: member.applied,
                age: moment.map(|moment| now.saturating_sub(moment)),
                wait: member.wait(now, slots),
            });
        }
        candidates.extend(self.primary_as_candidate(now));
        candidates
    }

    /// Newest moment at which our term is known not to have been replaced: a majority
    /// kept to it, or every member was seen without a fence, and none led another.
    pub(super) fn verified(&self, now: Duration) -> Option<Duration> {
        let member = |i: usize| &self.members[i];
        let clear = |i: usize| member(i).kept.max(member(i).clear);
        // One that joined and never answered may be no member at all; it must not keep an
        // idle group from being served.
        let known = |i: &usize| !member(*i).joined || member(*i).view.is_some();
        // Nothing is less than any moment.
        let all = self.present().filter(known).map(clear).min().flatten();
        self.majority_kept(now).max(all)
    }

    fn majority_kept(&self, now: Duration) -> Option<Duration> {
        let ours = |(i, member): (usize, &Member)| {
            let kept = member.kept.filter(|_| self.replace.accepts(i))?;
            self.vouches(i, now).then_some(kept)
        };
        let members = self.members.iter().enumerate();
        let mut moments: Vec<Duration> = members.filter_map(ours).collect();
        moments.sort_unstable_by(|a, b| b.cmp(a));
        moments.get(self.replace.majority() - 1).copied()
    }

    /// Whether the lease on the present term holds: a majority was seen to keep to
    /// it so lately that no promotion can have followed.
    pub(super) fn is_leased(&self, now: Duration) -> bool {
        let lease = self.settings.replace.lease;
        let Some(margin) = lease.checked_sub(self.settings.lease_margin) else {
            return false;
        };
        let may = !lease.is_zero() && self.listed;
        may && self.verified(now).is_some_and(|seen| now < seen + margin)
    }

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
        let fair = &mut self.members[member].fair;
        // Who waited for a primary is late anyhow; all others are worth most in time.
        let fresh = now < request.arrived + FRESH || self.settings.serve_late;
        let aim = request.aim.filter(|_| fresh);
        let limit = request.deadline;
        let due = Due {
            aim: aim.map_or(limit, |aim| limit.min(request.arrived + aim)),
            // Without late answers, all that passes the aim is refused.
            limit,
        };
        fair.set_run(run);
        match fair.arrive(id, &request.partner, request.weight, now, due) {
            Admission::Run => {
                let term = self.replace.term;
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
        self.waiting.parked.remove(&id);
        self.waiting.floorless.remove(&id);
        self.waiting.lagging.remove(&id);
        if let Some((_, member)) = self.waiting.queued.remove(&id) {
            self.members[member].fair.withdraw(id);
        }
    }

    pub(super) fn release(
        &mut self,
        member: usize,
        took: Duration,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        self.expire_queue(member, now, out);
        let next = self.members[member].fair.release(took);
        self.fill(member, next, now, out);
    }

    pub(super) fn rest(
        &mut self,
        member: usize,
        took: Duration,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        self.expire_queue(member, now, out);
        let next = self.members[member].fair.rest(took);
        self.fill(member, next, now, out);
    }

    pub(super) fn vacate(&mut self, member: usize, now: Duration, out: &mut Vec<Action>) {
        self.expire_queue(member, now, out);
        let next = self.members[member].fair.vacate();
        self.fill(member, next, now, out);
    }

    /// Gives a free place to the first of those whose turn it is that it still fits.
    fn fill(&mut self, member: usize, mut next: Option<u64>, now: Duration, out: &mut Vec<Action>) {
        while let Some(id) = next {
            let (request, _) = self
                .waiting
                .queued
                .remove(&id)
                .expect("who waits is queued");
            if self.still_fits(&request, member, now) {
                self.assign_queued(&request, member, out);
                return;
            }
            // It grew too old while the request waited.
            next = self.members[member].fair.release(self.settings.service);
            self.place(request, now, out);
        }
    }

    /// Whether a member still meets what a request demanded when it was queued.
    pub(super) fn still_fits(&self, request: &Request, member: usize, now: Duration) -> bool {
        let leads = Some(member) == self.replace.primary;
        let Some(demand) = demand_of(request) else {
            return leads;
        };
        if self.writable() == Some(member) {
            return true;
        }
        let candidates = self.candidates(now);
        candidates
            .iter()
            .any(|c| c.member == member && demand.met_by(c))
    }

    pub(super) fn assign_queued(&self, request: &Request, member: usize, out: &mut Vec<Action>) {
        out.push(Action::Assign {
            id: request.id,
            member,
            term: self.replace.term,
            believed: request.believed,
        });
    }

    /// A member refused a connection: what runs there besides is what fits for now.
    pub(super) fn full(&mut self, member: usize, now: Duration) {
        let step = self.room_step();
        let known = &mut self.members[member];
        let held = known.fair.running() + known.fair.resting();
        known.room = held.saturating_sub(1).min(known.room);
        known.widen = now + step;
        known.fair.set_connections(known.room);
    }

    /// Drawn anew each time, so that boxes do not try in step.
    fn room_step(&mut self) -> Duration {
        ROOM_STEP.mul_f64(self.dice.random_range(0.6..1.4))
    }

    /// Tries one more statement at once where no refusal came for a while.
    pub(super) fn widen(&mut self, now: Duration, out: &mut Vec<Action>) {
        let most = self.most_connections();
        for member in 0..self.members.len() {
            let step = self.room_step();
            let known = &mut self.members[member];
            if known.room >= most || now < known.widen {
                continue;
            }
            known.room += 1;
            known.widen = now + step;
            known.fair.set_connections(known.room);
            let next = known.fair.admit_next();
            self.fill(member, next, now, out);
        }
    }

    /// An ordinary answer tells of a member what a probe would.
    pub(super) fn answered(
        &mut self,
        member: usize,
        began: Duration,
        position: Option<Position>,
        led: bool,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let primary = Some(member) == self.replace.primary;
        let known = &mut self.members[member];
        known.detector.record_answer(began, now);
        known.latency.answered(now.saturating_sub(began), now);
        if primary && led {
            self.keep(member, began);
        }
        if let Some(position) = position
            && position.term == self.replace.term
        {
            self.reached(member, began, position);
        }
        self.settle_leased(now, out);
    }

    /// A member's log reached a position.
    fn reached(&mut self, member: usize, began: Duration, position: Position) {
        let known = &mut self.members[member];
        known.applied = known.applied.max(position);
        if Some(member) == self.replace.primary {
            self.history.record(began, position.index);
            return;
        }
        self.received(member, position.index);
    }
}
