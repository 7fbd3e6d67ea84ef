//! What is known of the store, as it stands there and in the product's words.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde_json::Value;
use slog::Logger;
use tokio::time::Instant;

use super::source::Source;
use crate::borders::roster::{Listing, Listings};
use crate::borders::table::{RESOURCE_PREFIX, Revision, Row, Scan, Section};
use crate::events;
use crate::platform::manifest::{Declarations, Manifest};
use crate::platform::members;
use crate::platform::store::{Row as Raw, Rows};

/// Prefix of our own rows that list the boxes.
pub const BOXES: &str = "box/";
/// Key of the manifest.
const MANIFEST: &str = "config";

/// When news was written, at the earliest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Written {
    /// Nobody can tell: it stood there when the table was first read.
    Ever,
    After(Instant),
}

/// All rows that were read, and those that are still to be told.
pub struct Cache {
    log: Logger,
    /// Raw values by source and key, with the revision that wrote them.
    raw: BTreeMap<(Source, Arc<str>), (Revision, Vec<u8>)>,
    /// The same in the product's words.
    rows: BTreeMap<Arc<str>, Row>,
    /// Row of the product that each member's entry declares, by its id.
    entries: BTreeMap<Arc<str>, Arc<str>>,
    /// Version of the newest manifest that was taken; none before the first.
    manifest: Option<u64>,
    /// Rows that can't be read, as they were logged: one that stays so is logged once.
    unreadable: BTreeSet<(Source, Arc<str>)>,
    /// Keys of product rows that changed since they were last told.
    fresh: BTreeSet<Arc<str>>,
    /// When the members' news among them was written.
    written: Option<Written>,
    /// Sections to be told whole the next time.
    whole: BTreeSet<Section>,
    /// Revisions up to which sections are known.
    read: BTreeMap<Section, Revision>,
    boxes: BTreeMap<Arc<str>, Listing>,
    /// Revision as of which the list of boxes is known.
    roster: Revision,
}

