//! A store that is restored to an earlier state: versions go back and are assigned a second time,
//! and later writes are lost.

use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::borders::table::{Commit, Revision, Table, Verdict, Write};
use larkfall::metrics::Metrics;
use larkfall::platform::store::StoreError;
use larkfall::platform::table::Mirror;
use serde_json::json;
use tokio::task::LocalSet;
use tokio::time::Instant;

use super::client::Client;
use super::restarts::remove_strict_route;
use super::store::{Fault, Store};
use super::store_reads::{
    collect_rows_until, start_mirror, start_mirror_with_metrics, start_reader,
};
use super::world::{STRICT, World, manifest, member_entry};

/// Deadline for a change of the configuration to take effect.
const APPLY_DEADLINE: Duration = Duration::from_secs(3);
/// Delay after a restore until the operator and members repeat their lost writes.
const REWRITE_DELAY: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A rewrite delay longer than any test, so that lost writes aren't repeated.
const NEVER: Duration = Duration::from_secs(600);
/// Deadline for boxes to list themselves again.
const LISTING_DEADLINE: Duration = Duration::from_secs(20);
/// Number of connection attempts that must all be refused.
const ATTEMPTS: usize = 40;

/// Puts manifests that differ in the timeout alone, and waits until every box has read the newest.
async fn put_manifests(world: &World, versions: std::ops::Range<u64>) {
    for version in versions {
        let next = manifest(version, 3_000 + version);
        world.store.put("op", "config", &next);
    }
    for process in &world.boxes {
        let newest = format!("\"revision\":\"{}\"", world.store.version());
        while !process.log().contains(&newest) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Whether a box refuses the strict database in time after its removal.
async fn is_removed_in_time(world: &World, index: usize) -> bool {
    let front = world.boxes[index].settings.front;
    let removed = async {
        while Client::connect(front, STRICT, "a").await.is_ok() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(APPLY_DEADLINE, removed).await.is_ok()
}

/// Guards against boxes that compare revisions by number alone: the restored store's numbers are
/// lower, so boxes would ignore its rows until its numbers pass those from before the restore.
#[gtest]
#[tokio::test]
async fn a_change_after_a_restore_takes_effect_in_time() {
    let world = World::start(3).await;
    let earlier = world.store.version();
    put_manifests(&world, 20..40).await;
    world.store.set_fault(Fault::Silent);
    world.store.restore(earlier, REWRITE_DELAY);
    world.store.set_fault(Fault::None);
    tokio::time::sleep(2 * REWRITE_DELAY).await;
    remove_strict_route(&world, 50);
    for index in 0..world.boxes.len() {
        expect_that!(is_removed_in_time(&world, index).await, eq(true), "{index}");
    }
}

/// Waits until a box has read the restored store.
async fn wait_for_restored_read(world: &World, index: usize) {
    // Revisions of a later era start with the era.
    while !world.boxes[index].log().contains("\"revision\":\"1.") {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Whether a box refuses the strict database at every attempt.
async fn stays_removed(world: &World, index: usize) -> bool {
    let front = world.boxes[index].settings.front;
    for _ in 0..ATTEMPTS {
        if Client::connect(front, STRICT, "a").await.is_ok() {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    true
}

/// Guards against boxes that order the operator's documents by the store's era and version: a
/// restored document would count as newer and bring a removed database back.
#[gtest]
#[tokio::test]
async fn a_restore_brings_no_removed_database_back() {
    let world = World::start(2).await;
    let earlier = world.store.version();
    remove_strict_route(&world, 50);
    for index in 0..2 {
        expect_that!(is_removed_in_time(&world, index).await, eq(true));
    }
    world.store.restore(earlier, NEVER);
    for index in 0..2 {
        wait_for_restored_read(&world, index).await;
        expect_that!(stays_removed(&world, index).await, eq(true), "{index}");
    }
}

/// Guards against a box that starts after a restore and serves a removed database, because it
/// trusts the store's document and doesn't ask its peers for a newer one.
#[gtest]
#[tokio::test]
async fn a_box_that_starts_after_a_restore_learns_the_newer_document_from_a_peer() {
    let mut world = World::start(2).await;
    for name in ["box/box-0", "box/box-1"] {
        world.store.wait_for_row("larkfall", name).await;
    }
    let earlier = world.store.version();
    remove_strict_route(&world, 50);
    for index in 0..2 {
        expect_that!(is_removed_in_time(&world, index).await, eq(true));
    }
    world.store.restore(earlier, NEVER);
    world.add_box(2);
    world.boxes[2].wait_ready().await;
    expect_that!(is_removed_in_time(&world, 2).await, eq(true));
}

/// Once the restored store's versions have passed a position, only the era tells that the changes
/// after that position are incomplete.
#[gtest]
#[tokio::test]
async fn changes_after_a_position_of_an_earlier_era_are_rejected() {
    let store = Store::default();
    store.put("op", "a", &json!(1));
    let earlier = store.version();
    store.put("op", "b", &json!(1));
    let reader = start_reader(&store).await;
    let read = reader.read_all("op").await.expect("the store answers");
    store.restore(earlier, NEVER);
    for key in ["c", "d", "e"] {
        store.put("op", key, &json!(1));
    }
    let changes = reader
        .read_changes("op", read.revision, Duration::ZERO)
        .await;
    expect_that!(changes.err(), some(eq(&StoreError::EraChanged)));
    expect_that!(reader.is_current(read.revision), eq(false));
}

#[gtest]
#[tokio::test]
async fn a_read_with_pages_of_two_eras_is_rejected() {
    let store = Store::default();
    for key in ["a", "b", "c"] {
        store.put("op", key, &json!(1));
    }
    store.page_reads_and_restore(1, store.version());
    let reader = start_reader(&store).await;
    let read = reader.read_all("op").await;
    expect_that!(read.err(), some(eq(&StoreError::EraChanged)));
    expect_that!(
        reader.read_all("op").await.map(|read| read.rows.len()),
        ok(eq(&3))
    );
}

#[gtest]
#[tokio::test]
async fn a_late_answer_of_an_earlier_era_is_rejected() {
    let store = Store::default();
    store.put("op", "a", &json!(1));
    store.set_era(5);
    let reader = start_reader(&store).await;
    expect_that!(reader.read_all("op").await.is_ok(), eq(true));
    store.set_era(4);
    let late = reader.read_all("op").await;
    expect_that!(late.err(), some(eq(&StoreError::EraChanged)));
}

/// A restored store may never answer a wait for changes that began before the restore. An answer
/// about another table names the new era, which ends the wait.
#[gtest]
#[tokio::test]
async fn a_wait_for_changes_of_an_earlier_era_is_aborted() {
    let store = Store::default();
    store.put("op", "config", &manifest(3, 3_000));
    let earlier = store.version();
    let check = async {
        let metrics: Rc<Metrics> = Rc::default();
        let _mirror = start_mirror_with_metrics(&store, metrics.clone()).await;
        let calls = |cause: &str| {
            let text = metrics.text();
            let label = format!("cause=\"{cause}\",table=\"servers\"");
            let line = text.lines().find(|line| line.contains(&label));
            line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
                .unwrap_or(0)
        };
        while calls("wait") == 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        store.silence_table("servers");
        store.restore(earlier, NEVER);
        store.put("op", "config", &manifest(4, 3_000));
        let restarted = async {
            while calls("start") < 2 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let restarted = tokio::time::timeout(APPLY_DEADLINE, restarted).await;
        expect_that!(restarted.is_ok(), eq(true));
    };
    LocalSet::new().run_until(check).await;
}

fn duty(holder: &str) -> serde_json::Value {
    json!({"holder": holder, "generation": 7})
}

async fn claim(mirror: &Mirror, expect: Revision) -> Verdict {
    let commit = Commit {
        nonce: "n".to_owned(),
        writes: vec![Write {
            key: "duty/a".into(),
            expect: Some(expect),
            value: Some(duty("mine")),
        }],
    };
    mirror.commit(&commit).await.expect("the store answers")
}

/// Guards against a box that claims a duty which another box has just claimed, because the version
/// in its condition was assigned a second time, to the other box's row.
#[gtest]
#[tokio::test]
async fn a_condition_on_a_version_of_an_earlier_era_fails() {
    let store = Store::default();
    store.put("op", "config", &manifest(3, 3_000));
    let earlier = store.version();
    store.put("larkfall", "duty/a", &duty("before"));
    let check = async {
        let mirror = start_mirror(&store).await;
        let read = collect_rows_until(&mirror, "duty/a").await;
        let row = read.iter().find(|row| *row.key == *"duty/a");
        let revision = row.expect("the row was read").revision;
        store.restore(earlier, NEVER);
        store.put("larkfall", "duty/a", &duty("another"));
        let verdict = claim(&mirror, revision).await;
        expect_that!(verdict, matches_pattern!(Verdict::Conflict { .. }));
    };
    LocalSet::new().run_until(check).await;
}

/// Guards against a box that joined after the restored state and stays off the list of boxes.
#[gtest]
#[tokio::test]
async fn a_box_that_a_restored_store_does_not_list_lists_itself_again() {
    let mut world = World::without_boxes().await;
    let earlier = world.store.version();
    world.add_box(0);
    world.add_box(1);
    for (index, name) in ["box/box-0", "box/box-1"].into_iter().enumerate() {
        world.boxes[index].wait_ready().await;
        world.store.wait_for_row("larkfall", name).await;
    }
    world.store.restore(earlier, REWRITE_DELAY);
    let listed = async {
        for name in ["box/box-0", "box/box-1"] {
            world.store.wait_for_row("larkfall", name).await;
        }
    };
    let listed = tokio::time::timeout(LISTING_DEADLINE, listed).await;
    expect_that!(listed.is_ok(), eq(true));
}

/// Guards against statements that a box sends to a draining member for too long: the restore lost
/// the member's entry, and the box would count the entry's age from the repeated write alone.
#[gtest]
#[tokio::test]
async fn the_age_of_a_repeated_entry_includes_the_silence_before_a_restore() {
    let outage = Duration::from_millis(400);
    let store = Store::default();
    store.put("op", "config", &manifest(3, 3_000));
    store.put(
        "servers",
        "i-0",
        &member_entry(0, ([127, 0, 0, 1], 1).into(), "ready"),
    );
    let check = async {
        let mirror = start_mirror(&store).await;
        collect_rows_until(&mirror, "resource/member/platform/db1.i-0").await;
        let earlier = store.version();
        store.set_fault(Fault::Silent);
        store.put(
            "servers",
            "i-1",
            &member_entry(1, ([127, 0, 0, 1], 1).into(), "draining"),
        );
        tokio::time::sleep(outage).await;
        // The member repeats its entry only after the restored store was read.
        store.restore(earlier, 4 * REWRITE_DELAY);
        store.set_fault(Fault::None);
        store.put("op", "config", &manifest(4, 3_000));
        let lag = loop {
            let scan = mirror.scan(Revision::NONE).await.unwrap_or_default();
            if scan.rows.iter().any(|row| row.key.ends_with("i-1")) {
                break scan.lag_ms;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        };
        let lag = lag.map(Duration::from_millis);
        expect_that!(lag, some(ge(outage)));
    };
    LocalSet::new().run_until(check).await;
}

/// `FLEET=71 cargo test --release --test platform store_restore::a_fleet -- --ignored --nocapture`
/// prints how long a change takes and how many store calls a restore causes, for 71 boxes.
#[gtest]
#[ignore = "starts many processes, by hand"]
#[tokio::test]
async fn a_fleet_applies_a_change_in_time_after_each_of_three_restores() {
    let count = std::env::var("FLEET").map_or(9, |text| text.parse().expect("a number"));
    let mut world = World::without_boxes().await;
    let earlier = world.store.version();
    for i in 0..count {
        world.add_box(i);
    }
    for process in &world.boxes {
        process.wait_ready().await;
    }
    tokio::time::sleep(2 * APPLY_DEADLINE).await;
    for round in 0..3 {
        world.store.set_fault(Fault::Silent);
        tokio::time::sleep(REWRITE_DELAY).await;
        // The first restore loses the whole list of boxes.
        let version = if round == 0 {
            earlier
        } else {
            world.store.version() - 1
        };
        let calls = world.store.calls();
        world.store.restore(version, REWRITE_DELAY);
        world.store.set_fault(Fault::None);
        let added = world.add_database();
        let start = Instant::now();
        for process in &world.boxes {
            while Client::connect(process.settings.front, &added, "a")
                .await
                .is_err()
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        let took = start.elapsed();
        tokio::time::sleep(4 * APPLY_DEADLINE).await;
        let calls = world.store.calls() - calls;
        println!("{count} boxes, copy {round}: in force after {took:?}, {calls} calls in 12 s");
        expect_that!(took, le(APPLY_DEADLINE));
    }
}
