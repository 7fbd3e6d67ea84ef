//! Records what a workload's sessions observed, and checks the records against the final rows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;

/// The observations of all sessions of a workload.
#[derive(Debug, Default)]
pub struct Journal {
    /// Ids of acknowledged writes.
    pub acknowledged: BTreeSet<String>,
    /// Ids of writes that were reported as not run.
    pub refused: BTreeSet<String>,
    /// Ids of writes with an unknown outcome.
    pub unknown: BTreeSet<String>,
    /// Keys of acknowledged sales.
    pub sold: BTreeSet<String>,
    /// Reads that missed an acknowledged write of the same session.
    pub stale_own_reads: u64,
    /// Reads that were older than an earlier read of the same session.
    pub backward_reads: u64,
    /// Answers that belong to another request.
    pub foreign_answers: u64,
    pub reads: u64,
    pub writes: u64,
    /// Times of acknowledgements, since the start of the workload.
    pub acknowledged_at: Vec<Duration>,
    /// Number of errors by SQLSTATE, or `lost` for a lost connection.
    pub errors: BTreeMap<String, u64>,
}

/// Number of violations by kind. All are zero in a correct run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    pub lost_acknowledged_writes: u64,
    /// Writes that ran more than once.
    pub double_runs: u64,
    pub stale_own_reads: u64,
    pub backward_reads: u64,
    /// Writes that ran although they were reported as not run.
    pub ran_though_refused: u64,
    pub foreign_answers: u64,
}

impl Journal {
    /// Returns the longest time without an acknowledgement that ends at or after `since`.
    pub fn gap_after(&self, since: Duration) -> Option<Duration> {
        let mut times = self.acknowledged_at.clone();
        times.sort_unstable();
        let pairs = times.windows(2).filter(|pair| pair[1] >= since);
        pairs.map(|pair| pair[1] - pair[0]).max()
    }

    /// Compares the records with the ids and the sale keys of the final rows.
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
