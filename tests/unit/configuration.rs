//! What a box knows of the table, by whichever way it learned it.

use std::collections::BTreeMap;
use std::sync::Arc;

use googletest::prelude::*;
use larkfall::borders::table::{Row, Scan, Section};
use larkfall::node::configuration::Store;
use larkfall::node::news::Question;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
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

/// What a key holds; none where there is no such row.
fn value(store: &Store, key: &str) -> Option<u64> {
    let rows = store.scan(0).rows;
    let row = rows.iter().find(|row| *row.key == *key)?;
    row.value.as_ref()?["value"].as_u64()
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

/// A row that is removed, added and removed again. A box that read the table before the
/// second time and after it never heard of that; a peer that stopped in between tells of it
/// under a revision later than that of the only removal that the box knows.
#[gtest]
fn a_row_that_came_and_went_between_two_readings_is_not_brought_back() {
    let mut store = Store::default();
    take(&mut store, &scan(4, &[row(DOOMED, 4, Some(1))]));
    take(&mut store, &whole(Section::Declarations, 5, &[]));
    take(&mut store, &whole(Section::Declarations, 9, &[]));
    let late = [row(DOOMED, 7, Some(2))];
    take(&mut store, &whole(Section::Declarations, 7, &late));
    take(&mut store, &scan(7, &late));
    expect_that!(value(&store, DOOMED), none());
}

/// A value that is changed and changed back. Whoever reads before and after sees no change,
/// and tells it under the revision of the first time.
#[gtest]
fn a_whole_section_holds_against_a_change_that_was_taken_back() {
    let mut store = Store::default();
    take(&mut store, &scan(6, &[row(KEPT, 6, Some(2))]));
    let read = whole(Section::Declarations, 9, &[row(KEPT, 4, Some(1))]);
    take(&mut store, &read);
    expect_that!(value(&store, KEPT), some(eq(1)));
    // The change has no way back, though its revision is the greater one.
    take(&mut store, &scan(6, &[row(KEPT, 6, Some(2))]));
    expect_that!(value(&store, KEPT), some(eq(1)));
}

const KEYS: usize = 4;
const BOXES: usize = 4;
const SEEDS: u64 = 400;
const STEPS: usize = 120;

type Document = [Option<u64>; KEYS];

fn name(key: usize) -> Arc<str> {
    format!("resource/database/platform/d{key}").into()
}

/// A box that reads a document and asks other boxes for it.
#[derive(Default)]
struct Reader {
    store: Store,
    /// Each row as the box read it, under the revision at which it saw it change.
    read: [(u64, Option<u64>); KEYS],
    /// Version that the box has read or has been told whole.
    floor: u64,
}

impl Reader {
    fn read(&mut self, version: u64, document: &Document) {
        for (known, now) in self.read.iter_mut().zip(document) {
            if known.1 != *now {
                *known = (version, *now);
            }
        }
        let told = self.read.iter().enumerate();
        let told = told.filter(|(_, (revision, _))| *revision > 0);
        let rows: Vec<Row> = told
            .map(|(key, (revision, value))| row(&name(key), *revision, *value))
            .collect();
        take(
            &mut self.store,
            &whole(Section::Declarations, version, &rows),
        );
        self.floor = version;
    }
}

/// An answer on its way.
struct Told {
    to: usize,
    asked: u64,
    floor: u64,
    scan: Scan,
}

/// Whatever boxes tell each other, and however late it comes, none goes behind what it has
/// read or was told whole.
#[gtest]
fn no_box_goes_back_behind_what_it_has_read() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut history: Vec<Document> = vec![[None; KEYS]];
        let mut boxes: [Reader; BOXES] = Default::default();
        let mut told: Vec<Told> = Vec::new();
        for _ in 0..STEPS {
            let at = random.random_range(0..BOXES);
            match random.random_range(0..6) {
                0 | 1 => {
                    let mut next = history[history.len() - 1];
                    next[random.random_range(0..KEYS)] =
                        *[None, Some(1), Some(2)].choose(&mut random).expect("some");
                    history.push(next);
                }
                2 => boxes[at].read(history.len() as u64 - 1, &history[history.len() - 1]),
                3 if random.random_bool(0.2) => {
                    boxes[at] = Reader::default();
                    told.retain(|told| told.to != at);
                }
                3 | 4 => {
                    let peer = random.random_range(0..BOXES);
                    let asked = boxes[at].store.digest();
                    let question = Question {
                        since: 0,
                        digest: asked,
                    };
                    told.push(Told {
                        to: at,
                        asked,
                        floor: boxes[peer].floor,
                        scan: boxes[peer].store.answer(&question),
                    });
                }
                _ if told.is_empty() => {}
                _ => {
                    let told = told.swap_remove(random.random_range(0..told.len()));
                    let at = &mut boxes[told.to];
                    let holds = !told.scan.rows.is_empty() || at.store.digest() == told.asked;
                    take(&mut at.store, &told.scan);
                    if holds {
                        at.floor = at.floor.max(told.floor);
                    }
                }
            }
            for at in &boxes {
                for key in 0..KEYS {
                    let known = value(&at.store, &name(key));
                    let since = history[at.floor as usize..].iter();
                    let held = since
                        .map(|document| document[key])
                        .any(|held| held == known);
                    assert!(held, "seed {seed}: {known:?} was gone at {}", at.floor);
                }
            }
        }
    }
}
