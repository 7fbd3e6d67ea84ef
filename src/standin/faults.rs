//! Faults that a stand-in can be switched to, and the gate that brings them about.

use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// What is wrong with a stand-in. All off by default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers nobody while set.
    pub frozen: bool,
    /// Prefixes of IP numbers that get no answer, as `127.0.2.`.
    pub cut: Vec<String>,
    /// One way between failure domains (other prefixes of three numbers), in milliseconds.
    pub delay_ms: u64,
    /// Answers are thrown away after the work is done.
    pub drop_answers: bool,
    /// Requests are refused at once.
    pub refuse: bool,
}

/// Shared switch. Whoever serves passes through [`Gate::enter`] and [`Gate::leave`].
#[derive(Clone)]
pub struct Gate {
    own: IpAddr,
    faults: Arc<Mutex<Faults>>,
    changed: Arc<Notify>,
}

impl Gate {
    /// The gate of a stand-in that listens on `own`.
    pub fn new(own: IpAddr) -> Self {
        Self {
            own,
            faults: Arc::default(),
            changed: Arc::default(),
        }
    }

    pub fn set(&self, faults: Faults) {
        *self.faults.lock().expect("no panic under the lock") = faults;
        self.changed.notify_waiters();
    }

    pub fn get(&self) -> Faults {
        self.faults.lock().expect("no panic under the lock").clone()
    }

    /// Waits while the stand-in is frozen or cut off from `peer`.
    pub async fn enter(&self, peer: IpAddr) {
        self.open(peer).await;
        let delay = self.get().delay_ms;
        if delay > 0 && !self.is_near(peer) {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
    }

    /// The way back: the same waits, and nothing at all when answers are dropped.
    pub async fn leave(&self, peer: IpAddr) {
        self.enter(peer).await;
        while self.get().drop_answers {
            self.wait().await;
        }
    }

    /// Whether a caller is in the same failure domain.
    fn is_near(&self, peer: IpAddr) -> bool {
        match (self.own, peer) {
            (IpAddr::V4(own), IpAddr::V4(peer)) => own.octets()[..3] == peer.octets()[..3],
            _ => true,
        }
    }

    async fn open(&self, peer: IpAddr) {
        while self.blocks(peer) {
            self.wait().await;
        }
    }

    fn blocks(&self, peer: IpAddr) -> bool {
        let faults = self.get();
        let text = peer.to_string();
        faults.frozen || faults.cut.iter().any(|prefix| text.starts_with(prefix))
    }

    async fn wait(&self) {
        let again = Duration::from_millis(20);
        let _ = tokio::time::timeout(again, self.changed.notified()).await;
    }
}
