//! All rows that a box knows, and what they declare.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde_json::Value;
use slog::Logger;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::PRIMARY_PREFIX;
use crate::borders::table::{RESOURCE_PREFIX, Revision, Row, Scan, Section};
use crate::decisions::duty::Duty;
use crate::declarations::check;
use crate::declarations::entry::Entry;
use crate::declarations::resource::Key;
use crate::declarations::snapshot::{Primary, Snapshot, Stored};
use crate::events;
use crate::node::duty::DUTY;
use crate::node::updates::ScanRequest;

/// A row, and when it was taken.
struct Known {
    row: Row,
    taken: u64,
}

/// All rows at one revision, and what they declare.
#[derive(Default)]
pub struct Store {
    revision: Revision,
    rows: BTreeMap<Arc<str>, Known>,
    /// Counts what was taken, in the order in which it came.
    sequence: u64,
    /// Kept beside the rows, so that a change costs what it changes.
    resources: BTreeMap<Key, Stored>,
    primaries: BTreeMap<Arc<str>, Primary>,
    duties: BTreeMap<Arc<str>, Duty>,
    /// Revisions at which sections were last known whole.
    complete_sections: BTreeMap<Section, Revision>,
    /// Changes with every row that is there and its value, whatever the order they came
    /// in.
    digest: u64,
}

impl Store {
    pub fn revision(&self) -> Revision {
        self.revision
    }

    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// How much was taken so far, for [`Store::taken_after`].
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Revisions at which sections were last known whole.
    pub fn complete_sections(&self) -> &BTreeMap<Section, Revision> {
        &self.complete_sections
    }

    /// Takes rows written after `since`, none of them missing. False if they
    /// are old or leave a gap. What is no valid resource is left out and logged.
    pub fn apply(&mut self, since: Revision, scan: &Scan, log: &Logger) -> bool {
        if since > self.revision {
            return false;
        }
        let mut whole = self.newly_whole(&scan.whole);
        if let Some(digest) = scan.same_as {
            self.confirm(digest, std::mem::take(&mut whole));
        }
        let mut news = self.gone(scan, &whole);
        let told = scan.rows.iter();
        news.extend(told.filter_map(|row| self.news(row, &whole)));
        self.complete_sections.extend(whole);
        if scan.head <= self.revision && news.is_empty() {
            return false;
        }
        self.sequence += 1;
        for row in news {
            self.put(row, log);
        }
        self.revision = self.revision.max(scan.head);
        true
    }

    /// Another box has the same rows, and knows sections whole as of these revisions: so
    /// does this one, unless its rows changed meanwhile.
    fn confirm(&mut self, digest: u64, whole: BTreeMap<Section, Revision>) {
        if digest == self.digest {
            self.complete_sections.extend(whole);
        }
    }

    /// Those of the sections that another knows whole at least as late as this box does.
    fn newly_whole(&self, told: &BTreeMap<Section, Revision>) -> BTreeMap<Section, Revision> {
        let told = told.iter().map(|(section, at)| (*section, *at));
        told.filter(|(section, at)| *at >= self.whole_at(*section))
            .collect()
    }

    /// Revision as of which a section is known whole; the default where it is not.
    fn whole_at(&self, section: Section) -> Revision {
        self.complete_sections
            .get(&section)
            .copied()
            .unwrap_or_default()
    }

    /// Rows that are not there any more, since a section that is known whole lacks them.
    fn gone(&self, scan: &Scan, whole: &BTreeMap<Section, Revision>) -> Vec<Row> {
        if whole.is_empty() {
            return Vec::new();
        }
        let listed: BTreeSet<&Arc<str>> = scan.rows.iter().map(|row| &row.key).collect();
        let gone = |known: &Known| {
            let row = &known.row;
            let at = *whole.get(&Section::of(&row.key))?;
            let lacks = row.value.is_some() && row.revision <= at && !listed.contains(&row.key);
            lacks.then(|| Row {
                key: row.key.clone(),
                revision: at,
                value: None,
            })
        };
        self.rows.values().filter_map(gone).collect()
    }

    /// A row as it is to be taken, none if it is no news.
    ///
    /// A row's revision says when whoever told it saw it change, not as of when it holds:
    /// a change that was taken back, or a row that came and went, leaves no mark with a box
    /// that read only before and after. What a section that is known whole says goes
    /// before older rows, by whatever revision it names them.
    fn news(&self, row: &Row, whole: &BTreeMap<Section, Revision>) -> Option<Row> {
        let section = Section::of(&row.key);
        let known = self.rows.get(&row.key).map(|known| &known.row);
        let newest = known.map_or(Revision::NONE, |known| known.revision);
        let Some(at) = whole.get(&section) else {
            let newer = row.revision > newest.max(self.whole_at(section));
            return newer.then(|| row.clone());
        };
        if row.revision > newest {
            return Some(row.clone());
        }
        let overruled = newest < *at && known.is_some_and(|known| known.value != row.value);
        overruled.then(|| Row {
            revision: *at,
            ..row.clone()
        })
    }

