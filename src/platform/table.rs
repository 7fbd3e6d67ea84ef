//! The store as the product's table: the operator's manifest, the members' entries
//! and larkfall's own rows, each kept up by a wait for changes.

mod source;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use rand::Rng;
use serde_json::Value;
use slog::Logger;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::manifest::{Declarations, Manifest};
use super::members;
use super::store::{Change, Row as Raw, Rows, Store, StoreError};
use crate::borders::roster::{Listing, Roster, Tagged};
use crate::borders::table::{
    Commit, Pace, RESOURCE, Row, Scan, Section, Table, TableError, Verdict,
};
use crate::events;
use source::Source;

/// Key of the manifest.
const MANIFEST: &str = "config";
/// Prefix of our own rows that list the boxes.
const BOXES: &str = "box/";
/// Pause before a source is asked again after an error: at most this, drawn anew
/// each time, so that boxes do not ask in step after an outage.
const AGAIN: Duration = Duration::from_millis(700);
/// The same after the first error: often only the connection is gone, and a change may
/// have been missed meanwhile.
pub const FIRST_AGAIN: Duration = Duration::from_millis(200);
/// Time between questions to peers while the store gives no answer.
const DOWN_POLL: Duration = Duration::from_millis(500);

/// What is known of the store.
#[derive(Default)]
struct Cache {
    /// Raw values by source and key, with the version that wrote them.
    raw: BTreeMap<(Source, Arc<str>), (u64, Vec<u8>)>,
    /// The same in the product's words.
    rows: BTreeMap<Arc<str>, Row>,
    /// Keys of product rows that changed since they were last fetched.
    fresh: BTreeSet<Arc<str>>,
    boxes: BTreeMap<Arc<str>, Listing>,
    /// Sections to be told whole the next time.
    whole: BTreeSet<Section>,
    /// Versions up to which sections are known; the newest of all is the head.
    read: BTreeMap<Section, u64>,
    head: u64,
    /// Version that last changed the list of boxes.
    roster: u64,
}

impl Cache {
    fn has_manifest(&self) -> bool {
        let key = (Source::Operator, Arc::from(MANIFEST));
        self.raw.contains_key(&key)
    }
}

/// The store as a table and a list of boxes.
pub struct Mirror {
    store: Store,
    log: Logger,
    cache: RefCell<Cache>,
    changed: Notify,
    /// Sources whose last call gave an answer.
    up: RefCell<BTreeSet<Source>>,
    /// Sources that were read at least once.
    read: Cell<usize>,
    pace: watch::Sender<Pace>,
    /// When the operator's rows were last answered for.
    heard: Cell<Option<Instant>>,
}

impl Mirror {
    /// Starts to keep up with the store.
    pub fn start(store: Store, log: Logger) -> Rc<Self> {
        let mirror = Rc::new(Self {
            store,
            log,
            cache: RefCell::default(),
            changed: Notify::new(),
            up: RefCell::default(),
            read: Cell::new(0),
            pace: watch::channel(Pace::default()).0,
            heard: Cell::new(None),
        });
        for source in Source::ALL {
            tokio::task::spawn_local(mirror.clone().keep_up(source));
        }
        mirror
    }

    async fn keep_up(self: Rc<Self>, source: Source) {
        let mut after = None;
        loop {
            let rested = self.rest().await;
            let read = match after {
                None => self.store.read(source.table()).await,
                Some(after) => {
                    // After an error the first answer tells that the store is back, and
                    // after a rest what was missed: it must not wait for a change.
                    let wait = match self.up.borrow().contains(&source) && !rested {
                        true => source.wait(self.pace()),
                        false => Duration::ZERO,
                    };
                    let changes = self.store.changes(source.table(), after, wait);
                    tokio::select! {
                        changes = changes => changes,
                        () = self.hurried(wait, source) => continue,
                    }
                }
            };
            match read {
                Ok(rows) => {
                    self.note(source, None);
                    if source == Source::Operator {
                        self.heard.set(Some(Instant::now()));
                    }
                    if after.is_none() {
                        self.read.set(self.read.get() + 1);
                    }
                    let version = rows.schema_version;
                    let news = !rows.rows.is_empty() && after.is_some();
                    self.take(source, rows, after.is_none());
                    after = Some(version.max(after.unwrap_or_default()));
                    if news {
                        tokio::time::sleep(source.rest()).await;
                    }
                }
                Err(StoreError::HistoryGone) => {
                    after = None;
                    tokio::time::sleep(jittered(FIRST_AGAIN)).await;
                }
                Err(error) => {
                    let first = self.up.borrow().contains(&source);
                    self.note(source, Some(&error));
                    let most = if first { FIRST_AGAIN } else { AGAIN };
                    tokio::time::sleep(jittered(most)).await;
                }
            }
        }
    }

