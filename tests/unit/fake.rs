//! A simulation of members and network around the real decisions, in virtual time.
//!
//! Members keep a log of values, and owners run the real decisions. Messages are delayed,
//! lost and cut off; members are killed and frozen, and owners paused.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use larkfall::borders::member::{MemberError, Role, Status, Stream};
use larkfall::decisions::confirmation::Outcome;
use larkfall::decisions::group::{Action, Event, Group, Request, Settings, Target};
use larkfall::decisions::position::Position;
use larkfall::declarations::resource::{
    Address, Durability, Group as GroupSpec, Member as MemberSpec,
};
use larkfall::declarations::snapshot::Plan;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const MEMBERS: usize = 3;
pub const OWNERS: usize = 3;
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
const STREAM_TIMEOUT: Duration = Duration::from_millis(400);

pub const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Safeguards that are disabled, to verify that the checker detects the violations.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disabled {
    /// Acknowledges writes without a majority.
    pub confirmation: bool,
    /// Lets members grant a term without keeping to it.
    pub fences: bool,
    /// Routes reads without the session's floor.
    pub floors: bool,
    /// Answers strict reads without checking a majority.
    pub verification: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    term: u64,
    value: Option<u64>,
}

#[derive(Clone, Debug)]
struct Member {
    promised: u64,
    term: u64,
    role: Role,
    log: Vec<Entry>,
    applied: usize,
    primary: Option<usize>,
    up: bool,
    frozen: bool,
    last_replicated: Duration,
    broken: bool,
    lag: Duration,
    /// When each entry was received.
    received: Vec<Duration>,
}

impl Member {
    fn position(&self, length: usize) -> Position {
        let term = length.checked_sub(1).map_or(0, |i| self.log[i].term);
        Position::new(term, length as u64)
    }

    fn status(&self, now: Duration) -> Status {
        let stream = match self.role {
            Role::Primary => Stream::None,
            Role::Replica if self.broken => Stream::Broken,
            Role::Replica if now > self.last_replicated + STREAM_TIMEOUT => Stream::Silent,
            Role::Replica => Stream::Live,
        };
        Status {
            promised: self.promised,
            role: self.role,
            log: self.position(self.log.len()),
            applied: self.position(self.applied),
            stream,
        }
    }

    fn append(&mut self, value: Option<u64>, now: Duration) {
        let term = self.term;
        self.log.push(Entry { term, value });
        self.received.push(now);
        self.applied = self.log.len();
    }

    fn values(&self) -> BTreeSet<u64> {
        self.log[..self.applied]
            .iter()
            .filter_map(|entry| entry.value)
            .collect()
    }
}

#[derive(Clone, Debug)]
enum Call {
    Status,
    Fence(u64),
    Promote(u64),
    Follow(u64, usize),
    Run(u64),
}

#[derive(Clone, Debug)]
enum Delivery {
    ToMember {
        owner: usize,
        member: usize,
        began: Duration,
        call: Call,
    },
    ToOwner {
        owner: usize,
        event: Event,
    },
    /// The answer to `Call::Run`.
    Answer {
        owner: usize,
        id: u64,
        began: Duration,
        answer: Option<RunResult>,
    },
    Replicate(usize),
    Apply(usize),
    Wake(usize),
}

#[derive(Clone, Debug)]
struct RunResult {
    position: Position,
    values: BTreeSet<u64>,
}

/// A statement under way, with the values that it must see.
#[derive(Clone, Debug)]
struct Statement {
    session: usize,
    target: Target,
    value: Option<u64>,
    arrived: Duration,
    assigned: Duration,
    member: usize,
    term: u64,
    /// Whether the owner took the member for the primary when it assigned the statement.
    primary: bool,
    must_see: BTreeSet<u64>,
    /// Values that the session had read when the statement arrived.
    read_values: BTreeSet<u64>,
    ran: Option<RunResult>,
    running: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Session {
    floor: Option<Position>,
    own_writes: BTreeSet<u64>,
    read_values: BTreeSet<u64>,
}

/// Violations of the guarantees that the checker found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    pub lost_writes: usize,
    pub stale_own_reads: usize,
    pub stale_strict_reads: usize,
    pub too_old_reads: usize,
    /// Reads that missed values which their session had read before.
    pub backward_reads: usize,
    pub duplicate_writes: usize,
    pub missing_primary: usize,
}