impl Cache {
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            raw: BTreeMap::new(),
            rows: BTreeMap::new(),
            entries: BTreeMap::new(),
            manifest: None,
            unreadable: BTreeSet::new(),
            fresh: BTreeSet::new(),
            written: None,
            whole: BTreeSet::new(),
            read: BTreeMap::new(),
            boxes: BTreeMap::new(),
            roster: Revision::NONE,
        }
    }

    /// The newest revision that is known of any section.
    pub fn head(&self) -> Revision {
        self.read.values().copied().max().unwrap_or_default()
    }

    /// What was not told yet; none before the manifest is known.
    pub fn tell(&mut self) -> Option<Scan> {
        self.manifest?;
        let whole = std::mem::take(&mut self.whole);
        let mut told = std::mem::take(&mut self.fresh);
        if !whole.is_empty() {
            let keys = self.rows.keys();
            told.extend(
                keys.filter(|key| whole.contains(&Section::of(key)))
                    .cloned(),
            );
        }
        let rows = told.iter().filter_map(|key| self.rows.get(key));
        Some(Scan {
            head: self.head(),
            rows: rows.cloned().collect(),
            whole: whole.into_iter().map(|s| (s, self.known_at(s))).collect(),
            lag_ms: match self.written.take() {
                Some(Written::Ever) => None,
                Some(Written::After(moment)) => Some(moment.elapsed().as_millis() as u64),
                None => Some(0),
            },
            ..Scan::default()
        })
    }

    /// As of when a section is known.
    fn known_at(&self, section: Section) -> Revision {
        match section {
            Section::Declarations => Revision::from_operator(self.manifest.unwrap_or_default()),
            Section::Members | Section::Records => self.read[&section],
        }
    }

    /// The list of boxes.
    pub fn listed(&self) -> Listings {
        Listings {
            tag: self.roster.to_string(),
            revision: self.roster,
            boxes: self.boxes.values().cloned().collect(),
        }
    }

    /// Whether a box stands in the list just so.
    pub fn lists(&self, listing: &Listing) -> bool {
        self.boxes.get(&listing.name) == Some(listing)
    }

    /// Takes rows of a source; `whole` says that there are no others. Whether any is news.
    pub fn take(&mut self, source: Source, rows: Rows, whole: bool, written: Written) -> bool {
        let revision = rows.revision;
        let listed: BTreeSet<Arc<str>> = rows.rows.iter().map(|r| r.tls_key.clone()).collect();
        let mut changed = false;
        for row in rows.rows {
            changed |= self.take_row(source, row);
        }
        if whole {
            changed |= self.keep_only(source, &listed, revision);
        }
        if changed && source == Source::Members {
            self.written = Some(self.written.map_or(written, |known| known.min(written)));
        }
        let read = self.read.entry(source.section()).or_default();
        *read = revision.max(*read);
        changed
    }

    /// Drops what a reading of all rows lacks. Whether there was any.
    fn keep_only(
        &mut self,
        source: Source,
        listed: &BTreeSet<Arc<str>>,
        revision: Revision,
    ) -> bool {
        self.whole.insert(source.section());
        let gone = |(s, key): &&(Source, Arc<str>)| *s == source && !listed.contains(key);
        let gone: Vec<_> = self.raw.keys().filter(gone).cloned().collect();
        for (_, key) in &gone {
            self.put(source, key, revision, None);
        }
        if source == Source::Own {
            // A box that was removed before has no row that could say so.
            self.roster = self.roster.max(revision);
        }
        !gone.is_empty()
    }

    fn take_row(&mut self, source: Source, row: Raw) -> bool {
        let known = self.raw.get(&(source, row.tls_key.clone()));
        if known.is_some_and(|(revision, _)| *revision >= row.revision) {
            return false;
        }
        // What is no base64 is as unreadable as an empty value, and newer than the last one.
        let value = row.bytes().unwrap_or_else(|_| Some(Vec::new()));
        self.put(source, &row.tls_key, row.revision, value);
        true
    }

    /// Logs a row that can't be read, unless it could not be read before either: another
    /// writer may write it again and again.
    fn bad_row(&mut self, source: Source, key: &Arc<str>, error: &dyn std::fmt::Display) {
        if !self.unreadable.insert((source, key.clone())) {
            return;
        }
        let fields: [(_, &dyn std::fmt::Display); 2] = [("row", key), ("error", error)];
        events::emit(&self.log, &events::BAD_ROW, &fields);
    }

    fn readable(&mut self, source: Source, key: &Arc<str>) {
        self.unreadable.remove(&(source, key.clone()));
    }

    /// Puts a raw row and renews what it declares.
    fn put(&mut self, source: Source, key: &Arc<str>, revision: Revision, value: Option<Vec<u8>>) {
        let place = (source, key.clone());
        let known = match &value {
            Some(bytes) => self.raw.insert(place, (revision, bytes.clone())),
            None => self.raw.remove(&place),
        };
        if value.is_none() && known.is_none() {
            // Others may know the row, and we can't say what it declared.
            self.whole.insert(source.section());
        }
        match source {
            Source::Operator => self.put_manifest(),
            Source::Members => self.put_member(key, revision, value.as_deref()),
            Source::Own => self.put_own(key, revision, value.as_deref()),
        }
    }

    fn put_manifest(&mut self) {
        let Some((_, bytes)) = self.raw.get(&(Source::Operator, MANIFEST.into())) else {
            return;
        };
        let manifest = match Manifest::parse(bytes) {
            Ok(manifest) => manifest,
            // Operators' changes are checked before they are taken: this is none of theirs.
            Err(error) => {
                // The error's text may quote a key.
                let place = format!("line {} column {}", error.line(), error.column());
                return self.bad_row(Source::Operator, &MANIFEST.into(), &place);
            }
        };
        self.readable(Source::Operator, &MANIFEST.into());
        let version = manifest.version;
        if let Some(known) = self.manifest.filter(|known| version < *known) {
            return self.note_older(version, known);
        }
        self.manifest = Some(version);
        self.whole.insert(Section::Declarations);
        let declared = |key: &str| Section::of(key) == Section::Declarations;
        // Known by the operator's own count: an older copy of the store turns back the store's,
        // and would bring back what was removed.
        let revision = Revision::from_operator(version);
        self.declare(declared, rows_of(manifest.declarations()), revision);
    }

    fn note_older(&self, version: u64, known: u64) {
        let fields: [(_, &dyn std::fmt::Display); 2] = [("version", &version), ("known", &known)];
        events::emit(&self.log, &events::OLDER_DECLARATIONS, &fields);
    }

    fn put_member(&mut self, id: &Arc<str>, revision: Revision, value: Option<&[u8]>) {
        let entry = value.map(|bytes| members::declaration(id, bytes));
        let declared = match entry.transpose() {
            Ok(declared) => {
                self.readable(Source::Members, id);
                rows_of(declared.into_iter().collect())
            }
            Err(error) => {
                self.bad_row(Source::Members, id, &error);
                BTreeMap::new()
            }
        };
        let before = self.entries.remove(id);
        let after = declared.keys().next().cloned();
        self.entries.extend(after.map(|key| (id.clone(), key)));
        let own = |key: &str| before.as_deref() == Some(key);
        self.declare(own, declared, revision);
    }

    /// Replaces the product rows that a raw row declares.
    fn declare(
        &mut self,
        own: impl Fn(&str) -> bool,
        declared: BTreeMap<Arc<str>, Value>,
        revision: Revision,
    ) {
        let gone = |key: &&Arc<str>| own(key) && !declared.contains_key(*key);
        let gone: Vec<Arc<str>> = self.rows.keys().filter(gone).cloned().collect();
        for key in gone {
            self.set(key, revision, None);
        }
        for (key, value) in declared {
            self.set(key, revision, Some(value));
        }
    }

    fn put_own(&mut self, key: &Arc<str>, revision: Revision, value: Option<&[u8]>) {
        if let Some(name) = key.strip_prefix(BOXES) {
            self.roster = self.roster.max(revision);
            self.boxes.remove(name);
            let listing = value.map(serde_json::from_slice::<Listing>).transpose();
            match listing {
                Ok(listing) => {
                    self.readable(Source::Own, key);
                    self.boxes.extend(listing.map(|l| (Arc::from(name), l)));
                }
                Err(error) => self.bad_row(Source::Own, key, &error),
            }
            return;
        }
        let value = match value.map(serde_json::from_slice::<Value>).transpose() {
            Ok(value) => {
                self.readable(Source::Own, key);
                value
            }
            Err(error) => {
                self.bad_row(Source::Own, key, &error);
                Some(Value::Null)
            }
        };
        // Unchanged or unreadable too: whoever replaces a record names the revision of its row.
        self.put_row(key.clone(), revision, value);
    }

    /// Sets a product row; one that stays as it is keeps its revision.
    fn set(&mut self, key: Arc<str>, revision: Revision, value: Option<Value>) {
        let known = self.rows.get(&key);
        if known.is_some_and(|row| row.value == value) {
            return;
        }
        // Two rows of the store may declare one row of the product in turn.
        let revision = known.map_or(revision, |row| revision.max(row.revision.next()));
        self.put_row(key, revision, value);
    }

    fn put_row(&mut self, key: Arc<str>, revision: Revision, value: Option<Value>) {
        self.fresh.insert(key.clone());
        let row = Row {
            key: key.clone(),
            revision,
            value,
        };
        self.rows.insert(key, row);
    }
}

fn rows_of(declared: Declarations) -> BTreeMap<Arc<str>, Value> {
    let row = |(key, value)| (Arc::from(format!("{RESOURCE_PREFIX}{key}")), value);
    declared.into_iter().map(row).collect()
}
