//! Whole sessions: reads, writes, transactions, session values and prepared statements.

use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;

use super::client::Client;
use super::replies::Kind;
use super::world::{BOUNDED, OWN_WRITES, STRICT, World, manifest};

#[gtest]
#[tokio::test]
async fn statements_and_answers_pass_through_unchanged() {
    let world = World::start(1).await;
    let mut client = world.client(0, STRICT, "a").await;
    let wrote = client.run("WRITE farm two  blanks").await.unwrap();
    world.expect_answer_from("i-0", Kind::Write, &client, &wrote);
    expect_that!(wrote.state, eq("I"));
    let read = client.run("READ farm").await.unwrap();
    expect_that!(read.rows, elements_are![eq("two  blanks []")]);
    expect_that!(world.group.log("i-0")[0].id, eq("a-1"));
}

#[gtest]
#[tokio::test]
async fn an_unknown_database_is_refused() {
    let world = World::start(1).await;
    let front = world.boxes[0].settings.front;
    let refused = Client::connect(front, "nowhere", "a").await;
    expect_that!(refused.err(), some(starts_with("ERROR NODB")));
}

#[gtest]
#[tokio::test]
async fn a_session_reads_its_own_writes_and_bounded_reads_use_replicas() {
    let world = World::start(2).await;
    for (_, _, handle) in &world.members {
        handle.lag_ms.store(150, Ordering::SeqCst);
    }
    let mut client = world.client(0, OWN_WRITES, "a").await;
    for round in 0..20 {
        client.run(&format!("WRITE farm {round}")).await.unwrap();
        let read = client.run("READ farm").await.unwrap();
        expect_that!(read.rows, elements_are![eq(&format!("{round} []"))]);
    }
    let mut panel = world.client(1, BOUNDED, "b").await;
    let replica_reads = || -> u64 {
        let replicas = world.members[1..].iter();
        replicas
            .map(|(_, _, handle)| handle.reads.load(Ordering::SeqCst))
            .sum()
    };
    let before = replica_reads();
    while replica_reads() == before {
        panel.run("READ farm").await.unwrap();
    }
}

#[gtest]
#[tokio::test]
async fn transactions_are_isolated_and_roll_back_completely() {
    let world = World::start(1).await;
    let mut first = world.client(0, STRICT, "a").await;
    let mut second = world.client(0, STRICT, "b").await;
    for text in ["BEGIN", "WRITE farm mine"] {
        expect_that!(first.run(text).await.unwrap().state, eq("T"));
    }
    let concurrent = second.run("READ farm").await.unwrap();
    expect_that!(concurrent.rows, elements_are![eq("none []")]);
    expect_that!(
        first.run("READ farm").await.unwrap().rows,
        elements_are![eq("mine []")]
    );
    expect_that!(first.run("ROLLBACK").await.unwrap().state, eq("I"));
    expect_that!(
        second.run("READ farm").await.unwrap().rows,
        elements_are![eq("none []")]
    );
    for text in ["BEGIN", "WRITE farm kept"] {
        first.run(text).await.unwrap();
    }
    let done = first.run("COMMIT").await.unwrap();
    world.expect_answer_from("i-0", Kind::Commit, &first, &done);
    expect_that!(
        second.run("READ farm").await.unwrap().rows,
        elements_are![eq("kept []")]
    );
}

#[gtest]
#[tokio::test]
async fn an_empty_transaction_is_committed_by_a_member() {
    let world = World::start(1).await;
    let mut client = world.client(0, STRICT, "a").await;
    client.run("BEGIN").await.unwrap();
    let done = client.run("COMMIT").await.unwrap();
    world.expect_answer_from("i-0", Kind::Commit, &client, &done);
    expect_that!(done.state, eq("I"));
}

