//! Boxes that start, stop and reload, also while the store doesn't answer.

use std::net::IpAddr;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::http::{self, Call};
use larkfall::node::peers::ABANDON;
use nix::sys::signal::Signal;
use serde_json::Value;

use super::boxes::{Process, Settings};
use super::client::{Answer, Client};
use super::replies::Kind;
use super::store::Fault;
use super::world::{STRICT, World, manifest};

/// A database that a later manifest adds.
const ADDED: &str = "added";

/// Returns a manifest without the strict route.
fn without_strict(version: u64, timeout_ms: u64) -> Value {
    let mut next = manifest(version, timeout_ms);
    let routes = next["routes"].as_array_mut().expect("routes");
    routes.retain(|route| route["hostname"] != STRICT);
    next
}

/// Puts a manifest without the strict route, which removes its database.
pub fn remove_strict_route(world: &World, version: u64) {
    let next = without_strict(version, 3_000);
    world.store.put("op", "config", &next);
}

/// Reads until the answer has this error code, or succeeds when the code is `None`.
pub async fn read_until_outcome(client: &mut Client, error: Option<&str>) -> Answer {
    loop {
        let answer = client.run("READ farm").await.unwrap();
        if answer.error.as_deref() == error {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[gtest]
#[tokio::test]
async fn a_reload_signal_ends_neither_box_nor_session() {
    let mut world = World::start(1).await;
    let mut client = world.client(0, STRICT, "a").await;
    for _ in 0..3 {
        world.boxes[0].signal(Signal::SIGHUP);
        let answer = client.run("READ farm").await.unwrap();
        expect_that!(answer.error, none());
    }
    expect_that!(world.boxes[0].is_running(), eq(true));
}

#[gtest]
#[tokio::test]
async fn metrics_are_served_on_their_own_port() {
    let world = World::start(1).await;
    let mut client = world.client(0, STRICT, "a").await;
    client.run("READ farm").await.unwrap();
    let text = world.boxes[0].metrics().await;
    expect_that!(text, contains_substring("# TYPE"));
    expect_that!(text, contains_substring("_bucket{"));
}

#[gtest]
#[tokio::test]
async fn a_stopping_box_finishes_open_transactions_and_accepts_callers_while_draining() {
    let mut world = World::start(2).await;
    let mut client = world.client(0, STRICT, "a").await;
    for text in ["BEGIN", "WRITE farm kept"] {
        client.run(text).await.unwrap();
    }
    let mut idle = world.client(0, STRICT, "b").await;
    world.boxes[0].signal(Signal::SIGTERM);
    while world.boxes[0].is_ready().await {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // A load balancer may send callers until it notices that the box isn't ready.
    let mut late = world.client(0, STRICT, "c").await;
    expect_that!(late.run("READ farm").await.unwrap().error, none());
    let done = client.run("COMMIT").await.unwrap();
    world.expect_answer_from("i-0", Kind::Commit, &client, &done);
    let _open = late.run("BEGIN").await;
    expect_that!(idle.read_line().await.err(), some(eq("closed")));
    // New callers are refused, not accepted and closed.
    let front = world.boxes[0].settings.front;
    let refused = Client::connect(front, STRICT, "d").await;
    expect_that!(refused.is_err(), eq(true));
    while world.boxes[0].is_running() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[gtest]
#[tokio::test]
async fn a_caller_that_connects_while_a_stopping_box_leaves_the_list_is_served() {
    let mut world = World::start(1).await;
    // The box's request to leave the list gets no answer and lasts until its timeout.
    world.store.set_fault(Fault::Silent);
    world.boxes[0].signal(Signal::SIGTERM);
    while world.boxes[0].is_ready().await {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut late = world.client(0, STRICT, "a").await;
    for text in ["BEGIN", "WRITE farm kept"] {
        late.run(text).await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    let done = late.run("COMMIT").await.unwrap();
    world.expect_answer_from("i-0", Kind::Commit, &late, &done);
    drop(late);
    while world.boxes[0].is_running() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[gtest]
#[tokio::test]
async fn a_box_that_starts_while_the_store_is_unavailable_learns_from_its_peers() {
    let mut world = World::start(2).await;
    world.store.set_fault(Fault::Busy);
    let mut settings = Settings::new("box-9", "zone-0", world.store_address);
    settings.seeds = vec![world.boxes[0].settings.control];
    world.boxes.push(Process::start(settings));
    world.boxes[2].wait_ready().await;
    let mut client = world.client(2, STRICT, "a").await;
    read_until_outcome(&mut client, None).await;
    expect_that!(client.run("READ farm").await.unwrap().error, none());
}

/// Guards against keeping removed rows that a box learned from a peer alone: the operator's document
/// doesn't name the rows that it removes.
#[gtest]
#[tokio::test]
async fn a_database_known_only_from_a_peer_is_removed_when_the_store_lacks_it() {
    let mut world = World::start(3).await;
    world.store.set_fault(Fault::Silent);
    let mut settings = world.boxes[2].settings.clone();
    settings.seeds = vec![world.boxes[0].settings.control];
    world.boxes[2].kill();
    world.boxes[2] = Process::start(settings);
    world.boxes[2].wait_ready().await;
    let mut client = world.client(2, STRICT, "a").await;
    read_until_outcome(&mut client, None).await;
    // Ends the other boxes, so that no box sees the removal.
    world.boxes.drain(..2);
    remove_strict_route(&world, 20);
    let mut next = without_strict(24, 2_900);
    let routes = next["routes"].as_array_mut().expect("routes");
    let mut added = routes[0].clone();
    added["hostname"] = ADDED.into();
    routes.push(added);
    world.store.put("op", "config", &next);
    world.store.set_fault(Fault::None);
    let front = world.boxes[0].settings.front;
    world.boxes[0].wait_until_served(ADDED).await;
    // The newest change has taken effect, so the removal has too.
    let refused = Client::connect(front, STRICT, "c").await;
    expect_that!(refused.err(), some(contains_substring("NODB")));
    let answer = client.run("READ farm").await.unwrap();
    expect_that!(answer.error, some(eq("NODB")));
}

#[gtest]
#[tokio::test]
async fn no_change_is_lost_when_the_store_forgets_its_history_and_goes_silent() {
    let world = World::start(1).await;
    let mut client = world.client(0, STRICT, "a").await;
    world.store.forget_history();
    world.store.set_fault(Fault::Silent);
    remove_strict_route(&world, 20);
    expect_that!(client.run("READ farm").await.unwrap().error, none());
    world.store.set_fault(Fault::None);
    read_until_outcome(&mut client, Some("NODB")).await;
}

#[gtest]
#[tokio::test]
async fn boxes_that_were_all_killed_at_once_serve_after_a_restart() {
    let mut world = World::start(3).await;
    let mut client = world.client(0, STRICT, "a").await;
    client.run("WRITE farm kept").await.unwrap();
    let settings: Vec<Settings> = world.boxes.iter().map(|b| b.settings.clone()).collect();
    world.boxes.clear();
    world.boxes = settings.into_iter().map(Process::start).collect();
    for process in &world.boxes {
        process.wait_ready().await;
    }
    let mut client = world.client(1, STRICT, "b").await;
    let answer = read_until_outcome(&mut client, None).await;
    expect_that!(answer.rows, elements_are![eq("kept []")]);
}

#[gtest]
#[tokio::test]
async fn a_silent_table_does_not_delay_other_tables() {
    let world = World::start(1).await;
    let mut client = world.client(0, STRICT, "a").await;
    // All waiting requests fail, and from then on requests for one table get no answer.
    world.store.set_fault(Fault::Busy);
    world.store.silence_table("servers");
    remove_strict_route(&world, 30);
    world.store.set_fault(Fault::None);
    read_until_outcome(&mut client, Some("NODB")).await;
}

/// Guards against a box that refuses existing databases while it starts.
#[gtest]
#[tokio::test]
async fn a_box_that_has_not_read_the_manifest_yet_refuses_no_database() {
    let mut world = World::without_boxes().await;
    world.store.silence_table("op");
    world.add_box(0);
    let front = world.boxes[0].settings.front;
    let early = tokio::spawn(async move {
        loop {
            match Client::connect(front, STRICT, "early").await {
                Ok(client) => return Ok(client),
                Err(refused) if refused.contains("NODB") => return Err(refused),
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    });
    // The box reads the other tables meanwhile. A slower box makes the test weaker, not flaky.
    tokio::time::sleep(Duration::from_millis(300)).await;
    world.store.end_table_silence();
    let mut client = early.await.unwrap().expect("the database is there");
    read_until_outcome(&mut client, None).await;
}

/// Guards against statements and rollbacks of another box that hit a transaction opened after a restart,
/// because the owner gives out the ids of its earlier start again.
#[gtest]
#[tokio::test]
async fn ids_of_open_transactions_are_not_given_out_again_after_a_restart() {
    const IDS_OF_A_YOUNG_BOX: u64 = 500;
    let mut world = World::start(1).await;
    let settings = world.boxes[0].settings.clone();
    world.boxes[0].kill();
    world.boxes[0] = Process::start(settings);
    world.boxes[0].wait_ready().await;
    world.wait_for_primary().await;
    let mut client = world.client(0, STRICT, "a").await;
    for text in ["BEGIN", "WRITE farm kept"] {
        expect_that!(client.run(text).await.unwrap().error, none());
    }
    let peer = http::Client::new(IpAddr::from([127, 0, 0, 1]));
    let address = world.boxes[0].settings.control.to_string();
    for id in 0..IDS_OF_A_YOUNG_BOX {
        let body = rmp_serde::to_vec(&id).expect("a number can be encoded");
        let call = Call::post(&address, ABANDON, body, Duration::from_secs(1));
        peer.call(call).await.unwrap();
    }
    expect_that!(client.run("COMMIT").await.unwrap().error, none());
    let log = world.group.log(&world.group.primary());
    expect_that!(log.last().map(|entry| &*entry.value), some(eq("kept")));
}
