//! Runs one exchange on a member's connection and collects the whole answer.

use bytes::{Bytes, BytesMut};
use pgwire::messages::PgWireBackendMessage as Back;
use pgwire::messages::PgWireFrontendMessage as Front;
use pgwire::messages::extendedquery::{Flush, Parse, ParseComplete, Sync};

use super::channel::ChannelError;
use super::connection::Connection;
use super::pending::{Accepted, Pending};
use super::response;
use super::steps::{Close, Statement, Step};
use crate::borders::upstream::{self, Rejection, Status, Verdict};
use crate::decisions::position::Position;

/// SQLSTATE of a write on a member that is not the primary.
const READ_ONLY: &str = "25006";
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// A member's answer to one exchange.
#[derive(Debug)]
pub struct Answer {
    pub messages: BytesMut,
    /// None after a Flush: the member reports its status only at a Sync.
    pub status: Option<Status>,
    pub position: Option<Position>,
    /// SQLSTATE of the first error.
    pub error: Option<String>,
    /// Tag of the last command.
    pub tag: Option<String>,
}

impl Answer {
    /// Fails unless the answer is that of a command that completed with the tag.
    pub fn expect_tag(&self, tag: &str) -> Result<(), ChannelError> {
        if self.error.is_none() && self.tag.as_deref() == Some(tag) {
            return Ok(());
        }
        let found = self.error.as_deref().or(self.tag.as_deref());
        let found = found.unwrap_or("nothing");
        Err(ChannelError::Unexpected(format!(
            "{found} in answer to a command that ends with {tag}"
        )))
    }

    /// Converts the answer for the core. A read-only error outside of a transaction means
    /// that nothing ran.
    pub fn into_upstream(self) -> upstream::Answer {
        let idle = self.status == Some(Status::Idle);
        let verdict = match self.error.as_deref() {
            None => Verdict::Done,
            Some(READ_ONLY) if idle => Verdict::Rejection(Rejection::NotPrimary),
            Some(_) => Verdict::Failed,
        };
        upstream::Answer {
            messages: self.messages.freeze(),
            status: self.status,
            position: self.position,
            verdict,
        }
    }
}

/// Sends the steps and collects the answer.
pub async fn run(
    connection: &mut Connection,
    steps: &[Step],
    close: Close,
) -> Result<Answer, ChannelError> {
    let pending = send_steps(connection, steps, close).await?;
    collect_answer(connection, pending).await
}

/// Sends the steps; returns the answers to await. All messages are buffered until the final
/// flush, so an error before it means that nothing was sent.
async fn send_steps(
    connection: &mut Connection,
    steps: &[Step],
    close: Close,
) -> Result<Pending, ChannelError> {
    // After an error the member skips all messages up to a Sync.
    if std::mem::take(&mut connection.skipping) {
        if close != Close::Sync || !steps.is_empty() {
            let what = "an exchange before the Sync after an error";
            return Err(ChannelError::Unexpected(what.to_owned()));
        }
        queue_close(connection, close)?;
        connection.channel.flush().await?;
        return Ok(Pending::skipped(close));
    }
    let mut pending = Pending::new(close);
    for step in steps {
        queue_step(connection, step, &mut pending)?;
    }
    queue_close(connection, close)?;
    connection.exchanges += 1;
    let mark = pending.mark(connection.exchanges);
    let messages = connection.channel.take_queued();
    connection.channel.queue_bytes(&mark.messages());
    connection.channel.queue_bytes(&messages);
    connection.channel.flush().await?;
    Ok(pending)
}

