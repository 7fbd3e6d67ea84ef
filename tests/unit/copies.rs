//! Simulates a store that is restored from older copies of itself at random times, among changes,
//! departures of members, claims of the duty, restarts of boxes and exchanges between boxes.
//!
//! `PROPTEST_CASES=20000 cargo test --release --test unit copies::` runs more schedules.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use larkfall::borders::table::{DepartureAges, Revision, Scan};
use larkfall::decisions::duty::{Ballot, Claim, Duty, next_duty};
use larkfall::declarations::resource::Key;
use larkfall::declarations::snapshot::Snapshot;
use larkfall::node::configuration::{Departures, Store};
use larkfall::node::updates::ScanRequest;
use larkfall::platform::store::Rows;
use larkfall::platform::table::cache::{Cache, Written};
use larkfall::platform::table::feed::Feed;
use proptest::prelude::*;
use proptest::sample::Index;
use serde_json::{Value, json};
use slog::Logger;
use tokio::time::Instant;

/// Numbers of boxes.
const SIZES: [usize; 3] = [3, 9, 71];
const MEMBERS: usize = 4;
const DATABASES: usize = 4;
const GROUP: &str = "platform/db1";
const STEP: Duration = Duration::from_millis(20);

type RowKey = (&'static str, Arc<str>);

#[derive(Clone, Debug)]
enum Step {
    /// The operator declares these databases.
    Change(BTreeSet<usize>),
    /// A member joins, announces its departure, or is removed.
    Member(Index),
    /// A box claims the duty.
    Claim(Index),
    /// A box reads a table.
    Read(Index, usize),
    /// A box asks another for its rows.
    Ask(Index, Index),
    Restart(Index),
    /// The store is restored from a copy that lacks this many writes.
    Restore(u64),
    /// The operator and the members repeat the writes that were lost.
    RepeatLostWrites,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let changed = proptest::collection::btree_set(0..DATABASES, 0..=DATABASES);
    let step = prop_oneof![
        3 => changed.prop_map(Step::Change),
        2 => any::<Index>().prop_map(Step::Member),
        2 => any::<Index>().prop_map(Step::Claim),
        8 => (any::<Index>(), 0..3_usize).prop_map(|(index, feed)| Step::Read(index, feed)),
        4 => (any::<Index>(), any::<Index>()).prop_map(|(to, from)| Step::Ask(to, from)),
        1 => any::<Index>().prop_map(Step::Restart),
        1 => (0..12_u64).prop_map(Step::Restore),
        1 => Just(Step::RepeatLostWrites),
    ];
    proptest::collection::vec(step, 20..300)
}

/// The store's tables.
#[derive(Default)]
struct Tables {
    era: u64,
    number: u64,
    written: Vec<(u64, RowKey, Option<Value>)>,
    /// Last value that the operator or a member wrote.
    declared_rows: BTreeMap<RowKey, Option<Value>>,
}

impl Tables {
    fn put(&mut self, key: RowKey, value: Option<Value>) -> Revision {
        self.number += 1;
        self.written.push((self.number, key, value));
        Revision::new(self.era, self.number)
    }

    fn declare(&mut self, key: RowKey, value: Option<Value>) {
        self.declared_rows.insert(key.clone(), value.clone());
        self.put(key, value);
    }

    fn rows(&self) -> BTreeMap<&RowKey, (u64, &Option<Value>)> {
        let written = self.written.iter();
        written
            .map(|(number, key, value)| (key, (*number, value)))
            .collect()
    }

    fn row(&self, key: &RowKey) -> (u64, Option<Value>) {
        let rows = self.rows();
        let row = rows
            .get(key)
            .map(|(number, value)| (*number, (*value).clone()));
        row.unwrap_or_default()
    }

    fn restore(&mut self, by: u64) {
        self.era += 1;
        self.number = self.number.saturating_sub(by);
        self.written.retain(|(number, _, _)| *number <= self.number);
    }

    fn repeat_lost_writes(&mut self) {
        for (key, value) in self.declared_rows.clone() {
            if self.row(&key).1 != value {
                self.put(key, value);
            }
        }
    }

    /// Returns the rows written after a number, or all present rows if `after` is `None`.
    fn read(&self, table: &str, after: Option<u64>) -> Rows {
        let rows = self.rows().into_iter().filter(|(key, (number, value))| {
            let is_sent = after.map_or(value.is_some(), |after| *number > after);
            key.0 == table && is_sent
        });
        let row = |(key, (number, value)): (&RowKey, (u64, &Option<Value>))| {
            let value = value.as_ref().map(|value| BASE64.encode(value.to_string()));
            let deleted = value.is_none();
            json!({"tls_key": key.1, "schema_version": number, "value": value, "deleted": deleted})
        };
        let rows: Vec<Value> = rows.map(row).collect();
        let answer = json!({ "rows": rows, "schema_version": self.number }).to_string();
        Rows::parse(answer.as_bytes(), self.era).expect("rows as the store sends them")
    }
}

fn log() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

/// A box's local state of the store.
struct Reader {
    name: Arc<str>,
    cache: Cache,
    after: BTreeMap<Feed, Revision>,
    store: Store,
    departures: Departures,
    snapshot: Snapshot,
    /// Newest version that was in force since the box started.
    version: u64,
    generation: u64,
    /// Members whose announced departure this box has seen.
    left: BTreeSet<Arc<str>>,
}

impl Reader {
    fn new(number: usize) -> Self {
        Self {
            name: format!("box-{number}").into(),
            cache: Cache::new(log()),
            after: BTreeMap::new(),
            store: Store::default(),
            departures: Departures::default(),
            snapshot: Snapshot::default(),
            version: 0,
            generation: 0,
            left: BTreeSet::new(),
        }
    }

    fn read(&mut self, tables: &Tables, feed: Feed, now: Duration) {
        let after = self.after.get(&feed);
        let after = after.filter(|after| after.era() == tables.era);
        let rows = tables.read(feed.table(), after.map(|after| after.number()));
        let whole = after.is_none();
        self.after.insert(feed, rows.revision);
        self.cache
            .apply_rows(feed, rows, whole, Written::After(Instant::now()));
        if let Some(scan) = self.cache.take_changes() {
            self.accept(&scan, now);
        }
    }

    fn accept(&mut self, scan: &Scan, now: Duration) {
        if !self.store.apply(Revision::NONE, scan, &log()) {
            return;
        }
        let snapshot = self.store.snapshot();
        let change = (&self.snapshot, &snapshot);
        let max_age = Some(Duration::ZERO);
        self.departures
            .update(change, &DepartureAges::new(), max_age, now);
        self.snapshot = snapshot;
    }

    fn answer(&self, request: &ScanRequest) -> Scan {
        self.store.scan_for_peer(request)
    }

    fn duty(&self) -> Option<&Duty> {
        self.snapshot.duties.get(GROUP)
    }

    /// Returns the document's version, which the database `mark` carries, and the databases.
    fn document(&self) -> (u64, BTreeSet<Arc<str>>) {
        let databases = &self.snapshot.databases;
        let marked = databases.get("mark").map(|mark| mark.timeout_ms);
        (
            marked.unwrap_or_default(),
            databases.keys().cloned().collect(),
        )
    }

    /// Returns the members in use.
    fn used(&self) -> BTreeSet<Arc<str>> {
        let snapshot = self.snapshot.clone();
        let applied = snapshot.with_departures(self.departures.iter());
        let plans = applied.groups.values();
        let members = plans.flat_map(|plan| plan.members.clone());
        let used = members.filter(|member| !member.leaving);
        used.map(|member| member.name).collect()
    }
}

/// A store and its boxes.
struct World {
    tables: Tables,
    boxes: Vec<Reader>,
    /// Databases of each version.
    documents: BTreeMap<u64, BTreeSet<Arc<str>>>,
    /// State of each member: 0 absent, 1 ready, 2 draining, 3 removed.
    members: [u8; MEMBERS],
    ballots: u64,
    orders: Vec<u64>,
    now: Duration,
}

impl World {
    fn new(boxes: usize) -> Self {
        let mut world = Self {
            tables: Tables::default(),
            boxes: (0..boxes).map(Reader::new).collect(),
            documents: BTreeMap::new(),
            members: [0; MEMBERS],
            ballots: 0,
            orders: Vec::new(),
            now: Duration::ZERO,
        };
        world.change(&BTreeSet::new());
        world
    }

    fn apply(&mut self, step: &Step) {
        self.now += STEP;
        let now = self.now;
        let count = self.boxes.len();
        match step {
            Step::Change(databases) => self.change(databases),
            Step::Member(member) => self.change_member(member.index(MEMBERS)),
            Step::Claim(index) => self.claim(index.index(count)),
            Step::Read(index, feed) => {
                let feed = Feed::ALL[*feed];
                self.boxes[index.index(count)].read(&self.tables, feed, now);
            }
            Step::Ask(to, from) => self.ask(to.index(count), from.index(count)),
            Step::Restart(index) => {
                let index = index.index(count);
                self.boxes[index] = Reader::new(index);
            }
            Step::Restore(by) => self.tables.restore(*by),
            Step::RepeatLostWrites => self.tables.repeat_lost_writes(),
        }
    }

    fn change(&mut self, databases: &BTreeSet<usize>) {
        let version = self.documents.len() as u64 + 1;
        let route = |name: &str| {
            json!({
                "hostname": name, "type": "primary", "backend": "db1", "timeout_ms": version,
            })
        };
        let names = databases.iter().map(|number| format!("d{number}"));
        let names: Vec<String> = names.chain(["mark".to_owned()]).collect();
        let routes: Vec<Value> = names.iter().map(|name| route(name)).collect();
        let document = json!({
            "version": version, "routes": routes, "services": [{"name": "db1"}], "limits": {},
        });
        let declared = names.iter().map(|name| name.as_str().into()).collect();
        self.documents.insert(version, declared);
        self.tables.declare(("op", "config".into()), Some(document));
    }

    fn change_member(&mut self, member: usize) {
        let entry = |state: &str| {
            json!({
                "backend": "db1", "address": format!("127.0.0.1:{}", member + 1), "zone": "z",
                "version": "v1", "capacity": 3, "state": state, "cold_remaining_ms": 0,
                "sequence": 1,
            })
        };
        let value = match self.members[member] {
            0 => Some(entry("ready")),
            1 => Some(entry("draining")),
            2 => None,
            _ => return,
        };
        self.members[member] += 1;
        let key = ("servers", format!("i-{member}").into());
        self.tables.declare(key, value);
    }

    /// A box claims the duty with a conditional write, and orders a promotion if it succeeds.
    fn claim(&mut self, index: usize) {
        let key: RowKey = ("larkfall", format!("duty/{GROUP}").into());
        let claimant = &self.boxes[index];
        self.ballots += 1;
        let ballot = Ballot {
            replaced: 1,
            term_offset: self.ballots,
        };
        let mut duty = next_duty(claimant.duty(), &claimant.name, &ballot);
        let (number, value) = self.tables.row(&key);
        let row_number = value.map_or(0, |_| number);
        if duty.revision.number() != row_number {
            return;
        }
        // The store compares numbers alone.
        let granted = row_number == 0 || duty.revision.era() == self.tables.era;
        let written = self.tables.put(key, Some(json!(duty)));
        if granted {
            duty.revision = written;
            let claim = Claim {
                duty,
                unconfirmed: false,
            };
            self.orders.push(claim.generation(&ballot));
        }
    }

    fn ask(&mut self, to: usize, from: usize) {
        let request = ScanRequest {
            since: Revision::NONE,
            digest: self.boxes[to].store.digest(),
        };
        let scan = self.boxes[from].answer(&request);
        self.boxes[to].accept(&scan, self.now);
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        for reader in &mut self.boxes {
            let (version, databases) = reader.document();
            prop_assert!(
                version >= reader.version,
                "{}: {version} after {}",
                reader.name,
                reader.version
            );
            let declared = self.documents.get(&version);
            prop_assert!(declared.is_none_or(|declared| *declared == databases));
            reader.version = version;
            let generation = reader.duty().map_or(0, |duty| duty.generation);
            prop_assert!(
                generation >= reader.generation,
                "{}: a lower generation",
                reader.name
            );
            reader.generation = generation;
            let used = reader.used();
            let reused: Vec<_> = used.intersection(&reader.left).collect();
            prop_assert!(reused.is_empty(), "{}: {reused:?} used again", reader.name);
            // A member that was removed without an announcement may return.
            let announced = reader
                .departures
                .iter()
                .filter(|(member, _)| member.leaving);
            reader
                .left
                .extend(announced.map(|(member, _)| member.name.clone()));
        }
        let rises = self.orders.is_sorted_by(|earlier, later| earlier < later);
        prop_assert!(rises, "orders {:?}", self.orders);
        Ok(())
    }

    /// Checks that every box reaches the last declared state, and may claim the duty, once all
    /// lost writes have been repeated and read.
    fn check_final_state(&mut self) -> Result<(), TestCaseError> {
        self.tables.repeat_lost_writes();
        let newest = *self.documents.keys().next_back().expect("one");
        let members = self.members.iter().enumerate();
        let ready = members.filter(|(_, state)| **state == 1);
        let ready: BTreeSet<Arc<str>> = ready.map(|(i, _)| format!("i-{i}").into()).collect();
        for reader in &mut self.boxes {
            for feed in Feed::ALL {
                reader.read(&self.tables, feed, self.now);
            }
            prop_assert_eq!(reader.document().0, newest);
            prop_assert_eq!(reader.used(), ready.clone());
            let listed = Key::parse("member/platform/db1.i-0").expect("a key");
            let known = reader.snapshot.member(&listed).is_some();
            prop_assert_eq!(known, matches!(self.members[0], 1 | 2));
            let condition = reader.duty().map_or(Revision::NONE, |duty| duty.revision);
            let key: RowKey = ("larkfall", format!("duty/{GROUP}").into());
            let (number, value) = self.tables.row(&key);
            prop_assert_eq!(condition.number(), value.map_or(0, |_| number));
            let current = condition.number() == 0 || condition.era() == self.tables.era;
            prop_assert!(current, "{}: no claim is ever granted", reader.name);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(40),
        failure_persistence: None,
        ..ProptestConfig::with_cases(160)
    })]

    /// Guards against a restored store turning back a box's documents, generations or departures,
    /// or the numbers of promotion orders, and against boxes that never reach the last state.
    #[test]
    fn restoring_the_store_turns_back_no_box(
        size in proptest::sample::select(&SIZES[..]),
        steps in steps(),
    ) {
        let mut world = World::new(size);
        for step in &steps {
            world.apply(step);
            world.check()?;
        }
        world.check_final_state()?;
    }
}
