//! Members that start again under the name that they had. Such a member is another one:
//! nothing that was known of it before holds.

use googletest::prelude::*;
use larkfall::borders::member::Role;
use larkfall::decisions::confirm::Outcome;
use larkfall::decisions::group::{Action, Event, Note};
use larkfall::declarations::resource::Member;
use serde_json::json;

use super::fake::ms;
use super::lease::{Bench, member, plan, status};

/// A member that started at `born`.
fn started(i: usize, born: u64) -> Member {
    let mut fields = serde_json::to_value(member(i, false)).expect("a member is plain data");
    fields["born"] = json!(born);
    serde_json::from_value(fields).expect("a member")
}

/// A group whose members started at the moment 1 and were all looked at.
fn watched() -> Bench {
    let members = (0..3).map(|i| started(i, 1)).collect();
    let mut bench = Bench::with(plan(members), 0, ms(0));
    bench.look();
    bench
}

/// The list says when members started.
fn list(bench: &mut Bench, born: [u64; 3]) {
    let members = (0..3).map(|i| started(i, born[i])).collect();
    let now = bench.now;
    bench.group.set_plan(plan(members), now);
    bench.tell(Event::Tick);
}

/// The newest place of a member.
fn place(bench: &Bench, i: usize) -> usize {
    let name = format!("m{i}");
    let members = &bench.group.plan.members;
    let found = members.iter().rposition(|member| *member.name == *name);
    found.expect("it is listed")
}

fn promotes(bench: &Bench) -> usize {
    bench.asked(|action| matches!(action, Action::Promote { .. }))
}

/// Names of the members to which a request was assigned.
fn runs_on(bench: &Bench, wanted: u64) -> Vec<String> {
    let places = bench.actions.iter().filter_map(|action| match action {
        Action::Assign { id, member, .. } if *id == wanted => Some(*member),
        _ => None,
    });
    let name = |place: usize| bench.group.plan.members[place].name.to_string();
    places.map(name).collect()
}

/// A member that started again has forgotten its fence and receives what the old primary
/// writes: with its grant the majority would be none.
#[gtest]
fn a_grant_from_before_a_restart_is_not_counted() {
    let mut bench = watched();
    bench.ballot();
    bench.grant(1, 10);
    bench.grant(2, 10);
    let term = bench.term();
    list(&mut bench, [1, 1, 2]);
    bench.tell(Event::LeasesRevoked { term });
    expect_that!(promotes(&bench), eq(0));
}

#[gtest]
fn nothing_is_read_on_a_member_that_started_again_before_it_was_looked_at() {
    let mut bench = watched();
    list(&mut bench, [1, 2, 2]);
    bench.read(1, ms(500));
    expect_that!(runs_on(&bench, 1), not(contains(eq("m1"))));
    expect_that!(runs_on(&bench, 1), not(contains(eq("m2"))));
}

#[gtest]
fn what_was_seen_of_members_before_they_started_again_renews_no_lease() {
    let mut bench = watched();
    list(&mut bench, [1, 2, 2]);
    bench.write(1);
    expect_that!(bench.outcome(1), none());
    for replica in [1, 2] {
        let place = place(&bench, replica);
        bench.report(place, status(Role::Replica, 1, 1, 11));
    }
    bench.report(0, status(Role::Primary, 1, 1, 11));
    expect_that!(bench.outcome(1), some(eq(Outcome::Confirmed)));
}

/// The primary writes, and a replica shows what it received of that.
fn replicate(bench: &mut Bench, replica: usize, index: u64) {
    bench.now += ms(5);
    bench.report(0, status(Role::Primary, 1, 1, index));
    bench.report(replica, status(Role::Replica, 1, 1, index + 1));
    bench.report(0, status(Role::Primary, 1, 1, index + 1));
}

