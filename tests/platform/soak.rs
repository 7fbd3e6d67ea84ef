//! A soak test: boxes run under a seeded schedule of injected faults, while callers check the
//! answers that they get.
//!
//! `SOAK_SEEDS=100-149 SOAK_SECONDS=8 cargo test --release --test platform soak::by_hand
//! -- --ignored --nocapture` runs a range of seeds and prints a line for each.

mod records;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use googletest::prelude::*;
use nix::sys::signal::Signal;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use self::records::Records;
use super::boxes::Process;
use super::client::{Answer, Client, NO_EFFECT_CODES};
use super::group::Group;
use super::proxy::{Impairment, Proxy};
use super::replies::{Duplication, Timing};
use super::store::Fault;
use super::world::{BOUNDED, OWN_WRITES, STRICT, World};

const BOXES: usize = 3;
const CALLERS: usize = 9;
/// Deadline for a change of the configuration to take effect.
const APPLY_DEADLINE: Duration = Duration::from_secs(3);
/// Deadline for the replacement of a primary.
const REPLACEMENT_DEADLINE: Duration = Duration::from_secs(11);
/// Time that boxes have for recovery after the last fault.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Longest time after which a member sends an answer again.
const DUPLICATE_DELAY: Duration = Duration::from_secs(2);
/// Ends of the values that callers write.
const VALUE_ENDS: [&str; 6] = ["", "", "\n", "\nx", "a\rb", "\r\r"];
/// Lines of each box's log that the report of a violation holds.
const REPORTED_LOG_LINES: usize = 12;

/// Counts of violations and, after them, of events that show how much the soak did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Seen {
    /// Writes that were answered with a code for no effect and are in the log.
    refused_kept: usize,
    /// Statements whose write is in the log more than once.
    twice: usize,
    /// Reads that returned the value of another caller's key, and answers that no member gave to
    /// their statement.
    mixed: usize,
    /// Statements that members received under a caller's id, but not with the caller's text.
    unasked: usize,
    /// Reads that returned an older value than the session's own last write, without a promotion
    /// in between.
    stale_own: usize,
    /// Acknowledged writes that the newest primary's log lacks, without a promotion since.
    lost: usize,
    /// Boxes on which the last change didn't take effect in time after the faults.
    behind: usize,
    /// 1 when the group had no primary in time after the faults.
    leaderless: usize,
    acknowledged: usize,
    refused: usize,
    /// Writes with another error code or without an answer.
    unknown: usize,
    reads: usize,
    /// Sessions whose connection broke.
    broken_off: usize,
}

impl Seen {
    fn violations(&self) -> usize {
        self.refused_kept
            + self.twice
            + self.mixed
            + self.unasked
            + self.stale_own
            + self.lost
            + self.behind
            + self.leaderless
    }
}

/// The answers that callers got.
#[derive(Default)]
struct History {
    seen: Seen,
    /// Ids of acknowledged writes, with the number of promotions at the time of the answer.
    acknowledged: BTreeMap<String, usize>,
    /// Ids of writes that were answered with a code for no effect.
    refused: Vec<String>,
    records: Records,
}

/// The state that the callers of a run share.
struct Run {
    history: Mutex<History>,
    stop: AtomicBool,
    /// The next number of a session or of a write.
    next: AtomicU64,
    world: CallerWorld,
}

impl Run {
    /// Runs a statement under an id of its own, and records both sides of it.
    async fn exchange(
        &self,
        client: &mut Client,
        id: &str,
        text: &str,
    ) -> std::result::Result<Answer, String> {
        let history = || self.history.lock().expect("no panic under the lock");
        history().records.record_text(id, text);
        client.send(&format!("QUERY {id} {text}")).await?;
        let answer = client.read_answer().await?;
        history().records.record_answer(id, &answer);
        Ok(answer)
    }

    /// Runs a statement under the next id.
    async fn run_next(
        &self,
        client: &mut Client,
        text: &str,
    ) -> std::result::Result<Answer, String> {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        self.exchange(client, &format!("s{number}"), text).await
    }
}

/// The parts of [`World`] that callers use.
struct CallerWorld {
    group: Group,
    store: super::store::Store,
    fronts: Vec<std::net::SocketAddr>,
}

impl CallerWorld {
    fn promotions(&self) -> usize {
        self.store.orders().len()
    }
}

/// Runs a caller, which opens sessions at random boxes and writes and reads keys of its own.
async fn run_caller(run: Arc<Run>, number: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed ^ ((number as u64) << 32));
    let databases = [STRICT, OWN_WRITES, BOUNDED];
    while !run.stop.load(Ordering::SeqCst) {
        let front = run.world.fronts[rng.random_range(0..BOXES)];
        let database = databases[number % databases.len()];
        let opened = Client::connect(front, database, "soak").await;
        let Ok(mut client) = opened else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let session = run.next.fetch_add(1, Ordering::SeqCst);
        let key = format!("t{number}s{session}");
        let length = rng.random_range(5..40);
        if run_session(&run, &mut client, &mut rng, &key, database, length)
            .await
            .is_err()
        {
            let mut history = run.history.lock().expect("no panic under the lock");
            history.seen.broken_off += 1;
        }
    }
}

