//! Fair admission of several partners to one limited resource.
//!
//! Start-time fair queueing: each request gets a finish tag that grows by the
//! inverse of its partner's weight, and the least tag runs next. A partner that
//! was quiet starts at the present, so it neither saves up nor is made to wait.
//! Admission is by deadline: a request whose expected wait passes its deadline
//! is refused at once, with the time to come back.
//!
//! Where late answers are worth something, a request that can't be answered within its aim
//! waits behind all that can, while it can be answered within its limit, for a part of the
//! places: always busy with late ones, a resource would make all others late too. Refused
//! callers come back one after the other.
//!
//! An open transaction that rests between its statements keeps its connection and no place:
//! it works for nobody. Its next statement runs at once.
//!
//! No decision walks the queue: with 100,000 waiting one takes 1 us instead of 1.2 ms
//! (examples/queue).

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::retry_after::Schedule;

/// By how much a tag grows with a request of weight 1.
const SCALE: u64 = 1_000_000;
/// Answers over which the mean is taken, about.
const SMOOTHING: u32 = 16;
const SERVICES_KEPT: u32 = 2;
const WAIT_SHARE_KEPT: u32 = 4;
/// Part of the places that late requests may have, as a divisor: a place must be free at once
/// for one that can be on time, and late ones must not keep the resource busy by themselves.
const LATE_PART: usize = 2;
/// Share of the places that those on time have to leave before late ones wait at all.
const LEAST_LEFT: f64 = 0.25;
/// Partners that are remembered; beyond it, those of whom nothing waits are forgotten.
const MOST_LINES: usize = 1_024;

/// What becomes of an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Runs now.
    Run,
    /// Waits its turn.
    Wait,
    /// Not run; worth another try after this time.
    Refuse { retry_after: Duration },
}

/// Until when a request is worth an answer.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// Answered later, it is late.
    pub soft: Duration,
    /// Answered later, it is lost.
    pub hard: Duration,
}

impl From<Duration> for Deadlines {
    /// One that is on time until it is lost.
    fn from(limit: Duration) -> Self {
        Self {
            soft: limit,
            hard: limit,
        }
    }
}

/// Whether a request that waits can still be answered within its aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    OnTime,
    Late,
}

/// Who is next: those on time by finish tag, then the late ones by limit; order of arrival
/// among equal ones.
type Turn = (Class, u64, u64);

#[derive(Clone, Debug)]
struct Waiter {
    id: u64,
    partner: Arc<str>,
    due: Deadlines,
    /// When it is refused, or becomes late.
    deadline: Duration,
}

/// One partner's requests.
#[derive(Clone, Debug, Default)]
struct Line {
    /// Tag of the last one.
    finish: u64,
    waiting: usize,
}

/// A queue before `capacity` places.
#[derive(Clone, Debug)]
pub struct Queue {
    capacity: usize,
    /// Running requests and resting transactions at once.
    connections: usize,
    running: usize,
    /// Open transactions between their statements.
    idle_transactions: usize,
    /// Requests may be answered after their aim.
    serves_late: bool,
    /// Late ones that wait.
    late: usize,
    /// Since when late ones have waited without one of them getting a place.
    stalled: Option<Duration>,
    /// Share of the places that became free of late and went to one on time: what is left is
    /// for late ones.
    taken: f64,
    returns: Schedule,
    /// Time of the last event that told it.
    clock: Duration,
    waiting: BTreeMap<Turn, Waiter>,
    /// By request.
    turns: HashMap<u64, Turn>,
    deadlines: BTreeSet<(Duration, u64)>,
    lines: BTreeMap<Arc<str>, Line>,
    /// Partners of whom something waits.
    active: usize,
    virtual_time: u64,
    sequence: u64,
    /// Time a place is held.
    service: Duration,
    run: Option<Duration>,
}

impl Queue {
    pub fn new(capacity: usize, service: Duration) -> Self {
        Self {
            capacity,
            connections: usize::MAX,
            running: 0,
            idle_transactions: 0,
            serves_late: false,
            late: 0,
            stalled: None,
            taken: 0.0,
            returns: Schedule::default(),
            clock: Duration::ZERO,
            waiting: BTreeMap::new(),
            turns: HashMap::new(),
            deadlines: BTreeSet::new(),
            lines: BTreeMap::new(),
            active: 0,
            virtual_time: 0,
            sequence: 0,
            service,
            run: None,
        }
    }

    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Running requests and resting transactions at once.
    pub fn set_connection_limit(&mut self, connections: usize) {
        self.connections = connections;
    }

    /// Lets requests wait past their aim, behind those that are on time.
    pub fn set_serves_late(&mut self, serves_late: bool) {
        self.serves_late = serves_late;
    }

    pub fn running(&self) -> usize {
        self.running
    }

    /// Open transactions between their statements.
    pub fn idle_transactions(&self) -> usize {
        self.idle_transactions
    }

