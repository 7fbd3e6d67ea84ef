//! The decisions' settings on the users' platform.

use std::time::Duration;

use crate::decisions::detect::baseline::Settings as Detect;
use crate::decisions::failover::{Corroboration, Settings as Replace};
use crate::decisions::group::Settings;

/// Time after its word from which nothing may reach a leaving member, where the platform
/// states no other.
pub const DRAIN: Duration = Duration::from_secs(7);
/// Part of it that is not used: for a word that is noticed late (news rests for 0.4 s), a
/// connection (0.4 s) and the steps that prepare it, behind a full queue.
const DRAIN_MARGIN: Duration = Duration::from_millis(2_500);

/// The same where leaving members get another time.
pub fn with_drain(drain: Duration) -> Settings {
    Settings {
        drain_limit: drain.saturating_sub(DRAIN_MARGIN),
        ..decisions()
    }
}

/// Settings for members that take no fence as primaries and whose statements may wait
/// behind 24 others. Runs that decided are in docs/DESIGN.md, "On the users' platform".
pub fn decisions() -> Settings {
    Settings {
        replace: Replace {
            // A claim and the fences take 30 ms: the next in rank sees them in time.
            stagger: Duration::from_millis(250),
            // Peers answer within 10 ms; each question costs them one too.
            poll_interval: Duration::from_millis(150),
            // A status and a fence, each behind a full queue.
            ballot_timeout: Duration::from_millis(1_200),
            // Another box's ballot, its wait for leases, and its promotion.
            abandon_timeout: Duration::from_millis(3_500),
            // The wait for leases, a ballot's time until the order, and 600 ms for it.
            settle_time: Duration::from_millis(2_700),
            // A lease, a look, and the platform's 300 to 600 ms.
            rival_backoff: Duration::from_millis(1_800),
            // First suspicion to new primary took 0.8 to 1.7 s.
            expected_duration: Duration::from_millis(2_500),
            // The platform takes 300 to 600 ms for it.
            promotion_timeout: Duration::from_millis(3_000),
            // Long enough that ordinary answers renew it; 500 ms cost more looks.
            lease: Duration::from_millis(800),
            // Several ways between failure domains, 1.4 ms each.
            catch_up: Duration::from_millis(30),
            promotion_clears_fences: true,
            requires_claim: true,
            corroboration: Corroboration::Majority,
            ..Replace::default()
        },
        // A late answer starts the tries at once: 450 ms to a suspicion.
        detect: Detect {
            period: Duration::from_millis(800),
            interval: Duration::from_millis(150),
            tries: 3,
        },
        secondary_period_factor: 4,
        drain_grace: Duration::from_millis(100),
        drain_limit: DRAIN.saturating_sub(DRAIN_MARGIN),
        probe_gap: Duration::from_millis(20),
        // Each order takes a slot, and a member needs some hundred ms to take over: orders
        // at each look were 50 a second from every box.
        follow_gap: Duration::from_millis(400),
        cut_off_retry: Duration::from_millis(300),
        // Mean work of a statement on the users' sheets: 6 to 40 ms.
        service_time: Duration::from_millis(15),
        // The primary answers sooner than a replica catches up (20 to 60 ms).
        replica_wait: Duration::ZERO,
        serve_leaving: true,
        // Entries that lapsed are back within two seconds.
        missing_grace: Duration::from_secs(3),
        // A statement's time: the primary's slots are for writes first.
        primary_cost: Some(Duration::from_millis(25)),
        wait_until_deadline: true,
        idle_connections_percent: 50,
        statements_per_slot: Some(5),
        ..Settings::default()
    }
}
