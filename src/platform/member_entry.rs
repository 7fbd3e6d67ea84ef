//! Parses the entries that members write to the store into member declarations.
//!
//! Other writers may write to the same table. An entry that lacks a field, or has a field of
//! the wrong type, is rejected, since callers must not be routed to an unknown address.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde_json::{Number, Value, json};

use super::manifest::{PARTNER, resource_key};
use crate::declarations::check::is_name;
use crate::declarations::resource::{Key, Kind};

/// A member's entry. Its role is not read: the member's status reports are newer.
#[derive(Clone, Debug, Deserialize)]
struct Entry {
    /// Group of the member.
    backend: Arc<str>,
    address: SocketAddr,
    /// Failure domain.
    zone: Arc<str>,
    state: State,
    /// Start of the member's process, in Unix milliseconds.
    #[serde(default)]
    born: Option<u64>,
    #[serde(flatten)]
    _unused: Unused,
}

/// Required fields whose values are not used: an entry without them is not a member's.
#[derive(Clone, Debug, Deserialize)]
struct Unused {
    #[serde(rename = "version")]
    _version: Arc<str>,
    #[serde(rename = "capacity")]
    _capacity: Number,
    #[serde(rename = "cold_remaining_ms")]
    _cold_remaining_ms: Number,
    #[serde(rename = "sequence")]
    _sequence: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    /// The member is leaving and should get no new requests.
    Draining,
}

/// Why an entry is rejected.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    #[error("not a member's entry: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("{0:?} is not a valid name")]
    InvalidName(Arc<str>),
}

/// Parses the entry of the member `id` into a resource.
pub fn parse_declaration(id: &Arc<str>, bytes: &[u8]) -> Result<(Key, Value), EntryError> {
    let entry: Entry = serde_json::from_slice(bytes)?;
    // The resource is named GROUP.ID: a dot in either would make the name ambiguous.
    let names = [id, &entry.backend, &entry.zone];
    if let Some(name) = names.into_iter().find(|name| !is_name(name)) {
        return Err(EntryError::InvalidName(name.clone()));
    }
    let name: Arc<str> = format!("{}.{id}", entry.backend).into();
    let address = entry.address.to_string();
    let fields = json!({
        "partner": PARTNER,
        "group": entry.backend,
        "name": id,
        "sql": address,
        // Statements and control commands use the same address.
        "control": address,
        "domain": entry.zone,
        "leaving": entry.state == State::Draining,
        "born": entry.born,
    });
    Ok((resource_key(Kind::Member, name), fields))
}
