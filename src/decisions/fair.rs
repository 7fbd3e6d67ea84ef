//! Start-time fair queue in front of a member's slots, shared by several partners.
//!
//! Each request gets a finish tag that grows by the inverse of its partner's weight; the
//! request with the lowest tag runs next. The tags of a partner that was idle start at the
//! current virtual time, so it neither saves up credit nor falls behind. Admission is by
//! deadline: a request whose expected wait passes its deadline is refused at once, with a
//! retry time.
//!
//! Where late answers are useful, a request that can't meet its soft deadline may wait for its
//! hard deadline. Such late requests run after all others and in a part of the slots only,
//! since slots filled with late requests would make the other requests late too.
//!
//! An idle transaction, one that is open between two statements, holds a connection but no
//! slot. Its next statement runs at once.
//!
//! No operation but `drain` walks the whole queue: with 100,000 requests waiting, a walk takes
//! 1.2 ms, and an operation about 1 us.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::retry_after::Schedule;

/// Increment of a tag for a request of weight 1.
const TAG_SCALE: u64 = 1_000_000;
/// Divisor of a new sample in the moving averages.
const SMOOTHING: u32 = 16;
/// Statement times kept free before a deadline.
const STATEMENT_MARGIN: u32 = 2;
/// Part of the expected wait that is kept free before a deadline, as a divisor.
const WAIT_MARGIN_DIVISOR: u32 = 4;
/// Part of the slots that late requests may use, as a divisor. The other slots stay free for
/// requests that can be on time.
const LATE_SLOTS_DIVISOR: usize = 2;
/// Late requests wait only if on-time requests leave them this share of the freed slots.
const MIN_LATE_SHARE: f64 = 0.25;
/// Partners to remember; above it, those without waiting requests are dropped.
const MAX_PARTNERS: usize = 1_024;

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs now.
    Run,
    /// The request is queued.
    Wait,
    /// The request does not run; a retry can succeed after this time.
    Refuse { retry_after: Duration },
}

/// Deadlines of a request, as points in time.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// An answer after it is late.
    pub soft: Duration,
    /// An answer after it is useless.
    pub hard: Duration,
}

impl From<Duration> for Deadlines {
    /// Uses one deadline as both the soft and the hard one.
    fn from(hard: Duration) -> Self {
        Self { soft: hard, hard }
    }
}

/// Whether a waiting request can still meet its soft deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Priority {
    OnTime,
    Late,
}

/// Sort key of a waiting request: on-time requests by finish tag, then late requests by hard
/// deadline; ties by order of arrival.
type Key = (Priority, u64, u64);

#[derive(Clone, Debug)]
struct Waiter {
    id: u64,
    partner: Arc<str>,
    deadlines: Deadlines,
    /// When the request expires: the soft deadline while it is on time, then the hard one.
    expiry: Duration,
}

/// State of one partner.
#[derive(Clone, Debug, Default)]
struct Partner {
    /// Finish tag of the partner's last queued request.
    finish: u64,
    /// On-time requests that wait.
    waiting: usize,
}

/// A queue in front of `capacity` slots.
#[derive(Clone, Debug)]
pub struct Queue {
    capacity: usize,
    /// Most running requests and idle transactions together.
    connection_limit: usize,
    running: usize,
    idle_transactions: usize,
    /// Whether requests may be answered after their soft deadline.
    serves_late: bool,
    /// Late requests that wait.
    late: usize,
    /// Since when late requests have waited without one of them getting a slot.
    late_stalled_since: Option<Duration>,
    /// Moving average of the share of freed slots that went to on-time requests.
    on_time_share: f64,
    retry_schedule: Schedule,
    /// Time of the latest call that carried one.
    clock: Duration,
    waiting: BTreeMap<Key, Waiter>,
    /// Keys of the waiting requests, by id.
    keys: HashMap<u64, Key>,
    expiries: BTreeSet<(Duration, u64)>,
    partners: BTreeMap<Arc<str>, Partner>,
    /// Partners with on-time requests that wait.
    active_partners: usize,
    virtual_time: u64,
    sequence: u64,
    /// Moving average of the time for which a slot is held.
    service_time: Duration,
    statement_time: Option<Duration>,
}

