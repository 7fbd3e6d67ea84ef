//! Measures the share of reads served by replicas, by workload and replication lag.
//!
//! `cargo run --release --example replicas -- [SECONDS]`
//!
//! Compares with two baselines: all reads go to the primary, since their read kind allows no
//! staleness, and sessions are pinned to the primary for a fixed time after each write. The second
//! baseline is computed from the operations of the same run.

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
const PINNED_AFTER_WRITE: Duration = Duration::from_secs(1);

/// The operations of a workload. All other operations read the session's own rows.
struct Operations {
    name: &'static str,
    write_percent: u32,
    /// Reads that allow some staleness.
    relaxed_percent: u32,
    /// Pause of a session between two operations.
    think_time: Duration,
}

#[derive(Default)]
struct Results {
    reads: u64,
    relaxed: u64,
    /// Reads that would go to the primary with pinning.
    pinned: u64,
    /// Reads that missed a write of the same session.
    stale: u64,
    own_read_times: Sample,
    relaxed_read_times: Sample,
    write_times: Sample,
    errors: u64,
}

async fn session(
    at: std::net::SocketAddr,
    student: u64,
    end: Instant,
    operations: Rc<Operations>,
    results: Rc<RefCell<Results>>,
) -> Result<(), ClientError> {
    let mut client = Client::connect(at, "huerto", "market", None).await?;
    let mut rng = SmallRng::seed_from_u64(student);
    let mut sequence = 0i64;
    let mut last_write: Option<Instant> = None;
    while Instant::now() < end {
        tokio::time::sleep(operations.think_time.mul_f64(rng.random_range(0.5..1.5))).await;
        let draw = rng.random_range(0..100);
        let start = Instant::now();
        if draw < operations.write_percent {
            sequence += 1;
            let sql = format!(
                "INSERT INTO answer VALUES ('{student}-{sequence}', {student}, {sequence})"
            );
            let answer = client.query(&sql).await;
            let mut results = results.borrow_mut();
            results.errors += u64::from(answer.is_err());
            if answer.is_err() {
                sequence -= 1;
            }
            results.write_times.add(start.elapsed());
            last_write = Some(Instant::now());
            continue;
        }
        let relaxed = draw < operations.write_percent + operations.relaxed_percent;
        let sql = match relaxed {
            true => "SELECT title FROM deck WHERE id = 1".to_owned(),
            false => format!("SELECT max(seq) FROM answer WHERE student = {student}"),
        };
        let answer = client.query(&sql).await;
        let mut results = results.borrow_mut();
        results.reads += 1;
        results.pinned += u64::from(last_write.is_some_and(|at| at.elapsed() < PINNED_AFTER_WRITE));
        match answer {
            Ok(answer) if !relaxed => {
                results.stale += u64::from(answer.number().unwrap_or_default() < sequence);
                results.own_read_times.add(start.elapsed());
            }
            Ok(_) => {
                results.relaxed += 1;
                results.relaxed_read_times.add(start.elapsed());
            }
            Err(_) => results.errors += 1,
        }
    }
    Ok(())
}

async fn run_trial(
    operations: Operations,
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
    let name = operations.name;
    let operations = Rc::new(operations);
    let results = Rc::new(RefCell::new(Results::default()));
    let end = Instant::now() + length;
    let start = |student: u64| {
        let at = cluster.sql_address(student as usize % cluster.boxes.len());
        tokio::task::spawn_local(session(
            at,
            student,
            end,
            operations.clone(),
            results.clone(),
        ))
    };
    let sessions: Vec<_> = (0..SESSIONS).map(start).collect();
    for session in sessions {
        session.await??;
    }
    let label = r#"kind="deck""#;
    let relaxed_by_replica = cluster
        .counter_with_label("larkfall_reads_by_replica_total", label)
        .await;
    let relaxed_by_primary = cluster
        .counter_with_label("larkfall_reads_by_primary_total", label)
        .await;
    let replica = cluster.counter("larkfall_reads_by_replica_total").await - replica;
    let primary = cluster.counter("larkfall_reads_by_primary_total").await - primary;
    let results = results.borrow();
    let policy = match (strict, own_writes) {
        (true, _) => "all to primary",
        (false, "tables") => "floor by table",
        _ => "session floor",
    };
    println!(
        "{name:12} lag {lag:3} ms  {policy:14} on replicas {:5.1}%, relaxed reads {:5.1}%  (with pinning for {:.0} s after a write: {:5.1}%)  stale own reads {}  errors {}",
        100.0 * replica / (replica + primary).max(1.0),
        100.0 * relaxed_by_replica / (relaxed_by_replica + relaxed_by_primary).max(1.0),
        PINNED_AFTER_WRITE.as_secs_f64(),
        100.0 * (1.0 - results.pinned as f64 / results.reads.max(1) as f64),
        results.stale,
        results.errors,
    );
    println!("      own reads   {}", results.own_read_times.summary());
    println!("      relaxed     {}", results.relaxed_read_times.summary());
    println!("      writes      {}", results.write_times.summary());
    Ok(())
}

fn main() -> anyhow::Result<()> {
    let length = bench::duration();
    let runtime = bench::runtime()?;
    let workloads: [fn() -> Operations; 2] = [
        || Operations {
            name: "huerto",
            write_percent: 20,
            relaxed_percent: 40,
            think_time: Duration::from_millis(30),
        },
        || Operations {
            name: "flash cards",
            write_percent: 10,
            relaxed_percent: 80,
            think_time: Duration::from_millis(15),
        },
    ];
    for make in workloads {
        for lag in [5, 50, 500] {
            for (strict, own_writes) in [(false, "tables"), (false, "all"), (true, "all")] {
                LocalSet::new()
                    .block_on(&runtime, run_trial(make(), lag, length, strict, own_writes))?;
            }
        }
    }
    Ok(())
}
