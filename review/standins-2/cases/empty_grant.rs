//! A primary crashes and starts again empty while one replica receives nothing.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::member::Sheet;
use crate::world::{BOUNDED, STRICT, World};

const BOXES: usize = 3;
/// `mlg-cartes`, with one synchronous replica. A statement takes 24 ms in the mean (15 % of 8 ms,
/// 15 % of 40 ms, 70 % of 24 ms).
const SHEET: Sheet = Sheet {
    lag: Duration::from_millis(20),
    promote: Duration::from_millis(600),
    work: Duration::from_millis(24),
    connections: 38,
    sync_replicas: 1,
    files: None,
};
/// Clients of one service of three. Together about 170 statements a second; the sheet has 450 on
/// three services, and more on days of high load.
const WRITERS: usize = 4;
const READERS: usize = 24;
/// How often the primary crashes at most.
const ROUNDS: usize = 6;
/// How long the replica receives nothing before the primary crashes.
const DEAF: Duration = Duration::from_millis(3_000);
/// Time from the crash to the new start.
const DOWN: Duration = Duration::from_millis(400);

pub fn run(trouble: bool) -> Result<bool, String> {
    let world = World::start("empty-grant", BOXES, SHEET)?;
    let acknowledged: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for n in 0..WRITERS + READERS {
        let machine = &world.machines[n % BOXES];
        let (front, address) = (machine.front(), machine.ip);
        let (acknowledged, stop) = (acknowledged.clone(), stop.clone());
        let group = world.group.clone();
        clients.push(std::thread::spawn(move || {
            let writes = n < WRITERS;
            let database = if writes { STRICT } else { BOUNDED };
            let mut count = 0;
            let mut session: Option<Client> = None;
            while !stop.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(if writes { 100 } else { 120 }));
                let Some(client) = &mut session else {
                    session = Client::connect(front, database).ok();
                    continue;
                };
                count += 1;
                let id = format!("c{n}_{count}");
                let text = match writes {
                    true => format!("WRITE k{n} v{count}"),
                    false => format!("READ k{}", n % WRITERS),
                };
                let sent = Instant::now();
                let outcome = client.run(&id, &text, Duration::from_millis(2_500));
                let answered = Instant::now();
                let seen = match &outcome {
                    Ok(answer) => match &answer.error {
                        None => format!("COMPLETE {}", answer.digest),
                        Some(code) => format!("ERROR {code}"),
                    },
                    Err(error) => format!("lost: {error}"),
                };
                let sent_at = group.seconds(sent);
                if writes {
                    group.note(format!(
                        "client at {address}: {id} {text}, sent {sent_at:.3}: {seen}"
                    ));
                }
                match outcome {
                    Ok(answer) if answer.error.is_none() => {
                        if writes {
                            acknowledged.lock().unwrap().push((id, answered));
                        }
                    }
                    Ok(_) => {}
                    Err(_) => session = None,
                }
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(5));
    let boxes: Vec<_> = world.machines.iter().map(|machine| machine.ip).collect();
    for round in 0..ROUNDS {
        let before = world.group.promotions.lock().unwrap().len();
        if !trouble {
            std::thread::sleep(DEAF);
            continue;
        }
        let primary = world.group.primary().ok_or("no primary")?;
        let ids = world.group.ids();
        let mut replicas = ids.iter().filter(|id| **id != primary);
        let deaf = replicas.nth(round % 2).ok_or("no replica")?;
        world.group.set_deaf(deaf, true);
        std::thread::sleep(DEAF);
        world.group.restart(&primary, DOWN, &boxes);
        world.write_entry(&primary);
        let replaced = |world: &World| world.group.promotions.lock().unwrap().len() > before;
        if !world.wait(Duration::from_secs(8), replaced) {
            return Err("the primary was not replaced".to_owned());
        }
        world.group.set_deaf(deaf, false);
        if lacking(&world, &acknowledged.lock().unwrap()) > 0 {
            break;
        }
        std::thread::sleep(Duration::from_secs(5));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    Ok(judge(&world, &acknowledged.lock().unwrap()))
}

/// Returns how many acknowledged commits the members lacked that were promoted.
fn lacking(world: &World, acknowledged: &[(String, Instant)]) -> usize {
    let group = &world.group;
    let promotions = group.promotions.lock().unwrap().clone();
    let mut known = 0;
    let mut total = 0;
    for promotion in &promotions {
        let held: HashSet<&String> = promotion.held.iter().collect();
        // Those that an earlier promotion lacked are counted there.
        let before = acknowledged.iter().filter(|(_, at)| *at < promotion.at);
        let lost: Vec<&String> = before
            .map(|(id, _)| id)
            .filter(|id| !held.contains(id))
            .collect();
        if lost.len() > known {
            group.note(format!(
                "LOST: {} leads term {} with {} commits and lacks {} that were acknowledged before, the last of them {}; {}",
                promotion.member, promotion.term, held.len(), lost.len() - known,
                lost[lost.len() - 1], promotion.others
            ));
            total += lost.len() - known;
            known = lost.len();
        }
    }
    total
}

/// LOST: if the service has `sync_replicas`, the log of the member that is promoted lacks an
/// acknowledged commit.
fn judge(world: &World, acknowledged: &[(String, Instant)]) -> bool {
    let broken = lacking(world, acknowledged);
    let promotions = world.group.promotions.lock().unwrap().len();
    let text = format!(
        "{} writes acknowledged, {promotions} promotions; {broken} acknowledged commits lacking at a promotion",
        acknowledged.len()
    );
    world.group.note(text.clone());
    println!("{text}");
    broken == 0
}
