//! Tests over real processes on loopback.

mod cli;
mod clients;
mod failover;
#[path = "../../examples/support/processes.rs"]
mod processes;
mod support;
