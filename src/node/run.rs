//! Assembles a box and runs it until it is told to stop.

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
use super::joining;
use super::limits::Limits;
use super::message::Message;
use super::owner::Owner;
use super::pool::Pool;
use super::registrar;
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

const COMMIT_ATTEMPTS: u32 = 5;
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(200);
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval for checking whether the list of boxes is loaded.
const ROSTER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for removing this box from the list of boxes.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum time for which this box is missing from the list before it registers again.
const MIN_MISSING_TIME: Duration = Duration::from_millis(2_500);
/// Time for which a box waits for its first check for a partition before it takes callers.
/// Exceeds the timeout of the query to the owners of other groups.
const PARTITION_CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a box that has registered waits for its first list of boxes, before it checks
/// whether the list contains it.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay between two attempts to register this box.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(800);

/// The implementations of a box's borders.
pub struct Ports {
    pub clock: Rc<dyn Clock>,
    pub client: Client,
    pub entry: Rc<dyn Entry>,
    pub pool: Rc<Pool>,
    pub members: Rc<dyn Members>,
    pub table: Rc<dyn Table>,
    pub roster: Rc<dyn Roster>,
    pub metrics: Rc<Metrics>,
    /// Updates of the settings that can change while the box runs.
    pub live: Option<watch::Receiver<Arc<Live>>>,
    /// Receives whether the box takes callers.
    pub ready: Option<watch::Sender<bool>>,
}

impl Ports {
    /// Creates ports with a pool of connections that `dialer` opens.
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

/// Runs a box until `stop` is true, then drains it.
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
    let (configuration_tx, configuration_rx) = mpsc::unbounded_channel();
    let (work_tx, work_rx) = mpsc::unbounded_channel();
    let (joins_tx, joins_rx) = mpsc::unbounded_channel();
    let (snapshot_tx, snapshot) = watch::channel(Arc::default());
    let (boxes_tx, boxes) = watch::channel(Arc::from([]));
    let (shutdown_tx, shutting_down) = watch::channel(false);
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
        shutting_down: shutting_down.clone(),
        classes: Classes::default(),
        routes: Routes::default(),
        limits: Limits::default(),
        idle_connections: Cell::new(0),
        connection_shares: watch::channel(HashMap::new()).0,
        unresponsive_peers: RefCell::default(),
        first_readers: watch::Sender::default(),
        callers: Cell::new(0),
        not_ready_since: watch::channel(None).0,
        deposing: Cell::new(false),
        partition_known: watch::channel(false).0,
        polling: Cell::default(),
        declarations: Cell::default(),
        confirmed_by_readers: Cell::default(),
        settings,
        live: live.clone(),
        log,
    });
    let api = Arc::new(Api {
        name: context.settings.name.clone(),
        admin_hash: context.settings.admin_hash.clone(),
        decisions: decisions_tx,
        configuration: configuration_tx.clone(),
        work: work_tx,
        readers: api::Readers::default(),
        joins: joins_tx.clone(),
        snapshot: snapshot.clone(),
        boxes,
        shutting_down,
        registry: context.metrics.registry(),
        next_nonce: AtomicU64::new(rand::random::<u32>().into()),
    });
    let owner = Rc::new(Owner::new(context.clone(), pool));
    let log = &context.log;
    let name = &context.settings.name;
    events::emit(log, &events::STARTED, &[("box", name)]);
    let updater = Updater::new(context.clone(), configuration_rx, snapshot_tx, boxes_tx);
    let mut background = vec![
        tokio::task::spawn_local(Driver::new(context.clone(), decisions, decisions_rx).run()),
        tokio::task::spawn_local(updater.run()),
        tokio::task::spawn_local(handle_work(context.clone(), owner.clone(), work_rx)),
        tokio::task::spawn_local(close_idle(owner.clone())),
        tokio::task::spawn_local(keep_registered(context.clone(), joins_tx)),
        tokio::task::spawn_local(registrar::run(context.clone(), joins_rx)),
        tokio::task::spawn_local(forward_settings(context.clone(), live)),
        tokio::task::spawn_local(serve_api(api, operators)),
    ];
    if let Some(listener) = metrics_listener {
        let registry = context.metrics.registry();
        background.push(tokio::task::spawn_local(async move {
            let _ = api::serve_metrics(registry, listener).await;
        }));
    }
    if context.settings.share_table_reads {
        let follower = follow::run(context.clone(), configuration_tx);
        background.push(tokio::task::spawn_local(follower));
    }
    let mut configured = snapshot;
    tokio::select! {
        _ = configured.wait_for(|snapshot| snapshot.revision > Revision::NONE) => {}
        _ = stop.wait_for(|stop| *stop) => return Ok(()),
    }
    events::emit(log, &events::READY, &[("box", name)]);
    if let Some(ready) = ready {
        tokio::task::spawn_local(report_readiness(context.clone(), ready));
    }
    let serving = {
        let (context, owner) = (context.clone(), owner.clone());
        tokio::task::spawn_local(async move { entry.serve(context, owner, callers).await })
    };
    let _ = stop.wait_for(|stop| *stop).await;
    context.not_ready_since.send_replace(Some(context.now()));
    let _ = shutdown_tx.send(true);
    events::emit(log, &events::DRAINING, &[("box", name)]);
    let end = context.now() + context.live.borrow().drain_timeout;
    drain(&context, &owner, end).await;
    deregister(context.clone()).await;
    // New callers may have connected meanwhile, until the balancer notices.
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

