//! Enforces the rate limits of workspaces over all boxes.
//!
//! This box borrows operations from the lenders of a workspace's limit, and is itself a lender
//! for other workspaces. If a limit is used up, an operation can wait in a lender's queue.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::context::Context;
use super::peers;
use crate::borders::roster::Listing;
use crate::decisions::group::{Reason, Refusal};
use crate::decisions::limit::{
    Allowance, Decision, LENDER_COOLDOWN, Lender, Limit, Loan, Spending, Ticket, lenders,
};
use crate::declarations::resource::Workspace;
use crate::declarations::snapshot::group_id;
use crate::events;

/// Timeout of a request to a lender, besides the time that the operation may be queued.
const LENDER_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of lenders whose queue an operation tries; the next one is tried if a lender
/// doesn't answer.
const MAX_QUEUE_ATTEMPTS: usize = 2;
/// Divisor of the target latency that gives the longest time in a lender's queue. The rest is left
/// for the statements.
const QUEUE_TIME_DIVISOR: u32 = 4;
/// Number of entries at which a map is cleaned up: expired allowances are removed, and cooldowns
/// are cleared.
const CLEANUP_THRESHOLD: usize = 4_096;
/// Minimum time between two log lines about one workspace's used-up limit.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// A request to a lender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoanRequest {
    /// `PARTNER/WORKSPACE`.
    pub workspace: Arc<str>,
    /// Number of operations to borrow.
    pub wanted: u32,
    /// Time for which one operation may be queued. None borrows only what can be lent at once.
    #[serde(default)]
    pub within: Option<Duration>,
}

/// A workspace and one of its lenders.
type Pair = (Arc<str>, Arc<str>);

/// Borrowing in progress for a workspace.
#[derive(Default)]
struct Pending {
    /// Number of other operations that wait for the answer.
    waiting: u32,
    answered: Rc<Notify>,
}

/// The limits of workspaces, as this box knows them.
#[derive(Default)]
pub struct Limits {
    /// Borrowed operations, by workspace.
    allowances: RefCell<HashMap<Arc<str>, Allowance>>,
    /// Borrowing in progress, by workspace.
    pending: RefCell<HashMap<Arc<str>, Pending>>,
    /// Until when a lender isn't asked for a workspace. Separate from the context's
    /// unresponsive peers, since an owner that is slow with a read may still lend in time: sharing
    /// them refused 81 of 494 operations of a workspace at half its limit.
    cooldowns: RefCell<HashMap<Pair, Duration>>,
    lender: RefCell<Lender>,
    /// When a workspace's used-up limit was last logged.
    logged: RefCell<HashMap<Arc<str>, Duration>>,
}

impl Context {
    /// Admits an operation of a workspace if the workspace's limit allows it, and counts it.
    /// The operation may be queued for a part of `target_latency`.
    pub async fn admit(
        &self,
        workspace: &Workspace,
        target_latency: Duration,
    ) -> Result<(), Refusal> {
        let admitted = match self.limit(workspace) {
            Some(limit) => self.admit_limited(workspace, limit, target_latency).await,
            None => Ok(Admission::Immediate),
        };
        match &admitted {
            Ok(Admission::Immediate) => self.metrics.count_operation(&workspace.name, "admitted"),
            Ok(Admission::Queued) => self.metrics.count_operation(&workspace.name, "waited"),
            Err(refusal) => {
                self.metrics.count_operation(&workspace.name, "over limit");
                self.log_refusal(workspace, refusal);
            }
        }
        admitted.map(|_| ())
    }

    /// Returns the limit of a workspace, if it has one.
    fn limit(&self, workspace: &Workspace) -> Option<Limit> {
        let rate = workspace.rate_per_s?;
        let limit = Limit::new(rate, workspace.burst, self.settings.limit_slack);
        Some(limit.with_overage(self.settings.limit_overage))
    }

    /// Logs that a workspace's limit is used up, unless it was logged lately.
    fn log_refusal(&self, workspace: &Workspace, refusal: &Refusal) {
        if !self.limits.start_log_interval(&workspace.name, self.now()) {
            return;
        }
        let retry_after = refusal.retry_after.as_millis();
        let fields: [(_, &dyn std::fmt::Display); 2] =
            [("workspace", &workspace.name), ("retry_ms", &retry_after)];
        events::emit(&self.log, &events::LIMIT_REACHED, &fields);
    }

