//! Reading the store's tables: no version, row or change is missed.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::borders::roster::{Listing, Roster};
use larkfall::borders::table::{Revision, Row, Scan, Table};
use larkfall::http::{Client, DEAD_CONNECTION_TIMEOUT};
use larkfall::metrics::Metrics;
use larkfall::platform::settings::DEFAULT_DRAIN;
use larkfall::platform::store::Store as Reader;
use larkfall::platform::table::{Mirror, Settings};
use serde_json::{Value, json};
use tokio::task::LocalSet;

use super::proxy::Proxy;
use super::store::Store;
use super::world::manifest;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Starts the stand-in store and returns a reader of it.
pub async fn start_reader(store: &Store) -> Reader {
    let address = store.start().await;
    let client = Client::new(address.ip());
    Reader::new(client, address.to_string().into())
}

pub async fn start_mirror(store: &Store) -> Rc<Mirror> {
    start_mirror_with_metrics(store, Rc::default()).await
}

/// Starts a mirror that reaches the store through a proxy.
fn start_mirror_behind(proxy: &Proxy) -> Rc<Mirror> {
    let client = Client::new(proxy.address.ip());
    let reader = Reader::new(client, proxy.address.to_string().into());
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Mirror::start(reader, Settings::default(), Rc::default(), log)
}

pub async fn start_mirror_with_metrics(store: &Store, metrics: Rc<Metrics>) -> Rc<Mirror> {
    Mirror::start(
        start_reader(store).await,
        Settings::default(),
        metrics,
        slog::Logger::root(slog::Discard, slog::o!()),
    )
}

/// Collects the rows that a mirror reports until one with this key arrives.
pub async fn collect_rows_until(mirror: &Mirror, key: &str) -> Vec<Row> {
    let mut rows = Vec::new();
    loop {
        rows.extend(
            mirror
                .scan(Revision::NONE)
                .await
                .map_or(Vec::new(), |scan| scan.rows),
        );
        if rows.iter().any(|row| *row.key == *key) {
            return rows;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against missing a row of the first page that changes before the second page is read:
/// the last page's version is newer than the change, so continuing from it skips the row.
#[gtest]
#[tokio::test]
async fn a_row_that_changes_between_two_pages_is_reported_afterwards() {
    let store = Store::default();
    for key in ["a", "b", "c"] {
        store.put("servers", key, &json!(1));
    }
    store.page_reads_and_put(1, ("servers", "a", &json!(2)));
    let reader = start_reader(&store).await;
    let read = reader.read_all("servers").await.unwrap();
    expect_that!(read.rows.len(), eq(3));
    let changes = reader.read_changes("servers", read.revision, Duration::ZERO);
    let changed = changes.await.unwrap().rows.into_iter();
    let keys: Vec<Arc<str>> = changed.map(|row| row.key).collect();
    expect_that!(keys, contains(eq(&Arc::<str>::from("a"))));
}

/// A conditional write names the version of the row that it replaces, so the version has to be
/// known even where the value is unchanged.
#[gtest]
#[tokio::test]
async fn a_row_rewritten_with_the_same_value_gets_its_new_version() {
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

/// Guards against dating a list of boxes by its newest row: after a removal, the list would
/// count as older than one that still contains the removed box.
#[gtest]
#[tokio::test]
async fn a_list_of_boxes_read_in_full_has_the_revision_of_the_read() {
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
        let older = wait_for_box_list(start_mirror(&store).await).await;
        store.put_raw("larkfall", "box/b", None);
        let newer = wait_for_box_list(start_mirror(&store).await).await;
        expect_that!(newer, gt(older));
    };
    LocalSet::new().run_until(check).await;
}

/// Waits until the mirror has read the list of boxes, and returns its revision.
async fn wait_for_box_list(mirror: Rc<Mirror>) -> Revision {
    loop {
        match mirror
            .boxes("")
            .await
            .expect("the list of boxes is available")
        {
            Some(list) if !list.boxes.is_empty() => return list.revision,
            _ => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// The reported lag includes the time for which the connection was silent before the row
/// arrived. It is unknown for rows that were written before the mirror started.
#[gtest]
#[tokio::test]
async fn a_scan_reports_how_long_ago_its_rows_may_have_been_written() {
    let store = Store::default();
    store.put("op", "config", &manifest(1, 1_000));
    store.put("servers", "i-0", &entry_in_state("draining"));
    let address = store.start().await;
    let proxy = Proxy::start(address).await;
    let local = LocalSet::new();
    local
        .run_until(async {
            let mirror = start_mirror_behind(&proxy);
            let first = scan_until(&mirror, "i-0").await;
            expect_that!(first.lag_ms, none());
            store.put("servers", "i-1", &entry_in_state("draining"));
            let prompt_lag = scan_until(&mirror, "i-1")
                .await
                .lag_ms
                .map(Duration::from_millis);
            expect_that!(prompt_lag, some(lt(DEAD_CONNECTION_TIMEOUT)));
            proxy.silence_open_connections();
            store.put("servers", "i-2", &entry_in_state("draining"));
            let silent_lag = scan_until(&mirror, "i-2")
                .await
                .lag_ms
                .map(Duration::from_millis);
            expect_that!(silent_lag, some(ge(DEAD_CONNECTION_TIMEOUT)));
        })
        .await;
}

/// Guards against requests to a leaving member whose notice waits for the end of a poll that the
/// store never answers.
#[gtest]
#[tokio::test]
async fn a_leave_notice_is_read_within_the_drain_time_after_a_lost_answer() {
    let store = Store::default();
    store.put("op", "config", &manifest(3, 3_000));
    store.put("servers", "i-0", &entry_in_state("ready"));
    let proxy = Proxy::start(store.start().await).await;
    let local = LocalSet::new();
    local
        .run_until(async {
            let mirror = start_mirror_behind(&proxy);
            scan_until(&mirror, "i-0").await;
            proxy.silence_open_connections();
            store.put("servers", "i-1", &entry_in_state("draining"));
            let read = scan_until(&mirror, "i-1");
            let in_time = tokio::time::timeout(DEFAULT_DRAIN, read).await;
            expect_that!(in_time.is_ok(), eq(true));
        })
        .await;
}

fn entry_in_state(state: &str) -> Value {
    json!({
        "backend": "db1", "address": "127.0.0.1:1", "zone": "z", "version": "v1", "capacity": 3,
        "state": state, "cold_remaining_ms": 0, "db_role": "replica", "sequence": 1,
    })
}

/// Returns the mirror's first scan that contains the member.
async fn scan_until(mirror: &Mirror, member: &str) -> Scan {
    loop {
        if let Ok(scan) = mirror.scan(Revision::NONE).await
            && scan.rows.iter().any(|row| row.key.ends_with(member))
        {
            return scan;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against passing on older rows as current while newer ones wait to be applied.
#[gtest]
#[tokio::test]
async fn rows_that_were_not_scanned_yet_are_not_confirmed() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let store = Store::default();
            store.put("op", "config", &manifest(3, 3_000));
            let mirror = start_mirror(&store).await;
            collect_rows_until(&mirror, "resource/group/platform/db1").await;
            let scanned = tokio::time::Instant::now();
            tokio::time::sleep(4 * POLL_INTERVAL).await;
            let before = mirror.head().await.unwrap();
            store.put("op", "config", &manifest(4, 2_000));
            while mirror.head().await.unwrap() == before {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            expect_that!(mirror.scan_age(), some(ge(scanned.elapsed())));
            mirror.scan(Revision::NONE).await.unwrap();
            expect_that!(mirror.scan_age(), some(lt(scanned.elapsed())));
        })
        .await;
}
