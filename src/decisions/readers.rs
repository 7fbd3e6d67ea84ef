//! Who reads the table for whom.
//!
//! Each question to the table has its price, and a change wakes every box that waits
//! for one. So in a failure domain with many boxes a few of them read the table, and
//! the others ask those. A box that hears nothing fresh from them reads by itself: a
//! reader that is frozen or cut off holds up nobody for long.
//!
//! That holds from a box's first moment on: it reads the list of boxes, and gives the
//! readers that it names a moment to answer before it reads the rest. When a whole system
//! starts for the first time nobody is listed yet, so the list gets time to fill.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::borders::roster::Listing;
use crate::borders::table::Polling;

/// Boxes of one failure domain that each read by themselves: below, two readers would
/// save little.
const SMALL: usize = 4;
/// Readers of a larger failure domain, at least: one may be down.
const LEAST_READERS: usize = 2;
/// Boxes for each further reader: what one passes on stays well below what it serves.
const BOXES_PER_READER: usize = 16;
/// Part of the time in which a change has to be in force, in percent, after which what
/// readers tell is too old and a box reads by itself. The rest is for the reading: 0.8 s of
/// three seconds.
const STALE_PERCENT: u32 = 73;
/// Time for which a reader that told nothing fresh is not asked.
const SHUN: Duration = Duration::from_secs(1);
/// The same while a box starts: its readers may be starting too, a few moments later.
const SHUN_AT_START: Duration = Duration::from_millis(60);
/// Time that readers get at a box's start before it reads by itself: boxes that start
/// together do so within 0.3 s, and a reader has to read first. A box that starts again
/// beside others then reads the list alone, in one or two calls.
const START_GRACE: Duration = Duration::from_millis(450);
/// Time in which the list of boxes fills when a whole system starts for the first time:
/// most list themselves within a second, and no caller is there yet. Before, 195 boxes made
/// 2,595 calls in their first start.
const GATHER: Duration = Duration::from_millis(1_800);

/// What a box's way of reading follows from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time in which an accepted change has to be in force.
    pub apply: Duration,
    /// Time at the start in which nothing is read but the list of boxes.
    pub roster_wait: Duration,
    /// Time at the start, after that, in which readers may still answer.
    pub reader_wait: Duration,
}

impl Settings {
    /// Those of a box that joins a system, or starts with a new one.
    pub fn new(apply: Duration, first_start: bool) -> Self {
        Self {
            apply,
            roster_wait: match first_start {
                true => GATHER,
                false => Duration::ZERO,
            },
            reader_wait: START_GRACE,
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

/// Boxes that read the table for a failure domain; none where each reads by itself.
pub fn choose_readers<'a>(boxes: &'a [Listing], domain: &str) -> Vec<&'a Listing> {
    let present = |listing: &&Listing| *listing.domain == *domain && !listing.leaving;
    let mut present: Vec<&Listing> = boxes.iter().filter(present).collect();
    if present.len() <= SMALL {
        return Vec::new();
    }
    let count = present.len().div_ceil(BOXES_PER_READER);
    // Those with the wider links first: changes may be large.
    present.sort_by_key(|l| (std::cmp::Reverse(l.link_mbps), xxh3_64(l.name.as_bytes())));
    present.truncate(count.max(LEAST_READERS));
    present
}

/// What a box does about reading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Role {
    /// The list of boxes is not known.
    #[default]
    Unknown,
    /// Reads for itself.
    Alone,
    /// Reads for others too.
    Reader,
    /// Asks readers.
    Follower,
}

/// Reading as one box does it.
#[derive(Debug, Default)]
pub struct Schedule {
    settings: Settings,
    /// When the box began to read.
    began: Duration,
    role: Role,
    /// Addresses of the readers, while this box asks them.
    readers: Vec<Arc<str>>,
    next_reader: usize,
    shunned: HashMap<Arc<str>, Duration>,
    /// The newest moment whose state of the table is known here.
    informed: Option<Duration>,
}

impl Schedule {
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            settings,
            began: now,
            ..Self::default()
        }
    }

    /// Takes a new list of boxes.
    pub fn set_boxes(&mut self, boxes: &[Listing], name: &str, domain: &str) {
        let chosen = choose_readers(boxes, domain);
        self.role = match chosen.iter().any(|reader| *reader.name == *name) {
            _ if boxes.is_empty() => Role::Unknown,
            _ if chosen.is_empty() => Role::Alone,
            true => Role::Reader,
            false => Role::Follower,
        };
        let addresses = chosen.iter().map(|reader| reader.address.clone());
        self.readers = match self.role {
            Role::Follower => addresses.collect(),
            _ => Vec::new(),
        };
    }

    /// How this box is to read the table itself.
    pub fn polling(&self, now: Duration) -> Polling {
        let gathers = now < self.began + self.settings.roster_wait;
        match self.role {
            _ if gathers => Polling::Paused,
            Role::Alone => Polling::Normal,
            Role::Reader => Polling::Frequent,
            Role::Unknown | Role::Follower if now < self.paused_until() => Polling::Paused,
            Role::Unknown | Role::Follower => Polling::Normal,
        }
    }

    /// Until when the table may rest by what is known here: until that is too old, or until
    /// readers have had their time at the start.
    pub fn paused_until(&self) -> Duration {
        let fresh = self.informed.map(|informed| informed + self.stale());
        self.started_at().max(fresh.unwrap_or_default())
    }

    /// When the box has started, as far as reading goes.
    fn started_at(&self) -> Duration {
        self.began + self.settings.roster_wait + self.settings.reader_wait
    }

    /// Age from which on a box reads by itself.
    fn stale(&self) -> Duration {
        self.settings.apply * STALE_PERCENT / 100
    }

    /// Whether the box still starts: what it waits for may come at any moment.
    pub fn is_starting(&self, now: Duration) -> bool {
        now < self.started_at()
    }

    /// The reader to ask next, in turn, so that one that hears nothing is found out.
    pub fn next_reader(&mut self, now: Duration) -> Option<Arc<str>> {
        let shunned = &self.shunned;
        let fit = |reader: &&Arc<str>| shunned.get(*reader).is_none_or(|until| now >= *until);
        let fit: Vec<&Arc<str>> = self.readers.iter().filter(fit).collect();
        let count = fit.len();
        let chosen = fit
            .get(self.next_reader % count.max(1))
            .map(|reader| (*reader).clone());
        self.next_reader = self.next_reader.wrapping_add(1);
        chosen
    }

    /// A reader answered, and has itself heard from the table `age` ago; none when it
    /// has not.
    pub fn record_answer(&mut self, reader: &Arc<str>, age: Option<Duration>, now: Duration) {
        match age {
            Some(age) if age < self.stale() => {
                self.informed = self.informed.max(Some(now.saturating_sub(age)));
            }
            _ => self.record_failure(reader, now),
        }
    }

    /// A reader gave no answer.
    pub fn record_failure(&mut self, reader: &Arc<str>, now: Duration) {
        let shun = match self.is_starting(now) {
            true => SHUN_AT_START,
            false => SHUN,
        };
        self.shunned.retain(|_, until| now < *until);
        self.shunned.insert(reader.clone(), now + shun);
    }
}
