//! Tests over real processes on loopback.

mod cli;
mod clients;
mod failover;
mod hostile;
mod many;
#[path = "../../examples/support/processes.rs"]
mod processes;
mod support;
