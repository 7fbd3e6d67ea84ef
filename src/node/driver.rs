//! The loop that owns the decisions, and the tasks that carry out their actions.
//!
//! One `select!` takes messages and the time; each group's decisions answer with
//! actions. What needs I/O is spawned and comes back as a message.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;

use super::context::Context;
use super::message::{Ask, Denial, Dump, Grant, Health, Incarnation, Message, Settle, SettleNeed};
use super::{duty, peers};
use crate::borders::member::{Member, Order};
use crate::borders::roster::Listing;
use crate::decisions::confirm::Outcome;
use crate::decisions::duty::Duty;
use crate::decisions::group::{Action, Event, Group, Note, Request, Settings};
use crate::decisions::owners::{self, Ranking};
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
    /// On whose authority this box promotes.
    order: Option<Order>,
    wake: Duration,
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
            next: 1,
        }
    }

    /// Runs until nobody can send any more.
    pub async fn run(mut self) {
        loop {
            let now = self.context.now();
            let wake = self.groups.values().map(|owned| owned.wake).min();
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
            self.note_cut_off();
        }
    }

    /// A box that reaches a majority of no group is cut off with its failure domain.
    fn note_cut_off(&mut self) {
        if *self.context.leaving.borrow() {
            return;
        }
        let cut_off = !self.groups.is_empty() && self.groups.values().all(|o| o.group.is_cut_off());
        let now = self.context.now();
        let changed = self.context.away.send_if_modified(|away| {
            let changed = away.is_some() != cut_off;
            if changed {
                *away = cut_off.then_some(now);
            }
            changed
        });
        if changed {
            let kind = match cut_off {
                true => &events::CUT_OFF,
                false => &events::REJOINED,
            };
            events::emit(&self.context.log, kind, &[]);
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
                    self.handle(&group, Event::Withdraw { id });
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
                    self.handle(&group, event);
                }
            }
            Message::Snapshot(snapshot) => {
                let before = std::mem::replace(&mut self.snapshot, snapshot);
                self.own();
                self.tell_primaries();
                self.tell_duties(&before);
            }
            Message::Ordered { group, order } => {
                if let Some(owned) = self.groups.get_mut(&group) {
                    owned.order = order;
                }
            }
            Message::Boxes(boxes) => {
                self.ranking = Ranking::new(&boxes);
                self.note_listed(&boxes);
                self.own();
                self.tell_listed();
            }
            Message::Revoke { group, reply } => {
                self.handle(&group, Event::Revoke);
                let _ = reply.send(());
            }
            Message::Listed => self.tell_listed(),
            Message::Opinion { group, term, reply } => {
                let owned = self.groups.get(&group);
                let _ = reply.send(owned.map(|owned| owned.group.suspects(term)));
                self.handle(&group, Event::Asked);
            }
            Message::Dump(reply) => {
                let now = self.context.now();
                let groups = self.groups.values().map(|owned| owned.group.dump(now));
                let _ = reply.send(Dump {
                    callers: self.context.callers.get(),
                    idle_connections: self.context.idle.get(),
                    groups: groups.collect(),
                });
            }
        }
    }

    fn ask(&mut self, ask: Ask) {
        let Some(owned) = self.groups.get(&ask.group) else {
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
        self.handle(&ask.group, Event::Arrive(request));
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
            SettleNeed::Wrote(position) => Event::Wrote {
                id,
                member,
                position,
                deadline,
            },
            SettleNeed::Read {
                term,
                since,
                position,
            } => Event::Verify {
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
            owned.wake = owned.group.wake();
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

    /// Carries out one action. What it brings about at once is returned.
    fn act(&mut self, id: &Arc<str>, action: Action) -> Option<Event> {
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
                    patience: owned.group.patience(member, self.context.now()),
                    health: owned.health.subscribe(),
                };
                let reply = self.grants.remove(&request);
                let gone = reply.is_none_or(|(_, reply)| reply.send(Ok(grant)).is_err());
                let took = self.settings.service;
                return gone.then_some(Event::Release { member, took });
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
            Action::Revoke { term } => self.revoke(id, owned, term),
            Action::Claim => {
                let context = self.context.clone();
                let group = id.clone();
                let incarnation = owned.incarnation;
                tokio::task::spawn_local(async move {
                    let order = duty::order(&context, &group).await;
                    let won = order.is_some();
                    let _ = context.decisions.send(Message::Ordered {
                        group: group.clone(),
                        order,
                    });
                    context.tell(&group, incarnation, Event::Claimed { won });
                });
            }
            Action::Fence { member, term } => {
                let replaced = owned.group.term();
                let border = owned.members[member].clone();
                self.spawn(id, async move {
                    let answer = border.fence(term, replaced).await;
                    Event::Fenced {
                        member,
                        term,
                        answer,
                    }
                });
            }
            Action::Release { member } => {
                let border = owned.members[member].clone();
                self.spawn(id, async move {
                    // Whether it worked shows in the next report.
                    let _ = border.release().await;
                    Event::Look
                });
            }
            Action::Promote { member, term } => {
                let border = owned.members[member].clone();
                let order = owned.order.clone().unwrap_or_default();
                self.spawn(id, async move {
                    let answer = border.promote(term, &order).await;
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
                    Event::Look
                });
            }
            Action::Ask => self.ask_peers(id, owned),
            Action::Record { term, primary } => {
                let name = owned.group.plan.members[primary].name.clone();
                self.context.metrics.replacements.add(1, &[]);
                if self.context.settings.duty {
                    // Members tell by themselves who leads; the duty is on record.
                    return None;
                }
                let record = peers::record(self.context.clone(), id.clone(), term, name);
                tokio::task::spawn_local(record);
            }
            Action::Note(note) => self.note(id, &owned.group, &note),
        }
        None
    }

    /// Does something elsewhere and brings its event back.
    fn spawn(&self, id: &Arc<str>, work: impl Future<Output = Event> + 'static) {
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

    fn probe(&self, id: &Arc<str>, owned: &Owned, member: usize) {
        self.context.metrics.probes.add(1, &[]);
        let border = owned.members[member].clone();
        let began = self.context.now();
        self.spawn(id, async move {
            let answer = border.status().await;
            Event::Status {
                member,
                began,
                answer,
            }
        });
    }

    fn ask_peers(&self, id: &Arc<str>, owned: &Owned) {
        let plan = &owned.group.plan;
        let term = owned.group.term();
        let own = &self.context.settings.name;
        let owners = group_owners(plan, &self.ranking).into_iter();
        let others = owners.filter(|listing| listing.name != *own);
        for listing in others.take(MOST_ASKED) {
            let near = listing.domain == self.context.settings.domain;
            let asked = peers::opinion(self.context.clone(), listing.clone(), id.clone(), term);
            let from = listing.name.clone();
            let context = self.context.clone();
            let group = id.clone();
            let incarnation = owned.incarnation;
            tokio::task::spawn_local(async move {
                if let Some(suspects) = asked.await {
                    let event = Event::Opinion {
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
    fn revoke(&self, id: &Arc<str>, owned: &Owned, term: u64) {
        let own = &self.context.settings.name;
        let owners = group_owners(&owned.group.plan, &self.ranking);
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
                context.tell(&group, incarnation, Event::Revoked { term });
            }
        });
    }

    fn note(&self, id: &Arc<str>, group: &Group, note: &Note) {
        let name = |member: usize| group.plan.members[member].name.clone();
        let log = &self.context.log;
        match note {
            Note::Suspected { member } => events::emit(
                log,
                &events::SUSPECTED,
                &[("group", id), ("member", &name(*member))],
            ),
            Note::Trusted { member } => events::emit(
                log,
                &events::TRUSTED,
                &[("group", id), ("member", &name(*member))],
            ),
            Note::Nonsense { member } => events::emit(
                log,
                &events::NONSENSE,
                &[("group", id), ("member", &name(*member))],
            ),
            Note::Fencing { term } => {
                events::emit(log, &events::FENCING, &[("group", id), ("term", term)]);
            }
            Note::Lost { term } => {
                events::emit(log, &events::BALLOT_LOST, &[("group", id), ("term", term)]);
            }
            Note::Won { term, member } => events::emit(
                log,
                &events::PROMOTED,
                &[("group", id), ("term", term), ("member", &name(*member))],
            ),
            Note::Adopted { term, member } => events::emit(
                log,
                &events::ADOPTED,
                &[("group", id), ("term", term), ("member", &name(*member))],
            ),
        }
    }

    // Which groups this box owns.

    fn own(&mut self) {
        let name = self.context.settings.name.clone();
        let mut mine: BTreeMap<Arc<str>, (Arc<Plan>, u32, u32)> = BTreeMap::new();
        for (id, plan) in &self.snapshot.groups {
            let chosen = group_owners(plan, &self.ranking);
            let rank = chosen.iter().position(|listing| listing.name == name);
            if let Some(rank) = rank
                && !plan.members.is_empty()
            {
                let owners = chosen.len() as u32;
                mine.insert(id.clone(), (plan.clone(), rank as u32, owners));
            }
        }
        self.groups.retain(|id, _| mine.contains_key(id));
        let crowd = (mine.len() as u32).div_ceil(GROUPS_AT_FULL_RATE).max(1);
        for (id, (plan, rank, owners)) in mine {
            match self.groups.get_mut(&id) {
                Some(owned) => {
                    owned.group.set_rank(rank, crowd);
                    owned.group.set_owners(owners);
                    if owned.plan != plan {
                        owned.plan = plan.clone();
                        owned.group.set_plan(plan, self.context.now());
                        self.join_new(&id);
                    }
                    // What changed may have made something due.
                    self.handle(&id, Event::Tick);
                }
                None => self.start(id, plan, (rank, owners), crowd),
            }
        }
        self.dismiss();
    }

    /// Answers those who waited for a group that is not owned any more.
    fn dismiss(&mut self) {
        let live: HashSet<Incarnation> = self.groups.values().map(|o| o.incarnation).collect();
        // Dropped, a grant's reply says that this box is no owner, and a
        // settlement's that the outcome is unknown.
        self.grants
            .retain(|_, (incarnation, _)| live.contains(incarnation));
        self.settles
            .retain(|_, (incarnation, _)| live.contains(incarnation));
        let addresses = self.groups.values().flat_map(|owned| {
            let share = owned.group.kept_open();
            let members = owned.group.plan.members.iter();
            members.map(move |member| (member.address.sql.clone(), share))
        });
        let addresses = addresses.collect();
        self.context.owned.send_replace(addresses);
    }

    fn start(&mut self, id: Arc<str>, plan: Arc<Plan>, (rank, owners): (u32, u32), crowd: u32) {
        let now = self.context.now();
        let incarnation = self.next;
        self.next += 1;
        let seed = rand::rng().random();
        let domain = self.context.settings.domain.clone();
        let mut group = Group::new(plan.clone(), domain, rank, self.settings, seed, now);
        group.set_rank(rank, crowd);
        group.set_owners(owners);
        let owned = Owned {
            incarnation,
            plan,
            group,
            members: Vec::new(),
            watches: Vec::new(),
            health: watch::channel(Health::default()).0,
            order: None,
            wake: now,
        };
        self.groups.insert(id.clone(), owned);
        self.join_new(&id);
        let listed = self.listed.is_some_and(|since| now >= since);
        self.handle(&id, Event::Listed { listed });
    }

    /// Makes the borders of members that have none yet.
    fn join_new(&mut self, id: &Arc<str>) {
        let Some(owned) = self.groups.get_mut(id) else {
            return;
        };
        for place in owned.members.len()..owned.group.plan.members.len() {
            let border = self
                .context
                .members
                .member(&owned.group.plan.members[place]);
            let group = (id.clone(), owned.incarnation);
            let watching = watch_member(self.context.clone(), group, place, border.clone());
            let watch = tokio::task::spawn_local(watching).abort_handle();
            owned.watches.push(watch);
            owned.members.push(border);
        }
    }

    /// Notes since when the list of boxes has named this one.
    fn note_listed(&mut self, boxes: &[Listing]) {
        let own = &self.context.settings.name;
        let listed = boxes.iter().any(|listing| listing.name == *own);
        let first = !std::mem::replace(&mut self.knows_boxes, true);
        let now = self.context.now();
        self.listed = match (listed, self.listed) {
            (false, _) => None,
            (true, Some(since)) => Some(since),
            // It stood there before this process started.
            (true, None) if first => Some(Duration::ZERO),
            (true, None) => Some(now + LISTED_REST),
        };
        if let Some(until) = self.listed.filter(|until| *until > now) {
            let decisions = self.context.decisions.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(until - now).await;
                let _ = decisions.send(Message::Listed);
            });
        }
    }

    fn tell_listed(&mut self) {
        let now = self.context.now();
        let listed = self.listed.is_some_and(|since| now >= since);
        let groups: Vec<Arc<str>> = self.groups.keys().cloned().collect();
        for group in groups {
            self.handle(&group, Event::Listed { listed });
        }
    }

    /// Tells groups whose duty another box has taken.
    fn tell_duties(&mut self, before: &Snapshot) {
        if before.revision == 0 {
            // What was taken before this box started is over.
            return;
        }
        let own = &self.context.settings.name;
        let foreign = |group: &Arc<str>, duty: &Duty| {
            let known = before.duties.get(group).map_or(0, |known| known.revision);
            duty.holder != *own && known < duty.revision
        };
        let duties = self.snapshot.duties.iter();
        let taken = duties.filter(|(group, duty)| foreign(group, duty));
        let taken: Vec<Arc<str>> = taken.map(|(group, _)| group.clone()).collect();
        for group in taken {
            self.handle(&group, Event::DutyTaken);
        }
    }

    fn tell_primaries(&mut self) {
        let primaries = self.snapshot.primaries.clone();
        for (id, record) in primaries.iter() {
            let event = Event::News {
                term: record.term,
                primary: record.member.clone(),
            };
            self.handle(id, event);
        }
    }
}

/// Boxes that own a group, best first.
pub fn group_owners<'a>(plan: &Plan, ranking: &'a Ranking) -> Vec<&'a Listing> {
    let domains: BTreeSet<Arc<str>> = plan.members.iter().map(|m| m.domain.clone()).collect();
    let group = &plan.group;
    let count = owners::count(group.owners, group.connections, group.slots, ranking.len());
    ranking.owners(&plan.id, count, &domains)
}

/// Tells the group whenever a member's process is seen to be gone.
async fn watch_member(
    context: Rc<Context>,
    (group, incarnation): (Arc<str>, Incarnation),
    member: usize,
    border: Rc<dyn Member>,
) {
    loop {
        border.gone().await;
        context.tell(&group, incarnation, Event::Broken { member });
        tokio::time::sleep(GONE_RETRY).await;
    }
}