fn queue_step(
    connection: &mut Connection,
    step: &Step,
    pending: &mut Pending,
) -> Result<(), ChannelError> {
    // A server refuses a second Parse under the same name.
    let is_prepared = |statement: &Statement, pending: &Pending| {
        connection.prepared.contains(&statement.name) || pending.prepares(&statement.name)
    };
    match step {
        Step::Ensure(statement) => {
            if !is_prepared(statement, pending) {
                queue_parse(connection, statement)?;
                pending.push_parse(statement.clone(), false);
            }
        }
        Step::Parse(statement) if is_prepared(statement, pending) => {
            let complete = Back::ParseComplete(ParseComplete::new());
            pending.push_local(encode_backend(&complete)?);
        }
        Step::Parse(statement) => {
            queue_parse(connection, statement)?;
            pending.push_parse(statement.clone(), true);
        }
        Step::Send { bytes, expect } => {
            connection.channel.queue_bytes(bytes);
            pending.push(*expect);
        }
        Step::Answer(bytes) => pending.push_local(bytes.clone()),
    }
    Ok(())
}

fn queue_parse(connection: &mut Connection, statement: &Statement) -> Result<(), ChannelError> {
    let parse = Parse::new(
        Some(statement.name.to_string()),
        statement.sql.to_string(),
        statement.types.clone(),
    );
    connection.channel.queue_frontend(&Front::Parse(parse))
}

fn queue_close(connection: &mut Connection, close: Close) -> Result<(), ChannelError> {
    let message = match close {
        Close::Query => return Ok(()),
        Close::Sync => Front::Sync(Sync::new()),
        Close::Flush => Front::Flush(Flush::new()),
    };
    connection.channel.queue_frontend(&message)
}

/// Collects the answer. Every message must be awaited by a step, or be of a kind that a server
/// may send at any time.
async fn collect_answer(
    connection: &mut Connection,
    mut pending: Pending,
) -> Result<Answer, ChannelError> {
    let mut answer = Answer {
        messages: BytesMut::new(),
        status: None,
        position: None,
        error: None,
        tag: None,
    };
    loop {
        pending.take_local(&mut answer.messages);
        if pending.is_flushed() {
            connection.skipping = answer.error.is_some();
            return Ok(answer);
        }
        let start = answer.messages.len();
        let channel = &mut connection.channel;
        let message = channel.read_backend_into(&mut answer.messages).await?;
        let visible = match &message {
            Back::ReadyForQuery(ready) => {
                pending.accept_end(&message)?;
                let status = connection.transaction.end_answer(ready.status)?;
                answer.status = Some(status);
                answer.messages.truncate(start);
                return Ok(answer);
            }
            Back::ParameterStatus(parameter) => {
                if parameter.name == response::POSITION_PARAMETER {
                    answer.position = parameter.value.parse().ok();
                    connection.position = answer.position.or(connection.position);
                }
                false
            }
            // No session listens on a connection that others use too.
            Back::NotificationResponse(_) => false,
            Back::NoticeResponse(_) => pending.has_begun(),
            Back::ErrorResponse(error) => {
                // A server may end the connection at any time.
                if response::is_fatal(error) {
                    return Err(ChannelError::Closed);
                }
                pending.accept_error(&message)?;
                answer.error = Some(response::sqlstate(error).to_owned());
                connection.transaction.record_error();
                true
            }
            other => accept_message(connection, &mut pending, other, &mut answer.tag)?,
        };
        if !visible {
            answer.messages.truncate(start);
        }
        if answer.messages.len() > MAX_ANSWER_BYTES {
            return Err(ChannelError::Unexpected("answer over 256 MiB".to_owned()));
        }
    }
}

/// Accepts a message that a step awaits; returns whether the caller gets it.
fn accept_message(
    connection: &mut Connection,
    pending: &mut Pending,
    message: &Back,
    tag: &mut Option<String>,
) -> Result<bool, ChannelError> {
    let accepted = pending.accept(message)?;
    if let Back::CommandComplete(complete) = message {
        connection.transaction.record_tag(&complete.tag);
        *tag = Some(complete.tag.clone());
    }
    Ok(match accepted {
        Accepted::Visible => true,
        Accepted::Hidden => false,
        Accepted::Prepared { statement, visible } => {
            connection.prepared.insert(statement.name);
            visible
        }
    })
}

/// Encodes a server's message.
pub fn encode_backend(message: &Back) -> Result<Bytes, ChannelError> {
    let mut bytes = BytesMut::new();
    message.encode(&mut bytes)?;
    Ok(bytes.freeze())
}
