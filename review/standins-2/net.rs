//! The disruption of links: which boxes are cut off from which stand-in, and since when.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Links into one stand-in. A cut holds up the bytes of open connections, which arrive once it
/// heals; a connection that is opened during a cut never comes about.
#[derive(Clone, Default)]
pub struct Links {
    cuts: Arc<Mutex<HashMap<IpAddr, Vec<(Instant, Option<Instant>)>>>>,
    healed: Arc<Condvar>,
}

impl Links {
    pub fn cut(&self, from: &[Ipv4Addr]) {
        let mut cuts = self.cuts.lock().unwrap();
        for ip in from {
            let spans = cuts.entry(IpAddr::V4(*ip)).or_default();
            spans.push((Instant::now(), None));
        }
    }

    pub fn heal(&self) {
        let now = Instant::now();
        let mut cuts = self.cuts.lock().unwrap();
        for span in cuts.values_mut().flatten() {
            span.1 = span.1.or(Some(now));
        }
        self.healed.notify_all();
    }

    /// Waits while the link from `ip` is cut. Returns whether it waited.
    pub fn pass(&self, ip: IpAddr) -> bool {
        let is_cut = |cuts: &HashMap<IpAddr, Vec<(Instant, Option<Instant>)>>| {
            let spans = cuts.get(&ip).into_iter().flatten();
            spans.into_iter().any(|span| span.1.is_none())
        };
        let mut cuts = self.cuts.lock().unwrap();
        let waited = is_cut(&cuts);
        while is_cut(&cuts) {
            cuts = self.healed.wait(cuts).unwrap();
        }
        waited
    }

    /// Whether the link from `ip` was cut within `slack` before `moment`.
    pub fn was_cut(&self, ip: Ipv4Addr, moment: Instant, slack: Duration) -> bool {
        let cuts = self.cuts.lock().unwrap();
        let spans = cuts.get(&IpAddr::V4(ip)).into_iter().flatten();
        spans
            .into_iter()
            .any(|(from, to)| *from <= moment && to.is_none_or(|to| moment < to + slack))
    }
}

/// A loopback network of its own for each run.
pub fn network() -> (u8, u8) {
    let id = std::process::id();
    (30 + (id % 200) as u8, (id / 200 % 250) as u8)
}

pub fn ip(last: u8) -> Ipv4Addr {
    let (second, third) = network();
    Ipv4Addr::new(127, second, third, last)
}
