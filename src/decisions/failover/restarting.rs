//! Members that restart during a failover.

use std::time::Duration;

use super::*;

impl Failover {
    /// Moves a restarted member to its new index. The member may have kept its log, so a
    /// former primary still counts as deposed.
    pub fn move_member(&mut self, earlier: usize, member: usize) {
        if self.primary == Some(earlier) {
            self.primary = Some(member);
        }
        for indexes in [&mut self.members, &mut self.deposed, &mut self.leaving] {
            if indexes.remove(&earlier) {
                indexes.insert(member);
            }
        }
        self.restarted.remove(&earlier);
        self.restarted.insert(member);
        if let Some(orphaned) = &mut self.orphaned {
            orphaned.move_member(earlier, member);
        }
        self.set_acceptors();
    }

    /// Drops what the member granted and reported before its restart. The restarted member
    /// has forgotten its fence, so a majority that includes that grant no longer holds.
    pub fn handle_restart(&mut self, earlier: usize, member: usize, now: Duration) -> Vec<Step> {
        let majority = self.majority();
        let acceptors = &self.acceptors;
        match &mut self.phase {
            Phase::Suspecting { replicas, .. } => {
                replicas.remove(&earlier);
                Vec::new()
            }
            Phase::Fencing {
                term,
                granted,
                refused,
                others_due,
                ..
            } => {
                granted.remove(&earlier);
                refused.remove(&earlier);
                let is_due = others_due.is_none() || self.primary == Some(member);
                let ask = Step::Fence {
                    member,
                    term: *term,
                };
                is_due.then_some(ask).into_iter().collect()
            }
            Phase::Waiting {
                term,
                granted,
                kept_at,
                ..
            } => {
                granted.remove(&earlier);
                kept_at.remove(&earlier);
                let counted = granted.keys().filter(|index| acceptors.contains(index));
                match counted.count() < majority {
                    true => {
                        let term = *term;
                        self.fail_ballot(term, now)
                    }
                    false => Vec::new(),
                }
            }
            Phase::Promoting { term, winner, .. } if *winner == earlier => {
                let term = *term;
                self.has_order_outstanding = true;
                self.fail_ballot(term, now)
            }
            _ => Vec::new(),
        }
    }
}
