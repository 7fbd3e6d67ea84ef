//! The lease that stands for a fence which a primary does not take: decisions of one
//! group with the settings of the users' platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::borders::member::{MemberError, Role, Status, Stream};
use larkfall::decisions::confirm::Outcome;
use larkfall::decisions::group::{
    Action, Event, Group, Note, Reason, Request, Settings, Target, Via,
};
use larkfall::decisions::position::Position;
use larkfall::declarations::resource::{Address, Durability, Group as Declared, Member};
use larkfall::declarations::snapshot::Plan;
use larkfall::platform::control::report;
use larkfall::platform::settings::decisions;

use super::fake::ms;

pub fn member(i: usize, leaving: bool) -> Member {
    let address: Arc<str> = format!("127.0.0.1:{i}").into();
    Member {
        partner: "p".into(),
        group: "g".into(),
        name: format!("m{i}").into(),
        address: Address {
            sql: address.clone(),
            control: address,
        },
        domain: format!("d{i}").into(),
        leaving,
        born: None,
    }
}

pub fn plan(members: Vec<Member>) -> Arc<Plan> {
    Arc::new(Plan {
        id: "p/g".into(),
        group: Declared {
            partner: "p".into(),
            name: "g".into(),
            durability: Durability::Primary,
            slots: 3,
            connections: 24,
            owners: 3,
            deadline_ms: 1_000,
            max_age_ms: 500,
            idle_ms: None,
        },
        members,
        reads: Vec::new(),
        onces: Vec::new(),
        keyed: false,
        departures: BTreeMap::new(),
    })
}

fn settings() -> Settings {
    decisions()
}

pub fn status(role: Role, term: u64, promised: u64, index: u64) -> Status {
    Status {
        promised,
        role,
        log: Position::new(term, index),
        applied: Position::new(term, index),
        stream: Stream::None,
    }
}

/// One group at one box, and what it asked to be done.
pub struct Bench {
    pub group: Group,
    pub now: Duration,
    pub actions: Vec<Action>,
}

impl Bench {
    /// A group whose members were all looked at, with `rank` among its owners.
    pub fn new(rank: u32) -> Self {
        let members = (0..3).map(|i| member(i, false)).collect();
        let mut bench = Self::with(plan(members), rank, ms(0));
        bench.look();
        bench
    }

    /// A group as a box takes it over.
    pub fn with(plan: Arc<Plan>, rank: u32, now: Duration) -> Self {
        let group = Group::new(plan, "d0".into(), rank, settings(), 1, now);
        let mut bench = Self {
            group,
            now: now + ms(10),
            actions: Vec::new(),
        };
        bench.group.set_rank(rank, 1);
        bench.tell(Event::Listed { listed: true });
        bench
    }

    pub fn tell(&mut self, event: Event) {
        self.actions.extend(self.group.handle(event, self.now));
    }

    pub fn report(&mut self, member: usize, status: Status) {
        let began = self.now;
        self.now += ms(1);
        self.tell(Event::Status {
            member,
            began,
            answer: Ok(status),
        });
    }

    /// All members answer as in calm times.
    pub fn look(&mut self) {
        self.report(0, status(Role::Primary, 1, 1, 10));
        self.report(1, status(Role::Replica, 1, 1, 10));
        self.report(2, status(Role::Replica, 1, 1, 10));
    }

