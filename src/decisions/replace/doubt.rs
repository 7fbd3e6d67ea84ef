//! From the first doubt to the duty of promoting: who else suspects the primary, who
//! still reaches it, and whose turn it is.

use std::sync::Arc;
use std::time::Duration;

use super::*;

impl Replace {
    pub(super) fn start_doubt(&mut self, now: Duration) -> Vec<Step> {
        let resting = self
            .done
            .is_some_and(|done| self.primary.is_some() && now < done + self.settings.rest);
        if resting && self.doubted.is_none() && self.stray.is_none() {
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

    pub(super) fn weigh(&mut self, doubt: Doubt, abandoned: bool, now: Duration) -> Vec<Step> {
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
    pub(super) fn corroborated(&self, now: Duration) -> bool {
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

    /// Whether another box has taken the duty, or fenced a member, and is to have its
    /// time: ballots against each other end with no majority for any.
    pub(super) fn is_foreign(&self, now: Duration) -> bool {
        let duty = self.settings.abandoned;
        let ballot = self.settings.courtesy;
        let within = |since: Option<Duration>, lasts| since.is_some_and(|s| now < s + lasts);
        within(self.foreign, duty) || within(self.rival, ballot)
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

    pub(super) fn claim(&mut self, left: bool, now: Duration) -> Vec<Step> {
        self.phase = Phase::Claiming { since: now, left };
        match self.settings.claims {
            true => vec![Step::Claim],
            false => self.claimed(true, now),
        }
    }

    /// Takes the outcome of a claim.
    pub fn claimed(&mut self, won: bool, now: Duration) -> Vec<Step> {
        let Phase::Claiming { left, since } = self.phase else {
            return Vec::new();
        };
        let rivalled = self.rival.is_some_and(|rival| rival >= since);
        if rivalled && !self.settings.courtesy.is_zero() {
            self.phase = Phase::Steady;
            return Vec::new();
        }
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
}
