//! One exchange between a caller's session and a member: the messages up to a
//! Sync, a Flush or the end of a simple query, and what came back.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::decisions::group::{Reason, Refusal, Target};
use crate::decisions::position::Position;
use crate::wire::report::Report;

/// SQLSTATEs of larkfall's own answers.
pub mod state {
    /// Not run: come back after the time in the hint.
    pub const NOT_RUN: &str = "LF001";
    /// It may have run or not.
    pub const UNKNOWN: &str = "40003";
    /// A request that must not be repeated came without its key.
    pub const KEY_MISSING: &str = "LF002";
    /// A read's connection was lost; it had no effect and may be sent again.
    pub const READ_LOST: &str = "08006";
    /// The transaction was lost with its connection, and rolled back.
    pub const TRANSACTION_LOST: &str = "40001";
    pub const UNSUPPORTED: &str = "0A000";
}

/// A prepared statement under the name that all boxes give it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    pub name: Arc<str>,
    pub sql: Arc<str>,
    pub types: Vec<u32>,
}

/// What ends the answer to one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Expect {
    Parse,
    Bind,
    Describe,
    Execute,
    Close,
    /// Answered as part of the whole.
    Whole,
}

/// One thing to do on a member's connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Prepare, without telling the caller.
    Ensure(Statement),
    /// Prepare, and tell the caller.
    Parse(Statement),
    /// Send this message.
    Send { bytes: Bytes, expect: Expect },
    /// Put this into the answer at this place.
    Answer(Bytes),
}

/// What closes an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Close {
    Query,
    Sync,
    Flush,
}

/// What the exchange does to data, for retries and outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    Reads,
    Writes,
}

/// A request of an entry box to an owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exchange {
    pub group: Arc<str>,
    pub target: Target,
    pub effect: Effect,
    /// Ends a transaction: lost, its outcome is unknown.
    pub commits: bool,
    pub floor: Option<Position>,
    /// Time left until the statement must have started.
    pub patience: Duration,
    /// Connection held for this session by an earlier exchange.
    pub lease: Option<u64>,
    pub steps: Vec<Step>,
    pub close: Close,
    pub once: Option<Arc<str>>,
}

/// A session's state after an exchange, as in ReadyForQuery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    Idle,
    Transaction,
    Failed,
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
    pub messages: Bytes,
    pub status: Status,
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
    pub fn report(&self) -> Report {
        match self {
            Failure::NotRun(refusal) => not_run(refusal),
            Failure::NotOwner => not_run(&Refusal {
                reason: Reason::CutOff,
                retry_after: Duration::from_secs(1),
            }),
            Failure::Unknown => Report::error(
                state::UNKNOWN,
                "the outcome is unknown: the statement may have run or not",
            )
            .hint("look whether it took effect before it is sent again"),
            Failure::TransactionLost => Report::error(
                state::TRANSACTION_LOST,
                "the transaction was lost with its connection and is rolled back",
            ),
            Failure::ReadLost => Report::error(
                state::READ_LOST,
                "the read was lost with its connection; it may be sent again",
            ),
            Failure::Unsupported { message } => Report::error(state::UNSUPPORTED, message.clone()),
        }
    }
}

fn not_run(refusal: &Refusal) -> Report {
    let why = match refusal.reason {
        Reason::Overload => "the expected wait passes its deadline",
        Reason::Replacement => "the primary is being replaced",
        Reason::CutOff => "no majority of the group can be seen from here",
        Reason::Stale => "no member that can be reached is fresh enough for this session",
    };
    let after = refusal.retry_after.as_millis().max(1);
    Report::error(state::NOT_RUN, format!("not run: {why}")).hint(format!("retry after {after} ms"))
}
