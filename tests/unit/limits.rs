//! Rate limits over all boxes, in virtual time: the limit holds while boxes are cut off or
//! restart, and callers below it are rarely refused, compared with fixed shares for each box.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::borders::roster::Listing;
use larkfall::decisions::limit::{
    Allowance, Bucket, Decision, LENDER_COOLDOWN, Lender, Limit, Loan, Spending, Ticket, lenders,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STEP: Duration = Duration::from_millis(5);
/// Length of the sliding window in which the limit is checked.
const WINDOW: Duration = Duration::from_secs(5);
const WORKSPACE: &str = "school-1";

/// How operations are admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scheme {
    /// A few boxes lend parts of the limit to all others.
    Lent,
    /// Each box has an equal share of the limit.
    FixedShares,
}

/// Faults in a simulation.
#[derive(Clone, Debug, Default)]
struct Faults {
    /// Failure domain that is cut off, with start and end.
    cut: Option<(usize, Duration, Duration)>,
    /// When all boxes restart.
    restart: Option<Duration>,
    /// When single boxes restart.
    restarts: Vec<(Duration, usize)>,
    /// When boxes leave for good.
    leaves: Vec<(Duration, usize)>,
    /// When the table becomes an older copy that lacks boxes, until they list themselves again.
    older_copies: Vec<(Duration, Vec<usize>)>,
}

/// Time after which a box lists itself again in an older copy of the table.
const RELISTED_AFTER: Duration = Duration::from_secs(3);

#[derive(Default)]
struct Node {
    allowance: Allowance,
    lender: Lender,
}

struct Model {
    scheme: Scheme,
    limit: Limit,
    boxes: Vec<Listing>,
    nodes: HashMap<String, Node>,
    cut: Option<String>,
    /// Boxes that crashed but are still listed.
    crashed: BTreeSet<Arc<str>>,
    /// Boxes that left for good. Unlike boxes that an older copy lacks, they get no callers.
    left: BTreeSet<usize>,
}

impl Model {
    fn new(scheme: Scheme, limit: Limit, boxes: usize, domains: usize) -> Self {
        let listing = |i: usize| Listing {
            name: format!("box-{i}").into(),
            address: format!("10.0.0.{i}:1").into(),
            domain: format!("domain-{}", i % domains).into(),
            leaving: false,
            link_mbps: 0,
        };
        let boxes: Vec<Listing> = (0..boxes).map(listing).collect();
        let node = |l: &Listing| (l.name.to_string(), Node::default());
        Self {
            scheme,
            limit,
            nodes: boxes.iter().map(node).collect(),
            boxes,
            cut: None,
            crashed: BTreeSet::new(),
            left: BTreeSet::new(),
        }
    }

    fn restart(&mut self, name: &str, now: Duration) {
        let mut node = Node::default();
        node.lender.set_boxes(name, &self.boxes, now);
        self.nodes.insert(name.to_owned(), node);
    }

    /// Removes a box for good, so that some workspaces get a new lender.
    fn leave(&mut self, i: usize, now: Duration) {
        self.left.insert(i);
        self.set_listed(i, false, now);
    }

    fn set_listed(&mut self, i: usize, listed: bool, now: Duration) {
        self.boxes[i].leaving = !listed;
        for (name, node) in &mut self.nodes {
            node.lender.set_boxes(name, &self.boxes, now);
        }
    }

    fn admit(&mut self, i: usize, now: Duration) -> bool {
        let borrower = self.boxes[i].clone();
        match self.scheme {
            Scheme::FixedShares => self.admit_fixed(&borrower, now),
            Scheme::Lent => self.admit_lent(&borrower, now),
        }
    }

    fn admit_fixed(&mut self, borrower: &Listing, now: Duration) -> bool {
        let boxes = self.boxes.len() as f64;
        let share = Limit {
            rate: self.limit.rate / boxes,
            burst: self.limit.burst / boxes,
            initial: 0.0,
        };
        let granted = self.lend(borrower, share, 1, now);
        matches!(granted, Loan::Granted(_))
    }

