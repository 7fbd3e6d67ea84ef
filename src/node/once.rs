//! Runs requests with an idempotency key at most once.
//!
//! The key is written to a ledger table of the group, in the same transaction as the request. A
//! repeated request, on any box and after any crash, finds the key and gets the recorded answer.
//! After an unknown outcome, the request is retried on the current primary, where the ledger
//! shows whether it has run.

use std::sync::Arc;
use std::time::Duration;

use super::exchange::{Exchange, Failure, Reply, Server};
use super::message::Unconfirmed;
use super::owner::Owner;
use super::pool::Connection;
use super::slot::Slot;
use crate::borders::upstream::{Answer, Keyed};
use crate::decisions::confirmation::Outcome;
use crate::decisions::group::Target;

const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the exchange, or returns the recorded answer if its key is in the ledger.
pub async fn serve(
    owner: &Owner,
    exchange: &Exchange,
    key: &Arc<str>,
    deadline: Duration,
) -> Result<Reply, Failure> {
    let mut sent = false;
    loop {
        let acquired = owner
            .acquire_slot(exchange, Target::Primary, deadline)
            .await;
        let slot = match acquired {
            Ok(slot) => slot,
            // An earlier attempt may have run.
            Err(_) if sent => return Err(Failure::Unknown),
            Err(failure) => return Err(failure),
        };
        let member = slot.grant.member;
        let incarnation = slot.grant.incarnation;
        let keyed = match owner.connect(&slot, exchange).await {
            Err(_) => Keyed::Unresolved,
            Ok(connection) => {
                sent = true;
                run(owner, &slot, connection, exchange, key).await
            }
        };
        drop(slot);
        let (answer, server) = match keyed {
            Keyed::Failed(answer) => return Ok(reply(answer, Server::Primary, true)),
            Keyed::Ran(answer) => (Some(answer), Server::Primary),
            Keyed::Recorded(answer) => (Some(answer), Server::Ledger),
            Keyed::Unresolved => (None, Server::Primary),
        };
        if let Some(answer) = answer {
            let Some(position) = answer.position else {
                return Ok(reply(answer, server, false));
            };
            let unconfirmed = Unconfirmed::Write(position);
            let confirmation =
                owner.confirm(&exchange.group, incarnation, member, unconfirmed, deadline);
            if confirmation.await == Outcome::Confirmed {
                return Ok(reply(answer, server, false));
            }
        }
        if owner.context.now() + RETRY_INTERVAL > deadline {
            return Err(Failure::Unknown);
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

fn reply(answer: Answer, server: Server, failed: bool) -> Reply {
    Reply {
        messages: answer.messages,
        status: answer.status,
        position: answer.position,
        lease: None,
        server,
        failed,
        believed: true,
    }
}

/// Runs the exchange on a connection, unless the primary is replaced first.
async fn run(
    owner: &Owner,
    slot: &Slot,
    mut connection: Connection,
    exchange: &Exchange,
    key: &Arc<str>,
) -> Keyed {
    let mut health = slot.grant.health.clone();
    let term = slot.grant.term;
    let replaced = async {
        let _ = health.wait_for(|health| health.term > term).await;
    };
    let task = exchange.task(None);
    let done = tokio::select! {
        done = connection.run_keyed(&task, key) => done,
        () = replaced => return Keyed::Unresolved,
    };
    match done {
        Ok(keyed) => {
            owner.pool.release(connection);
            keyed
        }
        Err(_) => Keyed::Unresolved,
    }
}
