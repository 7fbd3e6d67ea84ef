//! A box's local state of the table, from the table itself and from peers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use googletest::prelude::*;
use larkfall::borders::roster::Listing;
use larkfall::borders::table::{Revision, Row, Scan, Section};
use larkfall::decisions::duty::{Claim, Duty};
use larkfall::node::configuration::{Encoder, Rows, Store};
use larkfall::node::updates::{Body, Cursor, FollowAnswer, ScanRequest};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use slog::Logger;

const DELETED: &str = "resource/database/platform/doomed";
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

fn apply_scan(store: &mut Store, scan: &Scan) -> bool {
    store.apply(
        Revision::NONE,
        scan,
        &Logger::root(slog::Discard, slog::o!()),
    )
}

/// Returns the value of a key; none if there is no such row.
fn value(store: &Store, key: &str) -> Option<u64> {
    let rows = store.scan_since(Revision::NONE).rows;
    let row = rows.iter().find(|row| *row.key == *key)?;
    row.value.as_ref()?["value"].as_u64()
}

/// Returns the keys that have a value.
fn present(store: &Store) -> Vec<Arc<str>> {
    let rows = store.scan_since(Revision::NONE).rows.into_iter();
    let present = rows.filter(|row| row.value.is_some());
    present.map(|row| row.key).collect()
}

#[gtest]
fn a_row_missing_from_a_complete_section_is_deleted_and_other_sections_stay() {
    let mut store = Store::default();
    let rows = [
        row(DELETED, 4, Some(1)),
        row(KEPT, 4, Some(1)),
        row(MEMBER, 2, Some(1)),
        row(DUTY, 3, Some(1)),
    ];
    apply_scan(&mut store, &scan(4, &rows));
    let read = whole(Section::Declarations, 6, &[row(KEPT, 6, Some(1))]);
    expect_that!(apply_scan(&mut store, &read), eq(true));
    let left: Vec<Arc<str>> = vec![DUTY.into(), KEPT.into(), MEMBER.into()];
    expect_that!(present(&store), eq(&left));
}

#[gtest]
fn a_peer_restores_no_row_that_was_deleted_before_the_section_was_read() {
    let mut store = Store::default();
    apply_scan(
        &mut store,
        &whole(Section::Declarations, 6, &[row(KEPT, 6, Some(1))]),
    );
    let old = [row(DELETED, 4, Some(1)), row(KEPT, 4, Some(0))];
    expect_that!(apply_scan(&mut store, &scan(4, &old)), eq(false));
    // Nor does a peer that had read the complete section at an older revision.
    expect_that!(
        apply_scan(&mut store, &whole(Section::Declarations, 4, &old)),
        eq(false)
    );
    let left: Vec<Arc<str>> = vec![KEPT.into()];
    expect_that!(present(&store), eq(&left));
    // A later write is accepted.
    expect_that!(
        apply_scan(&mut store, &scan(7, &[row(DELETED, 7, Some(1))])),
        eq(true)
    );
}

#[gtest]
fn a_row_newer_than_a_complete_section_stays() {
    let mut store = Store::default();
    apply_scan(&mut store, &scan(8, &[row(KEPT, 8, Some(1))]));
    apply_scan(&mut store, &whole(Section::Declarations, 6, &[]));
    let left: Vec<Arc<str>> = vec![KEPT.into()];
    expect_that!(present(&store), eq(&left));
}

#[gtest]
fn the_scan_of_a_store_names_its_complete_sections() {
    let mut reader = Store::default();
    apply_scan(
        &mut reader,
        &whole(Section::Declarations, 6, &[row(KEPT, 6, Some(1))]),
    );
    let mut other = Store::default();
    apply_scan(
        &mut other,
        &scan(4, &[row(DELETED, 4, Some(1)), row(KEPT, 4, Some(1))]),
    );
    expect_that!(other.digest(), not(eq(reader.digest())));
    apply_scan(&mut other, &reader.scan_since(Revision::NONE));
    expect_that!(present(&other), eq(&present(&reader)));
    expect_that!(other.digest(), eq(reader.digest()));
}