    fn lend(&mut self, at: &Listing, part: Limit, wanted: u32, now: Duration) -> Loan {
        let node = self.nodes.get_mut(&*at.name).expect("known");
        node.lender.lend(&WORKSPACE.into(), part, wanted, now)
    }

    fn can_reach(&self, from: &Listing, to: &Listing) -> bool {
        let cut = |l: &Listing| self.cut.as_deref() == Some(&*l.domain);
        cut(from) == cut(to)
    }

    fn admit_lent(&mut self, borrower: &Listing, now: Duration) -> bool {
        let allowance = &mut self
            .nodes
            .get_mut(&*borrower.name)
            .expect("known")
            .allowance;
        allowance.record_operation(now);
        loop {
            let allowance = &mut self
                .nodes
                .get_mut(&*borrower.name)
                .expect("known")
                .allowance;
            let wanted = match allowance.spend(0, now) {
                Spending::Paid => return true,
                Spending::Exhausted(_) => return false,
                Spending::Borrow(wanted) => wanted,
            };
            let loan = self.borrow(borrower, wanted, now);
            let allowance = &mut self
                .nodes
                .get_mut(&*borrower.name)
                .expect("known")
                .allowance;
            allowance.record_loan(loan, now);
        }
    }

    fn borrow(&mut self, borrower: &Listing, wanted: u32, now: Duration) -> Loan {
        let boxes = self.boxes.clone();
        let mut lenders = lenders(WORKSPACE, &boxes);
        let parts = self.limit.part_count(lenders.len());
        lenders.truncate(parts);
        lenders.sort_by_key(|lender| lender.domain != borrower.domain);
        let mut soonest = LENDER_COOLDOWN;
        for lender in lenders {
            if self.crashed.contains(&lender.name) || !self.can_reach(borrower, lender) {
                continue;
            }
            match self.lend(lender, self.limit.part(parts), wanted, now) {
                Loan::Granted(granted) => return Loan::Granted(granted),
                Loan::Spent(wait) => soonest = soonest.min(wait),
            }
        }
        Loan::Spent(soonest)
    }
}

#[derive(Debug, Default)]
struct Outcome {
    requested: u64,
    refused: u64,
    /// Most operations admitted in any window.
    max_in_window: usize,
}

/// Simulates callers that send `per_s` operations a second to random boxes, `skew` times as often
/// to boxes of the first domain.
fn simulate(mut model: Model, per_s: f64, skew: f64, faults: &Faults, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let mut window: VecDeque<Duration> = VecDeque::new();
    let end = Duration::from_secs(30);
    // The buckets are full when the first callers arrive.
    let mut now = Duration::from_secs(14);
    let end = now + end;
    while now < end {
        now += STEP;
        let offset = now - Duration::from_secs(14);
        inject(&mut model, faults, offset, now);
        let expected = per_s * STEP.as_secs_f64();
        let count = expected as u64 + u64::from(rng.random_bool(expected.fract()));
        for _ in 0..count {
            let i = random_box(&model, skew, &mut rng);
            outcome.requested += 1;
            if !model.admit(i, now) {
                outcome.refused += 1;
                continue;
            }
            window.push_back(now);
            while window.front().is_some_and(|at| *at + WINDOW <= now) {
                window.pop_front();
            }
            outcome.max_in_window = outcome.max_in_window.max(window.len());
        }
    }
    outcome
}

fn inject(model: &mut Model, faults: &Faults, offset: Duration, now: Duration) {
    let due = |at: Duration| offset >= at && offset < at + STEP;
    if let Some((domain, from, until)) = faults.cut {
        let cut = offset >= from && offset < until;
        model.cut = cut.then(|| format!("domain-{domain}"));
    }
    if faults.restart.is_some_and(due) {
        let names: Vec<_> = model.boxes.iter().map(|l| l.name.to_string()).collect();
        names.iter().for_each(|name| model.restart(name, now));
    }
    for (at, i) in &faults.restarts {
        if due(*at) {
            let name = model.boxes[*i].name.to_string();
            model.restart(&name, now);
        }
    }
    for (at, i) in &faults.leaves {
        if due(*at) {
            model.leave(*i, now);
        }
    }
    for (at, lost) in &faults.older_copies {
        for i in lost {
            if due(*at) {
                model.set_listed(*i, false, now);
            }
            if due(*at + RELISTED_AFTER) {
                model.set_listed(*i, !model.left.contains(i), now);
            }
        }
    }
}

