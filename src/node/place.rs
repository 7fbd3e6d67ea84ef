//! A place at a member, and the connection that a session holds there.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::context::Context;
use super::message::{Grant, Incarnation, Message};
use super::pool::Connection;
use crate::decisions::group::{Event, Target};

/// A place at a member, given back when it is dropped.
pub struct Place {
    pub context: Rc<Context>,
    pub group: Arc<str>,
    pub grant: Grant,
    pub began: Duration,
    /// When it last took a turn.
    pub turn: Duration,
    /// Its transaction waits for the caller's next statement.
    pub resting: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        let member = self.grant.member;
        self.tell(match self.resting {
            true => Event::IdleTransactionEnded { member },
            false => Event::SlotReleased {
                member,
                took: self.took(),
            },
        });
    }
}

impl Place {
    fn took(&self) -> Duration {
        self.context.now().saturating_sub(self.turn)
    }

    /// The transaction rests until the caller's next statement.
    pub fn rest(&mut self) {
        self.resting = true;
        self.tell(Event::TransactionIdle {
            member: self.grant.member,
            took: self.took(),
        });
    }

    /// The caller's next statement is there.
    pub fn resume(&mut self) {
        if std::mem::take(&mut self.resting) {
            self.turn = self.context.now();
            self.tell(Event::TransactionResumed {
                member: self.grant.member,
            });
        }
    }

    /// Tells the loop what this statement saw of the member.
    pub fn tell(&self, event: Event) {
        let incarnation = self.grant.incarnation;
        self.context.tell(&self.group, incarnation, event);
    }
}

/// A connection held for a session between its exchanges.
pub struct Lease {
    pub connection: Connection,
    pub place: Place,
    pub target: Target,
    /// The open transaction may have changed data.
    pub wrote: bool,
    pub touched: Duration,
}

impl Context {
    /// Tells the loop what happened to one incarnation of a group.
    pub fn tell(&self, group: &Arc<str>, incarnation: Incarnation, event: Event) {
        let _ = self.decisions.send(Message::Group {
            group: group.clone(),
            incarnation,
            event,
        });
    }
}
