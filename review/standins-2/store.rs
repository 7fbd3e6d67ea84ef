//! The platform's metadata store: rows, conditional transactions, reads and feeds.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::Request;
use crate::json::{self, Value, quote};

/// Time of an answer.
const ANSWER: Duration = Duration::from_millis(4);

type Key = (String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Version and value in base64; no value for a removed row.
    rows: BTreeMap<Key, (u64, Option<String>)>,
}

#[derive(Clone, Default)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    changed: Arc<Condvar>,
}

impl Store {
    /// Writes a row in the place of the operator or a member; no value removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = value.map(|value| json::base64(value.as_bytes()));
        rows.rows
            .insert((table.to_owned(), key.to_owned()), (version, value));
        self.changed.notify_all();
    }

    pub fn handle(&self, request: Request) -> (u16, String) {
        std::thread::sleep(ANSWER);
        match request.path.as_str() {
            "/v1/rows-tx" => self.transact(&request.body),
            "/v1/rows-get" => self.read(&request.query),
            "/v1/rows-feed" => self.feed(&request.query),
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let key = |row: &Value| {
            let field = |name| row.get(name).text().unwrap_or_default().to_owned();
            (field("table"), field("tls_key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let puts = call.get("puts").list();
        let removed = call.get("remove").list();
        let foreign = puts.iter().chain(removed).any(|row| {
            let table = key(row).0;
            table == "servers" || table == "op"
        });
        if foreign {
            return (403, "{}".to_owned());
        }
        let expected = call.get("expected_revision").list();
        let holds = |row: &Value| {
            let known = rows.rows.get(&key(row));
            let known = known
                .filter(|known| known.1.is_some())
                .map_or(0, |known| known.0);
            Some(known)
                == row
                    .get("schema_version")
                    .number()
                    .map(|wanted| wanted as u64)
        };
        if !expected.iter().all(holds) {
            let found = expected.iter().filter_map(|row| {
                let key = key(row);
                let known = rows.rows.get(&key)?;
                Some(row_text(&key, known))
            });
            let found: Vec<String> = found.collect();
            let version = rows.version;
            return (
                412,
                format!(
                    "{{\"rows\":[{}],\"schema_version\":{version}}}",
                    found.join(",")
                ),
            );
        }
        rows.version += 1;
        let version = rows.version;
        for row in puts {
            let value = row.get("value").text().unwrap_or_default().to_owned();
            rows.rows.insert(key(row), (version, Some(value)));
        }
        for row in removed {
            rows.rows.insert(key(row), (version, None));
        }
        self.changed.notify_all();
        (
            200,
            format!("{{\"schema_version\":{version},\"now_ms\":0}}"),
        )
    }

    fn read(&self, query: &HashMap<String, String>) -> (u16, String) {
        let rows = self.rows.lock().unwrap();
        let table = query.get("table").cloned().unwrap_or_default();
        let from = query.get("from").cloned().unwrap_or_default();
        let fits = |key: &Key, row: &(u64, Option<String>)| {
            key.0 == table && key.1 >= from && row.1.is_some()
        };
        let found = rows.rows.iter().filter(|(key, row)| fits(key, row));
        let found: Vec<String> = found.map(|(key, row)| row_text(key, row)).collect();
        let version = rows.version;
        let text = format!(
            "{{\"rows\":[{}],\"has_more\":false,\"schema_version\":{version},\"now_ms\":0}}",
            found.join(",")
        );
        (200, text)
    }

    fn feed(&self, query: &HashMap<String, String>) -> (u16, String) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let table = query.get("table").cloned().unwrap_or_default();
        let mut rows = self.rows.lock().unwrap();
        loop {
            let newer = |key: &Key, row: &(u64, Option<String>)| key.0 == table && row.0 > after;
            let mut found: Vec<_> = rows
                .rows
                .iter()
                .filter(|(key, row)| newer(key, row))
                .collect();
            found.sort_by_key(|(_, row)| row.0);
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let found: Vec<String> =
                    found.iter().map(|(key, row)| row_text(key, row)).collect();
                let version = rows.version;
                return (
                    200,
                    format!(
                        "{{\"rows\":[{}],\"schema_version\":{version},\"now_ms\":0}}",
                        found.join(",")
                    ),
                );
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn row_text(key: &Key, row: &(u64, Option<String>)) -> String {
    let value = match &row.1 {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":\"\",\"tls_key\":{},\"schema_version\":{},{value}}}",
        quote(&key.0),
        quote(&key.1),
        row.0
    )
}
