//! Since when changes of a source may have gone unnoticed.

use std::time::Duration;

use tokio::time::Instant;

use super::cache::Written;
use crate::http::SILENCE;

/// The time for which a source was not kept up.
#[derive(Debug, Default)]
pub struct Gap {
    /// The source was read before.
    read: bool,
    since: Option<Instant>,
}

impl Gap {
    /// Changes may have gone unnoticed since then.
    pub fn open(&mut self, since: Instant) {
        self.since = Some(self.since.map_or(since, |known| known.min(since)));
    }

    /// A question that was asked then, and may wait for this long, brought no answer.
    ///
    /// A connection that ends may have been silent before, for as long as it takes to
    /// notice; a store that holds an answer back past the wait may have done so from the
    /// question on.
    pub fn missed(&mut self, asked: Instant, wait: Duration) {
        let overdue = asked.elapsed() > wait;
        let silent = Instant::now().checked_sub(SILENCE);
        self.open(silent.filter(|_| !overdue).unwrap_or(asked));
    }

    /// The source has answered: when its news was written at the earliest.
    pub fn close(&mut self) -> Written {
        let since = self.since.take();
        match std::mem::replace(&mut self.read, true) {
            true => Written::After(since.unwrap_or_else(Instant::now)),
            false => Written::Ever,
        }
    }
}