    /// Lets time pass in steps.
    pub fn pass(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += ms(5);
            self.tell(Event::Tick);
        }
    }

    pub fn write(&mut self, id: u64) {
        let position = Position::new(1, 11);
        let deadline = self.now + ms(700);
        self.tell(Event::Wrote {
            id,
            member: 0,
            position,
            deadline,
        });
    }

    /// A read comes that may be this old, with 700 ms left.
    pub fn read(&mut self, id: u64, max_age: Duration) {
        let now = self.now;
        self.tell(Event::Arrive(Request {
            id,
            partner: "p".into(),
            weight: 1,
            target: Target::Replica { max_age },
            floor: Some(Position::ZERO),
            believed: true,
            arrived: now,
            deadline: now + ms(700),
            aim: None,
        }));
    }

    /// A write comes, with 700 ms left.
    pub fn arrive(&mut self, id: u64) {
        let now = self.now;
        self.tell(Event::Arrive(Request {
            id,
            partner: "p".into(),
            weight: 1,
            target: Target::Primary,
            floor: Some(Position::ZERO),
            believed: true,
            arrived: now,
            deadline: now + ms(700),
            aim: None,
        }));
    }

    pub fn outcome(&self, wanted: u64) -> Option<Outcome> {
        self.actions.iter().find_map(|action| match action {
            Action::Settle { id, outcome } if *id == wanted => Some(*outcome),
            _ => None,
        })
    }

    pub fn asked(&self, wanted: impl Fn(&Action) -> bool) -> usize {
        self.actions.iter().filter(|action| wanted(action)).count()
    }

    /// The primary breaks, the others agree, and the duty is won.
    pub fn ballot(&mut self) {
        self.tell(Event::Broken { member: 0 });
        for name in ["b1", "b2"] {
            self.tell(Event::Opinion {
                from: name.into(),
                near: false,
                suspects: true,
            });
        }
        self.report(1, status(Role::Replica, 1, 1, 10));
        self.report(2, status(Role::Replica, 1, 1, 10));
        self.pass(ms(20));
        self.tell(Event::Claimed { won: true });
    }

    /// The ballot's term, from the fences that were asked for.
    pub fn term(&self) -> u64 {
        let fence = self.actions.iter().rev().find_map(|action| match action {
            Action::Fence { term, .. } => Some(*term),
            _ => None,
        });
        fence.expect("members were fenced")
    }

    pub fn grant(&mut self, member: usize, index: u64) {
        let term = self.term();
        self.tell(Event::Fenced {
            member,
            term,
            answer: Ok(status(Role::Replica, 1, term, index)),
        });
    }
}

fn promotes(action: &Action) -> bool {
    matches!(action, Action::Promote { .. })
}

#[gtest]
fn a_write_is_acknowledged_at_once_under_the_lease_and_waits_without() {
    let mut bench = Bench::new(0);
    bench.write(1);
    expect_that!(bench.outcome(1), some(eq(Outcome::Confirmed)));
    bench.now += ms(2_000);
    bench.write(2);
    expect_that!(bench.outcome(2), none());
    bench.look();
    expect_that!(bench.outcome(2), some(eq(Outcome::Confirmed)));
}

#[gtest]
fn where_members_see_to_it_a_write_waits_for_no_look() {
    let mut bench = Bench::new(0);
    let mut synced = Plan::clone(&bench.group.plan);
    synced.group.durability = Durability::Members;
    let now = bench.now;
    bench.group.set_plan(Arc::new(synced), now);
    bench.write(1);
    expect_that!(bench.outcome(1), some(eq(Outcome::Confirmed)));
}

#[gtest]
fn a_fenced_majority_acknowledges_nothing() {
    let mut bench = Bench::new(0);
    bench.now += ms(2_000);
    bench.write(1);
    bench.report(1, status(Role::Replica, 1, 5, 10));
    expect_that!(bench.outcome(1), some(eq(Outcome::Unknown)));
}

#[gtest]
fn ordinary_answers_renew_the_lease() {
    let mut bench = Bench::new(0);
    for round in 0..40 {
        bench.now += ms(100);
        let (began, now) = (bench.now, bench.now);
        bench.tell(Event::Answered {
            member: 0,
            began,
            position: Some(Position::new(1, 11 + round)),
            led: true,
        });
        bench.now = now + ms(50);
        let began = bench.now;
        bench.tell(Event::Answered {
            member: 1,
            began,
            position: Some(Position::new(1, 11 + round)),
            led: false,
        });
    }
    bench.write(1);
    expect_that!(bench.outcome(1), some(eq(Outcome::Confirmed)));
}

