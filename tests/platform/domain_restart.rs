//! Restart of a box whose failure domain has other boxes that read the store for it.

use std::time::Duration;

use googletest::prelude::*;

use super::boxes::{Process, Settings};
use super::world::World;

/// More than the boxes of a failure domain that read the store themselves.
const BOXES: usize = 6;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Whether the box leaves reading the store to other boxes.
async fn is_resting(process: &Process) -> bool {
    process.dump().await.contains("\"resting\":true")
}

/// Starts the boxes of one failure domain, and waits until they are ready.
async fn start_domain() -> World {
    let mut world = World::without_boxes().await;
    for i in 0..BOXES {
        world.add_box_in_zone(i, "zone-0", world.store_address);
    }
    for process in &world.boxes {
        process.wait_ready().await;
    }
    world
}

/// Waits until a box rests, and returns its index.
async fn wait_for_resting(world: &World) -> usize {
    loop {
        for (i, process) in world.boxes.iter().enumerate() {
            if is_resting(process).await {
                return i;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the number of the box's calls to the store for rows of a table.
async fn count_store_calls(process: &Process, table: &str) -> u64 {
    count_calls_with(process, &format!("table=\"{table}\"")).await
}

/// Returns the number of the box's calls to the store with a label.
async fn count_calls_with(process: &Process, label: &str) -> u64 {
    let text = process.metrics().await;
    let lines = text
        .lines()
        .filter(|line| line.starts_with("larkfall_store_calls"));
    let lines = lines.filter(|line| line.contains(label));
    let value = |line: &str| line.rsplit(' ').next()?.parse::<u64>().ok();
    lines.filter_map(value).sum()
}

/// Guards against a surge of store calls when many boxes restart: a box that reads every table
/// before it knows which peers to ask.
#[gtest]
#[tokio::test]
async fn a_box_that_restarts_beside_others_reads_only_the_list_of_boxes() {
    let mut world = start_domain().await;
    let resting = wait_for_resting(&world).await;
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

/// Guards against a write and a read of the list by each box when a whole system starts.
#[gtest]
#[tokio::test]
async fn boxes_that_start_together_join_through_a_seed() {
    let world = World::without_boxes().await;
    let all: Vec<Settings> = (0..BOXES)
        .map(|i| Settings::new(&format!("box-{i}"), "zone-0", world.store_address))
        .collect();
    // The first seed doesn't exist any more.
    let gone = Settings::new("gone", "zone-0", world.store_address).control;
    let start = |settings: &Settings| {
        Process::start(Settings {
            seeds: vec![gone, all[0].control],
            bootstrap: true,
            ..settings.clone()
        })
    };
    let processes: Vec<Process> = all.iter().map(start).collect();
    for process in &processes {
        process.wait_ready().await;
    }
    let mut written = 0;
    let mut read_by = 0;
    for process in &processes {
        written += count_calls_with(process, "cause=\"listing\"").await;
        let rows = count_calls_with(process, "table=\"servers\"").await;
        read_by += usize::from(rows > 0);
    }
    // A box that starts late misses the first transaction.
    expect_that!(written, le(2));
    expect_that!(read_by, le(2));
}

/// Guards against a read of the whole list by each box that restarts.
#[gtest]
#[tokio::test]
async fn a_box_that_restarts_learns_its_readers_from_a_seed() {
    let mut world = start_domain().await;
    let resting = wait_for_resting(&world).await;
    let seed = world.boxes[(resting + 1) % BOXES].settings.control;
    let settings = Settings {
        seeds: vec![seed],
        ..world.boxes[resting].settings.clone()
    };
    world.boxes[resting].kill();
    let restarted = Process::start(settings);
    restarted.wait_ready().await;
    for table in ["op", "servers", "larkfall"] {
        expect_that!(count_store_calls(&restarted, table).await, eq(0));
    }
}
