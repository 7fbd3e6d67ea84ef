//! `larkfall demo`: runs a whole system on loopback, kills a primary and measures the failover gap
//! and the share of reads served by replicas.

use std::time::Duration;

use serde::Serialize;
use tokio::task::LocalSet;

use super::Exit;
use crate::trial::cluster::{Cluster, Shape};
use crate::trial::host::Threads;
use crate::trial::journal::Verdict;
use crate::trial::workload::{Mix, Workload, create_tables};

const DEFAULT_SECONDS: u64 = 8;

/// Results of the demo.
#[derive(Debug, Serialize)]
struct Measures {
    replica_read_share: f64,
    failover_gap_ms: f64,
    reads: u64,
    writes: u64,
    #[serde(flatten)]
    verdict: Verdict,
}

pub fn run(json: bool, seconds: Option<u64>) -> anyhow::Result<Exit> {
    let seconds = Duration::from_secs(seconds.unwrap_or(DEFAULT_SECONDS));
    // A runtime can't be started on the current thread, which already runs one.
    let demo = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        LocalSet::new().block_on(&runtime, measure(seconds))
    });
    let measures = demo
        .join()
        .map_err(|_| anyhow::anyhow!("the demo panicked"))??;
    match json {
        true => println!("{}", serde_json::to_string(&measures)?),
        false => print(&measures),
    }
    match measures.verdict.is_clean() {
        true => Ok(Exit::Done),
        false => Ok(Exit::Failed),
    }
}

async fn measure(duration: Duration) -> anyhow::Result<Measures> {
    let shape = Shape::default();
    let mut cluster = Cluster::start(shape, &Threads::default()).await?;
    let mut client = cluster.connect(0, "market", None).await?;
    create_tables(&mut client).await?;
    drop(client);
    let boxes = (0..cluster.boxes.len()).map(|i| cluster.sql_address(i));
    let mix = Mix::default();
    let workload = Workload::start(boxes.collect(), "huerto", "market", &mix);
    tokio::time::sleep(duration / 2).await;
    let killed_at = workload.elapsed();
    let primary = cluster.primary(0).await.unwrap_or_default();
    cluster.members[0][primary].handle.kill();
    tokio::time::sleep(duration / 2).await;
    let (verdict, journal) = workload.finish().await?;
    let replica = cluster.counter("larkfall_reads_by_replica_total").await;
    let primary = cluster.counter("larkfall_reads_by_primary_total").await;
    let journal = journal.borrow();
    let gap = journal.gap_after(killed_at).unwrap_or(duration);
    Ok(Measures {
        replica_read_share: replica / (replica + primary).max(1.0),
        failover_gap_ms: gap.as_secs_f64() * 1_000.0,
        reads: journal.reads,
        writes: journal.writes,
        verdict,
    })
}

fn print(measures: &Measures) {
    let Measures {
        replica_read_share,
        failover_gap_ms,
        reads,
        writes,
        verdict,
    } = measures;
    println!("one group of three members, two boxes, the primary killed half-way");
    println!("reads {reads}, writes {writes}");
    println!(
        "share of reads served by replicas: {:.1}%",
        replica_read_share * 100.0
    );
    println!("failover gap: {failover_gap_ms:.0} ms");
    println!(
        "lost acknowledged writes: {}",
        verdict.lost_acknowledged_writes
    );
    println!("double runs: {}", verdict.double_runs);
    println!("stale own reads: {}", verdict.stale_own_reads);
    println!("reads that went back in time: {}", verdict.backward_reads);
    println!(
        "ran though refused as not run: {}",
        verdict.ran_though_refused
    );
    println!(
        "answers to somebody else's request: {}",
        verdict.foreign_answers
    );
}
