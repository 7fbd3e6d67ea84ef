//! Members that start again under the name that they had. Such a member is another one:
//! nothing that was known of it before holds.

use googletest::prelude::*;
use larkfall::borders::member::Role;
use larkfall::decisions::confirm::Outcome;
use larkfall::decisions::group::{Action, Event};
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
    bench.tell(Event::Revoked { term });
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
