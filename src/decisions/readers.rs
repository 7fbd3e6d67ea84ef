//! Decides which boxes of a failure domain poll the platform's table, and which follow a peer.
//!
//! Each call to the table has a cost, and a change wakes every box that waits for it. In a
//! failure domain with many boxes, a few of them (the readers) poll the table, and the others
//! (the followers) ask the readers. A follower that gets no recent state from any reader polls
//! the table itself, so that a frozen or partitioned reader delays it only briefly.
//!
//! A starting box first reads the list of boxes, and lets the listed readers answer before it
//! polls the rest. When a whole system starts for the first time no box is listed yet, so every
//! box waits for the list to fill.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::borders::roster::Listing;
use crate::borders::table::Polling;

/// Size of a failure domain up to which each box polls for itself.
const MAX_BOXES_WITHOUT_READERS: usize = 4;
/// Minimum number of readers, so that one may be down.
const MIN_READERS: usize = 2;
/// Number of readers up to which a larger failure domain has more of them, whatever their links
/// carry. If the table turns away a third of all boxes, these are rarely all among them, and the
/// followers need not poll the table themselves.
const READERS_FOR_OUTAGE: usize = 5;
/// Number of boxes that any reader can serve, which bounds the bytes that it passes on.
const BOXES_PER_READER: usize = 16;
/// Bandwidth of a reader's link for each box, in Mbit/s. A reader with a faster link serves more
/// than [`BOXES_PER_READER`] boxes.
const LINK_MBPS_PER_BOX: usize = 5;
/// Percentage of [`Settings::apply`] after which a reader's state is stale. The rest is left for
/// polling the table: 0.8 s of three seconds.
const STALE_PERCENT: u32 = 73;
/// Time for which a reader is skipped after a failure or a stale answer.
const READER_BACKOFF: Duration = Duration::from_secs(1);
/// The same while this box starts, as its readers may be starting too.
const READER_BACKOFF_AT_START: Duration = Duration::from_millis(60);
/// Time that readers get to answer when this box starts, as readers that start at the same time
/// have to read the table first. Boxes that start together do so within 0.3 s.
const READER_WAIT: Duration = Duration::from_millis(450);
/// Time for the list of boxes to fill when a whole system starts for the first time. Most boxes
/// list themselves within a second; without the wait, 195 boxes made 2,595 calls to the table.
const ROSTER_WAIT: Duration = Duration::from_millis(1_800);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time within which an accepted change must be in force.
    pub apply: Duration,
    /// Time after the start during which only the list of boxes is read.
    pub roster_wait: Duration,
    /// Time after `roster_wait` during which readers may still answer.
    pub reader_wait: Duration,
}

impl Settings {
    /// Returns the settings of a box that joins a running system, or starts with a new one.
    pub fn new(apply: Duration, first_start: bool) -> Self {
        Self {
            apply,
            roster_wait: match first_start {
                true => ROSTER_WAIT,
                false => Duration::ZERO,
            },
            reader_wait: READER_WAIT,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            apply: Duration::from_secs(3),
            roster_wait: Duration::ZERO,
            reader_wait: Duration::ZERO,
        }
    }
}

/// Selects the readers of a failure domain; none where each box polls for itself.
pub fn choose_readers<'a>(boxes: &'a [Listing], domain: &str) -> Vec<&'a Listing> {
    let is_candidate = |listing: &&Listing| *listing.domain == *domain && !listing.leaving;
    let mut candidates: Vec<&Listing> = boxes.iter().filter(is_candidate).collect();
    if candidates.len() <= MAX_BOXES_WITHOUT_READERS {
        return Vec::new();
    }
    // Boxes with faster links first, as changes may be large.
    candidates.sort_by_key(|l| (std::cmp::Reverse(l.link_mbps), xxh3_64(l.name.as_bytes())));
    let spread = (candidates.len().div_ceil(BOXES_PER_READER)).min(READERS_FOR_OUTAGE);
    let count = sufficient_readers(&candidates).max(spread);
    candidates.truncate(count.max(MIN_READERS));
    candidates
}

