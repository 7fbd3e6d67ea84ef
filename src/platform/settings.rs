//! The decisions' settings on the users' platform.

use std::time::Duration;

use crate::decisions::detect::baseline::Settings as Detect;
use crate::decisions::group::Settings;
use crate::decisions::replace::{Corroboration, Settings as Replace};

/// Settings for members that take no fence as primaries and whose statements may
/// wait behind 24 others. Figures in docs/DESIGN.md, "On the users' platform".
pub fn decisions() -> Settings {
    Settings {
        replace: Replace {
            stagger: Duration::from_millis(250),
            again: Duration::from_millis(150),
            ballot: Duration::from_millis(1_200),
            // Another box's ballot, its wait for leases, and its promotion.
            abandoned: Duration::from_millis(3_500),
            expected: Duration::from_millis(2_500),
            promotion: Duration::from_millis(3_000),
            lease: Duration::from_millis(800),
            catch_up: Duration::from_millis(30),
            fences_end: true,
            claims: true,
            corroboration: Corroboration::Majority,
            ..Replace::default()
        },
        detect: Detect {
            period: Duration::from_millis(800),
            interval: Duration::from_millis(150),
            tries: 3,
        },
        relaxed: 4,
        leave_grace: Duration::from_millis(100),
        leave_most: Duration::from_millis(4_500),
        probe_gap: Duration::from_millis(20),
        cut_off_retry: Duration::from_millis(300),
        service: Duration::from_millis(15),
        replica_wait: Duration::ZERO,
        serve_leaving: true,
        missing_grace: Duration::from_secs(3),
        primary_cost: Some(Duration::from_millis(25)),
        patient: true,
        keep: 50,
        turns: Some(5),
        ..Settings::default()
    }
}
