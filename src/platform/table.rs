//! The store as the product's table: the operator's manifest, the members' entries
//! and larkfall's own rows, each kept up by a wait for changes.

pub mod cache;
mod gap;
pub mod source;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use rand::Rng;
use slog::Logger;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::store::{Change, Rows, Store, StoreError};
use crate::borders::roster::{Listing, Listings, Roster};
use crate::borders::table::{Commit, Polling, Revision, Scan, Table, TableError, Verdict, Write};
use crate::events;
use crate::metrics::Metrics;
use cache::{BOXES, Cache, Written};
use gap::Gap;
use source::Source;

/// Pause before a source is asked again after the first error, at most: often only the
/// connection is gone, and a change may have been missed meanwhile. It is drawn anew each
/// time, so that boxes do not ask in step after an outage, and doubles with each error.
pub const FIRST_AGAIN: Duration = Duration::from_millis(200);
/// The most that it becomes. A store that is back has to be noticed well before a box
/// counts as in touch again, four seconds later at least. With 0.7 s from the second error
/// on, 7,177 of 14,114 tries of 195 boxes fell into the moments in which a third of them was
/// cut off, or the store was down.
const MOST_AGAIN: Duration = Duration::from_millis(2_000);
/// Pause of the other sources while the operator's gives no answer either: one question a
/// box tells whether the store is back. Each still asks by itself, since a single table may
/// be the one that answers.
const HELD_AGAIN: Duration = Duration::from_millis(3_000);
/// Errors after which the pause grows no more.
const MOST_DOUBLED: u32 = 8;
/// Time between questions to peers while the store gives no answer.
const DOWN_POLL: Duration = Duration::from_millis(500);

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
    /// The list of boxes was read.
    listed: Cell<bool>,
    pace: watch::Sender<Polling>,
    /// When the operator's rows were last answered for.
    heard: Cell<Option<Instant>>,
    settings: Settings,
    metrics: Rc<Metrics>,
    /// Counts the sources' returns.
    returns: watch::Sender<u64>,
}

/// What a mirror's reading follows from.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time in which an accepted change has to be in force.
    pub apply: Duration,
    /// Nothing but the list of boxes is read until [`Table::set_pace`] says so.
    pub rests: bool,
    /// Time before the list of boxes is read.
    pub gather: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            apply: Duration::from_secs(3),
            rests: false,
            gather: Duration::ZERO,
        }
    }
}

impl Mirror {
    /// Starts to keep up with the store.
    pub fn start(store: Store, settings: Settings, metrics: Rc<Metrics>, log: Logger) -> Rc<Self> {
        let pace = match settings.rests {
            true => Polling::Paused,
            false => Polling::default(),
        };
        let mirror = Rc::new(Self {
            store,
            cache: RefCell::new(Cache::new(log.clone())),
            log,
            changed: Notify::new(),
            up: RefCell::default(),
            read: Cell::new(0),
            listed: Cell::new(false),
            pace: watch::channel(pace).0,
            heard: Cell::new(None),
            settings,
            metrics,
            returns: watch::channel(0).0,
        });
        for source in Source::ALL {
            tokio::task::spawn_local(mirror.clone().keep_up(source));
        }
        tokio::task::spawn_local(mirror.clone().note_eras());
        mirror
    }

    /// Notes when the store comes back as an older copy of itself.
    async fn note_eras(self: Rc<Self>) {
        let mut era = self.store.era();
        let mut before = None;
        while era.changed().await.is_ok() {
            let now = *era.borrow_and_update();
            if let (Some(before), Some(now)) = (before, now) {
                self.metrics.older_copies.add(1, &[]);
                let fields: [(_, &dyn std::fmt::Display); 2] = [("era", &now), ("before", &before)];
                events::emit(&self.log, &events::OLDER_COPY, &fields);
            }
            before = now;
        }
    }

