//! Failure detectors for members that don't answer. A refused or reset connection is evident
//! without a detector.

pub mod adaptive;
pub mod baseline;
pub mod fixed;

use std::time::Duration;

/// Suspects a member of having failed, from the times of its probes and answers.
pub trait Detector {
    /// Returns when the next probe is due.
    fn probe_due(&self) -> Duration;
    /// Records that a probe is being sent.
    fn record_probe(&mut self, now: Duration);
    /// Records an answer to a probe, or to any other request, that was sent at `sent`.
    fn record_answer(&mut self, sent: Duration, now: Duration);
    fn suspects(&self, now: Duration) -> bool;
    /// Returns when the member becomes suspect unless it answers before, if that is known.
    fn deadline(&self) -> Option<Duration>;
    /// Makes the next probe due at once. A detector may decline if it has just sent one.
    fn expedite_probe(&mut self, now: Duration);
    /// Sets the time between two regular probes.
    fn set_period(&mut self, period: Duration);
}
