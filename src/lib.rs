//! Larkfall: a database proxy with session consistency, configured by declarations.
//!
//! A caller's request passes through entry, classification, admission, routing and the connection
//! pool to a member. The logic that decides how it is served does no I/O and is in [`decisions`].
//! Sockets, time, the platform and the members are accessed through the traits in [`borders`].

pub mod borders;
pub mod cli;
pub mod commands;
pub mod configs;
pub mod decisions;
pub mod declarations;
pub mod dial;
pub mod events;
pub mod http;
pub mod metrics;
pub mod node;
pub mod platform;
pub mod postgres;
pub mod secret;
pub mod standin;
pub mod trial;
