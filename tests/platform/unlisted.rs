//! Members that the store doesn't list for a while, although they are alive.

use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;

use super::boxes::Process;
use super::client::Client;
use super::world::{STRICT, World, member_entry};

/// Time after the return of the old primary's entry in which it must acknowledge nothing.
const ALONE: Duration = Duration::from_millis(1_500);

/// Time in which a group would go on without its lost members: longer than the grace time and two questions
/// to the other owners.
const UNCONFIRMED: Duration = Duration::from_secs(6);

/// Starts boxes, and waits until the group's members are recorded in the store.
async fn start_recorded(boxes: usize) -> World {
    let world = World::start(boxes).await;
    world
        .store
        .wait_for_row("larkfall", "membership/platform/db1")
        .await;
    world
}

/// Returns a world whose primary, i-0, was replaced without noticing, and whose members are no longer
/// listed.
async fn replaced_and_unlisted() -> World {
    let world = start_recorded(3).await;
    let mut client = world.client(0, STRICT, "a").await;
    client.run("WRITE farm before").await.unwrap();
    world.member("i-0").frozen.store(true, Ordering::SeqCst);
    world
        .write_until_acknowledged(&mut client, "WRITE farm after")
        .await;
    for (id, _, _) in &world.members {
        world.store.put_raw("servers", id, None);
    }
    world
}

fn list_member(world: &World, i: usize) {
    let (id, address, _) = &world.members[i];
    let entry = member_entry(i, *address, "ready");
    world.store.put("servers", id, &entry);
}

/// Opens a session as soon as the box takes callers. A box that reaches no majority takes none.
async fn open_session(world: &World, i: usize, name: &'static str) -> Client {
    let front = world.boxes[i].settings.front;
    loop {
        match Client::connect(front, STRICT, name).await {
            Ok(client) => return client,
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Writes through all boxes while the old primary is the only member listed, then lists the others,
/// and checks that the newest primary holds every acknowledged write.
async fn expect_no_write_lost(world: &World) {
    let mut acknowledged = Vec::new();
    let writes = async {
        let mut clients = Vec::new();
        for i in 0..world.boxes.len() {
            clients.push(open_session(world, i, ["b0", "b1", "b2"][i]).await);
        }
        loop {
            for client in &mut clients {
                let answer = client.run("WRITE farm alone").await.unwrap();
                if answer.error.is_none() {
                    acknowledged.push(client.last_id());
                }
            }
        }
    };
    let _ended = tokio::time::timeout(ALONE, writes).await;
    for i in 1..world.members.len() {
        list_member(world, i);
    }
    let mut client = open_session(world, 0, "c").await;
    world
        .write_until_acknowledged(&mut client, "WRITE farm again")
        .await;
    acknowledged.push(client.last_id());
    let primary = world.group.primary();
    expect_that!(primary, not(eq("i-0")));
    let log = world.group.log(&primary);
    let kept: Vec<String> = log.into_iter().map(|entry| entry.id).collect();
    acknowledged.retain(|id| !kept.contains(id));
    expect_that!(acknowledged, is_empty());
}

/// Guards against boxes that start while only a replaced primary is listed, and acknowledge its
/// writes, which are lost once the other members are back.
#[gtest]
#[tokio::test]
async fn boxes_that_start_acknowledge_no_write_of_a_replaced_primary_that_is_listed_alone() {
    let mut world = replaced_and_unlisted().await;
    for process in &mut world.boxes {
        process.kill();
    }
    list_member(&world, 0);
    world.member("i-0").frozen.store(false, Ordering::SeqCst);
    for process in &mut world.boxes {
        *process = Process::start(process.settings.clone());
    }
    for process in &world.boxes {
        process.wait_ready().await;
    }
    expect_no_write_lost(&world).await;
}

/// Guards against boxes that forget a group while the store lists none of its members, and take the
/// first one that is listed again for the whole group.
#[gtest]
#[tokio::test]
async fn running_boxes_acknowledge_no_write_of_a_replaced_primary_that_is_listed_alone() {
    let world = replaced_and_unlisted().await;
    for process in &world.boxes {
        while !process.log().contains("not listed") {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    list_member(&world, 0);
    world.member("i-0").frozen.store(false, Ordering::SeqCst);
    expect_no_write_lost(&world).await;
}

/// Repeats a write, each time over a new session, until a member acknowledges it. A box that reaches no
/// majority closes idle sessions.
async fn write_over_new_sessions(world: &World, text: &str) {
    let front = world.boxes[0].settings.front;
    loop {
        if let Ok(mut client) = Client::connect(front, STRICT, "a").await
            && let Ok(answer) = client.run(text).await
            && answer.error.is_none()
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Ends both replicas for good.
fn lose_replicas(world: &World) {
    for id in ["i-1", "i-2"] {
        world.crash_member(id);
        world.store.put_raw("servers", id, None);
    }
}

/// Guards against a group that is never served again after two of its three members are lost for good,
/// although the boxes of their failure domains can tell.
#[gtest]
#[tokio::test]
async fn a_primary_is_served_again_after_both_replicas_are_lost_for_good() {
    let world = start_recorded(3).await;
    lose_replicas(&world);
    for process in &world.boxes {
        while !process.log().contains("missing member removed") {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    let mut client = world.client(0, STRICT, "a").await;
    world
        .write_until_acknowledged(&mut client, "WRITE farm alone")
        .await;
    expect_that!(world.group.primary(), eq("i-0"));
    let log = world.group.log("i-0");
    expect_that!(log.last().map(|entry| &*entry.value), some(eq("alone")));
}

/// Guards against a group that goes on without a member of a failure domain that no box answers from: the
/// member may be alive there, and lead.
#[gtest]
#[tokio::test]
async fn a_member_is_not_lost_while_no_box_of_its_failure_domain_answers() {
    let mut world = start_recorded(2).await;
    lose_replicas(&world);
    for process in &world.boxes {
        while process.dump().await.matches("\"suspected\":true").count() < 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    let early = write_over_new_sessions(&world, "WRITE farm early");
    let early = tokio::time::timeout(UNCONFIRMED, early).await;
    expect_that!(early.is_err(), eq(true));
    world.add_box(2);
    write_over_new_sessions(&world, "WRITE farm late").await;
    expect_that!(world.group.primary(), eq("i-0"));
}
