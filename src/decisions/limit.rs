//! Rate limits of workspaces, held over all boxes.
//!
//! A limit is split into equal parts, and each part is lent out by one box, its lender. There
//! is one lender in each failure domain, and more where there are few domains. A caller's box
//! borrows from the lender in its own domain first and then from the others, so operations go
//! where the callers are. The parts never add up to more than the limit, whichever boxes are
//! cut off from each other: a domain that is cut off has its own part, and when a lender is
//! lost, the others still lend theirs.
//!
//! Borrowed operations expire soon, so that they count about when they were lent. A box that
//! starts, or becomes a lender of a workspace, doesn't know what was lent before. Its bucket is
//! therefore filled from that time on only, except for the slack that the limit allows.
//!
//! When a part is used up, an operation can wait at the lender, in a queue for all boxes, or
//! its caller gets a retry time.

mod lender;
mod queue;

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::retry_after::Schedule;
use crate::borders::roster::Listing;
pub use lender::{Decision, Lender, Ticket};
pub use queue::{Forecast, Queue};

/// Fewest lenders of a workspace: with one lost, two thirds of the limit remain.
const MIN_LENDERS: usize = 3;
/// Time for which borrowed operations may be used: much shorter than any window in which a
/// limit is counted, but longer than a round trip to the lender on a busy box.
const LOAN_LIFETIME: Duration = Duration::from_millis(200);
/// A box borrows ahead what it expects in this time, which bounds how often it borrows.
const BORROW_AHEAD: Duration = Duration::from_millis(100);
/// Time over which the rate of operations is measured.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Most operations to borrow at once.
const MAX_BORROWED: u32 = 256;
/// Time for which a lender that did not answer isn't asked again, so that later operations
/// don't wait for it too.
pub const LENDER_COOLDOWN: Duration = Duration::from_millis(500);
/// Time for which a lender with a full queue isn't asked for a grant again; otherwise, a
/// workspace far beyond its limit would send its lenders one request for each operation.
const FULL_QUEUE_COOLDOWN: Duration = Duration::from_millis(100);
/// Spacing of the retry times given out during that cooldown: this part of the lender's wait,
/// as a divisor.
const RETRY_SPACING_DIVISOR: u32 = 16;
/// Shortest retry time, about one round trip.
const MIN_RETRY: Duration = Duration::from_millis(2);
const MAX_RETRY: Duration = Duration::from_secs(5);

/// Rate limit of a workspace, or a part of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Operations per second.
    pub rate: f64,
    /// Most operations at once, after an idle time.
    pub burst: f64,
    /// Operations that a new lender may lend at once, not knowing what was lent before.
    pub initial: f64,
}

impl Limit {
    /// Creates a declared limit that may be exceeded by `slack` operations. The burst is at
    /// least one operation, or none would ever be admitted, unless the rate is 0.
    pub fn new(rate: u32, burst: u32, slack: u32) -> Self {
        let min_burst = if rate > 0 { 1.0 } else { 0.0 };
        Self {
            rate: f64::from(rate),
            burst: (f64::from(burst) + f64::from(slack)).max(min_burst),
            initial: f64::from(slack),
        }
    }

    /// Returns the limit, raised by the fraction by which the operator allows it to be exceeded.
    pub fn with_overage(self, overage: f64) -> Self {
        Self {
            rate: self.rate * (1.0 + overage),
            burst: self.burst * (1.0 + overage),
            initial: self.initial,
        }
    }

    /// Returns into how many parts the limit is split. The burst of each part is at least one
    /// operation, or its lender could never lend.
    pub fn part_count(self, lenders: usize) -> usize {
        (self.burst as usize).clamp(1, lenders.max(1))
    }

    /// Returns one of `count` equal parts.
    pub fn part(self, count: usize) -> Self {
        let count = count.max(1) as f64;
        Self {
            rate: self.rate / count,
            burst: self.burst / count,
            initial: self.initial / count,
        }
    }
}

/// Token bucket of a lender: one token for each operation that may be lent.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    limit: Limit,
    tokens: f64,
    filled_at: Duration,
}

impl Bucket {
    /// Creates a bucket that has been filling since `since`.
    pub fn new(limit: Limit, since: Duration, now: Duration) -> Self {
        let mut bucket = Self {
            limit,
            tokens: limit.initial,
            filled_at: since,
        };
        bucket.fill(limit, now);
        bucket
    }

