//! Members that repeat answers, late or in part, and messages that end elsewhere than their length
//! says: a caller gets its own answer or an error, never another caller's answer.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use larkfall::standin::faults::{Faults, Repeat};
use larkfall::trial::client::{Answer, ClientError};
use larkfall::trial::cluster::{Cluster, Shape, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_postgres::NoTls;

use super::support::with_cluster;

/// Time without input after which an answer counts as ended.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
const PARTS: [Repeat; 3] = [Repeat::Whole, Repeat::Complete, Repeat::Ready];

async fn set_faults(cluster: &Cluster, faults: &Faults) {
    for member in 0..cluster.members[0].len() {
        let set = cluster.set_faults(0, member, faults).await;
        set.expect("the faults are set");
    }
}

fn repeating(part: Repeat) -> Faults {
    Faults {
        repeat: Some(part),
        ..Faults::default()
    }
}

/// Whether the box told the caller that it has no answer of the member.
fn has_no_answer(error: &ClientError) -> bool {
    ["LF001", "08006", "40001", "40003", "25P02"].contains(&error.code())
}

/// Expects the number, or an error by which the box reports that it has no answer.
fn expect_own_number(answer: std::result::Result<Answer, ClientError>, number: i64, what: &str) {
    match answer {
        Ok(answer) => expect_that!(answer.number(), some(eq(number)), "{what}"),
        Err(error) => expect_that!(has_no_answer(&error), eq(true), "{what}: {error}"),
    }
}

async fn connect_standard(cluster: &Cluster) -> tokio_postgres::Client {
    let address = cluster.sql_address(0);
    let (host, port) = (address.ip(), address.port());
    let config = format!("host={host} port={port} user=huerto dbname=market");
    let connected = tokio_postgres::connect(&config, NoTls).await;
    let (client, connection) = connected.expect("connects");
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    client
}

/// Guards against a repeated answer that is taken for the answer to the next simple query.
#[gtest]
fn a_repeated_answer_is_not_the_answer_to_the_next_query() {
    with_cluster(Shape::default(), async |cluster| {
        for part in PARTS {
            set_faults(cluster, &repeating(part)).await;
            for number in 100..120 {
                let mut client = cluster.connect(0, "market", None).await.expect("connects");
                let answer = client.query(&format!("SELECT {number}")).await;
                expect_own_number(answer, number, &format!("{part:?}"));
            }
        }
        set_faults(cluster, &Faults::default()).await;
        wait_until("queries are answered", async || {
            let client = cluster.connect(0, "market", None).await;
            let answer = client.expect("connects").query("SELECT 7").await;
            answer.is_ok_and(|answer| answer.number() == Some(7))
        })
        .await
        .expect("queries are answered");
    });
}

/// Guards against the same with prepared statements, whose answers all have the same messages.
#[gtest]
fn a_repeated_answer_is_not_the_answer_to_the_next_prepared_statement() {
    with_cluster(Shape::default(), async |cluster| {
        for part in PARTS {
            set_faults(cluster, &Faults::default()).await;
            let client = connect_standard(cluster).await;
            let prepared = client.prepare("SELECT $1::bigint").await;
            let select = prepared.expect("prepares");
            for _ in 0..20 {
                client.query_one(&select, &[&99i64]).await.expect("reads");
            }
            set_faults(cluster, &repeating(part)).await;
            for number in 100..120i64 {
                if let Ok(row) = client.query_one(&select, &[&number]).await {
                    expect_that!(row.get::<_, i64>(0), eq(number), "{part:?}");
                }
            }
        }
    });
}

/// Guards against a write that is reported as done with the answer to an earlier one.
#[gtest]
fn a_repeated_answer_acknowledges_no_write() {
    with_cluster(Shape::default(), async |cluster| {
        let mut client = cluster.connect(0, "market", None).await.expect("connects");
        let create = "CREATE TABLE coin (id bigint PRIMARY KEY)";
        client.query(create).await.expect("creates");
        client
            .query("INSERT INTO coin VALUES (0)")
            .await
            .expect("writes");
        for part in PARTS {
            set_faults(cluster, &repeating(part)).await;
            for _ in 0..10 {
                let mut client = cluster.connect(0, "market", None).await.expect("connects");
                let answer = client.query("INSERT INTO coin VALUES (0)").await;
                let code = answer.as_ref().map_or_else(ClientError::code, |_| "done");
                let refused = ["23505", "40003", "LF001"].contains(&code);
                expect_that!(refused, eq(true), "{part:?}: {code}");
                let _ = client.query("SELECT 1").await;
            }
        }
    });
}

/// Guards against answers that move on by one inside a transaction, where the connection is
/// never checked between statements.
#[gtest]
fn a_repeated_answer_inside_a_transaction_ends_the_transaction() {
    with_cluster(Shape::default(), async |cluster| {
        for part in PARTS {
            set_faults(cluster, &Faults::default()).await;
            let mut client = cluster.connect(0, "market", None).await.expect("connects");
            client.query("BEGIN").await.expect("begins");
            client.query("SELECT 99").await.expect("reads");
            set_faults(cluster, &repeating(part)).await;
            for number in 100..110 {
                let answer = client.query(&format!("SELECT {number}")).await;
                expect_own_number(answer, number, &format!("{part:?}"));
            }
            let end = client.query("COMMIT").await;
            let tag = end.map_or_else(|error| error.code().to_owned(), |answer| answer.tag);
            let not_committed = ["ROLLBACK", "40003", "40001"].contains(&tag.as_str());
            expect_that!(not_committed, eq(true), "{part:?}: {tag}");
        }
    });
}

/// Guards against a key's answer that belongs to a statement of the ledger itself.
#[gtest]
fn a_repeated_answer_completes_no_request_with_a_key() {
    with_cluster(Shape::default(), async |cluster| {
        let mut client = cluster.connect(0, "market", None).await.expect("connects");
        let create = "CREATE TABLE coin (id bigint PRIMARY KEY)";
        client.query(create).await.expect("creates");
        let first = "/* larkfall: once=first */ INSERT INTO coin VALUES (0)";
        client.query(first).await.expect("writes");
        for part in PARTS {
            set_faults(cluster, &repeating(part)).await;
            for number in 1..3 {
                let key = format!("{part:?}-{number}");
                let twice =
                    format!("/* larkfall: once={key} */ INSERT INTO coin VALUES (0) RETURNING id");
                let mut client = cluster.connect(0, "market", None).await.expect("connects");
                let answer = client.query(&twice).await;
                let code = answer.as_ref().map_or_else(ClientError::code, |_| "done");
                let refused = ["23505", "40003", "LF001"].contains(&code);
                expect_that!(refused, eq(true), "{key}: {code}");
            }
        }
    });
}

/// Guards against a connection that is used on after its answer came a second time.
#[gtest]
fn a_connection_that_repeats_an_answer_while_idle_is_given_up() {
    with_cluster(Shape::default(), async |cluster| {
        let faults = Faults {
            repeat_idle_ms: Some(15),
            ..Faults::default()
        };
        set_faults(cluster, &faults).await;
        for number in 100..140 {
            let mut client = cluster.connect(0, "market", None).await.expect("connects");
            let answer = client.query(&format!("SELECT {number}")).await;
            expect_own_number(answer, number, "idle");
            let pause = Duration::from_millis((number as u64 * 7) % 30);
            tokio::time::sleep(pause).await;
        }
    });
}

/// Guards against connections that are given up for messages which a server may always send, and
/// against notifications of other sessions in an answer.
#[gtest]
fn messages_that_a_server_may_always_send_disturb_no_statement() {
    let shape = Shape {
        connect_ms: 200,
        ..Shape::default()
    };
    with_cluster(shape, async |cluster| {
        let faults = Faults {
            unasked: true,
            ..Faults::default()
        };
        set_faults(cluster, &faults).await;
        let mut stream = open_raw_session(cluster).await;
        let start = Instant::now();
        for _ in 0..50 {
            let answer = exchange(&mut stream, &message(b'Q', b"SELECT 7\0")).await;
            let text = String::from_utf8_lossy(&answer).into_owned();
            expect_that!(text, contains_substring("SELECT 1"));
            expect_that!(kinds(&answer).contains(&b'A'), eq(false), "{text:?}");
        }
        // Opening a connection for each statement would take 10 s.
        expect_that!(start.elapsed(), lt(Duration::from_secs(5)));
        let mut client = cluster.connect(0, "market", None).await.expect("connects");
        for text in ["BEGIN", "SELECT 1", "COMMIT"] {
            client.query(text).await.expect("answers");
        }
    });
}

/// Guards against a cancel request that takes effect on the statement after the one it was for.
#[gtest]
fn a_late_cancel_request_does_not_cancel_the_next_statement() {
    with_cluster(Shape::default(), async |cluster| {
        let client = connect_standard(cluster).await;
        for number in 0..10i64 {
            client.query_one("SELECT 1", &[]).await.expect("answers");
            let cancel = client.cancel_token().cancel_query(NoTls).await;
            cancel.expect("the request is sent");
            let row = client.query_one("SELECT $1::bigint", &[&number]).await;
            expect_that!(row.expect("answers").get::<_, i64>(0), eq(number));
        }
    });
}

/// Opens a session and returns its socket, for sending raw bytes.
async fn open_raw_session(cluster: &Cluster) -> TcpStream {
    let stream = TcpStream::connect(cluster.sql_address(0)).await;
    let mut stream = stream.expect("connects");
    let parameters = b"user\0huerto\0database\0market\0\0";
    let mut startup = (parameters.len() as u32 + 8).to_be_bytes().to_vec();
    startup.extend_from_slice(&196_608u32.to_be_bytes());
    startup.extend_from_slice(parameters);
    exchange(&mut stream, &startup).await;
    stream
}

/// Sends bytes and returns what is received up to ReadyForQuery or the end of the connection.
async fn exchange(stream: &mut TcpStream, bytes: &[u8]) -> Vec<u8> {
    stream.write_all(bytes).await.expect("writes");
    let mut received = Vec::new();
    while !kinds(&received).contains(&b'Z') {
        let mut part = [0; 4096];
        let read = tokio::time::timeout(READ_TIMEOUT, stream.read(&mut part)).await;
        match read {
            Ok(Ok(count)) if count > 0 => received.extend_from_slice(&part[..count]),
            _ => break,
        }
    }
    received
}

/// Returns the kinds of the complete messages.
fn kinds(mut bytes: &[u8]) -> Vec<u8> {
    let mut kinds = Vec::new();
    while let [kind, a, b, c, d, ..] = *bytes {
        let length = 1 + u32::from_be_bytes([a, b, c, d]) as usize;
        let Some(rest) = bytes.get(length..) else {
            break;
        };
        kinds.push(kind);
        bytes = rest;
    }
    kinds
}

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Guards against statements that nobody sent: bytes after a NUL, or after a message's end, that are
/// taken for the next message, and text that is altered on its way.
#[gtest]
fn a_message_that_does_not_end_at_its_length_runs_nothing() {
    with_cluster(Shape::default(), async |cluster| {
        let mut client = cluster.connect(0, "market", None).await.expect("connects");
        let create = "CREATE TABLE coin (id text)";
        client.query(create).await.expect("creates");
        let hidden = message(b'Q', b"INSERT INTO coin VALUES ('hidden')\0");
        let mut bodies = vec![
            ("a statement after a NUL", b'Q', b"SELECT 1\0".to_vec()),
            ("a statement without an end", b'Q', b"SELECT 1".to_vec()),
            ("a Sync with a body", b'S', Vec::new()),
            ("a short Parse", b'P', b"\0".to_vec()),
            ("a short Bind", b'B', Vec::new()),
            ("a short Describe", b'D', Vec::new()),
            ("a short Execute", b'E', b"\0\0".to_vec()),
        ];
        for (_, _, body) in bodies.iter_mut().take(3) {
            body.extend_from_slice(&hidden);
        }
        let altered = b"INSERT INTO coin VALUES ('\xff')\0".to_vec();
        bodies.push(("text that is not UTF-8", b'Q', altered));
        let named = b"n\xff\0SELECT 1\0\0\0".to_vec();
        bodies.push(("a name that is not UTF-8", b'P', named));
        let mut inputs: Vec<_> = bodies
            .into_iter()
            .map(|(what, kind, body)| (what, message(kind, &body)))
            .collect();
        for length in 0..4u8 {
            let mut bytes = vec![b'Q', 0, 0, 0, length];
            bytes.extend_from_slice(&hidden);
            inputs.push(("a length under 4", bytes));
        }
        for (what, bytes) in inputs {
            let mut stream = open_raw_session(cluster).await;
            let answer = exchange(&mut stream, &bytes).await;
            let text = String::from_utf8_lossy(&answer).into_owned();
            expect_that!(text, contains_substring("08P01"), "{what}");
            expect_that!(kinds(&answer), eq(&vec![b'E']), "{what}");
        }
        let rows = client.query("SELECT id FROM coin").await.expect("reads");
        expect_that!(rows.rows, is_empty());
    });
}
