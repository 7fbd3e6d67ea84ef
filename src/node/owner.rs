//! Serves exchanges on the members of the groups this box owns.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::context::Context;
use super::exchange::{Effect, Exchange, Failure, Reply, Server, Status};
use super::message::{Ask, Denial, Grant, Incarnation, Message, Settle, SettleNeed};
use super::once;
use super::pool::{ConnectError, Connection, Pool};
use super::relay::{self, Answer};
use crate::decisions::budget::Budget;
use crate::decisions::confirm::Outcome;
use crate::decisions::group::{Event, Reason, Refusal, Target};
use crate::decisions::position::Position;
use crate::events;
use crate::wire::channel::ChannelError;

/// SQLSTATE of a member that is not the primary and takes no write.
const READ_ONLY: &str = "25006";
const PAUSE: Duration = Duration::from_millis(10);
/// A statement on a suspected member is given up after this time.
const SUSPECT_PATIENCE: Duration = Duration::from_millis(1_500);

/// A place at a member, given back when it is dropped.
pub struct Place {
    context: Rc<Context>,
    group: Arc<str>,
    pub grant: Grant,
    began: Duration,
    position: Option<Position>,
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.context.now();
        let event = Event::Release {
            member: self.grant.member,
            began: self.began,
            took: now.saturating_sub(self.began),
            position: self.position,
        };
        self.context
            .tell(&self.group, self.grant.incarnation, event);
    }
}

impl Place {
    fn tell(&self, event: Event) {
        let incarnation = self.grant.incarnation;
        self.context.tell(&self.group, incarnation, event);
    }
}

/// A connection held for a session between its exchanges.
pub struct Lease {
    pub connection: Connection,
    pub place: Place,
    pub target: Target,
    wrote: bool,
    touched: Duration,
}

