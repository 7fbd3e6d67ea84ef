//! `larkfall run`: a whole box.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use super::{Exit, print_findings};
use crate::configs::run::{Run, Source};
use crate::decisions::group::Settings;
use crate::events;
use crate::node;

pub async fn run(source: Source<'_>) -> anyhow::Result<Exit> {
    let settings = match Run::read(source) {
        Ok(settings) => settings,
        Err(findings) => {
            print_findings(&findings);
            return Ok(Exit::BadInput);
        }
    };
    let log = events::logger(settings.log);
    let (stop_tx, stop) = watch::channel(false);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        let _ = stop_tx.send(true);
        std::future::pending::<()>().await;
    });
    node::run::run(settings, Settings::default(), log, stop).await?;
    Ok(Exit::Done)
}
