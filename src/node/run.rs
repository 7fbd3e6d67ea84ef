//! Puts a box together and runs it until it is told to stop.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use anyhow::Context as _;
use rand::Rng;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::api::{self, Api, Work};
use super::configuration::Updater;
use super::context::Context;
use super::driver::Driver;
use super::entry::Entry;
use super::follow;
use super::limits::Limits;
use super::message::Message;
use super::owner::Owner;
use super::pool::Pool;
use super::routes::{Classes, Routes};
use crate::borders::clock::{Clock, System};
use crate::borders::member::Members;
use crate::borders::roster::{Listing, Roster};
use crate::borders::table::{Commit, Revision, Table, TableError, Verdict};
use crate::borders::upstream::Dialer;
use crate::configs::live::Live;
use crate::configs::run::Run;
use crate::decisions::group::Settings;
use crate::events;
use crate::http::Client;
use crate::metrics::Metrics;

const COMMIT_TRIES: u32 = 5;
const COMMIT_PAUSE: Duration = Duration::from_millis(200);
const REAP: Duration = Duration::from_secs(1);
/// Time between two looks whether the table answers.
const ENTER_LOOK: Duration = Duration::from_millis(50);
/// Time for the list at the end.
const LEAVE_WAIT: Duration = Duration::from_millis(300);
/// Time for which the list may lack this box before it lists itself again, at least.
const LACKED: Duration = Duration::from_millis(2_500);
/// Time that a box's first question whether it is cut off gets before it takes callers:
/// a round of owners' words, those that are silent included.
const SETTLE_WAIT: Duration = Duration::from_millis(200);
/// Time between two tries to be listed.
const ENTER_AGAIN: Duration = Duration::from_millis(800);

/// What stands at a box's borders.
pub struct Ports {
    pub clock: Rc<dyn Clock>,
    pub client: Client,
    pub entry: Rc<dyn Entry>,
    pub pool: Rc<Pool>,
    pub members: Rc<dyn Members>,
    pub table: Rc<dyn Table>,
    pub roster: Rc<dyn Roster>,
    pub metrics: Rc<Metrics>,
    /// Settings that change while the box runs, where something tells.
    pub live: Option<watch::Receiver<Arc<Live>>>,
    /// Told whether the box takes callers.
    pub ready: Option<watch::Sender<bool>>,
}

impl Ports {
    /// Ports around a pool of connections that `dialer` opens.
    pub fn new(
        client: Client,
        entry: Rc<dyn Entry>,
        dialer: Rc<dyn Dialer>,
        members: impl FnOnce(&Rc<Pool>) -> Rc<dyn Members>,
        table: Rc<dyn Table>,
        roster: Rc<dyn Roster>,
    ) -> Self {
        let clock: Rc<dyn Clock> = Rc::new(System::default());
        let pool = Rc::new(Pool::new(dialer, clock.clone()));
        Self {
            clock,
            client,
            entry,
            members: members(&pool),
            pool,
            table,
            roster,
            metrics: Rc::default(),
            live: None,
            ready: None,
        }
    }
}

