//! Processor time, memory and loopback traffic, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Unit of the times in `/proc/*/stat`.
const TICKS_PER_SECOND: u64 = 100;
const PAGE_BYTES: u64 = 4096;

/// Returns the processor time of this process's threads whose name starts with `prefix`.
pub fn thread_cpu_time(prefix: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let mut total = Duration::ZERO;
    for task in tasks.flatten() {
        let read = |file: &str| fs::read_to_string(task.path().join(file)).unwrap_or_default();
        if read("comm").starts_with(prefix) {
            total += schedstat_time(&read("schedstat")).unwrap_or_else(|| stat_time(&read("stat")));
        }
    }
    total
}

/// Parses the processor time in a `schedstat` file, `None` where the kernel doesn't count it.
fn schedstat_time(text: &str) -> Option<Duration> {
    let nanoseconds = text.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(nanoseconds))
}

/// Parses the user and system time in a `stat` file.
fn stat_time(stat: &str) -> Duration {
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let field = |i: usize| {
        fields
            .get(i)
            .and_then(|f| f.parse::<u64>().ok())
            .unwrap_or(0)
    };
    Duration::from_millis((field(11) + field(12)) * 1_000 / TICKS_PER_SECOND)
}

/// Returns the bytes received on the loopback since the machine started, headers included.
pub fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"));
    let fields = line.and_then(|line| line.split(':').nth(1));
    let bytes = fields.and_then(|fields| fields.split_whitespace().next());
    bytes
        .and_then(|bytes| bytes.parse().ok())
        .unwrap_or_default()
}

/// Returns the resident memory of this process.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
