pub mod empty_grant;
pub mod late_order;
pub mod silent_connections;
