//! The logs of a group's members, replication between them, and promotion.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Delay between an order to promote and the new primary.
const PROMOTION_DELAY: Duration = Duration::from_millis(60);

/// One committed write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    pub key: String,
    pub value: String,
    /// Id of the statement that wrote it.
    pub id: String,
}

/// The replication state of a member.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub primary: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    /// When each entry was received. None for entries that count as applied at once: those that the
    /// member wrote as primary, and all that it holds at its promotion.
    received: Vec<Option<Instant>>,
    /// Term of the fence, under which the member receives nothing; 0 without a fence.
    pub fence_term: u64,
    pub running: bool,
}

impl State {
    /// Returns the position at a log length.
    pub fn position(&self, length: usize) -> String {
        format!("{}.{length}", self.term)
    }

    /// Returns the number of entries that reads see, given the time between receiving and
    /// applying.
    pub fn applied(&self, lag: Duration) -> usize {
        let due = |received: &Option<Instant>| received.is_none_or(|at| at.elapsed() >= lag);
        self.received.iter().take_while(|at| due(at)).count()
    }

    /// Returns the value of a key among the applied entries.
    pub fn value(&self, key: &str, applied: usize) -> Option<String> {
        let entries = self.log[..applied].iter().rev();
        let mut found = entries.filter(|entry| entry.key == key);
        found.next().map(|entry| entry.value.clone())
    }

    pub fn append(&mut self, key: &str, value: &str, id: &str) {
        self.log.push(Entry {
            term: self.term,
            key: key.to_owned(),
            value: value.to_owned(),
            id: id.to_owned(),
        });
        self.received.push(None);
    }
}

/// The members of a group, shared between their stand-ins and the test.
#[derive(Clone)]
pub struct Group {
    pub name: String,
    members: Arc<Mutex<BTreeMap<String, State>>>,
}

impl Group {
    /// Returns a group whose first member is the primary of term 1.
    pub fn new(name: &str, members: &[String]) -> Self {
        let state = |(i, id): (usize, &String)| {
            let state = State {
                primary: i == 0,
                term: 1,
                running: true,
                ..State::default()
            };
            (id.clone(), state)
        };
        Self {
            name: name.to_owned(),
            members: Arc::new(Mutex::new(members.iter().enumerate().map(state).collect())),
        }
    }

    pub fn members(&self) -> MutexGuard<'_, BTreeMap<String, State>> {
        self.members.lock().expect("no panic under the lock")
    }

    /// Returns a copy of a member's log.
    pub fn log(&self, id: &str) -> Vec<Entry> {
        self.members()[id].log.clone()
    }

    pub fn set_running(&self, id: &str, running: bool) {
        if let Some(state) = self.members().get_mut(id) {
            state.running = running;
        }
    }

    /// Returns the id of the running primary with the newest term; empty without one.
    pub fn primary(&self) -> String {
        let members = self.members();
        let primaries = members
            .iter()
            .filter(|(_, state)| state.primary && state.running);
        let newest = primaries.max_by_key(|(_, state)| state.term);
        newest.map(|(id, _)| id.clone()).unwrap_or_default()
    }

    /// Returns the ids of the fenced replicas.
    pub fn fenced(&self) -> Vec<String> {
        let members = self.members();
        let fenced = members.iter().filter(|(_, state)| state.fence_term > 0);
        fenced.map(|(id, _)| id.clone()).collect()
    }

    /// Copies the newest primary's log to its running replicas that aren't fenced.
    pub fn replicate(&self) {
        let mut members = self.members();
        let primaries = members
            .values()
            .filter(|state| state.primary && state.running);
        let Some(primary) = primaries.max_by_key(|state| state.term).cloned() else {
            return;
        };
        for state in members.values_mut() {
            let receives = state.running && !state.primary && state.fence_term == 0;
            if !receives {
                continue;
            }
            let shorter = state.log.len().min(primary.log.len());
            let common = (0..shorter)
                .take_while(|i| state.log[*i] == primary.log[*i])
                .count();
            state.log.truncate(common);
            state.received.truncate(common);
            for entry in &primary.log[common..] {
                state.log.push(entry.clone());
                state.received.push(Some(Instant::now()));
            }
            state.term = primary.term;
        }
    }

    /// Accepts an order to promote. Returns false when the member isn't running.
    pub fn promote(&self, id: &str) -> bool {
        let running = self.members().get(id).is_some_and(|state| state.running);
        if running {
            let (group, id) = (self.clone(), id.to_owned());
            tokio::spawn(async move {
                tokio::time::sleep(PROMOTION_DELAY).await;
                group.become_primary(&id);
            });
        }
        running
    }

    fn become_primary(&self, id: &str) {
        let mut members = self.members();
        let newest = members.values().map(|state| state.term).max();
        let Some(state) = members.get_mut(id) else {
            return;
        };
        if state.primary || !state.running {
            return;
        }
        state.primary = true;
        state.term = newest.unwrap_or_default() + 1;
        state.fence_term = 0;
        state.received.iter_mut().for_each(|at| *at = None);
    }
}
