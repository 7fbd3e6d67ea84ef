//! Numbers of promotions' orders where one box has no table, in virtual time: two
//! boxes before three members, with delays drawn anew for every message.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::borders::member::{Fence, MemberError, Role, Status};
use larkfall::borders::table::Revision;
use larkfall::decisions::duty::{Claim, Duty, taken};
use larkfall::decisions::group::{Action, Event, Group};
use larkfall::platform::settings::decisions;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::fake::ms;
use super::lease::{member, plan, status};

const BOXES: usize = 2;
const MEMBERS: usize = 3;
/// The box that never reaches the table.
const CUT_OFF: usize = 1;
/// Time that a box waits for the table's answer, as in `node::duty`.
const TABLE_WAIT: Duration = ms(400);
/// Time that a member is silent before a question has failed.
const SILENCE: Duration = ms(900);
const PROMOTION: Duration = ms(300);
const LENGTH: Duration = ms(20_000);
const RUNS: u64 = 3_000;

/// A member that keeps fences as the users' members do.
#[derive(Clone, Copy)]
struct Fake {
    role: Role,
    term: u64,
    held: u64,
    dark: bool,
}

impl Fake {
    fn status(&self) -> Status {
        status(self.role, self.term, self.term.max(self.held), 10)
    }
}

enum Step {
    /// An event reaches a box.
    Tell(usize, Event),
    Wake(usize),
    Status {
        by: usize,
        member: usize,
        began: Duration,
    },
    /// A fence's first half: what the member says before.
    Fence {
        by: usize,
        member: usize,
        bid: Fence,
    },
    Pause {
        by: usize,
        member: usize,
        term: u64,
    },
    Resume {
        member: usize,
    },
    Follow {
        member: usize,
        term: u64,
    },
    Claim {
        by: usize,
        claim: Claim,
    },
    /// The winner is looked at before the order.
    Promote {
        by: usize,
        member: usize,
        term: u64,
        number: u64,
        claim: Claim,
    },
    Order {
        by: usize,
        member: usize,
        term: u64,
        number: u64,
    },
    Lead {
        by: usize,
        member: usize,
        term: u64,
    },
    Revoke {
        of: usize,
        by: usize,
        term: u64,
    },
    /// A box hears of the row.
    Hear {
        by: usize,
        duty: Duty,
    },
    Crash,
    Return(usize),
}

struct World {
    now: Duration,
    dice: SmallRng,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    steps: BTreeMap<u64, Step>,
    next: u64,
    boxes: Vec<Group>,
    claims: Vec<Option<Claim>>,
    known: Vec<Option<Duty>>,
    row: Option<Duty>,
    members: [Fake; MEMBERS],
    /// Numbers in the order in which they reached the platform, and from which box.
    orders: Vec<(u64, usize)>,
}

impl World {
    fn new(seed: u64) -> Self {
        let members: Vec<_> = (0..MEMBERS).map(|i| member(i, false)).collect();
        let group = |rank: usize| {
            let plan = plan(members.clone());
            let rank = rank as u32;
            let mut group = Group::new(plan, "d0".into(), rank, decisions(), seed, ms(0));
            group.set_rank(rank, 1);
            group
        };
        let replica = Fake {
            role: Role::Replica,
            term: 1,
            held: 0,
            dark: false,
        };
        let primary = Fake {
            role: Role::Primary,
            ..replica
        };
        // Either box may be the first in rank.
        let mut boxes: Vec<Group> = (0..BOXES).map(group).collect();
        if seed % 2 == 1 {
            boxes.reverse();
        }
        let mut world = Self {
            now: ms(0),
            dice: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            steps: BTreeMap::new(),
            next: 0,
            boxes,
            claims: vec![None; BOXES],
            known: vec![None; BOXES],
            row: None,
            members: [primary, replica, replica],
            orders: Vec::new(),
        };
        for by in 0..BOXES {
            world.at(ms(1), Step::Tell(by, Event::Listed { listed: true }));
        }
        for crash in 0..3 {
            let at = ms(world.dice.random_range(1_000..3_000) + crash * 5_500);
            world.at(at, Step::Crash);
        }
        world
    }

    fn at(&mut self, after: Duration, step: Step) {
        self.next += 1;
        self.queue.push(Reverse((self.now + after, self.next)));
        self.steps.insert(self.next, step);
    }

    /// One way of a message; some meet a busy member.
    fn way(&mut self) -> Duration {
        match self.dice.random_range(0..10) {
            0 => ms(self.dice.random_range(20..250)),
            _ => ms(self.dice.random_range(1..6)),
        }
    }

