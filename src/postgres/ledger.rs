//! The ledger of keys: a table of the same group, written in the same transaction
//! as the request that carries the key.

use bytes::{Bytes, BytesMut};
use pgwire::messages::PgWireBackendMessage as Back;

use super::channel::ChannelError;
use super::connection::Connection;
use super::relay;
use super::steps::Steps;
use crate::borders::upstream::{Answer, Keyed, Status, Verdict};
use crate::decisions::position::Position;

const CREATE: &str =
    "CREATE TABLE IF NOT EXISTS larkfall_ledger (key text PRIMARY KEY, answer text NOT NULL)";
const UNIQUE: &str = "23505";
const NO_TABLE: &str = "42P01";

/// Runs the steps and records their answer under the key, unless it is taken.
pub async fn transaction(
    connection: &mut Connection,
    request: &Steps,
    key: &str,
) -> Result<Keyed, ChannelError> {
    let insert = format!(
        "INSERT INTO larkfall_ledger (key, answer) VALUES ({}, '')",
        quoted(key)
    );
    connection.query("BEGIN").await?;
    let mut taken = connection.query(&insert).await?;
    if taken.error.as_deref() == Some(NO_TABLE) {
        connection.query("ROLLBACK").await?;
        connection.query(CREATE).await?;
        connection.query("BEGIN").await?;
        taken = connection.query(&insert).await?;
    }
    if let Some(code) = &taken.error {
        let known = code == UNIQUE;
        let position = connection.query("ROLLBACK").await?.position;
        return match known {
            true => recorded(connection, key, position).await,
            false => Ok(Keyed::Unresolved),
        };
    }
    let answer = relay::run(connection, &request.steps, request.close).await?;
    if answer.error.is_some() {
        connection.query("ROLLBACK").await?;
        return Ok(Keyed::Failed(plain(
            answer.messages.freeze(),
            Verdict::Failed,
            None,
        )));
    }
    let record = format!(
        "UPDATE larkfall_ledger SET answer = '{}' WHERE key = {}",
        hex(&answer.messages),
        quoted(key)
    );
    connection.query(&record).await?;
    let end = connection.query("COMMIT").await?;
    match (end.error, end.position) {
        (None, Some(position)) => {
            let messages = answer.messages.freeze();
            Ok(Keyed::Ran(plain(messages, Verdict::Done, Some(position))))
        }
        _ => Ok(Keyed::Unresolved),
    }
}

/// The answer under a key that is taken. It is given out only once it is known
/// to last, so the wait is for the member's newest position.
async fn recorded(
    connection: &mut Connection,
    key: &str,
    position: Option<Position>,
) -> Result<Keyed, ChannelError> {
    let select = format!(
        "SELECT answer FROM larkfall_ledger WHERE key = {}",
        quoted(key)
    );
    let mut found = connection.query(&select).await?;
    let Some(bytes) = first_cell(&mut found.messages)? else {
        return Ok(Keyed::Unresolved);
    };
    let position = match found.position.or(position) {
        Some(position) => Some(position),
        None => fresh_position(connection).await?,
    };
    let Some(position) = position else {
        return Ok(Keyed::Unresolved);
    };
    let messages = Bytes::from(bytes);
    Ok(Keyed::Recorded(plain(
        messages,
        Verdict::Done,
        Some(position),
    )))
}

/// Makes the member tell its position, by a write that changes nothing.
async fn fresh_position(connection: &mut Connection) -> Result<Option<Position>, ChannelError> {
    let touch = "UPDATE larkfall_ledger SET answer = answer WHERE key = ''";
    Ok(connection.query(touch).await?.position)
}

fn plain(messages: Bytes, verdict: Verdict, position: Option<Position>) -> Answer {
    Answer {
        messages,
        status: Some(Status::Idle),
        position,
        verdict,
    }
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
