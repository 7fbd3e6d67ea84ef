//! Set-up that the measuring programs in `examples/` share.

use std::time::Duration;

use tokio::runtime::{Builder, Runtime};

const DEFAULT_SECONDS: u64 = 4;

/// Returns the duration of a measurement: the first argument in seconds, or the default.
pub fn duration() -> Duration {
    let seconds = std::env::args().nth(1).and_then(|text| text.parse().ok());
    Duration::from_secs(seconds.unwrap_or(DEFAULT_SECONDS))
}

/// Builds a single-threaded runtime, as a box uses.
pub fn runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
