//! Control of one member of a database group.
//!
//! Everything that depends on the platform's control protocol is behind [`Member`]; the
//! decisions see only [`Status`].

use std::rc::Rc;
use std::sync::Arc;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::decisions::position::Position;
use crate::declarations::resource::{Address, Member as Declared};

/// Role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    Primary,
    Replica,
}

/// State of a replica's stream from the primary, as the replica sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stream {
    /// The primary has sent something recently.
    Live,
    /// The connection was refused or reset.
    Broken,
    /// The primary has sent nothing for longer than the stream's heartbeat.
    Silent,
    /// The member is a primary, or doesn't report its stream.
    None,
}

/// A member's report of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Highest term for which the member accepted a fence.
    pub promised: u64,
    pub role: Role,
    /// Last entry that the member has stored durably.
    pub log: Position,
    /// Last entry that is visible to reads on the member.
    pub applied: Position,
    pub stream: Stream,
}

/// Why a member didn't answer, or refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MemberError {
    #[error("connection refused or reset")]
    Broken,
    #[error("no answer in time")]
    TimedOut,
    #[error("refused: its promised term is {promised}")]
    Fenced { promised: u64 },
    /// The member is alive, but too busy for this request.
    #[error("too busy")]
    Busy,
    #[error("not ordered: another box has taken the duty")]
    Superseded,
    #[error("not ordered: {0}")]
    Unsent(String),
    /// A promotion was ordered, and may still take effect.
    #[error("ordered without a known outcome: {0}")]
    Unresolved(String),
    #[error("answered nonsense: {0}")]
    InvalidAnswer(String),
}

/// The holder of the duty that orders a promotion, for platforms that check it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Order {
    /// Name of the box that holds the duty.
    pub holder: Arc<str>,
    /// Fencing token; increases whenever the holder changes.
    pub generation: u64,
}

/// A fence that an election requests from a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    pub term: u64,
    /// Term that the election replaces. A member that follows a later term is not fenced.
    pub replaced: u64,
    /// Highest promised term known when the election began. Where members don't decide between
    /// elections, a member that has since promised a higher term is not fenced either.
    pub known_promise: u64,
}

/// The control side of a member.
#[async_trait(?Send)]
pub trait Member {
    async fn status(&self) -> Result<Status, MemberError>;
    /// Fences the member for a term, if that is higher than the term it has promised.
    async fn fence(&self, fence: &Fence) -> Result<Status, MemberError>;
    /// Promotes the member to primary of `term`, which it must have promised. Checks `holds_duty`
    /// right before sending the order, as the preceding steps take time, and sends nothing if
    /// it returns false.
    async fn promote(
        &self,
        term: u64,
        order: &Order,
        holds_duty: &dyn Fn() -> bool,
    ) -> Result<Status, MemberError>;
    /// Makes the member follow the primary of `term`.
    async fn follow(&self, term: u64, primary: &Address) -> Result<Status, MemberError>;
    /// Releases the fence for `term`, where the platform can release fences. A fence for another
    /// term is kept.
    async fn release_fence(&self, _term: u64) -> Result<(), MemberError> {
        Ok(())
    }
    /// Waits until the member's process is known to have ended.
    async fn wait_until_gone(&self);
}

/// Creates the control side of a declared member.
pub trait Members {
    fn member(&self, declared: &Declared) -> Rc<dyn Member>;
}