/// It may have forgotten the fence on which a promotion rests that is under way; the third
/// member, which can't be seen, may be the one that is promoted.
#[gtest]
fn a_member_that_started_again_renews_the_lease_only_once_a_promotion_would_show() {
    let mut bench = watched();
    list(&mut bench, [1, 2, 1]);
    let replica = place(&bench, 1);
    bench.pass(ms(900));
    bench.write(1);
    replicate(&mut bench, replica, 12);
    expect_that!(bench.outcome(1), none());
    bench.pass(ms(2_000));
    bench.write(2);
    replicate(&mut bench, replica, 14);
    expect_that!(bench.outcome(2), some(eq(Outcome::Confirmed)));
}

/// A primary that comes back without what it held must not lead on; one that kept its log
/// does, and is not replaced.
#[gtest]
fn a_primary_that_started_again_leads_on_only_with_all_that_it_held() {
    for (index, leads) in [(10, true), (3, false)] {
        let mut bench = watched();
        list(&mut bench, [2, 1, 1]);
        bench.arrive(1);
        expect_that!(runs_on(&bench, 1), is_empty());
        let primary = place(&bench, 0);
        bench.report(primary, status(Role::Primary, 1, 1, index));
        bench.report(1, status(Role::Replica, 1, 1, 10));
        bench.report(2, status(Role::Replica, 1, 1, 10));
        bench.arrive(2);
        expect_that!(!runs_on(&bench, 2).is_empty(), eq(leads));
        let doubts = bench.asked(|action| matches!(action, Action::ClaimDuty));
        expect_that!(doubts > 0, eq(!leads));
    }
}

/// News that is late, from a box that heard of the earlier start alone.
#[gtest]
fn an_older_start_never_replaces_a_newer_one() {
    let mut bench = watched();
    list(&mut bench, [1, 5, 1]);
    let newest = place(&bench, 1);
    list(&mut bench, [1, 1, 1]);
    list(&mut bench, [1, 5, 1]);
    expect_that!(place(&bench, 1), eq(newest));
}

/// A report that goes back behind the one before is true of a member that lost its log.
#[gtest]
fn a_report_that_goes_backwards_is_taken_after_a_restart() {
    let mut bench = watched();
    list(&mut bench, [1, 2, 1]);
    let replica = place(&bench, 1);
    bench.report(replica, status(Role::Replica, 0, 0, 0));
    let nonsense = |action: &Action| matches!(action, Action::Log(Note::ImplausibleReport { .. }));
    expect_that!(bench.asked(nonsense), eq(0));
    // It is told to follow the primary.
    let follows =
        |action: &Action| matches!(action, Action::Follow { member, .. } if *member == replica);
    expect_that!(bench.asked(follows), gt(0));
}

/// A former primary may return with a log that went its own way, as before its restart.
#[gtest]
fn a_former_primary_that_started_again_is_not_promoted_for_its_greater_log() {
    let mut bench = watched();
    bench.report(1, status(Role::Primary, 2, 2, 11));
    bench.report(0, status(Role::Primary, 1, 1, 40));
    bench.report(2, status(Role::Replica, 2, 2, 11));
    list(&mut bench, [2, 1, 1]);
    let former = place(&bench, 0);
    // A new primary gets its time.
    bench.pass(ms(1_100));
    bench.tell(Event::ConnectionLost { member: 1 });
    for name in ["b1", "b2"] {
        bench.tell(Event::OpinionReceived {
            from: name.into(),
            near: false,
            suspects: true,
        });
    }
    bench.report(former, status(Role::Replica, 1, 2, 40));
    bench.report(2, status(Role::Replica, 2, 2, 11));
    bench.pass(ms(20));
    bench.tell(Event::DutyClaimed { won: true });
    let term = bench.term();
    for (member, log_term, index) in [(former, 1, 40), (2, 2, 11)] {
        bench.tell(Event::Fenced {
            member,
            term,
            answer: Ok(status(Role::Replica, log_term, term, index)),
        });
    }
    bench.tell(Event::LeasesRevoked { term });
    let promoted = bench.actions.iter().find_map(|action| match action {
        Action::Promote { member, .. } => Some(*member),
        _ => None,
    });
    expect_that!(promoted, some(eq(2)));
}
