//! Carries out what the decisions ask for.

use std::sync::Arc;

use super::*;
use crate::borders::member::Order;
use crate::decisions::group::Note;
use crate::node::{duty, peers};

impl Driver {
    /// Carries out one action. What it brings about at once is returned.
    pub(super) fn act(&mut self, id: &Arc<str>, action: Action) -> Option<Event> {
        let owned = self.groups.get(id)?;
        match action {
            Action::Assign {
                id: request,
                member,
                term,
                believed,
            } => {
                let grant = Grant {
                    incarnation: owned.incarnation,
                    member,
                    spec: owned.group.plan.members[member].clone(),
                    term,
                    primary: owned.group.primary() == Some(member),
                    believed,
                    patience: owned.group.read_timeout(member, self.context.now()),
                    rests: self.settings.idle_frees_slot,
                    health: owned.health.subscribe(),
                };
                let reply = self.grants.remove(&request);
                let gone = reply.is_none_or(|(_, reply)| reply.send(Ok(grant)).is_err());
                let took = self.settings.service_time;
                return gone.then_some(Event::SlotReleased { member, took });
            }
            Action::Refuse {
                id: request,
                refusal,
            } => {
                if let Some((_, reply)) = self.grants.remove(&request) {
                    let _ = reply.send(Err(Denial::NotRun(refusal)));
                }
            }
            Action::Settle {
                id: request,
                outcome,
            } => {
                if let Some((_, reply)) = self.settles.remove(&request) {
                    let _ = reply.send(outcome);
                }
            }
            Action::Probe { member } => self.probe(id, owned, member),
            Action::RevokeLeases { term } => self.revoke(id, owned, term),
            // Its process may end before the ballot, and leave fences behind.
            Action::ClaimDuty if *self.context.leaving.borrow() => {
                return Some(Event::DutyClaimed { won: false });
            }
            Action::ClaimDuty => {
                let context = self.context.clone();
                let group = id.clone();
                let incarnation = owned.incarnation;
                let ballot = owned.group.ballot();
                let listed = self.is_listed();
                tokio::task::spawn_local(async move {
                    let claim = duty::claim(&context, &group, &ballot, listed).await;
                    let won = claim.is_some();
                    let _ = context.decisions.send(Message::Claimed {
                        group: group.clone(),
                        claim,
                    });
                    context.tell(&group, incarnation, Event::DutyClaimed { won });
                });
            }
            Action::Fence { member, term } => {
                let bid = owned.group.bid(term);
                let border = owned.members[member].clone();
                let (context, group) = (self.context.clone(), id.clone());
                let name = owned.group.plan.members[member].name.clone();
                self.spawn(id, async move {
                    let answer = border.fence(&bid).await;
                    if let Err(error) = &answer {
                        let fields: [(_, &dyn std::fmt::Display); 4] = [
                            ("group", &group),
                            ("member", &name),
                            ("term", &term),
                            ("error", error),
                        ];
                        events::emit(&context.log, &events::FENCE_REFUSED, &fields);
                    }
                    Event::Fenced {
                        member,
                        term,
                        answer,
                    }
                });
            }
            Action::ReleaseFence { member } => {
                let border = owned.members[member].clone();
                self.spawn(id, async move {
                    // Whether it worked shows in the next report.
                    let _ = border.release_fence().await;
                    Event::ProbeAll
                });
            }
            Action::Promote { member, term } => {
                let border = owned.members[member].clone();
                let claim = owned.claim.clone();
                let order = claim.as_ref().map_or_else(Order::default, |claim| Order {
                    holder: claim.duty.holder.clone(),
                    generation: claim.generation(&owned.group.ballot()),
                });
                let context = self.context.clone();
                let group = id.clone();
                self.spawn(id, async move {
                    let stands = || match &claim {
                        Some(claim) => duty::stands(&context, &group, claim),
                        None => true,
                    };
                    let answer = border.promote(term, &order, &stands).await;
                    Event::Promoted { term, answer }
                });
            }
            Action::Follow {
                member,
                term,
                primary,
            } => {
                let border = owned.members[member].clone();
                let address = owned.group.plan.members[primary].address.clone();
                self.spawn(id, async move {
                    let _ = border.follow(term, &address).await;
                    Event::ProbeAll
                });
            }
            Action::AskOpinions => self.ask_peers(id, owned),
            Action::RecordPrimary { term, primary } => {
                let name = owned.group.plan.members[primary].name.clone();
                self.context.metrics.replacements.add(1, &[]);
                if self.context.settings.duty {
                    // Members tell by themselves who leads; the duty is on record.
                    return None;
                }
                let record = peers::record_primary(self.context.clone(), id.clone(), term, name);
                tokio::task::spawn_local(record);
            }
            Action::Log(note) => self.note(id, &owned.group, &note),
        }
        None
    }

    /// Does something elsewhere and brings its event back.
    pub(super) fn spawn(&self, id: &Arc<str>, work: impl Future<Output = Event> + 'static) {
        let context = self.context.clone();
        let group = id.clone();
        let Some(owned) = self.groups.get(id) else {
            return;
        };
        let incarnation = owned.incarnation;
        tokio::task::spawn_local(async move {
            let event = work.await;
            context.tell(&group, incarnation, event);
        });
    }