fn random_box(model: &Model, skew: f64, rng: &mut SmallRng) -> usize {
    loop {
        let i = rng.random_range(0..model.boxes.len());
        let in_first_domain = *model.boxes[i].domain == *"domain-0";
        let chance = if in_first_domain { 1.0 } else { 1.0 / skew };
        if !model.left.contains(&i) && rng.random_bool(chance) {
            return i;
        }
    }
}

fn refused_share(scheme: Scheme, boxes: usize, rate: u32, load: f64, skew: f64) -> f64 {
    let limit = Limit::new(rate, rate, 10);
    let runs = (0..5).map(|seed| {
        let model = Model::new(scheme, limit, boxes, 3);
        let per_s = f64::from(rate) * load;
        simulate(model, per_s, skew, &Faults::default(), seed)
    });
    let runs: Vec<Outcome> = runs.collect();
    let requested: u64 = runs.iter().map(|run| run.requested).sum();
    let refused: u64 = runs.iter().map(|run| run.refused).sum();
    refused as f64 / requested as f64
}

/// Callers below their limit must not be refused, also where a fixed share for each box would be
/// less than one operation.
#[gtest]
fn lending_refuses_almost_nothing_below_the_limit() {
    let mut table = BTreeMap::new();
    for boxes in [9, 71, 195] {
        for rate in [5, 30, 120] {
            for skew in [1.0, 4.0] {
                let lent = refused_share(Scheme::Lent, boxes, rate, 0.62, skew);
                let fixed = refused_share(Scheme::FixedShares, boxes, rate, 0.62, skew);
                println!("{boxes} boxes, {rate}/s, skew {skew}: lent {lent:.4}, fixed {fixed:.4}");
                table.insert((boxes, rate, skew as u32), (lent, fixed));
            }
        }
    }
    for ((boxes, rate, skew), (lent, fixed)) in table {
        let case = format!("{boxes} boxes, {rate}/s, skew {skew}");
        expect_that!(lent, le(0.01), "{case}");
        expect_that!(lent, le(fixed), "{case}");
    }
}

#[gtest]
fn a_workspace_far_beyond_its_limit_gets_its_whole_limit() {
    let limit = Limit::new(120, 120, 10);
    let model = Model::new(Scheme::Lent, limit, 71, 3);
    let outcome = simulate(model, 800.0, 1.0, &Faults::default(), 1);
    let served = (outcome.requested - outcome.refused) as f64;
    expect_that!(served, ge(0.97 * 120.0 * 30.0));
    expect_that!(outcome.max_in_window, le(120 * 5 + 130));
}

#[gtest]
fn a_domain_that_is_cut_off_keeps_its_own_part() {
    let limit = Limit::new(30, 30, 10);
    let cut = (0, Duration::ZERO, Duration::from_secs(30));
    let faults = Faults {
        cut: Some(cut),
        ..Faults::default()
    };
    let model = Model::new(Scheme::Lent, limit, 9, 3);
    let outcome = simulate(model, 12.0, 1.0, &faults, 1);
    let refused = outcome.refused as f64 / outcome.requested as f64;
    expect_that!(refused, le(0.02));
}

#[gtest]
fn a_lowered_limit_applies_at_once() {
    let high = Limit::new(100, 100, 0);
    let low = Limit::new(10, 10, 0);
    let mut bucket = Bucket::new(high, Duration::ZERO, Duration::from_secs(10));
    let now = Duration::from_secs(10);
    expect_that!(bucket.take(low, 100, now), eq(Loan::Granted(10)));
    expect_that!(bucket.take(low, 100, now), pat!(Loan::Spent(anything())));
}

