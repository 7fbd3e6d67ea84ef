//! Members that start again in the middle of a replacement.

use std::time::Duration;

use super::*;

impl Replace {
    /// A member that started again has a new place. It may have its log still: a former
    /// primary stays one that strayed.
    pub fn rename(&mut self, earlier: usize, member: usize) {
        if self.primary == Some(earlier) {
            self.primary = Some(member);
        }
        for places in [&mut self.members, &mut self.deposed, &mut self.avoid] {
            if places.remove(&earlier) {
                places.insert(member);
            }
        }
        if let Some(stray) = &mut self.stray {
            stray.rename(earlier, member);
        }
        self.set_acceptors();
    }

    /// Drops what the earlier start granted and showed: it has forgotten its fence, and a
    /// majority that rests on it is none.
    pub fn restarted(&mut self, earlier: usize, member: usize, now: Duration) -> Vec<Step> {
        let majority = self.majority();
        let acceptors = &self.acceptors;
        match &mut self.phase {
            Phase::Doubt { replicas, .. } => {
                replicas.remove(&earlier);
                Vec::new()
            }
            Phase::Fencing {
                term,
                granted,
                refused,
                rest,
                ..
            } => {
                granted.remove(&earlier);
                refused.remove(&earlier);
                let asked = rest.is_none() || self.primary == Some(member);
                let ask = Step::Fence {
                    member,
                    term: *term,
                };
                asked.then_some(ask).into_iter().collect()
            }
            Phase::Waiting {
                term,
                granted,
                holding,
                ..
            } => {
                granted.remove(&earlier);
                holding.remove(&earlier);
                let counted = granted.keys().filter(|place| acceptors.contains(place));
                match counted.count() < majority {
                    true => {
                        let term = *term;
                        self.lose(term, now)
                    }
                    false => Vec::new(),
                }
            }
            Phase::Promoting { term, winner, .. } if *winner == earlier => {
                let term = *term;
                self.lose(term, now)
            }
            _ => Vec::new(),
        }
    }
}