/// Runs a box until `stop` says so, then drains it.
pub async fn run(
    settings: Run,
    decisions: Settings,
    ports: Ports,
    log: Logger,
    mut stop: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    let callers = bind(&settings, settings.port).await?;
    let operators = bind(&settings, settings.api_port).await?;
    let metrics_listener = match settings.metrics_port {
        Some(port) => Some(bind(&settings, port).await?),
        None => None,
    };
    let (decisions_tx, decisions_rx) = mpsc::unbounded_channel();
    let (keeper_tx, keeper_rx) = mpsc::unbounded_channel();
    let (work_tx, work_rx) = mpsc::unbounded_channel();
    let (snapshot_tx, snapshot) = watch::channel(Arc::default());
    let (boxes_tx, boxes) = watch::channel(Arc::from([]));
    let (leaving_tx, leaving) = watch::channel(false);
    let Ports {
        clock,
        client,
        entry,
        pool,
        members,
        table,
        roster,
        metrics,
        live,
        ready,
    } = ports;
    let live = live.unwrap_or_else(|| watch::channel(Arc::new(Live::new(&settings))).1);
    let context = Rc::new(Context {
        metrics,
        clock,
        members,
        table,
        roster,
        client,
        decisions: decisions_tx.clone(),
        snapshot: snapshot.clone(),
        boxes: boxes.clone(),
        leaving: leaving.clone(),
        classes: Classes::default(),
        routes: Routes::default(),
        limits: Limits::default(),
        idle: Cell::new(0),
        owned: watch::channel(HashMap::new()).0,
        shunned: RefCell::default(),
        callers: Cell::new(0),
        away: watch::channel(None).0,
        deposing: Cell::new(false),
        settled: watch::channel(false).0,
        pace: Cell::default(),
        settings,
        live: live.clone(),
        log,
    });
    let api = Arc::new(Api {
        name: context.settings.name.clone(),
        admin_hash: context.settings.admin.clone(),
        decisions: decisions_tx,
        configuration: keeper_tx.clone(),
        work: work_tx,
        snapshot: snapshot.clone(),
        boxes,
        leaving,
        registry: context.metrics.registry(),
        next_nonce: AtomicU64::new(rand::random::<u32>().into()),
    });
    let owner = Rc::new(Owner::new(context.clone(), pool));
    let log = &context.log;
    let name = &context.settings.name;
    events::emit(log, &events::STARTED, &[("box", name)]);
    let keeper = Updater::new(context.clone(), keeper_rx, snapshot_tx, boxes_tx);
    let mut background = vec![
        tokio::task::spawn_local(Driver::new(context.clone(), decisions, decisions_rx).run()),
        tokio::task::spawn_local(keeper.run()),
        tokio::task::spawn_local(work(context.clone(), owner.clone(), work_rx)),
        tokio::task::spawn_local(reap(owner.clone())),
        tokio::task::spawn_local(enter(context.clone())),
        tokio::task::spawn_local(tell_live(context.clone(), live)),
        tokio::task::spawn_local(serve_api(api, operators)),
    ];
    if let Some(listener) = metrics_listener {
        let registry = context.metrics.registry();
        background.push(tokio::task::spawn_local(async move {
            let _ = api::serve_metrics(registry, listener).await;
        }));
    }
    if context.settings.follow {
        let following = follow::run(context.clone(), keeper_tx);
        background.push(tokio::task::spawn_local(following));
    }
    let mut configured = snapshot;
    tokio::select! {
        _ = configured.wait_for(|snapshot| snapshot.revision > Revision::NONE) => {}
        _ = stop.wait_for(|stop| *stop) => return Ok(()),
    }
    events::emit(log, &events::READY, &[("box", name)]);
    if let Some(ready) = ready {
        tokio::task::spawn_local(tell_ready(context.clone(), ready));
    }
    let serving = {
        let (context, owner) = (context.clone(), owner.clone());
        tokio::task::spawn_local(async move { entry.serve(context, owner, callers).await })
    };
    let _ = stop.wait_for(|stop| *stop).await;
    context.away.send_replace(Some(context.now()));
    let _ = leaving_tx.send(true);
    events::emit(log, &events::DRAINING, &[("box", name)]);
    let end = context.now() + context.live.borrow().drain;
    drain(&context, &owner, end).await;
    leave(context.clone()).await;
    // Callers may have come meanwhile: the balancer sends some for two seconds.
    drain(&context, &owner, end).await;
    serving.abort();
    for task in background {
        task.abort();
    }
    events::emit(log, &events::STOPPED, &[("box", name)]);
    Ok(())
}

async fn bind(settings: &Run, port: u16) -> anyhow::Result<TcpListener> {
    let address = (settings.ip, port);
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| format!("can't listen on {}:{port}", settings.ip))
}

/// Tells the decisions of settings that changed.
async fn tell_live(context: Rc<Context>, mut live: watch::Receiver<Arc<Live>>) {
    while live.changed().await.is_ok() {
        if let Some(most) = live.borrow_and_update().leave_most {
            let _ = context.decisions.send(Message::LeaveMost(most));
        }
    }
}

/// Waits until the last caller is gone, nothing is held for other boxes and no ballot of this
/// one is under way, no longer than until `end`.
async fn drain(context: &Context, owner: &Owner, end: Duration) {
    let step = Duration::from_millis(20);
    let busy = || context.callers.get() > 0 || !owner.is_idle() || context.deposing.get();
    while context.now() < end && busy() {
        tokio::time::sleep(step).await;
    }
}

async fn serve_api(api: Arc<Api>, listener: TcpListener) {
    let _ = api::serve(api, listener).await;
}

/// Says that the box takes callers, except while they are better served elsewhere. A box
/// that starts in a cut failure domain would be the only one of it that calls itself ready,
/// and get all of its callers.
async fn tell_ready(context: Rc<Context>, ready: watch::Sender<bool>) {
    if context.settings.domain_loss {
        let mut settled = context.settled.subscribe();
        let _ = tokio::time::timeout(SETTLE_WAIT, settled.wait_for(|settled| *settled)).await;
    }
    let mut away = context.away.subscribe();
    loop {
        ready.send_replace(away.borrow_and_update().is_none());
        if away.changed().await.is_err() {
            return;
        }
    }
}

