//! What a box knows of the table, by whichever way it learned it.

use std::collections::BTreeMap;
use std::sync::Arc;

use googletest::prelude::*;
use larkfall::borders::table::{Revision, Row, Scan, Section};
use larkfall::decisions::duty::{Claim, Duty};
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
        revision: revision.into(),
        value: value.map(|value| json!({ "value": value })),
    }
}

fn scan(head: u64, rows: &[Row]) -> Scan {
    Scan {
        head: head.into(),
        rows: rows.to_vec(),
        ..Scan::default()
    }
}

fn whole(section: Section, head: u64, rows: &[Row]) -> Scan {
    Scan {
        whole: BTreeMap::from([(section, head.into())]),
        ..scan(head, rows)
    }
}

fn take(store: &mut Store, scan: &Scan) -> bool {
    store.take(
        Revision::NONE,
        scan,
        &Logger::root(slog::Discard, slog::o!()),
    )
}

/// What a key holds; none where there is no such row.
fn value(store: &Store, key: &str) -> Option<u64> {
    let rows = store.scan(Revision::NONE).rows;
    let row = rows.iter().find(|row| *row.key == *key)?;
    row.value.as_ref()?["value"].as_u64()
}

/// Keys that have a value.
fn present(store: &Store) -> Vec<Arc<str>> {
    let rows = store.scan(Revision::NONE).rows.into_iter();
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
    take(&mut other, &reader.scan(Revision::NONE));
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

/// What could have happened: a box that follows others never learns under which revision a record
/// stands in the copy, since its content is the same, and every claim of it is refused.
#[gtest]
fn a_follower_learns_the_revision_of_a_record_in_a_copy() {
    let held = |era| Row {
        key: DUTY.into(),
        revision: Revision::new(era, 20),
        value: Some(json!({ "holder": "b", "generation": 100 })),
    };
    let told = |era| Scan {
        head: Revision::new(era, 21),
        rows: vec![held(era)],
        ..Scan::default()
    };
    let mut reader = Store::default();
    let mut follower = Store::default();
    for store in [&mut reader, &mut follower] {
        take(store, &told(1));
    }
    let taken = reader.taken();
    take(&mut reader, &told(2));
    let answer = reader.follow(follower.digest(), Some(taken));
    take(&mut follower, &answer);
    let known = follower.snapshot().duties["g"].revision;
    expect_that!(known, eq(Revision::new(2, 20)));
}

/// What could have happened: a box orders under a lower number than one that was ordered under
/// before, since an older copy of the table names an earlier holder of the duty, or none.
#[gtest]
fn the_generation_of_a_duty_does_not_fall_with_an_older_copy() {
    let held = |era, number, holder: &str, generation: u64| Row {
        key: DUTY.into(),
        revision: Revision::new(era, number),
        value: Some(json!({ "holder": holder, "generation": generation })),
    };
    let told = |store: &mut Store, whole: bool, at: Revision, rows: &[Row]| {
        let whole = whole.then_some((Section::Records, at));
        let scan = Scan {
            head: at,
            rows: rows.to_vec(),
            whole: whole.into_iter().collect(),
            ..Scan::default()
        };
        take(store, &scan);
        store.snapshot().duties["g"].clone()
    };
    let mut store = Store::default();
    let rows = [held(1, 25, "b", 100)];
    told(&mut store, false, Revision::new(1, 25), &rows);
    let older = [held(2, 20, "a", 40)];
    let known = told(&mut store, true, Revision::new(2, 21), &older);
    expect_that!(*known.holder, eq("b"));
    expect_that!(known.generation, eq(100));
    // A change of the row names the one that is there.
    expect_that!(known.revision, eq(Revision::new(2, 20)));
    let known = told(&mut store, true, Revision::new(3, 15), &[]);
    expect_that!(known.generation, eq(100));
    expect_that!(known.revision, eq(Revision::new(3, 0)));
    let claim = Claim {
        duty: Duty {
            revision: Revision::new(2, 25),
            ..known
        },
        unconfirmed: false,
    };
    expect_that!(
        claim.is_current(store.snapshot().duties.get("g")),
        eq(false)
    );
    let later = [held(3, 30, "c", 120)];
    let known = told(&mut store, false, Revision::new(3, 30), &later);
    expect_that!(*known.holder, eq("c"));
}

const KEYS: usize = 4;
const BOXES: usize = 4;
const SEEDS: u64 = 1_500;
const STEPS: usize = 200;

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
    /// Counts its starts.
    life: u64,
    /// How far each other box, in which life, has told what it took.
    cursors: [(u64, u64); BOXES],
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

    fn restart(&mut self) {
        *self = Reader {
            life: self.life + 1,
            ..Reader::default()
        };
    }

    /// Whether a row goes behind what the box has read or was told whole.
    fn is_behind(&self, key: usize, history: &[Document]) -> bool {
        let known = value(&self.store, &name(key));
        let since = &history[self.floor as usize..];
        since.iter().all(|document| document[key] != known)
    }
}