    async fn keep_up(self: Rc<Self>, source: Source) {
        let mut after: Option<Revision> = None;
        let mut gap = Gap::default();
        let mut errors = 0;
        let mut first = true;
        loop {
            let before = Instant::now();
            let rested = self.rest_before(source, std::mem::take(&mut first)).await;
            if rested {
                gap.open(before);
            }
            // The store has come back as an older copy: it counts anew from there, and what it
            // holds has to be read whole, as if nothing had been.
            if after
                .take_if(|known| !self.store.is_current(*known))
                .is_some()
            {
                gap.turn();
            }
            // After an error the first answer tells that the store is back, and after a rest
            // what was missed: it must not wait for a change.
            let wait = match self.up.borrow().contains(&source) && !rested {
                true => source.wait(self.pace(), self.settings.apply),
                false => Duration::ZERO,
            };
            let asked = Instant::now();
            let cause = cause(after, errors, rested);
            self.metrics.called_store(source.table(), cause);
            let read = match after {
                None => self.store.read(source.table()).await,
                Some(after) => {
                    let changes = self.store.changes(source.table(), after, wait);
                    tokio::select! {
                        changes = changes => changes,
                        () = self.hurried(wait, source) => continue,
                        // Nobody may ever answer a wait that the old copy was asked for.
                        () = self.store.replaced(after) => Err(StoreError::Replaced),
                    }
                }
            };
            match read {
                Ok(rows) => {
                    errors = 0;
                    self.note(source, None);
                    self.note_read(source, after.is_none());
                    let news = !rows.rows.is_empty() && after.is_some();
                    let revision = rows.revision;
                    self.take(source, rows, after.is_none(), gap.close());
                    after = Some(revision.max(after.unwrap_or_default()));
                    if news {
                        tokio::time::sleep(source.rest()).await;
                    }
                }
                Err(StoreError::HistoryGone | StoreError::Replaced) => {
                    gap.missed(asked, wait);
                    // A position of an older copy is given up above.
                    after = after.filter(|known| !self.store.is_current(*known));
                    tokio::time::sleep(jittered(FIRST_AGAIN)).await;
                }
                Err(error) => {
                    gap.missed(asked, wait);
                    self.note(source, Some(&error));
                    self.pause(source, errors).await;
                    errors += 1;
                }
            }
        }
    }

    /// Waits until a source is to be asked. Whether others told what is new meanwhile.
    async fn rest_before(&self, source: Source, first: bool) -> bool {
        if source == Source::Own && first {
            // By the list a box knows whom to follow.
            tokio::time::sleep(self.settings.gather).await;
            return false;
        }
        self.rest().await
    }

    /// Notes that a source has answered; `whole` says that it was read anew.
    fn note_read(&self, source: Source, whole: bool) {
        if source == Source::Operator {
            self.heard.set(Some(Instant::now()));
        }
        if whole {
            self.read.set(self.read.get() + 1);
            self.listed.set(self.listed.get() || source == Source::Own);
        }
    }

    /// Waits before a source is asked again, after so many errors before the last one.
    async fn pause(&self, source: Source, errors: u32) {
        let doubled = FIRST_AGAIN * 2_u32.saturating_pow(errors.min(MOST_DOUBLED));
        let own = jittered(doubled.min(MOST_AGAIN));
        let down = !self.up.borrow().contains(&Source::Operator);
        if source == Source::Operator || !down || errors == 0 {
            return tokio::time::sleep(own).await;
        }
        let mut returns = self.returns.subscribe();
        returns.mark_unchanged();
        let back = tokio::time::timeout(jittered(HELD_AGAIN), returns.changed()).await;
        if back.is_ok() {
            tokio::time::sleep(jittered(FIRST_AGAIN)).await;
        }
    }

    fn pace(&self) -> Polling {
        *self.pace.borrow()
    }

    /// Waits while others tell what is new. Whether it had to.
    async fn rest(&self) -> bool {
        let rests = self.pace() == Polling::Paused;
        let mut pace = self.pace.subscribe();
        let awake = pace.wait_for(|pace| *pace != Polling::Paused).await;
        awake.expect("the sender lives as long as this");
        rests
    }

    /// Returns when a wait of this length has become too long.
    async fn hurried(&self, wait: Duration, source: Source) {
        let mut pace = self.pace.subscribe();
        let apply = self.settings.apply;
        let hurried = pace.wait_for(|pace| source.wait(*pace, apply) < wait).await;
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
                self.returns.send_modify(|count| *count += 1);
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

    /// Whether the store answers, or others answer for it.
    fn is_up(&self) -> bool {
        if self.pace() == Polling::Paused {
            return true;
        }
        let up = self.up.borrow();
        up.contains(&Source::Operator) && up.contains(&Source::Members)
    }

    /// Whether a condition names a position of an older era than the newest that is known. That
    /// a row is not there names none.
    fn is_outdated(&self, write: &Write) -> bool {
        let named = write.expect.filter(|expect| expect.number() > 0);
        named.is_some_and(|expect| !self.store.is_current(expect))
    }

    /// Takes rows of a source; `whole` says that there are no others.
    fn take(&self, source: Source, rows: Rows, whole: bool, written: Written) {
        let changed = self.cache.borrow_mut().take(source, rows, whole, written);
        if changed || whole {
            self.changed.notify_one();
        }
    }
}

/// Why a source is asked, as metrics count it.
fn cause(after: Option<Revision>, errors: u32, rested: bool) -> &'static str {
    match (after, errors) {
        (None, 0) => "start",
        (_, 1..) => "retry",
        _ if rested => "stale",
        _ => "wait",
    }
}

fn jittered(most: Duration) -> Duration {
    most.mul_f64(rand::rng().random_range(0.3..1.0))
}

fn down(error: StoreError) -> TableError {
    match error {
        StoreError::Nonsense(why) => TableError::InvalidAnswer(why),
        other => TableError::Unavailable(other.to_string()),
    }
}

