//! LOST: a replica is being replaced and is the only one that has received the last commits when
//! the primary crashes. It counts for `sync_replicas` while it drains, but is passed over when a
//! member is promoted, although it answers and has the longest log.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::boxes::{Client, Machine, ZONES, wait_until};
use crate::member::{Group, Member};
use crate::record::Record;
use crate::{BOUNDED, NotRun, Run, STRICT, keep_entries, put_manifest};

const SERVICE: &str = "huvo11a";
/// The site's figures.
const CONNECTIONS: usize = 23;
const WORK: Duration = Duration::from_millis(6);
const SYNC_REPLICAS: u32 = 1;
const WRITERS: usize = 4;
const READERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(20);
/// Time from a box's registration until it uses its lease, and some more.
const SETTLING: Duration = Duration::from_millis(6_500);
/// Time for which the new member serves before the old one drains.
const OVERLAP: Duration = Duration::from_millis(1_500);
/// Time from the drain notice until the other replicas receive nothing.
const STEP: Duration = Duration::from_millis(1_000);
/// Time from then until the primary crashes.
const BEFORE_CRASH: Duration = Duration::from_millis(500);
/// Time for which the other replicas receive nothing after the crash.
const AFTER_CRASH: Duration = Duration::from_millis(4_000);

/// When each write was acknowledged to its client.
type Acknowledged = Arc<Mutex<HashMap<String, Duration>>>;

pub fn play(run: Run) -> Result<Vec<String>, NotRun> {
    let record = run.record.clone();
    let ids = ["i-a", "i-b", "i-c", "i-d"];
    let group = Group::new(SERVICE, &ids, true, record.clone());
    // The member that takes the place of i-b starts later.
    group.stop("i-d");
    run.store.add_group(&group);
    let zones = ZONES.iter().chain([&ZONES[1]]);
    let members: Vec<Member> = ids
        .iter()
        .zip(zones)
        .map(|(id, zone)| Member::start(&group, id, zone, CONNECTIONS, WORK))
        .collect();
    let [primary, old, other, new] = &members[..] else {
        return Err("four members".to_owned());
    };
    put_manifest(&run.store, SERVICE, CONNECTIONS, SYNC_REPLICAS);
    keep_entries(&run.store, &members[..3]);
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
    let acknowledged = Acknowledged::default();
    let ended = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&boxes[0], &record, &acknowledged, &ended);
    std::thread::sleep(STEP);
    record.tell(&format!("{} is to be replaced by {}", old.id, new.id));
    group.start_blank(&new.id);
    keep_entries(&run.store, std::slice::from_ref(new));
    std::thread::sleep(OVERLAP);
    old.drain();
    run.store.put("servers", &old.id, &old.entry(1, None));
    std::thread::sleep(STEP);
    if run.trouble {
        record.tell(&format!(
            "{} and {} receive nothing for a while",
            other.id, new.id
        ));
        group.set_deaf(&other.id, true);
        group.set_deaf(&new.id, true);
        std::thread::sleep(BEFORE_CRASH);
        record.tell(&format!("{} crashes", primary.id));
        primary.crash();
    }
    std::thread::sleep(AFTER_CRASH);
    group.set_deaf(&other.id, false);
    group.set_deaf(&new.id, false);
    std::thread::sleep(STEP);
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let answered = acknowledged.lock().unwrap().len();
    let promotions = group.promotions.lock().unwrap().len();
    record.tell(&format!(
        "{answered} writes were acknowledged, {promotions} promotions"
    ));
    if answered == 0 || run.trouble && promotions == 0 {
        return Err("no write was acknowledged, or no member promoted".to_owned());
    }
    Ok(check(&group, &acknowledged))
}

/// Starts clients that write and read through a box until `ended` is set.
fn start_clients(
    entry: &Machine,
    record: &Arc<Record>,
    acknowledged: &Acknowledged,
    ended: &Arc<AtomicBool>,
) -> Vec<std::thread::JoinHandle<()>> {
    let writers = (0..WRITERS).map(|i| (format!("w{i}"), STRICT));
    let readers = (0..READERS).map(|i| (format!("r{i}"), BOUNDED));
    let clients = writers.chain(readers).map(|(name, database)| {
        let (front, record) = (entry.front(), record.clone());
        let (acknowledged, ended) = (acknowledged.clone(), ended.clone());
        std::thread::spawn(move || {
            for life in 0.. {
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(mut client) = Client::connect(front, database, &format!("{name}s{life}"))
                else {
                    std::thread::sleep(PAUSE);
                    continue;
                };
                while !ended.load(Ordering::SeqCst) {
                    let text = match database {
                        STRICT => format!("WRITE {name} data"),
                        _ => "READ w0".to_owned(),
                    };
                    let Ok(answer) = client.run(&text) else { break };
                    let id = client.last_id();
                    record.line(&format!("client sent {id} {text}: {}", answer.summary()));
                    if answer.succeeded() && database == STRICT {
                        acknowledged.lock().unwrap().insert(id, record.now());
                    }
                    std::thread::sleep(PAUSE);
                }
            }
        })
    });
    clients.collect()
}

/// Returns the acknowledged commits that the log of a promoted member lacks.
fn check(group: &Group, acknowledged: &Acknowledged) -> Vec<String> {
    let acknowledged = acknowledged.lock().unwrap();
    let promotions = group.promotions.lock().unwrap();
    let commits = group.commits.lock().unwrap();
    let mut breaks = Vec::new();
    for promotion in promotions.iter() {
        for commit in commits.iter().filter(|commit| commit.term < promotion.term) {
            let Some(at) = acknowledged.get(&commit.id) else {
                continue;
            };
            if *at < promotion.at && !promotion.log.contains(&commit.id) {
                breaks.push(format!(
                    "LOST: {} leads term {} from {:.1} ms on without {}, which {} committed and which was acknowledged at {:.1} ms",
                    promotion.member,
                    promotion.term,
                    promotion.at.as_secs_f64() * 1e3,
                    commit.id,
                    commit.member,
                    at.as_secs_f64() * 1e3,
                ));
            }
        }
    }
    breaks
}
