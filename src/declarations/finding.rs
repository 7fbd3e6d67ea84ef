//! An error in a declaration or a setting, with its location.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One error in a declaration or a setting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// File, or the source of the input if that is no file.
    pub file: Arc<str>,
    /// Line in the file; `None` for input without lines, such as a request or flags.
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