    fn pace(&self) -> Pace {
        *self.pace.borrow()
    }

    /// Waits while others tell what is new. Whether it had to.
    async fn rest(&self) -> bool {
        let rests = self.pace() == Pace::Rest;
        let mut pace = self.pace.subscribe();
        let awake = pace.wait_for(|pace| *pace != Pace::Rest).await;
        awake.expect("the sender lives as long as this");
        rests
    }

    /// Returns when a wait of this length has become too long.
    async fn hurried(&self, wait: Duration, source: Source) {
        let mut pace = self.pace.subscribe();
        let hurried = pace.wait_for(|pace| source.wait(*pace) < wait).await;
        hurried.expect("the sender lives as long as this");
    }

    /// Notes whether a source answers.
    fn note(&self, source: Source, error: Option<&StoreError>) {
        let mut up = self.up.borrow_mut();
        let known = up.contains(&source);
        if known == error.is_none() {
            return;
        }
        let name = source.table();
        match error {
            None => {
                up.insert(source);
                events::emit(&self.log, &events::SOURCE_BACK, &[("table", &name)]);
            }
            Some(error) => {
                up.remove(&source);
                let fields: [(_, &dyn std::fmt::Display); 2] = [("table", &name), ("error", error)];
                events::emit(&self.log, &events::SOURCE_DOWN, &fields);
            }
        }
        drop(up);
        self.changed.notify_one();
    }

    fn is_up(&self) -> bool {
        let up = self.up.borrow();
        up.contains(&Source::Operator) && up.contains(&Source::Members)
    }

    /// Takes rows of a source; `whole` says that there are no others.
    fn take(&self, source: Source, rows: Rows, whole: bool) {
        let mut cache = self.cache.borrow_mut();
        let mut changed = false;
        let listed: BTreeSet<Arc<str>> = rows.rows.iter().map(|r| r.tls_key.clone()).collect();
        for row in rows.rows {
            changed |= self.take_row(&mut cache, source, row);
        }
        if whole {
            cache.whole.insert(source.section());
            let gone = |(s, key): &&(Source, Arc<str>)| *s == source && !listed.contains(key);
            let gone: Vec<_> = cache.raw.keys().filter(gone).cloned().collect();
            for (_, key) in gone {
                changed = true;
                self.put(&mut cache, source, &key, rows.schema_version, None);
            }
            if source == Source::Own {
                // A box that was removed before has no row that could say so.
                cache.roster = cache.roster.max(rows.schema_version);
            }
        }
        let read = cache.read.entry(source.section()).or_default();
        *read = rows.schema_version.max(*read);
        cache.head = cache.head.max(rows.schema_version);
        drop(cache);
        if changed || whole {
            self.changed.notify_one();
        }
    }

    fn take_row(&self, cache: &mut Cache, source: Source, row: Raw) -> bool {
        let known = cache.raw.get(&(source, row.tls_key.clone()));
        if known.is_some_and(|(version, _)| *version >= row.schema_version) {
            return false;
        }
        let value = match row.bytes() {
            Ok(value) => value,
            Err(error) => {
                self.bad_row(&row.tls_key, &error);
                return false;
            }
        };
        self.put(cache, source, &row.tls_key, row.schema_version, value);
        true
    }

    fn bad_row(&self, key: &str, error: &dyn std::fmt::Display) {
        let fields: [(_, &dyn std::fmt::Display); 2] = [("row", &key), ("error", error)];
        events::emit(&self.log, &events::BAD_ROW, &fields);
    }

    /// Puts a raw row into the cache and renews what it declares.
    fn put(
        &self,
        cache: &mut Cache,
        source: Source,
        key: &Arc<str>,
        version: u64,
        value: Option<Vec<u8>>,
    ) {
        match &value {
            Some(bytes) => {
                let raw = (version, bytes.clone());
                cache.raw.insert((source, key.clone()), raw);
            }
            None => {
                let known = cache.raw.remove(&(source, key.clone()));
                if known.is_none() {
                    // Others may know the row, and we can't say what it declared.
                    cache.whole.insert(source.section());
                }
            }
        }
        match source {
            Source::Operator => self.put_manifest(cache),
            Source::Members => self.put_member(cache, key, version, value.as_deref()),
            Source::Own => self.put_own(cache, key, version, value.as_deref()),
        }
    }

