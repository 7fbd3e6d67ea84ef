//! Failure detectors for silence. A refused or reset connection needs none.

pub mod adaptive;
pub mod baseline;
pub mod fixed;

use std::time::Duration;

/// Decides from probes and answers whether the other side is to be suspected.
pub trait Detector {
    /// When the next probe is due.
    fn due(&self) -> Duration;
    fn sent(&mut self, now: Duration);
    /// An answer came to a probe that was sent at `sent`. Other traffic counts too.
    fn heard(&mut self, sent: Duration, now: Duration);
    fn suspects(&self, now: Duration) -> bool;
    /// Moment at which the silence so far becomes a suspicion, if it lasts.
    fn deadline(&self) -> Option<Duration>;
    /// Has the next probe sent at once, unless the last one is quite recent.
    fn hurry(&mut self, now: Duration);
    /// Changes the time between two probes, where the detector has one.
    fn set_period(&mut self, period: Duration);
}
