//! Open connections to members, between the statements that use them.
//!
//! Each box keeps its share of a member's connections open. Above the share,
//! connections are opened when statements need them and closed after a rest, so
//! that a burst at one box may use what others leave. A connection that was opened for a
//! workspace serves no other one: where the share is used up, a new one takes the place
//! of the one that rested longest.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::borders::clock::Clock;
use crate::borders::upstream::{ConnectError, Dialer, Upstream};
use crate::declarations::resource::Member;

/// A connection above the share is closed when it was not used for this long: a
/// few handshakes' worth, so that a burst does not open the same ones again.
const SPARE_REST: Duration = Duration::from_millis(1_500);

/// An open connection to a member, and for whom it was opened: members are told so once,
/// so that it never serves anyone else.
pub struct Connection {
    inner: Box<dyn Upstream>,
    workspace: Option<Arc<str>>,
    _counted: Counted,
}

/// Counts a connection as open, from the moment it is dialled.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for Counted {
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
    /// Start of the member to which it leads.
    born: Option<u64>,
}

impl Idle {
    fn is_nobodys(&self) -> bool {
        self.connection.workspace.is_none()
    }
}

/// Connections to one address.
#[derive(Default)]
struct Line {
    /// Least lately used first.
    idle: Vec<Idle>,
    /// How many are open, those in use included.
    open: Rc<Cell<usize>>,
    /// How many may stay open without use; none before it is known. Workspaces do not keep
    /// more: a member resets what is above its connections, and with the whole of them in
    /// use mean worth over five days was 0.781 in place of 0.790, although 72 and not 84 of
    /// 100 requests opened one.
    share: Option<usize>,
}

impl Line {
    /// Makes room for a connection of a workspace: where the share is used up, the one that
    /// rested longest gives way, those of nobody in particular first.
    fn make_room(&mut self) {
        let Some(share) = self.share else { return };
        while self.open.get() >= share && !self.idle.is_empty() {
            let gives_way = self.idle.iter().position(Idle::is_nobodys).unwrap_or(0);
            self.idle.remove(gives_way);
        }
    }

    /// Closes those above the share that rested.
    fn trim(&mut self, share: usize, now: Duration) {
        self.share = Some(share);
        // The first ones were used least lately.
        let spare = self.idle.len().saturating_sub(share);
        let rested = |idle: &&Idle| now > idle.since + SPARE_REST;
        let closed = self.idle.iter().take(spare).take_while(rested).count();
        self.idle.drain(..closed);
    }
}

/// Open connections by member address.
pub struct Pool {
    dialer: Rc<dyn Dialer>,
    clock: Rc<dyn Clock>,
    lines: RefCell<HashMap<Arc<str>, Line>>,
}

impl Pool {
    pub fn new(dialer: Rc<dyn Dialer>, clock: Rc<dyn Clock>) -> Self {
        Self {
            dialer,
            clock,
            lines: RefCell::default(),
        }
    }

    /// A workspace's idle connection, or a new one. Without a workspace, one that was opened
    /// for nobody in particular.
    pub async fn acquire(
        &self,
        member: &Member,
        workspace: Option<&Arc<str>>,
    ) -> Result<Connection, ConnectError> {
        let fits = |idle: &Idle| idle.connection.workspace.as_ref() == workspace;
        if let Some(known) = self.take_idle(member, fits) {
            return Ok(known);
        }
        let counted = {
            let mut lines = self.lines.borrow_mut();
            let line = lines.entry(member.address.sql.clone()).or_default();
            if workspace.is_some() {
                line.make_room();
            }
            Counted::new(&line.open)
        };
        let name = workspace.map(|name| &**name);
        Ok(Connection {
            inner: self.dialer.connect(member, name).await?,
            workspace: workspace.cloned(),
            _counted: counted,
        })
    }

    /// Any idle connection, or a new one: for what a box says to a member by itself.
    pub async fn acquire_any(&self, member: &Member) -> Result<Connection, ConnectError> {
        match self.take_idle(member, |_| true) {
            Some(known) => Ok(known),
            None => self.acquire(member, None).await,
        }
    }

    /// The most lately used idle connection of those that fit.
    fn take_idle(&self, member: &Member, fits: impl Fn(&Idle) -> bool) -> Option<Connection> {
        let mut lines = self.lines.borrow_mut();
        let idle = &mut lines.get_mut(&member.address.sql)?.idle;
        while let Some(place) = idle.iter().rposition(&fits) {
            let mut known = idle.remove(place);
            // One to an earlier start may be silent for good: a crash behind a cut says
            // nothing.
            if known.born == member.born && known.connection.is_reusable() {
                return Some(known.connection);
            }
        }
        None
    }

    /// Takes back a connection whose last answer came whole.
    pub fn release(&self, member: &Member, mut connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        let since = self.clock.now();
        let mut lines = self.lines.borrow_mut();
        let line = lines.entry(member.address.sql.clone()).or_default();
        line.idle.push(Idle {
            connection,
            since,
            born: member.born,
        });
    }

    /// Closes connections to members that are no longer there, and those above the
    /// share that rested. `shares` gives the share of each member's address.
    pub fn trim(&self, shares: &HashMap<Arc<str>, usize>) {
        let now = self.clock.now();
        let mut lines = self.lines.borrow_mut();
        lines.retain(|address, _| shares.contains_key(address));
        for (address, line) in lines.iter_mut() {
            line.trim(shares[address], now);
        }
    }

    /// Connections that nobody uses now.
    pub fn idle_count(&self) -> usize {
        let lines = self.lines.borrow();
        lines.values().map(|line| line.idle.len()).sum()
    }
}
