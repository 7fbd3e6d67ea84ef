//! Tests of boxes and members that run as processes and talk over loopback.

mod cli;
mod clients;
mod failover;
mod hostile;
mod many;
#[path = "../../examples/support/processes.rs"]
mod processes;
mod repeated_answers;
mod scripted_member;
mod support;
