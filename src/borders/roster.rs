//! Border to the platform's list of boxes, which lags behind reality.

use std::sync::Arc;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use super::table::{Revision, TableError};

/// A larkfall box as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    pub name: Arc<str>,
    /// `IP:port` of its peer and resource API.
    pub address: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    #[serde(default)]
    pub leaving: bool,
    /// Width of the box's link, in Mbit/s; 0 where that is not known.
    #[serde(default)]
    pub link_mbps: u32,
}

/// The list with a tag that changes when it does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listings {
    pub tag: String,
    /// Grows with each change and is the same for every box; the default where the platform
    /// does not tell.
    pub revision: Revision,
    pub boxes: Vec<Listing>,
}

/// The platform's list of live and leaving boxes.
#[async_trait(?Send)]
pub trait Roster {
    /// The list, or none when it is still the one of `tag`: with hundreds of
    /// boxes the whole list is too much for every look.
    async fn boxes(&self, tag: &str) -> Result<Option<Listings>, TableError>;
    /// Whether the list was read at least once.
    fn is_loaded(&self) -> bool {
        true
    }
    /// Whether boxes list themselves.
    fn is_self_registered(&self) -> bool {
        false
    }
    /// Whether the list names a box just so, as far as this box has read it.
    fn contains(&self, _: &Listing) -> bool {
        false
    }
    /// Puts this box on the list.
    async fn register(&self, _: &Listing) -> Result<(), TableError> {
        Ok(())
    }
    /// Takes a box off the list.
    async fn deregister(&self, _: &str) -> Result<(), TableError> {
        Ok(())
    }
}
