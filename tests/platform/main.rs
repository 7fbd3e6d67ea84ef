//! Tests of boxes on the users' platform: real processes in front of small stand-ins for
//! the platform's store and for members that speak the line protocol.

mod boxes;
mod client;
mod entries;
mod following;
mod group;
mod member;
mod proxy;
mod store;
mod world;

mod hostile;
mod leaving;
mod reading;
mod relay;
mod reload;
mod replacement;
mod restarts;
mod sessions;
mod silent_connections;
mod soak;
mod store_restore;
mod workspaces;
