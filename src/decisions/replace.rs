//! Replacement of a failed primary: suspect, corroborate, fence, promote.
//!
//! Three members are the acceptors: each grants a term once, so only one box
//! gets a majority at it. The winner is the granting member with the greatest
//! log, which therefore holds everything that was ever acknowledged. Whoever
//! loses a race, or an answer, goes to a higher term.
//!
//! Where a primary takes no fence, the boxes acknowledge under a lease: they have
//! seen a majority unfenced within the lease's length. Then the promotion waits
//! that long after the majority was fenced, and nobody acknowledges any more.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::borders::member::{MemberError, Status, Stream};

/// Questions to the other boxes that must stay without any answer before a box goes
/// by its own word.
const ALONE_ASKS: u32 = 6;

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
    /// A promotion that shows no new primary by then has failed.
    pub promotion: Duration,
    /// Wait between the majority's fences and the promotion; zero where a fenced
    /// primary refuses by itself.
    pub lease: Duration,
    /// Time that replicas get to receive what a leaving primary took last.
    pub catch_up: Duration,
    /// A promotion ends all fences, and a replica's fence may be taken back.
    pub fences_end: bool,
    /// A member that stays is promoted rather than one that leaves, also where the
    /// latter's log is greater: what only the primary is known to hold may be lost.
    pub prefer_staying: bool,
    /// The duty of promoting is taken before members are fenced.
    pub claims: bool,
    /// Whose word makes a suspicion sure.
    pub corroboration: Corroboration,
}

/// Whose word makes a suspicion sure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Corroboration {
    /// One box in another failure domain suspects the primary too, and none that
    /// answers finds it well.
    Unanimous,
    /// Most boxes that answer, this one included, suspect it. The others' statements
    /// go through those that still reach it until then.
    Majority,
}

impl Settings {
    /// Time after which a box that no other answers goes by its own word.
    fn alone(&self) -> Duration {
        self.again * ALONE_ASKS
    }
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
            promotion: Duration::from_millis(500),
            lease: Duration::ZERO,
            catch_up: Duration::ZERO,
            fences_end: false,
            prefer_staying: false,
            claims: false,
            corroboration: Corroboration::Unanimous,
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
    /// Take the duty of promoting.
    Claim,
    Fence {
        member: usize,
        term: u64,
    },
    /// Have all boxes give up their leases on the old term.
    Revoke {
        term: u64,
    },
    /// Take back a fence that leads to nothing.
    Release {
        member: usize,
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
        /// Since when all that a ballot needs is there.
        sure: Option<Duration>,
    },
    /// The duty is being taken.
    Claiming {
        since: Duration,
        /// The primary is only leaving.
        left: bool,
    },
    Fencing {
        term: u64,
        since: Duration,
        granted: BTreeMap<usize, Status>,
        refused: BTreeSet<usize>,
        /// When the members besides the leaving primary are fenced too.
        rest: Option<Duration>,
    },
    /// A majority is fenced; leases run out.
    Waiting {
        term: u64,
        until: Duration,
        granted: BTreeMap<usize, Status>,
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
    /// Members whose majority decides: all that stay, and the primary.
    acceptors: BTreeSet<usize>,
    /// All members that can be asked.
    members: BTreeSet<usize>,
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
    /// The primary itself reports that it leads no more.
    demoted: bool,
    /// When another box was seen to take the duty.
    foreign: Option<Duration>,
}

impl Replace {
    pub fn new(settings: Settings, members: usize, rank: u32) -> Self {
        Self {
            settings,
            acceptors: (0..members).collect(),
            members: (0..members).collect(),
            rank,
            term: 0,
            primary: None,
            highest: 0,
            above: None,
            phase: Phase::Steady,
            done: None,
            doubted: None,
            avoid: BTreeSet::new(),
            demoted: false,
            foreign: None,
        }
    }

    /// Whether a leaving member may be passed over although its log is greater.
    pub fn set_prefer_staying(&mut self, prefer: bool) {
        self.settings.prefer_staying = prefer;
    }

