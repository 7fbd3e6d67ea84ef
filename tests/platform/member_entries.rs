//! Malformed member entries in the store: they declare no member, and valid entries stay in force.

use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::borders::table::{Revision, Row, Table};
use larkfall::platform::member_entry::parse_declaration;
use larkfall::platform::table::Mirror;
use proptest::prelude::*;
use serde_json::{Value, json};
use tokio::task::LocalSet;

use super::store::Store;
use super::store_reads::start_mirror;
use super::world::{manifest, member_entry};

/// The key that sorts last, so that its row is reported after all others.
const LAST_KEY: &str = "z-last";

fn valid_entry() -> Value {
    let address = "127.0.0.1:9".parse().expect("an address");
    member_entry(1, address, "ready")
}

/// Returns a valid entry with one field replaced, or removed if `value` is `None`.
fn entry_with(field: &str, value: Option<Value>) -> Value {
    let mut entry = valid_entry();
    let fields = entry.as_object_mut().expect("an entry has fields");
    match value {
        Some(value) => fields.insert(field.to_owned(), value),
        None => fields.remove(field),
    };
    entry
}

/// Entries that no member would write.
fn malformed_entries() -> Vec<Value> {
    let fields = [
        "backend", "address", "zone", "version", "capacity", "state", "sequence",
    ];
    let missing = fields.iter().map(|field| entry_with(field, None));
    let wrong_type = fields
        .iter()
        .map(|field| entry_with(field, Some(json!([1]))));
    let others = [
        entry_with("state", Some(json!("retired"))),
        entry_with("address", Some(json!("nowhere"))),
        entry_with("backend", Some(json!("other.db1"))),
        entry_with("born", Some(json!("yesterday"))),
        entry_with("born", Some(json!(1.5))),
        json!(null),
        json!("ready"),
    ];
    missing.chain(wrong_type).chain(others).collect()
}

/// Reads the mirror until the row whose key ends with `key` is present (`declared`) or removed, and
/// returns the latest row of each declared member.
async fn members_until(mirror: &Rc<Mirror>, key: &str, declared: bool) -> Vec<Row> {
    let mut latest: Vec<Row> = Vec::new();
    loop {
        for row in mirror
            .scan(Revision::NONE)
            .await
            .map_or(Vec::new(), |scan| scan.rows)
        {
            latest.retain(|known| known.key != row.key);
            latest.push(row);
        }
        let is_expected = |row: &Row| row.key.ends_with(key) && row.value.is_some() == declared;
        if latest.iter().any(is_expected) {
            latest.retain(|row| row.key.starts_with("resource/member/") && row.value.is_some());
            return latest;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against reading an unknown state as ready, or accepting a member without an address.
#[gtest]
#[tokio::test]
async fn malformed_entries_declare_no_member_and_valid_ones_stay_in_force() {
    let store = Store::default();
    store.put("op", "config", &manifest(3, 3_000));
    store.put("servers", "a-good", &valid_entry());
    for (i, malformed) in malformed_entries().iter().enumerate() {
        store.put("servers", &format!("bad-{i}"), malformed);
    }
    store.put_raw("servers", "garbled", Some("%%%".to_owned()));
    store.put("servers", LAST_KEY, &valid_entry());
    let check = async {
        let members = members_until(&start_mirror(&store).await, LAST_KEY, true).await;
        let keys: Vec<&str> = members.iter().map(|row| &*row.key).collect();
        let expected = [
            "resource/member/platform/db1.a-good",
            "resource/member/platform/db1.z-last",
        ];
        expect_that!(
            keys,
            unordered_elements_are![eq(&expected[0]), eq(&expected[1])]
        );
    };
    LocalSet::new().run_until(check).await;
}

/// Guards against keeping the last valid value in use.
#[gtest]
#[tokio::test]
async fn an_entry_overwritten_with_garbage_no_longer_declares_its_member() {
    let overwritten = [Some("%%%".to_owned()), Some(String::new())];
    for value in overwritten {
        let store = Store::default();
        store.put("op", "config", &manifest(3, 3_000));
        store.put("servers", "a", &valid_entry());
        store.put("servers", "b", &valid_entry());
        let check = async {
            let mirror = start_mirror(&store).await;
            members_until(&mirror, "db1.b", true).await;
            store.put_raw("servers", "a", value);
            members_until(&mirror, "db1.a", false).await;
            // The member writes its entry again.
            store.put("servers", "a", &valid_entry());
            members_until(&mirror, "db1.a", true).await;
        };
        LocalSet::new().run_until(check).await;
    }
}

/// Any JSON value that a writer may put into a field.
fn any_json_value() -> impl Strategy<Value = Value> {
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
    fn parsing_arbitrary_bytes_as_an_entry_does_not_panic(id in ".{0,40}", bytes: Vec<u8>) {
        let _ = parse_declaration(&id.into(), &bytes);
    }

    /// An entry that parses has a valid key and socket address.
    #[test]
    fn an_entry_with_any_field_replaced_is_refused_or_complete(
        field in "backend|address|zone|state|born|version|capacity|sequence|db_role",
        value in any_json_value(),
    ) {
        let bytes = serde_json::to_vec(&entry_with(&field, Some(value))).expect("plain data");
        if let Ok((key, fields)) = parse_declaration(&"i-1".into(), &bytes) {
            prop_assert!(key.name.ends_with(".i-1"));
            prop_assert_eq!(key.name.matches('.').count(), 1);
            let address = fields["sql"].as_str().unwrap_or_default();
            prop_assert!(address.parse::<std::net::SocketAddr>().is_ok());
        }
    }
}
