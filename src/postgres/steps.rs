//! The messages of one exchange with a member, up to a Sync, a Flush or the end of a simple
//! query. The core carries them between boxes as an opaque payload.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A prepared statement, under a name derived from its content so that all boxes agree on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    pub name: Arc<str>,
    pub sql: Arc<str>,
    /// Object ids of the parameter types.
    pub types: Vec<u32>,
}

/// The message whose answer is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Expect {
    Parse,
    Bind,
    Describe,
    Execute,
    Close,
    /// A simple query; its answer ends with the exchange.
    Whole,
}

/// One action of an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Prepares the statement if needed; the caller gets no answer to this.
    Ensure(Statement),
    /// Prepares the statement if needed and confirms it to the caller.
    Parse(Statement),
    /// Sends an encoded message.
    Send { bytes: Bytes, expect: Expect },
    /// Adds an encoded answer of the box itself at this place.
    Answer(Bytes),
}

/// What ends an exchange.
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
    /// Encodes the steps as the payload of an exchange.
    pub fn to_payload(&self) -> Bytes {
        let bytes = rmp_serde::to_vec(self).expect("steps can be serialized");
        bytes.into()
    }

    /// Decodes the payload of an exchange.
    pub fn from_payload(payload: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(payload)
    }
}
