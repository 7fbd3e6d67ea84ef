//! Cache of the followed tables: the rows as stored, and the project's rows derived from them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde_json::Value;
use slog::Logger;
use tokio::time::Instant;

use super::feed::Feed;
use crate::borders::roster::{Listing, Listings};
use crate::borders::table::{RESOURCE_PREFIX, Revision, Row, Scan, Section};
use crate::events;
use crate::platform::manifest::{Declarations, Manifest};
use crate::platform::member_entry;
use crate::platform::store::{Row as StoredRow, Rows};

/// Key prefix of the rows that list the boxes.
pub const LISTING_PREFIX: &str = "box/";
/// Key of the operator's manifest.
const MANIFEST_KEY: &str = "config";

/// Earliest time at which changes may have been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Written {
    /// Unknown, since the table was read for the first time.
    Unknown,
    After(Instant),
}

/// All rows that were read, and the changes that [`Cache::take_changes`] has not returned yet.
pub struct Cache {
    log: Logger,
    /// Stored values by feed and key, with the revision that wrote them.
    stored: BTreeMap<(Feed, Arc<str>), (Revision, Vec<u8>)>,
    /// Rows derived from the stored ones.
    rows: BTreeMap<Arc<str>, Row>,
    /// Key of the row that each member's entry declares, by the member's id.
    member_rows: BTreeMap<Arc<str>, Arc<str>>,
    /// Version of the newest manifest; `None` before the first.
    manifest_version: Option<u64>,
    /// Unreadable rows that were logged. A row that stays unreadable is logged once.
    unreadable: BTreeSet<(Feed, Arc<str>)>,
    /// Keys of derived rows that changed since [`Cache::take_changes`].
    changed: BTreeSet<Arc<str>>,
    /// Earliest time at which the members' rows among them may have been written.
    members_written: Option<Written>,
    /// Sections that the next [`Cache::take_changes`] returns in full.
    whole: BTreeSet<Section>,
    /// Revision up to which each section is known.
    known_until: BTreeMap<Section, Revision>,
    boxes: BTreeMap<Arc<str>, Listing>,
    /// Revision of the list of boxes.
    roster_revision: Revision,
}

