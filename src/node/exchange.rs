//! One exchange between a caller's session and a member, as the core sees it: what
//! decides where it runs and what its outcome means. The statement itself is a
//! payload that only a codec opens.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

pub use crate::borders::upstream::Status;
use crate::borders::upstream::{Setup, Task};
use crate::decisions::group::{Reason, Refusal, Target};
use crate::decisions::position::Position;

/// What the exchange does to data, for retries and outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    Reads,
    Writes,
}

/// Statements that share a place in queues.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flow {
    pub name: Arc<str>,
    pub weight: u32,
}

/// A request of an entry box to an owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exchange {
    pub group: Arc<str>,
    /// Names the request in logs; empty where the caller gave no id.
    pub trace: Arc<str>,
    pub target: Target,
    pub effect: Effect,
    /// Ends a transaction: lost, its outcome is unknown.
    pub commits: bool,
    pub floor: Option<Position>,
    /// Time left until the statement must have started.
    pub patience: Duration,
    /// Time left until the caller must have its answer, where that is bounded.
    pub limit: Option<Duration>,
    /// Whose statements it is queued with, and their weight against the others'; the
    /// group's partner where there is none.
    pub flow: Option<Flow>,
    /// Time within which an answer is worth most to the caller.
    pub aim: Option<Duration>,
    /// Connection held for this session by an earlier exchange.
    pub lease: Option<u64>,
    pub setup: Setup,
    pub payload: Bytes,
    /// Part of a transaction that only a primary runs.
    pub on_primary: bool,
    pub once: Option<Arc<str>>,
    /// Whose statement it is, as the member is told.
    #[serde(default)]
    pub workspace: Option<Arc<str>>,
}

impl Exchange {
    /// Whether its answer shows that the member still leads.
    pub fn confirms_primary(&self) -> bool {
        self.effect == Effect::Writes || self.on_primary
    }

    /// The same when `spent` of its time has passed; none when all has.
    pub fn with_elapsed(&self, spent: Duration) -> Option<Cow<'_, Self>> {
        if spent.is_zero() {
            return Some(Cow::Borrowed(self));
        }
        let limit = self.limit.map(|limit| limit.saturating_sub(spent));
        if limit.is_some_and(|limit| limit.is_zero()) {
            return None;
        }
        let patience = self.patience.saturating_sub(spent);
        Some(Cow::Owned(Self {
            patience,
            limit,
            ..self.clone()
        }))
    }

    /// The statement for a member that must hold `floor`.
    pub fn task(&self, floor: Option<Position>) -> Task<'_> {
        Task {
            payload: &self.payload,
            setup: Some(&self.setup),
            floor,
        }
    }
}

/// Which member answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Server {
    Primary,
    Replica,
    /// Nobody: the answer was recorded before.
    Ledger,
}

/// A whole answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// In the codec's format.
    pub messages: Bytes,
    /// None while the codec's exchange stays open.
    pub status: Option<Status>,
    /// Position that the answer reaches.
    pub position: Option<Position>,
    pub lease: Option<u64>,
    pub server: Server,
    /// An error stands in the messages.
    pub failed: bool,
    /// The session's floor was possible; where not, it is forgotten.
    pub believed: bool,
}

/// Why there is no answer.
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
    /// Time after which another try may do better; zero where that is not for us to say.
    pub fn retry_after(&self) -> Duration {
        match self {
            Failure::NotRun(refusal) => refusal.retry_after,
            _ => Duration::ZERO,
        }
    }

    /// Whether it would come of a cut between this box and the members or owners.
    pub fn suggests_partition(&self) -> bool {
        match self {
            Failure::NotRun(refusal) => {
                matches!(refusal.reason, Reason::CutOff | Reason::Stale)
            }
            Failure::NotOwner | Failure::ReadLost => true,
            _ => false,
        }
    }

    /// One word for logs and metrics.
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