/// A promotion ends the fences of all members, the winner's and the others': a replica
/// without one is no sign that nobody was promoted where the third can't be seen. On
/// mlg-cartes-mix-add_nodes-78-11 the old primary's writes were acknowledged so.
#[gtest]
fn a_replica_without_a_fence_proves_nothing_while_another_member_is_out_of_sight() {
    let mut bench = Bench::new(0);
    bench.pass(ms(900));
    bench.report(0, status(Role::Primary, 1, 1, 12));
    bench.report(1, status(Role::Replica, 1, 1, 10));
    bench.write(1);
    expect_that!(bench.outcome(1), none());
    // Nor do looks that began after the write's answer, nor for a read.
    let now = bench.now;
    bench.tell(Event::Verify {
        id: 2,
        term: 1,
        since: now,
        position: None,
        deadline: now + ms(700),
    });
    bench.report(0, status(Role::Primary, 1, 1, 12));
    bench.report(1, status(Role::Replica, 1, 1, 10));
    expect_that!(bench.outcome(1), none());
    expect_that!(bench.outcome(2), none());
    // What it receives from our primary, it receives while our primary leads.
    bench.now += ms(5);
    bench.report(0, status(Role::Primary, 1, 1, 12));
    bench.report(1, status(Role::Replica, 1, 1, 13));
    bench.report(0, status(Role::Primary, 1, 1, 13));
    expect_that!(bench.outcome(1), some(eq(Outcome::Confirmed)));
    // Or when the third member is seen not to lead either.
    for member in [1, 2] {
        bench.report(member, status(Role::Replica, 1, 1, 13));
    }
    bench.report(0, status(Role::Primary, 1, 1, 13));
    expect_that!(bench.outcome(2), some(eq(Outcome::Confirmed)));
}

#[gtest]
fn a_replica_that_shows_nothing_new_does_not_renew_the_lease() {
    let mut bench = Bench::new(0);
    for _ in 0..40 {
        bench.now += ms(100);
        let began = bench.now;
        bench.tell(Event::Answered {
            member: 1,
            began,
            position: Some(Position::new(1, 10)),
            led: false,
        });
    }
    bench.write(1);
    expect_that!(bench.outcome(1), none());
}

#[gtest]
fn a_box_that_others_do_not_know_uses_no_lease() {
    let mut bench = Bench::new(0);
    bench.tell(Event::Listed { listed: false });
    bench.write(1);
    expect_that!(bench.outcome(1), none());
}

#[gtest]
fn a_promotion_waits_for_the_lease_and_not_longer_than_it_must() {
    let mut bench = Bench::new(0);
    bench.ballot();
    bench.grant(1, 12);
    bench.grant(2, 10);
    expect_that!(bench.asked(|a| matches!(a, Action::Revoke { .. })), eq(1));
    expect_that!(bench.asked(promotes), eq(0));
    let lease = settings().replace.lease;
    bench.pass(lease - ms(20));
    let term = bench.term();
    bench.report(1, status(Role::Replica, 1, term, 12));
    bench.report(2, status(Role::Replica, 1, term, 10));
    expect_that!(bench.asked(promotes), eq(0));
    bench.pass(ms(40));
    expect_that!(
        bench.actions,
        contains(eq(&Action::Promote { member: 1, term }))
    );

    let mut bench = Bench::new(0);
    bench.ballot();
    bench.grant(1, 10);
    bench.grant(2, 12);
    let term = bench.term();
    bench.tell(Event::Revoked { term });
    expect_that!(
        bench.actions,
        contains(eq(&Action::Promote { member: 2, term }))
    );
}

#[gtest]
fn a_ballot_that_another_has_overtaken_promotes_nobody() {
    let mut bench = Bench::new(0);
    bench.ballot();
    bench.grant(1, 12);
    bench.grant(2, 10);
    let lease = settings().replace.lease;
    bench.pass(lease - ms(20));
    let term = bench.term();
    bench.report(1, status(Role::Replica, 1, term, 12));
    bench.report(2, status(Role::Replica, 1, term + 3, 10));
    bench.pass(ms(2_000));
    expect_that!(bench.asked(promotes), eq(0));
    expect_that!(
        bench.asked(|a| matches!(a, Action::Note(Note::Lost { .. }))),
        eq(1)
    );
}

#[gtest]
fn a_majority_that_was_seen_too_long_ago_promotes_nobody() {
    let mut bench = Bench::new(0);
    bench.ballot();
    bench.grant(1, 12);
    bench.grant(2, 10);
    let term = bench.term();
    for _ in 0..4 {
        bench.report(1, status(Role::Replica, 1, term, 12));
        bench.report(2, status(Role::Replica, 1, term, 10));
    }
    let looks = |bench: &Bench| bench.asked(|a| matches!(a, Action::Probe { member: 1 }));
    let before = looks(&bench);
    bench.pass(settings().replace.lease + ms(20));
    expect_that!(bench.asked(promotes), eq(0));
    expect_that!(looks(&bench), gt(before));
}

#[gtest]
fn a_revoked_lease_counts_nothing_that_was_seen_before() {
    let mut bench = Bench::new(0);
    bench.tell(Event::Revoke);
    bench.write(1);
    expect_that!(bench.outcome(1), none());
}

