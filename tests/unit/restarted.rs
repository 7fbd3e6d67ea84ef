//! Members that restart under the same name: nothing that was known of them before counts.

use googletest::prelude::*;
use larkfall::borders::member::Role;
use larkfall::decisions::confirmation::Outcome;
use larkfall::decisions::group::{Action, Event, Note};
use larkfall::declarations::resource::Member;
use serde_json::json;

use super::fake::ms;
use super::lease::{Fixture, member, plan, status};

/// Returns a member whose process started at `started_at`.
fn member_started_at(i: usize, started_at: u64) -> Member {
    let mut fields = serde_json::to_value(member(i, false)).expect("a member serialises");
    fields["born"] = json!(started_at);
    serde_json::from_value(fields).expect("a member")
}

/// Returns a group whose members started at 1 and were all probed.
fn probed_group() -> Fixture {
    let members = (0..3).map(|i| member_started_at(i, 1)).collect();
    let mut fixture = Fixture::with_plan(plan(members), 0, ms(0));
    fixture.report_all();
    fixture
}

/// Applies a list with these start times of the members.
fn apply_list(fixture: &mut Fixture, started_at: [u64; 3]) {
    let members = (0..3)
        .map(|i| member_started_at(i, started_at[i]))
        .collect();
    let now = fixture.now;
    fixture.group.set_plan(plan(members), now);
    fixture.handle(Event::Tick);
}

/// Returns the newest index of a member.
fn index_of(fixture: &Fixture, i: usize) -> usize {
    let name = format!("m{i}");
    let members = &fixture.group.plan.members;
    let found = members.iter().rposition(|member| *member.name == *name);
    found.expect("it is listed")
}

fn promotions(fixture: &Fixture) -> usize {
    fixture.count_actions(|action| matches!(action, Action::Promote { .. }))
}

/// Returns the names of the members to which a request was assigned.
fn assigned_to(fixture: &Fixture, wanted: u64) -> Vec<String> {
    let indexes = fixture.actions.iter().filter_map(|action| match action {
        Action::Assign { id, member, .. } if *id == wanted => Some(*member),
        _ => None,
    });
    let name = |index: usize| fixture.group.plan.members[index].name.to_string();
    indexes.map(name).collect()
}

/// Guards against a promotion by a majority that includes a restarted member: it has forgotten
/// its fence and receives what the old primary writes.
#[gtest]
fn a_grant_from_before_a_restart_does_not_count() {
    let mut fixture = probed_group();
    fixture.start_ballot();
    fixture.grant_fence(1, 10);
    fixture.grant_fence(2, 10);
    let term = fixture.ballot_term();
    apply_list(&mut fixture, [1, 1, 2]);
    fixture.handle(Event::LeasesRevoked { term });
    expect_that!(promotions(&fixture), eq(0));
}

#[gtest]
fn a_restarted_member_serves_no_reads_before_it_was_probed() {
    let mut fixture = probed_group();
    apply_list(&mut fixture, [1, 2, 2]);
    fixture.submit_read(1, ms(500));
    expect_that!(assigned_to(&fixture, 1), not(contains(eq("m1"))));
    expect_that!(assigned_to(&fixture, 1), not(contains(eq("m2"))));
}

#[gtest]
fn reports_from_before_a_restart_do_not_renew_the_lease() {
    let mut fixture = probed_group();
    apply_list(&mut fixture, [1, 2, 2]);
    fixture.record_write(1);
    expect_that!(fixture.outcome(1), none());
    for replica in [1, 2] {
        let index = index_of(&fixture, replica);
        fixture.report(index, status(Role::Replica, 1, 1, 11));
    }
    fixture.report(0, status(Role::Primary, 1, 1, 11));
    expect_that!(fixture.outcome(1), some(eq(Outcome::Confirmed)));
}

/// Has the primary write, and a replica report that it received the entry.
fn replicate(fixture: &mut Fixture, replica: usize, index: u64) {
    fixture.now += ms(5);
    fixture.report(0, status(Role::Primary, 1, 1, index));
    fixture.report(replica, status(Role::Replica, 1, 1, index + 1));
    fixture.report(0, status(Role::Primary, 1, 1, index + 1));
}

/// Guards against a lease that is renewed by a member that forgot its fence while the third
/// member, which is unreachable, is being promoted.
#[gtest]
fn a_restarted_member_renews_the_lease_only_once_a_promotion_would_be_visible() {
    let mut fixture = probed_group();
    apply_list(&mut fixture, [1, 2, 1]);
    let replica = index_of(&fixture, 1);
    fixture.advance(ms(900));
    fixture.record_write(1);
    replicate(&mut fixture, replica, 12);
    expect_that!(fixture.outcome(1), none());
    fixture.advance(ms(2_000));
    fixture.record_write(2);
    replicate(&mut fixture, replica, 14);
    expect_that!(fixture.outcome(2), some(eq(Outcome::Confirmed)));
}

