//! What happens as time passes: suspicions, replacement, deadlines, probes.

use std::time::Duration;

use super::*;

/// A look that takes longer is not waited for: another member is looked at.
const LOOK_PATIENCE: Duration = Duration::from_millis(120);

/// Pause before the replacement of a leaving primary is looked at again, where another box
/// has its turn. An idle group then ticks 6 times in 4.5 s, counted in virtual time; looking
/// as soon as it may be replaced, 2,201 times.
const HAND_OVER_AGAIN: Duration = Duration::from_millis(50);

impl Group {
    pub(super) fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.forget_missing(now, out);
        self.update_suspicions(now, out);
        let left = self.has_left(now, out);
        let doubt = match self.replace.primary {
            Some(primary) if left && !self.members[primary].suspected => Doubt::Left,
            Some(primary) if !self.members[primary].suspected => Doubt::None,
            None if now < self.born + self.settings.detect.period => Doubt::None,
            _ => Doubt::Suspected,
        };
        let steps = self.replace.tick(doubt, now);
        self.take_steps(steps, now, out);
        Self::settle(self.confirm.expire(now), out);
        self.want_for_confirmation(now);
        self.wake_lagging(now, out);
        self.unpark(now, out);
        self.widen(now, out);
        self.expire(now, out);
        self.send_probes(now, out);
    }

    /// Whether a primary that is declared to leave may be replaced by now.
    pub(super) fn has_left(&mut self, now: Duration, out: &mut Vec<Action>) -> bool {
        let leader = self.replace.primary;
        let leader = leader.filter(|p| self.members[*p].spec.leaving);
        let departs = leader.and_then(|p| self.members[p].departs);
        let successors = self.successors();
        let counted = std::mem::replace(&mut self.leaving, leader);
        self.hand_over = None;
        let Some((primary, departs)) = leader.zip(departs) else {
            return false;
        };
        if counted != leader {
            out.push(Action::Note(Note::LeaveCounted {
                member: primary,
                age: departs.age(now),
                successors,
            }));
        }
        // A primary that serves to the end takes the fence itself, and counts.
        let needed = match self.settings.serve_leaving {
            true => 1,
            false => self.replace.majority(),
        };
        if successors < needed {
            // Nobody to hand over to: better a leaving primary than none, while it has time.
            return false;
        }
        let patience = self.settings.replace.stagger * self.replace.rank();
        let served = self.settings.serve_leaving;
        let idle = served || self.members[primary].fair.running() == 0 && self.confirm.is_empty();
        let due = departs.due(self.settings.leave_grace) + patience;
        let most = self.members[primary].serves_for(&self.settings);
        let forced = departs.due(most) + patience;
        let next = [due, forced].into_iter().find(|moment| now < *moment);
        let left = (idle && now >= due) || now >= forced;
        self.hand_over = match left {
            true => self.replace.is_steady().then_some(now + HAND_OVER_AGAIN),
            false => next,
        };
        left
    }

    pub(super) fn update_suspicions(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut fresh = false;
        let primary = self.replace.primary;
        for (i, member) in self.members.iter_mut().enumerate() {
            let silent = member.broken.is_some() || member.detector.suspects(now);
            let suspected = silent || (member.demoted && Some(i) == primary);
            if suspected == member.suspected {
                continue;
            }
            member.suspected = suspected;
            fresh |= suspected;
            out.push(Action::Note(match suspected {
                true => Note::Suspected { member: i },
                false => Note::Trusted { member: i },
            }));
        }
        if fresh {
            // What hit one may have hit the others: look before their turn.
            for member in &mut self.members {
                member.detector.expedite_probe(now);
            }
            self.requeue(now, out);
        }
    }

    pub(super) fn take_steps(&mut self, steps: Vec<Step>, now: Duration, out: &mut Vec<Action>) {
        let mut noted = false;
        for step in steps {
            match step {
                Step::Ask => out.push(Action::Ask),
                Step::Look => self.want_all(),
                Step::Claim => out.push(Action::Claim),
                Step::Revoke { term } => {
                    self.revoke(now);
                    out.push(Action::Revoke { term });
                }
                Step::Fence { member, term } => {
                    if !noted {
                        out.push(Action::Note(Note::Fencing { term }));
                        noted = true;
                    }
                    out.push(Action::Fence { member, term });
                }
                Step::Release { member } => {
                    out.push(Action::Note(Note::Released { member }));
                    out.push(Action::Release { member });
                }
                Step::Promote { member, term } => out.push(Action::Promote { member, term }),
                Step::Lost { term } => out.push(Action::Note(Note::Lost { term })),
                Step::Won { member, term } => self.won(member, term, now, out),
            }
        }
    }

    pub(super) fn won(&mut self, winner: usize, term: u64, now: Duration, out: &mut Vec<Action>) {
        out.push(Action::Note(Note::Won {
            term,
            member: winner,
        }));
        let primary = winner;
        out.push(Action::Record { term, primary });
        for member in self.present().filter(|member| *member != winner) {
            out.push(Action::Follow {
                member,
                term,
                primary,
            });
        }
        let winner = &mut self.members[winner];
        winner.broken = None;
        winner.suspected = false;
        winner.demoted = false;
        winner.detector = Box::new(Baseline::new(self.settings.detect, now));
        self.enter_term(now, out);
    }

    /// Answers at once those who have waited in vain.
    pub(super) fn expire(&mut self, now: Duration, out: &mut Vec<Action>) {
        for member in 0..self.members.len() {
            self.expire_queue(member, now, out);
        }
        let mut refused = Vec::new();
        let held = self.waiting.parked.values();
        for request in held.chain(self.waiting.floorless.values()) {
            if self.writable().is_some() && now < request.deadline {
                continue;
            }
            if let Some(refusal) = self.hopeless(request, now) {
                refused.push((request.id, refusal));
            }
        }
        for (id, refusal) in refused {
            self.waiting.parked.remove(&id);
            self.waiting.floorless.remove(&id);
            out.push(Action::Refuse { id, refusal });
        }
    }

    pub(super) fn expire_queue(&mut self, member: usize, now: Duration, out: &mut Vec<Action>) {
        let serve_late = self.settings.serve_late;
        let fair = &mut self.members[member].fair;
        let wait = fair.wait();
        for id in fair.expire(now) {
            self.waiting.queued.remove(&id);
            let retry_after = match serve_late {
                true => fair.promise_return(now),
                false => wait,
            };
            let refusal = Refusal::overload(retry_after);
            out.push(Action::Refuse { id, refusal });
        }
    }

    pub(super) fn want_all(&mut self) {
        for member in &mut self.members {
            member.wanted = true;
        }
    }

    /// Looks at those whose reports would end somebody's wait.
    pub(super) fn want_for_confirmation(&mut self, now: Duration) {
        if self.confirm.is_empty() {
            return;
        }
        if !self.settings.replace.lease.is_zero() {
            return self.want_for_lease(now);
        }
        for (i, member) in self.members.iter_mut().enumerate() {
            member.wanted |= self.confirm.wants(i);
        }
    }

    /// Looks at no more members than the lease needs: each look has its price.
    fn want_for_lease(&mut self, now: Duration) {
        let lease = self.settings.replace.lease;
        let late = |seen: Option<Duration>| seen.is_none_or(|seen| now >= seen + lease / 2);
        let newest = self.history.newest_index();
        // One that was just seen can show more only once the primary has written more.
        let helps = |member: &Member| {
            let shown = member.status().map(|status| status.log.index);
            late(member.clear) || shown < newest
        };
        let acceptors = self.present().filter(|i| self.replace.accepts(*i));
        let (late, fresh): (Vec<usize>, Vec<usize>) =
            acceptors.partition(|i| late(self.members[*i].kept));
        let mut needed = self.replace.majority().saturating_sub(fresh.len());
        let late = late.into_iter().filter(|i| helps(&self.members[*i]));
        let mut late: Vec<usize> = late.collect();
        late.sort_by_key(|i| {
            let member = &self.members[*i];
            let far = member.spec.domain != self.domain;
            (member.suspected, Some(*i) != self.replace.primary, far)
        });
        for i in late {
            let member = &mut self.members[i];
            let asked = member.probes > 0;
            let slow = member
                .probed
                .is_none_or(|probed| now >= probed + LOOK_PATIENCE);
            member.wanted |= !asked && needed > 0;
            if !(asked && slow) {
                needed = needed.saturating_sub(1);
            }
        }
    }

    pub(super) fn send_probes(&mut self, now: Duration, out: &mut Vec<Action>) {
        let gap = self.settings.probe_gap;
        for (i, member) in self.members.iter_mut().enumerate() {
            if member.gone {
                continue;
            }
            let due = now >= member.detector.probe_due();
            let rested = member.probed.is_none_or(|probed| now >= probed + gap);
            let asked = member.wanted && member.probes == 0 && rested;
            if !due && !asked {
                continue;
            }
            if due {
                member.detector.record_probe(now);
            }
            member.wanted = false;
            member.probes += 1;
            member.probed = Some(now);
            out.push(Action::Probe { member: i });
        }
    }
}
