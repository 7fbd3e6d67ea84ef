//! What a box knows of the table, by whichever way it learned it.

use std::collections::BTreeMap;
use std::sync::Arc;

use googletest::prelude::*;
use larkfall::borders::table::{Row, Scan, Section};
use larkfall::node::configuration::Store;
use serde_json::json;
use slog::Logger;

const DOOMED: &str = "resource/database/platform/doomed";
const KEPT: &str = "resource/database/platform/kept";
const MEMBER: &str = "resource/member/platform/g.i-1";
const DUTY: &str = "duty/g";

fn row(key: &str, revision: u64, value: Option<u64>) -> Row {
    Row {
        key: key.into(),
        revision,
        value: value.map(|value| json!({ "value": value })),
    }
}

fn scan(head: u64, rows: &[Row]) -> Scan {
    Scan {
        head,
        rows: rows.to_vec(),
        ..Scan::default()
    }
}

fn whole(section: Section, head: u64, rows: &[Row]) -> Scan {
    Scan {
        whole: BTreeMap::from([(section, head)]),
        ..scan(head, rows)
    }
}

fn take(store: &mut Store, scan: &Scan) -> bool {
    store.take(0, scan, &Logger::root(slog::Discard, slog::o!()))
}

/// Keys that have a value.
fn present(store: &Store) -> Vec<Arc<str>> {
    let rows = store.scan(0).rows.into_iter();
    let present = rows.filter(|row| row.value.is_some());
    present.map(|row| row.key).collect()
}

#[gtest]
fn a_row_that_a_whole_section_lacks_is_gone_and_other_sections_stay() {
    let mut store = Store::default();
    let told = [
        row(DOOMED, 4, Some(1)),
        row(KEPT, 4, Some(1)),
        row(MEMBER, 2, Some(1)),
        row(DUTY, 3, Some(1)),
    ];
    take(&mut store, &scan(4, &told));
    let read = whole(Section::Declarations, 6, &[row(KEPT, 6, Some(1))]);
    expect_that!(take(&mut store, &read), eq(true));
    let left: Vec<Arc<str>> = vec![DUTY.into(), KEPT.into(), MEMBER.into()];
    expect_that!(present(&store), eq(&left));
}

#[gtest]
fn a_peer_brings_nothing_back_that_was_removed_before_the_section_was_read() {
    let mut store = Store::default();
    take(
        &mut store,
        &whole(Section::Declarations, 6, &[row(KEPT, 6, Some(1))]),
    );
    let old = [row(DOOMED, 4, Some(1)), row(KEPT, 4, Some(0))];
    expect_that!(take(&mut store, &scan(4, &old)), eq(false));
    // Nor a peer that had read all of it by then.
    expect_that!(
        take(&mut store, &whole(Section::Declarations, 4, &old)),
        eq(false)
    );
    let left: Vec<Arc<str>> = vec![KEPT.into()];
    expect_that!(present(&store), eq(&left));
    // What was written later is news.
    expect_that!(
        take(&mut store, &scan(7, &[row(DOOMED, 7, Some(1))])),
        eq(true)
    );
}

#[gtest]
fn what_is_newer_than_a_whole_section_stays() {
    let mut store = Store::default();
    take(&mut store, &scan(8, &[row(KEPT, 8, Some(1))]));
    take(&mut store, &whole(Section::Declarations, 6, &[]));
    let left: Vec<Arc<str>> = vec![KEPT.into()];
    expect_that!(present(&store), eq(&left));
}

#[gtest]
fn what_a_store_tells_others_names_the_sections_that_it_knows_whole() {
    let mut reader = Store::default();
    take(
        &mut reader,
        &whole(Section::Declarations, 6, &[row(KEPT, 6, Some(1))]),
    );
    let mut other = Store::default();
    take(
        &mut other,
        &scan(4, &[row(DOOMED, 4, Some(1)), row(KEPT, 4, Some(1))]),
    );
    expect_that!(other.digest(), not(eq(reader.digest())));
    take(&mut other, &reader.scan(0));
    expect_that!(present(&other), eq(&present(&reader)));
    expect_that!(other.digest(), eq(reader.digest()));
}
