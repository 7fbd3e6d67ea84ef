//! Leaving members: no statement is sent to them after their drain time, also when no other
//! member can take over, and they are replaced in time.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::borders::member::Role;
use larkfall::borders::table::{DepartureAges, Revision, Row, Scan};
use larkfall::decisions::departure::Departure;
use larkfall::decisions::group::{Action, Event, Note};
use larkfall::declarations::snapshot::{Plan, Snapshot};
use larkfall::node::configuration::{Departures, Store};
use larkfall::platform::node_file::File;
use larkfall::platform::settings::group_settings;
use serde_json::json;
use slog::Logger;

use super::fake::ms;
use super::lease::{Fixture, member, plan, status};

/// Time after its announcement from which no statement may reach a leaving member.
const DRAIN: Duration = Duration::from_secs(7);

/// Returns a group whose only member, the primary, announces that it leaves.
fn last_member_leaves() -> Fixture {
    let mut fixture = Fixture::new(0);
    let leaving = (0..3).map(|i| member(i, i > 0)).collect();
    fixture.group.set_plan(plan(leaving), fixture.now);
    fixture
        .group
        .set_plan(plan(vec![member(0, false)]), fixture.now);
    report_primary_for(&mut fixture, ms(4_000));
    fixture
        .group
        .set_plan(plan(vec![member(0, true)]), fixture.now);
    fixture
}

/// Lets the primary report regularly for a while.
fn report_primary_for(fixture: &mut Fixture, length: Duration) {
    let end = fixture.now + length;
    while fixture.now < end {
        fixture.now += ms(50);
        fixture.report(0, status(Role::Primary, 1, 1, 10));
    }
}

fn assigned(fixture: &Fixture, wanted: u64) -> bool {
    fixture.count_actions(|a| matches!(a, Action::Assign { id, .. } if *id == wanted)) > 0
}

fn refused(fixture: &Fixture, wanted: u64) -> bool {
    fixture.count_actions(|a| matches!(a, Action::Refuse { id, .. } if *id == wanted)) > 0
}

#[gtest]
fn a_leaving_primary_without_successor_gets_no_statements_after_its_drain_time() {
    let mut fixture = last_member_leaves();
    report_primary_for(&mut fixture, ms(1_000));
    fixture.submit_write(1);
    fixture.submit_read(2, ms(500));
    expect_that!(assigned(&fixture, 1) && assigned(&fixture, 2), eq(true));
    report_primary_for(&mut fixture, DRAIN - ms(1_500));
    fixture.submit_write(3);
    fixture.submit_read(4, ms(500));
    expect_that!(assigned(&fixture, 3) || assigned(&fixture, 4), eq(false));
    // No member will serve the requests in time, so they are refused at once.
    expect_that!(refused(&fixture, 3) && refused(&fixture, 4), eq(true));
}

#[gtest]
fn other_leaving_members_do_not_extend_a_primarys_drain_time() {
    let mut fixture = Fixture::new(0);
    let members = (0..3).map(|i| member(i, true)).collect();
    fixture.group.set_plan(plan(members), fixture.now);
    report_primary_for(&mut fixture, ms(1_000));
    fixture.submit_write(1);
    expect_that!(assigned(&fixture, 1), eq(true));
    report_primary_for(&mut fixture, DRAIN - ms(1_500));
    fixture.submit_write(2);
    expect_that!(assigned(&fixture, 2), eq(false));
    expect_that!(refused(&fixture, 2), eq(true));
}

#[gtest]
fn a_changed_list_does_not_extend_the_drain_time() {
    let mut fixture = last_member_leaves();
    report_primary_for(&mut fixture, ms(3_000));
    let joined = vec![member(0, true), member(1, true)];
    fixture.group.set_plan(plan(joined), fixture.now);
    report_primary_for(&mut fixture, DRAIN - ms(3_500));
    fixture.submit_write(1);
    expect_that!(assigned(&fixture, 1), eq(false));
}

