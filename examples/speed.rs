//! Measures the latency that a box adds to a statement, compared with a direct connection to the
//! same member, and the throughput and processor time of statements through one box. Both are
//! measured for the box that owns the group and for a box that forwards to the owner.
//!
//! `cargo run --release --example speed -- [SECONDS]`

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use larkfall::trial::bench;
use larkfall::trial::client::Client;
use larkfall::trial::cluster::{Cluster, Shape, wait_until};
use larkfall::trial::host::Threads;
use larkfall::trial::sample::Sample;
use larkfall::trial::usage::thread_cpu_time;
use serde_json::json;
use tokio::task::LocalSet;

const SQL: &str = "SELECT title FROM deck WHERE id = 1";
const WARM_UP_STATEMENTS: u32 = 500;

/// Measures the latency of statements on one connection.
async fn measure_latency(client: &mut Client, length: Duration) -> anyhow::Result<Sample> {
    for _ in 0..WARM_UP_STATEMENTS {
        client.query(SQL).await?;
    }
    let mut sample = Sample::default();
    let end = Instant::now() + length;
    while Instant::now() < end {
        let start = Instant::now();
        client.query(SQL).await?;
        sample.add(start.elapsed());
    }
    Ok(sample)
}

fn quantile_us(sample: &Sample, share: f64) -> f64 {
    sample.quantile(share).as_secs_f64() * 1e6
}

/// Returns the statements per second that concurrent callers complete.
async fn measure_throughput(
    at: SocketAddr,
    callers: usize,
    length: Duration,
) -> anyhow::Result<f64> {
    // The callers run on other threads so that they don't compete with the box.
    let threads = callers.min(4);
    let start = |share: usize| {
        std::thread::spawn(move || -> anyhow::Result<u64> {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            LocalSet::new().block_on(&runtime, async move {
                let end = Instant::now() + length;
                let caller = || async move {
                    let mut client =
                        Client::connect(at, "huerto", "market", Some("v1.0.0")).await?;
                    let mut count = 0u64;
                    while Instant::now() < end {
                        client.query(SQL).await?;
                        count += 1;
                    }
                    anyhow::Ok(count)
                };
                let counts = futures::future::try_join_all((0..share).map(|_| caller())).await?;
                Ok(counts.iter().sum())
            })
        })
    };
    let handles: Vec<_> = (0..threads).map(|_| start(callers / threads)).collect();
    let mut total = 0;
    for handle in handles {
        total += handle.join().expect("no caller panics")?;
    }
    Ok(total as f64 / length.as_secs_f64())
}

async fn measure(length: Duration) -> anyhow::Result<()> {
    let shape = Shape {
        boxes: 2,
        domains: 1,
        members: 3,
        slots: 64,
        connections: 64,
        lag_ms: 0,
        group_fields: json!({ "owners": 1, "max_age_ms": 10_000 }),
        ..Shape::default()
    };
    let cluster = Cluster::start(shape, &Threads::default()).await?;
    let mut client = cluster.connect(0, "market", None).await?;
    client
        .query("CREATE TABLE deck (id bigint, title text)")
        .await?;
    client.query("INSERT INTO deck VALUES (1, 'verbs')").await?;
    let mut owner = None;
    for i in 0..2 {
        let dump = cluster.dump(i).await?;
        if dump["groups"]
            .as_array()
            .is_some_and(|groups| !groups.is_empty())
        {
            owner = Some(i);
        }
    }
    let owner = owner.expect("one box owns the group");
    let member = SocketAddr::new(cluster.members[0][1].ip, 5432);
    wait_until("the replica has the row", async || {
        match Client::connect(member, "x", "x", None).await {
            Ok(mut direct) => direct.query(SQL).await.is_ok_and(|a| a.rows.len() == 1),
            Err(_) => false,
        }
    })
    .await?;
    let mut direct = Client::connect(member, "x", "x", None).await?;
    let mut owning = cluster.connect(owner, "market", Some("v1.0.0")).await?;
    let mut forwarding = cluster.connect(1 - owner, "market", Some("v1.0.0")).await?;
    // Interleaves the three, so that other load on the machine affects them equally.
    let mut samples = [Sample::default(), Sample::default(), Sample::default()];
    for _ in 0..4 {
        for (i, client) in [&mut direct, &mut owning, &mut forwarding]
            .into_iter()
            .enumerate()
        {
            samples[i].extend(measure_latency(client, length / 4).await?);
        }
    }
    for (name, sample) in [
        "direct to the member",
        "box that owns the group",
        "box that forwards",
    ]
    .iter()
    .zip(&samples)
    {
        println!(
            "{name:26} p50 {:7.1} us  p99 {:7.1} us  added p50 {:7.1} us  p99 {:7.1} us",
            quantile_us(sample, 0.5),
            quantile_us(sample, 0.99),
            quantile_us(sample, 0.5) - quantile_us(&samples[0], 0.5),
            quantile_us(sample, 0.99) - quantile_us(&samples[0], 0.99),
        );
    }
    for (name, at) in [("owner", owner), ("forwarding", 1 - owner)] {
        for callers in [1, 4, 16, 64] {
            let before = (
                thread_cpu_time(&format!("box-b{owner}")),
                thread_cpu_time(&format!("box-b{}", 1 - owner)),
                thread_cpu_time("member"),
            );
            let rate = measure_throughput(cluster.sql_address(at), callers, length).await?;
            let us_per_statement = |after: Duration, before: Duration| {
                (after - before).as_secs_f64() * 1e6 / (rate * length.as_secs_f64())
            };
            println!(
                "{name:10} {callers:3} callers  {rate:8.0}/s  processor time per statement: owner {:5.1} us  forwarder {:5.1} us  members {:5.1} us",
                us_per_statement(thread_cpu_time(&format!("box-b{owner}")), before.0),
                us_per_statement(thread_cpu_time(&format!("box-b{}", 1 - owner)), before.1),
                us_per_statement(thread_cpu_time("member"), before.2),
            );
        }
    }
    Ok(())
}

fn main() -> anyhow::Result<()> {
    let runtime = bench::runtime()?;
    LocalSet::new().block_on(&runtime, measure(bench::duration()))
}
