//! Plans the steps that prepare a pooled connection for a session's statement: it must carry
//! the session's values and no others, the prepared statement, and the opened transaction.

use std::collections::HashSet;
use std::sync::Arc;

use crate::borders::upstream::{Opening, Prepared, Setup, Values};

/// Most prepared statements on one connection; above it, the connection is reset.
const MAX_PREPARED: usize = 500;

/// One step before the statement.
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

/// Values and prepared statements that a connection carries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    values: Values,
    prepared: HashSet<Arc<str>>,
}

impl State {
    /// Returns the steps that bring the connection to `setup`, in order.
    pub fn steps_to(&self, setup: &Setup) -> Vec<Step> {
        let mut steps = Vec::new();
        let extra = |name: &Arc<str>| !setup.values.contains_key(name);
        let empty = Self::default();
        let reset = self.values.keys().any(extra) || self.prepared.len() > MAX_PREPARED;
        let start = match reset {
            true => &empty,
            false => self,
        };
        if reset {
            steps.push(Step::Reset);
        }
        for (name, value) in setup.values.iter() {
            if start.values.get(name) != Some(value) {
                let (name, value) = (name.clone(), value.clone());
                steps.push(Step::Set { name, value });
            }
        }
        if let Some(prepared) = &setup.prepared
            && !start.prepared.contains(&prepared.name)
        {
            steps.push(Step::Prepare(prepared.clone()));
        }
        steps.extend(setup.opening.clone().map(Step::Open));
        steps
    }

    /// Records a step that the member has completed.
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

    /// Records that the member has lost a prepared statement.
    pub fn forget_prepared(&mut self, prepared: &Prepared) {
        self.prepared.remove(&prepared.name);
    }
}