/// Guards against a row being restored by a peer that read it between two deletions, of which
/// this box saw only the first: the peer's revision is later than that of this deletion.
#[gtest]
fn a_row_created_and_deleted_between_two_scans_is_not_restored() {
    let mut store = Store::default();
    apply_scan(&mut store, &scan(4, &[row(DELETED, 4, Some(1))]));
    apply_scan(&mut store, &whole(Section::Declarations, 5, &[]));
    apply_scan(&mut store, &whole(Section::Declarations, 9, &[]));
    let late = [row(DELETED, 7, Some(2))];
    apply_scan(&mut store, &whole(Section::Declarations, 7, &late));
    apply_scan(&mut store, &scan(7, &late));
    expect_that!(value(&store, DELETED), none());
}

/// A box that reads a value before a change and after its reversal reports the value under the
/// earlier revision.
#[gtest]
fn a_complete_section_overrides_a_change_that_was_reverted() {
    let mut store = Store::default();
    apply_scan(&mut store, &scan(6, &[row(KEPT, 6, Some(2))]));
    let read = whole(Section::Declarations, 9, &[row(KEPT, 4, Some(1))]);
    apply_scan(&mut store, &read);
    expect_that!(value(&store, KEPT), some(eq(1)));
    // The reverted change is not accepted again, although its revision is higher.
    apply_scan(&mut store, &scan(6, &[row(KEPT, 6, Some(2))]));
    expect_that!(value(&store, KEPT), some(eq(1)));
}

/// Guards against a follower keeping the old revision of a record after the table was restored
/// from a copy with the same content: all its claims would be refused.
#[gtest]
fn a_follower_learns_the_revision_of_a_record_in_a_restored_table() {
    let held = |era| Row {
        key: DUTY.into(),
        revision: Revision::new(era, 20),
        value: Some(json!({ "holder": "b", "generation": 100 })),
    };
    let scan_in = |era| Scan {
        head: Revision::new(era, 21),
        rows: vec![held(era)],
        ..Scan::default()
    };
    let mut reader = Store::default();
    let mut follower = Store::default();
    for store in [&mut reader, &mut follower] {
        apply_scan(store, &scan_in(1));
    }
    let sequence = reader.sequence();
    apply_scan(&mut reader, &scan_in(2));
    let answer = reader.scan_for_follower(follower.digest(), Some(sequence));
    apply_scan(&mut follower, &answer);
    let known = follower.snapshot().duties["g"].revision;
    expect_that!(known, eq(Revision::new(2, 20)));
}

