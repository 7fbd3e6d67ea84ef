//! The members' own entries in the store as declarations of the product.
//!
//! An entry may come from another writer. One that lacks a field, or holds something else
//! than a member writes, declares nobody: better one member less than callers sent to a
//! stranger.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde_json::{Number, Value, json};

use super::manifest::{PARTNER, key};
use crate::declarations::check::is_name;
use crate::declarations::resource::{Key, Kind};

/// A member's entry. The role that it tells is not used: its own reports are newer.
#[derive(Clone, Debug, Deserialize)]
struct Entry {
    /// The group it belongs to.
    backend: Arc<str>,
    address: SocketAddr,
    /// Failure domain.
    zone: Arc<str>,
    state: State,
    /// Unix milliseconds of its start.
    #[serde(default)]
    born: Option<u64>,
    #[serde(flatten)]
    _unused: Unused,
}

/// Fields that only tell whether a member wrote the entry.
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
    /// It asks for no new work.
    Draining,
}

/// Why an entry declares nobody.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    #[error("no member's entry: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("{0:?} is no name")]
    Unnamed(Arc<str>),
}

/// The member under `id`, as a resource of the product.
pub fn declaration(id: &Arc<str>, bytes: &[u8]) -> Result<(Key, Value), EntryError> {
    let entry: Entry = serde_json::from_slice(bytes)?;
    // A name with a dot could pass for another member of another group.
    let names = [id, &entry.backend, &entry.zone];
    if let Some(name) = names.into_iter().find(|name| !is_name(name)) {
        return Err(EntryError::Unnamed(name.clone()));
    }
    let name: Arc<str> = format!("{}.{id}", entry.backend).into();
    let address = entry.address.to_string();
    let fields = json!({
        "partner": PARTNER,
        "group": entry.backend,
        "name": id,
        "sql": address,
        // Statements and orders share its connections.
        "control": address,
        "domain": entry.zone,
        "leaving": entry.state == State::Draining,
        "born": entry.born,
    });
    Ok((key(Kind::Member, name), fields))
}
