//! One file per command.

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

/// Takes requests to read settings again where all of them hold from start to stop. They must
/// not end the process, which is what they do when nobody listens.
///
/// # Errors
///
/// When the signal cannot be listened for.
fn hold_settings(log: &Logger) -> std::io::Result<()> {
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

/// Turns true when the process is told to stop.
///
/// # Errors
///
/// When the signals cannot be listened for.
fn stopped() -> std::io::Result<watch::Receiver<bool>> {
    let (stop, stopped) = watch::channel(false);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
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