/// Runs a number of statements. Returns an error when the connection broke.
async fn run_session(
    run: &Run,
    client: &mut Client,
    rng: &mut SmallRng,
    key: &str,
    database: &str,
    length: u32,
) -> std::result::Result<(), String> {
    // Number of the session's last acknowledged write, and the promotions by then.
    let mut last_write: Option<(u64, usize)> = None;
    for _ in 0..length {
        if run.stop.load(Ordering::SeqCst) {
            return Ok(());
        }
        if rng.random_bool(0.1) {
            idle_in_transaction(run, client, key, rng).await?;
        } else if rng.random_bool(0.4) {
            let number = run.next.fetch_add(1, Ordering::SeqCst);
            let id = format!("w{number}");
            let end = VALUE_ENDS[rng.random_range(0..VALUE_ENDS.len())];
            let text = format!("WRITE {key} {key}:{number};{end}");
            let answer = run.exchange(client, &id, &text).await;
            let promotions = run.world.promotions();
            let mut history = run.history.lock().expect("no panic under the lock");
            match answer.as_ref().map(|answer| answer.error.as_deref()) {
                Ok(None) => {
                    history.seen.acknowledged += 1;
                    history.acknowledged.insert(id, promotions);
                    last_write = Some((number, promotions));
                }
                Ok(Some(code)) if NO_EFFECT_CODES.contains(&code) => {
                    history.seen.refused += 1;
                    history.refused.push(id);
                }
                Ok(Some(_)) => history.seen.unknown += 1,
                Err(_) => history.seen.unknown += 1,
            }
            answer.map(|_| ())?;
        } else {
            let before = run.world.promotions();
            let answer = run.run_next(client, &format!("READ {key}")).await?;
            let after = run.world.promotions();
            let Some(row) = answer.rows.first().filter(|_| answer.error.is_none()) else {
                continue;
            };
            let value = row.trim_end_matches(" []");
            let mut history = run.history.lock().expect("no panic under the lock");
            history.seen.reads += 1;
            let found: Option<u64> = value
                .strip_prefix(&format!("{key}:"))
                .and_then(|value| value.split_once(';'))
                .and_then(|(number, _)| number.parse().ok());
            history.seen.mixed += usize::from(found.is_none() && value != "none");
            if let Some((number, promotions)) = last_write
                && database != BOUNDED
                && promotions == before
                && before == after
            {
                history.seen.stale_own += usize::from(found.is_none_or(|found| found < number));
            }
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..8))).await;
    }
    Ok(())
}

/// Reads in a transaction and keeps it open, idle, while other statements run.
async fn idle_in_transaction(
    run: &Run,
    client: &mut Client,
    key: &str,
    rng: &mut SmallRng,
) -> std::result::Result<(), String> {
    run.run_next(client, "BEGIN READ").await?;
    run.run_next(client, &format!("READ {key}")).await?;
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..60))).await;
    let ended = run.run_next(client, "COMMIT").await?;
    match ended.state.as_str() {
        "I" => Ok(()),
        state => Err(format!("state {state} after the end of a transaction")),
    }
}

