//! A mistake in a declaration or a setting, with its place.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One mistake. The line is none where there are no lines, as in a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    pub file: Arc<str>,
    pub line: Option<usize>,
    pub field: String,
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        write!(f, ": {}: {}", self.field, self.message)
    }
}
