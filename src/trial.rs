//! Trials on loopback: whole systems of stand-ins and boxes, a workload and a checker.

pub mod bench;
pub mod client;
pub mod cluster;
pub mod host;
pub mod journal;
pub mod sample;
pub mod usage;
pub mod workload;
