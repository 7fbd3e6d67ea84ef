//! Lets a workspace's operations through as its limit allows, over all boxes: asks the
//! boxes that lend out its parts, and is one of them. Where the limit is used up, an
//! operation may wait for its turn at a lender.

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

/// Time that a lender gets: ten times what it needs.
const LEND_WAIT: Duration = Duration::from_millis(100);
/// Lenders that are asked for a turn: the second where the first says nothing.
const TURN_TRIES: usize = 2;
/// Part of the time in which an answer is worth most that an operation may wait for its
/// turn, as a divisor: the rest is for its statements.
const TURN_PART: u32 = 4;
/// Purses that are kept; above it, those that say nothing any more are forgotten.
const MANY_PURSES: usize = 4_096;
/// Time between two lines of log about one workspace: each refusal would be one otherwise.
const NOTED: Duration = Duration::from_secs(5);

/// A question to a lender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoanRequest {
    /// `PARTNER/WORKSPACE`.
    pub workspace: Arc<str>,
    pub wanted: u32,
    /// Time for which one operation may wait for its turn; none where what is there now is
    /// asked for.
    #[serde(default)]
    pub within: Option<Duration>,
}

/// A workspace and one of its lenders.
type Pair = (Arc<str>, Arc<str>);

/// A question under way, for which others may wait.
#[derive(Default)]
struct Asked {
    waiting: u32,
    answered: Rc<Notify>,
}

/// Limits as this box knows them.
#[derive(Default)]
pub struct Limits {
    /// What is lent to this box, by workspace.
    purses: RefCell<HashMap<Arc<str>, Allowance>>,
    asked: RefCell<HashMap<Arc<str>, Asked>>,
    /// Until when there is no use in asking a lender for a workspace. Owners that are slow
    /// with a read say nothing of a lender: shunned as those are, 81 of 494 operations of a
    /// workspace at half its limit were refused on a calm day.
    spent: RefCell<HashMap<Pair, Duration>>,
    lender: RefCell<Lender>,
    /// When it was last logged of a workspace that its limit is used up.
    noted: RefCell<HashMap<Arc<str>, Duration>>,
}

impl Context {
    /// Counts an operation of a workspace against its limit; an answer is worth most within
    /// `aim`. Refused, it has not run.
    pub async fn admit(&self, workspace: &Workspace, aim: Duration) -> Result<(), Refusal> {
        let admitted = match self.limit(workspace) {
            Some(limit) => self.admit_limited(workspace, limit, aim).await,
            None => Ok(Admitted::AtOnce),
        };
        match &admitted {
            Ok(Admitted::AtOnce) => self.metrics.operation(&workspace.name, "admitted"),
            Ok(Admitted::InTurn) => self.metrics.operation(&workspace.name, "waited"),
            Err(refusal) => {
                self.metrics.operation(&workspace.name, "over limit");
                self.note_spent(workspace, refusal);
            }
        }
        admitted.map(|_| ())
    }

    /// A workspace's limit, none where it has none.
    fn limit(&self, workspace: &Workspace) -> Option<Limit> {
        let rate = workspace.rate_per_s?;
        let limit = Limit::new(rate, workspace.burst, self.settings.limit_slack);
        Some(limit.with_overage(self.settings.limit_overage))
    }

    /// Logs that a workspace's limit is used up, now and then.
    fn note_spent(&self, workspace: &Workspace, refusal: &Refusal) {
        if !self.limits.is_worth_a_line(&workspace.name, self.now()) {
            return;
        }
        let retry_after = refusal.retry_after.as_millis();
        let fields: [(_, &dyn std::fmt::Display); 2] =
            [("workspace", &workspace.name), ("retry_ms", &retry_after)];
        events::emit(&self.log, &events::LIMITED, &fields);
    }

    async fn admit_limited(
        &self,
        workspace: &Workspace,
        limit: Limit,
        aim: Duration,
    ) -> Result<Admitted, Refusal> {
        let id = group_id(&workspace.partner, &workspace.name);
        self.limits
            .purse(&id, self.now(), |purse, now| purse.record_operation(now));
        loop {
            let waiting = self.limits.waiting(&id);
            let spend = |purse: &mut Allowance, now| purse.spend(waiting, now);
            let wanted = match self.limits.purse(&id, self.now(), spend) {
                Spending::Paid => return Ok(Admitted::AtOnce),
                Spending::Exhausted(_) if self.settings.limit_waits => {
                    return self.wait_for_turn(&id, limit, aim / TURN_PART).await;
                }
                Spending::Exhausted(wait) => return Err(Refusal::new(Reason::Limit, wait)),
                Spending::Borrow(wanted) => wanted,
            };
            if self.limits.join(&id).await {
                continue;
            }
            let _asking = Asking::new(&self.limits, id.clone());
            let loan = self.borrow(&id, limit, wanted).await;
            self.limits
                .purse(&id, self.now(), |purse, now| purse.record_loan(loan, now));
        }
    }

