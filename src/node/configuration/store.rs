//! Stores the rows of the platform's table that a box knows, and the resources and records that
//! they contain.

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
use crate::declarations::snapshot::{Builder, Membership, Primary, Snapshot, Stored};
use crate::events;
use crate::node::duty::DUTY_PREFIX;
use crate::node::membership::MEMBERSHIP_PREFIX;
use crate::node::updates::ScanRequest;

/// A row as it is kept: values are encoded, which takes a fraction of the memory, and as other boxes
/// receive them.
pub struct StoredRow {
    revision: Revision,
    /// None if the row was deleted.
    value: Option<Box<[u8]>>,
    digest: u64,
    /// Sequence number of the scan that brought the row.
    sequence: u64,
}

impl StoredRow {
    fn new(row: &Row, sequence: u64) -> Self {
        Self {
            revision: row.revision,
            value: encode_value(row.value.as_ref()),
            digest: row_digest(row),
            sequence,
        }
    }

    /// Appends the row in the encoding of [`Row`].
    pub fn encode(&self, key: &Arc<str>, buffer: &mut Vec<u8>) {
        const FIELDS: u32 = 3;
        rmp::encode::write_array_len(buffer, FIELDS).expect("a vector can grow");
        rmp_serde::encode::write(buffer, key).expect("a key can be encoded");
        rmp_serde::encode::write(buffer, &self.revision).expect("a revision can be encoded");
        match &self.value {
            Some(value) => buffer.extend_from_slice(value),
            None => rmp_serde::encode::write(buffer, &()).expect("nothing can be encoded"),
        }
    }

    fn to_row(&self, key: &Arc<str>) -> Row {
        let decode = |value| rmp_serde::from_slice(value).expect("an encoded value can be decoded");
        Row {
            key: key.clone(),
            revision: self.revision,
            value: self.value.as_deref().map(decode),
        }
    }
}

fn encode_value(value: Option<&Value>) -> Option<Box<[u8]>> {
    let encode = |value| rmp_serde::to_vec(value).expect("a value can be encoded");
    value.map(|value| encode(value).into())
}

/// All known rows and their parsed contents.
#[derive(Default)]
pub struct Store {
    revision: Revision,
    rows: BTreeMap<Arc<str>, StoredRow>,
    /// Number of applied scans.
    sequence: u64,
    /// Keys of the rows by the scan that brought them.
    by_sequence: BTreeSet<(u64, Arc<str>)>,
    /// Parsed rows. Updated row by row, so that the cost of a scan depends on its size only.
    declarations: Builder,
    /// Sections that are known completely, each with the revision at which it last was.
    complete_sections: BTreeMap<Section, Revision>,
    /// Digest of all existing rows and their values, independent of the order of arrival.
    digest: u64,
}

impl Store {
    pub fn revision(&self) -> Revision {
        self.revision
    }

    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the number of applied scans, for [`Store::scan_for_follower`].
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the sections that are known completely, each with the revision at which it last was.
    pub fn complete_sections(&self) -> &BTreeMap<Section, Revision> {
        &self.complete_sections
    }

    /// Applies a scan of all rows written after `since`. Returns false if it brings nothing new, or
    /// if rows before `since` are missing. Invalid resources are logged and skipped.
    pub fn apply(&mut self, since: Revision, scan: &Scan, log: &Logger) -> bool {
        if since > self.revision {
            return false;
        }
        let known_sections = self.complete_sections.len();
        let mut complete = self.current_sections(&scan.whole);
        if let Some(digest) = scan.same_as {
            self.confirm_sections(digest, std::mem::take(&mut complete));
        }
        let mut changes = self.deleted_rows(scan, &complete);
        let rows = scan.rows.iter();
        changes.extend(rows.filter_map(|row| self.changed_row(row, &complete)));
        self.complete_sections.extend(complete);
        let new_section = self.complete_sections.len() > known_sections;
        if scan.head <= self.revision && changes.is_empty() && !new_section {
            return false;
        }
        self.sequence += 1;
        for row in changes {
            self.insert_row(row, log);
        }
        self.revision = self.revision.max(scan.head);
        true
    }

    /// Records that sections are complete as of these revisions, as a box with the same rows
    /// reports; unless this box's rows have changed since its request.
    fn confirm_sections(&mut self, digest: u64, complete: BTreeMap<Section, Revision>) {
        if digest == self.digest {
            self.complete_sections.extend(complete);
        }
    }

