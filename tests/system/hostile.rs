//! Malformed input and faulty members: callers get errors, nothing is lost and boxes keep serving.

use googletest::prelude::*;
use larkfall::standin::faults::Faults;
use larkfall::trial::cluster::{Cluster, Shape, wait_until};
use larkfall::trial::journal::Verdict;
use larkfall::trial::workload::{Mix, Workload, create_tables};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::support::with_cluster;

/// Expects that the first box answers a query.
async fn expect_serving(cluster: &Cluster) {
    let mut client = cluster.connect(0, "market", None).await.expect("connects");
    let answer = client.query("SELECT 7").await.expect("answers");
    expect_that!(answer.number(), some(eq(7)));
}

/// Opens a session and returns its socket, for sending raw bytes.
async fn open_raw_session(cluster: &Cluster) -> TcpStream {
    let mut stream = TcpStream::connect(cluster.sql_address(0))
        .await
        .expect("connects");
    let mut startup = Vec::new();
    startup.extend_from_slice(&196_608u32.to_be_bytes());
    startup.extend_from_slice(b"user\0huerto\0database\0market\0\0");
    let length = startup.len() as u32 + 4;
    stream
        .write_all(&length.to_be_bytes())
        .await
        .expect("writes");
    stream.write_all(&startup).await.expect("writes");
    let mut received = Vec::new();
    while !received.ends_with(b"Z\0\0\0\x05I") {
        let mut bytes = [0; 256];
        let count = stream.read(&mut bytes).await.expect("reads");
        assert!(count > 0, "the box closed the connection during start-up");
        received.extend_from_slice(&bytes[..count]);
    }
    stream
}

#[gtest]
fn a_forged_token_does_not_affect_reads() {
    with_cluster(Shape::default(), async |cluster| {
        let mut client = cluster.connect(0, "market", None).await.expect("connects");
        client
            .query("CREATE TABLE seed (id bigint)")
            .await
            .expect("creates");
        client
            .query("INSERT INTO seed VALUES (1)")
            .await
            .expect("writes");
        for token in [
            "v1.99.1000000",
            "v1.1.18446744073709551615",
            "v1.0.0",
            "nonsense",
            "v9.1.1",
        ] {
            let mut session = cluster
                .connect(1, "market", Some(token))
                .await
                .expect("connects");
            let read = async || {
                let mut client = cluster.connect(1, "market", Some(token)).await.ok();
                let answer = client
                    .as_mut()?
                    .query("SELECT count(*) FROM seed")
                    .await
                    .ok();
                answer?.number()
            };
            // v1.0.0 is a valid position that every replica has reached, so a replica may answer
            // before it has the row.
            wait_until("the row is read", async || read().await == Some(1))
                .await
                .expect("the row is read");
            let answer = session.query("SELECT count(*) FROM seed").await;
            expect_that!(answer.expect("reads").number(), some(eq(1)), "{token}");
            let token = session.token.expect("a token is reported");
            expect_that!(token.starts_with("v1.1."), eq(true), "{token}");
        }
    });
}

#[gtest]
fn oversized_and_truncated_messages_only_end_their_own_connection() {
    with_cluster(Shape::default(), async |cluster| {
        let mut stream = open_raw_session(cluster).await;
        stream
            .write_all(b"Q\x7f\xff\xff\xff")
            .await
            .expect("writes");
        let mut answer = Vec::new();
        stream
            .read_to_end(&mut answer)
            .await
            .expect("the box closes the connection cleanly");
        let text = String::from_utf8_lossy(&answer).into_owned();
        expect_that!(
            text,
            all![contains_substring("FATAL"), contains_substring("08P01")]
        );
        let mut stream = open_raw_session(cluster).await;
        stream
            .write_all(b"Q\0\0\0\x20SELECT")
            .await
            .expect("writes");
        drop(stream);
        let mut stream = TcpStream::connect(cluster.sql_address(0))
            .await
            .expect("connects");
        stream.write_all(&[0xff; 64]).await.expect("writes");
        let _ = stream.read_to_end(&mut answer).await;
        expect_serving(cluster).await;
    });
}

#[gtest]
fn lost_and_late_answers_never_reach_another_request() {
    with_cluster(Shape::default(), async |cluster| {
        let mut client = cluster.connect(0, "market", None).await.expect("connects");
        create_tables(&mut client).await.expect("creates");
        let boxes = (0..2).map(|i| cluster.sql_address(i)).collect();
        let workload = Workload::start(boxes, "huerto", "market", &Mix::default());
        let reads_done = |workload: &Workload| workload.journal.borrow().reads;
        for round in 0..6 {
            let member = 1 + round % 2;
            let faults = match round % 3 {
                0 => Faults {
                    drop_answers: true,
                    ..Faults::default()
                },
                1 => Faults {
                    frozen: true,
                    ..Faults::default()
                },
                _ => Faults {
                    delay_ms: 20,
                    ..Faults::default()
                },
            };
            cluster
                .set_faults(0, member, &faults)
                .await
                .expect("the faults are set");
            let target = reads_done(&workload) + 100;
            wait_until("reads are answered", async || {
                reads_done(&workload) >= target
            })
            .await
            .expect("reads are answered");
            cluster
                .set_faults(0, member, &Faults::default())
                .await
                .expect("the faults are set");
        }
        let (verdict, _) = workload.finish().await.expect("the rows can be read");
        expect_that!(verdict, eq(Verdict::default()));
    });
}

/// Guards against reporting the write as not run: the caller would repeat it.
#[gtest]
fn a_write_whose_answer_is_lost_has_an_unknown_outcome() {
    with_cluster(Shape::default(), async |cluster| {
        let mut client = cluster.connect(0, "market", None).await.expect("connects");
        for text in [
            "CREATE TABLE coin (id bigint)",
            "INSERT INTO coin VALUES (1)",
        ] {
            client.query(text).await.expect("writes");
        }
        let drop_answers = Faults {
            drop_answers: true,
            ..Faults::default()
        };
        cluster
            .set_faults(0, 0, &drop_answers)
            .await
            .expect("the faults are set");
        let answer = client.query("INSERT INTO coin VALUES (2)").await;
        expect_that!(answer.expect_err("no answer").code(), eq("40003"));
        cluster
            .set_faults(0, 0, &Faults::default())
            .await
            .expect("the faults are set");
    });
}

#[gtest]
fn a_missing_key_and_a_key_inside_a_transaction_are_refused() {
    let rule = serde_json::json!({ "name": "sale", "table": "sale" });
    let shape = Shape {
        rules: vec![("once".to_owned(), rule)],
        ..Shape::default()
    };
    with_cluster(shape, async |cluster| {
        let mut client = cluster.connect(0, "market", None).await.expect("connects");
        client
            .query("CREATE TABLE other (id bigint)")
            .await
            .expect("creates");
        let error = client
            .query("INSERT INTO sale VALUES (1)")
            .await
            .expect_err("refused");
        expect_that!(error.code(), eq("LF002"));
        client.query("BEGIN").await.expect("begins");
        let keyed = "/* larkfall: once=a */ INSERT INTO other VALUES (1)";
        expect_that!(
            client.query(keyed).await.expect_err("refused").code(),
            eq("0A000")
        );
        expect_that!(
            client
                .query("SELECT 1")
                .await
                .expect_err("the transaction has failed")
                .code(),
            eq("25P02")
        );
        client.query("ROLLBACK").await.expect("ends");
        let count = client
            .query("SELECT count(*) FROM other")
            .await
            .expect("the session stays usable");
        expect_that!(count.number(), some(eq(0)));
    });
}
