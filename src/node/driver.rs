//! The loop that owns the decisions, and the tasks that carry out their actions.
//!
//! One `select!` takes messages and the time; each group's decisions answer with
//! actions. What needs I/O is spawned and comes back as a message.

mod acting;
mod owning;
mod reaching;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;

use super::context::Context;
use super::message::{Ask, Denial, Dump, Grant, Health, Incarnation, Message, Settle, SettleNeed};
use crate::borders::member::Member;
use crate::borders::roster::Listing;
use crate::borders::table::Polling;
use crate::decisions::confirmation::Outcome;
use crate::decisions::duty::Claim;
use crate::decisions::group::{Action, Event, Group, Request, Settings};
use crate::decisions::owners::Ranking;
use crate::decisions::partition::Monitor;
use crate::declarations::snapshot::{Plan, Snapshot};
use crate::events;

const GONE_RETRY: Duration = Duration::from_millis(200);
/// A box that owns more groups looks at each of them less often: the traffic for
/// control stays within its budget, detection takes longer.
const GROUPS_AT_FULL_RATE: u32 = 6;
/// Owners that are asked what they think of a primary: enough for a majority's word
/// from every failure domain, and not all of dozens.
const MOST_ASKED: usize = 10;
/// Time in which a change of the list of boxes has reached all who read it while the
/// table answers: news rests for two seconds, a forgotten history for about one.
const LISTED_REST: Duration = Duration::from_secs(5);
const LEAST_SLEEP: Duration = Duration::from_millis(1);
const MOST_SLEEP: Duration = Duration::from_secs(1);

/// A group this box owns, with its members' borders.
struct Owned {
    incarnation: Incarnation,
    /// As declared; the group's own plan keeps the places of former members.
    plan: Arc<Plan>,
    group: Group,
    members: Vec<Rc<dyn Member>>,
    watches: Vec<AbortHandle>,
    health: watch::Sender<Health>,
    /// The duty as this box has taken it last.
    claim: Option<Claim>,
    wake: Duration,
    /// This box does not own the group any more, and ends the ballot that it has begun.
    departing: bool,
}

impl Drop for Owned {
    fn drop(&mut self) {
        for watch in &self.watches {
            watch.abort();
        }
    }
}

/// The loop's state.
pub struct Driver {
    context: Rc<Context>,
    settings: Settings,
    inbox: mpsc::UnboundedReceiver<Message>,
    groups: HashMap<Arc<str>, Owned>,
    /// Who asked for a member, and of which incarnation.
    grants: HashMap<u64, (Incarnation, oneshot::Sender<Result<Grant, Denial>>)>,
    settles: HashMap<u64, (Incarnation, oneshot::Sender<Outcome>)>,
    snapshot: Arc<Snapshot>,
    ranking: Ranking,
    /// When every box may be taken to know this one from the list.
    listed: Option<Duration>,
    knows_boxes: bool,
    reach: Monitor,
    next: u64,
}

impl Driver {
    pub fn new(
        context: Rc<Context>,
        settings: Settings,
        inbox: mpsc::UnboundedReceiver<Message>,
    ) -> Self {
        Self {
            context,
            settings,
            inbox,
            groups: HashMap::new(),
            grants: HashMap::new(),
            settles: HashMap::new(),
            snapshot: Arc::default(),
            ranking: Ranking::default(),
            listed: None,
            knows_boxes: false,
            reach: Monitor::default(),
            next: 1,
        }
    }

    /// Runs until nobody can send any more.
    pub async fn run(mut self) {
        loop {
            let now = self.context.now();
            let wake = self.groups.values().map(|owned| owned.wake);
            let wake = wake.chain(self.reach.query_due(now)).min();
            let sleep = wake.map_or(MOST_SLEEP, |wake| wake.saturating_sub(now));
            tokio::select! {
                biased;
                message = self.inbox.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = tokio::time::sleep(sleep.clamp(LEAST_SLEEP, MOST_SLEEP)) => {}
            }
            self.tick();
            self.drop_departed();
            let deposing = |owned: &Owned| owned.group.is_deposing();
            self.context
                .deposing
                .set(self.groups.values().any(deposing));
            self.note_cut_off();
        }
    }

