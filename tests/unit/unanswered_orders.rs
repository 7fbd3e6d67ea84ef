//! Orders to promote that got no answer and may still be carried out: decisions of one group with
//! the platform's settings.

use googletest::prelude::*;
use larkfall::borders::member::{MemberError, Role};
use larkfall::decisions::confirmation::Outcome;
use larkfall::decisions::group::{Action, Event};

use super::fake::ms;
use super::lease::{Fixture, member, plan, status};

/// Runs a ballot up to its order, for which the box gets this answer.
fn fail_promotion(fixture: &mut Fixture, error: MemberError) {
    fixture.start_ballot();
    fixture.grant_fence(1, 10);
    fixture.grant_fence(2, 10);
    let term = fixture.ballot_term();
    fixture.handle(Event::LeasesRevoked { term });
    expect_that!(
        fixture.actions,
        contains(eq(&Action::Promote { member: 1, term }))
    );
    let answer = Err(error);
    fixture.handle(Event::Promoted { term, answer });
    // The old primary is reached again.
    fixture.report(0, status(Role::Primary, 1, 1, 10));
}

fn unresolved() -> MemberError {
    MemberError::Unresolved("no answer in time".to_owned())
}

/// Reports the old primary as leading and both replicas as fenced, for some time.
fn report_fences(fixture: &mut Fixture, fence: u64, rounds: usize) {
    for _ in 0..rounds {
        fixture.now += ms(50);
        fixture.report(0, status(Role::Primary, 1, 1, 10));
        fixture.report(1, status(Role::Replica, 1, fence, 10));
        fixture.report(2, status(Role::Replica, 1, fence, 10));
    }
}

/// Reports fences until the box claims the duty once more than `before`.
fn report_fences_until_claim(fixture: &mut Fixture, fence: u64, before: usize) {
    for _ in 0..400 {
        report_fences(fixture, fence, 1);
        if claims(fixture) > before {
            return;
        }
    }
    panic!("no ballot follows the fences");
}

fn releases(fixture: &Fixture) -> usize {
    fixture.count_actions(|a| matches!(a, Action::ReleaseFence { .. }))
}

fn claims(fixture: &Fixture) -> usize {
    fixture.count_actions(|a| *a == Action::ClaimDuty)
}

/// Guards against going on with the old primary after an order that got no answer: when the order
/// is carried out later, the old primary's acknowledged writes are lost.
#[gtest]
fn an_unanswered_order_keeps_its_fences_and_is_followed_by_another_ballot() {
    let mut fixture = Fixture::new(0);
    fail_promotion(&mut fixture, unresolved());
    let fence = fixture.ballot_term();
    let before = claims(&fixture);
    report_fences(&mut fixture, fence, 400);
    expect_that!(releases(&fixture), eq(0));
    fixture.record_write(1);
    expect_that!(fixture.outcome(1), not(some(eq(Outcome::Confirmed))));
    expect_that!(claims(&fixture), gt(before));
}

/// Guards against a box that takes another box's order for void because time has passed. The
/// ordering box may have ended.
#[gtest]
fn a_majority_of_another_boxs_fences_is_followed_by_a_ballot() {
    for rank in 0..3 {
        let mut fixture = Fixture::new(rank);
        report_fences(&mut fixture, 9, 400);
        expect_that!(releases(&fixture), eq(0));
        fixture.record_write(1);
        expect_that!(fixture.outcome(1), not(some(eq(Outcome::Confirmed))));
        expect_that!(claims(&fixture), gt(0));
    }
}

/// Guards against writes that wait for an order that was never sent.
#[gtest]
fn the_fences_of_an_order_that_was_not_sent_are_released_at_once() {
    let refused = MemberError::InvalidAnswer("409".to_owned());
    let unsent = MemberError::Unsent("connection refused".to_owned());
    for error in [refused, unsent] {
        let mut fixture = Fixture::new(0);
        fail_promotion(&mut fixture, error);
        let term = fixture.ballot_term();
        report_fences(&mut fixture, term, 5);
        for member in [1, 2] {
            expect_that!(
                fixture.actions,
                contains(eq(&Action::ReleaseFence { member, term }))
            );
        }
        fixture.report_all();
        fixture.record_write(1);
        expect_that!(fixture.outcome(1), some(eq(Outcome::Confirmed)));
    }
}

/// A later ballot of the same box must not make its earlier order forgotten.
#[gtest]
fn an_earlier_unanswered_order_keeps_the_fences_of_a_later_ballot() {
    let mut fixture = Fixture::new(0);
    fail_promotion(&mut fixture, unresolved());
    let unsent = MemberError::Unsent("connection refused".to_owned());
    let fence = fixture.ballot_term();
    let before = claims(&fixture);
    report_fences_until_claim(&mut fixture, fence, before);
    fixture.handle(Event::DutyClaimed { won: true });
    let term = fixture.ballot_term();
    expect_that!(term, gt(fence));
    fixture.grant_fence(1, 10);
    fixture.grant_fence(2, 10);
    fixture.handle(Event::LeasesRevoked { term });
    let answer = Err(unsent);
    fixture.handle(Event::Promoted { term, answer });
    report_fences(&mut fixture, term, 60);
    expect_that!(releases(&fixture), eq(0));
}

