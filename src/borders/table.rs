//! Access to the platform's transactional table service.

mod revision;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_json::Value;

pub use revision::Revision;

/// Key prefix of rows that operators declare.
pub const RESOURCE_PREFIX: &str = "resource/";
/// Key prefix of members, after [`RESOURCE_PREFIX`].
const MEMBER_PREFIX: &str = "member/";

/// A committed row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub key: Arc<str>,
    /// Table revision of the commit that wrote the row.
    pub revision: Revision,
    /// None if the row was deleted.
    pub value: Option<Value>,
}

/// A conditional write of one row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Write {
    pub key: Arc<str>,
    /// Revision that the row must have: [`Revision::NONE`] if it must not exist, none for no
    /// condition.
    pub expect: Option<Revision>,
    /// None deletes the row.
    pub value: Option<Value>,
}

/// Writes that take effect together or not at all.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Commit {
    /// Identifies the commit, so that it can be retried if its answer was lost.
    pub nonce: String,
    pub writes: Vec<Write>,
}

/// The table's answer to a commit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// Committed at this revision.
    Done(Revision),
    /// A row has another revision than expected.
    Conflict { key: Arc<str>, found: Revision },
}

/// Rows that are read together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Section {
    /// Everything that operators declare, except members.
    Declarations,
    Members,
    /// Rows that boxes record for each other.
    Records,
}

impl Section {
    pub const ALL: [Section; 3] = [Section::Declarations, Section::Members, Section::Records];

    /// Returns the section of the row with this key.
    pub fn of(key: &str) -> Self {
        match key.strip_prefix(RESOURCE_PREFIX) {
            Some(resource) if resource.starts_with(MEMBER_PREFIX) => Section::Members,
            Some(_) => Section::Declarations,
            None => Section::Records,
        }
    }
}

/// Milliseconds since members announced that they leave, by row key; none if the sender doesn't
/// know.
pub type DepartureAges = BTreeMap<Arc<str>, Option<u64>>;

/// Rows newer than a revision, in revision order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Scan {
    pub head: Revision,
    pub rows: Vec<Row>,
    /// Sections that are complete, each with the revision at which it was read. A known older
    /// row that is missing from `rows` has been deleted; a source that reads whole documents
    /// can only report a deletion by omitting the row.
    #[serde(default)]
    pub whole: BTreeMap<Section, Revision>,
    /// Digest of the requester's rows, if the sender has the same rows. In that case `rows` is
    /// empty, and `whole` holds the revisions at which both know the sections.
    #[serde(default)]
    pub same_as: Option<u64>,
    /// Ages of all current departures; only sent by boxes.
    #[serde(default)]
    pub ages: DepartureAges,
    /// Upper bound of the milliseconds since the rows were written, if known; only reported by
    /// the table.
    #[serde(default)]
    pub lag_ms: Option<u64>,
}

/// Why the result of a table request is unknown. A commit may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    #[error("the table gives no answer: {0}")]
    Unavailable(String),
    #[error("the table answered nonsense: {0}")]
    InvalidAnswer(String),
}

/// How a box polls the table for changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Polling {
    /// Doesn't poll: another box reads the table and passes on its changes.
    Paused,
    /// Polls for itself.
    #[default]
    Normal,
    /// Polls often: other boxes get the changes from this one, and need to know that the table
    /// still answers.
    Frequent,
}

impl fmt::Display for Polling {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Polling::Paused => "rest",
            Polling::Normal => "calm",
            Polling::Frequent => "brisk",
        })
    }
}

/// The platform's table.
#[async_trait(?Send)]
pub trait Table {
    /// Returns the newest revision, without reading the rows.
    async fn head(&self) -> Result<Revision, TableError>;
    /// Returns all rows written after `since`.
    async fn scan(&self, since: Revision) -> Result<Scan, TableError>;
    async fn commit(&self, commit: &Commit) -> Result<Verdict, TableError>;
    /// Waits until there may be changes; for `poll` if the table can't notify.
    async fn wait_for_changes(&self, poll: Duration) {
        tokio::time::sleep(poll).await;
    }
    /// Sets how to poll the table, where polling has a cost.
    fn set_polling(&self, _: Polling) {}
    /// Returns the time since the rows that were scanned so far were known to match the table; none
    /// if polling is paused, the table is unavailable, or the time isn't tracked.
    fn scan_age(&self) -> Option<Duration> {
        None
    }
    /// Whether rows become visible in the order of their revisions. If not, a revision doesn't
    /// tell which rows a box has.
    fn has_ordered_revisions(&self) -> bool {
        true
    }
}
