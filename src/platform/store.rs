//! Client of the platform's metadata store: reads rows, waits for changes, runs transactions.
//!
//! An answer names neither its call nor its table, and the answer to a transaction reads like that
//! of an empty table. Full reads and transactions therefore have a connection of their own each. The
//! long polls of a table share one, on which a repeated answer holds nothing but known rows.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::borders::table::Revision;
use crate::http::{Answer, Call, Client, HttpError};

/// Timeout of a transaction, and of the first part of a read's answer. Either normally takes 4 ms,
/// and a few hundred when the store is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time added to a long poll's own wait to get the timeout of the first part of its answer.
const LONG_POLL_MARGIN: Duration = Duration::from_secs(1);
/// Time without data after which a read is given up. The time of the whole transfer depends on the
/// size of the manifest and on the link, and is not limited: a read that is given up starts over.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// HTTP status of a transaction whose conditions do not hold.
const CONDITION_FAILED: u16 = 412;
/// HTTP status of a read of changes after a version whose history the store no longer keeps.
const HISTORY_GONE: u16 = 410;

/// Header of every answer that holds the store's era: how often the store was replaced by an
/// older copy of itself.
const ERA_HEADER: &str = "store-era";

/// A row in the store's format.
#[derive(Clone, Debug, Deserialize)]
pub struct Row {
    /// The row's key, whatever its name on the wire suggests.
    #[serde(rename = "tls_key")]
    pub key: Arc<str>,
    /// Base64; missing if the row was removed.
    #[serde(default)]
    value: Option<String>,
    /// Number of the transaction that wrote the row.
    #[serde(rename = "schema_version", default)]
    version: u64,
    /// The version together with the era.
    #[serde(skip)]
    pub revision: Revision,
    #[serde(default)]
    deleted: bool,
}

impl Row {
    /// Decodes the value; `None` for a removed row, an error if it is not valid Base64.
    pub fn decode_value(&self) -> Result<Option<Vec<u8>>, StoreError> {
        match &self.value {
            Some(text) if !self.deleted => BASE64
                .decode(text)
                .map(Some)
                .map_err(|error| StoreError::Malformed(format!("{}: {error}", self.key))),
            _ => Ok(None),
        }
    }
}

/// Rows of a table, and the store's newest version.
#[derive(Clone, Debug, Deserialize)]
pub struct Rows {
    #[serde(default)]
    pub rows: Vec<Row>,
    /// Whether more rows follow the last key.
    #[serde(default)]
    pub has_more: bool,
    /// Number of the newest transaction in the store.
    #[serde(rename = "schema_version")]
    version: u64,
    /// The version together with the era.
    #[serde(skip)]
    pub revision: Revision,
    /// When the answer began to arrive; none if unknown.
    #[serde(skip)]
    pub arrived: Option<Instant>,
}

impl Rows {
    /// Parses the rows in the body of an answer from this era.
    pub fn parse(body: &[u8], era: u64) -> Result<Self, StoreError> {
        let mut rows: Self = decode(body)?;
        rows.revision = Revision::new(era, rows.version);
        for row in &mut rows.rows {
            row.revision = Revision::new(era, row.version);
        }
        Ok(rows)
    }

    /// Checks that the rows have the era of `requested`. Versions of different eras can't be
    /// compared, since a store that was replaced by an older copy assigns them again.
    fn check_era(&self, requested: Revision) -> Result<(), StoreError> {
        match self.revision.era() == requested.era() {
            true => Ok(()),
            false => Err(StoreError::EraChanged),
        }
    }
}

/// Why the store gave no answer that can be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    #[error("no answer: {0}")]
    Unavailable(String),
    /// The store no longer keeps the requested changes.
    #[error("the history is gone")]
    HistoryGone,
    /// The store was replaced by an older copy of itself.
    #[error("another copy has taken the store's place meanwhile")]
    EraChanged,
    /// Conditions of a transaction do not hold; lists the current state of the rows concerned.
    #[error("a condition does not hold")]
    ConditionFailed(Vec<(Arc<str>, Revision, Option<Vec<u8>>)>),
    #[error("nonsense: {0}")]
    Malformed(String),
}

/// One change of a transaction.
#[derive(Clone, Debug)]
pub struct Change {
    pub key: Arc<str>,
    /// Revision that the row must have; the default if the row must not exist.
    pub expect: Option<Revision>,
    /// New value; `None` removes the row.
    pub value: Option<Vec<u8>>,
}