/// Guards against a promotion with a lower fencing token than an earlier one, after the table was
/// restored from a copy with an earlier holder of the duty, or none.
#[gtest]
fn restoring_an_older_copy_does_not_lower_the_generation_of_a_duty() {
    let held = |era, number, holder: &str, generation: u64| Row {
        key: DUTY.into(),
        revision: Revision::new(era, number),
        value: Some(json!({ "holder": holder, "generation": generation })),
    };
    let accept = |store: &mut Store, whole: bool, at: Revision, rows: &[Row]| {
        let whole = whole.then_some((Section::Records, at));
        let scan = Scan {
            head: at,
            rows: rows.to_vec(),
            whole: whole.into_iter().collect(),
            ..Scan::default()
        };
        apply_scan(store, &scan);
        store.snapshot().duties["g"].clone()
    };
    let mut store = Store::default();
    let rows = [held(1, 25, "b", 100)];
    accept(&mut store, false, Revision::new(1, 25), &rows);
    let older = [held(2, 20, "a", 40)];
    let known = accept(&mut store, true, Revision::new(2, 21), &older);
    expect_that!(*known.holder, eq("b"));
    expect_that!(known.generation, eq(100));
    // The revision is that of the current row, so that a conditional write succeeds.
    expect_that!(known.revision, eq(Revision::new(2, 20)));
    let known = accept(&mut store, true, Revision::new(3, 15), &[]);
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
    let known = accept(&mut store, false, Revision::new(3, 30), &later);
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

/// A box that reads a document from the table and from other boxes.
#[derive(Default)]
struct Reader {
    store: Store,
    /// Each row with the revision at which the box saw it change.
    read: [(u64, Option<u64>); KEYS],
    /// Latest version that the box has read, or received completely.
    complete_version: u64,
    /// Number of restarts.
    restarts: u64,
    /// For each other box, its restarts and sequence at its last answer.
    cursors: [(u64, u64); BOXES],
}

impl Reader {
    fn read(&mut self, version: u64, document: &Document) {
        for (known, now) in self.read.iter_mut().zip(document) {
            if known.1 != *now {
                *known = (version, *now);
            }
        }
        let seen = self.read.iter().enumerate();
        let seen = seen.filter(|(_, (revision, _))| *revision > 0);
        let rows: Vec<Row> = seen
            .map(|(key, (revision, value))| row(&name(key), *revision, *value))
            .collect();
        apply_scan(
            &mut self.store,
            &whole(Section::Declarations, version, &rows),
        );
        self.complete_version = version;
    }

    fn restart(&mut self) {
        *self = Reader {
            restarts: self.restarts + 1,
            ..Reader::default()
        };
    }

    /// Whether a row is older than the version that the box has read, or received completely.
    fn is_behind(&self, key: usize, history: &[Document]) -> bool {
        let known = value(&self.store, &name(key));
        let since = &history[self.complete_version as usize..];
        since.iter().all(|document| document[key] != known)
    }
}

/// An answer in transit.
struct Delivery {
    from: usize,
    restarts: u64,
    to: usize,
    digest: u64,
    /// Version of a complete answer.
    complete_version: u64,
    sequence: u64,
    scan: Scan,
}

/// Boxes that share a changing document.
struct System {
    random: ChaCha8Rng,
    history: Vec<Document>,
    boxes: [Reader; BOXES],
    in_transit: Vec<Delivery>,
}

impl System {
    fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            history: vec![[None; KEYS]],
            boxes: Default::default(),
            in_transit: Vec::new(),
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
                self.in_transit.retain(|delivery| delivery.to != at);
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
        let digest = self.boxes[to].store.digest();
        let (restarts, sequence) = self.boxes[to].cursors[from];
        let peer = &self.boxes[from];
        let continues = follows && sequence > 0 && restarts == peer.restarts;
        let scan = match continues {
            true => peer.store.scan_for_follower(digest, Some(sequence)),
            false if follows => peer.store.scan_for_follower(digest, None),
            false => peer.store.scan_for_peer(&ScanRequest {
                since: Revision::NONE,
                digest,
            }),
        };
        let is_whole = !continues || scan.same_as.is_some();
        self.in_transit.push(Delivery {
            from,
            restarts: peer.restarts,
            to,
            digest,
            complete_version: if is_whole { peer.complete_version } else { 0 },
            sequence: peer.store.sequence(),
            scan,
        });
    }

    /// Delivers a random answer in transit.
    fn deliver(&mut self) {
        if self.in_transit.is_empty() {
            return;
        }
        let next = self.random.random_range(0..self.in_transit.len());
        let delivery = self.in_transit.swap_remove(next);
        let at = &mut self.boxes[delivery.to];
        let is_complete = delivery.scan.same_as.is_none() || at.store.digest() == delivery.digest;
        apply_scan(&mut at.store, &delivery.scan);
        at.cursors[delivery.from] = (delivery.restarts, delivery.sequence);
        if is_complete {
            at.complete_version = at.complete_version.max(delivery.complete_version);
        }
    }
}

/// Returns a store of groups with three members and a keyless database each.
fn declared(groups: usize) -> Store {
    let mut store = Store::default();
    let rows: Vec<Row> = (0..groups).flat_map(group_rows).collect();
    apply_scan(&mut store, &scan(1, &rows));
    store
}

