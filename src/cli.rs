//! The command line.

pub mod flags;
