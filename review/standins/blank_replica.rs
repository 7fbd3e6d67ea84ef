//! STALE: a replica crashes and starts again under its id, with nothing of its log, while the store
//! is down. Reads on the bounded route go on to it as if it still had what it had reported before.

use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::boxes::{Client, Machine, ZONES, wait_until};
use crate::member::{Group, Member};
use crate::{BOUNDED, MAX_STALENESS, NotRun, Run, STRICT, keep_entries, put_manifest};

const SERVICE: &str = "huvo11a";
/// The site's figures.
const CONNECTIONS: usize = 23;
const WORK: Duration = Duration::from_millis(6);
/// The longest time that a replica of the site is behind.
const LAG: Duration = Duration::from_millis(360);
/// Number of writes, and of the things that they write.
const WRITES: usize = 20;
/// Time for which the replica is down.
const DOWN: Duration = Duration::from_millis(60);
const READERS: usize = 4;
const READS: usize = 12;
/// Pause between the reads of a client.
const PAUSE: Duration = Duration::from_millis(20);

/// When a write was acknowledged, or a read's first byte was sent.
type Times = HashMap<String, Duration>;

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
    let mut boxes: Vec<Machine> = Vec::new();
    for (i, zone) in ZONES.iter().enumerate() {
        let mut started = run.site.new_box(i as u8 + 1, zone, true);
        started.start();
        boxes.push(started);
    }
    let serves = |b: &Machine| b.serves(SERVICE);
    if !wait_until(Duration::from_secs(10), || boxes.iter().all(serves)) {
        return Err("the boxes don't serve".to_owned());
    }

    let mut acknowledged = Times::new();
    let mut writer = Client::connect(boxes[0].front(), STRICT, "w")?;
    for i in 0..WRITES {
        let text = format!("WRITE thing{i} value{i}");
        let answer = writer.run(&text)?;
        record.line(&format!(
            "client sent {} {text}: {}",
            writer.last_id(),
            answer.summary()
        ));
        if answer.succeeded() {
            acknowledged.insert(writer.last_id(), record.now());
        }
    }
    let mut readers = Vec::new();
    for i in 0..READERS {
        readers.push(Client::connect(
            boxes[1].front(),
            BOUNDED,
            &format!("r{i}"),
        )?);
    }
    let mut sent = Times::new();
    let mut answered = Vec::new();
    let mut read = |readers: &mut [Client]| {
        for (i, reader) in readers.iter_mut().enumerate() {
            let text = format!("READ thing{i}");
            let at = record.now();
            let answer = reader.run(&text)?;
            record.line(&format!(
                "client sent {} {text}: {}",
                reader.last_id(),
                answer.summary()
            ));
            sent.insert(reader.last_id(), at);
            if answer.succeeded() {
                answered.push(reader.last_id());
            }
        }
        std::thread::sleep(PAUSE);
        Ok::<(), NotRun>(())
    };
    let warm_up = record.now() + MAX_STALENESS * 2;
    while record.now() < warm_up {
        read(&mut readers)?;
    }
    let replica = &members[1];
    if run.trouble {
        record.tell(&format!(
            "the store goes down; {} crashes and starts again",
            replica.id
        ));
        run.store.set_away(true);
        group.set_lag(&replica.id, LAG);
        replica.crash();
        std::thread::sleep(DOWN);
        replica.start_again();
        record.line(&format!("{} is back", replica.id));
    }
    for _ in 0..READS {
        read(&mut readers)?;
    }
    if run.trouble {
        run.store.set_away(false);
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |at| at.as_millis() as u64);
        run.store
            .put("servers", &replica.id, &replica.entry(1, Some(born)));
    }
    record.tell(&format!(
        "{} writes acknowledged, {} reads answered",
        acknowledged.len(),
        answered.len()
    ));
    if acknowledged.is_empty() || answered.is_empty() {
        return Err("nothing was served".to_owned());
    }
    Ok(check(&group, &acknowledged, &sent, &answered))
}

/// Returns the reads that succeeded on a log without a commit that had been acknowledged longer
/// before the read than the route allows.
fn check(group: &Group, acknowledged: &Times, sent: &Times, answered: &[String]) -> Vec<String> {
    let commits = group.commits.lock().unwrap();
    let runs = group.runs.lock().unwrap();
    let mut breaks = Vec::new();
    for id in answered {
        let Some(ran) = runs
            .iter()
            .rfind(|ran| ran.id == *id && ran.text.contains("READ"))
        else {
            continue;
        };
        let missing = commits
            .iter()
            .filter(|commit| commit.index > ran.applied)
            .filter(|commit| {
                let at = acknowledged.get(&commit.id);
                at.is_some_and(|at| *at + MAX_STALENESS < sent[id])
            });
        let missing: Vec<&str> = missing.map(|commit| commit.id.as_str()).collect();
        let Some(first) = missing.first() else {
            continue;
        };
        breaks.push(format!(
            "STALE: {} ran {id} on a log of {} entries, without {} commits acknowledged more than {} ms before; the first, {first}, {:.0} ms before",
            ran.member,
            ran.applied,
            missing.len(),
            MAX_STALENESS.as_millis(),
            (sent[id] - acknowledged[*first]).as_secs_f64() * 1e3
        ));
    }
    breaks
}
