//! The ballot: a box fences members under a new term and promotes one of those that grant it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::*;
use crate::borders::member::{MemberError, Status};
use crate::decisions::duty::Ballot;

impl Failover {
    /// Starts a ballot and fences all members.
    pub(super) fn fence(&mut self, now: Duration) -> Vec<Step> {
        let term = self.start_ballot(now, None);
        let ask = |member: &usize| Step::Fence {
            member: *member,
            term,
        };
        self.members.iter().map(ask).collect()
    }

    pub(super) fn start_ballot(&mut self, now: Duration, others_due: Option<Duration>) -> u64 {
        let term = self.next_term();
        if self.highest_promise <= self.replaced_term() {
            self.own_ballots.clear();
            self.own_ballots.insert(term);
        } else if self.own_ballots.contains(&self.highest_promise) {
            self.own_ballots.insert(term);
        } else {
            // Another box may have ordered a promotion under the fences that this ballot replaces.
            self.own_ballots.clear();
        }
        self.promised_before_ballot = self.highest_promise.max(self.replaced_term());
        self.ballot_term = term;
        self.highest_promise = term;
        self.highest_seen = self.highest_seen.max(term);
        self.phase = Phase::Fencing {
            term,
            since: now,
            granted: BTreeMap::new(),
            refused: BTreeSet::new(),
            others_due,
        };
        term
    }

    /// Returns the term of this box's next ballot.
    fn next_term(&self) -> u64 {
        // Where fences can be released, members may grant one term to several boxes, so each
        // rank uses terms of its own.
        let rank_offset = match self.settings.promotion_clears_fences {
            true => u64::from(self.rank),
            false => 0,
        };
        self.highest_promise.max(self.replaced_term()) + 1 + rank_offset
    }

    /// Returns the ballot under way, or else the next one, as the basis of a generation
    /// number.
    pub fn ballot(&self) -> Ballot {
        let term = match self.phase {
            Phase::Fencing { term, .. }
            | Phase::Waiting { term, .. }
            | Phase::Promoting { term, .. } => term,
            _ => self.next_term(),
        };
        // Another box may have ordered a promotion under a promise that was released since.
        let highest = match self.highest_seen > term {
            true => self.highest_seen + 1,
            false => term,
        };
        let replaced = self.replaced_term();
        Ballot {
            replaced,
            term_offset: highest.saturating_sub(replaced),
        }
    }

    /// Fences a leaving primary first, so that the replicas can receive its last writes.
    pub(super) fn fence_leaving(&mut self, now: Duration) -> Vec<Step> {
        let Some(member) = self.primary.filter(|_| !self.settings.catch_up.is_zero()) else {
            return self.fence(now);
        };
        let term = self.start_ballot(now, Some(now + self.settings.catch_up));
        vec![Step::Fence { member, term }]
    }

    /// Fences the members other than the leaving primary.
    pub(super) fn fence_others(&mut self) -> Vec<Step> {
        let primary = self.primary;
        let Phase::Fencing {
            term, others_due, ..
        } = &mut self.phase
        else {
            return Vec::new();
        };
        *others_due = None;
        let term = *term;
        let others = self.members.iter().filter(|m| Some(**m) != primary);
        let ask = |member: &usize| Step::Fence {
            member: *member,
            term,
        };
        others.map(ask).collect()
    }

    /// Records a member's answer to a fence, and ends the fencing phase once a majority has
    /// granted the term or can't grant it any more.
    pub fn handle_fence_answer(
        &mut self,
        member: usize,
        fence_term: u64,
        answer: &Result<Status, MemberError>,
        now: Duration,
    ) -> Vec<Step> {
        if let Err(MemberError::Fenced { promised }) = answer {
            self.record_promise(*promised, now);
        }
        let majority = self.majority();
        let acceptors = &self.acceptors;
        let (term, since, granted, refused) = match &mut self.phase {
            Phase::Fencing {
                term,
                since,
                granted,
                refused,
                ..
            } => (*term, *since, granted, refused),
            // A late grant may show a greater log.
            Phase::Waiting { term, granted, .. } => {
                if let Ok(status) = answer
                    && *term == fence_term
                    && status.promised == fence_term
                {
                    granted.insert(member, *status);
                }
                return Vec::new();
            }
            _ => return Vec::new(),
        };
        if term != fence_term {
            return Vec::new();
        }
        match answer {
            Ok(status) if status.promised == term => {
                granted.insert(member, *status);
            }
            _ => {
                refused.insert(member);
            }
        }
        let counted = |member: &&usize| acceptors.contains(member);
        let refused = refused.iter().filter(counted).count();
        let grants = granted.keys().filter(counted).count();
        if acceptors.len() < majority + refused {
            return self.fail_ballot(term, now);
        }
        if grants < majority {
            return Vec::new();
        }
        let granted = granted.clone();
        self.phase = Phase::Waiting {
            term,
            since,
            until: now + self.settings.lease,
            granted,
            kept_at: BTreeMap::new(),
            probed: None,
        };
        match self.settings.lease.is_zero() {
            true => self.promote(now),
            false => vec![Step::Revoke { term }],
        }
    }