/// A row in a transaction: a condition, a write or a removal.
#[derive(Serialize)]
struct TransactionRow<'a> {
    table: &'a str,
    part: &'a str,
    #[serde(rename = "tls_key")]
    key: &'a str,
    #[serde(rename = "schema_version", skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
}

#[derive(Serialize)]
struct Transaction<'a> {
    expected_revision: Vec<TransactionRow<'a>>,
    puts: Vec<TransactionRow<'a>>,
    remove: Vec<TransactionRow<'a>>,
}

#[derive(Deserialize)]
struct Committed {
    #[serde(rename = "schema_version")]
    version: u64,
}

/// Client of the store at one address.
#[derive(Clone)]
pub struct Store {
    /// Makes full reads and transactions.
    client: Client,
    /// Clients that make the long polls, by table.
    polls: Arc<Mutex<BTreeMap<Box<str>, Client>>>,
    address: Arc<str>,
    /// Newest era seen in an answer; `None` before the first.
    era: watch::Sender<Option<u64>>,
}

impl Store {
    pub fn new(client: Client, address: Arc<str>) -> Self {
        Self {
            client: client.unpooled(),
            polls: Arc::default(),
            address,
            era: watch::channel(None).0,
        }
    }

    /// Returns the client that makes a table's long polls.
    fn poll_client(&self, table: &str) -> Client {
        let mut polls = self.polls.lock().unwrap_or_else(PoisonError::into_inner);
        let known = polls.get(table).cloned();
        known.unwrap_or_else(|| {
            let client = self.client.separate();
            polls.insert(table.into(), client.clone());
            client
        })
    }

    /// Returns a receiver of the newest era seen in an answer; `None` before the first.
    pub fn era(&self) -> watch::Receiver<Option<u64>> {
        self.era.subscribe()
    }

    /// Reads all rows of a table. The version and the time are those of the first page, so a later
    /// read of changes includes those made while further pages were read.
    pub async fn read_all(&self, table: &str) -> Result<Rows, StoreError> {
        let mut all = self.read_page(table, None).await?;
        while all.has_more {
            let page = self.read_page(table, all.rows.last()).await?;
            page.check_era(all.revision)?;
            all.has_more = page.has_more && !page.rows.is_empty();
            all.rows.extend(page.rows);
        }
        Ok(all)
    }

    /// Reads the page of rows that follows `last`, or the first page.
    async fn read_page(&self, table: &str, last: Option<&Row>) -> Result<Rows, StoreError> {
        let from = last.map(|row| format!("&from={}", next_key_encoded(&row.key)));
        let from = from.unwrap_or_default();
        let path = format!("/v1/rows-get?table={table}&part={from}");
        self.fetch_rows(&self.client, &path, CALL_TIMEOUT).await
    }

    /// Long poll: returns the rows that changed after a revision as soon as there are any, or
    /// no rows after `wait`.
    pub async fn read_changes(
        &self,
        table: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Rows, StoreError> {
        let ms = wait.as_millis();
        let number = after.number();
        let path = format!("/v1/rows-feed?table={table}&after={number}&wait_ms={ms}");
        let client = self.poll_client(table);
        let timeout = wait + LONG_POLL_MARGIN;
        let rows = self.fetch_rows(&client, &path, timeout).await?;
        rows.check_era(after)?;
        Ok(rows)
    }

    /// Commits changes of one table atomically. Returns their revision.
    pub async fn transact(&self, table: &str, changes: &[Change]) -> Result<Revision, StoreError> {
        let has_condition = |change: &Change| change.expect.is_some();
        let expected = changes.iter().filter(|change| has_condition(change));
        let row = |change: &'_ Change| TransactionRow {
            table,
            part: "",
            key: "",
            version: change.expect.map(Revision::number),
            value: change.value.as_ref().map(|value| BASE64.encode(value)),
        };
        let expected_revision = expected.map(|change| TransactionRow {
            key: &change.key,
            value: None,
            ..row(change)
        });
        let puts = changes.iter().filter(|change| change.value.is_some());
        let puts = puts.map(|change| TransactionRow {
            key: &change.key,
            version: None,
            ..row(change)
        });
        let remove = changes.iter().filter(|change| change.value.is_none());
        let remove = remove.map(|change| TransactionRow {
            key: &change.key,
            version: None,
            ..row(change)
        });
        let transaction = Transaction {
            expected_revision: expected_revision.collect(),
            puts: puts.collect(),
            remove: remove.collect(),
        };
        let body = serde_json::to_vec(&transaction).expect("a transaction can be serialized");
        let call = Call {
            headers: vec![("content-type", "application/json".to_owned())],
            ..Call::post(&self.address, "/v1/rows-tx", body, CALL_TIMEOUT)
        };
        let (answer, era) = self.call(&self.client, call).await?;
        let committed: Committed = decode(&answer.body)?;
        Ok(Revision::new(era, committed.version))
    }

