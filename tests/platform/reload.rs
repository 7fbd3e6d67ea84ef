//! Settings that change while a box runs.

use std::time::Duration;

use googletest::prelude::*;
use larkfall::platform::node_file::File;
use nix::sys::signal::Signal;

use super::boxes::{Process, Settings};
use super::client::Client;
use super::world::{STRICT, World};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the box has reread the settings file `count` times with this outcome.
async fn wait_for_reloads(process: &Process, outcome: &str, count: u32) {
    let label = format!("outcome=\"{outcome}\"");
    let value = format!(" {count}");
    let matches = |text: &str| {
        let mut lines = text.lines();
        lines.any(|line| {
            let is_counter = line.starts_with("larkfall_settings_reads") && line.contains(&label);
            is_counter && line.ends_with(&value)
        })
    };
    while !matches(&process.metrics().await) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against ignoring `SIGHUP`, and against closing open sessions on a reload.
#[gtest]
#[tokio::test]
async fn a_box_applies_changed_settings_and_keeps_open_sessions() {
    let world = World::start(1).await;
    let process = &world.boxes[0];
    let mut client = world.client(0, STRICT, "a").await;
    process.replace_in_settings("max_fds: 1000", "max_fds: 0");
    process.signal(Signal::SIGHUP);
    wait_for_reloads(process, "taken", 1).await;
    expect_that!(client.run("READ farm").await.unwrap().error, none());
    let refused = Client::connect(process.settings.front, STRICT, "b").await;
    expect_that!(refused.is_err(), eq(true));
    // The box also notices a changed file without a signal.
    process.replace_in_settings("max_fds: 1000", "max_fds: 900");
    wait_for_reloads(process, "taken", 2).await;
    let accepted = Client::connect(process.settings.front, STRICT, "c").await;
    expect_that!(accepted.is_ok(), eq(true));
}

#[gtest]
#[tokio::test]
async fn an_invalid_settings_file_changes_nothing() {
    let world = World::start(1).await;
    let process = &world.boxes[0];
    for (count, invalid) in [(1, "max_fds: many"), (2, "max_fds: 0\n  max_fds: 0")] {
        process.replace_in_settings("max_fds: 1000", invalid);
        process.signal(Signal::SIGHUP);
        wait_for_reloads(process, "refused", count).await;
    }
    let accepted = Client::connect(process.settings.front, STRICT, "a").await;
    expect_that!(accepted.is_ok(), eq(true));
}

/// Guards against a panic on an infinite or negative time, which can't become a `Duration`.
#[gtest]
fn invalid_settings_are_reported_with_their_field() {
    let store = "127.0.0.1:9".parse().expect("an address");
    let text = Settings::new("b", "z", store).yaml();
    let cases = [
        ("grace_s: 4", "grace_s: .inf", "bounds.grace_s"),
        (
            "grace_s: 4",
            "grace_s: 4\n  drain_ms: -1",
            "bounds.drain_ms",
        ),
        (
            "platform:\n  address: \"127.0.0.1:9\"",
            "platform:\n  address: \"x\"",
            "platform.address",
        ),
    ];
    for (valid, invalid, field) in cases {
        let findings =
            File::parse("f", &text.replace(valid, invalid)).expect_err("the file is invalid");
        let fields: Vec<&str> = findings.iter().map(|finding| &*finding.field).collect();
        expect_that!(fields, elements_are![eq(&field)]);
    }
}
