//! Runs whole systems of stand-ins and boxes on loopback, with a workload and a checker.
//!
//! Used by the demo, the system tests and the examples.

pub mod bench;
pub mod client;
pub mod cluster;
pub mod host;
pub mod journal;
pub mod sample;
pub mod usage;
pub mod workload;