#[gtest]
fn zero_rates_and_zero_bursts_are_enforced() {
    let now = Duration::from_secs(10);
    let nothing = Limit::new(0, 0, 0);
    let mut bucket = Bucket::new(nothing, Duration::ZERO, now);
    expect_that!(bucket.take(nothing, 1, now), pat!(Loan::Spent(anything())));
    let slow = Limit::new(1, 0, 0);
    let mut bucket = Bucket::new(slow, Duration::ZERO, now);
    expect_that!(bucket.take(slow, 5, now), eq(Loan::Granted(1)));
    let wait = Loan::Spent(Duration::from_secs(1));
    expect_that!(bucket.take(slow, 1, now), eq(wait));
}

#[gtest]
fn borrowed_operations_expire() {
    let mut allowance = Allowance::default();
    allowance.record_loan(Loan::Granted(5), Duration::ZERO);
    expect_that!(allowance.spend(0, Duration::ZERO), eq(Spending::Paid));
    let late = allowance.spend(0, Duration::from_secs(1));
    expect_that!(late, pat!(Spending::Borrow(anything())));
}

prop_compose! {
    fn any_faults(boxes: usize)(
        cut in proptest::option::of((0..3_usize, 0..20_u64, 1..10_u64)),
        restart in proptest::option::of(0..30_000_u64),
        restarts in proptest::collection::vec((0..30_000_u64, 0..boxes), 0..4),
        leaves in proptest::collection::vec((0..30_000_u64, 0..boxes), 0..2),
        older_copies in proptest::collection::vec(
            (0..30_000_u64, proptest::collection::vec(0..boxes, 1..boxes)),
            0..4,
        ),
    ) -> Faults {
        let ms = Duration::from_millis;
        Faults {
            cut: cut.map(|(domain, from, long)| {
                let from = Duration::from_secs(from);
                (domain, from, from + Duration::from_secs(long))
            }),
            restart: restart.map(ms),
            restarts: restarts.into_iter().map(|(at, i)| (ms(at), i)).collect(),
            leaves: leaves.into_iter().map(|(at, i)| (ms(at), i)).collect(),
            older_copies: older_copies.into_iter().map(|(at, lost)| (ms(at), lost)).collect(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(35),
        failure_persistence: None,
        ..ProptestConfig::with_cases(64)
    })]

    /// No window admits more than the limit and an overage of a tenth, whatever faults occur.
    #[test]
    fn the_limit_holds_over_all_boxes(
        rate in 1..150_u32,
        load in 0.5..8.0_f64,
        skew in 1.0..6.0_f64,
        faults in any_faults(12),
        seed in any::<u64>(),
    ) {
        let limit = Limit::new(rate, rate, 10);
        let model = Model::new(Scheme::Lent, limit, 12, 3);
        let outcome = simulate(model, f64::from(rate) * load, skew, &faults, seed);
        let allowed = f64::from(rate * 6) * 1.1 + 20.0;
        prop_assert!(outcome.max_in_window as f64 <= allowed, "{} of {allowed}", outcome.max_in_window);
    }
}

/// An older copy of the table lists other boxes for a while, and so names other lenders. The first
/// lenders must not have filled their buckets meanwhile when they lend again.
#[gtest]
fn a_limit_is_not_spent_twice_when_an_older_copy_names_other_lenders() {
    let limit = Limit::new(100, 100, 0);
    let model = Model::new(Scheme::Lent, limit, 12, 3);
    let first: Vec<Arc<str>> = lenders(WORKSPACE, &model.boxes)
        .iter()
        .map(|lender| lender.name.clone())
        .collect();
    let names: Vec<Arc<str>> = model.boxes.iter().map(|l| l.name.clone()).collect();
    let lost: Vec<usize> = (0..12).filter(|i| first.contains(&names[*i])).collect();
    let older_copies = [10_000, 13_500].map(Duration::from_millis);
    let faults = Faults {
        older_copies: older_copies.map(|at| (at, lost.clone())).to_vec(),
        ..Faults::default()
    };
    let outcome = simulate(model, 400.0, 1.0, &faults, 1);
    expect_that!(outcome.max_in_window, le(100 * 5 + 110));
}

