//! Settings that change while a box runs.

use std::time::Duration;

use googletest::prelude::*;
use larkfall::platform::node_file::File;
use nix::sys::signal::Signal;

use super::boxes::{Process, Settings};
use super::client::Client;
use super::world::{STRICT, World};

const PAUSE: Duration = Duration::from_millis(20);

/// Waits until the file was read again with this outcome, so many times.
async fn wait_read(started: &Process, outcome: &str, times: u32) {
    let wanted = format!("outcome=\"{outcome}\"");
    let ends = format!(" {times}");
    let shows = |text: &str| {
        let mut lines = text.lines();
        lines.any(|line| {
            let counts = line.starts_with("larkfall_settings_reads") && line.contains(&wanted);
            counts && line.ends_with(&ends)
        })
    };
    while !shows(&started.metrics().await) {
        tokio::time::sleep(PAUSE).await;
    }
}

/// Before, a signal changed nothing.
#[gtest]
#[tokio::test]
async fn a_box_takes_over_what_may_change_and_keeps_its_callers() {
    let world = World::start(1).await;
    let started = &world.boxes[0];
    let mut client = world.client(0, STRICT, "a").await;
    started.replace_in_settings("max_fds: 1000", "max_fds: 0");
    started.signal(Signal::SIGHUP);
    wait_read(started, "taken", 1).await;
    expect_that!(client.run("READ farm").await.unwrap().error, none());
    let refused = Client::connect(started.settings.front, STRICT, "b").await;
    expect_that!(refused.is_err(), eq(true));
    // Without a signal too, once the file is looked at.
    started.replace_in_settings("max_fds: 1000", "max_fds: 900");
    wait_read(started, "taken", 2).await;
    let taken = Client::connect(started.settings.front, STRICT, "c").await;
    expect_that!(taken.is_ok(), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_file_that_holds_anything_wrong_changes_nothing() {
    let world = World::start(1).await;
    let started = &world.boxes[0];
    for (times, wrong) in [(1, "max_fds: many"), (2, "max_fds: 0\n  max_fds: 0")] {
        started.replace_in_settings("max_fds: 1000", wrong);
        started.signal(Signal::SIGHUP);
        wait_read(started, "refused", times).await;
    }
    let taken = Client::connect(started.settings.front, STRICT, "a").await;
    expect_that!(taken.is_ok(), eq(true));
}

/// A time without end would have ended the process: a duration is made of it.
#[gtest]
fn what_is_wrong_in_a_file_is_named_by_its_field() {
    let store = "127.0.0.1:9".parse().expect("an address");
    let text = Settings::new("b", "z", store).yaml();
    let wrong = [
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
    for (good, bad, field) in wrong {
        let findings = File::parse("f", &text.replace(good, bad)).expect_err("it is wrong");
        let fields: Vec<&str> = findings.iter().map(|finding| &*finding.field).collect();
        expect_that!(fields, elements_are![eq(&field)]);
    }
}