/// Selects the readers of each failure domain.
pub fn choose_readers_by_domain(boxes: &[Listing]) -> HashMap<Arc<str>, Vec<Listing>> {
    let mut domains: HashMap<Arc<str>, Vec<Listing>> = HashMap::new();
    for listing in boxes {
        let domain = domains.entry(listing.domain.clone());
        domain.or_default().push(listing.clone());
    }
    for (domain, boxes) in &mut domains {
        *boxes = choose_readers(boxes, domain).into_iter().cloned().collect();
    }
    domains
}

/// Returns how many of the candidates, from the first on, can serve all of them.
fn sufficient_readers(candidates: &[&Listing]) -> usize {
    let mut served = 0;
    let sufficient = candidates.iter().position(|listing| {
        served += BOXES_PER_READER.max(listing.link_mbps as usize / LINK_MBPS_PER_BOX);
        served >= candidates.len()
    });
    sufficient.map_or(candidates.len(), |last| last + 1)
}

/// Role of a box in its failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Role {
    /// The list of boxes is not known yet.
    #[default]
    Unknown,
    /// Polls for itself.
    Alone,
    /// Polls for itself and its followers.
    Reader,
    /// Asks the readers.
    Follower,
}

/// Decides when this box polls the table itself, and which reader it asks.
#[derive(Debug, Default)]
pub struct Schedule {
    settings: Settings,
    started: Duration,
    role: Role,
    /// Addresses of the readers, in the order in which this box tries them; empty unless this box
    /// is a follower.
    readers: Vec<Arc<str>>,
    /// The reader that was asked last.
    current: Option<Arc<str>>,
    /// Readers to skip, each until the given time.
    backoffs: HashMap<Arc<str>, Duration>,
    /// Latest time at which the local state is known to match the table.
    current_at: Option<Duration>,
    /// When a reader last showed that it will pass on its first state: it is starting too, or the
    /// transfer to this box has made progress.
    expected_at: Option<Duration>,
}

