//! Members that leave, vanish, die and join at random moments, and boxes that restart or get
//! the list late, in virtual time: no statement is sent to a member after its drain time.
//!
//! `DEPARTING_SEEDS=1000-20999 cargo test --release --test unit departing::by_hand --
//! --ignored --nocapture` runs other seeds.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use larkfall::borders::member::{MemberError, Role, Status};
use larkfall::decisions::departure::Departure;
use larkfall::decisions::group::{Action, Event, Group, Request, Target};
use larkfall::decisions::position::Position;
use larkfall::declarations::snapshot::Plan;
use larkfall::platform::settings::{DEFAULT_DRAIN, group_settings};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::fake::ms;
use super::lease::{member, plan, status};

const BOXES: usize = 3;
const STEP: Duration = ms(10);
const LENGTH: Duration = ms(60_000);
/// Milliseconds from a member's announcement to its termination.
const TERMINATION_MS: std::ops::Range<u64> = 7_500..14_000;
/// Time for which the entry of a dead member stays listed.
const LAPSE_TIME: Duration = ms(3_600);
/// Longest delay of the list on a silent connection, in milliseconds.
const MAX_LIST_DELAY_MS: u64 = 3_200;
/// Time for which a claimed duty is reserved for its box.
const DUTY_TIME: Duration = ms(1_500);
/// Duration of a promotion.
const PROMOTION_TIME: Duration = ms(300);
const LAST_SEED: u64 = 399;

struct FakeMember {
    alive: bool,
    listed: bool,
    /// Whether the member announced that it leaves; its entry may also vanish without that.
    leaving: bool,
    /// When the member announced that it leaves, or its entry vanished.
    announced_at: Option<Duration>,
    role: Role,
    term: u64,
    fence: u64,
}

impl FakeMember {
    fn new(role: Role, term: u64) -> Self {
        Self {
            alive: true,
            listed: true,
            leaving: false,
            announced_at: None,
            role,
            term,
            fence: 0,
        }
    }

    fn status(&self) -> Status {
        status(self.role, self.term, self.term.max(self.fence), 10)
    }
}

enum Due {
    Deliver(usize, Event),
    /// The list reaches a box, after this delay by a silent connection.
    DeliverList(usize, Duration),
    /// A box learns the ages of the announcements.
    LearnAges(usize),
    Promote(usize, usize, u64),
    Terminate(usize),
    EntryLapse(usize),
}

