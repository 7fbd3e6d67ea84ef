//! Decisions about one group at one of its owners.
//!
//! [`Group::handle`] takes an event and the time, and returns actions. The state consists of
//! the known state of each member, the waiting requests and the failover in progress.

mod confirmation;
mod dispatch;
mod dump;
mod membership;
mod message;
mod observation;
mod recorded;
mod restart;
mod settings;
mod timers;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::confirmation::{Need, Outcome, Waiters};
use super::departure::Departure;
use super::detect::Detector;
use super::detect::baseline::Baseline;
use super::duty::Ballot;
use super::failover::{Failover, Step, Trigger};
use super::fair::{Admission, Deadlines, Queue};
use super::latency::Latency;
use super::owners::{MIN_CONNECTION_SHARE, connection_share};
use super::position::Position;
use super::route::{Candidate, Demand, History, choose_member};
use crate::borders::member::{Fence, MemberError, Role, Status};
use crate::declarations::resource::{Durability, Member as MemberSpec};
use crate::declarations::snapshot::Plan;

pub use dump::{GroupDump, MemberDump};
pub use settings::Settings;

pub use message::{Action, Event, Note, Reason, Refusal, Request, Target, Via};

/// Reports of a term further ahead than this are rejected as implausible.
const MAX_TERMS_AHEAD: u64 = 1 << 20;

/// Least time between two wake-ups for requests that wait for the lease.
const MIN_LEASE_PROBE_INTERVAL: Duration = Duration::from_millis(120);

/// A read is repeated elsewhere after this multiple of the member's mean latency.
const READ_TIMEOUT_FACTOR: u32 = 6;

struct Member {
    spec: MemberSpec,
    /// Newest report and when it was requested.
    report: Option<(Status, Duration)>,
    /// Least position that reads on the member see, from reports and answers.
    applied: Position,
    detector: Box<dyn Detector>,
    /// When a connection was refused or reset; `None` once a later probe was answered.
    connection_lost: Option<Duration>,
    suspected: bool,
    /// Probes without an answer so far.
    pending_probes: u32,
    last_probe: Option<Duration>,
    probe_wanted: bool,
    queue: Queue,
    latency: Latency,
    /// Whether the newest report shows that the member does not lead, or lost log entries and
    /// must not lead.
    demoted: bool,
    /// Newest moment at which the member is known to have been in the present term: a primary
    /// led, or a replica received an entry that the primary wrote later.
    in_term_at: Option<Duration>,
    /// Newest moment at which the member was seen without a fence. If fences end with a
    /// promotion, this proves nothing about other members.
    unfenced_at: Option<Duration>,
    /// Whether the member joined after this box took over the group.
    joined_later: bool,
    /// When the member was last ordered to follow the primary.
    last_follow: Option<Duration>,
    /// Number of connections that the member accepts from this box, as far as known.
    connection_limit: usize,
    /// When the connection limit is raised by one.
    next_limit_raise: Duration,
    /// Since when the member is missing from the list of members.
    missing_since: Option<Duration>,
    /// Set if the member announced that it leaves, or is missing from the list.
    departure: Option<Departure>,
    /// The drain limit in force when this box learned that the member leaves.
    drain_limit: Option<Duration>,
    /// Whether the drain time is over.
    drain_expired: bool,
    /// Whether the member was removed. Its index stays taken.
    removed: bool,
    /// Whether the member restarted and has a new index.
    superseded: bool,
    /// Set for a member that restarted.
    earlier_start: Option<EarlierStart>,
}

/// What is known of a restarted member's earlier start.
#[derive(Clone, Copy, Debug)]
struct EarlierStart {
    /// Newest position at which the member was seen.
    log: Position,
    /// When this box learned of the restart.
    restart_seen: Duration,
}

