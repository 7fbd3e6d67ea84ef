//! Members that listen at the address of a member that is gone.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;

use super::group::Group;
use super::member::{self, Handle};
use super::world::{BOUNDED, STRICT, World, manifest, member_entry};

const OTHER_SERVICE: &str = "db2";
const CONNECTIONS: usize = 12;
/// Number of the boxes' own commands that the new member has answered by the end of a test.
const COMMANDS: usize = 16;

/// Declares a second service and returns its members' group.
fn add_service(world: &World) -> Group {
    let ids = ["k-0", "k-1", "k-2"].map(str::to_owned);
    let group = Group::new(OTHER_SERVICE, &ids);
    for state in group.members().values_mut() {
        for _ in 0..50 {
            state.append("farm", "foreign", "x");
        }
    }
    world.store.add_group(group.clone());
    let mut next = manifest(4, 3_000);
    let services = next["services"].as_array_mut().expect("services");
    services
        .push(json!({"name": OTHER_SERVICE, "max_connections": CONNECTIONS, "sync_replicas": 0}));
    world.store.put("op", "config", &next);
    group
}

fn list_member(world: &World, id: &str, address: SocketAddr) {
    let mut entry = member_entry(1, address, "ready");
    entry["backend"] = OTHER_SERVICE.into();
    world.store.put("servers", id, &entry);
}

/// Guards against reads of one service that run on another service's member, which has taken the
/// address of a crashed member that is still listed.
#[gtest]
#[tokio::test]
async fn no_read_reaches_another_services_member_at_the_address_of_a_crashed_one() {
    let world = World::start(2).await;
    let mut writer = world.client(0, STRICT, "a").await;
    writer.run("WRITE farm own").await.unwrap();
    let other = add_service(&world);
    world.crash_member("i-1");
    let reused = world.members[1].1;
    let new = Handle::default();
    member::start_at(reused, other.clone(), "k-2", CONNECTIONS, new.clone()).await;
    list_member(&world, "k-2", reused);
    for id in ["k-0", "k-1"] {
        let address = member::start(other.clone(), id, CONNECTIONS, Handle::default()).await;
        list_member(&world, id, address);
    }
    // Box 1 is in the failure domain of i-1 and prefers that member.
    let mut reader = world.client(1, BOUNDED, "r").await;
    while new.statements.lock().expect("no panic").len() < COMMANDS {
        let answer = reader.run("READ farm").await.unwrap();
        expect_that!(answer.rows, not(contains(contains_substring("foreign"))));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    expect_that!(*new.caller_statements.lock().expect("no panic"), is_empty());
}
