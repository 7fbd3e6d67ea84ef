use googletest::prelude::*;
use larkfall::decisions::floors::{Floors, Scope};
use larkfall::decisions::position::Position;

fn at(index: u64) -> Position {
    Position::new(1, index)
}

fn scope(kind: Option<&str>, tables: &[&str]) -> Scope {
    Scope {
        separate_kind: kind.map(Into::into),
        tables: tables.iter().map(|table| (*table).into()).collect(),
        ..Scope::default()
    }
}

/// A session that came with a token.
fn session() -> Floors {
    Floors::new(Some(at(1)))
}

#[gtest]
fn a_session_without_a_token_has_no_floor_until_its_first_answer() {
    let mut floors = Floors::new(None);
    expect_that!(floors.floor_for(&scope(None, &[])), none());
    floors.record_read(&scope(None, &[]), at(5), false);
    expect_that!(
        floors.floor_for(&scope(Some("deck"), &["deck"])),
        some(eq(at(5)))
    );
}

#[gtest]
fn a_write_raises_the_floor_of_a_separate_kind_only_if_it_touches_its_tables() {
    let mut floors = session();
    floors.record_pending_write(&scope(None, &["answer"]));
    floors.acknowledge_writes(at(9));
    expect_that!(floors.floor_for(&scope(None, &["x"])), some(eq(at(9))));
    expect_that!(
        floors.floor_for(&scope(Some("deck"), &["deck"])),
        some(eq(at(1)))
    );
    expect_that!(
        floors.floor_for(&scope(Some("deck"), &["answer"])),
        some(eq(at(9)))
    );
}

#[gtest]
fn a_write_to_unknown_tables_raises_the_floor_of_every_read() {
    let mut floors = session();
    floors.record_pending_write(&scope(None, &["answer"]));
    floors.record_pending_write(&scope(None, &[]));
    floors.acknowledge_writes(at(9));
    expect_that!(
        floors.floor_for(&scope(Some("deck"), &["deck"])),
        some(eq(at(9)))
    );
}

#[gtest]
fn pending_writes_raise_no_floor_before_the_commit_or_after_a_rollback() {
    let mut floors = session();
    floors.record_pending_write(&scope(None, &["deck"]));
    expect_that!(
        floors.floor_for(&scope(Some("deck"), &["deck"])),
        some(eq(at(1)))
    );
    floors.discard_pending_writes();
    floors.acknowledge_writes(at(9));
    expect_that!(
        floors.floor_for(&scope(Some("deck"), &["deck"])),
        some(eq(at(1)))
    );
}

#[gtest]
fn reads_raise_their_own_floor_and_the_token_covers_all() {
    let mut floors = session();
    let deck = scope(Some("deck"), &["deck"]);
    floors.record_read(&deck, at(3), true);
    floors.record_read(&deck, at(8), false);
    expect_that!(floors.floor_for(&deck), some(eq(at(3))));
    floors.record_read(&scope(None, &["answer"]), at(6), false);
    expect_that!(floors.floor_for(&scope(None, &[])), some(eq(at(6))));
    expect_that!(floors.floor_for(&deck), some(eq(at(3))));
    expect_that!(floors.token(), some(eq(at(6))));
}

#[gtest]
fn after_a_reset_the_floor_is_unknown() {
    let mut floors = session();
    floors.reset();
    expect_that!(floors.token(), none());
}

#[gtest]
fn tokens_round_trip_and_malformed_ones_are_errors() {
    expect_that!(at(7).token().parse::<Position>(), ok(eq(&at(7))));
    for text in [
        "",
        "v1.1",
        "v2.1.1",
        "v1.x.1",
        "v1.1.-1",
        "v1.1.99999999999999999999",
    ] {
        expect_that!(text.parse::<Position>(), err(anything()), "{text}");
    }
}