impl Member {
    fn new(spec: MemberSpec, capacity: usize, settings: &Settings, now: Duration) -> Self {
        Self {
            spec,
            report: None,
            applied: Position::ZERO,
            detector: Box::new(Baseline::new(settings.detect, now)),
            connection_lost: None,
            suspected: false,
            pending_probes: 0,
            last_probe: None,
            probe_wanted: false,
            queue: Queue::new(capacity, settings.service_time),
            latency: Latency::new(settings.service_time),
            demoted: false,
            in_term_at: None,
            unfenced_at: None,
            joined_later: false,
            last_follow: None,
            connection_limit: capacity,
            next_limit_raise: now,
            missing_since: None,
            departure: None,
            drain_limit: None,
            drain_expired: false,
            removed: false,
            superseded: false,
            earlier_start: None,
        }
    }

    /// Expected time until the member answers one more statement.
    fn expected_wait(&self, now: Duration, slots: usize) -> Duration {
        let load = self.queue.running() + self.queue.waiting_on_time();
        let rounds = 1.0 + load as f64 / slots.max(1) as f64;
        let run = self.latency.mean(now);
        let queued = match self.queue.admits_at_once() {
            true => Duration::ZERO,
            false => run * (self.queue.waiting_on_time() as u32 + 1) / self.queue.slots() as u32,
        };
        run.mul_f64(rounds) + queued
    }

    /// Time for which the member is served once it leaves: the shorter of the present limit
    /// and the limit when this box learned of the departure, since other boxes may use either.
    fn drain_time(&self, settings: &Settings) -> Duration {
        let present = settings.drain_limit;
        self.drain_limit.map_or(present, |limit| limit.min(present))
    }

    fn status(&self) -> Option<&Status> {
        self.report.as_ref().map(|(status, _)| status)
    }
}

/// Waiting requests, by id.
#[derive(Default)]
struct Waiting {
    /// Requests in the queue of a member.
    queued: BTreeMap<u64, (Request, usize)>,
    /// Requests that wait for a primary.
    for_primary: BTreeMap<u64, Request>,
    /// Reads that wait for a report of the primary's position, requested after they arrived.
    for_position: BTreeMap<u64, Request>,
    /// Reads that wait for a suitable replica, and until when.
    for_replica: BTreeMap<u64, (Request, Duration)>,
}

