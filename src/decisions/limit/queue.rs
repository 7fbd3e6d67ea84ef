//! Queue of operations that wait for a grant from one part of a workspace's limit.
//!
//! A workspace that exceeds its limit for a moment would use up its callers' retries within
//! milliseconds if all excess operations were refused at once; queued, they are served in time.
//! An operation is queued only if its grant is expected before its deadline, so under lasting
//! overload the queue stays short and the operations served are on time. Operations with an
//! earlier deadline go first. If a new operation would delay others past their deadlines, the
//! one with the latest deadline is evicted, since its caller has the most time for a retry.

use std::collections::BTreeSet;
use std::time::Duration;

/// Most operations in a queue; `insert` visits each of them.
const MAX_LENGTH: usize = 512;

/// When grants are expected: the first one, and the time between two.
#[derive(Clone, Copy, Debug)]
pub struct Forecast {
    pub first: Duration,
    pub gap: Duration,
}

impl Forecast {
    /// Returns the time of the grant for the operation at this index of the queue.
    pub fn grant_at(&self, index: usize) -> Duration {
        self.first + self.gap.saturating_mul(index as u32)
    }
}

/// Operations in order of their deadlines.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Deadline and id of each operation.
    waiting: BTreeSet<(Duration, u64)>,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Queues an operation. Returns false if its grant is expected after its deadline or the
    /// queue is full of earlier deadlines.
    pub fn insert(&mut self, id: u64, deadline: Duration, forecast: Forecast) -> bool {
        let entry = (deadline, id);
        let index = self.waiting.range(..entry).count();
        if index >= MAX_LENGTH || forecast.grant_at(index) > deadline {
            return false;
        }
        self.waiting.insert(entry);
        self.evict_last(index, forecast);
        true
    }

    /// Evicts operations from the end until all from `index` on are expected to be granted
    /// before their deadlines.
    fn evict_last(&mut self, index: usize, forecast: Forecast) {
        loop {
            let mut behind = self.waiting.iter().enumerate().skip(index);
            let late = behind.any(|(i, (deadline, _))| forecast.grant_at(i) > *deadline);
            if !late && self.waiting.len() <= MAX_LENGTH {
                return;
            }
            self.waiting.pop_last();
        }
    }

    /// Returns the index of an operation in the queue, or none if it is not queued.
    pub fn index_of(&self, id: u64, deadline: Duration) -> Option<usize> {
        let entry = (deadline, id);
        let queued = self.waiting.contains(&entry);
        queued.then(|| self.waiting.range(..entry).count())
    }

    pub fn remove(&mut self, id: u64, deadline: Duration) {
        self.waiting.remove(&(deadline, id));
    }
}
