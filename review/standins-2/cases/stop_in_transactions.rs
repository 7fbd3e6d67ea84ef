//! Boxes are stopped and started in turn while clients run transactions.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::boxes::Balancer;
use crate::client::Client;
use crate::member::Sheet;
use crate::world::{BOUNDED, World};

const BOXES: usize = 3;
/// How often each box is stopped.
const ROUNDS: usize = 3;
const CLIENTS: usize = 90;
/// `mlg-cartes`, its page reads.
const SHEET: Sheet = Sheet {
    lag: Duration::from_millis(20),
    promote: Duration::from_millis(600),
    work: Duration::from_millis(40),
    connections: 38,
    sync_replicas: 0,
};
/// Statements of a transaction, its COMMIT included.
const STATEMENTS: usize = 12;
/// A client's pause between two statements, below `tx_idle_ms`.
const PAUSE: Duration = Duration::from_millis(450);
const BUDGET: Duration = Duration::from_millis(10_000);
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2_000);
const GRACE: Duration = Duration::from_secs(6);
const LOSS_SLACK: Duration = Duration::from_millis(200);
const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// A statement whose connection ended without a complete answer.
struct Cut {
    machine: String,
    id: String,
    text: String,
    sent: Instant,
    ended: Instant,
}

pub fn run(trouble: bool) -> Result<bool, String> {
    let mut world = World::start("stop-in-transactions", BOXES, SHEET)?;
    let cuts: Arc<Mutex<Vec<Cut>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    let balancer = Balancer::start(&world.machines);
    for n in 0..CLIENTS {
        let (cuts, stop, balancer) = (cuts.clone(), stop.clone(), balancer.clone());
        let group = world.group.clone();
        clients.push(std::thread::spawn(move || {
            std::thread::sleep(PAUSE * n as u32 / 19);
            let mut session: Option<(String, Client)> = None;
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                let Some((name, client)) = &mut session else {
                    let (name, front) = balancer.choose(n);
                    session = Client::connect(front, BOUNDED)
                        .ok()
                        .map(|client| (name, client));
                    std::thread::sleep(Duration::from_millis(50));
                    continue;
                };
                count += 1;
                for i in 0..STATEMENTS {
                    let text = match i {
                        0 => "BEGIN READ".to_owned(),
                        _ if i == STATEMENTS - 1 => "COMMIT".to_owned(),
                        _ => format!("READ k{n}"),
                    };
                    let id = format!("c{n}_{count}_{i}");
                    let sent = Instant::now();
                    let outcome = client.run(&id, &text, BUDGET);
                    let ended = Instant::now();
                    let seen = match &outcome {
                        Ok(answer) => match &answer.error {
                            None => format!("COMPLETE {}", answer.digest),
                            Some(code) => format!("ERROR {code}"),
                        },
                        Err(error) => format!("no complete answer: {error}"),
                    };
                    let at = group.seconds(sent);
                    group.note(format!(
                        "client at {name}: {id} {text}, sent {at:.3}: {seen}"
                    ));
                    match outcome {
                        Ok(answer) if answer.error.is_none() && answer.state != "E" => {}
                        Ok(_) => {
                            // The operation has failed; the client closes its session.
                            session = None;
                            break;
                        }
                        Err(_) => {
                            let (machine, id) = (name.clone(), id.clone());
                            let cut = Cut {
                                machine,
                                id,
                                text,
                                sent,
                                ended,
                            };
                            cuts.lock().unwrap().push(cut);
                            session = None;
                            break;
                        }
                    }
                    std::thread::sleep(PAUSE);
                }
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(8));
    let mut stops: Vec<(String, Instant)> = Vec::new();
    for i in (0..ROUNDS).flat_map(|_| 0..BOXES) {
        let group = world.group.clone();
        let machine = &mut world.machines[i];
        if !trouble {
            std::thread::sleep(GRACE);
            continue;
        }
        group.note(format!("SIGTERM to {}", machine.name));
        let sent = Instant::now();
        machine.signal(SIGTERM);
        stops.push((machine.name.clone(), sent));
        while !machine.has_ended() && sent.elapsed() < GRACE {
            std::thread::sleep(Duration::from_millis(5));
        }
        if !machine.has_ended() {
            group.note(format!("SIGKILL to {}", machine.name));
            machine.signal(SIGKILL);
        }
        let after = sent.elapsed().as_secs_f64();
        group.note(format!(
            "{} has ended {after:.3} s after SIGTERM",
            machine.name
        ));
        machine.start().map_err(|error| error.to_string())?;
        machine.wait_ready(Duration::from_secs(10))?;
        group.note(format!("{} is ready again", machine.name));
        std::thread::sleep(Duration::from_secs(3));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    Ok(judge(&world, &cuts.lock().unwrap(), &stops))
}

/// LOST: a process has read a whole request and the connection then ends with no complete answer,
/// either once the request has been passed on to a member, or more than `loss_slack_ms` after it
/// was sent, up to 1 s after `grace_s` from a SIGTERM. Not counted: the time budget or the route's
/// timeout was reached; or, for a request sent no later than 3 s after the SIGTERM, the member was
/// still at work on it in the last sixth of `grace_s`.
fn judge(world: &World, cuts: &[Cut], stops: &[(String, Instant)]) -> bool {
    let group = &world.group;
    let arrived = group.arrived.lock().unwrap();
    let mut broken = 0;
    for cut in cuts {
        let stopped = stops.iter().rev().find(|(machine, at)| {
            *machine == cut.machine
                && cut.ended >= *at
                && cut.ended < *at + GRACE + Duration::from_secs(1)
        });
        let Some((_, stopped)) = stopped else {
            continue;
        };
        let lasted = cut.ended - cut.sent;
        let passed_on = arrived.contains_key(&cut.id);
        let early = cut.sent <= *stopped + Duration::from_secs(3);
        let late_at_member = cut.ended >= *stopped + GRACE * 5 / 6;
        let counts = (passed_on || lasted > LOSS_SLACK)
            && lasted < ROUTE_TIMEOUT
            && lasted < BUDGET
            && !(early && passed_on && late_at_member);
        let after = |at: Instant| at.saturating_duration_since(*stopped).as_secs_f64();
        group.note(format!(
            "{}: {} {}, sent {:.3} s after the SIGTERM to {}, its connection ended at {:.3} s, {} a member",
            if counts { "LOST" } else { "not counted" },
            cut.id, cut.text, after(cut.sent), cut.machine, after(cut.ended),
            if passed_on { "passed on to" } else { "not passed on to" }
        ));
        broken += usize::from(counts);
    }
    let text = format!(
        "{} statements cut, {broken} of them count as LOST",
        cuts.len()
    );
    group.note(text.clone());
    println!("{text}");
    broken == 0
}