    /// Returns the complete sections that are not older than this box's own state of them.
    fn current_sections(
        &self,
        sections: &BTreeMap<Section, Revision>,
    ) -> BTreeMap<Section, Revision> {
        let sections = sections.iter().map(|(section, at)| (*section, *at));
        sections
            .filter(|(section, at)| *at >= self.complete_at(*section))
            .collect()
    }

    /// Returns the revision at which a section was last complete; the default if it never was.
    fn complete_at(&self, section: Section) -> Revision {
        self.complete_sections
            .get(&section)
            .copied()
            .unwrap_or_default()
    }

    /// Returns deletions of the known rows that are missing from complete sections.
    fn deleted_rows(&self, scan: &Scan, complete: &BTreeMap<Section, Revision>) -> Vec<Row> {
        if complete.is_empty() {
            return Vec::new();
        }
        let listed: BTreeSet<&Arc<str>> = scan.rows.iter().map(|row| &row.key).collect();
        let deletion = |(key, known): (&Arc<str>, &StoredRow)| {
            let at = *complete.get(&Section::of(key))?;
            let missing = known.value.is_some() && known.revision <= at && !listed.contains(key);
            missing.then(|| Row {
                key: key.clone(),
                revision: at,
                value: None,
            })
        };
        self.rows.iter().filter_map(deletion).collect()
    }

    /// Returns the row to store; none if it isn't newer than the known one.
    ///
    /// A row's revision is the one at which its sender noticed the change, and boxes may differ
    /// in it: a box that reads the table only before and after a change that is then reverted, or
    /// a row that is created and then deleted, doesn't notice them. A complete section therefore
    /// overrules rows older than the section, whatever revisions it gives them.
    fn changed_row(&self, row: &Row, complete: &BTreeMap<Section, Revision>) -> Option<Row> {
        let section = Section::of(&row.key);
        let known = self.rows.get(&row.key);
        let newest = known.map_or(Revision::NONE, |known| known.revision);
        let Some(at) = complete.get(&section) else {
            let newer = row.revision > newest.max(self.complete_at(section));
            return newer.then(|| row.clone());
        };
        if row.revision > newest {
            return Some(row.clone());
        }
        let differs = |known: &StoredRow| known.value != encode_value(row.value.as_ref());
        let overruled = newest < *at && known.is_some_and(differs);
        overruled.then(|| Row {
            revision: *at,
            ..row.clone()
        })
    }

    fn insert_row(&mut self, row: Row, log: &Logger) {
        if let Err(error) = self.parse_row(&row) {
            let fields: [(_, &dyn std::fmt::Display); 2] = [("row", &row.key), ("error", &error)];
            events::emit(log, &events::INVALID_ROW, &fields);
        }
        let sequence = self.sequence;
        let stored = StoredRow::new(&row, sequence);
        self.digest ^= stored.digest;
        let key = row.key;
        if let Some(known) = self.rows.insert(key.clone(), stored) {
            self.digest ^= known.digest;
            self.by_sequence.remove(&(known.sequence, key.clone()));
        }
        self.by_sequence.insert((sequence, key));
    }

    /// Parses a row and stores its contents.
    fn parse_row(&mut self, row: &Row) -> Result<(), String> {
        let revision = row.revision;
        if let Some(group) = row.key.strip_prefix(PRIMARY_PREFIX) {
            let primary = parse_value::<Primary>(row);
            let known = primary.as_ref().ok().cloned().flatten();
            let known = known.map(|read| Primary { revision, ..read });
            self.declarations.set_primary(group.into(), known);
            return primary.map(|_| ());
        }
        if let Some(group) = row.key.strip_prefix(DUTY_PREFIX) {
            let known = self.declarations.duty(group).cloned();
            let parsed = parse_value::<Duty>(row);
            // An unreadable record has no holder, and the next box to claim the duty replaces it.
            let duty = parsed.as_ref().map_or(Some(Duty::default()), Option::clone);
            let duty = newest_duty(known, duty, revision);
            self.declarations.set_duty(group.into(), duty);
            return parsed.map(|_| ());
        }
        if let Some(group) = row.key.strip_prefix(MEMBERSHIP_PREFIX) {
            let membership = parse_value::<Membership>(row);
            let known = membership.as_ref().ok().cloned().flatten();
            let known = known.map(|read| Membership { revision, ..read });
            self.declarations.set_membership(group.into(), known);
            return membership.map(|_| ());
        }
        let key = row.key.strip_prefix(RESOURCE_PREFIX).and_then(Key::parse);
        let key = key.ok_or("unknown kind of row")?;
        let stored = row
            .value
            .as_ref()
            .map(|value| parse_resource(row, &key, value));
        let stored = stored.transpose();
        let readable = stored.as_ref().ok().cloned().flatten();
        self.declarations.set_resource(key, readable);
        stored.map(|_| ())
    }

