//! Line feeds and carriage returns are data unless they stand together: statements reach members,
//! and rows reach callers, byte for byte.

use std::sync::atomic::Ordering;

use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::client::{Answer, Client};
use super::replies::Kind;
use super::world::{STRICT, World};

/// Sessions of the property, each with random fields of its own.
const SESSIONS: u64 = 6;
/// Rounds of statements in a session.
const ROUNDS: u64 = 5;
/// What random fields consist of.
const PARTS: [&str; 12] = [
    "a", "farm", "\n", "\r", "\r\r", " ", "  ", "\t", "ñ", "日本", "🦀", "\u{2028}",
];

/// Returns a field without the end of a line in it.
fn random_field(rng: &mut SmallRng) -> String {
    let length = rng.random_range(0..7);
    let parts = (0..length).map(|_| *PARTS.choose(rng).expect("parts"));
    without_line_ends(parts.collect())
}

/// Returns a field that may stand before others.
fn random_word(rng: &mut SmallRng) -> String {
    without_line_ends(format!("k{}", random_field(rng).replace(' ', "")))
}

fn without_line_ends(field: String) -> String {
    match field.contains("\r\n") {
        true => without_line_ends(field.replace("\r\n", "\n")),
        false => field,
    }
}

/// Returns the text of a statement as the caller sent it, without the position that a box may put
/// before it, and without the name in an EXECUTE, which a box may replace.
pub fn comparable(text: &str) -> String {
    let text = match text.strip_prefix("AFTER ") {
        Some(rest) => rest.split_once(' ').map_or("", |(_, text)| text),
        None => text,
    };
    let Some(rest) = text.strip_prefix("EXECUTE ") else {
        return text.to_owned();
    };
    let name = rest.find(' ').unwrap_or(rest.len());
    format!("EXECUTE{}", &rest[name..])
}

/// Checks that members ran the caller's last statement as it was sent, and that the caller got what
/// they sent.
fn expect_unchanged(
    world: &World,
    client: &Client,
    text: &str,
    answer: &std::result::Result<Answer, String>,
) {
    let id = client.last_id();
    let statements = world.member("i-0").caller_statements.lock();
    let statements = statements.expect("no panic under the lock");
    let ran = statements.iter().filter(|statement| statement.id == id);
    let ran: Vec<String> = ran.map(|statement| comparable(&statement.text)).collect();
    expect_that!(ran, eq(&[comparable(text)]), "{text:?}");
    let Ok(answer) = answer else {
        add_failure!("{text:?} got {answer:?}");
        return;
    };
    let kind = match text.starts_with("READ") || text.starts_with("EXECUTE r") {
        true => Kind::Read,
        false => Kind::Write,
    };
    world.expect_answer_from("i-0", kind, client, answer);
}

async fn run_unchanged(world: &World, client: &mut Client, text: &str) {
    let answer = client.run(text).await;
    expect_unchanged(world, client, text, &answer);
}

/// Puts a value into the primary's log, as if it had always been there.
fn put_value(world: &World, key: &str, value: &str) {
    let mut members = world.group.members();
    let primary = members.get_mut("i-0").expect("a member");
    primary.append(key, value, "earlier");
}

#[gtest]
#[tokio::test]
async fn a_statement_with_a_line_feed_reaches_the_member_whole() {
    let world = World::start(1).await;
    for text in [
        "WRITE farm two\nlines",
        "WRITE farm \n",
        "WRITE fa\nrm value",
        "READ fa\nrm",
        "WRITE farm x\nQUERY smuggled WRITE farm mine",
    ] {
        let mut client = world.client(0, STRICT, "a").await;
        run_unchanged(&world, &mut client, text).await;
        world.member("i-0").forget_records();
    }
}

#[gtest]
#[tokio::test]
async fn a_statement_with_a_carriage_return_reaches_the_member_whole() {
    let world = World::start(1).await;
    let mut client = world.client(0, STRICT, "a").await;
    for text in [
        "WRITE farm a\rb",
        "WRITE farm \r",
        "WRITE farm a\r\r",
        "WRITE fa\rrm a",
        "READ farm\r",
    ] {
        run_unchanged(&world, &mut client, text).await;
    }
}

#[gtest]
#[tokio::test]
async fn a_prepared_statement_with_a_line_feed_reaches_the_member_whole() {
    let world = World::start(1).await;
    for text in [
        "EXECUTE w farm one\ntwo",
        "EXECUTE w farm \n",
        "EXECUTE r fa\nrm",
    ] {
        let mut client = world.client(0, STRICT, "a").await;
        client.run("PREPARE w WRITE q").await.unwrap();
        client.run("PREPARE r READ q").await.unwrap();
        run_unchanged(&world, &mut client, text).await;
        world.member("i-0").forget_records();
    }
}