/// Passes changed settings on to the decisions.
async fn forward_settings(context: Rc<Context>, mut live: watch::Receiver<Arc<Live>>) {
    while live.changed().await.is_ok() {
        if let Some(limit) = live.borrow_and_update().member_drain_limit {
            let _ = context.decisions.send(Message::DrainLimit(limit));
        }
    }
}

/// Waits until no callers are connected, no exchange of another box is in progress, no
/// connection is pinned and this box has no ballot under way, but no longer than until `end`.
async fn drain(context: &Context, owner: &Owner, end: Duration) {
    let interval = Duration::from_millis(20);
    let busy = || context.callers.get() > 0 || !owner.is_idle() || context.deposing.get();
    while context.now() < end && busy() {
        tokio::time::sleep(interval).await;
    }
}

async fn serve_api(api: Arc<Api>, listener: TcpListener) {
    let _ = api::serve(api, listener).await;
}

/// Reports whether the box takes callers: not while it is partitioned or shutting down. Waits for
/// the first check for a partition, as a box that starts in a partitioned failure domain would
/// otherwise be the only one there to report ready, and receive all callers of that domain.
async fn report_readiness(context: Rc<Context>, ready: watch::Sender<bool>) {
    if context.settings.tolerate_domain_loss {
        let mut known = context.partition_known.subscribe();
        let _ = tokio::time::timeout(PARTITION_CHECK_TIMEOUT, known.wait_for(|known| *known)).await;
    }
    let mut not_ready_since = context.not_ready_since.subscribe();
    loop {
        ready.send_replace(not_ready_since.borrow_and_update().is_none());
        if not_ready_since.changed().await.is_err() {
            return;
        }
    }
}

/// Keeps this box on the list if boxes register themselves. The list loses the box if the table
/// is restored from an older copy.
async fn keep_registered(context: Rc<Context>, joins: registrar::Sender) {
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
    let mut boxes = context.boxes.clone();
    // Only the list as it was before this start shows whether the other boxes know this one. At
    // the first start of the system there is no such list to wait for.
    let joined = match context.settings.first_start {
        true => joining::join(&context, &listing, &joins).await,
        false => {
            joining::find_readers(&context).await;
            while !context.roster.is_loaded() && context.boxes.borrow().is_empty() {
                tokio::time::sleep(ROSTER_POLL_INTERVAL).await;
            }
            context.roster.contains(&listing) || context.boxes.borrow().contains(&listing)
        }
    };
    if !joined {
        register(&context, &listing).await;
    }
    let _ = tokio::time::timeout(FIRST_LIST_TIMEOUT, boxes.changed()).await;
    let is_missing = |boxes: &Arc<[Listing]>| !boxes.contains(&listing);
    while boxes.wait_for(is_missing).await.is_ok() {
        // A recent registration may not have been read back yet. The jitter spreads the writes of
        // boxes that the list has lost at the same time.
        let jitter = rand::rng().random_range(1.0..2.0);
        tokio::time::sleep(MIN_MISSING_TIME.mul_f64(jitter)).await;
        let shutting_down = *context.shutting_down.borrow();
        if is_missing(&boxes.borrow_and_update()) && !shutting_down {
            events::emit(&context.log, &events::RELISTED, &[]);
            register(&context, &listing).await;
        }
    }
}