    /// Names the members there are, and those of them that are declared to leave.
    pub fn set_members(&mut self, members: BTreeSet<usize>, leaving: BTreeSet<usize>) {
        self.members = members;
        self.avoid = leaving;
        self.set_acceptors();
    }

    fn set_acceptors(&mut self) {
        let stays = |member: &usize| !self.avoid.contains(member) || self.primary == Some(*member);
        self.acceptors = self.members.iter().copied().filter(stays).collect();
    }

    /// Whether a member's fence or report counts towards a majority.
    pub fn accepts(&self, member: usize) -> bool {
        self.acceptors.contains(&member)
    }

    /// Takes the primary's own word on whether it leads.
    pub fn set_demoted(&mut self, demoted: bool) {
        self.demoted = demoted;
    }

    pub fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// This owner's place among the group's owners, 0 the first.
    pub fn rank(&self) -> u32 {
        self.rank
    }

    pub fn majority(&self) -> usize {
        self.acceptors.len() / 2 + 1
    }

    /// Highest term promised anywhere, as far as seen.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    pub fn is_steady(&self) -> bool {
        self.phase == Phase::Steady
    }

    /// Whether this box takes the primary's lead away just now.
    pub fn is_deposing(&self) -> bool {
        matches!(
            self.phase,
            Phase::Fencing { .. } | Phase::Waiting { .. } | Phase::Promoting { .. }
        )
    }

