//! Statements on a declared database: what its declaration says of where they run,
//! how fresh their data is, and how long they may take.

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

/// Part of a statement's time kept for the way back to its caller.
const WAY_BACK: Duration = Duration::from_millis(40);

/// Priorities from here on weigh the same; each one before weighs twice as much.
const LAST_PRIORITY: u64 = 4;

/// What a statement is meant to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Intent {
    pub effect: Effect,
    /// Ends its transaction.
    pub commits: bool,
    /// The transaction it is part of.
    pub transaction: Option<Begin>,
}

/// A statement as a codec hands it over.
pub struct Request<'a> {
    pub database: &'a Database,
    /// Whose it is, where callers need a key.
    pub workspace: Option<&'a Workspace>,
    pub intent: Intent,
    /// Names it in logs.
    pub trace: Arc<str>,
    pub setup: Setup,
    pub payload: Bytes,
}

impl Session {
    /// Has a statement served as its database's declaration says.
    pub async fn serve_request(&mut self, work: Request<'_>) -> Result<Reply, Failure> {
        let scope = scope(work.database, &work.intent);
        let time = Duration::from_millis(work.database.timeout_ms);
        let time = time.saturating_sub(WAY_BACK).max(WAY_BACK);
        let exchange = Exchange {
            group: group_id(&work.database.partner, &work.database.group),
            trace: work.trace,
            target: target(work.database, &work.intent),
            effect: work.intent.effect,
            commits: work.intent.commits,
            floor: self.floor(work.database, &scope),
            patience: time,
            limit: Some(time),
            flow: Some(flow(work.database)),
            aim: Some(Duration::from_millis(work.database.target_ms)),
            lease: self.connection_id(),
            setup: work.setup,
            payload: work.payload,
            on_primary: work.intent.transaction == Some(Begin::ReadWrite),
            once: None,
            workspace: work.workspace.map(|workspace| workspace.name.clone()),
        };
        self.serve(&exchange, &scope).await
    }

    fn floor(&self, database: &Database, scope: &Scope) -> Option<Position> {
        match database.access {
            Access::OwnWrites => self.floors.floor_for(scope),
            // The staleness bound is all that is promised.
            Access::Bounded | Access::Primary => Some(Position::ZERO),
        }
    }
}

/// Databases of one group share its members by priority.
fn flow(database: &Database) -> Flow {
    let last = LAST_PRIORITY.min(database.priority);
    Flow {
        name: database.name.clone(),
        weight: 1 << (LAST_PRIORITY - last),
    }
}

fn target(database: &Database, intent: &Intent) -> Target {
    let reads = match intent.transaction {
        // It may come to write, so it runs on the primary from the start.
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
