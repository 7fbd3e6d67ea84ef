//! The messages that an answer must consist of, in the order of the steps that ask for them.
//!
//! PostgreSQL's answers carry no id, and members sometimes send an answer twice. Each exchange
//! therefore starts with messages that have no effect, in a number that differs from that of the
//! exchanges before ([`Mark`]); the answer must start with as many confirmations, and go on with
//! the messages that the steps ask for. An answer to an earlier exchange does neither.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use pgwire::messages::PgWireBackendMessage as Back;

use super::channel::ChannelError;
use super::steps::{Close, Expect, Statement};

/// The number of messages without effect that an exchange starts with.
#[derive(Clone, Copy, Debug)]
pub struct Mark(usize);

impl Mark {
    /// Number of successive exchanges with different marks.
    const CYCLE: u64 = 8;
    /// Closes a prepared statement that is never prepared, as the names of all others go on after
    /// this one's.
    const MESSAGE: &[u8] = b"C\0\0\0\x09Slf_\0";

    /// Returns the mark of an exchange whose own answer starts with `closes` confirmations of the
    /// same kind, which look like the mark's.
    fn new(exchange: u64, closes: usize) -> Self {
        let cycle = Self::CYCLE;
        let count = (exchange % cycle + cycle - closes as u64 % cycle) % cycle;
        Self(1 + count as usize)
    }

    pub fn messages(self) -> Vec<u8> {
        Self::MESSAGE.repeat(self.0)
    }
}

/// One part of the answer.
enum Part {
    /// The confirmation of a message of the mark.
    Mark,
    /// The confirmation of a Parse, passed on to the caller if `visible`.
    Parse {
        statement: Statement,
        visible: bool,
    },
    Message(Expect),
    /// An answer of the box itself, added once all earlier answers are complete.
    Local(Bytes),
}

/// How far the part at the front of the queue has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    Awaited,
    /// Columns or parameters are described.
    Described,
    /// Rows of an Execute have come.
    Rows,
    /// A statement of a simple query is complete; others may follow.
    Complete,
}

/// What to do with an accepted message.
#[derive(Debug, PartialEq, Eq)]
pub enum Accepted {
    Visible,
    Hidden,
    /// A statement is prepared.
    Prepared {
        statement: Statement,
        visible: bool,
    },
}

/// The parts of an answer that have not come yet.
pub struct Pending {
    parts: VecDeque<Part>,
    progress: Progress,
    close: Close,
    failed: bool,
}

impl Pending {
    pub fn new(close: Close) -> Self {
        Self {
            parts: VecDeque::new(),
            progress: Progress::Awaited,
            close,
            failed: false,
        }
    }

    /// Awaits nothing but the end of an exchange whose messages the member skips.
    pub fn skipped(close: Close) -> Self {
        Self {
            failed: true,
            ..Self::new(close)
        }
    }

    /// Puts the mark of an exchange before all other parts.
    pub fn mark(&mut self, exchange: u64) -> Mark {
        let own = |part: &&Part| !matches!(part, Part::Local(_));
        let close = |part: &&Part| matches!(part, Part::Message(Expect::Close));
        let closes = self.parts.iter().filter(own).take_while(close).count();
        let mark = Mark::new(exchange, closes);
        for _ in 0..mark.0 {
            self.parts.push_front(Part::Mark);
        }
        mark
    }

    pub fn push_parse(&mut self, statement: Statement, visible: bool) {
        self.parts.push_back(Part::Parse { statement, visible });
    }

    /// Whether the exchange prepares the statement of this name already.
    pub fn prepares(&self, name: &str) -> bool {
        let parse =
            |part: &Part| matches!(part, Part::Parse { statement, .. } if &*statement.name == name);
        self.parts.iter().any(parse)
    }

    pub fn push(&mut self, expect: Expect) {
        self.parts.push_back(Part::Message(expect));
    }

    pub fn push_local(&mut self, bytes: Bytes) {
        self.parts.push_back(Part::Local(bytes));
    }

    /// Moves the box's own answers from the front of the queue into the answer.
    pub fn take_local(&mut self, messages: &mut BytesMut) {
        while let Some(Part::Local(bytes)) = self.parts.front() {
            messages.extend_from_slice(bytes);
            self.parts.pop_front();
        }
    }

