//! A failure domain in which two boxes read the store and the others follow them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use googletest::prelude::*;

use super::restarts::{read_until_outcome, remove_strict_route};
use super::world::{OWN_WRITES, STRICT, World};

const BOXES: usize = 6;

/// Starts boxes in one failure domain. Each has its own address for the store, with a flag that
/// cuts its access.
async fn start_boxes() -> (World, Vec<Arc<AtomicBool>>) {
    let mut world = World::without_boxes().await;
    let mut cuts = Vec::new();
    for i in 0..BOXES {
        let (address, cut) = world.store.start_with_cut().await;
        world.add_box_in_zone(i, "zone-0", address);
        cuts.push(cut);
    }
    for process in &world.boxes {
        process.wait_ready().await;
    }
    (world, cuts)
}

/// Returns the indices of the boxes that leave reading the store to others.
async fn resting_boxes(world: &World) -> Vec<usize> {
    let mut resting = Vec::new();
    for (i, process) in world.boxes.iter().enumerate() {
        if process.dump().await.contains("\"resting\":true") {
            resting.push(i);
        }
    }
    resting
}

/// Waits until exactly `count` boxes rest, and returns their indices.
async fn wait_for_resting(world: &World, count: usize) -> Vec<usize> {
    loop {
        let resting = resting_boxes(world).await;
        if resting.len() == count {
            return resting;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[gtest]
#[tokio::test]
async fn resting_boxes_learn_of_changes_without_access_to_the_store() {
    let (world, cuts) = start_boxes().await;
    let resting = wait_for_resting(&world, BOXES - 2).await;
    for i in &resting {
        cuts[*i].store(true, Ordering::SeqCst);
    }
    let mut clients = Vec::new();
    for i in &resting {
        clients.push(world.client(*i, STRICT, "a").await);
    }
    remove_strict_route(&world, 30);
    for client in &mut clients {
        read_until_outcome(client, Some("NODB")).await;
    }
}

#[gtest]
#[tokio::test]
async fn resting_boxes_learn_of_changes_when_their_readers_are_cut_off_from_the_store() {
    let (world, cuts) = start_boxes().await;
    let resting = wait_for_resting(&world, BOXES - 2).await;
    for (i, cut) in cuts.iter().enumerate() {
        cut.store(!resting.contains(&i), Ordering::SeqCst);
    }
    remove_strict_route(&world, 30);
    let mut client = world.client(resting[0], OWN_WRITES, "a").await;
    read_until_outcome(&mut client, None).await;
    for i in &resting {
        loop {
            let client =
                super::client::Client::connect(world.boxes[*i].settings.front, STRICT, "b");
            if client.await.is_err_and(|error| error.contains("NODB")) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