#[gtest]
#[tokio::test]
async fn an_execute_keeps_its_blanks_and_gets_none_added() {
    let world = World::start(1).await;
    let mut client = world.client(0, STRICT, "a").await;
    client.run("PREPARE w WRITE q").await.unwrap();
    client.run("PREPARE r READ q").await.unwrap();
    for text in [
        "EXECUTE r farm",
        "EXECUTE w farm",
        "EXECUTE w farm ",
        "EXECUTE w farm  two  blanks ",
        "EXECUTE w  farm",
        "EXECUTE r ",
        "EXECUTE r",
        "EXECUTE w",
    ] {
        run_unchanged(&world, &mut client, text).await;
    }
}

#[gtest]
#[tokio::test]
async fn blanks_of_a_statement_reach_the_member_whole() {
    let world = World::start(1).await;
    let mut client = world.client(0, STRICT, "a").await;
    for text in [
        "WRITE farm",
        "WRITE farm ",
        "WRITE farm  a  b  ",
        "READ farm ",
        "READ farm  x",
    ] {
        run_unchanged(&world, &mut client, text).await;
    }
}

#[gtest]
#[tokio::test]
async fn rows_with_a_line_feed_or_carriage_return_reach_the_caller_whole() {
    let world = World::start(1).await;
    let mut client = world.client(0, STRICT, "a").await;
    for value in [
        "a\nb",
        "\n",
        "a\rb",
        "a\r\rb",
        "\nREADY I -\n",
        "\nCOMPLETE x",
    ] {
        put_value(&world, "farm", value);
        let answer = client.run("READ farm").await;
        expect_unchanged(&world, &client, "READ farm", &answer);
        let rows = answer.map(|answer| answer.rows);
        expect_that!(rows, ok(elements_are![eq(&format!("{value} []"))]));
    }
    let rows = ["", " ", "\n", "\r", "a\r", "a\n", "COMPLETE", "ñ\n日本"];
    let extra_rows = rows.map(str::to_owned).to_vec();
    *world.member("i-0").extra_rows.lock().expect("no panic") = extra_rows;
    run_unchanged(&world, &mut client, "READ farm").await;
}

#[gtest]
#[tokio::test]
async fn values_and_shapes_with_a_line_feed_reach_the_member_whole() {
    let world = World::start(1).await;
    let mut client = world.client(0, STRICT, "a").await;
    for text in ["SET lang a\nb\r", "PREPARE w WRITE q\n1"] {
        let answer = client.run(text).await;
        expect_that!(answer.map(|answer| answer.error), ok(none()), "{text:?}");
    }
    run_unchanged(&world, &mut client, "EXECUTE w farm x").await;
    let read = client.run("READ farm").await;
    let rows = read.map(|answer| answer.rows);
    expect_that!(rows, ok(elements_are![eq("q\n1:x [lang=a\nb\r]")]));
}

/// Statements with random fields, sent and answered in random pieces.
#[gtest]
#[tokio::test]
async fn random_fields_and_rows_pass_unchanged_however_the_bytes_are_split() {
    let world = World::start(1).await;
    let primary = world.member("i-0");
    primary.split_answers.store(true, Ordering::SeqCst);
    for seed in 0..SESSIONS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut client = world.client(0, STRICT, "a").await;
        client.split_writes(seed);
        for round in 0..ROUNDS {
            let (key, value) = (random_word(&mut rng), random_field(&mut rng));
            let rows = (0..rng.random_range(0..4)).map(|_| random_field(&mut rng));
            *primary.extra_rows.lock().expect("no panic") = rows.collect();
            let setup = [
                format!("SET lang {}", random_field(&mut rng)),
                format!("PREPARE w WRITE {}", random_field(&mut rng)),
                format!("PREPARE r READ {}", random_field(&mut rng)),
            ];
            for text in &setup {
                let answer = client.run(text).await;
                let error = answer.map(|answer| answer.error);
                expect_that!(error, ok(none()), "session {seed}, round {round}: {text:?}");
            }
            for text in [
                format!("WRITE {key} {value}"),
                format!("READ {key}"),
                format!("EXECUTE w {key} {value}"),
                format!("EXECUTE r {key}"),
            ] {
                run_unchanged(&world, &mut client, &text).await;
            }
        }
        primary.forget_records();
    }
}
