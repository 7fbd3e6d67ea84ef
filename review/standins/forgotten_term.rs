//! ONE: a primary is partitioned and replaced. It leads on, since it can't reach the new one. The store
//! is down for a while, so that the members' entries lapse, and all boxes are killed. As the store is
//! back, the old primary's entry is there first. The boxes that start then take the one member that is
//! listed for the whole service, and serve their clients there.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::boxes::{Client, Machine, ZONES, wait_until};
use crate::member::{Group, Member};
use crate::record::Record;
use crate::{NotRun, Run, STRICT, keep_entries, put_manifest};

const SERVICE: &str = "huvo11a";
/// The site's figures.
const CONNECTIONS: usize = 23;
const WORK: Duration = Duration::from_millis(6);
/// Time from a box's registration until it uses its lease, and some more.
const SETTLING: Duration = Duration::from_millis(6_500);
/// Time within which a primary has to be replaced.
const REPLACEMENT: Duration = Duration::from_secs(11);
/// Time for which the new primary serves.
const SECOND_TERM: Duration = Duration::from_millis(3_000);
/// Three liveness reports of silence, after which an entry goes.
const SILENCE: Duration = Duration::from_millis(3_600);
/// Time for which the store is down. The entries lapse meanwhile.
const OUTAGE: Duration = Duration::from_millis(4_200);
/// Time for which the boxes' processes are gone: killed before the store is back, started after.
const RESTART: Duration = Duration::from_millis(500);
/// Times from the store's return until the members' entries are back, which takes "about two
/// seconds": that of the old primary, and those of the others.
const FIRST_BACK: Duration = Duration::from_millis(100);
const OTHERS_BACK: Duration = Duration::from_millis(1_800);
/// Statements that are sent earlier after the old primary's links are back don't count: the rule's
/// `thaw_slack_ms`, and some more.
const UNCOUNTED: Duration = Duration::from_millis(400);
const AFTERWARDS: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(20);

/// A statement that succeeded.
struct Served {
    id: String,
    sent: Duration,
}

type Statements = Arc<Mutex<Vec<Served>>>;

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
    let served = Statements::default();
    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = boxes
        .iter()
        .enumerate()
        .map(|(i, entry)| {
            let done = (record.clone(), served.clone(), ended.clone());
            start_client(entry, format!("c{i}"), done)
        })
        .collect();
    let healed = match run.trouble {
        true => disturb(&run, &group, &members, &mut boxes)?,
        false => {
            std::thread::sleep(SECOND_TERM + OUTAGE);
            record.now()
        }
    };
    std::thread::sleep(AFTERWARDS);
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let served = served.lock().unwrap();
    record.tell(&format!("{} statements succeeded", served.len()));
    if served.is_empty() {
        return Err("nothing was served".to_owned());
    }
    Ok(check(&group, &served, healed + UNCOUNTED))
}

/// Returns when the old primary's links are back.
fn disturb(
    run: &Run,
    group: &Arc<Group>,
    members: &[Member],
    boxes: &mut [Machine],
) -> Result<Duration, NotRun> {
    let (record, store) = (&run.record, &run.store);
    let (first, others) = members.split_first().expect("three members");
    std::thread::sleep(Duration::from_secs(1));
    record.tell(&format!(
        "{} is partitioned from the other members and from the boxes",
        first.id
    ));
    group.set_isolated(&first.id, true);
    for machine in boxes.iter() {
        first.cut_link(machine.ip, true);
    }
    let promoted = || group.promotions.lock().unwrap().len() == 1;
    if !wait_until(REPLACEMENT, promoted) {
        return Err("the primary isn't replaced".to_owned());
    }
    std::thread::sleep(SECOND_TERM);
    record.tell(&format!("{} leads; the store is down", group.primary()));
    store.set_away(true);
    for member in members {
        member.set_heard(false);
    }
    std::thread::sleep(SILENCE);
    for member in members {
        store.remove("servers", &member.id);
    }
    std::thread::sleep(OUTAGE - SILENCE - (RESTART - FIRST_BACK));
    record.tell("the entries have lapsed; all boxes are killed");
    for machine in boxes.iter_mut() {
        machine.kill();
    }
    std::thread::sleep(RESTART - FIRST_BACK);
    record.tell("the store is back");
    store.set_away(false);
    std::thread::sleep(FIRST_BACK);
    for machine in boxes.iter() {
        first.cut_link(machine.ip, false);
    }
    put_entry(run, first);
    let healed = record.now();
    record.tell(&format!(
        "{} is partitioned from the other members only; its entry is back, and the boxes start",
        first.id
    ));
    for machine in boxes.iter_mut() {
        machine.start();
    }
    std::thread::sleep(OTHERS_BACK - FIRST_BACK);
    record.tell("the other entries are back");
    for member in others {
        put_entry(run, member);
    }
    Ok(healed)
}

fn put_entry(run: &Run, member: &Member) {
    const SEQUENCE: u64 = 1_000;
    member.set_heard(true);
    run.store
        .put("servers", &member.id, &member.entry(SEQUENCE, None));
}

/// Starts a client that writes and reads at a box until it is told to end.
fn start_client(
    entry: &Machine,
    name: String,
    (record, done, ended): (Arc<Record>, Statements, Arc<AtomicBool>),
) -> std::thread::JoinHandle<()> {
    let front = entry.front();
    std::thread::spawn(move || {
        // The number of the life keeps the ids of a client's sessions apart.
        for life in 0.. {
            if ended.load(Ordering::SeqCst) {
                return;
            }
            let Ok(mut client) = Client::connect(front, STRICT, &format!("{name}x{life}")) else {
                std::thread::sleep(PAUSE);
                continue;
            };
            for i in 0.. {
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                let text = match i % 2 {
                    0 => format!("WRITE {name} {life}.{i}"),
                    _ => format!("READ {name}"),
                };
                let sent = record.now();
                let Ok(answer) = client.run(&text) else {
                    break;
                };
                let id = client.last_id();
                record.line(&format!("{id} {text}: {}", answer.summary()));
                if answer.succeeded() {
                    done.lock().unwrap().push(Served { id, sent });
                }
                std::thread::sleep(PAUSE);
            }
        }
    })
}

/// Returns the writes that the old primary committed after the promotion and that were
/// acknowledged, and tells how many reads ran there.
fn check(group: &Arc<Group>, served: &[Served], from: Duration) -> Vec<String> {
    let promotions = group.promotions.lock().unwrap();
    let Some(promotion) = promotions.first() else {
        return Vec::new();
    };
    let counted = |id: &String| served.iter().any(|s| s.id == *id && s.sent >= from);
    let runs = group.runs.lock().unwrap();
    let stale = runs.iter().filter(|ran| {
        ran.text.starts_with("READ") && ran.member == promotion.old && counted(&ran.id)
    });
    group.record.tell(&format!(
        "{} reads of the primary route ran at the old primary and were answered",
        stale.count()
    ));
    let commits = group.commits.lock().unwrap();
    let broken = commits.iter().filter(|commit| {
        commit.member == promotion.old && commit.at > promotion.at && counted(&commit.id)
    });
    broken
        .map(|commit| {
            format!(
                "ONE: {} committed {} at {}.{} and it was acknowledged, {:.1} s after {} had taken over in term {}",
                commit.member,
                commit.id,
                commit.term,
                commit.index,
                (commit.at - promotion.at).as_secs_f64(),
                promotion.member,
                promotion.term
            )
        })
        .collect()
}
