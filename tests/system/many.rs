//! Systems of several boxes: forwarding, platform outages, concurrent changes, draining
//! members and restarts.

use std::collections::BTreeSet;

use googletest::prelude::*;
use larkfall::http::HttpError;
use larkfall::standin::faults::Faults;
use larkfall::trial::client::Client;
use larkfall::trial::cluster::{Cluster, Shape, operator_token, wait_until};
use serde_json::{Value, json};

use super::support::{expect_clean, processes, start_load, wait_for_acks, with_cluster};

fn nine_boxes() -> Shape {
    Shape {
        boxes: 9,
        groups: vec![
            "market".to_owned(),
            "panel".to_owned(),
            "cards/decks".to_owned(),
        ],
        ..Shape::default()
    }
}

/// Returns the resource that declares a kind of read.
fn read_kind(name: &str, max_age_ms: u64) -> Value {
    let spec =
        json!({ "partner": "huerto", "group": "market", "name": name, "max_age_ms": max_age_ms });
    json!({ "kind": "read", "spec": spec })
}

async fn apply(cluster: &Cluster, i: usize, resources: &[Value]) -> Result<Value, HttpError> {
    cluster.apply(i, &operator_token("huerto"), resources).await
}

type Result<T, E> = std::result::Result<T, E>;

#[gtest]
fn every_box_serves_clients_and_a_failover_loses_no_write() {
    with_cluster(nine_boxes(), async |cluster| {
        let market = start_load(cluster, "market").await;
        let decks = start_load(cluster, "cards/decks").await;
        wait_for_acks(&market, 30).await;
        cluster.members[0][0].handle.kill();
        wait_for_acks(&market, 30).await;
        wait_for_acks(&decks, 30).await;
        expect_that!(cluster.counter("larkfall_forwarded_total").await, gt(0.0));
        expect_clean(market).await;
        expect_clean(decks).await;
    });
}

#[gtest]
fn statements_and_failover_continue_during_a_platform_outage() {
    with_cluster(nine_boxes(), async |cluster| {
        let workload = start_load(cluster, "market").await;
        let refuse = Faults {
            refuse: true,
            ..Faults::default()
        };
        cluster
            .set_platform_faults(&refuse)
            .await
            .expect("the faults are set");
        wait_for_acks(&workload, 20).await;
        cluster.members[0][0].handle.kill();
        wait_for_acks(&workload, 30).await;
        let refused = apply(cluster, 0, &[read_kind("late", 7)]).await;
        expect_that!(refused.is_err(), eq(true));
        cluster
            .set_platform_faults(&Faults::default())
            .await
            .expect("the faults are set");
        wait_until("changes are accepted again", async || {
            apply(cluster, 1, &[read_kind("late", 7)]).await.is_ok()
        })
        .await
        .expect("changes are accepted again");
        expect_clean(workload).await;
    });
}

/// Guards against changes that are refused as conflicting, or never take effect, after the
/// table was restored from an older copy.
#[gtest]
fn a_change_takes_effect_on_every_box_after_an_older_table_was_restored() {
    with_cluster(nine_boxes(), async |cluster| {
        let older_copy = cluster.platform_head().await.expect("answers");
        for age in 1..8 {
            let changes = [
                read_kind("kept", age),
                read_kind(&format!("lost-{age}"), age),
            ];
            wait_until("a change is accepted", async || {
                apply(cluster, 0, &changes).await.is_ok()
            })
            .await
            .expect("a change is accepted");
        }
        let token = operator_token("huerto");
        let is_in_force = async |i: usize, age: u64| {
            let found = cluster.resource(i, &token, "read/huerto/market.kept").await;
            found.is_some_and(|found| found["spec"]["max_age_ms"] == json!(age))
        };
        for i in 0..9 {
            wait_until("the change is in force", async || is_in_force(i, 7).await)
                .await
                .expect("the change is in force");
        }
        cluster
            .restore_platform(older_copy)
            .await
            .expect("restores");
        wait_until("a change is accepted again", async || {
            apply(cluster, 1, &[read_kind("kept", 70)]).await.is_ok()
        })
        .await
        .expect("a change is accepted again");
        for i in 0..9 {
            wait_until("the change is in force", async || is_in_force(i, 70).await)
                .await
                .expect("the change is in force");
        }
    });
}

