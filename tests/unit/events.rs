use std::io::Write;
use std::sync::{Arc, Mutex};

use googletest::prelude::*;
use larkfall::borders::table::{self, Commit};
use larkfall::events::ALL;
use larkfall::node::run::log_changes;
use slog::Drain;

#[gtest]
fn the_event_catalogue_matches_the_code() {
    let page = include_str!("../../docs/EVENTS.md");
    let rows: Vec<String> = page
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .map(|line| {
            line.split('|')
                .skip(1)
                .take(3)
                .map(str::trim)
                .collect::<Vec<_>>()
                .join("|")
        })
        .collect();
    let code: Vec<String> = ALL
        .iter()
        .map(|kind| {
            let level = kind.level.as_str().to_lowercase();
            format!("{}|{level}|{}", kind.number, kind.text)
        })
        .collect();
    expect_that!(rows, eq(&code));
}

/// Collects log lines as JSON.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut lines = self.0.lock().expect("no panic under the lock");
        lines.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against an operator's change that is in the event catalogue but never logged.
#[gtest]
fn an_operators_change_is_logged_with_resource_and_revision() {
    let lines = Lines::default();
    let drain = Mutex::new(slog_json::Json::default(lines.clone())).fuse();
    let log = slog::Logger::root(drain, slog::o!());
    let write = |key: &str, value| table::Write {
        key: key.into(),
        expect: None,
        value,
    };
    let commit = Commit {
        nonce: "n".to_owned(),
        writes: vec![
            write("resource/group/p/g", Some(serde_json::json!({}))),
            write("resource/member/p/m", None),
        ],
    };
    log_changes(&log, &commit, 7.into());
    let text = lines.0.lock().expect("no panic under the lock").clone();
    let text = String::from_utf8(text).expect("JSON is text");
    expect_that!(text.lines().count(), eq(2));
    for line in text.lines() {
        expect_that!(line, contains_substring("\"event\":500"));
        expect_that!(line, contains_substring("\"revision\":\"7\""));
    }
    expect_that!(text, contains_substring("resource/group/p/g"));
}

/// Guards against a name that splits a log line, or adds a field to it.
#[gtest]
fn a_value_with_line_ends_and_quotes_stays_within_its_field() {
    let lines = Lines::default();
    let drain = Mutex::new(slog_json::Json::default(lines.clone())).fuse();
    let log = slog::Logger::root(drain, slog::o!());
    let hostile = "a\r\nb\n{\"event\":1}\"\0\u{85}\u{2028}\\\u{fffd}";
    larkfall::events::emit(&log, &larkfall::events::INVALID_ROW, &[("row", &hostile)]);
    let text = lines.0.lock().expect("no panic under the lock").clone();
    let text = String::from_utf8(text).expect("JSON is text");
    expect_that!(text.matches(['\n', '\r', '\0']).count(), eq(1));
    expect_that!(text, ends_with("\n"));
    let line: serde_json::Value = serde_json::from_str(&text).expect("one JSON object");
    expect_that!(line["row"].as_str(), some(eq(hostile)));
    expect_that!(line["event"].as_u64(), some(eq(204)));
}
