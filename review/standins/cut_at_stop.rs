//! LOST: a box that is told to stop ends while statements of open transactions are at a member.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::boxes::{Client, Machine, ZONES, wait_until};
use crate::member::{Group, Member};
use crate::{BOUNDED, NotRun, Run, keep_entries, put_manifest};

const SERVICE: &str = "huvo11a";
/// The site's figures.
const CONNECTIONS: usize = 23;
/// Within the longest work of a read on the bounded route, 220 ms.
const WORK: Duration = Duration::from_millis(200);
/// Clients, with a transaction each.
const CLIENTS: u32 = 4;
/// Statements of a transaction, BEGIN and COMMIT included.
const STATEMENTS: u32 = 12;
/// Time from one statement to the next.
const CYCLE: Duration = Duration::from_millis(600);
/// Time from the start of one transaction to that of the next.
const SHIFT: Duration = Duration::from_millis(150);
/// Time from which the stop signal's planned work is over: grace_s and a second.
const PLANNED: Duration = Duration::from_secs(7);

/// A statement without a complete answer.
#[derive(Clone, Debug)]
struct Unanswered {
    id: String,
    text: String,
    sent: Duration,
    ended: Duration,
}

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
    std::thread::sleep(Duration::from_millis(6_500));
    let unanswered = Arc::new(Mutex::new(Vec::<Unanswered>::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let (front, record, unanswered) =
                (boxes[0].front(), record.clone(), unanswered.clone());
            std::thread::spawn(move || {
                std::thread::sleep(SHIFT * i);
                let Ok(mut client) = Client::connect(front, BOUNDED, &format!("c{i}")) else {
                    return;
                };
                let begun = Instant::now();
                for k in 0..STATEMENTS {
                    std::thread::sleep(
                        (begun + CYCLE * k).saturating_duration_since(Instant::now()),
                    );
                    let text = match k {
                        0 => "BEGIN READ".to_owned(),
                        k if k == STATEMENTS - 1 => "COMMIT".to_owned(),
                        k => format!("READ thing{k}"),
                    };
                    let sent = record.now();
                    let answer = client.run(&text);
                    let shown = match &answer {
                        Ok(answer) => answer.summary(),
                        Err(error) => error.clone(),
                    };
                    record.line(&format!("client sent {} {text}: {shown}", client.last_id()));
                    if answer.is_err() {
                        let (id, ended) = (client.last_id(), record.now());
                        unanswered.lock().unwrap().push(Unanswered {
                            id,
                            text,
                            sent,
                            ended,
                        });
                    }
                    if !answer.is_ok_and(|answer| answer.succeeded()) {
                        return;
                    }
                }
            })
        })
        .collect();
    std::thread::sleep(CYCLE * 2);
    let stopped = record.now();
    if run.trouble {
        record.tell(&format!("SIGTERM to {}", boxes[0].name));
        boxes[0].signal("TERM");
    }
    for client in clients {
        let _ = client.join();
    }
    let ended = boxes[0].has_ended();
    record.tell(&format!("{} ended: {ended}", boxes[0].name));
    // Lets the members finish what they run.
    std::thread::sleep(Duration::from_millis(500));
    let runs = group.runs.lock().unwrap();
    let unanswered = unanswered.lock().unwrap();
    let mut breaks = Vec::new();
    for lost in unanswered
        .iter()
        .filter(|lost| lost.ended < stopped + PLANNED)
    {
        let Some(ran) = runs.iter().find(|ran| ran.id == lost.id) else {
            continue;
        };
        breaks.push(format!(
            "LOST: {} {} was sent {:.0} ms after the signal and run by {}, and its connection ended {:.0} ms later without an answer",
            lost.id,
            lost.text,
            lost.sent.saturating_sub(stopped).as_secs_f64() * 1e3,
            ran.member,
            (lost.ended - lost.sent).as_secs_f64() * 1e3
        ));
    }
    Ok(breaks)
}
