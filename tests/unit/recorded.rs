//! Groups whose members are missing from the list, or known from the table's record alone.

use std::collections::BTreeMap;
use std::sync::Arc;

use googletest::prelude::*;
use larkfall::borders::member::Role;
use larkfall::decisions::confirmation::Outcome;
use larkfall::decisions::group::{Action, Event};
use larkfall::declarations::snapshot::Plan;

use super::fake::{ms, new_group};
use super::lease::{Fixture, member, plan, status};

/// Returns the record of some members.
fn record(members: &[usize]) -> BTreeMap<Arc<str>, Arc<str>> {
    let entry = |i: &usize| (format!("m{i}").into(), format!("d{i}").into());
    members.iter().map(entry).collect()
}

/// Returns a plan in which some members are listed and some are recorded.
fn partly_listed(listed: &[usize], recorded: &[usize]) -> Arc<Plan> {
    let listed = listed.iter().map(|i| member(*i, false)).collect();
    Arc::new(Plan {
        recorded: record(recorded),
        ..Plan::clone(&plan(listed))
    })
}

fn is_served(fixture: &Fixture, request: u64) -> bool {
    let assigned = |action: &Action| matches!(action, Action::Assign { id, .. } if *id == request);
    fixture.count_actions(assigned) > 0
}

/// Lets time pass while a single member answers.
fn answer_alone(fixture: &mut Fixture, member: usize, rounds: usize) {
    for _ in 0..rounds {
        fixture.advance(ms(100));
        fixture.report(member, status(Role::Primary, 1, 1, 10));
    }
}

/// Guards against a replaced primary that a starting box takes for the whole group, because its
/// entry is the first one back in the list.
#[gtest]
fn a_primary_that_is_listed_alone_is_no_majority_of_the_recorded_members() {
    let plan = partly_listed(&[0], &[0, 1, 2]);
    let mut fixture = Fixture::with_plan(plan, 0, ms(0));
    answer_alone(&mut fixture, 0, 60);
    fixture.submit_write(1);
    fixture.record_write(2);
    fixture.submit_read(3, ms(2_500));
    answer_alone(&mut fixture, 0, 10);
    expect_that!(is_served(&fixture, 1), eq(false));
    expect_that!(fixture.outcome(2), not(some(eq(Outcome::Confirmed))));
    expect_that!(is_served(&fixture, 3), eq(false));
}

/// Guards against a majority that shrinks to the one member whose entry hasn't lapsed.
#[gtest]
fn a_lone_survivor_of_the_list_is_no_majority_however_long_the_others_are_missing() {
    let mut fixture = Fixture::new(0);
    fixture
        .group
        .set_plan(partly_listed(&[0], &[]), fixture.now);
    answer_alone(&mut fixture, 0, 60);
    fixture.record_write(1);
    answer_alone(&mut fixture, 0, 10);
    expect_that!(fixture.outcome(1), not(some(eq(Outcome::Confirmed))));
    expect_that!(fixture.group.present().collect::<Vec<_>>(), eq(&[0, 1, 2]));
}

/// Guards against a group that forgets its members while none of them is listed.
#[gtest]
fn a_group_keeps_its_members_while_none_is_listed() {
    let mut fixture = Fixture::new(0);
    fixture.group.set_plan(partly_listed(&[], &[]), fixture.now);
    fixture.advance(ms(100));
    fixture
        .group
        .set_plan(partly_listed(&[0], &[]), fixture.now);
    answer_alone(&mut fixture, 0, 60);
    expect_that!(fixture.group.majority(), eq(2));
    let all = partly_listed(&[0, 1, 2], &[]);
    fixture.group.set_plan(all, fixture.now);
    fixture.report_all();
    fixture.record_write(1);
    fixture.report_all();
    expect_that!(fixture.outcome(1), some(eq(Outcome::Confirmed)));
}

/// Returns a group whose replicas were lost 3 s ago, at a box that has asked the others.
fn lost_replicas() -> Fixture {
    let mut fixture = Fixture::new(0);
    fixture
        .group
        .set_plan(partly_listed(&[0], &[]), fixture.now);
    answer_alone(&mut fixture, 0, 60);
    let members = record(&[1, 2]).into_keys().collect();
    let asked = Action::ConfirmLosses { members };
    expect_that!(fixture.actions, contains(eq(&asked)));
    fixture.actions.clear();
    fixture
}