    /// Waits for a turn at the lender that has one soonest, as far as is known.
    async fn wait_for_turn(
        &self,
        id: &Arc<str>,
        limit: Limit,
        wait: Duration,
    ) -> Result<Admitted, Refusal> {
        let told = self.limits.purse(id, self.now(), Allowance::refusal_wait);
        if let Some(told) = told {
            return Err(Refusal::new(Reason::Limit, told));
        }
        let until = self.now() + wait;
        let boxes = self.boxes.borrow().clone();
        let mut lenders = self.lenders(id, limit, &boxes);
        let spent = |lender: &&Listing| self.limits.spent(id, &lender.name, self.now());
        lenders.sort_by_cached_key(|lender| spent(lender));
        for lender in lenders.into_iter().take(TURN_TRIES) {
            let question = LoanRequest {
                workspace: id.clone(),
                wanted: 1,
                within: Some(until.saturating_sub(self.now())),
            };
            match self.ask(lender, question).await {
                Some(Loan::Granted(_)) => return Ok(Admitted::InTurn),
                Some(Loan::Spent(wait)) => {
                    self.limits.purse(id, self.now(), |purse, now| {
                        purse.record_full_queue(wait, now)
                    });
                    return Err(Refusal::new(Reason::Limit, wait));
                }
                None => self
                    .limits
                    .note_lender(id, &lender.name, self.now() + LENDER_COOLDOWN),
            }
        }
        Err(Refusal::new(Reason::Limit, LENDER_COOLDOWN))
    }

    /// The boxes that lend for a workspace, that of the own failure domain first.
    fn lenders<'a>(&self, id: &str, limit: Limit, boxes: &'a [Listing]) -> Vec<&'a Listing> {
        let mut lenders = lenders(id, boxes);
        lenders.truncate(limit.part_count(lenders.len()));
        lenders.sort_by_key(|lender| lender.domain != self.settings.domain);
        lenders
    }

    /// Asks the lenders in turn, that of the own failure domain first.
    async fn borrow(&self, id: &Arc<str>, limit: Limit, wanted: u32) -> Loan {
        let boxes = self.boxes.borrow().clone();
        let lenders = self.lenders(id, limit, &boxes);
        let mut soonest: Option<Duration> = None;
        for lender in lenders {
            let known = self.limits.spent(id, &lender.name, self.now());
            let loan = match known {
                Some(wait) => Loan::Spent(wait),
                None => {
                    let question = LoanRequest {
                        workspace: id.clone(),
                        wanted,
                        within: None,
                    };
                    let loan = self.ask(lender, question).await;
                    loan.unwrap_or(Loan::Spent(LENDER_COOLDOWN))
                }
            };
            let Loan::Spent(wait) = loan else {
                return loan;
            };
            if known.is_none() {
                let until = self.now() + wait;
                self.limits.note_lender(id, &lender.name, until);
            }
            soonest = Some(soonest.map_or(wait, |known| known.min(wait)));
        }
        Loan::Spent(soonest.unwrap_or(LENDER_COOLDOWN))
    }

    /// A lender's answer, none where it gives none.
    async fn ask(&self, lender: &Listing, question: LoanRequest) -> Option<Loan> {
        if lender.name == self.settings.name {
            return self.lend(&question).await;
        }
        let wait = LEND_WAIT + question.within.unwrap_or_default();
        peers::borrow(self, &lender.address, &question, wait).await
    }

    /// Lends out of the part that this box lends, in turn where that is asked for; none where
    /// it is no lender of the workspace, as far as it knows.
    pub async fn lend(&self, question: &LoanRequest) -> Option<Loan> {
        let id = &question.workspace;
        let now = self.now();
        let part = self.part(id)?;
        let Some(wait) = question.within else {
            let mut lender = self.limits.lender.borrow_mut();
            return Some(lender.lend(id, part, question.wanted, now));
        };
        let place = self.limits.lender.borrow_mut().enqueue(id, part, wait, now);
        let (waiting, mut turn) = match place {
            Decision::Queued(waiting, turn) => (waiting, turn),
            Decision::Granted => return Some(Loan::Granted(1)),
            Decision::Exhausted(wait) => return Some(Loan::Spent(wait)),
        };
        let _in_line = InLine {
            limits: &self.limits,
            id,
            waiting,
        };
        loop {
            tokio::time::sleep(turn.saturating_sub(self.now())).await;
            let part = self.part(id)?;
            let now = self.now();
            let place = self.limits.lender.borrow_mut().poll(id, part, waiting, now);
            match place {
                Decision::Queued(_, next) => turn = next,
                Decision::Granted => return Some(Loan::Granted(1)),
                Decision::Exhausted(wait) => return Some(Loan::Spent(wait)),
            }
        }
    }

    /// The part of a workspace's limit that this box lends.
    fn part(&self, id: &Arc<str>) -> Option<Limit> {
        let workspace = self.snapshot.borrow().workspaces.get(id).cloned();
        let limit = self.limit(&*workspace?)?;
        let boxes = self.boxes.borrow().clone();
        let lenders = lenders(id, &boxes);
        let parts = limit.part_count(lenders.len());
        let own = |lender: &&Listing| lender.name == self.settings.name;
        lenders.into_iter().take(parts).find(own)?;
        Some(limit.part(parts))
    }
}

