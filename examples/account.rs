//! Counts failed requests in a log, by cause and by group.
//!
//! `cargo run --release --example account < box.log`
//!
//! Prints the failures in intervals of two seconds, then for the whole log the times that the
//! requests waited, the retry delays that callers got, and the groups with the most failures. Text
//! before a line's JSON, such as the name of a box, is skipped.

use std::collections::BTreeMap;
use std::io::BufRead;

use serde_json::Value;

/// Number of the log event for a request that failed.
const FAILED_REQUEST_EVENT: u64 = 404;
const INTERVAL_SECONDS: u64 = 2;
const MAX_GROUPS: usize = 10;

/// Cause and target of a failed request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Failure {
    why: String,
    target: String,
}

/// Returns the second of the day from a line's timestamp, such as `2026-04-17T14:01:44.73Z`.
fn second_of_day(line: &Value) -> Option<u64> {
    let (_, time) = line["ts"].as_str()?.split_once('T')?;
    let mut parts = time.split([':', '.']).map(str::parse::<u64>);
    let mut next = || parts.next()?.ok();
    Some(next()? * 3_600 + next()? * 60 + next()?)
}

/// Delays of the failed requests with the same cause and target.
#[derive(Clone, Debug, Default)]
struct Delays {
    waited_ms: Vec<u64>,
    retry_ms: Vec<u64>,
}

fn text(line: &Value, field: &str) -> String {
    line[field].as_str().unwrap_or("?").to_owned()
}

fn number(line: &Value, field: &str) -> u64 {
    line[field]
        .as_str()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

fn parse_failure(line: &Value) -> Failure {
    // Keeps the first word only: the staleness bound after it differs between databases.
    let target = text(line, "target");
    let kind = target.split(' ').next().unwrap_or_default();
    Failure {
        why: text(line, "why"),
        target: kind.to_owned(),
    }
}

/// Formats the median, the 90th percentile and the maximum.
fn summary(values: &mut [u64]) -> String {
    values.sort_unstable();
    let at = |share: f64| values.get((values.len() as f64 * share) as usize).copied();
    let (median, high) = (at(0.5).unwrap_or(0), at(0.9).unwrap_or(0));
    format!("{median}/{high}/{}", values.last().copied().unwrap_or(0))
}

fn main() {
    let mut log_start = None;
    let mut rows: BTreeMap<u64, BTreeMap<Failure, u64>> = BTreeMap::new();
    let mut delays: BTreeMap<Failure, Delays> = BTreeMap::new();
    let mut groups: BTreeMap<(String, String), u64> = BTreeMap::new();
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let json = line.find('{').map(|start| &line[start..]);
        let Some(line) = json.and_then(|text| serde_json::from_str::<Value>(text).ok()) else {
            continue;
        };
        let Some(at) = second_of_day(&line) else {
            continue;
        };
        let start = *log_start.get_or_insert(at);
        if line["event"].as_u64() != Some(FAILED_REQUEST_EVENT) {
            continue;
        }
        let row = at.saturating_sub(start) / INTERVAL_SECONDS * INTERVAL_SECONDS;
        let failure = parse_failure(&line);
        *rows
            .entry(row)
            .or_default()
            .entry(failure.clone())
            .or_default() += 1;
        let group = (text(&line, "group"), failure.why.clone());
        *groups.entry(group).or_default() += 1;
        let delays_of_kind = delays.entry(failure).or_default();
        delays_of_kind.waited_ms.push(number(&line, "waited_ms"));
        delays_of_kind.retry_ms.push(number(&line, "retry_ms"));
    }
    for (row, failures) in &rows {
        let text = |(failure, count): (&Failure, &u64)| {
            format!("{count} {} ({})", failure.why, failure.target)
        };
        let failures: Vec<String> = failures.iter().map(text).collect();
        println!("{row:5} s  {}", failures.join(", "));
    }
    println!("total: time waited and retry delay in ms (median/90th percentile/maximum)");
    for (failure, delays_of_kind) in &mut delays {
        let (waited, retry) = (
            summary(&mut delays_of_kind.waited_ms),
            summary(&mut delays_of_kind.retry_ms),
        );
        let count = delays_of_kind.waited_ms.len();
        println!(
            "{count:7}  {:16} {:8} {waited:>16} {retry:>16}",
            failure.why, failure.target
        );
    }
    println!("groups with the most failures");
    let mut groups: Vec<_> = groups.into_iter().collect();
    groups.sort_unstable_by_key(|(_, count)| std::cmp::Reverse(*count));
    for ((group, why), count) in groups.into_iter().take(MAX_GROUPS) {
        println!("{count:7}  {why:16} {group}");
    }
}
