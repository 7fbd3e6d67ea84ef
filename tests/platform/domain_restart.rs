//! Restart of a box whose failure domain has other boxes that read the store for it.

use std::time::Duration;

use googletest::prelude::*;

use super::boxes::Process;
use super::world::World;

/// More than the boxes of a failure domain that read the store themselves.
const BOXES: usize = 6;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Whether the box leaves reading the store to other boxes.
async fn is_resting(process: &Process) -> bool {
    process.dump().await.contains("\"resting\":true")
}

/// Returns the number of the box's calls to the store for rows of a table.
async fn count_store_calls(process: &Process, table: &str) -> u64 {
    let text = process.metrics().await;
    let label = format!("table=\"{table}\"");
    let lines = text
        .lines()
        .filter(|line| line.starts_with("larkfall_store_calls"));
    let lines = lines.filter(|line| line.contains(&label));
    let value = |line: &str| line.rsplit(' ').next()?.parse::<u64>().ok();
    lines.filter_map(value).sum()
}

/// Guards against a surge of store calls when many boxes restart: a box that reads every table
/// before it knows which peers to ask.
#[gtest]
#[tokio::test]
async fn a_box_that_restarts_beside_others_reads_only_the_list_of_boxes() {
    let mut world = World::without_boxes().await;
    for i in 0..BOXES {
        world.add_box_in_zone(i, "zone-0", world.store_address);
    }
    for process in &world.boxes {
        process.wait_ready().await;
    }
    let resting = loop {
        let mut found = None;
        for (i, process) in world.boxes.iter().enumerate() {
            if is_resting(process).await {
                found = Some(i);
            }
        }
        match found {
            Some(i) => break i,
            None => tokio::time::sleep(POLL_INTERVAL).await,
        }
    };
    let settings = world.boxes[resting].settings.clone();
    world.boxes[resting].kill();
    let restarted = Process::start(settings);
    restarted.wait_ready().await;
    expect_that!(count_store_calls(&restarted, "op").await, eq(0));
    expect_that!(count_store_calls(&restarted, "servers").await, eq(0));
    expect_that!(
        count_store_calls(&restarted, "larkfall").await,
        all![ge(1), le(2)]
    );
}
