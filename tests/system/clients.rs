//! Standard PostgreSQL clients: prepared statements, transactions and error codes.

use googletest::prelude::*;
use larkfall::trial::cluster::Shape;
use tokio_postgres::{Client, NoTls};

use super::support::with_cluster;

async fn connect(address: std::net::SocketAddr) -> Client {
    let config = format!(
        "host={} port={} user=huerto dbname=market",
        address.ip(),
        address.port()
    );
    let (client, connection) = tokio_postgres::connect(&config, NoTls)
        .await
        .expect("connects");
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    client
}

#[gtest]
fn tokio_postgres_runs_prepared_statements_with_binary_values() {
    with_cluster(Shape::default(), async |cluster| {
        let mut client = connect(cluster.sql_address(0)).await;
        let create =
            "CREATE TABLE crop (id bigint PRIMARY KEY, name text, ripe boolean, kg float8)";
        client.batch_execute(create).await.expect("creates");
        let insert = client
            .prepare("INSERT INTO crop VALUES ($1, $2, $3, $4)")
            .await;
        let insert = insert.expect("prepares");
        for id in 0..5i64 {
            let inserted = client
                .execute(&insert, &[&id, &"maize", &(id % 2 == 0), &1.5f64])
                .await;
            expect_that!(inserted.expect("inserts"), eq(1));
        }
        let select = client
            .prepare("SELECT id, name, ripe, kg FROM crop WHERE id = $1")
            .await;
        let select = select.expect("prepares");
        for id in 0..5i64 {
            let row = client
                .query_one(&select, &[&id])
                .await
                .expect("reads its own write");
            expect_that!(row.get::<_, i64>(0), eq(id));
            expect_that!(row.get::<_, &str>(1), eq("maize"));
            expect_that!(row.get::<_, bool>(2), eq(id % 2 == 0));
            expect_that!(row.get::<_, f64>(3), eq(1.5));
        }
        let transaction = client.transaction().await.expect("begins");
        let updated = transaction
            .execute("UPDATE crop SET kg = 2 WHERE id = 1", &[])
            .await;
        expect_that!(updated.expect("updates"), eq(1));
        transaction.rollback().await.expect("rolls back");
        let row = client.query_one(&select, &[&1i64]).await.expect("reads");
        expect_that!(row.get::<_, f64>(3), eq(1.5));
    });
}

#[gtest]
fn errors_have_their_sqlstate_and_the_session_stays_usable() {
    with_cluster(Shape::default(), async |cluster| {
        let mut client = cluster.connect(0, "market", None).await.expect("connects");
        for (sql, code) in [
            ("selec 1", "42601"),
            ("SELECT * FROM nowhere", "42P01"),
            ("COPY a TO STDOUT", "0A000"),
            ("SET search_path = 'x'", "0A000"),
            ("SHOW nothing", "42704"),
            ("SET larkfall.token = 'forged'", "22023"),
        ] {
            let error = client.query(sql).await.expect_err(sql);
            expect_that!(error.code(), eq(code), "{sql}");
        }
        let answer = client
            .query("SELECT 7")
            .await
            .expect("the session stays usable");
        expect_that!(answer.number(), some(eq(7)));
    });
}

#[gtest]
fn undeclared_partners_and_groups_are_refused() {
    with_cluster(Shape::default(), async |cluster| {
        let unknown_group = cluster.connect(0, "field", None).await.err();
        expect_that!(unknown_group.expect("refused").code(), eq("3D000"));
        let address = cluster.sql_address(0);
        let unknown_partner =
            larkfall::trial::client::Client::connect(address, "nobody", "market", None).await;
        expect_that!(unknown_partner.err().expect("refused").code(), eq("28000"));
    });
}
