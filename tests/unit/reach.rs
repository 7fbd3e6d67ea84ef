//! Whether a box is cut off, from its own groups and from owners of others.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use googletest::prelude::*;
use larkfall::borders::roster::Listing;
use larkfall::decisions::partition::{Counts, Monitor, alert_targets};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::fake::ms;

fn view(groups: usize, owned: usize, cut_off: usize) -> Counts {
    Counts {
        groups,
        owned,
        list_settled: true,
        with_majority: owned - cut_off,
        without_majority: cut_off,
    }
}

#[gtest]
fn a_box_that_owns_every_group_needs_nobody_elses_word() {
    let mut reach = Monitor::default();
    reach.update_counts(view(3, 3, 2), ms(0));
    expect_that!(reach.is_partitioned(), eq(false));
    reach.update_counts(view(3, 3, 3), ms(0));
    expect_that!(reach.is_partitioned(), eq(true));
    expect_that!(reach.query_due(ms(10)), none());
    reach.record_replies(&[Some(false), Some(true)]);
    expect_that!(reach.is_partitioned(), eq(true));
}

/// In a cut failure domain of 27 boxes those that owned nothing stayed ready, and
/// kept their callers.
#[gtest]
fn a_box_that_owns_nothing_asks_only_after_a_refusal_and_goes_by_the_owners_word() {
    let mut reach = Monitor::default();
    expect_that!(reach.query_due(ms(5)), none());
    let unlisted = Counts {
        list_settled: false,
        ..view(8, 0, 0)
    };
    reach.update_counts(unlisted, ms(8));
    expect_that!(reach.query_due(ms(8)), none());
    // It asks once at its start: it may have started in a cut.
    reach.update_counts(view(8, 0, 0), ms(0));
    expect_that!(reach.query_due(ms(10)), some(anything()));
    reach.record_query(ms(10));
    reach.record_replies(&[Some(false), Some(true)]);
    expect_that!(reach.query_due(ms(900)), none());
    reach.record_refusal(ms(1_000));
    expect_that!(reach.query_due(ms(1_000)), some(le(ms(1_000))));
    reach.record_query(ms(1_000));
    reach.record_replies(&[Some(false), None, Some(false)]);
    expect_that!(reach.is_partitioned(), eq(true));
    // No caller comes any more, so it asks until it hears better.
    expect_that!(reach.query_due(ms(9_000)), some(eq(ms(1_500))));
    reach.record_query(ms(9_000));
    reach.record_replies(&[Some(false), Some(true)]);
    expect_that!(reach.is_partitioned(), eq(false));
    expect_that!(reach.query_due(ms(9_000)), none());
}

#[gtest]
fn one_owned_group_without_a_majority_takes_no_box_out_of_service() {
    let mut reach = Monitor::default();
    reach.update_counts(view(8, 1, 1), ms(0));
    expect_that!(reach.is_partitioned(), eq(false));
    expect_that!(reach.query_due(ms(10)), some(anything()));
    reach.record_query(ms(10));
    reach.record_replies(&[Some(false), Some(true)]);
    expect_that!(reach.is_partitioned(), eq(false));
    reach.update_counts(view(8, 1, 0), ms(0));
    expect_that!(reach.query_due(ms(20)), none());
}

/// A box that came back in the middle of a cut had not looked yet, said that it was
/// fine, and brought all its neighbours back.
#[gtest]
fn owners_that_cannot_tell_yet_change_nothing() {
    let mut reach = Monitor::default();
    reach.update_counts(view(8, 0, 0), ms(0));
    reach.record_query(ms(10));
    reach.record_replies(&[None, None]);
    expect_that!(reach.is_partitioned(), eq(false));
    reach.record_replies(&[Some(false), None]);
    expect_that!(reach.is_partitioned(), eq(true));
    reach.record_replies(&[None, None]);
    expect_that!(reach.is_partitioned(), eq(true));
    // What it has not found out itself is no word either.
    let unknown = Counts {
        groups: 8,
        owned: 1,
        ..Counts::default()
    };
    reach.update_counts(unknown, ms(20));
    expect_that!(reach.is_partitioned(), eq(true));
}

fn boxes(count: usize) -> Vec<Listing> {
    let listing = |i: usize| Listing {
        name: format!("box-{i}").into(),
        address: format!("10.0.0.{i}:1").into(),
        domain: "a".into(),
        leaving: false,
        link_mbps: 0,
    };
    (0..count).map(listing).collect()
}