    fn soon(&mut self, step: Step) {
        let way = self.way();
        self.at(way, step);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > LENGTH {
                return;
            }
            self.now = at;
            let step = self.steps.remove(&id).expect("queued once");
            self.take(step);
        }
    }

    fn tell(&mut self, by: usize, event: Event) {
        let actions = self.boxes[by].handle(event, self.now);
        for action in actions {
            self.act(by, action);
        }
        let wake = self.boxes[by].wake().saturating_sub(self.now);
        self.at(wake.clamp(ms(5), ms(100)), Step::Wake(by));
    }

    fn act(&mut self, by: usize, action: Action) {
        let began = self.now;
        match action {
            Action::Probe { member } => self.soon(Step::Status { by, member, began }),
            Action::Fence { member, term } => {
                let bid = self.boxes[by].bid(term);
                self.soon(Step::Fence { by, member, bid });
            }
            Action::Release { member } => self.soon(Step::Resume { member }),
            Action::Follow { member, term, .. } => self.soon(Step::Follow { member, term }),
            Action::Claim => self.claim(by),
            Action::Promote { member, term } => {
                let claim = self.claims[by].clone().expect("the duty was taken");
                let number = claim.number(&self.boxes[by].ballot());
                self.soon(Step::Promote {
                    by,
                    member,
                    term,
                    number,
                    claim,
                });
            }
            Action::Revoke { term } => {
                let alone = self.claims[by].as_ref().is_some_and(|claim| claim.alone);
                let of = 1 - by;
                match alone {
                    true => {}
                    false => self.soon(Step::Revoke { of, by, term }),
                }
            }
            Action::Ask => {
                let term = self.boxes[by].term();
                let event = Event::Opinion {
                    from: "other".into(),
                    near: false,
                    suspects: self.boxes[1 - by].suspects(term),
                };
                self.soon(Step::Tell(by, event));
            }
            _ => {}
        }
    }

    fn claim(&mut self, by: usize) {
        let ballot = self.boxes[by].ballot();
        let holder: Arc<str> = format!("box-{by}").into();
        let duty = taken(self.known[by].as_ref(), &holder, &ballot);
        let slow = by != CUT_OFF && self.dice.random_range(0..3) == 0;
        if slow {
            // Done, and the answer comes too late.
            let claim = Claim {
                duty: duty.clone(),
                alone: false,
            };
            self.commit(&claim);
        }
        let alone = by == CUT_OFF || slow;
        let claim = Claim { duty, alone };
        match alone {
            true => self.at(TABLE_WAIT, Step::Claim { by, claim }),
            false => self.soon(Step::Claim { by, claim }),
        }
    }

    /// Writes the row unless another box has. The new revision.
    fn commit(&mut self, claim: &Claim) -> Option<Revision> {
        let row = self.row.as_ref();
        let revision = row.map_or(Revision::NONE, |row| row.revision);
        if revision != claim.duty.revision {
            return None;
        }
        let duty = Duty {
            revision: revision.next(),
            ..claim.duty.clone()
        };
        self.row = Some(duty.clone());
        let by = 1 - CUT_OFF;
        self.soon(Step::Hear { by, duty });
        Some(revision.next())
    }

    fn claimed(&mut self, by: usize, mut claim: Claim) {
        if !claim.alone {
            let Some(revision) = self.commit(&claim) else {
                return self.tell(by, Event::Claimed { won: false });
            };
            claim.duty.revision = revision;
        }
        self.claims[by] = Some(claim);
        self.tell(by, Event::Claimed { won: true });
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Tell(by, event) => self.tell(by, event),
            Step::Wake(by) => self.wake(by),
            Step::Status { by, member, began } => self.status(by, member, began),
            Step::Fence { by, member, bid } => self.fence(by, member, bid),
            Step::Pause { by, member, term } => self.pause(by, member, term),
            Step::Resume { member } => self.members[member].held = 0,
            Step::Follow { member, term } => self.follow(member, term),
            Step::Claim { by, claim } => self.claimed(by, claim),
            Step::Promote {
                by,
                member,
                term,
                number,
                claim,
            } => self.promote(by, (member, term), number, &claim),
            Step::Order {
                by,
                member,
                term,
                number,
            } => {
                self.orders.push((number, by));
                self.at(PROMOTION, Step::Lead { by, member, term });
            }
            Step::Lead { by, member, term } => self.lead(by, member, term),
            Step::Revoke { of, by, term } => {
                self.tell(of, Event::Revoke);
                if !self.boxes[of].is_deposing() {
                    self.soon(Step::Tell(by, Event::Revoked { term }));
                }
            }
            Step::Hear { by, duty } => self.known[by] = Some(duty),
            Step::Crash => self.crash(),
            Step::Return(member) => {
                let newest = self.members.iter().map(|m| m.term).max();
                self.members[member] = Fake {
                    role: Role::Replica,
                    term: newest.expect("there are members"),
                    held: 0,
                    dark: false,
                };
            }
        }
    }

    fn wake(&mut self, by: usize) {
        let pending = self.steps.values();
        let waits = |step: &&Step| matches!(step, Step::Wake(other) if *other == by);
        if pending.filter(waits).count() == 0 {
            self.tell(by, Event::Tick);
        }
    }

    fn status(&mut self, by: usize, member: usize, began: Duration) {
        let known = self.members[member];
        let (after, answer) = match known.dark {
            true => (SILENCE, Err(MemberError::TimedOut)),
            false => (self.way(), Ok(known.status())),
        };
        let event = Event::Status {
            member,
            began,
            answer,
        };
        self.at(after, Step::Tell(by, event));
    }

    fn fence(&mut self, by: usize, member: usize, bid: Fence) {
        let known = self.members[member];
        let promised = known.status().promised;
        let outbid = promised > bid.known_promise.max(bid.replaced);
        let term = bid.term;
        let answer = match known.dark {
            true => Err(MemberError::TimedOut),
            false if known.term > bid.replaced || outbid => Err(MemberError::Fenced { promised }),
            false => return self.soon(Step::Pause { by, member, term }),
        };
        self.fenced(by, member, term, answer);
    }

    fn pause(&mut self, by: usize, member: usize, term: u64) {
        let known = &mut self.members[member];
        let promised = known.status().promised;
        if known.dark || term <= promised {
            let answer = Err(MemberError::Fenced { promised });
            return self.fenced(by, member, term, answer);
        }
        known.held = term;
        known.role = Role::Replica;
        let status = known.status();
        self.fenced(by, member, term, Ok(status));
    }

    fn fenced(
        &mut self,
        by: usize,
        member: usize,
        term: u64,
        answer: std::result::Result<Status, MemberError>,
    ) {
        let event = Event::Fenced {
            member,
            term,
            answer,
        };
        self.soon(Step::Tell(by, event));
    }

    fn follow(&mut self, member: usize, term: u64) {
        let known = &mut self.members[member];
        if known.term < term {
            known.term = term;
            known.role = Role::Replica;
        }
        if known.term <= term {
            known.held = 0;
        }
    }

    fn promote(&mut self, by: usize, (member, term): (usize, u64), number: u64, claim: &Claim) {
        let status = self.members[member].status();
        if status.promised != term
            || status.log.term >= term
            || !claim.stands(self.known[by].as_ref())
        {
            let answer = Err(MemberError::Superseded);
            return self.soon(Step::Tell(by, Event::Promoted { term, answer }));
        }
        self.soon(Step::Order {
            by,
            member,
            term,
            number,
        });
    }

    fn lead(&mut self, by: usize, member: usize, term: u64) {
        let newest = self.members.iter().map(|m| m.term).max();
        let known = &mut self.members[member];
        if known.role == Role::Replica && !known.dark {
            known.term = newest.expect("there are members") + 1;
            known.role = Role::Primary;
            known.held = 0;
        }
        let answer = Ok(known.status());
        self.soon(Step::Tell(by, Event::Promoted { term, answer }));
    }

    fn crash(&mut self) {
        let leads = |m: &Fake| m.role == Role::Primary && !m.dark;
        if let Some(primary) = self.members.iter().position(leads) {
            self.members[primary].dark = true;
            let back = ms(self.dice.random_range(1_500..3_500));
            self.at(back, Step::Return(primary));
        }
    }
}

#[gtest]
fn orders_of_a_box_without_the_table_and_of_one_in_touch_have_rising_numbers() {
    let mut by_box = [0; BOXES];
    for seed in 0..RUNS {
        let mut world = World::new(seed);
        world.run();
        let numbers: Vec<u64> = world.orders.iter().map(|(number, _)| *number).collect();
        expect_true!(numbers.is_sorted(), "seed {seed}: {:?}", world.orders);
        for (_, by) in &world.orders {
            by_box[*by] += 1;
        }
    }
    println!("orders by box: {by_box:?}");
    // Both must have had their part, or the runs show nothing.
    expect_that!(by_box, each(gt(100)));
}
