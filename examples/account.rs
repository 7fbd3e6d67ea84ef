//! What was refused or lost, by cause: reads log lines and counts the requests that were
//! given up on: `cargo run --release --example account < box.log`. Text before a line's
//! JSON, such as a box's name, is skipped.

use std::collections::BTreeMap;
use std::io::BufRead;

use serde_json::Value;

/// Number of the event for a request that is given up on.
const GIVEN_UP: u64 = 404;
/// Length of a row of the table, in seconds of the day.
const STEP: u64 = 2;

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

fn loss(line: &Value) -> Loss {
    let text = |field: &str| line[field].as_str().unwrap_or("?").to_owned();
    Loss {
        why: text("why"),
        target: text("target"),
    }
}

fn main() {
    let mut first = None;
    let mut rows: BTreeMap<u64, BTreeMap<Loss, u64>> = BTreeMap::new();
    let mut sums: BTreeMap<Loss, u64> = BTreeMap::new();
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
        *sums.entry(loss).or_default() += 1;
    }
    for (row, losses) in &rows {
        let text = |(loss, count): (&Loss, &u64)| format!("{count} {} ({})", loss.why, loss.target);
        let losses: Vec<String> = losses.iter().map(text).collect();
        println!("{row:5} s  {}", losses.join(", "));
    }
    println!("in all");
    for (loss, count) in &sums {
        println!("{count:7}  {:16} {}", loss.why, loss.target);
    }
}