/// An answer on its way.
struct Told {
    from: usize,
    life: u64,
    to: usize,
    asked: u64,
    /// Version that a whole answer is as new as.
    floor: u64,
    taken: u64,
    scan: Scan,
}

/// Boxes around a document that changes.
struct Crowd {
    random: ChaCha8Rng,
    history: Vec<Document>,
    boxes: [Reader; BOXES],
    told: Vec<Told>,
}

impl Crowd {
    fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            history: vec![[None; KEYS]],
            boxes: Default::default(),
            told: Vec::new(),
        }
    }

    fn step(&mut self) {
        let at = self.random.random_range(0..BOXES);
        let peer = self.random.random_range(0..BOXES);
        match self.random.random_range(0..8) {
            0 | 1 => self.change(),
            2 => {
                let newest = self.history.len() - 1;
                self.boxes[at].read(newest as u64, &self.history[newest]);
            }
            3 if self.random.random_bool(0.3) => {
                self.boxes[at].restart();
                self.told.retain(|told| told.to != at);
            }
            3 | 4 => self.ask(at, peer, false),
            5 => self.ask(at, peer, true),
            _ => self.deliver(),
        }
    }

    fn change(&mut self) {
        let mut next = self.history[self.history.len() - 1];
        let values = [None, Some(1), Some(2)];
        let key = self.random.random_range(0..KEYS);
        next[key] = *values.choose(&mut self.random).expect("some");
        self.history.push(next);
    }

    fn ask(&mut self, to: usize, from: usize, follows: bool) {
        let asked = self.boxes[to].store.digest();
        let (life, taken) = self.boxes[to].cursors[from];
        let peer = &self.boxes[from];
        let goes_on = follows && taken > 0 && life == peer.life;
        let scan = match goes_on {
            true => peer.store.follow(asked, Some(taken)),
            false if follows => peer.store.follow(asked, None),
            false => peer.store.answer(&Question {
                since: Revision::NONE,
                digest: asked,
            }),
        };
        let is_whole = !goes_on || scan.same_as.is_some();
        self.told.push(Told {
            from,
            life: peer.life,
            to,
            asked,
            floor: if is_whole { peer.floor } else { 0 },
            taken: peer.store.taken(),
            scan,
        });
    }

    /// Answers come in any order.
    fn deliver(&mut self) {
        if self.told.is_empty() {
            return;
        }
        let next = self.random.random_range(0..self.told.len());
        let told = self.told.swap_remove(next);
        let at = &mut self.boxes[told.to];
        let holds = told.scan.same_as.is_none() || at.store.digest() == told.asked;
        take(&mut at.store, &told.scan);
        at.cursors[told.from] = (told.life, told.taken);
        if holds {
            at.floor = at.floor.max(told.floor);
        }
    }
}

/// Whatever boxes tell each other, and however late it comes, none goes behind what it has
/// read or was told whole.
#[gtest]
fn no_box_goes_back_behind_what_it_has_read() {
    for seed in 0..SEEDS {
        let mut crowd = Crowd::new(seed);
        for step in 0..STEPS {
            crowd.step();
            for (key, at) in (0..KEYS).flat_map(|key| crowd.boxes.iter().map(move |at| (key, at))) {
                let behind = at.is_behind(key, &crowd.history);
                assert!(!behind, "seed {seed}, step {step}: {}", name(key));
            }
        }
    }
}
