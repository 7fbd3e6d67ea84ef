//! ONE: a box that reads no table sends a lower generation number than another box before it. Tries
//! an open finding of the project, "a lower number where two boxes know different last holders and
//! one has no table". `LAST` (0 to 2) chooses the box that claims the duty first; the rule breaks
//! where that is the box of the lowest rank.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::boxes::{Machine, ZONES, send_signal, wait_until};
use crate::member::{Group, Member};
use crate::{NotRun, Run, keep_entries, put_manifest};

const SERVICE: &str = "huvo11a";
const CONNECTIONS: usize = 23;
const WORK: Duration = Duration::from_millis(6);
const SETTLING: Duration = Duration::from_millis(6_500);
/// Time for which a member is down that crashes as it is to be promoted.
const DOWN: Duration = Duration::from_millis(700);
const PATIENCE: Duration = Duration::from_secs(15);

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
    if !wait_until(Duration::from_secs(10), || {
        boxes.iter().all(|b| b.serves(SERVICE))
    }) {
        return Err("the boxes don't serve".to_owned());
    }
    std::thread::sleep(SETTLING);
    let last: usize = std::env::var("LAST")
        .ok()
        .and_then(|last| last.parse().ok())
        .unwrap_or(2);
    let (last, with_table, without) =
        (&boxes[last], &boxes[(last + 1) % 3], &boxes[(last + 2) % 3]);
    record.tell(&format!(
        "{} claims first, {} orders next, {} reads no table",
        last.name, with_table.name, without.name
    ));
    if run.trouble {
        run.store.turn_away(without.ip, true);
        with_table.signal("STOP");
        without.signal("STOP");
    }
    // The claim's answer is on its way when the box freezes.
    let claimed = Arc::new(AtomicBool::new(false));
    let (seen, process) = (claimed.clone(), last.process());
    if run.trouble {
        *run.store.on_claim.lock().unwrap() = Some(Box::new(move |_| {
            if !seen.swap(true, Ordering::SeqCst) {
                send_signal(process, "STOP");
            }
        }));
    }
    record.tell("the primary crashes");
    members[0].crash();
    if !run.trouble {
        wait_until(PATIENCE, || !run.store.orders.lock().unwrap().is_empty());
        std::thread::sleep(Duration::from_secs(3));
        return Ok(check(&run));
    }
    if !wait_until(PATIENCE, || claimed.load(Ordering::SeqCst)) {
        return Err("no box has claimed the duty".to_owned());
    }
    record.tell(&format!("{} has claimed the duty and is frozen", last.name));
    let crashing = members.clone();
    let process = with_table.process();
    *run.store.on_order.lock().unwrap() = Some(Box::new(move |order| {
        send_signal(process, "STOP");
        let Some(member) = crashing
            .iter()
            .find(|member| member.id == order.member)
            .cloned()
        else {
            return;
        };
        member.crash();
        std::thread::spawn(move || {
            std::thread::sleep(DOWN);
            member.start_with_log();
        });
    }));
    with_table.signal("CONT");
    if !wait_until(PATIENCE, || run.store.orders.lock().unwrap().len() == 1) {
        return Err("the second box orders nothing".to_owned());
    }
    *run.store.on_order.lock().unwrap() = None;
    record.tell("its order has no effect, as the member crashes; it is frozen");
    std::thread::sleep(DOWN * 2);
    without.signal("CONT");
    if !wait_until(PATIENCE * 2, || run.store.orders.lock().unwrap().len() == 2) {
        return Err("the third box orders nothing".to_owned());
    }
    Ok(check(&run))
}

/// Returns the orders with a lower generation number than an earlier one.
fn check(run: &Run) -> Vec<String> {
    let orders = run.store.orders.lock().unwrap();
    let mut highest = 0;
    let mut breaks = Vec::new();
    for order in orders.iter() {
        run.record.tell(&format!(
            "{} ordered {} under {}",
            order.holder, order.member, order.generation
        ));
        if order.generation < highest {
            breaks.push(format!(
                "ONE: {} sent {} after {highest}",
                order.holder, order.generation
            ));
        }
        highest = highest.max(order.generation);
    }
    breaks
}
