//! The ledger of requests that run at most once: a table in the group's database. A request's
//! key and answer are written in the same transaction as its effect.

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
const UNIQUE_VIOLATION: &str = "23505";
const UNDEFINED_TABLE: &str = "42P01";

/// Runs the steps and records their answer under the key, or returns the recorded answer if
/// the key exists.
pub async fn run_once(
    connection: &mut Connection,
    request: &Steps,
    key: &str,
) -> Result<Keyed, ChannelError> {
    let insert = format!(
        "INSERT INTO larkfall_ledger (key, answer) VALUES ({}, '')",
        quoted(key)
    );
    connection.command("BEGIN", "BEGIN").await?;
    let mut inserted = connection.query(&insert).await?;
    if inserted.error.as_deref() == Some(UNDEFINED_TABLE) {
        connection.command("ROLLBACK", "ROLLBACK").await?;
        connection.query(CREATE).await?;
        connection.command("BEGIN", "BEGIN").await?;
        inserted = connection.query(&insert).await?;
    }
    if let Some(code) = &inserted.error {
        let key_exists = code == UNIQUE_VIOLATION;
        let position = connection.command("ROLLBACK", "ROLLBACK").await?.position;
        return match key_exists {
            true => recorded_answer(connection, key, position).await,
            false => Ok(Keyed::Unresolved),
        };
    }
    inserted.expect_tag("INSERT 0 1")?;
    let answer = relay::run(connection, &request.steps, request.close).await?;
    if answer.error.is_some() {
        connection.command("ROLLBACK", "ROLLBACK").await?;
        return Ok(Keyed::Failed(idle_answer(
            answer.messages.freeze(),
            Verdict::Failed,
            None,
        )));
    }
    let record = format!(
        "UPDATE larkfall_ledger SET answer = '{}' WHERE key = {}",
        to_hex(&answer.messages),
        quoted(key)
    );
    connection.command(&record, "UPDATE 1").await?;
    // COMMIT reports no error where it rolls back a failed transaction, but another tag.
    let end = connection.command("COMMIT", "COMMIT").await?;
    match end.position {
        Some(position) => {
            let messages = answer.messages.freeze();
            Ok(Keyed::Ran(idle_answer(
                messages,
                Verdict::Done,
                Some(position),
            )))
        }
        None => Ok(Keyed::Unresolved),
    }
}

/// Returns the answer recorded under a key, with the member's latest position: the caller may
/// receive the answer only once that position is durable.
async fn recorded_answer(
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
        None => latest_position(connection).await?,
    };
    let Some(position) = position else {
        return Ok(Keyed::Unresolved);
    };
    let messages = Bytes::from(bytes);
    Ok(Keyed::Recorded(idle_answer(
        messages,
        Verdict::Done,
        Some(position),
    )))
}

/// Makes the member report its position, by an update that changes nothing.
async fn latest_position(connection: &mut Connection) -> Result<Option<Position>, ChannelError> {
    let update = "UPDATE larkfall_ledger SET answer = answer WHERE key = ''";
    Ok(connection.command(update, "UPDATE 0").await?.position)
}

/// Builds the answer of a finished transaction.
fn idle_answer(messages: Bytes, verdict: Verdict, position: Option<Position>) -> Answer {
    Answer {
        messages,
        status: Some(Status::Idle),
        position,
        verdict,
    }
}

/// Decodes the first row's first cell from hexadecimal. A cell starts with its length in
/// four bytes.
fn first_cell(messages: &mut BytesMut) -> Result<Option<Vec<u8>>, ChannelError> {
    let mut context = pgwire::messages::DecodeContext::default();
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    while let Some(message) = Back::decode(messages, &context)? {
        if let Back::DataRow(row) = message {
            return Ok(row.data.get(4..).and_then(from_hex));
        }
    }
    Ok(None)
}

/// Returns an SQL string literal.
fn quoted(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

fn to_hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn from_hex(text: &[u8]) -> Option<Vec<u8>> {
    let text = std::str::from_utf8(text).ok()?;
    if text.len() % 2 != 0 {
        return None;
    }
    let byte = |i| u8::from_str_radix(text.get(i..i + 2)?, 16).ok();
    (0..text.len()).step_by(2).map(byte).collect()
}
