//! Trait objects at the borders: sockets, time, the platform, the members.

pub mod clock;
pub mod member;
pub mod roster;
pub mod table;
pub mod upstream;
