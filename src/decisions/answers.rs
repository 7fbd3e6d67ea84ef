//! Matches the answers that arrive on a connection to a member with the statements sent on it.
//!
//! An answer doesn't name its statement, and a member may repeat an answer at any later time, so
//! the next answer on a connection need not be that of the statement that waits. A repetition has
//! the text of an earlier answer:
//!
//! - Statements of callers have a digest of their own. Only an answer with a new text is theirs.
//! - Commands to the member may have the same rows twice, and setup steps complete with the same
//!   text. A *barrier* behind them shows whether another answer is on its way: it is a statement
//!   that changes nothing, and a member answers in order.
//! - Errors all look alike. Only the first one on a connection is matched.
//!
//! A connection on which a member has repeated an answer, or reported an error, serves no further
//! session.

use xxhash_rust::xxh3::xxh3_64;

use crate::borders::upstream::Status;

/// Number of different answers after which a connection is replaced, which bounds the memory of a
/// [`History`].
pub const MAX_ANSWERS: usize = 512;

/// Number of barriers without another answer behind them after which a connection is replaced,
/// which bounds the barriers behind the next steps.
const MAX_LAG: usize = 8;

/// The form of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// A digest, after any rows.
    Digest,
    /// Rows without a digest.
    Rows,
    /// Neither digest nor rows.
    Completion,
    Error,
    /// Only the line that ends an answer, as after the connection was opened.
    Greeting,
}

/// What the answer to a statement looks like if the statement succeeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expected {
    pub form: Form,
    pub status: Status,
}

/// An answer that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received<'a> {
    pub form: Form,
    /// Everything but the state and the position, which a repetition may show anew.
    pub text: &'a str,
    pub status: Status,
}

/// Which statement an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Match {
    /// The statement that waits.
    Own,
    /// The statement that waits, or an earlier one with the same answer.
    Ambiguous,
    /// An earlier one.
    Repeated,
    /// Neither the statement that waits nor an earlier one, or it can't be told.
    Unknown,
}

/// The answers of one connection.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Hashes of the answers' texts.
    texts: Vec<u64>,
    has_completion: bool,
    has_error: bool,
    has_repetition: bool,
    /// Number of barriers whose own answers may still arrive, since a repetition took their place.
    lag: usize,
}

impl History {
    /// Matches the next answer.
    pub fn match_answer(&self, expected: Expected, received: &Received<'_>) -> Match {
        let fits = received.form == expected.form && received.status == expected.status;
        let is_known = self.texts.contains(&hash(received.text));
        match received.form {
            Form::Greeting => Match::Repeated,
            Form::Error if self.has_error => Match::Unknown,
            Form::Error if self.lag > 0 && expected.form != Form::Completion => Match::Ambiguous,
            Form::Error => Match::Own,
            Form::Completion if fits => Match::Own,
            Form::Digest | Form::Rows if fits && is_known => Match::Ambiguous,
            _ if fits => Match::Own,
            _ if is_known => Match::Repeated,
            _ => Match::Unknown,
        }
    }

    /// Records an answer that was matched with its statement.
    pub fn record(&mut self, received: &Received<'_>) {
        self.has_completion |= received.form == Form::Completion;
        self.has_error |= received.form == Form::Error;
        let hash = hash(received.text);
        if self.texts.contains(&hash) {
            return;
        }
        self.texts.push(hash);
        if matches!(received.form, Form::Digest | Form::Rows) {
            // Everything before this answer has arrived.
            self.lag = 0;
        }
    }

    /// Records that a barrier has completed.
    pub fn record_barrier(&mut self) {
        self.lag += 1;
    }

    /// Records that the member has repeated an answer.
    pub fn record_repetition(&mut self) {
        self.has_repetition = true;
    }

    /// Returns how many barriers are needed behind this many steps. The completion of each step may
    /// be a repetition, or the late answer to an earlier barrier, while the step itself was refused.
    pub fn barriers_behind(&self, steps: usize) -> usize {
        match steps {
            0 => 0,
            1 if !self.has_completion => 0,
            _ => 1 + self.lag,
        }
    }

    /// Whether the connection may serve further sessions.
    pub fn is_reliable(&self) -> bool {
        let is_bounded = self.texts.len() < MAX_ANSWERS && self.lag <= MAX_LAG;
        is_bounded && !self.has_error && !self.has_repetition
    }
}

fn hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
