//! One caller's session, whatever protocol it speaks: where its statements run,
//! what it must not miss, and the connection that an owner holds for it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use opentelemetry::KeyValue;

use super::context::Context;
use super::exchange::{Effect, Exchange, Failure, Reply, Server, Status};
use super::message::Message;
use super::owner::Owner;
use super::peers::{self, ForwardError};
use crate::borders::roster::Listing;
use crate::decisions::floors::{Floors, Scope};
use crate::decisions::group::{Reason, Refusal, Via};
use crate::decisions::owners::workspace_order;
use crate::decisions::position::Position;
use crate::events;

/// Time to come back when no owner of the group can be reached.
const OWNERS_RETRY: Duration = Duration::from_secs(1);

/// A connection that an owner holds for this session.
struct Held {
    /// The owner's address, none for this box.
    owner: Option<Arc<str>>,
    id: u64,
}

/// A reply and the address of the owner that gave it, none for this box.
type Served = (Reply, Option<Arc<str>>);

/// A session of the core. Dropped, it gives back what is held for it.
pub struct Session {
    pub context: Rc<Context>,
    owner: Rc<Owner>,
    pub floors: Floors,
    held: Option<Held>,
    pub status: Status,
    /// The open transaction is gone; everything up to its end is refused.
    pub lost: bool,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.let_go();
    }
}

impl Session {
    pub fn new(context: Rc<Context>, owner: Rc<Owner>, floor: Option<Position>) -> Self {
        Self {
            context,
            owner,
            floors: Floors::new(floor),
            held: None,
            status: Status::Idle,
            lost: false,
        }
    }

    /// Whether nothing of the session stands open anywhere.
    pub fn is_idle(&self) -> bool {
        self.status == Status::Idle && self.held.is_none()
    }

    pub fn is_holding(&self) -> bool {
        self.held.is_some()
    }

    /// Names the connection that is held, for the next exchange.
    pub fn lease(&self) -> Option<u64> {
        self.held.as_ref().map(|held| held.id)
    }

    /// Gives back what an owner holds; the member rolls back.
    pub fn let_go(&mut self) {
        let Some(held) = self.held.take() else { return };
        match held.owner {
            None => self.owner.abandon(held.id),
            Some(address) => {
                let abandoned = peers::abandon_lease(self.context.clone(), address, held.id);
                tokio::task::spawn_local(abandoned);
            }
        }
    }

    /// Gives up the open transaction after an error of this box's own.
    pub fn give_up(&mut self) {
        if self.status != Status::Idle {
            self.fail();
        }
    }

    /// Makes everything fail up to the end of the caller's transaction, whether a
    /// member knows of it or not.
    pub fn fail(&mut self) {
        self.let_go();
        self.lost = true;
        self.status = Status::Failed;
    }

    /// Takes the end of a transaction that is gone.
    pub fn end_lost(&mut self) {
        self.lost = false;
        self.status = Status::Idle;
    }

    /// Has an exchange served and keeps the session's state by its outcome.
    pub async fn serve(&mut self, exchange: &Exchange, scope: &Scope) -> Result<Reply, Failure> {
        let start = self.context.now();
        let served = self.attempt(exchange).await;
        let took = self.context.now() - start;
        let outcome = served.as_ref().map_or_else(Failure::reason, |_| "served");
        self.context.metrics.answered(outcome, scope, took);
        match served {
            Ok((reply, owner)) => {
                self.took(&reply, owner, exchange, scope);
                Ok(reply)
            }
            Err(mut failure) => {
                self.send_elsewhere(&mut failure);
                self.failed(&failure, exchange, took);
                Err(failure)
            }
        }
    }

    fn took(&mut self, reply: &Reply, owner: Option<Arc<str>>, exchange: &Exchange, scope: &Scope) {
        self.count(reply, exchange, scope);
        self.held = reply.lease.map(|id| Held { owner, id });
        if !reply.believed {
            let log = &self.context.log;
            events::emit(log, &events::TOKEN_IGNORED, &[("group", &exchange.group)]);
            self.floors.reset();
        }
        self.note_floors(reply, exchange, scope);
        if let Some(status) = reply.status {
            self.status = status;
        }
    }

    /// Tells a caller whom a cut box can't serve to come back once it is sent elsewhere.
    fn send_elsewhere(&self, failure: &mut Failure) {
        let Failure::NotRun(refusal) = failure else {
            return;
        };
        if let (Reason::CutOff | Reason::Stale, Some(turns)) =
            (refusal.reason, self.context.turns_in())
        {
            refusal.retry_after = refusal.retry_after.max(turns);
        }
    }

    fn failed(&mut self, failure: &Failure, exchange: &Exchange, took: Duration) {
        if let Failure::NotRun(_) = failure {
            self.context.metrics.not_run.add(1, &[]);
        }
        if failure.suggests_partition() {
            let _ = self.context.decisions.send(Message::Refused);
        }
        self.held = None;
        if exchange.effect == Effect::Writes && *failure == Failure::Unknown {
            self.status = Status::Idle;
        }
        self.give_up();
        let retry_after = failure.retry_after().as_millis();
        let fields: [(_, &dyn std::fmt::Display); 6] = [
            ("request", &exchange.trace),
            ("group", &exchange.group),
            ("target", &exchange.target),
            ("why", &failure.reason()),
            ("waited_ms", &took.as_millis()),
            ("retry_ms", &retry_after),
        ];
        events::emit(&self.context.log, &events::GIVEN_UP, &fields);
    }

