//! What the measuring programs below `examples/` have in common.

use std::time::Duration;

use tokio::runtime::{Builder, Runtime};

const DEFAULT_SECONDS: u64 = 4;

/// Length of a measurement: the first argument in seconds, 4 without one.
pub fn length() -> Duration {
    let given = std::env::args().nth(1).and_then(|text| text.parse().ok());
    Duration::from_secs(given.unwrap_or(DEFAULT_SECONDS))
}

/// A loop on this thread, as a box has one.
pub fn runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
