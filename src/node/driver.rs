//! The loop that owns the state of a box's decisions.
//!
//! It receives messages, wakes up when a group's next tick is due, and passes events to the
//! groups, which return actions. Actions that need I/O run in tasks of their own, whose outcomes
//! return as messages.

mod actions;
mod losses;
mod ownership;
mod partition;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;

use super::context::Context;
use super::message::{
    ConfirmRequest, Denial, Dump, Grant, Health, Incarnation, Message, SlotRequest, Unconfirmed,
};
use crate::borders::member::Member;
use crate::borders::roster::Listing;
use crate::borders::table::Polling;
use crate::decisions::confirmation::Outcome;
use crate::decisions::duty::{Claim, Duty};
use crate::decisions::group::{Action, Event, Group, Request, Settings};
use crate::decisions::owners::{Assignment, GROUPS_PER_BOX};
use crate::decisions::partition::Monitor;
use crate::declarations::resource::Identity;
use crate::declarations::snapshot::{Plan, Snapshot};
use crate::events;

/// Delay between two attempts to watch a member's process.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of groups up to which a box probes members at the full rate. A box that owns more probes
/// them less often, which bounds its control traffic but slows down detection.
const GROUPS_AT_FULL_PROBE_RATE: u32 = GROUPS_PER_BOX as u32;
/// Maximum number of owners asked whether they suspect a primary; enough for opinions from every
/// failure domain.
const MAX_ASKED_OWNERS: usize = 10;
/// Time after which a change of the list of boxes has reached every box that can read the table.
/// Exceeds the interval at which boxes read the list, and the delay of updates between boxes.
const LISTING_DELAY: Duration = Duration::from_secs(5);
/// Mean time between the records that the owners of all groups write at the start of a system.
const RECORD_INTERVAL: Duration = Duration::from_millis(20);
const MIN_SLEEP: Duration = Duration::from_millis(1);
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// A group that this box owns, with the borders to its members.
struct Owned {
    incarnation: Incarnation,
    /// The plan as declared. The group's own plan also keeps former members, so that indexes
    /// remain valid.
    plan: Arc<Plan>,
    group: Group,
    members: Vec<Handle>,
    health: watch::Sender<Health>,
    /// This box's last claim to the duty.
    claim: Option<Claim>,
    next_tick: Duration,
    /// Whether this box no longer owns the group and only finishes a ballot that it started.
    departing: bool,
}

/// The border to one start of a member.
struct Handle {
    identity: Identity,
    border: Rc<dyn Member>,
    /// Task that watches the member's process.
    watch: AbortHandle,
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.watch.abort();
    }
}

/// Owns the state of the decisions.
pub struct Driver {
    context: Rc<Context>,
    settings: Settings,
    inbox: mpsc::UnboundedReceiver<Message>,
    groups: HashMap<Arc<str>, Owned>,
    /// Replies to waiting slot requests, each with the group's incarnation.
    grant_replies: HashMap<u64, (Incarnation, oneshot::Sender<Result<Grant, Denial>>)>,
    /// Replies to waiting confirmations, each with the group's incarnation.
    confirm_replies: HashMap<u64, (Incarnation, oneshot::Sender<Outcome>)>,
    snapshot: Arc<Snapshot>,
    assignment: Assignment,
    /// When every box is expected to have read the list that contains this box.
    listing_settled: Option<Duration>,
    /// Whether the list of boxes has been received since this process started.
    boxes_received: bool,
    partition_monitor: Monitor,
    next_id: u64,
}

impl Driver {
    pub fn new(
        context: Rc<Context>,
        settings: Settings,
        inbox: mpsc::UnboundedReceiver<Message>,
    ) -> Self {
        let assignment = Assignment::new(context.settings.name.clone());
        Self {
            context,
            settings,
            inbox,
            groups: HashMap::new(),
            grant_replies: HashMap::new(),
            confirm_replies: HashMap::new(),
            snapshot: Arc::default(),
            assignment,
            listing_settled: None,
            boxes_received: false,
            partition_monitor: Monitor::default(),
            next_id: 1,
        }
    }

    /// Runs until all senders are dropped.
    pub async fn run(mut self) {
        loop {
            let now = self.context.now();
            let wake = self.groups.values().map(|owned| owned.next_tick);
            let wake = wake.chain(self.partition_monitor.query_due(now)).min();
            let sleep = wake.map_or(MAX_SLEEP, |wake| wake.saturating_sub(now));
            tokio::select! {
                biased;
                message = self.inbox.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = tokio::time::sleep(sleep.clamp(MIN_SLEEP, MAX_SLEEP)) => {}
            }
            self.tick_due_groups();
            self.drop_departed();
            let deposing = |owned: &Owned| owned.group.is_deposing();
            self.context
                .deposing
                .set(self.groups.values().any(deposing));
            self.check_partition();
        }
    }

