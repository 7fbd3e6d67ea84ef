//! Border to one member of a database group.
//!
//! What the users' own platform speaks is not known yet. Everything that
//! depends on it stands behind [`Member`]; the decisions see only [`Status`].

use std::rc::Rc;
use std::sync::Arc;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::decisions::position::Position;
use crate::declarations::resource::{Address, Member as Declared};

/// What a member does in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    Primary,
    Replica,
}

/// How a replica finds its stream from the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stream {
    /// Heard from it lately.
    Live,
    /// Refused or reset.
    Broken,
    /// Nothing heard for longer than the stream's heartbeat.
    Silent,
    /// A primary follows nobody.
    None,
}

/// A member's report of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Highest term it took a fence for.
    pub promised: u64,
    pub role: Role,
    /// Newest entry it holds durably.
    pub log: Position,
    /// Newest entry that reads on it can see.
    pub applied: Position,
    pub stream: Stream,
}

/// Why a member gave no answer, or a negative one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MemberError {
    #[error("connection refused or reset")]
    Broken,
    #[error("no answer in time")]
    TimedOut,
    #[error("refused: its promised term is {promised}")]
    Fenced { promised: u64 },
    /// It answers, but has no time for this.
    #[error("too busy")]
    Busy,
    #[error("not ordered: another box has taken the duty")]
    Superseded,
    #[error("answered nonsense: {0}")]
    InvalidAnswer(String),
}

/// On whose authority a member is promoted, where the platform wants to know.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Order {
    /// The box that holds the duty.
    pub holder: Arc<str>,
    /// Rises whenever the holder changes.
    pub generation: u64,
}

/// What a ballot asks of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    pub term: u64,
    /// The term that the ballot is to end; a member that has gone on to a later one is
    /// not fenced.
    pub replaced: u64,
    /// The highest promise known when the ballot began. Where members do not arbitrate,
    /// one that has promised more since is left to the ballot it did so for.
    pub known_promise: u64,
}

/// Control half of a member: status, fence, promote, follow.
#[async_trait(?Send)]
pub trait Member {
    async fn status(&self) -> Result<Status, MemberError>;
    /// Takes the bid's term if it is strictly above the member's promised term.
    async fn fence(&self, bid: &Fence) -> Result<Status, MemberError>;
    /// Makes the member primary of `term`, which it must have promised.
    /// `stands` is asked right before the order goes out, since what comes before
    /// takes time; without it nothing is ordered.
    async fn promote(
        &self,
        term: u64,
        order: &Order,
        stands: &dyn Fn() -> bool,
    ) -> Result<Status, MemberError>;
    async fn follow(&self, term: u64, primary: &Address) -> Result<Status, MemberError>;
    /// Takes back a fence that leads to nothing; does nothing where fences last.
    async fn release_fence(&self) -> Result<(), MemberError> {
        Ok(())
    }
    /// Returns when the member's process is seen to be gone.
    async fn wait_until_gone(&self);
}

/// Makes the control half of a declared member.
pub trait Members {
    fn member(&self, declared: &Declared) -> Rc<dyn Member>;
}