#[gtest]
fn a_box_that_starts_during_a_table_outage_is_configured_by_a_peer() {
    with_cluster(
        Shape {
            boxes: 3,
            ..Shape::default()
        },
        async |cluster| {
            let refuse = Faults {
                refuse: true,
                ..Faults::default()
            };
            cluster
                .set_platform_faults(&refuse)
                .await
                .expect("the faults are set");
            cluster.boxes[2].handle.kill();
            let restarted = cluster.start_box(&processes(), 2);
            cluster.boxes[2] = restarted;
            wait_until("the box serves", async || {
                let client = cluster.connect(2, "market", None).await;
                match client {
                    Ok(mut client) => client.query("SELECT 1").await.is_ok(),
                    Err(_) => false,
                }
            })
            .await
            .expect("the box serves");
        },
    );
}

#[gtest]
fn of_two_concurrent_changes_one_succeeds_and_the_other_conflicts() {
    with_cluster(
        Shape {
            boxes: 3,
            ..Shape::default()
        },
        async |cluster| {
            let first = apply(cluster, 0, &[read_kind("panel", 1)])
                .await
                .expect("is accepted");
            let revision = first["revision"].as_u64().expect("has a revision");
            cluster.wait_for_revision(revision).await.expect("in force");
            for round in 0..10 {
                let (a, b) = (
                    [read_kind("panel", 100 + round)],
                    [read_kind("panel", 200 + round)],
                );
                let (first, second) = tokio::join!(apply(cluster, 0, &a), apply(cluster, 1, &b));
                for rejected in [&first, &second]
                    .into_iter()
                    .filter_map(|r| r.as_ref().err())
                {
                    let HttpError::Status { code, body } = rejected else {
                        panic!("no answer: {rejected}");
                    };
                    let body: Value = serde_json::from_str(body).expect("a problem is JSON");
                    expect_that!(*code, eq(409));
                    expect_that!(
                        body["expected"].as_u64(),
                        some(lt(body["found"].as_u64().unwrap_or(0)))
                    );
                }
                expect_that!(first.is_ok() || second.is_ok(), eq(true));
                let revisions = [first, second]
                    .into_iter()
                    .filter_map(|r| r.ok()?["revision"].as_u64());
                cluster
                    .wait_for_revision(revisions.max().expect("one was accepted"))
                    .await
                    .expect("in force");
            }
        },
    );
}

#[gtest]
fn an_operator_can_only_change_its_own_partners_resources() {
    with_cluster(
        Shape {
            boxes: 1,
            ..nine_boxes()
        },
        async |cluster| {
            let other_partner = cluster
                .apply(0, &operator_token("cards"), &[read_kind("panel", 1)])
                .await;
            expect_that!(
                matches!(other_partner, Err(HttpError::Status { code: 403, .. })),
                eq(true)
            );
            let unknown_token = cluster.apply(0, "guess", &[read_kind("panel", 1)]).await;
            expect_that!(
                matches!(unknown_token, Err(HttpError::Status { code: 401, .. })),
                eq(true)
            );
            let weight = json!({ "kind": "partner", "spec": { "name": "huerto", "weight": 9, "operator": "0".repeat(64) } });
            let raised_weight = apply(cluster, 0, &[weight]).await;
            expect_that!(
                matches!(raised_weight, Err(HttpError::Status { code: 403, .. })),
                eq(true)
            );
        },
    );
}

#[gtest]
fn a_change_takes_effect_on_every_box_although_the_platforms_answers_are_lost() {
    with_cluster(nine_boxes(), async |cluster| {
        let drop_answers = Faults {
            drop_answers: true,
            ..Faults::default()
        };
        cluster
            .set_platform_faults(&drop_answers)
            .await
            .expect("the faults are set");
        let change = [read_kind("panel", 77)];
        let applied = apply(cluster, 0, &change);
        let end_faults = async {
            tokio::time::sleep(std::time::Duration::from_millis(300)).await;
            cluster
                .set_platform_faults(&Faults::default())
                .await
                .expect("the faults are set");
        };
        let (applied, ()) = tokio::join!(applied, end_faults);
        let revision = applied.expect("is accepted")["revision"]
            .as_u64()
            .expect("has a revision");
        cluster.wait_for_revision(revision).await.expect("in force");
        let repeated = apply(cluster, 3, &change).await.expect("is accepted");
        expect_that!(repeated["plan"][0]["action"].as_str(), some(eq("keep")));
    });
}

