//! Encodes rows and boxes for other boxes. An encoding is shared by all boxes that lack the same
//! rows, so that answering many boxes at once costs one copy of the rows.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use serde::Serialize;

use super::store::{Store, StoredRow};
use crate::borders::roster::Listing;
use crate::borders::table::{Revision, Row, Scan};
use crate::node::updates::{Body, FollowAnswer};

/// Maximum number of encodings of changed rows that are kept. Boxes that are further behind get
/// the rows since an earlier change, which include those that they lack.
const MAX_ENCODED_CHANGES: usize = 8;
/// Number of fields of a [`Scan`].
const SCAN_FIELDS: u32 = 6;
/// Number of fields of a [`FollowAnswer`].
const ANSWER_FIELDS: u32 = 6;

/// Encodings of the rows of one state of a [`Store`], and of one list of boxes.
#[derive(Default)]
pub struct Encoder {
    /// Sequence number of the state.
    sequence: u64,
    /// All rows.
    all: Option<Bytes>,
    /// Rows that changed after a sequence number.
    changes: BTreeMap<u64, Bytes>,
    boxes: Option<(Revision, Bytes)>,
    encoded_rows: u64,
}

impl Encoder {
    /// Returns how many rows were encoded so far.
    pub fn encoded_rows(&self) -> u64 {
        self.encoded_rows
    }

    /// Encodes an answer to a follower. `answer` has no rows and boxes; `rows` selects them, and
    /// `boxes` is set if the follower lacks the list.
    pub fn encode_answer(
        &mut self,
        store: &Store,
        answer: &FollowAnswer,
        rows: Rows,
        boxes: Option<&[Listing]>,
    ) -> Body {
        let mut body = Body::default();
        body.push_array(ANSWER_FIELDS);
        body.push(&answer.cursor);
        self.push_scan(&mut body, store, &answer.scan, rows);
        body.push(&answer.digest);
        match boxes {
            Some(boxes) => body.push_encoded(self.boxes(answer.boxes_revision, boxes)),
            None => body.push(&()),
        }
        body.push(&answer.boxes_revision);
        body.push(&answer.heard_ms);
        body
    }

    /// Encodes a scan; `scan` has no rows, `rows` selects them.
    pub fn encode_scan(&mut self, store: &Store, scan: &Scan, rows: Rows) -> Body {
        let mut body = Body::default();
        self.push_scan(&mut body, store, scan, rows);
        body
    }

    fn push_scan(&mut self, body: &mut Body, store: &Store, scan: &Scan, rows: Rows) {
        body.push_array(SCAN_FIELDS);
        body.push(&scan.head);
        body.push_encoded(self.rows(store, rows));
        body.push(&scan.whole);
        body.push(&scan.same_as);
        body.push(&scan.ages);
        body.push(&scan.lag_ms);
    }

    fn rows(&mut self, store: &Store, rows: Rows) -> Bytes {
        if self.sequence != store.sequence() {
            self.sequence = store.sequence();
            self.all = None;
            self.changes.clear();
        }
        match rows {
            Rows::None => encode::<[Row; 0]>(&[]),
            Rows::All => match &self.all {
                Some(encoded) => encoded.clone(),
                None => {
                    let encoded = self.encode_rows(store.rows());
                    self.all = Some(encoded.clone());
                    encoded
                }
            },
            Rows::After(sequence) => self.changes(store, sequence),
        }
    }

    fn changes(&mut self, store: &Store, after: u64) -> Bytes {
        let mut earlier = self.changes.range(..=after).rev();
        if let Some((known, encoded)) = earlier.next()
            && (*known == after || self.changes.len() >= MAX_ENCODED_CHANGES)
        {
            return encoded.clone();
        }
        if self.changes.len() >= MAX_ENCODED_CHANGES {
            // The follower is further behind than all others that were answered.
            self.changes.pop_last();
        }
        let encoded = self.encode_rows(store.rows_after(after));
        self.changes.insert(after, encoded.clone());
        encoded
    }

    fn encode_rows<'a>(
        &mut self,
        rows: impl Iterator<Item = (&'a Arc<str>, &'a StoredRow)>,
    ) -> Bytes {
        let rows: Vec<_> = rows.collect();
        self.encoded_rows += rows.len() as u64;
        let mut encoded = Vec::new();
        rmp::encode::write_array_len(&mut encoded, rows.len() as u32).expect("a vector can grow");
        for (key, row) in rows {
            row.encode(key, &mut encoded);
        }
        encoded.into()
    }

    fn boxes(&mut self, revision: Revision, boxes: &[Listing]) -> Bytes {
        if let Some((_, encoded)) = self.boxes.as_ref().filter(|(known, _)| *known == revision) {
            return encoded.clone();
        }
        let encoded = encode(boxes);
        self.boxes = Some((revision, encoded.clone()));
        encoded
    }
}

/// Rows that an answer contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rows {
    None,
    All,
    /// Those that changed after this sequence number.
    After(u64),
}

fn encode<T: Serialize + ?Sized>(value: &T) -> Bytes {
    let encoded = rmp_serde::to_vec(value).expect("messages can be serialized");
    encoded.into()
}
