//! The users' platform: its names, formats and calls, translated to the borders of
//! the core. Nothing here decides, and nothing outside knows these names.

pub mod callers;
pub mod control;
pub mod failure;
pub mod file;
pub mod line;
pub mod manifest;
pub mod members;
pub mod ports;
pub mod ready;
pub mod settings;
pub mod store;
pub mod table;
pub mod upstream;
pub mod words;
