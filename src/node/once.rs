//! Requests that run at most once, by the caller's key.
//!
//! The key goes into a ledger table of the same group in the same transaction as
//! the request. Whoever comes second, on any box and after any crash, finds the
//! key and gets the recorded answer. An outcome that is unknown is settled by
//! trying again on whatever primary there is: the key is found or it is not.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pgwire::messages::PgWireBackendMessage as Back;
use pgwire::messages::PgWireFrontendMessage as Front;
use pgwire::messages::simplequery::Query;

use super::exchange::{Close, Exchange, Expect, Failure, Reply, Server, Status, Step};
use super::message::SettleNeed;
use super::owner::{Owner, Place};
use super::pool::Connection;
use super::relay::{self, Answer};
use crate::decisions::confirm::Outcome;
use crate::decisions::group::Target;
use crate::decisions::position::Position;
use crate::wire::channel::ChannelError;

const CREATE: &str =
    "CREATE TABLE IF NOT EXISTS larkfall_ledger (key text PRIMARY KEY, answer text NOT NULL)";
const PAUSE: Duration = Duration::from_millis(20);
const UNIQUE: &str = "23505";
const NO_TABLE: &str = "42P01";

/// How one attempt ended.
enum Attempt {
    /// The request ran now, or had run before.
    Done(Reply, Option<Position>),
    /// The request failed in the database; its key is not taken.
    Failed(Reply),
    /// Nothing is known: try again.
    Lost,
}