    /// Adds the tokens gained until now, at the lower of the old and the new rate, and applies
    /// the new limit.
    fn fill(&mut self, limit: Limit, now: Duration) {
        let rate = self.limit.rate.min(limit.rate);
        let gained = rate * now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + gained).min(limit.burst);
        self.limit = limit;
        self.filled_at = now;
    }

    /// Lends up to `wanted` operations. If there are none, returns the wait for the next one.
    pub fn take(&mut self, limit: Limit, wanted: u32, now: Duration) -> Loan {
        self.fill(limit, now);
        let granted = self.tokens.min(f64::from(wanted)).floor();
        self.tokens -= granted;
        if granted >= 1.0 {
            return Loan::Granted(granted as u32);
        }
        let forecast = self.forecast(limit, now);
        Loan::Spent((forecast.first - now).clamp(MIN_RETRY, MAX_RETRY))
    }

    /// Returns when the next operations can be lent.
    fn forecast(&mut self, limit: Limit, now: Duration) -> Forecast {
        self.fill(limit, now);
        let time_for = |operations: f64| {
            let seconds = (operations / limit.rate).max(0.0);
            match seconds < MAX_RETRY.as_secs_f64() {
                true => Duration::from_secs_f64(seconds),
                false => MAX_RETRY,
            }
        };
        Forecast {
            first: now + time_for(1.0 - self.tokens),
            gap: time_for(1.0),
        }
    }
}

/// A lender's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Loan {
    /// The number of operations lent.
    Granted(u32),
    /// The lender's part is used up for this long.
    Spent(Duration),
}

/// Operations of one workspace that a box has borrowed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    tokens: u32,
    /// When the tokens expire.
    expires: Duration,
    /// Until when the lenders have nothing to lend.
    exhausted_until: Duration,
    /// Until when a lender's queue is taken to be full.
    queue_full_until: Duration,
    /// The wait that this lender returned.
    retry_wait: Duration,
    retry_schedule: Schedule,
    /// Operations since `window_start`.
    operations: u32,
    window_start: Duration,
    /// Operations per second in the window before.
    rate: f64,
}

/// How to pay for one more operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spending {
    /// A token was taken.
    Paid,
    /// The limit is used up for this long.
    Exhausted(Duration),
    /// This number of operations should be borrowed first.
    Borrow(u32),
}

impl Allowance {
    /// Counts an operation that arrives.
    pub fn record_operation(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.window_start);
        if passed >= RATE_WINDOW {
            self.rate = f64::from(self.operations) / passed.as_secs_f64();
            self.operations = 0;
            self.window_start = now;
        }
        self.operations += 1;
    }

    /// Pays for one operation, while `waiting` others wait for a lender's answer.
    pub fn spend(&mut self, waiting: u32, now: Duration) -> Spending {
        if now < self.expires && self.tokens > 0 {
            self.tokens -= 1;
            return Spending::Paid;
        }
        if now < self.exhausted_until {
            return Spending::Exhausted(self.exhausted_until - now);
        }
        let ahead = (self.rate * BORROW_AHEAD.as_secs_f64()) as u32;
        Spending::Borrow((1 + waiting + ahead).min(MAX_BORROWED))
    }

    /// Records a lender's answer.
    pub fn record_loan(&mut self, loan: Loan, now: Duration) {
        match loan {
            Loan::Granted(tokens) => {
                let kept = if now < self.expires { self.tokens } else { 0 };
                self.tokens = kept + tokens;
                self.expires = now + LOAN_LIFETIME;
            }
            Loan::Spent(wait) => self.exhausted_until = now + wait,
        }
    }

    /// Records that a lender had no grant in time for an operation, and the wait it returned.
    pub fn record_full_queue(&mut self, wait: Duration, now: Duration) {
        self.queue_full_until = now + FULL_QUEUE_COOLDOWN;
        self.retry_wait = wait;
    }

    /// Returns the retry wait for a caller while a lender's queue is taken to be full.
    pub fn refusal_wait(&mut self, now: Duration) -> Option<Duration> {
        let gap = self.retry_wait / RETRY_SPACING_DIVISOR;
        let full = now < self.queue_full_until;
        full.then(|| self.retry_schedule.reserve(self.retry_wait, gap, now))
    }

    /// Whether all that is recorded is out of date, so that a new allowance does as well.
    pub fn is_expired(&self, now: Duration) -> bool {
        now >= self.expires
            && now >= self.exhausted_until
            && now >= self.window_start + 2 * RATE_WINDOW
    }
}

/// Returns the lenders of a workspace by rendezvous hashing: one in each failure domain, and
/// more where there are few domains. Boxes with the same list agree on the lenders, and a box
/// that joins or leaves changes only the lenders of its own workspaces.
pub fn lenders<'a>(workspace: &str, boxes: &'a [Listing]) -> Vec<&'a Listing> {
    let seed = xxh3_64(workspace.as_bytes());
    let weight = |listing: &Listing| xxh3_64_with_seed(listing.name.as_bytes(), seed);
    let present = boxes.iter().filter(|listing| !listing.leaving);
    let mut ranked: Vec<(u64, &Listing)> = present.map(|l| (weight(l), l)).collect();
    ranked.sort_unstable_by_key(|(weight, _)| Reverse(*weight));
    let mut domains = HashSet::new();
    let (first, others): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|(_, listing)| domains.insert(&listing.domain));
    let missing = MIN_LENDERS.saturating_sub(first.len());
    let lenders = first.into_iter().chain(others.into_iter().take(missing));
    lenders.map(|(_, listing)| listing).collect()
}
