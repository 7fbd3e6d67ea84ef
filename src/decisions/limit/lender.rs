//! What one box lends, by workspace.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Bucket, LEAST_RETRY, Limit, Line, Loan, MOST_RETRY, lenders};
use crate::borders::roster::Listing;
use crate::decisions::retry_after::Schedule;

/// Time after which one that waits looks whether it still does: it is told to come back soon
/// after it has lost its place.
const LOOK: Duration = Duration::from_millis(25);

/// An operation that waits for its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    id: u64,
    /// Latest moment of its turn.
    end: Duration,
}

/// What becomes of an operation whose limit is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may run.
    Granted,
    /// Its turn is expected at this moment.
    Queued(Ticket, Duration),
    /// Its turn would come too late; worth another try after this time.
    Exhausted(Duration),
}

/// A part of a workspace's limit, and who waits for it.
#[derive(Clone, Debug)]
struct Account {
    bucket: Bucket,
    line: Line,
    returns: Schedule,
}

/// A box as a lender.
#[derive(Clone, Debug, Default)]
pub struct Lender {
    accounts: HashMap<Arc<str>, Account>,
    /// Since when this box may have been a lender: its start, or the list's last change.
    since: Duration,
    next: u64,
}

impl Lender {
    /// Takes a new list of boxes. For some workspaces `name` may only lend now, for others not
    /// any more: while another lends in its place its own bucket would fill up, and the limit be
    /// spent twice once it lends again.
    pub fn set_boxes(&mut self, name: &str, boxes: &[Listing], now: Duration) {
        self.since = now;
        let lends = |workspace: &str| {
            let lenders = lenders(workspace, boxes);
            lenders.iter().any(|lender| *lender.name == *name)
        };
        self.accounts.retain(|workspace, _| lends(workspace));
    }

    fn account(&mut self, workspace: &Arc<str>, part: Limit, now: Duration) -> &mut Account {
        let since = self.since;
        let account = self.accounts.entry(workspace.clone());
        account.or_insert_with(|| Account {
            bucket: Bucket::new(part, since, now),
            line: Line::default(),
            returns: Schedule::default(),
        })
    }

    /// Lends out of a part of a workspace's limit, at once: nothing while others wait.
    pub fn lend(&mut self, workspace: &Arc<str>, part: Limit, wanted: u32, now: Duration) -> Loan {
        let account = self.account(workspace, part, now);
        if account.line.is_empty() {
            return account.bucket.take(part, wanted, now);
        }
        let turns = account.bucket.turns(part, now);
        let turn = turns.of(account.line.len());
        Loan::Spent((turn - now).clamp(LEAST_RETRY, MOST_RETRY))
    }

    /// Lends one operation, or has it wait for its turn, for `wait` at most.
    pub fn enqueue(
        &mut self,
        workspace: &Arc<str>,
        part: Limit,
        wait: Duration,
        now: Duration,
    ) -> Decision {
        self.next += 1;
        let id = self.next;
        let end = now + wait;
        let account = self.account(workspace, part, now);
        if account.line.is_empty() && account.bucket.take(part, 1, now) == Loan::Granted(1) {
            return Decision::Granted;
        }
        let turns = account.bucket.turns(part, now);
        if account.line.join(id, end, turns) {
            return account.waits(Ticket { id, end }, part, now);
        }
        account.spent(part, now)
    }

    /// Whether the turn of one that waits has come.
    pub fn poll(
        &mut self,
        workspace: &Arc<str>,
        part: Limit,
        waiting: Ticket,
        now: Duration,
    ) -> Decision {
        let account = self.account(workspace, part, now);
        let Some(place) = account.line.place(waiting.id, waiting.end) else {
            return account.spent(part, now);
        };
        if place == 0 && account.bucket.take(part, 1, now) == Loan::Granted(1) {
            account.line.leave(waiting.id, waiting.end);
            return Decision::Granted;
        }
        if now < waiting.end {
            return account.waits(waiting, part, now);
        }
        // The limit was lowered meanwhile.
        account.line.leave(waiting.id, waiting.end);
        account.spent(part, now)
    }

    /// An operation does not wait any more.
    pub fn cancel(&mut self, workspace: &str, waiting: Ticket) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.line.leave(waiting.id, waiting.end);
        }
    }
}

impl Account {
    fn waits(&mut self, waiting: Ticket, part: Limit, now: Duration) -> Decision {
        let turns = self.bucket.turns(part, now);
        let place = self.line.place(waiting.id, waiting.end);
        let turn = turns.of(place.unwrap_or_default());
        Decision::Queued(waiting, turn.clamp(now + LEAST_RETRY, now + LOOK))
    }

    /// Tells one that does not wait when to come back: after those that do, and after those
    /// that were told before.
    fn spent(&mut self, part: Limit, now: Duration) -> Decision {
        let turns = self.bucket.turns(part, now);
        let queue = turns.of(self.line.len()) - now;
        let wait = self.returns.reserve(queue, turns.gap, now);
        Decision::Exhausted(wait.clamp(LEAST_RETRY, MOST_RETRY))
    }
}
