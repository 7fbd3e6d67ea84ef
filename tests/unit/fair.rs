use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::decisions::fair::{Admission, Deadlines, Queue};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const MS: Duration = Duration::from_millis(1);

fn partner(name: &str) -> Arc<str> {
    name.into()
}

#[gtest]
fn a_flooding_partner_does_not_delay_another() {
    let mut queue = Queue::new(1, MS);
    let (flood, quiet) = (partner("a"), partner("b"));
    for id in 0..100 {
        queue.admit(id, &flood, 1, MS, MS * 10_000);
    }
    queue.admit(1_000, &quiet, 1, MS, MS * 10_000);
    let order: Vec<Option<u64>> = (0..3).map(|_| queue.finish(MS)).collect();
    expect_that!(order, contains(some(eq(&1_000))));
}

#[gtest]
fn slots_are_shared_by_weight() {
    let mut queue = Queue::new(1, MS);
    for id in 0..300 {
        queue.admit(id, &partner("a"), 3, MS, MS * 10_000);
        queue.admit(1_000 + id, &partner("b"), 1, MS, MS * 10_000);
    }
    let served = (0..200).filter_map(|_| queue.finish(MS));
    let light = served.filter(|id| *id >= 1_000).count();
    expect_that!(light, all![ge(45), le(55)]);
}

#[gtest]
fn a_request_that_would_miss_its_deadline_is_refused_with_a_retry_time() {
    let mut queue = Queue::new(1, MS * 10);
    let a = partner("a");
    expect_that!(queue.admit(1, &a, 1, MS, MS * 100), eq(Admission::Run));
    expect_that!(queue.admit(2, &a, 1, MS, MS * 100), eq(Admission::Wait));
    let refused = queue.admit(3, &a, 1, MS, MS * 15);
    expect_that!(
        refused,
        eq(Admission::Refuse {
            retry_after: MS * 20
        })
    );
}

#[gtest]
fn expired_and_removed_requests_are_not_served() {
    let mut queue = Queue::new(1, MS);
    let a = partner("a");
    for id in 0..4 {
        queue.admit(id, &a, 1, MS, MS * (10 * (id as u32 + 1)));
    }
    expect_that!(queue.remove(2), eq(true));
    expect_that!(queue.expire(MS * 25), elements_are![eq(&1)]);
    // A request expires once too little time is left before its deadline to answer it.
    queue.admit(9, &a, 1, MS * 25, MS * 31);
    expect_that!(queue.expire(MS * 30 + MS / 2), elements_are![eq(&9)]);
    expect_that!(queue.finish(MS), some(eq(3)));
    expect_that!(queue.finish(MS), none());
}

/// A slot that an idle transaction kept would be unused while other requests wait.
#[gtest]
fn an_idle_transaction_keeps_its_connection_and_no_slot() {
    let mut queue = Queue::new(1, MS);
    queue.set_connection_limit(2);
    let a = partner("a");
    expect_that!(queue.admit(1, &a, 1, MS, MS * 100), eq(Admission::Run));
    expect_that!(queue.admit(2, &a, 1, MS, MS * 100), eq(Admission::Wait));
    expect_that!(queue.go_idle(MS), some(eq(2)));
    // Both connections are in use: one by the idle transaction, one by the running request.
    expect_that!(queue.finish(MS), none());
    expect_that!(queue.admit(3, &a, 1, MS, MS * 100), eq(Admission::Run));
    expect_that!(queue.go_idle(MS), none());
    expect_that!(queue.admit(4, &a, 1, MS, MS * 100), eq(Admission::Wait));
    // A resumed transaction does not wait behind the queued request.
    queue.resume();
    expect_that!((queue.running(), queue.idle_transactions()), eq((1, 1)));
    expect_that!(queue.finish(MS), some(eq(4)));
    expect_that!(queue.finish(MS), none());
    expect_that!(queue.end_idle(), none());
    expect_that!((queue.running(), queue.idle_transactions()), eq((0, 0)));
}

fn deadlines(soft: u32, hard: u32) -> Deadlines {
    Deadlines {
        soft: MS * soft,
        hard: MS * hard,
    }
}

#[gtest]
fn late_requests_wait_behind_on_time_requests() {
    let mut queue = Queue::new(2, MS * 10);
    queue.set_serves_late(true);
    let a = partner("a");
    for id in [1, 2] {
        queue.admit(id, &a, 1, MS, deadlines(100, 500));
    }
    // Can't meet its soft deadline, but its hard one.
    expect_that!(
        queue.admit(3, &a, 1, MS, deadlines(10, 500)),
        eq(Admission::Wait)
    );
    expect_that!(
        queue.admit(4, &a, 1, MS, deadlines(200, 500)),
        eq(Admission::Wait)
    );
    expect_that!(queue.waiting_on_time(), eq(1));
    expect_that!(queue.finish(MS * 10), some(eq(4)));
    // The late request may use one of the two slots only, and that one is busy.
    expect_that!(queue.finish(MS * 10), none());
    expect_that!(
        queue.admit(5, &a, 1, MS * 20, deadlines(200, 500)),
        eq(Admission::Run)
    );
    expect_that!(queue.finish(MS * 10), none());
    expect_that!(queue.finish(MS * 10), some(eq(3)));
}