struct World {
    now: Duration,
    rng: SmallRng,
    due: BTreeMap<(Duration, u64), Due>,
    last_id: u64,
    members: Vec<FakeMember>,
    boxes: Vec<Group>,
    /// Departures that each box knows of, by member.
    departures: Vec<BTreeMap<usize, Departure>>,
    /// Until when each box's connection for the list is silent.
    silent_until: Vec<Duration>,
    duty_claimed_at: Option<Duration>,
    /// Number of statements sent to leaving members, in time or too late.
    sent_to_leaving: usize,
    sent_too_late: Vec<String>,
    /// Number of announcements by members without a possible successor.
    without_successor: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        let replica = || FakeMember::new(Role::Replica, 1);
        let mut world = Self {
            now: ms(0),
            rng: SmallRng::seed_from_u64(seed),
            due: BTreeMap::new(),
            last_id: 0,
            members: vec![FakeMember::new(Role::Primary, 1), replica(), replica()],
            boxes: Vec::new(),
            departures: vec![BTreeMap::new(); BOXES],
            silent_until: vec![ms(0); BOXES],
            duty_claimed_at: None,
            sent_to_leaving: 0,
            sent_too_late: Vec::new(),
            without_successor: 0,
        };
        for by in 0..BOXES {
            let group = world.new_group(by);
            world.boxes.push(group);
            world.schedule(ms(0), Due::Deliver(by, Event::BoxListed { listed: true }));
        }
        world
    }

    /// Returns the plan of a box that reads the list now.
    fn plan(&self, by: usize) -> Arc<Plan> {
        let listed = self.members.iter().enumerate().filter(|(_, m)| m.listed);
        let listed = listed.map(|(i, m)| member(i, m.leaving)).collect();
        let known = self.departures[by].iter();
        let departures = known.map(|(i, departure)| (format!("m{i}").into(), *departure));
        Arc::new(Plan {
            departures: departures.collect(),
            ..Plan::clone(&plan(listed))
        })
    }

    fn new_group(&mut self, by: usize) -> Group {
        let seed = self.rng.random();
        let rank = by as u32;
        let mut group = Group::new(
            self.plan(by),
            "d0".into(),
            rank,
            group_settings(),
            seed,
            self.now,
        );
        group.set_rank(rank, 1);
        group
    }

    fn schedule(&mut self, after: Duration, due: Due) {
        self.last_id += 1;
        self.due.insert((self.now + after, self.last_id), due);
    }

    fn run(&mut self) {
        while self.now < LENGTH {
            while let Some(first) = self.due.first_entry()
                && first.key().0 <= self.now
            {
                let due = first.remove();
                self.run_due(due);
            }
            if self.rng.random_range(0..250) == 0 {
                self.disturb();
            }
            for by in 0..BOXES {
                self.send_request(by);
            }
            self.now += STEP;
        }
    }

    /// Changes the state of a random member or box.
    fn disturb(&mut self) {
        let members = self.members.iter().enumerate();
        let staying: Vec<usize> = members
            .filter(|(_, m)| m.alive && m.listed && !m.leaving)
            .map(|(i, _)| i)
            .collect();
        let Some(chosen) = staying.choose(&mut self.rng).copied() else {
            return self.add_member();
        };
        match self.rng.random_range(0..8) {
            0..3 => {
                self.without_successor += usize::from(staying.len() == 1);
                self.members[chosen].leaving = true;
                self.announce_departure(chosen);
            }
            3 => {
                self.members[chosen].listed = false;
                self.announce_departure(chosen);
            }
            4 => {
                self.members[chosen].alive = false;
                self.schedule(LAPSE_TIME, Due::EntryLapse(chosen));
            }
            5 => self.add_member(),
            _ => self.restart_box(),
        }
    }

    fn announce_departure(&mut self, member: usize) {
        self.members[member].announced_at = Some(self.now);
        let ends = ms(self.rng.random_range(TERMINATION_MS));
        self.schedule(ends, Due::Terminate(member));
        self.publish_list();
    }

    fn add_member(&mut self) {
        let newest = self.members.iter().map(|m| m.term).max();
        let newest = newest.expect("the group has members");
        self.members.push(FakeMember::new(Role::Replica, newest));
        self.publish_list();
    }

    /// Restarts a box, which learns the ages of the announcements later or never.
    fn restart_box(&mut self) {
        let by = self.rng.random_range(0..BOXES);
        self.departures[by].clear();
        self.silent_until[by] = self.now;
        self.learn_departures(by, None);
        self.boxes[by] = self.new_group(by);
        self.due.retain(
            |_, due| !matches!(due, Due::Deliver(to, _) | Due::DeliverList(to, _) if *to == by),
        );
        self.schedule(ms(0), Due::Deliver(by, Event::BoxListed { listed: true }));
        if self.rng.random_range(0..3) > 0 {
            let after = ms(self.rng.random_range(10..400));
            self.schedule(after, Due::LearnAges(by));
        }
    }

    /// Sends the list to all boxes. A box with a silent connection gets it only after
    /// the silence.
    fn publish_list(&mut self) {
        for by in 0..BOXES {
            if self.now >= self.silent_until[by] && self.rng.random_range(0..6) == 0 {
                self.silent_until[by] =
                    self.now + ms(self.rng.random_range(100..MAX_LIST_DELAY_MS));
            }
            let late = self.silent_until[by].saturating_sub(self.now);
            self.schedule(late.max(STEP), Due::DeliverList(by, late));
        }
    }

    /// Records all departures at a box, as announced at most `age` ago.
    fn learn_departures(&mut self, by: usize, age: Option<Duration>) {
        let departed = self.members.iter().enumerate();
        let departed = departed.filter(|(_, m)| m.announced_at.is_some());
        let departed: Vec<usize> = departed.map(|(i, _)| i).collect();
        for i in departed {
            let departure = Departure::with_age(self.now, age);
            self.departures[by].entry(i).or_insert(departure);
        }
    }

    fn run_due(&mut self, due: Due) {
        match due {
            Due::Deliver(by, event) => self.deliver(by, event),
            Due::DeliverList(by, late) => {
                // A list that arrives after a silence may have been sent at any time during it.
                let age = if late.is_zero() {
                    ms(0)
                } else {
                    ms(MAX_LIST_DELAY_MS)
                };
                self.learn_departures(by, Some(age));
                self.apply_plan(by);
            }
            Due::LearnAges(by) => {
                for (i, departure) in &mut self.departures[by] {
                    let announced = self.members[*i].announced_at.expect("the member departs");
                    *departure = Departure::with_age(self.now, Some(self.now - announced));
                }
                self.apply_plan(by);
            }
            Due::Promote(by, index, term) => self.promote(by, index, term),
            Due::Terminate(i) => {
                self.members[i].alive = false;
                self.members[i].listed = false;
                self.publish_list();
            }
            Due::EntryLapse(i) => {
                self.members[i].listed = false;
                self.members[i].announced_at = self.members[i].announced_at.or(Some(self.now));
                self.publish_list();
            }
        }
    }

    fn apply_plan(&mut self, by: usize) {
        let plan = self.plan(by);
        self.boxes[by].set_plan(plan, self.now);
        self.deliver(by, Event::Tick);
    }

    fn send_request(&mut self, by: usize) {
        self.deliver(by, Event::Tick);
        if self.rng.random_range(0..6) > 0 {
            return;
        }
        let target = match self.rng.random_range(0..2) {
            0 => Target::Primary,
            _ => Target::Replica { max_age: ms(2_500) },
        };
        self.last_id += 1;
        let request = Request {
            id: self.last_id,
            partner: "p".into(),
            weight: 1,
            target,
            floor: Some(Position::ZERO),
            believed: true,
            arrived: self.now,
            deadline: self.now + ms(1_200),
            aim: None,
        };
        self.deliver(by, Event::Arrived(request));
    }

    fn deliver(&mut self, by: usize, event: Event) {
        for action in self.boxes[by].handle(event, self.now) {
            self.carry_out(by, action);
        }
    }

    /// Index of a box's member among all members.
    fn index_of(&self, by: usize, member: usize) -> usize {
        let name = &self.boxes[by].plan.members[member].name;
        let index = name.strip_prefix('m').and_then(|i| i.parse().ok());
        index.expect("members are numbered")
    }

    fn carry_out(&mut self, by: usize, action: Action) {
        match action {
            Action::Assign { member, .. } => self.run_statement(by, member),
            Action::Probe { member } => self.probe(by, member),
            Action::ClaimDuty => self.claim(by),
            Action::RevokeLeases { term } => {
                for other in (0..BOXES).filter(|other| *other != by) {
                    self.schedule(STEP, Due::Deliver(other, Event::RevokeLease));
                }
                self.schedule(STEP * 2, Due::Deliver(by, Event::LeasesRevoked { term }));
            }
            Action::Fence { member, term } => self.fence(by, member, term),
            Action::ReleaseFence { member, term } => {
                let index = self.index_of(by, member);
                let member = &mut self.members[index];
                if member.fence == term {
                    member.fence = 0;
                }
            }
            Action::Promote { member, term } => {
                let index = self.index_of(by, member);
                self.schedule(PROMOTION_TIME, Due::Promote(by, index, term));
            }
            Action::AskOpinions => self.ask(by),
            _ => {}
        }
    }

    fn probe(&mut self, by: usize, member: usize) {
        let known = &self.members[self.index_of(by, member)];
        let answer = match known.alive {
            true => Ok(known.status()),
            false => Err(MemberError::Broken),
        };
        let event = Event::Probed {
            member,
            began: self.now,
            answer,
        };
        self.schedule(STEP, Due::Deliver(by, event));
    }

    /// Claims the duty, which fails while it is reserved for another box.
    fn claim(&mut self, by: usize) {
        let won = self
            .duty_claimed_at
            .is_none_or(|at| self.now > at + DUTY_TIME);
        if won {
            self.duty_claimed_at = Some(self.now);
        }
        self.schedule(STEP, Due::Deliver(by, Event::DutyClaimed { won }));
    }

    fn fence(&mut self, by: usize, member: usize, term: u64) {
        let index = self.index_of(by, member);
        let known = &mut self.members[index];
        let promised = known.status().promised;
        let answer = match known.alive {
            true if term > promised => {
                known.fence = term;
                known.role = Role::Replica;
                Ok(known.status())
            }
            true => Err(MemberError::Fenced { promised }),
            false => Err(MemberError::Broken),
        };
        let event = Event::Fenced {
            member,
            term,
            answer,
        };
        self.schedule(STEP, Due::Deliver(by, event));
    }

    fn ask(&mut self, by: usize) {
        let term = self.boxes[by].term();
        for other in (0..BOXES).filter(|other| *other != by) {
            let event = Event::OpinionReceived {
                from: format!("b{other}").into(),
                same_domain: false,
                suspects: self.boxes[other].suspects_primary(term),
            };
            self.schedule(STEP, Due::Deliver(by, event));
        }
    }

    /// Runs a statement on a member and frees its slot.
    fn run_statement(&mut self, by: usize, member: usize) {
        let index = self.index_of(by, member);
        if let Some(announced) = self.members[index].announced_at {
            self.sent_to_leaving += 1;
            if self.now > announced + DEFAULT_DRAIN {
                let after = self.now - announced;
                let late = format!("box {by}, member {index}, {after:?} after its announcement");
                self.sent_too_late.push(late);
            }
        }
        let took = ms(20);
        self.schedule(took, Due::Deliver(by, Event::SlotReleased { member, took }));
    }

    fn promote(&mut self, by: usize, index: usize, term: u64) {
        if !self.members[index].alive {
            return;
        }
        for (i, known) in self.members.iter_mut().enumerate() {
            known.role = if i == index {
                Role::Primary
            } else {
                Role::Replica
            };
            known.term = known.term.max(term);
            known.fence = 0;
        }
        let answer = Ok(self.members[index].status());
        self.schedule(STEP, Due::Deliver(by, Event::Promoted { term, answer }));
    }
}

