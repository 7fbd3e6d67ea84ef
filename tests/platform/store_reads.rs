//! What a box takes from the store's tables: no version, row or change is missed.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::borders::roster::{Listing, Roster};
use larkfall::borders::table::{Revision, Row, Scan, Table};
use larkfall::http::{Client, SILENCE};
use larkfall::metrics::Metrics;
use larkfall::platform::store::Store as Reader;
use larkfall::platform::table::{Mirror, Settings};
use serde_json::{Value, json};
use tokio::task::LocalSet;

use super::proxy::Proxy;
use super::store::Store;
use super::world::manifest;

const PAUSE: Duration = Duration::from_millis(5);

pub async fn start_reader(store: &Store) -> Reader {
    let address = store.start().await;
    let client = Client::new(address.ip());
    Reader::new(client, address.to_string().into())
}

pub async fn start_mirror(store: &Store) -> Rc<Mirror> {
    start_mirror_with_metrics(store, Rc::default()).await
}

pub async fn start_mirror_with_metrics(store: &Store, metrics: Rc<Metrics>) -> Rc<Mirror> {
    Mirror::start(
        start_reader(store).await,
        Settings::default(),
        metrics,
        slog::Logger::root(slog::Discard, slog::o!()),
    )
}

/// Rows of a mirror as it tells them, until one with this key has come.
pub async fn collect_rows_until(mirror: &Mirror, key: &str) -> Vec<Row> {
    let mut told = Vec::new();
    loop {
        told.extend(
            mirror
                .scan(Revision::NONE)
                .await
                .map_or(Vec::new(), |scan| scan.rows),
        );
        if told.iter().any(|row| *row.key == *key) {
            return told;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// A row on the first page is changed before the second is read. The version of the last
/// page is newer than that, so that whoever goes on from there never hears of it.
#[gtest]
#[tokio::test]
async fn a_row_that_changes_while_its_table_is_read_page_by_page_is_told_afterwards() {
    let store = Store::default();
    for key in ["a", "b", "c"] {
        store.put("servers", key, &json!(1));
    }
    store.page(1, ("servers", "a", &json!(2)));
    let reader = start_reader(&store).await;
    let read = reader.read("servers").await.unwrap();
    expect_that!(read.rows.len(), eq(3));
    let later = reader.changes("servers", read.revision, Duration::ZERO);
    let told = later.await.unwrap().rows.into_iter();
    let told: Vec<Arc<str>> = told.map(|row| row.tls_key).collect();
    expect_that!(told, contains(eq(&Arc::<str>::from("a"))));
}

/// Whoever reads a record in order to replace it names the version of its row.
#[gtest]
#[tokio::test]
async fn a_record_that_is_written_again_unchanged_has_its_new_version() {
    let store = Store::default();
    store.put("op", "config", &manifest(3, 3_000));
    store.put("larkfall", "duty/a", &json!({"holder": "b"}));
    let check = async {
        let mirror = start_mirror(&store).await;
        let first = collect_rows_until(&mirror, "duty/a").await;
        store.put("larkfall", "duty/a", &json!({"holder": "b"}));
        store.put("larkfall", "duty/b", &json!({"holder": "b"}));
        let later = collect_rows_until(&mirror, "duty/b").await;
        let version = |rows: &[Row]| {
            let found = rows.iter().rfind(|row| *row.key == *"duty/a");
            found.map(|row| row.revision)
        };
        expect_that!(version(&later), gt(version(&first)));
    };
    LocalSet::new().run_until(check).await;
}

/// A box that reads the list after a removal can't name it; by the newest row alone its
/// list would pass for older than one that still has the removed box.
#[gtest]
#[tokio::test]
async fn a_list_of_boxes_that_is_read_whole_is_as_new_as_its_reading() {
    let store = Store::default();
    let listing = Listing {
        name: "a".into(),
        address: "127.0.0.1:1".into(),
        domain: "d".into(),
        leaving: false,
        link_mbps: 10,
    };
    let value = serde_json::to_value(&listing).expect("plain data");
    store.put("larkfall", "box/a", &value);
    store.put("larkfall", "box/b", &value);
    let check = async {
        let older = listed(start_mirror(&store).await).await;
        store.put_raw("larkfall", "box/b", None);
        let newer = listed(start_mirror(&store).await).await;
        expect_that!(newer, gt(older));
    };
    LocalSet::new().run_until(check).await;
}

/// Revision of the list of boxes once it was read.
async fn listed(mirror: Rc<Mirror>) -> Revision {
    loop {
        match mirror.boxes("").await.expect("it is known") {
            Some(listed) if !listed.boxes.is_empty() => return listed.revision,
            _ => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// A word that a member leaves has the age of the silence behind which it came; one that
/// stood there before the box started has none.
#[gtest]
#[tokio::test]
async fn what_is_read_tells_how_long_ago_it_may_have_been_written() {
    let store = Store::default();
    store.put("op", "config", &manifest(1, 1_000));
    store.put("servers", "i-0", &entry("draining"));
    let address = store.start().await;
    let proxy = Proxy::start(address).await;
    let local = LocalSet::new();
    local
        .run_until(async {
            let client = Client::new(proxy.address.ip());
            let reader = Reader::new(client, proxy.address.to_string().into());
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let mirror = Mirror::start(reader, Settings::default(), Rc::default(), log);
            let first = scan_until(&mirror, "i-0").await;
            expect_that!(first.lag_ms, none());
            store.put("servers", "i-1", &entry("draining"));
            let prompt = scan_until(&mirror, "i-1")
                .await
                .lag_ms
                .map(Duration::from_millis);
            expect_that!(prompt, some(lt(SILENCE)));
            proxy.hush();
            store.put("servers", "i-2", &entry("draining"));
            let silent = scan_until(&mirror, "i-2")
                .await
                .lag_ms
                .map(Duration::from_millis);
            expect_that!(silent, some(ge(SILENCE)));
        })
        .await;
}

fn entry(state: &str) -> Value {
    json!({
        "backend": "db1", "address": "127.0.0.1:1", "zone": "z", "version": "v1", "capacity": 3,
        "state": state, "cold_remaining_ms": 0, "db_role": "replica", "sequence": 1,
    })
}

/// What a mirror tells when it tells of a member.
async fn scan_until(mirror: &Mirror, member: &str) -> Scan {
    loop {
        if let Ok(scan) = mirror.scan(Revision::NONE).await
            && scan.rows.iter().any(|row| row.key.ends_with(member))
        {
            return scan;
        }
        tokio::time::sleep(PAUSE).await;
    }
}
