//! The platform's store as the project's [`Table`] and [`Roster`].
//!
//! A box follows three tables of the store, each with long polls: the operator's manifest,
//! the members' entries, and the rows that boxes write.

pub mod cache;
pub mod feed;
mod watch_gap;

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
use crate::borders::roster::{Listing, Listings, Roster, Source};
use crate::borders::table::{Commit, Polling, Revision, Scan, Table, TableError, Verdict, Write};
use crate::events;
use crate::metrics::Metrics;
use cache::{Cache, LISTING_PREFIX, Written};
use feed::Feed;
use watch_gap::Gap;

/// Backoff after the first error; doubles with each further error. Short, since often only the
/// connection is lost and changes may be missed meanwhile. Delays are jittered, so that boxes
/// don't retry in step after an outage.
pub const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest backoff. A store that is back must be noticed well before a box counts as connected
/// again, which takes at least four seconds. With 0.7 s, half of the retries of 195 boxes fell into
/// the outages.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(2_000);
/// Backoff of the other feeds while the operator's feed fails too: one probe per box is enough to
/// notice that the store is back. The other feeds still retry, since single tables may fail.
const OUTAGE_RETRY_DELAY: Duration = Duration::from_millis(3_000);
/// Errors after which the backoff grows no more.
const MAX_DOUBLINGS: u32 = 8;
/// Interval at which [`Table::wait_for_changes`] returns during an outage, so that the caller asks
/// peers for changes.
const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Cached view of the store that follows its changes.
pub struct Mirror {
    store: Store,
    log: Logger,
    cache: RefCell<Cache>,
    changed: Notify,
    /// Feeds whose last call was answered.
    answering: RefCell<BTreeSet<Feed>>,
    /// Number of full reads, over all feeds.
    full_reads: Cell<usize>,
    /// Whether the list of boxes was read.
    roster_read: Cell<bool>,
    /// How the first list of boxes is obtained.
    roster_source: watch::Sender<Source>,
    polling: watch::Sender<Polling>,
    /// When the operator's feed last answered.
    operator_answered: Cell<Option<Instant>>,
    /// The same as of the last scan.
    scanned: Cell<Option<Instant>>,
    settings: Settings,
    metrics: Rc<Metrics>,
    /// Counts how often a feed answered again after an error.
    recoveries: watch::Sender<u64>,
}

/// Settings of a [`Mirror`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time within which an accepted change must be in force.
    pub apply_deadline: Duration,
    /// Whether only the list of boxes is read until [`Table::set_polling`] starts polling.
    pub start_paused: bool,
    /// Delay before the list of boxes is first read, unless its source is decided before.
    pub roster_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            apply_deadline: Duration::from_secs(3),
            start_paused: false,
            roster_delay: Duration::ZERO,
        }
    }
}

impl Mirror {
    /// Starts to follow the store.
    pub fn start(store: Store, settings: Settings, metrics: Rc<Metrics>, log: Logger) -> Rc<Self> {
        let polling = match settings.start_paused {
            true => Polling::Paused,
            false => Polling::default(),
        };
        let mirror = Rc::new(Self {
            store,
            cache: RefCell::new(Cache::new(log.clone())),
            log,
            changed: Notify::new(),
            answering: RefCell::default(),
            full_reads: Cell::new(0),
            roster_read: Cell::new(false),
            roster_source: watch::Sender::default(),
            polling: watch::channel(polling).0,
            operator_answered: Cell::new(None),
            scanned: Cell::new(None),
            settings,
            metrics,
            recoveries: watch::channel(0).0,
        });
        for feed in Feed::ALL {
            tokio::task::spawn_local(mirror.clone().follow(feed));
        }
        tokio::task::spawn_local(mirror.clone().log_era_changes());
        mirror
    }

    /// Logs and counts each replacement of the store by an older copy of itself.
    async fn log_era_changes(self: Rc<Self>) {
        let mut era = self.store.era();
        let mut before = None;
        while era.changed().await.is_ok() {
            let now = *era.borrow_and_update();
            if let (Some(before), Some(now)) = (before, now) {
                self.metrics.table_rollbacks.add(1, &[]);
                let fields: [(_, &dyn std::fmt::Display); 2] = [("era", &now), ("before", &before)];
                events::emit(&self.log, &events::TABLE_ROLLED_BACK, &fields);
            }
            before = now;
        }
    }

