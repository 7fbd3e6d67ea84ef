//! An exchange between a caller's session and a member, independent of the wire protocol: the
//! fields that decide where it runs and what its outcome means. The statement itself is an
//! opaque payload that only the protocol's codec reads.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

pub use crate::borders::upstream::Status;
use crate::borders::upstream::{Setup, Task};
use crate::decisions::group::{Reason, Refusal, Target};
use crate::decisions::position::Position;

/// Whether an exchange changes data. If its answer is lost, a read is retried, while the outcome of
/// a write is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    Reads,
    Writes,
}

/// Identifies the statements that are queued together for fair scheduling.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flow {
    pub name: Arc<str>,
    /// Share of the flow relative to other flows.
    pub weight: u32,
}

/// A request of an entry box to a group's owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exchange {
    pub group: Arc<str>,
    /// Identifies the request in logs; empty if the caller sent no id.
    pub trace: Arc<str>,
    pub target: Target,
    pub effect: Effect,
    /// Whether the exchange ends a transaction. If its answer is lost, the outcome is unknown.
    pub commits: bool,
    /// Position that the session must see; none if it has no floor.
    pub floor: Option<Position>,
    /// Remaining time until the statement must have started.
    pub patience: Duration,
    /// Remaining time until the caller must have its answer; none without a deadline.
    pub limit: Option<Duration>,
    /// Flow that the statement is queued with; none for the flow of the group's partner.
    pub flow: Option<Flow>,
    /// Latency target of the caller's database.
    pub aim: Option<Duration>,
    /// Connection that an earlier exchange pinned for this session.
    pub lease: Option<u64>,
    pub setup: Setup,
    pub payload: Bytes,
    /// Whether the exchange is part of a transaction that runs on the primary.
    pub on_primary: bool,
    /// Key under which the ledger records the answer, so that a retry doesn't run the statement
    /// again.
    pub once: Option<Arc<str>>,
    /// Workspace of the caller, which is reported to the member.
    #[serde(default)]
    pub workspace: Option<Arc<str>>,
}

impl Exchange {
    /// Whether an answer proves that the member is still the primary.
    pub fn confirms_primary(&self) -> bool {
        self.effect == Effect::Writes || self.on_primary
    }

    /// Returns the exchange with its deadlines reduced by `elapsed`; none if it has timed out.
    pub fn with_elapsed(&self, elapsed: Duration) -> Option<Cow<'_, Self>> {
        if elapsed.is_zero() {
            return Some(Cow::Borrowed(self));
        }
        let limit = self.limit.map(|limit| limit.saturating_sub(elapsed));
        if limit.is_some_and(|limit| limit.is_zero()) {
            return None;
        }
        let patience = self.patience.saturating_sub(elapsed);
        Some(Cow::Owned(Self {
            patience,
            limit,
            ..self.clone()
        }))
    }

    /// Returns the task for a member, which must have applied `floor` first.
    pub fn task(&self, floor: Option<Position>) -> Task<'_> {
        Task {
            payload: &self.payload,
            setup: Some(&self.setup),
            floor,
        }
    }
}

/// Where an answer comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Server {
    Primary,
    Replica,
    /// The answer was recorded by an earlier attempt.
    Ledger,
}

/// A complete answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// Messages for the caller, in the codec's format.
    pub messages: Bytes,
    /// Transaction status; none while the protocol's exchange is still open.
    pub status: Option<Status>,
    /// Position that the session's later reads must not fall behind.
    pub position: Option<Position>,
    /// Connection that stays pinned for the session.
    pub lease: Option<u64>,
    pub server: Server,
    /// Whether the messages contain an error.
    pub failed: bool,
    /// False if the session's floor lies beyond the primary's position. The session then drops its
    /// floors.
    pub believed: bool,
}

/// Why an exchange has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Failure {
    #[error("not run")]
    NotRun(Refusal),
    #[error("this box does not own the group")]
    NotOwner,
    #[error("the outcome is unknown")]
    Unknown,
    #[error("the transaction was lost with its connection")]
    TransactionLost,
    #[error("the read was lost with its connection")]
    ReadLost,
    #[error("{message}")]
    Unsupported { message: String },
}

impl Failure {
    /// Returns the time after which a retry may succeed; zero if unknown.
    pub fn retry_after(&self) -> Duration {
        match self {
            Failure::NotRun(refusal) => refusal.retry_after,
            _ => Duration::ZERO,
        }
    }

    /// Whether a network partition between this box and the members or owners may be the cause.
    pub fn suggests_partition(&self) -> bool {
        match self {
            Failure::NotRun(refusal) => {
                matches!(refusal.reason, Reason::CutOff | Reason::Stale)
            }
            Failure::NotOwner | Failure::ReadLost => true,
            _ => false,
        }
    }

    /// Returns a short name for logs and metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Failure::NotRun(refusal) => refusal.reason.name(),
            Failure::NotOwner => "no owner",
            Failure::Unknown => "unknown",
            Failure::TransactionLost => "transaction lost",
            Failure::ReadLost => "read lost",
            Failure::Unsupported { .. } => "unsupported",
        }
    }
}
