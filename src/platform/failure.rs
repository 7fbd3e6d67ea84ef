//! Maps failures of an exchange to error codes and texts of the line protocol.

use crate::decisions::group::{Reason, Refusal};
use crate::node::exchange::Failure;

/// Error codes that the proxy itself sends. The first group promises that the attempt has
/// had no effect.
pub mod code {
    pub const RETRY: &str = "RETRY";
    pub const ABORTED: &str = "ABORTED";
    pub const LAGGING: &str = "LAGGING";
    pub const OVERLOAD: &str = "OVERLOAD";

    pub const UNKNOWN: &str = "UNKNOWN";
    pub const MALFORMED: &str = "MALFORMED";
    pub const NOT_PREPARED: &str = "NOSTMT";
    pub const NO_DATABASE: &str = "NODB";
    pub const NO_KEY: &str = "NOAUTH";
}

/// Returns the error code and text that a caller receives for a failure.
pub fn error_reply(failure: &Failure) -> (&'static str, String) {
    match failure {
        Failure::NotRun(refusal) => (refusal_code(refusal), refusal_text(refusal)),
        Failure::NotOwner => (code::RETRY, "not run: no box serves this group".to_owned()),
        Failure::Unknown => {
            let text = "the outcome is unknown: it may have run or not";
            (code::UNKNOWN, text.to_owned())
        }
        Failure::TransactionLost => {
            let text = "the transaction lost its connection and is rolled back";
            (code::ABORTED, text.to_owned())
        }
        Failure::ReadLost => {
            let text = "the read's answer was lost; it changed nothing";
            (code::RETRY, text.to_owned())
        }
        Failure::Unsupported { message } => (code::MALFORMED, message.clone()),
    }
}

fn refusal_code(refusal: &Refusal) -> &'static str {
    match refusal.reason {
        Reason::Overload | Reason::Limit => code::OVERLOAD,
        Reason::Retries | Reason::Replacement | Reason::NoSuccessor | Reason::CutOff => code::RETRY,
        Reason::Stale => code::LAGGING,
    }
}

fn refusal_text(refusal: &Refusal) -> String {
    let reason = match refusal.reason {
        Reason::Overload => "the wait would be too long",
        Reason::Retries => "it did not get through",
        Reason::Replacement => "the primary is being replaced",
        Reason::NoSuccessor => "the primary has left and no member can take over",
        Reason::CutOff => "too few members can be reached",
        Reason::Limit => "the workspace's limit is used up",
        Reason::Stale => "no replica is fresh enough",
    };
    let after = refusal.retry_after.as_millis().max(1);
    format!("not run: {reason}; retry after {after} ms")
}
