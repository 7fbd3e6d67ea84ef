//! Connections to members, on which statements run.
//!
//! Statements are opaque payloads; only the codec of a member's protocol interprets them. The
//! decisions rely on typed results: whether the member ran the statement, the state of the
//! transaction, and the position reached.

use std::collections::BTreeMap;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::decisions::position::Position;
use crate::declarations::resource::Member;

/// Transaction state of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    #[default]
    Idle,
    Transaction,
    Failed,
}

/// Access mode of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Begin {
    ReadWrite,
    ReadOnly,
}

/// The start of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opening {
    pub begin: Begin,
    /// The caller's id of the transaction, in the codec's format.
    pub id: Arc<str>,
}

/// A prepared statement, under a name that all boxes derive alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Prepared {
    pub name: Arc<str>,
    /// The statement's text, in the codec's format.
    pub text: Arc<str>,
}

/// Session settings, by name.
pub type Values = BTreeMap<Arc<str>, Arc<str>>;

/// State that a connection must have before a statement runs on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setup {
    /// The session's settings; all others must be reset.
    pub values: Arc<Values>,
    /// The prepared statement that the payload executes.
    pub prepared: Option<Prepared>,
    /// The transaction that the statement opens.
    pub opening: Option<Opening>,
}

/// A statement to run on a connection.
#[derive(Clone, Copy, Debug)]
pub struct Task<'a> {
    pub payload: &'a Bytes,
    /// None leaves the state of the connection as it is.
    pub setup: Option<&'a Setup>,
    /// Position that the member must have reached, where the codec supports it.
    pub floor: Option<Position>,
}

/// Why a member didn't run a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The member is not the primary.
    NotPrimary,
    /// The member has not reached the floor.
    Lagging,
    /// The member is too busy.
    Busy,
    /// The member doesn't know the prepared statement.
    NotPrepared,
}

/// Result of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Done,
    /// The member ran the statement and reported an error.
    Failed,
    /// The member didn't run the statement.
    Rejection(Rejection),
}

/// A complete answer of a member.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Messages in the codec's format.
    pub messages: Bytes,
    /// None while the codec's exchange is still open.
    pub status: Option<Status>,
    pub position: Option<Position>,
    pub verdict: Verdict,
}

/// Why there is no complete answer. The statement may have run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpstreamError {
    #[error("connection lost: {0}")]
    Lost(String),
    #[error("no answer in time")]
    TimedOut,
    #[error("invalid answer from the member: {0}")]
    InvalidAnswer(String),
}

/// Why no connection was opened. Nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    #[error("connection lost: {0}")]
    Lost(String),
    #[error("the member accepts no more connections: {0}")]
    Full(String),
    #[error("a different member listens at this address: {0}")]
    WrongMember(String),
    #[error("no connection in time")]
    TimedOut,
}

/// Result of a statement with an idempotency key.
#[derive(Clone, Debug)]
pub enum Keyed {
    /// The statement ran now and committed.
    Ran(Answer),
    /// The statement had run before; this is the recorded answer.
    Recorded(Answer),
    /// The statement failed in the database, and its key was not recorded.
    Failed(Answer),
    /// The result is unknown, and the statement can be retried.
    Unresolved,
}

/// An open connection to a member.
#[async_trait(?Send)]
pub trait Upstream {
    /// Runs one statement and collects its complete answer.
    async fn run(&mut self, task: &Task<'_>) -> Result<Answer, UpstreamError>;

    /// Runs a statement in the same transaction that records its idempotency key.
    async fn run_keyed(&mut self, task: &Task<'_>, key: &str) -> Result<Keyed, UpstreamError>;

    /// Rolls back the open transaction.
    async fn roll_back(&mut self) -> Result<(), UpstreamError>;

    /// Returns the position that the member last reported on this connection.
    fn position(&self) -> Option<Position>;

    /// Whether another session may use the connection: it is open and idle, and has received
    /// nothing unexpected.
    fn is_reusable(&mut self) -> bool;
}

/// Opens connections to members.
#[async_trait(?Send)]
pub trait Dialer {
    /// Opens a connection for the statements of a workspace, or for statements without one.
    async fn connect(
        &self,
        member: &Member,
        workspace: Option<&str>,
    ) -> Result<Box<dyn Upstream>, ConnectError>;
}