/// Guards against a ballot that takes over another box's fences, sends no order of its own, and
/// releases the fences on which the other box's order relies.
#[gtest]
fn a_ballot_after_another_boxs_fences_releases_none() {
    let mut fixture = Fixture::new(0);
    report_fences_until_claim(&mut fixture, 9, 0);
    fixture.handle(Event::DutyClaimed { won: true });
    let term = fixture.ballot_term();
    fixture.grant_fence(1, 10);
    fixture.grant_fence(2, 10);
    fixture.handle(Event::LeasesRevoked { term });
    let answer = Err(MemberError::Unsent("connection refused".to_owned()));
    fixture.handle(Event::Promoted { term, answer });
    report_fences(&mut fixture, term, 60);
    expect_that!(releases(&fixture), eq(0));
}

/// Guards against a box that can't reach the platform, but holds on to the duty.
#[gtest]
fn a_box_whose_order_has_no_outcome_leaves_the_duty_to_the_others() {
    let unsent = MemberError::Unsent("connection refused".to_owned());
    for error in [unresolved(), unsent] {
        let mut fixture = Fixture::new(0);
        let ordered = matches!(error, MemberError::Unresolved(_)).then_some(1);
        fail_promotion(&mut fixture, error);
        expect_that!(
            fixture.actions,
            contains(eq(&Action::ResignDuty { ordered }))
        );
        let before = claims(&fixture);
        // Also when the others fail in turn: two boxes must not order alternately.
        fixture.handle(Event::DutyResigned { ordered: None });
        fixture.handle(Event::ConnectionLost { member: 0 });
        for _ in 0..60 {
            fixture.now += ms(50);
            fixture.report(1, status(Role::Replica, 1, 1, 10));
            fixture.report(2, status(Role::Replica, 1, 1, 10));
        }
        expect_that!(claims(&fixture), eq(before));
    }
}

/// Guards against boxes that wait for the ballot of a box that has given it up.
#[gtest]
fn a_box_acts_at_once_after_the_holder_of_the_duty_resigned() {
    let mut fixture = Fixture::new(1);
    fixture.handle(Event::DutyTakenElsewhere);
    report_fences(&mut fixture, 9, 10);
    expect_that!(claims(&fixture), eq(0));
    fixture.handle(Event::DutyResigned { ordered: None });
    report_fences(&mut fixture, 9, 10);
    expect_that!(claims(&fixture), gt(0));
}

/// Guards against a box that finishes another box's promotion with another member: the first box's
/// order, which had no answer, would then replace the new primary.
#[gtest]
fn boxes_promote_the_same_of_two_members_with_equal_logs() {
    let mut in_order = Fixture::new(0);
    let mut joined_later =
        Fixture::with_plan(plan(vec![member(0, false), member(2, false)]), 0, ms(0));
    let members = (0..3).map(|i| member(i, false)).collect();
    let now = joined_later.now;
    joined_later.group.set_plan(plan(members), now);
    joined_later.report_all();
    for fixture in [&mut in_order, &mut joined_later] {
        fixture.start_ballot();
        fixture.grant_fence(1, 10);
        fixture.grant_fence(2, 10);
        let term = fixture.ballot_term();
        fixture.handle(Event::LeasesRevoked { term });
        let promoted = fixture.actions.iter().find_map(|action| match action {
            Action::Promote { member, .. } => Some(*member),
            _ => None,
        });
        let promoted = promoted.expect("a member is promoted");
        let name = &fixture.group.plan.members[promoted].name;
        expect_that!(**name, eq("m1"));
    }
}

/// Guards against a box that takes over from one that resigned, and promotes another member than the
/// unanswered order names.
#[gtest]
fn a_box_that_takes_over_promotes_the_member_that_was_ordered() {
    // Entries that only the other member has received may be lost.
    for received in [10, 12] {
        let mut fixture = Fixture::new(1);
        report_fences(&mut fixture, 9, 2);
        let ordered = Some("m2".into());
        fixture.handle(Event::DutyResigned { ordered });
        report_fences_until_claim(&mut fixture, 9, 0);
        fixture.handle(Event::DutyClaimed { won: true });
        fixture.grant_fence(1, received);
        fixture.grant_fence(2, 10);
        let term = fixture.ballot_term();
        fixture.handle(Event::LeasesRevoked { term });
        expect_that!(
            fixture.actions,
            contains(eq(&Action::Promote { member: 2, term }))
        );
    }
}