/// Injects a random fault, ends it, and returns its description.
async fn inject_fault(world: &mut World, proxies: &[Proxy], rng: &mut SmallRng) -> String {
    let duration = Duration::from_millis(rng.random_range(100..1_500));
    let member = rng.random_range(0..world.members.len());
    let index = rng.random_range(0..world.boxes.len());
    let id = world.members[member].0.clone();
    match rng.random_range(0..17) {
        0 => {
            world.boxes[index].kill();
            tokio::time::sleep(duration / 4).await;
            let settings = world.boxes[index].settings.clone();
            world.boxes[index] = Process::start(settings);
            format!("kill box {index}")
        }
        1 => {
            world.boxes[index].signal(Signal::SIGSTOP);
            tokio::time::sleep(duration).await;
            world.boxes[index].signal(Signal::SIGCONT);
            format!("pause box {index} {duration:?}")
        }
        2 => {
            world.boxes[index].signal(Signal::SIGTERM);
            tokio::time::sleep(duration).await;
            while world.boxes[index].is_running() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let settings = world.boxes[index].settings.clone();
            world.boxes[index] = Process::start(settings);
            format!("stop and start box {index}")
        }
        3 => {
            world.boxes[index].signal(Signal::SIGHUP);
            format!("reload box {index}")
        }
        4 => {
            world.member(&id).frozen.store(true, Ordering::SeqCst);
            tokio::time::sleep(duration).await;
            world.member(&id).frozen.store(false, Ordering::SeqCst);
            format!("freeze {id} {duration:?}")
        }
        5 => {
            let handle = world.member(&id);
            handle
                .lose_answers
                .store(rng.random_range(1..5), Ordering::SeqCst);
            format!("{id} loses answers")
        }
        6 => {
            let lag = rng.random_range(1..400);
            world.member(&id).lag_ms.store(lag, Ordering::SeqCst);
            format!("{id} applies {lag} ms late")
        }
        7 => {
            let faults = [Fault::Busy, Fault::Silent, Fault::LosesAnswers];
            let chosen = faults[rng.random_range(0..faults.len())];
            world.store.set_fault(chosen);
            tokio::time::sleep(duration).await;
            world.store.set_fault(Fault::None);
            format!("store {chosen:?} {duration:?}")
        }
        8 => {
            world.store.forget_history();
            let step = rng.random_range(10..1_000);
            world.bump_manifest_version(step);
            "history forgotten, manifest changed".to_owned()
        }
        9 => {
            proxies[member].silence_open_connections();
            format!("open connections to {id} go silent")
        }
        13 | 14 => {
            let share = rng.random_range(0.05..0.5);
            let delays = Timing::Delayed(Duration::ZERO..DUPLICATE_DELAY);
            let fault = Duplication::new(&[], delays).share(share, rng.random());
            world.member(&id).duplicate_answers(Some(fault));
            tokio::time::sleep(duration).await;
            world.member(&id).duplicate_answers(None);
            format!("{id} sends {share:.2} of its answers again {duration:?}")
        }
        10 | 11 => restore_store(world, index, rng).await,
        12 => {
            let count = rng.random_range(100..2_000);
            world.add_databases(count);
            format!("manifest with {count} more databases")
        }
        _ => {
            let impairments = [
                Impairment::Silent,
                Impairment::OneWay,
                Impairment::Reset,
                Impairment::Delay(30),
            ];
            let chosen = impairments[rng.random_range(0..impairments.len())];
            proxies[member].set_impairment(chosen);
            tokio::time::sleep(duration).await;
            proxies[member].set_impairment(Impairment::None);
            format!("{id} behind {chosen:?} {duration:?}")
        }
    }
}

/// Restores the store to an earlier state after an outage, once or twice. At random, the operator
/// changes the configuration before and after, and a box is killed during the outage.
async fn restore_store(world: &mut World, index: usize, rng: &mut SmallRng) -> String {
    let times = rng.random_range(1..3);
    let killed = rng.random_bool(0.3);
    for _ in 0..times {
        let age = Duration::from_millis(rng.random_range(0..4_000));
        let rewrite_delay = Duration::from_millis(rng.random_range(0..1_500));
        let outage = Duration::from_millis(rng.random_range(0..800));
        for _ in 0..rng.random_range(0..6) {
            world.bump_manifest_version(1);
        }
        world.store.set_fault(Fault::Silent);
        if killed {
            world.boxes[index].kill();
        }
        tokio::time::sleep(outage).await;
        world.store.restore_from_age(age, rewrite_delay);
        world.store.set_fault(Fault::None);
        if killed {
            let settings = world.boxes[index].settings.clone();
            world.boxes[index] = Process::start(settings);
        }
        for _ in 0..rng.random_range(0..3) {
            world.bump_manifest_version(1);
        }
    }
    let suffix = if killed {
        format!(", box {index} killed")
    } else {
        String::new()
    };
    format!("{times} older copies{suffix}")
}

/// Runs a seed. Returns the counts and the descriptions of the injected faults.
async fn run_seed(seed: u64, length: Duration) -> (Seen, Vec<String>) {
    let (mut world, proxies) = World::behind_proxies(BOXES, seed % 2 == 1).await;
    let run = Arc::new(Run {
        history: Mutex::default(),
        stop: AtomicBool::new(false),
        next: AtomicU64::new(1),
        world: CallerWorld {
            group: world.group.clone(),
            store: world.store.clone(),
            fronts: world.boxes.iter().map(|b| b.settings.front).collect(),
        },
    });
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(run_caller(run.clone(), number, seed)))
        .collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut injected = Vec::new();
    let end = tokio::time::Instant::now() + length;
    while tokio::time::Instant::now() < end {
        injected.push(inject_fault(&mut world, &proxies, &mut rng).await);
        let pause = Duration::from_millis(rng.random_range(0..400));
        tokio::time::sleep(pause).await;
    }
    let behind = count_boxes_behind(&mut world).await;
    run.stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.expect("no caller panics");
    }
    let seen = Seen {
        behind,
        leaderless: usize::from(!has_primary_in_time(&world).await),
        ..check_history(&run, &world)
    };
    if seen.violations() > 0 {
        injected.extend(describe_world(&world));
    }
    (seen, injected)
}

