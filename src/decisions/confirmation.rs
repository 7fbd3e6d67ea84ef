//! Confirmation: a write is acknowledged once a majority is seen to hold it.
//!
//! An observation counts only if it began after the write's answer and shows no promise
//! above the write's term. The primary counts by its own answer. Every later majority
//! then includes a member that holds the write, so no failover loses it, and no failover
//! had completed when the primary ran the write.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::borders::member::Status;
use crate::decisions::position::Position;

/// How a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Confirmed,
    /// The deadline passed or a higher term was seen; a write may or may not survive.
    Unknown,
}

/// What a waiter needs a majority to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// The log has reached this position, in the position's term.
    Held(Position),
    /// No term above this one is promised.
    Unfenced(u64),
    /// For a write under a lease: the log has reached this position, or the position's term
    /// is seen later not to have been replaced.
    Received(Position),
}

impl Need {
    /// Returns the term in which the need must be met.
    pub fn term(self) -> u64 {
        match self {
            Need::Held(position) | Need::Received(position) => position.term,
            Need::Unfenced(term) => term,
        }
    }
}

#[derive(Clone, Debug)]
struct Waiter {
    need: Need,
    /// Only observations that began at or after this time count.
    since: Duration,
    deadline: Duration,
    confirmed_by: BTreeSet<usize>,
}

/// The writes and reads of one group that wait for confirmation.
#[derive(Clone, Debug, Default)]
pub struct Waiters {
    waiters: BTreeMap<u64, Waiter>,
}

impl Waiters {
    /// Adds a waiter. For a write, `primary` names the member that ran it, which counts
    /// towards the majority: a fenced primary would have refused. For a read it is `None`,
    /// since a fenced primary still answers reads.
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
            confirmed_by: primary.into_iter().collect(),
        };
        let before = self.waiters.insert(id, waiter);
        assert!(before.is_none(), "waiter {id} was added twice");
    }

    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether any waiter still lacks `member`.
    pub fn needs_probe(&self, member: usize) -> bool {
        let mut waiters = self.waiters.values();
        waiters.any(|waiter| !waiter.confirmed_by.contains(&member))
    }

    /// Records an observation that began at `began`, and returns the waits that it ends.
    /// `unfenced_counts` is set where fences are permanent, so that a member without a fence
    /// proves that it granted no promotion.
    pub fn observe(
        &mut self,
        member: usize,
        status: &Status,
        began: Duration,
        majority: usize,
        unfenced_counts: bool,
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
            let meets = match waiter.need {
                Need::Held(position) | Need::Received(position) => {
                    status.log.term == position.term && status.log.index >= position.index
                }
                Need::Unfenced(_) => unfenced_counts,
            };
            if meets {
                waiter.confirmed_by.insert(member);
            }
            if waiter.confirmed_by.len() >= majority {
                ended.push((*id, Outcome::Confirmed));
            }
        }
        for (id, _) in &ended {
            self.waiters.remove(id);
        }
        ended
    }

    /// Confirms the waits that only need `term` not to have been replaced. Called while this
    /// box holds a lease on the term.
    pub fn confirm_leased(&mut self, term: u64) -> Vec<(u64, Outcome)> {
        self.confirm_unreplaced(term, Duration::MAX)
    }

    /// Confirms the waits that only need `term` not to have been replaced and that began at
    /// or before `moment`, when it had not been.
    pub fn confirm_unreplaced(&mut self, term: u64, moment: Duration) -> Vec<(u64, Outcome)> {
        let met = |waiter: &Waiter| {
            let suffices = !matches!(waiter.need, Need::Held(_));
            suffices && waiter.need.term() == term && waiter.since <= moment
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

    /// Discards the observations of a member that restarted.
    pub fn forget_member(&mut self, member: usize) {
        for waiter in self.waiters.values_mut() {
            waiter.confirmed_by.remove(&member);
        }
    }

    /// Ends the waits whose deadline has passed as unknown.
    pub fn expire(&mut self, now: Duration) -> Vec<(u64, Outcome)> {
        let late = self.waiters.iter().filter(|(_, w)| w.deadline <= now);
        let ids: Vec<u64> = late.map(|(id, _)| *id).collect();
        self.end(ids)
    }

    /// Ends the waits for terms before `term` as unknown.
    pub fn end_older_terms(&mut self, term: u64) -> Vec<(u64, Outcome)> {
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
