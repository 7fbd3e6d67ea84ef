//! Access to the platform's list of boxes, which lags behind their actual state.

use std::sync::Arc;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use super::table::{Revision, TableError};

/// A larkfall box as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    pub name: Arc<str>,
    /// `IP:port` of the box's peer and resource API.
    pub address: Arc<str>,
    /// Failure domain of the box.
    pub domain: Arc<str>,
    #[serde(default)]
    pub leaving: bool,
    /// Bandwidth of the box's link in Mbit/s; 0 if unknown.
    #[serde(default)]
    pub link_mbps: u32,
}

/// The listed boxes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listings {
    /// Changes whenever the list changes.
    pub tag: String,
    /// Increases with each change, and is the same on all boxes; the default if the platform
    /// doesn't report a revision.
    pub revision: Revision,
    pub boxes: Vec<Listing>,
}

/// How a box gets its first list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Source {
    /// Not decided yet: other boxes are being asked.
    #[default]
    Undecided,
    /// Other boxes pass on the list, so it need not be read unless polling resumes.
    Peers,
    /// The list is read from the platform.
    Platform,
}

/// The platform's list of live and leaving boxes.
#[async_trait(?Send)]
pub trait Roster {
    /// Returns the list, or none if its tag is still `tag`.
    async fn boxes(&self, tag: &str) -> Result<Option<Listings>, TableError>;
    /// Whether the list has been read at least once.
    fn is_loaded(&self) -> bool {
        true
    }
    /// Whether boxes add themselves to the list.
    fn is_self_registered(&self) -> bool {
        false
    }
    /// Whether the list, as last read, contains this exact listing.
    fn contains(&self, _: &Listing) -> bool {
        false
    }
    /// Adds boxes to the list, all or none.
    async fn register(&self, _: &[Listing]) -> Result<(), TableError> {
        Ok(())
    }
    /// Sets how this box gets its first list.
    fn set_source(&self, _: Source) {}
    /// Removes the box of this name from the list.
    async fn deregister(&self, _: &str) -> Result<(), TableError> {
        Ok(())
    }
}
