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
    let mut bench = Fixture::with_plan(plan(members), 0, ms(0));
    bench.report_all();
    bench
}

/// Applies a list with these start times of the members.
fn apply_list(bench: &mut Fixture, started_at: [u64; 3]) {
    let members = (0..3)
        .map(|i| member_started_at(i, started_at[i]))
        .collect();
    let now = bench.now;
    bench.group.set_plan(plan(members), now);
    bench.handle(Event::Tick);
}

/// Returns the newest index of a member.
fn index_of(bench: &Fixture, i: usize) -> usize {
    let name = format!("m{i}");
    let members = &bench.group.plan.members;
    let found = members.iter().rposition(|member| *member.name == *name);
    found.expect("it is listed")
}

fn promotions(bench: &Fixture) -> usize {
    bench.count_actions(|action| matches!(action, Action::Promote { .. }))
}

/// Returns the names of the members to which a request was assigned.
fn assigned_to(bench: &Fixture, wanted: u64) -> Vec<String> {
    let indexes = bench.actions.iter().filter_map(|action| match action {
        Action::Assign { id, member, .. } if *id == wanted => Some(*member),
        _ => None,
    });
    let name = |index: usize| bench.group.plan.members[index].name.to_string();
    indexes.map(name).collect()
}

/// Guards against a promotion by a majority that includes a restarted member: it has forgotten
/// its fence and receives what the old primary writes.
#[gtest]
fn a_grant_from_before_a_restart_does_not_count() {
    let mut bench = probed_group();
    bench.start_ballot();
    bench.grant_fence(1, 10);
    bench.grant_fence(2, 10);
    let term = bench.ballot_term();
    apply_list(&mut bench, [1, 1, 2]);
    bench.handle(Event::LeasesRevoked { term });
    expect_that!(promotions(&bench), eq(0));
}

#[gtest]
fn a_restarted_member_serves_no_reads_before_it_was_probed() {
    let mut bench = probed_group();
    apply_list(&mut bench, [1, 2, 2]);
    bench.submit_read(1, ms(500));
    expect_that!(assigned_to(&bench, 1), not(contains(eq("m1"))));
    expect_that!(assigned_to(&bench, 1), not(contains(eq("m2"))));
}

#[gtest]
fn reports_from_before_a_restart_do_not_renew_the_lease() {
    let mut bench = probed_group();
    apply_list(&mut bench, [1, 2, 2]);
    bench.record_write(1);
    expect_that!(bench.outcome(1), none());
    for replica in [1, 2] {
        let index = index_of(&bench, replica);
        bench.report(index, status(Role::Replica, 1, 1, 11));
    }
    bench.report(0, status(Role::Primary, 1, 1, 11));
    expect_that!(bench.outcome(1), some(eq(Outcome::Confirmed)));
}

/// Has the primary write, and a replica report that it received the entry.
fn replicate(bench: &mut Fixture, replica: usize, index: u64) {
    bench.now += ms(5);
    bench.report(0, status(Role::Primary, 1, 1, index));
    bench.report(replica, status(Role::Replica, 1, 1, index + 1));
    bench.report(0, status(Role::Primary, 1, 1, index + 1));
}

/// Guards against a lease that is renewed by a member that forgot its fence while the third
/// member, which is unreachable, is being promoted.
#[gtest]
fn a_restarted_member_renews_the_lease_only_once_a_promotion_would_be_visible() {
    let mut bench = probed_group();
    apply_list(&mut bench, [1, 2, 1]);
    let replica = index_of(&bench, 1);
    bench.advance(ms(900));
    bench.record_write(1);
    replicate(&mut bench, replica, 12);
    expect_that!(bench.outcome(1), none());
    bench.advance(ms(2_000));
    bench.record_write(2);
    replicate(&mut bench, replica, 14);
    expect_that!(bench.outcome(2), some(eq(Outcome::Confirmed)));
}

/// A restarted primary that lost its log is replaced; one that kept its log is not.
#[gtest]
fn a_restarted_primary_leads_only_with_its_whole_log() {
    for (index, leads) in [(10, true), (3, false)] {
        let mut bench = probed_group();
        apply_list(&mut bench, [2, 1, 1]);
        bench.submit_write(1);
        expect_that!(assigned_to(&bench, 1), is_empty());
        let primary = index_of(&bench, 0);
        bench.report(primary, status(Role::Primary, 1, 1, index));
        bench.report(1, status(Role::Replica, 1, 1, 10));
        bench.report(2, status(Role::Replica, 1, 1, 10));
        bench.submit_write(2);
        expect_that!(!assigned_to(&bench, 2).is_empty(), eq(leads));
        let claims = bench.count_actions(|action| matches!(action, Action::ClaimDuty));
        expect_that!(claims > 0, eq(!leads));
    }
}

/// Guards against a late list from a box that only knows the earlier start.
#[gtest]
fn an_older_start_never_replaces_a_newer_one() {
    let mut bench = probed_group();
    apply_list(&mut bench, [1, 5, 1]);
    let newest = index_of(&bench, 1);
    apply_list(&mut bench, [1, 1, 1]);
    apply_list(&mut bench, [1, 5, 1]);
    expect_that!(index_of(&bench, 1), eq(newest));
}

/// Guards against a restarted member whose report is rejected because it lost its log.
#[gtest]
fn a_report_with_a_lower_position_is_accepted_after_a_restart() {
    let mut bench = probed_group();
    apply_list(&mut bench, [1, 2, 1]);
    let replica = index_of(&bench, 1);
    bench.report(replica, status(Role::Replica, 0, 0, 0));
    let implausible =
        |action: &Action| matches!(action, Action::Log(Note::ImplausibleReport { .. }));
    expect_that!(bench.count_actions(implausible), eq(0));
    // The member is ordered to follow the primary.
    let follows =
        |action: &Action| matches!(action, Action::Follow { member, .. } if *member == replica);
    expect_that!(bench.count_actions(follows), gt(0));
}

/// Guards against the promotion of a former primary whose log has diverged.
#[gtest]
fn a_restarted_former_primary_is_not_promoted_for_its_greater_log() {
    let mut bench = probed_group();
    bench.report(1, status(Role::Primary, 2, 2, 11));
    bench.report(0, status(Role::Primary, 1, 1, 40));
    bench.report(2, status(Role::Replica, 2, 2, 11));
    apply_list(&mut bench, [2, 1, 1]);
    let former = index_of(&bench, 0);
    // Waits for the cooldown after the last failover.
    bench.advance(ms(1_100));
    bench.handle(Event::ConnectionLost { member: 1 });
    for name in ["b1", "b2"] {
        bench.handle(Event::OpinionReceived {
            from: name.into(),
            same_domain: false,
            suspects: true,
        });
    }
    bench.report(former, status(Role::Replica, 1, 2, 40));
    bench.report(2, status(Role::Replica, 2, 2, 11));
    bench.advance(ms(20));
    bench.handle(Event::DutyClaimed { won: true });
    let term = bench.ballot_term();
    for (member, log_term, index) in [(former, 1, 40), (2, 2, 11)] {
        bench.handle(Event::Fenced {
            member,
            term,
            answer: Ok(status(Role::Replica, log_term, term, index)),
        });
    }
    bench.handle(Event::LeasesRevoked { term });
    let promoted = bench.actions.iter().find_map(|action| match action {
        Action::Promote { member, .. } => Some(*member),
        _ => None,
    });
    expect_that!(promoted, some(eq(2)));
}