    pub fn phase(&self) -> &'static str {
        match self.phase {
            Phase::Steady => "steady",
            Phase::Doubt { .. } => "doubt",
            Phase::Claiming { .. } => "claiming",
            Phase::Fencing { .. } => "fencing",
            Phase::Waiting { .. } => "waiting for leases",
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
            Phase::Fencing { since, rest, .. } => {
                Some(rest.unwrap_or(*since + self.settings.ballot))
            }
            Phase::Claiming { since, .. } => Some(*since + self.settings.ballot),
            Phase::Promoting { since, .. } => Some(*since + self.settings.promotion),
            Phase::Waiting { until, .. } | Phase::Resting { until } => Some(*until),
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
        assert!(
            self.members.contains(&primary),
            "a primary is a member of its group"
        );
        // The first primary that is seen was not put there by a replacement.
        self.done = (self.term > 0).then_some(now);
        self.term = term;
        self.primary = Some(primary);
        self.highest = match self.settings.fences_end {
            true => term,
            false => self.highest.max(term),
        };
        self.above = (self.highest > term).then_some(now);
        self.phase = Phase::Steady;
        self.doubted = None;
        self.demoted = false;
        self.foreign = None;
        self.set_acceptors();
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

    /// Takes the highest promise among all newest reports, where fences may end.
    pub fn note_promises(&mut self, highest: u64) {
        if !self.settings.fences_end || !matches!(self.phase, Phase::Steady | Phase::Doubt { .. }) {
            return;
        }
        self.highest = highest.max(self.term);
        if self.highest == self.term {
            self.above = None;
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
            Phase::Steady if doubt == Doubt::Left && self.is_foreign(now) => Vec::new(),
            Phase::Steady if doubt == Doubt::Left => self.claim(true, now),
            Phase::Claiming { since, .. } if now >= *since + self.settings.ballot => {
                self.phase = Phase::Steady;
                Vec::new()
            }
            Phase::Claiming { .. } => Vec::new(),
            Phase::Steady if abandoned && doubt == Doubt::None && self.settings.fences_end => {
                self.release_abandoned(now)
            }
            Phase::Steady if doubt == Doubt::Suspected || abandoned => self.start_doubt(now),
            Phase::Steady => Vec::new(),
            Phase::Doubt { .. } => self.weigh(doubt, abandoned, now),
            Phase::Fencing { term, since, .. } if now >= *since + self.settings.ballot => {
                self.lose(*term, now)
            }
            Phase::Fencing {
                rest: Some(rest), ..
            } if now >= *rest => self.fence_rest(),
            Phase::Fencing { .. } => Vec::new(),
            Phase::Waiting { until, .. } if now >= *until => self.promote(now),
            Phase::Waiting { .. } => Vec::new(),
            Phase::Promoting { term, since, .. } if now >= *since + self.settings.promotion => {
                self.lose(*term, now)
            }
            Phase::Promoting { .. } => Vec::new(),
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
            sure: None,
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
        let corroborated = abandoned || self.corroborated(now);
        // Another box's ballot gets its time.
        let foreign = self.is_foreign(now) && !abandoned;
        let majority = self.majority();
        let Phase::Doubt {
            since,
            asked,
            replicas,
            sure,
            ..
        } = &mut self.phase
        else {
            return Vec::new();
        };
        let reachable = replicas.len() >= majority;
        let start = match self.settings.corroboration {
            Corroboration::Unanimous => *since,
            // All boxes may become sure at the same moment.
            Corroboration::Majority => *sure.get_or_insert(now),
        };
        if !corroborated || !reachable {
            *sure = None;
        } else if !foreign && now >= start + patient {
            return self.claim(false, now);
        }
        if now < *asked + again {
            return Vec::new();
        }
        *asked = now;
        vec![Step::Ask, Step::Look]
    }

    /// Whether someone besides this box finds the primary gone.
    fn corroborated(&self, now: Duration) -> bool {
        if self.demoted {
            return true;
        }
        let Phase::Doubt {
            replicas,
            peers,
            since,
            ..
        } = &self.phase
        else {
            return false;
        };
        if self.settings.corroboration == Corroboration::Majority {
            let suspecting = peers.values().filter(|peer| peer.suspects).count() + 1;
            let alone = peers.is_empty() && now < *since + self.settings.alone();
            return !alone && suspecting * 2 > peers.len() + 1;
        }
        let live = replicas.values().any(|s| *s == Stream::Live);
        let gone = replicas
            .values()
            .any(|s| matches!(s, Stream::Broken | Stream::Silent));
        let far = peers.values().any(|peer| peer.suspects && !peer.near);
        let fine = peers.values().any(|peer| !peer.suspects);
        (gone && !live) || (far && !fine)
    }

    /// Whether another box has taken the duty and is to have its time.
    fn is_foreign(&self, now: Duration) -> bool {
        let lasts = self.settings.abandoned;
        self.foreign.is_some_and(|since| now < since + lasts)
    }

    /// Another box has taken the duty.
    pub fn note_foreign(&mut self, now: Duration) {
        if !self.is_deposing() {
            self.foreign = Some(now);
        }
    }

    /// Boxes that find the primary well, as far as they were asked.
    pub fn reaching(&self) -> impl Iterator<Item = &Arc<str>> {
        let peers = match &self.phase {
            Phase::Doubt { peers, .. } => Some(peers),
            _ => None,
        };
        let peers = peers.into_iter().flatten();
        peers
            .filter(|(_, peer)| !peer.suspects)
            .map(|(name, _)| name)
    }

    fn claim(&mut self, left: bool, now: Duration) -> Vec<Step> {
        self.phase = Phase::Claiming { since: now, left };
        match self.settings.claims {
            true => vec![Step::Claim],
            false => self.claimed(true, now),
        }
    }

    /// Takes the outcome of a claim.
    pub fn claimed(&mut self, won: bool, now: Duration) -> Vec<Step> {
        let Phase::Claiming { left, .. } = self.phase else {
            return Vec::new();
        };
        if !won {
            self.phase = Phase::Steady;
            self.foreign = Some(now);
            return Vec::new();
        }
        match left {
            true => self.fence_leaving(now),
            false => self.fence(now),
        }
    }

    fn fence(&mut self, now: Duration) -> Vec<Step> {
        let term = self.start_ballot(now, None);
        let ask = |member: &usize| Step::Fence {
            member: *member,
            term,
        };
        self.members.iter().map(ask).collect()
    }

    fn start_ballot(&mut self, now: Duration, rest: Option<Duration>) -> u64 {
        // Where members take one term from several boxes, each has its own.
        let lane = match self.settings.fences_end {
            true => u64::from(self.rank),
            false => 0,
        };
        let term = self.highest.max(self.term) + 1 + lane;
        self.highest = term;
        self.phase = Phase::Fencing {
            term,
            since: now,
            granted: BTreeMap::new(),
            refused: BTreeSet::new(),
            rest,
        };
        term
    }

    /// Fences a leaving primary first, so that the others receive its last writes.
    fn fence_leaving(&mut self, now: Duration) -> Vec<Step> {
        let Some(member) = self.primary.filter(|_| !self.settings.catch_up.is_zero()) else {
            return self.fence(now);
        };
        let term = self.start_ballot(now, Some(now + self.settings.catch_up));
        vec![Step::Fence { member, term }]
    }

    fn fence_rest(&mut self) -> Vec<Step> {
        let primary = self.primary;
        let Phase::Fencing { term, rest, .. } = &mut self.phase else {
            return Vec::new();
        };
        *rest = None;
        let term = *term;
        let others = self.members.iter().filter(|m| Some(**m) != primary);
        let ask = |member: &usize| Step::Fence {
            member: *member,
            term,
        };
        others.map(ask).collect()
    }

    /// Takes back fences that another box left behind.
    fn release_abandoned(&mut self, now: Duration) -> Vec<Step> {
        self.above = Some(now);
        let others = self.members.iter().filter(|m| Some(**m) != self.primary);
        others
            .map(|member| Step::Release { member: *member })
            .collect()
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
        let acceptors = &self.acceptors;
        let (term, granted, refused) = match &mut self.phase {
            Phase::Fencing {
                term,
                granted,
                refused,
                ..
            } => (*term, granted, refused),
            // A late grant may show a greater log.
            Phase::Waiting { term, granted, .. } => {
                if let Ok(status) = answer
                    && *term == asked
                    && status.promised == asked
                {
                    granted.insert(member, *status);
                }
                return Vec::new();
            }
            _ => return Vec::new(),
        };
        if term != asked {
            return Vec::new();
        }
        match answer {
            Ok(status) if status.promised == term => {
                granted.insert(member, *status);
            }
            _ => {
                refused.insert(member);
            }
        }
        let counted = |member: &&usize| acceptors.contains(member);
        let refused = refused.iter().filter(counted).count();
        let grants = granted.keys().filter(counted).count();
        if acceptors.len() - refused < majority {
            return self.lose(term, now);
        }
        if grants < majority {
            return Vec::new();
        }
        let granted = granted.clone();
        self.phase = Phase::Waiting {
            term,
            until: now + self.settings.lease,
            granted,
        };
        match self.settings.lease.is_zero() {
            true => self.promote(now),
            false => vec![Step::Revoke { term }],
        }
    }

    /// No box has a lease on the term before `term` any more.
    pub fn revoked(&mut self, term: u64, now: Duration) -> Vec<Step> {
        match &self.phase {
            Phase::Waiting { term: waits, .. } if *waits == term => self.promote(now),
            _ => Vec::new(),
        }
    }

    /// Names the winner once no lease of the old term is left.
    fn promote(&mut self, now: Duration) -> Vec<Step> {
        let Phase::Waiting { term, granted, .. } = &self.phase else {
            return Vec::new();
        };
        let term = *term;
        let mut avoid = self.avoid.clone();
        avoid.extend(self.primary);
        let stays = |member: &usize| !avoid.contains(member);
        let majority = match self.settings.prefer_staying && granted.keys().any(stays) {
            true => 1,
            false => self.majority(),
        };
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
        let Ok(status) = answer else {
            return self.lose(term, now);
        };
        // Where fences end, the new primary leads the term after the old one, which
        // may be below the term of the ballot.
        let term = match self.settings.fences_end {
            true => status.log.term,
            false => term,
        };
        self.adopt(term, winner, now);
        vec![Step::Won {
            member: winner,
            term,
        }]
    }

    fn lose(&mut self, term: u64, now: Duration) -> Vec<Step> {
        let granted: Vec<usize> = match &self.phase {
            Phase::Fencing { granted, .. } if self.settings.fences_end => {
                granted.keys().copied().collect()
            }
            _ => Vec::new(),
        };
        let until = now + self.settings.again * (1 + 2 * self.rank);
        self.phase = Phase::Resting { until };
        let release = |member| Step::Release { member };
        let mut steps = vec![Step::Lost { term }];
        steps.extend(granted.into_iter().map(release));
        steps
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
