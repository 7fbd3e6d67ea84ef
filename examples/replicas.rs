//! The share of reads served by replicas, by deployment and lag, against two baselines.
//!
//! `cargo run --release --example replicas -- [SECONDS]`
//!
//! Baselines: all reads to the primary (a read kind that tolerates nothing), and
//! a session pinned to the primary for a fixed time after each of its writes,
//! reckoned from the recorded operations of the same run.

use std::time::{Duration, Instant};

use larkfall::trial::bench;
use larkfall::trial::client::{Client, ClientError};
use larkfall::trial::cluster::{Cluster, Shape};
use larkfall::trial::host::Threads;
use larkfall::trial::sample::Sample;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::task::LocalSet;

const SESSIONS: u64 = 24;
const PIN: Duration = Duration::from_secs(1);

/// A deployment's operations: percent of writes, of panel or deck reads; the rest are own reads.
struct Deployment {
    name: &'static str,
    writes: u32,
    relaxed: u32,
    think: Duration,
}

#[derive(Default)]
struct Seen {
    reads: u64,
    relaxed: u64,
    pinned: u64,
    stale: u64,
    read_times: Sample,
    relaxed_times: Sample,
    write_times: Sample,
    errors: u64,
}

async fn session(
    at: std::net::SocketAddr,
    student: u64,
    end: Instant,
    deployment: Rc<Deployment>,
    seen: Rc<RefCell<Seen>>,
) -> Result<(), ClientError> {
    let mut client = Client::connect(at, "huerto", "market", None).await?;
    let mut dice = SmallRng::seed_from_u64(student);
    let mut sequence = 0i64;
    let mut wrote: Option<Instant> = None;
    while Instant::now() < end {
        tokio::time::sleep(deployment.think.mul_f64(dice.random_range(0.5..1.5))).await;
        let roll = dice.random_range(0..100);
        let began = Instant::now();
        if roll < deployment.writes {
            sequence += 1;
            let sql = format!(
                "INSERT INTO answer VALUES ('{student}-{sequence}', {student}, {sequence})"
            );
            let answer = client.query(&sql).await;
            let mut seen = seen.borrow_mut();
            seen.errors += u64::from(answer.is_err());
            if answer.is_err() {
                sequence -= 1;
            }
            seen.write_times.add(began.elapsed());
            wrote = Some(Instant::now());
            continue;
        }
        let relaxed = roll < deployment.writes + deployment.relaxed;
        let sql = match relaxed {
            true => "SELECT title FROM deck WHERE id = 1".to_owned(),
            false => format!("SELECT max(seq) FROM answer WHERE student = {student}"),
        };
        let answer = client.query(&sql).await;
        let mut seen = seen.borrow_mut();
        seen.reads += 1;
        seen.pinned += u64::from(wrote.is_some_and(|at| at.elapsed() < PIN));
        match answer {
            Ok(answer) if !relaxed => {
                seen.stale += u64::from(answer.number().unwrap_or_default() < sequence);
                seen.read_times.add(began.elapsed());
            }
            Ok(_) => {
                seen.relaxed += 1;
                seen.relaxed_times.add(began.elapsed());
            }
            Err(_) => seen.errors += 1,
        }
    }
    Ok(())
}

async fn trial(
    deployment: Deployment,
    lag: u64,
    length: Duration,
    strict: bool,
    own_writes: &str,
) -> anyhow::Result<()> {
    let max_age = if strict { 0 } else { 2_000 };
    let shape = Shape {
        boxes: 3,
        lag_ms: lag,
        delay_ms: 2,
        group_fields: json!({ "max_age_ms": max_age }),
        rules: vec![(
            "read".to_owned(),
            json!({ "name": "deck", "tables": ["deck"], "max_age_ms": if strict { 0 } else { 5_000 }, "own_writes": own_writes }),
        )],
        ..Shape::default()
    };
    let cluster = Cluster::start(shape, &Threads::default()).await?;
    let mut client = cluster.connect(0, "market", None).await?;
    for sql in [
        "CREATE TABLE answer (id text PRIMARY KEY, student bigint, seq bigint)",
        "CREATE TABLE deck (id bigint, title text)",
        "INSERT INTO deck VALUES (1, 'verbs')",
    ] {
        client.query(sql).await?;
    }
    tokio::time::sleep(Duration::from_millis(lag + 100)).await;
    let replica = cluster.counter("larkfall_reads_by_replica_total").await;
    let primary = cluster.counter("larkfall_reads_by_primary_total").await;
    let name = deployment.name;
    let deployment = Rc::new(deployment);
    let seen = Rc::new(RefCell::new(Seen::default()));
    let end = Instant::now() + length;
    let start = |student: u64| {
        let at = cluster.sql_address(student as usize % cluster.boxes.len());
        tokio::task::spawn_local(session(at, student, end, deployment.clone(), seen.clone()))
    };
    let sessions: Vec<_> = (0..SESSIONS).map(start).collect();
    for session in sessions {
        session.await??;
    }
    let deck = r#"kind="deck""#;
    let decks = cluster
        .counter_with_label("larkfall_reads_by_replica_total", deck)
        .await;
    let decks_by_primary = cluster
        .counter_with_label("larkfall_reads_by_primary_total", deck)
        .await;
    let replica = cluster.counter("larkfall_reads_by_replica_total").await - replica;
    let primary = cluster.counter("larkfall_reads_by_primary_total").await - primary;
    let seen = seen.borrow();
    let way = match (strict, own_writes) {
        (true, _) => "all to primary",
        (false, "tables") => "decks apart",
        _ => "one floor",
    };
    println!(
        "{name:12} lag {lag:3} ms  {way:14} on replicas {:5.1}%, panel and deck {:5.1}%  (pinned {:.0} s after a write: {:5.1}%)  stale own reads {}  errors {}",
        100.0 * replica / (replica + primary).max(1.0),
        100.0 * decks / (decks + decks_by_primary).max(1.0),
        PIN.as_secs_f64(),
        100.0 * (1.0 - seen.pinned as f64 / seen.reads.max(1) as f64),
        seen.stale,
        seen.errors,
    );
    println!("      own reads   {}", seen.read_times.summary());
    println!("      panel, deck {}", seen.relaxed_times.summary());
    println!("      writes      {}", seen.write_times.summary());
    Ok(())
}

fn main() -> anyhow::Result<()> {
    let length = bench::duration();
    let runtime = bench::runtime()?;
    let deployments: [fn() -> Deployment; 2] = [
        || Deployment {
            name: "huerto",
            writes: 20,
            relaxed: 40,
            think: Duration::from_millis(30),
        },
        || Deployment {
            name: "flash cards",
            writes: 10,
            relaxed: 80,
            think: Duration::from_millis(15),
        },
    ];
    for make in deployments {
        for lag in [5, 50, 500] {
            for (strict, own_writes) in [(false, "tables"), (false, "all"), (true, "all")] {
                LocalSet::new()
                    .block_on(&runtime, trial(make(), lag, length, strict, own_writes))?;
            }
        }
    }
    Ok(())
}