/// Guards against a drain time that is counted from the promotion.
#[gtest]
fn a_promotion_does_not_extend_the_drain_time() {
    let mut fixture = Fixture::new(0);
    let members = (0..3).map(|i| member(i, true)).collect();
    fixture.group.set_plan(plan(members), fixture.now);
    report_primary_for(&mut fixture, ms(4_000));
    fixture.report(1, status(Role::Primary, 2, 2, 11));
    fixture.report(0, status(Role::Replica, 2, 2, 11));
    fixture.report(2, status(Role::Replica, 2, 2, 11));
    fixture.submit_write(1);
    expect_that!(assigned(&fixture, 1), eq(true));
    for _ in 0..50 {
        fixture.now += ms(50);
        fixture.report(1, status(Role::Primary, 2, 2, 11));
    }
    fixture.submit_write(2);
    expect_that!(assigned(&fixture, 2), eq(false));
}

/// Guards against a drain time that is counted from the moment at which the box took over.
#[gtest]
fn a_box_that_takes_over_a_group_counts_from_the_members_announcement() {
    let now = ms(60_000);
    let known = [(ms(3_000), true), (ms(6_000), false)];
    let ages = known.map(|(age, served)| (Some(age), served));
    for (age, served) in ages.into_iter().chain([(None, false)]) {
        let plan = plan(vec![member(0, true)]);
        let departure = Departure::with_age(now, age);
        let departures = [("m0".into(), departure)].into();
        let plan = Arc::new(Plan {
            departures,
            ..Plan::clone(&plan)
        });
        let mut fixture = Fixture::with_plan(plan, 0, now);
        fixture.report(0, status(Role::Primary, 1, 1, 10));
        fixture.submit_write(1);
        expect_that!(
            assigned(&fixture, 1),
            eq(served),
            "an announcement {age:?} old"
        );
    }
}

/// Guards against requests that were queued in time and are sent after the drain time.
#[gtest]
fn requests_queued_at_the_end_of_the_drain_time_are_refused() {
    let mut fixture = last_member_leaves();
    report_primary_for(&mut fixture, ms(4_400));
    let first = 100;
    let queued = (first..).find(|id| {
        fixture.submit_write(*id);
        !assigned(&fixture, *id)
    });
    let queued = queued.expect("the member's slots are limited");
    report_primary_for(&mut fixture, ms(200));
    let took = ms(200);
    fixture.handle(Event::SlotReleased { member: 0, took });
    expect_that!(assigned(&fixture, queued), eq(false));
    expect_that!(refused(&fixture, queued), eq(true));
}

/// Guards against an idle group that notices the end only with its next probe, and sends
/// requests until then.
#[gtest]
fn an_idle_group_ticks_when_a_members_drain_time_is_over() {
    let mut fixture = last_member_leaves();
    let announced = fixture.now;
    let mut ticks = 0;
    let over = |a: &Action| matches!(a, Action::Log(Note::DrainExpired { .. }));
    while fixture.count_actions(over) == 0 && fixture.now < announced + DRAIN {
        fixture.now = fixture.group.next_tick().max(fixture.now + ms(1));
        fixture.handle(Event::Tick);
        ticks += 1;
        if fixture.count_actions(over) == 0 {
            fixture.report(0, status(Role::Primary, 1, 1, 10));
        }
    }
    expect_that!(fixture.now, eq(announced + group_settings().drain_limit));
    // The group does not tick all the time while a hand-over is due.
    expect_that!(ticks, le(20));
}

