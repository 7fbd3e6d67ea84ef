//! Members that come and go, and this box's share of what they offer. A member keeps
//! its place for as long as the group lives, since everything goes by place.

use std::sync::Arc;
use std::time::Duration;

use super::*;

impl Group {
    /// Statements that this box may have at a member at once: no more than its share
    /// of the connections, and of what keeps the member's slots busy.
    pub(super) fn capacity(&self) -> usize {
        let Some(turns) = self.settings.turns else {
            return self.share();
        };
        let group = &self.plan.group;
        let useful = (group.slots * turns).div_ceil(self.owners.max(1)) as usize;
        self.share().min(useful.max(MIN_CONNECTION_SHARE))
    }

    /// Connections that this box may have at a member at once.
    pub(super) fn most_connections(&self) -> usize {
        match self.settings.rests {
            true => self.share(),
            false => self.capacity(),
        }
    }

    /// Takes a new plan. Members keep their places; new ones get places of their own.
    pub fn set_plan(&mut self, plan: Arc<Plan>, now: Duration) {
        let listed = plan.members.iter().map(|spec| self.take_spec(spec, now));
        let listed: BTreeSet<usize> = listed.collect();
        for (place, member) in self.members.iter_mut().enumerate() {
            if !listed.contains(&place) {
                member.missing = member.missing.or(Some(now));
            }
        }
        let members = self.members.iter().map(|member| member.spec.clone());
        self.plan = Arc::new(Plan {
            members: members.collect(),
            ..Plan::clone(&plan)
        });
        self.set_rooms();
        self.note_departures(now);
        self.note_members();
    }

    /// Takes a listed member; returns its place.
    fn take_spec(&mut self, spec: &MemberSpec, now: Duration) -> usize {
        let newest = |known: &Member| known.spec.shares_place(spec);
        match self.members.iter().rposition(newest) {
            Some(place) if self.members[place].spec.started_again(spec) => {
                self.succeed(place, spec, now)
            }
            Some(place) => {
                let known = &mut self.members[place];
                let born = known.spec.born.max(spec.born);
                known.spec = MemberSpec {
                    born,
                    ..spec.clone()
                };
                known.missing = None;
                known.gone = false;
                place
            }
            None => {
                let mut member = Member::new(spec.clone(), 1, &self.settings, now);
                member.joined = true;
                self.members.push(member);
                self.members.len() - 1
            }
        }
    }

    /// Notes since when members leave.
    pub(super) fn note_departures(&mut self, now: Duration) {
        let grace = self.settings.missing_grace;
        for member in &mut self.members {
            let most = member.serves_for(&self.settings);
            let leaves = member.spec.leaving || member.missing.is_some();
            let told = self.plan.departures.get(&member.spec.name).copied();
            // Its entry may only have lapsed.
            let told = match member.spec.leaving {
                true => told,
                false => told.map(|told| told.at_most(most.saturating_sub(grace))),
            };
            let departs = told.or(member.departs);
            let departs = departs.unwrap_or_else(|| Departure::said(now));
            member.departs = leaves.then_some(departs);
            member.serve_most = leaves.then_some(most);
            let over = |departs: Departure| now >= departs.due(most);
            member.spent &= member.departs.is_some_and(over);
        }
    }

    /// Ends the time of leaving members. It runs out whoever leads and whoever could take
    /// over: the limit is what callers were promised, and no help in finding a successor.
    /// Looked at only beside a successor, it let the last member of a group be sent
    /// statements until it ended, 10 s after its word.
    pub(super) fn note_spent(&mut self, now: Duration, out: &mut Vec<Action>) {
        let primary = self.replace.primary;
        let served = self.settings.serve_leaving;
        let mut fresh = false;
        for (i, member) in self.members.iter_mut().enumerate() {
            let most = member.serves_for(&self.settings);
            let over = member.departs.filter(|departs| now >= departs.due(most));
            let Some(departs) = over.filter(|_| !member.spent) else {
                continue;
            };
            member.spent = true;
            fresh = true;
            if Some(i) == primary && served {
                let age = departs.age(now);
                out.push(Action::Note(Note::LeaveOver { member: i, age }));
            }
        }
        if fresh {
            // What waits for a turn there came in time but would be sent too late.
            self.requeue(now, out);
        }
    }

    /// Takes another bound for members that leave. Those that leave already get no more than
    /// they had.
    pub fn set_leave_most(&mut self, most: Duration) {
        self.settings.leave_most = most;
    }

    /// Members that could take over from a leaving primary.
    pub(super) fn successors(&self) -> usize {
        let stays = |member: &&Member| !member.gone && !member.spec.leaving && !member.suspected;
        self.members.iter().filter(stays).count()
    }

    /// Says among how many boxes the connections are shared.
    pub fn set_owners(&mut self, owners: u32) {
        self.owners = owners;
        self.set_rooms();
    }

    /// Each member's room is what this box may have there; where a refusal had
    /// narrowed it, it widens again by itself.
    pub(super) fn set_rooms(&mut self) {
        let capacity = self.capacity();
        let most = self.most_connections();
        let serves_late = self.settings.serve_late;
        for member in &mut self.members {
            member.room = most;
            member.fair.set_capacity(capacity);
            member.fair.set_connections(most);
            member.fair.set_serves_late(serves_late);
        }
    }

    /// Members that are still there, by place.
    pub fn present(&self) -> impl Iterator<Item = usize> + use<> {
        let places = self.members.iter().enumerate();
        let present: Vec<usize> = places.filter(|(_, m)| !m.gone).map(|(i, _)| i).collect();
        present.into_iter()
    }

    pub(super) fn note_members(&mut self) {
        let lasts = self.settings.replace.fences_end;
        let alone = self.plan.group.durability == Durability::Primary;
        self.replace.set_prefer_staying(lasts && alone);
        let leaving = self.present().filter(|i| self.members[*i].spec.leaving);
        self.replace
            .set_members(self.present().collect(), leaving.collect());
    }

    /// When a missing member is given up; the primary, once it counts as leaving, only after
    /// it was replaced.
    fn forgotten_at(&self, place: usize) -> Option<Duration> {
        let member = &self.members[place];
        let kept = Some(place) == self.replace.primary && member.spec.leaving;
        let missing = member.missing.filter(|_| !member.gone && !kept);
        missing.map(|since| since + self.settings.missing_grace)
    }

    /// When the next missing member is given up. A ballot may rest on a member's grant, or
    /// promote it, so that nobody is given up meanwhile.
    pub(super) fn next_forgotten(&self) -> Option<Duration> {
        let places = 0..self.members.len();
        let next = places.filter_map(|place| self.forgotten_at(place)).min();
        next.filter(|_| !self.replace.is_deposing())
    }

    /// Gives up members that have been missing from the list for long enough.
    pub(super) fn forget_missing(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.next_forgotten().is_none_or(|next| now < next) {
            return;
        }
        for place in 0..self.members.len() {
            if self.forgotten_at(place).is_none_or(|at| now < at) {
                continue;
            }
            let leads = Some(place) == self.replace.primary;
            let member = &mut self.members[place];
            member.spec.leaving = true;
            if !leads {
                member.gone = true;
                member.view = None;
            }
        }
        self.note_members();
        self.requeue(now, out);
    }
}
