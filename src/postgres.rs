//! The PostgreSQL protocol, as a codec of the core: callers on one side, members
//! on the other. The message codec is the library's, the sockets are ours.

pub mod channel;
pub mod connection;
pub mod entry;
pub mod failure;
pub mod ledger;
pub mod relay;
pub mod response;
pub mod session;
pub mod steps;
