//! Members that join and leave, and this box's share of their connections.
//!
//! A member keeps its index for the lifetime of the group, since all state refers to members
//! by index.

use std::sync::Arc;
use std::time::Duration;

use super::*;

impl Group {
    /// Concurrent statements that this box may send to a member: at most its share of the
    /// connections, and of the statements that keep the member's slots busy.
    pub(super) fn statement_capacity(&self) -> usize {
        let Some(per_slot) = self.settings.statements_per_slot else {
            return self.connection_share();
        };
        let group = &self.plan.group;
        let useful = (group.slots * per_slot).div_ceil(self.owners.max(1)) as usize;
        self.connection_share()
            .min(useful.max(MIN_CONNECTION_SHARE))
    }

    /// Connections that this box may have to a member.
    pub(super) fn connection_capacity(&self) -> usize {
        match self.settings.idle_frees_slot {
            true => self.connection_share(),
            false => self.statement_capacity(),
        }
    }

    /// Applies a new plan. Known members keep their index; new members are appended.
    pub fn set_plan(&mut self, plan: Arc<Plan>, now: Duration) {
        let listed = plan.members.iter().map(|spec| self.apply_spec(spec, now));
        let listed: BTreeSet<usize> = listed.collect();
        for (index, member) in self.members.iter_mut().enumerate() {
            if !listed.contains(&index) {
                member.missing_since = member.missing_since.or(Some(now));
            }
        }
        let members = self.members.iter().map(|member| member.spec.clone());
        self.plan = Arc::new(Plan {
            members: members.collect(),
            ..Plan::clone(&plan)
        });
        self.reset_capacities();
        self.update_absent(now);
        self.update_departures(now);
        self.update_members();
    }

    /// Applies a listed member's spec and returns the member's index.
    fn apply_spec(&mut self, spec: &MemberSpec, now: Duration) -> usize {
        let same = |known: &Member| known.spec.same_endpoint(spec);
        match self.members.iter().rposition(same) {
            Some(index) if self.members[index].spec.restarted_as(spec) => {
                self.restart_member(index, spec, now)
            }
            Some(index) => {
                let known = &mut self.members[index];
                let born = known.spec.born.max(spec.born);
                known.spec = MemberSpec {
                    born,
                    ..spec.clone()
                };
                known.missing_since = None;
                known.removed = false;
                index
            }
            None => {
                let mut member = Member::new(spec.clone(), 1, &self.settings, now);
                member.joined_later = true;
                self.members.push(member);
                self.members.len() - 1
            }
        }
    }

    /// Records when leaving or missing members announced their departure.
    pub(super) fn update_departures(&mut self, now: Duration) {
        let grace = self.settings.missing_grace;
        for member in &mut self.members {
            let limit = member.drain_time(&self.settings);
            let leaves = member.spec.leaving || member.missing_since.is_some();
            let announced = self.plan.departures.get(&member.spec.name).copied();
            // The entry of a missing member may only have expired.
            let announced = match member.spec.leaving {
                true => announced,
                false => announced.map(|known| known.cap_age(limit.saturating_sub(grace))),
            };
            let departure = announced.or(member.departure);
            let departure = departure.unwrap_or_else(|| Departure::announced(now));
            member.departure = leaves.then_some(departure);
            member.drain_limit = leaves.then_some(limit);
            let expired = |departure: Departure| now >= departure.time_at_age(limit);
            member.drain_expired &= member.departure.is_some_and(expired);
        }
    }

    /// Stops sending statements to leaving members whose drain time is over. The limit is
    /// promised to callers, so it applies even if no other member can take over. Checked only
    /// beside a successor, it let the last member be sent statements until it ended, 10 s after its
    /// notice.
    pub(super) fn expire_drains(&mut self, now: Duration, out: &mut Vec<Action>) {
        let primary = self.failover.primary;
        let served = self.settings.serve_leaving;
        let mut any_expired = false;
        for (i, member) in self.members.iter_mut().enumerate() {
            let limit = member.drain_time(&self.settings);
            let over = member
                .departure
                .filter(|departure| now >= departure.time_at_age(limit));
            let Some(departure) = over.filter(|_| !member.drain_expired) else {
                continue;
            };
            member.drain_expired = true;
            any_expired = true;
            if Some(i) == primary && served {
                let age = departure.age(now);
                out.push(Action::Log(Note::DrainExpired { member: i, age }));
            }
        }
        if any_expired {
            // Requests queued at the member would be sent after its drain time.
            self.requeue(now, out);
        }
    }

    /// Changes the drain limit. It can't grow for members that are leaving already.
    pub fn set_drain_limit(&mut self, limit: Duration) {
        self.settings.drain_limit = limit;
    }

