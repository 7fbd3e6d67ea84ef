//! Messages by which boxes pass on the table's rows. A box pushes updates to some peers, asks a
//! peer for rows while the table is unavailable, and follows a reader of the table by repeated
//! requests.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::borders::roster::Listing;
use crate::borders::table::{Revision, Scan};

/// An update that a box pushes to a peer: the rows written after `since`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Update {
    /// API address of the sender.
    pub from: Arc<str>,
    pub since: Revision,
    pub scan: Scan,
}

/// A request for the rows that the requester lacks, with the state of its own rows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Revision up to which the requester has all rows; the default if unknown.
    pub since: Revision,
    /// Digest of all rows of the requester.
    pub digest: u64,
}

/// Position in a reader's sequence of changes up to which a follower has received them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Identifies a run of the reader's process.
    pub epoch: u64,
    /// Number of scans that the reader had applied.
    pub taken: u64,
}

/// A follower's request for changes, with the state of its own rows.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct FollowRequest {
    /// None before the reader's first answer, and when all rows are requested.
    pub cursor: Option<Cursor>,
    /// Digest of all rows of the follower.
    pub digest: u64,
    /// Revision of the follower's list of boxes.
    pub boxes: Revision,
}

/// The changes that a follower lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowAnswer {
    pub cursor: Cursor,
    pub scan: Scan,
    /// Digest of all rows of the reader.
    pub digest: u64,
    /// The complete list of boxes, if newer than the follower's.
    pub boxes: Option<Vec<Listing>>,
    pub boxes_revision: Revision,
    /// Milliseconds since the table last answered the reader; none if the reader has paused polling
    /// or the table is unavailable.
    pub heard_ms: Option<u64>,
}

/// An encoded message. Parts that several messages have in common are shared, not copied.
#[derive(Clone, Debug, Default)]
pub struct Body {
    parts: Vec<Bytes>,
    /// Encoded values after the last part.
    tail: Vec<u8>,
}

impl Body {
    /// Starts an array of `fields` values, which must follow.
    pub fn push_array(&mut self, fields: u32) {
        rmp::encode::write_array_len(&mut self.tail, fields).expect("a vector can grow");
    }

    /// Appends a value.
    pub fn push<T: Serialize>(&mut self, value: &T) {
        rmp_serde::encode::write(&mut self.tail, value).expect("messages can be serialized");
    }

    /// Appends a value that is already encoded.
    pub fn push_encoded(&mut self, value: Bytes) {
        self.parts.push(std::mem::take(&mut self.tail).into());
        self.parts.push(value);
    }

    /// Returns the parts in order.
    pub fn into_parts(mut self) -> Vec<Bytes> {
        self.parts.push(self.tail.into());
        self.parts
    }
}

impl From<Body> for axum::body::Body {
    fn from(body: Body) -> Self {
        let parts = body.into_parts().into_iter().map(Ok::<_, Infallible>);
        axum::body::Body::from_stream(futures::stream::iter(parts))
    }
}
