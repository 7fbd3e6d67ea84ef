use std::collections::BTreeSet;
use std::sync::Arc;

use googletest::prelude::*;
use imbl::OrdMap;
use larkfall::borders::roster::Listing;
use larkfall::borders::table::{Revision, Row, Scan};
use larkfall::decisions::owners::{Assignment, Ranking, connection_share};
use larkfall::declarations::snapshot::Plan;
use larkfall::node::configuration::Store;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use slog::Logger;

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

/// Returns groups with members in one to three failure domains.
fn plans(count: usize) -> OrdMap<Arc<str>, Arc<Plan>> {
    let rows = (0..count).flat_map(|g| {
        let group = format!("g{g}");
        let members = (0..=g % 3).map(|m| {
            let domain = format!("d{}", (g + m) % 10);
            let member = json!({
                "partner": "p", "group": group, "name": format!("m{m}"), "domain": domain,
                "sql": "127.0.0.1:1", "control": "127.0.0.1:1",
            });
            resource_row(&format!("member/p/{group}.m{m}"), member)
        });
        let declared = json!({ "partner": "p", "name": group, "owners": 0, "connections": 400 });
        let group_row = resource_row(&format!("group/p/{group}"), declared);
        std::iter::once(group_row)
            .chain(members)
            .collect::<Vec<_>>()
    });
    let mut store = Store::default();
    let scan = Scan {
        head: 1.into(),
        rows: rows.collect(),
        ..Scan::default()
    };
    let log = Logger::root(slog::Discard, slog::o!());
    store.apply(Revision::NONE, &scan, &log);
    store.snapshot().groups
}

fn resource_row(key: &str, value: serde_json::Value) -> Row {
    Row {
        key: format!("resource/{key}").into(),
        revision: 1.into(),
        value: Some(value),
    }
}

/// Compares the groups that each box knows to own with those chosen from the whole list.
#[gtest]
fn owners_that_are_kept_up_to_date_equal_those_selected_anew() {
    let groups = plans(40);
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let name: Arc<str> = "b0".into();
    let mut kept = Assignment::new(name.clone());
    kept.set_groups(&groups);
    let mut listed = boxes(30);
    for step in 0..300 {
        let at = random.random_range(1..30);
        match random.random_range(0..3) {
            0 => listed[at].leaving = !listed[at].leaving,
            1 => listed[at].name = format!("new{step}").into(),
            _ => listed[at].domain = format!("d{}", random.random_range(0..6)).into(),
        }
        kept.set_boxes(&listed);
        let mut anew = Assignment::new(name.clone());
        anew.set_boxes(&listed);
        anew.set_groups(&groups);
        let ranks = |assignment: &Assignment| -> Vec<(Arc<str>, u32, u32)> {
            let owned = assignment.owned().iter();
            owned
                .map(|(id, o)| (id.clone(), o.rank, o.owners))
                .collect()
        };
        assert_eq!(ranks(&kept), ranks(&anew), "step {step}");
    }
}

/// A box that joins or leaves moves about as many groups as it owns, however many there are.
#[gtest]
fn a_change_of_the_list_selects_owners_of_few_groups() {
    for count in [100, 300] {
        let groups = plans(count);
        let mut listed = boxes(count);
        let mut assignment = Assignment::new("b0".into());
        assignment.set_boxes(&listed);
        assignment.set_groups(&groups);
        let before = assignment.selections();
        listed[count / 2].leaving = true;
        assignment.set_boxes(&listed);
        listed[count / 2].leaving = false;
        assignment.set_boxes(&listed);
        expect_that!(assignment.selections() - before, le(80));
        let before = assignment.selections();
        assignment.set_groups(&groups);
        expect_that!(assignment.selections(), eq(before));
    }
}

/// Guards against connections and probes of each box that grow with the number of groups.
#[gtest]
fn a_box_owns_few_groups_however_many_there_are() {
    // 12 owners are useful for each group.
    for (boxes_count, groups) in [(30, 30), (100, 100), (100, 200)] {
        let ranking = Ranking::new(&boxes(boxes_count));
        let plans = plans(groups);
        let owners = plans.values().map(|plan| ranking.owners_of(plan, groups));
        let pairs: usize = owners.map(|owners| owners.len()).sum();
        // Rounding differs by group.
        expect_that!(pairs, le(6 * boxes_count + groups));
        expect_that!(pairs, ge(3 * groups));
    }
    // A small system has as many owners as are useful.
    let ranking = Ranking::new(&boxes(30));
    let plans = plans(8);
    let owners = ranking.owners_of(&plans["p/g0"], 8);
    expect_that!(owners.len(), eq(12));
}