/// State of one group at one owner.
pub struct Group {
    pub plan: Arc<Plan>,
    settings: Settings,
    domain: Arc<str>,
    members: Vec<Member>,
    failover: Failover,
    /// Answered writes and reads that wait for confirmation.
    unconfirmed: Waiters,
    history: History,
    /// Newest position of the present term that a majority is known to hold.
    majority_position: Position,
    waiting: Waiting,
    rng: SmallRng,
    started_at: Duration,
    /// The primary, if it is leaving.
    draining_primary: Option<usize>,
    /// When the hand-over of the leaving primary is checked again.
    next_handover_check: Option<Duration>,
    /// When the lease was last given up. Only later observations count for a new one.
    lease_revoked_at: Duration,
    /// Whether the boxes that may promote know of this box, so that it may use the lease.
    listed: bool,
    /// Number of boxes that own the group.
    owners: u32,
    /// Factor on the probe periods of a box with many groups.
    load_factor: u32,
    /// Earlier and new index of each restarted member whose restart is not handled yet.
    pending_restarts: Vec<(usize, usize)>,
    /// Recorded members that aren't known otherwise.
    absent: recorded::Absent,
    /// When it was last checked whether missing members can be removed.
    removals_checked: Duration,
    /// When the other owners are asked whether missing members are lost.
    next_loss_check: Option<Duration>,
    /// Whether the members may differ from the recorded ones.
    record_outdated: bool,
    /// When the members are recorded.
    record_due: Option<Duration>,
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
            failover: Failover::new(settings.failover, members.len(), rank),
            settings,
            domain,
            members,
            unconfirmed: Waiters::default(),
            history: History::default(),
            majority_position: Position::ZERO,
            waiting: Waiting::default(),
            rng: SmallRng::seed_from_u64(seed),
            started_at: now,
            draining_primary: None,
            next_handover_check: None,
            lease_revoked_at: Duration::ZERO,
            listed: false,
            owners,
            load_factor: 1,
            pending_restarts: Vec::new(),
            absent: recorded::Absent::default(),
            removals_checked: Duration::ZERO,
            next_loss_check: None,
            record_outdated: true,
            record_due: None,
            plan,
        };
        group.update_absent(now);
        group.update_departures(now);
        group.update_members();
        group.update_probe_periods();
        group.set_owners(owners);
        group
    }

    /// Time after which a read on a member should be repeated on another.
    pub fn read_timeout(&self, member: usize, now: Duration) -> Duration {
        self.members[member].latency.mean(now) * READ_TIMEOUT_FACTOR
    }

    /// Number of idle connections to each member that are kept open.
    pub fn idle_connections(&self) -> usize {
        (self.connection_share() * self.settings.idle_connections_percent as usize / 100).max(1)
    }

    /// This owner's share of the connections to each member.
    pub fn connection_share(&self) -> usize {
        connection_share(self.plan.group.connections, self.owners)
    }

    pub fn term(&self) -> u64 {
        self.failover.term
    }

    pub fn primary(&self) -> Option<usize> {
        self.failover.primary
    }

    /// Number of members that make a majority.
    pub fn majority(&self) -> usize {
        self.failover.majority()
    }

    /// Whether this owner suspects each member, by index.
    pub fn suspicions(&self) -> impl Iterator<Item = bool> {
        self.members.iter().map(|member| member.suspected)
    }

    /// Sets this owner's rank, and the factor by which a box with many groups probes less
    /// often.
    pub fn set_rank(&mut self, rank: u32, load_factor: u32) {
        self.failover.set_rank(rank);
        self.load_factor = load_factor;
        self.update_probe_periods();
    }

    /// Sets the members' probe periods. Only the first owner probes the primary at the full
    /// rate, which limits the control traffic.
    fn update_probe_periods(&mut self) {
        let settings = self.settings;
        let rank_factor = match self.failover.rank() {
            0 => 1,
            _ => settings.secondary_period_factor,
        };
        let primary = self.failover.primary;
        for (i, member) in self.members.iter_mut().enumerate() {
            let role_factor = match primary {
                Some(primary) if primary != i => settings.secondary_period_factor,
                _ => 1,
            };
            let factor = rank_factor * role_factor * self.load_factor;
            member.detector.set_period(settings.detect.period * factor);
        }
    }

    /// The ballot from which the generation of this owner's promotion order is derived.
    pub fn ballot(&self) -> Ballot {
        self.failover.ballot()
    }

    /// The fence that this owner's ballot of `term` asks a member to accept.
    pub fn fence_request(&self, term: u64) -> Fence {
        Fence {
            term,
            replaced: self.failover.replaced_term(),
            known_promise: self.failover.promised_before_ballot(),
        }
    }

    /// Whether this owner is replacing the primary.
    pub fn is_deposing(&self) -> bool {
        self.failover.is_deposing()
    }

    /// Whether this owner reaches a majority; `None` while that is not known yet.
    pub fn reaches_majority(&self, now: Duration) -> Option<bool> {
        if self.sees_majority() {
            return Some(true);
        }
        let probed = now >= self.started_at + self.settings.detect.period;
        let known = self.failover.primary.is_some() || (probed && !self.may_see_majority());
        known.then_some(false)
    }

    /// Whether this owner suspects the primary of `term`, for a peer that asks.
    pub fn suspects_primary(&self, term: u64) -> bool {
        match self.failover.primary {
            Some(primary) if self.failover.term <= term => self.members[primary].suspected,
            Some(_) => false,
            None => true,
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, event: Event, now: Duration) -> Vec<Action> {
        let mut out = Vec::new();
        // These come first: no request may be dispatched by outdated state.
        self.apply_restarts(now, &mut out);
        self.expire_drains(now, &mut out);
        match event {
            Event::Tick => {}
            Event::Arrived(request) => self.dispatch(request, now, &mut out),
            Event::Withdrawn { id } => self.withdraw(id),
            Event::Answered {
                member,
                began,
                position,
                proves_primary,
            } => self.record_answer(member, began, position, proves_primary, now, &mut out),
            Event::SlotReleased { member, took } => self.release_slot(member, took, now, &mut out),
            Event::TransactionIdle { member, took } => {
                self.set_transaction_idle(member, took, now, &mut out)
            }
            Event::TransactionResumed { member } => self.members[member].queue.resume(),
            Event::IdleTransactionEnded { member } => {
                self.end_idle_transaction(member, now, &mut out)
            }
            Event::AnswerTimedOut { member, after } => {
                self.members[member].latency.record_timeout(after, now);
                self.members[member].detector.expedite_probe(now);
                if self.members[member].spec.domain != self.domain {
                    self.probe_other_domains(now);
                }
            }
            Event::ConnectionLimitReached { member } => self.lower_connection_limit(member, now),
            Event::ProbeAll => self.request_probes(),
            Event::ProbeOtherDomains => self.probe_other_domains(now),
            Event::ConnectTimedOut { member } => {
                self.members[member].probe_wanted = true;
                self.members[member].detector.expedite_probe(now);
            }
            Event::ReplicaBehind { member } => {
                self.members[member].applied = Position::ZERO;
                self.members[member].probe_wanted = true;
            }
            Event::OpinionRequested => {
                // Owners other than the first probe rarely.
                if let Some(primary) = self.failover.primary {
                    self.members[primary].detector.expedite_probe(now);
                }
            }
            Event::ConnectionLost { member } => self.record_connection_loss(member, now, &mut out),
            Event::ConfirmWrite {
                id,
                member,
                position,
                deadline,
            } => self.confirm_write(id, member, position, deadline, now, &mut out),
            Event::ConfirmRead {
                id,
                term,
                since,
                position,
                deadline,
            } => {
                let need = self.read_need(term, position);
                let since = match need {
                    Need::Held(_) | Need::Received(_) => now,
                    Need::Unfenced(_) => since,
                };
                self.confirm_read(id, need, since, deadline, now, &mut out);
            }
            Event::Probed {
                member,
                began,
                answer,
            } => self.handle_probe(member, began, answer, now, &mut out),
            // A grant of a removed member or of an earlier start is void.
            Event::Fenced { member, .. } if self.members[member].removed => {}
            Event::Fenced {
                member,
                term,
                answer,
            } => {
                let steps = self
                    .failover
                    .handle_fence_answer(member, term, &answer, now);
                self.apply_steps(steps, now, &mut out);
            }
            Event::DutyClaimed { won } => {
                let steps = self.failover.handle_claim(won, now);
                self.apply_steps(steps, now, &mut out);
            }
            Event::DutyTakenElsewhere => self.failover.record_rival_claim(now),
            Event::DutyResigned { ordered } => {
                let steps = self.failover.record_resignation(ordered, now);
                self.apply_steps(steps, now, &mut out);
            }
            Event::RevokeLease => self.revoke_lease(now),
            Event::LeasesRevoked { term } => {
                let steps = self.failover.handle_revoked(term, now);
                self.apply_steps(steps, now, &mut out);
            }
            Event::BoxListed { listed } => self.listed = listed,
            Event::Promoted { term, answer } => {
                let steps = self.failover.handle_promotion_answer(term, &answer, now);
                self.apply_steps(steps, now, &mut out);
            }
            Event::OpinionReceived {
                from,
                same_domain,
                suspects,
            } => self.failover.record_opinion(from, same_domain, suspects),
            Event::LossesConfirmed { members, claimed } => {
                self.remove_lost(&members, claimed, now, &mut out)
            }
            Event::PrimaryAnnounced { term, primary } => {
                self.learn_primary(term, &primary, now, &mut out)
            }
        }
        self.tick(now, &mut out);
        self.check_invariants();
        out
    }

    /// Probes the members of other failure domains at once, if the loss of a domain must be
    /// tolerated. A silent member may mean that the network is partitioned, and a partition
    /// is recognised only once a majority is lost.
    fn probe_other_domains(&mut self, now: Duration) {
        if !self.settings.domain_loss {
            return;
        }
        let domain = &self.domain;
        let members = self.members.iter_mut();
        for member in members.filter(|member| member.spec.domain != *domain) {
            member.detector.expedite_probe(now);
        }
    }

    /// Asserts the invariants, after every event.
    fn check_invariants(&self) {
        if let Some(primary) = self.failover.primary {
            assert!(primary < self.members.len(), "the primary is a member");
            assert!(self.failover.term > 0, "a primary has a term");
        }
        for id in self.waiting.for_primary.keys() {
            assert!(
                !self.waiting.queued.contains_key(id),
                "a request is in one wait at a time"
            );
        }
    }

    /// When the next [`Event::Tick`] is due at the latest.
    pub fn next_tick(&self) -> Duration {
        let never = Duration::MAX;
        let present = self.members.iter().filter(|member| !member.removed);
        let probes = present.map(|member| {
            let due = member.detector.probe_due();
            // A suspicion must be noticed even without other events.
            let silent = member.detector.deadline().filter(|_| !member.suspected);
            let due = silent.map_or(due, |deadline| due.min(deadline));
            match (member.probe_wanted, member.last_probe) {
                (true, Some(probed)) => due.min(probed + self.settings.probe_gap),
                _ => due,
            }
        });
        let margin = match self.settings.wait_until_deadline {
            true => dispatch::REFUSAL_MARGIN,
            false => self.settings.failover.ballot_timeout,
        };
        let for_primary = self.waiting.for_primary.values();
        let for_primary = for_primary.map(|request| request.deadline.saturating_sub(margin));
        let for_position = self.waiting.for_position.values().map(|r| r.deadline);
        let for_replica = self.waiting.for_replica.values().map(|(_, until)| *until);
        let queued = self.members.iter().filter_map(|m| m.queue.next_expiry());
        let lease = (!self.unconfirmed.is_empty() && !self.settings.failover.lease.is_zero())
            .then(|| self.settings.probe_gap.max(MIN_LEASE_PROBE_INTERVAL));
        let lease = lease.zip(self.members.iter().filter_map(|m| m.last_probe).max());
        let lease = lease.map(|(gap, probed)| probed + gap);
        let draining = self
            .members
            .iter()
            .filter(|m| !m.drain_expired && !m.removed);
        let drained =
            draining.filter_map(|m| Some(m.departure?.time_at_age(m.drain_time(&self.settings))));
        let failover = self.failover.wake().into_iter();
        let failover = failover.chain(self.next_handover_check).chain(drained);
        let all = probes
            .chain(for_primary)
            .chain(for_position)
            .chain(for_replica);
        let capacity = self.connection_capacity();
        let limited = self
            .members
            .iter()
            .filter(|m| m.connection_limit < capacity && !m.removed);
        let limited = limited
            .filter(|m| m.queue.waiting() > 0)
            .map(|m| m.next_limit_raise);
        let all = all
            .chain(queued)
            .chain(failover)
            .chain(self.next_removal())
            .chain(self.record_due)
            .chain(
                self.next_loss_check
                    .filter(|_| !self.failover.is_deposing()),
            )
            .chain(lease)
            .chain(limited);
        all.min().unwrap_or(never)
    }
}

fn read_demand(request: &Request) -> Option<Demand> {
    let Target::Replica { max_age } = request.target else {
        return None;
    };
    let floor = request.floor?;
    Some(Demand { floor, max_age })
}