impl Queue {
    pub fn new(capacity: usize, service_time: Duration) -> Self {
        Self {
            capacity,
            connection_limit: usize::MAX,
            running: 0,
            idle_transactions: 0,
            serves_late: false,
            late: 0,
            late_stalled_since: None,
            on_time_share: 0.0,
            retry_schedule: Schedule::default(),
            clock: Duration::ZERO,
            waiting: BTreeMap::new(),
            keys: HashMap::new(),
            expiries: BTreeSet::new(),
            partners: BTreeMap::new(),
            active_partners: 0,
            virtual_time: 0,
            sequence: 0,
            service_time,
            statement_time: None,
        }
    }

    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Limits running requests and idle transactions together.
    pub fn set_connection_limit(&mut self, connections: usize) {
        self.connection_limit = connections;
    }

    /// Lets requests wait past their soft deadline, behind those that are on time.
    pub fn set_serves_late(&mut self, serves_late: bool) {
        self.serves_late = serves_late;
    }

    pub fn running(&self) -> usize {
        self.running
    }

    /// Open transactions between two statements.
    pub fn idle_transactions(&self) -> usize {
        self.idle_transactions
    }

    /// Slots that requests can use: idle transactions may leave too few connections for all.
    pub fn slots(&self) -> usize {
        let free = self.connection_limit.saturating_sub(self.idle_transactions);
        self.capacity.min(free).max(1)
    }

    /// Slots that late requests may use.
    fn late_slots(&self) -> usize {
        (self.slots() / LATE_SLOTS_DIVISOR).max(1)
    }

    /// Waiting requests that can meet their soft deadline.
    pub fn waiting_on_time(&self) -> usize {
        self.waiting.len() - self.late
    }

    /// All waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a request that arrives now runs at once.
    pub fn admits_at_once(&self) -> bool {
        self.has_free_slot() && self.waiting_on_time() == 0
    }

    fn has_free_slot(&self) -> bool {
        self.running < self.capacity
            && self.running + self.idle_transactions < self.connection_limit
    }

    /// Runs, queues or refuses an arriving request.
    pub fn admit(
        &mut self,
        id: u64,
        partner: &Arc<str>,
        weight: u32,
        now: Duration,
        deadlines: impl Into<Deadlines>,
    ) -> Admission {
        let deadlines = deadlines.into();
        self.clock = now;
        if self.admits_at_once() {
            self.running += 1;
            return Admission::Run;
        }
        let ahead = self.partners.get(partner).map_or(0, |state| state.waiting);
        let wait = self.expected_wait_behind(ahead, self.active_partners.max(1));
        if now + wait + self.margin(wait) <= deadlines.soft {
            self.enqueue(id, partner, weight, deadlines);
            return Admission::Wait;
        }
        if self.may_wait_late(deadlines, now) {
            self.enqueue_late(id, partner.clone(), deadlines);
            return Admission::Wait;
        }
        let retry_after = match self.serves_late {
            true => self.schedule_retry(now),
            false => wait,
        };
        Admission::Refuse { retry_after }
    }

    /// Whether a late request can meet its hard deadline. The expected wait counts the slots
    /// that on-time requests leave, and is at least as long as the late requests have been
    /// stalled.
    fn may_wait_late(&self, deadlines: Deadlines, now: Duration) -> bool {
        let queue = self.service_time * (self.waiting.len() as u32 + 1) / self.late_slots() as u32;
        let late_share = 1.0 - self.on_time_share;
        if late_share < MIN_LATE_SHARE {
            return false;
        }
        let queue = queue.div_f64(late_share);
        let stall = self
            .late_stalled_since
            .map_or(Duration::ZERO, |since| now.saturating_sub(since));
        let wait = queue.max(stall);
        self.serves_late && now + wait + self.margin(wait) <= deadlines.hard
    }

    /// Reserves a retry time for a refused request and returns the wait until then.
    pub fn schedule_retry(&mut self, now: Duration) -> Duration {
        let gap = self.service_time / self.slots() as u32;
        let queue = gap * (self.waiting.len() as u32 + 1);
        self.retry_schedule.reserve(queue, gap, now)
    }

