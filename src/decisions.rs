//! The decision logic, free of I/O and clocks: functions take events and the current time, and
//! return actions.

pub mod answers;
pub mod budget;
pub mod classify;
pub mod confirmation;
pub mod departure;
pub mod detect;
pub mod duty;
pub mod failover;
pub mod fair;
pub mod floors;
pub mod group;
pub mod latency;
pub mod limit;
pub mod owners;
pub mod partition;
pub mod position;
pub mod readers;
pub mod retry_after;
pub mod route;
pub mod setup;
