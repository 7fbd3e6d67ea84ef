//! Client of the stand-in platform's table and list of boxes, over HTTP with JSON.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use serde::de::DeserializeOwned;

use super::platform::ERA_HEADER;
use crate::borders::roster::{Listings, Roster};
use crate::borders::table::{Commit, Revision, Scan, Section, Table, TableError, Verdict, Write};
use crate::http::{Answer, Call, Client, HttpError};

const TIMEOUT: Duration = Duration::from_secs(2);
const NOT_MODIFIED: u16 = 304;

/// Client of the platform at one address.
pub struct Platform {
    client: Client,
    address: Arc<str>,
    /// Newest era that an answer has reported.
    era: Cell<u64>,
}

impl Platform {
    pub fn new(client: Client, address: Arc<str>) -> Self {
        Self {
            client,
            address,
            era: Cell::new(0),
        }
    }

    /// Sends a request, and returns the decoded answer and its era.
    async fn request<T: DeserializeOwned>(&self, call: Call<'_>) -> Result<(T, u64), TableError> {
        let answer = self.client.send(call).await.map_err(unavailable)?;
        let era = self.check_era(&answer)?;
        let body = answer.into_success().map_err(unavailable)?;
        Ok((decode(&body)?, era))
    }

    /// Returns the era of an answer and records it. Fails if an earlier answer had a newer era: the
    /// answer was delayed, and describes a copy of the table that has been replaced.
    fn check_era(&self, answer: &Answer) -> Result<u64, TableError> {
        let reported = answer.headers.get(ERA_HEADER);
        let reported = reported.and_then(|value| value.to_str().ok()?.parse().ok());
        let newest_era = self.era.get();
        let era: u64 = reported.unwrap_or(newest_era);
        if era < newest_era {
            let message = "another copy has taken the table's place".to_owned();
            return Err(TableError::Unavailable(message));
        }
        self.era.set(era);
        Ok(era)
    }

    async fn scan_after(&self, number: u64) -> Result<Scan, TableError> {
        let path = format!("/scan?since={number}");
        let call = Call::get(&self.address, &path, TIMEOUT);
        let (mut scan, era): (Scan, u64) = self.request(call).await?;
        scan.head = Revision::new(era, scan.head.number());
        for row in &mut scan.rows {
            row.revision = Revision::new(era, row.revision.number());
        }
        Ok(scan)
    }

    /// Whether a write expects a revision of another era than the newest known one. The condition
    /// that a row doesn't exist is valid in every era.
    fn is_outdated(&self, write: &Write) -> bool {
        let expected = write.expect.filter(|expect| expect.number() > 0);
        expected.is_some_and(|expect| expect.era() != self.era.get())
    }
}

fn unavailable(error: HttpError) -> TableError {
    TableError::Unavailable(error.to_string())
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, TableError> {
    serde_json::from_slice(body).map_err(|error| TableError::InvalidAnswer(error.to_string()))
}

/// Returns the commit as sent, without the eras of the expected revisions.
fn to_wire(commit: &Commit) -> Commit {
    let write = |write: &Write| Write {
        expect: write.expect.map(|expect| Revision::new(0, expect.number())),
        ..write.clone()
    };
    Commit {
        nonce: commit.nonce.clone(),
        writes: commit.writes.iter().map(write).collect(),
    }
}

fn conflict(write: &Write) -> Verdict {
    Verdict::Conflict {
        key: write.key.clone(),
        found: Revision::NONE,
    }
}

#[async_trait(?Send)]
impl Table for Platform {
    async fn head(&self) -> Result<Revision, TableError> {
        let call = Call::get(&self.address, "/head", TIMEOUT);
        let (head, era): (Revision, u64) = self.request(call).await?;
        Ok(Revision::new(era, head.number()))
    }

    async fn scan(&self, since: Revision) -> Result<Scan, TableError> {
        if since.era() == self.era.get() {
            let scan = self.scan_after(since.number()).await?;
            if scan.head.era() == since.era() {
                return Ok(scan);
            }
        }
        // A revision of another era can't be compared with this copy, which may lack rows that
        // were committed before the restore, so all rows are read.
        let mut scan = self.scan_after(0).await?;
        let head = scan.head;
        scan.whole = Section::ALL.into_iter().map(|s| (s, head)).collect();
        Ok(scan)
    }

    async fn commit(&self, commit: &Commit) -> Result<Verdict, TableError> {
        let outdated = || commit.writes.iter().find(|write| self.is_outdated(write));
        if let Some(write) = outdated() {
            return Ok(conflict(write));
        }
        let body = serde_json::to_vec(&to_wire(commit)).expect("a commit is plain data");
        let json = ("content-type", "application/json".to_owned());
        let call = Call {
            headers: vec![json],
            ..Call::post(&self.address, "/commit", body, TIMEOUT)
        };
        let (verdict, era): (Verdict, u64) = self.request(call).await?;
        // If the era changed during the request, an expected revision number may belong to another
        // commit.
        Ok(match (verdict, outdated()) {
            (_, Some(write)) => conflict(write),
            (Verdict::Done(at), None) => Verdict::Done(Revision::new(era, at.number())),
            (Verdict::Conflict { key, found }, None) => {
                let found = Revision::new(era, found.number());
                Verdict::Conflict { key, found }
            }
        })
    }
}

#[async_trait(?Send)]
impl Roster for Platform {
    async fn boxes(&self, tag: &str) -> Result<Option<Listings>, TableError> {
        let call = Call {
            headers: vec![("if-none-match", tag.to_owned())],
            ..Call::get(&self.address, "/boxes", TIMEOUT)
        };
        let body = match self.client.call(call).await {
            Ok(body) => body,
            Err(HttpError::Status { code, .. }) if code == NOT_MODIFIED => return Ok(None),
            Err(error) => return Err(unavailable(error)),
        };
        let boxes = decode(&body)?;
        let tag = etag_of(&body);
        Ok(Some(Listings {
            tag,
            revision: Revision::NONE,
            boxes,
        }))
    }
}

/// Returns the entity tag of an encoded list of boxes.
pub fn etag_of(body: &[u8]) -> String {
    format!("\"{:016x}\"", xxhash_rust::xxh3::xxh3_64(body))
}
