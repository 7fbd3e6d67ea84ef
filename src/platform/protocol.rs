//! Statements and positions of the line protocol.

use std::str::FromStr;

use crate::decisions::position::Position;

/// A caller's statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement<'a> {
    Begin {
        read_only: bool,
    },
    Commit,
    Rollback,
    Read,
    Write,
    Set {
        name: &'a str,
        value: &'a str,
    },
    Prepare {
        name: &'a str,
        mode: Mode,
        text: &'a str,
    },
    Execute {
        name: &'a str,
        /// Everything behind the name, with the space before it.
        arguments: &'a str,
    },
    Close {
        name: &'a str,
    },
}

/// Whether a prepared statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Read,
    Write,
}

/// Splits off the first word. The rest keeps its spaces.
pub fn split_word(text: &str) -> (&str, &str) {
    text.split_once(' ').unwrap_or((text, ""))
}

impl<'a> Statement<'a> {
    /// Parses a statement. Returns `None` if the text is not a statement of the protocol.
    pub fn parse(text: &'a str) -> Option<Self> {
        let (verb, rest) = split_word(text);
        let (first, tail) = split_word(rest);
        let has_operand = !first.is_empty();
        match verb {
            "BEGIN" if rest.is_empty() => Some(Statement::Begin { read_only: false }),
            "BEGIN" if rest == "READ" => Some(Statement::Begin { read_only: true }),
            "COMMIT" if rest.is_empty() => Some(Statement::Commit),
            "ROLLBACK" if rest.is_empty() => Some(Statement::Rollback),
            "READ" if has_operand => Some(Statement::Read),
            "WRITE" if has_operand => Some(Statement::Write),
            "SET" if has_operand => Some(Statement::Set {
                name: first,
                value: tail,
            }),
            "PREPARE" if has_operand => Some(Statement::Prepare {
                name: first,
                mode: match split_word(tail).0 {
                    "READ" => Mode::Read,
                    "WRITE" => Mode::Write,
                    _ => return None,
                },
                text: tail,
            }),
            "EXECUTE" if has_operand => Some(Statement::Execute {
                name: first,
                arguments: &rest[first.len()..],
            }),
            "CLOSE" if has_operand => Some(Statement::Close { name: first }),
            _ => None,
        }
    }
}

/// Parses a position, written `TERM.INDEX`. Returns `None` for anything else, such as `-`.
pub fn parse_position(text: &str) -> Option<Position> {
    let (term, index) = text.split_once('.')?;
    let term = u64::from_str(term).ok()?;
    Some(Position::new(term, u64::from_str(index).ok()?))
}

/// Formats a position as `TERM.INDEX`, or `-` for none.
pub fn format_position(position: Option<Position>) -> String {
    match position {
        Some(position) => format!("{}.{}", position.term, position.index),
        None => "-".to_owned(),
    }
}
