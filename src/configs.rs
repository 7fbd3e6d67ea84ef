//! Settings, one struct a module, each with its defaults.

pub mod run;
pub mod standin;
