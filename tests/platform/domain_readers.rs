//! A failure domain with many boxes, of which two read the store for the others.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use googletest::prelude::*;

use super::restarts::{read_until, remove_route};
use super::world::{OWN, STRICT, World};

const BOXES: usize = 6;

/// Boxes of one failure domain, each with a way of its own to the store that can be cut.
async fn crowd() -> (World, Vec<Arc<AtomicBool>>) {
    let mut world = World::without_boxes().await;
    let mut cuts = Vec::new();
    for i in 0..BOXES {
        let (address, cut) = world.store.start_apart().await;
        world.add_box_in(i, "zone-0", address);
        cuts.push(cut);
    }
    for started in &world.boxes {
        started.wait_ready().await;
    }
    (world, cuts)
}

/// Boxes whose table rests, as their dumps say.
async fn resting(world: &World) -> Vec<usize> {
    let mut resting = Vec::new();
    for (i, started) in world.boxes.iter().enumerate() {
        if started.dump().await.contains("\"resting\":true") {
            resting.push(i);
        }
    }
    resting
}

async fn wait_resting(world: &World, count: usize) -> Vec<usize> {
    loop {
        let resting = resting(world).await;
        if resting.len() == count {
            return resting;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[gtest]
#[tokio::test]
async fn boxes_that_read_nothing_hear_of_changes_and_ask_for_little() {
    let (world, cuts) = crowd().await;
    let resting = wait_resting(&world, BOXES - 2).await;
    // They need no way to the store for it.
    for i in &resting {
        cuts[*i].store(true, Ordering::SeqCst);
    }
    let mut clients = Vec::new();
    for i in &resting {
        clients.push(world.client(*i, STRICT, "a").await);
    }
    remove_route(&world, 30);
    for client in &mut clients {
        read_until(client, Some("NODB")).await;
    }
}

#[gtest]
#[tokio::test]
async fn readers_that_are_cut_off_from_the_store_hold_up_nobody() {
    let (world, cuts) = crowd().await;
    let resting = wait_resting(&world, BOXES - 2).await;
    for (i, cut) in cuts.iter().enumerate() {
        cut.store(!resting.contains(&i), Ordering::SeqCst);
    }
    remove_route(&world, 30);
    let mut client = world.client(resting[0], OWN, "a").await;
    read_until(&mut client, None).await;
    for i in &resting {
        loop {
            let client = super::client::Client::connect(world.boxes[*i].place.front, STRICT, "b");
            if client.await.is_err_and(|error| error.contains("NODB")) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
