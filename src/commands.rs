//! One file per command.

pub mod check;
pub mod demo;
pub mod operate;
pub mod run;
pub mod standin;

use crate::declarations::finding::Finding;

/// How a command ended, as the process's exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    Done = 0,
    Failed = 1,
    /// Nothing was started or sent.
    BadInput = 2,
}

/// Prints findings to standard error.
pub fn print_findings(findings: &[Finding]) {
    for finding in findings {
        eprintln!("{finding}");
    }
}