#[gtest]
fn a_request_becomes_late_at_its_soft_deadline_and_expires_at_its_hard_one() {
    let mut queue = Queue::new(1, MS * 10);
    queue.set_serves_late(true);
    let a = partner("a");
    queue.admit(1, &a, 1, MS, deadlines(100, 500));
    queue.admit(2, &a, 1, MS, deadlines(60, 300));
    expect_that!(queue.expire(MS * 70), is_empty());
    expect_that!(queue.waiting_on_time(), eq(0));
    expect_that!(queue.waiting(), eq(1));
    expect_that!(queue.expire(MS * 295), elements_are![eq(&2)]);
}

/// A late request must not be queued behind stalled ones if it would only expire there.
#[gtest]
fn a_stalled_late_queue_refuses_at_once() {
    let mut queue = Queue::new(1, MS * 10);
    queue.set_serves_late(true);
    let a = partner("a");
    queue.admit(1, &a, 1, MS, deadlines(100, 900));
    expect_that!(
        queue.admit(2, &a, 1, MS, deadlines(5, 900)),
        eq(Admission::Wait)
    );
    let refused = queue.admit(3, &a, 1, MS * 400, deadlines(405, 700));
    expect_that!(
        refused,
        pat!(Admission::Refuse {
            retry_after: anything()
        })
    );
}

#[gtest]
fn refused_requests_get_staggered_retry_times() {
    let mut queue = Queue::new(2, MS * 10);
    queue.set_serves_late(true);
    let a = partner("a");
    for id in [1, 2] {
        queue.admit(id, &a, 1, MS, deadlines(100, 500));
    }
    let refused = (3..6).map(|id| match queue.admit(id, &a, 1, MS, deadlines(2, 2)) {
        Admission::Refuse { retry_after } => retry_after,
        other => panic!("{other:?}"),
    });
    let refused: Vec<Duration> = refused.collect();
    expect_that!(
        refused,
        elements_are![eq(&(MS * 5)), eq(&(MS * 10)), eq(&(MS * 15))]
    );
}

/// Outcomes of the requests of a simulation.
#[derive(Debug, Default)]
struct Served {
    on_time: usize,
    late: usize,
    refused: usize,
    /// Refused after a wait.
    expired: usize,
}

/// Disturbance in the second of three simulated seconds.
#[derive(Clone, Copy, PartialEq)]
enum Load {
    /// More than twice the requests that the slots can serve arrive.
    Burst,
    /// No running request finishes for half a second.
    Standstill,
}

fn simulate(load: Load, serves_late: bool, seed: u64) -> Served {
    const SOFT: Duration = Duration::from_millis(150);
    const HARD: Duration = Duration::from_millis(760);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut queue = Queue::new(4, MS * 10);
    queue.set_serves_late(serves_late);
    let partners = [partner("orders"), partner("quotes")];
    let mut served = Served::default();
    let mut arrived: BTreeMap<u64, Duration> = BTreeMap::new();
    // End, duration and id of each running request.
    let mut running: BTreeSet<(Duration, Duration, u64)> = BTreeSet::new();
    let start = |id: u64, now: Duration, rng: &mut SmallRng| {
        let took = MS * rng.random_range(4..17);
        (now + took, took, id)
    };
    for tick in 0..3_000_u32 {
        let now = MS * tick;
        let stalled = load == Load::Standstill && (1_000..1_500).contains(&tick);
        while let Some(first) = running
            .first()
            .copied()
            .filter(|(end, ..)| *end <= now && !stalled)
        {
            running.remove(&first);
            let (_, took, id) = first;
            match now <= arrived[&id] + SOFT {
                true => served.on_time += 1,
                false => served.late += 1,
            }
            let expired = queue.expire(now);
            served.expired += expired.len();
            if let Some(next) = queue.finish(took) {
                running.insert(start(next, now, &mut rng));
            }
        }
        let burst = load == Load::Burst && (1_000..2_000).contains(&tick);
        let rate = match load {
            Load::Burst if burst => 0.9,
            Load::Burst => 0.25,
            Load::Standstill => 0.15,
        };
        if !rng.random_bool(rate) {
            continue;
        }
        let id = u64::from(tick);
        arrived.insert(id, now);
        let deadlines = Deadlines {
            soft: now + SOFT,
            hard: now + HARD,
        };
        match queue.admit(id, &partners[tick as usize % 2], 1, now, deadlines) {
            Admission::Run => {
                running.insert(start(id, now, &mut rng));
            }
            Admission::Wait => {}
            Admission::Refuse { .. } => served.refused += 1,
        }
    }
    served
}