/// A box passes one age on to its peers and groups, and uses a peer's if it knows none.
#[gtest]
fn boxes_pass_on_the_age_of_an_announcement() {
    let row = Row {
        key: "resource/member/p/g.m0".into(),
        revision: 2.into(),
        value: Some(json!({
            "partner": "p", "group": "g", "name": "m0", "sql": "127.0.0.1:1", "control": "127.0.0.1:1",
            "domain": "d0", "leaving": true,
        })),
    };
    let scan = Scan {
        head: 2.into(),
        rows: vec![row.clone()],
        ..Scan::default()
    };
    let mut store = Store::default();
    store.apply(
        Revision::NONE,
        &scan,
        &Logger::root(slog::Discard, slog::o!()),
    );
    let empty = Snapshot::default();
    let snapshot = store.snapshot();
    let mut first = Departures::default();
    first.update(
        (&empty, &snapshot),
        &DepartureAges::new(),
        Some(ms(40)),
        ms(1_000),
    );
    // The age is counted from the first update; later ones with the same announcement are ignored.
    first.update(
        (&empty, &snapshot),
        &DepartureAges::new(),
        Some(ms(0)),
        ms(2_000),
    );
    let ages = first.ages(ms(3_000));
    expect_that!(ages[&row.key], some(eq(2_040)));
    // The second box started after the announcement, so its clock reads less than the age.
    let mut second = Departures::default();
    second.update((&empty, &snapshot), &DepartureAges::new(), None, ms(10));
    expect_that!(second.has_unknown_age(ms(10)), eq(true));
    expect_that!(second.ages(ms(10))[&row.key], none());
    expect_that!(second.merge_ages(&ages, ms(20)), eq(true));
    expect_that!(second.ages(ms(30))[&row.key], some(eq(2_050)));
    expect_that!(second.merge_ages(&ages, ms(40)), eq(false));
}

/// Returns a snapshot of a table that declares a group of one member.
fn declared(store: &mut Store, revision: Revision, member: serde_json::Value) -> Snapshot {
    let row = |key: &str, value| Row {
        key: key.into(),
        revision,
        value: Some(value),
    };
    let group = json!({ "partner": "p", "name": "g" });
    let rows = [
        row("resource/group/p/g", group),
        row("resource/member/p/g.m0", member),
    ];
    let scan = Scan {
        head: revision,
        rows: rows.to_vec(),
        ..Scan::default()
    };
    let log = Logger::root(slog::Discard, slog::o!());
    store.apply(Revision::NONE, &scan, &log);
    store.snapshot()
}

fn declaration(leaving: bool, born: u64) -> serde_json::Value {
    json!({
        "partner": "p", "group": "g", "name": "m0", "sql": "127.0.0.1:1", "control": "127.0.0.1:1",
        "domain": "d0", "leaving": leaving, "born": born,
    })
}

/// Guards against statements to a leaving member after a restored older copy of the table lists
/// it as staying, and against a drain time that starts anew with the next announcement.
#[gtest]
fn an_announcement_outlives_an_older_copy_of_the_table() {
    let mut store = Store::default();
    let mut departures = Departures::default();
    let announced = declared(&mut store, Revision::new(1, 24), declaration(true, 5));
    let max_age = Some(Duration::ZERO);
    let before = Snapshot::default();
    departures.update(
        (&before, &announced),
        &DepartureAges::new(),
        max_age,
        ms(1_000),
    );
    let copy = declared(&mut store, Revision::new(2, 20), declaration(false, 5));
    departures.update(
        (&announced, &copy),
        &DepartureAges::new(),
        max_age,
        ms(2_000),
    );
    let leaving = |departures: &Departures, snapshot: &Snapshot| {
        let applied = snapshot.clone().with_departures(departures.iter());
        applied.groups["p/g"].members[0].leaving
    };
    expect_that!(leaving(&departures, &copy), eq(true));
    // The same announcement, written again, keeps its age.
    let repeated = declared(&mut store, Revision::new(2, 26), declaration(true, 5));
    departures.update(
        (&copy, &repeated),
        &DepartureAges::new(),
        max_age,
        ms(3_000),
    );
    let key: Arc<str> = "resource/member/p/g.m0".into();
    expect_that!(departures.ages(ms(3_000))[&key], some(eq(2_000)));
    // Within one era of the table, the member itself may withdraw its announcement.
    let stays = declared(&mut store, Revision::new(2, 30), declaration(false, 5));
    departures.update(
        (&repeated, &stays),
        &DepartureAges::new(),
        max_age,
        ms(4_000),
    );
    expect_that!(leaving(&departures, &stays), eq(false));
}

/// Guards against a restarted member that is treated as its earlier start, which left.
#[gtest]
fn a_member_that_restarts_after_an_older_copy_is_used() {
    let mut store = Store::default();
    let mut departures = Departures::default();
    let announced = declared(&mut store, Revision::new(1, 24), declaration(true, 5));
    let max_age = Some(Duration::ZERO);
    departures.update(
        (&Snapshot::default(), &announced),
        &DepartureAges::new(),
        max_age,
        ms(1_000),
    );
    let started = declared(&mut store, Revision::new(2, 20), declaration(false, 6));
    departures.update(
        (&announced, &started),
        &DepartureAges::new(),
        max_age,
        ms(2_000),
    );
    expect_that!(departures.iter().count(), eq(0));
}