#[gtest]
fn boxes_of_different_rank_fence_with_different_terms() {
    let mut terms = Vec::new();
    for rank in 0..4 {
        let mut bench = Bench::new(rank);
        bench.ballot();
        bench.pass(ms(1_200));
        bench.tell(Event::Claimed { won: true });
        terms.push(bench.term());
    }
    terms.dedup();
    expect_that!(terms.len(), eq(4));
}

#[gtest]
fn a_box_that_lost_the_duty_gives_the_other_its_time() {
    let mut bench = Bench::new(0);
    bench.tell(Event::Broken { member: 0 });
    bench.tell(Event::Opinion {
        from: "b1".into(),
        near: false,
        suspects: true,
    });
    bench.report(1, status(Role::Replica, 1, 1, 10));
    bench.report(2, status(Role::Replica, 1, 1, 10));
    bench.pass(ms(20));
    expect_that!(bench.asked(|a| *a == Action::Claim), eq(1));
    bench.tell(Event::Claimed { won: false });
    bench.pass(ms(1_000));
    expect_that!(bench.asked(|a| *a == Action::Claim), eq(1));
    expect_that!(bench.asked(|a| matches!(a, Action::Fence { .. })), eq(0));
}

#[gtest]
fn a_primary_that_most_boxes_reach_is_not_replaced_and_they_are_named() {
    let mut bench = Bench::new(0);
    bench.tell(Event::Broken { member: 0 });
    for (name, suspects) in [("b1", false), ("b2", false), ("b3", true)] {
        bench.tell(Event::Opinion {
            from: name.into(),
            near: false,
            suspects,
        });
    }
    bench.report(1, status(Role::Replica, 1, 1, 10));
    bench.report(2, status(Role::Replica, 1, 1, 10));
    bench.arrive(7);
    let refusal = bench.actions.iter().find_map(|action| match action {
        Action::Refuse { id: 7, refusal } => Some(refusal.clone()),
        _ => None,
    });
    let refusal = refusal.expect("it is sent elsewhere");
    expect_that!(refusal.reason, eq(Reason::CutOff));
    expect_that!(refusal.via, eq(&Via::Named("b1".into())));
    bench.pass(ms(500));
    expect_that!(bench.asked(|a| *a == Action::Claim), eq(0));
}

/// A ballot that only the first replica grants.
fn lose_a_ballot(bench: &mut Bench) {
    bench.ballot();
    bench.grant(1, 10);
    let term = bench.term();
    for member in [0, 2] {
        let answer = Err(MemberError::TimedOut);
        bench.tell(Event::Fenced {
            member,
            term,
            answer,
        });
    }
    // The primary was well after all.
    bench.report(0, status(Role::Primary, 1, 1, 10));
}

#[gtest]
fn a_lost_ballot_takes_its_fences_back_once_all_members_show_that_nobody_was_promoted() {
    let mut bench = Bench::new(0);
    lose_a_ballot(&mut bench);
    let fence = bench.term();
    for _ in 0..70 {
        bench.now += ms(50);
        bench.report(0, status(Role::Primary, 1, 1, 10));
        bench.report(1, status(Role::Replica, 1, fence, 10));
        bench.report(2, status(Role::Replica, 1, 1, 10));
    }
    expect_that!(bench.actions, contains(eq(&Action::Release { member: 1 })));
}

/// The member that can't be seen may have been promoted on the strength of a fence that
/// ours replaced: on mlg-cartes-mix-add_nodes-78-11 the old primary's writes were then
/// acknowledged beside the new one's.
#[gtest]
fn a_lost_ballot_keeps_its_fences_while_a_member_may_have_been_promoted_unseen() {
    let mut bench = Bench::new(0);
    lose_a_ballot(&mut bench);
    let fence = bench.term();
    for _ in 0..200 {
        bench.now += ms(50);
        bench.report(0, status(Role::Primary, 1, 1, 10));
        bench.report(1, status(Role::Replica, 1, fence, 10));
    }
    expect_that!(bench.asked(|a| matches!(a, Action::Release { .. })), eq(0));
    bench.write(1);
    expect_that!(bench.outcome(1), none());
    // Another ballot is the way on.
    expect_that!(bench.asked(|a| *a == Action::Claim), gt(1));
}