fn group_rows(number: usize) -> Vec<Row> {
    let group = format!("g{number}");
    let declared = json!({ "partner": "p", "name": group });
    let database = json!({ "partner": "p", "name": group, "group": group });
    let mut rows = vec![
        resource(&format!("group/p/{group}"), 1, Some(declared)),
        resource(&format!("database/p/{group}"), 1, Some(database)),
    ];
    rows.extend((0..3).map(|member| member_row(number, member, 1, false)));
    rows
}

fn member_row(group: usize, member: usize, revision: u64, leaving: bool) -> Row {
    let value = json!({
        "partner": "p", "group": format!("g{group}"), "name": format!("m{member}"), "domain": "d",
        "sql": "127.0.0.1:1", "control": "127.0.0.1:1", "leaving": leaving,
    });
    resource(
        &format!("member/p/g{group}.m{member}"),
        revision,
        Some(value),
    )
}

fn resource(key: &str, revision: u64, value: Option<serde_json::Value>) -> Row {
    Row {
        key: format!("resource/{key}").into(),
        revision: revision.into(),
        value,
    }
}

/// Guards against work on all groups for each change in every box.
#[gtest]
fn a_change_rebuilds_only_the_plan_of_its_group() {
    for groups in [30, 300] {
        let mut store = declared(groups);
        let before = store.snapshot();
        let rebuilt = store.rebuilt_plans();
        apply_scan(&mut store, &scan(2, &[member_row(7, 1, 2, true)]));
        let after = store.snapshot();
        expect_that!(store.rebuilt_plans() - rebuilt, eq(1));
        expect_that!(after.groups["p/g7"].members[1].leaving, eq(true));
        let same = |id: &str| Arc::ptr_eq(&before.groups[id], &after.groups[id]);
        expect_that!(same("p/g8"), eq(true));
        expect_that!(same("p/g7"), eq(false));
        expect_that!(after.departed_since(&before).count(), eq(1));
    }
}

/// Compares a snapshot that was built change by change with one built from the final rows.
#[gtest]
fn a_snapshot_depends_only_on_the_final_rows() {
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let mut store = Store::default();
    for revision in 1..400 {
        let (group, name) = (random.random_range(0..4), random.random_range(0..3));
        let partner = ["p", "q"][random.random_range(0..2)];
        let key = match random.random_range(0..5) {
            0 => format!("group/{partner}/g{group}"),
            1 => format!("member/{partner}/g{group}.m{name}"),
            2 => format!("read/{partner}/g{group}.r{name}"),
            3 => format!("database/{partner}/d{name}"),
            _ => format!("workspace/{partner}/w{name}"),
        };
        let value = json!({
            "group": json!({ "partner": partner, "name": format!("g{group}") }),
            "member": json!({
                "partner": partner, "group": format!("g{group}"), "name": format!("m{name}"),
                "domain": "d", "sql": "127.0.0.1:1", "control": "127.0.0.1:1",
            }),
            "read": json!({
                "partner": partner, "group": format!("g{group}"), "name": format!("r{name}"),
                "tables": ["t"],
            }),
            "database": json!({
                "partner": partner, "name": format!("d{name}"), "group": format!("g{group}"),
                "keyed": random.random_bool(0.5),
            }),
            "workspace": json!({
                "partner": partner, "name": format!("w{name}"), "keys": ["a".repeat(64)],
            }),
        });
        let kind = key.split('/').next().expect("a kind");
        let value = random.random_bool(0.6).then(|| value[kind].clone());
        apply_scan(
            &mut store,
            &scan(revision, &[resource(&key, revision, value)]),
        );
        let mut anew = Store::default();
        apply_scan(&mut anew, &store.scan_since(Revision::NONE));
        let (known, expected) = (store.snapshot(), anew.snapshot());
        expect_that!(known.groups, eq(&expected.groups));
        expect_that!(known.databases, eq(&expected.databases));
        expect_that!(known.workspaces, eq(&expected.workspaces));
        expect_that!(known.workspaces_by_key, eq(&expected.workspaces_by_key));
    }
}

