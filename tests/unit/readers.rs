//! Choice of the boxes that poll the table, and of those that follow a reader.

use std::collections::BTreeMap;
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

/// Returns the schedule of a follower, and a reader's address.
fn follower(boxes: &[Listing]) -> (Schedule, Arc<str>) {
    let chosen = choose_readers(boxes, "d");
    let first = chosen[0].address.clone();
    let chosen: Vec<&Arc<str>> = chosen.iter().map(|reader| &reader.name).collect();
    let follower = boxes.iter().find(|l| !chosen.contains(&&l.name));
    let mut schedule = Schedule::default();
    schedule.set_boxes(boxes, &follower.expect("not all are readers").name, "d");
    (schedule, first)
}

#[gtest]
fn in_small_failure_domains_every_box_polls_for_itself() {
    let mut schedule = Schedule::default();
    schedule.set_boxes(&boxes(4), "b0", "d");
    expect_that!(schedule.polling(ms(0)), eq(Polling::Normal));
    expect_that!(schedule.next_reader(ms(0)), none());
    expect_that!(choose_readers(&boxes(4), "d"), is_empty());
}

#[gtest]
fn in_large_failure_domains_the_boxes_with_the_fastest_links_are_readers() {
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
    let mut schedule = Schedule::default();
    schedule.set_boxes(&boxes(27), &choose_readers(&boxes(27), "d")[0].name, "d");
    expect_that!(schedule.polling(ms(0)), eq(Polling::Frequent));
}

#[gtest]
fn a_follower_pauses_polling_only_while_its_state_is_recent() {
    let (mut schedule, reader) = follower(&boxes(9));
    expect_that!(schedule.polling(ms(0)), eq(Polling::Normal));
    schedule.record_answer(&reader, Some(ms(500)), ms(10_000));
    expect_that!(schedule.polling(ms(10_000)), eq(Polling::Paused));
    let stale_after = schedule.paused_until();
    expect_that!(stale_after, lt(ms(12_500)));
    expect_that!(schedule.polling(stale_after), eq(Polling::Normal));
    // A stale answer doesn't pause polling.
    schedule.record_answer(&reader, Some(ms(5_000)), ms(20_000));
    schedule.record_answer(&reader, None, ms(20_000));
    expect_that!(schedule.polling(ms(20_000)), eq(Polling::Normal));
}

/// A change of reader costs a transfer of all rows, as each reader counts changes by itself.
#[gtest]
fn a_follower_keeps_its_reader_until_it_fails_or_is_stale() {
    let (mut schedule, _) = follower(&boxes(9));
    let now = ms(1_000);
    let first = schedule.next_reader(now).unwrap();
    for step in 0..100 {
        let now = ms(1_000 + step * 10);
        schedule.record_answer(&first, Some(ms(500)), now);
        expect_that!(schedule.next_reader(now), some(eq(&first)));
    }
    let now = ms(3_000);
    // The reader still answers, but the table doesn't answer it.
    schedule.record_answer(&first, None, now);
    let second = schedule.next_reader(now).unwrap();
    expect_that!(second, not(eq(&first)));
    for _ in 0..3 {
        expect_that!(schedule.next_reader(now), some(eq(&second)));
    }
    schedule.record_failure(&second, now);
    expect_that!(schedule.next_reader(now), none());
    let later = now + Duration::from_secs(2);
    expect_that!(schedule.next_reader(later), some(anything()));
    // A reader that is no longer chosen is not asked again.
    schedule.set_boxes(&boxes(4), "joined", "d");
    expect_that!(schedule.next_reader(later), none());
}

#[gtest]
fn followers_are_spread_over_the_readers() {
    let listed = boxes(100);
    let readers: Vec<&str> = choose_readers(&listed, "d")
        .iter()
        .map(|reader| &*reader.name)
        .collect();
    let mut followers: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for listing in listed.iter().filter(|l| !readers.contains(&&*l.name)) {
        let mut schedule = Schedule::default();
        schedule.set_boxes(&listed, &listing.name, "d");
        let reader = schedule.next_reader(ms(0)).unwrap();
        *followers.entry(reader).or_default() += 1;
    }
    expect_that!(followers.len(), eq(readers.len()));
    expect_that!(followers.values().max(), some(le(&30)));
}

/// The number of readers, and with it that of calls to the table, follows from the bytes that they
/// pass on, and not from the number of boxes alone.
#[gtest]
fn readers_with_fast_links_serve_more_boxes() {
    for count in [100, 200, 400, 800] {
        let mut listed = boxes(count);
        listed.extend((0..10).map(|i| listing(1_000 + i, "d", 1_000)));
        expect_that!(choose_readers(&listed, "d").len(), eq(5));
    }
}

