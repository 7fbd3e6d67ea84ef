//! Slots at members, and the connections pinned there for sessions.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::context::Context;
use super::message::{Grant, Incarnation, Message};
use super::pool::Connection;
use crate::decisions::group::{Event, Target};

/// A slot at a member, released when it is dropped.
pub struct Slot {
    pub context: Rc<Context>,
    pub group: Arc<str>,
    pub grant: Grant,
    /// When the slot was granted.
    pub granted_at: Duration,
    /// When the running statement occupied the slot.
    pub occupied_since: Duration,
    /// Whether the transaction is idle until the caller's next statement.
    pub idle: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let member = self.grant.member;
        self.send_event(match self.idle {
            true => Event::IdleTransactionEnded { member },
            false => Event::SlotReleased {
                member,
                took: self.occupied_for(),
            },
        });
    }
}

impl Slot {
    fn occupied_for(&self) -> Duration {
        self.context.now().saturating_sub(self.occupied_since)
    }

    /// Marks the transaction as idle until the caller's next statement.
    pub fn set_idle(&mut self) {
        self.idle = true;
        self.send_event(Event::TransactionIdle {
            member: self.grant.member,
            took: self.occupied_for(),
        });
    }

    /// Reoccupies the slot for the caller's next statement.
    pub fn resume(&mut self) {
        if std::mem::take(&mut self.idle) {
            self.occupied_since = self.context.now();
            self.send_event(Event::TransactionResumed {
                member: self.grant.member,
            });
        }
    }

    /// Sends an event about the member to the incarnation that granted the slot.
    pub fn send_event(&self, event: Event) {
        let incarnation = self.grant.incarnation;
        self.context.send_event(&self.group, incarnation, event);
    }
}

/// A connection pinned for a session between its exchanges.
pub struct Lease {
    pub connection: Connection,
    pub slot: Slot,
    pub target: Target,
    /// Whether the open transaction may have changed data.
    pub wrote: bool,
    pub last_used: Duration,
}

impl Context {
    /// Sends an event to one incarnation of a group.
    pub fn send_event(&self, group: &Arc<str>, incarnation: Incarnation, event: Event) {
        let _ = self.decisions.send(Message::GroupEvent {
            group: group.clone(),
            incarnation,
            event,
        });
    }
}
