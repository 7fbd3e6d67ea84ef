//! `larkfall serve`: runs a box on the users' platform, configured by a settings file.

use std::sync::Arc;

use anyhow::Context as _;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::reload::Reload;
use super::{Exit, print_findings, stop_signal};
use crate::configs::run::Run;
use crate::declarations::finding::Finding;
use crate::events;
use crate::node;
use crate::platform::{node_file, ports, ready};

/// Runs a box with the settings file at `path`.
pub async fn run(path: Option<String>, metrics_port: Option<u16>) -> anyhow::Result<Exit> {
    let read = path.ok_or_else(missing_path);
    let read = read.and_then(|path| Ok((node_file::File::read(&path)?, path)));
    let (file, path) = match read {
        Ok(read) => read,
        Err(findings) => {
            print_findings(&findings);
            return Ok(Exit::BadInput);
        }
    };
    let run = Run {
        metrics_port,
        ..file.run_settings()
    };
    let log = events::logger(run.log);
    let ready_address = file.listen_addrs.ready;
    let listener = TcpListener::bind(ready_address).await;
    let listener = listener.with_context(|| format!("can't listen on {ready_address}"))?;
    let (ready_tx, ready_rx) = watch::channel(false);
    tokio::task::spawn_local(async move {
        if let Err(error) = ready::serve(listener, ready_rx).await {
            eprintln!("readiness endpoint stopped: {error}");
        }
    });
    let mut ports = ports::platform(&file, &run, &log);
    ports.ready = Some(ready_tx);
    let group_settings = file.group_settings();
    let (live_tx, live) = watch::channel(Arc::new(file.live_settings()));
    ports.live = Some(live);
    let reload = Reload {
        path,
        file,
        log: log.clone(),
        metrics: ports.metrics.clone(),
        live: live_tx,
    };
    reload.start()?;
    node::run::run(run, group_settings, ports, log, stop_signal()?).await?;
    Ok(Exit::Done)
}

fn missing_path() -> Vec<Finding> {
    vec![finding(node_file::PATH_VARIABLE, "names no settings file")]
}

fn finding(origin: &str, message: &str) -> Finding {
    Finding {
        file: origin.into(),
        line: None,
        field: "settings".to_owned(),
        message: message.to_owned(),
    }
}
