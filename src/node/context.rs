//! What is handed down to every part of a box.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use tokio::sync::watch;

use super::limits::Limits;
use super::message::Sender;
use super::routes::{Classes, Routes};
use crate::borders::clock::Clock;
use crate::borders::member::Members;
use crate::borders::roster::{Listing, Roster};
use crate::borders::table::{Polling, Table};
use crate::configs::live::Live;
use crate::configs::run::Run;
use crate::declarations::resource::{Database, Workspace};
use crate::declarations::snapshot::{Snapshot, Stranger};
use crate::http::Client;
use crate::metrics::Metrics;

/// Time for which a peer that did not answer is asked last: a restart takes one or two
/// seconds, a cut several.
const SHUN: Duration = Duration::from_secs(2);

/// One per box, shared by all its tasks.
pub struct Context {
    pub settings: Run,
    /// What may change of them while the box runs.
    pub live: watch::Receiver<Arc<Live>>,
    pub log: Logger,
    pub metrics: Rc<Metrics>,
    pub clock: Rc<dyn Clock>,
    pub members: Rc<dyn Members>,
    pub table: Rc<dyn Table>,
    pub roster: Rc<dyn Roster>,
    pub client: Client,
    /// The way to the loop that owns the decisions.
    pub decisions: Sender,
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    pub boxes: watch::Receiver<Arc<[Listing]>>,
    /// True from the moment the box leaves.
    pub shutting_down: watch::Receiver<bool>,
    pub classes: Classes,
    pub routes: Routes,
    /// Limits on the workspaces' operations.
    pub limits: Limits,
    /// Connections to members that nobody uses now.
    pub idle_connections: Cell<usize>,
    /// This box's share of the connections to each member of its groups, by address.
    pub connection_shares: watch::Sender<HashMap<Arc<str>, usize>>,
    /// Peers that did not answer, and until when they are asked last.
    pub unresponsive_peers: RefCell<HashMap<Arc<str>, Duration>>,
    /// Callers connected now.
    pub callers: Cell<usize>,
    /// When the box began to leave, or was cut off: callers are better served elsewhere.
    pub not_ready_since: watch::Sender<Option<Duration>>,
    /// A ballot of this box is under way.
    pub deposing: Cell<bool>,
    /// Whether the box has found out if it is cut off.
    pub partition_known: watch::Sender<bool>,
    /// How the table is read.
    pub polling: Cell<Polling>,
}

/// Counts a caller for as long as it is connected.
pub struct Caller(Rc<Context>);

impl Caller {
    pub fn new(context: &Rc<Context>) -> Self {
        context.callers.set(context.callers.get() + 1);
        Self(context.clone())
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.0.callers.set(self.0.callers.get() - 1);
    }
}

impl Context {
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// A peer did not answer: others go first for a while.
    pub fn record_unresponsive(&self, peer: &Arc<str>) {
        let until = self.now() + SHUN;
        self.unresponsive_peers
            .borrow_mut()
            .insert(peer.clone(), until);
    }

    pub fn is_unresponsive(&self, peer: &str) -> bool {
        let until = self.unresponsive_peers.borrow().get(peer).copied();
        until.is_some_and(|until| self.now() < until)
    }

    /// The database that callers name so.
    pub fn database(&self, name: &str) -> Option<Arc<Database>> {
        self.snapshot.borrow().databases.get(name).cloned()
    }

    /// The workspace that calls a database with a key of this digest; none where the
    /// database asks for no key.
    pub fn authenticate(
        &self,
        database: &Database,
        key: &str,
    ) -> Result<Option<Arc<Workspace>>, Stranger> {
        self.snapshot.borrow().caller(database, key)
    }

    /// Whether callers have been better served elsewhere for so long.
    pub fn is_not_ready_for(&self, rest: Duration) -> bool {
        let since = *self.not_ready_since.borrow();
        since.is_some_and(|since| self.now() >= since + rest)
    }

    /// Time until callers of a box that said it is not ready are expected to be sent
    /// elsewhere; none where it is ready, or that time is over.
    pub fn time_until_redirect(&self) -> Option<Duration> {
        let since = (*self.not_ready_since.borrow())?;
        let turned = since + self.settings.balancer_notice;
        turned
            .checked_sub(self.now())
            .filter(|left| !left.is_zero())
    }

    /// Returns when callers have been better served elsewhere for so long.
    pub async fn wait_until_not_ready_for(&self, rest: Duration) {
        let mut away = self.not_ready_since.subscribe();
        loop {
            let since = *away.borrow_and_update();
            let changed = away.changed();
            let Some(since) = since else {
                if changed.await.is_err() {
                    return std::future::pending().await;
                }
                continue;
            };
            let left = (since + rest).saturating_sub(self.now());
            if tokio::time::timeout(left, changed).await.is_err() {
                return;
            }
        }
    }

    /// Time without a statement after which a group's open transaction is ended.
    pub fn idle_transaction_timeout(&self, group: &str) -> Duration {
        let snapshot = self.snapshot.borrow();
        let declared = snapshot
            .groups
            .get(group)
            .and_then(|plan| plan.group.idle_ms);
        declared.map_or(self.settings.lease_idle, Duration::from_millis)
    }

    /// The box's own entry in the list of boxes.
    pub fn own_api_address(&self) -> String {
        format!("{}:{}", self.settings.ip, self.settings.api_port)
    }
}