#[gtest]
fn a_draining_primary_hands_over_and_then_gets_no_statement() {
    with_cluster(
        Shape {
            boxes: 3,
            ..Shape::default()
        },
        async |cluster| {
            let workload = start_load(cluster, "market").await;
            wait_for_acks(&workload, 20).await;
            let mut declared = cluster.declarations("huerto");
            for resource in &mut declared {
                if resource["kind"] == "member" && resource["spec"]["name"] == "m0" {
                    resource["spec"]["leaving"] = json!(true);
                }
            }
            apply(cluster, 0, &declared).await.expect("is accepted");
            wait_until("another member is primary", async || {
                cluster.primary(0).await.is_some_and(|primary| primary != 0)
            })
            .await
            .expect("another member is primary");
            wait_for_acks(&workload, 20).await;
            wait_until("the leaving member is idle", async || {
                let mut running = 0;
                for i in 0..3 {
                    let dump = cluster.dump(i).await.unwrap_or_default();
                    running += dump["groups"][0]["members"][0]["running"]
                        .as_u64()
                        .unwrap_or(1);
                }
                running == 0
            })
            .await
            .expect("the leaving member is idle");
            let unknown = cluster.counter("larkfall_unknown_total").await;
            expect_that!(unknown, eq(0.0));
            expect_clean(workload).await;
        },
    );
}

#[gtest]
fn a_rolling_restart_of_all_boxes_loses_and_repeats_no_write() {
    with_cluster(
        Shape {
            boxes: 4,
            ..Shape::default()
        },
        async |cluster| {
            let workload = start_load(cluster, "market").await;
            for i in 0..4 {
                wait_for_acks(&workload, 20).await;
                cluster.boxes[i].handle.stop();
                let restarted = cluster.start_box(&processes(), i as u8);
                cluster.boxes[i] = restarted;
                wait_until("the box serves again", async || {
                    cluster.connect(i, "market", None).await.is_ok()
                })
                .await
                .expect("the box serves again");
            }
            wait_for_acks(&workload, 20).await;
            expect_clean(workload).await;
        },
    );
}

#[gtest]
fn ten_requests_with_one_key_run_once_while_the_primary_dies() {
    with_cluster(
        Shape {
            boxes: 3,
            ..Shape::default()
        },
        async |cluster| {
            let mut client = cluster.connect(0, "market", None).await.expect("connects");
            client
                .query("CREATE TABLE sale (id text PRIMARY KEY, key text)")
                .await
                .expect("creates");
            let send = |i: usize| {
                let address = cluster.sql_address(i % 3);
                async move {
                    let sql = format!(
                        "/* larkfall: once=sale-1 */ INSERT INTO sale VALUES ('{i}', 'sale-1')"
                    );
                    let mut client = Client::connect(address, "huerto", "market", None)
                        .await
                        .ok()?;
                    client.query(&sql).await.ok().map(|answer| answer.tag)
                }
            };
            let requests = futures::future::join_all((0..10).map(send));
            let (primary, members) = (0, &mut cluster.members);
            let kill = async {
                tokio::task::yield_now().await;
                members[0][primary].handle.kill();
            };
            let (tags, ()) = tokio::join!(requests, kill);
            let answers: BTreeSet<String> = tags.into_iter().flatten().collect();
            expect_that!(answers, each(eq("INSERT 0 1")));
            let repeated =
                client.query("/* larkfall: once=sale-1 */ INSERT INTO sale VALUES ('x', 'sale-1')");
            expect_that!(repeated.await.expect("is answered").tag, eq("INSERT 0 1"));
            let count = client
                .query("SELECT count(*) FROM sale")
                .await
                .expect("reads");
            expect_that!(count.number(), some(eq(1)));
        },
    );
}

#[gtest]
fn changing_the_number_of_owners_loses_no_write_and_leaks_no_connection() {
    with_cluster(
        Shape {
            boxes: 4,
            ..Shape::default()
        },
        async |cluster| {
            let workload = start_load(cluster, "market").await;
            for owners in [1, 3, 1, 4, 2, 3, 1] {
                let mut declared = cluster.declarations("huerto");
                declared[0]["spec"]["owners"] = json!(owners);
                let applied = apply(cluster, 0, &declared).await.expect("is accepted");
                let revision = applied["revision"].as_u64().expect("has a revision");
                cluster.wait_for_revision(revision).await.expect("in force");
                wait_for_acks(&workload, 15).await;
            }
            expect_clean(workload).await;
            let mut owners = 0;
            for i in 0..4 {
                let dump = cluster.dump(i).await.expect("every box is alive");
                owners += dump["groups"].as_array().map_or(0, Vec::len);
            }
            expect_that!(owners, eq(1));
            wait_until(
                "boxes without a group have closed their connections",
                async || {
                    let mut idle = 0;
                    for i in 0..4 {
                        let dump = cluster.dump(i).await.unwrap_or_default();
                        let owns = dump["groups"]
                            .as_array()
                            .is_some_and(|groups| !groups.is_empty());
                        let count = dump["idle_connections"].as_u64().unwrap_or(1);
                        idle += if owns { 0 } else { count };
                    }
                    idle == 0
                },
            )
            .await
            .expect("boxes without a group have closed their connections");
        },
    );
}
