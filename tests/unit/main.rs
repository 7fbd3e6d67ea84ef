//! Unit tests of modules, and simulations of the decisions in virtual time.

mod classify;
mod configuration;
mod copies;
mod declarations;
mod departing;
mod events;
mod fair;
mod fake;
mod floors;
mod group;
mod lease;
mod leaving;
mod limits;
mod metrics;
mod names;
mod orders;
mod owners;
mod partition;
mod pool;
mod randomised;
mod readers;
mod recorded;
mod restarted;
mod settings;
mod setup;
mod unanswered_orders;
