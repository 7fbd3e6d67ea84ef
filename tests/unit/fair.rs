use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::decisions::fair::{Admission, Fair};

const MS: Duration = Duration::from_millis(1);

fn partner(name: &str) -> Arc<str> {
    name.into()
}

#[gtest]
fn a_flooding_partner_does_not_push_back_another() {
    let mut fair = Fair::new(1, MS);
    let (flood, quiet) = (partner("a"), partner("b"));
    for id in 0..100 {
        fair.arrive(id, &flood, 1, MS, MS * 10_000);
    }
    fair.arrive(1_000, &quiet, 1, MS, MS * 10_000);
    let order: Vec<Option<u64>> = (0..3).map(|_| fair.release(MS)).collect();
    expect_that!(order, contains(some(eq(&1_000))));
}

#[gtest]
fn weights_share_the_places() {
    let mut fair = Fair::new(1, MS);
    for id in 0..300 {
        fair.arrive(id, &partner("a"), 3, MS, MS * 10_000);
        fair.arrive(1_000 + id, &partner("b"), 1, MS, MS * 10_000);
    }
    let served = (0..200).filter_map(|_| fair.release(MS));
    let light = served.filter(|id| *id >= 1_000).count();
    expect_that!(light, all![ge(45), le(55)]);
}

#[gtest]
fn who_would_wait_past_the_deadline_is_refused_at_once_with_the_time() {
    let mut fair = Fair::new(1, MS * 10);
    let a = partner("a");
    expect_that!(fair.arrive(1, &a, 1, MS, MS * 100), eq(Admission::Run));
    expect_that!(fair.arrive(2, &a, 1, MS, MS * 100), eq(Admission::Wait));
    let refused = fair.arrive(3, &a, 1, MS, MS * 15);
    expect_that!(
        refused,
        eq(Admission::Refuse {
            retry_after: MS * 20
        })
    );
}

#[gtest]
fn the_late_are_taken_out_and_the_withdrawn_are_not_served() {
    let mut fair = Fair::new(1, MS);
    let a = partner("a");
    for id in 0..4 {
        fair.arrive(id, &a, 1, MS, MS * (10 * (id as u32 + 1)));
    }
    expect_that!(fair.withdraw(2), eq(true));
    expect_that!(fair.expire(MS * 25), elements_are![eq(&1)]);
    // One that could only be answered late is taken out before its deadline.
    fair.arrive(9, &a, 1, MS * 25, MS * 31);
    expect_that!(fair.expire(MS * 30 + MS / 2), elements_are![eq(&9)]);
    expect_that!(fair.release(MS), some(eq(3)));
    expect_that!(fair.release(MS), none());
}