    /// Follows one feed: reads it in full once, then polls for changes.
    async fn follow(self: Rc<Self>, feed: Feed) {
        let mut after: Option<Revision> = None;
        let mut gap = Gap::default();
        let mut errors = 0;
        let mut first = true;
        loop {
            let before = Instant::now();
            let was_paused = self.wait_until_due(feed, std::mem::take(&mut first)).await;
            if was_paused {
                gap.open(before);
            }
            // After the store was replaced by an older copy, revisions of the old era are
            // meaningless and the table has to be read in full.
            if after
                .take_if(|known| !self.store.is_current(*known))
                .is_some()
            {
                gap.start_era();
            }
            // The first call after an error or a pause returns at once: its answer shows that the
            // store is back, or which changes were missed.
            let wait = match self.answering.borrow().contains(&feed) && !was_paused {
                true => feed.long_poll_wait(self.polling(), self.settings.apply_deadline),
                false => Duration::ZERO,
            };
            let called = Instant::now();
            let cause = call_cause(after, errors, was_paused);
            self.metrics.count_store_call(feed.table(), cause);
            let read = match after {
                None => self.store.read_all(feed.table()).await,
                Some(after) => {
                    let changes = self.store.read_changes(feed.table(), after, wait);
                    tokio::select! {
                        changes = changes => changes,
                        () = self.wait_for_shorter_poll(wait, feed) => continue,
                        // The replaced store may never answer this poll.
                        () = self.store.era_changed(after) => Err(StoreError::EraChanged),
                    }
                }
            };
            match read {
                Ok(rows) => {
                    errors = 0;
                    self.record_health(feed, None);
                    let arrived = rows.arrived.unwrap_or_else(Instant::now);
                    self.record_read(feed, after.is_none(), arrived);
                    let has_changes = !rows.rows.is_empty() && after.is_some();
                    let revision = rows.revision;
                    self.apply_rows(feed, rows, after.is_none(), gap.close(arrived));
                    after = Some(revision.max(after.unwrap_or_default()));
                    if has_changes {
                        tokio::time::sleep(feed.batch_delay()).await;
                    }
                }
                Err(StoreError::HistoryGone | StoreError::EraChanged) => {
                    gap.open_unanswered(called, wait);
                    // A revision of an older era is dropped at the start of the loop.
                    after = after.filter(|known| !self.store.is_current(*known));
                    tokio::time::sleep(jittered(FIRST_RETRY_DELAY)).await;
                }
                Err(error) => {
                    gap.open_unanswered(called, wait);
                    self.record_health(feed, Some(&error));
                    self.back_off(feed, errors).await;
                    errors += 1;
                }
            }
        }
    }

    /// Waits until a feed should be read. Returns whether polling was paused meanwhile.
    async fn wait_until_due(&self, feed: Feed, first: bool) -> bool {
        if feed == Feed::Boxes && first {
            // Read even while polling is paused: the list tells a box which boxes to follow.
            let mut source = self.roster_source.subscribe();
            let decided = source.wait_for(|source| *source != Source::Undecided);
            let _ = tokio::time::timeout(self.settings.roster_delay, decided).await;
            if *self.roster_source.borrow() != Source::Peers {
                return false;
            }
        }
        self.wait_while_paused().await
    }

    /// Records that a feed has answered; `whole` means a full read. The rows are as old as the
    /// beginning of the answer.
    fn record_read(&self, feed: Feed, whole: bool, arrived: Instant) {
        if feed == Feed::Operator {
            self.operator_answered.set(Some(arrived));
            self.metrics.record_confirmation(arrived.elapsed());
        }
        if whole {
            self.full_reads.set(self.full_reads.get() + 1);
            self.roster_read
                .set(self.roster_read.get() || feed == Feed::Boxes);
        }
    }

    /// Waits before a feed is read again; `errors` counts the errors before the last one.
    async fn back_off(&self, feed: Feed, errors: u32) {
        let doubled = FIRST_RETRY_DELAY * 2_u32.saturating_pow(errors.min(MAX_DOUBLINGS));
        let delay = jittered(doubled.min(MAX_RETRY_DELAY));
        let operator_down = !self.answering.borrow().contains(&Feed::Operator);
        if feed == Feed::Operator || !operator_down || errors == 0 {
            return tokio::time::sleep(delay).await;
        }
        let mut recoveries = self.recoveries.subscribe();
        recoveries.mark_unchanged();
        let recovered =
            tokio::time::timeout(jittered(OUTAGE_RETRY_DELAY), recoveries.changed()).await;
        if recovered.is_ok() {
            tokio::time::sleep(jittered(FIRST_RETRY_DELAY)).await;
        }
    }

    fn polling(&self) -> Polling {
        *self.polling.borrow()
    }