    /// Has the exchange served by an owner: the one that holds our connection,
    /// this box, or the others in turn.
    async fn attempt(&mut self, exchange: &Exchange) -> Result<Served, Failure> {
        if let Some(held) = self.held.take() {
            return match held.owner {
                None => self.owner.serve(exchange).await.map(|reply| (reply, None)),
                Some(address) => self.forward_held(&address, exchange).await,
            };
        }
        let mut last = Failure::NotRun(Refusal::new(Reason::CutOff, OWNERS_RETRY));
        let start = self.context.now();
        let mut via = Via::Owner;
        let owners = self.owners(&exchange.group, exchange.workspace.as_ref());
        let (late, first): (Vec<&Listing>, Vec<&Listing>) = owners
            .iter()
            .partition(|owner| self.context.is_shunned(&owner.address));
        for owner in first.into_iter().chain(late) {
            if !goes(&via, owner) {
                continue;
            }
            let spent = self.context.now() - start;
            let Some(rest) = exchange.with_elapsed(spent) else {
                break;
            };
            let own = owner.name == self.context.settings.name;
            let served = match own {
                true => self.owner.serve(&rest).await.map_err(ForwardError::Failure),
                false => peers::forward(&self.context, &owner.address, &rest).await,
            };
            match served {
                Ok(reply) => return Ok((reply, (!own).then(|| owner.address.clone()))),
                Err(ForwardError::Unsent) => self.context.shun(&owner.address),
                Err(ForwardError::Failure(failure)) => {
                    via = elsewhere(&failure);
                    last = failure;
                }
                Err(ForwardError::Lost) if exchange.effect == Effect::Reads => {
                    self.context.shun(&owner.address);
                    last = Failure::ReadLost;
                }
                Err(ForwardError::Lost) if exchange.once.is_some() => last = Failure::Unknown,
                Err(ForwardError::Lost) => {
                    self.context.shun(&owner.address);
                    return Err(Failure::Unknown);
                }
            }
        }
        Err(last)
    }

    async fn forward_held(
        &self,
        address: &Arc<str>,
        exchange: &Exchange,
    ) -> Result<Served, Failure> {
        match peers::forward(&self.context, address, exchange).await {
            Ok(reply) => Ok((reply, Some(address.clone()))),
            Err(ForwardError::Failure(failure)) => Err(failure),
            Err(ForwardError::Lost) if exchange.effect == Effect::Writes => Err(Failure::Unknown),
            Err(_) => Err(Failure::TransactionLost),
        }
    }

    /// Owners of a group, in the order in which this box tries them.
    fn owners(&self, group: &Arc<str>, workspace: Option<&Arc<str>>) -> Rc<[Listing]> {
        let context = &self.context;
        let snapshot = context.snapshot.borrow().clone();
        let boxes = context.boxes.borrow().clone();
        let settings = &context.settings;
        let owners = context.routes.owners(group, &snapshot, &boxes, settings);
        match workspace {
            Some(workspace) => workspace_order(&owners, &settings.domain, workspace).into(),
            None => owners,
        }
    }

    fn count(&self, reply: &Reply, exchange: &Exchange, scope: &Scope) {
        let metrics = &self.context.metrics;
        if exchange.effect == Effect::Writes {
            return metrics.writes.add(1, &[]);
        }
        let kind = scope.read_kind.as_deref().unwrap_or("none").to_owned();
        let labels = [KeyValue::new("kind", kind)];
        match reply.server {
            Server::Replica => metrics.reads_by_replica.add(1, &labels),
            _ => metrics.reads_by_primary.add(1, &labels),
        }
    }

    /// Raises the floors by what was read or written.
    fn note_floors(&mut self, reply: &Reply, exchange: &Exchange, scope: &Scope) {
        if exchange.effect == Effect::Writes {
            self.floors.record_pending_write(scope);
        }
        let ended = reply.lease.is_none();
        match reply.position {
            Some(position) if exchange.effect == Effect::Writes && ended => {
                self.floors.acknowledge_writes(position);
            }
            Some(position) => {
                let replica = reply.server == Server::Replica;
                self.floors.record_read(scope, position, replica);
            }
            None => {}
        }
        if ended {
            self.floors.discard_pending_writes();
        }
    }
}

/// Which other owner may do better.
fn elsewhere(failure: &Failure) -> Via {
    match failure {
        Failure::NotOwner => Via::Owner,
        Failure::NotRun(refusal) => refusal.via.clone(),
        _ => Via::Nobody,
    }
}

/// Whether an owner is one of those that may do better.
fn goes(via: &Via, owner: &Listing) -> bool {
    match via {
        Via::Nobody => false,
        Via::Owner => true,
        Via::Named(name) => *name == owner.name,
    }
}
