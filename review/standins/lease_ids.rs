//! PINNED: a box that owns a service is killed and started again while clients of another box have
//! open transactions there. The ids by which the other box names these transactions are given out
//! again, so its clients' next statements run in other clients' transactions.

use std::collections::HashMap;
use std::time::Duration;

use crate::boxes::{Answer, Client, Machine, ZONES, wait_until};
use crate::member::{Group, Member};
use crate::{NotRun, Run, STRICT, keep_entries, put_manifest};

const SERVICE: &str = "huvo11a";
/// The site's figures.
const CONNECTIONS: usize = 23;
const BOXES_BY_ZONE: [usize; 3] = [4, 3, 2];
const WORK: Duration = Duration::from_millis(6);
/// Clients that have a transaction open when the owner is killed.
const EARLY: usize = 2;
/// Clients that begin a transaction after that.
const LATE: usize = 2;
/// Error codes that promise that nothing of the client attempt is kept.
const PROMISES: [&str; 6] = [
    "RETRY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "WRONGNODE",
    "OVERLOAD",
];
/// Delay after which a killed process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Answers by statement.
type Answers = HashMap<String, Answer>;

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

    let mut boxes = start_site(&run)?;
    let late = Duration::from_secs(10);
    let names = boxes.len();
    if !wait_until(late, || boxes.iter().all(|b| b.known_boxes() == names)) {
        return Err("the boxes don't know each other".to_owned());
    }
    if !wait_until(late, || {
        boxes.iter().all(|b| !b.owns(SERVICE) || b.serves(SERVICE))
    }) {
        return Err("an owner doesn't know the primary".to_owned());
    }
    let entry = boxes.iter().position(|b| !b.owns(SERVICE));
    let entry = entry.ok_or("every box owns the service")?;
    let front = boxes[entry].front();
    record.tell(&format!(
        "clients connect to {}, which doesn't own {SERVICE}",
        boxes[entry].name
    ));

    let mut answers = Answers::new();
    let mut early = Vec::new();
    for i in 0..EARLY {
        let mut client = Client::connect(front, STRICT, &format!("early{i}"))?;
        say(&run, &mut client, &mut answers, "BEGIN")?;
        say(
            &run,
            &mut client,
            &mut answers,
            &format!("WRITE early{i} first"),
        )?;
        early.push(client);
    }
    let sender = group.runs.lock().unwrap().last().map(|ran| ran.sender);
    let owner = boxes.iter().position(|b| Some(b.ip) == sender);
    let owner = owner.ok_or("no box has sent the statements")?;
    record.tell(&format!(
        "{} owns {SERVICE} and has sent their statements",
        boxes[owner].name
    ));

    if run.trouble {
        record.tell(&format!("kill {}", boxes[owner].name));
        boxes[owner].kill();
        std::thread::sleep(RESTART_DELAY);
        boxes[owner].start();
    }
    let owner = &boxes[owner];
    if !wait_until(late, || owner.serves(SERVICE)) {
        return Err("the owner isn't back".to_owned());
    }
    record.line(&format!("{} is ready", owner.name));

    let mut others = Vec::new();
    for i in 0..LATE {
        let mut client = Client::connect(front, STRICT, &format!("late{i}"))?;
        say(&run, &mut client, &mut answers, "BEGIN")?;
        say(
            &run,
            &mut client,
            &mut answers,
            &format!("WRITE late{i} first"),
        )?;
        others.push(client);
    }
    for (i, client) in early.iter_mut().enumerate() {
        let _ = say(
            &run,
            client,
            &mut answers,
            &format!("WRITE early{i} second"),
        );
        let _ = say(&run, client, &mut answers, "COMMIT");
    }
    for (i, client) in others.iter_mut().enumerate() {
        let _ = say(&run, client, &mut answers, &format!("WRITE late{i} second"));
        let _ = say(&run, client, &mut answers, "ROLLBACK");
    }
    let breaks = check(&group);
    if !breaks.is_empty() {
        tell_effects(&run, &group, &answers);
    }
    Ok(breaks)
}

/// Starts the machines of the site, and then its three spare ones.
fn start_site(run: &Run) -> Result<Vec<Machine>, NotRun> {
    let mut boxes = Vec::new();
    for (zone, count) in ZONES.iter().zip(BOXES_BY_ZONE) {
        for _ in 0..count {
            boxes.push(run.site.new_box(boxes.len() as u8 + 1, zone, true));
        }
    }
    boxes.iter_mut().for_each(Machine::start);
    let ready = |boxes: &[Machine]| boxes.iter().all(Machine::is_ready);
    if !wait_until(Duration::from_secs(20), || ready(&boxes)) {
        return Err("the boxes aren't ready".to_owned());
    }
    for zone in ZONES {
        let mut added = run.site.new_box(boxes.len() as u8 + 1, zone, false);
        added.start();
        boxes.push(added);
    }
    if !wait_until(Duration::from_secs(20), || ready(&boxes)) {
        return Err("the added boxes aren't ready".to_owned());
    }
    Ok(boxes)
}

/// Runs a statement and records it. Retries nothing.
fn say(run: &Run, client: &mut Client, answers: &mut Answers, text: &str) -> Result<(), NotRun> {
    let answer = client.run(text);
    let shown = match &answer {
        Ok(answer) => answer.summary(),
        Err(error) => error.clone(),
    };
    run.record
        .line(&format!("client sent {} {text}: {shown}", client.last_id()));
    answers.insert(client.last_id(), answer?);
    Ok(())
}

/// Returns the client that sent a statement.
fn client_of(id: &str) -> &str {
    id.split('-').next().unwrap_or_default()
}

/// Returns the statements that ran in another client's transaction.
fn check(group: &Group) -> Vec<String> {
    let runs = group.runs.lock().unwrap();
    let foreign = runs.iter().filter_map(|ran| {
        let begin = ran.transaction.as_deref()?;
        (client_of(begin) != client_of(&ran.id)).then(|| {
            format!(
                "PINNED: {} ran {} {} on connection {}, in the transaction that {} began",
                ran.member, ran.id, ran.text, ran.connection, begin
            )
        })
    });
    foreign.collect()
}

/// Records what the clients got out of it: writes that were kept although their client was promised
/// that nothing is, and writes that were lost although their client's COMMIT succeeded.
fn tell_effects(run: &Run, group: &Group, answers: &Answers) {
    let log = group.log(&group.primary());
    let is_kept = |id: &str| log.iter().any(|entry| entry.id == id);
    let runs = group.runs.lock().unwrap();
    for write in runs.iter().filter(|ran| ran.text.starts_with("WRITE")) {
        let client = client_of(&write.id);
        let mut own = answers.iter().filter(|(id, _)| client_of(id) == client);
        let promised = own.clone().any(|(_, answer)| {
            answer
                .error
                .as_deref()
                .is_some_and(|error| PROMISES.contains(&error))
        });
        let committed = own.any(|(id, answer)| {
            let commit = runs
                .iter()
                .find(|ran| ran.id == *id && ran.text == "COMMIT");
            commit.is_some() && answer.succeeded()
        });
        match (is_kept(&write.id), promised, committed) {
            (true, true, _) => run.record.tell(&format!(
                "also REFUSED: {} {} is kept, and its client was promised that nothing is",
                write.id, write.text
            )),
            (false, false, true) => run.record.tell(&format!(
                "also lost: {} {} isn't kept, and its client's COMMIT succeeded",
                write.id, write.text
            )),
            _ => {}
        }
    }
}