    /// Places that requests may have now.
    pub fn slots(&self) -> usize {
        let free = self.connections.saturating_sub(self.idle_transactions);
        self.capacity.min(free).max(1)
    }

    /// Places that late requests may have.
    fn late_places(&self) -> usize {
        (self.slots() / LATE_PART).max(1)
    }

    /// Requests that wait and can be answered within their aim.
    pub fn waiting_on_time(&self) -> usize {
        self.waiting.len() - self.late
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn admits_at_once(&self) -> bool {
        self.has_place() && self.waiting_on_time() == 0
    }

    fn has_place(&self) -> bool {
        self.running < self.capacity && self.running + self.idle_transactions < self.connections
    }

    pub fn admit(
        &mut self,
        id: u64,
        partner: &Arc<str>,
        weight: u32,
        now: Duration,
        due: impl Into<Deadlines>,
    ) -> Admission {
        let due = due.into();
        self.clock = now;
        if self.admits_at_once() {
            self.running += 1;
            return Admission::Run;
        }
        let own = self.lines.get(partner).map_or(0, |line| line.waiting);
        let wait = self.expected(own, self.active.max(1));
        if now + wait + self.allowance(wait) <= due.soft {
            self.enqueue(id, partner, weight, due);
            return Admission::Wait;
        }
        if self.may_wait_late(due, now) {
            self.enqueue_late(id, partner.clone(), due);
            return Admission::Wait;
        }
        let retry_after = match self.serves_late {
            true => self.schedule_retry(now),
            false => wait,
        };
        Admission::Refuse { retry_after }
    }

    /// Whether a request that can't be on time can be answered before its limit. A line of
    /// late ones that has not moved for some time will not move within a shorter one, and it
    /// moves by what those on time leave.
    fn may_wait_late(&self, due: Deadlines, now: Duration) -> bool {
        let queue = self.service * (self.waiting.len() as u32 + 1) / self.late_places() as u32;
        let left = 1.0 - self.taken;
        if left < LEAST_LEFT {
            return false;
        }
        let queue = queue.div_f64(left);
        let stall = self
            .stalled
            .map_or(Duration::ZERO, |since| now.saturating_sub(since));
        let wait = queue.max(stall);
        self.serves_late && now + wait + self.allowance(wait) <= due.hard
    }

    /// Time after which a caller refused now finds room.
    pub fn schedule_retry(&mut self, now: Duration) -> Duration {
        let gap = self.service / self.slots() as u32;
        let queue = gap * (self.waiting.len() as u32 + 1);
        self.returns.reserve(queue, gap, now)
    }

    fn enqueue_late(&mut self, id: u64, partner: Arc<str>, due: Deadlines) {
        self.sequence += 1;
        let limit = u64::try_from(due.hard.as_micros()).unwrap_or(u64::MAX);
        self.late += 1;
        self.stalled = self.stalled.or(Some(self.clock));
        let waiter = Waiter {
            id,
            partner,
            due,
            deadline: due.hard,
        };
        self.insert((Class::Late, limit, self.sequence), waiter);
    }

    fn insert(&mut self, turn: Turn, waiter: Waiter) {
        self.turns.insert(waiter.id, turn);
        self.deadlines.insert((waiter.deadline, waiter.id));
        self.waiting.insert(turn, waiter);
    }

    fn enqueue(&mut self, id: u64, partner: &Arc<str>, weight: u32, due: Deadlines) {
        if self.lines.len() >= MOST_LINES {
            self.lines.retain(|_, line| line.waiting > 0);
        }
        let line = self.lines.entry(partner.clone()).or_default();
        line.finish = line.finish.max(self.virtual_time) + SCALE / u64::from(weight.max(1));
        self.active += usize::from(line.waiting == 0);
        line.waiting += 1;
        self.sequence += 1;
        let turn = (Class::OnTime, line.finish, self.sequence);
        let waiter = Waiter {
            id,
            partner: partner.clone(),
            due,
            deadline: due.soft,
        };
        self.insert(turn, waiter);
    }

    /// Expected wait behind `own` of the partner's requests with `active` partners.
    fn expected(&self, own: usize, active: usize) -> Duration {
        let turns = (own + 1) * active;
        self.service * turns as u32 / self.slots() as u32
    }

    /// Time kept between the expected start and the deadline: for the statement
    /// itself, and for the wait to turn out longer. An answer after its deadline
    /// is work for nothing.
    fn allowance(&self, wait: Duration) -> Duration {
        self.run() * SERVICES_KEPT + wait / WAIT_SHARE_KEPT
    }

    /// Time a statement takes, where a place is held for longer than one.
    pub fn set_statement_time(&mut self, run: Duration) {
        self.run = Some(run);
    }

    fn run(&self) -> Duration {
        self.run.unwrap_or(self.service)
    }

    /// A place became free after `took`. Who runs next, if anyone waits.
    pub fn finish(&mut self, took: Duration) -> Option<u64> {
        assert!(self.running > 0, "a place is released that nobody held");
        self.running -= 1;
        self.note_service(took);
        self.admit_next()
    }

    /// A transaction rests after a statement that took a place for `took`: it keeps its
    /// connection alone.
    pub fn go_idle(&mut self, took: Duration) -> Option<u64> {
        assert!(self.running > 0, "a transaction rests that did not run");
        self.running -= 1;
        self.idle_transactions += 1;
        self.note_service(took);
        self.admit_next()
    }

    /// A resting transaction runs again. It holds what others wait for, so it does not wait.
    pub fn resume(&mut self) {
        assert!(
            self.idle_transactions > 0,
            "a transaction runs on that did not rest"
        );
        self.idle_transactions -= 1;
        self.running += 1;
    }

    /// A resting transaction is given up.
    pub fn end_idle(&mut self) -> Option<u64> {
        assert!(
            self.idle_transactions > 0,
            "a transaction ends that did not rest"
        );
        self.idle_transactions -= 1;
        self.admit_next()
    }

    fn note_service(&mut self, took: Duration) {
        self.service = (self.service * (SMOOTHING - 1) + took) / SMOOTHING;
    }

    /// Notes whether a place that became free went to one on time.
    fn note_taken(&mut self, on_time: bool) {
        let share = if on_time { 1.0 } else { 0.0 };
        self.taken += (share - self.taken) / f64::from(SMOOTHING / 2);
    }

    /// Fills a place that is free without a release, as after a change of capacity.
    pub fn admit_next(&mut self) -> Option<u64> {
        if !self.has_place() {
            return None;
        }
        let first = self.waiting.first_key_value();
        let on_time = first.is_some_and(|((class, ..), _)| *class == Class::OnTime);
        self.note_taken(on_time);
        if !on_time && self.running >= self.late_places() {
            return None;
        }
        let (turn, waiter) = self.waiting.pop_first()?;
        if turn.0 == Class::OnTime {
            self.virtual_time = self.virtual_time.max(turn.1);
        }
        self.forget(turn, &waiter);
        if turn.0 == Class::Late {
            self.stalled = (self.late > 0).then_some(self.clock);
        }
        self.running += 1;
        Some(waiter.id)
    }

    /// Takes out a waiter that gave up. False when it runs already.
    pub fn remove(&mut self, id: u64) -> bool {
        let Some(turn) = self.turns.get(&id).copied() else {
            return false;
        };
        let waiter = self.waiting.remove(&turn).expect("who has a turn waits");
        self.forget(turn, &waiter);
        true
    }

    /// Takes out those who can't be served by their limit any more, to be answered at once.
    /// Those who can't be on time any more wait behind the others.
    pub fn expire(&mut self, now: Duration) -> Vec<u64> {
        self.clock = now;
        let end = now + self.run();
        let due = self.deadlines.iter();
        let due = due.take_while(|(deadline, _)| *deadline < end);
        let mut ids: Vec<u64> = due.map(|(_, id)| *id).collect();
        ids.retain(|id| !self.becomes_late(*id, now));
        for id in &ids {
            self.remove(*id);
        }
        ids
    }

    /// Has a request that was on time wait behind the others, where that makes sense.
    fn becomes_late(&mut self, id: u64, now: Duration) -> bool {
        let turn = self.turns[&id];
        let due = self.waiting[&turn].due;
        if turn.0 == Class::Late || !self.may_wait_late(due, now) {
            return false;
        }
        let waiter = self.waiting.remove(&turn).expect("who has a turn waits");
        self.forget(turn, &waiter);
        self.enqueue_late(id, waiter.partner, due);
        true
    }

    /// When somebody who waits is refused, or becomes late, if no place becomes free.
    pub fn next_expiry(&self) -> Option<Duration> {
        let (deadline, _) = self.deadlines.first()?;
        Some(deadline.saturating_sub(self.run()))
    }

    /// Takes out all who wait.
    pub fn drain(&mut self) -> Vec<u64> {
        self.turns.clear();
        self.deadlines.clear();
        self.active = 0;
        self.late = 0;
        self.stalled = None;
        for line in self.lines.values_mut() {
            line.waiting = 0;
        }
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|waiter| waiter.id).collect()
    }

    /// Expected wait of a newcomer.
    pub fn expected_wait(&self) -> Duration {
        self.service * (self.waiting_on_time() as u32 / self.slots() as u32 + 1)
    }

    fn forget(&mut self, turn: Turn, waiter: &Waiter) {
        self.turns.remove(&waiter.id);
        self.deadlines.remove(&(waiter.deadline, waiter.id));
        if turn.0 == Class::Late {
            self.late -= 1;
            if self.late == 0 {
                self.stalled = None;
            }
            return;
        }
        let line = self.lines.get_mut(&waiter.partner);
        let line = line.expect("whoever waits has a line");
        line.waiting -= 1;
        self.active -= usize::from(line.waiting == 0);
    }
}
