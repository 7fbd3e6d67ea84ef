//! Messages to the loop that owns a box's decisions.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::sync::{mpsc, oneshot, watch};

use super::exchange::Flow;
use crate::borders::roster::Listing;
use crate::decisions::confirmation::Outcome;
use crate::decisions::duty::Claim;
use crate::decisions::group::{Event, GroupDump, Refusal, Target};
use crate::decisions::position::Position;
use crate::declarations::resource::Member;
use crate::declarations::snapshot::Snapshot;

/// State of a group's members, watched by the statements that run on them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    pub term: u64,
    pub suspected: Vec<bool>,
}

/// Identifies one start of a group at this owner. A slot or an event of an earlier start is not
/// applied to a later one.
pub type Incarnation = u64;

/// Permission to run a statement on a member.
#[derive(Debug)]
pub struct Grant {
    pub incarnation: Incarnation,
    pub member: usize,
    pub spec: Member,
    pub term: u64,
    /// Whether the member is the primary of `term`.
    pub primary: bool,
    /// False if the session's floor lies beyond the primary's position.
    pub believed: bool,
    /// Time after which a read is repeated on another member.
    pub read_timeout: Duration,
    /// Whether a transaction frees its slot while it is idle.
    pub idle_frees_slot: bool,
    pub health: watch::Receiver<Health>,
}

/// Why no slot was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Denial {
    NotRun(Refusal),
    /// This box does not own the group.
    NotOwner,
}

/// A request for a slot at a member.
#[derive(Debug)]
pub struct SlotRequest {
    /// Chosen by the sender, which may withdraw the request by this id.
    pub id: u64,
    pub group: Arc<str>,
    pub target: Target,
    pub floor: Option<Position>,
    pub deadline: Duration,
    /// Latency target, from the arrival.
    pub aim: Option<Duration>,
    /// Flow that the request is queued in; `None` for the flow of the group's partner.
    pub flow: Option<Flow>,
    pub reply: oneshot::Sender<Result<Grant, Denial>>,
}

/// A request to confirm an answer before it is passed on.
#[derive(Debug)]
pub struct ConfirmRequest {
    pub group: Arc<str>,
    pub incarnation: Incarnation,
    pub member: usize,
    pub unconfirmed: Unconfirmed,
    pub deadline: Duration,
    pub reply: oneshot::Sender<Outcome>,
}

/// What was answered and awaits confirmation.
#[derive(Clone, Copy, Debug)]
pub enum Unconfirmed {
    /// A write at this position of the log.
    Write(Position),
    /// A read from the primary of `term`, whose data may be as old as `since`.
    Read {
        term: u64,
        since: Duration,
        position: Option<Position>,
    },
}

/// State of a box that a dump shows besides the configuration.
#[derive(Debug, Default, Serialize)]
pub struct Dump {
    pub callers: usize,
    pub idle_connections: usize,
    /// Whether this box has paused polling the table, because another box of the failure domain
    /// passes the changes on.
    pub resting: bool,
    pub groups: Vec<GroupDump>,
}

/// A message to the loop.
#[derive(Debug)]
pub enum Message {
    RequestSlot(SlotRequest),
    /// The sender of a slot request no longer waits for the answer.
    Withdraw {
        group: Arc<str>,
        id: u64,
    },
    Confirm(ConfirmRequest),
    /// An event for one incarnation of a group.
    GroupEvent {
        group: Arc<str>,
        incarnation: Incarnation,
        event: Event,
    },
    /// Outcome of this box's claim to the duty; `None` if it failed.
    DutyClaimed {
        group: Arc<str>,
        claim: Option<Claim>,
    },
    /// A new configuration is in force.
    Snapshot(Arc<Snapshot>),
    /// The list of boxes changed.
    Boxes(Arc<[Listing]>),
    /// Another box has fenced a majority of the group. The reply is true once that box needn't
    /// wait for this box's lease to expire.
    RevokeLease {
        group: Arc<str>,
        reply: oneshot::Sender<bool>,
    },
    /// The time for which a leaving member is still used has changed.
    DrainLimit(Duration),
    /// All boxes are expected to have read the list that contains this box.
    ListingSettled,
    /// An exchange failed because its owner reached no majority or was not reached, which may
    /// indicate a partition.
    ExchangeRefused,
    /// A box of the same failure domain gets no answer from the other domains.
    AlertReceived {
        from: Arc<str>,
    },
    /// Replies of other groups' owners on whether they reach a majority; `None` if undetermined.
    MajorityReplies(Vec<Option<bool>>),
    /// Asks whether this box, as an owner, reaches a majority of the group.
    QueryMajority {
        group: Arc<str>,
        reply: oneshot::Sender<Option<bool>>,
    },
    /// Asks which members of the group this box, as an owner, doesn't take for lost.
    QueryLiveMembers {
        group: Arc<str>,
        reply: oneshot::Sender<Option<BTreeSet<Arc<str>>>>,
    },
    /// Asks whether this box, as an owner, suspects the primary of the term.
    QueryOpinion {
        group: Arc<str>,
        term: u64,
        reply: oneshot::Sender<Option<bool>>,
    },
    /// Asks for the box's state.
    Dump(oneshot::Sender<Dump>),
}

/// Sends messages to the loop.
pub type Sender = mpsc::UnboundedSender<Message>;
