//! Measures how resource usage grows with the size of a system, for docs/CAPACITY.md.
//!
//! `cargo run --release --example capacity -- [PART…]` with the parts groups, boxes, callers,
//! declarations, changes and storm. Runs all parts by default. The part callers starts the program
//! itself, which `cargo build --release` must have built.

#[path = "support/processes.rs"]
mod processes;

use std::fs;
use std::time::{Duration, Instant};

use larkfall::borders::roster::Listing;
use larkfall::borders::table::{RESOURCE_PREFIX, Revision, Row, Scan};
use larkfall::decisions::owners::Assignment;
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

const MEASUREMENT_TIME: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_secs(2);

fn groups(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("g{i}")).collect()
}

fn shape(boxes: u8, count: usize) -> Shape {
    Shape {
        boxes,
        groups: groups(count),
        poll: POLL_INTERVAL,
        ..Shape::default()
    }
}

/// Measures control traffic and processor time of idle boxes by the number of owned groups.
async fn measure_groups() -> anyhow::Result<()> {
    println!(
        "idle boxes by number of groups: 3 boxes, each owns every group; {} s",
        MEASUREMENT_TIME.as_secs()
    );
    for count in [1, 2, 4, 8, 16] {
        let mut cluster = Cluster::start(shape(3, count), &Threads::default()).await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (bytes, cpu_time) = (loopback_bytes(), thread_cpu_time("box-"));
        let probes = cluster.counter("larkfall_probes_total").await;
        tokio::time::sleep(MEASUREMENT_TIME).await;
        let (bytes, cpu_time) = (loopback_bytes() - bytes, thread_cpu_time("box-") - cpu_time);
        let probes = cluster.counter("larkfall_probes_total").await - probes;
        for instance in &mut cluster.boxes {
            instance.handle.kill();
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let other_bytes = loopback_bytes();
        tokio::time::sleep(MEASUREMENT_TIME).await;
        let other_bytes = loopback_bytes() - other_bytes;
        let seconds = MEASUREMENT_TIME.as_secs_f64();
        println!(
            "  {count:3} groups  {:7.0} B/s per box  {:6.3}% of a core per box  {:5.1} probes/s per box",
            bytes.saturating_sub(other_bytes) as f64 / seconds / 3.0,
            cpu_time.as_secs_f64() / seconds / 3.0 * 100.0,
            probes / seconds / 3.0,
        );
    }
    Ok(())
}

/// Measures control traffic of idle boxes and reads of the platform by the number of boxes.
async fn measure_boxes() -> anyhow::Result<()> {
    println!(
        "idle boxes by number of boxes: one group, 3 owners; {} s",
        MEASUREMENT_TIME.as_secs()
    );
    for boxes in [3, 6, 12, 24, 48] {
        let cluster = Cluster::start(shape(boxes, 1), &Threads::default()).await?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let (bytes, cpu_time) = (loopback_bytes(), thread_cpu_time("box-"));
        let reads = cluster.platform_reads().await;
        tokio::time::sleep(MEASUREMENT_TIME).await;
        let (bytes, cpu_time) = (loopback_bytes() - bytes, thread_cpu_time("box-") - cpu_time);
        let reads = cluster.platform_reads().await - reads;
        let seconds = MEASUREMENT_TIME.as_secs_f64();
        println!(
            "  {boxes:3} boxes  {:7.0} B/s in total  {:6.3}% of a core per box  platform reads {:6.1}/s",
            bytes as f64 / seconds,
            cpu_time.as_secs_f64() / seconds / f64::from(boxes) * 100.0,
            reads as f64 / seconds,
        );
    }
    Ok(())
}

/// Returns the resident memory of a process.
fn process_resident_bytes(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or_default() * 4096
}

/// Returns the processor time of a process with one thread.
fn process_cpu_time(pid: u32) -> Duration {
    let text = fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    let time = text.split_whitespace().next().and_then(|t| t.parse().ok());
    Duration::from_nanos(time.unwrap_or_default())
}

/// Measures the memory of a box in its own process by the number of idle callers.
async fn measure_callers() -> anyhow::Result<()> {
    println!("one box in its own process, idle callers after one statement each");
    let host = Processes {
        program: std::env::current_exe()?
            .with_file_name("..")
            .join("larkfall"),
    };
    let cluster = Cluster::start(shape(1, 1), &host as &dyn Host).await?;
    let pid = cluster.boxes[0].handle.process_id();
    let mut clients: Vec<Client> = Vec::new();
    for count in [0, 500, 1_000, 2_000, 4_000] {
        let (count_before, time_before) = (clients.len(), process_cpu_time(pid));
        while clients.len() < count {
            let mut client = cluster.connect(0, "g0", Some("v1.0.0")).await?;
            client.query("SELECT 1").await?;
            clients.push(client);
        }
        let new_callers = (count - count_before).max(1) as f64;
        println!(
            "  {count:5} callers  {:8.2} MB resident  {:6.0} us processor time per new caller",
            process_resident_bytes(pid) as f64 / 1e6,
            (process_cpu_time(pid) - time_before).as_secs_f64() * 1e6 / new_callers,
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

/// Returns the table rows of `count` groups with three members, two read kinds and a once rule each.
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

/// Returns the listings of `count` boxes in 10 failure domains.
fn listings(count: usize) -> Vec<Listing> {
    let listing = |i: usize| Listing {
        name: format!("b{i}").into(),
        address: format!("10.0.{}.{}:8432", i / 250, i % 250).into(),
        domain: format!("d{}", i % 10).into(),
        leaving: false,
        link_mbps: 0,
    };
    (0..count).map(listing).collect()
}

/// Returns the time that `work` takes, in milliseconds.
fn milliseconds<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let start = Instant::now();
    let result = work();
    (result, start.elapsed().as_secs_f64() * 1e3)
}

/// Measures the memory of a configuration on one box, and the cost of loading and changing it, by
/// the size of the system.
fn measure_declarations() {
    println!("configuration on one box: as many boxes as groups, 7 resources per group");
    let log = logger(Format::None);
    for count in [300, 1_000, 2_000] {
        let before = resident_bytes();
        let scan = Scan {
            head: 2.into(),
            rows: rows(count),
            ..Scan::default()
        };
        let mut store = Store::default();
        let (_, load_time) = milliseconds(|| store.apply(Revision::NONE, &scan, &log));
        let changed = Scan {
            head: 3.into(),
            rows: scan.rows[2..3].to_vec(),
            ..Scan::default()
        };
        drop(scan);
        let (snapshot, first_snapshot) = milliseconds(|| store.snapshot());
        let mut boxes = listings(count);
        let mut assignment = Assignment::new("b0".into());
        assignment.set_boxes(&boxes);
        let (_, all_owners) = milliseconds(|| assignment.set_groups(&snapshot.groups));
        let selections = assignment.selections();
        boxes[count / 2].leaving = true;
        let (_, box_leaves) = milliseconds(|| assignment.set_boxes(&boxes));
        let moved = assignment.selections() - selections;
        let plans = store.rebuilt_plans();
        let (changed_snapshot, row_changes) = milliseconds(|| {
            let row = &changed.rows[0];
            let value = row.value.clone().map(|mut value| {
                value["leaving"] = true.into();
                value
            });
            let row = Row {
                revision: 3.into(),
                value,
                ..row.clone()
            };
            let scan = Scan {
                rows: vec![row],
                ..changed.clone()
            };
            store.apply(Revision::NONE, &scan, &log);
            let after = store.snapshot();
            assignment.set_groups(&after.groups);
            after
        });
        let plans = store.rebuilt_plans() - plans;
        let resident = resident_bytes().saturating_sub(before);
        let whole = store.scan_since(Revision::NONE);
        let (encoded, encoding) = milliseconds(|| rmp_serde::to_vec(&whole.rows));
        let list = rmp_serde::to_vec(&boxes).map_or(0, |bytes| bytes.len());
        println!(
            "  {count:5}  {:6.2} MB  load {load_time:6.1} ms  first snapshot {first_snapshot:5.1} ms  all owners {all_owners:6.1} ms  a box leaves {box_leaves:5.2} ms ({moved} groups)  a row changes {row_changes:5.2} ms ({plans} plan)  all rows {:6.2} MB in {encoding:5.1} ms  list {:6.3} MB",
            resident as f64 / 1e6,
            encoded.map_or(0, |bytes| bytes.len()) as f64 / 1e6,
            list as f64 / 1e6,
        );
        drop((snapshot, changed_snapshot));
    }
}

/// Measures the time until every box has applied a change, and the cost of a change, by the number
/// of boxes.
async fn measure_changes() -> anyhow::Result<()> {
    const CHANGES: usize = 40;
    println!(
        "{CHANGES} changes of one resource by number of boxes; polls every {} s",
        POLL_INTERVAL.as_secs()
    );
    for boxes in [3, 9, 18, 36] {
        let cluster = Cluster::start(shape(boxes, 1), &Threads::default()).await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let mut sample = Sample::default();
        let (bytes, cpu_time) = (loopback_bytes(), thread_cpu_time("box-"));
        for change in 0..CHANGES {
            let spec = json!({ "partner": "huerto", "group": "g0", "name": "panel", "max_age_ms": 1_000 + change });
            let resource = json!({ "kind": "read", "spec": spec });
            let box_index = change % cluster.boxes.len();
            let start = Instant::now();
            let done = cluster
                .apply(box_index, &operator_token("huerto"), &[resource])
                .await;
            let revision = done.map_err(anyhow::Error::msg)?["revision"]
                .as_u64()
                .unwrap_or_default();
            cluster.wait_for_revision(revision).await?;
            sample.add(start.elapsed());
        }
        println!(
            "  {boxes:3} boxes  {}  {:7.0} B per box and change, including polls and status requests  {:6.2} ms processor time per box and change",
            sample.summary(),
            (loopback_bytes() - bytes) as f64 / f64::from(boxes) / CHANGES as f64,
            (thread_cpu_time("box-") - cpu_time).as_secs_f64() * 1e3
                / f64::from(boxes)
                / CHANGES as f64,
        );
    }
    Ok(())
}

/// Measures the replacement of many primaries that stop answering at once.
async fn measure_replacements() -> anyhow::Result<()> {
    println!("all primaries frozen at once; 3 boxes own all groups");
    for count in [2, 4, 8, 16] {
        let cluster = Cluster::start(shape(3, count), &Threads::default()).await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (bytes, cpu_time) = (loopback_bytes(), thread_cpu_time("box-"));
        let start = Instant::now();
        for group in 0..count {
            let faults = Faults {
                frozen: true,
                ..Faults::default()
            };
            cluster.set_faults(group, 0, &faults).await?;
        }
        let mut replaced = None;
        while start.elapsed() < Duration::from_secs(4) {
            let done = cluster.counter("larkfall_replacements_total").await >= count as f64;
            replaced = replaced.or(done.then(|| start.elapsed()));
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let replaced =
            replaced.ok_or_else(|| anyhow::anyhow!("some primaries were not replaced"))?;
        println!(
            "  {count:3} groups  all replaced after {:6.0} ms  {:7.0} B per group in 4 s, including status requests  {:6.2} ms processor time per group",
            replaced.as_secs_f64() * 1e3,
            (loopback_bytes() - bytes) as f64 / count as f64,
            (thread_cpu_time("box-") - cpu_time).as_secs_f64() * 1e3 / count as f64,
        );
    }
    Ok(())
}

async fn measure(part: &str) -> anyhow::Result<()> {
    match part {
        "groups" => measure_groups().await,
        "boxes" => measure_boxes().await,
        "callers" => measure_callers().await,
        "declarations" => {
            measure_declarations();
            Ok(())
        }
        "changes" => measure_changes().await,
        "storm" => measure_replacements().await,
        other => anyhow::bail!("unknown part: {other}"),
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
