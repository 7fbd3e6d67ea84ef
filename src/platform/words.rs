//! Statements and answers of the line protocol, as typed values.

use std::str::FromStr;

use crate::decisions::position::Position;

/// A statement of a caller.
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
        arguments: &'a str,
    },
    Close {
        name: &'a str,
    },
}

/// What a prepared statement does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Read,
    Write,
}

/// Splits off the first word; the rest keeps its blanks.
pub fn word(text: &str) -> (&str, &str) {
    text.split_once(' ').unwrap_or((text, ""))
}

impl<'a> Statement<'a> {
    /// None for what is no statement of the protocol.
    pub fn parse(text: &'a str) -> Option<Self> {
        let (verb, rest) = word(text);
        let (first, tail) = word(rest);
        let named = !first.is_empty();
        match verb {
            "BEGIN" if rest.is_empty() => Some(Statement::Begin { read_only: false }),
            "BEGIN" if rest == "READ" => Some(Statement::Begin { read_only: true }),
            "COMMIT" if rest.is_empty() => Some(Statement::Commit),
            "ROLLBACK" if rest.is_empty() => Some(Statement::Rollback),
            "READ" if named => Some(Statement::Read),
            "WRITE" if named => Some(Statement::Write),
            "SET" if named => Some(Statement::Set {
                name: first,
                value: tail,
            }),
            "PREPARE" if named => Some(Statement::Prepare {
                name: first,
                mode: match word(tail).0 {
                    "READ" => Mode::Read,
                    "WRITE" => Mode::Write,
                    _ => return None,
                },
                text: tail,
            }),
            "EXECUTE" if named => Some(Statement::Execute {
                name: first,
                arguments: tail,
            }),
            "CLOSE" if named => Some(Statement::Close { name: first }),
            _ => None,
        }
    }
}

/// A position as the protocol writes it: TERM.NUMBER, or `-` for none.
pub fn position(text: &str) -> Option<Position> {
    let (term, index) = text.split_once('.')?;
    let term = u64::from_str(term).ok()?;
    Some(Position::new(term, u64::from_str(index).ok()?))
}

/// The position in the protocol's words.
pub fn position_text(position: Option<Position>) -> String {
    match position {
        Some(position) => format!("{}.{}", position.term, position.index),
        None => "-".to_owned(),
    }
}
