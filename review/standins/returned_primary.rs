//! STALE: a primary crashes and another member is promoted without its last commits. The old
//! primary comes back with its log, under a new id at its address, as the new primary crashes. It
//! is promoted, and the commits are back that reads did not show meanwhile.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::boxes::{Client, Machine, ZONES, wait_until};
use crate::member::{Group, Member};
use crate::record::Record;
use crate::{BOUNDED, MAX_STALENESS, NotRun, Run, STRICT, keep_entries, put_manifest};

const SERVICE: &str = "huvo11a";
/// The site's figures.
const CONNECTIONS: usize = 23;
const WORK: Duration = Duration::from_millis(6);
const WRITERS: usize = 4;
const READERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(20);
/// Time from a box's registration until it uses its lease, and some more.
const SETTLING: Duration = Duration::from_millis(6_500);
/// Time from when the replicas receive nothing until the primary crashes.
const BEFORE_CRASH: Duration = Duration::from_millis(600);
/// Time that the second primary leads.
const SECOND_TERM: Duration = Duration::from_millis(3_000);
/// Time from its crash until the first primary is back.
const BEFORE_RETURN: Duration = Duration::from_millis(50);
/// Time from a crash until the entry goes: three liveness reports.
const SILENCE: Duration = Duration::from_millis(3_600);
/// Time within which a primary has to be replaced.
const REPLACEMENT: Duration = Duration::from_secs(11);

/// A statement that succeeded: when its first byte was sent, and when it was answered.
#[derive(Clone, Copy)]
struct Served {
    sent: Duration,
    answered: Duration,
}

type Statements = Arc<Mutex<HashMap<String, Served>>>;

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
    std::thread::sleep(SETTLING);
    let (writes, reads) = (Statements::default(), Statements::default());
    let ended = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (i, entry) in (0..WRITERS).zip(boxes.iter().cycle()) {
        let done = (record.clone(), writes.clone(), ended.clone());
        clients.push(start_client(entry, STRICT, &format!("w{i}"), "WRITE", done));
    }
    for (i, entry) in (0..READERS).zip(boxes.iter().cycle()) {
        let done = (record.clone(), reads.clone(), ended.clone());
        clients.push(start_client(entry, BOUNDED, &format!("r{i}"), "READ", done));
    }
    std::thread::sleep(MAX_STALENESS * 2);
    if run.trouble {
        disturb(&run, &group, &members)?;
    }
    std::thread::sleep(Duration::from_secs(1));
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let (writes, reads) = (writes.lock().unwrap(), reads.lock().unwrap());
    record.tell(&format!(
        "{} writes and {} reads succeeded",
        writes.len(),
        reads.len()
    ));
    if writes.is_empty() || reads.is_empty() {
        return Err("nothing was served".to_owned());
    }
    Ok(check(&group, &writes, &reads))
}

/// Crashes the primary while the replicas receive nothing, and the one that takes over as the first
/// one comes back.
fn disturb(run: &Run, group: &Arc<Group>, members: &[Member]) -> Result<(), NotRun> {
    let record = &run.record;
    let first = &members[0];
    record.tell("the replicas receive nothing for a while");
    for replica in &members[1..] {
        group.set_deaf(&replica.id, true);
    }
    std::thread::sleep(BEFORE_CRASH);
    record.tell(&format!("{} crashes", first.id));
    crash(run, first);
    let promotions = || group.promotions.lock().unwrap().len();
    if !wait_until(REPLACEMENT, || promotions() == 1) {
        return Err("the first primary isn't replaced".to_owned());
    }
    std::thread::sleep(SECOND_TERM);
    let second = group.primary();
    let second = members.iter().find(|member| member.id == second);
    let second = second.ok_or("no second primary")?;
    record.tell(&format!(
        "{} crashes, and {} comes back as i-d",
        second.id, first.id
    ));
    crash(run, second);
    std::thread::sleep(BEFORE_RETURN);
    group.start_as(&first.id, "i-d");
    let (address, zone) = (first.address, &first.zone);
    let back = Member::start_at(address, group, "i-d", zone, CONNECTIONS, WORK);
    keep_entries(&run.store, &[back]);
    if !wait_until(REPLACEMENT, || promotions() == 2) {
        return Err("the second primary isn't replaced".to_owned());
    }
    for replica in &members[1..] {
        group.set_deaf(&replica.id, false);
    }
    Ok(())
}

/// Crashes a member. Its entry goes after a while.
fn crash(run: &Run, member: &Member) {
    member.crash();
    let (store, id) = (run.store.clone(), member.id.clone());
    std::thread::spawn(move || {
        std::thread::sleep(SILENCE);
        store.remove("servers", &id);
    });
}

/// Starts a client that sends statements of one kind to a box until it is told to end.
fn start_client(
    entry: &Machine,
    database: &'static str,
    name: &str,
    verb: &'static str,
    (record, done, ended): (Arc<Record>, Statements, Arc<AtomicBool>),
) -> std::thread::JoinHandle<()> {
    let (front, name) = (entry.front(), name.to_owned());
    std::thread::spawn(move || {
        // The number of the life keeps the ids of a client's sessions apart.
        for life in 0.. {
            if ended.load(Ordering::SeqCst) {
                return;
            }
            let opened = Client::connect(front, database, &format!("{name}s{life}"));
            let Ok(mut client) = opened else {
                std::thread::sleep(PAUSE);
                continue;
            };
            while !ended.load(Ordering::SeqCst) {
                let text = format!("{verb} w0 data");
                let text = text.trim_end_matches(if verb == "READ" { " data" } else { "" });
                let sent = record.now();
                let Ok(answer) = client.run(text) else { break };
                let (id, answered) = (client.last_id(), record.now());
                record.line(&format!("client sent {id} {text}: {}", answer.summary()));
                if answer.succeeded() {
                    done.lock().unwrap().insert(id, Served { sent, answered });
                }
                std::thread::sleep(PAUSE);
            }
        }
    })
}

/// Returns the reads on a log without a commit that had been acknowledged longer before than the
/// route allows, and that no promotion has rolled back: the last primary's log holds it.
fn check(
    group: &Group,
    writes: &HashMap<String, Served>,
    reads: &HashMap<String, Served>,
) -> Vec<String> {
    let runs = group.runs.lock().unwrap();
    let kept: Vec<String> = group
        .log(&group.primary())
        .into_iter()
        .map(|e| e.id)
        .collect();
    let mut breaks = Vec::new();
    for ran in runs.iter().filter(|ran| ran.text.contains("READ")) {
        let Some(read) = reads.get(&ran.id) else {
            continue;
        };
        let missing = kept.iter().skip(ran.applied).filter(|id| {
            let write = writes.get(*id);
            write.is_some_and(|write| write.answered + MAX_STALENESS < read.sent)
        });
        let missing: Vec<&String> = missing.collect();
        if let Some(first) = missing.first() {
            breaks.push(format!(
                "STALE: {} ran {} at {:.0} ms on a log of {} entries, without {} commits acknowledged more than {} ms before and kept, the first of them {first}",
                ran.member,
                ran.id,
                ran.at.as_secs_f64() * 1e3,
                ran.applied,
                missing.len(),
                MAX_STALENESS.as_millis()
            ));
        }
    }
    breaks
}
