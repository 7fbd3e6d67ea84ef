//! Tests of single modules and of the decisions in virtual time.

mod classify;
mod declarations;
mod events;
mod fake;
mod randomised;
mod settings;
