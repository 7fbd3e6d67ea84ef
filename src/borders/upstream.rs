//! Border to the connections on which statements run.
//!
//! The core carries statements as opaque payloads; only the codec that speaks to
//! the member opens them. What the core decides by is typed: whether the member
//! ran the statement, the state of the transaction, and the position reached.

use std::collections::BTreeMap;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::decisions::position::Position;
use crate::declarations::resource::Member;

/// State of the transaction on a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    #[default]
    Idle,
    Transaction,
    Failed,
}

/// How a transaction begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Begin {
    ReadWrite,
    ReadOnly,
}

/// The opening of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opening {
    pub begin: Begin,
    /// The caller's id of it, in the codec's words.
    pub id: Arc<str>,
}

/// A prepared statement under the name that all boxes give it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Prepared {
    pub name: Arc<str>,
    /// What it runs, in the codec's words.
    pub text: Arc<str>,
}

/// Values that a session has set, by name.
pub type Values = BTreeMap<Arc<str>, Arc<str>>;

/// What a connection is brought to before a statement runs on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setup {
    /// The session's values; all others must be gone.
    pub values: Arc<Values>,
    /// The statement that the payload executes.
    pub prepared: Option<Prepared>,
    /// The transaction that this statement opens.
    pub opening: Option<Opening>,
}

/// One statement for a connection.
#[derive(Clone, Copy, Debug)]
pub struct Task<'a> {
    pub payload: &'a Bytes,
    /// None leaves the connection as it is.
    pub setup: Option<&'a Setup>,
    /// Position that the member must hold, where the codec can say so.
    pub floor: Option<Position>,
}

/// Why a member did not run a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It is not the primary.
    NotPrimary,
    /// Its log lacks the floor.
    Lagging,
    /// It is too busy.
    Busy,
    /// It does not know the prepared statement.
    NotPrepared,
}

/// What became of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Done,
    /// It ran, and the member reports an error.
    Failed,
    Rejection(Rejection),
}

/// A whole answer of a member.
#[derive(Clone, Debug)]
pub struct Answer {
    /// In the codec's format.
    pub messages: Bytes,
    /// None while the codec's exchange stays open.
    pub status: Option<Status>,
    pub position: Option<Position>,
    pub verdict: Verdict,
}

/// Why there is no whole answer. The statement may have run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpstreamError {
    #[error("connection lost: {0}")]
    Lost(String),
    #[error("no answer in time")]
    TimedOut,
    #[error("the member answered nonsense: {0}")]
    InvalidAnswer(String),
}

/// Why no connection could be made. Nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    #[error("connection lost: {0}")]
    Lost(String),
    #[error("the member takes no more connections: {0}")]
    Full(String),
    #[error("another member listens there: {0}")]
    WrongMember(String),
    #[error("no connection in time")]
    TimedOut,
}

/// How a request with a key ended.
#[derive(Clone, Debug)]
pub enum Keyed {
    /// It ran now and is committed at this position.
    Ran(Answer),
    /// It had run before; this is the recorded answer.
    Recorded(Answer),
    /// It failed in the database; its key is not taken.
    Failed(Answer),
    /// Nothing is known: try again.
    Unresolved,
}

/// An open connection to a member.
#[async_trait(?Send)]
pub trait Upstream {
    /// Runs one statement and collects its whole answer.
    async fn run(&mut self, task: &Task<'_>) -> Result<Answer, UpstreamError>;

    /// Runs a statement in one transaction with a record of its key.
    async fn run_keyed(&mut self, task: &Task<'_>, key: &str) -> Result<Keyed, UpstreamError>;

    /// Ends the open transaction without effect.
    async fn roll_back(&mut self) -> Result<(), UpstreamError>;

    /// Position that the member reported last on this connection.
    fn position(&self) -> Option<Position>;

    /// Whether the connection may serve another session: nothing is under way, and
    /// nothing came that nobody asked for, the end included.
    fn is_reusable(&mut self) -> bool;
}

/// Opens connections to members.
#[async_trait(?Send)]
pub trait Dialer {
    /// Opens a connection for a workspace's statements; for those of nobody in particular
    /// where there is none.
    async fn connect(
        &self,
        member: &Member,
        workspace: Option<&str>,
    ) -> Result<Box<dyn Upstream>, ConnectError>;
}
