//! Determines which groups this box owns, and informs them of changes to the list of boxes, the
//! duties and the primaries.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::*;
use crate::borders::table::Revision;
use crate::decisions::owners::Ownership;

impl Driver {
    /// Starts, updates and drops groups according to the configuration and the list of boxes.
    pub(super) fn update_owned_groups(&mut self) {
        let owned_plans = self.assignment.owned().clone();
        self.groups.retain(|id, owned| {
            // An unfinished ballot would leave its fences behind, and the group without a primary
            // until another owner notices.
            owned.departing = !owned_plans.contains_key(id);
            let kept = !owned.departing || owned.group.is_deposing();
            if !kept {
                events::emit(&self.context.log, &events::GROUP_RELEASED, &[("group", id)]);
            }
            kept
        });
        let load_factor = (owned_plans.len() as u32)
            .div_ceil(GROUPS_AT_FULL_PROBE_RATE)
            .max(1);
        let knows_records = self.knows_records();
        for (id, ownership) in owned_plans {
            let Ownership { plan, rank, owners } = ownership;
            match self.groups.get_mut(&id) {
                Some(owned) => {
                    owned.group.set_rank(rank, load_factor);
                    owned.group.set_owners(owners);
                    if owned.plan != plan {
                        owned.plan = plan.clone();
                        owned.group.set_plan(plan, self.context.now());
                        self.update_members(&id);
                    }
                    // The changes may have made an action due.
                    self.handle_event(&id, Event::Tick);
                }
                None if plan.has_members() && knows_records => {
                    self.start_group(id, plan, (rank, owners), load_factor);
                }
                None => {}
            }
        }
        self.release_departed();
    }

    /// Whether this box knows which members the table records for each group. Where members may be
    /// missing from the list, a majority can't be counted without.
    fn knows_records(&self) -> bool {
        let lists_are_complete = self.settings.missing_grace.is_zero();
        let nothing_recorded = self.context.settings.first_start;
        lists_are_complete || nothing_recorded || self.snapshot.records_known
    }

    /// Drops groups that were kept only for a ballot, once it has ended.
    pub(super) fn drop_departed(&mut self) {
        let finished = |owned: &Owned| owned.departing && !owned.group.is_deposing();
        if self.groups.values().any(finished) {
            self.groups.retain(|id, owned| {
                let kept = !finished(owned);
                if !kept {
                    events::emit(&self.context.log, &events::GROUP_RELEASED, &[("group", id)]);
                }
                kept
            });
            self.release_departed();
        }
    }

    /// Drops the replies to requests for groups that are no longer owned, and publishes this
    /// box's share of the connections to the members of the remaining groups.
    pub(super) fn release_departed(&mut self) {
        let live: HashSet<Incarnation> = self.groups.values().map(|o| o.incarnation).collect();
        // The receivers treat a dropped reply as `NotOwner` or `Outcome::Unknown`.
        self.grant_replies
            .retain(|_, (incarnation, _)| live.contains(incarnation));
        self.confirm_replies
            .retain(|_, (incarnation, _)| live.contains(incarnation));
        let shares = self.groups.values().flat_map(|owned| {
            let share = owned.group.idle_connections();
            let members = &owned.group.plan.members;
            let present = owned.group.present();
            present.map(move |index| (members[index].identity(), share))
        });
        let shares = shares.collect();
        self.context.connection_shares.send_replace(shares);
    }

    /// Starts to act as an owner of a group.
    pub(super) fn start_group(
        &mut self,
        id: Arc<str>,
        plan: Arc<Plan>,
        (rank, owners): (u32, u32),
        load_factor: u32,
    ) {
        let now = self.context.now();
        let incarnation = self.next_id;
        self.next_id += 1;
        let seed = rand::rng().random();
        let domain = self.context.settings.domain.clone();
        let settings = Settings {
            record_spread: RECORD_INTERVAL * self.snapshot.groups.len() as u32,
            ..self.settings
        };
        let mut group = Group::new(plan.clone(), domain, rank, settings, seed, now);
        group.set_rank(rank, load_factor);
        group.set_owners(owners);
        self.log_owned_group(&id, &group);
        let owned = Owned {
            incarnation,
            plan,
            group,
            members: Vec::new(),
            health: watch::channel(Health::default()).0,
            claim: None,
            next_tick: now,
            departing: false,
        };
        self.groups.insert(id.clone(), owned);
        self.update_members(&id);
        let listed = self.is_listing_settled();
        self.handle_event(&id, Event::BoxListed { listed });
    }

    /// Logs the members of a group that this box starts to own: a majority of them decides.
    fn log_owned_group(&self, id: &Arc<str>, group: &Group) {
        let listed = group.plan.members.iter().map(|member| &member.name);
        let members: BTreeSet<&Arc<str>> = listed.chain(group.plan.recorded.keys()).collect();
        let members: Vec<&str> = members.into_iter().map(|name| &**name).collect();
        let fields: [(_, &dyn std::fmt::Display); 3] = [
            ("group", id),
            ("members", &members.join(" ")),
            ("majority", &group.majority()),
        ];
        events::emit(&self.context.log, &events::GROUP_OWNED, &fields);
    }

