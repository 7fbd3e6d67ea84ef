//! Settings of a group's decisions.

use std::time::Duration;

use crate::decisions::detect::baseline::Settings as DetectSettings;
use crate::decisions::failover::Settings as FailoverSettings;

/// Settings of a group's decisions.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub failover: FailoverSettings,
    pub detect: DetectSettings,
    /// Factor on the probe period for members other than the primary, and again for
    /// owners other than the first.
    pub secondary_period_factor: u32,
    /// Time for which a read waits for a suitable replica before it goes to the primary.
    pub replica_wait: Duration,
    /// Least time from the announcement that a primary leaves to its replacement. Running
    /// statements may end meanwhile; new writes wait, unless `serve_leaving` is set.
    pub drain_grace: Duration,
    /// Time after its announcement from which a leaving member is sent nothing more. A leaving
    /// primary is then replaced even while statements run.
    pub drain_limit: Duration,
    /// Least time between two probes of a member that are sent for waiting requests.
    pub probe_gap: Duration,
    /// Least time between two orders to a member to follow the primary.
    pub follow_gap: Duration,
    /// Delay proposed to a refused caller while this box sees no majority.
    pub cut_off_retry: Duration,
    /// Assumed duration of a statement before any was measured.
    pub service_time: Duration,
    /// Part of the lease that is not used. Covers differing clocks and the delay of an
    /// answer on its way out of the process.
    pub lease_margin: Duration,
    /// Whether a leaving primary serves until another member is about to be promoted.
    pub serve_leaving: bool,
    /// Time for which a member that is missing from the list stays in the group: lists
    /// lag, and entries of live members may expire while the store is unreachable.
    pub missing_grace: Duration,
    /// Least time for which the members differ from the recorded ones before they are recorded
    /// again, for each rank.
    pub record_delay: Duration,
    /// Random part of that time, so that the owners of many groups don't write at once.
    pub record_spread: Duration,
    /// Time after which the members are recorded again if the record still differs.
    pub record_retry: Duration,
    /// Added to the primary's expected wait when it competes with replicas for a read.
    /// `None`: the primary serves reads only if no replica is suitable.
    pub primary_cost: Option<Duration>,
    /// Whether requests wait for a primary until their deadline, even if the replacement
    /// is expected to take longer.
    pub wait_until_deadline: bool,
    /// Idle connections kept open, as a percentage of this box's share.
    pub idle_connections_percent: u32,
    /// Concurrent statements per slot of a member, over all boxes. `None`: only the number
    /// of connections limits them.
    pub statements_per_slot: Option<u32>,
    /// Whether a transaction that is idle between statements frees its queue slot and keeps
    /// only its connection.
    pub idle_frees_slot: bool,
    /// Whether requests that can't meet their latency target wait behind the others instead
    /// of being refused. Refused callers then get staggered retry times.
    pub serve_late: bool,
    /// Whether the loss of a whole failure domain must be tolerated: if a member of another
    /// domain is silent, the members of all other domains are probed.
    pub domain_loss: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failover: FailoverSettings::default(),
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
            record_delay: Duration::from_secs(1),
            record_spread: Duration::ZERO,
            record_retry: Duration::from_secs(5),
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
