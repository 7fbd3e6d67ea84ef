//! Failover of a group's primary: suspect, corroborate, fence, promote.
//!
//! A ballot is one box's attempt, under a term of its own. The members act as acceptors:
//! each grants a term to one box only, so at most one box gets a majority for a term. The
//! box promotes the granting member with the greatest log, which holds every acknowledged
//! write. A box whose ballot fails, or that misses an answer, tries a higher term.
//!
//! Where a primary can't be fenced, a box acknowledges writes under a lease: it saw a
//! majority of members unfenced within the lease's length. A box then promotes only
//! after a majority has been fenced for that long, when every lease has run out.

mod ballot;
mod orphaned;
mod restarting;
mod suspicion;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::borders::member::{Role, Status, Stream};
use orphaned::OrphanedFences;

/// Unanswered questions to the other boxes after which a box acts on its own suspicion.
const SOLO_ASKS: u32 = 6;

/// Timing and rules of a failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Delay per rank before an owner acts, so that owners don't start rival ballots.
    pub stagger: Duration,
    /// Interval between repeated questions to the boxes and probes of the members.
    pub poll_interval: Duration,
    /// Time after which a ballot without a majority has failed.
    pub ballot_timeout: Duration,
    /// Time for which this box holds back after it first saw the fence of a rival ballot.
    /// Zero where the members decide between rival ballots.
    pub rival_backoff: Duration,
    /// Minimum time from a failover to the next suspicion of the primary.
    pub cooldown: Duration,
    /// Time after which a promised term without a primary counts as abandoned.
    pub abandon_timeout: Duration,
    /// Time for which another box's fence is left alone, as its ballot may be under way.
    pub settle_time: Duration,
    /// Usual time from the first suspicion to a new primary.
    pub expected_duration: Duration,
    /// Time after which an unanswered promotion has failed.
    pub promotion_timeout: Duration,
    /// Length of the boxes' leases, and so the wait between fencing a majority and the
    /// promotion. Zero where a fenced primary refuses writes itself.
    pub lease: Duration,
    /// Maximum age of the observation that a majority still keeps the ballot's fences when
    /// the promotion is ordered. A later ballot promotes only a lease after its fences, so
    /// its order comes after this one's. Must be well below the lease to leave time for
    /// the order to arrive.
    pub fence_max_age: Duration,
    /// Time between fencing a leaving primary and fencing the other members, in which
    /// the replicas receive its last writes.
    pub catch_up: Duration,
    /// Whether a promotion clears all fences, and a replica's fence can be released.
    pub promotion_clears_fences: bool,
    /// Whether a staying member is promoted before a leaving one even if the leaving
    /// member's log is greater. Writes that only the primary is known to hold may be lost.
    pub prefer_staying: bool,
    /// Whether a box claims the duty before it fences members.
    pub requires_claim: bool,
    /// Which observations corroborate this box's suspicion.
    pub corroboration: Corroboration,
}

/// Which observations corroborate a box's suspicion of the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Corroboration {
    /// A replica has lost its stream from the primary and none still receives it, or a box
    /// in another failure domain suspects the primary and no answering box reaches it.
    Unanimous,
    /// A majority of the answering boxes, this one included, suspects the primary. Until
    /// then statements are forwarded to boxes that still reach it.
    Majority,
}

impl Settings {
    /// Time after which a box without any answer from the others acts alone.
    fn solo_timeout(&self) -> Duration {
        self.poll_interval * SOLO_ASKS
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            stagger: Duration::from_millis(200),
            poll_interval: Duration::from_millis(25),
            ballot_timeout: Duration::from_millis(500),
            rival_backoff: Duration::ZERO,
            cooldown: Duration::from_secs(1),
            abandon_timeout: Duration::from_millis(600),
            settle_time: Duration::from_millis(300),
            expected_duration: Duration::from_secs(2),
            promotion_timeout: Duration::from_millis(500),
            lease: Duration::ZERO,
            fence_max_age: Duration::from_millis(300),
            catch_up: Duration::ZERO,
            promotion_clears_fences: false,
            prefer_staying: false,
            requires_claim: false,
            corroboration: Corroboration::Unanimous,
        }
    }
}

