//! Single events against a group's decisions.

use googletest::prelude::*;
use larkfall::borders::member::{Role, Status, Stream};
use larkfall::decisions::group::{Action, Event, Group, Note};
use larkfall::decisions::position::Position;
use larkfall::decisions::replace::Corroboration;

use super::fake::{fresh_group, fresh_group_with, ms};

fn status(promised: u64, log: Position, applied: Position) -> Status {
    Status {
        promised,
        role: Role::Primary,
        log,
        applied,
        stream: Stream::None,
    }
}

fn told(status: Status) -> Event {
    Event::Status {
        member: 0,
        began: ms(1),
        answer: Ok(status),
    }
}

fn is_suspected(group: &Group) -> bool {
    group.suspicions().next().expect("has a primary")
}

#[gtest]
fn reports_that_cannot_be_true_are_not_taken() {
    let at = Position::new;
    for nonsense in [
        status(u64::MAX, at(u64::MAX, 1), at(1, 1)),
        status(1 << 40, at(1 << 40, 1), at(1, 1)),
        status(1, at(2, 5), at(1, 5)),
        status(2, at(2, 5), at(2, 9)),
    ] {
        let mut group = fresh_group();
        let actions = group.handle(told(nonsense), ms(2));
        expect_that!(
            actions,
            contains(eq(&Action::Note(Note::Nonsense { member: 0 })))
        );
        expect_that!(group.term(), eq(0));
    }
}

#[gtest]
fn a_primary_that_reports_its_own_term_is_adopted() {
    let mut group = fresh_group();
    let at = Position::new;
    group.handle(told(status(1, at(1, 5), at(1, 5))), ms(2));
    expect_that!(group.term(), eq(1));
    expect_that!(group.primary(), some(eq(0)));
}

#[gtest]
fn silence_is_noticed_when_nothing_else_happens() {
    let mut group = fresh_group();
    let at = Position::new;
    group.handle(told(status(1, at(1, 5), at(1, 5))), ms(2));
    // Nobody answers any more; the group is woken only when it asks to be.
    let mut now = ms(2);
    while !is_suspected(&group) && now < ms(10_000) {
        now = group.wake().max(now + ms(1));
        group.handle(Event::Tick, now);
    }
    // The period, and three tries of 200 ms each.
    expect_that!(now, le(ms(1_000 + 600 + 10)));
}

#[gtest]
fn an_owner_that_looks_seldom_looks_at_once_when_another_suspects_the_primary() {
    let mut group = fresh_group();
    group.set_rank(1, 1);
    let at = Position::new;
    group.handle(told(status(1, at(1, 5), at(1, 5))), ms(2));
    let mut now = ms(2);
    while !is_suspected(&group) && now < ms(10_000) {
        now += ms(25);
        group.handle(Event::Asked, now);
    }
    // Three tries of 200 ms, not the four seconds between two looks.
    expect_that!(now, le(ms(1_000)));
}

/// The load: a cut failure domain. Its boxes know of the cut once a majority is lost, so a
/// silent member of one other domain has those of all others looked at.
#[gtest]
fn a_silent_member_of_another_domain_has_all_far_ones_looked_at() {
    let mut group = fresh_group_with(|settings| settings.domain_loss = true);
    let at = Position::new;
    for member in 0..3 {
        let answer = Ok(status(1, at(1, 5), at(1, 5)));
        let event = Event::Status {
            member,
            began: ms(1),
            answer,
        };
        group.handle(event, ms(2));
    }
    let late = Event::Late {
        member: 1,
        after: ms(100),
    };
    let actions = group.handle(late, ms(500));
    let looked: Vec<usize> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Probe { member } => Some(*member),
            _ => None,
        })
        .collect();
    expect_that!(looked, unordered_elements_are![eq(&1), eq(&2)]);
}

/// What users saw: a group without a primary for as long as a failure domain was cut. All of
/// its owners had started again while the primary was out of sight, and took the replicas'
/// term for one that had gone on without them.
#[gtest]
fn an_owner_that_never_saw_the_primary_replaces_it_all_the_same() {
    let mut group = fresh_group_with(|settings| {
        settings.replace.fences_end = true;
        settings.replace.lease = ms(800);
        settings.replace.corroboration = Corroboration::Majority;
    });
    // Another box has fenced the replicas of term 2 and ended before its promotion.
    let replica = |promised: u64| Status {
        role: Role::Replica,
        ..status(promised, Position::new(2, 9), Position::new(2, 9))
    };
    let (mut now, mut fence, mut promoted) = (ms(2), None, None);
    while promoted.is_none() && now < ms(10_000) {
        let mut actions = Vec::new();
        for member in [1, 2] {
            let event = Event::Status {
                member,
                began: now,
                answer: Ok(replica(fence.unwrap_or(5))),
            };
            actions.extend(group.handle(event, now));
        }
        for action in actions {
            match action {
                Action::Fence { member, term } if member > 0 => {
                    expect_that!(group.bid(term).replaced, eq(2));
                    expect_that!(group.bid(term).known_promise, ge(5));
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
