//! What happens to a group, and what it asks to be done.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::borders::member::{MemberError, Status};
use crate::decisions::confirm::Outcome;
use crate::decisions::position::Position;

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

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Target::Primary => write!(f, "primary"),
            Target::Strict => write!(f, "strict"),
            Target::Replica { max_age } => write!(f, "replica {} ms", max_age.as_millis()),
        }
    }
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
    /// Time within which an answer is worth most.
    pub aim: Option<Duration>,
}

/// Why a statement was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The wait would pass the deadline.
    Overload,
    /// The primary is being replaced.
    Replacement,
    /// The primary has left, and no member could take over.
    NoSuccessor,
    /// No majority of the group can be seen from here.
    CutOff,
    /// It did not run where it was sent, and may not be sent again.
    Retries,
    /// Its workspace's limit is used up.
    Limit,
    /// No member meets the session's floor and the read's staleness.
    Stale,
}

impl Reason {
    /// One word for logs and metrics.
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

/// A refusal: not run, and when to come back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    pub reason: Reason,
    pub retry_after: Duration,
    pub via: Via,
}

/// Which other box may do better.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Via {
    /// None that is known.
    #[default]
    Nobody,
    /// Any other owner of the group.
    Owner,
    /// The one of this name.
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

    /// The wait would pass the deadline.
    pub fn overload(retry_after: Duration) -> Self {
        Self::new(Reason::Overload, retry_after)
    }
}

/// What happens to a group.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Arrived(Request),
    /// The caller of a waiting request went away.
    Withdrawn {
        id: u64,
    },
    /// A member answered a statement that was sent to it after `began`.
    Answered {
        member: usize,
        began: Duration,
        position: Option<Position>,
        /// Only the primary answers such a statement.
        proves_primary: bool,
    },
    /// A statement left its member.
    SlotReleased {
        member: usize,
        took: Duration,
    },
    /// A statement was answered, and its transaction rests.
    TransactionIdle {
        member: usize,
        took: Duration,
    },
    /// A resting transaction's next statement is sent.
    TransactionResumed {
        member: usize,
    },
    /// A resting transaction is given up.
    IdleTransactionEnded {
        member: usize,
    },
    /// A member's answer is not waited for any more.
    AnswerTimedOut {
        member: usize,
        after: Duration,
    },
    /// A member takes no more connections.
    ConnectionLimitReached {
        member: usize,
    },
    /// A connection was not made in time.
    ConnectTimedOut {
        member: usize,
    },
    /// A connection could not be made or was lost.
    ConnectionLost {
        member: usize,
    },
    /// A member answered as if it were not what we take it for.
    ProbeAll,
    /// Something speaks for a cut: members of other failure domains are looked at now.
    ProbeOtherDomains,
    /// A replica's log lacked a floor that it was believed to hold.
    ReplicaBehind {
        member: usize,
    },
    /// A write's answer came; it waits for confirmation.
    ConfirmWrite {
        id: u64,
        member: usize,
        position: Position,
        deadline: Duration,
    },
    /// A read's answer came from the primary. It may be given out when the term
    /// is seen not to be replaced after `since`, and a majority holds what it saw.
    ConfirmRead {
        id: u64,
        term: u64,
        since: Duration,
        position: Option<Position>,
        deadline: Duration,
    },
    Probed {
        member: usize,
        began: Duration,
        answer: Result<Status, MemberError>,
    },
    Fenced {
        member: usize,
        term: u64,
        answer: Result<Status, MemberError>,
    },
    /// The outcome of a claim to the duty of promoting.
    DutyClaimed {
        won: bool,
    },
    /// Another box has taken that duty.
    DutyTakenElsewhere,
    /// Another box has fenced a majority: what was seen before counts no more.
    RevokeLease,
    /// All other boxes have given up their leases for the ballot of this term.
    LeasesRevoked {
        term: u64,
    },
    /// Whether those who promote know of this box, so that it may use leases.
    BoxListed {
        listed: bool,
    },
    Promoted {
        term: u64,
        answer: Result<Status, MemberError>,
    },
    /// Another owner suspects the primary and asks what this one thinks.
    OpinionRequested,
    /// Another owner's view of the primary.
    OpinionReceived {
        from: Arc<str>,
        near: bool,
        suspects: bool,
    },
    /// A peer or the table names the primary of a term.
    PrimaryAnnounced {
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
    /// Take the duty of promoting.
    ClaimDuty,
    /// Have the other boxes give up their leases; the ballot's term comes back with
    /// [`Event::Revoked`] when all have.
    RevokeLeases {
        term: u64,
    },
    Fence {
        member: usize,
        term: u64,
    },
    /// Take back a fence that leads to nothing.
    ReleaseFence {
        member: usize,
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
    AskOpinions,
    /// Record the primary in the table and tell the peers.
    RecordPrimary {
        term: u64,
        primary: usize,
    },
    /// Something an operator may want to know.
    Log(Note),
}

/// What is worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    Suspected {
        member: usize,
    },
    SuspicionCleared {
        member: usize,
    },
    BallotStarted {
        term: u64,
    },
    BallotLost {
        term: u64,
    },
    PrimaryPromoted {
        term: u64,
        member: usize,
    },
    PrimaryAdopted {
        term: u64,
        member: usize,
    },
    /// A member's fence is taken back.
    FenceReleased {
        member: usize,
    },
    /// A leaving primary's time is counted. Its word has this age, where that is known.
    DrainStarted {
        member: usize,
        age: Option<Duration>,
        /// Members that could take over.
        successors: usize,
    },
    /// A leaving primary has had all its time.
    DrainExpired {
        member: usize,
        age: Option<Duration>,
    },
    /// A member's report can't be true and was not taken.
    ImplausibleReport {
        member: usize,
    },
    /// A member started again: nothing that was known of it holds.
    Restarted {
        member: usize,
    },
}
