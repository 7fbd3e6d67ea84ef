//! Detects whether a network partition separates this box from the majority of its groups.
//!
//! An owner knows by itself whether it reaches a majority of a group's members. A box that
//! doesn't own every group also asks owners of the others, but only while it suspects a
//! partition, since asking all the time would load every owner.
//!
//! A balancer leaves a failure domain only once all boxes of that domain report that they aren't
//! ready. A box that gets no answer from any other domain therefore alerts a few boxes of its
//! own domain, which check at once and alert others in turn. An alert alone decides nothing:
//! each box relies on its own groups and on the replies of owners.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::borders::roster::Listing;

/// Time between two queries to owners; shorter than the seconds a balancer takes to fail over.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two queries after an alert, which may arrive before the owners have noticed.
const ALERTED_QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a refusal or an alert keeps a partition suspected, and minimum time between
/// two rounds of alerts.
const SUSPICION_PERIOD: Duration = Duration::from_secs(2);
/// Number of alerted boxes that follow this box by name. Together these links form a ring, so
/// an alert reaches the whole failure domain.
const NEXT_TARGETS: usize = 2;
/// Number of alerted boxes that are chosen at random, which makes alerts spread exponentially.
const RANDOM_TARGETS: usize = 2;

/// How many groups there are, and which of them this box owns and reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// All groups.
    pub groups: usize,
    /// Groups that this box owns.
    pub owned: usize,
    /// Whether the list of boxes, which determines the owners, is no longer filling.
    pub list_settled: bool,
    /// Owned groups whose majority this box reaches.
    pub with_majority: usize,
    /// Owned groups whose majority this box doesn't reach. The remaining owned groups are
    /// undetermined.
    pub without_majority: usize,
}

impl Counts {
    /// Whether the box is partitioned, if its own groups suffice to tell.
    fn verdict(&self) -> Option<bool> {
        if self.with_majority > 0 {
            return Some(false);
        }
        (self.owned == self.groups).then_some(self.owned > 0 && self.without_majority == self.owned)
    }
}

/// When members of another failure domain last answered and last failed to answer.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    answered: Option<Duration>,
    failed: Option<Duration>,
}

impl Contact {
    fn is_silent(&self) -> bool {
        self.failed > self.answered
    }
}

/// Tracks whether this box is partitioned.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    /// Other failure domains that have members this box watches.
    other_domains: BTreeMap<Arc<str>, Contact>,
    /// When this box last alerted others of its failure domain.
    alerted: Option<Duration>,
    counts: Counts,
    /// When a request last failed because no majority or no owner could be reached.
    refused: Option<Duration>,
    /// When another box of the failure domain last sent an alert.
    alert_received: Option<Duration>,
    queried: Option<Duration>,
    /// Whether any owner has given a definite reply since this box started.
    owner_replied: bool,
    partitioned: bool,
}

impl Monitor {
    pub fn is_partitioned(&self) -> bool {
        self.partitioned
    }

    /// Updates the state of the box's own groups.
    pub fn update_counts(&mut self, counts: Counts, now: Duration) {
        if counts.without_majority > self.counts.without_majority {
            // Has the owners of other groups queried at once.
            self.alert_received = Some(now);
        }
        self.counts = counts;
        if let Some(verdict) = counts.verdict() {
            self.partitioned = verdict;
        }
    }

    /// Records that an owner reached no majority of its group, or that no owner was reached.
    pub fn record_refusal(&mut self, now: Duration) {
        self.refused = Some(now);
    }

    /// Records an alert from another box of the same failure domain. Returns whether this box
    /// should alert others in turn, as it hasn't done so recently.
    pub fn record_alert(&mut self, now: Duration) -> bool {
        self.alert_received = Some(now);
        self.try_start_alerts(now)
    }

    /// Records that a member of another failure domain answered.
    pub fn record_answer(&mut self, domain: &Arc<str>, now: Duration) {
        match self.other_domains.get_mut(domain) {
            Some(contact) => contact.answered = Some(now),
            None => {
                let contact = Contact {
                    answered: Some(now),
                    failed: None,
                };
                self.other_domains.insert(domain.clone(), contact);
            }
        }
    }

    /// Records that a member of another failure domain didn't answer in time. Returns whether
    /// this box should alert others, as all other domains are silent.
    pub fn record_failure(&mut self, domain: &Arc<str>, now: Duration) -> bool {
        self.other_domains.entry(domain.clone()).or_default().failed = Some(now);
        self.other_domains.values().all(Contact::is_silent) && self.try_start_alerts(now)
    }

    /// Starts a round of alerts unless the last one was recent. Returns whether it was started.
    fn try_start_alerts(&mut self, now: Duration) -> bool {
        let allowed = self
            .alerted
            .is_none_or(|alerted| now >= alerted + SUSPICION_PERIOD);
        if allowed {
            self.alerted = Some(now);
        }
        allowed
    }

    /// Returns when to query owners next, if a query is needed.
    pub fn query_due(&self, now: Duration) -> Option<Duration> {
        if self.counts.verdict().is_some() {
            return None;
        }
        let suspicion = self.refused.max(self.alert_received);
        let suspected = suspicion.is_some_and(|since| now < since + SUSPICION_PERIOD);
        // A box that restarts in a partitioned domain must find out before it reports ready:
        // as the only ready box, it would get all callers of the domain. On the very first
        // start it waits for the list to settle, or all boxes would query the first few listed.
        let unconfirmed = !self.owner_replied && self.counts.list_settled;
        let needed = self.partitioned || self.counts.owned > 0 || suspected || unconfirmed;
        let interval = match self.alert_received > self.queried && !self.partitioned {
            true => ALERTED_QUERY_INTERVAL,
            false => QUERY_INTERVAL,
        };
        let next = self.queried.map_or(now, |queried| queried + interval);
        needed.then_some(next)
    }

    /// Records that owners are being queried.
    pub fn record_query(&mut self, now: Duration) {
        self.queried = Some(now);
    }

    /// Updates the verdict from the replies of owners: whether each reaches a majority of its
    /// group, or `None` if the owner can't tell. Undetermined replies are ignored: they come from owners
    /// that have just started, and would end the state of a domain that is still partitioned.
    pub fn record_replies(&mut self, replies: &[Option<bool>]) {
        let known = replies.iter().flatten();
        if known.clone().count() == 0 {
            return;
        }
        self.owner_replied = true;
        if self.counts.verdict().is_some() {
            return;
        }
        self.partitioned = known.clone().all(|reached| !reached);
    }
}

/// Selects the boxes of the same failure domain that the box `name` alerts.
pub fn alert_targets<'a>(
    boxes: &'a [Listing],
    name: &str,
    domain: &str,
    rng: &mut impl Rng,
) -> Vec<&'a Listing> {
    let is_candidate = |listing: &&Listing| *listing.domain == *domain && *listing.name != *name;
    let mut ring: Vec<&Listing> = boxes.iter().filter(is_candidate).collect();
    ring.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    let start = ring.partition_point(|listing| *listing.name < *name);
    ring.rotate_left(start);
    let mut targets: Vec<&Listing> = ring.iter().take(NEXT_TARGETS).copied().collect();
    let rest = ring.into_iter().skip(NEXT_TARGETS);
    targets.extend(rest.choose_multiple(rng, RANDOM_TARGETS));
    targets
}