/// An action that the failover requests from its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the other owners whether they suspect the primary too.
    AskPeers,
    /// Probe every member now.
    ProbeMembers,
    /// Claim the duty.
    Claim,
    /// Leave the duty to the other boxes.
    Resign {
        /// Member that this box's order names, if it had no answer.
        ordered: Option<usize>,
    },
    Fence {
        member: usize,
        term: u64,
    },
    /// Ask all boxes to give up their leases on the terms before this one.
    Revoke {
        term: u64,
    },
    /// Release an orphaned fence for a term.
    Release {
        member: usize,
        term: u64,
    },
    Promote {
        member: usize,
        term: u64,
    },
    Won {
        member: usize,
        term: u64,
    },
    Lost {
        term: u64,
    },
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Steady,
    /// The primary is suspected, or a promised term was abandoned; the suspicion isn't yet
    /// corroborated, or the owners of lower rank may still act first.
    Suspecting {
        since: Duration,
        last_asked: Duration,
        replicas: BTreeMap<usize, Stream>,
        peers: BTreeMap<Arc<str>, Opinion>,
        /// Since when the suspicion is corroborated and a majority reachable.
        corroborated_since: Option<Duration>,
    },
    /// A claim of the duty is under way.
    Claiming {
        since: Duration,
        /// Whether the primary is leaving rather than suspected.
        primary_leaving: bool,
    },
    Fencing {
        term: u64,
        since: Duration,
        granted: BTreeMap<usize, Status>,
        refused: BTreeSet<usize>,
        /// When to fence the members other than the leaving primary.
        others_due: Option<Duration>,
    },
    /// A majority is fenced, and the boxes' leases run out.
    Waiting {
        term: u64,
        /// When the ballot began.
        since: Duration,
        until: Duration,
        granted: BTreeMap<usize, Status>,
        /// When each member was last seen to keep its fence.
        kept_at: BTreeMap<usize, Duration>,
        /// When the members were last probed to confirm their fences.
        probed: Option<Duration>,
    },
    Promoting {
        term: u64,
        winner: usize,
        since: Duration,
    },
    /// After a failed ballot, or too soon after the last failover.
    Cooldown {
        until: Duration,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Opinion {
    same_domain: bool,
    suspects: bool,
}

/// Why a failover may be needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    None,
    /// This box suspects the primary, or knows none.
    Suspected,
    /// The primary is leaving, and no statement of this box runs on it any more.
    Drained,
}

/// The failover of one group's primary, as one owner drives it.
#[derive(Clone, Debug)]
pub struct Failover {
    settings: Settings,
    /// Members that count towards a majority: all that stay, and the primary.
    acceptors: BTreeSet<usize>,
    /// All present members.
    members: BTreeSet<usize>,
    /// Names by index. Boxes may know the same members under different indexes.
    names: Vec<Arc<str>>,
    /// Number of recorded members that aren't known otherwise. They count towards the size of a
    /// majority, and each may lead a later term.
    absent: usize,
    rank: u32,
    pub term: u64,
    pub primary: Option<usize>,
    /// Highest term that any member's log has reached.
    followed: u64,
    /// Highest promise known of any member. Falls again when fences are released or cleared.
    highest_promise: u64,
    /// Term of this box's last ballot.
    ballot_term: u64,
    /// Highest promise known when this box's last ballot began.
    promised_before_ballot: u64,
    /// When a new fence of another box was last discovered.
    rival_fenced: Option<Duration>,
    /// Highest promise seen since the current term began, including released ones.
    highest_seen: u64,
    /// Fences above the current term for which no primary has appeared yet.
    orphaned: Option<OrphanedFences>,
    /// Members that restarted in the current term, and may have forgotten a fence.
    restarted: BTreeSet<usize>,
    /// Terms of this box's ballots against the current term, unless another box had fenced
    /// members before.
    own_ballots: BTreeSet<u64>,
    /// Whether an order of this box to replace the current primary got no answer, and may still
    /// be carried out.
    has_order_outstanding: bool,
    /// Member that an order without an answer names, of this box or of one that resigned.
    ordered: Option<Arc<str>>,
    phase: Phase,
    /// When the latest new primary was adopted.
    last_failover: Option<Duration>,
    /// When the suspicion that is still open began; kept over failed ballots.
    suspected_since: Option<Duration>,
    /// Leaving members, which are promoted only if the others don't suffice.
    leaving: BTreeSet<usize>,
    /// Former primaries that haven't been seen to follow the current one. Their logs may
    /// hold entries that the current term's history lacks.
    deposed: BTreeSet<usize>,
    /// Whether the primary itself reports that it no longer leads.
    demoted: bool,
    /// When another box was last seen to claim the duty.
    rival_claimed: Option<Duration>,
    /// When the holder of the duty resigned, unless a box has claimed it since.
    resigned_at: Option<Duration>,
    /// When this box last resigned.
    yielded_at: Option<Duration>,
}