    async fn admit_limited(
        &self,
        workspace: &Workspace,
        limit: Limit,
        target_latency: Duration,
    ) -> Result<Admission, Refusal> {
        let id = group_id(&workspace.partner, &workspace.name);
        self.limits
            .with_allowance(&id, self.now(), |allowance, now| {
                allowance.record_operation(now)
            });
        loop {
            let waiting = self.limits.waiting(&id);
            let spend = |allowance: &mut Allowance, now| allowance.spend(waiting, now);
            let wanted = match self.limits.with_allowance(&id, self.now(), spend) {
                Spending::Paid => return Ok(Admission::Immediate),
                Spending::Exhausted(_) if self.settings.queue_over_limit => {
                    return self
                        .wait_in_queue(&id, limit, target_latency / QUEUE_TIME_DIVISOR)
                        .await;
                }
                Spending::Exhausted(wait) => return Err(Refusal::new(Reason::Limit, wait)),
                Spending::Borrow(wanted) => wanted,
            };
            if self.limits.wait_for_pending(&id).await {
                continue;
            }
            let _pending = PendingGuard::new(&self.limits, id.clone());
            let loan = self.borrow(&id, limit, wanted).await;
            self.limits
                .with_allowance(&id, self.now(), |allowance, now| {
                    allowance.record_loan(loan, now)
                });
        }
    }

    /// Waits for a grant in the queue of the lender with the shortest cooldown.
    async fn wait_in_queue(
        &self,
        id: &Arc<str>,
        limit: Limit,
        wait: Duration,
    ) -> Result<Admission, Refusal> {
        let retry_wait = self
            .limits
            .with_allowance(id, self.now(), Allowance::refusal_wait);
        if let Some(retry_wait) = retry_wait {
            return Err(Refusal::new(Reason::Limit, retry_wait));
        }
        let until = self.now() + wait;
        let boxes = self.boxes.borrow().clone();
        let mut lenders = self.lenders(id, limit, &boxes);
        let cooldown = |lender: &&Listing| self.limits.cooldown(id, &lender.name, self.now());
        lenders.sort_by_cached_key(|lender| cooldown(lender));
        for lender in lenders.into_iter().take(MAX_QUEUE_ATTEMPTS) {
            let request = LoanRequest {
                workspace: id.clone(),
                wanted: 1,
                within: Some(until.saturating_sub(self.now())),
            };
            match self.request_loan(lender, request).await {
                Some(Loan::Granted(_)) => return Ok(Admission::Queued),
                Some(Loan::Spent(wait)) => {
                    self.limits
                        .with_allowance(id, self.now(), |allowance, now| {
                            allowance.record_full_queue(wait, now)
                        });
                    return Err(Refusal::new(Reason::Limit, wait));
                }
                None => self
                    .limits
                    .start_cooldown(id, &lender.name, self.now() + LENDER_COOLDOWN),
            }
        }
        Err(Refusal::new(Reason::Limit, LENDER_COOLDOWN))
    }

    /// Returns the lenders of a workspace, those in this box's failure domain first.
    fn lenders<'a>(&self, id: &str, limit: Limit, boxes: &'a [Listing]) -> Vec<&'a Listing> {
        let mut lenders = lenders(id, boxes);
        lenders.truncate(limit.part_count(lenders.len()));
        lenders.sort_by_key(|lender| lender.domain != self.settings.domain);
        lenders
    }

    /// Borrows from the first lender that has something to lend. If none has, returns the
    /// shortest of their waits.
    async fn borrow(&self, id: &Arc<str>, limit: Limit, wanted: u32) -> Loan {
        let boxes = self.boxes.borrow().clone();
        let lenders = self.lenders(id, limit, &boxes);
        let mut shortest: Option<Duration> = None;
        for lender in lenders {
            let cooldown = self.limits.cooldown(id, &lender.name, self.now());
            let loan = match cooldown {
                Some(wait) => Loan::Spent(wait),
                None => {
                    let request = LoanRequest {
                        workspace: id.clone(),
                        wanted,
                        within: None,
                    };
                    let loan = self.request_loan(lender, request).await;
                    loan.unwrap_or(Loan::Spent(LENDER_COOLDOWN))
                }
            };
            let Loan::Spent(wait) = loan else {
                return loan;
            };
            if cooldown.is_none() {
                let until = self.now() + wait;
                self.limits.start_cooldown(id, &lender.name, until);
            }
            shortest = Some(shortest.map_or(wait, |shortest| shortest.min(wait)));
        }
        Loan::Spent(shortest.unwrap_or(LENDER_COOLDOWN))
    }

    /// Returns a lender's answer, if it gives one in time.
    async fn request_loan(&self, lender: &Listing, request: LoanRequest) -> Option<Loan> {
        if lender.name == self.settings.name {
            return self.lend(&request).await;
        }
        let timeout = LENDER_TIMEOUT + request.within.unwrap_or_default();
        peers::borrow(self, &lender.address, &request, timeout).await
    }

    /// Lends operations out of this box's part of a workspace's limit, or queues one operation
    /// until it is granted. None if this box isn't a lender of the workspace, as far as it knows.
    pub async fn lend(&self, request: &LoanRequest) -> Option<Loan> {
        let id = &request.workspace;
        let now = self.now();
        let part = self.part(id)?;
        let Some(wait) = request.within else {
            let mut lender = self.limits.lender.borrow_mut();
            return Some(lender.lend(id, part, request.wanted, now));
        };
        let decision = self.limits.lender.borrow_mut().enqueue(id, part, wait, now);
        let (ticket, mut poll_at) = match decision {
            Decision::Queued(ticket, poll_at) => (ticket, poll_at),
            Decision::Granted => return Some(Loan::Granted(1)),
            Decision::Exhausted(wait) => return Some(Loan::Spent(wait)),
        };
        let _queue_guard = QueueGuard {
            limits: &self.limits,
            id,
            ticket,
        };
        loop {
            tokio::time::sleep(poll_at.saturating_sub(self.now())).await;
            let part = self.part(id)?;
            let now = self.now();
            let decision = self.limits.lender.borrow_mut().poll(id, part, ticket, now);
            match decision {
                Decision::Queued(_, next) => poll_at = next,
                Decision::Granted => return Some(Loan::Granted(1)),
                Decision::Exhausted(wait) => return Some(Loan::Spent(wait)),
            }
        }
    }

    /// Returns the part of a workspace's limit that this box lends.
    fn part(&self, id: &Arc<str>) -> Option<Limit> {
        let workspace = self.snapshot.borrow().workspaces.get(id).cloned();
        let limit = self.limit(&*workspace?)?;
        let boxes = self.boxes.borrow().clone();
        let lenders = lenders(id, &boxes);
        let parts = limit.part_count(lenders.len());
        let is_self = |lender: &&Listing| lender.name == self.settings.name;
        lenders.into_iter().take(parts).find(is_self)?;
        Some(limit.part(parts))
    }
}