    fn enqueue_late(&mut self, id: u64, partner: Arc<str>, deadlines: Deadlines) {
        self.sequence += 1;
        let hard = u64::try_from(deadlines.hard.as_micros()).unwrap_or(u64::MAX);
        self.late += 1;
        self.late_stalled_since = self.late_stalled_since.or(Some(self.clock));
        let waiter = Waiter {
            id,
            partner,
            deadlines,
            expiry: deadlines.hard,
        };
        self.insert((Priority::Late, hard, self.sequence), waiter);
    }

    fn insert(&mut self, key: Key, waiter: Waiter) {
        self.keys.insert(waiter.id, key);
        self.expiries.insert((waiter.expiry, waiter.id));
        self.waiting.insert(key, waiter);
    }

    fn enqueue(&mut self, id: u64, partner: &Arc<str>, weight: u32, deadlines: Deadlines) {
        if self.partners.len() >= MAX_PARTNERS {
            self.partners.retain(|_, partner| partner.waiting > 0);
        }
        let state = self.partners.entry(partner.clone()).or_default();
        state.finish = state.finish.max(self.virtual_time) + TAG_SCALE / u64::from(weight.max(1));
        self.active_partners += usize::from(state.waiting == 0);
        state.waiting += 1;
        self.sequence += 1;
        let key = (Priority::OnTime, state.finish, self.sequence);
        let waiter = Waiter {
            id,
            partner: partner.clone(),
            deadlines,
            expiry: deadlines.soft,
        };
        self.insert(key, waiter);
    }

    /// Expected wait behind `ahead` requests of the same partner, with slots shared equally
    /// between `active_partners`.
    fn expected_wait_behind(&self, ahead: usize, active_partners: usize) -> Duration {
        let requests = (ahead + 1) * active_partners;
        self.service_time * requests as u32 / self.slots() as u32
    }

    /// Time kept free between the expected start and the deadline, for the statement itself
    /// and for a wait that turns out longer: an answer after the deadline is wasted work.
    fn margin(&self, wait: Duration) -> Duration {
        self.statement_time() * STATEMENT_MARGIN + wait / WAIT_MARGIN_DIVISOR
    }

    /// Sets the time that a statement takes, where a slot may be held for longer than that.
    pub fn set_statement_time(&mut self, statement_time: Duration) {
        self.statement_time = Some(statement_time);
    }

    fn statement_time(&self) -> Duration {
        self.statement_time.unwrap_or(self.service_time)
    }

    /// Frees the slot and the connection of a request after `held`. Returns the next request
    /// to run.
    pub fn finish(&mut self, held: Duration) -> Option<u64> {
        assert!(self.running > 0, "a request finished that was not running");
        self.running -= 1;
        self.record_service_time(held);
        self.admit_next()
    }

    /// Frees the slot of a statement after `held` and keeps the connection for its open
    /// transaction, which is idle from now on. Returns the next request to run.
    pub fn go_idle(&mut self, held: Duration) -> Option<u64> {
        assert!(
            self.running > 0,
            "a transaction went idle that was not running"
        );
        self.running -= 1;
        self.idle_transactions += 1;
        self.record_service_time(held);
        self.admit_next()
    }

    /// Runs the next statement of an idle transaction. It never waits, since its transaction
    /// holds a connection that the waiting requests need.
    pub fn resume(&mut self) {
        assert!(
            self.idle_transactions > 0,
            "a transaction resumed that was not idle"
        );
        self.idle_transactions -= 1;
        self.running += 1;
    }

    /// Frees the connection of an idle transaction that ended without another statement.
    /// Returns the next request to run.
    pub fn end_idle(&mut self) -> Option<u64> {
        assert!(
            self.idle_transactions > 0,
            "a transaction ended that was not idle"
        );
        self.idle_transactions -= 1;
        self.admit_next()
    }

    fn record_service_time(&mut self, held: Duration) {
        self.service_time = (self.service_time * (SMOOTHING - 1) + held) / SMOOTHING;
    }

