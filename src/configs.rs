//! Settings, one struct a module, each with its defaults.

pub mod live;
pub mod run;
pub mod standin;