    /// Whether the answer to an exchange that ends with a Flush is complete.
    pub fn is_flushed(&self) -> bool {
        self.close == Close::Flush && (self.parts.is_empty() || self.failed)
    }

    /// Whether the answer itself has begun, after the confirmations of the mark.
    pub fn has_begun(&self) -> bool {
        !matches!(self.parts.front(), Some(Part::Mark))
    }

    /// Accepts a message that only an awaited part may bring; any other is unexpected.
    pub fn accept(&mut self, message: &Back) -> Result<Accepted, ChannelError> {
        let accepted = match (self.parts.front(), message) {
            (Some(Part::Mark), Back::CloseComplete(_)) => self.pop(Accepted::Hidden),
            (Some(Part::Parse { .. }), Back::ParseComplete(_)) => self.pop_parse(),
            (Some(Part::Message(expect)), message) => self.accept_part(*expect, message),
            _ => None,
        };
        accepted.ok_or_else(|| unexpected(message))
    }

    /// Accepts an error, after which the member skips the rest of the exchange.
    pub fn accept_error(&mut self, error: &Back) -> Result<(), ChannelError> {
        if self.failed || !self.has_begun() {
            return Err(unexpected(error));
        }
        self.failed = true;
        self.parts.clear();
        Ok(())
    }

    /// Accepts the end of the answer, when nothing else is awaited.
    pub fn accept_end(&mut self, ready: &Back) -> Result<(), ChannelError> {
        let complete = match self.parts.front() {
            None => true,
            Some(Part::Message(Expect::Whole)) => self.progress == Progress::Complete,
            Some(_) => false,
        };
        match complete && self.close != Close::Flush {
            true => Ok(()),
            false => Err(unexpected(ready)),
        }
    }

    fn accept_part(&mut self, expect: Expect, message: &Back) -> Option<Accepted> {
        use Progress::{Awaited, Complete, Described, Rows};
        let progress = self.progress;
        match (expect, message) {
            (Expect::Bind, Back::BindComplete(_))
            | (Expect::Close, Back::CloseComplete(_))
            | (Expect::Describe, Back::RowDescription(_) | Back::NoData(_))
            | (Expect::Execute, Back::CommandComplete(_) | Back::PortalSuspended(_)) => {
                self.pop(Accepted::Visible)
            }
            (Expect::Execute, Back::EmptyQueryResponse(_)) if progress == Awaited => {
                self.pop(Accepted::Visible)
            }
            (Expect::Execute, Back::DataRow(_)) => self.stay(Rows),
            (Expect::Describe, Back::ParameterDescription(_)) if progress == Awaited => {
                self.stay(Described)
            }
            // The queries that a rule adds to a statement describe their rows too.
            (Expect::Whole, Back::RowDescription(_)) => self.stay(Described),
            (Expect::Whole, Back::DataRow(_)) if progress == Described => self.stay(Described),
            (Expect::Whole, Back::CommandComplete(_)) => self.stay(Complete),
            (Expect::Whole, Back::EmptyQueryResponse(_)) if progress == Awaited => {
                self.stay(Complete)
            }
            _ => None,
        }
    }

    fn stay(&mut self, progress: Progress) -> Option<Accepted> {
        self.progress = progress;
        Some(Accepted::Visible)
    }

    fn pop(&mut self, accepted: Accepted) -> Option<Accepted> {
        self.parts.pop_front();
        self.progress = Progress::Awaited;
        Some(accepted)
    }

    fn pop_parse(&mut self) -> Option<Accepted> {
        let Some(Part::Parse { statement, visible }) = self.parts.pop_front() else {
            return None;
        };
        Some(Accepted::Prepared { statement, visible })
    }
}

/// Returns the error about a message that is no part of the awaited answer. Names its kind only:
/// its content may be another caller's.
fn unexpected(message: &Back) -> ChannelError {
    let text = format!("{message:?}");
    let kind = text.split(['(', ' ']).next().unwrap_or_default();
    ChannelError::Unexpected(format!("{kind} is no part of the awaited answer"))
}