#[gtest]
fn a_workspace_with_all_callers_in_one_domain_gets_almost_its_limit() {
    for rate in [22, 74] {
        let limit = Limit::new(rate, rate, 10);
        let model = Model::new(Scheme::Lent, limit, 71, 3);
        let per_s = f64::from(rate) * 1.3;
        let outcome = simulate(model, per_s, 1_000_000.0, &Faults::default(), 1);
        let served = (outcome.requested - outcome.refused) as f64;
        expect_that!(served, ge(0.9 * f64::from(rate) * 30.0));
    }
}

#[gtest]
fn a_crashed_lender_causes_few_refusals_below_the_limit() {
    let limit = Limit::new(30, 30, 10);
    let mut model = Model::new(Scheme::Lent, limit, 71, 3);
    let first = lenders(WORKSPACE, &model.boxes)[0].name.clone();
    model.crashed.insert(first);
    let outcome = simulate(model, 30.0 * 0.62, 1.0, &Faults::default(), 1);
    let refused = outcome.refused as f64 / outcome.requested as f64;
    expect_that!(refused, le(0.02));
}

/// A lender and its queued operations.
struct Bench {
    lender: Lender,
    limit: Limit,
    /// Id, ticket and time of the next poll.
    queued: Vec<(u64, Ticket, Duration)>,
    last_id: u64,
    /// Id and time of each grant.
    granted: Vec<(u64, Duration)>,
    /// Id and retry wait of each refusal.
    refused: Vec<(u64, Duration)>,
}