/// The entry of a member behind a cut lapses while it leads there.
#[gtest]
fn a_fence_outlives_the_member_that_may_have_been_promoted() {
    let mut bench = Bench::new(0);
    lose_a_ballot(&mut bench);
    let fence = bench.term();
    let now = bench.now;
    let left = vec![member(0, false), member(1, false)];
    bench.group.set_plan(plan(left), now);
    for _ in 0..200 {
        bench.now += ms(50);
        bench.report(0, status(Role::Primary, 1, 1, 10));
        bench.report(1, status(Role::Replica, 1, fence, 10));
    }
    expect_that!(bench.asked(|a| matches!(a, Action::Release { .. })), eq(0));
}

#[gtest]
fn a_fence_that_somebody_left_behind_is_taken_back() {
    let mut bench = Bench::new(0);
    for _ in 0..90 {
        bench.now += ms(50);
        bench.report(0, status(Role::Primary, 1, 1, 10));
        bench.report(1, status(Role::Replica, 1, 9, 10));
        bench.report(2, status(Role::Replica, 1, 1, 10));
    }
    expect_that!(bench.actions, contains(eq(&Action::Release { member: 1 })));
    expect_that!(bench.asked(|a| matches!(a, Action::Fence { .. })), eq(0));
}

/// A replica that reached the new primary again received its entries before it named its
/// term, and passed for one that had received the old primary's last write.
#[gtest]
fn entries_of_a_later_term_are_none_of_the_one_that_a_member_still_names() {
    let row = "DATA replica 1 2.136 0 0 0 8";
    let found = report(row, Some(Position::new(2, 130))).expect("a status row");
    expect_that!(found.log, eq(Position::new(2, 136)));
    expect_that!(found.promised, eq(2));
    expect_that!(found.applied, eq(Position::new(2, 130)));
}

/// On cosecha-larkfall-mix-primary_cut-501-26 a primary that was cut off while another
/// was promoted won the next ballot by its greater log: what had been lost came back.
#[gtest]
fn a_former_primary_that_never_followed_the_new_one_brings_nothing_back() {
    let mut bench = Bench::new(0);
    bench.report(1, status(Role::Primary, 2, 2, 10));
    bench.report(0, status(Role::Primary, 1, 1, 14));
    bench.tell(Event::Broken { member: 1 });
    // The new primary gets its time first.
    bench.pass(ms(1_200));
    for name in ["b1", "b2"] {
        bench.tell(Event::Opinion {
            from: name.into(),
            near: false,
            suspects: true,
        });
    }
    bench.report(0, status(Role::Replica, 1, 1, 14));
    bench.report(2, status(Role::Replica, 1, 1, 10));
    bench.pass(ms(20));
    bench.tell(Event::Claimed { won: true });
    let term = bench.term();
    bench.grant(0, 14);
    bench.grant(2, 10);
    bench.tell(Event::Revoked { term });
    expect_that!(
        bench.actions,
        contains(eq(&Action::Promote { member: 2, term }))
    );
}

/// A member takes some time to follow; orders sent at each look took its slots.
#[gtest]
fn a_member_that_does_not_follow_yet_is_told_so_now_and_then() {
    let mut bench = Bench::new(0);
    bench.report(1, status(Role::Primary, 2, 2, 10));
    bench.actions.clear();
    for _ in 0..40 {
        bench.now += ms(20);
        bench.report(2, status(Role::Replica, 1, 1, 10));
    }
    let told = bench.asked(|a| matches!(a, Action::Follow { member: 2, .. }));
    expect_that!(told, all!(ge(2), le(3)));
}

#[gtest]
fn who_stays_is_promoted_rather_than_who_leaves() {
    let mut bench = Bench::new(0);
    let members = vec![member(0, true), member(1, true), member(2, false)];
    let now = bench.now;
    bench.group.set_plan(plan(members), now);
    bench.pass(ms(200));
    bench.tell(Event::Claimed { won: true });
    bench.pass(ms(60));
    bench.grant(0, 12);
    bench.grant(1, 12);
    bench.grant(2, 11);
    let term = bench.term();
    bench.tell(Event::Revoked { term });
    expect_that!(
        bench.actions,
        contains(eq(&Action::Promote { member: 2, term }))
    );
}

