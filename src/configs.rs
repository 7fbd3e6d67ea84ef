//! Settings of the commands, with their defaults.

pub mod live;
pub mod run;
pub mod standin;
