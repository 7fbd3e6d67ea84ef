//! Puts a box together and runs it until it is told to stop.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use anyhow::Context as _;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::api::{self, Api, Work};
use super::configuration::Keeper;
use super::context::Context;
use super::driver::Driver;
use super::entry::Entry;
use super::owner::Owner;
use super::routes::{Classes, Routes};
use crate::borders::clock::System;
use crate::borders::table::{Commit, Table, TableError, Verdict};
use crate::configs::run::Run;
use crate::decisions::group::Settings;
use crate::events;
use crate::http::Client;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::standin::control::Remotes;

const COMMIT_TRIES: u32 = 5;
const COMMIT_PAUSE: Duration = Duration::from_millis(200);
const REAP: Duration = Duration::from_secs(1);

/// Runs a box until `stop` says so, then drains it.
pub async fn run(
    settings: Run,
    decisions: Settings,
    log: Logger,
    mut stop: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    let callers = bind(&settings, settings.port).await?;
    let operators = bind(&settings, settings.api_port).await?;
    let (decisions_tx, decisions_rx) = mpsc::unbounded_channel();
    let (keeper_tx, keeper_rx) = mpsc::unbounded_channel();
    let (work_tx, work_rx) = mpsc::unbounded_channel();
    let (snapshot_tx, snapshot) = watch::channel(Arc::default());
    let (boxes_tx, boxes) = watch::channel(Arc::from([]));
    let (leaving_tx, leaving) = watch::channel(false);
    let client = Client::new(settings.ip);
    let platform = Rc::new(Platform::new(client.clone(), settings.platform.clone()));
    let context = Rc::new(Context {
        metrics: Metrics::default(),
        clock: Rc::new(System::default()),
        members: Rc::new(Remotes {
            client: client.clone(),
            from: settings.ip,
        }),
        table: platform.clone(),
        roster: platform,
        client,
        decisions: decisions_tx.clone(),
        snapshot: snapshot.clone(),
        boxes: boxes.clone(),
        leaving: leaving.clone(),
        classes: Classes::default(),
        routes: Routes::default(),
        idle: Cell::new(0),
        owned: watch::channel(HashSet::new()).0,
        callers: Cell::new(0),
        settings,
        log,
    });
    let api = Arc::new(Api {
        name: context.settings.name.clone(),
        admin: context.settings.admin.clone(),
        decisions: decisions_tx,
        keeper: keeper_tx,
        work: work_tx,
        snapshot: snapshot.clone(),
        boxes,
        leaving,
        registry: context.metrics.registry(),
        nonces: AtomicU64::new(rand::random::<u32>().into()),
    });
    let owner = Rc::new(Owner::new(context.clone()));
    let log = &context.log;
    let name = &context.settings.name;
    events::emit(log, &events::STARTED, &[("box", name)]);
    let keeper = Keeper::new(context.clone(), keeper_rx, snapshot_tx, boxes_tx);
    let background = [
        tokio::task::spawn_local(Driver::new(context.clone(), decisions, decisions_rx).run()),
        tokio::task::spawn_local(keeper.run()),
        tokio::task::spawn_local(work(context.clone(), owner.clone(), work_rx)),
        tokio::task::spawn_local(reap(owner.clone())),
        tokio::task::spawn_local(serve_api(api, operators)),
    ];
    let mut configured = snapshot;
    tokio::select! {
        _ = configured.wait_for(|snapshot| snapshot.revision > 0) => {}
        _ = stop.wait_for(|stop| *stop) => return Ok(()),
    }
    events::emit(log, &events::READY, &[("box", name)]);
    let entry = Entry::new(context.clone(), owner.clone());
    let serving = tokio::task::spawn_local(entry.serve(callers));
    let _ = stop.wait_for(|stop| *stop).await;
    let _ = leaving_tx.send(true);
    events::emit(log, &events::DRAINING, &[("box", name)]);
    drain(&context, &owner).await;
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

/// Waits until the last caller is gone and nothing is held for other boxes.
async fn drain(context: &Context, owner: &Owner) {
    let end = context.now() + context.settings.drain;
    let step = Duration::from_millis(20);
    while context.now() < end && (context.callers.get() > 0 || !owner.is_idle()) {
        tokio::time::sleep(step).await;
    }
}

async fn serve_api(api: Arc<Api>, listener: TcpListener) {
    let _ = api::serve(api, listener).await;
}

async fn reap(owner: Rc<Owner>) {
    loop {
        tokio::time::sleep(REAP).await;
        let owned = owner.context.owned.borrow().clone();
        owner.close_foreign(&owned);
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
            Work::Abandon(lease) => owner.abandon(lease),
            Work::Commit(commit, reply) => {
                let table = context.table.clone();
                tokio::task::spawn_local(async move {
                    let _ = reply.send(committed(&*table, &commit).await);
                });
            }
        }
    }
}

/// Commits, asking again with the same nonce when the answer is lost.
async fn committed(table: &dyn Table, commit: &Commit) -> Result<Verdict, TableError> {
    let mut last = Err(TableError::Down("not asked".to_owned()));
    for _ in 0..COMMIT_TRIES {
        last = table.commit(commit).await;
        if last.is_ok() {
            return last;
        }
        tokio::time::sleep(COMMIT_PAUSE).await;
    }
    last
}