impl Failover {
    pub fn new(settings: Settings, members: usize, rank: u32) -> Self {
        Self {
            settings,
            acceptors: (0..members).collect(),
            members: (0..members).collect(),
            names: Vec::new(),
            absent: 0,
            rank,
            term: 0,
            primary: None,
            followed: 0,
            highest_promise: 0,
            ballot_term: 0,
            promised_before_ballot: 0,
            rival_fenced: None,
            highest_seen: 0,
            orphaned: None,
            restarted: BTreeSet::new(),
            own_ballots: BTreeSet::new(),
            has_order_outstanding: false,
            ordered: None,
            phase: Phase::Steady,
            last_failover: None,
            suspected_since: None,
            leaving: BTreeSet::new(),
            deposed: BTreeSet::new(),
            demoted: false,
            rival_claimed: None,
            resigned_at: None,
            yielded_at: None,
        }
    }

    /// Sets whether a staying member is promoted before a leaving one with a greater log.
    pub fn set_prefer_staying(&mut self, prefer: bool) {
        self.settings.prefer_staying = prefer;
    }

    /// Sets the present members, and which of them are leaving.
    pub fn set_members(&mut self, members: BTreeSet<usize>, leaving: BTreeSet<usize>) {
        self.members = members;
        self.leaving = leaving;
        self.set_acceptors();
    }

    /// Sets the names of the members, by index.
    pub fn set_names(&mut self, names: Vec<Arc<str>>) {
        self.names = names;
    }

    /// Sets the number of recorded members that aren't known otherwise.
    pub fn set_absent(&mut self, absent: usize) {
        self.absent = absent;
    }

    /// Returns the number of recorded members that aren't known otherwise.
    pub fn absent(&self) -> usize {
        self.absent
    }

    fn set_acceptors(&mut self) {
        let stays =
            |member: &usize| !self.leaving.contains(member) || self.primary == Some(*member);
        self.acceptors = self.members.iter().copied().filter(stays).collect();
    }

    /// Whether the member's fence or report counts towards a majority.
    pub fn is_acceptor(&self, member: usize) -> bool {
        self.acceptors.contains(&member)
    }

    /// Records whether the primary itself reports that it no longer leads.
    pub fn set_demoted(&mut self, demoted: bool) {
        self.demoted = demoted;
    }

    pub fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Returns this owner's rank among the group's owners; 0 acts first.
    pub fn rank(&self) -> u32 {
        self.rank
    }

    pub fn majority(&self) -> usize {
        (self.acceptors.len() + self.absent) / 2 + 1
    }

    /// Records that a term may have been replaced, without a member in sight that follows a later one.
    pub fn record_ended_term(&mut self, term: u64) {
        self.followed = self.followed.max(term + 1);
    }

