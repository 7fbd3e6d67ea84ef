//! Decisions of a group on single events.

use googletest::prelude::*;
use larkfall::borders::member::{Role, Status, Stream};
use larkfall::decisions::failover::Corroboration;
use larkfall::decisions::group::{Action, Event, Group, Note};
use larkfall::decisions::position::Position;

use super::fake::{ms, new_group, new_group_with};

fn status(promised: u64, log: Position, applied: Position) -> Status {
    Status {
        promised,
        role: Role::Primary,
        log,
        applied,
        stream: Stream::None,
    }
}

fn report(status: Status) -> Event {
    Event::Probed {
        member: 0,
        began: ms(1),
        answer: Ok(status),
    }
}

fn suspects_primary(group: &Group) -> bool {
    group.suspicions().next().expect("has a primary")
}

#[gtest]
fn implausible_reports_are_ignored() {
    let at = Position::new;
    for implausible in [
        status(u64::MAX, at(u64::MAX, 1), at(1, 1)),
        status(1 << 40, at(1 << 40, 1), at(1, 1)),
        status(1, at(2, 5), at(1, 5)),
        status(2, at(2, 5), at(2, 9)),
    ] {
        let mut group = new_group();
        let actions = group.handle(report(implausible), ms(2));
        expect_that!(
            actions,
            contains(eq(&Action::Log(Note::ImplausibleReport { member: 0 })))
        );
        expect_that!(group.term(), eq(0));
    }
}

#[gtest]
fn a_primary_that_reports_its_own_term_is_adopted() {
    let mut group = new_group();
    let at = Position::new;
    group.handle(report(status(1, at(1, 5), at(1, 5))), ms(2));
    expect_that!(group.term(), eq(1));
    expect_that!(group.primary(), some(eq(0)));
}

#[gtest]
fn a_silent_primary_is_suspected_without_other_events() {
    let mut group = new_group();
    let at = Position::new;
    group.handle(report(status(1, at(1, 5), at(1, 5))), ms(2));
    // No member answers any more; the group only gets the ticks that it asks for.
    let mut now = ms(2);
    while !suspects_primary(&group) && now < ms(10_000) {
        now = group.next_tick().max(now + ms(1));
        group.handle(Event::Tick, now);
    }
    // One probe period and three probes, 200 ms apart.
    expect_that!(now, le(ms(1_000 + 600 + 10)));
}

#[gtest]
fn an_owner_that_probes_rarely_probes_at_once_when_another_suspects_the_primary() {
    let mut group = new_group();
    group.set_rank(1, 1);
    let at = Position::new;
    group.handle(report(status(1, at(1, 5), at(1, 5))), ms(2));
    let mut now = ms(2);
    while !suspects_primary(&group) && now < ms(10_000) {
        now += ms(25);
        group.handle(Event::OpinionRequested, now);
    }
    // Three probes, 200 ms apart, instead of the probe period of four seconds.
    expect_that!(now, le(ms(1_000)));
}

/// Guards against a box in a partitioned failure domain that learns of the partition late: it
/// knows only once a majority is lost.
#[gtest]
fn a_silent_member_of_another_domain_has_all_other_domains_probed() {
    let mut group = new_group_with(|settings| settings.domain_loss = true);
    let at = Position::new;
    for member in 0..3 {
        let answer = Ok(status(1, at(1, 5), at(1, 5)));
        let event = Event::Probed {
            member,
            began: ms(1),
            answer,
        };
        group.handle(event, ms(2));
    }
    let late = Event::AnswerTimedOut {
        member: 1,
        after: ms(100),
    };
    let actions = group.handle(late, ms(500));
    let probed: Vec<usize> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Probe { member } => Some(*member),
            _ => None,
        })
        .collect();
    expect_that!(probed, unordered_elements_are![eq(&1), eq(&2)]);
}

/// Guards against a group that stays without a primary because all owners restarted while the
/// primary was unreachable and took the replicas' term for one with a primary.
#[gtest]
fn an_owner_that_never_saw_the_primary_replaces_it() {
    let mut group = new_group_with(|settings| {
        settings.failover.promotion_clears_fences = true;
        settings.failover.lease = ms(800);
        settings.failover.corroboration = Corroboration::Majority;
    });
    // Another box fenced the replicas of term 2 and stopped before the promotion.
    let replica = |promised: u64| Status {
        role: Role::Replica,
        ..status(promised, Position::new(2, 9), Position::new(2, 9))
    };
    let (mut now, mut fence, mut promoted) = (ms(2), None, None);
    while promoted.is_none() && now < ms(10_000) {
        let mut actions = Vec::new();
        for member in [1, 2] {
            let event = Event::Probed {
                member,
                began: now,
                answer: Ok(replica(fence.unwrap_or(5))),
            };
            actions.extend(group.handle(event, now));
        }
        for action in actions {
            match action {
                Action::Fence { member, term } if member > 0 => {
                    expect_that!(group.fence_request(term).replaced, eq(2));
                    expect_that!(group.fence_request(term).known_promise, ge(5));
                    fence = Some(term);
                    let answer = Ok(replica(term));
                    let event = Event::Fenced {
                        member,
                        term,
                        answer,
                    };
                    group.handle(event, now);
                }
                Action::Promote { member, .. } => promoted = Some(member),
                _ => {}
            }
        }
        now += ms(20);
    }
    expect_that!(promoted, some(any![eq(1), eq(2)]));
}
