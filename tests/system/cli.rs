use std::process::{Command, Output};

use googletest::prelude::*;

use super::support::PROGRAM;

fn larkfall(arguments: &[&str]) -> Output {
    let output = Command::new(PROGRAM).args(arguments).output();
    output.expect("the program runs")
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[gtest]
fn a_wrong_flag_is_bad_input() {
    let output = larkfall(&["run", "--colour", "red"]);
    expect_that!(output.status.code(), some(eq(2)));
    expect_that!(errors(&output), contains_substring("--colour"));
}

#[gtest]
fn missing_settings_are_named_together() {
    let output = larkfall(&["run", "--port", "x"]);
    expect_that!(output.status.code(), some(eq(2)));
    for name in ["name", "domain", "platform", "port"] {
        expect_that!(
            errors(&output),
            contains_substring(format!("flags: {name}: "))
        );
    }
}

#[gtest]
fn three_mistakes_in_a_declaration_are_three_findings() {
    let folder = std::env::temp_dir().join(format!("larkfall-cli-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder can be made");
    let file = folder.join("bad.toml");
    let text = "[[group]]\npartner = \"p\"\nname = \"G\"\nslots = 0\nsize = 1\n";
    std::fs::write(&file, text).expect("a file can be written");
    let output = larkfall(&["check", &file.display().to_string()]);
    let _ = std::fs::remove_dir_all(&folder);
    expect_that!(output.status.code(), some(eq(2)));
    let text = errors(&output);
    expect_that!(text.lines().count(), eq(3));
    for place in [
        "bad.toml:3: group.name",
        "bad.toml:4: group.slots",
        "bad.toml:5: group.size",
    ] {
        expect_that!(text, contains_substring(place));
    }
}

#[gtest]
fn every_command_has_help() {
    for command in [
        "run", "demo", "check", "apply", "get", "watch", "delete", "dump",
    ] {
        let output = larkfall(&[command, "--help"]);
        expect_that!(output.status.code(), some(eq(0)), "{command}");
    }
}

#[gtest]
fn the_worked_examples_have_no_findings() {
    let root = env!("CARGO_MANIFEST_DIR");
    let paths = ["santiago", "casa"].map(|place| format!("{root}/examples/{place}"));
    let output = larkfall(&["check", &paths[0], &paths[1]]);
    expect_that!(errors(&output), eq(""));
    expect_that!(output.status.code(), some(eq(0)));
}

#[gtest]
fn the_demo_ends_by_itself_and_prints_both_measures() {
    let output = larkfall(&["demo", "--json", "--seconds", "2"]);
    expect_that!(output.status.code(), some(eq(0)));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let measures: serde_json::Value = serde_json::from_str(&text).expect("one JSON object");
    expect_that!(measures["replica_read_share"].as_f64(), some(gt(0.0)));
    expect_that!(measures["failover_gap_ms"].as_f64(), some(gt(0.0)));
    for count in ["lost_acknowledged_writes", "double_runs", "stale_own_reads"] {
        expect_that!(measures[count].as_u64(), some(eq(0)), "{count}");
    }
}
