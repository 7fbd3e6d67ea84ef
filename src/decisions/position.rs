//! Positions in a group's replicated log.
//!
//! A position is the term of the newest entry and its index. Indexes continue across terms, so
//! a member whose log reaches a confirmed position holds everything before it. A session's
//! *floor* is the least position that a member must have applied to serve the session.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

const TOKEN_VERSION: &str = "v1";

/// Term and index of a log entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    pub term: u64,
    pub index: u64,
}

impl Position {
    pub const ZERO: Position = Position { term: 0, index: 0 };

    pub fn new(term: u64, index: u64) -> Self {
        Self { term, index }
    }

    /// Whether a log that ends here holds everything up to `floor`.
    pub fn covers(self, floor: Position) -> bool {
        self.term >= floor.term && self.index >= floor.index
    }

    /// Returns the least position that covers both.
    pub fn join(self, other: Position) -> Position {
        Position {
            term: self.term.max(other.term),
            index: self.index.max(other.index),
        }
    }

    /// Returns the token that a caller may hand in at start-up on any box.
    pub fn token(self) -> String {
        format!("{TOKEN_VERSION}.{}.{}", self.term, self.index)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.index)
    }
}

/// Why a token could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    #[error("a token has three parts, v1.TERM.INDEX")]
    Shape,
    #[error("token version {0:?} is not known here")]
    Version(String),
    #[error("token part {0:?} is not a number")]
    Number(String),
}

impl FromStr for Position {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, TokenError> {
        let parts: Vec<&str> = text.trim().split('.').collect();
        let [version, term, index] = parts[..] else {
            return Err(TokenError::Shape);
        };
        if version != TOKEN_VERSION {
            return Err(TokenError::Version(version.to_owned()));
        }
        let number = |part: &str| {
            part.parse()
                .map_err(|_| TokenError::Number(part.to_owned()))
        };
        Ok(Position {
            term: number(term)?,
            index: number(index)?,
        })
    }
}
