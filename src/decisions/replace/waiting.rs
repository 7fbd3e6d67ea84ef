//! Between the majority's fences and the order: leases run out or are revoked, and the
//! fences have to hold until then.

use std::time::Duration;

use super::*;
use crate::borders::member::{Role, Status};

impl Replace {
    /// No box has a lease on the term before `term` any more.
    pub fn revoked(&mut self, term: u64, now: Duration) -> Vec<Step> {
        match &mut self.phase {
            Phase::Waiting {
                term: waits, until, ..
            } if *waits == term => *until = now,
            _ => return Vec::new(),
        }
        self.wait_out(now)
    }

    /// How long before the end of the wait members are looked at again.
    pub(super) fn look_ahead(&self) -> Duration {
        self.settings.fresh / 3
    }

    /// Notes whether a member still keeps to the ballot's term.
    pub(super) fn note_holding(&mut self, member: usize, status: &Status, began: Duration) {
        let primary = self.primary;
        let replaced = self.replaced();
        let Phase::Waiting { term, holding, .. } = &mut self.phase else {
            return;
        };
        // A primary that stepped down need not tell of the term it did so for.
        let stepped_down = Some(member) == primary && status.role == Role::Replica;
        let keeps = status.promised == *term || (stepped_down && status.promised < *term);
        // Another box's promotion leads to a term that may be the ballot's by chance.
        if keeps && status.log.term <= replaced {
            holding.insert(member, began);
        } else {
            holding.remove(&member);
        }
    }

    /// Promotes once all leases have run out and a majority still keeps to the term:
    /// another box may have fenced it since, and ordered under a higher number.
    pub(super) fn wait_out(&mut self, now: Duration) -> Vec<Step> {
        let Phase::Waiting {
            term,
            since,
            until,
            holding,
            looked,
            ..
        } = &self.phase
        else {
            return Vec::new();
        };
        let fresh = self.settings.fresh;
        let is_fresh = |seen: Duration| now <= seen + fresh;
        let counted = |(member, seen): &(&usize, &Duration)| {
            self.acceptors.contains(member) && is_fresh(**seen)
        };
        let holds = holding.iter().filter(counted).count() >= self.majority();
        if now >= *until && (holds || is_fresh(*since)) {
            return self.promote(now);
        }
        if now >= *until + self.settings.ballot {
            return self.lose(*term, now);
        }
        let due = looked.map_or(until.saturating_sub(self.look_ahead()), |looked| {
            looked + self.settings.again
        });
        if now < due {
            return Vec::new();
        }
        if let Phase::Waiting { looked, .. } = &mut self.phase {
            *looked = Some(now);
        }
        vec![Step::Look]
    }
}
