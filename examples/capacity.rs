//! The slopes behind docs/CAPACITY.md.
//!
//! `cargo run --release --example capacity -- [PART…]` with the parts groups,
//! boxes, callers, declarations, changes, storm; all of them without one.
//! The program itself (`cargo build --release`) must have been built before.

#[path = "support/processes.rs"]
mod processes;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use larkfall::borders::roster::Listing;
use larkfall::borders::table::{RESOURCE_PREFIX, Revision, Row, Scan};
use larkfall::decisions::owners::Ranking;
use larkfall::events::{Format, logger};
use larkfall::node::configuration::Store;
use larkfall::standin::faults::Faults;
use larkfall::trial::client::Client;
use larkfall::trial::cluster::{Cluster, Shape, operator_token};
use larkfall::trial::host::{Host, Threads};
use larkfall::trial::sample::Sample;
use larkfall::trial::usage::{loopback_bytes, resident_bytes, thread_cpu_time};
use processes::Processes;
use serde_json::json;
use tokio::task::LocalSet;

const WATCH: Duration = Duration::from_secs(6);
const POLL: Duration = Duration::from_secs(2);

fn groups(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("g{i}")).collect()
}

fn shape(boxes: u8, count: usize) -> Shape {
    Shape {
        boxes,
        groups: groups(count),
        poll: POLL,
        ..Shape::default()
    }
}

