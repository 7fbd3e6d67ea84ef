//! Measures the distribution of the failover gap by kind of fault.
//!
//! `cargo run --release --example failover -- TRIALS [KIND…]`
//!
//! The kinds are killed, frozen, cut-from-domain, cut-from-boxes and none. Runs all but none by
//! default. With the environment variable `TRIAL_LOG`, boxes log to standard error.

use std::time::Duration;

use larkfall::standin::faults::Faults;
use larkfall::trial::cluster::{Cluster, Shape, wait_until};
use larkfall::trial::host::Threads;
use larkfall::trial::journal::Verdict;
use larkfall::trial::sample::Sample;
use larkfall::trial::workload::{Mix, Workload, create_tables};
use tokio::task::LocalSet;

const FAULT_KINDS: [&str; 4] = ["killed", "frozen", "cut-from-domain", "cut-from-boxes"];
const WORKERS: u64 = 3;
const WARM_UP: Duration = Duration::from_millis(400);
/// Number of writes that must be acknowledged after the fault, over all sessions.
const MIN_ACKNOWLEDGED: usize = 40;

struct Outcome {
    gap: Duration,
    verdict: Verdict,
    replacements: f64,
}

async fn run_trial(kind: &str, seed: u64) -> anyhow::Result<Outcome> {
    let shape = Shape {
        boxes: 3,
        delay_ms: 2,
        log: std::env::var("TRIAL_LOG").map_or(larkfall::events::Format::None, |_| {
            larkfall::events::Format::Terminal
        }),
        ..Shape::default()
    };
    let mut cluster = Cluster::start(shape, &Threads::default()).await?;
    let mut client = cluster.connect(0, "market", None).await?;
    create_tables(&mut client).await?;
    let boxes = (0..3).map(|i| cluster.sql_address(i)).collect();
    let mix = Mix {
        seed,
        ..Mix::default()
    };
    let workload = Workload::start(boxes, "huerto", "market", &mix);
    tokio::time::sleep(WARM_UP + Duration::from_millis(seed * 37 % 200)).await;
    let fault_at = workload.elapsed();
    inject_fault(&mut cluster, kind).await?;
    // The gap has ended if the latest acknowledgements all came well after the fault.
    let is_recovered = |journal: &larkfall::trial::journal::Journal| {
        let last = journal.acknowledged_at.iter().rev().take(MIN_ACKNOWLEDGED);
        journal.acknowledged_at.len() > MIN_ACKNOWLEDGED
            && last
                .min()
                .is_some_and(|at| *at > fault_at + Duration::from_millis(60))
    };
    wait_until("writes are acknowledged again", async || {
        is_recovered(&workload.journal.borrow())
    })
    .await?;
    let gap = workload
        .journal
        .borrow()
        .gap_after(fault_at)
        .unwrap_or_default();
    let replacements = cluster.counter("larkfall_replacements_total").await;
    for member in 1..3 {
        cluster
            .set_faults(0, member, &cluster.default_faults())
            .await?;
    }
    if kind != "killed" {
        cluster.set_faults(0, 0, &cluster.default_faults()).await?;
    }
    let (verdict, _) = workload.finish().await?;
    Ok(Outcome {
        gap,
        verdict,
        replacements,
    })
}

async fn inject_fault(cluster: &mut Cluster, kind: &str) -> anyhow::Result<()> {
    let mut faults = cluster.default_faults();
    match kind {
        "killed" => {
            cluster.members[0][0].handle.kill();
            return Ok(());
        }
        "frozen" => faults.frozen = true,
        "cut-from-domain" => faults.cut = vec![cluster.prefix(1), cluster.prefix(2)],
        "cut-from-boxes" => {
            faults.cut = (0..3)
                .map(|domain| format!("{}10", cluster.prefix(domain)))
                .collect();
        }
        "none" => {}
        other => anyhow::bail!("unknown kind of fault: {other}"),
    }
    let faults = Faults { ..faults };
    cluster.set_faults(0, 0, &faults).await
}

fn run_trials(kind: String, seeds: Vec<u64>) -> Vec<anyhow::Result<Outcome>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let run = |seed| LocalSet::new().block_on(&runtime, run_trial(&kind, seed));
    seeds.into_iter().map(run).collect()
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let trials: u64 = arguments
        .first()
        .and_then(|text| text.parse().ok())
        .unwrap_or(50);
    let kinds: Vec<&str> = match arguments.len() {
        0 | 1 => FAULT_KINDS.to_vec(),
        _ => arguments[1..].iter().map(String::as_str).collect(),
    };
    println!(
        "3 boxes, 3 members in 3 domains, 2 ms one way between domains, lag 5 ms, {trials} trials"
    );
    for kind in kinds {
        let seeds = move |worker: u64| {
            (0..trials)
                .filter(|seed| seed % WORKERS == worker)
                .collect::<Vec<u64>>()
        };
        let start = |worker| {
            let kind = kind.to_owned();
            std::thread::spawn(move || run_trials(kind, seeds(worker)))
        };
        let handles: Vec<_> = (0..WORKERS).map(start).collect();
        let mut gaps = Sample::default();
        let (mut violated, mut failed, mut replacements) = (0, 0, 0.0);
        for handle in handles {
            for outcome in handle.join().expect("the trials ran without a panic") {
                match outcome {
                    Ok(outcome) => {
                        gaps.add(outcome.gap);
                        replacements += outcome.replacements;
                        if !outcome.verdict.is_clean() {
                            println!("  {:?}", outcome.verdict);
                            violated += 1;
                        }
                    }
                    Err(error) => {
                        println!("  {error:#}");
                        failed += 1;
                    }
                }
            }
        }
        println!(
            "{kind:16} {}  p90 {:8.2}  replacements {replacements}  with violations {violated}  failed {failed}",
            gaps.summary(),
            gaps.quantile(0.9).as_secs_f64() * 1_000.0,
        );
    }
}
