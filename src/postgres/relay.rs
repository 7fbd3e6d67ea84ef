//! Runs one exchange on a member's connection and collects the whole answer.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use pgwire::messages::PgWireBackendMessage as Back;
use pgwire::messages::PgWireFrontendMessage as Front;
use pgwire::messages::extendedquery::{Flush, Parse, ParseComplete, Sync};
use pgwire::messages::response::TransactionStatus;

use super::channel::ChannelError;
use super::connection::Connection;
use super::response;
use super::steps::{Close, Expect, Statement, Step};
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
}

impl Answer {
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

/// One part of the answer, in the order of the steps.
enum Pending {
    Message(Expect),
    /// The confirmation of a Parse, passed on to the caller if `visible`.
    Parse {
        statement: Statement,
        visible: bool,
    },
    /// An answer of the box itself, added once all earlier answers are complete.
    Local(Bytes),
}

/// Sends the steps and collects the answer.
pub async fn run(
    connection: &mut Connection,
    steps: &[Step],
    close: Close,
) -> Result<Answer, ChannelError> {
    let pending = send_steps(connection, steps, close).await?;
    collect_answer(connection, pending, close).await
}

/// Sends the steps; returns the answers to await. All messages are buffered until the final
/// flush, so an error before it means that nothing was sent.
async fn send_steps(
    connection: &mut Connection,
    steps: &[Step],
    close: Close,
) -> Result<VecDeque<Pending>, ChannelError> {
    let mut pending = VecDeque::new();
    for step in steps {
        match step {
            Step::Ensure(statement) => {
                if !connection.prepared.contains(&statement.name) {
                    queue_parse(connection, statement, false, &mut pending)?;
                }
            }
            Step::Parse(statement) if connection.prepared.contains(&statement.name) => {
                pending.push_back(Pending::Local(encode_backend(&Back::ParseComplete(
                    ParseComplete::new(),
                ))?));
            }
            Step::Parse(statement) => queue_parse(connection, statement, true, &mut pending)?,
            Step::Send { bytes, expect } => {
                connection.channel.queue_bytes(bytes);
                pending.push_back(Pending::Message(*expect));
            }
            Step::Answer(bytes) => pending.push_back(Pending::Local(bytes.clone())),
        }
    }
    match close {
        Close::Query => {}
        Close::Sync => connection
            .channel
            .queue_frontend(&Front::Sync(Sync::new()))?,
        Close::Flush => connection
            .channel
            .queue_frontend(&Front::Flush(Flush::new()))?,
    }
    connection.channel.flush().await?;
    Ok(pending)
}

fn queue_parse(
    connection: &mut Connection,
    statement: &Statement,
    visible: bool,
    pending: &mut VecDeque<Pending>,
) -> Result<(), ChannelError> {
    let parse = Parse::new(
        Some(statement.name.to_string()),
        statement.sql.to_string(),
        statement.types.clone(),
    );
    connection.channel.queue_frontend(&Front::Parse(parse))?;
    let statement = statement.clone();
    pending.push_back(Pending::Parse { statement, visible });
    Ok(())
}

async fn collect_answer(
    connection: &mut Connection,
    mut pending: VecDeque<Pending>,
    close: Close,
) -> Result<Answer, ChannelError> {
    let mut answer = Answer {
        messages: BytesMut::new(),
        status: None,
        position: None,
        error: None,
    };
    loop {
        append_local(&mut pending, &mut answer);
        if close == Close::Flush && (pending.is_empty() || answer.error.is_some()) {
            return Ok(answer);
        }
        let message = connection.channel.read_backend().await?;
        match &message {
            Back::ReadyForQuery(ready) => {
                answer.status = Some(match ready.status {
                    TransactionStatus::Idle => Status::Idle,
                    TransactionStatus::Transaction => Status::Transaction,
                    TransactionStatus::Error => Status::Failed,
                });
                return Ok(answer);
            }
            Back::ParameterStatus(parameter) => {
                if parameter.name == response::POSITION_PARAMETER {
                    answer.position = parameter.value.parse().ok();
                    connection.position = answer.position.or(connection.position);
                }
                continue;
            }
            Back::ErrorResponse(error) => {
                let code = response::sqlstate(error).to_owned();
                answer.error.get_or_insert(code);
                pending.clear();
            }
            Back::ParseComplete(_) => {
                if let Some(Pending::Parse { statement, visible }) = pending.pop_front() {
                    connection.prepared.insert(statement.name);
                    if !visible {
                        continue;
                    }
                }
            }
            Back::CopyInResponse(_) | Back::CopyOutResponse(_) | Back::CopyBothResponse(_) => {
                return Err(ChannelError::Unexpected("COPY".to_owned()));
            }
            other if completes(other, pending.front()) => {
                pending.pop_front();
            }
            _ => {}
        }
        message.encode(&mut answer.messages)?;
        if answer.messages.len() > MAX_ANSWER_BYTES {
            return Err(ChannelError::Unexpected("answer over 256 MiB".to_owned()));
        }
    }
}

/// Moves the box's own answers from the front of the queue into the answer.
fn append_local(pending: &mut VecDeque<Pending>, answer: &mut Answer) {
    while let Some(Pending::Local(bytes)) = pending.front() {
        answer.messages.extend_from_slice(bytes);
        pending.pop_front();
    }
}

/// Whether the message completes the answer at the front of the queue.
fn completes(message: &Back, front: Option<&Pending>) -> bool {
    let Some(Pending::Message(expect)) = front else {
        return false;
    };
    match expect {
        Expect::Bind => matches!(message, Back::BindComplete(_)),
        Expect::Describe => matches!(message, Back::RowDescription(_) | Back::NoData(_)),
        Expect::Execute => matches!(
            message,
            Back::CommandComplete(_) | Back::EmptyQueryResponse(_) | Back::PortalSuspended(_)
        ),
        Expect::Close => matches!(message, Back::CloseComplete(_)),
        Expect::Parse | Expect::Whole => false,
    }
}

/// Encodes a server's message.
pub fn encode_backend(message: &Back) -> Result<Bytes, ChannelError> {
    let mut bytes = BytesMut::new();
    message.encode(&mut bytes)?;
    Ok(bytes.freeze())
}
