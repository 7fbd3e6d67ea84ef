//! The members' own entries in the store as declarations of the product.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::{Value, json};

use super::manifest::{PARTNER, key};
use crate::declarations::resource::{Key, Kind};

/// State in which a member asks for no new work.
const DRAINING: &str = "draining";

/// A member's entry. The role that it tells is not used: its own reports are newer.
#[derive(Clone, Debug, Deserialize)]
struct Entry {
    /// The group it belongs to.
    backend: Arc<str>,
    address: Arc<str>,
    /// Failure domain.
    zone: Arc<str>,
    #[serde(default)]
    state: Option<Arc<str>>,
}

/// The member under `id`, as a resource of the product.
pub fn declaration(id: &Arc<str>, bytes: &[u8]) -> Result<(Key, Value), serde_json::Error> {
    let entry: Entry = serde_json::from_slice(bytes)?;
    let name: Arc<str> = format!("{}.{id}", entry.backend).into();
    let fields = json!({
        "partner": PARTNER,
        "group": entry.backend,
        "name": id,
        "sql": entry.address,
        // Statements and orders share its connections.
        "control": entry.address,
        "domain": entry.zone,
        "leaving": entry.state.as_deref() == Some(DRAINING),
    });
    Ok((key(Kind::Member, name), fields))
}