impl Bench {
    fn new(limit: Limit) -> Self {
        Self {
            lender: Lender::default(),
            limit,
            queued: Vec::new(),
            last_id: 0,
            granted: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn record(&mut self, id: u64, decision: Decision, now: Duration) {
        match decision {
            Decision::Granted => self.granted.push((id, now)),
            Decision::Exhausted(wait) => self.refused.push((id, wait)),
            Decision::Queued(ticket, next_poll) => self.queued.push((id, ticket, next_poll)),
        }
    }

    /// Sends one operation that can wait for `wait`.
    fn arrive(&mut self, wait: Duration, now: Duration) -> u64 {
        self.last_id += 1;
        let decision = self
            .lender
            .enqueue(&WORKSPACE.into(), self.limit, wait, now);
        self.record(self.last_id, decision, now);
        self.last_id
    }

    /// Polls the operations that are due.
    fn poll(&mut self, now: Duration) {
        for (id, ticket, next_poll) in std::mem::take(&mut self.queued) {
            if next_poll > now {
                self.queued.push((id, ticket, next_poll));
                continue;
            }
            let decision = self.lender.poll(&WORKSPACE.into(), self.limit, ticket, now);
            self.record(id, decision, now);
        }
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(ms)
}

#[gtest]
fn a_short_burst_beyond_the_limit_is_queued_and_served_in_order() {
    let mut bench = Bench::new(Limit::new(100, 1, 0));
    let wait = Duration::from_millis(150);
    let ids: Vec<u64> = (0..10).map(|_| bench.arrive(wait, at(0))).collect();
    for ms in 1..150 {
        bench.poll(at(ms));
    }
    let served: Vec<u64> = bench.granted.iter().map(|(id, _)| *id).collect();
    expect_that!(served, eq(&ids));
    expect_that!(bench.refused, is_empty());
    expect_that!(bench.granted[9].1, le(at(110)));
}

#[gtest]
fn the_earliest_deadline_goes_first_and_the_latest_is_evicted() {
    let mut bench = Bench::new(Limit::new(100, 1, 0));
    bench.arrive(Duration::ZERO, at(0));
    let patient = Duration::from_millis(45);
    let reports: Vec<u64> = (0..4).map(|_| bench.arrive(patient, at(0))).collect();
    let order = bench.arrive(Duration::from_millis(12), at(1));
    for ms in 2..60 {
        bench.poll(at(ms));
    }
    expect_that!(bench.granted[1].0, eq(order));
    // The evicted operation is refused at its next poll.
    let refused: Vec<u64> = bench.refused.iter().map(|(id, _)| *id).collect();
    expect_that!(refused, elements_are![eq(&reports[3])]);
    expect_that!(bench.granted.len(), eq(5));
}

/// Under lasting overload the limit must be used in full, the operations served must not wait
/// past their deadlines, and the others must get different retry times.
#[gtest]
fn under_lasting_overload_the_queue_stays_short() {
    let mut bench = Bench::new(Limit::new(100, 100, 0));
    bench
        .lender
        .lend(&WORKSPACE.into(), bench.limit, 100, at(0));
    let wait = Duration::from_millis(60);
    let mut arrived = BTreeMap::new();
    for ms in 0..5_000 {
        if ms % 2 == 0 {
            let id = bench.arrive(wait, at(ms));
            arrived.insert(id, at(ms));
        }
        bench.poll(at(ms));
    }
    expect_that!(bench.granted.len(), all![ge(490), le(501)]);
    let waits = bench
        .granted
        .iter()
        .map(|(id, granted)| *granted - arrived[id]);
    expect_that!(waits.max(), some(le(wait + Duration::from_millis(2))));
    let retry_waits: BTreeSet<Duration> = bench.refused.iter().take(100).map(|(_, w)| *w).collect();
    expect_that!(retry_waits.len(), ge(90));
}

#[gtest]
fn no_operation_waits_forever_after_a_lowered_limit_and_cancellations() {
    let mut bench = Bench::new(Limit::new(100, 1, 0));
    let wait = Duration::from_millis(200);
    for _ in 0..12 {
        bench.arrive(wait, at(0));
    }
    // Half of the callers go away.
    for (_, ticket, _) in bench.queued.drain(..6) {
        bench.lender.cancel(WORKSPACE, ticket);
    }
    bench.limit = Limit::new(10, 1, 0);
    for ms in 1..300 {
        bench.poll(at(ms));
    }
    expect_that!(bench.queued, is_empty());
    expect_that!(bench.granted.len(), le(4));
    expect_that!(bench.refused.len(), ge(3));
}

#[gtest]
fn a_box_does_not_ask_a_full_queue_again_at_once() {
    let mut allowance = Allowance::default();
    expect_that!(allowance.refusal_wait(at(0)), none());
    allowance.record_full_queue(Duration::from_millis(160), at(0));
    let waits: Vec<Duration> = (0..3)
        .filter_map(|_| allowance.refusal_wait(at(1)))
        .collect();
    let ms = Duration::from_millis;
    expect_that!(
        waits,
        elements_are![eq(&ms(160)), eq(&ms(170)), eq(&ms(180))]
    );
    expect_that!(allowance.refusal_wait(at(101)), none());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(44),
        failure_persistence: None,
        ..ProptestConfig::with_cases(96)
    })]

    /// No window grants more than the limit and its burst, however many operations wait.
    #[test]
    fn queued_grants_never_exceed_the_limit(
        rate in 1..200_u32,
        burst in 0..100_u32,
        load in 0.2..4.0_f64,
        seed in any::<u64>(),
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let limit = Limit::new(rate, burst, 0);
        let mut bench = Bench::new(limit);
        for step in 0..2_500_u64 {
            let now = at(step * 4);
            let expected = f64::from(rate) * load * 0.004;
            let count = expected as u64 + u64::from(rng.random_bool(expected.fract()));
            for _ in 0..count {
                bench.arrive(Duration::from_millis(rng.random_range(0..400)), now);
            }
            bench.poll(now);
        }
        let grants: Vec<Duration> = bench.granted.iter().map(|(_, at)| *at).collect();
        let counts = (0..grants.len()).map(|first| {
            let end = grants[first] + WINDOW;
            grants.partition_point(|at| *at < end) - first
        });
        let allowed = f64::from(rate) * 5.0 + limit.burst + 1.0;
        let most = counts.max().unwrap_or_default();
        prop_assert!(most as f64 <= allowed, "{most} of {allowed}");
        let left = bench.queued.iter().filter(|(_, _, next_poll)| *next_poll < at(9_900)).count();
        prop_assert_eq!(left, 0);
    }
}