    pub(super) fn probe(&self, id: &Arc<str>, owned: &Owned, member: usize) {
        self.context.metrics.probes.add(1, &[]);
        let border = owned.members[member].clone();
        let began = self.context.now();
        self.spawn(id, async move {
            let answer = border.status().await;
            Event::Probed {
                member,
                began,
                answer,
            }
        });
    }

    pub(super) fn ask_peers(&self, id: &Arc<str>, owned: &Owned) {
        let plan = &owned.group.plan;
        let term = owned.group.term();
        let own = &self.context.settings.name;
        let owners = self.ranking.owners_of(plan).into_iter();
        let others = owners.filter(|listing| listing.name != *own);
        for listing in others.take(MOST_ASKED) {
            let near = listing.domain == self.context.settings.domain;
            let asked =
                peers::fetch_opinion(self.context.clone(), listing.clone(), id.clone(), term);
            let from = listing.name.clone();
            let context = self.context.clone();
            let group = id.clone();
            let incarnation = owned.incarnation;
            tokio::task::spawn_local(async move {
                if let Some(suspects) = asked.await {
                    let event = Event::OpinionReceived {
                        from,
                        near,
                        suspects,
                    };
                    context.tell(&group, incarnation, event);
                }
            });
        }
    }

    /// Has all other boxes give up their leases. Where one does not answer, or the
    /// list may be old, the wait goes on to its end.
    pub(super) fn revoke(&self, id: &Arc<str>, owned: &Owned, term: u64) {
        let own = &self.context.settings.name;
        let owners = self.ranking.owners_of(&owned.group.plan);
        if !self.ranking.covers_all_boxes(owners.len()) {
            // Another box may take itself for an owner by an older list.
            return;
        }
        if owned.claim.as_ref().is_some_and(|claim| claim.unconfirmed) {
            // Without the table the list may be old.
            return;
        }
        let others = owners.into_iter().filter(|listing| listing.name != *own);
        let asked = others.map(|listing| {
            peers::revoke(self.context.clone(), listing.address.clone(), id.clone())
        });
        let asked: Vec<_> = asked.collect();
        let (context, group) = (self.context.clone(), id.clone());
        let incarnation = owned.incarnation;
        tokio::task::spawn_local(async move {
            let listed = context.table.head().await.is_ok();
            let given_up = futures::future::join_all(asked).await;
            if listed && given_up.into_iter().all(|done| done) {
                context.tell(&group, incarnation, Event::LeasesRevoked { term });
            }
        });
    }

    pub(super) fn note(&self, id: &Arc<str>, group: &Group, note: &Note) {
        let name = |member: usize| group.plan.members[member].name.clone();
        let log = &self.context.log;
        match note {
            Note::Suspected { member } => events::emit(
                log,
                &events::SUSPECTED,
                &[("group", id), ("member", &name(*member))],
            ),
            Note::SuspicionCleared { member } => events::emit(
                log,
                &events::TRUSTED,
                &[("group", id), ("member", &name(*member))],
            ),
            Note::FenceReleased { member } => events::emit(
                log,
                &events::RELEASED,
                &[("group", id), ("member", &name(*member))],
            ),
            Note::ImplausibleReport { member } => events::emit(
                log,
                &events::NONSENSE,
                &[("group", id), ("member", &name(*member))],
            ),
            Note::Restarted { member } => events::emit(
                log,
                &events::RESTARTED,
                &[("group", id), ("member", &name(*member))],
            ),
            Note::DrainStarted {
                member,
                age,
                successors,
            } => events::emit(
                log,
                &events::LEAVE_COUNTED,
                &[
                    ("group", id),
                    ("member", &name(*member)),
                    ("ago_ms", &in_ms(*age)),
                    ("successors", successors),
                ],
            ),
            Note::DrainExpired { member, age } => events::emit(
                log,
                &events::LEAVE_OVER,
                &[
                    ("group", id),
                    ("member", &name(*member)),
                    ("ago_ms", &in_ms(*age)),
                ],
            ),
            Note::BallotStarted { term } => {
                events::emit(log, &events::FENCING, &[("group", id), ("term", term)]);
            }
            Note::BallotLost { term } => {
                events::emit(log, &events::BALLOT_LOST, &[("group", id), ("term", term)]);
            }
            Note::PrimaryPromoted { term, member } => events::emit(
                log,
                &events::PROMOTED,
                &[("group", id), ("term", term), ("member", &name(*member))],
            ),
            Note::PrimaryAdopted { term, member } => events::emit(
                log,
                &events::ADOPTED,
                &[("group", id), ("term", term), ("member", &name(*member))],
            ),
        }
    }
}

/// An age in milliseconds, where it is known.
fn in_ms(age: Option<Duration>) -> String {
    age.map_or_else(|| "unknown".to_owned(), |age| age.as_millis().to_string())
}
