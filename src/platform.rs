//! Adapters to the users' platform: its settings file, metadata store, line protocol and
//! promotion API. They translate between the platform's formats and the project's types
//! and make no decisions; no other module knows the platform's names.

pub mod callers;
pub mod control;
pub mod failure;
pub mod line;
pub mod manifest;
pub mod member_entry;
pub mod node_file;
pub mod ports;
pub mod protocol;
pub mod ready;
pub mod reply;
pub mod settings;
pub mod store;
pub mod table;
pub mod upstream;
