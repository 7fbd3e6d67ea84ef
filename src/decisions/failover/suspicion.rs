//! Suspicion of the primary: corroborating it with members and other boxes, then claiming
//! the duty in order of rank.

use std::sync::Arc;
use std::time::Duration;

use super::*;

impl Failover {
    /// Starts to corroborate a suspicion, or waits while the last failover is too recent.
    pub(super) fn start_suspecting(&mut self, now: Duration) -> Vec<Step> {
        let cooling_down = self
            .last_failover
            .is_some_and(|last| self.primary.is_some() && now < last + self.settings.cooldown);
        if cooling_down && self.suspected_since.is_none() && self.orphaned.is_none() {
            // A new primary may still be starting up, and an unneeded failover interrupts writes.
            let until = self.last_failover.unwrap_or(now) + self.settings.cooldown;
            self.phase = Phase::Cooldown { until };
            return Vec::new();
        }
        self.suspected_since = self.suspected_since.or(Some(now));
        self.phase = Phase::Suspecting {
            since: now,
            last_asked: now,
            replicas: BTreeMap::new(),
            peers: BTreeMap::new(),
            corroborated_since: None,
        };
        vec![Step::AskPeers, Step::ProbeMembers]
    }

    /// Drops the suspicion, claims the duty, or asks the other boxes and members again.
    pub(super) fn evaluate_suspicion(
        &mut self,
        trigger: Trigger,
        abandoned: bool,
        now: Duration,
    ) -> Vec<Step> {
        if trigger == Trigger::None && !abandoned {
            self.phase = Phase::Steady;
            self.suspected_since = None;
            return Vec::new();
        }
        let turn_delay = self.settings.stagger * self.rank;
        let poll_interval = self.settings.poll_interval;
        let corroborated = abandoned || self.is_corroborated(now);
        // Lets another box's ballot finish first.
        let rival_active = self.has_active_rival(now) && !abandoned;
        let majority = self.majority();
        let Phase::Suspecting {
            since,
            last_asked,
            replicas,
            corroborated_since,
            ..
        } = &mut self.phase
        else {
            return Vec::new();
        };
        let reachable = replicas.len() >= majority;
        let start = match self.settings.corroboration {
            Corroboration::Unanimous => *since,
            // All boxes may corroborate at the same moment, so the delay by rank starts there.
            Corroboration::Majority => *corroborated_since.get_or_insert(now),
        };
        if !corroborated || !reachable {
            *corroborated_since = None;
        } else if !rival_active && now >= start + turn_delay {
            return self.claim_duty(false, now);
        }
        if now < *last_asked + poll_interval {
            return Vec::new();
        }
        *last_asked = now;
        vec![Step::AskPeers, Step::ProbeMembers]
    }

    /// Whether members or other boxes confirm that the primary has failed.
    pub(super) fn is_corroborated(&self, now: Duration) -> bool {
        if self.demoted {
            return true;
        }
        let Phase::Suspecting {
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
            let awaiting_peers = peers.is_empty() && now < *since + self.settings.solo_timeout();
            return !awaiting_peers && suspecting * 2 > peers.len() + 1;
        }
        let stream_live = replicas.values().any(|s| *s == Stream::Live);
        let stream_lost = replicas
            .values()
            .any(|s| matches!(s, Stream::Broken | Stream::Silent));
        let remote_suspects = peers
            .values()
            .any(|peer| peer.suspects && !peer.same_domain);
        let peer_reaches = peers.values().any(|peer| !peer.suspects);
        (stream_lost && !stream_live) || (remote_suspects && !peer_reaches)
    }

    /// Whether another box recently claimed the duty or fenced a member. This box then waits,
    /// since of concurrent ballots none may get a majority.
    pub(super) fn has_active_rival(&self, now: Duration) -> bool {
        let claim_lasts = self.settings.abandon_timeout;
        let fence_lasts = self.settings.rival_backoff;
        let within = |since: Option<Duration>, lasts| since.is_some_and(|s| now < s + lasts);
        within(self.rival_claimed, claim_lasts)
            || within(self.rival_fenced, fence_lasts)
            || within(self.yielded_at, claim_lasts)
    }

    /// Records another box's answer on whether it suspects the primary.
    pub fn record_opinion(&mut self, from: Arc<str>, same_domain: bool, suspects: bool) {
        if let Phase::Suspecting { peers, .. } = &mut self.phase {
            peers.insert(
                from,
                Opinion {
                    same_domain,
                    suspects,
                },
            );
        }
    }

    /// Records that another box has claimed the duty.
    pub fn record_rival_claim(&mut self, now: Duration) {
        if !self.is_deposing() {
            self.rival_claimed = Some(now);
            self.resigned_at = None;
        }
    }

    /// Records that the box that claimed the duty couldn't promote a member. The others needn't
    /// wait for its ballot any longer.
    pub fn record_resignation(&mut self, ordered: Option<Arc<str>>, now: Duration) -> Vec<Step> {
        self.ordered = ordered.or(self.ordered.take());
        if self.is_deposing() {
            return Vec::new();
        }
        self.rival_claimed = None;
        self.rival_fenced = None;
        self.resigned_at = Some(now);
        vec![Step::ProbeMembers]
    }

    /// Leaves the duty to the other boxes: they may reach the platform where this one doesn't.
    /// This box holds back meanwhile, so that two boxes don't order in turn.
    pub(super) fn resign(&mut self, ordered: Option<usize>, now: Duration) -> Vec<Step> {
        if !self.settings.requires_claim {
            return Vec::new();
        }
        self.yielded_at = Some(now);
        vec![Step::Resign { ordered }]
    }

    /// Returns the boxes that have answered that they don't suspect the primary.
    pub fn peers_reaching_primary(&self) -> impl Iterator<Item = &Arc<str>> {
        let peers = match &self.phase {
            Phase::Suspecting { peers, .. } => Some(peers),
            _ => None,
        };
        let peers = peers.into_iter().flatten();
        peers
            .filter(|(_, peer)| !peer.suspects)
            .map(|(name, _)| name)
    }

    /// Claims the duty, or starts the ballot at once where no claim is required.
    pub(super) fn claim_duty(&mut self, primary_leaving: bool, now: Duration) -> Vec<Step> {
        self.phase = Phase::Claiming {
            since: now,
            primary_leaving,
        };
        match self.settings.requires_claim {
            true => vec![Step::Claim],
            false => self.handle_claim(true, now),
        }
    }

    /// Handles the outcome of a claim: starts a ballot if the claim was won and no rival
    /// ballot began meanwhile.
    pub fn handle_claim(&mut self, won: bool, now: Duration) -> Vec<Step> {
        let Phase::Claiming {
            primary_leaving,
            since,
        } = self.phase
        else {
            return Vec::new();
        };
        let has_rival = self.rival_fenced.is_some_and(|rival| rival >= since);
        if has_rival && !self.settings.rival_backoff.is_zero() {
            self.phase = Phase::Steady;
            return Vec::new();
        }
        if !won {
            self.phase = Phase::Steady;
            self.rival_claimed = Some(now);
            return Vec::new();
        }
        match primary_leaving {
            true => self.fence_leaving(now),
            false => self.fence(now),
        }
    }
}
