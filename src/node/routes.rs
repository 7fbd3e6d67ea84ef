//! Caches for routing: the classes of statements, and the order in which this box tries the
//! owners of each group.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::borders::roster::Listing;
use crate::configs::run::Run;
use crate::decisions::classify::{Class, classify};
use crate::decisions::owners::Ranking;
use crate::declarations::snapshot::{Plan, Snapshot};

/// Maximum number of cached classes. A full cache is cleared.
const MAX_CLASSES: usize = 10_000;
/// Longest statement whose class is cached, in bytes.
const MAX_CACHED_LENGTH: usize = 4_096;

/// Classes by the text of the statement.
#[derive(Default)]
pub struct Classes {
    cache: RefCell<HashMap<Box<str>, Rc<Class>>>,
}

impl Classes {
    /// Returns the class of a statement.
    pub fn classify(&self, sql: &str) -> Rc<Class> {
        if let Some(class) = self.cache.borrow().get(sql) {
            return class.clone();
        }
        let class = Rc::new(classify(sql));
        if sql.len() > MAX_CACHED_LENGTH {
            return class;
        }
        let mut cache = self.cache.borrow_mut();
        if cache.len() >= MAX_CLASSES {
            cache.clear();
        }
        cache.insert(sql.into(), class.clone());
        class
    }
}

/// Owners by group.
#[derive(Default)]
pub struct Routes {
    cache: RefCell<Cache>,
}

/// The owners of a group as of one plan.
struct Route {
    plan: Arc<Plan>,
    owners: Rc<[Listing]>,
}

/// Owners that are valid for one list of boxes and one number of groups, each for one plan of the
/// group.
#[derive(Default)]
struct Cache {
    boxes: Arc<[Listing]>,
    groups: usize,
    ranking: Ranking,
    owners: HashMap<Arc<str>, Route>,
}

impl Routes {
    /// Returns the owners of a group: this box first, then those in its failure domain.
    pub fn owners(
        &self,
        group: &Arc<str>,
        snapshot: &Arc<Snapshot>,
        boxes: &Arc<[Listing]>,
        settings: &Run,
    ) -> Rc<[Listing]> {
        let mut cache = self.cache.borrow_mut();
        if !Arc::ptr_eq(&cache.boxes, boxes) {
            *cache = Cache {
                boxes: boxes.clone(),
                ranking: Ranking::new(boxes),
                groups: snapshot.groups.len(),
                owners: HashMap::new(),
            };
        }
        let Some(plan) = snapshot.groups.get(group) else {
            cache.owners.remove(group);
            return Rc::from([]);
        };
        if let Some(known) = cache.owners.get(group)
            && Arc::ptr_eq(&known.plan, plan)
            && cache.groups == snapshot.groups.len()
        {
            return known.owners.clone();
        }
        if cache.groups != snapshot.groups.len() {
            // The number of owners of each group may depend on it.
            cache.groups = snapshot.groups.len();
            cache.owners.clear();
        }
        let owners = sorted_owners(plan, &cache, settings);
        let route = Route {
            plan: plan.clone(),
            owners: owners.clone(),
        };
        cache.owners.insert(group.clone(), route);
        owners
    }
}

fn sorted_owners(plan: &Plan, cache: &Cache, settings: &Run) -> Rc<[Listing]> {
    let mut owners: Vec<Listing> = cache
        .ranking
        .owners_of(plan, cache.groups)
        .into_iter()
        .cloned()
        .collect();
    // Boxes that don't own the group start at different owners, to spread their load.
    let hash = xxh3_64(settings.name.as_bytes()) as usize;
    let offset = hash % owners.len().max(1);
    owners.rotate_left(offset);
    owners.sort_by_key(|owner| (owner.name != settings.name, owner.domain != settings.domain));
    owners.into()
}