    fn tick_due_groups(&mut self) {
        let now = self.context.now();
        let due = self
            .groups
            .iter()
            .filter(|(_, owned)| owned.next_tick <= now);
        let due: Vec<Arc<str>> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.handle_event(&id, Event::Tick);
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::RequestSlot(request) => self.request_slot(request),
            Message::Withdraw { group, id } => {
                if self.grant_replies.remove(&id).is_some() {
                    self.handle_event(&group, Event::Withdrawn { id });
                }
            }
            Message::Confirm(request) => self.request_confirmation(request),
            Message::GroupEvent {
                group,
                incarnation,
                event,
            } => {
                let current = self.groups.get(&group).map(|owned| owned.incarnation);
                if current == Some(incarnation) {
                    self.record_contact(&group, &event);
                    self.handle_event(&group, event);
                }
            }
            Message::Snapshot(snapshot) => {
                let before = std::mem::replace(&mut self.snapshot, snapshot);
                self.assignment.set_groups(&self.snapshot.groups);
                self.update_owned_groups();
                self.announce_primaries();
                self.report_taken_duties(&before);
            }
            Message::DutyClaimed { group, claim } => {
                if let Some(owned) = self.groups.get_mut(&group) {
                    owned.claim = claim;
                }
            }
            Message::Boxes(boxes) => {
                self.assignment.set_boxes(&boxes);
                self.update_listing(&boxes);
                self.update_owned_groups();
                self.report_listing();
            }
            Message::RevokeLease { group, reply } => {
                self.handle_event(&group, Event::RevokeLease);
                let owned = self.groups.get(&group);
                // While this box has a ballot of its own, its promotion order may be under way
                // under a lower generation. The other box must then wait for the lease to expire.
                let revoked = owned.is_none_or(|owned| !owned.group.is_deposing());
                let _ = reply.send(revoked);
            }
            Message::DrainLimit(limit) => self.set_drain_limit(limit),
            Message::ListingSettled => self.report_listing(),
            Message::ExchangeRefused => self.partition_monitor.record_refusal(self.context.now()),
            Message::AlertReceived { from } => self.handle_alert(&from),
            Message::MajorityReplies(replies) => {
                self.partition_monitor.record_replies(&replies);
                self.context.partition_known.send_replace(true);
            }
            Message::QueryMajority { group, reply } => {
                let now = self.context.now();
                let owned = self.groups.get(&group);
                let _ = reply.send(owned.and_then(|owned| owned.group.reaches_majority(now)));
            }
            Message::QueryLiveMembers { group, reply } => {
                let now = self.context.now();
                let owned = self.groups.get(&group);
                let _ = reply.send(owned.map(|owned| owned.group.live_members(now)));
            }
            Message::QueryOpinion { group, term, reply } => {
                let owned = self.groups.get(&group);
                let _ = reply.send(owned.map(|owned| owned.group.suspects_primary(term)));
                self.handle_event(&group, Event::OpinionRequested);
            }
            Message::Dump(reply) => {
                let now = self.context.now();
                let groups = self.groups.values().map(|owned| owned.group.dump(now));
                let _ = reply.send(Dump {
                    callers: self.context.callers.get(),
                    idle_connections: self.context.idle_connections.get(),
                    resting: self.context.polling.get() == Polling::Paused,
                    groups: groups.collect(),
                });
            }
        }
    }

    fn request_slot(&mut self, slot_request: SlotRequest) {
        let owned = self.groups.get(&slot_request.group);
        let Some(owned) = owned.filter(|owned| !owned.departing) else {
            let _ = slot_request.reply.send(Err(Denial::NotOwner));
            return;
        };
        let (partner, weight) = match slot_request.flow {
            Some(flow) => (flow.name, flow.weight),
            None => {
                let partner = owned.group.plan.group.partner.clone();
                let declared = self.snapshot.partners.get(&partner);
                let weight = declared.map_or(1, |partner| partner.weight);
                (partner, weight)
            }
        };
        let id = slot_request.id;
        self.grant_replies
            .insert(id, (owned.incarnation, slot_request.reply));
        let request = Request {
            id,
            partner,
            weight,
            target: slot_request.target,
            floor: slot_request.floor,
            believed: true,
            arrived: self.context.now(),
            deadline: slot_request.deadline,
            aim: slot_request.aim,
        };
        self.handle_event(&slot_request.group, Event::Arrived(request));
    }

    fn request_confirmation(&mut self, request: ConfirmRequest) {
        let current = self.groups.get(&request.group);
        if current.is_none_or(|owned| owned.incarnation != request.incarnation) {
            let _ = request.reply.send(Outcome::Unknown);
            return;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.confirm_replies
            .insert(id, (request.incarnation, request.reply));
        let member = request.member;
        let deadline = request.deadline;
        let event = match request.unconfirmed {
            Unconfirmed::Write(position) => Event::ConfirmWrite {
                id,
                member,
                position,
                deadline,
            },
            Unconfirmed::Read {
                term,
                since,
                position,
            } => Event::ConfirmRead {
                id,
                term,
                since,
                position,
                deadline,
            },
        };
        self.handle_event(&request.group, event);
    }

    /// Passes an event to a group and performs the resulting actions, which may in turn produce
    /// events.
    fn handle_event(&mut self, id: &Arc<str>, event: Event) {
        let now = self.context.now();
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let Some(owned) = self.groups.get_mut(id) else {
                return;
            };
            let actions = owned.group.handle(event, now);
            owned.next_tick = owned.group.next_tick();
            let group = &owned.group;
            owned.health.send_if_modified(|known| {
                let suspected = known.suspected.iter().copied();
                if known.term == group.term() && suspected.eq(group.suspicions()) {
                    return false;
                }
                *known = Health {
                    term: group.term(),
                    suspected: group.suspicions().collect(),
                };
                true
            });
            for action in actions {
                events.extend(self.perform(id, action));
            }
        }
    }
}

/// Reports to the group each time a member's process has ended.
async fn watch_member(
    context: Rc<Context>,
    (group, incarnation): (Arc<str>, Incarnation),
    member: usize,
    border: Rc<dyn Member>,
) {
    loop {
        border.wait_until_gone().await;
        context.send_event(&group, incarnation, Event::ConnectionLost { member });
        tokio::time::sleep(WATCH_RETRY_DELAY).await;
    }
}