    /// Chooses the member to promote. Called once no box holds a lease on an earlier term.
    pub(super) fn promote(&mut self, now: Duration) -> Vec<Step> {
        let Phase::Waiting { term, granted, .. } = &self.phase else {
            return Vec::new();
        };
        let term = *term;
        let mut avoid = self.leaving.clone();
        avoid.extend(self.primary);
        let stays = |member: &usize| !avoid.contains(member);
        let majority = match self.settings.prefer_staying && granted.keys().any(stays) {
            true => 1,
            false => self.majority(),
        };
        let granted = self.eligible(granted);
        let winner = self.winner(&granted, &avoid, majority);
        self.phase = Phase::Promoting {
            term,
            winner,
            since: now,
        };
        vec![Step::Promote {
            member: winner,
            term,
        }]
    }

    /// Returns the granting members that may be promoted: all but former primaries whose
    /// logs may have diverged, unless no other member granted. Entries that only such a log
    /// holds were lost in an earlier failover; reads since then haven't shown them, so they
    /// must not reappear.
    fn eligible(&self, granted: &BTreeMap<usize, Status>) -> BTreeMap<usize, Status> {
        let diverged = |(member, status): &(&usize, &Status)| {
            self.deposed.contains(member) && status.log.term < self.term
        };
        let eligible = granted.iter().filter(|entry| !diverged(entry));
        let eligible: BTreeMap<usize, Status> = eligible.map(|(m, s)| (*m, *s)).collect();
        match eligible.is_empty() {
            true => granted.clone(),
            false => eligible,
        }
    }

    /// Records the winner's answer to its promotion.
    pub fn handle_promotion_answer(
        &mut self,
        promoted_term: u64,
        answer: &Result<Status, MemberError>,
        now: Duration,
    ) -> Vec<Step> {
        let Phase::Promoting { term, winner, .. } = self.phase else {
            return Vec::new();
        };
        if term != promoted_term {
            return Vec::new();
        }
        if let Err(MemberError::Fenced { promised }) = answer {
            self.record_promise(*promised, now);
        }
        let status = match answer {
            Ok(status) => status,
            Err(error) => return self.fail_promotion(term, winner, error, now),
        };
        // Where a promotion clears fences, the new primary's term follows the old primary's
        // and may be lower than the ballot's.
        let term = match self.settings.promotion_clears_fences {
            true => status.log.term,
            false => term,
        };
        self.adopt(term, winner, now);
        vec![Step::Won {
            member: winner,
            term,
        }]
    }

    /// Ends a ballot whose promotion failed. Another box takes over if this one's order was not sent
    /// or not answered.
    fn fail_promotion(
        &mut self,
        term: u64,
        winner: usize,
        error: &MemberError,
        now: Duration,
    ) -> Vec<Step> {
        let mut steps = self.fail_ballot(term, now);
        match error {
            MemberError::Unresolved(_) => {
                self.has_order_outstanding = true;
                self.ordered = self.names.get(winner).cloned();
                steps.extend(self.resign(Some(winner), now));
            }
            MemberError::Unsent(_) => steps.extend(self.resign(None, now)),
            _ => {}
        }
        steps
    }

    /// Ends the ballot and backs off, longer for higher ranks.
    pub(super) fn fail_ballot(&mut self, term: u64, now: Duration) -> Vec<Step> {
        let until = now + self.settings.poll_interval * (1 + 2 * self.rank);
        self.phase = Phase::Cooldown { until };
        self.record_orphaned(now);
        if let Some(orphaned) = &mut self.orphaned {
            orphaned.reset(now);
        }
        vec![Step::Lost { term }]
    }

    /// Returns the granting member with the greatest log. An order of another box that had no answer
    /// may still be carried out, and does no harm if it names the same member. So of equal logs
    /// that member is taken, or else the first one by name, and also before a greater log where
    /// entries may be lost.
    ///
    /// The greatest log of any majority holds every acknowledged write, so the members in
    /// `avoid` are passed over where at least `majority` others have granted.
    fn winner(
        &self,
        granted: &BTreeMap<usize, Status>,
        avoid: &BTreeSet<usize>,
        majority: usize,
    ) -> usize {
        let others = granted
            .keys()
            .filter(|member| !avoid.contains(member))
            .count();
        let eligible = |member: &usize| others < majority || !avoid.contains(member);
        let candidates = granted.iter().filter(|(member, _)| eligible(member));
        let best = candidates.max_by_key(|(member, status)| {
            let name = self.names.get(**member);
            let is_ordered = self.ordered.is_some() && name == self.ordered.as_ref();
            let comes_first = is_ordered && self.settings.prefer_staying;
            let by_name = Reverse((name, **member));
            (comes_first, status.log, is_ordered, by_name)
        });
        *best.expect("a majority granted").0
    }
}