#[gtest]
fn members_keep_their_places_while_others_come_and_go() {
    let mut bench = Bench::new(0);
    let kept = vec![member(0, false), member(1, false), member(3, false)];
    let now = bench.now;
    bench.group.set_plan(plan(kept.clone()), now);
    expect_that!(bench.group.primary(), some(eq(0)));
    expect_that!(bench.group.plan.members.len(), eq(4));
    // A member that is only missing from the list is one for a while.
    expect_that!(bench.group.present().collect::<Vec<_>>(), eq(&[0, 1, 2, 3]));
    bench.pass(settings().missing_grace + ms(10));
    expect_that!(bench.group.present().collect::<Vec<_>>(), eq(&[0, 1, 3]));
    bench.report(3, status(Role::Replica, 1, 1, 10));
    bench.write(1);
    bench.look();
    expect_that!(bench.outcome(1), some(eq(Outcome::Confirmed)));
}

#[gtest]
fn who_stops_waiting_leaves_the_queue() {
    let mut bench = Bench::new(0);
    for id in 10..20 {
        bench.arrive(id);
    }
    let running = |bench: &Bench| bench.asked(|a| matches!(a, Action::Assign { .. }));
    let before = running(&bench);
    for id in 10 + before as u64..20 {
        bench.tell(Event::Withdraw { id });
    }
    let took = ms(10);
    bench.tell(Event::Release { member: 0, took });
    expect_that!(running(&bench), eq(before));
}

/// In a cut failure domain a replica serves reads until its age passes their bound; the
/// primary there may do the same, but no longer.
#[gtest]
fn a_primary_without_a_majority_serves_reads_until_they_would_be_too_old() {
    let mut bench = Bench::new(0);
    for member in [1, 2] {
        bench.tell(Event::Broken { member });
    }
    bench.pass(ms(900));
    bench.report(0, status(Role::Primary, 1, 1, 11));
    bench.read(1, ms(2_500));
    bench.write(2);
    expect_that!(
        bench.asked(|a| matches!(
            a,
            Action::Assign {
                id: 1,
                member: 0,
                ..
            }
        )),
        eq(1)
    );
    expect_that!(bench.outcome(2), none());
    bench.pass(ms(2_500));
    bench.report(0, status(Role::Primary, 1, 1, 11));
    bench.read(3, ms(2_500));
    expect_that!(
        bench.asked(|a| matches!(a, Action::Assign { id: 3, .. })),
        eq(0)
    );
}

#[gtest]
fn a_member_that_takes_no_more_connections_gets_less_and_slowly_more() {
    let mut bench = Bench::new(0);
    bench.arrive(1);
    bench.tell(Event::Full { member: 0 });
    let took = ms(10);
    bench.tell(Event::Release { member: 0, took });
    bench.arrive(2);
    let assigned = |bench: &Bench, id: u64| {
        bench.asked(|a| matches!(a, Action::Assign { id: found, .. } if *found == id))
    };
    expect_that!(assigned(&bench, 2), eq(0));
    bench.pass(ms(400));
    expect_that!(assigned(&bench, 2), eq(1));
}

#[gtest]
fn a_box_that_has_not_heard_of_its_members_yet_lets_requests_wait() {
    let members = (0..3).map(|i| member(i, false)).collect();
    let group = Group::new(plan(members), "d0".into(), 0, settings(), 1, ms(0));
    let mut bench = Bench {
        group,
        now: ms(10),
        actions: Vec::new(),
    };
    // Members have no connection to spare: they live, and tell nothing.
    for _ in 0..20 {
        bench.now += ms(100);
        let began = bench.now;
        for member in 0..3 {
            bench.tell(Event::Status {
                member,
                began,
                answer: Err(MemberError::Busy),
            });
        }
    }
    bench.arrive(1);
    expect_that!(bench.asked(|a| matches!(a, Action::Refuse { .. })), eq(0));
    bench.report(0, status(Role::Primary, 1, 1, 10));
    bench.report(1, status(Role::Replica, 1, 1, 10));
    expect_that!(
        bench.asked(|a| matches!(a, Action::Assign { id: 1, .. })),
        eq(1)
    );
}

