//! All decisions about one group, as one of its owners takes them.
//!
//! Events and the time go in, actions come out. The state holds what is known
//! of each member, who waits for what, and the replacement in progress.

mod confirming;
mod membership;
mod message;
mod observing;
mod passing;
mod placing;
mod restarting;
mod settings;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use super::confirm::{Confirm, Need, Outcome};
use super::departure::Departure;
use super::detect::Detector;
use super::detect::baseline::Baseline;
use super::duty::Ballot;
use super::fair::{Admission, Due, Fair};
use super::latency::Latency;
use super::owners::{MIN_CONNECTION_SHARE, connection_share};
use super::position::Position;
use super::replace::{Doubt, Replace, Step};
use super::route::{Candidate, Demand, History, choose_member};
use crate::borders::member::{Fence, MemberError, Role, Status};
use crate::declarations::resource::{Durability, Member as MemberSpec};
use crate::declarations::snapshot::Plan;

pub use settings::Settings;

pub use message::{Action, Event, Note, Reason, Refusal, Request, Target, Via};

/// A report of a term further ahead than this is not believed.
const MOST_TERMS_AHEAD: u64 = 1 << 20;

/// Time after which waits for the lease are looked at again.
const LEAST_LOOK: Duration = Duration::from_millis(120);

/// An answer that takes this many times as long as the last ones will not come, or
/// too late.
const PATIENCE: u32 = 6;

struct Member {
    spec: MemberSpec,
    /// Newest report and when it was asked for.
    view: Option<(Status, Duration)>,
    /// Least position its reads see, from reports and answers.
    applied: Position,
    detector: Box<dyn Detector>,
    /// A connection was refused or reset, and no probe has been answered since.
    broken: Option<Duration>,
    suspected: bool,
    probes: u32,
    probed: Option<Duration>,
    wanted: bool,
    fair: Fair,
    latency: Latency,
    /// It reports that it is a replica.
    demoted: bool,
    /// Newest moment at which it is known to have kept to the present term: a primary
    /// led, or a replica received what the primary wrote later.
    kept: Option<Duration>,
    /// Newest moment at which it was seen without a fence. Where fences end with a
    /// promotion this says nothing of the others.
    clear: Option<Duration>,
    /// It came into the list while this box watched the group.
    joined: bool,
    /// When it was last told to follow the primary.
    told: Option<Duration>,
    /// Connections at once that it takes, as far as was found out.
    room: usize,
    /// When one more is tried.
    widen: Duration,
    /// Since when it is missing from the list.
    missing: Option<Duration>,
    /// It leaves: by its word, or because the list names it no more.
    departs: Option<Departure>,
    /// The time that it gets as one that leaves, as it was when its leaving was heard of.
    serve_most: Option<Duration>,
    /// It has had all the time that a leaving member gets.
    spent: bool,
    /// It is no member any more; its place is kept, since members go by place.
    gone: bool,
    /// It started again, and has a new place since.
    succeeded: bool,
    /// Of a member that started again: what its earlier start is known to have held, and
    /// when the news came.
    earlier: Option<Earlier>,
}

/// What is known of a member's earlier start.
#[derive(Clone, Copy, Debug)]
struct Earlier {
    /// Newest position it was seen at.
    log: Position,
    /// When this box heard that it started again.
    heard: Duration,
}

impl Member {
    fn new(spec: MemberSpec, capacity: usize, settings: &Settings, now: Duration) -> Self {
        Self {
            spec,
            view: None,
            applied: Position::ZERO,
            detector: Box::new(Baseline::new(settings.detect, now)),
            broken: None,
            suspected: false,
            probes: 0,
            probed: None,
            wanted: false,
            fair: Fair::new(capacity, settings.service),
            latency: Latency::new(settings.service),
            demoted: false,
            kept: None,
            clear: None,
            joined: false,
            told: None,
            room: capacity,
            widen: now,
            missing: None,
            departs: None,
            serve_most: None,
            spent: false,
            gone: false,
            succeeded: false,
            earlier: None,
        }
    }

    /// Time until it is expected to answer one more statement.
    fn wait(&self, now: Duration, slots: usize) -> Duration {
        let load = self.fair.running() + self.fair.on_time();
        let turns = 1.0 + load as f64 / slots.max(1) as f64;
        let run = self.latency.mean(now);
        let queue = match self.fair.has_room() {
            true => Duration::ZERO,
            false => run * (self.fair.on_time() as u32 + 1) / self.fair.places() as u32,
        };
        run.mul_f64(turns) + queue
    }

    /// Time that it gets as one that leaves: the shorter of what was set when that was heard
    /// of and what is set now, since other boxes may go by either.
    fn serves_for(&self, settings: &Settings) -> Duration {
        let set = settings.leave_most;
        self.serve_most.map_or(set, |most| most.min(set))
    }

