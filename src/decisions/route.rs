//! Which replica may serve a read, and which of those does.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::decisions::position::Position;

const MOST_SAMPLES: usize = 4096;

/// Where the primary was when: the measure of a replica's age.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// (moment, index): the primary was at or before the index at the moment.
    samples: VecDeque<(Duration, u64)>,
}

impl History {
    /// The primary answered with `index` to a question put at `began`.
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
        if self.samples.len() == MOST_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((began, index));
    }

    /// Greatest index that the primary was seen at.
    pub fn newest_index(&self) -> Option<u64> {
        self.samples.back().map(|sample| sample.1)
    }

    pub fn clear(&mut self) {
        self.samples.clear();
    }

    /// Newest moment at which the primary is known to be before `index`.
    pub fn last_before(&self, index: u64) -> Option<Duration> {
        let later = self.samples.partition_point(|sample| sample.1 < index);
        later.checked_sub(1).map(|i| self.samples[i].0)
    }

    /// Newest moment at which the primary is known to be at or before `index`.
    pub fn last_at_or_before(&self, index: u64) -> Option<Duration> {
        let newer = self.samples.partition_point(|sample| sample.1 <= index);
        newer.checked_sub(1).map(|i| self.samples[i].0)
    }
}

/// A member as the choice sees it.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub member: usize,
    pub domain: Arc<str>,
    pub applied: Position,
    /// None where it can't be told.
    pub age: Option<Duration>,
    /// Time until it is expected to answer.
    pub wait: Duration,
}

/// What a read demands of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    pub floor: Position,
    pub max_age: Duration,
}

impl Demand {
    pub fn met_by(&self, candidate: &Candidate) -> bool {
        let fresh = candidate.age.is_some_and(|age| age <= self.max_age);
        fresh && candidate.applied.covers(self.floor)
    }
}

/// What a way to another failure domain costs, as a wait: one way between domains is
/// 0.9 to 1.4 ms, and its bytes have a price.
const FAR: Duration = Duration::from_millis(4);

/// Picks the member that meets the demand and is expected to answer first from
/// `domain`; one of them at random where several are.
pub fn choose_member(
    candidates: &[Candidate],
    demand: Demand,
    domain: &str,
    dice: &mut SmallRng,
) -> Option<usize> {
    let cost = |candidate: &Candidate| match *candidate.domain == *domain {
        true => candidate.wait,
        false => candidate.wait + FAR,
    };
    let fit = candidates.iter().filter(|c| demand.met_by(c));
    let fit: Vec<(Duration, usize)> = fit.map(|c| (cost(c), c.member)).collect();
    let least = fit.iter().map(|(cost, _)| *cost).min()?;
    let best: Vec<usize> = fit
        .iter()
        .filter(|(cost, _)| *cost == least)
        .map(|(_, member)| *member)
        .collect();
    Some(best[dice.random_range(0..best.len())])
}