impl Cache {
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            stored: BTreeMap::new(),
            rows: BTreeMap::new(),
            member_rows: BTreeMap::new(),
            manifest_version: None,
            unreadable: BTreeSet::new(),
            changed: BTreeSet::new(),
            members_written: None,
            whole: BTreeSet::new(),
            known_until: BTreeMap::new(),
            boxes: BTreeMap::new(),
            roster_revision: Revision::NONE,
        }
    }

    /// Returns the newest known revision of any section.
    pub fn head(&self) -> Revision {
        self.known_until.values().copied().max().unwrap_or_default()
    }

    /// Whether [`Cache::take_changes`] would return any.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty() || !self.whole.is_empty()
    }

    /// Takes the changes since the last call. Returns `None` before the manifest is known.
    pub fn take_changes(&mut self) -> Option<Scan> {
        self.manifest_version?;
        let whole = std::mem::take(&mut self.whole);
        let mut changed_keys = std::mem::take(&mut self.changed);
        if !whole.is_empty() {
            let keys = self.rows.keys();
            changed_keys.extend(
                keys.filter(|key| whole.contains(&Section::of(key)))
                    .cloned(),
            );
        }
        let rows = changed_keys.iter().filter_map(|key| self.rows.get(key));
        Some(Scan {
            head: self.head(),
            rows: rows.cloned().collect(),
            whole: whole
                .into_iter()
                .map(|s| (s, self.section_revision(s)))
                .collect(),
            lag_ms: match self.members_written.take() {
                Some(Written::Unknown) => None,
                Some(Written::After(moment)) => Some(moment.elapsed().as_millis() as u64),
                None => Some(0),
            },
            ..Scan::default()
        })
    }

    /// Returns the revision up to which a section is known.
    fn section_revision(&self, section: Section) -> Revision {
        match section {
            Section::Declarations => {
                Revision::from_operator(self.manifest_version.unwrap_or_default())
            }
            Section::Members | Section::Records => self.known_until[&section],
        }
    }

    /// Returns the list of boxes.
    pub fn roster(&self) -> Listings {
        Listings {
            tag: self.roster_revision.to_string(),
            revision: self.roster_revision,
            boxes: self.boxes.values().cloned().collect(),
        }
    }

    /// Whether the list contains exactly this entry.
    pub fn contains_listing(&self, listing: &Listing) -> bool {
        self.boxes.get(&listing.name) == Some(listing)
    }

    /// Applies rows of a feed; `whole` means that the feed has no other rows. Returns whether
    /// anything changed.
    pub fn apply_rows(&mut self, feed: Feed, rows: Rows, whole: bool, written: Written) -> bool {
        let revision = rows.revision;
        let listed: BTreeSet<Arc<str>> = rows.rows.iter().map(|r| r.key.clone()).collect();
        let mut changed = false;
        for row in rows.rows {
            changed |= self.apply_row(feed, row);
        }
        if whole {
            changed |= self.remove_unlisted(feed, &listed, revision);
        }
        if changed && feed == Feed::Members {
            self.members_written = Some(
                self.members_written
                    .map_or(written, |known| known.min(written)),
            );
        }
        let known = self.known_until.entry(feed.section()).or_default();
        *known = revision.max(*known);
        changed
    }

    /// Removes rows that a full read no longer lists. Returns whether there were any.
    fn remove_unlisted(
        &mut self,
        feed: Feed,
        listed: &BTreeSet<Arc<str>>,
        revision: Revision,
    ) -> bool {
        self.whole.insert(feed.section());
        let removed = |(s, key): &&(Feed, Arc<str>)| *s == feed && !listed.contains(key);
        let removed: Vec<_> = self.stored.keys().filter(removed).cloned().collect();
        for (_, key) in &removed {
            self.store_row(feed, key, revision, None);
        }
        if feed == Feed::Boxes {
            // A box may have been removed, which the rows of a full read don't show.
            self.roster_revision = self.roster_revision.max(revision);
        }
        !removed.is_empty()
    }

    fn apply_row(&mut self, feed: Feed, row: StoredRow) -> bool {
        let known = self.stored.get(&(feed, row.key.clone()));
        if known.is_some_and(|(revision, _)| *revision >= row.revision) {
            return false;
        }
        // Invalid base64 replaces the last value, and is treated like an empty one: unreadable.
        let value = row.decode_value().unwrap_or_else(|_| Some(Vec::new()));
        self.store_row(feed, &row.key, row.revision, value);
        true
    }

    /// Logs an unreadable row, unless it was unreadable before: another writer may write it
    /// repeatedly.
    fn log_unreadable(&mut self, feed: Feed, key: &Arc<str>, error: &dyn std::fmt::Display) {
        if !self.unreadable.insert((feed, key.clone())) {
            return;
        }
        let fields: [(_, &dyn std::fmt::Display); 2] = [("row", key), ("error", error)];
        events::emit(&self.log, &events::INVALID_ROW, &fields);
    }

    fn mark_readable(&mut self, feed: Feed, key: &Arc<str>) {
        self.unreadable.remove(&(feed, key.clone()));
    }

    /// Stores a row and updates the rows derived from it. No value removes the row.
    fn store_row(
        &mut self,
        feed: Feed,
        key: &Arc<str>,
        revision: Revision,
        value: Option<Vec<u8>>,
    ) {
        let stored_key = (feed, key.clone());
        let known = match &value {
            Some(bytes) => self.stored.insert(stored_key, (revision, bytes.clone())),
            None => self.stored.remove(&stored_key),
        };
        if value.is_none() && known.is_none() {
            // Other boxes may know the rows that the removed row declared; this box doesn't.
            self.whole.insert(feed.section());
        }
        match feed {
            Feed::Operator => self.put_manifest(),
            Feed::Members => self.put_member(key, revision, value.as_deref()),
            Feed::Boxes => self.put_box_row(key, revision, value.as_deref()),
        }
    }

    fn put_manifest(&mut self) {
        let Some((_, bytes)) = self.stored.get(&(Feed::Operator, MANIFEST_KEY.into())) else {
            return;
        };
        let manifest = match Manifest::parse(bytes) {
            Ok(manifest) => manifest,
            // The platform validates operators' changes, so this was written by another writer.
            Err(error) => {
                // The error's text may quote an API key.
                let place = format!("line {} column {}", error.line(), error.column());
                return self.log_unreadable(Feed::Operator, &MANIFEST_KEY.into(), &place);
            }
        };
        self.mark_readable(Feed::Operator, &MANIFEST_KEY.into());
        let version = manifest.version;
        if let Some(known) = self.manifest_version.filter(|known| version < *known) {
            return self.log_older_manifest(version, known);
        }
        self.manifest_version = Some(version);
        self.whole.insert(Section::Declarations);
        let declared = |key: &str| Section::of(key) == Section::Declarations;
        // Uses the operator's version: the store's revision falls back when an older copy
        // replaces the store, and removed declarations would then return.
        let revision = Revision::from_operator(version);
        self.replace_declared(declared, rows_of(manifest.declarations()), revision);
    }

    fn log_older_manifest(&self, version: u64, known: u64) {
        let fields: [(_, &dyn std::fmt::Display); 2] = [("version", &version), ("known", &known)];
        events::emit(&self.log, &events::STALE_DECLARATIONS, &fields);
    }

    fn put_member(&mut self, id: &Arc<str>, revision: Revision, value: Option<&[u8]>) {
        let entry = value.map(|bytes| member_entry::parse_declaration(id, bytes));
        let declared = match entry.transpose() {
            Ok(declared) => {
                self.mark_readable(Feed::Members, id);
                rows_of(declared.into_iter().collect())
            }
            Err(error) => {
                self.log_unreadable(Feed::Members, id, &error);
                BTreeMap::new()
            }
        };
        let before = self.member_rows.remove(id);
        let after = declared.keys().next().cloned();
        self.member_rows.extend(after.map(|key| (id.clone(), key)));
        let is_owned = |key: &str| before.as_deref() == Some(key);
        self.replace_declared(is_owned, declared, revision);
    }

    /// Replaces the derived rows that a stored row declares.
    fn replace_declared(
        &mut self,
        is_owned: impl Fn(&str) -> bool,
        declared: BTreeMap<Arc<str>, Value>,
        revision: Revision,
    ) {
        let removed = |key: &&Arc<str>| is_owned(key) && !declared.contains_key(*key);
        let removed: Vec<Arc<str>> = self.rows.keys().filter(removed).cloned().collect();
        for key in removed {
            self.put_if_changed(key, revision, None);
        }
        for (key, value) in declared {
            self.put_if_changed(key, revision, Some(value));
        }
    }

    fn put_box_row(&mut self, key: &Arc<str>, revision: Revision, value: Option<&[u8]>) {
        if let Some(name) = key.strip_prefix(LISTING_PREFIX) {
            self.roster_revision = self.roster_revision.max(revision);
            self.boxes.remove(name);
            let listing = value.map(serde_json::from_slice::<Listing>).transpose();
            match listing {
                Ok(listing) => {
                    self.mark_readable(Feed::Boxes, key);
                    self.boxes.extend(listing.map(|l| (Arc::from(name), l)));
                }
                Err(error) => self.log_unreadable(Feed::Boxes, key, &error),
            }
            return;
        }
        let value = match value.map(serde_json::from_slice::<Value>).transpose() {
            Ok(value) => {
                self.mark_readable(Feed::Boxes, key);
                value
            }
            Err(error) => {
                self.log_unreadable(Feed::Boxes, key, &error);
                Some(Value::Null)
            }
        };
        // Also updates unchanged and unreadable records: a write that replaces a record is
        // conditional on the row's current revision.
        self.put_row(key.clone(), revision, value);
    }

    /// Sets a derived row. A row whose value does not change keeps its revision.
    fn put_if_changed(&mut self, key: Arc<str>, revision: Revision, value: Option<Value>) {
        let known = self.rows.get(&key);
        if known.is_some_and(|row| row.value == value) {
            return;
        }
        // Two stored rows may declare the same derived row in turn: its revision must still grow.
        let revision = known.map_or(revision, |row| revision.max(row.revision.next()));
        self.put_row(key, revision, value);
    }

    fn put_row(&mut self, key: Arc<str>, revision: Revision, value: Option<Value>) {
        self.changed.insert(key.clone());
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
