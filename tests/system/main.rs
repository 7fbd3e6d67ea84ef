//! Tests over real processes on loopback.

mod cli;
mod clients;
mod failover;
mod processes;
