//! Complete answers of members, as they arrive.

use super::line::{Channel, LineError, excerpt};
use super::protocol::{parse_position, split_word};
use crate::borders::upstream::{Rejection, Status, UpstreamError, Verdict};
use crate::decisions::answers::{Form, Received};
use crate::decisions::position::Position;

/// Digest of a statement that has none.
const NO_DIGEST: &str = "-";

/// One answer.
pub struct Reply {
    /// Lines before the READY line, with their line endings.
    pub lines: String,
    pub status: Status,
    pub position: Option<Position>,
    has_rows: bool,
    end: End,
}

/// The line before the READY line.
enum End {
    None,
    Complete { digest: String },
    Error { code: String },
}

impl Reply {
    /// Reads the next answer.
    pub async fn read(channel: &mut Channel) -> Result<Self, UpstreamError> {
        let mut lines = String::new();
        let mut has_rows = false;
        let mut end = End::None;
        loop {
            let line = channel.read().await?;
            let (verb, rest) = split_word(&line);
            let ended = !matches!(end, End::None);
            match verb {
                "READY" if ended || !has_rows => {
                    let (status, position) = parse_ready(rest)?;
                    return Ok(Self {
                        lines,
                        status,
                        position,
                        has_rows,
                        end,
                    });
                }
                "DATA" if !ended => has_rows = true,
                "COMPLETE" if !ended => {
                    let digest = rest.to_owned();
                    end = End::Complete { digest };
                }
                "ERROR" if !ended => {
                    let code = split_word(rest).0.to_owned();
                    end = End::Error { code };
                }
                _ => return Err(UpstreamError::InvalidAnswer(format!("answered {line:?}"))),
            }
            lines.push_str(&line);
            lines.push_str("\r\n");
        }
    }

    /// Returns what tells this answer from others.
    pub fn received(&self) -> Received<'_> {
        let form = match &self.end {
            End::None => Form::Greeting,
            End::Error { .. } => Form::Error,
            End::Complete { digest } if digest != NO_DIGEST => Form::Digest,
            End::Complete { .. } if self.has_rows => Form::Rows,
            End::Complete { .. } => Form::Completion,
        };
        Received {
            form,
            text: &self.lines,
            status: self.status,
        }
    }

    /// Returns the error of an answer whose statement isn't known.
    pub fn into_unknown(self) -> UpstreamError {
        let lines = excerpt(self.lines.as_bytes());
        UpstreamError::InvalidAnswer(format!("the answer to an unknown statement: {lines}"))
    }

    /// Returns the error's code, if the answer is an error.
    pub fn error(&self) -> Option<&str> {
        match &self.end {
            End::Error { code } => Some(code),
            _ => None,
        }
    }

    pub fn verdict(&self) -> Verdict {
        match self.error() {
            None => Verdict::Done,
            Some("READONLY") => Verdict::Rejection(Rejection::NotPrimary),
            Some("LAGGING") => Verdict::Rejection(Rejection::Lagging),
            Some("RETRY" | "OVERLOAD") => Verdict::Rejection(Rejection::Busy),
            Some("NOSTMT") => Verdict::Rejection(Rejection::NotPrepared),
            Some(_) => Verdict::Failed,
        }
    }
}

/// Parses the operands of a READY line: the transaction state and the position.
pub fn parse_ready(rest: &str) -> Result<(Status, Option<Position>), UpstreamError> {
    let (state, at) = split_word(rest);
    let status = match state {
        "I" => Status::Idle,
        "T" => Status::Transaction,
        "E" => Status::Failed,
        _ => return Err(UpstreamError::InvalidAnswer(format!("state {state:?}"))),
    };
    Ok((status, parse_position(at)))
}

impl From<LineError> for UpstreamError {
    fn from(error: LineError) -> Self {
        match error {
            LineError::Io(_) | LineError::Closed => UpstreamError::Lost(error.to_string()),
            _ => UpstreamError::InvalidAnswer(error.to_string()),
        }
    }
}