impl Schedule {
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            settings,
            started: now,
            ..Self::default()
        }
    }

    /// Updates the role and the readers from a list of boxes.
    pub fn set_boxes(&mut self, boxes: &[Listing], name: &str, domain: &str) {
        if boxes.is_empty() {
            return;
        }
        self.set_readers(&choose_readers(boxes, domain), name);
    }

    fn set_readers(&mut self, chosen: &[&Listing], name: &str) {
        self.role = match chosen.iter().any(|reader| *reader.name == *name) {
            _ if chosen.is_empty() => Role::Alone,
            true => Role::Reader,
            false => Role::Follower,
        };
        let own_hash = xxh3_64(name.as_bytes());
        let own_order = |address: &Arc<str>| xxh3_64_with_seed(address.as_bytes(), own_hash);
        let addresses = chosen.iter().map(|reader| reader.address.clone());
        self.readers = match self.role {
            Role::Follower => addresses.collect(),
            _ => Vec::new(),
        };
        self.readers.sort_by_cached_key(own_order);
    }

    /// Sets the readers before the list of boxes is known, as another box has chosen them. Ends the
    /// wait for the list to fill.
    pub fn set_first_readers(&mut self, readers: &[Listing], name: &str, now: Duration) {
        if self.role != Role::Unknown || readers.is_empty() {
            return;
        }
        self.set_readers(&readers.iter().collect::<Vec<_>>(), name);
        let waited = now.saturating_sub(self.started);
        self.settings.roster_wait = self.settings.roster_wait.min(waited);
    }

    /// Starts the time that readers get to answer, once they are known.
    pub fn start_following(&mut self, now: Duration) {
        if self.role == Role::Follower && self.expected_at.is_none() {
            self.expected_at = Some(now);
        }
    }

    /// Returns how this box polls the table.
    pub fn polling(&self, now: Duration) -> Polling {
        let awaits_roster = now < self.started + self.settings.roster_wait;
        match self.role {
            _ if awaits_roster => Polling::Paused,
            Role::Alone => Polling::Normal,
            Role::Reader => Polling::Frequent,
            Role::Unknown | Role::Follower if now < self.paused_until() => Polling::Paused,
            Role::Unknown | Role::Follower => Polling::Normal,
        }
    }

    /// Returns until when a follower need not poll: until its state is stale, and at the start
    /// until the readers have had time to answer.
    pub fn paused_until(&self) -> Duration {
        let stale_at = self
            .current_at
            .map(|current_at| current_at + self.max_age());
        stale_at.unwrap_or_default().max(self.start_end())
    }

    /// Returns when the start phase ends. A system that starts as a whole takes longer the larger it
    /// is, so a box waits while its first state is on its way: the alternative is that each box
    /// reads all rows from the table.
    fn start_end(&self) -> Duration {
        let first = self.started + self.settings.roster_wait;
        let expected = self.expected_at.filter(|_| self.current_at.is_none());
        first.max(expected.unwrap_or_default()) + self.settings.reader_wait
    }

    /// Records that the transfer of a reader's state has made progress.
    pub fn record_progress(&mut self, now: Duration) {
        self.expected_at = Some(now);
    }

    /// Records that a reader answers, but has no recent state itself. It may be cut off from the
    /// table, so this delays polling only for as long as a state may remain unconfirmed.
    fn record_starting_reader(&mut self, now: Duration) {
        let limit = self.started + self.settings.roster_wait + self.max_age();
        self.expected_at = self.expected_at.max(Some(now.min(limit)));
    }

    /// Returns the age from which state passed on by a reader is stale.
    fn max_age(&self) -> Duration {
        self.settings.apply * STALE_PERCENT / 100
    }

    /// Whether this box is still in its start phase.
    pub fn is_starting(&self, now: Duration) -> bool {
        now < self.start_end()
    }

    /// Returns the reader to ask next: the same one until it fails or has no recent state. Readers
    /// learn of changes at different times, so a box that changes between them would need all rows
    /// each time, instead of those that changed since the last answer.
    pub fn next_reader(&mut self, now: Duration) -> Option<Arc<str>> {
        let current = self.current.take();
        let current = current
            .filter(|current| self.readers.contains(current) && self.is_available(current, now));
        self.current = current.or_else(|| self.first_available(now));
        self.current.clone()
    }

    /// Returns the first available reader in this box's own order, so that the followers are spread
    /// over all readers.
    fn first_available(&self, now: Duration) -> Option<Arc<str>> {
        let available = self.readers.iter();
        let mut available = available.filter(|reader| self.is_available(reader, now));
        available.next().cloned()
    }

    fn is_available(&self, reader: &Arc<str>, now: Duration) -> bool {
        self.backoffs.get(reader).is_none_or(|until| now >= *until)
    }

    /// Returns the latest time at which the local state is known to have matched the table.
    pub fn current_at(&self) -> Option<Duration> {
        self.current_at
    }

    /// Records an answer of a reader; `age` is the time since the table answered the reader, if
    /// known.
    pub fn record_answer(&mut self, reader: &Arc<str>, age: Option<Duration>, now: Duration) {
        match age {
            Some(age) if age < self.max_age() => {
                self.current_at = self.current_at.max(Some(now.saturating_sub(age)));
            }
            _ => {
                if self.is_starting(now) {
                    self.record_starting_reader(now);
                }
                self.record_failure(reader, now);
            }
        }
    }

    /// Records that a reader gave no answer or a stale one.
    pub fn record_failure(&mut self, reader: &Arc<str>, now: Duration) {
        let backoff = match self.is_starting(now) {
            true => READER_BACKOFF_AT_START,
            false => READER_BACKOFF,
        };
        self.backoffs.retain(|_, until| now < *until);
        self.backoffs.insert(reader.clone(), now + backoff);
    }
}
