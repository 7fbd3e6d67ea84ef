//! A process over its memory: nothing bounds a session's values. One client sets values of 1 MiB,
//! each in a message of the allowed length, until the box holds more than its machine's `memory_mb`.

use std::time::Duration;

use crate::boxes::{Client, MEMORY_MB, ZONES, wait_until};
use crate::member::{Group, Member};
use crate::{NotRun, Run, STRICT, keep_entries, put_manifest};

const SERVICE: &str = "huvo11a";
const CONNECTIONS: usize = 23;
const WORK: Duration = Duration::from_millis(6);
const VALUES: usize = 400;
/// A message is 1 MiB at most.
const LARGE: usize = 1_040_000;
const SMALL: usize = 100;

pub fn play(run: Run) -> Result<Vec<String>, NotRun> {
    let record = run.record.clone();
    let ids = ["i-a", "i-b", "i-c"];
    let group = Group::new(SERVICE, &ids, false, record.clone());
    run.store.add_group(&group);
    let members: Vec<Member> = ids
        .iter()
        .zip(ZONES)
        .map(|(id, zone)| Member::start(&group, id, zone, CONNECTIONS, WORK))
        .collect();
    put_manifest(&run.store, SERVICE, CONNECTIONS, 0);
    keep_entries(&run.store, &members);
    let mut entry = run.site.new_box(1, ZONES[0], true);
    entry.start();
    if !wait_until(Duration::from_secs(10), || entry.serves(SERVICE)) {
        return Err("the box doesn't serve".to_owned());
    }
    let value = "v".repeat(match run.trouble {
        true => LARGE,
        false => SMALL,
    });
    let mut client = Client::connect(entry.front(), STRICT, "c")?;
    let mut breaks = Vec::new();
    for i in 0..VALUES {
        let answer = client.run(&format!("SET name-{i} {value}"))?;
        let held = peak_mb(entry.process()).ok_or("the box's memory can't be read")?;
        if i % 50 == 0 || held > MEMORY_MB {
            record.tell(&format!(
                "{} SET name-{i} of {} bytes: {}; the box has held {held} MB",
                client.last_id(),
                value.len(),
                answer.summary()
            ));
        }
        if held > MEMORY_MB {
            breaks.push(format!(
                "the box holds {held} MB of {MEMORY_MB} after {} statements of one client",
                i + 1
            ));
            break;
        }
    }
    Ok(breaks)
}

/// Returns the most memory that a process has held, in MB.
fn peak_mb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes / 1_024)
}
