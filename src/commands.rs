//! One file per command.

pub mod check;
pub mod demo;
pub mod operate;
pub mod run;
pub mod serve;
pub mod standin;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::declarations::finding::Finding;

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
