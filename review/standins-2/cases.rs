pub mod empty_grant;
pub mod late_order;
pub mod stop_in_transactions;