    fn status(&self) -> Option<&Status> {
        self.view.as_ref().map(|(status, _)| status)
    }
}

/// Who waits for what besides a place at a member.
#[derive(Default)]
struct Waiting {
    /// By request: at a member's queue.
    queued: BTreeMap<u64, (Request, usize)>,
    /// For a primary.
    parked: BTreeMap<u64, Request>,
    /// For the primary's position, observed after their arrival.
    floorless: BTreeMap<u64, Request>,
    /// For a replica to reach the floor, until a moment.
    lagging: BTreeMap<u64, (Request, Duration)>,
}

/// One group at one owner.
pub struct Group {
    pub plan: Arc<Plan>,
    settings: Settings,
    domain: Arc<str>,
    members: Vec<Member>,
    replace: Replace,
    confirm: Confirm,
    history: History,
    /// Newest position of our term that a majority is known to hold.
    held: Position,
    waiting: Waiting,
    dice: SmallRng,
    born: Duration,
    /// The leaving primary whose time is counted.
    leaving: Option<usize>,
    /// When its replacement is looked at again.
    hand_over: Option<Duration>,
    /// What was seen up to then does not count for the lease.
    revoked: Duration,
    /// Those who promote know of this box.
    listed: bool,
    /// Boxes that own the group.
    owners: u32,
    crowd: u32,
    /// Places whose members started again, and their new ones, still to be acted on.
    restarted: Vec<(usize, usize)>,
}

/// What a dump shows of a member.
#[derive(Clone, Debug, Serialize)]
pub struct MemberDump {
    pub name: Arc<str>,
    pub role: Option<Role>,
    pub promised: Option<u64>,
    pub log: Option<Position>,
    pub applied: Position,
    pub age_ms: Option<u64>,
    pub suspected: bool,
    pub running: usize,
    /// Open transactions between their statements.
    pub resting: usize,
    pub waiting: usize,
    /// Those of them that can't be answered within their aim any more.
    pub late: usize,
    /// Connections at once that the member takes from this box.
    pub room: usize,
}

/// What a dump shows of a group.
#[derive(Clone, Debug, Serialize)]
pub struct GroupDump {
    pub id: Arc<str>,
    pub term: u64,
    pub primary: Option<Arc<str>>,
    pub phase: &'static str,
    pub waiting_for_primary: usize,
    pub waiting_for_confirmation: usize,
    pub members: Vec<MemberDump>,
}

impl Group {
    pub fn new(
        plan: Arc<Plan>,
        domain: Arc<str>,
        rank: u32,
        settings: Settings,
        seed: u64,
        now: Duration,
    ) -> Self {
        let owners = plan.group.owners.max(1);
        let capacity = connection_share(plan.group.connections, owners);
        let member = |spec: &MemberSpec| Member::new(spec.clone(), capacity, &settings, now);
        let members: Vec<Member> = plan.members.iter().map(member).collect();
        let mut group = Self {
            replace: Replace::new(settings.replace, members.len(), rank),
            settings,
            domain,
            members,
            confirm: Confirm::default(),
            history: History::default(),
            held: Position::ZERO,
            waiting: Waiting::default(),
            dice: SmallRng::seed_from_u64(seed),
            born: now,
            leaving: None,
            hand_over: None,
            revoked: Duration::ZERO,
            listed: false,
            owners,
            crowd: 1,
            restarted: Vec::new(),
            plan,
        };
        group.note_departures(now);
        group.note_members();
        group.set_periods();
        group.set_owners(owners);
        group
    }

    /// Time after which a read at a member is better repeated elsewhere.
    pub fn patience(&self, member: usize, now: Duration) -> Duration {
        self.members[member].latency.mean(now) * PATIENCE
    }

    /// Connections to each member that stay open without use.
    pub fn kept_open(&self) -> usize {
        (self.share() * self.settings.keep as usize / 100).max(1)
    }

    /// This owner's share of the connections to each member.
    pub fn share(&self) -> usize {
        connection_share(self.plan.group.connections, self.owners)
    }

    pub fn term(&self) -> u64 {
        self.replace.term
    }

    pub fn primary(&self) -> Option<usize> {
        self.replace.primary
    }

    /// Which members this owner suspects, by place.
    pub fn suspicions(&self) -> impl Iterator<Item = bool> {
        self.members.iter().map(|member| member.suspected)
    }

    /// `crowd` is the factor by which a box with many groups looks less often.
    pub fn set_rank(&mut self, rank: u32, crowd: u32) {
        self.replace.set_rank(rank);
        self.crowd = crowd;
        self.set_periods();
    }