    /// Creates and watches the borders to new members, and to those whose identity has changed.
    pub(super) fn update_members(&mut self, id: &Arc<str>) {
        let Some(owned) = self.groups.get_mut(id) else {
            return;
        };
        for (index, declared) in owned.group.plan.members.iter().enumerate() {
            let identity = declared.identity();
            let known = owned.members.get_mut(index);
            if known
                .as_ref()
                .is_some_and(|known| known.identity == identity)
            {
                continue;
            }
            let border = self.context.members.member(declared);
            let group = (id.clone(), owned.incarnation);
            let watching = watch_member(self.context.clone(), group, index, border.clone());
            let handle = Handle {
                identity,
                border,
                watch: tokio::task::spawn_local(watching).abort_handle(),
            };
            match known {
                Some(known) => *known = handle,
                None => owned.members.push(handle),
            }
        }
    }

    /// Records whether the list of boxes contains this box. Once all boxes are expected to have read
    /// that list, the groups are informed.
    pub(super) fn update_listing(&mut self, boxes: &[Listing]) {
        let own_name = &self.context.settings.name;
        let listed = boxes.iter().any(|listing| listing.name == *own_name);
        let first = !std::mem::replace(&mut self.boxes_received, true);
        let now = self.context.now();
        self.listing_settled = match (listed, self.listing_settled) {
            (false, _) => None,
            (true, Some(since)) => Some(since),
            // This box was on the list before its process started.
            (true, None) if first && !self.context.settings.first_start => Some(Duration::ZERO),
            (true, None) => Some(now + LISTING_DELAY),
        };
        if let Some(until) = self.listing_settled.filter(|until| *until > now) {
            let decisions = self.context.decisions.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(until - now).await;
                let _ = decisions.send(Message::ListingSettled);
            });
        }
    }

    /// Whether every other box is expected to know this box from the list.
    pub(super) fn is_listing_settled(&self) -> bool {
        let now = self.context.now();
        self.listing_settled.is_some_and(|since| now >= since)
    }

    /// Informs the groups whether the other boxes know this box.
    pub(super) fn report_listing(&mut self) {
        let listed = self.is_listing_settled();
        let groups: Vec<Arc<str>> = self.groups.keys().cloned().collect();
        for group in groups {
            self.handle_event(&group, Event::BoxListed { listed });
        }
    }

    /// Changes the time for which a leaving member is still used.
    pub(super) fn set_drain_limit(&mut self, limit: Duration) {
        self.settings.drain_limit = limit;
        let groups: Vec<Arc<str>> = self.groups.keys().cloned().collect();
        for id in groups {
            if let Some(owned) = self.groups.get_mut(&id) {
                owned.group.set_drain_limit(limit);
            }
            // A shorter limit may have expired already.
            self.handle_event(&id, Event::Tick);
        }
    }

    /// Informs groups whose duty another box has claimed or resigned.
    pub(super) fn report_taken_duties(&mut self, before: &Snapshot) {
        if before.revision == Revision::NONE {
            // Claims from before this box started are of no interest.
            return;
        }
        let own_name = &self.context.settings.name;
        let claimed_elsewhere = |group: &Arc<str>, duty: &Duty| {
            let known = before.duties.get(group);
            // A table restored from an older copy gives the same duty another revision.
            let is_new = known.is_none_or(|known| {
                known.generation < duty.generation || known.revision.era() == duty.revision.era()
            });
            let known = known.map_or(Revision::NONE, |known| known.revision);
            duty.holder != *own_name && known < duty.revision && is_new
        };
        let duties = self.snapshot.duties.iter();
        let taken = duties.filter(|(group, duty)| claimed_elsewhere(group, duty));
        let event = |duty: &Duty| match duty.resigned {
            true => Event::DutyResigned {
                ordered: duty.ordered.clone(),
            },
            false => Event::DutyTakenElsewhere,
        };
        let taken = taken.map(|(group, duty)| (group.clone(), event(duty)));
        let taken: Vec<(Arc<str>, Event)> = taken.collect();
        for (group, event) in taken {
            self.handle_event(&group, event);
        }
    }

    /// Informs groups of their primaries as recorded in the table or announced by peers.
    pub(super) fn announce_primaries(&mut self) {
        let owned = self.groups.keys();
        let recorded = owned.filter_map(|id| Some((id.clone(), self.snapshot.primaries.get(id)?)));
        let announced = recorded.map(|(id, record)| {
            let event = Event::PrimaryAnnounced {
                term: record.term,
                primary: record.member.clone(),
            };
            (id, event)
        });
        let announced: Vec<(Arc<str>, Event)> = announced.collect();
        for (id, event) in announced {
            self.handle_event(&id, event);
        }
    }
}