#[async_trait(?Send)]
impl Table for Mirror {
    async fn head(&self) -> Result<Revision, TableError> {
        let all = self.pace() == Polling::Paused || self.read.get() >= Source::ALL.len();
        match self.is_up() && all {
            true => Ok(self.cache.borrow().head()),
            false => Err(TableError::Unavailable(
                "the store gives no answer".to_owned(),
            )),
        }
    }

    async fn scan(&self, _: Revision) -> Result<Scan, TableError> {
        let told = self.cache.borrow_mut().tell();
        // Members without databases would be taken for all there is.
        told.ok_or_else(|| TableError::Unavailable("the manifest was not read yet".to_owned()))
    }

    async fn commit(&self, commit: &Commit) -> Result<Verdict, TableError> {
        if let Some(write) = commit.writes.iter().find(|write| self.is_outdated(write)) {
            return Ok(replaced(write));
        }
        let change = |write: &Write| Change {
            key: write.key.clone(),
            expect: write.expect,
            value: write
                .value
                .as_ref()
                .map(|value| value.to_string().into_bytes()),
        };
        let changes: Vec<Change> = commit.writes.iter().map(change).collect();
        self.metrics.called_store(Source::Own.table(), "record");
        match self.store.transact(Source::Own.table(), &changes).await {
            // Done in another era than that of the conditions, it may have held for a number
            // that was given out twice, to another row.
            Ok(_) if commit.writes.iter().any(|write| self.is_outdated(write)) => {
                Ok(replaced(&commit.writes[0]))
            }
            Ok(revision) => Ok(Verdict::Done(revision)),
            Err(StoreError::Condition(rows)) => Ok(conflict(&changes, rows)),
            Err(error) => Err(down(error)),
        }
    }

    async fn wait_for_changes(&self, _: Duration) {
        if self.is_up() {
            return self.changed.notified().await;
        }
        tokio::select! {
            () = self.changed.notified() => {}
            () = tokio::time::sleep(DOWN_POLL) => {}
        }
    }

    fn set_polling(&self, pace: Polling) {
        let changed = self.pace.send_if_modified(|known| {
            let changed = *known != pace;
            *known = pace;
            changed
        });
        if changed {
            // Whether the table gives answers may be another matter now.
            self.changed.notify_one();
        }
    }

    fn answer_age(&self) -> Option<Duration> {
        let reads = self.is_up() && self.pace() != Polling::Paused;
        let heard = self.heard.get().filter(|_| reads)?;
        Some(heard.elapsed())
    }

    fn has_ordered_revisions(&self) -> bool {
        false
    }
}

/// A change whose conditions are of an older copy.
fn replaced(write: &Write) -> Verdict {
    Verdict::Conflict {
        key: write.key.clone(),
        found: Revision::NONE,
    }
}

/// A row that is not as expected; or all are as wanted, since an earlier try with
/// the same changes took effect and its answer was lost.
fn conflict(changes: &[Change], rows: Vec<(Arc<str>, Revision, Option<Vec<u8>>)>) -> Verdict {
    let found: BTreeMap<Arc<str>, (Revision, Option<Vec<u8>>)> = rows
        .into_iter()
        .map(|(key, revision, value)| (key, (revision, value)))
        .collect();
    let done = |change: &Change| {
        let row = found.get(&change.key);
        row.is_some_and(|(_, value)| *value == change.value && value.is_some())
    };
    if !changes.is_empty() && changes.iter().all(done) {
        let newest = found.values().map(|(revision, _)| *revision).max();
        return Verdict::Done(newest.unwrap_or_default());
    }
    let revision = |key: &Arc<str>| {
        let row = found.get(key);
        row.map_or(Revision::NONE, |(revision, _)| *revision)
    };
    let other = changes.iter().find(|change| {
        change
            .expect
            .is_some_and(|expect| expect != revision(&change.key))
    });
    let key = other.or(changes.first()).map(|change| change.key.clone());
    let key = key.unwrap_or_default();
    let found = revision(&key);
    Verdict::Conflict { key, found }
}

#[async_trait(?Send)]
impl Roster for Mirror {
    async fn boxes(&self, tag: &str) -> Result<Option<Listings>, TableError> {
        let listed = self.cache.borrow().listed();
        Ok((tag != listed.tag).then_some(listed))
    }

    fn is_loaded(&self) -> bool {
        self.listed.get()
    }

    fn is_self_registered(&self) -> bool {
        true
    }

    fn contains(&self, listing: &Listing) -> bool {
        self.cache.borrow().lists(listing)
    }

    async fn register(&self, listing: &Listing) -> Result<(), TableError> {
        let value = serde_json::to_vec(listing).expect("a listing is plain data");
        self.list(&listing.name, Some(value)).await
    }

    async fn deregister(&self, name: &str) -> Result<(), TableError> {
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
        self.metrics.called_store(Source::Own.table(), "listing");
        let done = self.store.transact(Source::Own.table(), &[change]).await;
        done.map(|_| ()).map_err(down)
    }
}
