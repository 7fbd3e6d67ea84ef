//! Boxes of one failure domain that read the store for each other.

use std::time::Duration;

use googletest::prelude::*;

use super::boxes::Process;
use super::world::World;

/// More than read for themselves each.
const BOXES: usize = 6;
const PAUSE: Duration = Duration::from_millis(20);

async fn rests(started: &Process) -> bool {
    started.dump().await.contains("\"resting\":true")
}

/// Calls to the store for rows of a table.
async fn calls(started: &Process, table: &str) -> u64 {
    let text = started.metrics().await;
    let label = format!("table=\"{table}\"");
    let counted = text
        .lines()
        .filter(|line| line.starts_with("larkfall_store_calls"));
    let counted = counted.filter(|line| line.contains(&label));
    let count = |line: &str| line.rsplit(' ').next()?.parse::<u64>().ok();
    counted.filter_map(count).sum()
}

/// Each box read all tables at its start, and waited for changes of each until it knew whom
/// to ask: 2,595 calls of 195 boxes that started together, of 3,465 in a calm day.
#[gtest]
#[tokio::test]
async fn a_box_that_starts_again_beside_others_reads_nothing_but_the_list_of_boxes() {
    let mut world = World::without_boxes().await;
    for i in 0..BOXES {
        world.add_box_in(i, "zone-0", world.store_address);
    }
    for started in &world.boxes {
        started.wait_ready().await;
    }
    let resting = loop {
        let mut found = None;
        for (i, started) in world.boxes.iter().enumerate() {
            if rests(started).await {
                found = Some(i);
            }
        }
        match found {
            Some(i) => break i,
            None => tokio::time::sleep(PAUSE).await,
        }
    };
    let place = world.boxes[resting].place.clone();
    world.boxes[resting].kill();
    let started = Process::start(place);
    started.wait_ready().await;
    expect_that!(calls(&started, "op").await, eq(0));
    expect_that!(calls(&started, "servers").await, eq(0));
    expect_that!(calls(&started, "larkfall").await, all![ge(1), le(2)]);
}
