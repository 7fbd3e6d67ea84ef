//! What a workload's sessions saw, and the checker that compares it with what is there.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;

/// Everything the sessions noted, in the order in which they noted it.
#[derive(Debug, Default)]
pub struct Journal {
    pub acknowledged: BTreeSet<String>,
    pub refused: BTreeSet<String>,
    pub unknown: BTreeSet<String>,
    /// Keys of sales that were acknowledged.
    pub sold: BTreeSet<String>,
    pub stale_own_reads: u64,
    pub backward_reads: u64,
    /// Answers that can't belong to the request.
    pub foreign_answers: u64,
    pub reads: u64,
    pub writes: u64,
    /// Moments of acknowledgement, since the start.
    pub acknowledged_at: Vec<Duration>,
    /// SQLSTATEs met, and how often.
    pub errors: BTreeMap<String, u64>,
}

/// The checker's counts. All zero is good.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    pub lost_acknowledged_writes: u64,
    pub double_runs: u64,
    pub stale_own_reads: u64,
    pub backward_reads: u64,
    pub ran_though_refused: u64,
    pub foreign_answers: u64,
}

impl Journal {
    /// Longest time without an acknowledgement that ends after `since`.
    pub fn gap_after(&self, since: Duration) -> Option<Duration> {
        let mut acks = self.acknowledged_at.clone();
        acks.sort_unstable();
        let pairs = acks.windows(2).filter(|pair| pair[1] >= since);
        pairs.map(|pair| pair[1] - pair[0]).max()
    }

    /// Compares what was noted with the rows that are there in the end.
    pub fn check(&self, present: &[String], sales: &[String]) -> Verdict {
        let rows: BTreeSet<&String> = present.iter().collect();
        let sold: BTreeSet<&String> = sales.iter().collect();
        let lost = self.acknowledged.iter().filter(|id| !rows.contains(id));
        let unsold = self.sold.iter().filter(|key| !sold.contains(key));
        let ran = self.refused.iter().filter(|id| rows.contains(id));
        let twice = (sales.len() - sold.len()) + (present.len() - rows.len());
        Verdict {
            lost_acknowledged_writes: (lost.count() + unsold.count()) as u64,
            double_runs: twice as u64,
            stale_own_reads: self.stale_own_reads,
            backward_reads: self.backward_reads,
            ran_though_refused: ran.count() as u64,
            foreign_answers: self.foreign_answers,
        }
    }
}

impl Verdict {
    pub fn is_clean(&self) -> bool {
        *self == Verdict::default()
    }
}