fn simulate_seeds(load: Load, serves_late: bool) -> Served {
    let mut all = Served::default();
    for seed in 0..20 {
        let served = simulate(load, serves_late, seed);
        all.on_time += served.on_time;
        all.late += served.late;
        all.refused += served.refused;
        all.expired += served.expired;
    }
    all
}

/// Late requests must be refused at once while on-time requests use all slots, since they would
/// only expire in the queue.
#[gtest]
fn in_a_burst_late_requests_do_not_wait_until_they_expire() {
    let (late, at_once) = (
        simulate_seeds(Load::Burst, true),
        simulate_seeds(Load::Burst, false),
    );
    println!("{late:?} against {at_once:?}");
    expect_that!(late.on_time as f64, ge(0.97 * at_once.on_time as f64));
    expect_that!(late.expired as f64, le(0.02 * late.on_time as f64));
}

/// After a standstill, serving late requests must not cost on-time ones their answers.
#[gtest]
fn after_a_standstill_late_requests_are_answered() {
    let (late, at_once) = (
        simulate_seeds(Load::Standstill, true),
        simulate_seeds(Load::Standstill, false),
    );
    println!("{late:?} against {at_once:?}");
    expect_that!(late.on_time as f64, ge(0.97 * at_once.on_time as f64));
    let lost = |served: &Served| (served.refused + served.expired) as f64;
    expect_that!(lost(&late), le(0.5 * lost(&at_once)));
}

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        soft: u32,
        more: u32,
        partner: usize,
    },
    Finish,
    GoIdle,
    Resume,
    EndIdle,
    Remove(usize),
    Advance(u32),
    LimitConnections(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..200_u32, 0..400_u32, 0..3_usize)
            .prop_map(|(soft, more, partner)| Step::Arrive { soft, more, partner }),
        3 => Just(Step::Finish),
        1 => Just(Step::GoIdle),
        1 => Just(Step::Resume),
        1 => Just(Step::EndIdle),
        1 => (0..20_usize).prop_map(Step::Remove),
        2 => (1..60_u32).prop_map(Step::Advance),
        1 => (0..6_usize).prop_map(Step::LimitConnections),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    })]

    /// Each request runs or is refused exactly once, and no on-time request waits while a slot
    /// is free.
    #[test]
    fn no_request_is_lost_or_run_twice(
        steps in proptest::collection::vec(step(), 1..120),
        serves_late in any::<bool>(),
    ) {
        let mut queue = Queue::new(3, MS * 10);
        queue.set_serves_late(serves_late);
        queue.set_connection_limit(5);
        let partners = ["a", "b", "c"].map(partner);
        let (mut now, mut connections) = (MS, 5);
        let (mut waiting, mut ended) = (BTreeSet::new(), BTreeSet::new());
        for (id, step) in steps.into_iter().enumerate() {
            let id = id as u64;
            let mut next = None;
            match step {
                Step::Arrive { soft, more, partner } => {
                    let deadlines =
                        Deadlines { soft: now + MS * soft, hard: now + MS * (soft + more) };
                    match queue.admit(id, &partners[partner], 1, now, deadlines) {
                        Admission::Wait => { waiting.insert(id); }
                        _ => { prop_assert!(ended.insert(id)); }
                    }
                }
                Step::Finish if queue.running() > 0 => next = queue.finish(MS * 8),
                Step::GoIdle if queue.running() > 0 => next = queue.go_idle(MS * 8),
                Step::Resume if queue.idle_transactions() > 0 => queue.resume(),
                Step::EndIdle if queue.idle_transactions() > 0 => next = queue.end_idle(),
                Step::Remove(i) => {
                    if let Some(id) = waiting.iter().nth(i).copied() {
                        prop_assert!(queue.remove(id));
                        waiting.remove(&id);
                        ended.insert(id);
                    }
                }
                Step::Advance(ms) => {
                    now += MS * ms;
                    for id in queue.expire(now) {
                        prop_assert!(waiting.remove(&id));
                        prop_assert!(ended.insert(id));
                    }
                }
                Step::LimitConnections(limit) => {
                    connections = limit;
                    queue.set_connection_limit(limit);
                    next = queue.admit_next();
                }
                _ => {}
            }
            while let Some(id) = next {
                prop_assert!(waiting.remove(&id), "{id} did not wait");
                prop_assert!(ended.insert(id), "{id} ended twice");
                next = queue.admit_next();
            }
            prop_assert_eq!(queue.waiting(), waiting.len());
            let full = queue.running() >= 3 || queue.running() + queue.idle_transactions() >= connections;
            prop_assert!(full || queue.waiting_on_time() == 0, "a slot is free");
        }
    }
}
