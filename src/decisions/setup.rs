//! What a pooled connection needs before it serves another session: the session's
//! values and no others, the statement prepared, the transaction opened.

use std::collections::HashSet;
use std::sync::Arc;

use crate::borders::upstream::{Opening, Prepared, Setup, Values};

/// Statements kept prepared on one connection; above it all are dropped.
const MOST_PREPARED: usize = 500;

/// One thing to do before the statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Drop all values and prepared statements.
    Reset,
    Set {
        name: Arc<str>,
        value: Arc<str>,
    },
    Prepare(Prepared),
    Open(Opening),
}

/// What a connection carries from earlier statements.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    values: Values,
    prepared: HashSet<Arc<str>>,
}

impl State {
    /// Steps that bring the connection to `setup`, in their order.
    pub fn steps_to(&self, setup: &Setup) -> Vec<Step> {
        let mut steps = Vec::new();
        let foreign = |name: &Arc<str>| !setup.values.contains_key(name);
        let fresh = Self::default();
        let reset = self.values.keys().any(foreign) || self.prepared.len() > MOST_PREPARED;
        let known = match reset {
            true => &fresh,
            false => self,
        };
        if reset {
            steps.push(Step::Reset);
        }
        for (name, value) in setup.values.iter() {
            if known.values.get(name) != Some(value) {
                let (name, value) = (name.clone(), value.clone());
                steps.push(Step::Set { name, value });
            }
        }
        if let Some(prepared) = &setup.prepared
            && !known.prepared.contains(&prepared.name)
        {
            steps.push(Step::Prepare(prepared.clone()));
        }
        steps.extend(setup.opening.clone().map(Step::Open));
        steps
    }

    /// Takes a step that the member has done.
    pub fn record(&mut self, step: &Step) {
        match step {
            Step::Reset => *self = Self::default(),
            Step::Set { name, value } => {
                self.values.insert(name.clone(), value.clone());
            }
            Step::Prepare(prepared) => {
                self.prepared.insert(prepared.name.clone());
            }
            Step::Open(_) => {}
        }
    }

    /// The member does not know a statement that was prepared.
    pub fn forget_prepared(&mut self, prepared: &Prepared) {
        self.prepared.remove(&prepared.name);
    }
}
