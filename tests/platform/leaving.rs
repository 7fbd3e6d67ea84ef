//! Members that leave, at boxes that did not hear of it when it was said.
//!
//! The time of a leaving member runs from its word. A box that started later counted from its
//! own start, and one whose connections were silent from when it heard.

use std::time::Duration;

use googletest::prelude::*;

use super::client::Client;
use super::world::{STRICT, World};

const PAUSE: Duration = Duration::from_millis(20);
/// Writes that are tried: a box that has just started refuses some until it knows a primary.
const TRIES: usize = 60;

/// A group of which one member is left.
async fn lone_member() -> World {
    let world = World::without_boxes().await;
    for id in ["i-1", "i-2"] {
        world.store.put_raw("servers", id, None);
    }
    world
}

async fn add_box(world: &mut World, i: usize) {
    world.add_box(i);
    world.boxes[i].wait_ready().await;
}

/// Writes until one is refused.
async fn write_until_refused(client: &mut Client) -> String {
    loop {
        let answer = client.run("WRITE farm late").await.expect("it goes on");
        if let Some(code) = answer.error {
            return code;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Whether one of some writes is acknowledged.
async fn is_served(client: &mut Client) -> bool {
    for _ in 0..TRIES {
        let answer = client.run("WRITE farm late").await.expect("it goes on");
        if answer.error.is_none() {
            return true;
        }
        tokio::time::sleep(PAUSE).await;
    }
    false
}

#[gtest]
#[tokio::test]
async fn a_box_that_starts_learns_from_another_how_long_ago_a_member_left() {
    let mut world = lone_member().await;
    add_box(&mut world, 0).await;
    let mut early = world.client(0, STRICT, "e").await;
    early.run("WRITE farm first").await.unwrap();
    world.drain_member("i-0");
    // Another that knows still sends.
    add_box(&mut world, 1).await;
    // Before that it passes statements on to the first.
    world.wait_for_primary().await;
    let mut second = world.client(1, STRICT, "s").await;
    expect_that!(is_served(&mut second).await, eq(true));
    expect_that!(write_until_refused(&mut early).await, eq("RETRY"));
    expect_that!(write_until_refused(&mut second).await, eq("RETRY"));
    add_box(&mut world, 2).await;
    let mut third = world.client(2, STRICT, "t").await;
    expect_that!(is_served(&mut third).await, eq(false));
}

/// Where no box is left that heard the word, its age can't be told: the time may be over.
#[gtest]
#[tokio::test]
async fn a_member_that_left_before_any_box_started_gets_nothing() {
    let mut world = lone_member().await;
    world.drain_member("i-0");
    add_box(&mut world, 0).await;
    let mut client = world.client(0, STRICT, "c").await;
    expect_that!(is_served(&mut client).await, eq(false));
}