    /// Waits while peers report changes instead of the store. Returns whether it waited.
    async fn wait_while_paused(&self) -> bool {
        let was_paused = self.polling() == Polling::Paused;
        let mut polling = self.polling.subscribe();
        let resumed = polling
            .wait_for(|polling| *polling != Polling::Paused)
            .await;
        resumed.expect("the sender is dropped with the mirror");
        was_paused
    }

    /// Waits until the polling mode requires shorter polls than `wait`.
    async fn wait_for_shorter_poll(&self, wait: Duration, feed: Feed) {
        let mut polling = self.polling.subscribe();
        let apply_deadline = self.settings.apply_deadline;
        let shorter = polling
            .wait_for(|polling| feed.long_poll_wait(*polling, apply_deadline) < wait)
            .await;
        shorter.expect("the sender is dropped with the mirror");
    }

    /// Records whether a feed answers, and logs when that changes.
    fn record_health(&self, feed: Feed, error: Option<&StoreError>) {
        let mut answering = self.answering.borrow_mut();
        let was_answering = answering.contains(&feed);
        if was_answering == error.is_none() {
            return;
        }
        let name = feed.table();
        match error {
            None => {
                answering.insert(feed);
                self.recoveries.send_modify(|count| *count += 1);
                events::emit(
                    &self.log,
                    &events::STORE_TABLE_RECOVERED,
                    &[("table", &name)],
                );
            }
            Some(error) => {
                answering.remove(&feed);
                let fields: [(_, &dyn std::fmt::Display); 2] = [("table", &name), ("error", error)];
                events::emit(&self.log, &events::STORE_TABLE_DOWN, &fields);
            }
        }
        drop(answering);
        self.changed.notify_one();
    }

    /// Whether the store answers, or peers answer for it.
    fn is_up(&self) -> bool {
        if self.polling() == Polling::Paused {
            return true;
        }
        let answering = self.answering.borrow();
        answering.contains(&Feed::Operator) && answering.contains(&Feed::Members)
    }

    /// Whether the write's condition has a revision of an older era than the newest known one.
    /// The condition that a row does not exist has no era.
    fn has_old_era(&self, write: &Write) -> bool {
        let condition = write.expect.filter(|expect| expect.number() > 0);
        condition.is_some_and(|expect| !self.store.is_current(expect))
    }

    /// Applies rows of a feed; `whole` means that the feed has no other rows.
    fn apply_rows(&self, feed: Feed, rows: Rows, whole: bool, written: Written) {
        let changed = self
            .cache
            .borrow_mut()
            .apply_rows(feed, rows, whole, written);
        if changed || whole {
            self.changed.notify_one();
        }
    }
}

/// Returns why the store is called, as a metrics label.
fn call_cause(after: Option<Revision>, errors: u32, was_paused: bool) -> &'static str {
    match (after, errors) {
        (None, 0) => "start",
        (_, 1..) => "retry",
        _ if was_paused => "stale",
        _ => "wait",
    }
}

/// Returns a random delay between 30 % and 100 % of `max`.
fn jittered(max: Duration) -> Duration {
    max.mul_f64(rand::rng().random_range(0.3..1.0))
}

fn table_error(error: StoreError) -> TableError {
    match error {
        StoreError::Malformed(why) => TableError::InvalidAnswer(why),
        other => TableError::Unavailable(other.to_string()),
    }
}

#[async_trait(?Send)]
impl Table for Mirror {
    async fn head(&self) -> Result<Revision, TableError> {
        let all_read =
            self.polling() == Polling::Paused || self.full_reads.get() >= Feed::ALL.len();
        match self.is_up() && all_read {
            true => Ok(self.cache.borrow().head()),
            false => Err(TableError::Unavailable(
                "the store gives no answer".to_owned(),
            )),
        }
    }

    async fn scan(&self, _: Revision) -> Result<Scan, TableError> {
        let changes = self.cache.borrow_mut().take_changes();
        // Without the manifest, the members would be taken for the complete configuration.
        let changes = match changes {
            Some(changes) => changes,
            None if self.polling() == Polling::Paused => return Ok(Scan::default()),
            None => {
                let reason = "the manifest was not read yet".to_owned();
                return Err(TableError::Unavailable(reason));
            }
        };
        self.scanned.set(self.operator_answered.get());
        Ok(changes)
    }

