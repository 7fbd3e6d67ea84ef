//! Reloads the settings file of a running box on SIGHUP or when the file has changed.

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

/// Interval at which the file's modification time is checked, for changes without a signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Applies changes of the settings file to a running box.
pub struct Reload {
    pub path: String,
    /// The settings in force, with startup values for those that need a restart.
    pub file: File,
    pub log: Logger,
    pub metrics: Rc<Metrics>,
    pub live: watch::Sender<Arc<Live>>,
}

impl Reload {
    /// Starts to watch for the signal and for changes of the file.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handler can't be installed.
    pub fn start(self) -> std::io::Result<()> {
        let hangup = signal(SignalKind::hangup())?;
        tokio::task::spawn_local(self.run(hangup));
        Ok(())
    }

    async fn run(mut self, mut hangup: Signal) {
        let mut modified = self.modified();
        loop {
            let signalled = tokio::select! {
                signal = hangup.recv() => signal.is_some(),
                () = tokio::time::sleep(FILE_CHECK_INTERVAL) => false,
            };
            let now = self.modified();
            if signalled || now != modified {
                self.reload();
            }
            modified = now;
        }
    }

    /// Returns the file's modification time, if it can be read.
    fn modified(&self) -> Option<SystemTime> {
        std::fs::metadata(&self.path).ok()?.modified().ok()
    }

    fn reload(&mut self) {
        match File::read(&self.path) {
            Ok(file) => self.apply(file),
            Err(findings) => self.report(&findings),
        }
    }

    /// Puts the settings that can change into force and logs those that need a restart.
    fn apply(&mut self, file: File) {
        let (applied, deferred) = self.file.changed_fields(&file);
        let fields: [(_, &dyn std::fmt::Display); 2] =
            [("taken", &applied.join(" ")), ("held", &deferred.join(" "))];
        events::emit(&self.log, &events::SETTINGS_RELOADED, &fields);
        self.metrics.count_settings_read("taken");
        self.live.send_replace(Arc::new(file.live_settings()));
        // Fields that need a restart keep their startup values for later comparisons.
        self.file = self.file.with_live_fields(&file);
    }

    /// Logs the findings of a file that is not applied.
    fn report(&self, findings: &[Finding]) {
        self.metrics.count_settings_read("refused");
        for finding in findings {
            let fields: [(_, &dyn std::fmt::Display); 2] =
                [("field", &finding.field), ("error", &finding.message)];
            events::emit(&self.log, &events::INVALID_SETTINGS, &fields);
        }
    }
}
