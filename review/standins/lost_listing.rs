//! ONE: the store comes back from an older copy that lacks the entry of a box in the list of boxes.
//! The other boxes then promote a member without waiting for that box's lease, while the box, which
//! the store turns away, still acknowledges the old primary's writes under the lease.

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
/// Time from a box's registration until it uses its lease, and some more.
const SETTLING: Duration = Duration::from_millis(6_500);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(300);
/// Time that the boxes get to read the list from the older copy.
const REREAD: Duration = Duration::from_millis(1_500);
/// Time for which the primary is cut off from some boxes.
const CUT: Duration = Duration::from_millis(4_500);
/// Clients that write, and that read, through the box that is no longer listed.
const WRITERS: usize = 4;
const READERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(8);

/// When each write was acknowledged to its client.
type Acknowledged = Arc<Mutex<HashMap<String, Duration>>>;

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

    let mut first = run.site.new_box(1, ZONES[0], true);
    let mut second = run.site.new_box(2, ZONES[1], true);
    first.start();
    second.start();
    let serves = |b: &Machine| b.serves(SERVICE);
    let late = Duration::from_secs(10);
    if !wait_until(late, || {
        serves(&first) && serves(&second) && first.known_boxes() == 2
    }) {
        return Err("the first boxes don't serve".to_owned());
    }
    std::thread::sleep(SETTLING);
    let copy = run.store.version();
    let copied = record.now();
    record.tell("the older copy is taken; a box is added");
    let mut added = run.site.new_box(3, ZONES[2], false);
    added.start();
    if !wait_until(late, || {
        serves(&added) && added.known_boxes() == 3 && first.known_boxes() == 3
    }) {
        return Err("the added box isn't listed".to_owned());
    }
    std::thread::sleep(SETTLING);

    let acknowledged = Acknowledged::default();
    let ended = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&added, &record, &acknowledged, &ended);
    std::thread::sleep(Duration::from_millis(500));
    // Leaves out parts of the disturbance, to find out which of them it takes.
    let skipped = std::env::var("SKIP").unwrap_or_default();
    let strikes = |part: &str| run.trouble && !skipped.split(',').any(|skipped| skipped == part);
    if strikes("refusal") {
        record.tell(&format!("the store turns {} away", added.name));
        run.store.turn_away(added.ip, true);
    }
    if strikes("copy") {
        let age = (record.now() - copied).as_secs_f64();
        record.tell(&format!(
            "the store is away for a moment and comes back from a copy {age:.1} s old"
        ));
        run.store.set_away(true);
        std::thread::sleep(AWAY);
        run.store.restore(copy);
        run.store.set_away(false);
    }
    std::thread::sleep(REREAD);
    record.tell(&format!(
        "known boxes: {} to {}, {} to {}, {} to {}",
        first.known_boxes(),
        first.name,
        second.known_boxes(),
        second.name,
        added.known_boxes(),
        added.name
    ));
    if strikes("cut") {
        record.tell(&format!(
            "the primary is cut off from {} and {}",
            first.name, second.name
        ));
        members[0].cut_link(first.ip, true);
        members[0].cut_link(second.ip, true);
    }
    std::thread::sleep(CUT);
    members[0].cut_link(first.ip, false);
    members[0].cut_link(second.ip, false);
    run.store.turn_away(added.ip, false);
    std::thread::sleep(Duration::from_secs(1));
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let answered = acknowledged.lock().unwrap().len();
    record.tell(&format!("{answered} writes were acknowledged"));
    if answered == 0 {
        return Err("no write was acknowledged".to_owned());
    }
    Ok(check(&group, &acknowledged))
}

/// Starts clients that write and read through a box until `ended` is set.
fn start_clients(
    added: &Machine,
    record: &Arc<Record>,
    acknowledged: &Acknowledged,
    ended: &Arc<AtomicBool>,
) -> Vec<std::thread::JoinHandle<()>> {
    let writers = (0..WRITERS).map(|i| (format!("w{i}"), STRICT));
    let readers = (0..READERS).map(|i| (format!("r{i}"), BOUNDED));
    let clients = writers.chain(readers).map(|(name, database)| {
        let (front, record) = (added.front(), record.clone());
        let (acknowledged, ended) = (acknowledged.clone(), ended.clone());
        std::thread::spawn(move || {
            // The number of the life keeps the ids of a client's sessions apart.
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

/// Returns the writes that an old primary committed after a promotion had taken effect, and that
/// were acknowledged.
fn check(group: &Group, acknowledged: &Acknowledged) -> Vec<String> {
    let acknowledged = acknowledged.lock().unwrap();
    let promotions = group.promotions.lock().unwrap();
    let commits = group.commits.lock().unwrap();
    let newest = group.primary();
    let kept: Vec<String> = group
        .log(&newest)
        .into_iter()
        .map(|entry| entry.id)
        .collect();
    let mut breaks = Vec::new();
    for promotion in promotions.iter() {
        let late = commits.iter().filter(|commit| {
            commit.member == promotion.old
                && commit.term < promotion.term
                && commit.at > promotion.at
        });
        for commit in late {
            let Some(at) = acknowledged.get(&commit.id) else {
                continue;
            };
            let lost = match kept.contains(&commit.id) {
                true => "",
                false => "; the new primary's log lacks it",
            };
            breaks.push(format!(
                "ONE: {} committed {} at {:.1} ms, {:.1} ms after {} led term {}, and it was acknowledged at {:.1} ms{lost}",
                commit.member,
                commit.id,
                commit.at.as_secs_f64() * 1e3,
                (commit.at - promotion.at).as_secs_f64() * 1e3,
                promotion.member,
                promotion.term,
                at.as_secs_f64() * 1e3,
            ));
        }
    }
    breaks
}