/// Guards against a box that starts after a restored copy and counts the drain time from the
/// repeated announcement, although other boxes know the first one.
#[gtest]
fn the_greater_of_two_ages_of_an_announcement_counts() {
    let mut store = Store::default();
    let announced = declared(&mut store, Revision::new(2, 26), declaration(true, 5));
    let mut departures = Departures::default();
    let max_age = Some(Duration::ZERO);
    departures.update(
        (&Snapshot::default(), &announced),
        &DepartureAges::new(),
        max_age,
        ms(100),
    );
    let key: Arc<str> = "resource/member/p/g.m0".into();
    let older = DepartureAges::from([(key.clone(), Some(4_000))]);
    expect_that!(departures.merge_ages(&older, ms(200)), eq(true));
    expect_that!(departures.ages(ms(200))[&key], some(eq(4_000)));
    let younger = DepartureAges::from([(key.clone(), Some(10))]);
    expect_that!(departures.merge_ages(&younger, ms(300)), eq(false));
    expect_that!(departures.ages(ms(300))[&key], some(eq(4_100)));
}

/// A live member's entry may expire while the store is unreachable, so a member
/// that is no longer listed is served for at least 3 s, and for no longer if the announcement was
/// received late.
#[gtest]
fn the_drain_time_of_an_unlisted_member_includes_the_age_of_the_announcement() {
    let known = [
        (ms(0), ms(4_500)),
        (ms(500), ms(4_000)),
        (ms(9_000), ms(3_000)),
    ];
    for (age, end) in known {
        let mut fixture = Fixture::with_plan(plan(vec![member(0, false)]), 0, ms(0));
        report_primary_for(&mut fixture, ms(1_000));
        let departure = Departure::with_age(fixture.now, Some(age));
        let departures = [("m0".into(), departure)].into();
        let unlisted = Arc::new(Plan {
            departures,
            ..Plan::clone(&plan(vec![member(1, true)]))
        });
        let learned = fixture.now;
        fixture.group.set_plan(unlisted, learned);
        report_primary_for(&mut fixture, end - ms(100));
        fixture.submit_write(1);
        expect_that!(
            assigned(&fixture, 1),
            eq(true),
            "an announcement {age:?} old"
        );
        report_primary_for(&mut fixture, ms(200));
        fixture.submit_write(2);
        expect_that!(
            assigned(&fixture, 2),
            eq(false),
            "an announcement {age:?} old"
        );
    }
}

/// Guards against a panic: a promoted member must be in the group.
#[gtest]
fn a_member_is_not_removed_while_it_is_promoted() {
    let mut fixture = Fixture::new(0);
    let listed = vec![member(0, false), member(2, false)];
    fixture.group.set_plan(plan(listed), fixture.now);
    let removal = fixture.now + group_settings().missing_grace;
    while fixture.now < removal - ms(300) {
        fixture.now += ms(100);
        fixture.report_all();
    }
    fixture.start_ballot();
    fixture.grant_fence(1, 12);
    fixture.grant_fence(2, 11);
    let term = fixture.ballot_term();
    fixture.handle(Event::LeasesRevoked { term });
    let promote = Action::Promote { member: 1, term };
    expect_that!(fixture.actions, contains(eq(&promote)));
    fixture.advance(ms(400));
    expect_that!(fixture.now, gt(removal));
    let answer = Ok(status(Role::Primary, 2, 2, 12));
    fixture.handle(Event::Promoted { term, answer });
    expect_that!(fixture.group.primary(), some(eq(1)));
}

/// The same for the late answer to a probe.
#[gtest]
fn a_removed_member_is_not_adopted_as_primary() {
    let mut fixture = Fixture::new(0);
    let listed = vec![member(0, false), member(2, false)];
    fixture.group.set_plan(plan(listed), fixture.now);
    for _ in 0..35 {
        fixture.now += ms(100);
        fixture.report_all();
    }
    fixture.report(1, status(Role::Primary, 2, 2, 12));
    expect_that!(fixture.group.primary(), some(eq(0)));
}

