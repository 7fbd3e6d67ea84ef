//! Replacement of primaries that fail, leave, or run while boxes or the store are unreachable.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;
use nix::sys::signal::Signal;

use super::store::Fault;
use super::world::{OWN_WRITES, STRICT, World};

#[gtest]
#[tokio::test]
async fn a_crashed_primary_is_replaced_once_and_no_replica_stays_fenced() {
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
    // The boxes release the fence of the replica that wasn't promoted.
    while !world.group.fenced().is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[gtest]
#[tokio::test]
async fn an_old_primary_that_resumes_acknowledges_no_write() {
    let world = World::start(3).await;
    let mut client = world.client(0, STRICT, "a").await;
    client.run("WRITE farm 0").await.unwrap();
    world.member("i-0").frozen.store(true, Ordering::SeqCst);
    world
        .write_until_acknowledged(&mut client, "WRITE farm 1")
        .await;
    expect_that!(world.group.primary(), not(eq("i-0")));
    world.member("i-0").frozen.store(false, Ordering::SeqCst);
    // The old primary resumes with its old term; boxes must ignore the member's role.
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
    world.store.set_fault(Fault::Busy);
    world.crash_member("i-0");
    world
        .write_until_acknowledged(&mut client, "WRITE farm after")
        .await;
    let orders = world.store.orders();
    let token_holders: BTreeSet<(u64, &str)> =
        orders.iter().map(|o| (o.generation, &*o.holder)).collect();
    let generations: BTreeSet<u64> = token_holders
        .iter()
        .map(|(generation, _)| *generation)
        .collect();
    // No two boxes use the same fencing token.
    expect_that!(generations.len(), eq(token_holders.len()));
    world.store.set_fault(Fault::None);
    let primary = world.group.primary();
    world.crash_member(&primary);
    // Only one of three members still runs, which is no majority.
    let answer = client.run("WRITE farm alone").await.unwrap();
    expect_that!(answer.error, some(anything()));
}

/// Guards against fencing tokens that decrease or are used by two boxes while one box can't reach the
/// store.
#[gtest]
#[tokio::test]
async fn with_one_box_cut_off_from_the_store_fencing_tokens_rise_and_are_never_shared() {
    for cut_off in 0..3 {
        let mut world = World::without_boxes().await;
        let (cut_off_address, cut) = world.store.start_with_cut().await;
        for i in 0..3 {
            match i == cut_off {
                true => world.add_box_with_store(i, cut_off_address),
                false => world.add_box(i),
            }
        }
        for process in &world.boxes {
            process.wait_ready().await;
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
        let generations: Vec<u64> = orders.iter().map(|order| order.generation).collect();
        expect_that!(generations.is_sorted(), eq(true), "{orders:?}");
        let token_holders: BTreeSet<(u64, &str)> =
            orders.iter().map(|o| (o.generation, &*o.holder)).collect();
        let distinct: BTreeSet<u64> = generations.into_iter().collect();
        expect_that!(distinct.len(), eq(token_holders.len()), "{orders:?}");
    }
}

#[gtest]
#[tokio::test]
async fn a_draining_primary_hands_over_all_acknowledged_writes() {
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
async fn a_removed_entry_and_a_draining_replica_keep_the_group_serving() {
    let world = World::start(2).await;
    let mut client = world.client(0, STRICT, "a").await;
    client.run("WRITE farm before").await.unwrap();
    // The store drops the expired entry of a member that still runs.
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

/// Guards against a stopping box that begins to replace the primary and exits before the
/// promotion, which leaves replicas fenced and the group without a primary.
#[gtest]
#[tokio::test]
async fn a_stopping_box_leaves_a_replacement_to_others() {
    for remaining in 0..3 {
        let world = World::start(3).await;
        let mut callers = Vec::new();
        for i in (0..3).filter(|i| *i != remaining) {
            let mut client = world.client(i, STRICT, "a").await;
            client.run("WRITE farm before").await.unwrap();
            callers.push(client);
            world.boxes[i].signal(Signal::SIGTERM);
            while !world.boxes[i].log().contains("\"event\":102") {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        world.crash_member("i-0");
        // Callers of the stopping boxes are the first to notice the crash.
        for client in &mut callers {
            let _ = client.run("WRITE farm lost").await;
        }
        let mut client = world.client(remaining, STRICT, "b").await;
        world
            .write_until_acknowledged(&mut client, "WRITE farm after")
            .await;
        let orders = world.store.orders();
        let holders: BTreeSet<&str> = orders.iter().map(|order| &*order.holder).collect();
        let name = format!("box-{remaining}");
        expect_that!(holders, elements_are![eq(&name.as_str())]);
    }
}
