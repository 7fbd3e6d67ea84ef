//! Events that a group handles, and the actions that it asks for.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::borders::member::{MemberError, Status};
use crate::decisions::confirmation::Outcome;
use crate::decisions::position::Position;

/// The member on which a statement may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// The primary.
    Primary,
    /// The primary, if it is seen not to have been replaced after the statement arrived.
    Strict,
    /// A replica whose data is at most `max_age` old, or the primary.
    Replica { max_age: Duration },
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Target::Primary => write!(f, "primary"),
            Target::Strict => write!(f, "strict"),
            Target::Replica { max_age } => write!(f, "replica {} ms", max_age.as_millis()),
        }
    }
}

/// A statement that needs a member to run on.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: u64,
    pub partner: Arc<str>,
    pub weight: u32,
    pub target: Target,
    /// Position that the session must see; `None` if it came without a token.
    pub floor: Option<Position>,
    /// False once the session's floor turned out to lie beyond the primary's position.
    pub believed: bool,
    pub arrived: Duration,
    pub deadline: Duration,
    /// Latency target, from the arrival.
    pub aim: Option<Duration>,
}

/// Why a statement was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The expected wait exceeds the deadline.
    Overload,
    /// The primary is being replaced.
    Replacement,
    /// The primary has left and no member can take over.
    NoSuccessor,
    /// This box reaches no majority of the group.
    CutOff,
    /// The statement did not run on the member and may not be sent again.
    Retries,
    /// The workspace's limit is exhausted.
    Limit,
    /// No member meets the session's floor and the read's age bound.
    Stale,
}

impl Reason {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Overload => "overload",
            Reason::Replacement => "replacement",
            Reason::NoSuccessor => "no successor",
            Reason::CutOff => "cut off",
            Reason::Retries => "out of retries",
            Reason::Limit => "limit",
            Reason::Stale => "stale",
        }
    }
}

/// Refusal of a statement that was not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    pub reason: Reason,
    pub retry_after: Duration,
    pub via: Via,
}

/// Another box that may be able to run the statement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Via {
    /// No such box is known.
    #[default]
    Nobody,
    /// Any other owner of the group.
    Owner,
    /// The box of this name.
    Named(Arc<str>),
}

impl Refusal {
    pub fn new(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
            via: Via::Nobody,
        }
    }

    /// A refusal because the expected wait exceeds the deadline.
    pub fn overload(retry_after: Duration) -> Self {
        Self::new(Reason::Overload, retry_after)
    }
}

/// An event for a group.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A request arrived.
    Arrived(Request),
    /// The caller of a waiting request disconnected.
    Withdrawn { id: u64 },
    /// A member answered a statement.
    Answered {
        member: usize,
        /// A moment before the statement was sent.
        began: Duration,
        position: Option<Position>,
        /// Whether only a primary answers such a statement.
        proves_primary: bool,
    },
    /// A statement freed its slot at a member.
    SlotReleased { member: usize, took: Duration },
    /// A statement was answered and its transaction is idle.
    TransactionIdle { member: usize, took: Duration },
    /// The next statement of an idle transaction is sent.
    TransactionResumed { member: usize },
    /// An idle transaction ended without another statement.
    IdleTransactionEnded { member: usize },
    /// A member did not answer in time.
    AnswerTimedOut { member: usize, after: Duration },
    /// A member refused a connection because of its connection limit.
    ConnectionLimitReached { member: usize },
    /// A connection was not established in time.
    ConnectTimedOut { member: usize },
    /// A connection was refused or lost.
    ConnectionLost { member: usize },
    /// The known state of the members may be outdated: probe all of them.
    ProbeAll,
    /// The network may be partitioned: probe the members of other failure domains.
    ProbeOtherDomains,
    /// A replica's log did not reach a floor that it was expected to hold.
    ReplicaBehind { member: usize },
    /// A write was answered and waits for confirmation.
    ConfirmWrite {
        id: u64,
        member: usize,
        position: Position,
        deadline: Duration,
    },
    /// A read was answered by the primary. The answer may be passed on once the term is seen
    /// not to have been replaced after `since`, and a majority holds what the read saw.
    ConfirmRead {
        id: u64,
        term: u64,
        since: Duration,
        position: Option<Position>,
        deadline: Duration,
    },
    /// The outcome of a probe that was sent at `began`.
    Probed {
        member: usize,
        began: Duration,
        answer: Result<Status, MemberError>,
    },
    /// The outcome of a fence.
    Fenced {
        member: usize,
        term: u64,
        answer: Result<Status, MemberError>,
    },
    /// The outcome of a claim to the duty.
    DutyClaimed { won: bool },
    /// Another box has taken the duty.
    DutyTakenElsewhere,
    /// The box that has the duty leaves it to the others.
    DutyResigned {
        /// Member that an order of that box names, if it had no answer.
        ordered: Option<Arc<str>>,
    },
    /// Another box has fenced a majority: this box must give up its lease.
    RevokeLease,
    /// All other boxes have given up their leases for the ballot of this term.
    LeasesRevoked { term: u64 },
    /// Whether the boxes that may promote know of this box, so that it may use the lease.
    BoxListed { listed: bool },
    /// The outcome of a promotion.
    Promoted {
        term: u64,
        answer: Result<Status, MemberError>,
    },
    /// Another owner suspects the primary and asks for this owner's opinion.
    OpinionRequested,
    /// Another owner answered whether it suspects the primary.
    OpinionReceived {
        from: Arc<str>,
        /// Whether that owner is in this box's failure domain.
        same_domain: bool,
        suspects: bool,
    },
    /// Boxes in the failure domains of these members confirm that they are lost.
    LossesConfirmed {
        members: BTreeSet<Arc<str>>,
        /// Latest term for whose replacement a box has claimed the duty.
        claimed: Option<u64>,
    },
    /// A peer or the table names the primary of a term.
    PrimaryAnnounced { term: u64, primary: Arc<str> },
}

