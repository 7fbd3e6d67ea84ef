//! Traits for everything outside the process: connections, time, the platform and the members.

pub mod clock;
pub mod member;
pub mod roster;
pub mod table;
pub mod upstream;
