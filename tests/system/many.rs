//! Nine boxes as one system: forwarding, outages, races, leaving, restarts.

use std::collections::BTreeSet;

use googletest::prelude::*;
use larkfall::http::HttpError;
use larkfall::standin::faults::Faults;
use larkfall::trial::client::Client;
use larkfall::trial::cluster::{Cluster, Shape, operator_token, wait_until};
use serde_json::{Value, json};

use super::support::{acknowledged, is_clean, processes, start_load, with_cluster};

fn nine() -> Shape {
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

fn kind(name: &str, max_age_ms: u64) -> Value {
    let spec =
        json!({ "partner": "huerto", "group": "market", "name": name, "max_age_ms": max_age_ms });
    json!({ "kind": "read", "spec": spec })
}

async fn apply(cluster: &Cluster, i: usize, resources: &[Value]) -> Result<Value, HttpError> {
    cluster.apply(i, &operator_token("huerto"), resources).await
}

type Result<T, E> = std::result::Result<T, E>;

#[gtest]
fn ordinary_clients_are_served_on_every_box_and_nothing_is_lost_in_a_failover() {
    with_cluster(nine(), async |cluster| {
        let market = start_load(cluster, "market").await;
        let decks = start_load(cluster, "cards/decks").await;
        acknowledged(&market, 30).await;
        cluster.members[0][0].handle.kill();
        acknowledged(&market, 30).await;
        acknowledged(&decks, 30).await;
        expect_that!(cluster.counter("larkfall_forwarded_total").await, gt(0.0));
        is_clean(market).await;
        is_clean(decks).await;
    });
}

#[gtest]
fn a_platform_outage_stops_no_statement_and_no_replacement() {
    with_cluster(nine(), async |cluster| {
        let workload = start_load(cluster, "market").await;
        let refuse = Faults {
            refuse: true,
            ..Faults::default()
        };
        cluster
            .set_platform_faults(&refuse)
            .await
            .expect("switches");
        acknowledged(&workload, 20).await;
        cluster.members[0][0].handle.kill();
        acknowledged(&workload, 30).await;
        let refused = apply(cluster, 0, &[kind("late", 7)]).await;
        expect_that!(refused.is_err(), eq(true));
        cluster
            .set_platform_faults(&Faults::default())
            .await
            .expect("switches");
        wait_until("changes are taken again", async || {
            apply(cluster, 1, &[kind("late", 7)]).await.is_ok()
        })
        .await
        .expect("changes are taken again");
        is_clean(workload).await;
    });
}

/// What operators would have seen: after the table came back as an older copy of itself their
/// changes are refused, since somebody else changed the resource, or come into force nowhere.
#[gtest]
fn a_change_after_an_older_copy_of_the_table_comes_into_force_on_every_box() {
    with_cluster(nine(), async |cluster| {
        let copy = cluster.platform_head().await.expect("answers");
        for age in 1..8 {
            let lost = [kind("kept", age), kind(&format!("lost-{age}"), age)];
            wait_until("a change is taken", async || {
                apply(cluster, 0, &lost).await.is_ok()
            })
            .await
            .expect("a change is taken");
        }
        let token = operator_token("huerto");
        let shown = async |i: usize, age: u64| {
            let found = cluster.resource(i, &token, "read/huerto/market.kept").await;
            found.is_some_and(|found| found["spec"]["max_age_ms"] == json!(age))
        };
        for i in 0..9 {
            wait_until("it is in force", async || shown(i, 7).await)
                .await
                .expect("it is in force");
        }
        cluster.restore_platform(copy).await.expect("restores");
        wait_until("a change is taken again", async || {
            apply(cluster, 1, &[kind("kept", 70)]).await.is_ok()
        })
        .await
        .expect("a change is taken again");
        for i in 0..9 {
            wait_until("it is in force", async || shown(i, 70).await)
                .await
                .expect("it is in force");
        }
    });
}

#[gtest]
fn a_box_that_starts_while_the_table_is_down_gets_its_configuration_from_a_peer() {
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
                .expect("switches");
            cluster.boxes[2].handle.kill();
            let fresh = cluster.start_box(&processes(), 2);
            cluster.boxes[2] = fresh;
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
fn of_two_operators_that_race_one_wins_and_the_other_is_told_both_versions() {
    with_cluster(
        Shape {
            boxes: 3,
            ..Shape::default()
        },
        async |cluster| {
            let first = apply(cluster, 0, &[kind("panel", 1)])
                .await
                .expect("is taken");
            let revision = first["revision"].as_u64().expect("has a revision");
            cluster.wait_for_revision(revision).await.expect("in force");
            for round in 0..10 {
                let (a, b) = ([kind("panel", 100 + round)], [kind("panel", 200 + round)]);
                let (one, other) = tokio::join!(apply(cluster, 0, &a), apply(cluster, 1, &b));
                for lost in [&one, &other].into_iter().filter_map(|r| r.as_ref().err()) {
                    let HttpError::Status { code, body } = lost else {
                        panic!("no answer: {lost}");
                    };
                    let body: Value = serde_json::from_str(body).expect("a problem is JSON");
                    expect_that!(*code, eq(409));
                    expect_that!(
                        body["expected"].as_u64(),
                        some(lt(body["found"].as_u64().unwrap_or(0)))
                    );
                }
                expect_that!(one.is_ok() || other.is_ok(), eq(true));
                let newest = [one, other]
                    .into_iter()
                    .filter_map(|r| r.ok()?["revision"].as_u64());
                cluster
                    .wait_for_revision(newest.max().expect("one was taken"))
                    .await
                    .expect("in force");
            }
        },
    );
}

#[gtest]
fn an_operator_reaches_no_other_partners_resources() {
    with_cluster(Shape { boxes: 1, ..nine() }, async |cluster| {
        let foreign = cluster
            .apply(0, &operator_token("cards"), &[kind("panel", 1)])
            .await;
        expect_that!(
            matches!(foreign, Err(HttpError::Status { code: 403, .. })),
            eq(true)
        );
        let nobody = cluster.apply(0, "guess", &[kind("panel", 1)]).await;
        expect_that!(
            matches!(nobody, Err(HttpError::Status { code: 401, .. })),
            eq(true)
        );
        let weight = json!({ "kind": "partner", "spec": { "name": "huerto", "weight": 9, "operator": "0".repeat(64) } });
        let raised = apply(cluster, 0, &[weight]).await;
        expect_that!(
            matches!(raised, Err(HttpError::Status { code: 403, .. })),
            eq(true)
        );
    });
}

#[gtest]
fn an_accepted_change_is_in_force_everywhere_and_never_reverts_while_answers_are_lost() {
    with_cluster(nine(), async |cluster| {
        let lose = Faults {
            drop_answers: true,
            ..Faults::default()
        };
        cluster.set_platform_faults(&lose).await.expect("switches");
        let change = [kind("panel", 77)];
        let sent = apply(cluster, 0, &change);
        let back = async {
            tokio::time::sleep(std::time::Duration::from_millis(300)).await;
            cluster
                .set_platform_faults(&Faults::default())
                .await
                .expect("switches");
        };
        let (done, ()) = tokio::join!(sent, back);
        let revision = done.expect("is taken")["revision"]
            .as_u64()
            .expect("has a revision");
        cluster.wait_for_revision(revision).await.expect("in force");
        let again = apply(cluster, 3, &change).await.expect("is taken");
        expect_that!(again["plan"][0]["action"].as_str(), some(eq("keep")));
    });
}

#[gtest]
fn a_leaving_primary_hands_over_and_a_leaving_replica_gets_no_read() {
    with_cluster(
        Shape {
            boxes: 3,
            ..Shape::default()
        },
        async |cluster| {
            let workload = start_load(cluster, "market").await;
            acknowledged(&workload, 20).await;
            let mut declared = cluster.declarations("huerto");
            for resource in &mut declared {
                if resource["kind"] == "member" && resource["spec"]["name"] == "m0" {
                    resource["spec"]["leaving"] = json!(true);
                }
            }
            apply(cluster, 0, &declared).await.expect("is taken");
            wait_until("another member leads", async || {
                cluster.primary(0).await.is_some_and(|primary| primary != 0)
            })
            .await
            .expect("another member leads");
            acknowledged(&workload, 20).await;
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
            is_clean(workload).await;
        },
    );
}

#[gtest]
fn a_rolling_restart_of_all_boxes_loses_and_doubles_nothing() {
    with_cluster(
        Shape {
            boxes: 4,
            ..Shape::default()
        },
        async |cluster| {
            let workload = start_load(cluster, "market").await;
            for i in 0..4 {
                acknowledged(&workload, 20).await;
                cluster.boxes[i].handle.stop();
                let fresh = cluster.start_box(&processes(), i as u8);
                cluster.boxes[i] = fresh;
                wait_until("the box serves again", async || {
                    cluster.connect(i, "market", None).await.is_ok()
                })
                .await
                .expect("the box serves again");
            }
            acknowledged(&workload, 20).await;
            is_clean(workload).await;
        },
    );
}

#[gtest]
fn ten_presses_on_three_boxes_while_the_primary_dies_are_one_sale() {
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
            let press = |i: usize| {
                let at = cluster.sql_address(i % 3);
                async move {
                    let sql = format!(
                        "/* larkfall: once=sale-1 */ INSERT INTO sale VALUES ('{i}', 'sale-1')"
                    );
                    let mut client = Client::connect(at, "huerto", "market", None).await.ok()?;
                    client.query(&sql).await.ok().map(|answer| answer.tag)
                }
            };
            let presses = futures::future::join_all((0..10).map(press));
            let (primary, members) = (0, &mut cluster.members);
            let kill = async {
                tokio::task::yield_now().await;
                members[0][primary].handle.kill();
            };
            let (tags, ()) = tokio::join!(presses, kill);
            let told: BTreeSet<String> = tags.into_iter().flatten().collect();
            expect_that!(told, each(eq("INSERT 0 1")));
            let again =
                client.query("/* larkfall: once=sale-1 */ INSERT INTO sale VALUES ('x', 'sale-1')");
            expect_that!(again.await.expect("is answered").tag, eq("INSERT 0 1"));
            let count = client
                .query("SELECT count(*) FROM sale")
                .await
                .expect("reads");
            expect_that!(count.number(), some(eq(1)));
        },
    );
}

#[gtest]
fn owners_that_come_and_go_under_load_lose_nothing_and_hold_no_connections() {
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
                let done = apply(cluster, 0, &declared).await.expect("is taken");
                let revision = done["revision"].as_u64().expect("has a revision");
                cluster.wait_for_revision(revision).await.expect("in force");
                acknowledged(&workload, 15).await;
            }
            is_clean(workload).await;
            let mut owning = 0;
            for i in 0..4 {
                let dump = cluster.dump(i).await.expect("every box is alive");
                owning += dump["groups"].as_array().map_or(0, Vec::len);
            }
            expect_that!(owning, eq(1));
            wait_until(
                "boxes that own nothing have closed their connections",
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
            .expect("boxes that own nothing have closed their connections");
        },
    );
}