/// Some members never say that they leave: their entry goes, and they serve on.
#[gtest]
fn a_primary_that_vanishes_from_the_list_gets_nothing_new_in_time() {
    let mut bench = Bench::new(0);
    let others = (1..3).map(|i| member(i, false)).collect();
    bench.group.set_plan(plan(others), bench.now);
    let gone = bench.now;
    let look_until = |bench: &mut Bench, after: Duration| {
        while bench.now < gone + after {
            bench.now += ms(100);
            bench.look();
        }
    };
    // It may only have lapsed while the table was away.
    look_until(&mut bench, ms(2_800));
    expect_that!(bench.asked(|a| *a == Action::Claim), eq(0));
    bench.arrive(1);
    expect_that!(
        bench.asked(|a| matches!(a, Action::Assign { id: 1, .. })),
        eq(1)
    );
    look_until(&mut bench, ms(3_300));
    expect_that!(bench.asked(|a| *a == Action::Claim), gt(0));
    // Nobody takes over: members serve on for 7 s without a word, and no longer.
    look_until(&mut bench, ms(5_000));
    bench.arrive(2);
    expect_that!(
        bench.asked(|a| matches!(a, Action::Assign { id: 2, .. })),
        eq(0)
    );
}

/// A box that started in a cut failure domain stayed ready, and its balancer sent it and
/// all its neighbours callers.
#[gtest]
fn a_box_that_starts_in_a_cut_knows_it_without_ever_having_seen_a_primary() {
    let members = (0..3).map(|i| member(i, false)).collect();
    let mut group = Group::new(plan(members), "d0".into(), 0, settings(), 1, ms(0));
    let mut now = ms(0);
    group.handle(Event::Tick, now);
    expect_that!(group.reaches(now), none());
    while now < ms(3_000) {
        now += ms(50);
        let answer = Ok(status(Role::Replica, 1, 1, 10));
        group.handle(
            Event::Status {
                member: 0,
                began: now - ms(1),
                answer,
            },
            now,
        );
        for member in 1..3 {
            group.handle(Event::Unreached { member }, now);
        }
    }
    expect_that!(group.reaches(now), some(eq(false)));
}

/// On trouble-2 of mlg-cartes-grown ten boxes that did not get through to the store
/// fenced against each other for four seconds.
#[gtest]
fn a_ballot_that_finds_another_under_way_gives_it_its_time() {
    let mut bench = Bench::new(0);
    bench.ballot();
    let (term, fences) = (
        bench.term(),
        bench.asked(|a| matches!(a, Action::Fence { .. })),
    );
    expect_that!(bench.group.bid(term).known_promise, eq(1));
    // Two members have taken the fence of another box meanwhile.
    for member in [1, 2] {
        let answer = Err(MemberError::Fenced { promised: term + 1 });
        bench.tell(Event::Fenced {
            member,
            term,
            answer,
        });
    }
    let rest = |bench: &mut Bench, length: Duration| {
        let end = bench.now + length;
        while bench.now < end {
            bench.pass(ms(50));
            bench.report(1, status(Role::Replica, 1, term + 1, 10));
            bench.report(2, status(Role::Replica, 1, term + 1, 10));
        }
    };
    rest(&mut bench, ms(1_500));
    expect_that!(bench.asked(|a| *a == Action::Claim), eq(1));
    // It led to nothing.
    rest(&mut bench, ms(1_000));
    bench.tell(Event::Claimed { won: true });
    expect_that!(bench.asked(|a| *a == Action::Claim), eq(2));
    expect_that!(
        bench.asked(|a| matches!(a, Action::Fence { .. })),
        gt(fences)
    );
    expect_that!(bench.group.bid(bench.term()).known_promise, eq(term + 1));
}

/// On an incident of cosecha-larkfall-grown the new primary was seen before its order's
/// answer came: nobody told the other replica to receive again, and for three seconds no
/// write was acknowledged.
#[gtest]
fn a_promotion_that_a_look_shows_first_is_won_all_the_same() {
    let mut bench = Bench::new(0);
    bench.ballot();
    bench.grant(1, 12);
    bench.grant(2, 10);
    let term = bench.term();
    bench.tell(Event::Revoked { term });
    expect_that!(bench.asked(promotes), eq(1));
    bench.report(1, status(Role::Primary, 2, 2, 12));
    let follows = |bench: &Bench, i: usize| {
        bench.asked(|a| matches!(a, Action::Follow { member, term: 2, primary: 1 } if *member == i))
    };
    expect_that!(follows(&bench, 0), eq(1));
    expect_that!(follows(&bench, 2), eq(1));
    expect_that!(
        bench.asked(|a| matches!(a, Action::Note(Note::Won { .. }))),
        eq(1)
    );
    // The order's own answer changes nothing more.
    let answer = Ok(status(Role::Primary, 2, 2, 12));
    bench.tell(Event::Promoted { term, answer });
    expect_that!(follows(&bench, 2), eq(1));
}