    /// The first owner looks at the primary most often: control traffic is scarce.
    fn set_periods(&mut self) {
        let settings = self.settings;
        let own = match self.replace.rank() {
            0 => 1,
            _ => settings.relaxed,
        };
        let primary = self.replace.primary;
        for (i, member) in self.members.iter_mut().enumerate() {
            let role = match primary {
                Some(primary) if primary != i => settings.relaxed,
                _ => 1,
            };
            let factor = own * role * self.crowd;
            member.detector.set_period(settings.detect.period * factor);
        }
    }

    /// What the number of this owner's order follows from.
    pub fn ballot(&self) -> Ballot {
        self.replace.ballot()
    }

    /// What this owner's ballot of `term` asks of a member.
    pub fn bid(&self, term: u64) -> Fence {
        Fence {
            term,
            replaced: self.replace.replaced(),
            known_promise: self.replace.known(),
        }
    }

    /// Whether this owner is taking the primary's lead away.
    pub fn is_deposing(&self) -> bool {
        self.replace.is_deposing()
    }

    /// Whether this owner reaches a majority; none while it has not found out.
    pub fn reaches(&self, now: Duration) -> Option<bool> {
        if self.sees_majority() {
            return Some(true);
        }
        let looked = now >= self.born + self.settings.detect.period;
        let known = self.replace.primary.is_some() || (looked && !self.may_see_majority());
        known.then_some(false)
    }