    async fn commit(&self, commit: &Commit) -> Result<Verdict, TableError> {
        if let Some(write) = commit.writes.iter().find(|write| self.has_old_era(write)) {
            return Ok(era_conflict(write));
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
        self.metrics.count_store_call(Feed::Boxes.table(), "record");
        match self.store.transact(Feed::Boxes.table(), &changes).await {
            // Committed in a newer era than that of its conditions: a condition may have matched
            // a version that the older copy assigned to another row.
            Ok(_) if commit.writes.iter().any(|write| self.has_old_era(write)) => {
                Ok(era_conflict(&commit.writes[0]))
            }
            Ok(revision) => Ok(Verdict::Done(revision)),
            Err(StoreError::ConditionFailed(rows)) => Ok(conflict(&changes, rows)),
            Err(error) => Err(table_error(error)),
        }
    }

    async fn wait_for_changes(&self, _: Duration) {
        if self.is_up() {
            return self.changed.notified().await;
        }
        tokio::select! {
            () = self.changed.notified() => {}
            () = tokio::time::sleep(OUTAGE_POLL_INTERVAL) => {}
        }
    }

    fn set_polling(&self, polling: Polling) {
        let changed = self.polling.send_if_modified(|known| {
            let changed = *known != polling;
            *known = polling;
            changed
        });
        if changed {
            // Whether the table counts as up depends on the polling mode.
            self.changed.notify_one();
        }
    }

    fn scan_age(&self) -> Option<Duration> {
        let reads = self.is_up() && self.polling() != Polling::Paused;
        let current = match self.cache.borrow().has_changes() {
            true => &self.scanned,
            false => &self.operator_answered,
        };
        let confirmed = current.get().filter(|_| reads)?;
        Some(confirmed.elapsed())
    }

    fn has_ordered_revisions(&self) -> bool {
        false
    }
}

/// Returns the verdict on a write whose condition has an older era.
fn era_conflict(write: &Write) -> Verdict {
    Verdict::Conflict {
        key: write.key.clone(),
        found: Revision::NONE,
    }
}

/// Returns the verdict on changes whose conditions failed: the first conflicting row, or success
/// if all rows already have the wanted values, since an earlier attempt took effect and its
/// answer was lost.
fn conflict(changes: &[Change], rows: Vec<(Arc<str>, Revision, Option<Vec<u8>>)>) -> Verdict {
    let found: BTreeMap<Arc<str>, (Revision, Option<Vec<u8>>)> = rows
        .into_iter()
        .map(|(key, revision, value)| (key, (revision, value)))
        .collect();
    let already_applied = |change: &Change| {
        let row = found.get(&change.key);
        row.is_some_and(|(_, value)| *value == change.value && value.is_some())
    };
    if !changes.is_empty() && changes.iter().all(already_applied) {
        let newest = found.values().map(|(revision, _)| *revision).max();
        return Verdict::Done(newest.unwrap_or_default());
    }
    let revision = |key: &Arc<str>| {
        let row = found.get(key);
        row.map_or(Revision::NONE, |(revision, _)| *revision)
    };
    let conflicting = changes.iter().find(|change| {
        change
            .expect
            .is_some_and(|expect| expect != revision(&change.key))
    });
    let key = conflicting
        .or(changes.first())
        .map(|change| change.key.clone());
    let key = key.unwrap_or_default();
    let found = revision(&key);
    Verdict::Conflict { key, found }
}

#[async_trait(?Send)]
impl Roster for Mirror {
    async fn boxes(&self, tag: &str) -> Result<Option<Listings>, TableError> {
        let roster = self.cache.borrow().roster();
        Ok((tag != roster.tag).then_some(roster))
    }

    fn is_loaded(&self) -> bool {
        self.roster_read.get()
    }

    fn is_self_registered(&self) -> bool {
        true
    }

    fn contains(&self, listing: &Listing) -> bool {
        self.cache.borrow().contains_listing(listing)
    }

    async fn register(&self, listings: &[Listing]) -> Result<(), TableError> {
        let changes: Vec<Change> = listings
            .iter()
            .map(|listing| {
                let value = serde_json::to_vec(listing).expect("a listing can be serialized");
                listing_change(&listing.name, Some(value))
            })
            .collect();
        self.write_listings(&changes).await
    }

    fn set_source(&self, source: Source) {
        self.roster_source.send_replace(source);
    }

    async fn deregister(&self, name: &str) -> Result<(), TableError> {
        self.write_listings(&[listing_change(name, None)]).await
    }
}

impl Mirror {
    /// Writes or removes entries in the list of boxes.
    async fn write_listings(&self, changes: &[Change]) -> Result<(), TableError> {
        self.metrics
            .count_store_call(Feed::Boxes.table(), "listing");
        let done = self.store.transact(Feed::Boxes.table(), changes).await;
        done.map(|_| ()).map_err(table_error)
    }
}

/// Returns the change that writes or removes a box's entry in the list of boxes.
fn listing_change(name: &str, value: Option<Vec<u8>>) -> Change {
    Change {
        key: format!("{LISTING_PREFIX}{name}").into(),
        expect: None,
        value,
    }
}
