//! Pools idle connections to members.
//!
//! Each box keeps its share of a member's connections open. Above the share, connections are
//! opened on demand and closed after an idle time, so that a burst at one box can use connections
//! that other boxes leave unused. A connection opened for a workspace serves no other workspace:
//! if the share is used up, a new connection replaces the one that has been idle longest.
//!
//! A connection belongs to the member to which it was opened, not to the member's address: another
//! member may listen there later.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::borders::clock::Clock;
use crate::borders::upstream::{ConnectError, Dialer, Upstream};
use crate::declarations::resource::{Identity, Member};

/// Idle time after which a connection above the share is closed: longer than a few handshakes,
/// so that a burst doesn't reopen the same connections.
const SPARE_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An open connection to a member. The member learns the workspace once, when the connection is
/// opened, so the connection must never serve another one.
pub struct Connection {
    inner: Box<dyn Upstream>,
    member: Identity,
    workspace: Option<Arc<str>>,
    _open_guard: OpenGuard,
}

/// Counts a connection as open, from the moment it is dialled.
struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Deref for Connection {
    type Target = dyn Upstream;

    fn deref(&self) -> &Self::Target {
        &*self.inner
    }
}

impl DerefMut for Connection {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut *self.inner
    }
}

struct Idle {
    connection: Connection,
    since: Duration,
}

impl Idle {
    fn has_no_workspace(&self) -> bool {
        self.connection.workspace.is_none()
    }
}

/// Connections to one member.
#[derive(Default)]
struct Endpoint {
    /// Idle connections, least recently used first.
    idle: Vec<Idle>,
    /// Number of open connections, including those in use.
    open: Rc<Cell<usize>>,
    /// Number of connections that may stay open while idle; none until it is known. Workspaces
    /// don't raise it, since a member resets connections above its limit. Raising it opened 72
    /// instead of 84 connections per hundred requests, but served callers worse.
    share: Option<usize>,
}

impl Endpoint {
    /// Closes idle connections while the share is used up, to open one for a workspace.
    /// Connections without a workspace go first, then the least recently used ones.
    fn evict(&mut self) {
        let Some(share) = self.share else { return };
        while self.open.get() >= share && !self.idle.is_empty() {
            let evicted = self
                .idle
                .iter()
                .position(Idle::has_no_workspace)
                .unwrap_or(0);
            self.idle.remove(evicted);
        }
    }

    /// Sets the share, and closes the connections above it that have been idle for long.
    fn trim(&mut self, share: usize, now: Duration) {
        self.share = Some(share);
        let spare = self.idle.len().saturating_sub(share);
        let expired = |idle: &&Idle| now > idle.since + SPARE_IDLE_TIMEOUT;
        let closed = self.idle.iter().take(spare).take_while(expired).count();
        self.idle.drain(..closed);
    }
}

/// Open connections by member.
pub struct Pool {
    dialer: Rc<dyn Dialer>,
    clock: Rc<dyn Clock>,
    endpoints: RefCell<HashMap<Identity, Endpoint>>,
}

impl Pool {
    pub fn new(dialer: Rc<dyn Dialer>, clock: Rc<dyn Clock>) -> Self {
        Self {
            dialer,
            clock,
            endpoints: RefCell::default(),
        }
    }

    /// Returns an idle connection of the workspace, or opens one. Without a workspace, returns
    /// one that was opened without a workspace.
    pub async fn acquire(
        &self,
        member: &Member,
        workspace: Option<&Arc<str>>,
    ) -> Result<Connection, ConnectError> {
        let identity = member.identity();
        let fits = |idle: &Idle| idle.connection.workspace.as_ref() == workspace;
        if let Some(connection) = self.take_idle(&identity, fits) {
            return Ok(connection);
        }
        let open_guard = {
            let mut endpoints = self.endpoints.borrow_mut();
            let endpoint = endpoints.entry(identity.clone()).or_default();
            if workspace.is_some() {
                endpoint.evict();
            }
            OpenGuard::new(&endpoint.open)
        };
        let name = workspace.map(|name| &**name);
        Ok(Connection {
            inner: self.dialer.connect(member, name).await?,
            member: identity,
            workspace: workspace.cloned(),
            _open_guard: open_guard,
        })
    }

    /// Returns any idle connection, or opens one, for the box's own commands to a member.
    pub async fn acquire_any(&self, member: &Member) -> Result<Connection, ConnectError> {
        match self.take_idle(&member.identity(), |_| true) {
            Some(connection) => Ok(connection),
            None => self.acquire(member, None).await,
        }
    }

    /// Takes the most recently used idle connection of those that fit.
    fn take_idle(&self, member: &Identity, fits: impl Fn(&Idle) -> bool) -> Option<Connection> {
        let mut endpoints = self.endpoints.borrow_mut();
        let idle = &mut endpoints.get_mut(member)?.idle;
        while let Some(index) = idle.iter().rposition(&fits) {
            let mut found = idle.remove(index);
            if found.connection.is_reusable() {
                return Some(found.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool. Its last answer must have been read to the end.
    pub fn release(&self, mut connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        let since = self.clock.now();
        let mut endpoints = self.endpoints.borrow_mut();
        let endpoint = endpoints.entry(connection.member.clone()).or_default();
        endpoint.idle.push(Idle { connection, since });
    }

    /// Closes idle connections to members that are not in `shares`, and those above a member's
    /// share that have been idle for long.
    pub fn trim(&self, shares: &HashMap<Identity, usize>) {
        let now = self.clock.now();
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.retain(|member, _| shares.contains_key(member));
        for (member, endpoint) in endpoints.iter_mut() {
            endpoint.trim(shares[member], now);
        }
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        let endpoints = self.endpoints.borrow();
        endpoints.values().map(|endpoint| endpoint.idle.len()).sum()
    }
}
