//! Asks the other owners of a group whether its missing members are lost.
//!
//! Without these members the group may have no majority left. They may only be out of this box's
//! sight, and have promoted another primary together with boxes that this box doesn't reach either.
//! So a member counts as lost only if a box of its own failure domain confirms it, and no owner
//! objects.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::*;
use crate::node::peers;

/// An owner's answer.
struct Answer {
    domain: Arc<str>,
    /// Members that the owner doesn't take for lost.
    live: BTreeSet<Arc<str>>,
}

impl Driver {
    /// Asks the other owners whether `members` are lost too.
    pub(super) fn confirm_losses(&self, id: &Arc<str>, owned: &Owned, members: BTreeSet<Arc<str>>) {
        let settings = &self.context.settings;
        let own = Answer {
            domain: settings.domain.clone(),
            live: owned.group.live_members(self.context.now()),
        };
        let owners = self.assignment.owners_of(&owned.group.plan).into_iter();
        let others = owners.filter(|listing| listing.name != settings.name);
        let asked = others.map(|listing| {
            let (context, group, listing) = (self.context.clone(), id.clone(), listing.clone());
            async move {
                let live = peers::fetch_live_members(&context, &listing.address, &group).await?;
                let domain = listing.domain;
                Some(Answer { domain, live })
            }
        });
        let asked: Vec<_> = asked.collect();
        let domains = members.iter().filter_map(|name| {
            let domain = owned.group.domain_of(name)?;
            Some((name.clone(), domain.clone()))
        });
        let domains: BTreeMap<Arc<str>, Arc<str>> = domains.collect();
        let claimed = self.snapshot.duties.get(id).map(Duty::replaced_term);
        let (context, group) = (self.context.clone(), id.clone());
        let incarnation = owned.incarnation;
        tokio::task::spawn_local(async move {
            let answered = futures::future::join_all(asked).await;
            let mut answers: Vec<Answer> = answered.into_iter().flatten().collect();
            answers.push(own);
            // Without the table, this box doesn't know whether the members are still missing.
            let is_list_known = context.table.head().await.is_ok();
            let confirmed = |name: &Arc<str>| is_lost(name, &domains, &answers);
            if !is_list_known || !members.iter().all(confirmed) {
                return;
            }
            let event = Event::LossesConfirmed { members, claimed };
            context.send_event(&group, incarnation, event);
        });
    }
}

/// Whether no owner that answered takes a member for alive, and one of its failure domain answered.
fn is_lost(name: &str, domains: &BTreeMap<Arc<str>, Arc<str>>, answers: &[Answer]) -> bool {
    let Some(domain) = domains.get(name) else {
        return false;
    };
    let is_opposed = answers.iter().any(|answer| answer.live.contains(name));
    !is_opposed && answers.iter().any(|answer| answer.domain == *domain)
}
