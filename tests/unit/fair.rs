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
fn a_flooding_partner_does_not_push_back_another() {
    let mut fair = Queue::new(1, MS);
    let (flood, quiet) = (partner("a"), partner("b"));
    for id in 0..100 {
        fair.admit(id, &flood, 1, MS, MS * 10_000);
    }
    fair.admit(1_000, &quiet, 1, MS, MS * 10_000);
    let order: Vec<Option<u64>> = (0..3).map(|_| fair.finish(MS)).collect();
    expect_that!(order, contains(some(eq(&1_000))));
}

#[gtest]
fn weights_share_the_places() {
    let mut fair = Queue::new(1, MS);
    for id in 0..300 {
        fair.admit(id, &partner("a"), 3, MS, MS * 10_000);
        fair.admit(1_000 + id, &partner("b"), 1, MS, MS * 10_000);
    }
    let served = (0..200).filter_map(|_| fair.finish(MS));
    let light = served.filter(|id| *id >= 1_000).count();
    expect_that!(light, all![ge(45), le(55)]);
}

#[gtest]
fn who_would_wait_past_the_deadline_is_refused_at_once_with_the_time() {
    let mut fair = Queue::new(1, MS * 10);
    let a = partner("a");
    expect_that!(fair.admit(1, &a, 1, MS, MS * 100), eq(Admission::Run));
    expect_that!(fair.admit(2, &a, 1, MS, MS * 100), eq(Admission::Wait));
    let refused = fair.admit(3, &a, 1, MS, MS * 15);
    expect_that!(
        refused,
        eq(Admission::Refuse {
            retry_after: MS * 20
        })
    );
}

#[gtest]
fn the_late_are_taken_out_and_the_withdrawn_are_not_served() {
    let mut fair = Queue::new(1, MS);
    let a = partner("a");
    for id in 0..4 {
        fair.admit(id, &a, 1, MS, MS * (10 * (id as u32 + 1)));
    }
    expect_that!(fair.remove(2), eq(true));
    expect_that!(fair.expire(MS * 25), elements_are![eq(&1)]);
    // One that could only be answered late is taken out before its deadline.
    fair.admit(9, &a, 1, MS * 25, MS * 31);
    expect_that!(fair.expire(MS * 30 + MS / 2), elements_are![eq(&9)]);
    expect_that!(fair.finish(MS), some(eq(3)));
    expect_that!(fair.finish(MS), none());
}

/// The load: orders in transactions, which rest while their callers think. A place that such a
/// transaction kept would stand empty while others wait.
#[gtest]
fn a_resting_transaction_keeps_its_connection_and_no_place() {
    let mut fair = Queue::new(1, MS);
    fair.set_connection_limit(2);
    let a = partner("a");
    expect_that!(fair.admit(1, &a, 1, MS, MS * 100), eq(Admission::Run));
    expect_that!(fair.admit(2, &a, 1, MS, MS * 100), eq(Admission::Wait));
    expect_that!(fair.go_idle(MS), some(eq(2)));
    // Both connections are taken: one rests, one runs.
    expect_that!(fair.finish(MS), none());
    expect_that!(fair.admit(3, &a, 1, MS, MS * 100), eq(Admission::Run));
    expect_that!(fair.go_idle(MS), none());
    expect_that!(fair.admit(4, &a, 1, MS, MS * 100), eq(Admission::Wait));
    // What runs on does not wait behind it.
    fair.resume();
    expect_that!((fair.running(), fair.idle_transactions()), eq((1, 1)));
    expect_that!(fair.finish(MS), some(eq(4)));
    expect_that!(fair.finish(MS), none());
    expect_that!(fair.end_idle(), none());
    expect_that!((fair.running(), fair.idle_transactions()), eq((0, 0)));
}

fn due(aim: u32, limit: u32) -> Deadlines {
    Deadlines {
        soft: MS * aim,
        hard: MS * limit,
    }
}

#[gtest]
fn who_cannot_be_on_time_waits_behind_those_who_can() {
    let mut fair = Queue::new(2, MS * 10);
    fair.set_serves_late(true);
    let a = partner("a");
    for id in [1, 2] {
        fair.admit(id, &a, 1, MS, due(100, 500));
    }
    // No time for its aim, and time for its limit.
    expect_that!(fair.admit(3, &a, 1, MS, due(10, 500)), eq(Admission::Wait));
    expect_that!(fair.admit(4, &a, 1, MS, due(200, 500)), eq(Admission::Wait));
    expect_that!(fair.waiting_on_time(), eq(1));
    expect_that!(fair.finish(MS * 10), some(eq(4)));
    // The late one gets no place while half of them are busy: one has to stay free.
    expect_that!(fair.finish(MS * 10), none());
    expect_that!(
        fair.admit(5, &a, 1, MS * 20, due(200, 500)),
        eq(Admission::Run)
    );
    expect_that!(fair.finish(MS * 10), none());
    expect_that!(fair.finish(MS * 10), some(eq(3)));
}

