//! What is said to the loop that owns the decisions.

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

/// What a group's members look like to those who have statements running on them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    pub term: u64,
    pub suspected: Vec<bool>,
}

/// Names one start of a group at an owner: whoever gives something back to an
/// earlier one must not give it to a later.
pub type Incarnation = u64;

/// Leave to run a statement on a member.
#[derive(Debug)]
pub struct Grant {
    pub incarnation: Incarnation,
    pub member: usize,
    pub spec: Member,
    pub term: u64,
    /// The member leads the term.
    pub primary: bool,
    /// The session's floor was possible.
    pub believed: bool,
    /// Time after which a read is better repeated elsewhere.
    pub patience: Duration,
    /// A transaction gives its turn back while it rests.
    pub rests: bool,
    pub health: watch::Receiver<Health>,
}

/// Why there is no grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Denial {
    NotRun(Refusal),
    /// This box does not own the group.
    NotOwner,
}

/// A request for a member, with the way back.
#[derive(Debug)]
pub struct Ask {
    /// Given by the asker, so that it can take the question back.
    pub id: u64,
    pub group: Arc<str>,
    pub target: Target,
    pub floor: Option<Position>,
    pub deadline: Duration,
    pub aim: Option<Duration>,
    pub flow: Option<Flow>,
    pub reply: oneshot::Sender<Result<Grant, Denial>>,
}

/// A wait for confirmation, with the way back.
#[derive(Debug)]
pub struct Settle {
    pub group: Arc<str>,
    pub incarnation: Incarnation,
    pub member: usize,
    pub need: Unconfirmed,
    pub deadline: Duration,
    pub reply: oneshot::Sender<Outcome>,
}

#[derive(Clone, Copy, Debug)]
pub enum Unconfirmed {
    Write(Position),
    /// A read from the primary, which arrived at `since` or may be as old as that.
    Read {
        term: u64,
        since: Duration,
        position: Option<Position>,
    },
}

/// What a dump shows of a box besides its configuration.
#[derive(Debug, Default, Serialize)]
pub struct Dump {
    pub callers: usize,
    /// Connections to members that nobody uses.
    pub idle_connections: usize,
    /// The table is not read: others of the failure domain tell what is new.
    pub resting: bool,
    pub groups: Vec<GroupDump>,
}

/// A message to the loop.
#[derive(Debug)]
pub enum Message {
    Ask(Ask),
    /// Whoever asked does not wait for the answer any more.
    Withdraw {
        group: Arc<str>,
        id: u64,
    },
    Settle(Settle),
    Group {
        group: Arc<str>,
        incarnation: Incarnation,
        event: Event,
    },
    /// The duty as this box has taken it, none when another box has.
    Claimed {
        group: Arc<str>,
        claim: Option<Claim>,
    },
    Snapshot(Arc<Snapshot>),
    Boxes(Arc<[Listing]>),
    /// Another box has fenced a majority of the group. The reply says whether it need
    /// not wait for this one any more.
    RevokeLease {
        group: Arc<str>,
        reply: oneshot::Sender<bool>,
    },
    /// Leaving members are served for this long from now on.
    LeaveMost(Duration),
    /// Enough time has passed since this box was listed.
    Listed,
    /// An exchange failed as in a cut: its owner reached no majority, or was not reached.
    ExchangeRefused,
    /// A box of the same failure domain finds the others silent.
    AlertReceived {
        from: Arc<str>,
    },
    /// Owners of other groups have said whether they reach a majority, as far as they
    /// can tell.
    Reached(Vec<Option<bool>>),
    /// Whether this box, as an owner, reaches a majority of the group.
    QueryMajority {
        group: Arc<str>,
        reply: oneshot::Sender<Option<bool>>,
    },
    QueryOpinion {
        group: Arc<str>,
        term: u64,
        reply: oneshot::Sender<Option<bool>>,
    },
    Dump(oneshot::Sender<Dump>),
}

/// The way to the loop.
pub type Sender = mpsc::UnboundedSender<Message>;
