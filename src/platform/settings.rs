//! Settings of the group decisions on the users' platform.

use std::time::Duration;

use crate::decisions::detect::baseline::Settings as Detect;
use crate::decisions::failover::{Corroboration, Settings as Replace};
use crate::decisions::group::Settings;

/// Default time after a member's leave notice from which no request may reach the member.
pub const DEFAULT_DRAIN: Duration = Duration::from_secs(7);
/// Part of the drain time held back: the notice may be read 0.4 s late, and connecting to the
/// member, up to 0.4 s, and preparing the connection behind a full queue takes time.
const DRAIN_MARGIN: Duration = Duration::from_millis(2_500);

/// Returns the group settings for a platform with this drain time.
pub fn group_settings_with_drain(drain: Duration) -> Settings {
    Settings {
        drain_limit: drain.saturating_sub(DRAIN_MARGIN),
        ..group_settings()
    }
}

/// Returns the group settings for members that take no fence while they are primary, and whose
/// statements may wait in a long queue.
pub fn group_settings() -> Settings {
    Settings {
        failover: Replace {
            // Long enough for the next box in rank to see the claim and the fences, which take 30 ms.
            stagger: Duration::from_millis(250),
            // Peers answer within 10 ms, and each poll costs them an answer.
            poll_interval: Duration::from_millis(150),
            // Covers a status and a fence, each behind a full queue.
            ballot_timeout: Duration::from_millis(1_200),
            // Covers another box's ballot, its wait for leases and its promotion.
            abandon_timeout: Duration::from_millis(3_500),
            // Covers the wait for leases, a ballot up to the order, and the promotion.
            settle_time: Duration::from_millis(2_700),
            // Covers a lease, one status poll and the promotion.
            rival_backoff: Duration::from_millis(1_800),
            expected_duration: Duration::from_millis(2_500),
            promotion_timeout: Duration::from_millis(3_000),
            // Long enough for ordinary answers to renew the lease; 500 ms needed extra probes.
            lease: Duration::from_millis(800),
            // Covers several round trips between failure domains, 1.4 ms one way.
            catch_up: Duration::from_millis(30),
            promotion_clears_fences: true,
            requires_claim: true,
            corroboration: Corroboration::Majority,
            ..Replace::default()
        },
        // A late answer starts the probes at once: 450 ms to a suspicion.
        detect: Detect {
            period: Duration::from_millis(800),
            interval: Duration::from_millis(150),
            tries: 3,
        },
        secondary_period_factor: 4,
        drain_grace: Duration::from_millis(100),
        drain_limit: DEFAULT_DRAIN.saturating_sub(DRAIN_MARGIN),
        probe_gap: Duration::from_millis(20),
        // Each order takes one of the member's slots, and the member needs some hundred ms to carry
        // it out. An order with each poll would be 50 a second from every box.
        follow_gap: Duration::from_millis(400),
        cut_off_retry: Duration::from_millis(300),
        service_time: Duration::from_millis(15),
        // The primary answers sooner than a replica catches up.
        replica_wait: Duration::ZERO,
        serve_leaving: true,
        // Members renew a lapsed entry well within this time.
        missing_grace: Duration::from_secs(3),
        // About the time of one statement: the primary's slots are kept for writes.
        primary_cost: Some(Duration::from_millis(25)),
        wait_until_deadline: true,
        idle_connections_percent: 50,
        statements_per_slot: Some(5),
        ..Settings::default()
    }
}
