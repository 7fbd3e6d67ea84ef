//! Replacement of a failed primary: suspect, corroborate, fence, promote.
//!
//! Three members are the acceptors: each grants a term once, so only one box
//! gets a majority at it. The winner is the granting member with the greatest
//! log, which therefore holds everything that was ever acknowledged. Whoever
//! loses a race, or an answer, goes to a higher term.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::borders::member::{MemberError, Status, Stream};

/// Times of a replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Wait of each owner per rank before it acts, so that owners do not duel.
    pub stagger: Duration,
    /// Time between questions while in doubt.
    pub again: Duration,
    /// A ballot without a majority by then has failed.
    pub ballot: Duration,
    /// Least time between two replacements of a primary that still answers.
    pub rest: Duration,
    /// A promised term whose primary does not show by then was abandoned.
    pub abandoned: Duration,
    /// Usual time from the first doubt to the new primary.
    pub expected: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            stagger: Duration::from_millis(200),
            again: Duration::from_millis(25),
            ballot: Duration::from_millis(500),
            rest: Duration::from_secs(1),
            abandoned: Duration::from_millis(600),
            expected: Duration::from_secs(2),
        }
    }
}

/// What a step asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the other owners whether they suspect the primary too.
    Ask,
    /// Look at every member now.
    Look,
    Fence {
        member: usize,
        term: u64,
    },
    Promote {
        member: usize,
        term: u64,
    },
    Won {
        member: usize,
        term: u64,
    },
    Lost {
        term: u64,
    },
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Steady,
    /// Suspicion or an abandoned term, not yet corroborated.
    Doubt {
        since: Duration,
        asked: Duration,
        replicas: BTreeMap<usize, Stream>,
        peers: BTreeMap<Arc<str>, Opinion>,
    },
    Fencing {
        term: u64,
        since: Duration,
        granted: BTreeMap<usize, Status>,
        refused: BTreeSet<usize>,
    },
    Promoting {
        term: u64,
        winner: usize,
        since: Duration,
    },
    Resting {
        until: Duration,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Opinion {
    near: bool,
    suspects: bool,
}

/// Why the primary is in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    None,
    /// This box suspects the primary, or knows none.
    Suspected,
    /// The primary is declared to leave, and nothing of ours runs on it any more.
    Left,
}

/// The replacement of one group, as one owner drives it.
#[derive(Clone, Debug)]
pub struct Replace {
    settings: Settings,
    members: usize,
    rank: u32,
    pub term: u64,
    pub primary: Option<usize>,
    /// Highest term promised anywhere, as far as seen.
    highest: u64,
    /// Since when a higher term than ours is promised without a primary of it.
    above: Option<Duration>,
    phase: Phase,
    done: Option<Duration>,
    doubted: Option<Duration>,
    /// Members that are not to be promoted where others can be.
    avoid: BTreeSet<usize>,
}

impl Replace {
    pub fn new(settings: Settings, members: usize, rank: u32) -> Self {
        Self {
            settings,
            members,
            rank,
            term: 0,
            primary: None,
            highest: 0,
            above: None,
            phase: Phase::Steady,
            done: None,
            doubted: None,
            avoid: BTreeSet::new(),
        }
    }

    /// Names the members that are declared to leave.
    pub fn set_leaving(&mut self, leaving: BTreeSet<usize>) {
        self.avoid = leaving;
    }

    pub fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// This owner's place among the group's owners, 0 the first.
    pub fn rank(&self) -> u32 {
        self.rank
    }

    pub fn majority(&self) -> usize {
        self.members / 2 + 1
    }

