//! Since when changes of a source may have gone unnoticed.

use std::time::Duration;

use tokio::time::Instant;

use super::cache::Written;
use crate::http::SILENCE;

/// Time in which what an older copy of the store lacks is written again: members write about
/// every second, and tell a change at once.
const REWRITTEN: Duration = Duration::from_secs(4);

/// The time for which a source was not kept up.
#[derive(Debug, Default)]
pub struct Gap {
    /// The source was read before.
    read: bool,
    since: Option<Instant>,
    /// News may have been written before the store came back as an older copy.
    lost: Option<Lost>,
}

/// What an older copy lacks.
#[derive(Clone, Copy, Debug)]
struct Lost {
    /// When it was written, at the earliest.
    since: Instant,
    /// When all of it is written again.
    until: Instant,
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

    /// The store came back as an older copy: what was written since the source was last kept
    /// up may be written again, and is then older than its news.
    pub fn turn(&mut self) {
        let now = Instant::now();
        let since = self.since.unwrap_or(now);
        let until = now + REWRITTEN;
        self.lost = Some(Lost { since, until });
    }

    /// The source has answered: when its news was written at the earliest.
    pub fn close(&mut self) -> Written {
        let now = Instant::now();
        self.lost = self.lost.filter(|lost| now < lost.until);
        let missed = self.since.take().unwrap_or(now);
        let since = self.lost.map_or(missed, |lost| lost.since.min(missed));
        match std::mem::replace(&mut self.read, true) {
            true => Written::After(since),
            false => Written::Ever,
        }
    }
}