    fn put(&mut self, row: Row, log: &Logger) {
        if let Err(error) = self.declare(&row) {
            let fields: [(_, &dyn std::fmt::Display); 2] = [("row", &row.key), ("error", &error)];
            events::emit(log, &events::BAD_ROW, &fields);
        }
        let taken = self.sequence;
        self.digest ^= mark(&row);
        let known = self.rows.insert(row.key.clone(), Known { row, taken });
        self.digest ^= known.map_or(0, |known| mark(&known.row));
    }

    /// Takes over what one row declares.
    fn declare(&mut self, row: &Row) -> Result<(), String> {
        let revision = row.revision;
        if let Some(group) = row.key.strip_prefix(PRIMARY_PREFIX) {
            self.primaries.remove(group);
            let told = parsed::<Primary>(row)?;
            let primary = told.map(|told| (group.into(), Primary { revision, ..told }));
            self.primaries.extend(primary);
            return Ok(());
        }
        if let Some(group) = row.key.strip_prefix(DUTY) {
            let known = self.duties.remove(group);
            let told = parsed::<Duty>(row);
            // An unreadable record names no holder; whoever takes the duty replaces it.
            let duty = told.as_ref().map_or(Some(Duty::default()), Option::clone);
            let duty = newest_duty(known, duty, revision);
            self.duties.extend(duty.map(|duty| (group.into(), duty)));
            return told.map(|_| ());
        }
        let key = row.key.strip_prefix(RESOURCE_PREFIX).and_then(Key::parse);
        let key = key.ok_or("unknown kind of row")?;
        self.resources.remove(&key);
        let Some(value) = &row.value else {
            return Ok(());
        };
        let stored = resource(row, &key, value)?;
        self.resources.insert(key, stored);
        Ok(())
    }

    /// What a peer does not have yet.
    pub fn scan_for_peer(&self, question: &ScanRequest) -> Scan {
        match question.digest == self.digest {
            true => self.same(),
            false => self.scan_since(question.since),
        }
    }

    /// What a follower with this digest does not have yet: all, or what was taken after a
    /// moment, whatever its revisions.
    pub fn scan_for_follower(&self, digest: u64, after: Option<u64>) -> Scan {
        if digest == self.digest {
            return self.same();
        }
        let Some(after) = after else {
            return self.scan_since(Revision::NONE);
        };
        let newer = self.rows.values().filter(|known| known.taken > after);
        Scan {
            head: self.revision,
            rows: newer.map(|known| known.row.clone()).collect(),
            ..Scan::default()
        }
    }

    /// For whoever has the same rows.
    fn same(&self) -> Scan {
        Scan {
            head: self.revision,
            whole: self.complete_sections.clone(),
            same_as: Some(self.digest),
            ..Scan::default()
        }
    }

    pub fn scan_since(&self, since: Revision) -> Scan {
        let rows = self.rows.values().map(|known| &known.row);
        let newer = rows.filter(|row| row.revision > since);
        Scan {
            head: self.revision,
            rows: newer.cloned().collect(),
            whole: match since {
                Revision::NONE => self.complete_sections.clone(),
                _ => BTreeMap::new(),
            },
            ..Scan::default()
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

/// The duty that was taken last, with the revision that the next one to take it must name. An
/// older copy of the table holds an earlier one or none, and generations must not fall.
fn newest_duty(known: Option<Duty>, told: Option<Duty>, revision: Revision) -> Option<Duty> {
    // That it is not there is known as of an era too: a claim of the one before has ended.
    let absent = Revision::new(revision.era(), 0);
    let revision = told.as_ref().map_or(absent, |_| revision);
    let newest = match (known, told) {
        (Some(known), Some(told)) if told.generation >= known.generation => Some(told),
        (Some(known), _) => Some(known),
        (None, told) => told,
    };
    newest.map(|duty| Duty { revision, ..duty })
}

/// What a row holds, none if it was deleted.
fn parsed<T: DeserializeOwned>(row: &Row) -> Result<Option<T>, String> {
    let value = row.value.clone().map(serde_json::from_value);
    value.transpose().map_err(|error| error.to_string())
}

/// A row's part of the digest; none once it is gone. The revision's number has no part in it:
/// boxes that learn of a row by different ways may know it by different ones. A record's era
/// has: whoever replaces the record has to name a revision of the copy that is there.
fn mark(row: &Row) -> u64 {
    let Some(value) = &row.value else {
        return 0;
    };
    let era = match Section::of(&row.key) {
        Section::Records => row.revision.era(),
        Section::Declarations | Section::Members => 0,
    };
    let value = xxh3_64_with_seed(value.to_string().as_bytes(), era);
    xxh3_64_with_seed(row.key.as_bytes(), value)
}

fn resource(row: &Row, key: &Key, value: &Value) -> Result<Stored, String> {
    let entry = Entry::from_json(key.kind.name(), &row.key, value).map_err(|f| f.to_string())?;
    let spec = check::one(&entry).map_err(|findings| findings[0].to_string())?;
    let revision = row.revision;
    Ok(Stored { revision, spec })
}
