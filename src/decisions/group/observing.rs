//! What reports and answers tell of the members.

use std::time::Duration;

use super::*;

impl Group {
    pub(super) fn status(
        &mut self,
        member: usize,
        began: Duration,
        answer: Result<Status, MemberError>,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        self.members[member].probes = self.members[member].probes.saturating_sub(1);
        if self.members[member].gone {
            // A late answer: what it says of who leads must not be taken.
            return;
        }
        match answer {
            Ok(status) if self.sane(&status) => self.observe(member, status, began, now, out),
            Ok(_) => out.push(Action::Note(Note::Nonsense { member })),
            Err(MemberError::Broken) => self.broken(member, now, out),
            Err(MemberError::Busy) => self.members[member].detector.record_answer(began, now),
            Err(_) => {}
        }
    }

    /// Whether a report can be true.
    pub(super) fn sane(&self, status: &Status) -> bool {
        let near = status.promised <= self.replace.highest() + MOST_TERMS_AHEAD;
        let ordered = status.log.term <= status.promised && status.log.covers(status.applied);
        near && ordered
    }

    pub(super) fn observe(
        &mut self,
        member: usize,
        status: Status,
        began: Duration,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let known = &mut self.members[member];
        known.detector.record_answer(began, now);
        if known.broken.is_some_and(|since| began >= since) {
            known.broken = None;
        }
        if known
            .view
            .as_ref()
            .is_some_and(|(_, newest)| *newest > began)
        {
            return;
        }
        known.view = Some((status, began));
        known.applied = status.applied;
        let leads = status.role == Role::Primary && !self.has_lost_log(member, &status);
        self.members[member].demoted = !leads;
        if Some(member) == self.replace.primary {
            self.replace.set_demoted(!leads);
        }
        self.replace.observe(member, &status, began, now);
        self.note_promises();
        if status.role == Role::Primary && status.log.term == status.promised {
            self.adopt(status.log.term, member, now, out);
        }
        if status.promised <= self.replace.term {
            self.note_clear(member, &status, began);
        }
        if Some(member) == self.replace.primary && status.promised == self.replace.term {
            self.history.record(began, status.log.index);
        }
        let counts = self.replace.accepts(member) && self.vouches(member, now);
        if counts && !self.is_demoted(member) {
            let majority = self.replace.majority();
            let vouches = !self.settings.replace.fences_end;
            let ended = self
                .confirm
                .observe(member, &status, began, majority, vouches);
            Self::settle(ended, out);
        }
        self.settle_leased(now, out);
        self.note_held();
        self.repair(member, &status, now, out);
        self.wake_floorless(now, out);
        self.wake_lagging(now, out);
        self.want_for_confirmation(now);
    }

    /// A member was seen without a fence.
    fn note_clear(&mut self, member: usize, status: &Status, began: Duration) {
        let fences_end = self.settings.replace.fences_end;
        if Some(member) == self.replace.primary {
            if status.role == Role::Primary {
                self.keep(member, began);
            }
            return;
        }
        if !fences_end {
            return self.keep(member, began);
        }
        if began > self.revoked {
            let known = &mut self.members[member];
            known.clear = known.clear.max(Some(began));
        }
        if status.log.term == self.replace.term {
            self.received(member, status.log.index);
        }
    }

    /// A replica holds an entry of the present term. A fenced one receives nothing, and
    /// after a promotion it follows the new primary: so it kept to the term when the
    /// primary had not yet come so far.
    pub(super) fn received(&mut self, member: usize, index: u64) {
        if let Some(moment) = self.history.last_before(index) {
            self.keep(member, moment);
        }
    }

    /// A member is known to have kept to the present term at a moment.
    pub(super) fn keep(&mut self, member: usize, moment: Duration) {
        if moment > self.revoked {
            let known = &mut self.members[member];
            known.kept = known.kept.max(Some(moment));
        }
    }

    /// Gives up the lease: only what is seen from now on counts.
    pub(super) fn revoke(&mut self, now: Duration) {
        self.revoked = now;
        for member in &mut self.members {
            member.kept = None;
            member.clear = None;
        }
    }

    /// Ends the waits that need no more than the lease.
    pub(super) fn settle_leased(&mut self, now: Duration, out: &mut Vec<Action>) {
        let term = self.replace.term;
        let ended = match (self.is_leased(now), self.verified(now)) {
            (true, _) => self.confirm.leased(term),
            (false, Some(moment)) => self.confirm.unreplaced(term, moment),
            (false, None) => return,
        };
        Self::settle(ended, out);
    }

    /// A primary that leads no more vouches for nothing.
    fn is_demoted(&self, member: usize) -> bool {
        Some(member) == self.replace.primary && self.members[member].demoted
    }

