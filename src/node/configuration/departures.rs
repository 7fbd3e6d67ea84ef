//! Since when members leave, for all groups of this box and for its peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::borders::table::{DepartureAges, RESOURCE_PREFIX, Revision};
use crate::decisions::departure::Departure;
use crate::declarations::resource::{Key, Member};
use crate::declarations::snapshot::{Manner, Snapshot};

/// Time for which a member that is listed no more is remembered: far more than members
/// serve on.
const REMEMBERED: Duration = Duration::from_secs(60);

/// Members that leave or are listed no more, and how long ago that was said.
#[derive(Default)]
pub struct Departures {
    iter: BTreeMap<Key, Departed>,
}

/// How much older another box's age of a word has to be to count in place of one's own: what
/// both have heard from the table differs by less.
const OLDER: Duration = Duration::from_millis(500);

/// A member that departs.
#[derive(Clone, Debug)]
struct Departed {
    member: Member,
    departure: Departure,
    /// Era of the table in which it was said, or in which it was last listed.
    era: u64,
}

impl Departed {
    /// Whether the word is taken back: by the member itself, or since it started again. An
    /// older copy of the table that lists the member as it was before takes nothing back.
    fn is_over(&self, listed: Option<&Listed>, now: Duration) -> bool {
        let remembered = !self.departure.known_for(REMEMBERED, now);
        let Some(listed) = listed else {
            return !remembered;
        };
        let again = self.member.started_again(listed.member);
        let lost = listed.revision.era() > self.era && remembered;
        again || (!listed.member.leaving && !lost)
    }
}

/// A member as the table lists it.
struct Listed<'a> {
    member: &'a Member,
    revision: Revision,
}

fn listed<'a>(snapshot: &'a Snapshot, key: &Key) -> Option<Listed<'a>> {
    let revision = snapshot.resources.get(key)?.revision;
    let member = snapshot.member(key)?;
    Some(Listed { member, revision })
}

impl Departures {
    /// Takes over who departs by a snapshot that follows on another, and returns of whom that
    /// is news. Its age is what `told` says, or at most `lag`; none where that is not known
    /// either.
    pub fn update(
        &mut self,
        (before, snapshot): (&Snapshot, &Snapshot),
        told: &DepartureAges,
        lag: Option<Duration>,
        now: Duration,
    ) -> Vec<(Key, Manner)> {
        self.merge_ages(told, now);
        self.iter
            .retain(|key, known| !known.is_over(listed(snapshot, key).as_ref(), now));
        let departed: Vec<(Key, Manner)> = snapshot.departed_since(before).collect();
        for (key, _) in &departed {
            let age = told.get(&row_key(key)).copied();
            let age = age.map_or(lag, |age| age.map(Duration::from_millis));
            let Some(last) = listed(snapshot, key).or(listed(before, key)) else {
                continue;
            };
            // A member that leaves, and whose entry goes or lapses later, left when it said so.
            let era = last.revision.era();
            let known = self.iter.entry(key.clone()).or_insert_with(|| Departed {
                member: last.member.clone(),
                departure: Departure::with_age(now, age),
                era,
            });
            // Said again after an older copy, it is the same word.
            known.era = known.era.max(era);
        }
        departed
    }

    /// Takes ages that another box has told, where this one has none or a younger one: it may
    /// have heard a word only when that was written again. Whether any was.
    pub fn merge_ages(&mut self, told: &DepartureAges, now: Duration) -> bool {
        let mut learned = false;
        for (key, known) in &mut self.iter {
            let Some(age) = told.get(&row_key(key)).copied().flatten() else {
                continue;
            };
            let age = Duration::from_millis(age);
            let own = known.departure.age(now);
            if own.is_none_or(|own| age > own + OLDER) {
                known.departure = Departure::with_age(now, Some(age));
                learned = true;
            }
        }
        learned
    }

    /// Whether some age is not known.
    pub fn has_unknown_age(&self, now: Duration) -> bool {
        let mut known = self.iter.values();
        known.any(|known| known.departure.age(now).is_none())
    }

    /// Ages by row, for a peer.
    pub fn ages(&self, now: Duration) -> DepartureAges {
        let age = |known: &Departed| known.departure.age(now).map(|age| age.as_millis() as u64);
        let known = self.iter.iter();
        known
            .map(|(key, known)| (row_key(key), age(known)))
            .collect()
    }

    /// Who departs, and since when.
    pub fn iter(&self) -> impl Iterator<Item = (&Member, Departure)> {
        let known = self.iter.values();
        known.map(|known| (&known.member, known.departure))
    }
}

fn row_key(key: &Key) -> Arc<str> {
    format!("{RESOURCE_PREFIX}{key}").into()
}
