//! An order to promote that a cut holds up arrives after the system has gone on with the old
//! primary.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::member::{Commit, Promotion, Sheet};
use crate::net::ip;
use crate::world::{STRICT, World};

const BOXES: usize = 5;
/// `cosecha-larkfall`, its sales.
const SHEET: Sheet = Sheet {
    lag: Duration::from_millis(60),
    promote: Duration::from_millis(300),
    work: Duration::from_millis(6),
    connections: 23,
    sync_replicas: 0,
    files: None,
};
/// How long the machine that holds the duty is cut off from the API for promotions.
const API_CUT: Duration = Duration::from_millis(6_000);
/// How long the primary is partitioned from 3 of the 5 boxes.
const PRIMARY_CUT: Duration = Duration::from_millis(2_300);
const THAW_SLACK: Duration = Duration::from_millis(300);

/// A write that a client was told to have succeeded.
struct Acknowledged {
    machine: Ipv4Addr,
    sent: Instant,
    answered: Instant,
}

pub fn run(trouble: bool) -> Result<bool, String> {
    let world = World::start("late-order", BOXES, SHEET)?;
    let acknowledged: Arc<Mutex<HashMap<String, Acknowledged>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for machine in &world.machines {
        for n in 0..2 {
            let (front, address) = (machine.front(), machine.ip);
            let (acknowledged, stop) = (acknowledged.clone(), stop.clone());
            let group = world.group.clone();
            clients.push(std::thread::spawn(move || {
                let mut count = 0;
                let mut session: Option<Client> = None;
                while !stop.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(40));
                    let Some(client) = &mut session else {
                        session = Client::connect(front, STRICT).ok();
                        continue;
                    };
                    count += 1;
                    let id = format!("w{address}-{n}-{count}").replace('.', "_");
                    let text = format!("WRITE k{n} v{count}");
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
                    group.note(format!(
                        "client at {address}: {id} {text}, sent {sent_at:.3}: {seen}"
                    ));
                    match outcome {
                        Ok(answer) if answer.error.is_none() => {
                            let machine = address;
                            let write = Acknowledged {
                                machine,
                                sent,
                                answered,
                            };
                            acknowledged.lock().unwrap().insert(id, write);
                        }
                        Ok(_) => {}
                        Err(_) => session = None,
                    }
                }
            }));
        }
    }
    std::thread::sleep(Duration::from_secs(3));
    // A release replaces the primary: the box that orders the promotion has a connection to the
    // API from now on.
    world.release("i-0", "i-3", "santiago-a", ip(203))?;
    let led = |world: &World| !world.group.promotions.lock().unwrap().is_empty();
    if !world.wait(Duration::from_secs(10), led) {
        return Err("the release led to no promotion".to_owned());
    }
    let holder = world.api.orders.lock().unwrap()[0].holder.clone();
    std::thread::sleep(Duration::from_secs(11));
    let holder = world
        .machines
        .iter()
        .find(|machine| machine.name == holder)
        .ok_or("the holder is no box")?
        .ip;
    let others = world.machines.iter().map(|machine| machine.ip);
    let mut cut: Vec<Ipv4Addr> = others.filter(|other| *other != holder).take(2).collect();
    cut.push(holder);
    if trouble {
        world
            .group
            .note(format!("{holder} is cut off from the API for promotions"));
        world.api_links.cut(&[holder]);
        std::thread::sleep(Duration::from_millis(200));
        let primary = world.group.primary().ok_or("no primary")?;
        world
            .group
            .note(format!("{primary} is partitioned from {cut:?}"));
        world.group.cut_member(&primary, &cut);
        std::thread::sleep(PRIMARY_CUT);
        world.group.note(format!("{primary} is reached again"));
        world.group.heal_members();
        std::thread::sleep(API_CUT - PRIMARY_CUT - Duration::from_millis(200));
        world.group.note("the API is reached again".to_owned());
        world.api_links.heal();
    } else {
        std::thread::sleep(API_CUT);
    }
    std::thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    Ok(judge(&world, &acknowledged.lock().unwrap()))
}

/// ONE: after a promote has taken effect, the old primary commits a write, and it is acknowledged
/// to the client. Not counted: in the last `thaw_slack_ms` the sender was on a disrupted link, or
/// it was held up on the way.
fn judge(world: &World, acknowledged: &HashMap<String, Acknowledged>) -> bool {
    let group = &world.group;
    let commits = group.commits.lock().unwrap().clone();
    let promotions = group.promotions.lock().unwrap().clone();
    let leader = |at: Instant| -> Option<&Promotion> {
        promotions.iter().rev().find(|promotion| promotion.at <= at)
    };
    let is_late =
        |commit: &Commit| leader(commit.at).is_some_and(|leader| leader.member != commit.member);
    let mut broken = 0;
    let mut excused = 0;
    for commit in commits.iter().filter(|commit| is_late(commit)) {
        let Some(write) = acknowledged.get(&commit.id) else {
            continue;
        };
        let disrupted = |moment: Instant| {
            world.api_links.was_cut(write.machine, moment, THAW_SLACK)
                || group.was_cut(write.machine, moment, THAW_SLACK)
        };
        if disrupted(write.sent) || disrupted(commit.at) {
            excused += 1;
            continue;
        }
        broken += 1;
        if broken <= 5 {
            let leader = leader(commit.at).expect("found before");
            group.note(format!(
                "ONE: {} committed {} in term {} at {:.3}, and {} acknowledged it at {:.3}; {} leads term {} since {:.3}",
                commit.member, commit.id, commit.term, group.seconds(commit.at), write.machine,
                group.seconds(write.answered), leader.member, leader.term, group.seconds(leader.at)
            ));
        }
    }
    let kept: std::collections::HashSet<String> = match group.primary() {
        Some(primary) => group.members()[&primary]
            .log
            .iter()
            .map(|e| e.id.clone())
            .collect(),
        None => Default::default(),
    };
    let lost = acknowledged.keys().filter(|id| !kept.contains(*id)).count();
    let text = format!(
        "{} writes acknowledged; {broken} of them committed by a replaced primary, {excused} more excused; {lost} acknowledged writes are not in the present primary's log",
        acknowledged.len()
    );
    group.note(text.clone());
    println!("{text}");
    broken == 0
}
