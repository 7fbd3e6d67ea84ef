//! Translates the core's failures into PostgreSQL errors.

use std::time::Duration;

use super::response::SqlError;
use crate::decisions::group::{Reason, Refusal};
use crate::node::exchange::Failure;

/// SQLSTATEs of the errors that larkfall itself reports.
pub mod state {
    /// The request did not run; the hint says when to retry.
    pub const NOT_RUN: &str = "LF001";
    /// The request may have run or not.
    pub const UNKNOWN: &str = "40003";
    /// A write to a table with a `once` rule came without a key.
    pub const KEY_MISSING: &str = "LF002";
    /// The connection was lost during a read, which can safely be retried.
    pub const READ_LOST: &str = "08006";
    /// The connection was lost during a transaction, which was rolled back.
    pub const TRANSACTION_LOST: &str = "40001";
    pub const UNSUPPORTED: &str = "0A000";
}

/// Retry delay when this box no longer owns the group.
const NOT_OWNER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Returns the error that reports a failure to the caller.
pub fn to_error(failure: &Failure) -> SqlError {
    match failure {
        Failure::NotRun(refusal) => not_run(refusal),
        Failure::NotOwner => not_run(&Refusal::new(Reason::CutOff, NOT_OWNER_RETRY_DELAY)),
        Failure::Unknown => SqlError::error(
            state::UNKNOWN,
            "the outcome is unknown: the statement may have run or not",
        )
        .with_hint("look whether it took effect before it is sent again"),
        Failure::TransactionLost => SqlError::error(
            state::TRANSACTION_LOST,
            "the transaction was lost with its connection and is rolled back",
        ),
        Failure::ReadLost => SqlError::error(
            state::READ_LOST,
            "the read was lost with its connection; it may be sent again",
        ),
        Failure::Unsupported { message } => SqlError::error(state::UNSUPPORTED, message.clone()),
    }
}

fn not_run(refusal: &Refusal) -> SqlError {
    let reason = match refusal.reason {
        Reason::Overload => "the expected wait passes its deadline",
        Reason::Retries => "it did not get through",
        Reason::Replacement => "the primary is being replaced",
        Reason::NoSuccessor => "the primary has left and no member can take over",
        Reason::CutOff => "no majority of the group can be seen from here",
        Reason::Limit => "the workspace's limit is used up",
        Reason::Stale => "no member that can be reached is fresh enough for this session",
    };
    let delay_ms = refusal.retry_after.as_millis().max(1);
    SqlError::error(state::NOT_RUN, format!("not run: {reason}"))
        .with_hint(format!("retry after {delay_ms} ms"))
}