#[gtest]
fn who_waits_past_its_aim_becomes_late_and_is_refused_only_at_its_limit() {
    let mut fair = Queue::new(1, MS * 10);
    fair.set_serves_late(true);
    let a = partner("a");
    fair.admit(1, &a, 1, MS, due(100, 500));
    fair.admit(2, &a, 1, MS, due(60, 300));
    expect_that!(fair.expire(MS * 70), is_empty());
    expect_that!(fair.waiting_on_time(), eq(0));
    expect_that!(fair.waiting(), eq(1));
    expect_that!(fair.expire(MS * 295), elements_are![eq(&2)]);
}

/// A line of late ones that does not move takes nobody who would be refused at its limit.
#[gtest]
fn a_late_line_that_stands_still_refuses_at_once() {
    let mut fair = Queue::new(1, MS * 10);
    fair.set_serves_late(true);
    let a = partner("a");
    fair.admit(1, &a, 1, MS, due(100, 900));
    expect_that!(fair.admit(2, &a, 1, MS, due(5, 900)), eq(Admission::Wait));
    let refused = fair.admit(3, &a, 1, MS * 400, due(405, 700));
    expect_that!(
        refused,
        pat!(Admission::Refuse {
            retry_after: anything()
        })
    );
}

#[gtest]
fn refused_callers_come_back_one_after_the_other() {
    let mut fair = Queue::new(2, MS * 10);
    fair.set_serves_late(true);
    let a = partner("a");
    for id in [1, 2] {
        fair.admit(id, &a, 1, MS, due(100, 500));
    }
    let refused = (3..6).map(|id| match fair.admit(id, &a, 1, MS, due(2, 2)) {
        Admission::Refuse { retry_after } => retry_after,
        other => panic!("{other:?}"),
    });
    let refused: Vec<Duration> = refused.collect();
    expect_that!(
        refused,
        elements_are![eq(&(MS * 5)), eq(&(MS * 10)), eq(&(MS * 15))]
    );
}

/// What callers get of one overload.
#[derive(Debug, Default)]
struct Served {
    on_time: usize,
    late: usize,
    refused: usize,
    /// Refused after a wait.
    held: usize,
}

/// What happens in the second of three seconds.
#[derive(Clone, Copy, PartialEq)]
enum Load {
    /// More than twice of what the places can serve arrives.
    Burst,
    /// For half a second nothing that runs ends: all members' connections are taken by boxes
    /// that lost power.
    Standstill,
}

fn play(load: Load, serves_late: bool, seed: u64) -> Served {
    const AIM: Duration = Duration::from_millis(150);
    const LIMIT: Duration = Duration::from_millis(760);
    let mut dice = SmallRng::seed_from_u64(seed);
    let mut fair = Queue::new(4, MS * 10);
    fair.set_serves_late(serves_late);
    let partners = [partner("orders"), partner("quotes")];
    let mut served = Served::default();
    let mut arrived: BTreeMap<u64, Duration> = BTreeMap::new();
    // Ends of what runs, and how long it takes.
    let mut running: BTreeSet<(Duration, Duration, u64)> = BTreeSet::new();
    let start = |id: u64, now: Duration, dice: &mut SmallRng| {
        let took = MS * dice.random_range(4..17);
        (now + took, took, id)
    };
    for tick in 0..3_000_u32 {
        let now = MS * tick;
        let stands = load == Load::Standstill && (1_000..1_500).contains(&tick);
        while let Some(first) = running
            .first()
            .copied()
            .filter(|(end, ..)| *end <= now && !stands)
        {
            running.remove(&first);
            let (_, took, id) = first;
            match now <= arrived[&id] + AIM {
                true => served.on_time += 1,
                false => served.late += 1,
            }
            let gone = fair.expire(now);
            served.held += gone.len();
            if let Some(next) = fair.finish(took) {
                running.insert(start(next, now, &mut dice));
            }
        }
        let burst = load == Load::Burst && (1_000..2_000).contains(&tick);
        let rate = match load {
            Load::Burst if burst => 0.9,
            Load::Burst => 0.25,
            Load::Standstill => 0.15,
        };
        if !dice.random_bool(rate) {
            continue;
        }
        let id = u64::from(tick);
        arrived.insert(id, now);
        let due = Deadlines {
            soft: now + AIM,
            hard: now + LIMIT,
        };
        match fair.admit(id, &partners[tick as usize % 2], 1, now, due) {
            Admission::Run => {
                running.insert(start(id, now, &mut dice));
            }
            Admission::Wait => {}
            Admission::Refuse { .. } => served.refused += 1,
        }
    }
    served
}

