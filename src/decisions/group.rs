//! All decisions about one group, as one of its owners takes them.
//!
//! Events and the time go in, actions come out. The state holds what is known
//! of each member, who waits for what, and the replacement in progress.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use super::confirm::{Confirm, Need, Outcome};
use super::detect::Detector;
use super::detect::baseline::{Baseline, Settings as DetectSettings};
use super::fair::{Admission, Fair};
use super::owners::share;
use super::position::Position;
use super::replace::{Doubt, Replace, Settings as ReplaceSettings, Step};
use super::route::{Candidate, Demand, History, choose};
use crate::borders::member::{MemberError, Role, Status};
use crate::declarations::resource::{Durability, Member as MemberSpec};
use crate::declarations::snapshot::Plan;

/// A report of a term further ahead than this is not believed.
const MOST_TERMS_AHEAD: u64 = 1 << 20;

/// Settings of the decisions about a group.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub replace: ReplaceSettings,
    pub detect: DetectSettings,
    /// The period grows by this factor for members that are not the primary, and
    /// again for owners that are not the first.
    pub relaxed: u32,
    /// Time a read waits for a replica before it goes to the primary.
    pub replica_wait: Duration,
    /// Time that a leaving primary's statements get, at every owner, before another
    /// is promoted; new writes wait meanwhile.
    pub leave_grace: Duration,
    /// The same, at most: longer transactions are cut off.
    pub leave_most: Duration,
    /// Least time between two probes of a member on behalf of waiting requests.
    pub probe_gap: Duration,
    /// Time that a refused caller is told to wait while no majority is in sight.
    pub cut_off_retry: Duration,
    /// Guess of a statement's time before any was measured.
    pub service: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            replace: ReplaceSettings::default(),
            detect: DetectSettings {
                period: Duration::from_millis(1_000),
                interval: Duration::from_millis(200),
                tries: 3,
            },
            relaxed: 4,
            replica_wait: Duration::from_millis(5),
            leave_grace: Duration::from_millis(1_500),
            leave_most: Duration::from_secs(5),
            probe_gap: Duration::from_millis(2),
            cut_off_retry: Duration::from_secs(1),
            service: Duration::from_millis(2),
        }
    }
}

/// Where a statement may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// The primary.
    Primary,
    /// The primary, seen not to be replaced after the statement arrived.
    Strict,
    /// A replica at most this old, or the primary.
    Replica { max_age: Duration },
}

/// A statement that asks for a member.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: u64,
    pub partner: Arc<str>,
    pub weight: u32,
    pub target: Target,
    /// None: the session came without a token.
    pub floor: Option<Position>,
    /// False once the floor was found to lie beyond the primary's position.
    pub believed: bool,
    pub arrived: Duration,
    pub deadline: Duration,
}

/// Why a statement was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The wait would pass the deadline.
    Overload,
    /// The primary is being replaced.
    Replacement,
    /// No majority of the group can be seen from here.
    CutOff,
    /// No member meets the session's floor and the read's staleness.
    Stale,
}

/// A refusal: not run, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    pub reason: Reason,
    pub retry_after: Duration,
}

/// What happens to a group.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Arrive(Request),
    /// The caller of a waiting request went away.
    Withdraw {
        id: u64,
    },
    /// A statement left its member. `position` is what its answer reported.
    Release {
        member: usize,
        began: Duration,
        took: Duration,
        position: Option<Position>,
    },
    /// A connection could not be made or was lost.
    Broken {
        member: usize,
    },
    /// A member answered as if it were not what we take it for.
    Look,
    /// A write's answer came; it waits for confirmation.
    Wrote {
        id: u64,
        member: usize,
        position: Position,
        deadline: Duration,
    },
    /// A read's answer came from the primary. It may be given out when the term
    /// is seen not to be replaced after `since`, and a majority holds what it saw.
    Verify {
        id: u64,
        member: usize,
        term: u64,
        since: Duration,
        position: Option<Position>,
        deadline: Duration,
    },
    Status {
        member: usize,
        began: Duration,
        answer: Result<Status, MemberError>,
    },
    Fenced {
        member: usize,
        term: u64,
        answer: Result<Status, MemberError>,
    },
    Promoted {
        term: u64,
        answer: Result<Status, MemberError>,
    },
    /// Another owner's view of the primary.
    Opinion {
        from: Arc<str>,
        near: bool,
        suspects: bool,
    },
    /// A peer or the table names the primary of a term.
    News {
        term: u64,
        primary: Arc<str>,
    },
}