    fn tick(&mut self) {
        let now = self.context.now();
        let due = self.groups.iter().filter(|(_, owned)| owned.wake <= now);
        let due: Vec<Arc<str>> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.handle(&id, Event::Tick);
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Ask(ask) => self.ask(ask),
            Message::Withdraw { group, id } => {
                if self.grants.remove(&id).is_some() {
                    self.handle(&group, Event::Withdrawn { id });
                }
            }
            Message::Settle(settle) => self.settle(settle),
            Message::Group {
                group,
                incarnation,
                event,
            } => {
                let current = self.groups.get(&group).map(|owned| owned.incarnation);
                if current == Some(incarnation) {
                    self.note_sight(&group, &event);
                    self.handle(&group, event);
                }
            }
            Message::Snapshot(snapshot) => {
                let before = std::mem::replace(&mut self.snapshot, snapshot);
                self.own();
                self.tell_primaries();
                self.tell_duties(&before);
            }
            Message::Claimed { group, claim } => {
                if let Some(owned) = self.groups.get_mut(&group) {
                    owned.claim = claim;
                }
            }
            Message::Boxes(boxes) => {
                self.ranking = Ranking::new(&boxes);
                self.note_listed(&boxes);
                self.own();
                self.tell_listed();
            }
            Message::Revoke { group, reply } => {
                self.handle(&group, Event::RevokeLease);
                let owned = self.groups.get(&group);
                // Who promotes as well must not be overtaken by an order that did not
                // wait: its own may be under way, under a lower number.
                let given_up = owned.is_none_or(|owned| !owned.group.is_deposing());
                let _ = reply.send(given_up);
            }
            Message::LeaveMost(most) => self.set_leave_most(most),
            Message::Listed => self.tell_listed(),
            Message::Refused => self.reach.record_refusal(self.context.now()),
            Message::Warned { from } => self.take_warning(&from),
            Message::Reached(words) => {
                self.reach.record_replies(&words);
                self.context.partition_known.send_replace(true);
            }
            Message::Reach { group, reply } => {
                let now = self.context.now();
                let owned = self.groups.get(&group);
                let _ = reply.send(owned.and_then(|owned| owned.group.reaches_majority(now)));
            }
            Message::Opinion { group, term, reply } => {
                let owned = self.groups.get(&group);
                let _ = reply.send(owned.map(|owned| owned.group.suspects_primary(term)));
                self.handle(&group, Event::OpinionRequested);
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

    fn ask(&mut self, ask: Ask) {
        let owned = self.groups.get(&ask.group);
        let Some(owned) = owned.filter(|owned| !owned.departing) else {
            let _ = ask.reply.send(Err(Denial::NotOwner));
            return;
        };
        let (partner, weight) = match ask.flow {
            Some(flow) => (flow.name, flow.weight),
            None => {
                let partner = owned.group.plan.group.partner.clone();
                let declared = self.snapshot.partners.get(&partner);
                let weight = declared.map_or(1, |partner| partner.weight);
                (partner, weight)
            }
        };
        let id = ask.id;
        self.grants.insert(id, (owned.incarnation, ask.reply));
        let request = Request {
            id,
            partner,
            weight,
            target: ask.target,
            floor: ask.floor,
            believed: true,
            arrived: self.context.now(),
            deadline: ask.deadline,
            aim: ask.aim,
        };
        self.handle(&ask.group, Event::Arrived(request));
    }

    fn settle(&mut self, settle: Settle) {
        let current = self.groups.get(&settle.group);
        if current.is_none_or(|owned| owned.incarnation != settle.incarnation) {
            let _ = settle.reply.send(Outcome::Unknown);
            return;
        }
        let id = self.next;
        self.next += 1;
        self.settles.insert(id, (settle.incarnation, settle.reply));
        let member = settle.member;
        let deadline = settle.deadline;
        let event = match settle.need {
            SettleNeed::Wrote(position) => Event::ConfirmWrite {
                id,
                member,
                position,
                deadline,
            },
            SettleNeed::Read {
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
        self.handle(&settle.group, event);
    }

    fn handle(&mut self, id: &Arc<str>, event: Event) {
        let now = self.context.now();
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let Some(owned) = self.groups.get_mut(id) else {
                return;
            };
            let actions = owned.group.handle(event, now);
            owned.wake = owned.group.next_tick();
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
                events.extend(self.act(id, action));
            }
        }
    }
}

/// Tells the group whenever a member's process is seen to be gone.
async fn watch_member(
    context: Rc<Context>,
    (group, incarnation): (Arc<str>, Incarnation),
    member: usize,
    border: Rc<dyn Member>,
) {
    loop {
        border.wait_until_gone().await;
        context.tell(&group, incarnation, Event::ConnectionLost { member });
        tokio::time::sleep(GONE_RETRY).await;
    }
}
