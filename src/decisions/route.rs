//! Chooses the member that serves a read, among those that are recent enough.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::decisions::position::Position;

const MAX_SAMPLES: usize = 4096;

/// Log indexes of the primary over time, from which the age of a replica's data follows.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// (time, index): the primary was at or before the index at the time.
    samples: VecDeque<(Duration, u64)>,
}

impl History {
    /// Records that the primary answered with `index` to a request sent at `began`.
    pub fn record(&mut self, began: Duration, index: u64) {
        if let Some(last) = self.samples.back_mut() {
            if began <= last.0 || index < last.1 {
                return;
            }
            if index == last.1 {
                last.0 = began;
                return;
            }
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((began, index));
    }

    /// Returns the highest index that the primary has reported.
    pub fn newest_index(&self) -> Option<u64> {
        self.samples.back().map(|sample| sample.1)
    }

    pub fn clear(&mut self) {
        self.samples.clear();
    }

    /// Returns the latest time at which the primary is known to have been before `index`.
    pub fn last_before(&self, index: u64) -> Option<Duration> {
        let later = self.samples.partition_point(|sample| sample.1 < index);
        later.checked_sub(1).map(|i| self.samples[i].0)
    }

    /// Returns the latest time at which the primary is known to have been at or before `index`.
    pub fn last_at_or_before(&self, index: u64) -> Option<Duration> {
        let newer = self.samples.partition_point(|sample| sample.1 <= index);
        newer.checked_sub(1).map(|i| self.samples[i].0)
    }
}

/// A member that may serve a read.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub member: usize,
    pub domain: Arc<str>,
    pub applied: Position,
    /// Age of the member's data, if known.
    pub age: Option<Duration>,
    /// Time until the member is expected to answer.
    pub wait: Duration,
}

/// What a read demands of the member that serves it.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Position that the member must have applied.
    pub floor: Position,
    pub max_age: Duration,
}

impl Demand {
    pub fn met_by(&self, candidate: &Candidate) -> bool {
        let recent = candidate.age.is_some_and(|age| age <= self.max_age);
        recent && candidate.applied.covers(self.floor)
    }
}

/// Penalty for a member of another failure domain, expressed as a wait: covers the network
/// latency, 0.9 to 1.4 ms one way, and the price of traffic between failure domains.
const CROSS_DOMAIN_PENALTY: Duration = Duration::from_millis(4);

/// Chooses the member that meets the demand and is expected to answer first to a box in
/// `domain`, at random among equals.
pub fn choose_member(
    candidates: &[Candidate],
    demand: Demand,
    domain: &str,
    rng: &mut SmallRng,
) -> Option<usize> {
    let cost = |candidate: &Candidate| match *candidate.domain == *domain {
        true => candidate.wait,
        false => candidate.wait + CROSS_DOMAIN_PENALTY,
    };
    let eligible = candidates.iter().filter(|c| demand.met_by(c));
    let eligible: Vec<(Duration, usize)> = eligible.map(|c| (cost(c), c.member)).collect();
    let least = eligible.iter().map(|(cost, _)| *cost).min()?;
    let best: Vec<usize> = eligible
        .iter()
        .filter(|(cost, _)| *cost == least)
        .map(|(_, member)| *member)
        .collect();
    Some(best[rng.random_range(0..best.len())])
}