    fn put_manifest(&self, cache: &mut Cache) {
        let Some((version, bytes)) = cache.raw.get(&(Source::Operator, MANIFEST.into())) else {
            return;
        };
        let version = *version;
        let manifest = match Manifest::parse(bytes) {
            Ok(manifest) => manifest,
            Err(error) => return self.bad_row(MANIFEST, &error),
        };
        cache.whole.insert(Section::Declarations);
        let declared = manifest.declarations();
        let product = |key: &&Arc<str>| Section::of(key) == Section::Declarations;
        let before: Vec<Arc<str>> = cache.rows.keys().filter(product).cloned().collect();
        let after = rows_of(declared);
        for key in before {
            if !after.contains_key(&key) {
                set(cache, key, version, None);
            }
        }
        for (key, value) in after {
            set(cache, key, version, Some(value));
        }
    }

    fn put_member(&self, cache: &mut Cache, id: &Arc<str>, version: u64, value: Option<&[u8]>) {
        let suffix = format!(".{id}");
        let own = |key: &&Arc<str>| Section::of(key) == Section::Members && key.ends_with(&suffix);
        let before: Vec<Arc<str>> = cache.rows.keys().filter(own).cloned().collect();
        let declared = match value
            .map(|bytes| members::declaration(id, bytes))
            .transpose()
        {
            Ok(declared) => rows_of(declared.into_iter().collect()),
            Err(error) => return self.bad_row(id, &error),
        };
        for key in before {
            if !declared.contains_key(&key) {
                set(cache, key, version, None);
            }
        }
        for (key, value) in declared {
            set(cache, key, version, Some(value));
        }
    }

    fn put_own(&self, cache: &mut Cache, key: &Arc<str>, version: u64, value: Option<&[u8]>) {
        if let Some(name) = key.strip_prefix(BOXES) {
            cache.roster = cache.roster.max(version);
            cache.boxes.remove(name);
            let listing = value.map(serde_json::from_slice::<Listing>).transpose();
            match listing {
                Ok(listing) => cache.boxes.extend(listing.map(|l| (Arc::from(name), l))),
                Err(error) => self.bad_row(key, &error),
            }
            return;
        }
        match value.map(serde_json::from_slice::<Value>).transpose() {
            // Unchanged too: whoever replaces a record names the version of its row.
            Ok(value) => put_row(cache, key.clone(), version, value),
            Err(error) => self.bad_row(key, &error),
        }
    }
}

fn rows_of(declared: Declarations) -> BTreeMap<Arc<str>, Value> {
    let row = |(key, value)| (Arc::from(format!("{RESOURCE}{key}")), value);
    declared.into_iter().map(row).collect()
}

/// Sets a product row; one that stays as it is keeps its revision.
fn set(cache: &mut Cache, key: Arc<str>, revision: u64, value: Option<Value>) {
    let known = cache.rows.get(&key);
    if known.is_some_and(|row| row.value == value) {
        return;
    }
    // Two rows of the store may declare one row of the product in turn.
    let revision = known.map_or(revision, |row| revision.max(row.revision + 1));
    put_row(cache, key, revision, value);
}

fn put_row(cache: &mut Cache, key: Arc<str>, revision: u64, value: Option<Value>) {
    cache.fresh.insert(key.clone());
    let row = Row {
        key: key.clone(),
        revision,
        value,
    };
    cache.rows.insert(key, row);
}

fn jittered(most: Duration) -> Duration {
    most.mul_f64(rand::rng().random_range(0.3..1.0))
}

fn down(error: StoreError) -> TableError {
    match error {
        StoreError::Nonsense(why) => TableError::Nonsense(why),
        other => TableError::Down(other.to_string()),
    }
}

#[async_trait(?Send)]
impl Table for Mirror {
    async fn head(&self) -> Result<u64, TableError> {
        let all = self.read.get() >= Source::ALL.len();
        match self.is_up() && all {
            true => Ok(self.cache.borrow().head),
            false => Err(TableError::Down("the store gives no answer".to_owned())),
        }
    }