fn sum(load: Load, serves_late: bool) -> Served {
    let mut all = Served::default();
    for seed in 0..20 {
        let served = play(load, serves_late, seed);
        all.on_time += served.on_time;
        all.late += served.late;
        all.refused += served.refused;
        all.held += served.held;
    }
    all
}

/// Where what is on time takes all places, late ones would wait in vain: refused at once, as
/// without them.
#[gtest]
fn in_a_burst_nobody_waits_late_in_vain() {
    let (late, at_once) = (sum(Load::Burst, true), sum(Load::Burst, false));
    println!("{late:?} against {at_once:?}");
    expect_that!(late.on_time as f64, ge(0.97 * at_once.on_time as f64));
    expect_that!(late.held as f64, le(0.02 * late.on_time as f64));
}

/// Where nothing moves for a moment, waiting wins most of those who came meanwhile, and none
/// of those who are on time pays for it.
#[gtest]
fn after_a_standstill_those_who_waited_are_answered() {
    let (late, at_once) = (sum(Load::Standstill, true), sum(Load::Standstill, false));
    println!("{late:?} against {at_once:?}");
    expect_that!(late.on_time as f64, ge(0.97 * at_once.on_time as f64));
    let lost = |served: &Served| (served.refused + served.held) as f64;
    expect_that!(lost(&late), le(0.5 * lost(&at_once)));
}

#[derive(Clone, Debug)]
enum Happening {
    Arrive { aim: u32, more: u32, partner: usize },
    Release,
    Rest,
    Resume,
    Vacate,
    Withdraw(usize),
    Pass(u32),
    Connections(usize),
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        4 => (0..200_u32, 0..400_u32, 0..3_usize)
            .prop_map(|(aim, more, partner)| Happening::Arrive { aim, more, partner }),
        3 => Just(Happening::Release),
        1 => Just(Happening::Rest),
        1 => Just(Happening::Resume),
        1 => Just(Happening::Vacate),
        1 => (0..20_usize).prop_map(Happening::Withdraw),
        2 => (1..60_u32).prop_map(Happening::Pass),
        1 => (0..6_usize).prop_map(Happening::Connections),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    })]

    /// Whatever happens, each request runs once or is refused once, and nobody who can be on
    /// time waits before a free place.
    #[test]
    fn no_request_is_lost_or_run_twice(
        happenings in proptest::collection::vec(happening(), 1..120),
        serves_late in any::<bool>(),
    ) {
        let mut fair = Queue::new(3, MS * 10);
        fair.set_serves_late(serves_late);
        fair.set_connection_limit(5);
        let partners = ["a", "b", "c"].map(partner);
        let (mut now, mut connections) = (MS, 5);
        let (mut waiting, mut ended) = (BTreeSet::new(), BTreeSet::new());
        for (id, happening) in happenings.into_iter().enumerate() {
            let id = id as u64;
            let mut next = None;
            match happening {
                Happening::Arrive { aim, more, partner } => {
                    let due = Deadlines { soft: now + MS * aim, hard: now + MS * (aim + more) };
                    match fair.admit(id, &partners[partner], 1, now, due) {
                        Admission::Wait => { waiting.insert(id); }
                        _ => { prop_assert!(ended.insert(id)); }
                    }
                }
                Happening::Release if fair.running() > 0 => next = fair.finish(MS * 8),
                Happening::Rest if fair.running() > 0 => next = fair.go_idle(MS * 8),
                Happening::Resume if fair.idle_transactions() > 0 => fair.resume(),
                Happening::Vacate if fair.idle_transactions() > 0 => next = fair.end_idle(),
                Happening::Withdraw(i) => {
                    if let Some(id) = waiting.iter().nth(i).copied() {
                        prop_assert!(fair.remove(id));
                        waiting.remove(&id);
                        ended.insert(id);
                    }
                }
                Happening::Pass(long) => {
                    now += MS * long;
                    for id in fair.expire(now) {
                        prop_assert!(waiting.remove(&id));
                        prop_assert!(ended.insert(id));
                    }
                }
                Happening::Connections(most) => {
                    connections = most;
                    fair.set_connection_limit(most);
                    next = fair.admit_next();
                }
                _ => {}
            }
            while let Some(id) = next {
                prop_assert!(waiting.remove(&id), "{id} did not wait");
                prop_assert!(ended.insert(id), "{id} ran before");
                next = fair.admit_next();
            }
            prop_assert_eq!(fair.waiting(), waiting.len());
            let full = fair.running() >= 3 || fair.running() + fair.idle_transactions() >= connections;
            prop_assert!(full || fair.waiting_on_time() == 0, "a place is free");
        }
    }
}
