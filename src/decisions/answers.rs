//! Matches the answers that arrive on a connection to a member with the statements sent on it.
//!
//! An answer doesn't name its statement, and a member may repeat an answer at any later time, so
//! the next answer on a connection need not be that of the statement that waits. A repetition has
//! the text of an earlier answer. An answer with a new text is therefore the statement's own, and
//! one with the text of an earlier answer is either its own or a repetition: a statement of the
//! box behind it shows which, since a member answers in order.
//!
//! The completions of setup steps all have the same text, and say nothing but that the step
//! succeeded. They are matched without further statements, but an error behind such a completion
//! may be that of the step.
//!
//! A connection on which a member has repeated an answer serves no further session.

use xxhash_rust::xxh3::xxh3_64;

use crate::borders::upstream::Status;
use crate::decisions::position::Position;

/// Number of different answers after which a connection is replaced, which bounds the memory of a
/// [`History`].
pub const MAX_ANSWERS: usize = 512;

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
    pub position: Option<Position>,
}

/// Which statement an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Match {
    /// The statement that waits.
    Own,
    /// The statement that waits, or an earlier one.
    Ambiguous,
    /// An earlier one.
    Repeated,
    /// Neither the statement that waits nor an earlier one.
    Unknown,
}

/// The answers of one connection.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Hashes of the answers' texts.
    texts: Vec<u64>,
    has_repetition: bool,
    /// Whether the last answer was a completion that may be a repetition. The error of its
    /// statement may still arrive.
    is_unsettled: bool,
    position: Option<Position>,
}

impl History {
    /// Matches the next answer.
    pub fn match_answer(&self, expected: Expected, received: &Received<'_>) -> Match {
        if received.form == Form::Greeting {
            return Match::Repeated;
        }
        let is_error = received.form == Form::Error;
        let has_form = is_error || self.has_form(expected, received);
        let is_known = self.is_known(received);
        let is_ambiguous = match received.form {
            Form::Completion => false,
            Form::Error => is_known || self.is_unsettled,
            _ => is_known,
        };
        match (has_form, is_known) {
            (true, _) if is_ambiguous => Match::Ambiguous,
            (true, _) => Match::Own,
            (false, true) => Match::Repeated,
            (false, false) => Match::Unknown,
        }
    }

    /// Records the answer to the statement that waited.
    pub fn record_own(&mut self, received: &Received<'_>) {
        let is_known = self.is_known(received);
        self.is_unsettled = received.form == Form::Completion && is_known;
        if !is_known {
            self.texts.push(hash(received.text));
        }
        self.position = received.position.max(self.position);
    }

    /// Records that the member has, or may have, repeated an answer.
    pub fn record_repetition(&mut self) {
        self.has_repetition = true;
    }

    /// Whether an answer has the form of a success.
    fn has_form(&self, expected: Expected, received: &Received<'_>) -> bool {
        let is_late = received.form == Form::Completion && self.is_before(received.position);
        received.form == expected.form && received.status == expected.status && !is_late
    }

    /// Whether an error that arrives now may be that of a step, whose completion was a repetition.
    pub fn is_unsettled(&self) -> bool {
        self.is_unsettled
    }

    /// Whether an earlier answer had the same text.
    fn is_known(&self, received: &Received<'_>) -> bool {
        self.texts.contains(&hash(received.text))
    }

    /// Whether the log had already passed `position` at an earlier answer.
    fn is_before(&self, position: Option<Position>) -> bool {
        position.is_some_and(|position| Some(position) < self.position)
    }

    /// Whether the connection may serve further sessions.
    pub fn is_reliable(&self) -> bool {
        !self.has_repetition && self.texts.len() < MAX_ANSWERS
    }
}

fn hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