    async fn fetch_rows(
        &self,
        client: &Client,
        path: &str,
        timeout: Duration,
    ) -> Result<Rows, StoreError> {
        let call = Call {
            stall_timeout: Some(STALL_TIMEOUT),
            ..Call::get(&self.address, path, timeout)
        };
        let (answer, era) = self.call(client, call).await?;
        let rows = Rows::parse(&answer.body, era)?;
        Ok(Rows {
            arrived: Some(answer.arrived),
            ..rows
        })
    }

    /// Makes a call. Returns a successful answer and its era.
    async fn call(&self, client: &Client, call: Call<'_>) -> Result<(Answer, u64), StoreError> {
        let answer = client
            .send(call)
            .await
            .map_err(|error| store_error(error, 0))?;
        let era = self.check_answer_era(&answer)?;
        let answer = answer
            .check_status()
            .map_err(|error| store_error(error, era))?;
        Ok((answer, era))
    }

    /// Returns the era of an answer, including error answers, and records it if it is newer.
    /// Fails if an earlier answer had a newer era: the answer was delayed, and its rows may no
    /// longer exist.
    fn check_answer_era(&self, answer: &Answer) -> Result<u64, StoreError> {
        let answer_era = answer.headers.get(ERA_HEADER);
        let answer_era: Option<u64> =
            answer_era.and_then(|value| value.to_str().ok()?.parse().ok());
        let known = *self.era.borrow();
        let era = answer_era.or(known).unwrap_or_default();
        if Some(era) < known {
            return Err(StoreError::EraChanged);
        }
        self.era.send_if_modified(|known| {
            let newer = answer_era > *known;
            *known = answer_era.max(*known);
            newer
        });
        Ok(era)
    }

    /// Whether a revision belongs to the newest known era.
    pub fn is_current(&self, revision: Revision) -> bool {
        revision.era() == self.era.borrow().unwrap_or_default()
    }

    /// Waits until a revision no longer belongs to the newest known era.
    pub async fn era_changed(&self, known: Revision) {
        let mut era = self.era.subscribe();
        let era_changed = era.wait_for(|era| era.unwrap_or_default() != known.era());
        era_changed
            .await
            .expect("the sender is dropped with the store");
    }
}

fn store_error(error: HttpError, era: u64) -> StoreError {
    match error {
        HttpError::Status {
            code: HISTORY_GONE, ..
        } => StoreError::HistoryGone,
        HttpError::Status {
            code: CONDITION_FAILED,
            body,
        } => condition_failed(&body, era),
        other => StoreError::Unavailable(other.to_string()),
    }
}

/// Parses the current state of the rows whose conditions do not hold.
fn condition_failed(body: &str, era: u64) -> StoreError {
    #[derive(Deserialize)]
    struct Found {
        #[serde(default)]
        rows: Vec<Row>,
    }
    let found: Found = match serde_json::from_str(body) {
        Ok(found) => found,
        Err(error) => return StoreError::Malformed(error.to_string()),
    };
    let row = |row: &Row| {
        let value = row.decode_value()?;
        Ok((row.key.clone(), Revision::new(era, row.version), value))
    };
    let rows: Result<_, StoreError> = found.rows.iter().map(row).collect();
    rows.map_or_else(|error| error, StoreError::ConditionFailed)
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::Malformed(error.to_string()))
}

/// Returns the smallest key greater than `key`, percent-encoded for a query.
fn next_key_encoded(key: &str) -> String {
    let bytes = key.bytes().chain([0]);
    bytes.map(|byte| format!("%{byte:02X}")).collect()
}