    /// Whether this owner finds the primary suspect, for a peer who asks.
    pub fn suspects(&self, term: u64) -> bool {
        match self.replace.primary {
            Some(primary) if self.replace.term <= term => self.members[primary].suspected,
            Some(_) => false,
            None => true,
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, event: Event, now: Duration) -> Vec<Action> {
        let mut out = Vec::new();
        // First: nothing may be placed by what has run out meanwhile.
        self.note_restarted(now, &mut out);
        self.note_spent(now, &mut out);
        match event {
            Event::Tick => {}
            Event::Arrive(request) => self.place(request, now, &mut out),
            Event::Withdraw { id } => self.withdraw(id),
            Event::Answered {
                member,
                began,
                position,
                led,
            } => self.answered(member, began, position, led, now, &mut out),
            Event::Release { member, took } => self.release(member, took, now, &mut out),
            Event::Rest { member, took } => self.rest(member, took, now, &mut out),
            Event::Resume { member } => self.members[member].fair.resume(),
            Event::Vacate { member } => self.vacate(member, now, &mut out),
            Event::Late { member, after } => {
                self.members[member].latency.late(after, now);
                self.members[member].detector.expedite_probe(now);
                if self.members[member].spec.domain != self.domain {
                    self.hurry_far(now);
                }
            }
            Event::Full { member } => self.full(member, now),
            Event::Look => self.want_all(),
            Event::Hurry => self.hurry_far(now),
            Event::Unreached { member } => {
                self.members[member].wanted = true;
                self.members[member].detector.expedite_probe(now);
            }
            Event::Behind { member } => {
                self.members[member].applied = Position::ZERO;
                self.members[member].wanted = true;
            }
            Event::Asked => {
                // Owners that are not the first look seldom: now is the time.
                if let Some(primary) = self.replace.primary {
                    self.members[primary].detector.expedite_probe(now);
                }
            }
            Event::Broken { member } => self.broken(member, now, &mut out),
            Event::Wrote {
                id,
                member,
                position,
                deadline,
            } => self.wrote(id, member, position, deadline, now, &mut out),
            Event::Verify {
                id,
                term,
                since,
                position,
                deadline,
            } => {
                let need = self.read_need(term, position);
                let since = match need {
                    Need::Holds(_) | Need::Received(_) => now,
                    Need::Unfenced(_) => since,
                };
                self.verify(id, need, since, deadline, now, &mut out);
            }
            Event::Status {
                member,
                began,
                answer,
            } => self.status(member, began, answer, now, &mut out),
            // What an earlier start granted, or one that was given up, counts no more.
            Event::Fenced { member, .. } if self.members[member].gone => {}
            Event::Fenced {
                member,
                term,
                answer,
            } => {
                let steps = self.replace.fenced(member, term, &answer, now);
                self.take_steps(steps, now, &mut out);
            }
            Event::Claimed { won } => {
                let steps = self.replace.claimed(won, now);
                self.take_steps(steps, now, &mut out);
            }
            Event::DutyTaken => self.replace.note_foreign(now),
            Event::Revoke => self.revoke(now),
            Event::Revoked { term } => {
                let steps = self.replace.revoked(term, now);
                self.take_steps(steps, now, &mut out);
            }
            Event::Listed { listed } => self.listed = listed,
            Event::Promoted { term, answer } => {
                let steps = self.replace.promoted(term, &answer, now);
                self.take_steps(steps, now, &mut out);
            }
            Event::Opinion {
                from,
                near,
                suspects,
            } => self.replace.opinion(from, near, suspects),
            Event::News { term, primary } => self.news(term, &primary, now, &mut out),
        }
        self.tick(now, &mut out);
        self.check();
        out
    }

    /// Looks at the members of other failure domains before their turn: where one of them is
    /// silent, the way there may be cut, and a cut is known only once a majority is lost.
    fn hurry_far(&mut self, now: Duration) {
        if !self.settings.domain_loss {
            return;
        }
        let domain = &self.domain;
        let far = self.members.iter_mut();
        for member in far.filter(|member| member.spec.domain != *domain) {
            member.detector.expedite_probe(now);
        }
    }

    /// Invariants, asserted after every event.
    fn check(&self) {
        if let Some(primary) = self.replace.primary {
            assert!(primary < self.members.len(), "the primary is a member");
            assert!(self.replace.term > 0, "a primary has a term");
        }
        for id in self.waiting.parked.keys() {
            assert!(
                !self.waiting.queued.contains_key(id),
                "a request waits in one place"
            );
        }
    }

    /// When a tick is due at the latest.
    pub fn wake(&self) -> Duration {
        let never = Duration::MAX;
        let present = self.members.iter().filter(|member| !member.gone);
        let probes = present.map(|member| {
            let due = member.detector.probe_due();
            // A suspicion has to be noticed when nothing else happens.
            let silent = member.detector.deadline().filter(|_| !member.suspected);
            let due = silent.map_or(due, |deadline| due.min(deadline));
            match (member.wanted, member.probed) {
                (true, Some(probed)) => due.min(probed + self.settings.probe_gap),
                _ => due,
            }
        });
        let ballot = match self.settings.patient {
            true => placing::PATIENT_END,
            false => self.settings.replace.ballot,
        };
        let parked = self.waiting.parked.values();
        let parked = parked.map(|request| request.deadline.saturating_sub(ballot));
        let floorless = self.waiting.floorless.values().map(|r| r.deadline);
        let lagging = self.waiting.lagging.values().map(|(_, until)| *until);
        let queued = self.members.iter().filter_map(|m| m.fair.next_expiry());
        let look = (!self.confirm.is_empty() && !self.settings.replace.lease.is_zero())
            .then(|| self.settings.probe_gap.max(LEAST_LOOK));
        let look = look.zip(self.members.iter().filter_map(|m| m.probed).max());
        let look = look.map(|(gap, probed)| probed + gap);
        let departing = self.members.iter().filter(|m| !m.spent && !m.gone);
        let spent = departing.filter_map(|m| Some(m.departs?.due(m.serves_for(&self.settings))));
        let replace = self.replace.wake().into_iter();
        let replace = replace.chain(self.hand_over).chain(spent);
        let all = probes.chain(parked).chain(floorless).chain(lagging);
        let most = self.most_connections();
        let narrow = self.members.iter().filter(|m| m.room < most && !m.gone);
        let narrow = narrow.filter(|m| m.fair.waiting() > 0).map(|m| m.widen);
        let all = all
            .chain(queued)
            .chain(replace)
            .chain(self.next_forgotten())
            .chain(look)
            .chain(narrow);
        all.min().unwrap_or(never)
    }

    /// The state, for an operator.
    pub fn dump(&self, now: Duration) -> GroupDump {
        let ages: BTreeMap<usize, Option<Duration>> = self
            .candidates(now)
            .into_iter()
            .map(|candidate| (candidate.member, candidate.age))
            .collect();
        let member = |(i, member): (usize, &Member)| MemberDump {
            name: member.spec.name.clone(),
            role: member.status().map(|status| status.role),
            promised: member.status().map(|status| status.promised),
            log: member.status().map(|status| status.log),
            applied: member.applied,
            age_ms: ages
                .get(&i)
                .copied()
                .flatten()
                .map(|age| age.as_millis() as u64),
            suspected: member.suspected,
            running: member.fair.running(),
            resting: member.fair.resting(),
            waiting: member.fair.waiting(),
            late: member.fair.waiting() - member.fair.on_time(),
            room: member.room,
        };
        let members = self.members.iter().enumerate();
        let members = members.filter(|(_, member)| !member.succeeded);
        GroupDump {
            id: self.plan.id.clone(),
            term: self.replace.term,
            primary: self
                .replace
                .primary
                .map(|primary| self.members[primary].spec.name.clone()),
            phase: self.replace.phase(),
            waiting_for_primary: self.waiting.parked.len(),
            waiting_for_confirmation: self.confirm.len(),
            members: members.map(member).collect(),
        }
    }
}

fn demand_of(request: &Request) -> Option<Demand> {
    let Target::Replica { max_age } = request.target else {
        return None;
    };
    let floor = request.floor?;
    Some(Demand { floor, max_age })
}