/// Counts of what the run did.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub acknowledged: usize,
    pub unknown: usize,
    pub refused: usize,
    pub replica_reads: usize,
    pub primary_reads: usize,
    pub failovers: usize,
    /// Times of the acknowledgements.
    pub ack_times: Vec<Duration>,
}

pub struct World {
    pub now: Duration,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    deliveries: BTreeMap<u64, Delivery>,
    sequence: u64,
    members: Vec<Member>,
    owners: Vec<Group>,
    paused: Vec<Option<Duration>>,
    /// Pairs of failure domains that can't reach each other. Owner `i` and member `i` share
    /// a domain.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Pairs of an owner and a member that the owner can't reach.
    pub hidden: BTreeSet<(usize, usize)>,
    pub loss: f64,
    disabled: Disabled,
    statements: BTreeMap<u64, Statement>,
    pub sessions: Vec<Session>,
    acknowledged: BTreeMap<u64, Duration>,
    next_id: u64,
    pub violations: Violations,
    pub counts: Counts,
}

fn plan(durability: Durability) -> Arc<Plan> {
    let member = |i: usize| MemberSpec {
        partner: "p".into(),
        group: "g".into(),
        name: format!("m{i}").into(),
        address: Address {
            sql: format!("127.0.0.1:{i}").into(),
            control: format!("127.0.0.1:1{i}").into(),
        },
        domain: format!("d{i}").into(),
        leaving: false,
        born: None,
    };
    Arc::new(Plan {
        id: "p/g".into(),
        group: GroupSpec {
            partner: "p".into(),
            name: "g".into(),
            durability,
            slots: 3,
            connections: 24,
            owners: OWNERS as u32,
            deadline_ms: 5_000,
            max_age_ms: 500,
            idle_ms: None,
        },
        members: (0..MEMBERS).map(member).collect(),
        reads: Vec::new(),
        onces: Vec::new(),
        keyed: false,
        departures: BTreeMap::new(),
        recorded: BTreeMap::new(),
    })
}

/// Creates a group at its first owner, before any observation.
pub fn new_group() -> Group {
    new_group_with(|_| {})
}

/// Creates a group as `new_group` does, with changed settings.
pub fn new_group_with(set: impl Fn(&mut Settings)) -> Group {
    let plan = plan(Durability::Majority);
    let mut settings = Settings::default();
    set(&mut settings);
    Group::new(plan, "d0".into(), 0, settings, 1, ms(0))
}

impl World {
    pub fn new(seed: u64, disabled: Disabled) -> Self {
        let durability = match disabled.confirmation {
            true => Durability::Primary,
            false => Durability::Majority,
        };
        let plan = plan(durability);
        let owner = |i: usize| {
            let domain = format!("d{i}").into();
            Group::new(
                plan.clone(),
                domain,
                i as u32,
                Settings::default(),
                seed + i as u64,
                ms(0),
            )
        };
        let mut member = Member {
            promised: 1,
            term: 1,
            role: Role::Replica,
            log: Vec::new(),
            applied: 0,
            primary: Some(0),
            up: true,
            frozen: false,
            last_replicated: ms(0),
            broken: false,
            lag: ms(10),
            received: Vec::new(),
        };
        let mut members = vec![member.clone(); MEMBERS];
        member.role = Role::Primary;
        member.append(None, ms(0));
        members[0] = member;
        let mut world = Self {
            now: ms(0),
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            sequence: 0,
            members,
            owners: (0..OWNERS).map(owner).collect(),
            paused: vec![None; OWNERS],
            cuts: BTreeSet::new(),
            hidden: BTreeSet::new(),
            loss: 0.0,
            disabled,
            statements: BTreeMap::new(),
            sessions: vec![Session::default(); 6],
            acknowledged: BTreeMap::new(),
            next_id: 1,
            violations: Violations::default(),
            counts: Counts::default(),
        };
        for i in 0..OWNERS {
            world.schedule(ms(0), Delivery::Wake(i));
        }
        for i in 0..MEMBERS {
            world.schedule(ms(1), Delivery::Replicate(i));
            world.schedule(ms(1), Delivery::Apply(i));
        }
        world
    }

