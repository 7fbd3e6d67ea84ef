//! Border to the platform's transactional table service.

mod revision;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_json::Value;

pub use revision::Revision;

/// Prefix of rows that operators declare.
pub const RESOURCE_PREFIX: &str = "resource/";
/// What follows it for a member.
const MEMBER: &str = "member/";

/// A row as committed. `value` is none when the row was deleted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub key: Arc<str>,
    /// Table revision of the commit that wrote it.
    pub revision: Revision,
    pub value: Option<Value>,
}

/// One row of a commit. `expect` is the revision the row must have, the default for none.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Write {
    pub key: Arc<str>,
    pub expect: Option<Revision>,
    pub value: Option<Value>,
}

/// All rows or none. The nonce finds a commit whose answer was lost.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Commit {
    pub nonce: String,
    pub writes: Vec<Write>,
}

/// What the table answered to a commit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// Taken at this revision.
    Done(Revision),
    /// A row has another revision than expected.
    Conflict { key: Arc<str>, found: Revision },
}

/// Rows that are read together, apart from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Section {
    /// What operators declare, without the members.
    Declarations,
    Members,
    /// What boxes record for each other.
    Records,
}

impl Section {
    pub const ALL: [Section; 3] = [Section::Declarations, Section::Members, Section::Records];

    /// The section of a row.
    pub fn of(key: &str) -> Self {
        match key.strip_prefix(RESOURCE_PREFIX) {
            Some(resource) if resource.starts_with(MEMBER) => Section::Members,
            Some(_) => Section::Declarations,
            None => Section::Records,
        }
    }
}

/// Milliseconds since members said that they leave, by the rows' keys; none where whoever
/// tells can't tell that.
pub type DepartureAges = BTreeMap<Arc<str>, Option<u64>>;

/// Rows newer than a revision, in revision order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Scan {
    pub head: Revision,
    pub rows: Vec<Row>,
    /// Sections of which no row is left out, and the revision at which they were read:
    /// an older row that is not among `rows` is gone. Whoever reads a document after
    /// one of its rows was removed can't name that row, only leave it out.
    #[serde(default)]
    pub whole: BTreeMap<Section, Revision>,
    /// Digest of the rows of whoever asked, if they are those of whoever answers: then
    /// `rows` is empty, and `whole` says as of when both know them.
    #[serde(default)]
    pub same_as: Option<u64>,
    /// Of all members that leave, where a box answers.
    #[serde(default)]
    pub ages: DepartureAges,
    /// Milliseconds since the rows were written, at the most, where the table answers; none
    /// where it can't tell.
    #[serde(default)]
    pub lag_ms: Option<u64>,
}

/// Why the table gave no verdict. The commit may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    #[error("the table gives no answer: {0}")]
    Unavailable(String),
    #[error("the table answered nonsense: {0}")]
    InvalidAnswer(String),
}

/// How a box that waits for news reads the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Polling {
    /// Not at all: others tell what is new.
    Paused,
    /// For itself.
    #[default]
    Normal,
    /// For others too, who want to know that the table still answers.
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
    /// Newest revision: one small row.
    async fn head(&self) -> Result<Revision, TableError>;
    /// All rows written after `since`.
    async fn scan(&self, since: Revision) -> Result<Scan, TableError>;
    async fn commit(&self, commit: &Commit) -> Result<Verdict, TableError>;
    /// Returns when there may be something new: after `poll` where the table does
    /// not tell.
    async fn wait_for_changes(&self, poll: Duration) {
        tokio::time::sleep(poll).await;
    }
    /// Says how the table is to be read from now on, where waits for news have a price.
    fn set_polling(&self, _: Polling) {}
    /// Time since the table last answered; none while it rests, is down or does not
    /// tell.
    fn answer_age(&self) -> Option<Duration> {
        None
    }
    /// Whether rows become known in the order of their revisions. Where not, a
    /// revision does not say which rows somebody has.
    fn has_ordered_revisions(&self) -> bool {
        true
    }
}
