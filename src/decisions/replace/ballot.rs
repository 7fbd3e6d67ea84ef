//! The ballot: members are fenced, leases run out or are revoked, one is promoted.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::*;
use crate::borders::member::{MemberError, Status};
use crate::decisions::duty::Ballot;

impl Replace {
    pub(super) fn fence(&mut self, now: Duration) -> Vec<Step> {
        let term = self.start_ballot(now, None);
        let ask = |member: &usize| Step::Fence {
            member: *member,
            term,
        };
        self.members.iter().map(ask).collect()
    }

    pub(super) fn start_ballot(&mut self, now: Duration, rest: Option<Duration>) -> u64 {
        let term = self.next_term();
        self.known = self.highest.max(self.replaced());
        self.ours = term;
        self.highest = term;
        self.seen = self.seen.max(term);
        self.phase = Phase::Fencing {
            term,
            since: now,
            granted: BTreeMap::new(),
            refused: BTreeSet::new(),
            rest,
        };
        term
    }

    /// Term of this box's next ballot.
    fn next_term(&self) -> u64 {
        // Where members take one term from several boxes, each has its own.
        let lane = match self.settings.fences_end {
            true => u64::from(self.rank),
            false => 0,
        };
        self.highest.max(self.replaced()) + 1 + lane
    }

    /// What the number of an order follows from: after the present ballot, or after
    /// the next one while there is none.
    pub fn ballot(&self) -> Ballot {
        let term = match self.phase {
            Phase::Fencing { term, .. }
            | Phase::Waiting { term, .. }
            | Phase::Promoting { term, .. } => term,
            _ => self.next_term(),
        };
        // Promises that were taken back may have led to an order too.
        let later = match self.seen > term {
            true => self.seen + 1,
            false => term,
        };
        let replaced = self.replaced();
        Ballot {
            replaced,
            turn: later.saturating_sub(replaced),
        }
    }

    /// Fences a leaving primary first, so that the others receive its last writes.
    pub(super) fn fence_leaving(&mut self, now: Duration) -> Vec<Step> {
        let Some(member) = self.primary.filter(|_| !self.settings.catch_up.is_zero()) else {
            return self.fence(now);
        };
        let term = self.start_ballot(now, Some(now + self.settings.catch_up));
        vec![Step::Fence { member, term }]
    }

    pub(super) fn fence_rest(&mut self) -> Vec<Step> {
        let primary = self.primary;
        let Phase::Fencing { term, rest, .. } = &mut self.phase else {
            return Vec::new();
        };
        *rest = None;
        let term = *term;
        let others = self.members.iter().filter(|m| Some(**m) != primary);
        let ask = |member: &usize| Step::Fence {
            member: *member,
            term,
        };
        others.map(ask).collect()
    }

    /// Takes a member's answer to a fence.
    pub fn fenced(
        &mut self,
        member: usize,
        asked: u64,
        answer: &Result<Status, MemberError>,
        now: Duration,
    ) -> Vec<Step> {
        if let Err(MemberError::Fenced { promised }) = answer {
            self.note_promised(*promised, now);
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
                    && *term == asked
                    && status.promised == asked
                {
                    granted.insert(member, *status);
                }
                return Vec::new();
            }
            _ => return Vec::new(),
        };
        if term != asked {
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
        if acceptors.len() - refused < majority {
            return self.lose(term, now);
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
            holding: BTreeMap::new(),
            looked: None,
        };
        match self.settings.lease.is_zero() {
            true => self.promote(now),
            false => vec![Step::Revoke { term }],
        }
    }

    /// Names the winner once no lease of the old term is left.
    pub(super) fn promote(&mut self, now: Duration) -> Vec<Step> {
        let Phase::Waiting { term, granted, .. } = &self.phase else {
            return Vec::new();
        };
        let term = *term;
        let mut avoid = self.avoid.clone();
        avoid.extend(self.primary);
        let stays = |member: &usize| !avoid.contains(member);
        let majority = match self.settings.prefer_staying && granted.keys().any(stays) {
            true => 1,
            false => self.majority(),
        };
        let granted = self.in_line(granted);
        let winner = winner(&granted, &avoid, majority);
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

    /// Those who may win: without former primaries whose log may have gone its own way,
    /// unless nobody else granted. What such a log holds beyond the present term's
    /// history was lost with the promotion before; readers since then have not seen it,
    /// and it must not come back.
    fn in_line(&self, granted: &BTreeMap<usize, Status>) -> BTreeMap<usize, Status> {
        let strayed = |(member, status): &(&usize, &Status)| {
            self.deposed.contains(member) && status.log.term < self.term
        };
        let in_line = granted.iter().filter(|entry| !strayed(entry));
        let in_line: BTreeMap<usize, Status> = in_line.map(|(m, s)| (*m, *s)).collect();
        match in_line.is_empty() {
            true => granted.clone(),
            false => in_line,
        }
    }

    /// Takes the winner's answer to its promotion.
    pub fn promoted(
        &mut self,
        asked: u64,
        answer: &Result<Status, MemberError>,
        now: Duration,
    ) -> Vec<Step> {
        let Phase::Promoting { term, winner, .. } = self.phase else {
            return Vec::new();
        };
        if term != asked {
            return Vec::new();
        }
        if let Err(MemberError::Fenced { promised }) = answer {
            self.note_promised(*promised, now);
        }
        let Ok(status) = answer else {
            return self.lose(term, now);
        };
        // Where fences end, the new primary leads the term after the old one, which
        // may be below the term of the ballot.
        let term = match self.settings.fences_end {
            true => status.log.term,
            false => term,
        };
        self.adopt(term, winner, now);
        vec![Step::Won {
            member: winner,
            term,
        }]
    }

    pub(super) fn lose(&mut self, term: u64, now: Duration) -> Vec<Step> {
        let until = now + self.settings.again * (1 + 2 * self.rank);
        self.phase = Phase::Resting { until };
        self.note_stray(now);
        vec![Step::Lost { term }]
    }
}

/// The granting member with the greatest log.
///
/// Any majority's greatest log holds all that was acknowledged. So the doubted
/// primary and those that leave are left out where the others are a majority
/// without them.
fn winner(granted: &BTreeMap<usize, Status>, avoid: &BTreeSet<usize>, majority: usize) -> usize {
    let others = granted
        .keys()
        .filter(|member| !avoid.contains(member))
        .count();
    let eligible = |member: &usize| others < majority || !avoid.contains(member);
    let candidates = granted.iter().filter(|(member, _)| eligible(member));
    let best = candidates.max_by_key(|(member, status)| (status.log, std::cmp::Reverse(**member)));
    *best.expect("a majority granted").0
}
