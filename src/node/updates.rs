//! What boxes tell each other of the table's rows: pushed to some, asked of a peer while
//! the table is away, or asked again and again of a box that reads the table.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::borders::roster::Listing;
use crate::borders::table::{Revision, Scan};

/// News that one peer tells another: the rows written after `since`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Update {
    pub from: Arc<str>,
    pub since: Revision,
    pub scan: Scan,
}

/// What a peer has, when it asks for the rest.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// It has all rows up to this revision; the default where that can't be said.
    pub since: Revision,
    /// Digest of all its rows.
    pub digest: u64,
}

/// How far a reader has told what it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Names one start of the reader.
    pub epoch: u64,
    pub taken: u64,
}

/// What a follower has, when it asks for the rest.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct FollowRequest {
    /// None before the reader's first answer.
    pub cursor: Option<Cursor>,
    /// Digest of all rows.
    pub digest: u64,
    /// Revision of the list of boxes.
    pub boxes: Revision,
}

/// What the follower lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowAnswer {
    pub cursor: Cursor,
    pub scan: Scan,
    /// Digest of all the reader's rows.
    pub digest: u64,
    /// The whole list, if it is newer.
    pub boxes: Option<Vec<Listing>>,
    pub boxes_revision: Revision,
    /// Milliseconds since the table last answered the reader; none when it does not.
    pub heard_ms: Option<u64>,
}

impl FollowAnswer {
    /// Whether it is worth sending before its time.
    pub fn has_changes_for(&self, state: &FollowRequest) -> bool {
        let first = state.cursor.is_none_or(|c| c.epoch != self.cursor.epoch);
        first || !self.scan.rows.is_empty() || self.boxes.is_some() || self.heard_ms.is_none()
    }
}
