use std::collections::BTreeSet;
use std::sync::Arc;

use googletest::prelude::*;
use larkfall::borders::roster::Listing;
use larkfall::decisions::owners::{Ranking, connection_share};

fn boxes(count: usize) -> Vec<Listing> {
    let listing = |i: usize| Listing {
        name: format!("b{i}").into(),
        address: format!("127.0.0.1:{i}").into(),
        domain: format!("d{}", i % 10).into(),
        leaving: false,
        link_mbps: 0,
    };
    (0..count).map(listing).collect()
}

fn domains(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|name| (*name).into()).collect()
}

#[gtest]
fn owners_are_spread_over_the_members_domains() {
    let ranking = Ranking::new(&boxes(420));
    for group in 0..50 {
        let chosen = ranking.owners(&format!("g{group}"), 3, &domains(&["d1", "d2", "d3"]));
        let found: BTreeSet<Arc<str>> = chosen.iter().map(|l| l.domain.clone()).collect();
        expect_that!(found, eq(&domains(&["d1", "d2", "d3"])));
    }
}

#[gtest]
fn adding_or_removing_a_box_moves_few_groups() {
    let (all, fewer) = (Ranking::new(&boxes(420)), Ranking::new(&boxes(419)));
    let preferred = domains(&["d0", "d1", "d2"]);
    let moved = (0..840).filter(|group| {
        let id = format!("g{group}");
        all.owners(&id, 3, &preferred) != fewer.owners(&id, 3, &preferred)
    });
    expect_that!(moved.count(), le(30));
}

#[gtest]
fn a_leaving_box_owns_nothing() {
    let mut boxes = boxes(6);
    boxes[0].leaving = true;
    let ranking = Ranking::new(&boxes);
    for group in 0..20 {
        let chosen = ranking.owners(&format!("g{group}"), 3, &domains(&["d0"]));
        expect_that!(
            chosen.iter().any(|listing| &*listing.name == "b0"),
            eq(false)
        );
    }
}

#[gtest]
fn connection_shares_leave_a_reserve() {
    expect_that!(connection_share(24, 3), eq(7));
    expect_that!(connection_share(40, 3), eq(12));
    expect_that!(connection_share(2, 3), eq(1));
}

#[gtest]
fn the_number_of_owners_follows_from_connections_and_slots_unless_declared() {
    use larkfall::decisions::owners::owner_count;
    // Limited by the boxes, by the connections, and by the slots.
    expect_that!(owner_count(0, 23, 12, 9), eq(9));
    expect_that!(owner_count(0, 12, 12, 71), eq(5));
    expect_that!(owner_count(0, 283, 12, 72), eq(12));
    expect_that!(owner_count(0, 1, 1, 5), eq(1));
    expect_that!(owner_count(4, 283, 3, 72), eq(4));
}

#[gtest]
fn a_group_is_owned_by_all_boxes_only_if_it_has_as_many_owners() {
    let listing = |name: &str| Listing {
        name: name.into(),
        address: name.into(),
        domain: "d".into(),
        leaving: false,
        link_mbps: 0,
    };
    let ranking = Ranking::new(&[listing("a"), listing("b"), listing("c")]);
    expect_that!(ranking.covers_all_boxes(3), eq(true));
    expect_that!(ranking.covers_all_boxes(2), eq(false));
}
