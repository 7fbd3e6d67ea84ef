use googletest::prelude::*;
use larkfall::decisions::classify::{Command, Kind, classify};

#[gtest]
fn statements_are_classified_by_where_they_may_run() {
    for (sql, kind) in [
        ("SELECT 1", Kind::Read),
        ("select * from a join b using (x)", Kind::Read),
        ("SELECT * FROM a FOR UPDATE", Kind::Write),
        ("SELECT nextval('s')", Kind::Write),
        (
            "WITH x AS (DELETE FROM a RETURNING *) SELECT * FROM x",
            Kind::Write,
        ),
        ("SELECT 1 INTO b", Kind::Write),
        ("INSERT INTO a VALUES (1)", Kind::Write),
        ("CREATE TABLE a (x int)", Kind::Write),
        ("BEGIN", Kind::Begin),
        ("BEGIN READ ONLY", Kind::BeginRead),
        ("COMMIT", Kind::End),
        ("ROLLBACK", Kind::End),
        ("SET application_name = 'x'", Kind::Session),
        ("SELECT 1; UPDATE a SET x = 1", Kind::Write),
        ("this is no statement", Kind::Write),
        ("", Kind::Read),
    ] {
        expect_that!(classify(sql).kind, eq(kind), "{sql}");
    }
}

#[gtest]
fn hints_set_the_read_kind_and_the_once_key() {
    let class = classify("/* larkfall: kind=panel once=sale-17 */ SELECT 1");
    expect_that!(class.read_kind.as_deref(), some(eq("panel")));
    expect_that!(class.once_key.as_deref(), some(eq("sale-17")));
}

#[gtest]
fn a_pools_reset_is_answered_by_the_box() {
    let sql = "SELECT pg_advisory_unlock_all();\nCLOSE ALL;\nUNLISTEN *;\nRESET ALL;";
    expect_that!(classify(sql).command, eq(&Command::Reset));
}

#[gtest]
fn copy_is_refused_by_name() {
    let class = classify("COPY a TO STDOUT");
    expect_that!(class.command, eq(&Command::Refuse { what: "COPY" }));
}
