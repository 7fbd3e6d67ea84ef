//! Tracks how long ago members announced that they leave, or were removed from the list. The
//! groups of this box and its peers use these ages.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::borders::table::{DepartureAges, RESOURCE_PREFIX, Revision};
use crate::decisions::departure::Departure;
use crate::declarations::resource::{Key, Member};
use crate::declarations::snapshot::{DepartureReason, Snapshot};

/// Time for which a departure is kept if the member is no longer listed, or an older copy of the
/// table lists it as before. Much longer than statements are still sent to leaving members.
const RETENTION: Duration = Duration::from_secs(60);

/// The members that leave or are no longer listed, and how long ago that was announced.
#[derive(Default)]
pub struct Departures {
    departures: BTreeMap<Key, Departing>,
}

/// Minimum difference at which another box's greater age replaces this box's own. Boxes that
/// learn of an announcement from the table differ by less.
const MIN_AGE_DIFFERENCE: Duration = Duration::from_millis(500);

/// A member that leaves or is no longer listed.
#[derive(Clone, Debug)]
struct Departing {
    member: Member,
    departure: Departure,
    /// Era of the table in which the departure was announced, or the member was last listed.
    era: u64,
}

impl Departing {
    /// Whether the departure has ended: the member withdrew its announcement or was restarted, or
    /// has been missing for the retention time. During that time, an older copy of the table that
    /// lists the member as it was before the announcement doesn't end the departure.
    fn has_ended(&self, listed: Option<&Listed>, now: Duration) -> bool {
        let retained = !self.departure.known_for(RETENTION, now);
        let Some(listed) = listed else {
            return !retained;
        };
        let restarted = self.member.restarted_as(listed.member);
        let reverted = listed.revision.era() > self.era && retained;
        restarted || (!listed.member.leaving && !reverted)
    }
}

/// A member's entry in a snapshot.
struct Listed<'a> {
    member: &'a Member,
    revision: Revision,
}

fn find_member<'a>(snapshot: &'a Snapshot, key: &Key) -> Option<Listed<'a>> {
    let revision = snapshot.resources.get(key)?.revision;
    let member = snapshot.member(key)?;
    Some(Listed { member, revision })
}

impl Departures {
    /// Updates the departures for a change from one snapshot to the next, and returns the new
    /// ones. Their ages are taken from `ages`, as sent by another box, or else are `max_age`; both
    /// may be unknown.
    pub fn update(
        &mut self,
        (before, snapshot): (&Snapshot, &Snapshot),
        ages: &DepartureAges,
        max_age: Option<Duration>,
        now: Duration,
    ) -> Vec<(Key, DepartureReason)> {
        self.merge_ages(ages, now);
        self.departures
            .retain(|key, known| !known.has_ended(find_member(snapshot, key).as_ref(), now));
        let departed: Vec<(Key, DepartureReason)> = snapshot.departed_since(before).collect();
        for (key, _) in &departed {
            let age = ages.get(&row_key(key)).copied();
            let age = age.map_or(max_age, |age| age.map(Duration::from_millis));
            let Some(last) = find_member(snapshot, key).or(find_member(before, key)) else {
                continue;
            };
            // If the entry of a leaving member is removed or expires later, the time of the
            // announcement counts.
            let era = last.revision.era();
            let known = self
                .departures
                .entry(key.clone())
                .or_insert_with(|| Departing {
                    member: last.member.clone(),
                    departure: Departure::with_age(now, age),
                    era,
                });
            // An announcement that is repeated after an older copy was restored remains the same.
            known.era = known.era.max(era);
        }
        departed
    }

    /// Adopts ages from another box where this box has none or a smaller one, as it may have
    /// learned of an announcement only when that was repeated. Returns whether any age changed.
    pub fn merge_ages(&mut self, ages: &DepartureAges, now: Duration) -> bool {
        let mut changed = false;
        for (key, known) in &mut self.departures {
            let Some(age) = ages.get(&row_key(key)).copied().flatten() else {
                continue;
            };
            let age = Duration::from_millis(age);
            let own_age = known.departure.age(now);
            if own_age.is_none_or(|own_age| age > own_age + MIN_AGE_DIFFERENCE) {
                known.departure = Departure::with_age(now, Some(age));
                changed = true;
            }
        }
        changed
    }

    /// Whether the age of a departure is unknown.
    pub fn has_unknown_age(&self, now: Duration) -> bool {
        let mut known = self.departures.values();
        known.any(|known| known.departure.age(now).is_none())
    }

    /// Returns the ages of all departures by row key, for a peer.
    pub fn ages(&self, now: Duration) -> DepartureAges {
        let age = |known: &Departing| known.departure.age(now).map(|age| age.as_millis() as u64);
        let known = self.departures.iter();
        known
            .map(|(key, known)| (row_key(key), age(known)))
            .collect()
    }

    /// Returns the members that leave or are no longer listed, with their departures.
    pub fn iter(&self) -> impl Iterator<Item = (&Member, Departure)> {
        let known = self.departures.values();
        known.map(|known| (&known.member, known.departure))
    }
}

fn row_key(key: &Key) -> Arc<str> {
    format!("{RESOURCE_PREFIX}{key}").into()
}
