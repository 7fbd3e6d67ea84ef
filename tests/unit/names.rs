use googletest::prelude::*;
use larkfall::declarations::check;
use larkfall::declarations::entry::Entry;
use larkfall::declarations::resource::{Key, Kind};
use larkfall::platform::manifest::{Manifest, resource_key};
use larkfall::platform::member_entry::parse_declaration;
use serde_json::{Value, json};

/// Texts that would add a field or a line to a message.
const HOSTILE: [&str; 7] = ["a b", "a\nb", "a\rb", "a\r\n", "\0", "a\u{85}b", ""];

/// Texts that would make a member's key ambiguous.
const AMBIGUOUS: [&str; 2] = ["a/b", "a.b"];

fn member(group: &str, zone: &str) -> Vec<u8> {
    let entry = json!({
        "backend": group, "address": "127.0.0.1:1", "zone": zone, "version": "v1", "capacity": 3,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
    });
    entry.to_string().into_bytes()
}

/// Whether a declaration of this kind in the manifest is accepted.
fn accepts(manifest: &Value, kind: Kind) -> bool {
    let manifest = Manifest::parse(manifest.to_string().as_bytes()).expect("a manifest");
    let declared = manifest.declarations();
    let mut of_kind = declared.iter().filter(|(key, _)| key.kind == kind);
    of_kind.any(|(key, value)| {
        let entry = Entry::from_json(key.kind.name(), "test", value).expect("an object");
        check::one(&entry).is_ok()
    })
}

fn group(name: &str) -> bool {
    let manifest = json!({"version": 1, "services": [{"name": name, "max_connections": 8}]});
    accepts(&manifest, Kind::Group)
}

fn workspace(name: &str) -> bool {
    let manifest = json!({"version": 1, "tenants": [{"name": name, "api_keys": ["k"]}]});
    accepts(&manifest, Kind::Workspace)
}

fn database(name: &str, backend: &str) -> bool {
    let route = json!({"hostname": name, "type": "primary", "backend": backend});
    accepts(&json!({"version": 1, "routes": [route]}), Kind::Database)
}

/// Guards against names from the operator or from members that end a message to a member early.
#[gtest]
fn names_in_messages_to_members_hold_no_blanks_and_no_line_ends() {
    let ids = |id: &str, group: &str, zone: &str| {
        parse_declaration(&id.into(), &member(group, zone)).is_ok()
    };
    expect_that!(ids("i-1", "g", "z"), eq(true));
    expect_that!(
        [group("g"), workspace("w"), database("d.example", "g")],
        each(eq(true))
    );
    for name in HOSTILE {
        expect_that!(workspace(name), eq(false), "{name:?}");
    }
    for name in HOSTILE.into_iter().chain(AMBIGUOUS) {
        expect_that!(ids(name, "g", "z"), eq(false), "{name:?}");
        expect_that!(ids("i-1", name, "z"), eq(false), "{name:?}");
        expect_that!(ids("i-1", "g", name), eq(false), "{name:?}");
        expect_that!(group(name), eq(false), "{name:?}");
        expect_that!(database("d", name), eq(false), "{name:?}");
    }
}

/// Guards against a database or workspace whose key is read as that of another resource.
#[gtest]
fn a_key_is_read_as_the_resource_that_it_was_written_for() {
    for name in ["d.example", "a/b", "/", "group/platform/g", "a//b"] {
        for kind in [Kind::Database, Kind::Workspace] {
            let key = resource_key(kind, name.into());
            expect_that!(Key::parse(&key.to_string()), some(eq(&key)));
        }
    }
    for name in ["a b", "a\nb", "a\r\nb", "\0"] {
        expect_that!(database(name, "g"), eq(false), "{name:?}");
    }
}
