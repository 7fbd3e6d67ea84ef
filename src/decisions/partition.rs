//! Whether a box is cut off, so that callers are better served by others.
//!
//! An owner sees by itself whether it reaches a majority of its groups' members. A
//! box that does not own every group asks owners of the others, but only while
//! something speaks for a cut: it would cost each box questions to all owners.
//!
//! A balancer turns to other failure domains only once every box of the lost one says that
//! it is not ready. So a box that finds all other domains silent warns a few neighbours, who
//! look and ask at once and warn others in turn: the domain is handed over as one. A warning
//! is no verdict; each box goes by what it sees and by owners' words.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::borders::roster::Listing;

/// Time between two rounds of questions: short against the seconds that a balancer
/// takes to turn to others.
const AGAIN: Duration = Duration::from_millis(500);
/// The same after a neighbour's warning: it may come before the owners know.
const SOON: Duration = Duration::from_millis(100);
/// Time for which a refusal or a warning speaks for a cut.
const DOUBT: Duration = Duration::from_secs(2);
/// Neighbours that are warned because they come next by name: followed from box to box,
/// they are the whole failure domain.
const NEXT: usize = 2;
/// Neighbours that are warned besides, at random: the number of those who know grows with
/// each hop.
const AT_RANDOM: usize = 2;

/// What a box's own groups show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Groups there are.
    pub groups: usize,
    /// Groups this box owns.
    pub owned: usize,
    /// The list of boxes, and so of owners, is not just filling.
    pub list_settled: bool,
    /// Owned groups of whose members it reaches a majority.
    pub with_majority: usize,
    /// Owned groups of whose members it reaches none; it has not found out yet about
    /// the rest.
    pub without_majority: usize,
}

impl Counts {
    /// What its own groups tell by themselves, if they tell enough.
    fn verdict(&self) -> Option<bool> {
        if self.with_majority > 0 {
            return Some(false);
        }
        (self.owned == self.groups).then_some(self.owned > 0 && self.without_majority == self.owned)
    }
}

/// When members of another failure domain last answered, and last did not.
#[derive(Clone, Copy, Debug, Default)]
struct Sight {
    heard: Option<Duration>,
    missed: Option<Duration>,
}

impl Sight {
    fn is_lost(&self) -> bool {
        self.missed > self.heard
    }
}

/// Whether this box is cut off.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    /// Other failure domains in which this box watches members.
    far: BTreeMap<Arc<str>, Sight>,
    /// When neighbours were last warned that all of these are silent.
    told_of: Option<Duration>,
    view: Counts,
    /// When an exchange last failed as in a cut.
    refused: Option<Duration>,
    /// When a neighbour last said that it is cut off.
    warned: Option<Duration>,
    asked: Option<Duration>,
    /// An owner has said something since the start of this box.
    told: bool,
    cut_off: bool,
}

impl Monitor {
    pub fn is_partitioned(&self) -> bool {
        self.cut_off
    }

    /// Takes what the box's own groups show.
    pub fn update_counts(&mut self, view: Counts, now: Duration) {
        if view.without_majority > self.view.without_majority {
            // What others see is worth knowing at once.
            self.warned = Some(now);
        }
        self.view = view;
        if let Some(verdict) = view.verdict() {
            self.cut_off = verdict;
        }
    }

    /// An owner reached no majority of its group, or no owner was reached.
    pub fn record_refusal(&mut self, now: Duration) {
        self.refused = Some(now);
    }

    /// A box of the same failure domain finds the others silent. Whether the neighbours are
    /// to be warned too: they have not been of late.
    pub fn record_alert(&mut self, now: Duration) -> bool {
        self.warned = Some(now);
        self.tells_now(now)
    }

    /// A member of another failure domain answered.
    pub fn record_answer(&mut self, domain: &Arc<str>, now: Duration) {
        match self.far.get_mut(domain) {
            Some(sight) => sight.heard = Some(now),
            None => {
                let sight = Sight {
                    heard: Some(now),
                    missed: None,
                };
                self.far.insert(domain.clone(), sight);
            }
        }
    }

    /// A member of another failure domain did not answer in time. Whether all the others are
    /// silent now, so that the neighbours are to be warned.
    pub fn record_failure(&mut self, domain: &Arc<str>, now: Duration) -> bool {
        self.far.entry(domain.clone()).or_default().missed = Some(now);
        self.far.values().all(Sight::is_lost) && self.tells_now(now)
    }

    fn tells_now(&mut self, now: Duration) -> bool {
        let rested = self.told_of.is_none_or(|told| now >= told + DOUBT);
        if rested {
            self.told_of = Some(now);
        }
        rested
    }

    /// When owners are to be asked next, if at all.
    pub fn query_due(&self, now: Duration) -> Option<Duration> {
        if self.view.verdict().is_some() {
            return None;
        }
        let doubt = self.refused.max(self.warned);
        let doubted = doubt.is_some_and(|since| now < since + DOUBT);
        // A box that starts again in a cut failure domain is to know it before callers
        // do: alone in calling itself ready, it would get all of the domain's. When all
        // boxes start for the first time, all would ask the few that the list names by then.
        let fresh = !self.told && self.view.list_settled;
        let wanted = self.cut_off || self.view.owned > 0 || doubted || fresh;
        let pause = match self.warned > self.asked && !self.cut_off {
            true => SOON,
            false => AGAIN,
        };
        let next = self.asked.map_or(now, |asked| asked + pause);
        wanted.then_some(next)
    }

    /// Owners are being asked.
    pub fn record_query(&mut self, now: Duration) {
        self.asked = Some(now);
    }

    /// Takes the owners' words: whether each reaches a majority of its group, as far as
    /// they can tell. Those that have just started can't, and would bring back a whole
    /// failure domain in the middle of a cut.
    pub fn record_replies(&mut self, words: &[Option<bool>]) {
        let told = words.iter().flatten();
        if told.clone().count() == 0 {
            return;
        }
        self.told = true;
        if self.view.verdict().is_some() {
            return;
        }
        self.cut_off = told.clone().all(|reached| !reached);
    }
}

/// The boxes of the same failure domain that a box warns.
pub fn alert_targets<'a>(
    boxes: &'a [Listing],
    name: &str,
    domain: &str,
    dice: &mut impl Rng,
) -> Vec<&'a Listing> {
    let near = |listing: &&Listing| *listing.domain == *domain && *listing.name != *name;
    let mut ring: Vec<&Listing> = boxes.iter().filter(near).collect();
    ring.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    let start = ring.partition_point(|listing| *listing.name < *name);
    ring.rotate_left(start);
    let mut warned: Vec<&Listing> = ring.iter().take(NEXT).copied().collect();
    let rest = ring.into_iter().skip(NEXT);
    warned.extend(rest.choose_multiple(dice, AT_RANDOM));
    warned
}
