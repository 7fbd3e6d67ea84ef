//! Members that leave before a box starts.
//!
//! The drain limit, after which a leaving member gets no more statements, counts from the member's
//! announcement that it leaves, not from when a box starts or learns of the announcement.

use std::time::Duration;

use googletest::prelude::*;

use super::client::Client;
use super::world::{STRICT, World};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A box that has just started refuses some writes until it knows the primary.
const MAX_WRITE_ATTEMPTS: usize = 60;

/// Starts a group with `i-0` as its only member.
async fn start_single_member() -> World {
    let world = World::without_boxes().await;
    for id in ["i-1", "i-2"] {
        world.store.put_raw("servers", id, None);
    }
    world
}

async fn add_ready_box(world: &mut World, i: usize) {
    world.add_box(i);
    world.boxes[i].wait_ready().await;
}

/// Writes until a write is refused, and returns its error code.
async fn write_until_refused(client: &mut Client) -> String {
    loop {
        let answer = client
            .run("WRITE farm late")
            .await
            .expect("the session stays open");
        if let Some(code) = answer.error {
            return code;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Whether one of [`MAX_WRITE_ATTEMPTS`] writes is acknowledged.
async fn accepts_writes(client: &mut Client) -> bool {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let answer = client
            .run("WRITE farm late")
            .await
            .expect("the session stays open");
        if answer.error.is_none() {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}

#[gtest]
#[tokio::test]
async fn a_box_that_starts_learns_from_another_how_long_ago_a_member_left() {
    let mut world = start_single_member().await;
    add_ready_box(&mut world, 0).await;
    let mut first = world.client(0, STRICT, "e").await;
    first.run("WRITE farm first").await.unwrap();
    world.drain_member("i-0");
    // A box that starts before the member's drain limit still sends statements to the member.
    add_ready_box(&mut world, 1).await;
    // Until the new box knows the primary, it forwards statements to the first box.
    world.wait_for_primary().await;
    let mut second = world.client(1, STRICT, "s").await;
    expect_that!(accepts_writes(&mut second).await, eq(true));
    expect_that!(write_until_refused(&mut first).await, eq("RETRY"));
    expect_that!(write_until_refused(&mut second).await, eq("RETRY"));
    add_ready_box(&mut world, 2).await;
    let mut third = world.client(2, STRICT, "t").await;
    expect_that!(accepts_writes(&mut third).await, eq(false));
}

/// If no running box saw the announcement, its age is unknown, and the drain limit may have
/// passed.
#[gtest]
#[tokio::test]
async fn a_member_that_left_before_any_box_started_gets_no_statements() {
    let mut world = start_single_member().await;
    world.drain_member("i-0");
    add_ready_box(&mut world, 0).await;
    let mut client = world.client(0, STRICT, "c").await;
    expect_that!(accepts_writes(&mut client).await, eq(false));
}