/// Returns the schedule of a starting follower, and a reader's address.
fn starting_follower(first_start: bool) -> (Schedule, Arc<str>) {
    let listed = boxes(9);
    let first = choose_readers(&listed, "d")[0].address.clone();
    let settings = Settings::new(Duration::from_secs(3), first_start);
    let mut schedule = Schedule::new(settings, ms(0));
    schedule.set_boxes(&listed, "joined", "d");
    (schedule, first)
}

/// Guards against many table calls when all boxes of a large system start.
#[gtest]
fn a_starting_box_waits_for_its_readers_before_it_polls() {
    let (mut schedule, _) = starting_follower(false);
    expect_that!(schedule.polling(ms(100)), eq(Polling::Paused));
    let reader = schedule.next_reader(ms(100)).unwrap();
    // Readers that fail are asked again soon, as they may be starting too.
    for reader in choose_readers(&boxes(9), "d") {
        schedule.record_failure(&reader.address, ms(100));
    }
    let retried_at = (100..300).find(|at| schedule.next_reader(ms(*at)) == Some(reader.clone()));
    expect_that!(retried_at, some(lt(200)));
    expect_that!(schedule.polling(ms(1_000)), eq(Polling::Normal));
    schedule.record_answer(&reader, Some(ms(0)), ms(1_000));
    expect_that!(schedule.polling(ms(1_100)), eq(Polling::Paused));
}

/// Guards against all boxes of a large system reading all rows from the table, because their readers
/// need longer than a fixed time to read and pass on the rows.
#[gtest]
fn a_starting_box_waits_while_its_first_state_is_on_its_way() {
    for transfer_time in [500, 5_000, 50_000] {
        let (mut schedule, reader) = starting_follower(false);
        // The reader starts at the same time, and then passes on its rows.
        for at in (0..400).step_by(60) {
            schedule.record_answer(&reader, None, ms(at));
        }
        for at in (400..400 + transfer_time).step_by(200) {
            expect_that!(schedule.polling(ms(at)), eq(Polling::Paused));
            schedule.record_progress(ms(at));
        }
        // A transfer that stops delays polling only briefly.
        let stopped = 400 + transfer_time + 500;
        expect_that!(schedule.polling(ms(stopped)), eq(Polling::Normal));
    }
}

#[gtest]
fn a_starting_box_polls_if_its_readers_are_cut_off_from_the_table() {
    let (mut schedule, reader) = starting_follower(false);
    let polls_at = (0..10_000).find(|at| {
        schedule.record_answer(&reader, None, ms(*at));
        schedule.polling(ms(*at)) == Polling::Normal
    });
    // The time to apply changes is three seconds.
    expect_that!(polls_at, some(lt(3_000)));
}

#[gtest]
fn a_starting_box_polls_at_once_unless_it_is_a_follower_or_knows_no_boxes() {
    let settings = Settings::new(Duration::from_secs(3), false);
    let mut schedule = Schedule::new(settings, ms(0));
    expect_that!(schedule.polling(ms(10)), eq(Polling::Paused));
    expect_that!(schedule.polling(ms(1_000)), eq(Polling::Normal));
    schedule.set_boxes(&boxes(4), "b0", "d");
    expect_that!(schedule.polling(ms(10)), eq(Polling::Normal));
    let reader = choose_readers(&boxes(9), "d")[0].name.clone();
    schedule.set_boxes(&boxes(9), &reader, "d");
    expect_that!(schedule.polling(ms(10)), eq(Polling::Frequent));
}

/// The list of boxes is still empty when a whole system starts for the first time.
#[gtest]
fn on_the_first_start_every_box_waits_for_the_list_to_fill() {
    let (mut schedule, reader) = starting_follower(true);
    schedule.record_answer(&reader, Some(ms(0)), ms(0));
    schedule.set_boxes(&boxes(4), "b0", "d");
    expect_that!(schedule.polling(ms(1_000)), eq(Polling::Paused));
    expect_that!(schedule.polling(ms(3_000)), eq(Polling::Normal));
}

#[gtest]
fn the_maximum_age_of_a_readers_state_follows_from_the_time_to_apply_changes() {
    for (apply, recent, stale_after) in [(3_000, 2_000, 2_400), (6_000, 4_000, 4_800)] {
        let settings = Settings {
            apply: ms(apply),
            ..Settings::default()
        };
        let mut schedule = Schedule::new(settings, ms(0));
        schedule.set_boxes(&boxes(9), "joined", "d");
        schedule.record_answer(&"r".into(), Some(ms(0)), ms(10_000));
        expect_that!(schedule.polling(ms(10_000 + recent)), eq(Polling::Paused));
        expect_that!(
            schedule.polling(ms(10_000 + stale_after)),
            eq(Polling::Normal)
        );
    }
}
