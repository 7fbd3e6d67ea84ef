//! Who reads the table for whom.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::borders::roster::Listing;
use larkfall::borders::table::Polling;
use larkfall::decisions::readers::{Schedule, Settings, choose_readers};

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
fn follower(boxes: &[Listing]) -> (Schedule, Arc<str>) {
    let chosen = choose_readers(boxes, "d");
    let first = chosen[0].address.clone();
    let chosen: Vec<&Arc<str>> = chosen.iter().map(|reader| &reader.name).collect();
    let follower = boxes.iter().find(|l| !chosen.contains(&&l.name));
    let mut known = Schedule::default();
    known.set_boxes(boxes, &follower.expect("not all are readers").name, "d");
    (known, first)
}

#[gtest]
fn in_small_failure_domains_every_box_reads_for_itself() {
    let mut known = Schedule::default();
    known.set_boxes(&boxes(4), "b0", "d");
    expect_that!(known.polling(ms(0)), eq(Polling::Normal));
    expect_that!(known.next_reader(ms(0)), none());
    expect_that!(choose_readers(&boxes(4), "d"), is_empty());
}

#[gtest]
fn in_large_ones_few_do_and_those_with_the_widest_links_first() {
    let mut listed = boxes(27);
    listed.push(listing(30, "d", 200));
    listed.push(listing(31, "other", 1_000));
    let chosen: Vec<&str> = choose_readers(&listed, "d")
        .iter()
        .map(|r| &*r.name)
        .collect();
    expect_that!(chosen.len(), eq(2));
    expect_that!(chosen[0], eq("b30"));
    expect_that!(choose_readers(&boxes(100), "d").len(), eq(7));
    listed[27].leaving = true;
    expect_that!(
        choose_readers(&listed, "d")[0].name.as_ref(),
        not(eq("b30"))
    );
    let mut known = Schedule::default();
    known.set_boxes(&boxes(27), &choose_readers(&boxes(27), "d")[0].name, "d");
    expect_that!(known.polling(ms(0)), eq(Polling::Frequent));
}

#[gtest]
fn a_box_rests_only_on_what_is_fresh() {
    let (mut known, reader) = follower(&boxes(9));
    expect_that!(known.polling(ms(0)), eq(Polling::Normal));
    known.record_answer(&reader, Some(ms(500)), ms(10_000));
    expect_that!(known.polling(ms(10_000)), eq(Polling::Paused));
    let stale = known.paused_until();
    expect_that!(stale, lt(ms(12_500)));
    expect_that!(known.polling(stale), eq(Polling::Normal));
    // What is old already proves nothing, and is not asked for again at once.
    known.record_answer(&reader, Some(ms(5_000)), ms(20_000));
    known.record_answer(&reader, None, ms(20_000));
    expect_that!(known.polling(ms(20_000)), eq(Polling::Normal));
}

#[gtest]
fn readers_are_asked_in_turn_and_silent_ones_last() {
    let (mut known, _) = follower(&boxes(9));
    let now = ms(1_000);
    let (first, second) = (
        known.next_reader(now).unwrap(),
        known.next_reader(now).unwrap(),
    );
    expect_that!(first, not(eq(&second)));
    known.record_failure(&first, now);
    for _ in 0..3 {
        expect_that!(known.next_reader(now), some(eq(&second)));
    }
    known.record_failure(&second, now);
    expect_that!(known.next_reader(now), none());
    let later = now + Duration::from_secs(2);
    expect_that!(known.next_reader(later), some(anything()));
}

/// A follower as it starts, with a reader's address.
fn starting(first_start: bool) -> (Schedule, Arc<str>) {
    let listed = boxes(9);
    let first = choose_readers(&listed, "d")[0].address.clone();
    let settings = Settings::new(Duration::from_secs(3), first_start);
    let mut known = Schedule::new(settings, ms(0));
    known.set_boxes(&listed, "joined", "d");
    (known, first)
}

/// A box that starts beside others asks its readers first: before, each of 195 boxes made 13
/// calls to the table at its start.
#[gtest]
fn a_box_that_starts_gives_its_readers_a_moment_before_it_reads_by_itself() {
    let (mut known, reader) = starting(false);
    expect_that!(known.polling(ms(100)), eq(Polling::Paused));
    // They may be starting too: one that is not up yet is asked again soon.
    known.record_failure(&reader, ms(100));
    let again = (100..300).find(|at| known.next_reader(ms(*at)) == Some(reader.clone()));
    expect_that!(again, some(lt(200)));
    expect_that!(known.polling(ms(1_000)), eq(Polling::Normal));
    known.record_answer(&reader, Some(ms(0)), ms(1_000));
    expect_that!(known.polling(ms(1_100)), eq(Polling::Paused));
}

/// Nobody else would read for it.
#[gtest]
fn a_box_that_starts_reads_at_once_where_it_is_alone_or_a_reader_and_soon_where_it_knows_nobody() {
    let settings = Settings::new(Duration::from_secs(3), false);
    let mut known = Schedule::new(settings, ms(0));
    expect_that!(known.polling(ms(10)), eq(Polling::Paused));
    expect_that!(known.polling(ms(1_000)), eq(Polling::Normal));
    known.set_boxes(&boxes(4), "b0", "d");
    expect_that!(known.polling(ms(10)), eq(Polling::Normal));
    let reader = choose_readers(&boxes(9), "d")[0].name.clone();
    known.set_boxes(&boxes(9), &reader, "d");
    expect_that!(known.polling(ms(10)), eq(Polling::Frequent));
}

/// Nobody is listed when a whole system starts for the first time.
#[gtest]
fn at_the_very_first_start_everybody_waits_for_the_list_to_fill() {
    let (mut known, reader) = starting(true);
    known.record_answer(&reader, Some(ms(0)), ms(0));
    known.set_boxes(&boxes(4), "b0", "d");
    expect_that!(known.polling(ms(1_000)), eq(Polling::Paused));
    expect_that!(known.polling(ms(3_000)), eq(Polling::Normal));
}

/// What may pass between a change and its taking effect decides how old news may be.
#[gtest]
fn what_readers_tell_is_fresh_for_most_of_the_time_that_a_change_has() {
    for (apply, fresh, stale) in [(3_000, 2_000, 2_400), (6_000, 4_000, 4_800)] {
        let settings = Settings {
            apply: ms(apply),
            ..Settings::default()
        };
        let mut known = Schedule::new(settings, ms(0));
        known.set_boxes(&boxes(9), "joined", "d");
        known.record_answer(&"r".into(), Some(ms(0)), ms(10_000));
        expect_that!(known.polling(ms(10_000 + fresh)), eq(Polling::Paused));
        expect_that!(known.polling(ms(10_000 + stale)), eq(Polling::Normal));
    }
}
