//! A box: serves callers, acts as an owner of groups, and offers the resource API.

pub mod api;
pub mod configuration;
pub mod context;
pub mod driver;
pub mod duty;
pub mod entry;
pub mod exchange;
pub mod follow;
pub mod joining;
pub mod limits;
pub mod membership;
pub mod message;
pub mod once;
pub mod owner;
pub mod peers;
pub mod pool;
pub mod registrar;
pub mod request;
pub mod routes;
pub mod run;
pub mod session;
pub mod slot;
pub mod updates;
