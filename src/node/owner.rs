//! Serves exchanges on the members of the groups that this box owns.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::context::Context;
use super::exchange::{Effect, Exchange, Failure, Reply, Server, Status};
use super::message::{
    ConfirmRequest, Denial, Grant, Incarnation, Message, SlotRequest, Unconfirmed,
};
use super::once;
use super::pool::{Connection, Pool};
use super::slot::{Lease, Slot};
use crate::borders::upstream::{Answer, ConnectError, Rejection, UpstreamError, Verdict};
use crate::decisions::budget::Budget;
use crate::decisions::confirmation::Outcome;
use crate::decisions::group::{Event, Reason, Refusal, Target, Via};
use crate::decisions::position::Position;
use crate::events;

/// Delay before a statement that did not run is retried.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time after which a statement on a suspected member is abandoned.
const SUSPECTED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of attempts at a read that can time out within its time limit.
const MAX_READ_ATTEMPTS: u32 = 3;
/// Timeout of the rollback of an abandoned transaction, after which its connection is closed.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a caller may try again if this box reaches no majority.
const CUT_OFF_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Minimum time after which a caller may try again once the retries are exhausted.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The part of a box that serves exchanges as an owner, for its own and other boxes' callers.
pub struct Owner {
    pub context: Rc<Context>,
    pub pool: Rc<Pool>,
    leases: RefCell<HashMap<u64, Lease>>,
    next_id: Cell<u64>,
    /// Number of other boxes' exchanges in progress.
    peer_exchanges: Cell<usize>,
    budget: RefCell<Budget>,
}

/// Withdraws a slot request if its future is dropped before the answer.
struct PendingRequest<'a> {
    context: &'a Context,
    group: &'a Arc<str>,
    id: u64,
    answered: bool,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let _ = self.context.decisions.send(Message::Withdraw {
            group: self.group.clone(),
            id: self.id,
        });
    }
}

impl Owner {
    pub fn new(context: Rc<Context>, pool: Rc<Pool>) -> Self {
        let settings = &context.settings;
        let budget = Budget::new(settings.retry_percent, settings.max_saved_retries);
        Self {
            context,
            pool,
            leases: RefCell::default(),
            // Other boxes may still hold ids of an earlier start, which must name nothing here.
            next_id: Cell::new(rand::random()),
            peer_exchanges: Cell::new(0),
            budget: RefCell::new(budget),
        }
    }