    /// Records whether a freed slot went to an on-time request.
    fn record_freed_slot(&mut self, on_time: bool) {
        let share = if on_time { 1.0 } else { 0.0 };
        self.on_time_share += (share - self.on_time_share) / f64::from(SMOOTHING / 2);
    }

    /// Starts the next waiting request if a slot is free and returns its id. Also to be called
    /// after a change of the capacity or the connection limit.
    pub fn admit_next(&mut self) -> Option<u64> {
        if !self.has_free_slot() {
            return None;
        }
        let first = self.waiting.first_key_value();
        let on_time = first.is_some_and(|((priority, ..), _)| *priority == Priority::OnTime);
        self.record_freed_slot(on_time);
        if !on_time && self.running >= self.late_slots() {
            return None;
        }
        let (key, waiter) = self.waiting.pop_first()?;
        if key.0 == Priority::OnTime {
            self.virtual_time = self.virtual_time.max(key.1);
        }
        self.unindex(key, &waiter);
        if key.0 == Priority::Late {
            self.late_stalled_since = (self.late > 0).then_some(self.clock);
        }
        self.running += 1;
        Some(waiter.id)
    }

    /// Removes a waiting request. Returns false if the request does not wait.
    pub fn remove(&mut self, id: u64) -> bool {
        let Some(key) = self.keys.get(&id).copied() else {
            return false;
        };
        let waiter = self.waiting.remove(&key).expect("an indexed request waits");
        self.unindex(key, &waiter);
        true
    }

    /// Removes and returns the requests that can't be answered in time any more. An on-time
    /// request that would miss its soft deadline is kept as a late one if it can still meet its
    /// hard deadline.
    pub fn expire(&mut self, now: Duration) -> Vec<u64> {
        self.clock = now;
        let end = now + self.statement_time();
        let due = self.expiries.iter();
        let due = due.take_while(|(expiry, _)| *expiry < end);
        let mut ids: Vec<u64> = due.map(|(_, id)| *id).collect();
        ids.retain(|id| !self.make_late(*id, now));
        for id in &ids {
            self.remove(*id);
        }
        ids
    }

    /// Moves an on-time request behind all on-time ones. Returns false if the request is late
    /// already or could not meet its hard deadline there.
    fn make_late(&mut self, id: u64, now: Duration) -> bool {
        let key = self.keys[&id];
        let deadlines = self.waiting[&key].deadlines;
        if key.0 == Priority::Late || !self.may_wait_late(deadlines, now) {
            return false;
        }
        let waiter = self.waiting.remove(&key).expect("an indexed request waits");
        self.unindex(key, &waiter);
        self.enqueue_late(id, waiter.partner, deadlines);
        true
    }

    /// When `expire` has to be called next.
    pub fn next_expiry(&self) -> Option<Duration> {
        let (expiry, _) = self.expiries.first()?;
        Some(expiry.saturating_sub(self.statement_time()))
    }

    /// Removes and returns all waiting requests.
    pub fn drain(&mut self) -> Vec<u64> {
        self.keys.clear();
        self.expiries.clear();
        self.active_partners = 0;
        self.late = 0;
        self.late_stalled_since = None;
        for partner in self.partners.values_mut() {
            partner.waiting = 0;
        }
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|waiter| waiter.id).collect()
    }

    /// Expected wait of a request that arrives now.
    pub fn expected_wait(&self) -> Duration {
        self.service_time * (self.waiting_on_time() as u32 / self.slots() as u32 + 1)
    }

    /// Updates the indexes and counts for a request that was removed from `waiting`.
    fn unindex(&mut self, key: Key, waiter: &Waiter) {
        self.keys.remove(&waiter.id);
        self.expiries.remove(&(waiter.expiry, waiter.id));
        if key.0 == Priority::Late {
            self.late -= 1;
            if self.late == 0 {
                self.late_stalled_since = None;
            }
            return;
        }
        let partner = self.partners.get_mut(&waiter.partner);
        let partner = partner.expect("a partner with waiting requests is remembered");
        partner.waiting -= 1;
        self.active_partners -= usize::from(partner.waiting == 0);
    }
}