/// Control traffic and processor time of idle boxes by groups owned.
async fn by_groups() -> anyhow::Result<()> {
    println!(
        "idle boxes by groups: 3 boxes, each owns every group; {} s",
        WATCH.as_secs()
    );
    for count in [1, 2, 4, 8, 16] {
        let mut cluster = Cluster::start(shape(3, count), &Threads::default()).await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (bytes, time) = (loopback_bytes(), thread_cpu_time("box-"));
        let probes = cluster.counter("larkfall_probes_total").await;
        tokio::time::sleep(WATCH).await;
        let (bytes, time) = (loopback_bytes() - bytes, thread_cpu_time("box-") - time);
        let probes = cluster.counter("larkfall_probes_total").await - probes;
        for part in &mut cluster.boxes {
            part.handle.kill();
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let without = loopback_bytes();
        tokio::time::sleep(WATCH).await;
        let without = loopback_bytes() - without;
        let seconds = WATCH.as_secs_f64();
        println!(
            "  {count:3} groups  {:7.0} B/s a box  {:6.3}% of a core a box  {:5.1} probes/s a box",
            bytes.saturating_sub(without) as f64 / seconds / 3.0,
            time.as_secs_f64() / seconds / 3.0 * 100.0,
            probes / seconds / 3.0,
        );
    }
    Ok(())
}

/// Control traffic of idle boxes by boxes, and the platform's reads.
async fn by_boxes() -> anyhow::Result<()> {
    println!(
        "idle boxes by boxes: one group, 3 owners; {} s",
        WATCH.as_secs()
    );
    for boxes in [3, 6, 12, 24, 48] {
        let cluster = Cluster::start(shape(boxes, 1), &Threads::default()).await?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let (bytes, time) = (loopback_bytes(), thread_cpu_time("box-"));
        let reads = cluster.platform_reads().await;
        tokio::time::sleep(WATCH).await;
        let (bytes, time) = (loopback_bytes() - bytes, thread_cpu_time("box-") - time);
        let reads = cluster.platform_reads().await - reads;
        let seconds = WATCH.as_secs_f64();
        println!(
            "  {boxes:3} boxes  {:7.0} B/s in all  {:6.3}% of a core a box  platform reads {:6.1}/s",
            bytes as f64 / seconds,
            time.as_secs_f64() / seconds / f64::from(boxes) * 100.0,
            reads as f64 / seconds,
        );
    }
    Ok(())
}

fn resident(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or_default() * 4096
}

/// Processor time of a process with one thread.
fn processor(pid: u32) -> Duration {
    let text = fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    let time = text.split_whitespace().next().and_then(|t| t.parse().ok());
    Duration::from_nanos(time.unwrap_or_default())
}

/// Memory of a box, a process of its own, by idle callers.
async fn by_callers() -> anyhow::Result<()> {
    println!("one box as a process, idle callers, each after one statement");
    let host = Processes {
        program: std::env::current_exe()?
            .with_file_name("..")
            .join("larkfall"),
    };
    let cluster = Cluster::start(shape(1, 1), &host as &dyn Host).await?;
    let pid = cluster.boxes[0].handle.process_id();
    let mut clients: Vec<Client> = Vec::new();
    for count in [0, 500, 1_000, 2_000, 4_000] {
        let (before, spent) = (clients.len(), processor(pid));
        while clients.len() < count {
            let mut client = cluster.connect(0, "g0", Some("v1.0.0")).await?;
            client.query("SELECT 1").await?;
            clients.push(client);
        }
        let more = (count - before).max(1) as f64;
        println!(
            "  {count:5} callers  {:8.2} MB resident  {:6.0} us processor for each that came",
            resident(pid) as f64 / 1e6,
            (processor(pid) - spent).as_secs_f64() * 1e6 / more,
        );
    }
    Ok(())
}

fn row(key: &str, revision: u64, value: serde_json::Value) -> Row {
    Row {
        key: format!("{RESOURCE_PREFIX}{key}").into(),
        revision: revision.into(),
        value: Some(value),
    }
}

/// The rows of so many groups: three members, two kinds of read, one rule each.
fn rows(count: usize) -> Vec<Row> {
    let mut rows = vec![row(
        "partner/p",
        1,
        json!({ "name": "p", "operator": "0".repeat(64) }),
    )];
    for g in 0..count {
        let group = format!("g{g}");
        let base = json!({ "partner": "p", "name": group });
        rows.push(row(&format!("group/p/{group}"), 2, base));
        for m in 0..3 {
            let spec = json!({
                "partner": "p", "group": group, "name": format!("m{m}"), "domain": format!("d{}", (g + m) % 10),
                "sql": format!("10.{}.{}.{m}:5432", g / 250, g % 250),
                "control": format!("10.{}.{}.{m}:7432", g / 250, g % 250),
            });
            rows.push(row(&format!("member/p/{group}.m{m}"), 2, spec));
        }
        for r in 0..2 {
            let spec = json!({ "partner": "p", "group": group, "name": format!("r{r}"), "tables": ["deck"] });
            rows.push(row(&format!("read/p/{group}.r{r}"), 2, spec));
        }
        let spec = json!({ "partner": "p", "group": group, "name": "sale", "table": "sale" });
        rows.push(row(&format!("once/p/{group}.sale"), 2, spec));
    }
    rows
}

/// Memory and time of the whole configuration on one box.
fn by_declarations() {
    println!("configuration on one box: 7 resources a group, 420 boxes in 10 domains");
    let boxes: Vec<Listing> = (0..420)
        .map(|i| Listing {
            name: format!("b{i}").into(),
            address: format!("10.0.{}.{}:8432", i / 250, i % 250).into(),
            domain: format!("d{}", i % 10).into(),
            leaving: false,
            link_mbps: 0,
        })
        .collect();
    let log = logger(Format::None);
    for count in [105, 210, 420, 840, 1_680] {
        let before = resident_bytes();
        let scan = Scan {
            head: 2.into(),
            rows: rows(count),
            ..Scan::default()
        };
        let size = serde_json::to_vec(&scan).map_or(0, |bytes| bytes.len());
        let mut store = Store::default();
        let began = Instant::now();
        store.take(Revision::NONE, &scan, &log);
        let taken = began.elapsed();
        drop(scan);
        let began = Instant::now();
        let snapshot = store.snapshot();
        let built = began.elapsed();
        let began = Instant::now();
        let ranking = Ranking::new(&boxes);
        let mut owned = BTreeMap::new();
        for (id, plan) in &snapshot.groups {
            let domains: BTreeSet<Arc<str>> =
                plan.members.iter().map(|m| m.domain.clone()).collect();
            for listing in ranking.owners(id, 3, &domains) {
                *owned.entry(listing.name.clone()).or_insert(0usize) += 1;
            }
        }
        let chosen = began.elapsed();
        let most = owned.values().max().copied().unwrap_or_default();
        println!(
            "  {count:5} groups  {:6.2} MB  as JSON {:6.2} MB  taking all {:6.1} ms  snapshot {:6.1} ms  owners {:6.1} ms  most groups on a box {most}",
            (resident_bytes().saturating_sub(before)) as f64 / 1e6,
            size as f64 / 1e6,
            taken.as_secs_f64() * 1e3,
            built.as_secs_f64() * 1e3,
            chosen.as_secs_f64() * 1e3,
        );
        drop(snapshot);
    }
}

/// Time until a change is in force everywhere, and what it costs, by boxes.
async fn by_changes() -> anyhow::Result<()> {
    const CHANGES: usize = 40;
    println!(
        "changes of one resource, {CHANGES} of them, by boxes; polls every {} s",
        POLL.as_secs()
    );
    for boxes in [3, 9, 18, 36] {
        let cluster = Cluster::start(shape(boxes, 1), &Threads::default()).await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let mut sample = Sample::default();
        let (bytes, time) = (loopback_bytes(), thread_cpu_time("box-"));
        for change in 0..CHANGES {
            let spec = json!({ "partner": "huerto", "group": "g0", "name": "panel", "max_age_ms": 1_000 + change });
            let resource = json!({ "kind": "read", "spec": spec });
            let at = change % cluster.boxes.len();
            let start = Instant::now();
            let done = cluster
                .apply(at, &operator_token("huerto"), &[resource])
                .await;
            let revision = done.map_err(anyhow::Error::msg)?["revision"]
                .as_u64()
                .unwrap_or_default();
            cluster.wait_for_revision(revision).await?;
            sample.add(start.elapsed());
        }
        println!(
            "  {boxes:3} boxes  {}  {:7.0} B a box and change, polls and looks included  {:6.2} ms processor a box and change",
            sample.summary(),
            (loopback_bytes() - bytes) as f64 / f64::from(boxes) / CHANGES as f64,
            (thread_cpu_time("box-") - time).as_secs_f64() * 1e3
                / f64::from(boxes)
                / CHANGES as f64,
        );
    }
    Ok(())
}

/// All primaries of many groups fall silent at once.
async fn storm() -> anyhow::Result<()> {
    println!("every group's primary frozen at once; 3 boxes own all groups");
    for count in [2, 4, 8, 16] {
        let cluster = Cluster::start(shape(3, count), &Threads::default()).await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (bytes, time) = (loopback_bytes(), thread_cpu_time("box-"));
        let began = Instant::now();
        for group in 0..count {
            let faults = Faults {
                frozen: true,
                ..Faults::default()
            };
            cluster.set_faults(group, 0, &faults).await?;
        }
        let mut replaced = None;
        while began.elapsed() < Duration::from_secs(4) {
            let done = cluster.counter("larkfall_replacements_total").await >= count as f64;
            replaced = replaced.or(done.then(|| began.elapsed()));
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let replaced = replaced.ok_or_else(|| anyhow::anyhow!("not all were replaced"))?;
        println!(
            "  {count:3} groups  all replaced after {:6.0} ms  {:7.0} B a group in 4 s, looking included  {:6.2} ms processor a group",
            replaced.as_secs_f64() * 1e3,
            (loopback_bytes() - bytes) as f64 / count as f64,
            (thread_cpu_time("box-") - time).as_secs_f64() * 1e3 / count as f64,
        );
    }
    Ok(())
}

async fn measure(part: &str) -> anyhow::Result<()> {
    match part {
        "groups" => by_groups().await,
        "boxes" => by_boxes().await,
        "callers" => by_callers().await,
        "declarations" => {
            by_declarations();
            Ok(())
        }
        "changes" => by_changes().await,
        "storm" => storm().await,
        other => anyhow::bail!("no part: {other}"),
    }
}

fn main() -> anyhow::Result<()> {
    let mut parts: Vec<String> = std::env::args().skip(1).collect();
    if parts.is_empty() {
        parts = [
            "declarations",
            "callers",
            "groups",
            "boxes",
            "changes",
            "storm",
        ]
        .map(str::to_owned)
        .to_vec();
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    for part in &parts {
        LocalSet::new().block_on(&runtime, measure(part))?;
    }
    Ok(())
}
