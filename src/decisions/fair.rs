//! Fair admission of several partners to one limited resource.
//!
//! Start-time fair queueing: each request gets a finish tag that grows by the
//! inverse of its partner's weight, and the least tag runs next. A partner that
//! was quiet starts at the present, so it neither saves up nor is made to wait.
//! Admission is by deadline: a request whose expected wait passes its deadline
//! is refused at once, with the time to come back.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const SCALE: u64 = 1_000_000;
const SMOOTHING: u32 = 16;
const SERVICES_KEPT: u32 = 2;
const WAIT_SHARE_KEPT: u32 = 4;

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

#[derive(Clone, Debug)]
struct Waiter {
    id: u64,
    partner: Arc<str>,
    deadline: Duration,
}

/// A queue before `capacity` places.
#[derive(Clone, Debug)]
pub struct Fair {
    capacity: usize,
    running: usize,
    waiting: BTreeMap<(u64, u64), Waiter>,
    finish: BTreeMap<Arc<str>, u64>,
    queued: BTreeMap<Arc<str>, usize>,
    virtual_time: u64,
    sequence: u64,
    /// Time a place is held.
    service: Duration,
    run: Option<Duration>,
}

impl Fair {
    pub fn new(capacity: usize, service: Duration) -> Self {
        Self {
            capacity,
            running: 0,
            waiting: BTreeMap::new(),
            finish: BTreeMap::new(),
            queued: BTreeMap::new(),
            virtual_time: 0,
            sequence: 0,
            service,
            run: None,
        }
    }

    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    pub fn running(&self) -> usize {
        self.running
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn has_room(&self) -> bool {
        self.running < self.capacity && self.waiting.is_empty()
    }

    pub fn arrive(
        &mut self,
        id: u64,
        partner: &Arc<str>,
        weight: u32,
        now: Duration,
        deadline: Duration,
    ) -> Admission {
        if self.has_room() {
            self.running += 1;
            return Admission::Run;
        }
        let own = self.queued.get(partner).copied().unwrap_or_default();
        let wait = self.expected(own, self.queued.len().max(1));
        if now + wait + self.allowance(wait) > deadline {
            return Admission::Refuse { retry_after: wait };
        }
        let start = self.finish.get(partner).copied().unwrap_or_default();
        let tag = start.max(self.virtual_time) + SCALE / u64::from(weight.max(1));
        self.finish.insert(partner.clone(), tag);
        *self.queued.entry(partner.clone()).or_default() += 1;
        self.sequence += 1;
        let partner = partner.clone();
        let waiter = Waiter {
            id,
            partner,
            deadline,
        };
        self.waiting.insert((tag, self.sequence), waiter);
        Admission::Wait
    }

    /// Expected wait behind `own` of the partner's requests with `active` partners.
    fn expected(&self, own: usize, active: usize) -> Duration {
        let turns = (own + 1) * active;
        self.service * turns as u32 / self.capacity.max(1) as u32
    }

    /// Time kept between the expected start and the deadline: for the statement
    /// itself, and for the wait to turn out longer. An answer after its deadline
    /// is work for nothing.
    fn allowance(&self, wait: Duration) -> Duration {
        self.run() * SERVICES_KEPT + wait / WAIT_SHARE_KEPT
    }

    /// Time a statement takes, where a place is held for longer than one.
    pub fn set_run(&mut self, run: Duration) {
        self.run = Some(run);
    }

    fn run(&self) -> Duration {
        self.run.unwrap_or(self.service)
    }

    /// A place became free after `took`. Who runs next, if anyone waits.
    pub fn release(&mut self, took: Duration) -> Option<u64> {
        assert!(self.running > 0, "a place is released that nobody held");
        self.running -= 1;
        self.service = (self.service * (SMOOTHING - 1) + took) / SMOOTHING;
        self.admit_next()
    }

    /// Fills a place that is free without a release, as after a change of capacity.
    pub fn admit_next(&mut self) -> Option<u64> {
        if self.running >= self.capacity {
            return None;
        }
        let ((tag, _), waiter) = self.waiting.pop_first()?;
        self.virtual_time = self.virtual_time.max(tag);
        self.forget(&waiter.partner);
        self.running += 1;
        Some(waiter.id)
    }

    /// Takes out a waiter that gave up. False when it runs already.
    pub fn withdraw(&mut self, id: u64) -> bool {
        let found = self.waiting.iter().find(|(_, waiter)| waiter.id == id);
        let Some(key) = found.map(|(key, _)| *key) else {
            return false;
        };
        let waiter = self.waiting.remove(&key).expect("just found");
        self.forget(&waiter.partner);
        true
    }

    /// Takes out those who can't be served by their deadline any more, to be
    /// answered at once.
    pub fn expire(&mut self, now: Duration) -> Vec<u64> {
        let end = now + self.run();
        let late = self.waiting.iter().filter(|(_, w)| w.deadline < end);
        let ids: Vec<u64> = late.map(|(_, waiter)| waiter.id).collect();
        for id in &ids {
            self.withdraw(*id);
        }
        ids
    }

    /// Takes out all who wait.
    pub fn drain(&mut self) -> Vec<u64> {
        self.queued.clear();
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|waiter| waiter.id).collect()
    }

    /// Expected wait of a newcomer.
    pub fn wait(&self) -> Duration {
        self.service * (self.waiting.len() as u32 / self.capacity.max(1) as u32 + 1)
    }

    fn forget(&mut self, partner: &Arc<str>) {
        let Some(count) = self.queued.get_mut(partner) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.queued.remove(partner);
        }
    }
}
