//! Client of the stand-in platform's table and list of boxes, over HTTP with JSON.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hyper::Method;
use serde::de::DeserializeOwned;

use super::platform::ERA;
use crate::borders::roster::{Listings, Roster};
use crate::borders::table::{Commit, Revision, Scan, Section, Table, TableError, Verdict, Write};
use crate::http::{Answer, Call, Client, HttpError};

const WAIT: Duration = Duration::from_secs(2);
const NOT_MODIFIED: u16 = 304;

/// The platform at one address.
pub struct Platform {
    client: Client,
    address: Arc<str>,
    /// The newest era that an answer has named.
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

    /// What the table answers, and the era that it is of.
    async fn ask<T: DeserializeOwned>(&self, call: Call<'_>) -> Result<(T, u64), TableError> {
        let answer = self.client.send(call).await.map_err(down)?;
        let era = self.era_of(&answer)?;
        let body = answer.into_success().map_err(down)?;
        Ok((decode(&body)?, era))
    }

    /// The era that an answer is of. One that names an older era than an answer before was
    /// held up on its way, and what it says may be gone.
    fn era_of(&self, answer: &Answer) -> Result<u64, TableError> {
        let named = answer.headers.get(ERA);
        let named = named.and_then(|value| value.to_str().ok()?.parse().ok());
        let known = self.era.get();
        let era: u64 = named.unwrap_or(known);
        if era < known {
            let message = "another copy has taken the table's place".to_owned();
            return Err(TableError::Unavailable(message));
        }
        self.era.set(era);
        Ok(era)
    }

    async fn scan_after(&self, number: u64) -> Result<Scan, TableError> {
        let path = format!("/scan?since={number}");
        let call = Call::get(&self.address, &path, WAIT);
        let (mut scan, era): (Scan, u64) = self.ask(call).await?;
        scan.head = Revision::new(era, scan.head.number());
        for row in &mut scan.rows {
            row.revision = Revision::new(era, row.revision.number());
        }
        Ok(scan)
    }

    /// Whether a condition names a position of an older era than the newest that is known. That
    /// a row is not there names none.
    fn is_outdated(&self, write: &Write) -> bool {
        let named = write.expect.filter(|expect| expect.number() > 0);
        named.is_some_and(|expect| expect.era() != self.era.get())
    }
}

fn down(error: HttpError) -> TableError {
    TableError::Unavailable(error.to_string())
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, TableError> {
    serde_json::from_slice(body).map_err(|error| TableError::InvalidAnswer(error.to_string()))
}

/// A commit as it goes over the wire, where conditions are numbers.
fn numbered(commit: &Commit) -> Commit {
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
        let call = Call::get(&self.address, "/head", WAIT);
        let (head, era): (Revision, u64) = self.ask(call).await?;
        Ok(Revision::new(era, head.number()))
    }

    async fn scan(&self, since: Revision) -> Result<Scan, TableError> {
        if since.era() == self.era.get() {
            let scan = self.scan_after(since.number()).await?;
            if scan.head.era() == since.era() {
                return Ok(scan);
            }
        }
        // A position of an older copy says nothing of this one, which lacks what it has lost.
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
        let body = serde_json::to_vec(&numbered(commit)).expect("a commit is plain data");
        let json = ("content-type", "application/json".to_owned());
        let call = Call {
            method: Method::POST,
            headers: vec![json],
            body,
            ..Call::get(&self.address, "/commit", WAIT)
        };
        let (verdict, era): (Verdict, u64) = self.ask(call).await?;
        // A number of the copy before may have been given out again, to another row.
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
            ..Call::get(&self.address, "/boxes", WAIT)
        };
        let body = match self.client.call(call).await {
            Ok(body) => body,
            Err(HttpError::Status { code, .. }) if code == NOT_MODIFIED => return Ok(None),
            Err(error) => return Err(down(error)),
        };
        let boxes = decode(&body)?;
        let tag = tag_of(&body);
        Ok(Some(Listings {
            tag,
            revision: Revision::NONE,
            boxes,
        }))
    }
}

/// The tag of a list of boxes as sent.
pub fn tag_of(body: &[u8]) -> String {
    format!("\"{:016x}\"", xxhash_rust::xxh3::xxh3_64(body))
}
