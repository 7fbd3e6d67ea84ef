//! Who reads the table for whom.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::borders::roster::Listing;
use larkfall::borders::table::Pace;
use larkfall::decisions::readers::{Readers, readers};

use super::fake::ms;

fn listing(i: usize, domain: &str, link_mbps: u32) -> Listing {
    Listing {
        name: format!("b{i}").into(),
        address: format!("127.0.0.1:{i}").into(),
        domain: domain.into(),
        leaving: false,
        link_mbps,
    }
}

fn boxes(count: usize) -> Vec<Listing> {
    (0..count).map(|i| listing(i, "d", 10)).collect()
}

/// The known of a box that reads nothing itself, and a reader's address.
fn follower(boxes: &[Listing]) -> (Readers, Arc<str>) {
    let chosen = readers(boxes, "d");
    let first = chosen[0].address.clone();
    let chosen: Vec<&Arc<str>> = chosen.iter().map(|reader| &reader.name).collect();
    let follower = boxes.iter().find(|l| !chosen.contains(&&l.name));
    let mut known = Readers::default();
    known.set_boxes(boxes, &follower.expect("not all are readers").name, "d");
    (known, first)
}

#[gtest]
fn in_small_failure_domains_every_box_reads_for_itself() {
    let mut known = Readers::default();
    known.set_boxes(&boxes(4), "b0", "d");
    expect_that!(known.pace(ms(0)), eq(Pace::Calm));
    expect_that!(known.next(ms(0)), none());
    expect_that!(readers(&boxes(4), "d"), is_empty());
}

#[gtest]
fn in_large_ones_few_do_and_those_with_the_widest_links_first() {
    let mut listed = boxes(27);
    listed.push(listing(30, "d", 200));
    listed.push(listing(31, "other", 1_000));
    let chosen: Vec<&str> = readers(&listed, "d").iter().map(|r| &*r.name).collect();
    expect_that!(chosen.len(), eq(2));
    expect_that!(chosen[0], eq("b30"));
    expect_that!(readers(&boxes(100), "d").len(), eq(7));
    listed[27].leaving = true;
    expect_that!(readers(&listed, "d")[0].name.as_ref(), not(eq("b30")));
    let mut known = Readers::default();
    known.set_boxes(&boxes(27), &readers(&boxes(27), "d")[0].name, "d");
    expect_that!(known.pace(ms(0)), eq(Pace::Brisk));
}

#[gtest]
fn a_box_rests_only_on_what_is_fresh() {
    let (mut known, reader) = follower(&boxes(9));
    expect_that!(known.pace(ms(0)), eq(Pace::Calm));
    known.heard(&reader, Some(ms(500)), ms(10_000));
    expect_that!(known.pace(ms(10_000)), eq(Pace::Rest));
    let stale = known.stale_at().expect("it was informed");
    expect_that!(stale, lt(ms(12_500)));
    expect_that!(known.pace(stale), eq(Pace::Calm));
    // What is old already proves nothing, and is not asked for again at once.
    known.heard(&reader, Some(ms(5_000)), ms(20_000));
    known.heard(&reader, None, ms(20_000));
    expect_that!(known.pace(ms(20_000)), eq(Pace::Calm));
}

#[gtest]
fn readers_are_asked_in_turn_and_silent_ones_last() {
    let (mut known, _) = follower(&boxes(9));
    let now = ms(1_000);
    let (first, second) = (known.next(now).unwrap(), known.next(now).unwrap());
    expect_that!(first, not(eq(&second)));
    known.failed(&first, now);
    for _ in 0..3 {
        expect_that!(known.next(now), some(eq(&second)));
    }
    known.failed(&second, now);
    expect_that!(known.next(now), none());
    let later = now + Duration::from_secs(2);
    expect_that!(known.next(later), some(anything()));
}
