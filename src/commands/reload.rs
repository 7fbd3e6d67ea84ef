//! Settings that change while a box runs: read again on SIGHUP, or when the file was written.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use slog::Logger;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::configs::live::Live;
use crate::declarations::finding::Finding;
use crate::events;
use crate::metrics::Metrics;
use crate::platform::node_file::File;

/// Time between two looks whether the file was written without a signal: a change is taken
/// within a few seconds, for one look at the file's date.
const LOOK: Duration = Duration::from_secs(5);

/// Keeps a running box's settings up with their file.
pub struct Reload {
    pub path: String,
    /// As last taken.
    pub file: File,
    pub log: Logger,
    pub metrics: Rc<Metrics>,
    pub live: watch::Sender<Arc<Live>>,
}

impl Reload {
    /// Starts to listen for the signal and to look at the file.
    ///
    /// # Errors
    ///
    /// When the signal cannot be listened for.
    pub fn start(self) -> std::io::Result<()> {
        let hangup = signal(SignalKind::hangup())?;
        tokio::task::spawn_local(self.keep_up(hangup));
        Ok(())
    }

    async fn keep_up(mut self, mut hangup: Signal) {
        let mut written = self.written();
        loop {
            let signalled = tokio::select! {
                signal = hangup.recv() => signal.is_some(),
                () = tokio::time::sleep(LOOK) => false,
            };
            let now = self.written();
            if signalled || now != written {
                self.read();
            }
            written = now;
        }
    }

    /// When the file was last written, where that can be told.
    fn written(&self) -> Option<SystemTime> {
        std::fs::metadata(&self.path).ok()?.modified().ok()
    }

    fn read(&mut self) {
        match File::read(&self.path) {
            Ok(file) => self.take(file),
            Err(findings) => self.refuse(&findings),
        }
    }

    /// Takes what may change; a file that holds anything wrong is not taken at all.
    fn take(&mut self, file: File) {
        let (taken, held) = self.file.changed_fields(&file);
        let fields: [(_, &dyn std::fmt::Display); 2] =
            [("taken", &taken.join(" ")), ("held", &held.join(" "))];
        events::emit(&self.log, &events::SETTINGS_RELOADED, &fields);
        self.metrics.count_settings_read("taken");
        self.live.send_replace(Arc::new(file.live_settings()));
        // Fields that hold are compared with those of the start.
        self.file = self.file.with_live_fields(&file);
    }

    fn refuse(&self, findings: &[Finding]) {
        self.metrics.count_settings_read("refused");
        for finding in findings {
            let fields: [(_, &dyn std::fmt::Display); 2] =
                [("field", &finding.field), ("error", &finding.message)];
            events::emit(&self.log, &events::INVALID_SETTINGS, &fields);
        }
    }
}
