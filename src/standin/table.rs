//! Client of the stand-in platform's table and list of boxes, over HTTP with JSON.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hyper::Method;
use serde::de::DeserializeOwned;

use crate::borders::roster::{Roster, Tagged};
use crate::borders::table::{Commit, Revision, Scan, Table, TableError, Verdict};
use crate::http::{Call, Client, HttpError};

const WAIT: Duration = Duration::from_secs(2);
const NOT_MODIFIED: u16 = 304;

/// The platform at one address.
pub struct Platform {
    client: Client,
    address: Arc<str>,
}

impl Platform {
    pub fn new(client: Client, address: Arc<str>) -> Self {
        Self { client, address }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, TableError> {
        let body = self.client.get(&self.address, path, WAIT).await;
        decode(&body.map_err(down)?)
    }
}

fn down(error: HttpError) -> TableError {
    TableError::Down(error.to_string())
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, TableError> {
    serde_json::from_slice(body).map_err(|error| TableError::Nonsense(error.to_string()))
}

#[async_trait(?Send)]
impl Table for Platform {
    async fn head(&self) -> Result<Revision, TableError> {
        self.get("/head").await
    }

    async fn scan(&self, since: Revision) -> Result<Scan, TableError> {
        self.get(&format!("/scan?since={since}")).await
    }

    async fn commit(&self, commit: &Commit) -> Result<Verdict, TableError> {
        let body = serde_json::to_vec(commit).expect("a commit is plain data");
        let json = ("content-type", "application/json".to_owned());
        let call = Call {
            method: Method::POST,
            address: &self.address,
            path: "/commit",
            bearer: None,
            headers: vec![json],
            body,
            wait: WAIT,
        };
        decode(&self.client.call(call).await.map_err(down)?)
    }
}

#[async_trait(?Send)]
impl Roster for Platform {
    async fn boxes(&self, tag: &str) -> Result<Option<Tagged>, TableError> {
        let call = Call {
            method: Method::GET,
            address: &self.address,
            path: "/boxes",
            bearer: None,
            headers: vec![("if-none-match", tag.to_owned())],
            body: Vec::new(),
            wait: WAIT,
        };
        let body = match self.client.call(call).await {
            Ok(body) => body,
            Err(HttpError::Status { code, .. }) if code == NOT_MODIFIED => return Ok(None),
            Err(error) => return Err(down(error)),
        };
        let boxes = decode(&body)?;
        let tag = tag_of(&body);
        Ok(Some(Tagged {
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