/// Puts this box on the list, where boxes list themselves, and again whenever the list has
/// lost it: the table may come back as a copy from before.
async fn enter(context: Rc<Context>) {
    if !context.roster.is_self_registered() {
        return;
    }
    let listing = Listing {
        name: context.settings.name.clone(),
        address: context.own_api_address().into(),
        domain: context.settings.domain.clone(),
        leaving: false,
        link_mbps: context.settings.link_mbps,
    };
    // The list as it stood before this start tells whether others know this box. At the
    // very first start it is empty, and fills while boxes wait to read it.
    while !context.settings.first_start && !context.roster.is_loaded() {
        tokio::time::sleep(ENTER_LOOK).await;
    }
    if !context.roster.contains(&listing) {
        put_on_list(&context, &listing).await;
    }
    let mut boxes = context.boxes.clone();
    let lacks = |boxes: &Arc<[Listing]>| !boxes.contains(&listing);
    while boxes.wait_for(lacks).await.is_ok() {
        // What was just written takes a while to come back, and others write at this moment too.
        let jitter = rand::rng().random_range(1.0..2.0);
        tokio::time::sleep(LACKED.mul_f64(jitter)).await;
        let leaving = *context.leaving.borrow();
        if lacks(&boxes.borrow_and_update()) && !leaving {
            events::emit(&context.log, &events::LISTED_AGAIN, &[]);
            put_on_list(&context, &listing).await;
        }
    }
}

async fn put_on_list(context: &Context, listing: &Listing) {
    while !*context.leaving.borrow() {
        let Err(error) = context.roster.register(listing).await else {
            return;
        };
        events::emit(&context.log, &events::NOT_LISTED, &[("error", &error)]);
        tokio::time::sleep(ENTER_AGAIN).await;
    }
}

async fn leave(context: Rc<Context>) {
    let left = context.roster.deregister(&context.settings.name);
    match tokio::time::timeout(LEAVE_WAIT, left).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => {
            events::emit(&context.log, &events::NOT_LISTED, &[("error", &error)]);
        }
        Err(late) => events::emit(&context.log, &events::NOT_LISTED, &[("error", &late)]),
    }
}

async fn reap(owner: Rc<Owner>) {
    loop {
        tokio::time::sleep(REAP).await;
        owner.trim();
        owner.reap();
    }
}

/// Does what the HTTP side can't do from where it runs.
async fn work(context: Rc<Context>, owner: Rc<Owner>, mut inbox: mpsc::UnboundedReceiver<Work>) {
    while let Some(work) = inbox.recv().await {
        match work {
            Work::Serve(exchange, reply) => {
                let owner = owner.clone();
                tokio::task::spawn_local(async move {
                    let _ = reply.send(owner.serve_peer(&exchange).await);
                });
            }
            Work::Lend(question, mut reply) => {
                let context = context.clone();
                tokio::task::spawn_local(async move {
                    let lent = tokio::select! {
                        lent = context.lend(&question) => lent,
                        () = reply.closed() => return,
                    };
                    let _ = reply.send(lent);
                });
            }
            Work::Abandon(lease) => owner.abandon(lease),
            Work::Commit(commit, reply) => {
                let table = context.table.clone();
                let log = context.log.clone();
                tokio::task::spawn_local(async move {
                    let verdict = committed(&*table, &commit).await;
                    if let Ok(Verdict::Done(revision)) = &verdict {
                        note_changed(&log, &commit, *revision);
                    }
                    let _ = reply.send(verdict);
                });
            }
        }
    }
}

/// Names the resources that an operator has changed.
pub fn note_changed(log: &Logger, commit: &Commit, revision: Revision) {
    for write in &commit.writes {
        let deleted = write.value.is_none();
        let fields: [(_, &dyn std::fmt::Display); 3] = [
            ("resource", &write.key),
            ("revision", &revision),
            ("deleted", &deleted),
        ];
        events::emit(log, &events::CHANGED, &fields);
    }
}

/// Commits, asking again with the same nonce when the answer is lost.
async fn committed(table: &dyn Table, commit: &Commit) -> Result<Verdict, TableError> {
    let mut last = Err(TableError::Unavailable("not asked".to_owned()));
    for _ in 0..COMMIT_TRIES {
        last = table.commit(commit).await;
        if last.is_ok() {
            return last;
        }
        tokio::time::sleep(COMMIT_PAUSE).await;
    }
    last
}
