//! The decisions. No I/O, no clock: events and a time come in, actions go out.

pub mod budget;
pub mod classify;
pub mod confirm;
pub mod departure;
pub mod detect;
pub mod duty;
pub mod fair;
pub mod floors;
pub mod group;
pub mod latency;
pub mod limit;
pub mod owners;
pub mod partition;
pub mod position;
pub mod readers;
pub mod replace;
pub mod returns;
pub mod route;
pub mod setup;