    async fn scan(&self, _: u64) -> Result<Scan, TableError> {
        let mut cache = self.cache.borrow_mut();
        if !cache.has_manifest() {
            // Members without databases would be taken for all there is.
            return Err(TableError::Down("the manifest was not read yet".to_owned()));
        }
        let fresh = std::mem::take(&mut cache.fresh);
        let whole = std::mem::take(&mut cache.whole);
        let told = |row: &&Row| fresh.contains(&row.key) || whole.contains(&Section::of(&row.key));
        let rows = cache.rows.values().filter(told);
        Ok(Scan {
            head: cache.head,
            rows: rows.cloned().collect(),
            whole: whole.into_iter().map(|s| (s, cache.read[&s])).collect(),
            same_as: None,
        })
    }

    async fn commit(&self, commit: &Commit) -> Result<Verdict, TableError> {
        let change = |write: &crate::borders::table::Write| Change {
            key: write.key.clone(),
            expect: write.expect,
            value: write
                .value
                .as_ref()
                .map(|value| value.to_string().into_bytes()),
        };
        let changes: Vec<Change> = commit.writes.iter().map(change).collect();
        match self.store.transact(Source::Own.table(), &changes).await {
            Ok(version) => Ok(Verdict::Done(version)),
            Err(StoreError::Condition(rows)) => Ok(conflict(&changes, rows)),
            Err(error) => Err(down(error)),
        }
    }

    async fn news(&self, _: Duration) {
        if self.is_up() {
            return self.changed.notified().await;
        }
        tokio::select! {
            () = self.changed.notified() => {}
            () = tokio::time::sleep(DOWN_POLL) => {}
        }
    }

    fn set_pace(&self, pace: Pace) {
        self.pace.send_if_modified(|known| {
            let changed = *known != pace;
            *known = pace;
            changed
        });
    }

    fn heard(&self) -> Option<Duration> {
        let reads = self.is_up() && self.pace() != Pace::Rest;
        let heard = self.heard.get().filter(|_| reads)?;
        Some(heard.elapsed())
    }

    fn is_ordered(&self) -> bool {
        false
    }
}

/// A row that is not as expected; or all are as wanted, since an earlier try with
/// the same changes took effect and its answer was lost.
fn conflict(changes: &[Change], rows: Vec<(Arc<str>, u64, Option<Vec<u8>>)>) -> Verdict {
    let found: BTreeMap<Arc<str>, (u64, Option<Vec<u8>>)> = rows
        .into_iter()
        .map(|(key, version, value)| (key, (version, value)))
        .collect();
    let done = |change: &Change| {
        let row = found.get(&change.key);
        row.is_some_and(|(_, value)| *value == change.value && value.is_some())
    };
    if !changes.is_empty() && changes.iter().all(done) {
        let newest = found.values().map(|(version, _)| *version).max();
        return Verdict::Done(newest.unwrap_or_default());
    }
    let version = |change: &Change| found.get(&change.key).map_or(0, |(version, _)| *version);
    let other = changes.iter().find(|change| {
        change
            .expect
            .is_some_and(|expect| expect != version(change))
    });
    let key = other.or(changes.first()).map(|change| change.key.clone());
    let key = key.unwrap_or_default();
    let row = found.get(&key).map_or(0, |(version, _)| *version);
    Verdict::Conflict { key, found: row }
}

#[async_trait(?Send)]
impl Roster for Mirror {
    async fn boxes(&self, tag: &str) -> Result<Option<Tagged>, TableError> {
        let cache = self.cache.borrow();
        let now = cache.roster.to_string();
        let boxes = cache.boxes.values().cloned().collect();
        let revision = cache.roster;
        let listed = Tagged {
            tag: now,
            revision,
            boxes,
        };
        Ok((tag != listed.tag).then_some(listed))
    }

    async fn enter(&self, listing: &Listing) -> Result<(), TableError> {
        if self.cache.borrow().boxes.get(&listing.name) == Some(listing) {
            return Ok(());
        }
        let value = serde_json::to_vec(listing).expect("a listing is plain data");
        self.list(&listing.name, Some(value)).await
    }

    async fn leave(&self, name: &str) -> Result<(), TableError> {
        self.list(name, None).await
    }
}

impl Mirror {
    async fn list(&self, name: &str, value: Option<Vec<u8>>) -> Result<(), TableError> {
        let change = Change {
            key: format!("{BOXES}{name}").into(),
            expect: None,
            value,
        };
        let done = self.store.transact(Source::Own.table(), &[change]).await;
        done.map(|_| ()).map_err(down)
    }
}
