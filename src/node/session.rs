//! A caller's session, independent of the caller's protocol.
//!
//! A session sends its exchanges to an owner of the group, keeps the floors that its reads must
//! see, and tracks its open transaction together with the connection that an owner has pinned for
//! it.

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

/// Retry time for the caller if no owner of the group can be reached.
const NO_OWNER_RETRY: Duration = Duration::from_secs(1);

/// A connection that an owner has pinned for this session.
struct Pinned {
    /// The owner's address, none for this box.
    owner: Option<Arc<str>>,
    id: u64,
}

/// A reply, and the address of the owner that served it, none for this box.
type Served = (Reply, Option<Arc<str>>);

/// A session. Releases its pinned connection when it is dropped.
pub struct Session {
    pub context: Rc<Context>,
    owner: Rc<Owner>,
    pub floors: Floors,
    pinned: Option<Pinned>,
    pub status: Status,
    /// Whether the open transaction was lost. All statements up to its end are then refused.
    pub transaction_lost: bool,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.release_connection();
    }
}

impl Session {
    pub fn new(context: Rc<Context>, owner: Rc<Owner>, floor: Option<Position>) -> Self {
        Self {
            context,
            owner,
            floors: Floors::new(floor),
            pinned: None,
            status: Status::Idle,
            transaction_lost: false,
        }
    }

    /// Whether the session has neither an open transaction nor a pinned connection.
    pub fn is_idle(&self) -> bool {
        self.status == Status::Idle && self.pinned.is_none()
    }

    /// Whether an owner has pinned a connection for the session.
    pub fn has_connection(&self) -> bool {
        self.pinned.is_some()
    }

    /// Returns the owner's id of the pinned connection.
    pub fn connection_id(&self) -> Option<u64> {
        self.pinned.as_ref().map(|pinned| pinned.id)
    }

    /// Releases the pinned connection. The owner rolls its transaction back.
    pub fn release_connection(&mut self) {
        let Some(pinned) = self.pinned.take() else {
            return;
        };
        match pinned.owner {
            None => self.owner.abandon_transaction(pinned.id),
            Some(address) => {
                let abandoned =
                    peers::abandon_transaction(self.context.clone(), address, pinned.id);
                tokio::task::spawn_local(abandoned);
            }
        }
    }

    /// Aborts the open transaction, if there is one, after an error that no member reported.
    pub fn abort_if_in_transaction(&mut self) {
        if self.status != Status::Idle {
            self.abort_transaction();
        }
    }

    /// Makes all statements fail up to the end of the caller's transaction, even if no member
    /// has begun it yet.
    pub fn abort_transaction(&mut self) {
        self.release_connection();
        self.transaction_lost = true;
        self.status = Status::Failed;
    }

    /// Ends a lost transaction on the caller's request.
    pub fn end_lost_transaction(&mut self) {
        self.transaction_lost = false;
        self.status = Status::Idle;
    }

    /// Serves an exchange and updates the session with its outcome.
    pub async fn serve(&mut self, exchange: &Exchange, scope: &Scope) -> Result<Reply, Failure> {
        let start = self.context.now();
        let served = self.try_owners(exchange).await;
        let took = self.context.now() - start;
        let outcome = served.as_ref().map_or_else(Failure::reason, |_| "served");
        self.context.metrics.record_answer(outcome, scope, took);
        match served {
            Ok((reply, owner)) => {
                self.record_reply(&reply, owner, exchange, scope);
                Ok(reply)
            }
            Err(mut failure) => {
                self.extend_retry_time(&mut failure);
                self.record_failure(&failure, exchange, took);
                Err(failure)
            }
        }
    }

    fn record_reply(
        &mut self,
        reply: &Reply,
        owner: Option<Arc<str>>,
        exchange: &Exchange,
        scope: &Scope,
    ) {
        self.count_reply(reply, exchange, scope);
        self.pinned = reply.lease.map(|id| Pinned { owner, id });
        if !reply.believed {
            let log = &self.context.log;
            events::emit(log, &events::TOKEN_IGNORED, &[("group", &exchange.group)]);
            self.floors.reset();
        }
        self.update_floors(reply, exchange, scope);
        if let Some(status) = reply.status {
            self.status = status;
        }
    }

    /// Extends the retry time of a failure caused by a partition until the load balancer is
    /// expected to send the caller to another box.
    fn extend_retry_time(&self, failure: &mut Failure) {
        let Failure::NotRun(refusal) = failure else {
            return;
        };
        if let (Reason::CutOff | Reason::Stale, Some(redirect)) =
            (refusal.reason, self.context.time_until_redirect())
        {
            refusal.retry_after = refusal.retry_after.max(redirect);
        }
    }