/// Returns an answer to a follower without its rows.
fn follow_answer(store: &Store) -> FollowAnswer {
    FollowAnswer {
        cursor: Cursor {
            epoch: 5,
            taken: store.sequence(),
        },
        scan: store.all_but_rows(),
        digest: store.digest(),
        boxes: None,
        boxes_revision: 9.into(),
        heard_ms: Some(20),
    }
}

fn decode(body: Body) -> FollowAnswer {
    let bytes = body.into_parts().concat();
    rmp_serde::from_slice(&bytes).expect("an answer can be decoded")
}

/// Boxes of earlier versions decode the answer as a whole.
#[gtest]
fn an_answer_of_shared_parts_is_encoded_like_the_whole_answer() {
    let mut store = declared(3);
    let listing = Listing {
        name: "b".into(),
        address: "127.0.0.1:1".into(),
        domain: "d".into(),
        leaving: false,
        link_mbps: 10,
    };
    let boxes = [listing];
    let sequence = store.sequence();
    apply_scan(&mut store, &scan(2, &[member_row(1, 1, 2, true)]));
    let mut encoder = Encoder::default();
    let answer = follow_answer(&store);
    for (rows, scan) in [
        (Rows::All, store.scan_since(Revision::NONE)),
        (
            Rows::After(sequence),
            store.scan_for_follower(0, Some(sequence)),
        ),
        (Rows::None, store.all_but_rows()),
    ] {
        let whole = FollowAnswer {
            scan: Scan {
                rows: scan.rows,
                ..store.all_but_rows()
            },
            boxes: Some(boxes.to_vec()),
            ..follow_answer(&store)
        };
        let body = encoder.encode_answer(&store, &answer, rows, Some(&boxes));
        let encoded = rmp_serde::to_vec(&whole).expect("an answer can be encoded");
        expect_that!(body.into_parts().concat(), eq(&encoded));
    }
    let body = encoder.encode_answer(&store, &answer, Rows::None, None);
    expect_that!(decode(body).boxes, none());
}

/// Guards against a copy of all rows for each of the boxes that start at the same time.
#[gtest]
fn rows_are_encoded_once_however_many_boxes_ask() {
    let mut store = declared(100);
    let mut encoder = Encoder::default();
    let answer = follow_answer(&store);
    let bodies: Vec<Body> = (0..200)
        .map(|_| encoder.encode_answer(&store, &answer, Rows::All, None))
        .collect();
    expect_that!(encoder.encoded_rows(), eq(500));
    let parts = bodies.into_iter().map(Body::into_parts);
    let rows: BTreeSet<*const u8> = parts.map(|parts| parts[1].as_ptr()).collect();
    expect_that!(rows.len(), eq(1));
    // Followers at many positions share a few encodings of the changes.
    let first = store.sequence();
    for change in 0..100 {
        let row = member_row(change, 1, 2 + change as u64, true);
        apply_scan(&mut store, &scan(2 + change as u64, &[row]));
    }
    let before = encoder.encoded_rows();
    let answer = follow_answer(&store);
    for change in 0..100 {
        let after = first + change;
        let body = encoder.encode_answer(&store, &answer, Rows::After(after), None);
        expect_that!(decode(body).scan.rows.len(), ge((100 - change) as usize));
    }
    expect_that!(encoder.encoded_rows() - before, le(800));
}

/// Guards against a box falling back to an older version because of outdated or reordered answers
/// of other boxes.
#[gtest]
fn no_box_falls_back_behind_what_it_has_read() {
    for seed in 0..SEEDS {
        let mut system = System::new(seed);
        for step in 0..STEPS {
            system.step();
            for (key, at) in (0..KEYS).flat_map(|key| system.boxes.iter().map(move |at| (key, at)))
            {
                let behind = at.is_behind(key, &system.history);
                assert!(!behind, "seed {seed}, step {step}: {}", name(key));
            }
        }
    }
}
