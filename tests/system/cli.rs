//! The command line: flags, findings and exit codes.

use std::process::{Command, Output};

use googletest::prelude::*;

use super::support::PROGRAM;

fn run_larkfall(arguments: &[&str]) -> Output {
    let output = Command::new(PROGRAM).args(arguments).output();
    output.expect("the program runs")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[gtest]
fn an_unknown_flag_is_rejected() {
    let output = run_larkfall(&["run", "--colour", "red"]);
    expect_that!(output.status.code(), some(eq(2)));
    expect_that!(stderr(&output), contains_substring("--colour"));
}

#[gtest]
fn missing_and_invalid_settings_are_reported_together() {
    let output = run_larkfall(&["run", "--port", "x"]);
    expect_that!(output.status.code(), some(eq(2)));
    for name in ["name", "domain", "platform", "port"] {
        expect_that!(
            stderr(&output),
            contains_substring(format!("flags: {name}: "))
        );
    }
}

#[gtest]
fn each_mistake_in_a_declaration_is_reported_with_its_line() {
    let folder = std::env::temp_dir().join(format!("larkfall-cli-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder can be made");
    let file = folder.join("bad.toml");
    let text = "[[group]]\npartner = \"p\"\nname = \"G\"\nslots = 0\nsize = 1\n";
    std::fs::write(&file, text).expect("a file can be written");
    let output = run_larkfall(&["check", &file.display().to_string()]);
    let _ = std::fs::remove_dir_all(&folder);
    expect_that!(output.status.code(), some(eq(2)));
    let text = stderr(&output);
    expect_that!(text.lines().count(), eq(3));
    for location in [
        "bad.toml:3: group.name",
        "bad.toml:4: group.slots",
        "bad.toml:5: group.size",
    ] {
        expect_that!(text, contains_substring(location));
    }
}

#[gtest]
fn every_command_has_help() {
    for command in [
        "run", "demo", "check", "apply", "get", "watch", "delete", "dump",
    ] {
        let output = run_larkfall(&[command, "--help"]);
        expect_that!(output.status.code(), some(eq(0)), "{command}");
    }
}

#[gtest]
fn the_example_declarations_have_no_findings() {
    let root = env!("CARGO_MANIFEST_DIR");
    let paths = ["santiago", "casa"].map(|folder| format!("{root}/examples/{folder}"));
    let output = run_larkfall(&["check", &paths[0], &paths[1]]);
    expect_that!(stderr(&output), eq(""));
    expect_that!(output.status.code(), some(eq(0)));
}

#[gtest]
fn the_demo_finishes_and_prints_its_measures() {
    let output = run_larkfall(&["demo", "--json", "--seconds", "2"]);
    expect_that!(output.status.code(), some(eq(0)));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let measures: serde_json::Value = serde_json::from_str(&text).expect("one JSON object");
    expect_that!(measures["replica_read_share"].as_f64(), some(gt(0.0)));
    expect_that!(measures["failover_gap_ms"].as_f64(), some(gt(0.0)));
    for counter in ["lost_acknowledged_writes", "double_runs", "stale_own_reads"] {
        expect_that!(measures[counter].as_u64(), some(eq(0)), "{counter}");
    }
}