    /// Whether a member follows a later term than the known primary's, which was replaced then.
    pub fn is_replaced(&self) -> bool {
        self.primary.is_some() && self.followed > self.term
    }

    /// Returns the term that a ballot would end. A box that has never seen the primary
    /// takes it from the members' logs.
    pub fn replaced_term(&self) -> u64 {
        match self.primary {
            Some(_) => self.term,
            None => self.term.max(self.followed),
        }
    }

    /// Returns the highest promise known of any member.
    pub fn highest_promise(&self) -> u64 {
        self.highest_promise
    }

    /// Returns the highest promise known when this box's last ballot began.
    pub fn promised_before_ballot(&self) -> u64 {
        self.promised_before_ballot
    }

    pub fn is_steady(&self) -> bool {
        self.phase == Phase::Steady
    }

    /// Whether members are fenced without a primary that has appeared.
    pub fn has_orphaned_fences(&self) -> bool {
        self.orphaned.is_some()
    }

    /// Whether this box has a ballot under way.
    pub fn is_deposing(&self) -> bool {
        matches!(
            self.phase,
            Phase::Fencing { .. } | Phase::Waiting { .. } | Phase::Promoting { .. }
        )
    }

    /// Whether this box has ordered the promotion of `member`.
    pub fn is_promoting(&self, member: usize) -> bool {
        matches!(self.phase, Phase::Promoting { winner, .. } if winner == member)
    }