/// Describes the members and the boxes' last decisions about them, for the report of a violation.
fn describe_world(world: &World) -> Vec<String> {
    let members = world.group.members().clone().into_iter();
    let members = members.map(|(id, member)| {
        let (primary, term, length) = (member.primary, member.term, member.log.len());
        format!("{id}: primary {primary}, term {term}, {length} entries")
    });
    let logs = world.boxes.iter().map(|process| {
        let log = process.log();
        let decided = log
            .lines()
            .filter(|line| line.contains("\"event\":3") || line.contains("\"event\":2"));
        let decided: Vec<&str> = decided.collect();
        let first = decided.len().saturating_sub(REPORTED_LOG_LINES);
        format!("{}: {:?}", process.settings.name, &decided[first..])
    });
    members.chain(logs).collect()
}

/// Returns the number of boxes on which a change doesn't take effect in time.
async fn count_boxes_behind(world: &mut World) -> usize {
    tokio::time::sleep(RECOVERY_TIME).await;
    let added = world.add_database();
    // Checks the boxes concurrently, so that a slow box doesn't use up the others' deadline.
    let served = world
        .boxes
        .iter()
        .map(|process| tokio::time::timeout(APPLY_DEADLINE, process.wait_until_served(&added)));
    let served = futures::future::join_all(served).await;
    served.iter().filter(|served| served.is_err()).count()
}

/// Whether the group has a primary in time. During a replacement, which may still run when the
/// faults end, the old primary has stepped down and no member is primary.
async fn has_primary_in_time(world: &World) -> bool {
    let has_primary = async {
        while !world.group.members().values().any(|member| member.primary) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(REPLACEMENT_DEADLINE, has_primary)
        .await
        .is_ok()
}

/// Compares the answers that callers got with the newest primary's log and the members' records.
fn check_history(run: &Run, world: &World) -> Seen {
    let history = run.history.lock().expect("no panic under the lock");
    let mut seen = history.seen.clone();
    let members = run.world.group.members();
    let newest = members.values().filter(|state| state.primary);
    let newest = newest.max_by_key(|state| state.term);
    let log = newest.map(|state| state.log.clone()).unwrap_or_default();
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for entry in &log {
        *counts.entry(&entry.id).or_default() += 1;
    }
    let promotions = run.world.promotions();
    let handles: Vec<_> = world.members.iter().map(|(_, _, m)| m.clone()).collect();
    seen.mixed += history.records.count_mixed(&handles);
    seen.unasked = history.records.count_unasked(&handles);
    seen.twice = counts.values().filter(|count| **count > 1).count();
    let kept = history
        .refused
        .iter()
        .filter(|id| counts.contains_key(id.as_str()));
    seen.refused_kept = kept.count();
    let current = history
        .acknowledged
        .iter()
        .filter(|(_, at)| **at == promotions);
    seen.lost = current
        .filter(|(id, _)| !counts.contains_key(id.as_str()))
        .count();
    seen
}

#[gtest]
#[tokio::test]
async fn a_short_soak_finds_no_violation() {
    for seed in [1, 2] {
        let (seen, injected) = run_seed(seed, Duration::from_secs(4)).await;
        expect_that!(
            seen.violations(),
            eq(0),
            "seed {seed}: {seen:?} after {injected:?}"
        );
        expect_that!(seen.acknowledged, gt(0));
    }
}

/// Seeds that found a violation, each with its cause; see bench/FINDINGS.md.
const REGRESSION_SEEDS: [u64; 0] = [];

#[gtest]
#[tokio::test]
async fn regression_seeds_find_no_violation() {
    for seed in REGRESSION_SEEDS {
        let (seen, injected) = run_seed(seed, Duration::from_secs(8)).await;
        expect_that!(
            seen.violations(),
            eq(0),
            "seed {seed}: {seen:?} after {injected:?}"
        );
    }
}

#[gtest]
#[ignore = "plays many seeds by hand"]
#[tokio::test]
async fn by_hand() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1-10".to_owned());
    let seconds = std::env::var("SOAK_SECONDS").unwrap_or_else(|_| "8".to_owned());
    let (first, last) = seeds.split_once('-').expect("first-last");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    let length = Duration::from_secs(number(&seconds));
    let mut failed_seeds = 0;
    for seed in number(first)..=number(last) {
        let (seen, injected) = run_seed(seed, length).await;
        println!("seed {seed}: {} faults, {seen:?}", seen.violations());
        if seen.violations() > 0 {
            failed_seeds += 1;
            println!("  {injected:?}");
        }
    }
    expect_that!(failed_seeds, eq(0));
}