#[gtest]
fn a_leaving_replica_gets_no_reads() {
    let mut fixture = Fixture::new(0);
    let members = (0..3).map(|i| member(i, i == 1)).collect();
    fixture.group.set_plan(plan(members), fixture.now);
    let reads = 1..40;
    for id in reads.clone() {
        fixture.report_all();
        fixture.submit_read(id, ms(2_500));
        let took = ms(5);
        for index in [0, 2] {
            let sent = |a: &Action| matches!(a, Action::Assign { id: sent, member, .. } if *sent == id && *member == index);
            if fixture.count_actions(sent) > 0 {
                fixture.handle(Event::SlotReleased {
                    member: index,
                    took,
                });
            }
        }
    }
    let to = |member: usize| {
        fixture
            .count_actions(|a| matches!(a, Action::Assign { member: sent, .. } if *sent == member))
    };
    expect_that!(to(1), eq(0));
    expect_that!(to(0) + to(2), eq(reads.count()));
}

/// Guards against the loss of a leaving primary's last acknowledged writes: the replicas must
/// have time to receive them before they are fenced.
#[gtest]
fn a_leaving_primary_is_fenced_before_its_replicas() {
    let mut fixture = Fixture::new(0);
    let members = (0..3).map(|i| member(i, i == 0)).collect();
    fixture.group.set_plan(plan(members), fixture.now);
    fixture.advance(ms(200));
    fixture.handle(Event::DutyClaimed { won: true });
    let fenced = |fixture: &Fixture, index: usize| {
        fixture.count_actions(|a| matches!(a, Action::Fence { member, .. } if *member == index))
    };
    expect_that!(fenced(&fixture, 0), eq(1));
    expect_that!(fenced(&fixture, 1) + fenced(&fixture, 2), eq(0));
    fixture.advance(group_settings().failover.catch_up);
    expect_that!(fenced(&fixture, 1) + fenced(&fixture, 2), eq(2));
}

/// A settings file may set another drain time than the default of 7 s.
#[gtest]
fn the_drain_limit_follows_the_settings_file() {
    for (bound, most) in [("", ms(4_500)), ("  drain_ms: 5000\n", ms(2_500))] {
        let text = format!(
            "node_name: a\nip: 127.0.0.1\nzone: z\nlisten_addrs:\n  front: 127.0.0.1:1\n  \
             ready: 127.0.0.1:2\ninternal_port_range: [3, 4]\nlimits:\n  max_fds: 1000\n\
             bounds:\n  grace_s: 4\n{bound}platform:\n  address: 127.0.0.1:5\n\
             cloud_api:\n  address: 127.0.0.1:6\n"
        );
        let file = File::parse("f", &text).expect("a good file");
        expect_that!(file.group_settings().drain_limit, eq(most));
    }
}

/// Guards against a changed setting that extends a running drain: other boxes may still use
/// the earlier limit.
#[gtest]
fn the_shorter_of_two_drain_limits_holds_for_a_leaving_member() {
    for (before, after) in [(ms(7_000), ms(3_000)), (ms(3_000), ms(7_000))] {
        let mut fixture = Fixture::new(0);
        fixture.group.set_drain_limit(before);
        let others_leave = (0..3).map(|i| member(i, i > 0)).collect();
        fixture.group.set_plan(plan(others_leave), fixture.now);
        let alone = |leaving| plan(vec![member(0, leaving)]);
        fixture.group.set_plan(alone(false), fixture.now);
        report_primary_for(&mut fixture, ms(4_000));
        fixture.group.set_plan(alone(true), fixture.now);
        report_primary_for(&mut fixture, ms(1_000));
        fixture.group.set_drain_limit(after);
        fixture.submit_write(1);
        expect_that!(assigned(&fixture, 1), eq(true));
        report_primary_for(&mut fixture, ms(2_100));
        fixture.submit_write(2);
        expect_that!(assigned(&fixture, 2), eq(false));
    }
}
