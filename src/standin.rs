//! Small stand-ins for the outside systems, for tests and trial.

pub mod control;
pub mod engine;
pub mod faults;
pub mod member;
pub mod platform;
pub mod ports;
pub mod session;
pub mod table;
pub mod value;