/// How a run on a member ended without a whole answer.
enum Broken {
    /// Lost, or answered nonsense.
    Channel(ChannelError),
    /// The member is given up: replaced, or silent for too long.
    GivenUp,
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

/// The owner half of a box.
pub struct Owner {
    pub context: Rc<Context>,
    pub pool: Pool,
    leases: RefCell<HashMap<u64, Lease>>,
    next: Cell<u64>,
    /// Exchanges of other boxes under way.
    serving: Cell<usize>,
    budget: RefCell<Budget>,
}

impl Owner {
    pub fn new(context: Rc<Context>) -> Self {
        let pool = Pool::new(context.settings.ip, context.settings.connect_wait);
        Self {
            context,
            pool,
            leases: RefCell::default(),
            next: Cell::new(1),
            serving: Cell::new(0),
            budget: RefCell::default(),
        }
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
            let place = self
                .place(&exchange.group, exchange.target, exchange.floor, deadline)
                .await?;
            let connection = match self.connect(&place).await {
                Ok(connection) => connection,
                Err(retry_after) => {
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
                Ok(answer) if refused_unrun(&answer, exchange) => {
                    lease.place.tell(Event::Look);
                    drop(lease);
                    self.again(deadline, PAUSE).await?;
                }
                Ok(answer) => {
                    return self
                        .finish(lease, answer, exchange, arrived, deadline)
                        .await;
                }
                Err(_) if exchange.effect == Effect::Writes => {
                    return Err(self.unknown(&exchange.group));
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

    /// Asks the loop for a place at a member.
    pub async fn place(
        &self,
        group: &Arc<str>,
        target: Target,
        floor: Option<Position>,
        deadline: Duration,
    ) -> Result<Place, Failure> {
        let (reply, answer) = oneshot::channel();
        let ask = Ask {
            group: group.clone(),
            target,
            floor,
            deadline,
            reply,
        };
        let _ = self.context.decisions.send(Message::Ask(ask));
        let granted = answer.await.map_err(|_| Failure::NotOwner)?;
        let grant = granted.map_err(|denial| match denial {
            Denial::NotRun(refusal) => Failure::NotRun(refusal),
            Denial::NotOwner => Failure::NotOwner,
        })?;
        Ok(Place {
            context: self.context.clone(),
            group: group.clone(),
            grant,
            began: self.context.now(),
            position: None,
        })
    }

    /// A connection for a place; an error says when to try again.
    pub async fn connect(&self, place: &Place) -> Result<Connection, Duration> {
        let taken = self.pool.take(&place.grant.spec.address.sql).await;
        taken.map_err(|error| {
            if let ConnectError::Channel(_) = error {
                let member = place.grant.member;
                place.tell(Event::Broken { member });
            }
            PAUSE
        })
    }

    /// Waits for another try, if the budget and the deadline allow one.
    async fn again(&self, deadline: Duration, pause: Duration) -> Result<(), Failure> {
        let late = self.context.now() + pause > deadline;
        if late || !self.budget.borrow_mut().spend() {
            return Err(Failure::NotRun(Refusal {
                reason: Reason::Overload,
                retry_after: pause.max(Duration::from_millis(100)),
            }));
        }
        self.context.metrics.retries.add(1, &[]);
        tokio::time::sleep(pause).await;
        Ok(())
    }

    fn unknown(&self, group: &str) -> Failure {
        self.context.metrics.unknown.add(1, &[]);
        events::emit(
            &self.context.log,
            &events::UNKNOWN_OUTCOME,
            &[("group", &group)],
        );
        Failure::Unknown
    }

    /// Runs an exchange on a held connection until its answer or the member's end.
    async fn run(&self, lease: &mut Lease, exchange: &Exchange) -> Result<Answer, ()> {
        let Lease {
            connection, place, ..
        } = lease;
        let relayed = relay::run(connection, &exchange.steps, exchange.close);
        let ended = tokio::select! {
            answer = relayed => answer.map_err(Broken::Channel),
            () = given_up(&mut place.grant) => Err(Broken::GivenUp),
        };
        match ended {
            Ok(answer) => {
                place.position = answer.position.or(place.position);
                self.budget.borrow_mut().earn();
                Ok(answer)
            }
            Err(Broken::Channel(ChannelError::Io(_) | ChannelError::Closed)) => {
                let member = place.grant.member;
                place.tell(Event::Broken { member });
                Err(())
            }
            Err(_) => Err(()),
        }
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
        let failed = answer.error.is_some();
        if answer.status != Some(Status::Idle) {
            return Ok(self.keep(lease, answer, failed));
        }
        let Lease {
            connection,
            place,
            wrote,
            target,
            ..
        } = lease;
        let member = place.grant.member;
        let term = place.grant.term;
        let incarnation = place.grant.incarnation;
        let believed = place.grant.believed;
        let served = match target {
            Target::Replica { .. } if !self.is_primary(&place) => Server::Replica,
            _ => Server::Primary,
        };
        let placed = place.began;
        let address = place.grant.spec.address.sql.clone();
        let position = connection.position;
        self.pool.put(&address, connection);
        drop(place);
        let now = self.context.now();
        let wait = deadline.saturating_sub(since).max(Duration::from_millis(1));
        let need = match (target, answer.position) {
            (Target::Primary, Some(position)) if wrote => Some(SettleNeed::Wrote(position)),
            (Target::Strict, _) => Some(SettleNeed::Read {
                term,
                since,
                position,
            }),
            (Target::Replica { max_age }, _) if served == Server::Primary => {
                Some(SettleNeed::Read {
                    term,
                    since: placed.saturating_sub(max_age),
                    position,
                })
            }
            _ => None,
        };
        if let Some(need) = need {
            let settled = self.settle(&exchange.group, incarnation, member, need, now + wait);
            let outcome = settled.await;
            self.after_settling(outcome, need, exchange)?;
        }
        Ok(Reply {
            messages: answer.messages.freeze(),
            status: Status::Idle,
            // A member reports its position when it changed: unreported, it is
            // the one that the connection knew.
            position,
            lease: None,
            server: served,
            failed,
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
            (Outcome::Unknown, SettleNeed::Wrote(_)) => Err(self.unknown(&exchange.group)),
            (Outcome::Unknown, SettleNeed::Read { .. }) => Err(Failure::NotRun(Refusal {
                reason: Reason::CutOff,
                retry_after: Duration::from_secs(1),
            })),
        }
    }

    fn is_primary(&self, place: &Place) -> bool {
        place.grant.primary
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
            deadline,
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

    fn keep(&self, mut lease: Lease, answer: Answer, failed: bool) -> Reply {
        let id = self.next.get();
        self.next.set(id + 1);
        lease.touched = self.context.now();
        let server = match self.is_primary(&lease.place) {
            true => Server::Primary,
            false => Server::Replica,
        };
        let believed = lease.place.grant.believed;
        self.leases.borrow_mut().insert(id, lease);
        Reply {
            messages: answer.messages.freeze(),
            status: answer.status.unwrap_or(Status::Idle),
            position: answer.position,
            lease: Some(id),
            server,
            failed,
            believed,
        }
    }

    /// Goes on with a session's held connection.
    async fn go_on(&self, id: u64, exchange: &Exchange) -> Result<Reply, Failure> {
        let held = self.leases.borrow_mut().remove(&id);
        let mut lease = held.ok_or(Failure::TransactionLost)?;
        let now = self.context.now();
        let wrote = lease.wrote;
        match self.run(&mut lease, exchange).await {
            Ok(answer) => {
                let deadline = now + exchange.patience;
                self.finish(lease, answer, exchange, now, deadline).await
            }
            // Lost at its end, a transaction that wrote may be committed or not.
            Err(()) if exchange.commits && wrote => Err(self.unknown(&exchange.group)),
            Err(()) => Err(Failure::TransactionLost),
        }
    }

    /// Gives up a held connection; the member rolls back.
    pub fn abandon(&self, id: u64) {
        self.leases.borrow_mut().remove(&id);
    }

    /// Closes idle connections to members of groups this box does not own.
    pub fn close_foreign(&self, owned: &HashSet<Arc<str>>) {
        self.pool.retain(owned);
        self.context.idle.set(self.pool.idle());
    }

    /// Gives up connections held without a statement for too long.
    pub fn reap(&self) {
        let now = self.context.now();
        let idle = self.context.settings.lease_idle;
        let mut leases = self.leases.borrow_mut();
        leases.retain(|_, lease| now < lease.touched + idle);
    }
}

/// Whether the member refused a write because it is no primary: it did not run.
fn refused_unrun(answer: &Answer, exchange: &Exchange) -> bool {
    let refused = answer.error.as_deref() == Some(READ_ONLY);
    refused && exchange.effect == Effect::Writes && answer.status == Some(Status::Idle)
}

/// Returns when the member is replaced, or suspected for too long.
async fn given_up(grant: &mut Grant) {
    loop {
        let (term, suspected) = {
            let health = grant.health.borrow_and_update();
            (health.term, health.suspected.get(grant.member).copied())
        };
        if term > grant.term {
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