/// How an operation was admitted.
enum Admission {
    Immediate,
    /// After waiting in a lender's queue.
    Queued,
}

/// Removes an operation from the queue if its request is dropped.
struct QueueGuard<'a> {
    limits: &'a Limits,
    id: &'a str,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut lender = self.limits.lender.borrow_mut();
        lender.cancel(self.id, self.ticket);
    }
}

/// Marks a workspace's borrowing as pending, and wakes the operations that wait for it when
/// dropped.
struct PendingGuard<'a> {
    limits: &'a Limits,
    id: Arc<str>,
}

impl<'a> PendingGuard<'a> {
    fn new(limits: &'a Limits, id: Arc<str>) -> Self {
        limits
            .pending
            .borrow_mut()
            .insert(id.clone(), Pending::default());
        Self { limits, id }
    }
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        let pending = self.limits.pending.borrow_mut().remove(&self.id);
        if let Some(pending) = pending {
            pending.answered.notify_waiters();
        }
    }
}

impl Limits {
    /// Applies a new list of boxes for the box `name`.
    pub fn set_boxes(&self, name: &str, boxes: &[Listing], now: Duration) {
        self.lender.borrow_mut().set_boxes(name, boxes, now);
    }

    /// Calls `update` with a workspace's allowance.
    fn with_allowance<T>(
        &self,
        id: &Arc<str>,
        now: Duration,
        update: impl FnOnce(&mut Allowance, Duration) -> T,
    ) -> T {
        let mut allowances = self.allowances.borrow_mut();
        if allowances.len() >= CLEANUP_THRESHOLD && !allowances.contains_key(id) {
            allowances.retain(|_, allowance| !allowance.is_expired(now));
        }
        update(allowances.entry(id.clone()).or_default(), now)
    }

    /// Returns how many operations wait for a pending request to the workspace's lenders.
    fn waiting(&self, id: &str) -> u32 {
        self.pending
            .borrow()
            .get(id)
            .map_or(0, |pending| pending.waiting)
    }

    /// Waits for the answer to a pending request. Returns false if none is pending.
    async fn wait_for_pending(&self, id: &str) -> bool {
        let answered = {
            let mut pending = self.pending.borrow_mut();
            let Some(pending) = pending.get_mut(id) else {
                return false;
            };
            pending.waiting += 1;
            pending.answered.clone()
        };
        answered.notified().await;
        true
    }

    /// Returns for how long a lender isn't asked for a workspace, or none if it may be asked.
    fn cooldown(&self, id: &Arc<str>, lender: &Arc<str>, now: Duration) -> Option<Duration> {
        let cooldowns = self.cooldowns.borrow();
        let until = *cooldowns.get(&(id.clone(), lender.clone()))?;
        (now < until).then(|| until - now)
    }

    fn start_cooldown(&self, id: &Arc<str>, lender: &Arc<str>, until: Duration) {
        let mut cooldowns = self.cooldowns.borrow_mut();
        if cooldowns.len() >= CLEANUP_THRESHOLD {
            cooldowns.clear();
        }
        cooldowns.insert((id.clone(), lender.clone()), until);
    }

    /// Starts a log interval for a workspace. Returns false if one is running.
    fn start_log_interval(&self, workspace: &Arc<str>, now: Duration) -> bool {
        let mut logged = self.logged.borrow_mut();
        logged.retain(|_, at| now < *at + LOG_INTERVAL);
        let first = !logged.contains_key(workspace);
        if first {
            logged.insert(workspace.clone(), now);
        }
        first
    }
}