/// Results of the runs of several seeds.
#[derive(Default)]
struct Summary {
    /// Number of statements sent to leaving members.
    sent_to_leaving: usize,
    /// Number of announcements by members without a possible successor.
    without_successor: usize,
    /// First statement that was sent too late, of each seed.
    violations: BTreeSet<String>,
}

fn run_seeds(seeds: RangeInclusive<u64>) -> Summary {
    let mut summary = Summary::default();
    for seed in seeds {
        let mut world = World::new(seed);
        world.run();
        summary.sent_to_leaving += world.sent_to_leaving;
        summary.without_successor += world.without_successor;
        if let Some(first) = world.sent_too_late.first() {
            summary.violations.insert(format!("seed {seed}: {first}"));
        }
    }
    summary
}

#[gtest]
fn no_statement_is_sent_to_a_member_after_its_drain_time() {
    let summary = run_seeds(0..=LAST_SEED);
    expect_that!(summary.violations, is_empty());
    // The runs reach the cases that the test is about.
    expect_that!(summary.sent_to_leaving, gt(10_000));
    expect_that!(summary.without_successor, gt(50));
}

#[gtest]
#[ignore = "runs many seeds by hand"]
fn by_hand() {
    let seeds = std::env::var("DEPARTING_SEEDS").unwrap_or_else(|_| "1000-1999".to_owned());
    let (first, last) = seeds.split_once('-').expect("first-last");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    let summary = run_seeds(number(first)..=number(last));
    let Summary {
        sent_to_leaving,
        without_successor,
        violations,
    } = summary;
    println!(
        "seeds {seeds}: {sent_to_leaving} sent to leaving members, {without_successor} without successor, {violations:?}"
    );
    expect_that!(violations, is_empty());
}