    pub fn phase(&self) -> &'static str {
        match self.phase {
            Phase::Steady => "steady",
            Phase::Suspecting { .. } => "doubt",
            Phase::Claiming { .. } => "claiming",
            Phase::Fencing { .. } => "fencing",
            Phase::Waiting { .. } => "waiting for leases",
            Phase::Promoting { .. } => "promoting",
            Phase::Cooldown { .. } => "resting",
        }
    }

    /// Estimates the time until the group has a primary again.
    pub fn expected_remaining(&self, now: Duration) -> Duration {
        let since = self.suspected_since.unwrap_or(now);
        let end = since + self.settings.expected_duration;
        end.saturating_sub(now).max(self.settings.ballot_timeout)
    }

    /// Returns when the next `tick` is due.
    pub fn wake(&self) -> Option<Duration> {
        let phase = match &self.phase {
            Phase::Steady => None,
            Phase::Suspecting { last_asked, .. } => Some(*last_asked + self.settings.poll_interval),
            Phase::Fencing {
                since, others_due, ..
            } => Some(others_due.unwrap_or(*since + self.settings.ballot_timeout)),
            Phase::Claiming { since, .. } => Some(*since + self.settings.ballot_timeout),
            Phase::Promoting { since, .. } => Some(*since + self.settings.promotion_timeout),
            Phase::Waiting { until, probed, .. } => Some(match probed {
                None => until.saturating_sub(self.probe_lead()),
                Some(probed) => *probed + self.settings.poll_interval,
            }),
            Phase::Cooldown { until } => Some(*until),
        };
        phase.or_else(|| self.orphaned_due())
    }

    /// Records the primary of a newer term. Returns false if the term is not newer.
    pub fn adopt(&mut self, term: u64, primary: usize, now: Duration) -> bool {
        if term <= self.term {
            return false;
        }
        assert!(
            self.members.contains(&primary),
            "a primary is a member of its group"
        );
        // The first primary that this box sees isn't the result of a failover.
        self.last_failover = (self.term > 0).then_some(now);
        self.term = term;
        self.deposed.extend(self.primary);
        self.deposed.remove(&primary);
        self.primary = Some(primary);
        self.highest_promise = match self.settings.promotion_clears_fences {
            true => term,
            false => self.highest_promise.max(term),
        };
        self.highest_seen = self.highest_promise;
        self.orphaned = None;
        self.restarted.clear();
        self.own_ballots.clear();
        self.has_order_outstanding = false;
        self.ordered = None;
        self.record_orphaned(now);
        self.phase = Phase::Steady;
        self.suspected_since = None;
        self.demoted = false;
        self.rival_claimed = None;
        self.rival_fenced = None;
        self.resigned_at = None;
        self.set_acceptors();
        true
    }

    /// Records a member's status report; `began` is when its probe was sent.
    pub fn observe(&mut self, member: usize, status: &Status, began: Duration, now: Duration) {
        self.followed = self.followed.max(status.log.term);
        self.record_promise(status.promised, now);
        self.record_deposed(member, status);
        if let Some(orphaned) = &mut self.orphaned {
            orphaned.observe(member, status.promised, began);
        }
        if let Phase::Suspecting {
            since, replicas, ..
        } = &mut self.phase
            && began >= *since
        {
            replicas.insert(member, status.stream);
        }
        self.record_kept_fence(member, status, began);
    }

    fn record_deposed(&mut self, member: usize, status: &Status) {
        if status.log.term >= self.term {
            self.deposed.remove(&member);
        } else if status.role == Role::Primary {
            self.deposed.insert(member);
        }
    }

    fn record_promise(&mut self, promised: u64, now: Duration) {
        if promised > self.highest_promise.max(self.term) && promised != self.ballot_term {
            self.rival_fenced = Some(now);
        }
        self.highest_promise = self.highest_promise.max(promised);
        self.highest_seen = self.highest_seen.max(promised);
        self.record_orphaned(now);
    }

    /// Sets the highest promise among the members' latest reports. Has an effect only where
    /// fences can be released, and no ballot is under way.
    pub fn set_highest_promise(&mut self, highest: u64) {
        if !self.settings.promotion_clears_fences
            || !matches!(self.phase, Phase::Steady | Phase::Suspecting { .. })
        {
            return;
        }
        self.highest_promise = highest.max(self.term);
        if self.highest_promise == self.term {
            self.orphaned = None;
            self.rival_fenced = None;
        }
    }

    /// Advances the failover to `now`.
    pub fn tick(&mut self, trigger: Trigger, now: Duration) -> Vec<Step> {
        let abandoned = self.has_abandoned_promise(now);
        match &self.phase {
            Phase::Steady
                if trigger == Trigger::Drained && self.has_active_rival(now) && !abandoned =>
            {
                match self.orphaned_settled(now) {
                    true => self.release_or_probe(),
                    false => Vec::new(),
                }
            }
            Phase::Steady if trigger == Trigger::Drained => self.claim_duty(true, now),
            Phase::Claiming { since, .. } if now >= *since + self.settings.ballot_timeout => {
                self.phase = Phase::Steady;
                Vec::new()
            }
            Phase::Claiming { .. } => Vec::new(),
            Phase::Steady if trigger == Trigger::None && self.orphaned_settled(now) => {
                self.release_or_probe()
            }
            Phase::Steady if trigger == Trigger::Suspected || abandoned => {
                self.start_suspecting(now)
            }
            Phase::Steady => Vec::new(),
            Phase::Suspecting { .. } => self.evaluate_suspicion(trigger, abandoned, now),
            Phase::Fencing { term, since, .. } if now >= *since + self.settings.ballot_timeout => {
                self.fail_ballot(*term, now)
            }
            Phase::Fencing {
                others_due: Some(others_due),
                ..
            } if now >= *others_due => self.fence_others(),
            Phase::Fencing { .. } => Vec::new(),
            Phase::Waiting { .. } => self.advance_waiting(now),
            Phase::Promoting { term, since, .. }
                if now >= *since + self.settings.promotion_timeout =>
            {
                let term = *term;
                self.has_order_outstanding = true;
                self.fail_ballot(term, now)
            }
            Phase::Promoting { .. } => Vec::new(),
            Phase::Cooldown { until } if now >= *until => {
                self.phase = Phase::Steady;
                self.tick(trigger, now)
            }
            Phase::Cooldown { .. } => Vec::new(),
        }
    }
}
