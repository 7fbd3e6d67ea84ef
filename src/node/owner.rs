//! Serves exchanges on the members of the groups this box owns.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::context::Context;
use super::exchange::{Effect, Exchange, Failure, Reply, Server, Status};
use super::message::{Ask, Denial, Grant, Incarnation, Message, Settle, SettleNeed};
use super::once;
use super::place::{Lease, Place};
use super::pool::{Pool, Pooled};
use crate::borders::upstream::{Answer, ConnectError, Rejection, UpstreamError, Verdict};
use crate::decisions::budget::Budget;
use crate::decisions::confirmation::Outcome;
use crate::decisions::group::{Event, Reason, Refusal, Target, Via};
use crate::decisions::position::Position;
use crate::events;

/// Time before a statement that did not run is placed again.
const PAUSE: Duration = Duration::from_millis(10);
/// A statement on a suspected member is given up after this time.
const SUSPECT_PATIENCE: Duration = Duration::from_millis(1_500);
/// A read without an answer is not repeated elsewhere before this part of its limit.
const READ_TRIES: u32 = 3;
/// Time for a rollback that nobody waits for; then the connection is closed.
const ROLL_BACK_WAIT: Duration = Duration::from_secs(1);
/// What a caller is told to wait when no majority can be seen.
const CUT_OFF_RETRY: Duration = Duration::from_secs(1);
/// What a caller is told to wait when no better time is known.
const LEAST_RETRY: Duration = Duration::from_millis(100);

/// The owner half of a box.
pub struct Owner {
    pub context: Rc<Context>,
    pub pool: Rc<Pool>,
    leases: RefCell<HashMap<u64, Lease>>,
    next: Cell<u64>,
    /// Exchanges of other boxes under way.
    serving: Cell<usize>,
    budget: RefCell<Budget>,
}

/// Takes a question back when whoever asked it goes away before the answer.
struct Waiting<'a> {
    context: &'a Context,
    group: &'a Arc<str>,
    id: u64,
    answered: bool,
}