#[gtest]
#[tokio::test]
async fn session_values_and_prepared_statements_of_callers_never_mix() {
    let world = World::start(1).await;
    let mut first = world.client(0, STRICT, "a").await;
    let mut second = world.client(0, STRICT, "b").await;
    first.run("SET lang es").await.unwrap();
    second.run("SET zone casa").await.unwrap();
    first.run("PREPARE s1 WRITE q1").await.unwrap();
    second.run("PREPARE s1 READ q2").await.unwrap();
    for round in 0..5 {
        let wrote = first
            .run(&format!("EXECUTE s1 farm {round}"))
            .await
            .unwrap();
        world.expect_answer_from("i-0", Kind::Write, &first, &wrote);
        let read = second.run("EXECUTE s1 farm").await.unwrap();
        expect_that!(
            read.rows,
            elements_are![eq(&format!("q1:{round} [zone=casa]"))]
        );
        let read = first.run("READ farm").await.unwrap();
        expect_that!(
            read.rows,
            elements_are![eq(&format!("q1:{round} [lang=es]"))]
        );
    }
    second.run("CLOSE s1").await.unwrap();
    let closed = second.run("EXECUTE s1 farm").await.unwrap();
    expect_that!(closed.error, some(eq("NOSTMT")));
    let mut third = world.client(0, STRICT, "c").await;
    let read = third.run("READ farm").await.unwrap();
    expect_that!(read.rows, elements_are![eq("q1:4 []")]);
}

#[gtest]
#[tokio::test]
async fn a_transaction_that_exceeds_its_idle_timeout_is_aborted() {
    let world = World::start(1).await;
    let mut client = world.client(0, STRICT, "a").await;
    for text in ["BEGIN", "WRITE farm lost"] {
        client.run(text).await.unwrap();
    }
    // The box rolls back the member's connection when the idle timeout expires.
    let member = world.member("i-0");
    let rolled_back = || {
        let sent = member.sent();
        let write = sent.iter().position(|answer| answer.id == "a-2");
        let write = write.expect("the write was answered");
        sent[write..].iter().any(|answer| {
            answer.kind == Kind::Rollback && answer.connection == sent[write].connection
        })
    };
    while !rolled_back() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let late = client.run("WRITE farm more").await.unwrap();
    expect_that!(late.error, some(eq("ABORTED")));
    expect_that!(late.state, eq("E"));
    let other = client.run("READ farm").await.unwrap();
    expect_that!(other.error, some(eq("MALFORMED")));
    expect_that!(
        client.run("COMMIT").await.unwrap().error,
        some(eq("ABORTED"))
    );
    expect_that!(
        client.run("READ farm").await.unwrap().rows,
        elements_are![eq("none []")]
    );
}

#[gtest]
#[tokio::test]
async fn a_write_with_a_lost_answer_is_unknown_and_a_read_is_retried() {
    let world = World::start(1).await;
    let mut client = world.client(0, STRICT, "a").await;
    client.run("WRITE farm before").await.unwrap();
    let primary = world.member("i-0");
    primary.lose_answers.store(1, Ordering::SeqCst);
    let write = client.run("WRITE farm after").await.unwrap();
    expect_that!(write.error, some(eq("UNKNOWN")));
    expect_that!(write.state, eq("I"));
    let mut panel = world.client(0, BOUNDED, "b").await;
    for (_, _, handle) in &world.members {
        handle.truncate_rows.store(1, Ordering::SeqCst);
    }
    let read = panel.run("READ farm").await.unwrap();
    expect_that!(read.error, none());
}

#[gtest]
#[tokio::test]
async fn a_changed_manifest_takes_effect_and_a_removed_database_is_refused() {
    let world = World::start(1).await;
    let mut client = world.client(0, STRICT, "a").await;
    let mut next = manifest(9, 3_000);
    let routes = next["routes"].as_array_mut().expect("routes");
    routes.retain(|route| route["hostname"] != STRICT);
    routes[0]["hostname"] = "renamed".into();
    world.store.put("op", "config", &next);
    loop {
        let answer = client.run("READ farm").await.unwrap();
        if answer.error.is_some() {
            expect_that!(answer.error, some(eq("NODB")));
            break;
        }
    }
    let front = world.boxes[0].settings.front;
    expect_that!(
        Client::connect(front, "renamed", "b").await.is_ok(),
        eq(true)
    );
}

#[gtest]
#[tokio::test]
async fn members_never_get_more_connections_than_their_limit() {
    let world = World::start(3).await;
    let mut tasks = Vec::new();
    for i in 0..30 {
        let mut client = world.client(i % 3, OWN_WRITES, "many").await;
        tasks.push(tokio::spawn(async move {
            let mut served = 0;
            for round in 0..10 {
                let answer = client.run(&format!("WRITE farm {round}")).await;
                served += usize::from(answer.is_ok_and(|answer| answer.error.is_none()));
            }
            served
        }));
    }
    let mut served = 0;
    for task in tasks {
        served += task.await.expect("no panic");
    }
    expect_that!(served, gt(0));
    for (_, _, handle) in &world.members {
        expect_that!(handle.peak_connections.load(Ordering::SeqCst), le(12));
    }
}
