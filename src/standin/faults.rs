//! Faults that tests inject into a stand-in, and the gate that applies them to requests.

use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Injected faults; none by default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Requests wait until this is unset.
    pub frozen: bool,
    /// Prefixes of IP addresses that are cut off, such as `127.0.2.`. Their requests wait.
    pub cut: Vec<String>,
    /// Delay of each request and each answer between failure domains, in milliseconds. Addresses
    /// of one failure domain share the first three numbers.
    pub delay_ms: u64,
    /// Requests are carried out, but not answered.
    pub drop_answers: bool,
    /// Requests are refused without delay.
    pub refuse: bool,
    /// Part of the previous answer that is sent again before each answer to a statement.
    pub repeat: Option<Repeat>,
    /// Time after which each answer to a statement is sent again, unless another statement
    /// arrives first.
    pub repeat_idle_ms: Option<u64>,
    /// Notices, parameters and notifications are sent before and after each answer to a
    /// statement.
    pub unasked: bool,
}

/// The part of an answer that a member repeats.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Repeat {
    Whole,
    /// The completion of the last command.
    Complete,
    /// The announcement that the member is ready.
    Ready,
}

/// The current faults of a stand-in. Servers call [`Gate::enter`] before they handle a request
/// and [`Gate::leave`] before they answer.
#[derive(Clone)]
pub struct Gate {
    ip: IpAddr,
    faults: Arc<Mutex<Faults>>,
    changed: Arc<Notify>,
}

impl Gate {
    /// Creates the gate of a stand-in that listens on `ip`.
    pub fn new(ip: IpAddr) -> Self {
        Self {
            ip,
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

    /// Waits while the stand-in is frozen or cut off from `peer`, then for the delay.
    pub async fn enter(&self, peer: IpAddr) {
        self.wait_until_reachable(peer).await;
        let delay = self.get().delay_ms;
        if delay > 0 && !self.is_in_same_domain(peer) {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
    }

    /// Waits like [`Gate::enter`], and for as long as answers are dropped.
    pub async fn leave(&self, peer: IpAddr) {
        self.enter(peer).await;
        while self.get().drop_answers {
            self.wait_for_change().await;
        }
    }

    /// Whether the peer is in the same failure domain.
    fn is_in_same_domain(&self, peer: IpAddr) -> bool {
        match (self.ip, peer) {
            (IpAddr::V4(ip), IpAddr::V4(peer)) => ip.octets()[..3] == peer.octets()[..3],
            _ => true,
        }
    }

    async fn wait_until_reachable(&self, peer: IpAddr) {
        while self.blocks(peer) {
            self.wait_for_change().await;
        }
    }

    fn blocks(&self, peer: IpAddr) -> bool {
        let faults = self.get();
        let peer_ip = peer.to_string();
        faults.frozen || faults.cut.iter().any(|prefix| peer_ip.starts_with(prefix))
    }

    async fn wait_for_change(&self) {
        // A change between the caller's check and this wait isn't notified.
        let recheck_interval = Duration::from_millis(20);
        let _ = tokio::time::timeout(recheck_interval, self.changed.notified()).await;
    }
}