impl Drop for Waiting<'_> {
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
        let budget = Budget::new(settings.retry_percent, settings.retry_most);
        Self {
            context,
            pool,
            leases: RefCell::default(),
            next: Cell::new(1),
            serving: Cell::new(0),
            budget: RefCell::new(budget),
        }
    }

    fn next(&self) -> u64 {
        let id = self.next.get();
        self.next.set(id + 1);
        id
    }

    /// Serves one exchange.
    pub async fn serve(&self, exchange: &Exchange) -> Result<Reply, Failure> {
        if let Some(id) = exchange.lease {
            return self.go_on(id, exchange).await;
        }
        let deadline = self.context.now() + exchange.patience;
        match &exchange.once {
            Some(key) => once::serve(self, exchange, key, deadline).await,
            None => self.fresh(exchange, deadline).await,
        }
    }

    /// Serves an exchange of another box. A leaving box takes none that begins
    /// something: the other box goes to the next owner.
    pub async fn serve_peer(&self, exchange: &Exchange) -> Result<Reply, Failure> {
        if exchange.lease.is_none() && *self.context.leaving.borrow() {
            return Err(Failure::NotOwner);
        }
        self.serving.set(self.serving.get() + 1);
        let served = self.serve(exchange).await;
        self.serving.set(self.serving.get() - 1);
        served
    }

    /// Whether nothing is under way or held for other boxes.
    pub fn is_idle(&self) -> bool {
        self.serving.get() == 0 && self.leases.borrow().is_empty()
    }

    async fn fresh(&self, exchange: &Exchange, deadline: Duration) -> Result<Reply, Failure> {
        let arrived = self.context.now();
        loop {
            let place = self.place(exchange, exchange.target, deadline).await?;
            let connection = match self.connect(&place, exchange).await {
                Ok(connection) => connection,
                Err(retry_after) => {
                    drop(place);
                    self.again(deadline, retry_after).await?;
                    continue;
                }
            };
            let mut lease = Lease {
                connection,
                place,
                target: exchange.target,
                wrote: false,
                touched: arrived,
            };
            match self.run(&mut lease, exchange).await {
                Ok(answer) => match unrun(&answer, exchange) {
                    Some(why) => {
                        self.take_back(lease, why);
                        self.again(deadline, PAUSE).await?;
                    }
                    None => {
                        return self
                            .finish(lease, answer, exchange, arrived, deadline)
                            .await;
                    }
                },
                Err(_) if exchange.effect == Effect::Writes => {
                    return Err(self.unknown(exchange));
                }
                Err(_) => {
                    drop(lease);
                    if self.again(deadline, PAUSE).await.is_err() {
                        return Err(Failure::ReadLost);
                    }
                }
            }
        }
    }

    /// Gives back a connection whose statement did not run, and says why.
    fn take_back(&self, lease: Lease, why: Rejection) {
        let member = lease.place.grant.member;
        match why {
            Rejection::Lagging => lease.place.tell(Event::ReplicaBehind { member }),
            Rejection::Busy => lease.place.tell(Event::ConnectionLimitReached { member }),
            Rejection::NotPrimary | Rejection::NotPrepared => lease.place.tell(Event::ProbeAll),
        }
        self.pool.put(&lease.place.grant.spec, lease.connection);
    }

    /// Asks the loop for a place at a member.
    pub async fn place(
        &self,
        exchange: &Exchange,
        target: Target,
        deadline: Duration,
    ) -> Result<Place, Failure> {
        let group = &exchange.group;
        let (reply, answer) = oneshot::channel();
        let id = self.next();
        let ask = Ask {
            id,
            group: group.clone(),
            target,
            floor: exchange.floor,
            deadline,
            aim: exchange.aim,
            flow: exchange.flow.clone(),
            reply,
        };
        let _ = self.context.decisions.send(Message::Ask(ask));
        let mut waiting = Waiting {
            context: &self.context,
            group,
            id,
            answered: false,
        };
        let asked = self.context.now();
        let granted = answer.await;
        waiting.answered = true;
        let waited = (self.context.now() - asked).as_secs_f64() * 1_000.0;
        self.context.metrics.queue_ms.record(waited, &[]);
        let grant = granted.map_err(|_| Failure::NotOwner)?;
        let grant = grant.map_err(|denial| match denial {
            Denial::NotRun(refusal) => Failure::NotRun(refusal),
            Denial::NotOwner => Failure::NotOwner,
        })?;
        Ok(Place {
            context: self.context.clone(),
            group: group.clone(),
            grant,
            began: self.context.now(),
            turn: self.context.now(),
            resting: false,
        })
    }

    /// A connection for a place; an error says when to try again.
    pub async fn connect(&self, place: &Place, exchange: &Exchange) -> Result<Pooled, Duration> {
        let workspace = exchange.workspace.as_ref();
        let taken = self.pool.take(&place.grant.spec, workspace).await;
        taken.map_err(|error| {
            let member = place.grant.member;
            match error {
                ConnectError::Lost(_) => place.tell(Event::ConnectionLost { member }),
                ConnectError::TimedOut => place.tell(Event::ConnectTimedOut { member }),
                ConnectError::WrongMember(_) => place.tell(Event::ProbeAll),
                ConnectError::Full(_) => place.tell(Event::ConnectionLimitReached { member }),
            }
            let fields: [(_, &dyn std::fmt::Display); 3] = [
                ("group", &place.group),
                ("member", &place.grant.spec.name),
                ("error", &error),
            ];
            events::emit(&self.context.log, &events::NO_CONNECTION, &fields);
            PAUSE
        })
    }

    /// Waits for another try, if the budget and the deadline allow one.
    async fn again(&self, deadline: Duration, pause: Duration) -> Result<(), Failure> {
        let late = self.context.now() + pause > deadline;
        if late || !self.budget.borrow_mut().spend() {
            let wait = pause.max(LEAST_RETRY);
            return Err(Failure::NotRun(Refusal::new(Reason::Retries, wait)));
        }
        self.context.metrics.retries.add(1, &[]);
        tokio::time::sleep(pause).await;
        Ok(())
    }

    fn unknown(&self, exchange: &Exchange) -> Failure {
        self.context.metrics.unknown.add(1, &[]);
        events::emit(
            &self.context.log,
            &events::UNKNOWN_OUTCOME,
            &[("group", &exchange.group), ("request", &exchange.trace)],
        );
        Failure::Unknown
    }

    /// Runs an exchange on a held connection until its answer, the member's end, or
    /// the end of the time it has.
    async fn run(&self, lease: &mut Lease, exchange: &Exchange) -> Result<Answer, ()> {
        let Lease {
            connection,
            place,
            target,
            ..
        } = lease;
        let began = self.context.now();
        let floor = exchange.floor.filter(|_| !place.grant.primary);
        let task = exchange.task(floor.filter(|_| matches!(target, Target::Replica { .. })));
        let limit = exchange.limit.map(|limit| match exchange.effect {
            Effect::Reads if exchange.lease.is_none() => {
                place.grant.patience.clamp(limit / READ_TRIES, limit)
            }
            _ => limit,
        });
        let late = async {
            match limit {
                Some(limit) => tokio::time::sleep(limit).await,
                None => std::future::pending().await,
            }
        };
        let ended = tokio::select! {
            answer = connection.run(&task) => answer,
            () = given_up(&mut place.grant) => {
                Err(UpstreamError::InvalidAnswer("replaced or silent".to_owned()))
            }
            () = late => Err(UpstreamError::TimedOut),
        };
        match ended {
            Ok(answer) => {
                place.tell(Event::Answered {
                    member: place.grant.member,
                    began,
                    position: answer.position,
                    proves_primary: place.grant.primary
                        && answer.verdict == Verdict::Done
                        && exchange.confirms_primary(),
                });
                self.budget.borrow_mut().earn();
                let took = (self.context.now() - began).as_secs_f64() * 1_000.0;
                self.context.metrics.member_ms.record(took, &[]);
                Ok(answer)
            }
            Err(error) => {
                self.note_lost(place, exchange, began, &error);
                Err(())
            }
        }
    }

    fn note_lost(
        &self,
        place: &Place,
        exchange: &Exchange,
        began: Duration,
        error: &UpstreamError,
    ) {
        let member = place.grant.member;
        let after = self.context.now() - began;
        match error {
            UpstreamError::Lost(_) => place.tell(Event::ConnectionLost { member }),
            UpstreamError::TimedOut => place.tell(Event::AnswerTimedOut { member, after }),
            UpstreamError::InvalidAnswer(_) => {}
        }
        let after = after.as_millis();
        let fields: [(_, &dyn std::fmt::Display); 5] = [
            ("request", &exchange.trace),
            ("group", &exchange.group),
            ("member", &place.grant.spec.name),
            ("after_ms", &after),
            ("error", error),
        ];
        events::emit(&self.context.log, &events::STATEMENT_LOST, &fields);
    }

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
            return self.keep(lease, answer, exchange, since, deadline).await;
        }
        let Lease {
            connection,
            place,
            wrote,
            target,
            ..
        } = lease;
        let grant = &place.grant;
        let member = grant.member;
        let incarnation = grant.incarnation;
        let believed = grant.believed;
        let server = server(grant);
        let position = connection.position();
        // A commit that failed or that wrote nothing promises nothing.
        let need = match answer.position {
            Some(position) if wrote && grant.primary => Some(SettleNeed::Wrote(position)),
            _ => read_need(&place, target, since, position),
        };
        self.pool.put(&place.grant.spec, connection);
        drop(place);
        if let Some(need) = need {
            let settled = self.settle(&exchange.group, incarnation, member, need, deadline);
            let outcome = settled.await;
            self.after_settling(outcome, need, exchange)?;
        }
        Ok(Reply {
            messages: answer.messages,
            status: Some(Status::Idle),
            // A member reports its position when it changed: unreported, it is
            // the one that the connection knew.
            position,
            lease: None,
            server,
            failed: answer.verdict != Verdict::Done,
            believed,
        })
    }

    fn after_settling(
        &self,
        outcome: Outcome,
        need: SettleNeed,
        exchange: &Exchange,
    ) -> Result<(), Failure> {
        match (outcome, need) {
            (Outcome::Confirmed, _) => Ok(()),
            (Outcome::Unknown, SettleNeed::Wrote(_)) => Err(self.unknown(exchange)),
            (Outcome::Unknown, SettleNeed::Read { .. }) => Err(Failure::NotRun(Refusal {
                via: Via::Owner,
                ..Refusal::new(Reason::CutOff, CUT_OFF_RETRY)
            })),
        }
    }

    /// Waits until a majority is seen to hold or know what `need` says.
    pub async fn settle(
        &self,
        group: &Arc<str>,
        incarnation: Incarnation,
        member: usize,
        need: SettleNeed,
        deadline: Duration,
    ) -> Outcome {
        let before = self.context.now();
        let (reply, answer) = oneshot::channel();
        let settle = Settle {
            group: group.clone(),
            incarnation,
            member,
            need,
            deadline: deadline.max(before + Duration::from_millis(1)),
            reply,
        };
        let _ = self.context.decisions.send(Message::Settle(settle));
        let outcome = answer.await.unwrap_or(Outcome::Unknown);
        let took = self.context.now().saturating_sub(before);
        let milliseconds = took.as_secs_f64() * 1_000.0;
        self.context
            .metrics
            .confirmation_ms
            .record(milliseconds, &[]);
        outcome
    }

    /// Keeps the connection for the session's next exchange. What a read in the
    /// transaction saw is checked as outside of one, where the codec asks for it.
    async fn keep(
        &self,
        mut lease: Lease,
        answer: Answer,
        exchange: &Exchange,
        since: Duration,
        deadline: Duration,
    ) -> Result<Reply, Failure> {
        let grant = &lease.place.grant;
        let server = server(grant);
        let believed = grant.believed;
        let opened = exchange.setup.opening.is_some();
        if opened && let Some(need) = read_need(&lease.place, lease.target, since, None) {
            let (incarnation, member) = (grant.incarnation, grant.member);
            let settled = self.settle(&exchange.group, incarnation, member, need, deadline);
            self.after_settling(settled.await, need, exchange)?;
        }
        let id = self.next();
        lease.touched = self.context.now();
        if lease.place.grant.rests {
            lease.place.rest();
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

    /// Goes on with a session's held connection.
    async fn go_on(&self, id: u64, exchange: &Exchange) -> Result<Reply, Failure> {
        let held = self.leases.borrow_mut().remove(&id);
        let mut lease = held.ok_or(Failure::TransactionLost)?;
        lease.place.resume();
        let now = self.context.now();
        let deadline = now + exchange.patience;
        let wrote = lease.wrote;
        loop {
            match self.run(&mut lease, exchange).await {
                Ok(answer) if answer.verdict == Verdict::Rejection(Rejection::Busy) => {
                    if self.again(deadline, PAUSE).await.is_err() {
                        self.roll_back(lease);
                        return Err(Failure::TransactionLost);
                    }
                }
                Ok(answer) => return self.finish(lease, answer, exchange, now, deadline).await,
                // Lost at its end, a transaction that wrote may be committed or not.
                Err(()) if exchange.commits && wrote => return Err(self.unknown(exchange)),
                Err(()) => return Err(Failure::TransactionLost),
            }
        }
    }

    /// Gives up a held connection; the member rolls back.
    pub fn abandon(self: &Rc<Self>, id: u64) {
        let held = self.leases.borrow_mut().remove(&id);
        if let Some(lease) = held {
            self.roll_back(lease);
        }
    }

    /// Rolls back and returns the connection; nobody waits for it.
    fn roll_back(&self, mut lease: Lease) {
        let pool = self.pool.clone();
        tokio::task::spawn_local(async move {
            let done = tokio::time::timeout(ROLL_BACK_WAIT, lease.connection.roll_back()).await;
            if let Ok(Ok(())) = done {
                pool.put(&lease.place.grant.spec, lease.connection);
            }
        });
    }

    /// Closes idle connections that this box has no share in.
    pub fn trim(&self) {
        self.pool.trim(&self.context.owned.borrow());
        self.context.idle.set(self.pool.idle());
    }

    /// Gives up connections held without a statement for too long.
    pub fn reap(&self) {
        let now = self.context.now();
        let mut leases = self.leases.borrow_mut();
        let rests =
            |lease: &Lease| now >= lease.touched + self.context.lease_idle(&lease.place.group);
        let late = leases.extract_if(|_, lease| rests(lease));
        let late: Vec<Lease> = late.map(|(_, lease)| lease).collect();
        drop(leases);
        for lease in late {
            self.roll_back(lease);
        }
    }
}

fn server(grant: &Grant) -> Server {
    match grant.primary {
        true => Server::Primary,
        false => Server::Replica,
    }
}

/// What must be seen before a read's answer may be given out.
fn read_need(
    place: &Place,
    target: Target,
    since: Duration,
    position: Option<Position>,
) -> Option<SettleNeed> {
    let term = place.grant.term;
    let since = match target {
        Target::Strict => since,
        Target::Replica { max_age } if place.grant.primary => place.began.saturating_sub(max_age),
        _ => return None,
    };
    Some(SettleNeed::Read {
        term,
        since,
        position,
    })
}

/// Why a statement did not run, where another member may run it.
fn unrun(answer: &Answer, exchange: &Exchange) -> Option<Rejection> {
    let Verdict::Rejection(why) = answer.verdict else {
        return None;
    };
    let reads = matches!(exchange.target, Target::Replica { .. });
    let theirs = why == Rejection::NotPrimary && reads;
    let ended = answer.status == Some(Status::Idle);
    (ended && !theirs).then_some(why)
}

/// Returns when the member is replaced, or suspected for too long.
async fn given_up(grant: &mut Grant) {
    loop {
        let (term, suspected) = {
            let health = grant.health.borrow_and_update();
            (health.term, health.suspected.get(grant.member).copied())
        };
        if term > grant.term && grant.primary {
            return;
        }
        if suspected == Some(true) {
            let changed = tokio::time::timeout(SUSPECT_PATIENCE, grant.health.changed()).await;
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
