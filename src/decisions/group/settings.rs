//! Settings of the decisions about a group.

use std::time::Duration;

use crate::decisions::detect::baseline::Settings as DetectSettings;
use crate::decisions::replace::Settings as ReplaceSettings;

/// Settings of the decisions about a group.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub replace: ReplaceSettings,
    pub detect: DetectSettings,
    /// The period grows by this factor for members that are not the primary, and
    /// again for owners that are not the first.
    pub secondary_period_factor: u32,
    /// Time a read waits for a replica before it goes to the primary.
    pub replica_wait: Duration,
    /// Time that a leaving primary's statements get, at every owner, before another
    /// is promoted; new writes wait meanwhile.
    pub drain_grace: Duration,
    /// The same, at most: longer transactions are cut off.
    pub drain_limit: Duration,
    /// Least time between two probes of a member on behalf of waiting requests.
    pub probe_gap: Duration,
    /// Least time between two orders to a member to follow the primary.
    pub follow_gap: Duration,
    /// Time that a refused caller is told to wait while no majority is in sight.
    pub cut_off_retry: Duration,
    /// Guess of a statement's time before any was measured.
    pub service_time: Duration,
    /// Part of the lease that is not used: for clocks that differ and the way of an
    /// answer out of the process.
    pub lease_margin: Duration,
    /// A leaving primary serves until another is about to take over.
    pub serve_leaving: bool,
    /// A member that is missing from the list is still one for this long: lists lag,
    /// and lose members that live while their keeper is away.
    pub missing_grace: Duration,
    /// What a read on the primary costs more than on a replica, as a wait; none where
    /// reads go there only when no replica fits.
    pub primary_cost: Option<Duration>,
    /// Requests wait for a primary until their time is up, whatever is expected.
    pub wait_until_deadline: bool,
    /// Connections kept open without use, as a percentage of this box's share.
    pub idle_connections_percent: u32,
    /// Statements at a member at once, from all boxes, for each of its slots; none
    /// where connections alone bound them.
    pub statements_per_slot: Option<u32>,
    /// A transaction that rests between its statements takes no turn, only a connection.
    pub idle_frees_slot: bool,
    /// Requests that can't be answered within their aim wait behind the others, and refused
    /// callers are told to come back one after the other.
    pub serve_late: bool,
    /// The loss of a whole failure domain is to be borne: where a member of another one is
    /// silent, all of those are looked at.
    pub domain_loss: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            replace: ReplaceSettings::default(),
            detect: DetectSettings {
                period: Duration::from_millis(1_000),
                interval: Duration::from_millis(200),
                tries: 3,
            },
            secondary_period_factor: 4,
            replica_wait: Duration::from_millis(5),
            drain_grace: Duration::from_millis(1_500),
            drain_limit: Duration::from_secs(5),
            probe_gap: Duration::from_millis(2),
            follow_gap: Duration::from_millis(100),
            cut_off_retry: Duration::from_secs(1),
            service_time: Duration::from_millis(2),
            lease_margin: Duration::from_millis(50),
            serve_leaving: false,
            missing_grace: Duration::ZERO,
            primary_cost: None,
            wait_until_deadline: false,
            idle_connections_percent: 100,
            statements_per_slot: None,
            idle_frees_slot: false,
            serve_late: false,
            domain_loss: false,
        }
    }
}