/// An action that a group asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run a request on a member that leads or follows `term`.
    Assign {
        id: u64,
        member: usize,
        term: u64,
        /// False if the session's floor lies beyond the primary's position.
        believed: bool,
    },
    /// Refuse a request.
    Refuse { id: u64, refusal: Refusal },
    /// Pass on the outcome of a confirmation.
    ReportOutcome { id: u64, outcome: Outcome },
    /// Request a member's status.
    Probe { member: usize },
    /// Claim the duty.
    ClaimDuty,
    /// Record that this box leaves the duty to the others.
    ResignDuty {
        /// Member that an order of this box names, if it had no answer.
        ordered: Option<usize>,
    },
    /// Ask the other boxes to give up their leases. Once all have, [`Event::LeasesRevoked`]
    /// returns the ballot's term.
    RevokeLeases { term: u64 },
    /// Fence a member for a term.
    Fence { member: usize, term: u64 },
    /// Release a member's fence for a term whose ballot failed.
    ReleaseFence { member: usize, term: u64 },
    /// Promote a member.
    Promote { member: usize, term: u64 },
    /// Order a member to follow the primary.
    Follow {
        member: usize,
        term: u64,
        primary: usize,
    },
    /// Ask the other owners whether they suspect the primary.
    AskOpinions,
    /// Record the primary in the table and announce it to the peers.
    RecordPrimary { term: u64, primary: usize },
    /// Record the members in the table: failure domains by name.
    RecordMembers {
        members: BTreeMap<Arc<str>, Arc<str>>,
    },
    /// Ask the other owners whether these members are lost.
    ConfirmLosses { members: BTreeSet<Arc<str>> },
    /// Write a log entry.
    Log(Note),
}

/// A log entry about a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A member is suspected.
    Suspected { member: usize },
    /// A member is no longer suspected.
    SuspicionCleared { member: usize },
    /// This owner began to fence members for a ballot.
    BallotStarted { term: u64 },
    /// This owner's ballot failed.
    BallotLost { term: u64 },
    /// This owner promoted a member.
    PrimaryPromoted { term: u64, member: usize },
    /// This owner learned of a primary that another box promoted.
    PrimaryAdopted { term: u64, member: usize },
    /// A member's fence is released.
    FenceReleased { member: usize },
    /// The primary is leaving.
    DrainStarted {
        member: usize,
        /// Time since the departure was announced, if known.
        age: Option<Duration>,
        /// Number of members that could take over.
        successors: usize,
    },
    /// The drain time of a leaving primary is over.
    DrainExpired {
        member: usize,
        /// Time since the departure was announced, if known.
        age: Option<Duration>,
    },
    /// A member's report is implausible and was ignored.
    ImplausibleReport { member: usize },
    /// A member restarted; what was known of it is void.
    Restarted { member: usize },
    /// A member that is missing from the list was removed from the group.
    Removed { member: usize },
}
