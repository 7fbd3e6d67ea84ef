//! Orders to promote that are carried out long after their sender gave them up.

use std::collections::BTreeSet;
use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use super::boxes::{Process, Settings};
use super::client::Client;
use super::proxy::{Impairment, Proxy};
use super::world::{OWN_WRITES, STRICT, World};

/// Writes over and over. Returns the ids of the acknowledged writes.
async fn write_until(mut client: Client, end: Instant) -> BTreeSet<String> {
    let mut acknowledged = BTreeSet::new();
    while Instant::now() < end {
        let answer = client.run("WRITE farm more").await;
        if answer.is_ok_and(|answer| answer.error.is_none()) {
            acknowledged.insert(client.last_id());
        }
        sleep(Duration::from_millis(20)).await;
    }
    acknowledged
}

/// Guards against an order that is carried out after the boxes went on with the old primary, which
/// loses the writes acknowledged meanwhile.
#[gtest]
#[tokio::test]
async fn writes_survive_an_order_that_is_carried_out_late() {
    let (world, proxies) = World::behind_proxies(3, false).await;
    let end = Instant::now() + Duration::from_secs(12);
    let mut clients = Vec::new();
    let sessions = [(STRICT, "a"), (OWN_WRITES, "b"), (STRICT, "c")];
    for (i, (database, name)) in sessions.into_iter().enumerate() {
        let client = world.client(i, database, name).await;
        clients.push(tokio::spawn(write_until(client, end)));
    }
    sleep(Duration::from_millis(300)).await;
    world.store.hold_orders(true);
    proxies[0].set_impairment(Impairment::Silent);
    while world.store.orders().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    proxies[0].set_impairment(Impairment::None);
    // Longer than a ballot with its promotion, and than the time for which fences are left alone.
    sleep(Duration::from_secs(6)).await;
    world.store.hold_orders(false);
    while world.group.primary() == "i-0" {
        sleep(Duration::from_millis(5)).await;
    }
    let mut acknowledged = BTreeSet::new();
    for client in clients {
        acknowledged.extend(client.await.expect("no panic"));
    }
    let log = world.group.log(&world.group.primary());
    let kept: BTreeSet<String> = log.into_iter().map(|entry| entry.id).collect();
    let lost: Vec<&String> = acknowledged.difference(&kept).collect();
    expect_that!(lost, is_empty());
    // Writes are served again by the new primary.
    let mut client = world.client(0, STRICT, "d").await;
    world
        .write_until_acknowledged(&mut client, "WRITE farm after")
        .await;
}

/// Starts two boxes. Those that are `behind_proxy` reach the API for promotions through the proxy
/// that is returned.
async fn start_with_api_behind_proxy(behind_proxy: impl Fn(usize) -> bool) -> (World, Proxy) {
    let mut world = World::without_boxes().await;
    let api = Proxy::start(world.store_address).await;
    for i in 0..2 {
        let zone = format!("zone-{i}");
        let settings = Settings::new(&format!("box-{i}"), &zone, world.store_address);
        let cloud_api = match behind_proxy(i) {
            true => api.address,
            false => world.store_address,
        };
        world.boxes.push(Process::start(Settings {
            cloud_api,
            ..settings
        }));
    }
    for process in &world.boxes {
        process.wait_ready().await;
    }
    world.wait_for_primary().await;
    (world, api)
}

/// Returns the generations of the orders that the box gave up without an answer.
fn given_up(process: &Process) -> BTreeSet<u64> {
    let log = process.log();
    let lines = log.lines().filter(|line| {
        line.contains("\"event\":321") && line.contains("ordered without a known outcome")
    });
    let generation = |line: &str| -> u64 {
        let fields: serde_json::Value = serde_json::from_str(line).expect("a line is JSON");
        let text = fields["generation"].as_str().expect("a generation");
        text.parse().expect("a number")
    };
    lines.map(generation).collect()
}

/// Guards against an order that is given up, but still reaches the platform once a network partition
/// ends: by then it may be older than another box's order, or name a former primary.
#[gtest]
#[tokio::test]
async fn an_order_that_is_given_up_behind_a_partition_never_arrives() {
    let (world, api) = start_with_api_behind_proxy(|_| true).await;
    api.set_impairment(Impairment::Silent);
    world.crash_member("i-0");
    let unanswered = || -> BTreeSet<u64> { world.boxes.iter().flat_map(given_up).collect() };
    while unanswered().is_empty() {
        sleep(Duration::from_millis(20)).await;
    }
    let given_up_before = unanswered();
    api.set_impairment(Impairment::None);
    let mut client = world.client(0, STRICT, "a").await;
    world
        .write_until_acknowledged(&mut client, "WRITE farm after")
        .await;
    let orders = world.store.orders();
    let arrived: BTreeSet<u64> = orders.iter().map(|order| order.generation).collect();
    let late: Vec<&u64> = arrived.intersection(&given_up_before).collect();
    expect_that!(late, is_empty());
}

/// Guards against a group that stays without a primary because the box that acts first can't reach
/// the API for promotions.
#[gtest]
#[tokio::test]
async fn another_box_promotes_where_the_first_one_does_not_reach_the_api() {
    for cut_off in 0..2 {
        let (world, api) = start_with_api_behind_proxy(|i| i == cut_off).await;
        api.set_impairment(Impairment::Silent);
        world.crash_member("i-0");
        let mut client = world.client(1 - cut_off, STRICT, "a").await;
        let served = world.write_until_acknowledged(&mut client, "WRITE farm after");
        let served = tokio::time::timeout(Duration::from_secs(20), served).await;
        expect_that!(served, ok(anything()));
    }
}
