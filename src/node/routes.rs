//! What a box need not work out for each statement: classes of statements it has
//! seen, and the owners of each group in the order in which it tries them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::borders::roster::Listing;
use crate::configs::run::Run;
use crate::decisions::classify::{Class, classify};
use crate::decisions::owners::Ranking;
use crate::declarations::snapshot::Snapshot;

/// Statements whose class is kept; above it all are forgotten.
const MOST_CLASSES: usize = 10_000;
/// Longer statements are classified each time.
const LONGEST: usize = 4_096;

/// Classes by the text of the statement.
#[derive(Default)]
pub struct Classes {
    known: RefCell<HashMap<Box<str>, Rc<Class>>>,
}

impl Classes {
    pub fn classify(&self, sql: &str) -> Rc<Class> {
        if let Some(class) = self.known.borrow().get(sql) {
            return class.clone();
        }
        let class = Rc::new(classify(sql));
        if sql.len() > LONGEST {
            return class;
        }
        let mut known = self.known.borrow_mut();
        if known.len() >= MOST_CLASSES {
            known.clear();
        }
        known.insert(sql.into(), class.clone());
        class
    }
}

/// Owners by group, for one snapshot and one list of boxes.
#[derive(Default)]
pub struct Routes {
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    snapshot: Arc<Snapshot>,
    boxes: Arc<[Listing]>,
    ranking: Ranking,
    owners: HashMap<Arc<str>, Rc<[Listing]>>,
}

impl Routes {
    /// Owners of a group: this box first, then its own failure domain.
    pub fn owners(
        &self,
        group: &Arc<str>,
        snapshot: &Arc<Snapshot>,
        boxes: &Arc<[Listing]>,
        settings: &Run,
    ) -> Rc<[Listing]> {
        let mut state = self.state.borrow_mut();
        let current = Arc::ptr_eq(&state.snapshot, snapshot) && Arc::ptr_eq(&state.boxes, boxes);
        if !current {
            *state = State {
                snapshot: snapshot.clone(),
                boxes: boxes.clone(),
                ranking: Ranking::new(boxes),
                owners: HashMap::new(),
            };
        }
        if let Some(owners) = state.owners.get(group) {
            return owners.clone();
        }
        let owners = ordered(group, snapshot, &state.ranking, settings);
        state.owners.insert(group.clone(), owners.clone());
        owners
    }
}

fn ordered(
    group: &Arc<str>,
    snapshot: &Snapshot,
    ranking: &Ranking,
    settings: &Run,
) -> Rc<[Listing]> {
    let Some(plan) = snapshot.groups.get(group) else {
        return Rc::from([]);
    };
    let mut owners: Vec<Listing> = ranking.owners_of(plan).into_iter().cloned().collect();
    // Boxes that own nothing of the group spread over its owners.
    let spread = xxh3_64(settings.name.as_bytes()) as usize;
    let turn = spread % owners.len().max(1);
    owners.rotate_left(turn);
    owners.sort_by_key(|owner| (owner.name != settings.name, owner.domain != settings.domain));
    owners.into()
}
