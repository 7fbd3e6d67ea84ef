//! The members that the table records for a group.
//!
//! A member's entry may be missing from the list although the member is alive, so the list alone
//! doesn't tell over how many members a majority is counted. The owners record the members, and a
//! box counts those that are recorded but not listed until a majority of the others shows that
//! the group can go on without them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::*;

/// Time between two questions to the other owners whether members are lost.
const LOSS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Recorded members that this box doesn't know otherwise, and since when.
#[derive(Debug, Default)]
pub(super) struct Absent {
    /// `None`: the member was given up, but is still recorded.
    since: BTreeMap<Arc<str>, Option<Duration>>,
}

impl Absent {
    /// Replaces the names.
    fn update(&mut self, names: BTreeSet<Arc<str>>, now: Duration) {
        self.since.retain(|name, _| names.contains(name));
        for name in names {
            self.since.entry(name).or_insert(Some(now));
        }
    }

    fn count(&self) -> usize {
        self.since.values().flatten().count()
    }

    fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        let counted = self.since.iter().filter(|(_, since)| since.is_some());
        counted.map(|(name, _)| name)
    }

    fn first_since(&self) -> Option<Duration> {
        self.since.values().flatten().min().copied()
    }

    /// Returns the members that have been absent since `before`.
    fn names_since(&self, before: Duration) -> impl Iterator<Item = &Arc<str>> {
        let due = move |since: &Option<Duration>| since.is_some_and(|since| since <= before);
        let due = self.since.iter().filter(move |(_, since)| due(since));
        due.map(|(name, _)| name)
    }

    /// Gives up members.
    fn give_up(&mut self, names: &BTreeSet<Arc<str>>) {
        let given_up = self
            .since
            .iter_mut()
            .filter(|(name, _)| names.contains(*name));
        given_up.for_each(|(_, since)| *since = None);
    }
}

impl Group {
    /// Counts the recorded members that aren't known otherwise.
    pub(super) fn update_absent(&mut self, now: Duration) {
        let is_known = |name: &Arc<str>| self.members.iter().any(|m| m.spec.name == *name);
        let recorded = self.plan.recorded.keys();
        let absent = recorded.filter(|name| !is_known(name)).cloned().collect();
        self.absent.update(absent, now);
        self.failover.set_absent(self.absent.count());
        self.record_outdated = true;
    }

    /// When absent members can be given up.
    pub(super) fn absence_due(&self) -> Option<Duration> {
        let since = self.absent.first_since();
        since.map(|since| since + self.settings.missing_grace)
    }

    /// Gives up the members that were absent for the grace time.
    pub(super) fn give_up_absent(&mut self, now: Duration) {
        let names = self.absent.names_since(self.grace_start(now)).cloned();
        self.absent.give_up(&names.collect());
        self.failover.set_absent(self.absent.count());
    }

    fn grace_start(&self, now: Duration) -> Duration {
        now.saturating_sub(self.settings.missing_grace)
    }

    /// Returns the members that this box takes for lost: missing for the grace time without having
    /// announced it, and silent.
    pub fn lost_members(&self, now: Duration) -> BTreeSet<Arc<str>> {
        let is_lost = |member: &&Member| {
            let silent = member.suspected || member.report.is_none();
            let missing = member.missing_since.filter(|_| !member.removed && silent);
            missing.is_some_and(|since| since <= self.grace_start(now))
        };
        let lost = self
            .members
            .iter()
            .filter(is_lost)
            .map(|member| &member.spec.name);
        let absent = self.absent.names_since(self.grace_start(now));
        lost.chain(absent).cloned().collect()
    }

    /// Returns the members that this box counts and doesn't take for lost.
    pub fn live_members(&self, now: Duration) -> BTreeSet<Arc<str>> {
        let lost = self.lost_members(now);
        let present = self.members.iter().filter(|member| !member.removed);
        let names = present.map(|member| &member.spec.name);
        let counted = names.chain(self.absent.names());
        counted
            .filter(|name| !lost.contains(*name))
            .cloned()
            .collect()
    }

    /// Returns the failure domain of a member, listed or not.
    pub fn domain_of(&self, name: &str) -> Option<&Arc<str>> {
        let known = self
            .members
            .iter()
            .find(|member| *member.spec.name == *name);
        let known = known.map(|member| &member.spec.domain);
        known.or_else(|| self.plan.recorded.get(name))
    }

    /// Asks the other owners to confirm that members are lost, if the others are no majority without
    /// them.
    pub(super) fn check_losses(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.next_loss_check.is_none_or(|due| now < due) || self.failover.is_deposing() {
            return;
        }
        self.next_loss_check = None;
        let members = self.lost_members(now);
        if members.is_empty() || self.majority_stays(&members) {
            return;
        }
        self.next_loss_check = Some(now + LOSS_CHECK_INTERVAL);
        if self
            .members
            .iter()
            .any(|member| !member.removed && !member.suspected)
        {
            out.push(Action::ConfirmLosses { members });
        }
    }

    /// Goes on without members that are lost according to the boxes of their failure domains.
    /// If another box may have promoted one of them, the term `claimed` to be replaced has ended,
    /// and its primary isn't used before it is promoted anew.
    pub(super) fn remove_lost(
        &mut self,
        members: &BTreeSet<Arc<str>>,
        claimed: Option<u64>,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        if self.failover.is_deposing() || !members.is_subset(&self.lost_members(now)) {
            return;
        }
        if let Some(term) = claimed {
            self.failover.record_ended_term(term);
        }
        self.absent.give_up(members);
        self.failover.set_absent(self.absent.count());
        for (index, member) in self.members.iter_mut().enumerate() {
            if !member.removed && members.contains(&member.spec.name) {
                member.removed = true;
                member.report = None;
                out.push(Action::Log(Note::Removed { member: index }));
            }
        }
        self.record_outdated = true;
        self.update_members();
        self.requeue(now, out);
    }

    /// Returns the members to record, with their failure domains: those that stay, and have
    /// answered or were recorded before. A listed member that never answered may not exist.
    fn members_to_record(&self) -> BTreeMap<Arc<str>, Arc<str>> {
        let recorded = &self.plan.recorded;
        let stays = |member: &&Member| {
            let known = recorded.contains_key(&member.spec.name) || member.report.is_some();
            !member.removed && !member.spec.leaving && known
        };
        let staying = self.members.iter().filter(stays);
        let staying = staying.map(|member| (&member.spec.name, &member.spec.domain));
        let absent = self
            .absent
            .names()
            .filter_map(|name| recorded.get_key_value(name));
        let all = staying.chain(absent);
        all.map(|(name, domain)| (name.clone(), domain.clone()))
            .collect()
    }

    /// Asks for a new record if the members differ from the recorded ones. The owners wait in the
    /// order of their ranks, so that usually only one of them writes.
    pub(super) fn update_record(&mut self, now: Duration, out: &mut Vec<Action>) {
        let is_due = self.record_due.is_some_and(|due| now >= due);
        if self.is_list_complete() || !(self.record_outdated || is_due) {
            return;
        }
        self.record_outdated = false;
        let members = self.members_to_record();
        if self.failover.primary.is_none() || members == self.plan.recorded {
            self.record_due = None;
            return;
        }
        let spread = self.settings.record_spread.mul_f64(self.rng.random());
        let delay = self.settings.record_delay * (self.failover.rank() + 1) + spread;
        if is_due {
            out.push(Action::RecordMembers { members });
            self.record_due = Some(now + self.settings.record_retry + delay);
        } else if self.record_due.is_none() {
            self.record_due = Some(now + delay);
        }
    }
}
