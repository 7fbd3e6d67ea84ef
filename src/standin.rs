//! Stand-ins for database members and the platform, for tests and the demo.

pub mod control;
pub mod engine;
pub mod faults;
pub mod member;
pub mod platform;
pub mod platform_client;
pub mod ports;
pub mod session;
pub mod value;
