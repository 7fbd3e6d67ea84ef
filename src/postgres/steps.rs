//! What an exchange with a member consists of: the messages up to a Sync, a Flush
//! or the end of a simple query. The core carries it as an opaque payload.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A prepared statement under the name that all boxes give it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    pub name: Arc<str>,
    pub sql: Arc<str>,
    pub types: Vec<u32>,
}

/// What ends the answer to one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Expect {
    Parse,
    Bind,
    Describe,
    Execute,
    Close,
    /// Answered as part of the whole.
    Whole,
}

/// One thing to do on a member's connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Prepare, without telling the caller.
    Ensure(Statement),
    /// Prepare, and tell the caller.
    Parse(Statement),
    /// Send this message.
    Send { bytes: Bytes, expect: Expect },
    /// Put this into the answer at this place.
    Answer(Bytes),
}

/// What closes an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Close {
    Query,
    Sync,
    Flush,
}

/// The messages of one exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Steps {
    pub steps: Vec<Step>,
    pub close: Close,
}

impl Steps {
    /// As the core carries it.
    pub fn payload(&self) -> Bytes {
        let bytes = rmp_serde::to_vec(self).expect("steps are plain data");
        bytes.into()
    }

    pub fn from_payload(payload: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(payload)
    }
}
