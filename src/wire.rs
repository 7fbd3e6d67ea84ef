//! The PostgreSQL wire protocol: the codec is the library's, the sockets are ours.

pub mod channel;
pub mod report;