    fn take_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        id
    }

    /// Serves one exchange.
    pub async fn serve(&self, exchange: &Exchange) -> Result<Reply, Failure> {
        if let Some(id) = exchange.lease {
            return self.serve_pinned(id, exchange).await;
        }
        let deadline = self.context.now() + exchange.patience;
        match &exchange.once {
            Some(key) => once::serve(self, exchange, key, deadline).await,
            None => self.serve_new(exchange, deadline).await,
        }
    }

    /// Serves an exchange of another box. A box that shuts down only continues open
    /// transactions, so that the other box tries the next owner.
    pub async fn serve_peer(&self, exchange: &Exchange) -> Result<Reply, Failure> {
        if exchange.lease.is_none() && *self.context.shutting_down.borrow() {
            return Err(Failure::NotOwner);
        }
        self.peer_exchanges.set(self.peer_exchanges.get() + 1);
        let served = self.serve(exchange).await;
        self.peer_exchanges.set(self.peer_exchanges.get() - 1);
        served
    }

    /// Whether no exchange of another box is in progress and no connection is pinned.
    pub fn is_idle(&self) -> bool {
        self.peer_exchanges.get() == 0 && self.leases.borrow().is_empty()
    }

    /// Runs an exchange on a member of its group. Retries it if it did not run, or if it is a read
    /// that got no answer.
    async fn serve_new(&self, exchange: &Exchange, deadline: Duration) -> Result<Reply, Failure> {
        let arrived = self.context.now();
        loop {
            let slot = self
                .acquire_slot(exchange, exchange.target, deadline)
                .await?;
            let connection = match self.connect(&slot, exchange).await {
                Ok(connection) => connection,
                Err(retry_after) => {
                    drop(slot);
                    self.await_retry(deadline, retry_after).await?;
                    continue;
                }
            };
            let mut lease = Lease {
                connection,
                slot,
                target: exchange.target,
                wrote: false,
                last_used: arrived,
            };
            match self.run(&mut lease, exchange).await {
                Ok(answer) => match rejection(&answer, exchange) {
                    Some(why) => {
                        self.return_rejected(lease, why);
                        self.await_retry(deadline, RETRY_DELAY).await?;
                    }
                    None => {
                        return self
                            .finish(lease, answer, exchange, arrived, deadline)
                            .await;
                    }
                },
                Err(_) if exchange.effect == Effect::Writes => {
                    return Err(self.unknown_outcome(exchange));
                }
                Err(_) => {
                    drop(lease);
                    if self.await_retry(deadline, RETRY_DELAY).await.is_err() {
                        return Err(Failure::ReadLost);
                    }
                }
            }
        }
    }

    /// Returns the connection of a statement that did not run, and reports the reason.
    fn return_rejected(&self, lease: Lease, why: Rejection) {
        let member = lease.slot.grant.member;
        match why {
            Rejection::Lagging => lease.slot.send_event(Event::ReplicaBehind { member }),
            Rejection::Busy => lease
                .slot
                .send_event(Event::ConnectionLimitReached { member }),
            Rejection::NotPrimary | Rejection::NotPrepared => {
                lease.slot.send_event(Event::ProbeAll)
            }
        }
        self.pool.release(lease.connection);
    }

    /// Waits for a slot at a member that suits `target`.
    pub async fn acquire_slot(
        &self,
        exchange: &Exchange,
        target: Target,
        deadline: Duration,
    ) -> Result<Slot, Failure> {
        let group = &exchange.group;
        let (reply, answer) = oneshot::channel();
        let id = self.take_id();
        let request = SlotRequest {
            id,
            group: group.clone(),
            target,
            floor: exchange.floor,
            deadline,
            aim: exchange.aim,
            flow: exchange.flow.clone(),
            reply,
        };
        let _ = self.context.decisions.send(Message::RequestSlot(request));
        let mut pending = PendingRequest {
            context: &self.context,
            group,
            id,
            answered: false,
        };
        let requested_at = self.context.now();
        let granted = answer.await;
        pending.answered = true;
        let waited = (self.context.now() - requested_at).as_secs_f64() * 1_000.0;
        self.context.metrics.queue_ms.record(waited, &[]);
        let grant = granted.map_err(|_| Failure::NotOwner)?;
        let grant = grant.map_err(|denial| match denial {
            Denial::NotRun(refusal) => Failure::NotRun(refusal),
            Denial::NotOwner => Failure::NotOwner,
        })?;
        Ok(Slot {
            context: self.context.clone(),
            group: group.clone(),
            grant,
            granted_at: self.context.now(),
            occupied_since: self.context.now(),
            idle: false,
        })
    }

    /// Returns a connection for a slot, or the delay after which to try again.
    pub async fn connect(&self, slot: &Slot, exchange: &Exchange) -> Result<Connection, Duration> {
        let workspace = exchange.workspace.as_ref();
        let acquired = self.pool.acquire(&slot.grant.spec, workspace).await;
        acquired.map_err(|error| {
            let member = slot.grant.member;
            match error {
                ConnectError::Lost(_) => slot.send_event(Event::ConnectionLost { member }),
                ConnectError::TimedOut => slot.send_event(Event::ConnectTimedOut { member }),
                ConnectError::WrongMember(_) => slot.send_event(Event::ProbeAll),
                ConnectError::Full(_) => slot.send_event(Event::ConnectionLimitReached { member }),
            }
            let fields: [(_, &dyn std::fmt::Display); 3] = [
                ("group", &slot.group),
                ("member", &slot.grant.spec.name),
                ("error", &error),
            ];
            events::emit(&self.context.log, &events::NO_CONNECTION, &fields);
            RETRY_DELAY
        })
    }

    /// Waits until the next attempt, if the retry budget and the deadline allow one.
    async fn await_retry(&self, deadline: Duration, pause: Duration) -> Result<(), Failure> {
        let too_late = self.context.now() + pause > deadline;
        if too_late || !self.budget.borrow_mut().spend() {
            let wait = pause.max(MIN_RETRY_AFTER);
            return Err(Failure::NotRun(Refusal::new(Reason::Retries, wait)));
        }
        self.context.metrics.retries.add(1, &[]);
        tokio::time::sleep(pause).await;
        Ok(())
    }

    /// Counts and logs an unknown outcome.
    fn unknown_outcome(&self, exchange: &Exchange) -> Failure {
        self.context.metrics.unknown.add(1, &[]);
        events::emit(
            &self.context.log,
            &events::UNKNOWN_OUTCOME,
            &[("group", &exchange.group), ("request", &exchange.trace)],
        );
        Failure::Unknown
    }

    /// Runs an exchange on a connection until the answer arrives, the member is replaced or
    /// silent, or the time limit is over.
    async fn run(&self, lease: &mut Lease, exchange: &Exchange) -> Result<Answer, ()> {
        let Lease {
            connection,
            slot,
            target,
            ..
        } = lease;
        let began = self.context.now();
        let floor = exchange.floor.filter(|_| !slot.grant.primary);
        let task = exchange.task(floor.filter(|_| matches!(target, Target::Replica { .. })));
        let limit = exchange.limit.map(|limit| match exchange.effect {
            Effect::Reads if exchange.lease.is_none() => slot
                .grant
                .read_timeout
                .clamp(limit / MAX_READ_ATTEMPTS, limit),
            _ => limit,
        });
        let timed_out = async {
            match limit {
                Some(limit) => tokio::time::sleep(limit).await,
                None => std::future::pending().await,
            }
        };
        let ended = tokio::select! {
            answer = connection.run(&task) => answer,
            () = member_failed(&mut slot.grant) => {
                Err(UpstreamError::InvalidAnswer("replaced or silent".to_owned()))
            }
            () = timed_out => Err(UpstreamError::TimedOut),
        };
        match ended {
            Ok(answer) => {
                slot.send_event(Event::Answered {
                    member: slot.grant.member,
                    began,
                    position: answer.position,
                    proves_primary: slot.grant.primary
                        && answer.verdict == Verdict::Done
                        && exchange.confirms_primary(),
                });
                self.budget.borrow_mut().earn();
                let took = (self.context.now() - began).as_secs_f64() * 1_000.0;
                self.context.metrics.member_ms.record(took, &[]);
                Ok(answer)
            }
            Err(error) => {
                self.report_lost(slot, exchange, began, &error);
                Err(())
            }
        }
    }

    /// Reports and logs that a statement was not answered.
    fn report_lost(
        &self,
        slot: &Slot,
        exchange: &Exchange,
        began: Duration,
        error: &UpstreamError,
    ) {
        let member = slot.grant.member;
        let after = self.context.now() - began;
        match error {
            UpstreamError::Lost(_) => slot.send_event(Event::ConnectionLost { member }),
            UpstreamError::TimedOut => slot.send_event(Event::AnswerTimedOut { member, after }),
            UpstreamError::InvalidAnswer(_) => {}
        }
        let after = after.as_millis();
        let fields: [(_, &dyn std::fmt::Display); 5] = [
            ("request", &exchange.trace),
            ("group", &exchange.group),
            ("member", &slot.grant.spec.name),
            ("after_ms", &after),
            ("error", error),
        ];
        events::emit(&self.context.log, &events::ANSWER_LOST, &fields);
    }

    /// Confirms an answer where that is needed and releases the connection, unless its
    /// transaction is still open.
    async fn finish(
        &self,
        mut lease: Lease,
        answer: Answer,
        exchange: &Exchange,
        since: Duration,
        deadline: Duration,
    ) -> Result<Reply, Failure> {
        lease.wrote |= exchange.effect == Effect::Writes;
        if answer.status != Some(Status::Idle) {
            return self.pin(lease, answer, exchange, since, deadline).await;
        }
        let Lease {
            connection,
            slot,
            wrote,
            target,
            ..
        } = lease;
        let grant = &slot.grant;
        let member = grant.member;
        let incarnation = grant.incarnation;
        let believed = grant.believed;
        let server = server_role(grant);
        let position = connection.position();
        // A commit that failed or changed nothing has no position, and no write to confirm.
        let unconfirmed = match answer.position {
            Some(position) if wrote && grant.primary => Some(Unconfirmed::Write(position)),
            _ => unconfirmed_read(&slot, target, since, position),
        };
        self.pool.release(connection);
        drop(slot);
        if let Some(unconfirmed) = unconfirmed {
            let confirmation =
                self.confirm(&exchange.group, incarnation, member, unconfirmed, deadline);
            let outcome = confirmation.await;
            self.check_outcome(outcome, unconfirmed, exchange)?;
        }
        Ok(Reply {
            messages: answer.messages,
            status: Some(Status::Idle),
            // A member reports its position only on a change, and the connection remembers it.
            position,
            lease: None,
            server,
            failed: answer.verdict != Verdict::Done,
            believed,
        })
    }

    fn check_outcome(
        &self,
        outcome: Outcome,
        unconfirmed: Unconfirmed,
        exchange: &Exchange,
    ) -> Result<(), Failure> {
        match (outcome, unconfirmed) {
            (Outcome::Confirmed, _) => Ok(()),
            (Outcome::Unknown, Unconfirmed::Write(_)) => Err(self.unknown_outcome(exchange)),
            (Outcome::Unknown, Unconfirmed::Read { .. }) => Err(Failure::NotRun(Refusal {
                via: Via::Owner,
                ..Refusal::new(Reason::CutOff, CUT_OFF_RETRY_AFTER)
            })),
        }
    }

    /// Waits until a majority is known to hold a write, or not to have replaced the primary that
    /// served a read, but not beyond `deadline`.
    pub async fn confirm(
        &self,
        group: &Arc<str>,
        incarnation: Incarnation,
        member: usize,
        unconfirmed: Unconfirmed,
        deadline: Duration,
    ) -> Outcome {
        let before = self.context.now();
        let (reply, answer) = oneshot::channel();
        let request = ConfirmRequest {
            group: group.clone(),
            incarnation,
            member,
            unconfirmed,
            deadline: deadline.max(before + Duration::from_millis(1)),
            reply,
        };
        let _ = self.context.decisions.send(Message::Confirm(request));
        let outcome = answer.await.unwrap_or(Outcome::Unknown);
        let took = self.context.now().saturating_sub(before);
        let milliseconds = took.as_secs_f64() * 1_000.0;
        self.context
            .metrics
            .confirmation_ms
            .record(milliseconds, &[]);
        outcome
    }

    /// Pins the connection for the session's next exchange. The first read of a transaction that
    /// this exchange opened is confirmed like one outside of a transaction.
    async fn pin(
        &self,
        mut lease: Lease,
        answer: Answer,
        exchange: &Exchange,
        since: Duration,
        deadline: Duration,
    ) -> Result<Reply, Failure> {
        let grant = &lease.slot.grant;
        let server = server_role(grant);
        let believed = grant.believed;
        let opened = exchange.setup.opening.is_some();
        if opened
            && let Some(unconfirmed) = unconfirmed_read(&lease.slot, lease.target, since, None)
        {
            let (incarnation, member) = (grant.incarnation, grant.member);
            let confirmation =
                self.confirm(&exchange.group, incarnation, member, unconfirmed, deadline);
            self.check_outcome(confirmation.await, unconfirmed, exchange)?;
        }
        let id = self.take_id();
        lease.last_used = self.context.now();
        if lease.slot.grant.idle_frees_slot {
            lease.slot.set_idle();
        }
        self.leases.borrow_mut().insert(id, lease);
        Ok(Reply {
            messages: answer.messages,
            status: answer.status,
            position: answer.position,
            lease: Some(id),
            server,
            failed: answer.verdict != Verdict::Done,
            believed,
        })
    }

    /// Runs an exchange on the connection pinned for its session.
    async fn serve_pinned(&self, id: u64, exchange: &Exchange) -> Result<Reply, Failure> {
        let pinned = self.leases.borrow_mut().remove(&id);
        let mut lease = pinned.ok_or(Failure::TransactionLost)?;
        lease.slot.resume();
        let now = self.context.now();
        let deadline = now + exchange.patience;
        let wrote = lease.wrote;
        loop {
            match self.run(&mut lease, exchange).await {
                Ok(answer) if answer.verdict == Verdict::Rejection(Rejection::Busy) => {
                    if self.await_retry(deadline, RETRY_DELAY).await.is_err() {
                        self.roll_back(lease);
                        return Err(Failure::TransactionLost);
                    }
                }
                Ok(answer) => return self.finish(lease, answer, exchange, now, deadline).await,
                // A commit without an answer may have taken effect.
                Err(()) if exchange.commits && wrote => return Err(self.unknown_outcome(exchange)),
                Err(()) => return Err(Failure::TransactionLost),
            }
        }
    }

    /// Rolls back the transaction on a pinned connection and releases the connection.
    pub fn abandon_transaction(self: &Rc<Self>, id: u64) {
        let pinned = self.leases.borrow_mut().remove(&id);
        if let Some(lease) = pinned {
            self.roll_back(lease);
        }
    }

    /// Rolls back in the background and returns the connection to the pool.
    fn roll_back(&self, mut lease: Lease) {
        let pool = self.pool.clone();
        tokio::task::spawn_local(async move {
            let done = tokio::time::timeout(ROLLBACK_TIMEOUT, lease.connection.roll_back()).await;
            if let Ok(Ok(())) = done {
                pool.release(lease.connection);
            }
        });
    }

    /// Closes idle connections beyond this box's share.
    pub fn trim(&self) {
        self.pool.trim(&self.context.connection_shares.borrow());
        self.context.idle_connections.set(self.pool.idle_count());
    }

    /// Rolls back the transactions that have been idle for too long.
    pub fn roll_back_expired(&self) {
        let now = self.context.now();
        let mut leases = self.leases.borrow_mut();
        let is_expired = |lease: &Lease| {
            now >= lease.last_used + self.context.idle_transaction_timeout(&lease.slot.group)
        };
        let expired = leases.extract_if(|_, lease| is_expired(lease));
        let expired: Vec<Lease> = expired.map(|(_, lease)| lease).collect();
        drop(leases);
        for lease in expired {
            self.roll_back(lease);
        }
    }
}

