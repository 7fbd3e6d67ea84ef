//! Limits on a workspace's operations, held over all boxes.
//!
//! A limit is split into equal parts, each lent out by one box: the lenders. There is one in
//! each failure domain, and a few where there are few domains. A caller's box asks the lender
//! of its own domain, and the others in turn where that has nothing left: operations go
//! where the callers are, and parts never add up to more than the whole, whoever is cut off
//! from whom. A domain that is cut off lives on its part; where a lender is lost, the others
//! lend theirs.
//!
//! What is lent is used at once or lapses, so that it counts about when it was lent. A box
//! that starts, or lends for a workspace for the first time, knows nothing of what was lent
//! before it: its part has filled only since, but for what a workspace may pass its limit by.
//!
//! Where a part is used up, an operation may wait for its turn at the lender, which serves
//! all boxes' operations in one line; or its caller is told when to come back.

mod lender;
mod line;

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::retry_after::Schedule;
use crate::borders::roster::Listing;
pub use lender::{Decision, Lender, Ticket};
pub use line::{Line, Turns};

/// Lenders of a workspace, at least: with one of three lost, two thirds of the limit are
/// left, which is what a workspace usually asks for.
const LEAST_LENDERS: usize = 3;
/// Time for which lent operations may be used: much shorter than any window in which a
/// limit is counted, and longer than a way to the lender and back on a busy box.
const LAPSE: Duration = Duration::from_millis(200);
/// What is asked for beyond those that wait: what comes in this time by the rate seen, so
/// that a busy box asks ten times a second at most.
const AHEAD: Duration = Duration::from_millis(100);
/// Time over which the rate is seen.
const SEEN: Duration = Duration::from_millis(500);
/// The most that is asked for at once.
const MOST_ASKED: u32 = 256;
/// Time for which a lender that did not answer is not asked: operations that come meanwhile
/// need not wait for it too.
pub const LENDER_COOLDOWN: Duration = Duration::from_millis(500);
/// Time for which a lender whose line was full is not asked for a turn: a workspace far beyond
/// its limit would otherwise cost its lenders a question for each operation.
const FULL: Duration = Duration::from_millis(100);
/// Callers that one box refuses in that time are told moments this part of the first wait
/// apart, as a divisor.
const SPREAD: u32 = 16;
/// The shortest that a caller is told to wait: a way there and back.
const LEAST_RETRY: Duration = Duration::from_millis(2);
/// The longest that a caller is told to wait.
const MOST_RETRY: Duration = Duration::from_secs(5);

/// How much a workspace, or a part of its limit, may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Operations a second.
    pub rate: f64,
    /// Operations at once after a rest.
    pub burst: f64,
    /// Those of them that may be lent before anything is known of what was lent earlier.
    pub initial: f64,
}

impl Limit {
    /// A declared limit, which may be passed by `slack` operations. At least one operation at
    /// once, or none would ever be let through; with a rate of 0 the burst is all there is.
    pub fn new(rate: u32, burst: u32, slack: u32) -> Self {
        let least = if rate > 0 { 1.0 } else { 0.0 };
        Self {
            rate: f64::from(rate),
            burst: (f64::from(burst) + f64::from(slack)).max(least),
            initial: f64::from(slack),
        }
    }

    /// The same with a part of it more, as far as the operator lets limits be passed.
    pub fn with_overage(self, overage: f64) -> Self {
        Self {
            rate: self.rate * (1.0 + overage),
            burst: self.burst * (1.0 + overage),
            initial: self.initial,
        }
    }

    /// In how many parts it is lent. Each lends one operation at once, or it never would.
    pub fn part_count(self, lenders: usize) -> usize {
        (self.burst as usize).clamp(1, lenders.max(1))
    }

    /// One of so many equal parts.
    pub fn part(self, parts: usize) -> Self {
        let parts = parts.max(1) as f64;
        Self {
            rate: self.rate / parts,
            burst: self.burst / parts,
            initial: self.initial / parts,
        }
    }
}

/// Operations that are lent out of a limit.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    limit: Limit,
    tokens: f64,
    at: Duration,
}

impl Bucket {
    /// A bucket that has filled since `since`.
    pub fn new(limit: Limit, since: Duration, now: Duration) -> Self {
        let mut bucket = Self {
            limit,
            tokens: limit.initial,
            at: since,
        };
        bucket.fill(limit, now);
        bucket
    }

