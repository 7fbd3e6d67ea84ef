//! The state of the transaction on a member's connection, and what may change it.

use pgwire::messages::response::TransactionStatus;

use super::channel::ChannelError;
use crate::borders::upstream::Status;

/// Tags of the commands that begin or end a transaction.
const COMMANDS: [&str; 5] = [
    "BEGIN",
    "START TRANSACTION",
    "COMMIT",
    "ROLLBACK",
    "PREPARE TRANSACTION",
];

/// State of the transaction at the last ReadyForQuery, and what has happened since.
#[derive(Debug, Default)]
pub struct Transaction {
    status: Status,
    /// Whether a command that begins or ends a transaction is complete.
    commanded: bool,
    failed: bool,
}

impl Transaction {
    pub fn is_idle(&self) -> bool {
        self.status == Status::Idle
    }

    /// Records the tag of a completed command.
    pub fn record_tag(&mut self, tag: &str) {
        self.commanded |= COMMANDS.contains(&tag);
    }

    pub fn record_error(&mut self) {
        self.failed = true;
    }

    /// Takes the state that a member reports at the end of an answer. A state that nothing in the
    /// answer explains belongs to another answer.
    pub fn end_answer(&mut self, reported: TransactionStatus) -> Result<Status, ChannelError> {
        let status = match reported {
            TransactionStatus::Idle => Status::Idle,
            TransactionStatus::Transaction => Status::Transaction,
            TransactionStatus::Error => Status::Failed,
        };
        let before = std::mem::take(self);
        let explained = match (before.status, status) {
            // No transaction is usable after an error.
            (_, Status::Transaction) if before.failed => false,
            (from, to) if from == to => true,
            (Status::Transaction, Status::Idle) => before.commanded || before.failed,
            (Status::Transaction, Status::Failed) => before.failed,
            (_, Status::Failed) => before.commanded && before.failed,
            _ => before.commanded,
        };
        if !explained {
            let from = before.status;
            let what = format!("transaction state {status:?} after {from:?}");
            return Err(ChannelError::Unexpected(what));
        }
        self.status = status;
        Ok(status)
    }
}
