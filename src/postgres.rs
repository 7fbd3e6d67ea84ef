//! Codec of the core for the PostgreSQL protocol: serves callers and connects to members.
//! Messages are encoded and decoded by `pgwire`; sockets and sessions are implemented here.

pub mod channel;
pub mod connection;
pub mod entry;
pub mod failure;
mod frame;
pub mod ledger;
mod pending;
pub mod relay;
pub mod response;
pub mod session;
pub mod steps;
mod transaction;