    /// Fills up to now, at the limit that holds from now on.
    fn fill(&mut self, limit: Limit, now: Duration) {
        let rate = self.limit.rate.min(limit.rate);
        let gained = rate * now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + gained).min(limit.burst);
        self.limit = limit;
        self.at = now;
    }

    /// Takes up to `wanted` operations. Where there is none, says when there will be.
    pub fn take(&mut self, limit: Limit, wanted: u32, now: Duration) -> Loan {
        self.fill(limit, now);
        let granted = self.tokens.min(f64::from(wanted)).floor();
        self.tokens -= granted;
        if granted >= 1.0 {
            return Loan::Granted(granted as u32);
        }
        let turns = self.turns(limit, now);
        Loan::Spent((turns.first - now).clamp(LEAST_RETRY, MOST_RETRY))
    }

    /// When operations beyond those that may be lent now can be.
    fn turns(&mut self, limit: Limit, now: Duration) -> Turns {
        self.fill(limit, now);
        let time = |operations: f64| {
            let seconds = (operations / limit.rate).max(0.0);
            match seconds < MOST_RETRY.as_secs_f64() {
                true => Duration::from_secs_f64(seconds),
                false => MOST_RETRY,
            }
        };
        Turns {
            first: now + time(1.0 - self.tokens),
            gap: time(1.0),
        }
    }
}

/// A lender's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Loan {
    Granted(u32),
    /// Nothing is left for this long.
    Spent(Duration),
}

/// What a borrower holds of one workspace's operations.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    tokens: u32,
    /// When what it holds lapses.
    until: Duration,
    /// Until when there is no use in asking.
    spent_until: Duration,
    /// Until when there is no use in asking for a turn.
    full_until: Duration,
    /// What callers are told meanwhile.
    told: Duration,
    returns: Schedule,
    /// Operations seen since `since`.
    seen: u32,
    since: Duration,
    /// Operations a second, seen before.
    rate: f64,
}

/// What a purse says of one more operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spending {
    Paid,
    /// The limit is used up for this long.
    Exhausted(Duration),
    /// Ask the lender for so many.
    Borrow(u32),
}

impl Allowance {
    /// Counts an operation that wants to be let through.
    pub fn record_operation(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.since);
        if passed >= SEEN {
            self.rate = f64::from(self.seen) / passed.as_secs_f64();
            self.seen = 0;
            self.since = now;
        }
        self.seen += 1;
    }

    /// Pays for one operation, while `waiting` others wait for an answer of the lender.
    pub fn spend(&mut self, waiting: u32, now: Duration) -> Spending {
        if now < self.until && self.tokens > 0 {
            self.tokens -= 1;
            return Spending::Paid;
        }
        if now < self.spent_until {
            return Spending::Exhausted(self.spent_until - now);
        }
        let ahead = (self.rate * AHEAD.as_secs_f64()) as u32;
        Spending::Borrow((1 + waiting + ahead).min(MOST_ASKED))
    }

    pub fn record_loan(&mut self, loan: Loan, now: Duration) {
        match loan {
            Loan::Granted(tokens) => {
                let kept = if now < self.until { self.tokens } else { 0 };
                self.tokens = kept + tokens;
                self.until = now + LAPSE;
            }
            Loan::Spent(wait) => self.spent_until = now + wait,
        }
    }

    /// A lender had no turn in time, and told this wait.
    pub fn record_full_queue(&mut self, wait: Duration, now: Duration) {
        self.full_until = now + FULL;
        self.told = wait;
    }

    /// What a caller is told while there is no use in asking for a turn.
    pub fn refusal_wait(&mut self, now: Duration) -> Option<Duration> {
        let gap = self.told / SPREAD;
        let full = now < self.full_until;
        full.then(|| self.returns.reserve(self.told, gap, now))
    }

    /// Whether it says nothing that a new one would not.
    pub fn is_expired(&self, now: Duration) -> bool {
        now >= self.until && now >= self.spent_until && now >= self.since + 2 * SEEN
    }
}

/// The boxes that lend for a workspace, the same ones for all who know the same boxes: one in
/// each failure domain, and others where these are too few. Only the workspaces of a box
/// that comes or goes get another lender.
pub fn lenders<'a>(workspace: &str, boxes: &'a [Listing]) -> Vec<&'a Listing> {
    let seed = xxh3_64(workspace.as_bytes());
    let weight = |listing: &Listing| xxh3_64_with_seed(listing.name.as_bytes(), seed);
    let present = boxes.iter().filter(|listing| !listing.leaving);
    let mut ranked: Vec<(u64, &Listing)> = present.map(|l| (weight(l), l)).collect();
    ranked.sort_unstable_by_key(|(weight, _)| Reverse(*weight));
    let mut domains = HashSet::new();
    let (first, rest): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|(_, listing)| domains.insert(&listing.domain));
    let missing = LEAST_LENDERS.saturating_sub(first.len());
    let lenders = first.into_iter().chain(rest.into_iter().take(missing));
    lenders.map(|(_, listing)| listing).collect()
}