/// How an operation was let through.
enum Admitted {
    AtOnce,
    InTurn,
}

/// Takes an operation out of its line when whoever waits for it goes away.
struct InLine<'a> {
    limits: &'a Limits,
    id: &'a str,
    waiting: Ticket,
}

impl Drop for InLine<'_> {
    fn drop(&mut self) {
        let mut lender = self.limits.lender.borrow_mut();
        lender.cancel(self.id, self.waiting);
    }
}

/// Ends a question under way, however it ends.
struct Asking<'a> {
    limits: &'a Limits,
    id: Arc<str>,
}

impl<'a> Asking<'a> {
    fn new(limits: &'a Limits, id: Arc<str>) -> Self {
        limits
            .asked
            .borrow_mut()
            .insert(id.clone(), Asked::default());
        Self { limits, id }
    }
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        let asked = self.limits.asked.borrow_mut().remove(&self.id);
        if let Some(asked) = asked {
            asked.answered.notify_waiters();
        }
    }
}

impl Limits {
    /// Takes a new list of boxes for the box of this name.
    pub fn set_boxes(&self, name: &str, boxes: &[Listing], now: Duration) {
        self.lender.borrow_mut().set_boxes(name, boxes, now);
    }

    fn purse<T>(
        &self,
        id: &Arc<str>,
        now: Duration,
        act: impl FnOnce(&mut Allowance, Duration) -> T,
    ) -> T {
        let mut purses = self.purses.borrow_mut();
        if purses.len() >= MANY_PURSES && !purses.contains_key(id) {
            purses.retain(|_, purse| !purse.is_expired(now));
        }
        act(purses.entry(id.clone()).or_default(), now)
    }

    /// How many wait for the answer to a question under way.
    fn waiting(&self, id: &str) -> u32 {
        self.asked.borrow().get(id).map_or(0, |asked| asked.waiting)
    }

    /// Waits for the answer to a question under way. False where there is none.
    async fn join(&self, id: &str) -> bool {
        let answered = {
            let mut asked = self.asked.borrow_mut();
            let Some(asked) = asked.get_mut(id) else {
                return false;
            };
            asked.waiting += 1;
            asked.answered.clone()
        };
        answered.notified().await;
        true
    }

    /// How long there is no use in asking a lender, none where there is.
    fn spent(&self, id: &Arc<str>, lender: &Arc<str>, now: Duration) -> Option<Duration> {
        let spent = self.spent.borrow();
        let until = *spent.get(&(id.clone(), lender.clone()))?;
        (now < until).then(|| until - now)
    }

    fn note_lender(&self, id: &Arc<str>, lender: &Arc<str>, until: Duration) {
        let mut spent = self.spent.borrow_mut();
        if spent.len() >= MANY_PURSES {
            spent.clear();
        }
        spent.insert((id.clone(), lender.clone()), until);
    }

    fn is_worth_a_line(&self, workspace: &Arc<str>, now: Duration) -> bool {
        let mut noted = self.noted.borrow_mut();
        noted.retain(|_, at| now < *at + NOTED);
        let first = !noted.contains_key(workspace);
        if first {
            noted.insert(workspace.clone(), now);
        }
        first
    }
}