async fn register(context: &Context, listing: &Listing) {
    while !*context.shutting_down.borrow() {
        let registered = context.roster.register(std::slice::from_ref(listing)).await;
        let Err(error) = registered else {
            return;
        };
        events::emit(&context.log, &events::LISTING_FAILED, &[("error", &error)]);
        tokio::time::sleep(REGISTER_RETRY_DELAY).await;
    }
}

async fn deregister(context: Rc<Context>) {
    let deregistered = context.roster.deregister(&context.settings.name);
    match tokio::time::timeout(DEREGISTER_TIMEOUT, deregistered).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => {
            events::emit(&context.log, &events::LISTING_FAILED, &[("error", &error)]);
        }
        Err(elapsed) => events::emit(
            &context.log,
            &events::LISTING_FAILED,
            &[("error", &elapsed)],
        ),
    }
}

/// Closes idle connections and transactions periodically.
async fn close_idle(owner: Rc<Owner>) {
    loop {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        owner.trim();
        owner.roll_back_expired();
    }
}

/// Performs the work of the HTTP handlers, which must be `Send` and so can't use the state of the
/// box's thread themselves.
async fn handle_work(
    context: Rc<Context>,
    owner: Rc<Owner>,
    mut inbox: mpsc::UnboundedReceiver<Work>,
) {
    while let Some(work) = inbox.recv().await {
        match work {
            Work::Serve(exchange, reply) => {
                let owner = owner.clone();
                tokio::task::spawn_local(async move {
                    let _ = reply.send(owner.serve_peer(&exchange).await);
                });
            }
            Work::Lend(request, mut reply) => {
                let context = context.clone();
                tokio::task::spawn_local(async move {
                    let lent = tokio::select! {
                        lent = context.lend(&request) => lent,
                        () = reply.closed() => return,
                    };
                    let _ = reply.send(lent);
                });
            }
            Work::AbandonTransaction(lease) => owner.abandon_transaction(lease),
            Work::Commit(commit, reply) => {
                let table = context.table.clone();
                let log = context.log.clone();
                tokio::task::spawn_local(async move {
                    let verdict = commit_with_retries(&*table, &commit).await;
                    if let Ok(Verdict::Done(revision)) = &verdict {
                        log_changes(&log, &commit, *revision);
                    }
                    let _ = reply.send(verdict);
                });
            }
        }
    }
}

/// Logs the resources that an operator has changed.
pub fn log_changes(log: &Logger, commit: &Commit, revision: Revision) {
    for write in &commit.writes {
        let deleted = write.value.is_none();
        let fields: [(_, &dyn std::fmt::Display); 3] = [
            ("resource", &write.key),
            ("revision", &revision),
            ("deleted", &deleted),
        ];
        events::emit(log, &events::RESOURCE_CHANGED, &fields);
    }
}

/// Commits, with retries under the same nonce while the table gives no answer.
async fn commit_with_retries(table: &dyn Table, commit: &Commit) -> Result<Verdict, TableError> {
    let mut last = Err(TableError::Unavailable("not asked".to_owned()));
    for _ in 0..COMMIT_ATTEMPTS {
        last = table.commit(commit).await;
        if last.is_ok() {
            return last;
        }
        tokio::time::sleep(COMMIT_RETRY_DELAY).await;
    }
    last
}
