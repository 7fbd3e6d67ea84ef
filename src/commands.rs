//! The commands of the program, one module each, with what they share.

pub mod check;
pub mod demo;
pub mod operate;
mod reload;
pub mod run;
pub mod serve;
pub mod standin;

use slog::Logger;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::declarations::finding::Finding;
use crate::events;

/// Result of a command; the values are the process's exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    Done = 0,
    Failed = 1,
    /// The input was invalid: nothing was started or sent.
    BadInput = 2,
}

/// Prints findings to standard error.
pub fn print_findings(findings: &[Finding]) {
    for finding in findings {
        eprintln!("{finding}");
    }
}

/// Logs and otherwise ignores SIGHUP, for a command whose settings can't change while it runs.
/// Without a handler the signal would end the process.
///
/// # Errors
///
/// Returns an error if the handler can't be installed.
fn ignore_hangup(log: &Logger) -> std::io::Result<()> {
    let log = log.clone();
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::task::spawn_local(async move {
        while hangup.recv().await.is_some() {
            events::emit(
                &log,
                &events::SETTINGS_RELOADED,
                &[("taken", &""), ("held", &"all")],
            );
        }
    });
    Ok(())
}

/// Returns a channel whose value becomes true on SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the handlers can't be installed.
fn stop_signal() -> std::io::Result<watch::Receiver<bool>> {
    let (stop_tx, stop_rx) = watch::channel(false);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        let _ = stop_tx.send(true);
        // Keeps the sender alive: receivers get an error once it is dropped.
        std::future::pending::<()>().await;
    });
    Ok(stop_rx)
}
