//! Leases in place of a fence at the primary: decisions of one group with the platform's
//! settings.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::borders::member::{MemberError, Role, Status, Stream};
use larkfall::decisions::confirmation::Outcome;
use larkfall::decisions::group::{
    Action, Event, Group, Note, Reason, Request, Settings, Target, Via,
};
use larkfall::decisions::position::Position;
use larkfall::declarations::resource::{Address, Durability, Group as Declared, Member};
use larkfall::declarations::snapshot::Plan;
use larkfall::platform::control::parse_status;
use larkfall::platform::settings::group_settings;

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
        recorded: BTreeMap::new(),
    })
}

fn settings() -> Settings {
    group_settings()
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

/// One group at one box, with the actions that it requested.
pub struct Fixture {
    pub group: Group,
    pub now: Duration,
    pub actions: Vec<Action>,
}

impl Fixture {
    /// Creates a group whose members have all reported, at the owner of `rank`.
    pub fn new(rank: u32) -> Self {
        let members = (0..3).map(|i| member(i, false)).collect();
        let mut fixture = Self::with_plan(plan(members), rank, ms(0));
        fixture.report_all();
        fixture
    }

    /// Creates a group as a box takes it over, before any report.
    pub fn with_plan(plan: Arc<Plan>, rank: u32, now: Duration) -> Self {
        let group = Group::new(plan, "d0".into(), rank, settings(), 1, now);
        let mut fixture = Self {
            group,
            now: now + ms(10),
            actions: Vec::new(),
        };
        fixture.group.set_rank(rank, 1);
        fixture.handle(Event::BoxListed { listed: true });
        fixture
    }

    pub fn handle(&mut self, event: Event) {
        self.actions.extend(self.group.handle(event, self.now));
    }

    pub fn report(&mut self, member: usize, status: Status) {
        let began = self.now;
        self.now += ms(1);
        self.handle(Event::Probed {
            member,
            began,
            answer: Ok(status),
        });
    }

    /// Reports all members as healthy.
    pub fn report_all(&mut self) {
        self.report(0, status(Role::Primary, 1, 1, 10));
        self.report(1, status(Role::Replica, 1, 1, 10));
        self.report(2, status(Role::Replica, 1, 1, 10));
    }

    /// Advances the time in small steps with a tick each.
    pub fn advance(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += ms(5);
            self.handle(Event::Tick);
        }
    }

    /// Reports a write that the primary has run, to be confirmed within 700 ms.
    pub fn record_write(&mut self, id: u64) {
        let position = Position::new(1, 11);
        let deadline = self.now + ms(700);
        self.handle(Event::ConfirmWrite {
            id,
            member: 0,
            position,
            deadline,
        });
    }

    /// Submits a read of at most `max_age`, due within 700 ms.
    pub fn submit_read(&mut self, id: u64, max_age: Duration) {
        let now = self.now;
        self.handle(Event::Arrived(Request {
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

    /// Submits a write due within 700 ms.
    pub fn submit_write(&mut self, id: u64) {
        let now = self.now;
        self.handle(Event::Arrived(Request {
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
            Action::ReportOutcome { id, outcome } if *id == wanted => Some(*outcome),
            _ => None,
        })
    }

    pub fn count_actions(&self, wanted: impl Fn(&Action) -> bool) -> usize {
        self.actions.iter().filter(|action| wanted(action)).count()
    }

    /// Starts a ballot: the primary fails, the other boxes suspect it too, and this box wins the
    /// duty.
    pub fn start_ballot(&mut self) {
        self.handle(Event::ConnectionLost { member: 0 });
        for name in ["b1", "b2"] {
            self.handle(Event::OpinionReceived {
                from: name.into(),
                same_domain: false,
                suspects: true,
            });
        }
        self.report(1, status(Role::Replica, 1, 1, 10));
        self.report(2, status(Role::Replica, 1, 1, 10));
        self.advance(ms(20));
        self.handle(Event::DutyClaimed { won: true });
    }

    /// Returns the ballot's term, as named in the latest fence.
    pub fn ballot_term(&self) -> u64 {
        let fence = self.actions.iter().rev().find_map(|action| match action {
            Action::Fence { term, .. } => Some(*term),
            _ => None,
        });
        fence.expect("a member was fenced")
    }

    pub fn grant_fence(&mut self, member: usize, index: u64) {
        let term = self.ballot_term();
        self.handle(Event::Fenced {
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
    let mut fixture = Fixture::new(0);
    fixture.record_write(1);
    expect_that!(fixture.outcome(1), some(eq(Outcome::Confirmed)));
    fixture.now += ms(2_000);
    fixture.record_write(2);
    expect_that!(fixture.outcome(2), none());
    fixture.report_all();
    expect_that!(fixture.outcome(2), some(eq(Outcome::Confirmed)));
}

#[gtest]
fn a_write_is_acknowledged_at_once_where_members_replicate_synchronously() {
    let mut fixture = Fixture::new(0);
    let mut synced = Plan::clone(&fixture.group.plan);
    synced.group.durability = Durability::Members;
    let now = fixture.now;
    fixture.group.set_plan(Arc::new(synced), now);
    fixture.record_write(1);
    expect_that!(fixture.outcome(1), some(eq(Outcome::Confirmed)));
}

#[gtest]
fn a_fence_ends_the_wait_for_confirmation() {
    let mut fixture = Fixture::new(0);
    fixture.now += ms(2_000);
    fixture.record_write(1);
    fixture.report(1, status(Role::Replica, 1, 5, 10));
    expect_that!(fixture.outcome(1), some(eq(Outcome::Unknown)));
}

#[gtest]
fn ordinary_answers_renew_the_lease() {
    let mut fixture = Fixture::new(0);
    for round in 0..40 {
        fixture.now += ms(100);
        let (began, now) = (fixture.now, fixture.now);
        fixture.handle(Event::Answered {
            member: 0,
            began,
            position: Some(Position::new(1, 11 + round)),
            proves_primary: true,
        });
        fixture.now = now + ms(50);
        let began = fixture.now;
        fixture.handle(Event::Answered {
            member: 1,
            began,
            position: Some(Position::new(1, 11 + round)),
            proves_primary: false,
        });
    }
    fixture.record_write(1);
    expect_that!(fixture.outcome(1), some(eq(Outcome::Confirmed)));
}

/// A promotion clears the fences of all members, so a replica without a fence doesn't
/// prove that the unreachable third member wasn't promoted. Guards against acknowledging
/// an old primary's writes.
#[gtest]
fn a_replica_without_a_fence_confirms_nothing_while_another_member_is_unreachable() {
    let mut fixture = Fixture::new(0);
    fixture.advance(ms(900));
    fixture.report(0, status(Role::Primary, 1, 1, 12));
    fixture.report(1, status(Role::Replica, 1, 1, 10));
    fixture.record_write(1);
    expect_that!(fixture.outcome(1), none());
    // Later reports don't confirm the write or a read either.
    let now = fixture.now;
    fixture.handle(Event::ConfirmRead {
        id: 2,
        term: 1,
        since: now,
        position: None,
        deadline: now + ms(700),
    });
    fixture.report(0, status(Role::Primary, 1, 1, 12));
    fixture.report(1, status(Role::Replica, 1, 1, 10));
    expect_that!(fixture.outcome(1), none());
    expect_that!(fixture.outcome(2), none());
    // An entry received from the primary proves that the primary led when it was sent.
    fixture.now += ms(5);
    fixture.report(0, status(Role::Primary, 1, 1, 12));
    fixture.report(1, status(Role::Replica, 1, 1, 13));
    fixture.report(0, status(Role::Primary, 1, 1, 13));
    expect_that!(fixture.outcome(1), some(eq(Outcome::Confirmed)));
    // A report of the third member that it doesn't lead confirms the read.
    for member in [1, 2] {
        fixture.report(member, status(Role::Replica, 1, 1, 13));
    }
    fixture.report(0, status(Role::Primary, 1, 1, 13));
    expect_that!(fixture.outcome(2), some(eq(Outcome::Confirmed)));
}

#[gtest]
fn a_replica_that_shows_nothing_new_does_not_renew_the_lease() {
    let mut fixture = Fixture::new(0);
    for _ in 0..40 {
        fixture.now += ms(100);
        let began = fixture.now;
        fixture.handle(Event::Answered {
            member: 1,
            began,
            position: Some(Position::new(1, 10)),
            proves_primary: false,
        });
    }
    fixture.record_write(1);
    expect_that!(fixture.outcome(1), none());
}

#[gtest]
fn a_box_that_is_not_listed_uses_no_lease() {
    let mut fixture = Fixture::new(0);
    fixture.handle(Event::BoxListed { listed: false });
    fixture.record_write(1);
    expect_that!(fixture.outcome(1), none());
}

#[gtest]
fn a_promotion_waits_until_leases_have_run_out_or_are_revoked() {
    let mut fixture = Fixture::new(0);
    fixture.start_ballot();
    fixture.grant_fence(1, 12);
    fixture.grant_fence(2, 10);
    expect_that!(
        fixture.count_actions(|a| matches!(a, Action::RevokeLeases { .. })),
        eq(1)
    );
    expect_that!(fixture.count_actions(promotes), eq(0));
    let lease = settings().failover.lease;
    fixture.advance(lease - ms(20));
    let term = fixture.ballot_term();
    fixture.report(1, status(Role::Replica, 1, term, 12));
    fixture.report(2, status(Role::Replica, 1, term, 10));
    expect_that!(fixture.count_actions(promotes), eq(0));
    fixture.advance(ms(40));
    expect_that!(
        fixture.actions,
        contains(eq(&Action::Promote { member: 1, term }))
    );

    let mut fixture = Fixture::new(0);
    fixture.start_ballot();
    fixture.grant_fence(1, 10);
    fixture.grant_fence(2, 12);
    let term = fixture.ballot_term();
    fixture.handle(Event::LeasesRevoked { term });
    expect_that!(
        fixture.actions,
        contains(eq(&Action::Promote { member: 2, term }))
    );
}

#[gtest]
fn a_ballot_overtaken_by_a_higher_one_promotes_no_member() {
    let mut fixture = Fixture::new(0);
    fixture.start_ballot();
    fixture.grant_fence(1, 12);
    fixture.grant_fence(2, 10);
    let lease = settings().failover.lease;
    fixture.advance(lease - ms(20));
    let term = fixture.ballot_term();
    fixture.report(1, status(Role::Replica, 1, term, 12));
    fixture.report(2, status(Role::Replica, 1, term + 3, 10));
    fixture.advance(ms(2_000));
    expect_that!(fixture.count_actions(promotes), eq(0));
    expect_that!(
        fixture.count_actions(|a| matches!(a, Action::Log(Note::BallotLost { .. }))),
        eq(1)
    );
}

#[gtest]
fn an_outdated_observation_of_the_fences_promotes_no_member() {
    let mut fixture = Fixture::new(0);
    fixture.start_ballot();
    fixture.grant_fence(1, 12);
    fixture.grant_fence(2, 10);
    let term = fixture.ballot_term();
    for _ in 0..4 {
        fixture.report(1, status(Role::Replica, 1, term, 12));
        fixture.report(2, status(Role::Replica, 1, term, 10));
    }
    let probes =
        |fixture: &Fixture| fixture.count_actions(|a| matches!(a, Action::Probe { member: 1 }));
    let before = probes(&fixture);
    fixture.advance(settings().failover.lease + ms(20));
    expect_that!(fixture.count_actions(promotes), eq(0));
    expect_that!(probes(&fixture), gt(before));
}

#[gtest]
fn revoking_a_lease_discards_earlier_observations() {
    let mut fixture = Fixture::new(0);
    fixture.handle(Event::RevokeLease);
    fixture.record_write(1);
    expect_that!(fixture.outcome(1), none());
}

#[gtest]
fn boxes_of_different_rank_fence_with_different_terms() {
    let mut terms = Vec::new();
    for rank in 0..4 {
        let mut fixture = Fixture::new(rank);
        fixture.start_ballot();
        fixture.advance(ms(1_200));
        fixture.handle(Event::DutyClaimed { won: true });
        terms.push(fixture.ballot_term());
    }
    terms.dedup();
    expect_that!(terms.len(), eq(4));
}

#[gtest]
fn a_box_that_lost_the_claim_waits_for_the_winner() {
    let mut fixture = Fixture::new(0);
    fixture.handle(Event::ConnectionLost { member: 0 });
    fixture.handle(Event::OpinionReceived {
        from: "b1".into(),
        same_domain: false,
        suspects: true,
    });
    fixture.report(1, status(Role::Replica, 1, 1, 10));
    fixture.report(2, status(Role::Replica, 1, 1, 10));
    fixture.advance(ms(20));
    expect_that!(fixture.count_actions(|a| *a == Action::ClaimDuty), eq(1));
    fixture.handle(Event::DutyClaimed { won: false });
    fixture.advance(ms(1_000));
    expect_that!(fixture.count_actions(|a| *a == Action::ClaimDuty), eq(1));
    expect_that!(
        fixture.count_actions(|a| matches!(a, Action::Fence { .. })),
        eq(0)
    );
}

#[gtest]
fn a_primary_that_most_boxes_reach_is_not_replaced_and_requests_are_sent_via_them() {
    let mut fixture = Fixture::new(0);
    fixture.handle(Event::ConnectionLost { member: 0 });
    for (name, suspects) in [("b1", false), ("b2", false), ("b3", true)] {
        fixture.handle(Event::OpinionReceived {
            from: name.into(),
            same_domain: false,
            suspects,
        });
    }
    fixture.report(1, status(Role::Replica, 1, 1, 10));
    fixture.report(2, status(Role::Replica, 1, 1, 10));
    fixture.submit_write(7);
    let refusal = fixture.actions.iter().find_map(|action| match action {
        Action::Refuse { id: 7, refusal } => Some(refusal.clone()),
        _ => None,
    });
    let refusal = refusal.expect("the request is refused with another box to try");
    expect_that!(refusal.reason, eq(Reason::CutOff));
    expect_that!(refusal.via, eq(&Via::Named("b1".into())));
    fixture.advance(ms(500));
    expect_that!(fixture.count_actions(|a| *a == Action::ClaimDuty), eq(0));
}

/// Runs a ballot that only the first replica grants.
fn fail_ballot(fixture: &mut Fixture) {
    fixture.start_ballot();
    fixture.grant_fence(1, 10);
    let term = fixture.ballot_term();
    for member in [0, 2] {
        let answer = Err(MemberError::TimedOut);
        fixture.handle(Event::Fenced {
            member,
            term,
            answer,
        });
    }
    // A later report shows that the primary still leads.
    fixture.report(0, status(Role::Primary, 1, 1, 10));
}

#[gtest]
fn a_failed_ballot_releases_its_fences_once_every_member_shows_no_promotion() {
    let mut fixture = Fixture::new(0);
    fail_ballot(&mut fixture);
    let fence = fixture.ballot_term();
    for _ in 0..70 {
        fixture.now += ms(50);
        fixture.report(0, status(Role::Primary, 1, 1, 10));
        fixture.report(1, status(Role::Replica, 1, fence, 10));
        fixture.report(2, status(Role::Replica, 1, 1, 10));
    }
    expect_that!(
        fixture.actions,
        contains(eq(&Action::ReleaseFence {
            member: 1,
            term: fence
        }))
    );
}

/// The unreachable member may have been promoted under an earlier fence. Guards against
/// acknowledging the old primary's writes beside the new primary's.
#[gtest]
fn a_failed_ballot_keeps_its_fences_while_an_unreachable_member_may_be_promoted() {
    let mut fixture = Fixture::new(0);
    fail_ballot(&mut fixture);
    let fence = fixture.ballot_term();
    for _ in 0..200 {
        fixture.now += ms(50);
        fixture.report(0, status(Role::Primary, 1, 1, 10));
        fixture.report(1, status(Role::Replica, 1, fence, 10));
    }
    expect_that!(
        fixture.count_actions(|a| matches!(a, Action::ReleaseFence { .. })),
        eq(0)
    );
    fixture.record_write(1);
    expect_that!(fixture.outcome(1), none());
    // Only another ballot can end the fences.
    expect_that!(fixture.count_actions(|a| *a == Action::ClaimDuty), gt(1));
}

/// The entry of a member beyond a partition may expire although the member was promoted there.
/// Guards against releasing the fence then.
#[gtest]
fn a_fence_is_kept_after_the_possibly_promoted_member_left_the_list() {
    let mut fixture = Fixture::new(0);
    fail_ballot(&mut fixture);
    let fence = fixture.ballot_term();
    let now = fixture.now;
    let left = vec![member(0, false), member(1, false)];
    fixture.group.set_plan(plan(left), now);
    for _ in 0..200 {
        fixture.now += ms(50);
        fixture.report(0, status(Role::Primary, 1, 1, 10));
        fixture.report(1, status(Role::Replica, 1, fence, 10));
    }
    expect_that!(
        fixture.count_actions(|a| matches!(a, Action::ReleaseFence { .. })),
        eq(0)
    );
}

#[gtest]
fn an_orphaned_fence_of_another_box_is_released() {
    let mut fixture = Fixture::new(0);
    for _ in 0..90 {
        fixture.now += ms(50);
        fixture.report(0, status(Role::Primary, 1, 1, 10));
        fixture.report(1, status(Role::Replica, 1, 9, 10));
        fixture.report(2, status(Role::Replica, 1, 1, 10));
    }
    expect_that!(
        fixture.actions,
        contains(eq(&Action::ReleaseFence { member: 1, term: 9 }))
    );
    expect_that!(
        fixture.count_actions(|a| matches!(a, Action::Fence { .. })),
        eq(0)
    );
}

/// A replica may receive a new primary's entries before it reports the new term. Guards
/// against counting these entries as writes of the old primary.
#[gtest]
fn entries_of_a_later_term_do_not_count_for_the_reported_term() {
    let row = "DATA replica 1 2.136 0 0 0 8";
    let found = parse_status(row, Some(Position::new(2, 130))).expect("a status row");
    expect_that!(found.log, eq(Position::new(2, 136)));
    expect_that!(found.promised, eq(2));
    expect_that!(found.applied, eq(Position::new(2, 130)));
}

/// A primary that was cut off during a failover may have the greater log at the next one.
/// Guards against lost writes reappearing.
#[gtest]
fn a_former_primary_that_never_followed_the_new_one_is_not_promoted() {
    let mut fixture = Fixture::new(0);
    fixture.report(1, status(Role::Primary, 2, 2, 10));
    fixture.report(0, status(Role::Primary, 1, 1, 14));
    fixture.handle(Event::ConnectionLost { member: 1 });
    // Waits for the cooldown after the last failover.
    fixture.advance(ms(1_200));
    for name in ["b1", "b2"] {
        fixture.handle(Event::OpinionReceived {
            from: name.into(),
            same_domain: false,
            suspects: true,
        });
    }
    fixture.report(0, status(Role::Replica, 1, 1, 14));
    fixture.report(2, status(Role::Replica, 1, 1, 10));
    fixture.advance(ms(20));
    fixture.handle(Event::DutyClaimed { won: true });
    let term = fixture.ballot_term();
    fixture.grant_fence(0, 14);
    fixture.grant_fence(2, 10);
    fixture.handle(Event::LeasesRevoked { term });
    expect_that!(
        fixture.actions,
        contains(eq(&Action::Promote { member: 2, term }))
    );
}

/// A member takes some time to follow. Guards against filling its slots with orders to follow.
#[gtest]
fn orders_to_follow_are_repeated_at_intervals() {
    let mut fixture = Fixture::new(0);
    fixture.report(1, status(Role::Primary, 2, 2, 10));
    fixture.actions.clear();
    for _ in 0..40 {
        fixture.now += ms(20);
        fixture.report(2, status(Role::Replica, 1, 1, 10));
    }
    let orders = fixture.count_actions(|a| matches!(a, Action::Follow { member: 2, .. }));
    expect_that!(orders, all!(ge(2), le(3)));
}

#[gtest]
fn a_staying_member_is_promoted_before_a_leaving_one() {
    let mut fixture = Fixture::new(0);
    let members = vec![member(0, true), member(1, true), member(2, false)];
    let now = fixture.now;
    fixture.group.set_plan(plan(members), now);
    fixture.advance(ms(200));
    fixture.handle(Event::DutyClaimed { won: true });
    fixture.advance(ms(60));
    fixture.grant_fence(0, 12);
    fixture.grant_fence(1, 12);
    fixture.grant_fence(2, 11);
    let term = fixture.ballot_term();
    fixture.handle(Event::LeasesRevoked { term });
    expect_that!(
        fixture.actions,
        contains(eq(&Action::Promote { member: 2, term }))
    );
}

#[gtest]
fn members_keep_their_indices_while_others_join_and_leave() {
    let mut fixture = Fixture::new(0);
    let kept = vec![member(0, false), member(1, false), member(3, false)];
    let now = fixture.now;
    fixture.group.set_plan(plan(kept.clone()), now);
    expect_that!(fixture.group.primary(), some(eq(0)));
    expect_that!(fixture.group.plan.members.len(), eq(4));
    // A member missing from the list stays present for the grace time.
    expect_that!(
        fixture.group.present().collect::<Vec<_>>(),
        eq(&[0, 1, 2, 3])
    );
    fixture.advance(settings().missing_grace + ms(10));
    expect_that!(fixture.group.present().collect::<Vec<_>>(), eq(&[0, 1, 3]));
    fixture.report(3, status(Role::Replica, 1, 1, 10));
    fixture.record_write(1);
    fixture.report_all();
    expect_that!(fixture.outcome(1), some(eq(Outcome::Confirmed)));
}

#[gtest]
fn a_withdrawn_request_leaves_the_queue() {
    let mut fixture = Fixture::new(0);
    for id in 10..20 {
        fixture.submit_write(id);
    }
    let running = |fixture: &Fixture| fixture.count_actions(|a| matches!(a, Action::Assign { .. }));
    let before = running(&fixture);
    for id in 10 + before as u64..20 {
        fixture.handle(Event::Withdrawn { id });
    }
    let took = ms(10);
    fixture.handle(Event::SlotReleased { member: 0, took });
    expect_that!(running(&fixture), eq(before));
}

/// A primary that is cut off with its failure domain may serve a read only while its data
/// is within the read's age bound, as a replica may.
#[gtest]
fn a_primary_without_a_majority_serves_reads_within_their_age_bound() {
    let mut fixture = Fixture::new(0);
    for member in [1, 2] {
        fixture.handle(Event::ConnectionLost { member });
    }
    fixture.advance(ms(900));
    fixture.report(0, status(Role::Primary, 1, 1, 11));
    fixture.submit_read(1, ms(2_500));
    fixture.record_write(2);
    expect_that!(
        fixture.count_actions(|a| matches!(
            a,
            Action::Assign {
                id: 1,
                member: 0,
                ..
            }
        )),
        eq(1)
    );
    expect_that!(fixture.outcome(2), none());
    fixture.advance(ms(2_500));
    fixture.report(0, status(Role::Primary, 1, 1, 11));
    fixture.submit_read(3, ms(2_500));
    expect_that!(
        fixture.count_actions(|a| matches!(a, Action::Assign { id: 3, .. })),
        eq(0)
    );
}

#[gtest]
fn the_connection_limit_of_a_full_member_drops_and_slowly_recovers() {
    let mut fixture = Fixture::new(0);
    fixture.submit_write(1);
    fixture.handle(Event::ConnectionLimitReached { member: 0 });
    let took = ms(10);
    fixture.handle(Event::SlotReleased { member: 0, took });
    fixture.submit_write(2);
    let assigned = |fixture: &Fixture, id: u64| {
        fixture.count_actions(|a| matches!(a, Action::Assign { id: found, .. } if *found == id))
    };
    expect_that!(assigned(&fixture, 2), eq(0));
    fixture.advance(ms(400));
    expect_that!(assigned(&fixture, 2), eq(1));
}

#[gtest]
fn requests_wait_until_a_new_box_has_a_report_of_its_members() {
    let members = (0..3).map(|i| member(i, false)).collect();
    let group = Group::new(plan(members), "d0".into(), 0, settings(), 1, ms(0));
    let mut fixture = Fixture {
        group,
        now: ms(10),
        actions: Vec::new(),
    };
    // The members are busy: they are alive, but send no status.
    for _ in 0..20 {
        fixture.now += ms(100);
        let began = fixture.now;
        for member in 0..3 {
            fixture.handle(Event::Probed {
                member,
                began,
                answer: Err(MemberError::Busy),
            });
        }
    }
    fixture.submit_write(1);
    expect_that!(
        fixture.count_actions(|a| matches!(a, Action::Refuse { .. })),
        eq(0)
    );
    fixture.report(0, status(Role::Primary, 1, 1, 10));
    fixture.report(1, status(Role::Replica, 1, 1, 10));
    expect_that!(
        fixture.count_actions(|a| matches!(a, Action::Assign { id: 1, .. })),
        eq(1)
    );
}

/// Guards against statements to a member whose entry is removed without an announcement.
#[gtest]
fn a_primary_missing_from_the_list_stops_getting_statements_in_time() {
    let mut fixture = Fixture::new(0);
    let others = (1..3).map(|i| member(i, false)).collect();
    fixture.group.set_plan(plan(others), fixture.now);
    let removed = fixture.now;
    let report_until = |fixture: &mut Fixture, after: Duration| {
        while fixture.now < removed + after {
            fixture.now += ms(100);
            fixture.report_all();
        }
    };
    // The entry may have expired while the table was unreachable.
    report_until(&mut fixture, ms(2_800));
    expect_that!(fixture.count_actions(|a| *a == Action::ClaimDuty), eq(0));
    fixture.submit_write(1);
    expect_that!(
        fixture.count_actions(|a| matches!(a, Action::Assign { id: 1, .. })),
        eq(1)
    );
    report_until(&mut fixture, ms(3_300));
    expect_that!(fixture.count_actions(|a| *a == Action::ClaimDuty), gt(0));
    // No member takes over. The removed member serves for 7 s without an announcement.
    report_until(&mut fixture, ms(5_000));
    fixture.submit_write(2);
    expect_that!(
        fixture.count_actions(|a| matches!(a, Action::Assign { id: 2, .. })),
        eq(0)
    );
}

/// Guards against a box in a cut-off failure domain staying ready and receiving callers.
#[gtest]
fn a_box_that_starts_cut_off_detects_it_without_ever_having_seen_a_primary() {
    let members = (0..3).map(|i| member(i, false)).collect();
    let mut group = Group::new(plan(members), "d0".into(), 0, settings(), 1, ms(0));
    let mut now = ms(0);
    group.handle(Event::Tick, now);
    expect_that!(group.reaches_majority(now), none());
    while now < ms(3_000) {
        now += ms(50);
        let answer = Ok(status(Role::Replica, 1, 1, 10));
        group.handle(
            Event::Probed {
                member: 0,
                began: now - ms(1),
                answer,
            },
            now,
        );
        for member in 1..3 {
            group.handle(Event::ConnectTimedOut { member }, now);
        }
    }
    expect_that!(group.reaches_majority(now), some(eq(false)));
}

/// Guards against boxes that can't reach the store fencing against each other.
#[gtest]
fn a_ballot_that_meets_a_rival_backs_off() {
    let mut fixture = Fixture::new(0);
    fixture.start_ballot();
    let (term, fences) = (
        fixture.ballot_term(),
        fixture.count_actions(|a| matches!(a, Action::Fence { .. })),
    );
    expect_that!(fixture.group.fence_request(term).known_promise, eq(1));
    // Two members have granted another box's fence meanwhile.
    for member in [1, 2] {
        let answer = Err(MemberError::Fenced { promised: term + 1 });
        fixture.handle(Event::Fenced {
            member,
            term,
            answer,
        });
    }
    let report_for = |fixture: &mut Fixture, length: Duration| {
        let end = fixture.now + length;
        while fixture.now < end {
            fixture.advance(ms(50));
            fixture.report(1, status(Role::Replica, 1, term + 1, 10));
            fixture.report(2, status(Role::Replica, 1, term + 1, 10));
        }
    };
    report_for(&mut fixture, ms(1_500));
    expect_that!(fixture.count_actions(|a| *a == Action::ClaimDuty), eq(1));
    // The other ballot has failed.
    report_for(&mut fixture, ms(1_000));
    fixture.handle(Event::DutyClaimed { won: true });
    expect_that!(fixture.count_actions(|a| *a == Action::ClaimDuty), eq(2));
    expect_that!(
        fixture.count_actions(|a| matches!(a, Action::Fence { .. })),
        gt(fences)
    );
    expect_that!(
        fixture
            .group
            .fence_request(fixture.ballot_term())
            .known_promise,
        eq(term + 1)
    );
}

/// Guards against a replica that isn't told to follow when a status report shows the new
/// primary before the promotion is answered.
#[gtest]
fn a_promotion_seen_in_a_report_before_its_answer_is_won() {
    let mut fixture = Fixture::new(0);
    fixture.start_ballot();
    fixture.grant_fence(1, 12);
    fixture.grant_fence(2, 10);
    let term = fixture.ballot_term();
    fixture.handle(Event::LeasesRevoked { term });
    expect_that!(fixture.count_actions(promotes), eq(1));
    fixture.report(1, status(Role::Primary, 2, 2, 12));
    let follows = |fixture: &Fixture, i: usize| {
        fixture.count_actions(
            |a| matches!(a, Action::Follow { member, term: 2, primary: 1 } if *member == i),
        )
    };
    expect_that!(follows(&fixture, 0), eq(1));
    expect_that!(follows(&fixture, 2), eq(1));
    expect_that!(
        fixture.count_actions(|a| matches!(a, Action::Log(Note::PrimaryPromoted { .. }))),
        eq(1)
    );
    // The late answer to the promotion has no further effect.
    let answer = Ok(status(Role::Primary, 2, 2, 12));
    fixture.handle(Event::Promoted { term, answer });
    expect_that!(follows(&fixture, 2), eq(1));
}
