//! Asks owners of other groups whether they reach a majority of their members, and warns
//! the failure domain of a cut.

use std::sync::Arc;

use rand::seq::IndexedRandom;

use super::*;
use crate::decisions::partition::{Counts, alert_targets};
use crate::node::peers;

/// Groups that are asked about: a cut shows in all of them.
const GROUPS_ASKED: usize = 6;
/// Owners of a group that are asked, the nearest first.
const OWNERS_ASKED: usize = 2;

impl Driver {
    /// Notes whether the box is cut off, and asks others where its own groups do not
    /// tell.
    pub(super) fn note_cut_off(&mut self) {
        if *self.context.leaving.borrow() {
            return;
        }
        let now = self.context.now();
        let mut view = Counts {
            groups: self.snapshot.groups.len(),
            owned: self.groups.len(),
            list_settled: self.is_listed(),
            ..Counts::default()
        };
        for owned in self.groups.values() {
            match owned.group.reaches_majority(now) {
                Some(true) => view.with_majority += 1,
                Some(false) => view.without_majority += 1,
                None => {}
            }
        }
        if view.owned == view.groups && view.owned > 0 {
            // Its own groups tell.
            self.context
                .settled
                .send_if_modified(|settled| !std::mem::replace(settled, true));
        }
        self.reach.update_counts(view, now);
        if self.reach.query_due(now).is_some_and(|due| due <= now) {
            self.reach.record_query(now);
            self.ask_reach();
        }
        self.tell_away(now);
    }

    /// Says whether callers are better served elsewhere.
    fn tell_away(&self, now: Duration) {
        let cut_off = self.reach.is_partitioned();
        let changed = self.context.away.send_if_modified(|away| {
            let changed = away.is_some() != cut_off;
            if changed {
                *away = cut_off.then_some(now);
            }
            changed
        });
        if changed {
            let kind = match cut_off {
                true => &events::CUT_OFF,
                false => &events::REJOINED,
            };
            events::emit(&self.context.log, kind, &[]);
        }
        if changed && cut_off {
            self.warn_neighbours();
        }
    }

    fn warn_neighbours(&self) {
        let settings = &self.context.settings;
        if !settings.domain_loss {
            return;
        }
        let boxes = self.context.boxes.borrow().clone();
        let warned = alert_targets(&boxes, &settings.name, &settings.domain, &mut rand::rng());
        for neighbour in warned {
            self.context.metrics.cut_warnings.add(1, &[]);
            let warning =
                peers::send_partition_alert(self.context.clone(), neighbour.address.clone());
            tokio::task::spawn_local(warning);
        }
    }

    /// Takes a neighbour's word that other failure domains are silent.
    pub(super) fn take_warning(&mut self, from: &str) {
        if self.reach.is_partitioned() {
            return;
        }
        if self.reach.record_alert(self.context.now()) {
            events::emit(&self.context.log, &events::CUT_WARNING, &[("from", &from)]);
            self.warn_neighbours();
        }
        self.hurry();
    }

    /// Looks at the members of other failure domains before their turn.
    fn hurry(&mut self) {
        let groups: Vec<Arc<str>> = self.groups.keys().cloned().collect();
        for group in groups {
            self.handle(&group, Event::ProbeOtherDomains);
        }
    }

    /// Notes what an event of a group tells of the way to another failure domain.
    pub(super) fn note_sight(&mut self, group: &Arc<str>, event: &Event) {
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
            return self.reach.record_answer(domain, now);
        }
        if self.reach.record_failure(&domain.clone(), now) {
            self.warn_neighbours();
            self.hurry();
        }
    }

    fn ask_reach(&self) {
        let others = self.snapshot.groups.keys();
        let others = others.filter(|id| !self.groups.contains_key(*id));
        let others: Vec<&Arc<str>> = others.collect();
        let asked = others.choose_multiple(&mut rand::rng(), GROUPS_ASKED);
        let asked = asked.map(|id| {
            let owners = self.nearest_owners(id);
            reaches(self.context.clone(), Arc::clone(id), owners)
        });
        let asked: Vec<_> = asked.collect();
        let decisions = self.context.decisions.clone();
        tokio::task::spawn_local(async move {
            let words = futures::future::join_all(asked).await;
            let _ = decisions.send(Message::Reached(words));
        });
    }

    fn nearest_owners(&self, id: &Arc<str>) -> Vec<Arc<str>> {
        let boxes = self.context.boxes.borrow().clone();
        let routes = &self.context.routes;
        let owners = routes.owners(id, &self.snapshot, &boxes, &self.context.settings);
        let addresses = owners.iter().map(|owner| owner.address.clone());
        addresses.take(OWNERS_ASKED).collect()
    }
}

/// Whether the first owner that can tell reaches a majority of the group. They are asked at
/// the same time: in a cut some say nothing.
async fn reaches(context: Rc<Context>, group: Arc<str>, owners: Vec<Arc<str>>) -> Option<bool> {
    let asked = owners.iter();
    let asked = asked.map(|owner| peers::fetch_reach(&context, owner, &group));
    let words = futures::future::join_all(asked).await;
    words.into_iter().flatten().next()
}