/// A restarted primary that lost its log is replaced; one that kept its log is not.
#[gtest]
fn a_restarted_primary_leads_only_with_its_whole_log() {
    for (index, leads) in [(10, true), (3, false)] {
        let mut fixture = probed_group();
        apply_list(&mut fixture, [2, 1, 1]);
        fixture.submit_write(1);
        expect_that!(assigned_to(&fixture, 1), is_empty());
        let primary = index_of(&fixture, 0);
        fixture.report(primary, status(Role::Primary, 1, 1, index));
        fixture.report(1, status(Role::Replica, 1, 1, 10));
        fixture.report(2, status(Role::Replica, 1, 1, 10));
        fixture.submit_write(2);
        expect_that!(!assigned_to(&fixture, 2).is_empty(), eq(leads));
        let claims = fixture.count_actions(|action| matches!(action, Action::ClaimDuty));
        expect_that!(claims > 0, eq(!leads));
    }
}

/// Guards against a late list from a box that only knows the earlier start.
#[gtest]
fn an_older_start_never_replaces_a_newer_one() {
    let mut fixture = probed_group();
    apply_list(&mut fixture, [1, 5, 1]);
    let newest = index_of(&fixture, 1);
    apply_list(&mut fixture, [1, 1, 1]);
    apply_list(&mut fixture, [1, 5, 1]);
    expect_that!(index_of(&fixture, 1), eq(newest));
}

/// Guards against a restarted member whose report is rejected because it lost its log.
#[gtest]
fn a_report_with_a_lower_position_is_accepted_after_a_restart() {
    let mut fixture = probed_group();
    apply_list(&mut fixture, [1, 2, 1]);
    let replica = index_of(&fixture, 1);
    fixture.report(replica, status(Role::Replica, 0, 0, 0));
    let implausible =
        |action: &Action| matches!(action, Action::Log(Note::ImplausibleReport { .. }));
    expect_that!(fixture.count_actions(implausible), eq(0));
    // The member is ordered to follow the primary.
    let follows =
        |action: &Action| matches!(action, Action::Follow { member, .. } if *member == replica);
    expect_that!(fixture.count_actions(follows), gt(0));
}

/// Guards against the promotion of a former primary whose log has diverged.
#[gtest]
fn a_restarted_former_primary_is_not_promoted_for_its_greater_log() {
    let mut fixture = probed_group();
    fixture.report(1, status(Role::Primary, 2, 2, 11));
    fixture.report(0, status(Role::Primary, 1, 1, 40));
    fixture.report(2, status(Role::Replica, 2, 2, 11));
    apply_list(&mut fixture, [2, 1, 1]);
    let former = index_of(&fixture, 0);
    // Waits for the cooldown after the last failover.
    fixture.advance(ms(1_100));
    fixture.handle(Event::ConnectionLost { member: 1 });
    for name in ["b1", "b2"] {
        fixture.handle(Event::OpinionReceived {
            from: name.into(),
            same_domain: false,
            suspects: true,
        });
    }
    fixture.report(former, status(Role::Replica, 1, 2, 40));
    fixture.report(2, status(Role::Replica, 2, 2, 11));
    fixture.advance(ms(20));
    fixture.handle(Event::DutyClaimed { won: true });
    let term = fixture.ballot_term();
    for (member, log_term, index) in [(former, 1, 40), (2, 2, 11)] {
        fixture.handle(Event::Fenced {
            member,
            term,
            answer: Ok(status(Role::Replica, log_term, term, index)),
        });
    }
    fixture.handle(Event::LeasesRevoked { term });
    let promoted = fixture.actions.iter().find_map(|action| match action {
        Action::Promote { member, .. } => Some(*member),
        _ => None,
    });
    expect_that!(promoted, some(eq(2)));
}

/// Guards against a lease that is renewed by a member that forgot its fence while the other replica
/// keeps the fence under which it may still be promoted.
#[gtest]
fn a_restarted_member_does_not_renew_the_lease_while_another_is_fenced() {
    let mut fixture = probed_group();
    fixture.report(2, status(Role::Replica, 1, 9, 10));
    fixture.report(1, status(Role::Replica, 1, 9, 10));
    apply_list(&mut fixture, [1, 2, 1]);
    let replica = index_of(&fixture, 1);
    for _ in 0..90 {
        fixture.now += ms(50);
        fixture.report(0, status(Role::Primary, 1, 1, 10));
        fixture.report(replica, status(Role::Replica, 1, 1, 10));
        fixture.report(2, status(Role::Replica, 1, 9, 10));
    }
    fixture.record_write(1);
    replicate(&mut fixture, replica, 12);
    expect_that!(fixture.outcome(1), not(some(eq(Outcome::Confirmed))));
    let releases = fixture.count_actions(|a| matches!(a, Action::ReleaseFence { .. }));
    expect_that!(releases, eq(0));
    // The promotion is finished by another ballot.
    let claims = fixture.count_actions(|a| *a == Action::ClaimDuty);
    expect_that!(claims, gt(0));
}