/// The load: a cut failure domain, whose callers reach none of the others before its last box
/// says that it is not ready. One box notices; all have to within a few ways.
#[gtest]
fn a_warning_reaches_every_box_of_a_domain_in_a_few_hops() {
    let mut dice = SmallRng::seed_from_u64(3);
    for count in [2, 5, 43, 100] {
        let boxes = boxes(count);
        let mut reaches = vec![Monitor::default(); count];
        let mut told = VecDeque::from([(0, 0)]);
        let mut heard = BTreeMap::new();
        let mut messages = 0;
        while let Some((i, hops)) = told.pop_front() {
            let first = reaches[i].record_alert(ms(10));
            if !first {
                continue;
            }
            heard.insert(i, hops);
            for neighbour in alert_targets(&boxes, &boxes[i].name, "a", &mut dice) {
                messages += 1;
                let place = boxes.iter().position(|b| b.name == neighbour.name);
                told.push_back((place.expect("listed"), hops + 1));
            }
        }
        expect_that!(heard.len(), eq(count), "{count} boxes");
        expect_that!(heard.values().max(), some(le(&8)), "{count} boxes");
        expect_that!(messages, le(4 * count), "{count} boxes");
    }
}

#[gtest]
fn neighbours_are_boxes_of_the_same_domain_alone() {
    let mut dice = SmallRng::seed_from_u64(3);
    let mut boxes = boxes(6);
    for other in &mut boxes[3..] {
        other.domain = "b".into();
    }
    let warned = alert_targets(&boxes, "box-1", "a", &mut dice);
    let names: Vec<&str> = warned.iter().map(|listing| &*listing.name).collect();
    expect_that!(names, unordered_elements_are![eq(&"box-0"), eq(&"box-2")]);
    expect_that!(
        alert_targets(&boxes[..1], "box-0", "a", &mut dice),
        is_empty()
    );
}

/// A member that is slow says nothing of a cut while another one of its domain answers, and
/// one lost domain of two is not this box's cut.
#[gtest]
fn neighbours_are_warned_once_all_other_domains_are_silent() {
    let (b, c): (Arc<str>, Arc<str>) = ("b".into(), "c".into());
    let mut reach = Monitor::default();
    reach.record_answer(&b, ms(10));
    reach.record_answer(&c, ms(10));
    expect_that!(reach.record_failure(&b, ms(20)), eq(false));
    reach.record_answer(&b, ms(25));
    expect_that!(reach.record_failure(&c, ms(30)), eq(false));
    expect_that!(reach.record_failure(&b, ms(40)), eq(true));
    // Said once, it is not said again with each statement that is lost.
    expect_that!(reach.record_failure(&b, ms(50)), eq(false));
    expect_that!(reach.record_alert(ms(60)), eq(false));
    expect_that!(reach.record_failure(&b, ms(2_100)), eq(true));
}

#[gtest]
fn a_warned_box_asks_at_once_and_soon_again_until_owners_know() {
    let mut reach = Monitor::default();
    reach.update_counts(view(8, 0, 0), ms(0));
    reach.record_query(ms(10));
    reach.record_replies(&[Some(true)]);
    expect_that!(reach.query_due(ms(1_000)), none());
    reach.record_alert(ms(1_000));
    expect_that!(reach.query_due(ms(1_000)), some(le(ms(1_000))));
    reach.record_query(ms(1_000));
    reach.record_replies(&[Some(true), Some(false)]);
    expect_that!(reach.is_partitioned(), eq(false));
    reach.record_alert(ms(1_010));
    expect_that!(reach.query_due(ms(1_010)), some(le(ms(1_100))));
    reach.record_query(ms(1_100));
    reach.record_replies(&[Some(false), Some(false)]);
    expect_that!(reach.is_partitioned(), eq(true));
}

/// Alone in calling itself ready in a cut domain, a box that has just started would get all
/// of the domain's callers.
#[gtest]
fn a_box_that_starts_asks_until_an_owner_can_tell() {
    let mut reach = Monitor::default();
    reach.update_counts(view(8, 0, 0), ms(0));
    reach.record_query(ms(10));
    reach.record_replies(&[None, None]);
    expect_that!(reach.query_due(ms(20)), some(eq(ms(510))));
    reach.record_query(ms(510));
    reach.record_replies(&[Some(true), None]);
    expect_that!(reach.query_due(ms(600)), none());
}