    /// Highest term promised anywhere, as far as seen.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    pub fn is_steady(&self) -> bool {
        self.phase == Phase::Steady
    }

    pub fn phase(&self) -> &'static str {
        match self.phase {
            Phase::Steady => "steady",
            Phase::Doubt { .. } => "doubt",
            Phase::Fencing { .. } => "fencing",
            Phase::Promoting { .. } => "promoting",
            Phase::Resting { .. } => "resting",
        }
    }

    /// Time until a primary is to be expected again.
    pub fn remaining(&self, now: Duration) -> Duration {
        let since = self.doubted.unwrap_or(now);
        let end = since + self.settings.expected;
        end.saturating_sub(now).max(self.settings.ballot)
    }

    /// When something happens by itself.
    pub fn wake(&self) -> Option<Duration> {
        let phase = match &self.phase {
            Phase::Steady => None,
            Phase::Doubt { asked, .. } => Some(*asked + self.settings.again),
            Phase::Fencing { since, .. } | Phase::Promoting { since, .. } => {
                Some(*since + self.settings.ballot)
            }
            Phase::Resting { until } => Some(*until),
        };
        let above = self.above.map(|since| since + self.patience());
        match phase {
            Some(_) => phase,
            None => above,
        }
    }

    fn patience(&self) -> Duration {
        self.settings.abandoned + self.settings.stagger * self.rank
    }

    /// Takes a primary of a newer term for known. True when it is news.
    pub fn adopt(&mut self, term: u64, primary: usize, now: Duration) -> bool {
        if term <= self.term {
            return false;
        }
        assert!(primary < self.members, "a primary is a member of its group");
        // The first primary that is seen was not put there by a replacement.
        self.done = (self.term > 0).then_some(now);
        self.term = term;
        self.primary = Some(primary);
        self.highest = self.highest.max(term);
        self.above = (self.highest > term).then_some(now);
        self.phase = Phase::Steady;
        self.doubted = None;
        true
    }

    /// Takes a member's report, begun at `began`.
    pub fn observe(&mut self, member: usize, status: &Status, began: Duration, now: Duration) {
        self.note_promised(status.promised, now);
        if let Phase::Doubt {
            since, replicas, ..
        } = &mut self.phase
            && began >= *since
        {
            replicas.insert(member, status.stream);
        }
    }

    fn note_promised(&mut self, promised: u64, now: Duration) {
        self.highest = self.highest.max(promised);
        if self.highest > self.term && self.above.is_none() {
            self.above = Some(now);
        }
    }

    pub fn opinion(&mut self, from: Arc<str>, near: bool, suspects: bool) {
        if let Phase::Doubt { peers, .. } = &mut self.phase {
            peers.insert(from, Opinion { near, suspects });
        }
    }

    /// Moves on with the time.
    pub fn tick(&mut self, doubt: Doubt, now: Duration) -> Vec<Step> {
        let abandoned = self
            .above
            .is_some_and(|since| now >= since + self.patience());
        match &self.phase {
            Phase::Steady if doubt == Doubt::Left => self.fence(now),
            Phase::Steady if doubt == Doubt::Suspected || abandoned => self.start_doubt(now),
            Phase::Steady => Vec::new(),
            Phase::Doubt { .. } => self.weigh(doubt, abandoned, now),
            Phase::Fencing { term, since, .. } | Phase::Promoting { term, since, .. } => {
                match now >= *since + self.settings.ballot {
                    true => self.lose(*term, now),
                    false => Vec::new(),
                }
            }
            Phase::Resting { until } if now >= *until => {
                self.phase = Phase::Steady;
                self.tick(doubt, now)
            }
            Phase::Resting { .. } => Vec::new(),
        }
    }

    fn start_doubt(&mut self, now: Duration) -> Vec<Step> {
        let resting = self
            .done
            .is_some_and(|done| self.primary.is_some() && now < done + self.settings.rest);
        if resting && self.doubted.is_none() && self.above.is_none() {
            // A new primary gets its time; a wrong replacement costs a gap too.
            let until = self.done.unwrap_or(now) + self.settings.rest;
            self.phase = Phase::Resting { until };
            return Vec::new();
        }
        self.doubted = self.doubted.or(Some(now));
        self.phase = Phase::Doubt {
            since: now,
            asked: now,
            replicas: BTreeMap::new(),
            peers: BTreeMap::new(),
        };
        vec![Step::Ask, Step::Look]
    }

    fn weigh(&mut self, doubt: Doubt, abandoned: bool, now: Duration) -> Vec<Step> {
        if doubt == Doubt::None && !abandoned {
            self.phase = Phase::Steady;
            self.doubted = None;
            return Vec::new();
        }
        let patient = self.settings.stagger * self.rank;
        let again = self.settings.again;
        let corroborated = abandoned || self.corroborated();
        let majority = self.majority();
        let Phase::Doubt {
            since,
            asked,
            replicas,
            ..
        } = &mut self.phase
        else {
            return Vec::new();
        };
        let reachable = replicas.len() >= majority;
        if corroborated && reachable && now >= *since + patient {
            return self.fence(now);
        }
        if now < *asked + again {
            return Vec::new();
        }
        *asked = now;
        vec![Step::Ask, Step::Look]
    }

    /// Whether someone besides this box finds the primary gone.
    fn corroborated(&self) -> bool {
        let Phase::Doubt {
            replicas, peers, ..
        } = &self.phase
        else {
            return false;
        };
        let live = replicas.values().any(|s| *s == Stream::Live);
        let gone = replicas
            .values()
            .any(|s| matches!(s, Stream::Broken | Stream::Silent));
        let far = peers.values().any(|peer| peer.suspects && !peer.near);
        let fine = peers.values().any(|peer| !peer.suspects);
        (gone && !live) || (far && !fine)
    }

    fn fence(&mut self, now: Duration) -> Vec<Step> {
        let term = self.highest.max(self.term) + 1;
        self.highest = term;
        self.phase = Phase::Fencing {
            term,
            since: now,
            granted: BTreeMap::new(),
            refused: BTreeSet::new(),
        };
        let ask = |member| Step::Fence { member, term };
        (0..self.members).map(ask).collect()
    }

    /// Takes a member's answer to a fence.
    pub fn fenced(
        &mut self,
        member: usize,
        asked: u64,
        answer: &Result<Status, MemberError>,
        now: Duration,
    ) -> Vec<Step> {
        if let Err(MemberError::Fenced { promised }) = answer {
            self.note_promised(*promised, now);
        }
        let majority = self.majority();
        let members = self.members;
        let Phase::Fencing {
            term,
            granted,
            refused,
            ..
        } = &mut self.phase
        else {
            return Vec::new();
        };
        if *term != asked {
            return Vec::new();
        }
        let term = *term;
        match answer {
            Ok(status) if status.promised == term => {
                granted.insert(member, *status);
            }
            _ => {
                refused.insert(member);
            }
        }
        if members - refused.len() < majority {
            return self.lose(term, now);
        }
        if granted.len() < majority {
            return Vec::new();
        }
        let mut avoid = self.avoid.clone();
        avoid.extend(self.primary);
        let winner = winner(granted, &avoid, majority);
        self.phase = Phase::Promoting {
            term,
            winner,
            since: now,
        };
        vec![Step::Promote {
            member: winner,
            term,
        }]
    }

    /// Takes the winner's answer to its promotion.
    pub fn promoted(
        &mut self,
        asked: u64,
        answer: &Result<Status, MemberError>,
        now: Duration,
    ) -> Vec<Step> {
        let Phase::Promoting { term, winner, .. } = self.phase else {
            return Vec::new();
        };
        if term != asked {
            return Vec::new();
        }
        if let Err(MemberError::Fenced { promised }) = answer {
            self.note_promised(*promised, now);
        }
        if answer.is_err() {
            return self.lose(term, now);
        }
        self.adopt(term, winner, now);
        vec![Step::Won {
            member: winner,
            term,
        }]
    }

    fn lose(&mut self, term: u64, now: Duration) -> Vec<Step> {
        let until = now + self.settings.again * (1 + 2 * self.rank);
        self.phase = Phase::Resting { until };
        vec![Step::Lost { term }]
    }
}

/// The granting member with the greatest log.
///
/// Any majority's greatest log holds all that was acknowledged. So the doubted
/// primary and those that leave are left out where the others are a majority
/// without them.
fn winner(granted: &BTreeMap<usize, Status>, avoid: &BTreeSet<usize>, majority: usize) -> usize {
    let others = granted
        .keys()
        .filter(|member| !avoid.contains(member))
        .count();
    let eligible = |member: &usize| others < majority || !avoid.contains(member);
    let candidates = granted.iter().filter(|(member, _)| eligible(member));
    let best = candidates.max_by_key(|(member, status)| (status.log, std::cmp::Reverse(**member)));
    *best.expect("a majority granted").0
}