    /// Returns the rows that a peer lacks.
    pub fn scan_for_peer(&self, request: &ScanRequest) -> Scan {
        match request.digest == self.digest {
            true => self.unchanged(),
            false => self.scan_since(request.since),
        }
    }

    /// Returns the rows that a follower with this digest lacks: those that changed after the given
    /// sequence number, whatever their revisions, or all rows without one.
    pub fn scan_for_follower(&self, digest: u64, after: Option<u64>) -> Scan {
        if digest == self.digest {
            return self.unchanged();
        }
        let Some(after) = after else {
            return self.scan_since(Revision::NONE);
        };
        Scan {
            head: self.revision,
            rows: self
                .rows_after(after)
                .map(|(key, row)| row.to_row(key))
                .collect(),
            ..Scan::default()
        }
    }

    /// Returns the rows that changed after the given sequence number.
    pub fn rows_after(&self, sequence: u64) -> impl Iterator<Item = (&Arc<str>, &StoredRow)> {
        let first: (u64, Arc<str>) = (sequence.saturating_add(1), Arc::default());
        let newer = self.by_sequence.range(first..);
        newer.filter_map(|(_, key)| self.rows.get_key_value(key))
    }

    /// Returns all rows.
    pub fn rows(&self) -> impl Iterator<Item = (&Arc<str>, &StoredRow)> {
        self.rows.iter()
    }

    /// Returns the scan of all rows without the rows themselves.
    pub fn all_but_rows(&self) -> Scan {
        Scan {
            head: self.revision,
            whole: self.complete_sections.clone(),
            ..Scan::default()
        }
    }

    /// Returns the answer to a box that has the same rows.
    pub fn unchanged(&self) -> Scan {
        Scan {
            head: self.revision,
            whole: self.complete_sections.clone(),
            same_as: Some(self.digest),
            ..Scan::default()
        }
    }

    /// Returns the rows with a later revision than `since`.
    pub fn scan_since(&self, since: Revision) -> Scan {
        let newer = self.rows().filter(|(_, row)| row.revision > since);
        let mut scan = self.all_but_rows();
        scan.rows = newer.map(|(key, row)| row.to_row(key)).collect();
        if since > Revision::NONE {
            scan.whole.clear();
        }
        scan
    }

    /// Returns all declarations and records in force.
    pub fn snapshot(&mut self) -> Snapshot {
        Snapshot {
            records_known: self.complete_sections.contains_key(&Section::Records),
            ..self.declarations.snapshot(self.revision)
        }
    }

    /// Returns how many groups' plans were derived from their declarations so far.
    pub fn rebuilt_plans(&self) -> u64 {
        self.declarations.rebuilt_plans()
    }
}

/// Returns the duty that was claimed last, with the revision that the next claim must expect. An
/// older copy of the table contains an earlier duty or none, and generations must not decrease.
fn newest_duty(known: Option<Duty>, read: Option<Duty>, revision: Revision) -> Option<Duty> {
    // The absence of a record counts for its era too: a claim of an earlier era has ended.
    let absent = Revision::new(revision.era(), 0);
    let revision = read.as_ref().map_or(absent, |_| revision);
    let newest = match (known, read) {
        (Some(known), Some(read)) if read.generation >= known.generation => Some(read),
        (Some(known), _) => Some(known),
        (None, read) => read,
    };
    newest.map(|duty| Duty { revision, ..duty })
}

/// Parses the value of a row; none if the row was deleted.
fn parse_value<T: DeserializeOwned>(row: &Row) -> Result<Option<T>, String> {
    let value = row.value.clone().map(serde_json::from_value);
    value.transpose().map_err(|error| error.to_string())
}

/// Returns a row's part of the digest; zero if the row was deleted. Revision numbers aren't
/// included, as boxes may know a row by different ones. The era of a record is: replacing the
/// record requires a revision of the current copy of the table.
fn row_digest(row: &Row) -> u64 {
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

fn parse_resource(row: &Row, key: &Key, value: &Value) -> Result<Stored, String> {
    let entry = Entry::from_json(key.kind.name(), &row.key, value).map_err(|f| f.to_string())?;
    let spec = check::one(&entry).map_err(|findings| findings[0].to_string())?;
    if spec.key() != *key {
        return Err(format!("the row of {key} describes {}", spec.key()));
    }
    let revision = row.revision;
    Ok(Stored { revision, spec })
}
