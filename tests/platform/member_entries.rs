//! Members' entries that no member wrote: they declare nobody, and all others hold.

use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::borders::table::{Revision, Row, Table};
use larkfall::platform::members::declaration;
use larkfall::platform::table::Mirror;
use proptest::prelude::*;
use serde_json::{Value, json};
use tokio::task::LocalSet;

use super::store::Store;
use super::store_reads::start_mirror;
use super::world::{entry, manifest};

/// The last entry by its key, which is told after all that stood before it.
const LAST: &str = "z-last";

fn good() -> Value {
    let address = "127.0.0.1:9".parse().expect("an address");
    entry(1, address, "ready")
}

/// A good entry in which one field is another, or missing.
fn with(field: &str, value: Option<Value>) -> Value {
    let mut entry = good();
    let fields = entry.as_object_mut().expect("an entry has fields");
    match value {
        Some(value) => fields.insert(field.to_owned(), value),
        None => fields.remove(field),
    };
    entry
}

/// Entries of other writers.
fn bad() -> Vec<Value> {
    let fields = [
        "backend", "address", "zone", "version", "capacity", "state", "sequence",
    ];
    let missing = fields.iter().map(|field| with(field, None));
    let typed = fields.iter().map(|field| with(field, Some(json!([1]))));
    let others = [
        with("state", Some(json!("retired"))),
        with("address", Some(json!("nowhere"))),
        with("backend", Some(json!("other.db1"))),
        with("born", Some(json!("yesterday"))),
        with("born", Some(json!(1.5))),
        json!(null),
        json!("ready"),
    ];
    missing.chain(typed).chain(others).collect()
}

/// Members as a mirror tells them until `key` is told, the newest of each.
async fn members_until(mirror: &Rc<Mirror>, key: &str, declared: bool) -> Vec<Row> {
    let mut told: Vec<Row> = Vec::new();
    loop {
        for row in mirror
            .scan(Revision::NONE)
            .await
            .map_or(Vec::new(), |scan| scan.rows)
        {
            told.retain(|known| known.key != row.key);
            told.push(row);
        }
        let is_last = |row: &Row| row.key.ends_with(key) && row.value.is_some() == declared;
        if told.iter().any(is_last) {
            told.retain(|row| row.key.starts_with("resource/member/") && row.value.is_some());
            return told;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Before, an unknown state counted as ready, and members without an address as members.
#[gtest]
#[tokio::test]
async fn entries_of_other_writers_declare_nobody_and_the_others_hold() {
    let store = Store::default();
    store.put("op", "config", &manifest(3, 3_000));
    store.put("servers", "a-good", &good());
    for (i, bad) in bad().iter().enumerate() {
        store.put("servers", &format!("bad-{i}"), bad);
    }
    store.put_raw("servers", "garbled", Some("%%%".to_owned()));
    store.put("servers", LAST, &good());
    let check = async {
        let told = members_until(&start_mirror(&store).await, LAST, true).await;
        let keys: Vec<&str> = told.iter().map(|row| &*row.key).collect();
        let wanted = [
            "resource/member/platform/db1.a-good",
            "resource/member/platform/db1.z-last",
        ];
        expect_that!(
            keys,
            unordered_elements_are![eq(&wanted[0]), eq(&wanted[1])]
        );
    };
    LocalSet::new().run_until(check).await;
}

/// Before, the last good value stayed in use.
#[gtest]
#[tokio::test]
async fn an_entry_that_another_writer_replaces_declares_nobody_any_more() {
    let overwritten = [Some("%%%".to_owned()), Some(String::new())];
    for value in overwritten {
        let store = Store::default();
        store.put("op", "config", &manifest(3, 3_000));
        store.put("servers", "a", &good());
        store.put("servers", "b", &good());
        let check = async {
            let mirror = start_mirror(&store).await;
            members_until(&mirror, "db1.b", true).await;
            store.put_raw("servers", "a", value);
            members_until(&mirror, "db1.a", false).await;
            // The member writes again.
            store.put("servers", "a", &good());
            members_until(&mirror, "db1.a", true).await;
        };
        LocalSet::new().run_until(check).await;
    }
}

/// Any JSON a writer may put in a field's place.
fn any_field() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,20}".prop_map(Value::from),
        "[a-z.:/0-9-]{0,20}".prop_map(Value::from),
        proptest::collection::vec(any::<u8>(), 0..4).prop_map(Value::from),
    ]
}

proptest! {
    #[test]
    fn no_bytes_end_the_reading_of_an_entry(id in ".{0,40}", bytes: Vec<u8>) {
        let _ = declaration(&id.into(), &bytes);
    }

    /// What is read as a member's entry has all that a member needs.
    #[test]
    fn an_entry_with_any_field_replaced_is_refused_or_whole(
        field in "backend|address|zone|state|born|version|capacity|sequence|db_role",
        value in any_field(),
    ) {
        let bytes = serde_json::to_vec(&with(&field, Some(value))).expect("plain data");
        if let Ok((key, fields)) = declaration(&"i-1".into(), &bytes) {
            prop_assert!(key.name.ends_with(".i-1"));
            prop_assert_eq!(key.name.matches('.').count(), 1);
            let address = fields["sql"].as_str().unwrap_or_default();
            prop_assert!(address.parse::<std::net::SocketAddr>().is_ok());
        }
    }
}