/// Confirms the loss of both replicas; `claimed` is the term for whose replacement a box claimed the duty.
fn confirm_losses(fixture: &mut Fixture, claimed: Option<u64>) {
    let members = record(&[1, 2]).into_keys().collect();
    fixture.handle(Event::LossesConfirmed { members, claimed });
}

/// Guards against a primary that is never served again after both replicas are lost for good.
#[gtest]
fn a_group_goes_on_without_members_that_are_confirmed_as_lost() {
    let mut fixture = lost_replicas();
    confirm_losses(&mut fixture, Some(0));
    fixture.record_write(1);
    answer_alone(&mut fixture, 0, 1);
    expect_that!(fixture.outcome(1), some(eq(Outcome::Confirmed)));
}

/// Guards against a primary that serves again although one of the lost members may have been
/// promoted.
#[gtest]
fn a_primary_whose_term_was_claimed_is_promoted_anew_before_it_is_used() {
    let mut fixture = lost_replicas();
    confirm_losses(&mut fixture, Some(1));
    answer_alone(&mut fixture, 0, 1);
    fixture.submit_write(1);
    expect_that!(is_served(&fixture, 1), eq(false));
    answer_alone(&mut fixture, 0, 20);
    expect_that!(fixture.actions, contains(eq(&Action::ClaimDuty)));
}

/// Guards against a group that goes on without a member that answers, or is listed again.
#[gtest]
fn a_confirmed_loss_is_void_once_the_member_is_listed_again() {
    let mut fixture = lost_replicas();
    fixture
        .group
        .set_plan(partly_listed(&[0, 1], &[]), fixture.now);
    confirm_losses(&mut fixture, None);
    expect_that!(fixture.group.majority(), eq(2));
}

/// Guards against a group that stays without a majority after its lost members were replaced.
#[gtest]
fn recorded_members_are_given_up_once_the_others_are_a_majority() {
    let plan = partly_listed(&[0, 1, 3], &[0, 1, 2]);
    let mut fixture = Fixture::with_plan(plan, 0, ms(0));
    expect_that!(fixture.group.majority(), eq(3));
    for _ in 0..40 {
        fixture.advance(ms(100));
        fixture.report_all();
    }
    expect_that!(fixture.group.majority(), eq(2));
}

/// Guards against reads and writes sent to a primary whose replacement another member follows.
#[gtest]
fn a_primary_is_not_used_once_a_member_follows_a_later_term() {
    let mut fixture = Fixture::new(0);
    fixture.report(1, status(Role::Replica, 2, 2, 12));
    fixture.submit_write(1);
    expect_that!(is_served(&fixture, 1), eq(false));
    fixture.report(2, status(Role::Primary, 2, 2, 12));
    expect_that!(is_served(&fixture, 1), eq(true));
}

/// Guards against members that stay in a group although an operator has removed them: where members
/// are declared, none is missing by accident.
#[gtest]
fn members_that_an_operator_removes_leave_the_group_at_once() {
    let mut group = new_group();
    let first = group.plan.members[0].clone();
    let plan = Arc::new(Plan {
        members: vec![first],
        ..Plan::clone(&group.plan)
    });
    group.set_plan(plan, ms(10));
    group.handle(Event::Tick, ms(20));
    expect_that!(group.present().collect::<Vec<_>>(), eq(&[0]));
    expect_that!(group.majority(), eq(1));
}

/// Guards against records that name members which may not exist, or that are written without need.
#[gtest]
fn members_are_recorded_once_they_have_answered_and_only_if_they_differ() {
    let recorded = |fixture: &Fixture| {
        let recorded = fixture.actions.iter().filter_map(|action| match action {
            Action::RecordMembers { members } => Some(members.clone()),
            _ => None,
        });
        recorded.collect::<Vec<_>>()
    };
    let mut fixture = Fixture::with_plan(partly_listed(&[0, 1, 2, 3], &[]), 0, ms(0));
    fixture.report_all();
    fixture.advance(ms(1_200));
    expect_that!(recorded(&fixture), eq(&vec![record(&[0, 1, 2])]));
    let written = partly_listed(&[0, 1, 2, 3], &[0, 1, 2]);
    fixture.group.set_plan(written, fixture.now);
    fixture.actions.clear();
    for _ in 0..100 {
        fixture.advance(ms(100));
        fixture.report_all();
    }
    expect_that!(recorded(&fixture), is_empty());
    fixture.report(3, status(Role::Replica, 1, 1, 10));
    fixture.handle(Event::Tick);
    fixture.advance(ms(1_200));
    expect_that!(recorded(&fixture), eq(&vec![record(&[0, 1, 2, 3])]));
}
