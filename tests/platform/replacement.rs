//! Primaries that fail, leave or are cut off.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;
use nix::sys::signal::Signal;

use super::store::Fault;
use super::world::{OWN_WRITES, STRICT, World};

#[gtest]
#[tokio::test]
async fn a_crashed_primary_is_replaced_once_and_all_replicas_receive_again() {
    let world = World::start(3).await;
    let mut client = world.client(0, STRICT, "a").await;
    client.run("WRITE farm before").await.unwrap();
    world.crash_member("i-0");
    let codes = world
        .write_until_acknowledged(&mut client, "WRITE farm after")
        .await;
    for code in &codes {
        expect_that!(code, any![eq("RETRY"), eq("UNKNOWN"), eq("OVERLOAD")]);
    }
    let primary = world.group.primary();
    expect_that!(primary, not(eq("i-0")));
    let log = world.group.log(&primary);
    expect_that!(log[0].value, eq("before"));
    let orders = world.store.orders();
    let generations: BTreeSet<u64> = orders.iter().map(|order| order.generation).collect();
    let holders: BTreeSet<&str> = orders.iter().map(|order| &*order.holder).collect();
    expect_that!(generations.len(), eq(1));
    expect_that!(holders.len(), eq(1));
    // The fence of a promotion's loser is taken back.
    while !world.group.fenced().is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[gtest]
#[tokio::test]
async fn an_old_primary_that_lives_on_acknowledges_nothing_more() {
    let world = World::start(3).await;
    let mut client = world.client(0, STRICT, "a").await;
    client.run("WRITE farm 0").await.unwrap();
    world.member("i-0").frozen.store(true, Ordering::SeqCst);
    world
        .write_until_acknowledged(&mut client, "WRITE farm 1")
        .await;
    expect_that!(world.group.primary(), not(eq("i-0")));
    world.member("i-0").frozen.store(false, Ordering::SeqCst);
    // It wakes as the primary of the old term; no box takes its word.
    let mut other = world.client(1, STRICT, "b").await;
    for round in 2..30 {
        let answer = other.run(&format!("WRITE farm {round}")).await.unwrap();
        if answer.error.is_none() {
            let primary = world.group.primary();
            let ids: Vec<String> = world
                .group
                .log(&primary)
                .iter()
                .map(|e| e.id.clone())
                .collect();
            expect_that!(ids, contains(eq(&other.last_id())));
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_primary_is_replaced_while_the_store_is_away() {
    let world = World::start(3).await;
    let mut client = world.client(0, STRICT, "a").await;
    client.run("WRITE farm before").await.unwrap();
    world.store.set_fault(Fault::Unavailable);
    world.crash_member("i-0");
    world
        .write_until_acknowledged(&mut client, "WRITE farm after")
        .await;
    let orders = world.store.orders();
    let used: BTreeSet<(u64, &str)> = orders.iter().map(|o| (o.generation, &*o.holder)).collect();
    let generations: BTreeSet<u64> = used.iter().map(|(generation, _)| *generation).collect();
    // No two boxes ever use one number.
    expect_that!(generations.len(), eq(used.len()));
    world.store.set_fault(Fault::None);
    let primary = world.group.primary();
    world.crash_member(&primary);
    // One member is left of three: no majority may acknowledge.
    let answer = client.run("WRITE farm alone").await.unwrap();
    expect_that!(answer.error, some(anything()));
}

/// As on `bench/days/node-cut-mix.toml`.
#[gtest]
#[tokio::test]
async fn with_one_box_cut_off_from_the_store_numbers_of_orders_rise_and_are_never_shared() {
    for cut_off in 0..3 {
        let mut world = World::without_boxes().await;
        let (door, cut) = world.store.start_with_cut().await;
        for i in 0..3 {
            match i == cut_off {
                true => world.add_box_with_store(i, door),
                false => world.add_box(i),
            }
        }
        for started in &world.boxes {
            started.wait_ready().await;
        }
        world.wait_for_primary().await;
        let mut client = world.client(0, STRICT, "a").await;
        client.run("WRITE farm before").await.unwrap();
        cut.store(true, Ordering::SeqCst);
        world.crash_member("i-0");
        world
            .write_until_acknowledged(&mut client, "WRITE farm after")
            .await;
        let orders = world.store.orders();
        let numbers: Vec<u64> = orders.iter().map(|order| order.generation).collect();
        expect_that!(numbers.is_sorted(), eq(true), "{orders:?}");
        let used: BTreeSet<(u64, &str)> =
            orders.iter().map(|o| (o.generation, &*o.holder)).collect();
        let numbers: BTreeSet<u64> = numbers.into_iter().collect();
        expect_that!(numbers.len(), eq(used.len()), "{orders:?}");
    }
}

#[gtest]
#[tokio::test]
async fn a_leaving_primary_hands_over_what_it_acknowledged() {
    let world = World::start(2).await;
    let mut client = world.client(0, OWN_WRITES, "a").await;
    for round in 0..10 {
        client.run(&format!("WRITE farm {round}")).await.unwrap();
    }
    world.drain_member("i-0");
    let mut acknowledged = Vec::new();
    while world.group.primary() == "i-0" {
        let answer = client.run("WRITE farm more").await.unwrap();
        if answer.error.is_none() {
            acknowledged.push(client.last_id());
        }
    }
    world
        .write_until_acknowledged(&mut client, "WRITE farm last")
        .await;
    let log = world.group.log(&world.group.primary());
    let ids: BTreeSet<String> = log.iter().map(|entry| entry.id.clone()).collect();
    for id in &acknowledged {
        expect_that!(ids, contains(eq(id)));
    }
}

#[gtest]
#[tokio::test]
async fn a_member_that_goes_and_another_that_comes_keep_the_group_serving() {
    let world = World::start(2).await;
    let mut client = world.client(0, STRICT, "a").await;
    client.run("WRITE farm before").await.unwrap();
    // An entry that lapses while its member lives comes back.
    world.store.put_raw("servers", "i-2", None);
    for _ in 0..20 {
        let answer = client.run("READ farm").await.unwrap();
        expect_that!(answer.error, none());
    }
    world.drain_member("i-2");
    for round in 0..20 {
        let answer = client.run(&format!("WRITE farm {round}")).await.unwrap();
        expect_that!(answer.error, none());
    }
}

/// What users saw: boxes that were being stopped began to replace the primary and ended before
/// they were done. The fences stayed, and the group had no primary for seconds.
#[gtest]
#[tokio::test]
async fn a_box_that_stops_leaves_a_replacement_to_others() {
    for stays in 0..3 {
        let world = World::start(3).await;
        let mut callers = Vec::new();
        for i in (0..3).filter(|i| *i != stays) {
            let mut client = world.client(i, STRICT, "a").await;
            client.run("WRITE farm before").await.unwrap();
            callers.push(client);
            world.boxes[i].signal(Signal::SIGTERM);
            while !world.boxes[i].log().contains("\"event\":102") {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        world.crash_member("i-0");
        // Their callers are the first to meet the crash.
        for client in &mut callers {
            let _ = client.run("WRITE farm lost").await;
        }
        let mut client = world.client(stays, STRICT, "b").await;
        world
            .write_until_acknowledged(&mut client, "WRITE farm after")
            .await;
        let orders = world.store.orders();
        let holders: BTreeSet<&str> = orders.iter().map(|order| &*order.holder).collect();
        let name = format!("box-{stays}");
        expect_that!(holders, elements_are![eq(&name.as_str())]);
    }
}
