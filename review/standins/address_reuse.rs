//! ROUTE: a replica crashes for good, and a new member of another service takes its address. The
//! first service's reads are sent to the new member, on a connection that was opened to it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::boxes::{Client, Machine, ZONES, wait_until};
use crate::member::{Group, Member};
use crate::{BOUNDED, NotRun, OWN_WRITES, Run, STRICT, Service, keep_entries, put_services};

const SERVICE: &str = "huvo11a";
const OTHER_SERVICE: &str = "kafi81c";
const OTHER_STRICT: &str = "strict2";
const OTHER_OWN_WRITES: &str = "own2";
const OTHER_BOUNDED: &str = "bounded2";
/// The site's figures.
const CONNECTIONS: usize = 23;
const WORK: Duration = Duration::from_millis(6);
/// Writes to each service.
const WRITES: usize = 20;
/// Time from a crash until the entry goes: three liveness reports.
const SILENCE: Duration = Duration::from_millis(3_600);
/// Time after which an address is given to another member, and a moment more.
const REUSE: Duration = Duration::from_millis(2_050);
const READERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(10);

/// Ids of the reads of the first service that succeeded, with their rows.
type Answered = Arc<Mutex<Vec<(String, Vec<String>)>>>;

pub fn play(run: Run) -> Result<Vec<String>, NotRun> {
    let record = run.record.clone();
    let ids = ["i-a", "i-b", "i-c"];
    let other_ids = ["k-a", "k-b", "k-c", "k-d"];
    let group = Group::new(SERVICE, &ids, false, record.clone());
    let other = Group::new(OTHER_SERVICE, &other_ids, false, record.clone());
    other.stop("k-d");
    run.store.add_group(&group);
    run.store.add_group(&other);
    let start = |group: &Arc<Group>, ids: &[&str]| -> Vec<Member> {
        let members = ids.iter().zip(ZONES);
        let start = |(id, zone): (&&str, &str)| Member::start(group, id, zone, CONNECTIONS, WORK);
        members.map(start).collect()
    };
    let members = start(&group, &ids);
    let others = start(&other, &other_ids[..3]);
    let services = [
        Service {
            name: SERVICE,
            strict: STRICT,
            own_writes: OWN_WRITES,
            bounded: BOUNDED,
        },
        Service {
            name: OTHER_SERVICE,
            strict: OTHER_STRICT,
            own_writes: OTHER_OWN_WRITES,
            bounded: OTHER_BOUNDED,
        },
    ];
    put_services(&run.store, &services, CONNECTIONS, 0);
    keep_entries(&run.store, &members);
    keep_entries(&run.store, &others);
    let mut boxes: Vec<Machine> = Vec::new();
    for (i, zone) in ZONES.iter().enumerate() {
        let mut started = run.site.new_box(i as u8 + 1, zone, true);
        started.start();
        boxes.push(started);
    }
    let serves = |b: &Machine| b.serves(SERVICE) && b.serves(OTHER_SERVICE);
    if !wait_until(Duration::from_secs(10), || boxes.iter().all(serves)) {
        return Err("the boxes don't serve".to_owned());
    }
    for (database, name, data) in [(STRICT, "w", "first"), (OTHER_STRICT, "x", "foreign")] {
        let mut writer = Client::connect(boxes[0].front(), database, name)?;
        for i in 0..WRITES {
            let text = format!("WRITE thing{} {data}{i}", i % READERS);
            let answer = writer.run(&text)?;
            record.line(&format!(
                "client sent {} {text}: {}",
                writer.last_id(),
                answer.summary()
            ));
        }
    }
    let answered = Answered::default();
    let ended = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = (0..READERS)
        .map(|i| {
            let (front, record) = (boxes[1].front(), record.clone());
            let (answered, ended) = (answered.clone(), ended.clone());
            std::thread::spawn(move || {
                let Ok(mut reader) = Client::connect(front, BOUNDED, &format!("r{i}")) else {
                    return;
                };
                while !ended.load(Ordering::SeqCst) {
                    let text = format!("READ thing{i}");
                    let Ok(answer) = reader.run(&text) else {
                        return;
                    };
                    let id = reader.last_id();
                    record.line(&format!("client sent {id} {text}: {}", answer.summary()));
                    if answer.succeeded() {
                        answered.lock().unwrap().push((id, answer.rows));
                    }
                    std::thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let gone = &members[1];
    if run.trouble {
        record.tell(&format!("{} crashes for good", gone.id));
        gone.crash();
        std::thread::sleep(SILENCE);
        record.tell(&format!("the entry of {} goes", gone.id));
        run.store.remove("servers", &gone.id);
        std::thread::sleep(REUSE);
    }
    other.start_blank("k-d");
    let new = match run.trouble {
        true => Member::start_at(gone.address, &other, "k-d", ZONES[1], CONNECTIONS, WORK),
        false => Member::start(&other, "k-d", ZONES[1], CONNECTIONS, WORK),
    };
    let place = match new.address == gone.address {
        true => format!("the address of {}", gone.id),
        false => "an address of its own".to_owned(),
    };
    record.tell(&format!("k-d of {OTHER_SERVICE} starts at {place}"));
    keep_entries(&run.store, &[new]);
    std::thread::sleep(Duration::from_secs(6));
    ended.store(true, Ordering::SeqCst);
    for reader in readers {
        let _ = reader.join();
    }
    let answered = answered.lock().unwrap();
    record.tell(&format!(
        "{} reads of {SERVICE} were answered",
        answered.len()
    ));
    if answered.is_empty() {
        return Err("no read was answered".to_owned());
    }
    let foreign = other.runs.lock().unwrap();
    let foreign = foreign.iter().filter(|ran| ran.id.starts_with('r'));
    Ok(foreign
        .map(|ran| {
            let got = match answered.iter().find(|(id, _)| *id == ran.id) {
                Some((_, rows)) => format!("a success with {}", rows.join(", ")),
                None => "no success".to_owned(),
            };
            format!(
                "ROUTE: {} of {OTHER_SERVICE} ran {} {} for {SERVICE}; its client got {got}",
                ran.member, ran.id, ran.text
            )
        })
        .collect())
}
