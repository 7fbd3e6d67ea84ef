//! The core's failures as PostgreSQL errors.

use std::time::Duration;

use super::response::SqlError;
use crate::decisions::group::{Reason, Refusal};
use crate::node::exchange::Failure;

/// SQLSTATEs of larkfall's own answers.
pub mod state {
    /// Not run: come back after the time in the hint.
    pub const NOT_RUN: &str = "LF001";
    /// It may have run or not.
    pub const UNKNOWN: &str = "40003";
    /// A request that must not be repeated came without its key.
    pub const KEY_MISSING: &str = "LF002";
    /// A read's connection was lost; it had no effect and may be sent again.
    pub const READ_LOST: &str = "08006";
    /// The transaction was lost with its connection, and rolled back.
    pub const TRANSACTION_LOST: &str = "40001";
    pub const UNSUPPORTED: &str = "0A000";
}

/// Time to come back when this box is no owner of the group any more.
const OWNER_RETRY: Duration = Duration::from_secs(1);

/// The error that tells a caller of a failure.
pub fn to_error(failure: &Failure) -> SqlError {
    match failure {
        Failure::NotRun(refusal) => not_run(refusal),
        Failure::NotOwner => not_run(&Refusal::new(Reason::CutOff, OWNER_RETRY)),
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
    let why = match refusal.reason {
        Reason::Overload => "the expected wait passes its deadline",
        Reason::Retries => "it did not get through",
        Reason::Replacement => "the primary is being replaced",
        Reason::NoSuccessor => "the primary has left and no member can take over",
        Reason::CutOff => "no majority of the group can be seen from here",
        Reason::Limit => "the workspace's limit is used up",
        Reason::Stale => "no member that can be reached is fresh enough for this session",
    };
    let after = refusal.retry_after.as_millis().max(1);
    SqlError::error(state::NOT_RUN, format!("not run: {why}"))
        .with_hint(format!("retry after {after} ms"))
}
