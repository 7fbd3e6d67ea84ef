//! Checks whether the box is partitioned: feeds the monitor, queries the owners of other groups and
//! alerts other boxes of the failure domain.

use std::sync::Arc;

use rand::seq::IndexedRandom;

use super::*;
use crate::decisions::partition::{Counts, alert_targets};
use crate::node::peers;

/// Number of groups whose owners are queried; a partition shows in any of them.
const QUERIED_GROUPS: usize = 6;
/// Number of owners queried per group, the nearest first.
const QUERIED_OWNERS: usize = 2;

impl Driver {
    /// Updates whether the box is partitioned, and queries the owners of other groups if its own
    /// groups don't suffice to tell.
    pub(super) fn check_partition(&mut self) {
        if *self.context.shutting_down.borrow() {
            return;
        }
        let now = self.context.now();
        let mut counts = Counts {
            groups: self.snapshot.groups.len(),
            owned: self.groups.len(),
            list_settled: self.is_listing_settled(),
            ..Counts::default()
        };
        for owned in self.groups.values() {
            match owned.group.reaches_majority(now) {
                Some(true) => counts.with_majority += 1,
                Some(false) => counts.without_majority += 1,
                None => {}
            }
        }
        if counts.owned == counts.groups && counts.owned > 0 {
            // The box's own groups suffice to tell.
            self.context
                .partition_known
                .send_if_modified(|known| !std::mem::replace(known, true));
        }
        self.partition_monitor.update_counts(counts, now);
        if self
            .partition_monitor
            .query_due(now)
            .is_some_and(|due| due <= now)
        {
            self.partition_monitor.record_query(now);
            self.query_owners();
        }
        self.update_readiness(now);
    }

    /// Marks the box as not ready while it is partitioned, and alerts other boxes when the partition
    /// begins.
    fn update_readiness(&self, now: Duration) {
        let partitioned = self.partition_monitor.is_partitioned();
        let changed = self
            .context
            .not_ready_since
            .send_if_modified(|not_ready_since| {
                let changed = not_ready_since.is_some() != partitioned;
                if changed {
                    *not_ready_since = partitioned.then_some(now);
                }
                changed
            });
        if changed {
            let kind = match partitioned {
                true => &events::PARTITIONED,
                false => &events::PARTITION_HEALED,
            };
            events::emit(&self.context.log, kind, &[]);
        }
        if changed && partitioned {
            self.send_alerts();
        }
    }

    /// Alerts a few boxes of the failure domain, if the loss of a domain is to be tolerated.
    fn send_alerts(&self) {
        let settings = &self.context.settings;
        if !settings.tolerate_domain_loss {
            return;
        }
        let boxes = self.context.boxes.borrow().clone();
        let targets = alert_targets(&boxes, &settings.name, &settings.domain, &mut rand::rng());
        for target in targets {
            self.context.metrics.partition_alerts.add(1, &[]);
            let alert = peers::send_partition_alert(self.context.clone(), target.address.clone());
            tokio::task::spawn_local(alert);
        }
    }

    /// Handles an alert from another box of the failure domain: checks at once whether the members
    /// of the other domains answer, and passes the alert on.
    pub(super) fn handle_alert(&mut self, from: &str) {
        if self.partition_monitor.is_partitioned() {
            return;
        }
        if self.partition_monitor.record_alert(self.context.now()) {
            events::emit(
                &self.context.log,
                &events::PARTITION_ALERT,
                &[("from", &from)],
            );
            self.send_alerts();
        }
        self.probe_other_domains();
    }

    /// Probes the members of other failure domains at once.
    fn probe_other_domains(&mut self) {
        let groups: Vec<Arc<str>> = self.groups.keys().cloned().collect();
        for group in groups {
            self.handle_event(&group, Event::ProbeOtherDomains);
        }
    }

    /// Records what an event of a group shows about the connection to another failure domain.
    pub(super) fn record_contact(&mut self, group: &Arc<str>, event: &Event) {
        let (member, answered) = match event {
            Event::Answered { member, .. }
            | Event::Probed {
                member,
                answer: Ok(_),
                ..
            } => (*member, true),
            Event::AnswerTimedOut { member, .. }
            | Event::ConnectTimedOut { member }
            | Event::ConnectionLost { member } => (*member, false),
            _ => return,
        };
        let Some(owned) = self.groups.get(group) else {
            return;
        };
        let domain = &owned.group.plan.members[member].domain;
        if *domain == self.context.settings.domain {
            return;
        }
        let now = self.context.now();
        if answered {
            return self.partition_monitor.record_answer(domain, now);
        }
        if self.partition_monitor.record_failure(&domain.clone(), now) {
            self.send_alerts();
            self.probe_other_domains();
        }
    }

    /// Asks the owners of some other groups whether they reach a majority.
    fn query_owners(&self) {
        let others = self.snapshot.groups.keys();
        let others = others.filter(|id| !self.groups.contains_key(*id));
        let others: Vec<&Arc<str>> = others.collect();
        let asked = others.choose_multiple(&mut rand::rng(), QUERIED_GROUPS);
        let asked = asked.map(|id| {
            let owners = self.nearest_owners(id);
            query_majority(self.context.clone(), Arc::clone(id), owners)
        });
        let asked: Vec<_> = asked.collect();
        let decisions = self.context.decisions.clone();
        tokio::task::spawn_local(async move {
            let replies = futures::future::join_all(asked).await;
            let _ = decisions.send(Message::MajorityReplies(replies));
        });
    }

    fn nearest_owners(&self, id: &Arc<str>) -> Vec<Arc<str>> {
        let boxes = self.context.boxes.borrow().clone();
        let routes = &self.context.routes;
        let owners = routes.owners(id, &self.snapshot, &boxes, &self.context.settings);
        let addresses = owners.iter().map(|owner| owner.address.clone());
        addresses.take(QUERIED_OWNERS).collect()
    }
}

/// Asks owners whether they reach a majority of the group, and returns the first definite reply in
/// their order. All are asked at once, since in a partition some don't answer.
async fn query_majority(
    context: Rc<Context>,
    group: Arc<str>,
    owners: Vec<Arc<str>>,
) -> Option<bool> {
    let asked = owners.iter();
    let asked = asked.map(|owner| peers::fetch_reach(&context, owner, &group));
    let replies = futures::future::join_all(asked).await;
    replies.into_iter().flatten().next()
}