    pub fn random(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    fn schedule(&mut self, time: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue.push(Reverse((time, self.sequence)));
        self.deliveries.insert(self.sequence, delivery);
    }

    /// Draws the delay of one message.
    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(1_000..3_000))
    }

    fn is_cut(&self, owner: usize, member: usize) -> bool {
        self.hidden.contains(&(owner, member)) || self.domains_cut(owner, member)
    }

    fn domains_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains(&(a.min(b), a.max(b)))
    }

    fn drops_message(&mut self) -> bool {
        let loss = self.loss;
        self.rng.random_bool(loss)
    }

    // Fault injection.

    pub fn kill(&mut self, member: usize) {
        self.members[member].up = false;
        for owner in 0..OWNERS {
            if !self.is_cut(owner, member) {
                let at = self.now + self.delay();
                let event = Event::ConnectionLost { member };
                self.schedule(at, Delivery::ToOwner { owner, event });
            }
        }
        for i in 0..MEMBERS {
            if self.members[i].primary == Some(member) {
                self.members[i].broken = true;
            }
        }
    }

    pub fn revive(&mut self, member: usize) {
        self.members[member].up = true;
    }

    pub fn freeze(&mut self, member: usize, frozen: bool) {
        self.members[member].frozen = frozen;
    }

    pub fn set_lag(&mut self, member: usize, lag: Duration) {
        self.members[member].lag = lag;
    }

    pub fn pause(&mut self, owner: usize, length: Duration) {
        self.paused[owner] = Some(self.now + length);
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.hidden.clear();
        self.loss = 0.0;
        for member in &mut self.members {
            member.up = true;
            member.frozen = false;
            member.lag = ms(10);
        }
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |member: &Member| {
            member.up && member.role == Role::Primary && member.promised == member.term
        };
        (0..MEMBERS)
            .filter(|i| leads(&self.members[*i]))
            .max_by_key(|i| self.members[*i].term)
    }

    /// Whether an owner is fencing members.
    pub fn is_fencing(&self) -> bool {
        let phase = |owner: &Group| owner.dump(self.now).phase;
        self.owners.iter().any(|owner| phase(owner) == "fencing")
    }

    // Statements.

    pub fn write(&mut self, session: usize, owner: usize) {
        let value = self.next_id;
        self.submit(session, owner, Target::Primary, Some(value));
    }

    pub fn read(&mut self, session: usize, owner: usize, target: Target) {
        self.submit(session, owner, target, None);
    }

    fn submit(&mut self, session: usize, owner: usize, target: Target, value: Option<u64>) {
        let id = self.next_id;
        self.next_id += 1;
        let floor = match self.disabled.floors {
            true => Some(Position::ZERO),
            false => self.sessions[session].floor,
        };
        let must_see = match target {
            Target::Strict => self.acknowledged.keys().copied().collect(),
            _ => self.sessions[session].own_writes.clone(),
        };
        let statement = Statement {
            session,
            target,
            value,
            arrived: self.now,
            assigned: self.now,
            member: 0,
            term: 0,
            primary: false,
            must_see,
            read_values: match self.disabled.floors {
                true => BTreeSet::new(),
                false => self.sessions[session].read_values.clone(),
            },
            ran: None,
            running: false,
        };
        self.statements.insert(id, statement);
        let request = Request {
            id,
            partner: "p".into(),
            weight: 1,
            target,
            floor,
            believed: true,
            arrived: self.now,
            deadline: self.now + ms(3_000),
            aim: None,
        };
        self.schedule(
            self.now,
            Delivery::ToOwner {
                owner,
                event: Event::Arrived(request),
            },
        );
    }

    // Event loop.

    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((time, sequence))) = self.queue.peek().copied() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(time);
            let delivery = self
                .deliveries
                .remove(&sequence)
                .expect("delivery is queued once");
            self.deliver(delivery);
        }
        self.now = end;
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::ToMember {
                owner,
                member,
                began,
                call,
            } => {
                self.handle_call(owner, member, began, call);
            }
            Delivery::ToOwner { owner, event } => self.notify(owner, event),
            Delivery::Answer {
                owner,
                id,
                began,
                answer,
            } => self.handle_answer(owner, id, began, answer),
            Delivery::Wake(owner) => {
                self.notify(owner, Event::Tick);
                let next = self.owners[owner].next_tick().max(self.now + ms(1));
                self.schedule(next.min(self.now + ms(20)), Delivery::Wake(owner));
            }
            Delivery::Replicate(member) => {
                self.replicate(member);
                self.schedule(self.now + ms(3), Delivery::Replicate(member));
            }
            Delivery::Apply(member) => {
                self.apply(member);
                self.schedule(self.now + ms(1), Delivery::Apply(member));
            }
        }
    }

    fn notify(&mut self, owner: usize, event: Event) {
        if let Some(until) = self.paused[owner] {
            if self.now < until {
                let delivery = Delivery::ToOwner { owner, event };
                self.schedule(until, delivery);
                return;
            }
            self.paused[owner] = None;
        }
        let actions = self.owners[owner].handle(event, self.now);
        for action in actions {
            self.apply_action(owner, action);
        }
    }

    fn apply_action(&mut self, owner: usize, action: Action) {
        match action {
            Action::Assign {
                id, member, term, ..
            } => self.assign(owner, id, member, term),
            Action::Refuse { id, .. } => {
                self.statements.remove(&id);
                self.counts.refused += 1;
            }
            Action::ReportOutcome { id, outcome } => self.record_outcome(id, outcome),
            Action::Probe { member } => self.call(owner, member, Call::Status),
            Action::Fence { member, term } => self.call(owner, member, Call::Fence(term)),
            Action::Promote { member, term } => self.call(owner, member, Call::Promote(term)),
            Action::Follow {
                member,
                term,
                primary,
            } => {
                self.call(owner, member, Call::Follow(term, primary));
            }
            // These members keep their fences and need no claim.
            Action::ReleaseFence { .. }
            | Action::ClaimDuty
            | Action::ResignDuty { .. }
            | Action::RevokeLeases { .. } => {}
            Action::AskOpinions => self.ask_peers(owner),
            Action::RecordPrimary { .. } => self.counts.failovers += 1,
            Action::RecordMembers { .. } | Action::ConfirmLosses { .. } | Action::Log(_) => {}
        }
    }

    fn ask_peers(&mut self, owner: usize) {
        let term = self.owners[owner].term();
        for other in (0..OWNERS).filter(|other| *other != owner) {
            let paused = self.paused[other].is_some_and(|until| self.now < until);
            if self.domains_cut(owner, other) || paused || self.drops_message() {
                continue;
            }
            let event = Event::OpinionReceived {
                from: format!("b{other}").into(),
                same_domain: false,
                suspects: self.owners[other].suspects_primary(term),
            };
            let at = self.now + self.delay() + self.delay();
            self.schedule(at, Delivery::ToOwner { owner, event });
            let event = Event::OpinionRequested;
            self.schedule(
                self.now,
                Delivery::ToOwner {
                    owner: other,
                    event,
                },
            );
        }
    }

    fn call(&mut self, owner: usize, member: usize, call: Call) {
        let at = self.now + self.delay();
        let began = self.now;
        self.schedule(
            at,
            Delivery::ToMember {
                owner,
                member,
                began,
                call,
            },
        );
    }

    /// Handles a call at a member. The answer is sent back unless a message is lost.
    fn handle_call(&mut self, owner: usize, member: usize, began: Duration, call: Call) {
        let unanswered =
            self.is_cut(owner, member) || self.drops_message() || self.members[member].frozen;
        if unanswered {
            self.send_timeout(owner, member, began, call);
            return;
        }
        if !self.members[member].up {
            self.reply(owner, member, began, call, Err(MemberError::Broken));
            return;
        }
        let now = self.now;
        if let Call::Run(id) = call {
            let ran = self.execute(member, id);
            let back = self.now + self.delay();
            let answer = if self.drops_message() { None } else { ran };
            self.schedule(
                back,
                Delivery::Answer {
                    owner,
                    id,
                    began,
                    answer,
                },
            );
            return;
        }
        let fences_disabled = self.disabled.fences;
        let node = &mut self.members[member];
        let fenced = Err(MemberError::Fenced {
            promised: node.promised,
        });
        let answer = match call {
            Call::Fence(term) if fences_disabled => Ok(Status {
                promised: term,
                ..node.status(now)
            }),
            Call::Promote(term) if fences_disabled => {
                node.promised = node.promised.max(term);
                node.role = Role::Primary;
                node.term = term;
                node.append(None, now);
                Ok(node.status(now))
            }
            Call::Fence(term) if term > node.promised => {
                node.promised = term;
                Ok(node.status(now))
            }
            Call::Promote(term) if term == node.promised => {
                if node.role != Role::Primary || node.term != term {
                    node.role = Role::Primary;
                    node.term = term;
                    node.append(None, now);
                }
                Ok(node.status(now))
            }
            Call::Follow(term, primary) if term >= node.promised && primary != member => {
                node.promised = term;
                node.role = Role::Replica;
                node.primary = Some(primary);
                Ok(node.status(now))
            }
            Call::Status => Ok(node.status(now)),
            _ => fenced,
        };
        match self.drops_message() {
            true => self.send_timeout(owner, member, began, call),
            false => self.reply(owner, member, began, call, answer),
        }
    }

    fn execute(&mut self, member: usize, id: u64) -> Option<RunResult> {
        let value = self.statements.get(&id)?.value;
        let now = self.now;
        let fences = !self.disabled.fences;
        let node = &mut self.members[member];
        if let Some(value) = value {
            if node.role != Role::Primary || (fences && node.promised != node.term) {
                return None;
            }
            node.append(Some(value), now);
        }
        Some(RunResult {
            position: node.position(node.applied),
            values: node.values(),
        })
    }

    fn send_timeout(&mut self, owner: usize, member: usize, began: Duration, call: Call) {
        if let Call::Run(id) = call {
            let at = self.now + ANSWER_TIMEOUT;
            self.schedule(
                at,
                Delivery::Answer {
                    owner,
                    id,
                    began,
                    answer: None,
                },
            );
            return;
        }
        let at = self.now + ANSWER_TIMEOUT;
        let event = event_of(member, began, call, Err(MemberError::TimedOut));
        self.schedule(at, Delivery::ToOwner { owner, event });
    }

    fn reply(
        &mut self,
        owner: usize,
        member: usize,
        began: Duration,
        call: Call,
        answer: Result<Status, MemberError>,
    ) {
        let at = self.now + self.delay();
        if let Call::Run(id) = call {
            self.schedule(
                at,
                Delivery::Answer {
                    owner,
                    id,
                    began,
                    answer: None,
                },
            );
            return;
        }
        let event = event_of(member, began, call, answer);
        self.schedule(at, Delivery::ToOwner { owner, event });
    }

    fn replicate(&mut self, member: usize) {
        let now = self.now;
        let fences = !self.disabled.fences;
        let Some(primary) = self.members[member].primary else {
            return;
        };
        if self.members[member].role == Role::Primary || !self.members[member].up {
            return;
        }
        if self.members[member].frozen || self.domains_cut(member, primary) {
            return;
        }
        let [node, source] = self
            .members
            .get_disjoint_mut([member, primary])
            .expect("a replica follows another member");
        node.broken = !source.up;
        let current = source.role == Role::Primary
            && (!fences || (source.promised == source.term && node.promised == source.term));
        if !source.up || source.frozen || !current {
            return;
        }
        let same = |i: &usize| {
            let (a, b) = (&node.log[*i - 1], &source.log[*i - 1]);
            a.term == b.term
        };
        let shared = (1..=node.log.len().min(source.log.len()))
            .rev()
            .find(same)
            .unwrap_or(0);
        node.last_replicated = now;
        node.term = source.term;
        node.log.truncate(shared);
        node.received.truncate(shared);
        node.applied = node.applied.min(shared);
        node.log.extend_from_slice(&source.log[shared..]);
        node.received.resize(node.log.len(), now);
    }

    fn apply(&mut self, member: usize) {
        let now = self.now;
        let node = &mut self.members[member];
        if !node.up || node.frozen {
            return;
        }
        while node.applied < node.log.len() && node.received[node.applied] + node.lag <= now {
            node.applied += 1;
        }
    }

    fn assign(&mut self, owner: usize, id: u64, member: usize, term: u64) {
        let now = self.now;
        let leads = self.owners[owner].primary() == Some(member);
        let Some(statement) = self.statements.get_mut(&id) else {
            return;
        };
        statement.primary = leads;
        statement.member = member;
        statement.term = term;
        statement.assigned = now;
        statement.running = true;
        if statement.value.is_none() {
            match self.members[member].role {
                Role::Primary => self.counts.primary_reads += 1,
                Role::Replica => self.counts.replica_reads += 1,
            }
        }
        self.call(owner, member, Call::Run(id));
    }

    fn handle_answer(&mut self, owner: usize, id: u64, began: Duration, answer: Option<RunResult>) {
        let Some(statement) = self.statements.get_mut(&id) else {
            return;
        };
        statement.ran = answer.clone();
        let statement = statement.clone();
        if let Some(ran) = &answer {
            let answered = Event::Answered {
                member: statement.member,
                began,
                position: Some(ran.position),
                proves_primary: statement.value.is_some(),
            };
            self.notify(owner, answered);
        }
        let release = Event::SlotReleased {
            member: statement.member,
            took: self.now - began,
        };
        self.notify(owner, release);
        let Some(ran) = answer else {
            self.counts.unknown += usize::from(statement.value.is_some());
            self.statements.remove(&id);
            return;
        };
        let deadline = self.now + ms(2_000);
        match (statement.value, statement.target) {
            (Some(_), _) => {
                let event = Event::ConfirmWrite {
                    id,
                    member: statement.member,
                    position: ran.position,
                    deadline,
                };
                self.notify(owner, event);
            }
            (None, Target::Strict) if !self.disabled.verification => {
                self.verify(owner, id, &statement, statement.arrived);
            }
            (None, Target::Replica { max_age }) if statement.primary => {
                let since = statement.assigned.saturating_sub(max_age);
                self.verify(owner, id, &statement, since);
            }
            (None, _) => self.record_outcome(id, Outcome::Confirmed),
        }
    }

    fn verify(&mut self, owner: usize, id: u64, statement: &Statement, since: Duration) {
        let event = Event::ConfirmRead {
            id,
            term: statement.term,
            since,
            position: statement.ran.as_ref().map(|ran| ran.position),
            deadline: self.now + ms(2_000),
        };
        self.notify(owner, event);
    }

    fn record_outcome(&mut self, id: u64, outcome: Outcome) {
        let Some(statement) = self.statements.remove(&id) else {
            return;
        };
        let Some(ran) = statement.ran else { return };
        if outcome == Outcome::Unknown {
            self.counts.unknown += usize::from(statement.value.is_some());
            return;
        }
        let session = &mut self.sessions[statement.session];
        session.floor = Some(session.floor.unwrap_or(Position::ZERO).join(ran.position));
        if let Some(value) = statement.value {
            session.own_writes.insert(value);
            self.acknowledged.insert(value, self.now);
            self.counts.acknowledged += 1;
            self.counts.ack_times.push(self.now);
            return;
        }
        self.violations.backward_reads +=
            usize::from(!statement.read_values.is_subset(&ran.values));
        session.read_values.extend(&ran.values);
        let missing = !statement.must_see.is_subset(&ran.values);
        match statement.target {
            Target::Strict => self.violations.stale_strict_reads += usize::from(missing),
            _ => self.violations.stale_own_reads += usize::from(missing),
        }
        if let Target::Replica { max_age } = statement.target {
            let bound = statement.assigned.saturating_sub(max_age);
            let older = self.acknowledged.iter().filter(|(_, at)| **at < bound);
            let hidden = older
                .filter(|(value, _)| !ran.values.contains(value))
                .count();
            self.violations.too_old_reads += usize::from(hidden > 0);
        }
    }

    /// Compares the acknowledged writes with the primary's log.
    pub fn check(&mut self) {
        let Some(leader) = self.leader() else {
            self.violations.missing_primary += 1;
            return;
        };
        let log: Vec<u64> = self.members[leader]
            .log
            .iter()
            .filter_map(|e| e.value)
            .collect();
        let present: BTreeSet<u64> = log.iter().copied().collect();
        self.violations.duplicate_writes += log.len() - present.len();
        let lost = self
            .acknowledged
            .keys()
            .filter(|value| !present.contains(value));
        self.violations.lost_writes += lost.count();
    }
}

fn event_of(
    member: usize,
    began: Duration,
    call: Call,
    answer: Result<Status, MemberError>,
) -> Event {
    match call {
        Call::Fence(term) => Event::Fenced {
            member,
            term,
            answer,
        },
        Call::Promote(term) => Event::Promoted { term, answer },
        Call::Status => Event::Probed {
            member,
            began,
            answer,
        },
        Call::Follow(..) | Call::Run(_) => Event::ProbeAll,
    }
}
