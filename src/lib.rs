//! Larkfall: a database proxy with session consistency, run by declarations.
//!
//! Callers' messages pass from filter to filter: entry, classification,
//! admission, routing, pool, member. The decisions among them do no I/O and
//! live in [`decisions`]; sockets, time, the platform and the members stand
//! behind the traits in [`borders`].

pub mod borders;
pub mod cli;
pub mod commands;
pub mod configs;
pub mod decisions;
pub mod declarations;
pub mod events;
pub mod http;
pub mod metrics;
pub mod node;
pub mod platform;
pub mod postgres;
pub mod secret;
pub mod standin;
pub mod trial;