/// What a group asks to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the request on this member, which leads or follows `term`.
    Assign {
        id: u64,
        member: usize,
        term: u64,
        /// Whether the session's floor was possible.
        believed: bool,
    },
    Refuse {
        id: u64,
        refusal: Refusal,
    },
    Settle {
        id: u64,
        outcome: Outcome,
    },
    Probe {
        member: usize,
    },
    Fence {
        member: usize,
        term: u64,
    },
    Promote {
        member: usize,
        term: u64,
    },
    Follow {
        member: usize,
        term: u64,
        primary: usize,
    },
    Ask,
    /// Record the primary in the table and tell the peers.
    Record {
        term: u64,
        primary: usize,
    },
    /// Something an operator may want to know.
    Note(Note),
}

/// What is worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    Suspected {
        member: usize,
    },
    Trusted {
        member: usize,
    },
    Fencing {
        term: u64,
    },
    Lost {
        term: u64,
    },
    Won {
        term: u64,
        member: usize,
    },
    Adopted {
        term: u64,
        member: usize,
    },
    /// A member's report can't be true and was not taken.
    Nonsense {
        member: usize,
    },
}

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
        }
    }

    fn load(&self) -> usize {
        self.fair.running() + self.fair.waiting()
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
    /// Since when the primary is declared to leave.
    leaving: Option<Duration>,
    crowd: u32,
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
    pub waiting: usize,
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
        let capacity = share(plan.group.connections, plan.group.owners);
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
            crowd: 1,
            plan,
        };
        group.note_leaving();
        group.set_periods();
        group
    }

    pub fn term(&self) -> u64 {
        self.replace.term
    }

    pub fn primary(&self) -> Option<usize> {
        self.replace.primary
    }

    /// Which members this owner suspects, by place.
    pub fn suspicions(&self) -> Vec<bool> {
        self.members.iter().map(|member| member.suspected).collect()
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

    /// Takes a plan that differs in anything but the list of members.
    pub fn set_plan(&mut self, plan: Arc<Plan>) {
        assert!(
            Self::same_members(&self.plan, &plan),
            "members keep their places"
        );
        let capacity = share(plan.group.connections, plan.group.owners);
        for (member, spec) in self.members.iter_mut().zip(&plan.members) {
            member.spec = spec.clone();
            member.fair.set_capacity(capacity);
        }
        self.plan = plan;
        self.note_leaving();
    }

    fn note_leaving(&mut self) {
        let leaving = (0..self.members.len()).filter(|i| self.members[*i].spec.leaving);
        self.replace.set_leaving(leaving.collect());
    }

    /// Whether two plans name the same members at the same addresses.
    pub fn same_members(one: &Plan, other: &Plan) -> bool {
        let same = |(a, b): (&MemberSpec, &MemberSpec)| a.name == b.name && a.address == b.address;
        one.members.len() == other.members.len() && one.members.iter().zip(&other.members).all(same)
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
        match event {
            Event::Tick => {}
            Event::Arrive(request) => self.place(request, now, &mut out),
            Event::Withdraw { id } => self.withdraw(id),
            Event::Release {
                member,
                began,
                took,
                position,
            } => self.release(member, began, took, position, now, &mut out),
            Event::Look => self.want_all(),
            Event::Broken { member } => self.broken(member, now, &mut out),
            Event::Wrote {
                id,
                member,
                position,
                deadline,
            } => self.wrote(id, member, position, deadline, now, &mut out),
            Event::Verify {
                id,
                member,
                term,
                since,
                position,
                deadline,
            } => {
                let need = self.read_need(term, position);
                let since = match need {
                    Need::Holds(_) => now,
                    Need::Unfenced(_) => since,
                };
                self.verify(id, member, need, since, deadline, &mut out);
            }
            Event::Status {
                member,
                began,
                answer,
            } => self.status(member, began, answer, now, &mut out),
            Event::Fenced {
                member,
                term,
                answer,
            } => {
                let steps = self.replace.fenced(member, term, &answer, now);
                self.take_steps(steps, now, &mut out);
            }
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
        let probes = self.members.iter().map(|member| {
            let due = member.detector.due();
            match (member.wanted, member.probed) {
                (true, Some(probed)) => due.min(probed + self.settings.probe_gap),
                _ => due,
            }
        });
        let ballot = self.settings.replace.ballot;
        let parked = self.waiting.parked.values();
        let parked = parked.map(|request| request.deadline.saturating_sub(ballot));
        let floorless = self.waiting.floorless.values().map(|r| r.deadline);
        let lagging = self.waiting.lagging.values().map(|(_, until)| *until);
        let queued = self.waiting.queued.values().map(|(r, _)| r.deadline);
        let left = self.leaving.map(|since| since + self.settings.leave_grace);
        let replace = self.replace.wake().into_iter().chain(left);
        let all = probes.chain(parked).chain(floorless).chain(lagging);
        all.chain(queued).chain(replace).min().unwrap_or(never)
    }

    // Placing requests.

    fn place(&mut self, request: Request, now: Duration, out: &mut Vec<Action>) {
        match request.target {
            Target::Primary | Target::Strict => self.place_primary(request, now, out),
            Target::Replica { max_age } => match request.floor {
                Some(floor) if self.primary_reached(floor) => {
                    self.place_read(request, Demand { floor, max_age }, now, out);
                }
                // Without a floor, or with one that may be forged.
                _ => self.place_floorless(request, now, out),
            },
        }
    }

    fn place_primary(&mut self, request: Request, now: Duration, out: &mut Vec<Action>) {
        match self.writable() {
            Some(primary) => self.enqueue(request, primary, now, out),
            None => self.park(request, now, out),
        }
    }

    /// The primary, if it answers and a majority can confirm its writes.
    fn writable(&self) -> Option<usize> {
        let primary = self.replace.primary?;
        let known = &self.members[primary];
        let fine = !known.suspected && !known.spec.leaving && self.sees_majority();
        fine.then_some(primary)
    }

    fn sees_majority(&self) -> bool {
        let trusted = |member: &&Member| !member.suspected && member.view.is_some();
        self.members.iter().filter(trusted).count() >= self.replace.majority()
    }

    /// Holds a request for a primary while one is to be expected in time.
    fn park(&mut self, request: Request, now: Duration, out: &mut Vec<Action>) {
        if let Some(refusal) = self.hopeless(&request, now) {
            let id = request.id;
            out.push(Action::Refuse { id, refusal });
            return;
        }
        self.waiting.parked.insert(request.id, request);
    }

    /// Why waiting for a primary makes no sense for this request.
    fn hopeless(&self, request: &Request, now: Duration) -> Option<Refusal> {
        let looking = now < self.born + self.settings.detect.period;
        if !looking && !self.sees_majority() {
            return Some(Refusal {
                reason: Reason::CutOff,
                retry_after: self.settings.cut_off_retry,
            });
        }
        let remaining = self.replace.remaining(now);
        (now + remaining > request.deadline).then_some(Refusal {
            reason: Reason::Replacement,
            retry_after: remaining,
        })
    }

    /// Whether the primary is known to have come as far as a floor.
    fn primary_reached(&self, floor: Position) -> bool {
        let Some(primary) = self.replace.primary else {
            return false;
        };
        let primary = &self.members[primary];
        let reported = primary.status().map_or(Position::ZERO, |status| status.log);
        primary.applied.max(reported).covers(floor)
    }

    /// A session without a token first learns where the primary is.
    fn place_floorless(&mut self, request: Request, now: Duration, out: &mut Vec<Action>) {
        if let Some(refusal) = self
            .writable()
            .map_or_else(|| self.hopeless(&request, now), |_| None)
        {
            let id = request.id;
            out.push(Action::Refuse { id, refusal });
            return;
        }
        self.waiting.floorless.insert(request.id, request);
        self.want_all();
    }

    fn place_read(
        &mut self,
        request: Request,
        demand: Demand,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let candidates = self.candidates(now);
        if let Some(member) = choose(&candidates, demand, &self.domain, &mut self.dice) {
            self.refresh(&candidates, demand);
            return self.enqueue(request, member, now, out);
        }
        let until = request.arrived + self.settings.replica_wait;
        if now < until && !candidates.is_empty() {
            self.waiting.lagging.insert(request.id, (request, until));
            self.want_all();
            return;
        }
        self.place_fallback(request, demand, now, out);
    }

    /// No replica meets the demand: the primary does, if it is not replaced.
    fn place_fallback(
        &mut self,
        request: Request,
        demand: Demand,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        if self.replace.term < demand.floor.term {
            // A newer primary than ours wrote what this session saw.
            self.want_all();
            return self.park(request, now, out);
        }
        if let Some(primary) = self.writable() {
            return self.enqueue(request, primary, now, out);
        }
        if let Some(refusal) = self.hopeless(&request, now) {
            let reason = Reason::Stale;
            let refusal = Refusal { reason, ..refusal };
            let id = request.id;
            out.push(Action::Refuse { id, refusal });
            return;
        }
        self.waiting.parked.insert(request.id, request);
    }

    /// Asks ahead of need when ages come near the bound.
    fn refresh(&mut self, candidates: &[Candidate], demand: Demand) {
        let old = |candidate: &Candidate| candidate.age.is_none_or(|a| a * 2 > demand.max_age);
        if candidates.iter().any(old) {
            self.want_all();
        }
    }

    fn candidates(&self, now: Duration) -> Vec<Candidate> {
        let verified = self.verified();
        let mut candidates = Vec::new();
        for (i, member) in self.members.iter().enumerate() {
            let Some(status) = member.status() else {
                continue;
            };
            let follows = status.log.term == self.replace.term && status.role == Role::Replica;
            if member.suspected || member.spec.leaving || !follows {
                continue;
            }
            let moment = self.history.moment(member.applied.index);
            let moment = moment.zip(verified).map(|(seen, sure)| seen.min(sure));
            candidates.push(Candidate {
                member: i,
                domain: member.spec.domain.clone(),
                applied: member.applied,
                age: moment.map(|moment| now.saturating_sub(moment)),
                load: member.load(),
            });
        }
        candidates
    }

    /// Newest moment at which our term is known not to have been replaced.
    fn verified(&self) -> Option<Duration> {
        let ours = |member: &Member| {
            let (status, began) = member.view.as_ref()?;
            (status.promised <= self.replace.term).then_some(*began)
        };
        let mut moments: Vec<Duration> = self.members.iter().filter_map(ours).collect();
        moments.sort_unstable_by(|a, b| b.cmp(a));
        moments.get(self.replace.majority() - 1).copied()
    }

    fn enqueue(&mut self, request: Request, member: usize, now: Duration, out: &mut Vec<Action>) {
        let id = request.id;
        let believed = request.believed;
        let fair = &mut self.members[member].fair;
        let deadline = request.deadline;
        match fair.arrive(id, &request.partner, request.weight, now, deadline) {
            Admission::Run => {
                let term = self.replace.term;
                out.push(Action::Assign {
                    id,
                    member,
                    term,
                    believed,
                });
            }
            Admission::Wait => {
                self.waiting.queued.insert(id, (request, member));
            }
            Admission::Refuse { retry_after } => {
                let reason = Reason::Overload;
                let refusal = Refusal {
                    reason,
                    retry_after,
                };
                out.push(Action::Refuse { id, refusal });
            }
        }
    }

    fn withdraw(&mut self, id: u64) {
        self.waiting.parked.remove(&id);
        self.waiting.floorless.remove(&id);
        self.waiting.lagging.remove(&id);
        if let Some((_, member)) = self.waiting.queued.remove(&id) {
            self.members[member].fair.withdraw(id);
        }
    }

    fn release(
        &mut self,
        member: usize,
        began: Duration,
        took: Duration,
        position: Option<Position>,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        if let Some(position) = position {
            self.answered(member, position, began, now);
        }
        self.expire_queue(member, now, out);
        let mut next = self.members[member].fair.release(took);
        while let Some(id) = next {
            let (request, _) = self
                .waiting
                .queued
                .remove(&id)
                .expect("who waits is queued");
            if self.still_fits(&request, member, now) {
                self.assign_queued(&request, member, out);
                return;
            }
            // It grew too old while the request waited.
            next = self.members[member].fair.release(self.settings.service);
            self.place(request, now, out);
        }
    }

    /// Whether a member still meets what a request demanded when it was queued.
    fn still_fits(&self, request: &Request, member: usize, now: Duration) -> bool {
        if Some(member) == self.replace.primary {
            return true;
        }
        let Some(demand) = demand_of(request) else {
            return false;
        };
        let candidates = self.candidates(now);
        candidates
            .iter()
            .any(|c| c.member == member && demand.met_by(c))
    }

    fn assign_queued(&self, request: &Request, member: usize, out: &mut Vec<Action>) {
        out.push(Action::Assign {
            id: request.id,
            member,
            term: self.replace.term,
            believed: request.believed,
        });
    }

    /// An ordinary answer tells of a member's position, as a probe would.
    fn answered(&mut self, member: usize, position: Position, began: Duration, now: Duration) {
        if position.term != self.replace.term {
            return;
        }
        let known = &mut self.members[member];
        known.applied = known.applied.max(position);
        known.detector.heard(began, now);
        if Some(member) == self.replace.primary {
            self.history.observe(began, position.index);
        }
    }

    // Confirmation.

    fn wrote(
        &mut self,
        id: u64,
        member: usize,
        position: Position,
        deadline: Duration,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let outcome = if self.plan.group.durability == Durability::Primary {
            Some(Outcome::Confirmed)
        } else if position.term < self.replace.term {
            Some(Outcome::Unknown)
        } else if self.replace.majority() == 1 {
            Some(Outcome::Confirmed)
        } else {
            None
        };
        if let Some(outcome) = outcome {
            out.push(Action::Settle { id, outcome });
            return;
        }
        let need = Need::Holds(position);
        self.confirm.add(id, need, member, now, deadline);
        self.want_for_confirmation();
    }

    /// What a read from the primary must wait for. What no majority holds yet may
    /// be lost with this primary, and then its reader would go back in time.
    fn read_need(&self, term: u64, position: Option<Position>) -> Need {
        let sure = self.plan.group.durability == Durability::Primary;
        match position {
            Some(position) if !sure && position > self.held => Need::Holds(position),
            _ => Need::Unfenced(term),
        }
    }

    fn verify(
        &mut self,
        id: u64,
        member: usize,
        need: Need,
        since: Duration,
        deadline: Duration,
        out: &mut Vec<Action>,
    ) {
        let seen = self.verified().is_some_and(|moment| moment >= since);
        let outcome = if self.replace.majority() == 1 {
            Some(Outcome::Confirmed)
        } else if need.term() < self.replace.term {
            Some(Outcome::Unknown)
        } else if seen && matches!(need, Need::Unfenced(_)) {
            Some(Outcome::Confirmed)
        } else {
            None
        };
        if let Some(outcome) = outcome {
            out.push(Action::Settle { id, outcome });
            return;
        }
        self.confirm.add(id, need, member, since, deadline);
        self.want_for_confirmation();
    }

    /// Moves up the newest position that a majority is known to hold.
    fn note_held(&mut self) {
        let term = self.replace.term;
        let held = |member: &Member| {
            let log = member.status()?.log;
            (log.term == term).then_some(log)
        };
        let mut logs: Vec<Position> = self.members.iter().filter_map(held).collect();
        logs.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(log) = logs.get(self.replace.majority() - 1) {
            self.held = self.held.max(*log);
        }
    }

    fn settle(ended: Vec<(u64, Outcome)>, out: &mut Vec<Action>) {
        let settle = |(id, outcome)| Action::Settle { id, outcome };
        out.extend(ended.into_iter().map(settle));
    }

    // Observations.

    fn status(
        &mut self,
        member: usize,
        began: Duration,
        answer: Result<Status, MemberError>,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        self.members[member].probes = self.members[member].probes.saturating_sub(1);
        match answer {
            Ok(status) if self.sane(&status) => self.observe(member, status, began, now, out),
            Ok(_) => out.push(Action::Note(Note::Nonsense { member })),
            Err(MemberError::Broken) => self.broken(member, now, out),
            Err(_) => {}
        }
    }

    /// Whether a report can be true.
    fn sane(&self, status: &Status) -> bool {
        let near = status.promised <= self.replace.highest() + MOST_TERMS_AHEAD;
        let ordered = status.log.term <= status.promised && status.log.covers(status.applied);
        near && ordered
    }

    fn observe(
        &mut self,
        member: usize,
        status: Status,
        began: Duration,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let known = &mut self.members[member];
        known.detector.heard(began, now);
        if known.broken.is_some_and(|since| began >= since) {
            known.broken = None;
        }
        if known
            .view
            .as_ref()
            .is_some_and(|(_, newest)| *newest > began)
        {
            return;
        }
        known.view = Some((status, began));
        known.applied = status.applied;
        self.replace.observe(member, &status, began, now);
        if status.role == Role::Primary && status.log.term == status.promised {
            self.adopt(status.log.term, member, now, out);
        }
        if Some(member) == self.replace.primary && status.promised == self.replace.term {
            self.history.observe(began, status.log.index);
        }
        let majority = self.replace.majority();
        let ended = self.confirm.observe(member, &status, began, majority);
        Self::settle(ended, out);
        self.note_held();
        self.repair(member, &status, out);
        self.wake_floorless(now, out);
        self.wake_lagging(now, out);
        self.want_for_confirmation();
    }

    /// Has a member that strays follow the primary.
    fn repair(&self, member: usize, status: &Status, out: &mut Vec<Action>) {
        let Some(primary) = self.replace.primary else {
            return;
        };
        let term = self.replace.term;
        let strays = status.promised < term
            || status.role == Role::Primary
            || (status.log.term < term && status.stream != crate::borders::member::Stream::Live);
        if member != primary && status.promised <= term && strays {
            out.push(Action::Follow {
                member,
                term,
                primary,
            });
        }
    }

    fn wake_floorless(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.waiting.floorless.is_empty() {
            return;
        }
        let Some(verified) = self.verified() else {
            return;
        };
        let Some((status, seen)) = self.replace.primary.and_then(|p| self.members[p].view) else {
            return;
        };
        let known = seen.min(verified);
        let ready: Vec<u64> = self
            .waiting
            .floorless
            .iter()
            .filter(|(_, request)| request.arrived <= known)
            .map(|(id, _)| *id)
            .collect();
        for id in ready {
            let mut request = self.waiting.floorless.remove(&id).expect("just found");
            let possible = request.floor.is_some_and(|floor| status.log.covers(floor));
            if !possible {
                // A token from beyond the primary's position is as good as none.
                request.believed = request.floor.is_none();
                request.floor = Some(status.log);
            }
            self.place(request, now, out);
        }
    }

    fn wake_lagging(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.waiting.lagging.is_empty() {
            return;
        }
        let candidates = self.candidates(now);
        let ids: Vec<u64> = self.waiting.lagging.keys().copied().collect();
        for id in ids {
            let (request, until) = &self.waiting.lagging[&id];
            let Some(demand) = demand_of(request) else {
                continue;
            };
            let met = candidates.iter().any(|c| demand.met_by(c));
            if met || now >= *until {
                let (request, _) = self.waiting.lagging.remove(&id).expect("just seen");
                self.place(request, now, out);
            }
        }
    }

    fn broken(&mut self, member: usize, now: Duration, out: &mut Vec<Action>) {
        let known = &mut self.members[member];
        known.broken = known.broken.or(Some(now));
        if !known.suspected {
            known.suspected = true;
            out.push(Action::Note(Note::Suspected { member }));
        }
        known.wanted = true;
    }

    fn news(&mut self, term: u64, primary: &str, now: Duration, out: &mut Vec<Action>) {
        let found = self.members.iter().position(|m| &*m.spec.name == primary);
        if let Some(member) = found {
            self.adopt(term, member, now, out);
        }
    }

    fn adopt(&mut self, term: u64, member: usize, now: Duration, out: &mut Vec<Action>) {
        if !self.replace.adopt(term, member, now) {
            return;
        }
        out.push(Action::Note(Note::Adopted { term, member }));
        self.enter_term(now, out);
    }

    /// What changes with the term: old waits end, the others are told to follow.
    fn enter_term(&mut self, now: Duration, out: &mut Vec<Action>) {
        let ended = self.confirm.abandon(self.replace.term);
        Self::settle(ended, out);
        self.history.clear();
        self.set_periods();
        self.want_all();
        self.requeue(now, out);
        self.unpark(now, out);
    }

    /// Requests queued at a member that is no longer right go elsewhere.
    fn requeue(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut moved = BTreeSet::new();
        for member in &mut self.members {
            moved.extend(member.fair.drain());
        }
        for id in moved {
            if let Some((request, _)) = self.waiting.queued.remove(&id) {
                self.place(request, now, out);
            }
        }
    }

    fn unpark(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.writable().is_none() || self.waiting.parked.is_empty() {
            return;
        }
        for (_, request) in std::mem::take(&mut self.waiting.parked) {
            self.place(request, now, out);
        }
    }

    // Time.

    fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.update_suspicions(now, out);
        let left = self.has_left(now);
        let doubt = match self.replace.primary {
            Some(primary) if left && !self.members[primary].suspected => Doubt::Left,
            Some(primary) if !self.members[primary].suspected => Doubt::None,
            None if now < self.born + self.settings.detect.period => Doubt::None,
            _ => Doubt::Suspected,
        };
        let steps = self.replace.tick(doubt, now);
        self.take_steps(steps, now, out);
        Self::settle(self.confirm.expire(now), out);
        self.wake_lagging(now, out);
        self.unpark(now, out);
        self.expire(now, out);
        self.send_probes(now, out);
    }

    /// Whether a primary that is declared to leave may be replaced by now.
    fn has_left(&mut self, now: Duration) -> bool {
        let leader = self
            .replace
            .primary
            .filter(|p| self.members[*p].spec.leaving);
        let Some(primary) = leader else {
            self.leaving = None;
            return false;
        };
        let others = self
            .members
            .iter()
            .filter(|m| !m.spec.leaving && !m.suspected);
        if others.count() < self.replace.majority() {
            // Nobody to hand over to: better a leaving primary than none.
            return false;
        }
        let since = *self.leaving.get_or_insert(now);
        let patience = self.settings.replace.stagger * self.replace.rank();
        let idle = self.members[primary].fair.running() == 0 && self.confirm.is_empty();
        let due = now >= since + self.settings.leave_grace + patience;
        (idle && due) || now >= since + self.settings.leave_most + patience
    }

    fn update_suspicions(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut fresh = false;
        for (i, member) in self.members.iter_mut().enumerate() {
            let suspected = member.broken.is_some() || member.detector.suspects(now);
            if suspected == member.suspected {
                continue;
            }
            member.suspected = suspected;
            fresh |= suspected;
            out.push(Action::Note(match suspected {
                true => Note::Suspected { member: i },
                false => Note::Trusted { member: i },
            }));
        }
        if fresh {
            self.requeue(now, out);
        }
    }

    fn take_steps(&mut self, steps: Vec<Step>, now: Duration, out: &mut Vec<Action>) {
        let mut noted = false;
        for step in steps {
            match step {
                Step::Ask => out.push(Action::Ask),
                Step::Look => self.want_all(),
                Step::Fence { member, term } => {
                    if !noted {
                        out.push(Action::Note(Note::Fencing { term }));
                        noted = true;
                    }
                    out.push(Action::Fence { member, term });
                }
                Step::Promote { member, term } => out.push(Action::Promote { member, term }),
                Step::Lost { term } => out.push(Action::Note(Note::Lost { term })),
                Step::Won { member, term } => self.won(member, term, now, out),
            }
        }
    }

    fn won(&mut self, winner: usize, term: u64, now: Duration, out: &mut Vec<Action>) {
        out.push(Action::Note(Note::Won {
            term,
            member: winner,
        }));
        let primary = winner;
        out.push(Action::Record { term, primary });
        for member in (0..self.members.len()).filter(|member| *member != winner) {
            out.push(Action::Follow {
                member,
                term,
                primary,
            });
        }
        let winner = &mut self.members[winner];
        winner.broken = None;
        winner.suspected = false;
        winner.detector = Box::new(Baseline::new(self.settings.detect, now));
        self.enter_term(now, out);
    }

    /// Answers at once those who have waited in vain.
    fn expire(&mut self, now: Duration, out: &mut Vec<Action>) {
        for member in 0..self.members.len() {
            self.expire_queue(member, now, out);
        }
        let mut refused = Vec::new();
        let held = self.waiting.parked.values();
        for request in held.chain(self.waiting.floorless.values()) {
            if self.writable().is_some() && now < request.deadline {
                continue;
            }
            if let Some(refusal) = self.hopeless(request, now) {
                refused.push((request.id, refusal));
            }
        }
        for (id, refusal) in refused {
            self.waiting.parked.remove(&id);
            self.waiting.floorless.remove(&id);
            out.push(Action::Refuse { id, refusal });
        }
    }

    fn expire_queue(&mut self, member: usize, now: Duration, out: &mut Vec<Action>) {
        let fair = &mut self.members[member].fair;
        let retry_after = fair.wait();
        for id in fair.expire(now) {
            self.waiting.queued.remove(&id);
            let reason = Reason::Overload;
            let refusal = Refusal {
                reason,
                retry_after,
            };
            out.push(Action::Refuse { id, refusal });
        }
    }

    // Probes.

    fn want_all(&mut self) {
        for member in &mut self.members {
            member.wanted = true;
        }
    }

    fn want_for_confirmation(&mut self) {
        for (i, member) in self.members.iter_mut().enumerate() {
            member.wanted |= self.confirm.wants(i);
        }
    }

    fn send_probes(&mut self, now: Duration, out: &mut Vec<Action>) {
        let gap = self.settings.probe_gap;
        for (i, member) in self.members.iter_mut().enumerate() {
            let due = now >= member.detector.due();
            let rested = member.probed.is_none_or(|probed| now >= probed + gap);
            let asked = member.wanted && member.probes == 0 && rested;
            if !due && !asked {
                continue;
            }
            if due {
                member.detector.sent(now);
            }
            member.wanted = false;
            member.probes += 1;
            member.probed = Some(now);
            out.push(Action::Probe { member: i });
        }
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
            waiting: member.fair.waiting(),
        };
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
            members: self.members.iter().enumerate().map(member).collect(),
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
