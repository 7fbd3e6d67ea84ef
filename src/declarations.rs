//! Resources that operators declare: parsing, validation and the snapshot that boxes use.

pub mod check;
pub mod entry;
pub mod finding;
pub mod resource;
pub mod snapshot;