fn server_role(grant: &Grant) -> Server {
    match grant.primary {
        true => Server::Primary,
        false => Server::Replica,
    }
}

/// Returns what must be confirmed before the answer to a read is passed on, if anything.
fn unconfirmed_read(
    slot: &Slot,
    target: Target,
    since: Duration,
    position: Option<Position>,
) -> Option<Unconfirmed> {
    let term = slot.grant.term;
    let since = match target {
        Target::Strict => since,
        Target::Replica { max_age } if slot.grant.primary => {
            slot.granted_at.saturating_sub(max_age)
        }
        _ => return None,
    };
    Some(Unconfirmed::Read {
        term,
        since,
        position,
    })
}

/// Returns why a statement did not run, if another member may run it. A read that a replica
/// rejects because it writes is the caller's error.
fn rejection(answer: &Answer, exchange: &Exchange) -> Option<Rejection> {
    let Verdict::Rejection(why) = answer.verdict else {
        return None;
    };
    let reads = matches!(exchange.target, Target::Replica { .. });
    let caller_error = why == Rejection::NotPrimary && reads;
    let ended = answer.status == Some(Status::Idle);
    (ended && !caller_error).then_some(why)
}

/// Waits until the member is replaced as the primary, or suspected for too long.
async fn member_failed(grant: &mut Grant) {
    loop {
        let (term, suspected) = {
            let health = grant.health.borrow_and_update();
            (health.term, health.suspected.get(grant.member).copied())
        };
        if term > grant.term && grant.primary {
            return;
        }
        if suspected == Some(true) {
            let changed = tokio::time::timeout(SUSPECTED_TIMEOUT, grant.health.changed()).await;
            if changed.is_err() {
                return;
            }
            continue;
        }
        if grant.health.changed().await.is_err() {
            return;
        }
    }
}
