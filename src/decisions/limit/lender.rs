//! Lends the parts of workspaces' limits that this box is a lender of.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Bucket, Limit, Loan, MAX_RETRY, MIN_RETRY, Queue, lenders};
use crate::borders::roster::Listing;
use crate::decisions::retry_after::Schedule;

/// Longest time between two polls of a queued operation, so that one that was evicted from the
/// queue learns of it soon.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// An operation in a lender's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    id: u64,
    /// Latest time at which the operation can use a grant.
    deadline: Duration,
}

/// Decision on an operation whose limit may be used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The operation may run.
    Granted,
    /// The operation is queued and should be polled at this time.
    Queued(Ticket, Duration),
    /// No grant is expected in time; a retry can succeed after this wait.
    Exhausted(Duration),
}

/// A part of a workspace's limit, and the operations that wait for it.
#[derive(Clone, Debug)]
struct Account {
    bucket: Bucket,
    queue: Queue,
    retry_schedule: Schedule,
}

/// This box as a lender, with one account for each workspace.
#[derive(Clone, Debug, Default)]
pub struct Lender {
    accounts: HashMap<Arc<str>, Account>,
    /// Since when this box may have been a lender: its start, or the last change of the list
    /// of boxes.
    since: Duration,
    last_id: u64,
}

impl Lender {
    /// Applies a new list of boxes for the box `name`. Drops the accounts of workspaces for
    /// which it is no lender any more: their buckets would fill up while another box lends in
    /// its place, and the limit would be spent twice once it lends again.
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
            queue: Queue::default(),
            retry_schedule: Schedule::default(),
        })
    }

    /// Lends up to `wanted` operations out of a part of a workspace's limit, without waiting.
    /// Lends none while others are queued.
    pub fn lend(&mut self, workspace: &Arc<str>, part: Limit, wanted: u32, now: Duration) -> Loan {
        let account = self.account(workspace, part, now);
        if account.queue.is_empty() {
            return account.bucket.take(part, wanted, now);
        }
        let forecast = account.bucket.forecast(part, now);
        let grant = forecast.grant_at(account.queue.len());
        Loan::Spent((grant - now).clamp(MIN_RETRY, MAX_RETRY))
    }

    /// Grants one operation, or queues it for at most `wait`.
    pub fn enqueue(
        &mut self,
        workspace: &Arc<str>,
        part: Limit,
        wait: Duration,
        now: Duration,
    ) -> Decision {
        self.last_id += 1;
        let id = self.last_id;
        let deadline = now + wait;
        let account = self.account(workspace, part, now);
        if account.queue.is_empty() && account.bucket.take(part, 1, now) == Loan::Granted(1) {
            return Decision::Granted;
        }
        let forecast = account.bucket.forecast(part, now);
        if account.queue.insert(id, deadline, forecast) {
            return account.queued(Ticket { id, deadline }, part, now);
        }
        account.exhausted(part, now)
    }

    /// Decides again on a queued operation.
    pub fn poll(
        &mut self,
        workspace: &Arc<str>,
        part: Limit,
        ticket: Ticket,
        now: Duration,
    ) -> Decision {
        let account = self.account(workspace, part, now);
        let Some(index) = account.queue.index_of(ticket.id, ticket.deadline) else {
            return account.exhausted(part, now);
        };
        if index == 0 && account.bucket.take(part, 1, now) == Loan::Granted(1) {
            account.queue.remove(ticket.id, ticket.deadline);
            return Decision::Granted;
        }
        if now < ticket.deadline {
            return account.queued(ticket, part, now);
        }
        // The limit was lowered while the operation waited.
        account.queue.remove(ticket.id, ticket.deadline);
        account.exhausted(part, now)
    }

    /// Removes an operation from its queue.
    pub fn cancel(&mut self, workspace: &str, ticket: Ticket) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.queue.remove(ticket.id, ticket.deadline);
        }
    }
}

impl Account {
    fn queued(&mut self, ticket: Ticket, part: Limit, now: Duration) -> Decision {
        let forecast = self.bucket.forecast(part, now);
        let index = self.queue.index_of(ticket.id, ticket.deadline);
        let grant = forecast.grant_at(index.unwrap_or_default());
        Decision::Queued(
            ticket,
            grant.clamp(now + MIN_RETRY, now + MAX_POLL_INTERVAL),
        )
    }

    /// Reserves a retry time after the grants of the queued operations and after the retry
    /// times given before.
    fn exhausted(&mut self, part: Limit, now: Duration) -> Decision {
        let forecast = self.bucket.forecast(part, now);
        let queue = forecast.grant_at(self.queue.len()) - now;
        let wait = self.retry_schedule.reserve(queue, forecast.gap, now);
        Decision::Exhausted(wait.clamp(MIN_RETRY, MAX_RETRY))
    }
}
