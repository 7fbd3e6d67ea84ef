//! Confirmation: a write is acknowledged when a majority is seen to hold it.
//!
//! The observation counts only when it began after the write's own answer and
//! shows no term above the write's. The primary counts by its own answer. Every
//! later majority then meets a member that holds the write, so no replacement
//! loses it; and none was complete when the write was taken.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::borders::member::Status;
use crate::decisions::position::Position;

/// How a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Confirmed,
    /// It may last or not: the deadline passed or a higher term came in sight.
    Unknown,
}

/// What a waiter needs to see at other members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// The log reaches this position, at its term.
    Holds(Position),
    /// Only that no term above this one was promised.
    Unfenced(u64),
    /// The same for a write: another member received it, or its term is seen later not
    /// to have been replaced.
    Received(Position),
}

impl Need {
    /// Term in which it must be met.
    pub fn term(self) -> u64 {
        match self {
            Need::Holds(position) | Need::Received(position) => position.term,
            Need::Unfenced(term) => term,
        }
    }
}

#[derive(Clone, Debug)]
struct Waiter {
    need: Need,
    /// Observations must have begun at or after this moment.
    since: Duration,
    deadline: Duration,
    seen: BTreeSet<usize>,
}

/// All who wait in one group.
#[derive(Clone, Debug, Default)]
pub struct Confirm {
    waiters: BTreeMap<u64, Waiter>,
}

impl Confirm {
    /// Adds a waiter. The answer of the primary that took a write counts already:
    /// had it been fenced, it had refused. A read's answer does not count, since a
    /// fenced primary still reads.
    pub fn add(
        &mut self,
        id: u64,
        need: Need,
        primary: Option<usize>,
        since: Duration,
        deadline: Duration,
    ) {
        let waiter = Waiter {
            need,
            since,
            deadline,
            seen: primary.into_iter().collect(),
        };
        let before = self.waiters.insert(id, waiter);
        assert!(before.is_none(), "waiter {id} waits twice");
    }

    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether an observation of `member` begun now would help somebody.
    pub fn wants(&self, member: usize) -> bool {
        let mut waiters = self.waiters.values();
        waiters.any(|waiter| !waiter.seen.contains(&member))
    }

    /// Takes an observation begun at `began`; tells whose wait it ends. `vouches` says
    /// that a member without a fence shows that nobody was promoted, as it does where
    /// fences do not end.
    pub fn observe(
        &mut self,
        member: usize,
        status: &Status,
        began: Duration,
        majority: usize,
        vouches: bool,
    ) -> Vec<(u64, Outcome)> {
        let mut ended = Vec::new();
        for (id, waiter) in &mut self.waiters {
            if began < waiter.since {
                continue;
            }
            if status.promised > waiter.need.term() {
                ended.push((*id, Outcome::Unknown));
                continue;
            }
            let holds = match waiter.need {
                Need::Holds(position) | Need::Received(position) => {
                    status.log.term == position.term && status.log.index >= position.index
                }
                Need::Unfenced(_) => vouches,
            };
            if holds {
                waiter.seen.insert(member);
            }
            if waiter.seen.len() >= majority {
                ended.push((*id, Outcome::Confirmed));
            }
        }
        for (id, _) in &ended {
            self.waiters.remove(id);
        }
        ended
    }

    /// Ends the waits that need no more than that `term` was not replaced, which the
    /// lease says.
    pub fn leased(&mut self, term: u64) -> Vec<(u64, Outcome)> {
        self.unreplaced(term, Duration::MAX)
    }

    /// Ends the waits that began by a moment at which `term` had not been replaced, and
    /// need no more than that.
    pub fn unreplaced(&mut self, term: u64, moment: Duration) -> Vec<(u64, Outcome)> {
        let met = |waiter: &Waiter| {
            let enough = !matches!(waiter.need, Need::Holds(_));
            enough && waiter.need.term() == term && waiter.since <= moment
        };
        let ended: Vec<u64> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| met(waiter))
            .map(|(id, _)| *id)
            .collect();
        let confirm = |id: u64| self.waiters.remove(&id).map(|_| (id, Outcome::Confirmed));
        ended.into_iter().filter_map(confirm).collect()
    }

    /// What a member showed counts no more: it started again.
    pub fn forget(&mut self, member: usize) {
        for waiter in self.waiters.values_mut() {
            waiter.seen.remove(&member);
        }
    }

    /// Ends the waits whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<(u64, Outcome)> {
        let late = self.waiters.iter().filter(|(_, w)| w.deadline <= now);
        let ids: Vec<u64> = late.map(|(id, _)| *id).collect();
        self.end(ids)
    }

    /// Ends all waits for a term that has been left.
    pub fn abandon(&mut self, term: u64) -> Vec<(u64, Outcome)> {
        let waiters = self.waiters.iter();
        let old = waiters.filter(|(_, waiter)| waiter.need.term() < term);
        let ids: Vec<u64> = old.map(|(id, _)| *id).collect();
        self.end(ids)
    }

    fn end(&mut self, ids: Vec<u64>) -> Vec<(u64, Outcome)> {
        let remove = |id| self.waiters.remove(&id).map(|_| (id, Outcome::Unknown));
        ids.into_iter().filter_map(remove).collect()
    }
}
