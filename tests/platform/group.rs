//! The logs of a group's members, and what moves entries between them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time between an order to promote and the new primary.
const PROMOTION: Duration = Duration::from_millis(60);

/// One committed write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    pub key: String,
    pub value: String,
    /// Id of the statement that wrote it.
    pub id: String,
}

/// A member's part of the group.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub primary: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    /// When each entry came.
    received: Vec<Option<Instant>>,
    /// Term of the order to receive nothing, 0 for none.
    pub fence_term: u64,
    pub running: bool,
}

impl State {
    pub fn position(&self, length: usize) -> String {
        format!("{}.{length}", self.term)
    }

    /// Entries that reads see, after this lag.
    pub fn applied(&self, lag: Duration) -> usize {
        let due = |received: &Option<Instant>| received.is_none_or(|at| at.elapsed() >= lag);
        self.received.iter().take_while(|at| due(at)).count()
    }

    pub fn value(&self, thing: &str, applied: usize) -> Option<String> {
        let entries = self.log[..applied].iter().rev();
        let mut found = entries.filter(|entry| entry.key == thing);
        found.next().map(|entry| entry.value.clone())
    }

    pub fn append(&mut self, thing: &str, data: &str, id: &str) {
        self.log.push(Entry {
            term: self.term,
            key: thing.to_owned(),
            value: data.to_owned(),
            id: id.to_owned(),
        });
        self.received.push(None);
    }
}

/// A group of members that share nothing but this.
#[derive(Clone)]
pub struct Group {
    pub name: String,
    members: Arc<Mutex<BTreeMap<String, State>>>,
}

impl Group {
    /// The first member is the primary of term 1.
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

    /// What a member's log holds.
    pub fn log(&self, id: &str) -> Vec<Entry> {
        self.members()[id].log.clone()
    }

    pub fn set_running(&self, id: &str, up: bool) {
        if let Some(state) = self.members().get_mut(id) {
            state.running = up;
        }
    }

    /// The member that leads the newest term.
    pub fn primary(&self) -> String {
        let members = self.members();
        let leads = members
            .iter()
            .filter(|(_, state)| state.primary && state.running);
        let newest = leads.max_by_key(|(_, state)| state.term);
        newest.map(|(id, _)| id.clone()).unwrap_or_default()
    }

    /// Replicas that receive nothing.
    pub fn fenced(&self) -> Vec<String> {
        let members = self.members();
        let held = members.iter().filter(|(_, state)| state.fence_term > 0);
        held.map(|(id, _)| id.clone()).collect()
    }

    /// Brings what primaries hold to their replicas.
    pub fn replicate(&self) {
        let mut members = self.members();
        let leads = members
            .values()
            .filter(|state| state.primary && state.running);
        let Some(primary) = leads.max_by_key(|state| state.term).cloned() else {
            return;
        };
        for state in members.values_mut() {
            let follows = state.running && !state.primary && state.fence_term == 0;
            if !follows {
                continue;
            }
            let same = state.log.len().min(primary.log.len());
            let common = (0..same)
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

    /// Takes an order to promote; false when the member is not running.
    pub fn promote(&self, id: &str) -> bool {
        let running = self.members().get(id).is_some_and(|state| state.running);
        if running {
            let (group, id) = (self.clone(), id.to_owned());
            tokio::spawn(async move {
                tokio::time::sleep(PROMOTION).await;
                group.lead(&id);
            });
        }
        running
    }

    fn lead(&self, id: &str) {
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
