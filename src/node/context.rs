//! What is handed down to every part of a box.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use tokio::sync::watch;

use super::message::Sender;
use super::routes::{Classes, Routes};
use crate::borders::clock::Clock;
use crate::borders::member::Members;
use crate::borders::roster::{Listing, Roster};
use crate::borders::table::Table;
use crate::configs::run::Run;
use crate::declarations::snapshot::Snapshot;
use crate::http::Client;
use crate::metrics::Metrics;

/// One per box, shared by all its tasks.
pub struct Context {
    pub settings: Run,
    pub log: Logger,
    pub metrics: Metrics,
    pub clock: Rc<dyn Clock>,
    pub members: Rc<dyn Members>,
    pub table: Rc<dyn Table>,
    pub roster: Rc<dyn Roster>,
    pub client: Client,
    /// The way to the loop that owns the decisions.
    pub decisions: Sender,
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    pub boxes: watch::Receiver<Arc<[Listing]>>,
    /// True from the moment the box leaves.
    pub leaving: watch::Receiver<bool>,
    pub classes: Classes,
    pub routes: Routes,
    /// Connections to members that nobody uses now.
    pub idle: Cell<usize>,
    /// SQL addresses of the members of owned groups.
    pub owned: watch::Sender<HashSet<Arc<str>>>,
    /// Callers connected now.
    pub callers: Cell<usize>,
}

impl Context {
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The box's own entry in the list of boxes.
    pub fn own_api_address(&self) -> String {
        format!("{}:{}", self.settings.ip, self.settings.api_port)
    }
}
