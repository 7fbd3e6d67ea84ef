//! State shared by all tasks of a box.

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
use crate::borders::table::{Polling, Revision, Table};
use crate::configs::live::Live;
use crate::configs::run::Run;
use crate::declarations::resource::{Database, Identity, Workspace};
use crate::declarations::snapshot::{Snapshot, UnknownKey};
use crate::http::Client;
use crate::metrics::Metrics;

/// Time for which a peer that didn't answer is tried last, about as long as a restart.
const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_secs(2);

/// The shared state. There is one context per box.
pub struct Context {
    pub settings: Run,
    /// Settings that can change while the box runs.
    pub live: watch::Receiver<Arc<Live>>,
    pub log: Logger,
    pub metrics: Rc<Metrics>,
    pub clock: Rc<dyn Clock>,
    pub members: Rc<dyn Members>,
    pub table: Rc<dyn Table>,
    pub roster: Rc<dyn Roster>,
    pub client: Client,
    /// Sends messages to the driver.
    pub decisions: Sender,
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    pub boxes: watch::Receiver<Arc<[Listing]>>,
    /// Whether the box is shutting down.
    pub shutting_down: watch::Receiver<bool>,
    pub classes: Classes,
    pub routes: Routes,
    /// Rate limits of workspaces.
    pub limits: Limits,
    /// Number of idle connections to members.
    pub idle_connections: Cell<usize>,
    /// This box's share of the connections to each member of its groups.
    pub connection_shares: watch::Sender<HashMap<Identity, usize>>,
    /// Peers that didn't answer, with the time until which they are tried last.
    pub unresponsive_peers: RefCell<HashMap<Arc<str>, Duration>>,
    /// Readers of this box's failure domain, as the box through which it joined chose them.
    pub first_readers: watch::Sender<Vec<Listing>>,
    /// Number of connected callers.
    pub callers: Cell<usize>,
    /// Since when the box is not ready, because it is shutting down or partitioned.
    pub not_ready_since: watch::Sender<Option<Duration>>,
    /// Whether this box has a ballot under way to replace a primary.
    pub deposing: Cell<bool>,
    /// Whether the box has determined if it is partitioned.
    pub partition_known: watch::Sender<bool>,
    /// How this box polls the table.
    pub polling: Cell<Polling>,
    /// Revision as of which all declarations in force are known.
    pub declarations: Cell<Revision>,
    /// When the readers of this failure domain last confirmed the declarations in force.
    pub confirmed_by_readers: Cell<Option<Duration>>,
}

/// Counts one caller as connected until the guard is dropped.
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

    /// Records that a peer didn't answer, so that others are tried first for a while.
    pub fn record_unresponsive(&self, peer: &Arc<str>) {
        let until = self.now() + UNRESPONSIVE_COOLDOWN;
        self.unresponsive_peers
            .borrow_mut()
            .insert(peer.clone(), until);
    }

    /// Whether a peer didn't answer lately.
    pub fn is_unresponsive(&self, peer: &str) -> bool {
        let until = self.unresponsive_peers.borrow().get(peer).copied();
        until.is_some_and(|until| self.now() < until)
    }

    /// Returns the time since the declarations in force were last known to match the table; none if
    /// that is unknown.
    pub fn declarations_age(&self) -> Option<Duration> {
        let by_readers = self.confirmed_by_readers.get();
        let by_readers = by_readers.map(|at| self.now().saturating_sub(at));
        let ages = [self.table.scan_age(), by_readers];
        ages.into_iter().flatten().min()
    }

    /// Returns the database with the name that callers use.
    pub fn database(&self, name: &str) -> Option<Arc<Database>> {
        self.snapshot.borrow().databases.get(name).cloned()
    }

    /// Returns the workspace to which the key with the digest `key` belongs, or none if the
    /// database requires no key.
    pub fn authenticate(
        &self,
        database: &Database,
        key: &str,
    ) -> Result<Option<Arc<Workspace>>, UnknownKey> {
        self.snapshot.borrow().workspace_for_key(database, key)
    }

    /// Whether the box has not been ready for this long.
    pub fn is_not_ready_for(&self, duration: Duration) -> bool {
        let since = *self.not_ready_since.borrow();
        since.is_some_and(|since| self.now() >= since + duration)
    }

    /// Returns the time until the load balancer is expected to send callers to other boxes. None
    /// if this box is ready, or if the time has passed.
    pub fn time_until_redirect(&self) -> Option<Duration> {
        let since = (*self.not_ready_since.borrow())?;
        let redirect = since + self.settings.mean_balancer_delay;
        redirect
            .checked_sub(self.now())
            .filter(|left| !left.is_zero())
    }

    /// Waits until the box has not been ready for this long.
    pub async fn wait_until_not_ready_for(&self, duration: Duration) {
        let mut not_ready_since = self.not_ready_since.subscribe();
        loop {
            let since = *not_ready_since.borrow_and_update();
            let changed = not_ready_since.changed();
            let Some(since) = since else {
                if changed.await.is_err() {
                    return std::future::pending().await;
                }
                continue;
            };
            let left = (since + duration).saturating_sub(self.now());
            if tokio::time::timeout(left, changed).await.is_err() {
                return;
            }
        }
    }

    /// Returns how long a group's open transaction may be idle before it is rolled back.
    pub fn idle_transaction_timeout(&self, group: &str) -> Duration {
        let snapshot = self.snapshot.borrow();
        let declared = snapshot
            .groups
            .get(group)
            .and_then(|plan| plan.group.idle_ms);
        declared.map_or(
            self.settings.transaction_idle_timeout,
            Duration::from_millis,
        )
    }

    /// Returns the address of this box's API, as other boxes have it in their list.
    pub fn own_api_address(&self) -> String {
        format!("{}:{}", self.settings.ip, self.settings.api_port)
    }
}
