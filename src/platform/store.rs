//! Client of the platform's metadata store: rows, their changes, transactions.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use hyper::Method;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::borders::table::Revision;
use crate::http::{Answer, Call, Client, HttpError};

/// Time for a call that reads or writes: 4 ms each on a calm day, a few hundred when
/// the store is slow.
const CALL_WAIT: Duration = Duration::from_millis(1_500);
/// Time beyond the asked one after which a wait for changes has failed.
const FEED_MARGIN: Duration = Duration::from_secs(1);
/// Status of a transaction whose conditions do not hold.
const CONDITION_FAILED: u16 = 412;
/// Status of a history that is gone.
const GONE: u16 = 410;

/// Header of all answers: counts how often the store came back as an older copy of itself.
const ERA: &str = "store-era";

/// A row as the store sends it.
#[derive(Clone, Debug, Deserialize)]
pub struct Row {
    /// Key; the name on the wire says otherwise.
    pub tls_key: Arc<str>,
    /// Base64; missing when the row was removed.
    #[serde(default)]
    value: Option<String>,
    /// Number of the transaction that wrote the row.
    #[serde(default)]
    schema_version: u64,
    /// The same as a position in the table's history.
    #[serde(skip)]
    pub revision: Revision,
    #[serde(default)]
    deleted: bool,
}

impl Row {
    /// The value's bytes; none for a removed row, an error for one that is no base64.
    pub fn bytes(&self) -> Result<Option<Vec<u8>>, StoreError> {
        match &self.value {
            Some(text) if !self.deleted => BASE64
                .decode(text)
                .map(Some)
                .map_err(|error| StoreError::Nonsense(format!("{}: {error}", self.tls_key))),
            _ => Ok(None),
        }
    }
}

/// Rows and the store's newest version.
#[derive(Clone, Debug, Deserialize)]
pub struct Rows {
    #[serde(default)]
    pub rows: Vec<Row>,
    /// More rows follow the last key.
    #[serde(default)]
    pub has_more: bool,
    /// Number of the newest transaction in the store.
    schema_version: u64,
    /// The same as a position in the table's history.
    #[serde(skip)]
    pub revision: Revision,
}

impl Rows {
    /// Rows as the store sends them, in an answer of this era.
    pub fn parse(body: &[u8], era: u64) -> Result<Self, StoreError> {
        let mut rows: Self = decode(body)?;
        rows.revision = Revision::new(era, rows.schema_version);
        for row in &mut rows.rows {
            row.revision = Revision::new(era, row.schema_version);
        }
        Ok(rows)
    }

    /// What follows on a position of another era is not what was asked for: the same number
    /// may have been given out twice.
    fn check_era(&self, asked: Revision) -> Result<(), StoreError> {
        match self.revision.era() == asked.era() {
            true => Ok(()),
            false => Err(StoreError::Replaced),
        }
    }
}

/// Why the store gave no answer that can be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    #[error("no answer: {0}")]
    Down(String),
    #[error("the history is gone")]
    HistoryGone,
    #[error("another copy has taken the store's place meanwhile")]
    Replaced,
    #[error("a condition does not hold")]
    Condition(Vec<(Arc<str>, Revision, Option<Vec<u8>>)>),
    #[error("nonsense: {0}")]
    Nonsense(String),
}

/// One change of a transaction.
#[derive(Clone, Debug)]
pub struct Change {
    pub key: Arc<str>,
    /// Revision that the row must have, the default for none.
    pub expect: Option<Revision>,
    /// None removes the row.
    pub value: Option<Vec<u8>>,
}

#[derive(Serialize)]
struct Named<'a> {
    table: &'a str,
    part: &'a str,
    tls_key: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    schema_version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
}

#[derive(Serialize)]
struct Transaction<'a> {
    expected_revision: Vec<Named<'a>>,
    puts: Vec<Named<'a>>,
    remove: Vec<Named<'a>>,
}

#[derive(Deserialize)]
struct Committed {
    schema_version: u64,
}

/// The store at one address.
#[derive(Clone)]
pub struct Store {
    client: Client,
    address: Arc<str>,
    /// The newest era that an answer has named; none before the first.
    era: watch::Sender<Option<u64>>,
}

impl Store {
    pub fn new(client: Client, address: Arc<str>) -> Self {
        Self {
            client,
            address,
            era: watch::channel(None).0,
        }
    }

    /// The newest era that an answer has named; none before the first.
    pub fn era(&self) -> watch::Receiver<Option<u64>> {
        self.era.subscribe()
    }

    /// All rows of a table, and a version up to which they are known: that of the first
    /// page. What changed while further pages were read is newer than that, so that
    /// whoever asks for later changes is told of it.
    pub async fn read(&self, table: &str) -> Result<Rows, StoreError> {
        let mut all = self.page(table, None).await?;
        while all.has_more {
            let page = self.page(table, all.rows.last()).await?;
            page.check_era(all.revision)?;
            all.has_more = page.has_more && !page.rows.is_empty();
            all.rows.extend(page.rows);
        }
        Ok(all)
    }

    /// Rows of a table behind one of them, as many as the store tells at once.
    async fn page(&self, table: &str, last: Option<&Row>) -> Result<Rows, StoreError> {
        let from = last.map(|row| format!("&from={}", after(&row.tls_key)));
        let from = from.unwrap_or_default();
        let path = format!("/v1/rows-get?table={table}&part={from}");
        self.rows(&path, CALL_WAIT).await
    }