    fn note_promises(&mut self) {
        let reports = self.members.iter().filter(|member| !member.gone);
        let promised = reports.filter_map(|member| member.status().map(|s| s.promised));
        if let Some(highest) = promised.max() {
            self.replace.note_promises(highest);
        }
    }

    /// Has a member that strays follow the primary.
    pub(super) fn repair(
        &mut self,
        member: usize,
        status: &Status,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let Some(primary) = self.replace.primary else {
            return;
        };
        let term = self.replace.term;
        let strays = status.promised < term
            || status.role == Role::Primary
            || (status.log.term < term && status.stream != crate::borders::member::Stream::Live);
        let told = self.members[member].told;
        let rested = told.is_none_or(|told| now >= told + self.settings.follow_gap);
        if member != primary && status.promised <= term && strays && rested {
            self.members[member].told = Some(now);
            out.push(Action::Follow {
                member,
                term,
                primary,
            });
        }
    }

    pub(super) fn wake_floorless(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.waiting.floorless.is_empty() {
            return;
        }
        let Some(verified) = self.verified(now) else {
            return;
        };
        let Some((status, seen)) = self.replace.primary.and_then(|p| self.members[p].view) else {
            return;
        };
        let known = seen.min(verified);
        let ready: Vec<u64> = self
            .waiting
            .floorless
            .iter()
            .filter(|(_, request)| request.arrived <= known)
            .map(|(id, _)| *id)
            .collect();
        for id in ready {
            let mut request = self.waiting.floorless.remove(&id).expect("just found");
            let possible = request.floor.is_some_and(|floor| status.log.covers(floor));
            if !possible {
                // A token from beyond the primary's position is as good as none.
                request.believed = request.floor.is_none();
                request.floor = Some(status.log);
            }
            self.place(request, now, out);
        }
    }

    pub(super) fn wake_lagging(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.waiting.lagging.is_empty() {
            return;
        }
        let candidates = self.candidates(now);
        let ids: Vec<u64> = self.waiting.lagging.keys().copied().collect();
        for id in ids {
            let (request, until) = &self.waiting.lagging[&id];
            let Some(demand) = demand_of(request) else {
                continue;
            };
            let met = candidates.iter().any(|c| demand.met_by(c));
            if met || now >= *until {
                let (request, _) = self.waiting.lagging.remove(&id).expect("just seen");
                self.place(request, now, out);
            }
        }
    }

    pub(super) fn broken(&mut self, member: usize, now: Duration, out: &mut Vec<Action>) {
        let known = &mut self.members[member];
        known.broken = known.broken.or(Some(now));
        if !known.suspected {
            known.suspected = true;
            out.push(Action::Note(Note::Suspected { member }));
        }
        known.wanted = true;
    }

    pub(super) fn news(&mut self, term: u64, primary: &str, now: Duration, out: &mut Vec<Action>) {
        let named = |member: &Member| !member.gone && &*member.spec.name == primary;
        let found = self.members.iter().position(named);
        if let Some(member) = found {
            self.adopt(term, member, now, out);
        }
    }

    pub(super) fn adopt(&mut self, term: u64, member: usize, now: Duration, out: &mut Vec<Action>) {
        let promoted = self.replace.is_promoting(member);
        if !self.replace.adopt(term, member, now) {
            return;
        }
        if promoted {
            // The look was faster than the answer to the order.
            return self.won(member, term, now, out);
        }
        out.push(Action::Note(Note::Adopted { term, member }));
        self.enter_term(now, out);
    }

    /// What changes with the term: old waits end, the others are told to follow.
    pub(super) fn enter_term(&mut self, now: Duration, out: &mut Vec<Action>) {
        let ended = self.confirm.abandon(self.replace.term);
        Self::settle(ended, out);
        self.history.clear();
        for member in &mut self.members {
            member.kept = None;
            member.clear = None;
            member.told = None;
        }
        self.set_periods();
        self.want_all();
        self.requeue(now, out);
        self.unpark(now, out);
    }

    /// Requests queued at a member that is no longer right go elsewhere.
    pub(super) fn requeue(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut moved = BTreeSet::new();
        for member in &mut self.members {
            moved.extend(member.fair.drain());
        }
        for id in moved {
            if let Some((request, _)) = self.waiting.queued.remove(&id) {
                self.place(request, now, out);
            }
        }
    }

    pub(super) fn unpark(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.writable().is_none() || self.waiting.parked.is_empty() {
            return;
        }
        for (_, request) in std::mem::take(&mut self.waiting.parked) {
            self.place(request, now, out);
        }
    }
}
