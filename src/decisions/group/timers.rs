//! Periodic work: suspicions, failover, expired requests and probes.

use std::time::Duration;

use super::*;

/// Time after which an unanswered probe counts as slow, and another member is probed too.
const SLOW_PROBE_AFTER: Duration = Duration::from_millis(120);

/// Time between two checks of a due hand-over that another box may carry out. Keeps an idle
/// group from ticking all the time: 6 times in 4.5 s, instead of 2,201 times.
const HANDOVER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Group {
    pub(super) fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.remove_missing(now, out);
        self.check_losses(now, out);
        self.update_record(now, out);
        self.update_suspicions(now, out);
        let handover = self.is_handover_due(now, out);
        let trigger = match self.failover.primary {
            Some(_) if self.failover.is_replaced() => Trigger::Suspected,
            Some(primary) if handover && !self.members[primary].suspected => Trigger::Drained,
            Some(primary) if !self.members[primary].suspected => Trigger::None,
            None if now < self.started_at + self.settings.detect.period => Trigger::None,
            _ => Trigger::Suspected,
        };
        let steps = self.failover.tick(trigger, now);
        self.apply_steps(steps, now, out);
        Self::report_outcomes(self.unconfirmed.expire(now), out);
        self.request_confirmation_probes(now);
        self.dispatch_for_replica(now, out);
        self.dispatch_for_primary(now, out);
        self.raise_connection_limits(now, out);
        self.refuse_expired(now, out);
        self.send_probes(now, out);
    }

    /// Whether a leaving primary may be replaced by now.
    pub(super) fn is_handover_due(&mut self, now: Duration, out: &mut Vec<Action>) -> bool {
        let leaving = self.failover.primary;
        let leaving = leaving.filter(|p| self.members[*p].spec.leaving);
        let departure = leaving.and_then(|p| self.members[p].departure);
        let successors = self.successors();
        let draining = std::mem::replace(&mut self.draining_primary, leaving);
        self.next_handover_check = None;
        let Some((primary, departure)) = leaving.zip(departure) else {
            return false;
        };
        if draining != leaving {
            out.push(Action::Log(Note::DrainStarted {
                member: primary,
                age: departure.age(now),
                successors,
            }));
        }
        // A primary that serves until it is fenced grants the ballot too, so that one other
        // member is enough.
        let needed = match self.settings.serve_leaving {
            true => 1,
            false => self.failover.majority(),
        };
        if successors < needed {
            // A leaving primary still serves until its drain time is over.
            return false;
        }
        let stagger = self.settings.failover.stagger * self.failover.rank();
        let served = self.settings.serve_leaving;
        let unused =
            served || self.members[primary].queue.running() == 0 && self.unconfirmed.is_empty();
        let earliest = departure.time_at_age(self.settings.drain_grace) + stagger;
        let limit = self.members[primary].drain_time(&self.settings);
        let latest = departure.time_at_age(limit) + stagger;
        let next = [earliest, latest].into_iter().find(|moment| now < *moment);
        let is_due = (unused && now >= earliest) || now >= latest;
        self.next_handover_check = match is_due {
            true => self
                .failover
                .is_steady()
                .then_some(now + HANDOVER_CHECK_INTERVAL),
            false => next,
        };
        is_due
    }

    pub(super) fn update_suspicions(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut any_new = false;
        let primary = self.failover.primary;
        for (i, member) in self.members.iter_mut().enumerate() {
            let silent = member.connection_lost.is_some() || member.detector.suspects(now);
            let suspected = silent || (member.demoted && Some(i) == primary);
            if suspected == member.suspected {
                continue;
            }
            member.suspected = suspected;
            any_new |= suspected;
            out.push(Action::Log(match suspected {
                true => Note::Suspected { member: i },
                false => Note::SuspicionCleared { member: i },
            }));
        }
        if any_new {
            // The other members may have failed for the same reason.
            for member in &mut self.members {
                member.detector.expedite_probe(now);
            }
            self.requeue(now, out);
        }
    }

    /// Translates the failover's steps into actions.
    pub(super) fn apply_steps(&mut self, steps: Vec<Step>, now: Duration, out: &mut Vec<Action>) {
        let mut logged = false;
        for step in steps {
            match step {
                Step::AskPeers => out.push(Action::AskOpinions),
                Step::ProbeMembers => self.request_probes(),
                Step::Claim => out.push(Action::ClaimDuty),
                Step::Resign { ordered } => out.push(Action::ResignDuty { ordered }),
                Step::Revoke { term } => {
                    self.revoke_lease(now);
                    out.push(Action::RevokeLeases { term });
                }
                Step::Fence { member, term } => {
                    if !logged {
                        out.push(Action::Log(Note::BallotStarted { term }));
                        logged = true;
                    }
                    out.push(Action::Fence { member, term });
                }
                Step::Release { member, term } => {
                    out.push(Action::Log(Note::FenceReleased { member }));
                    out.push(Action::ReleaseFence { member, term });
                }
                Step::Promote { member, term } => out.push(Action::Promote { member, term }),
                Step::Lost { term } => out.push(Action::Log(Note::BallotLost { term })),
                Step::Won { member, term } => self.complete_promotion(member, term, now, out),
            }
        }
    }

    /// Completes a promotion by this box: records the new primary and has the other members
    /// follow it.
    pub(super) fn complete_promotion(
        &mut self,
        winner: usize,
        term: u64,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Log(Note::PrimaryPromoted {
            term,
            member: winner,
        }));
        let primary = winner;
        out.push(Action::RecordPrimary { term, primary });
        for member in self.present().filter(|member| *member != winner) {
            out.push(Action::Follow {
                member,
                term,
                primary,
            });
        }
        let winner = &mut self.members[winner];
        winner.connection_lost = None;
        winner.suspected = false;
        winner.demoted = false;
        winner.detector = Box::new(Baseline::new(self.settings.detect, now));
        self.enter_term(now, out);
    }

    /// Refuses the waiting requests that can't be served in time any more.
    pub(super) fn refuse_expired(&mut self, now: Duration, out: &mut Vec<Action>) {
        for member in 0..self.members.len() {
            self.refuse_expired_in_queue(member, now, out);
        }
        let mut refused = Vec::new();
        let waiting = self.waiting.for_primary.values();
        for request in waiting.chain(self.waiting.for_position.values()) {
            if self.writable_primary().is_some() && now < request.deadline {
                continue;
            }
            if let Some(refusal) = self.primary_wait_refusal(request, now) {
                refused.push((request.id, refusal));
            }
        }
        for (id, refusal) in refused {
            self.waiting.for_primary.remove(&id);
            self.waiting.for_position.remove(&id);
            out.push(Action::Refuse { id, refusal });
        }
    }

    pub(super) fn refuse_expired_in_queue(
        &mut self,
        member: usize,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let serve_late = self.settings.serve_late;
        let queue = &mut self.members[member].queue;
        let wait = queue.expected_wait();
        for id in queue.expire(now) {
            self.waiting.queued.remove(&id);
            let retry_after = match serve_late {
                true => queue.schedule_retry(now),
                false => wait,
            };
            let refusal = Refusal::overload(retry_after);
            out.push(Action::Refuse { id, refusal });
        }
    }

    pub(super) fn request_probes(&mut self) {
        for member in &mut self.members {
            member.probe_wanted = true;
        }
    }

    /// Requests probes of the members whose reports may confirm a waiting request.
    pub(super) fn request_confirmation_probes(&mut self, now: Duration) {
        if self.unconfirmed.is_empty() {
            return;
        }
        if !self.settings.failover.lease.is_zero() {
            return self.request_lease_probes(now);
        }
        for (i, member) in self.members.iter_mut().enumerate() {
            member.probe_wanted |= self.unconfirmed.needs_probe(i);
        }
    }

    /// Requests probes of no more members than the lease needs, to limit the control traffic.
    fn request_lease_probes(&mut self, now: Duration) {
        let lease = self.settings.failover.lease;
        let is_late = |seen: Option<Duration>| seen.is_none_or(|seen| now >= seen + lease / 2);
        let newest = self.history.newest_index();
        // A member probed just before can show more only if the primary has written since.
        let helps = |member: &Member| {
            let shown = member.status().map(|status| status.log.index);
            is_late(member.unfenced_at) || shown < newest
        };
        let acceptors = self.present().filter(|i| self.failover.is_acceptor(*i));
        let (late, recent): (Vec<usize>, Vec<usize>) =
            acceptors.partition(|i| is_late(self.members[*i].in_term_at));
        let mut needed = self.failover.majority().saturating_sub(recent.len());
        let late = late.into_iter().filter(|i| helps(&self.members[*i]));
        let mut late: Vec<usize> = late.collect();
        late.sort_by_key(|i| {
            let member = &self.members[*i];
            let far = member.spec.domain != self.domain;
            (member.suspected, Some(*i) != self.failover.primary, far)
        });
        for i in late {
            let member = &mut self.members[i];
            let pending = member.pending_probes > 0;
            let slow = member
                .last_probe
                .is_none_or(|probed| now >= probed + SLOW_PROBE_AFTER);
            member.probe_wanted |= !pending && needed > 0;
            if !(pending && slow) {
                needed = needed.saturating_sub(1);
            }
        }
    }

    pub(super) fn send_probes(&mut self, now: Duration, out: &mut Vec<Action>) {
        let gap = self.settings.probe_gap;
        for (i, member) in self.members.iter_mut().enumerate() {
            if member.removed {
                continue;
            }
            let due = now >= member.detector.probe_due();
            let gap_over = member.last_probe.is_none_or(|probed| now >= probed + gap);
            let requested = member.probe_wanted && member.pending_probes == 0 && gap_over;
            if !due && !requested {
                continue;
            }
            if due {
                member.detector.record_probe(now);
            }
            member.probe_wanted = false;
            member.pending_probes += 1;
            member.last_probe = Some(now);
            out.push(Action::Probe { member: i });
        }
    }
}
