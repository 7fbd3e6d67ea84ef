//! Which groups this box owns, and what they are told of the world.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::*;
use crate::borders::table::Revision;
use crate::decisions::duty::Duty;

impl Driver {
    pub(super) fn own(&mut self) {
        let name = self.context.settings.name.clone();
        let mut mine: BTreeMap<Arc<str>, (Arc<Plan>, u32, u32)> = BTreeMap::new();
        for (id, plan) in &self.snapshot.groups {
            let chosen = self.ranking.owners_of(plan);
            let rank = chosen.iter().position(|listing| listing.name == name);
            if let Some(rank) = rank
                && !plan.members.is_empty()
            {
                let owners = chosen.len() as u32;
                mine.insert(id.clone(), (plan.clone(), rank as u32, owners));
            }
        }
        self.groups.retain(|id, owned| {
            // A ballot that nobody ends leaves fences behind, and its group without a primary
            // until others find that out.
            owned.departing = !mine.contains_key(id);
            !owned.departing || owned.group.is_deposing()
        });
        let crowd = (mine.len() as u32).div_ceil(GROUPS_AT_FULL_RATE).max(1);
        for (id, (plan, rank, owners)) in mine {
            match self.groups.get_mut(&id) {
                Some(owned) => {
                    owned.group.set_rank(rank, crowd);
                    owned.group.set_owners(owners);
                    if owned.plan != plan {
                        owned.plan = plan.clone();
                        owned.group.set_plan(plan, self.context.now());
                        self.join_new(&id);
                    }
                    // What changed may have made something due.
                    self.handle(&id, Event::Tick);
                }
                None => self.start(id, plan, (rank, owners), crowd),
            }
        }
        self.dismiss();
    }

    /// Gives up groups that were kept only for a ballot, once it has ended.
    pub(super) fn drop_departed(&mut self) {
        let done = |owned: &Owned| owned.departing && !owned.group.is_deposing();
        if self.groups.values().any(done) {
            self.groups.retain(|_, owned| !done(owned));
            self.dismiss();
        }
    }

    /// Answers those who waited for a group that is not owned any more.
    pub(super) fn dismiss(&mut self) {
        let live: HashSet<Incarnation> = self.groups.values().map(|o| o.incarnation).collect();
        // Dropped, a grant's reply says that this box is no owner, and a
        // settlement's that the outcome is unknown.
        self.grants
            .retain(|_, (incarnation, _)| live.contains(incarnation));
        self.settles
            .retain(|_, (incarnation, _)| live.contains(incarnation));
        let addresses = self.groups.values().flat_map(|owned| {
            let share = owned.group.idle_connections();
            let members = owned.group.plan.members.iter();
            members.map(move |member| (member.address.sql.clone(), share))
        });
        let addresses = addresses.collect();
        self.context.connection_shares.send_replace(addresses);
    }

    pub(super) fn start(
        &mut self,
        id: Arc<str>,
        plan: Arc<Plan>,
        (rank, owners): (u32, u32),
        crowd: u32,
    ) {
        let now = self.context.now();
        let incarnation = self.next;
        self.next += 1;
        let seed = rand::rng().random();
        let domain = self.context.settings.domain.clone();
        let mut group = Group::new(plan.clone(), domain, rank, self.settings, seed, now);
        group.set_rank(rank, crowd);
        group.set_owners(owners);
        let owned = Owned {
            incarnation,
            plan,
            group,
            members: Vec::new(),
            watches: Vec::new(),
            health: watch::channel(Health::default()).0,
            claim: None,
            wake: now,
            departing: false,
        };
        self.groups.insert(id.clone(), owned);
        self.join_new(&id);
        let listed = self.is_listed();
        self.handle(&id, Event::BoxListed { listed });
    }

    /// Makes the borders of members that have none yet.
    pub(super) fn join_new(&mut self, id: &Arc<str>) {
        let Some(owned) = self.groups.get_mut(id) else {
            return;
        };
        for place in owned.members.len()..owned.group.plan.members.len() {
            let border = self
                .context
                .members
                .member(&owned.group.plan.members[place]);
            let group = (id.clone(), owned.incarnation);
            let watching = watch_member(self.context.clone(), group, place, border.clone());
            let watch = tokio::task::spawn_local(watching).abort_handle();
            owned.watches.push(watch);
            owned.members.push(border);
        }
    }

    /// Notes since when the list of boxes has named this one.
    pub(super) fn note_listed(&mut self, boxes: &[Listing]) {
        let own = &self.context.settings.name;
        let listed = boxes.iter().any(|listing| listing.name == *own);
        let first = !std::mem::replace(&mut self.knows_boxes, true);
        let now = self.context.now();
        self.listed = match (listed, self.listed) {
            (false, _) => None,
            (true, Some(since)) => Some(since),
            // It stood there before this process started.
            (true, None) if first && !self.context.settings.first_start => Some(Duration::ZERO),
            (true, None) => Some(now + LISTED_REST),
        };
        if let Some(until) = self.listed.filter(|until| *until > now) {
            let decisions = self.context.decisions.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(until - now).await;
                let _ = decisions.send(Message::Listed);
            });
        }
    }

    /// Whether every other box may be taken to know this one.
    pub(super) fn is_listed(&self) -> bool {
        let now = self.context.now();
        self.listed.is_some_and(|since| now >= since)
    }

    pub(super) fn tell_listed(&mut self) {
        let listed = self.is_listed();
        let groups: Vec<Arc<str>> = self.groups.keys().cloned().collect();
        for group in groups {
            self.handle(&group, Event::BoxListed { listed });
        }
    }

    /// Takes another bound for members that leave.
    pub(super) fn set_leave_most(&mut self, most: Duration) {
        self.settings.drain_limit = most;
        let groups: Vec<Arc<str>> = self.groups.keys().cloned().collect();
        for id in groups {
            if let Some(owned) = self.groups.get_mut(&id) {
                owned.group.set_drain_limit(most);
            }
            // A shorter bound may be over by now.
            self.handle(&id, Event::Tick);
        }
    }

    /// Tells groups whose duty another box has taken.
    pub(super) fn tell_duties(&mut self, before: &Snapshot) {
        if before.revision == Revision::NONE {
            // What was taken before this box started is over.
            return;
        }
        let own = &self.context.settings.name;
        let foreign = |group: &Arc<str>, duty: &Duty| {
            let known = before.duties.get(group);
            // An older copy of the table gives the same duty another revision.
            let anew = known.is_none_or(|known| {
                known.generation < duty.generation || known.revision.era() == duty.revision.era()
            });
            let known = known.map_or(Revision::NONE, |known| known.revision);
            duty.holder != *own && known < duty.revision && anew
        };
        let duties = self.snapshot.duties.iter();
        let taken = duties.filter(|(group, duty)| foreign(group, duty));
        let taken: Vec<Arc<str>> = taken.map(|(group, _)| group.clone()).collect();
        for group in taken {
            self.handle(&group, Event::DutyTakenElsewhere);
        }
    }

    pub(super) fn tell_primaries(&mut self) {
        let primaries = self.snapshot.primaries.clone();
        for (id, record) in primaries.iter() {
            let event = Event::PrimaryAnnounced {
                term: record.term,
                primary: record.member.clone(),
            };
            self.handle(id, event);
        }
    }
}
