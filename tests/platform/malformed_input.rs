//! Malformed input from callers, the store, the settings and members: no box stops, and callers
//! are still served.

use std::process::Command;

use googletest::prelude::*;
use serde_json::json;

use super::boxes::Settings;
use super::client::Client;
use super::member::{self, Handle};
use super::world::{STRICT, World};

async fn expect_still_serving(world: &mut World) {
    let mut client = world.client(0, STRICT, "after").await;
    let answer = client.run("READ farm").await.unwrap();
    expect_that!(answer.error, none());
    expect_that!(world.boxes[0].is_running(), eq(true));
}

#[gtest]
#[tokio::test]
async fn callers_that_break_the_protocol_get_an_error_and_affect_no_other_caller() {
    let mut world = World::start(1).await;
    let front = world.boxes[0].settings.front;
    let mut unconnected = Client::connect_raw(front, "a").await.unwrap();
    unconnected.send("QUERY 1 READ farm").await.unwrap();
    expect_that!(
        unconnected.read_line().await.unwrap(),
        starts_with("ERROR MALFORMED")
    );
    let mut unknown_verb = world.client(0, STRICT, "b").await;
    unknown_verb.send("DANCE now").await.unwrap();
    expect_that!(
        unknown_verb.read_line().await.unwrap(),
        starts_with("ERROR MALFORMED")
    );
    let mut malformed = world.client(0, STRICT, "c").await;
    for text in [
        "READ",
        "PREPARE p",
        "PREPARE p SING q",
        "EXECUTE",
        "COMMIT now",
        "",
        "SET",
    ] {
        let answer = malformed.run(text).await.unwrap();
        expect_that!(answer.error, some(eq("MALFORMED")));
        expect_that!(answer.state, eq("I"));
    }
    for text in ["COMMIT", "ROLLBACK"] {
        expect_that!(
            malformed.run(text).await.unwrap().error,
            some(eq("MALFORMED"))
        );
    }
    let mut oversized = world.client(0, STRICT, "d").await;
    let sent = oversized.send(&"x".repeat(3 * 1024 * 1024)).await;
    // The box may close the connection before the whole line is sent.
    let reply = match sent {
        Ok(()) => oversized.read_line().await,
        Err(error) => Err(error),
    };
    if let Ok(line) = reply {
        expect_that!(line, starts_with("ERROR MALFORMED"));
    }
    let mut truncated = Client::connect_raw(front, "e").await.unwrap();
    truncated.send("CONNECT").await.unwrap();
    expect_that!(
        truncated.read_line().await.unwrap(),
        starts_with("ERROR MALFORMED")
    );
    expect_still_serving(&mut world).await;
}

#[gtest]
#[tokio::test]
async fn a_callers_statement_is_not_run_under_the_id_of_the_boxs_own_statements() {
    let mut world = World::start(1).await;
    let mut client = world.client(0, STRICT, "a").await;
    for id in ["-", ""] {
        client
            .send(&format!("QUERY {id} WRITE farm 1"))
            .await
            .unwrap();
        let answer = client.read_answer().await.unwrap();
        expect_that!(answer.error, some(eq("MALFORMED")));
    }
    let ran = world
        .member("i-0")
        .statements
        .lock()
        .expect("no panic")
        .clone();
    expect_that!(ran, not(contains(eq("WRITE farm 1"))));
    expect_still_serving(&mut world).await;
}

#[gtest]
#[tokio::test]
async fn pipelined_statements_are_answered_in_order() {
    let world = World::start(1).await;
    let mut client = world.client(0, STRICT, "a").await;
    let texts = ["WRITE farm 1", "READ farm", "WRITE farm 2", "READ farm"];
    for (i, text) in texts.iter().enumerate() {
        // Ids repeat, since answers are matched to statements by order and not by id.
        client
            .send(&format!("QUERY same-{} {text}", i % 2))
            .await
            .unwrap();
    }
    let mut rows = Vec::new();
    for _ in texts {
        rows.extend(client.read_answer().await.unwrap().rows);
    }
    expect_that!(rows, elements_are![eq("1 []"), eq("2 []")]);
}

#[gtest]
#[tokio::test]
async fn malformed_rows_of_the_store_are_ignored() {
    let mut world = World::start(1).await;
    world
        .store
        .put_raw("op", "config", Some("not base64!".to_owned()));
    world
        .store
        .put_raw("servers", "i-7", Some("bm9uc2Vuc2U=".to_owned()));
    world.store.put("servers", "i-8", &json!({"backend": 5}));
    world.store.put("op", "config", &json!(["no", "manifest"]));
    world
        .store
        .put_raw("larkfall", "box/x", Some("eyJ4IjoxfQ==".to_owned()));
    expect_still_serving(&mut world).await;
}

#[gtest]
#[tokio::test]
async fn a_member_with_another_id_than_its_entry_gets_no_statement() {
    let mut world = World::start(1).await;
    let handle = Handle::default();
    let address = member::start(world.group.clone(), "i-other", 12, handle.clone()).await;
    let entry = json!({
        "backend": "db1", "address": address.to_string(), "zone": "zone-0", "state": "ready",
    });
    world.store.put("servers", "i-9", &entry);
    for _ in 0..20 {
        expect_still_serving(&mut world).await;
    }
    let statements = handle.statements.lock().expect("no panic under the lock");
    expect_that!(*statements, is_empty());
}

#[gtest]
fn invalid_settings_are_refused_with_the_path_of_their_file() {
    let settings = Settings::new("box", "zone-0", "127.0.0.1:1".parse().expect("an address"));
    let text = settings.yaml();
    let cases = [
        (text.replace("node_name", "other_name"), "node_name"),
        (text.replace("grace_s: 4", "grace_s: soon"), "grace_s"),
        (text.replace("ip: \"127.", "ip: \"here."), "ip"),
        ("{ not yaml".to_owned(), "settings"),
    ];
    for (i, (text, _)) in cases.iter().enumerate() {
        let file = std::env::temp_dir().join(format!("larkfall-bad-{}-{i}", std::process::id()));
        std::fs::write(&file, text).expect("a file can be written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_larkfall"));
        let command = command.arg("serve").env("LARKFALL_NODE_FILE", &file);
        let output = command.output().expect("the program runs");
        std::fs::remove_file(&file).expect("the file is there");
        expect_that!(output.status.code(), some(eq(2)));
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(message, contains_substring("larkfall-bad-"));
    }
    let mut without_file = Command::new(env!("CARGO_BIN_EXE_larkfall"));
    let output = without_file
        .arg("serve")
        .env_remove("LARKFALL_NODE_FILE")
        .output();
    expect_that!(output.expect("the program runs").status.code(), some(eq(2)));
}
