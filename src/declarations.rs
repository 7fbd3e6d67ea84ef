//! What operators declare, checked, with every finding in its place.

pub mod check;
pub mod entry;
pub mod finding;
pub mod resource;
pub mod snapshot;
