//! Tests of boxes on the users' platform: real processes in front of small stand-ins for
//! the platform's store and for members that speak the line protocol.

mod address_reuse;
mod boxes;
mod client;
mod domain_restart;
mod framing;
mod group;
mod http_framing;
mod member;
mod member_entries;
mod proxy;
mod replies;
mod store;
mod world;

mod domain_readers;
mod follower;
mod large_manifests;
mod late_orders;
mod leaving;
mod line_feeds;
mod malformed_input;
mod reload;
mod repeated_answers;
mod replacement;
mod restarts;
mod sessions;
mod silent_connections;
mod soak;
mod store_reads;
mod store_restore;
mod unlisted;
mod workspaces;