    /// Number of members that could take over from a leaving primary.
    pub(super) fn successors(&self) -> usize {
        let stays = |member: &&Member| !member.removed && !member.spec.leaving && !member.suspected;
        self.members.iter().filter(stays).count()
    }

    /// Sets the number of boxes that share the connections.
    pub fn set_owners(&mut self, owners: u32) {
        self.owners = owners;
        self.reset_capacities();
    }

    /// Sets each member's limits to this box's share. Discards limits that were lowered after
    /// a refusal.
    pub(super) fn reset_capacities(&mut self) {
        let capacity = self.statement_capacity();
        let connections = self.connection_capacity();
        let serves_late = self.settings.serve_late;
        for member in &mut self.members {
            member.connection_limit = connections;
            member.queue.set_capacity(capacity);
            member.queue.set_connection_limit(connections);
            member.queue.set_serves_late(serves_late);
        }
    }

    /// Indexes of the members that are still in the group.
    pub fn present(&self) -> impl Iterator<Item = usize> + use<> {
        let members = self.members.iter().enumerate();
        let present: Vec<usize> = members
            .filter(|(_, m)| !m.removed)
            .map(|(i, _)| i)
            .collect();
        present.into_iter()
    }

    pub(super) fn update_members(&mut self) {
        let promotion_clears_fences = self.settings.failover.promotion_clears_fences;
        let primary_only = self.plan.group.durability == Durability::Primary;
        self.failover
            .set_prefer_staying(promotion_clears_fences && primary_only);
        let names = self.members.iter().map(|member| member.spec.name.clone());
        self.failover.set_names(names.collect());
        let leaving = self.present().filter(|i| self.members[*i].spec.leaving);
        self.failover
            .set_members(self.present().collect(), leaving.collect());
    }

    /// When a missing member is to be removed. A missing primary is first treated as leaving
    /// and is removed only after its replacement.
    fn removal_due(&self, index: usize) -> Option<Duration> {
        let member = &self.members[index];
        let kept = Some(index) == self.failover.primary && member.spec.leaving;
        let missing = member.missing_since.filter(|_| !member.removed && !kept);
        missing.map(|since| since + self.settings.missing_grace)
    }

    /// When the next missing member may be removed. No member is removed during a ballot, which may
    /// rely on the member's grant or promote it.
    pub(super) fn next_removal(&self) -> Option<Duration> {
        let indexes = 0..self.members.len();
        let due = indexes.filter_map(|index| self.removal_due(index));
        let due = due.chain(self.absence_due());
        let next = due.filter(|due| *due > self.removals_checked).min();
        next.filter(|_| !self.failover.is_deposing())
    }

    /// Removes members that have been missing from the list for the grace period. A member that
    /// hasn't announced its departure may be alive, and a majority that it belongs to may have
    /// promoted another primary. So it is removed only if the others still are a majority.
    pub(super) fn remove_missing(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.failover.is_deposing() {
            return;
        }
        let is_due = |due: Option<Duration>| due.is_some_and(|due| now >= due);
        let due = (0..self.members.len()).filter(|index| is_due(self.removal_due(*index)));
        let due: Vec<usize> = due.collect();
        if due.is_empty() && !is_due(self.absence_due()) {
            return;
        }
        self.removals_checked = now;
        let missing = due.iter().map(|i| &self.members[*i].spec.name);
        let missing = missing.cloned().collect();
        let majority_stays = self.is_list_complete() || self.majority_stays(&missing);
        if majority_stays {
            self.give_up_absent(now);
        } else {
            self.next_loss_check = self.next_loss_check.or(Some(now));
        }
        let mut changed = majority_stays;
        for index in due {
            let leads = Some(index) == self.failover.primary;
            let member = &mut self.members[index];
            if !member.spec.leaving && !majority_stays {
                continue;
            }
            member.spec.leaving = true;
            changed = true;
            if !leads {
                member.removed = true;
                member.report = None;
                out.push(Action::Log(Note::Removed { member: index }));
            }
        }
        if changed {
            self.record_outdated = true;
            self.update_members();
            self.requeue(now, out);
        }
    }

    /// Whether a member that isn't listed was removed by an operator: entries don't lapse.
    pub(super) fn is_list_complete(&self) -> bool {
        self.settings.missing_grace.is_zero()
    }

    /// Whether the members other than the `missing` ones are a majority.
    pub(super) fn majority_stays(&self, missing: &BTreeSet<Arc<str>>) -> bool {
        let acceptors = self.present().filter(|i| self.failover.is_acceptor(*i));
        let staying = acceptors.filter(|i| !missing.contains(&self.members[*i].spec.name));
        staying.count() >= self.failover.majority()
    }
}
