//! Since when members leave, for all groups of this box and for its peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::borders::table::{Ages, RESOURCE};
use crate::decisions::departure::Departure;
use crate::declarations::resource::Key;
use crate::declarations::snapshot::Snapshot;

/// Members that are declared to leave, and how long ago they said so.
#[derive(Default)]
pub struct Departures {
    known: BTreeMap<Key, Departure>,
}

impl Departures {
    /// Takes over who leaves by a snapshot. The age of a word that is news is what `told`
    /// says, or at most `lag`; none where that is not known either.
    pub fn take(&mut self, snapshot: &Snapshot, told: &Ages, lag: Option<Duration>, now: Duration) {
        self.learn(told, now);
        let before = std::mem::take(&mut self.known);
        let departure = |key: &Key| {
            let age = told.get(&row_key(key)).copied();
            let age = age.map_or(lag, |age| age.map(Duration::from_millis));
            Departure::heard(now, age)
        };
        let known = |key: &Key| before.get(key).copied();
        let leaving = snapshot.leaving();
        self.known = leaving
            .map(|key| (key.clone(), known(key).unwrap_or_else(|| departure(key))))
            .collect();
    }

    /// Takes ages that another box has told, where this one has none. Whether any was.
    pub fn learn(&mut self, told: &Ages, now: Duration) -> bool {
        let mut learned = false;
        for (key, departure) in &mut self.known {
            let age = told.get(&row_key(key)).copied().flatten();
            if departure.age(now).is_none() && age.is_some() {
                *departure = Departure::heard(now, age.map(Duration::from_millis));
                learned = true;
            }
        }
        learned
    }

    /// Whether some age is not known.
    pub fn has_unknown(&self, now: Duration) -> bool {
        let mut known = self.known.values();
        known.any(|departure| departure.age(now).is_none())
    }

    /// Ages by row, for a peer.
    pub fn ages(&self, now: Duration) -> Ages {
        let age = |departure: &Departure| departure.age(now).map(|age| age.as_millis() as u64);
        let known = self.known.iter();
        known
            .map(|(key, departure)| (row_key(key), age(departure)))
            .collect()
    }

    pub fn known(&self) -> &BTreeMap<Key, Departure> {
        &self.known
    }
}

fn row_key(key: &Key) -> Arc<str> {
    format!("{RESOURCE}{key}").into()
}
