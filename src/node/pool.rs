//! Open connections to members, between the statements that use them.
//!
//! Each box keeps its share of a member's connections open. Above the share,
//! connections are opened when statements need them and closed after a rest, so
//! that a burst at one box may use what others leave.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::borders::clock::Clock;
use crate::borders::upstream::{ConnectError, Dialer, Upstream};
use crate::declarations::resource::Member;

/// A connection above the share is closed when it was not used for this long: a
/// few handshakes' worth, so that a burst does not open the same ones again.
const SPARE_REST: Duration = Duration::from_millis(1_500);

struct Idle {
    connection: Box<dyn Upstream>,
    since: Duration,
    /// Start of the member to which it leads.
    born: Option<u64>,
}

/// Idle connections by member address.
pub struct Pool {
    dialer: Rc<dyn Dialer>,
    clock: Rc<dyn Clock>,
    idle: RefCell<HashMap<Arc<str>, Vec<Idle>>>,
}

impl Pool {
    pub fn new(dialer: Rc<dyn Dialer>, clock: Rc<dyn Clock>) -> Self {
        Self {
            dialer,
            clock,
            idle: RefCell::default(),
        }
    }

    /// An idle connection, or a new one.
    pub async fn take(&self, member: &Member) -> Result<Box<dyn Upstream>, ConnectError> {
        while let Some(mut idle) = self.take_idle(&member.address.sql) {
            // One to an earlier start may be silent for good: a crash behind a cut says
            // nothing.
            if idle.born == member.born && idle.connection.is_reusable() {
                return Ok(idle.connection);
            }
        }
        self.dialer.connect(member).await
    }

    fn take_idle(&self, address: &str) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        idle.get_mut(address)?.pop()
    }

    /// Takes back a connection whose last answer came whole.
    pub fn put(&self, member: &Member, mut connection: Box<dyn Upstream>) {
        if !connection.is_reusable() {
            return;
        }
        let since = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(member.address.sql.clone()).or_default();
        kept.push(Idle {
            connection,
            since,
            born: member.born,
        });
    }

    /// Closes connections to members that are no longer there, and those above the
    /// share that rested. `shares` gives the share of each member's address.
    pub fn trim(&self, shares: &HashMap<Arc<str>, usize>) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|address, _| shares.contains_key(address));
        for (address, kept) in idle.iter_mut() {
            let share = shares[address];
            // The first ones were used least lately.
            let spare = kept.len().saturating_sub(share);
            let rested = |idle: &&Idle| now > idle.since + SPARE_REST;
            let closed = kept.iter().take(spare).take_while(rested).count();
            kept.drain(..closed);
        }
    }

    /// Connections that nobody uses now.
    pub fn idle(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }
}
