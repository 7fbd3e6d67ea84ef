pub mod empty_grant;
pub mod late_order;
