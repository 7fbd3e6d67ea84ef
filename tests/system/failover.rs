//! Sessions that move between boxes, and the loss of a primary or a box.

use googletest::prelude::*;
use larkfall::trial::cluster::{Shape, wait_until};

use super::support::{expect_clean, start_load, wait_for_acks, with_cluster};

#[gtest]
fn a_session_reads_its_own_writes_through_another_box() {
    with_cluster(Shape::default(), async |cluster| {
        let mut first = cluster.connect(0, "market", None).await.expect("connects");
        first
            .query("CREATE TABLE seed (id bigint)")
            .await
            .expect("creates");
        for id in 0..20 {
            let insert = format!("INSERT INTO seed VALUES ({id})");
            first.query(&insert).await.expect("writes");
            let token = first.token.clone();
            let mut second = cluster
                .connect(1, "market", token.as_deref())
                .await
                .expect("connects with the token");
            let answer = second
                .query("SELECT count(*) FROM seed")
                .await
                .expect("reads");
            expect_that!(answer.number(), some(eq(id + 1)));
            let mut without_token = cluster
                .connect(1, "market", None)
                .await
                .expect("connects without a token");
            let answer = without_token
                .query("SELECT count(*) FROM seed")
                .await
                .expect("reads");
            expect_that!(answer.number(), some(eq(id + 1)));
        }
        expect_that!(
            cluster.counter("larkfall_reads_by_replica_total").await,
            gt(0.0)
        );
    });
}

#[gtest]
fn a_killed_primary_is_replaced_without_lost_or_repeated_writes() {
    with_cluster(Shape::default(), async |cluster| {
        let workload = start_load(cluster, "market").await;
        wait_for_acks(&workload, 50).await;
        cluster.members[0][0].handle.kill();
        wait_for_acks(&workload, 50).await;
        expect_clean(workload).await;
        expect_that!(cluster.primary(0).await, some(not(eq(0))));
    });
}

#[gtest]
fn a_frozen_primary_is_replaced_and_comes_back_as_a_replica() {
    with_cluster(Shape::default(), async |cluster| {
        let workload = start_load(cluster, "market").await;
        wait_for_acks(&workload, 50).await;
        cluster.members[0][0].handle.set_frozen(true);
        wait_for_acks(&workload, 50).await;
        cluster.members[0][0].handle.set_frozen(false);
        wait_for_acks(&workload, 50).await;
        expect_clean(workload).await;
        wait_until("the old primary is a replica", async || {
            let dump = cluster.dump(0).await.unwrap_or_default();
            dump["groups"][0]["members"][0]["role"] == "Replica"
        })
        .await
        .expect("the old primary is a replica");
    });
}

#[gtest]
fn an_open_transaction_is_rolled_back_when_its_box_dies() {
    with_cluster(Shape::default(), async |cluster| {
        let mut client = cluster.connect(1, "market", None).await.expect("connects");
        client
            .query("CREATE TABLE coin (id bigint)")
            .await
            .expect("creates");
        client.query("BEGIN").await.expect("begins");
        client
            .query("INSERT INTO coin VALUES (1)")
            .await
            .expect("writes");
        cluster.boxes[1].handle.kill();
        let mut reader = cluster.connect(0, "market", None).await.expect("connects");
        wait_until("the transaction's lock is free", async || {
            let mut probe = cluster.connect(0, "market", None).await.expect("connects");
            probe.query("INSERT INTO coin VALUES (2)").await.is_ok()
        })
        .await
        .expect("the lock is freed");
        let answer = reader.query("SELECT count(*) FROM coin WHERE id = 1").await;
        expect_that!(answer.expect("reads").number(), some(eq(0)));
    });
}
