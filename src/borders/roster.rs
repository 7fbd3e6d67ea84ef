//! Border to the platform's list of boxes, which lags behind reality.

use std::sync::Arc;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use super::table::TableError;

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
}

/// The platform's list of live and leaving boxes.
#[async_trait(?Send)]
pub trait Roster {
    async fn boxes(&self) -> Result<Vec<Listing>, TableError>;
}
