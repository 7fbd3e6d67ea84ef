//! One file per command.

pub mod check;
pub mod demo;
pub mod operate;
pub mod run;
pub mod serve;
pub mod standin;

use slog::Logger;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::declarations::finding::Finding;
use crate::events;

/// How a command ended, as the process's exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    Done = 0,
    Failed = 1,
    /// Nothing was started or sent.
    BadInput = 2,
}

/// Prints findings to standard error.
pub fn print_findings(findings: &[Finding]) {
    for finding in findings {
        eprintln!("{finding}");
    }
}

/// Turns true when the process is told to stop.
///
/// # Errors
///
/// When the signals cannot be listened for.
fn stopped(log: &Logger) -> std::io::Result<watch::Receiver<bool>> {
    let log = log.clone();
    let (stop, stopped) = watch::channel(false);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::task::spawn_local(async move {
        // Settings hold from start to stop: a request to reload changes nothing, and
        // must not end the process, which is what it does when nobody listens.
        while hangup.recv().await.is_some() {
            events::emit(&log, &events::RELOAD, &[]);
        }
    });
    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        let _ = stop.send(true);
        std::future::pending::<()>().await;
    });
    Ok(stopped)
}
