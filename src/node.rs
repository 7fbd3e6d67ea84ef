//! A box: callers in front, owned groups behind, the resource API beside.

pub mod api;
pub mod configuration;
pub mod context;
pub mod driver;
pub mod duty;
pub mod entry;
pub mod exchange;
pub mod follow;
pub mod limits;
pub mod message;
pub mod once;
pub mod owner;
pub mod peers;
pub mod place;
pub mod pool;
pub mod routes;
pub mod run;
pub mod serving;
pub mod session;
pub mod updates;
