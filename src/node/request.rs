//! Statements on declared databases.
//!
//! A database's declaration determines where its statements run, how old their data may be, and
//! how long they may take.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::exchange::{Effect, Exchange, Failure, Flow, Reply};
use super::session::Session;
use crate::borders::upstream::{Begin, Setup};
use crate::decisions::floors::Scope;
use crate::decisions::group::Target;
use crate::decisions::position::Position;
use crate::declarations::resource::{Access, Database, Workspace};
use crate::declarations::snapshot::group_id;

/// Part of a statement's timeout reserved for returning its answer to the caller.
const RESPONSE_RESERVE: Duration = Duration::from_millis(40);

/// Highest priority number with a weight of its own. Each number below doubles the weight.
const LAST_PRIORITY: u64 = 4;

/// What a statement is meant to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Intent {
    pub effect: Effect,
    /// Whether the statement ends its transaction.
    pub commits: bool,
    /// Access mode of the transaction that the statement is part of.
    pub transaction: Option<Begin>,
}

/// A statement on a declared database.
pub struct Request<'a> {
    pub database: &'a Database,
    /// The caller's workspace, if the database requires a key.
    pub workspace: Option<&'a Workspace>,
    pub intent: Intent,
    /// The request's id in logs.
    pub trace: Arc<str>,
    pub setup: Setup,
    pub payload: Bytes,
}

impl Session {
    /// Serves a statement according to the declaration of its database.
    pub async fn serve_request(&mut self, request: Request<'_>) -> Result<Reply, Failure> {
        let scope = scope(request.database, &request.intent);
        let timeout = Duration::from_millis(request.database.timeout_ms);
        let timeout = timeout
            .saturating_sub(RESPONSE_RESERVE)
            .max(RESPONSE_RESERVE);
        let exchange = Exchange {
            group: group_id(&request.database.partner, &request.database.group),
            trace: request.trace,
            target: target(request.database, &request.intent),
            effect: request.intent.effect,
            commits: request.intent.commits,
            floor: self.floor(request.database, &scope),
            patience: timeout,
            limit: Some(timeout),
            flow: Some(flow(request.database)),
            aim: Some(Duration::from_millis(request.database.target_ms)),
            lease: self.connection_id(),
            setup: request.setup,
            payload: request.payload,
            on_primary: request.intent.transaction == Some(Begin::ReadWrite),
            once: None,
            workspace: request.workspace.map(|workspace| workspace.name.clone()),
        };
        self.serve(&exchange, &scope).await
    }

    fn floor(&self, database: &Database, scope: &Scope) -> Option<Position> {
        match database.access {
            Access::OwnWrites => self.floors.floor_for(scope),
            // Only the staleness bound is promised.
            Access::Bounded | Access::Primary => Some(Position::ZERO),
        }
    }
}

/// Returns a flow by which the databases of a group share its members in proportion to their
/// weights.
fn flow(database: &Database) -> Flow {
    let priority = LAST_PRIORITY.min(database.priority);
    Flow {
        name: database.name.clone(),
        weight: 1 << (LAST_PRIORITY - priority),
    }
}

fn target(database: &Database, intent: &Intent) -> Target {
    let reads = match intent.transaction {
        // A later statement of the transaction may write, so all of them run on the primary.
        Some(Begin::ReadWrite) => return Target::Strict,
        Some(Begin::ReadOnly) => true,
        None => intent.effect == Effect::Reads,
    };
    match database.access {
        _ if !reads => Target::Primary,
        Access::Primary => Target::Strict,
        Access::OwnWrites | Access::Bounded => Target::Replica {
            max_age: Duration::from_millis(database.max_age_ms),
        },
    }
}

fn scope(database: &Database, intent: &Intent) -> Scope {
    let kind: Option<Arc<str>> = match database.access {
        Access::Primary => None,
        Access::OwnWrites => Some("own writes".into()),
        Access::Bounded => Some("bounded".into()),
    };
    Scope {
        read_kind: kind.clone(),
        separate_kind: kind,
        ends_transaction: intent.commits,
        ..Scope::default()
    }
}
