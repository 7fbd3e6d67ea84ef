//! What was refused or lost, by cause: reads log lines and counts the requests that were
//! given up on: `cargo run --release --example account < box.log`. Text before a line's
//! JSON, such as a box's name, is skipped. Tells in each two seconds how many and why, and for
//! the whole: how long they waited before, when they were told to come back, and which groups
//! they were for.

use std::collections::BTreeMap;
use std::io::BufRead;

use serde_json::Value;

/// Number of the event for a request that is given up on.
const GIVEN_UP: u64 = 404;
/// Length of a row of the table, in seconds of the day.
const STEP: u64 = 2;
/// Groups that are shown, those with most first.
const GROUPS: usize = 10;

/// What is counted apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Loss {
    why: String,
    target: String,
}

/// Seconds of the day in a line's time, as in `2026-04-17T14:01:44.73Z`.
fn second(line: &Value) -> Option<u64> {
    let (_, time) = line["ts"].as_str()?.split_once('T')?;
    let mut parts = time.split([':', '.']).map(str::parse::<u64>);
    let mut next = || parts.next()?.ok();
    Some(next()? * 3_600 + next()? * 60 + next()?)
}

/// Requests of one kind that were given up on.
#[derive(Clone, Debug, Default)]
struct Sum {
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

fn loss(line: &Value) -> Loss {
    // Bounds of staleness differ from database to database, causes do not.
    let target = text(line, "target");
    let kind = target.split(' ').next().unwrap_or_default();
    Loss {
        why: text(line, "why"),
        target: kind.to_owned(),
    }
}

/// Median, ninth decile and greatest.
fn spread(values: &mut [u64]) -> String {
    values.sort_unstable();
    let at = |part: f64| values.get((values.len() as f64 * part) as usize).copied();
    let (median, high) = (at(0.5).unwrap_or(0), at(0.9).unwrap_or(0));
    format!("{median}/{high}/{}", values.last().copied().unwrap_or(0))
}

fn main() {
    let mut first = None;
    let mut rows: BTreeMap<u64, BTreeMap<Loss, u64>> = BTreeMap::new();
    let mut sums: BTreeMap<Loss, Sum> = BTreeMap::new();
    let mut groups: BTreeMap<(String, String), u64> = BTreeMap::new();
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let json = line.find('{').map(|start| &line[start..]);
        let Some(line) = json.and_then(|text| serde_json::from_str::<Value>(text).ok()) else {
            continue;
        };
        let Some(at) = second(&line) else {
            continue;
        };
        let start = *first.get_or_insert(at);
        if line["event"].as_u64() != Some(GIVEN_UP) {
            continue;
        }
        let row = at.saturating_sub(start) / STEP * STEP;
        let loss = loss(&line);
        *rows
            .entry(row)
            .or_default()
            .entry(loss.clone())
            .or_default() += 1;
        let group = (text(&line, "group"), loss.why.clone());
        *groups.entry(group).or_default() += 1;
        let sum = sums.entry(loss).or_default();
        sum.waited_ms.push(number(&line, "waited_ms"));
        sum.retry_ms.push(number(&line, "retry_ms"));
    }
    for (row, losses) in &rows {
        let text = |(loss, count): (&Loss, &u64)| format!("{count} {} ({})", loss.why, loss.target);
        let losses: Vec<String> = losses.iter().map(text).collect();
        println!("{row:5} s  {}", losses.join(", "));
    }
    println!("in all: waited, and told to wait, in ms (median/ninth decile/most)");
    for (loss, sum) in &mut sums {
        let (waited, told) = (spread(&mut sum.waited_ms), spread(&mut sum.retry_ms));
        let count = sum.waited_ms.len();
        println!(
            "{count:7}  {:16} {:8} {waited:>16} {told:>16}",
            loss.why, loss.target
        );
    }
    println!("groups with most");
    let mut groups: Vec<_> = groups.into_iter().collect();
    groups.sort_unstable_by_key(|(_, count)| std::cmp::Reverse(*count));
    for ((group, why), count) in groups.into_iter().take(GROUPS) {
        println!("{count:7}  {why:16} {group}");
    }
}