    fn record_failure(&mut self, failure: &Failure, exchange: &Exchange, took: Duration) {
        if let Failure::NotRun(_) = failure {
            self.context.metrics.not_run.add(1, &[]);
        }
        if failure.suggests_partition() {
            let _ = self.context.decisions.send(Message::ExchangeRefused);
        }
        self.pinned = None;
        if exchange.effect == Effect::Writes && *failure == Failure::Unknown {
            self.status = Status::Idle;
        }
        self.abort_if_in_transaction();
        let retry_after = failure.retry_after().as_millis();
        let declarations = self.context.declarations.get();
        let confirmed = self.context.declarations_age();
        let confirmed_ms_ago =
            confirmed.map_or("unknown".to_owned(), |age| age.as_millis().to_string());
        let fields: [(_, &dyn std::fmt::Display); 8] = [
            ("request", &exchange.trace),
            ("group", &exchange.group),
            ("target", &exchange.target),
            ("why", &failure.reason()),
            ("waited_ms", &took.as_millis()),
            ("retry_ms", &retry_after),
            ("declarations", &declarations),
            ("confirmed_ms_ago", &confirmed_ms_ago),
        ];
        events::emit(&self.context.log, &events::REQUEST_FAILED, &fields);
    }

    /// Sends an exchange to the owner of the pinned connection. Without one, tries the group's
    /// owners in order, those that didn't answer lately last.
    async fn try_owners(&mut self, exchange: &Exchange) -> Result<Served, Failure> {
        if let Some(pinned) = self.pinned.take() {
            return match pinned.owner {
                None => self.owner.serve(exchange).await.map(|reply| (reply, None)),
                Some(address) => self.forward_pinned(&address, exchange).await,
            };
        }
        let mut last = Failure::NotRun(Refusal::new(Reason::CutOff, NO_OWNER_RETRY));
        let start = self.context.now();
        let mut via = Via::Owner;
        let owners = self.owners(&exchange.group, exchange.workspace.as_ref());
        let (unresponsive, responsive): (Vec<&Listing>, Vec<&Listing>) = owners
            .iter()
            .partition(|owner| self.context.is_unresponsive(&owner.address));
        for owner in responsive.into_iter().chain(unresponsive) {
            if !matches_via(&via, owner) {
                continue;
            }
            let elapsed = self.context.now() - start;
            let Some(remaining) = exchange.with_elapsed(elapsed) else {
                break;
            };
            let local = owner.name == self.context.settings.name;
            let served = match local {
                true => self
                    .owner
                    .serve(&remaining)
                    .await
                    .map_err(ForwardError::Failure),
                false => peers::forward(&self.context, &owner.address, &remaining).await,
            };
            match served {
                Ok(reply) => return Ok((reply, (!local).then(|| owner.address.clone()))),
                Err(ForwardError::Unsent) => self.context.record_unresponsive(&owner.address),
                Err(ForwardError::Failure(failure)) => {
                    via = next_via(&failure);
                    last = failure;
                }
                Err(ForwardError::Lost) if exchange.effect == Effect::Reads => {
                    self.context.record_unresponsive(&owner.address);
                    last = Failure::ReadLost;
                }
                // The ledger prevents a second run at the next owner.
                Err(ForwardError::Lost) if exchange.once.is_some() => last = Failure::Unknown,
                Err(ForwardError::Lost) => {
                    self.context.record_unresponsive(&owner.address);
                    return Err(Failure::Unknown);
                }
            }
        }
        Err(last)
    }

    async fn forward_pinned(
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

    /// Returns the owners of a group, in the order in which this session tries them.
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

    fn count_reply(&self, reply: &Reply, exchange: &Exchange, scope: &Scope) {
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

    /// Raises the floors to the position that the exchange read or wrote.
    fn update_floors(&mut self, reply: &Reply, exchange: &Exchange, scope: &Scope) {
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

/// Returns which owners may be able to serve the exchange after a failure at one.
fn next_via(failure: &Failure) -> Via {
    match failure {
        Failure::NotOwner => Via::Owner,
        Failure::NotRun(refusal) => refusal.via.clone(),
        _ => Via::Nobody,
    }
}

/// Whether `via` includes an owner.
fn matches_via(via: &Via, owner: &Listing) -> bool {
    match via {
        Via::Nobody => false,
        Via::Owner => true,
        Via::Named(name) => *name == owner.name,
    }
}
