//! Who reads the table for whom.
//!
//! Each question to the table has its price, and a change wakes every box that waits
//! for one. So in a failure domain with many boxes a few of them read the table, and
//! the others ask those. A box that hears nothing fresh from them reads by itself: a
//! reader that is frozen or cut off holds up nobody for long.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::borders::roster::Listing;
use crate::borders::table::Pace;

/// Boxes of one failure domain that each read by themselves: below, two readers would
/// save little.
const SMALL: usize = 4;
/// Readers of a larger failure domain, at least: one may be down.
const LEAST_READERS: usize = 2;
/// Boxes for each further reader: what one passes on stays well below what it serves.
const BOXES_PER_READER: usize = 16;
/// Age of what readers tell from which on a box reads by itself. Readers hear from the
/// table each second, and are asked more often than that; a change has to be in force
/// within three seconds.
const STALE: Duration = Duration::from_millis(2_200);
/// Time for which a reader that told nothing fresh is not asked.
const SHUN: Duration = Duration::from_secs(1);

/// Boxes that read the table for a failure domain; none where each reads by itself.
pub fn readers<'a>(boxes: &'a [Listing], domain: &str) -> Vec<&'a Listing> {
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
    /// Reads for itself.
    #[default]
    Alone,
    /// Reads for others too.
    Reader,
    /// Asks readers.
    Follower,
}

/// Reading as one box does it.
#[derive(Debug, Default)]
pub struct Readers {
    role: Role,
    /// Addresses of the readers, while this box asks them.
    readers: Vec<Arc<str>>,
    next: usize,
    shunned: HashMap<Arc<str>, Duration>,
    /// The newest moment whose state of the table is known here.
    informed: Option<Duration>,
}

impl Readers {
    /// Takes a new list of boxes.
    pub fn set_boxes(&mut self, boxes: &[Listing], name: &str, domain: &str) {
        let chosen = readers(boxes, domain);
        self.role = match chosen.iter().any(|reader| *reader.name == *name) {
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
    pub fn pace(&self, now: Duration) -> Pace {
        match self.role {
            Role::Alone => Pace::Calm,
            Role::Reader => Pace::Brisk,
            Role::Follower if self.stale_at().is_some_and(|stale| now < stale) => Pace::Rest,
            Role::Follower => Pace::Calm,
        }
    }

    /// When what is known here becomes too old to rest on; none while it is not known.
    pub fn stale_at(&self) -> Option<Duration> {
        self.informed.map(|informed| informed + STALE)
    }

    /// The reader to ask next, in turn, so that one that hears nothing is found out.
    pub fn next(&mut self, now: Duration) -> Option<Arc<str>> {
        let shunned = &self.shunned;
        let fit = |reader: &&Arc<str>| shunned.get(*reader).is_none_or(|until| now >= *until);
        let fit: Vec<&Arc<str>> = self.readers.iter().filter(fit).collect();
        let count = fit.len();
        let chosen = fit
            .get(self.next % count.max(1))
            .map(|reader| (*reader).clone());
        self.next = self.next.wrapping_add(1);
        chosen
    }

    /// A reader answered, and has itself heard from the table `age` ago; none when it
    /// has not.
    pub fn heard(&mut self, reader: &Arc<str>, age: Option<Duration>, now: Duration) {
        match age {
            Some(age) if age < STALE => {
                self.informed = self.informed.max(Some(now.saturating_sub(age)));
            }
            _ => self.failed(reader, now),
        }
    }

    /// A reader gave no answer.
    pub fn failed(&mut self, reader: &Arc<str>, now: Duration) {
        self.shunned.retain(|_, until| now < *until);
        self.shunned.insert(reader.clone(), now + SHUN);
    }
}
