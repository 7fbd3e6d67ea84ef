use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::borders::table::Revision;
use larkfall::borders::upstream::{Begin, Opening, Prepared, Setup};
use larkfall::decisions::duty::{Ballot, Claim, Duty, next_duty};
use larkfall::decisions::latency::Latency;
use larkfall::decisions::setup::{State, Step};

fn setup(values: &[(&str, &str)], prepared: Option<&str>) -> Setup {
    let values = values
        .iter()
        .map(|(name, value)| (Arc::from(*name), Arc::from(*value)));
    Setup {
        values: Arc::new(values.collect::<BTreeMap<_, _>>()),
        prepared: prepared.map(|name| Prepared {
            name: name.into(),
            text: "READ q".into(),
        }),
        opening: None,
    }
}

fn state_after(setup: &Setup) -> State {
    let mut state = State::default();
    for step in state.steps_to(setup) {
        state.record(&step);
    }
    state
}

#[gtest]
fn a_connection_is_brought_to_the_sessions_values_and_no_others() {
    let first = setup(&[("lang", "es")], Some("p1"));
    let state = state_after(&first);
    expect_that!(state.steps_to(&first), is_empty());
    let more = setup(&[("lang", "es"), ("zone", "a")], Some("p1"));
    expect_that!(state.steps_to(&more).len(), eq(1));
    let other = setup(&[("zone", "a")], Some("p1"));
    let steps = state.steps_to(&other);
    expect_that!(steps[0], eq(&Step::Reset));
    // The reset also drops the prepared statement.
    expect_that!(steps.len(), eq(3));
}

#[gtest]
fn a_transaction_opens_last() {
    let mut with_begin = setup(&[("lang", "es")], Some("p1"));
    with_begin.opening = Some(Opening {
        begin: Begin::ReadOnly,
        id: "7".into(),
    });
    let steps = State::default().steps_to(&with_begin);
    expect_that!(steps.last(), some(matches_pattern!(Step::Open(_))));
}

#[gtest]
fn a_statement_that_the_member_lost_is_prepared_again() {
    let first = setup(&[], Some("p1"));
    let mut state = state_after(&first);
    state.forget_prepared(first.prepared.as_ref().expect("prepared"));
    expect_that!(state.steps_to(&first).len(), eq(1));
}

fn ballot(replaced: u64, term_offset: u64) -> Ballot {
    Ballot {
        replaced,
        term_offset,
    }
}

#[gtest]
fn generations_rise_with_each_holder_and_are_never_shared() {
    let (a, b): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
    let first = next_duty(None, &a, &ballot(1, 1));
    expect_that!(next_duty(Some(&first), &a, &ballot(1, 1)), eq(&first));
    let second = next_duty(Some(&first), &b, &ballot(1, 1));
    expect_that!(second.generation, gt(first.generation));
    let third = next_duty(Some(&second), &a, &ballot(1, 1));
    expect_that!(third.generation, gt(second.generation));
    // A group that is created again starts its terms from the beginning.
    let recreated = next_duty(Some(&third), &b, &ballot(0, 1));
    expect_that!(recreated.generation, gt(third.generation));
    // Two boxes that follow the same known duty get different generations.
    let known = Duty {
        holder: "c".into(),
        ..first
    };
    let by_a = next_duty(Some(&known), &a, &ballot(1, 1)).generation;
    expect_that!(
        next_duty(Some(&known), &b, &ballot(1, 1)).generation,
        not(eq(by_a))
    );
}

#[gtest]
fn a_claim_is_not_current_once_another_box_has_claimed_the_duty() {
    let (a, b): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
    let at = |revision, duty: Duty| Duty { revision, ..duty };
    let claim = |duty: &Duty| Claim {
        duty: duty.clone(),
        unconfirmed: false,
    };
    let first = at(5.into(), next_duty(None, &a, &ballot(1, 1)));
    expect_that!(claim(&first).is_current(None), eq(true));
    expect_that!(claim(&first).is_current(Some(&first)), eq(true));
    let second = at(6.into(), next_duty(Some(&first), &b, &ballot(1, 2)));
    expect_that!(claim(&first).is_current(Some(&second)), eq(false));
    expect_that!(claim(&second).is_current(Some(&first)), eq(true));
}

/// A table that was restored from an older copy lacks the claim, so another box may claim the duty
/// there while the holder still gives orders.
#[gtest]
fn a_claim_is_not_current_after_the_table_was_restored_from_an_older_copy() {
    let a: Arc<str> = "a".into();
    let at = |revision, duty: Duty| Duty { revision, ..duty };
    let first = at(Revision::new(1, 5), next_duty(None, &a, &ballot(1, 1)));
    let claim = Claim {
        duty: first.clone(),
        unconfirmed: false,
    };
    expect_that!(claim.is_current(Some(&first)), eq(true));
    let restored = at(Revision::new(2, 3), first);
    expect_that!(claim.is_current(Some(&restored)), eq(false));
}

/// Guards against a later order with a lower generation than one of a box that was cut off from
/// the table.
#[gtest]
fn a_later_order_has_the_higher_generation_also_after_one_without_the_table() {
    // The first box, whose name hashes to the greater slot, is cut off from the table. The second,
    // whose ballot comes later, can't know the first one's generation, but has seen its term at
    // the members.
    let claim = |known: Option<&Duty>, holder: &str| Claim {
        duty: next_duty(known, &holder.into(), &ballot(3, 1)),
        unconfirmed: true,
    };
    let first = claim(None, "edge-santiago-a-3");
    let second = claim(None, "edge-santiago-b-2");
    let number = first.generation(&ballot(3, 1));
    expect_that!(second.generation(&ballot(3, 3)), gt(number));
    // The same if the second box has held the duty all along and the first box claimed it
    // next without the table.
    let held = claim(None, "edge-santiago-b-2").duty;
    let first = claim(Some(&held), "edge-santiago-a-3");
    let number = first.generation(&ballot(3, 2));
    let second = claim(Some(&held), "edge-santiago-b-2");
    expect_that!(second.generation(&ballot(3, 3)), gt(number));
    // The same after the promotion, whatever the terms of later ballots.
    expect_that!(second.generation(&ballot(4, 1)), gt(number));
    // The next holder's generation is above all generations of the previous holder.
    let next = next_duty(
        Some(&first.duty),
        &"edge-santiago-b-2".into(),
        &ballot(1, 1),
    );
    expect_that!(next.generation, gt(first.duty.generation));
}

#[gtest]
fn the_latency_of_a_slow_member_decays() {
    let at = Duration::from_millis;
    let mut latency = Latency::new(at(15));
    latency.record_timeout(at(500), at(1_000));
    expect_that!(latency.mean(at(1_000)), eq(at(500)));
    expect_that!(latency.mean(at(2_000)), lt(at(260)));
    expect_that!(latency.mean(at(12_000)), lt(at(20)));
    for i in 0..40 {
        latency.record_answer(at(10), at(12_000 + i));
    }
    expect_that!(latency.mean(at(12_040)), lt(at(12)));
}
