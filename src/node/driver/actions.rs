//! Performs the actions that groups request.

use std::sync::Arc;

use super::*;
use crate::borders::member::Order;
use crate::decisions::group::Note;
use crate::node::{duty, membership, peers};

impl Driver {
    /// Performs an action. Returns the event that results from it at once, if any.
    pub(super) fn perform(&mut self, id: &Arc<str>, action: Action) -> Option<Event> {
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
                    read_timeout: owned.group.read_timeout(member, self.context.now()),
                    idle_frees_slot: self.settings.idle_frees_slot,
                    health: owned.health.subscribe(),
                };
                let reply = self.grant_replies.remove(&request);
                let withdrawn = reply.is_none_or(|(_, reply)| reply.send(Ok(grant)).is_err());
                let took = self.settings.service_time;
                return withdrawn.then_some(Event::SlotReleased { member, took });
            }
            Action::Refuse {
                id: request,
                refusal,
            } => {
                if let Some((_, reply)) = self.grant_replies.remove(&request) {
                    let _ = reply.send(Err(Denial::NotRun(refusal)));
                }
            }
            Action::ReportOutcome {
                id: request,
                outcome,
            } => {
                if let Some((_, reply)) = self.confirm_replies.remove(&request) {
                    let _ = reply.send(outcome);
                }
            }
            Action::Probe { member } => self.probe(id, owned, member),
            Action::RevokeLeases { term } => self.revoke_leases(id, owned, term),
            // A box that shuts down starts no ballot, as its process may end before the fences are
            // released.
            Action::ClaimDuty if *self.context.shutting_down.borrow() => {
                return Some(Event::DutyClaimed { won: false });
            }
            Action::ClaimDuty => {
                let context = self.context.clone();
                let group = id.clone();
                let incarnation = owned.incarnation;
                let ballot = owned.group.ballot();
                let listed = self.is_listing_settled();
                tokio::task::spawn_local(async move {
                    let claim = duty::claim(&context, &group, &ballot, listed).await;
                    let won = claim.is_some();
                    let _ = context.decisions.send(Message::DutyClaimed {
                        group: group.clone(),
                        claim,
                    });
                    context.send_event(&group, incarnation, Event::DutyClaimed { won });
                });
            }
            Action::ResignDuty { ordered } => {
                if let Some(claim) = owned.claim.clone() {
                    let ordered = ordered.map(|i| owned.group.plan.members[i].name.clone());
                    let resigned = duty::resign(self.context.clone(), id.clone(), claim, ordered);
                    tokio::task::spawn_local(resigned);
                }
            }
            Action::Fence { member, term } => {
                let fence = owned.group.fence_request(term);
                let border = owned.members[member].border.clone();
                let (context, group) = (self.context.clone(), id.clone());
                let name = owned.group.plan.members[member].name.clone();
                self.spawn_for_event(id, async move {
                    let answer = border.fence(&fence).await;
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
            Action::ReleaseFence { member, term } => {
                let border = owned.members[member].border.clone();
                self.spawn_for_event(id, async move {
                    // The probe that follows shows whether the fence was released.
                    let _ = border.release_fence(term).await;
                    Event::ProbeAll
                });
            }
            Action::Promote { member, term } => {
                let border = owned.members[member].border.clone();
                let claim = owned.claim.clone();
                let order = claim.as_ref().map_or_else(Order::default, |claim| Order {
                    holder: claim.duty.holder.clone(),
                    generation: claim.generation(&owned.group.ballot()),
                });
                let context = self.context.clone();
                let group = id.clone();
                let name = owned.group.plan.members[member].name.clone();
                self.spawn_for_event(id, async move {
                    let is_current = || match &claim {
                        Some(claim) => duty::is_current(&context, &group, claim),
                        None => true,
                    };
                    let answer = border.promote(term, &order, &is_current).await;
                    if let Err(error) = &answer {
                        let fields: [(_, &dyn std::fmt::Display); 5] = [
                            ("group", &group),
                            ("member", &name),
                            ("term", &term),
                            ("generation", &order.generation),
                            ("error", error),
                        ];
                        events::emit(&context.log, &events::PROMOTION_FAILED, &fields);
                    }
                    Event::Promoted { term, answer }
                });
            }
            Action::Follow {
                member,
                term,
                primary,
            } => {
                let border = owned.members[member].border.clone();
                let address = owned.group.plan.members[primary].address.clone();
                self.spawn_for_event(id, async move {
                    let _ = border.follow(term, &address).await;
                    Event::ProbeAll
                });
            }
            Action::AskOpinions => self.ask_opinions(id, owned),
            Action::RecordPrimary { term, primary } => {
                let name = owned.group.plan.members[primary].name.clone();
                self.context.metrics.replacements.add(1, &[]);
                if self.context.settings.duty {
                    // The members report the primary themselves, and the table holds the duty.
                    return None;
                }
                let record = peers::record_primary(self.context.clone(), id.clone(), term, name);
                tokio::task::spawn_local(record);
            }
            Action::RecordMembers { members } => {
                let record = membership::record(self.context.clone(), id.clone(), members);
                tokio::task::spawn_local(record);
            }
            Action::ConfirmLosses { members } => self.confirm_losses(id, owned, members),
            Action::Log(note) => self.log_note(id, &owned.group, &note),
        }
        None
    }

    /// Runs `work` in a task and sends its event to the group.
    pub(super) fn spawn_for_event(
        &self,
        id: &Arc<str>,
        work: impl Future<Output = Event> + 'static,
    ) {
        let context = self.context.clone();
        let group = id.clone();
        let Some(owned) = self.groups.get(id) else {
            return;
        };
        let incarnation = owned.incarnation;
        tokio::task::spawn_local(async move {
            let event = work.await;
            context.send_event(&group, incarnation, event);
        });
    }

    pub(super) fn probe(&self, id: &Arc<str>, owned: &Owned, member: usize) {
        self.context.metrics.probes.add(1, &[]);
        let border = owned.members[member].border.clone();
        let began = self.context.now();
        self.spawn_for_event(id, async move {
            let answer = border.status().await;
            Event::Probed {
                member,
                began,
                answer,
            }
        });
    }

    /// Asks the other owners whether they suspect the primary.
    pub(super) fn ask_opinions(&self, id: &Arc<str>, owned: &Owned) {
        let plan = &owned.group.plan;
        let term = owned.group.term();
        let own_name = &self.context.settings.name;
        let owners = self.assignment.owners_of(plan).into_iter();
        let others = owners.filter(|listing| listing.name != *own_name);
        for listing in others.take(MAX_ASKED_OWNERS) {
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
                        same_domain: near,
                        suspects,
                    };
                    context.send_event(&group, incarnation, event);
                }
            });
        }
    }

    /// Asks all other boxes to give up their leases. If a box doesn't answer, or the list of boxes
    /// may be outdated, the ballot waits until the leases have expired.
    pub(super) fn revoke_leases(&self, id: &Arc<str>, owned: &Owned, term: u64) {
        let own_name = &self.context.settings.name;
        let owners = self.assignment.owners_of(&owned.group.plan);
        if !self.assignment.ranking().covers_all_boxes(owners.len()) {
            // A box with an older list may also act as an owner.
            return;
        }
        if owned.claim.as_ref().is_some_and(|claim| claim.unconfirmed) {
            // If the table gives no answer, the list of boxes may be outdated.
            return;
        }
        let others = owners
            .into_iter()
            .filter(|listing| listing.name != *own_name);
        let asked = others.map(|listing| {
            peers::revoke(self.context.clone(), listing.address.clone(), id.clone())
        });
        let asked: Vec<_> = asked.collect();
        let (context, group) = (self.context.clone(), id.clone());
        let incarnation = owned.incarnation;
        tokio::task::spawn_local(async move {
            let listed = context.table.head().await.is_ok();
            let revoked = futures::future::join_all(asked).await;
            if listed && revoked.into_iter().all(|done| done) {
                context.send_event(&group, incarnation, Event::LeasesRevoked { term });
            }
        });
    }

    /// Writes a log entry about a group.
    pub(super) fn log_note(&self, id: &Arc<str>, group: &Group, note: &Note) {
        let name = |member: usize| group.plan.members[member].name.clone();
        let log = &self.context.log;
        match note {
            Note::Suspected { member } => events::emit(
                log,
                &events::MEMBER_SUSPECTED,
                &[("group", id), ("member", &name(*member))],
            ),
            Note::SuspicionCleared { member } => events::emit(
                log,
                &events::SUSPICION_CLEARED,
                &[("group", id), ("member", &name(*member))],
            ),
            Note::FenceReleased { member } => events::emit(
                log,
                &events::FENCE_RELEASED,
                &[("group", id), ("member", &name(*member))],
            ),
            Note::ImplausibleReport { member } => events::emit(
                log,
                &events::IMPLAUSIBLE_REPORT,
                &[("group", id), ("member", &name(*member))],
            ),
            Note::Restarted { member } => events::emit(
                log,
                &events::MEMBER_RESTARTED,
                &[("group", id), ("member", &name(*member))],
            ),
            Note::Removed { member } => events::emit(
                log,
                &events::MEMBER_REMOVED,
                &[
                    ("group", id),
                    ("member", &name(*member)),
                    ("majority", &group.majority()),
                ],
            ),
            Note::DrainStarted {
                member,
                age,
                successors,
            } => events::emit(
                log,
                &events::DRAIN_STARTED,
                &[
                    ("group", id),
                    ("member", &name(*member)),
                    ("ago_ms", &format_age(*age)),
                    ("successors", successors),
                ],
            ),
            Note::DrainExpired { member, age } => events::emit(
                log,
                &events::DRAIN_EXPIRED,
                &[
                    ("group", id),
                    ("member", &name(*member)),
                    ("ago_ms", &format_age(*age)),
                ],
            ),
            Note::BallotStarted { term } => {
                events::emit(
                    log,
                    &events::REPLACEMENT_STARTED,
                    &[("group", id), ("term", term)],
                );
            }
            Note::BallotLost { term } => {
                events::emit(log, &events::BALLOT_LOST, &[("group", id), ("term", term)]);
            }
            Note::PrimaryPromoted { term, member } => events::emit(
                log,
                &events::PRIMARY_PROMOTED,
                &[("group", id), ("term", term), ("member", &name(*member))],
            ),
            Note::PrimaryAdopted { term, member } => events::emit(
                log,
                &events::PRIMARY_ADOPTED,
                &[("group", id), ("term", term), ("member", &name(*member))],
            ),
        }
    }
}

/// Returns the age in milliseconds, or "unknown".
fn format_age(age: Option<Duration>) -> String {
    age.map_or_else(|| "unknown".to_owned(), |age| age.as_millis().to_string())
}
