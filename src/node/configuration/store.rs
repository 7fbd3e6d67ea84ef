//! All rows that a box knows, and what they declare.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde_json::Value;
use slog::Logger;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{PRIMARY, RESOURCE};
use crate::borders::table::{Row, Scan};
use crate::decisions::duty::Duty;
use crate::declarations::check;
use crate::declarations::entry::Entry;
use crate::declarations::resource::Key;
use crate::declarations::snapshot::{Primary, Snapshot, Stored};
use crate::events;
use crate::node::duty::DUTY;

/// A row, and when it was taken.
struct Known {
    row: Row,
    taken: u64,
}

/// All rows at one revision, and what they declare.
#[derive(Default)]
pub struct Store {
    revision: u64,
    rows: BTreeMap<Arc<str>, Known>,
    /// Counts what was taken, in the order in which it came.
    taken: u64,
    /// Kept beside the rows, so that a change costs what it changes.
    resources: BTreeMap<Key, Stored>,
    primaries: BTreeMap<Arc<str>, Primary>,
    duties: BTreeMap<Arc<str>, Duty>,
    /// Changes with every row and its revision, whatever the order they came in.
    digest: u64,
}

impl Store {
    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// How much was taken so far, for [`Store::taken_after`].
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Rows that were taken after a moment, whatever their revisions.
    pub fn taken_after(&self, taken: u64) -> Vec<Row> {
        if taken >= self.taken {
            return Vec::new();
        }
        let newer = self.rows.values().filter(|known| known.taken > taken);
        newer.map(|known| known.row.clone()).collect()
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |known| known.row.revision)
    }

    /// Takes rows written after `since`, none of them missing. False if they
    /// are old or leave a gap. What is no valid resource is left out and logged.
    pub fn take(&mut self, since: u64, scan: &Scan, log: &Logger) -> bool {
        let newer = |row: &Row| row.revision > self.revision_of(&row.key);
        let fresh = scan.head > self.revision || scan.rows.iter().any(newer);
        if since > self.revision || !fresh {
            return false;
        }
        self.taken += 1;
        for row in &scan.rows {
            let known = self.revision_of(&row.key);
            if row.revision <= known {
                continue;
            }
            if let Err(error) = self.declare(row) {
                let fields: [(_, &dyn std::fmt::Display); 2] =
                    [("row", &row.key), ("error", &error)];
                events::emit(log, &events::BAD_ROW, &fields);
            }
            self.digest ^= mark(&row.key, known) ^ mark(&row.key, row.revision);
            let taken = self.taken;
            let row = row.clone();
            self.rows.insert(row.key.clone(), Known { row, taken });
        }
        self.revision = self.revision.max(scan.head);
        true
    }

    /// Takes over what one row declares.
    fn declare(&mut self, row: &Row) -> Result<(), String> {
        let revision = row.revision;
        if let Some(group) = row.key.strip_prefix(PRIMARY) {
            self.primaries.remove(group);
            let told = parsed::<Primary>(row)?;
            let primary = told.map(|told| (group.into(), Primary { revision, ..told }));
            self.primaries.extend(primary);
            return Ok(());
        }
        if let Some(group) = row.key.strip_prefix(DUTY) {
            self.duties.remove(group);
            let told = parsed::<Duty>(row)?;
            let duty = told.map(|told| (group.into(), Duty { revision, ..told }));
            self.duties.extend(duty);
            return Ok(());
        }
        let key = row.key.strip_prefix(RESOURCE).and_then(Key::parse);
        let key = key.ok_or("unknown kind of row")?;
        self.resources.remove(&key);
        let Some(value) = &row.value else {
            return Ok(());
        };
        let stored = resource(row, &key, value)?;
        self.resources.insert(key, stored);
        Ok(())
    }

    pub fn scan(&self, since: u64) -> Scan {
        let rows = self.rows.values().map(|known| &known.row);
        let newer = rows.filter(|row| row.revision > since);
        Scan {
            head: self.revision,
            rows: newer.cloned().collect(),
        }
    }

    pub fn snapshot(&self) -> Snapshot {
        Snapshot::new(
            self.revision,
            self.resources.clone(),
            self.primaries.clone(),
            self.duties.clone(),
        )
    }
}

/// What a row holds, none if it was deleted.
fn parsed<T: DeserializeOwned>(row: &Row) -> Result<Option<T>, String> {
    let value = row.value.clone().map(serde_json::from_value);
    value.transpose().map_err(|error| error.to_string())
}

/// A row's part of the digest; none while it is not known.
fn mark(key: &str, revision: u64) -> u64 {
    match revision {
        0 => 0,
        revision => xxh3_64_with_seed(key.as_bytes(), revision),
    }
}

fn resource(row: &Row, key: &Key, value: &Value) -> Result<Stored, String> {
    let entry = Entry::from_json(key.kind.name(), &row.key, value).map_err(|f| f.to_string())?;
    let spec = check::one(&entry).map_err(|findings| findings[0].to_string())?;
    let revision = row.revision;
    Ok(Stored { revision, spec })
}