/// Runs the exchange unless its key is taken; then gives the recorded answer.
pub async fn serve(
    owner: &Owner,
    exchange: &Exchange,
    key: &Arc<str>,
    deadline: Duration,
) -> Result<Reply, Failure> {
    let mut sent = false;
    loop {
        let placed = owner
            .place(&exchange.group, Target::Primary, None, deadline)
            .await;
        let place = match placed {
            Ok(place) => place,
            // Not run is only true while no attempt was sent.
            Err(_) if sent => return Err(Failure::Unknown),
            Err(failure) => return Err(failure),
        };
        let member = place.grant.member;
        let incarnation = place.grant.incarnation;
        let attempt = match owner.connect(&place).await {
            Err(_) => Attempt::Lost,
            Ok(connection) => {
                sent = true;
                attempt(owner, &place, connection, exchange, key).await
            }
        };
        drop(place);
        match attempt {
            Attempt::Failed(reply) => return Ok(reply),
            Attempt::Done(reply, None) => return Ok(reply),
            Attempt::Done(reply, Some(position)) => {
                let need = SettleNeed::Wrote(position);
                let settled = owner.settle(&exchange.group, incarnation, member, need, deadline);
                let outcome = settled.await;
                if outcome == Outcome::Confirmed {
                    return Ok(reply);
                }
            }
            Attempt::Lost => {}
        }
        if owner.context.now() + PAUSE > deadline {
            return Err(Failure::Unknown);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn attempt(
    owner: &Owner,
    place: &Place,
    mut connection: Connection,
    exchange: &Exchange,
    key: &Arc<str>,
) -> Attempt {
    let address = place.grant.spec.address.sql.clone();
    let mut health = place.grant.health.clone();
    let term = place.grant.term;
    let replaced = async {
        let _ = health.wait_for(|health| health.term > term).await;
    };
    let done = tokio::select! {
        done = transaction(&mut connection, exchange, key) => done,
        () = replaced => return Attempt::Lost,
    };
    match done {
        Ok(attempt) => {
            owner.pool.put(&address, connection);
            attempt
        }
        Err(_) => Attempt::Lost,
    }
}

async fn transaction(
    connection: &mut Connection,
    exchange: &Exchange,
    key: &str,
) -> Result<Attempt, ChannelError> {
    let insert = format!(
        "INSERT INTO larkfall_ledger (key, answer) VALUES ({}, '')",
        quoted(key)
    );
    query(connection, "BEGIN").await?;
    let mut taken = query(connection, &insert).await?;
    if taken.error.as_deref() == Some(NO_TABLE) {
        query(connection, "ROLLBACK").await?;
        query(connection, CREATE).await?;
        query(connection, "BEGIN").await?;
        taken = query(connection, &insert).await?;
    }
    if let Some(code) = &taken.error {
        let known = code == UNIQUE;
        let position = query(connection, "ROLLBACK").await?.position;
        return match known {
            true => recorded(connection, key, position).await,
            false => Ok(Attempt::Lost),
        };
    }
    let answer = relay::run(connection, &exchange.steps, exchange.close).await?;
    if answer.error.is_some() {
        query(connection, "ROLLBACK").await?;
        return Ok(Attempt::Failed(reply(answer.messages.freeze(), true, None)));
    }
    let record = format!(
        "UPDATE larkfall_ledger SET answer = '{}' WHERE key = {}",
        hex(&answer.messages),
        quoted(key)
    );
    query(connection, &record).await?;
    let end = query(connection, "COMMIT").await?;
    match (end.error, end.position) {
        (None, Some(position)) => {
            let reply = reply(answer.messages.freeze(), false, Some(position));
            Ok(Attempt::Done(reply, Some(position)))
        }
        _ => Ok(Attempt::Lost),
    }
}

/// The answer under a key that is taken. It is given out only once it is known
/// to last, so the wait is for the member's newest position.
async fn recorded(
    connection: &mut Connection,
    key: &str,
    position: Option<Position>,
) -> Result<Attempt, ChannelError> {
    let select = format!(
        "SELECT answer FROM larkfall_ledger WHERE key = {}",
        quoted(key)
    );
    let mut found = query(connection, &select).await?;
    let Some(bytes) = first_cell(&mut found.messages)? else {
        return Ok(Attempt::Lost);
    };
    let position = match found.position.or(position) {
        Some(position) => Some(position),
        None => fresh_position(connection).await?,
    };
    let Some(position) = position else {
        return Ok(Attempt::Lost);
    };
    let mut reply = reply(Bytes::from(bytes), false, Some(position));
    reply.server = Server::Ledger;
    Ok(Attempt::Done(reply, Some(position)))
}

/// Makes the member tell its position, by a write that changes nothing.
async fn fresh_position(connection: &mut Connection) -> Result<Option<Position>, ChannelError> {
    let touch = "UPDATE larkfall_ledger SET answer = answer WHERE key = ''";
    Ok(query(connection, touch).await?.position)
}

fn reply(messages: Bytes, failed: bool, position: Option<Position>) -> Reply {
    Reply {
        messages,
        status: Status::Idle,
        position,
        lease: None,
        server: Server::Primary,
        failed,
        believed: true,
    }
}

async fn query(connection: &mut Connection, sql: &str) -> Result<Answer, ChannelError> {
    let mut bytes = BytesMut::new();
    Front::Query(Query::new(sql.to_owned())).encode(&mut bytes)?;
    let step = Step::Send {
        bytes: bytes.freeze(),
        expect: Expect::Whole,
    };
    relay::run(connection, &[step], Close::Query).await
}

/// The first row's first cell, from hexadecimal.
fn first_cell(messages: &mut BytesMut) -> Result<Option<Vec<u8>>, ChannelError> {
    let mut context = pgwire::messages::DecodeContext::default();
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    while let Some(message) = Back::decode(messages, &context)? {
        if let Back::DataRow(row) = message {
            return Ok(row.data.get(4..).and_then(unhex));
        }
    }
    Ok(None)
}

fn quoted(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn unhex(text: &[u8]) -> Option<Vec<u8>> {
    let text = std::str::from_utf8(text).ok()?;
    if text.len() % 2 != 0 {
        return None;
    }
    let byte = |i| u8::from_str_radix(text.get(i..i + 2)?, 16).ok();
    (0..text.len()).step_by(2).map(byte).collect()
}
