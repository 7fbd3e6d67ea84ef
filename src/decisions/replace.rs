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

mod ballot;
mod doubt;
mod restarting;
mod stray;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::borders::member::{Role, Status, Stream};
use stray::Stray;

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
    /// Time that another box's ballot gets from the first fence that is seen of it;
    /// zero where members decide between ballots.
    pub courtesy: Duration,
    /// Least time between two replacements of a primary that still answers.
    pub rest: Duration,
    /// A promised term whose primary does not show by then was abandoned.
    pub abandoned: Duration,
    /// Time after a fence by which a promotion on the strength of it shows.
    pub settled: Duration,
    /// Usual time from the first doubt to the new primary.
    pub expected: Duration,
    /// A promotion that shows no new primary by then has failed.
    pub promotion: Duration,
    /// Wait between the majority's fences and the promotion; zero where a fenced
    /// primary refuses by itself.
    pub lease: Duration,
    /// A promotion goes out only when a majority was seen to keep to the ballot's term
    /// within this time: a later ballot's comes a lease after its fences, and so after
    /// it. Well below the lease, for the way of the order.
    pub fresh: Duration,
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
            courtesy: Duration::ZERO,
            rest: Duration::from_secs(1),
            abandoned: Duration::from_millis(600),
            settled: Duration::from_millis(300),
            expected: Duration::from_secs(2),
            promotion: Duration::from_millis(500),
            lease: Duration::ZERO,
            fresh: Duration::from_millis(300),
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
        /// When the ballot began.
        since: Duration,
        until: Duration,
        granted: BTreeMap<usize, Status>,
        /// When members were last seen to keep to the ballot's term.
        holding: BTreeMap<usize, Duration>,
        /// When members were last looked at for that.
        looked: Option<Duration>,
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
    /// Highest term whose history a member was seen to follow.
    followed: u64,
    /// Highest term promised anywhere, as far as seen.
    highest: u64,
    /// Term of this box's last ballot, and the highest promise known when it began.
    ours: u64,
    known: u64,
    /// When a member was last seen to have taken another box's fence.
    rival: Option<Duration>,
    /// Highest promise seen since the present term began, also if it was taken back.
    seen: u64,
    /// Fences above our term that no primary has followed.
    stray: Option<Stray>,
    phase: Phase,
    done: Option<Duration>,
    doubted: Option<Duration>,
    /// Members that are not to be promoted where others can be.
    avoid: BTreeSet<usize>,
    /// Former primaries that have not been seen to follow the present one: their logs may
    /// hold what this term's history has not.
    deposed: BTreeSet<usize>,
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
            followed: 0,
            highest: 0,
            ours: 0,
            known: 0,
            rival: None,
            seen: 0,
            stray: None,
            phase: Phase::Steady,
            done: None,
            doubted: None,
            avoid: BTreeSet::new(),
            deposed: BTreeSet::new(),
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

    /// The term that a ballot would end. A box that started when the primary was out of sight
    /// knows it from the replicas alone.
    pub fn replaced(&self) -> u64 {
        match self.primary {
            Some(_) => self.term,
            None => self.term.max(self.followed),
        }
    }

    /// Highest term promised anywhere, as far as seen.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// Highest promise known when this box's last ballot began.
    pub fn known(&self) -> u64 {
        self.known
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

    /// Whether this box has ordered the promotion of a member.
    pub fn is_promoting(&self, member: usize) -> bool {
        matches!(self.phase, Phase::Promoting { winner, .. } if winner == member)
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
            Phase::Waiting { until, looked, .. } => Some(match looked {
                None => until.saturating_sub(self.look_ahead()),
                Some(looked) => *looked + self.settings.again,
            }),
            Phase::Resting { until } => Some(*until),
        };
        phase.or_else(|| self.stray_due())
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
        self.deposed.extend(self.primary);
        self.deposed.remove(&primary);
        self.primary = Some(primary);
        self.highest = match self.settings.fences_end {
            true => term,
            false => self.highest.max(term),
        };
        self.seen = self.highest;
        self.stray = None;
        self.note_stray(now);
        self.phase = Phase::Steady;
        self.doubted = None;
        self.demoted = false;
        self.foreign = None;
        self.rival = None;
        self.set_acceptors();
        true
    }

    /// Takes a member's report, begun at `began`.
    pub fn observe(&mut self, member: usize, status: &Status, began: Duration, now: Duration) {
        self.followed = self.followed.max(status.log.term);
        self.note_promised(status.promised, now);
        self.note_deposed(member, status);
        if let Some(stray) = &mut self.stray {
            stray.observe(member, began, self.settings.settled);
        }
        if let Phase::Doubt {
            since, replicas, ..
        } = &mut self.phase
            && began >= *since
        {
            replicas.insert(member, status.stream);
        }
        self.note_holding(member, status, began);
    }

    fn note_deposed(&mut self, member: usize, status: &Status) {
        if status.log.term >= self.term {
            self.deposed.remove(&member);
        } else if status.role == Role::Primary {
            self.deposed.insert(member);
        }
    }

    fn note_promised(&mut self, promised: u64, now: Duration) {
        if promised > self.highest.max(self.term) && promised != self.ours {
            self.rival = Some(now);
        }
        self.highest = self.highest.max(promised);
        self.seen = self.seen.max(promised);
        self.note_stray(now);
    }

    /// Takes the highest promise among all newest reports, where fences may end.
    pub fn note_promises(&mut self, highest: u64) {
        if !self.settings.fences_end || !matches!(self.phase, Phase::Steady | Phase::Doubt { .. }) {
            return;
        }
        self.highest = highest.max(self.term);
        if self.highest == self.term {
            self.stray = None;
            self.rival = None;
        }
    }

    pub fn opinion(&mut self, from: Arc<str>, near: bool, suspects: bool) {
        if let Phase::Doubt { peers, .. } = &mut self.phase {
            peers.insert(from, Opinion { near, suspects });
        }
    }

    /// Moves on with the time.
    pub fn tick(&mut self, doubt: Doubt, now: Duration) -> Vec<Step> {
        let abandoned = self.is_abandoned(now);
        match &self.phase {
            Phase::Steady if doubt == Doubt::Left && self.is_foreign(now) => Vec::new(),
            Phase::Steady if doubt == Doubt::Left => self.claim(true, now),
            Phase::Claiming { since, .. } if now >= *since + self.settings.ballot => {
                self.phase = Phase::Steady;
                Vec::new()
            }
            Phase::Claiming { .. } => Vec::new(),
            Phase::Steady if doubt == Doubt::None && self.is_settled(now) => self.release_or_look(),
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
            Phase::Waiting { .. } => self.wait_out(now),
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
}