    /// Rows of a table that changed after a version, as soon as there is one, or
    /// none when `wait` has passed.
    pub async fn changes(
        &self,
        table: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Rows, StoreError> {
        let ms = wait.as_millis();
        let number = after.number();
        let path = format!("/v1/rows-feed?table={table}&after={number}&wait_ms={ms}");
        let rows = self.rows(&path, wait + FEED_MARGIN).await?;
        rows.check_era(after)?;
        Ok(rows)
    }

    /// Carries out changes of one table, all or none. Returns their revision.
    pub async fn transact(&self, table: &str, changes: &[Change]) -> Result<Revision, StoreError> {
        let named = |change: &Change| change.expect.is_some();
        let expected = changes.iter().filter(|change| named(change));
        let name = |change: &'_ Change| Named {
            table,
            part: "",
            tls_key: "",
            schema_version: change.expect.map(Revision::number),
            value: change.value.as_ref().map(|value| BASE64.encode(value)),
        };
        let expected_revision = expected.map(|change| Named {
            tls_key: &change.key,
            value: None,
            ..name(change)
        });
        let puts = changes.iter().filter(|change| change.value.is_some());
        let puts = puts.map(|change| Named {
            tls_key: &change.key,
            schema_version: None,
            ..name(change)
        });
        let remove = changes.iter().filter(|change| change.value.is_none());
        let remove = remove.map(|change| Named {
            tls_key: &change.key,
            schema_version: None,
            ..name(change)
        });
        let transaction = Transaction {
            expected_revision: expected_revision.collect(),
            puts: puts.collect(),
            remove: remove.collect(),
        };
        let body = serde_json::to_vec(&transaction).expect("a transaction is plain data");
        let call = Call {
            method: Method::POST,
            address: &self.address,
            path: "/v1/rows-tx",
            bearer: None,
            headers: vec![("content-type", "application/json".to_owned())],
            body,
            wait: CALL_WAIT,
        };
        let (body, era) = self.ask(call).await?;
        let committed: Committed = decode(&body)?;
        Ok(Revision::new(era, committed.schema_version))
    }

    async fn rows(&self, path: &str, wait: Duration) -> Result<Rows, StoreError> {
        let (body, era) = self.ask(Call::get(&self.address, path, wait)).await?;
        Rows::parse(&body, era)
    }

    /// The body of an answer, and the era that it is of.
    async fn ask(&self, call: Call<'_>) -> Result<(bytes::Bytes, u64), StoreError> {
        let answer = self
            .client
            .ask(call)
            .await
            .map_err(|error| failed(error, 0))?;
        let era = self.era_of(&answer)?;
        let body = answer.done().map_err(|error| failed(error, era))?;
        Ok((body, era))
    }

    /// The era that an answer, a refusal too, is of. One that names an older era than an
    /// answer before was held up on its way, and what it says may be gone.
    fn era_of(&self, answer: &Answer) -> Result<u64, StoreError> {
        let named = answer.headers.get(ERA);
        let named: Option<u64> = named.and_then(|value| value.to_str().ok()?.parse().ok());
        let known = *self.era.borrow();
        let era = named.or(known).unwrap_or_default();
        if Some(era) < known {
            return Err(StoreError::Replaced);
        }
        self.era.send_if_modified(|known| {
            let newer = named > *known;
            *known = named.max(*known);
            newer
        });
        Ok(era)
    }

    /// Whether a position is of the newest era that is known.
    pub fn is_current(&self, revision: Revision) -> bool {
        revision.era() == self.era.borrow().unwrap_or_default()
    }

    /// Returns when a position is not of the newest era that is known.
    pub async fn replaced(&self, known: Revision) {
        let mut era = self.era.subscribe();
        let replaced = era.wait_for(|era| era.unwrap_or_default() != known.era());
        replaced.await.expect("the sender lives as long as this");
    }
}

fn failed(error: HttpError, era: u64) -> StoreError {
    match error {
        HttpError::Status { code: GONE, .. } => StoreError::HistoryGone,
        HttpError::Status {
            code: CONDITION_FAILED,
            body,
        } => conflicts(&body, era),
        other => StoreError::Down(other.to_string()),
    }
}

/// The rows that did not meet their condition, as they are.
fn conflicts(body: &str, era: u64) -> StoreError {
    #[derive(Deserialize)]
    struct Found {
        #[serde(default)]
        rows: Vec<Row>,
    }
    let found: Found = match serde_json::from_str(body) {
        Ok(found) => found,
        Err(error) => return StoreError::Nonsense(error.to_string()),
    };
    let row = |row: &Row| {
        let value = row.bytes()?;
        Ok((
            row.tls_key.clone(),
            Revision::new(era, row.schema_version),
            value,
        ))
    };
    let rows: Result<_, StoreError> = found.rows.iter().map(row).collect();
    rows.map_or_else(|error| error, StoreError::Condition)
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::Nonsense(error.to_string()))
}

/// The least key behind `key`, as part of a query.
fn after(key: &str) -> String {
    let bytes = key.bytes().chain([0]);
    bytes.map(|byte| format!("%{byte:02X}")).collect()
}
