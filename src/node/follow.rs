//! Passes the table's changes from the readers of a failure domain to its other boxes, their
//! followers.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use super::configuration::{Request, Sender};
use super::context::Context;
use super::peers::{self, Received};
use super::updates::{Body, Cursor, FollowAnswer, FollowRequest};
use crate::borders::roster::Listing;
use crate::borders::table::Polling;
use crate::decisions::readers::{Schedule, Settings};
use crate::declarations::snapshot::Snapshot;
use crate::events;

/// Time after which a reader answers a follower even without changes.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(600);
/// Time beyond [`MAX_ANSWER_DELAY`] after which a reader is considered lost. Includes the
/// transfer of a large change.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Interval at which a follower without an available reader looks for one.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The same while the box starts.
const RETRY_INTERVAL_AT_START: Duration = Duration::from_millis(30);

/// Answers a follower's request as soon as there are changes, on the side of the reader.
pub async fn answer_follower(
    request: FollowRequest,
    configuration: &Sender,
    mut snapshot: watch::Receiver<Arc<Snapshot>>,
    mut boxes: watch::Receiver<Arc<[Listing]>>,
) -> Option<Body> {
    let deadline = Instant::now() + MAX_ANSWER_DELAY;
    loop {
        snapshot.mark_unchanged();
        boxes.mark_unchanged();
        let (reply, answered) = oneshot::channel();
        let required = Instant::now() >= deadline;
        let _ = configuration.send(Request::Follow {
            request,
            required,
            reply,
        });
        if let Some(answer) = answered.await.ok()? {
            return Some(answer);
        }
        tokio::select! {
            changed = snapshot.changed() => changed.ok()?,
            changed = boxes.changed() => changed.ok()?,
            () = tokio::time::sleep_until(deadline) => {}
        }
    }
}

/// Follows the readers of this box's failure domain, and pauses polling the table meanwhile.
pub async fn run(context: Rc<Context>, configuration: Sender) {
    let mut boxes = context.boxes.clone();
    let mut first_readers = context.first_readers.subscribe();
    let settings = Settings::new(
        context.settings.apply_deadline,
        context.settings.first_start,
    );
    let mut follower = Follower {
        context: context.clone(),
        configuration,
        readers: Schedule::new(settings, context.now()),
        last_answers: HashMap::new(),
    };
    // Matches the mode in which the table client is started.
    context.polling.set(Polling::Paused);
    loop {
        let settings = &context.settings;
        let listed = boxes.borrow_and_update().clone();
        follower
            .readers
            .set_boxes(&listed, &settings.name, &settings.domain);
        let now = context.now();
        let chosen = first_readers.borrow_and_update().clone();
        follower
            .readers
            .set_first_readers(&chosen, &settings.name, now);
        follower.readers.start_following(now);
        follower.update_polling();
        match follower.readers.next_reader(context.now()) {
            Some(reader) => follower.ask_reader(&reader).await,
            None => {
                let interval = match follower.readers.is_starting(context.now()) {
                    true => RETRY_INTERVAL_AT_START,
                    false => RETRY_INTERVAL,
                };
                tokio::select! {
                    _ = boxes.changed() => {}
                    _ = first_readers.changed() => {}
                    () = tokio::time::sleep(interval) => {}
                }
            }
        }
    }
}

struct Follower {
    context: Rc<Context>,
    configuration: Sender,
    readers: Schedule,
    /// Last answer of each reader, by its API address.
    last_answers: HashMap<Arc<str>, LastAnswer>,
}

/// State of a reader as of its last answer.
struct LastAnswer {
    cursor: Cursor,
    digest: u64,
    /// Digest of this box's rows after it applied all of the reader's rows, if it still differed.
    resynced: Option<u64>,
}

impl LastAnswer {
    /// Returns the cursor to continue from; none to request all rows. All rows are requested until
    /// they were applied once if the digests differ, as this box may hold a row that the reader
    /// never had, which no change of the reader would correct.
    fn next_cursor(&self, digest: u64) -> Option<Cursor> {
        let continues = self.digest == digest || self.resynced == Some(digest);
        continues.then_some(self.cursor)
    }
}

impl Follower {
    /// Pauses or resumes polling the table, depending on the readers' answers.
    fn update_polling(&self) {
        let polling = self.readers.polling(self.context.now());
        let before = self.context.polling.replace(polling);
        if before == polling {
            return;
        }
        self.context.table.set_polling(polling);
        let until = self.readers.paused_until();
        let fields: [(_, &dyn std::fmt::Display); 2] =
            [("pace", &polling), ("good_until_ms", &until.as_millis())];
        events::emit(&self.context.log, &events::POLLING_CHANGED, &fields);
    }

    /// Asks a reader for changes. Resumes polling the table if the known state becomes stale before
    /// the answer arrives, or a first transfer of all rows stops.
    async fn ask_reader(&mut self, reader: &Arc<str>) {
        let context = self.context.clone();
        let Some(request) = self.create_request(reader).await else {
            return self.readers.record_failure(reader, context.now());
        };
        let progress = watch::Sender::new(0);
        let timeout = MAX_ANSWER_DELAY + ANSWER_MARGIN;
        let answer = peers::follow(&context, reader, &request, timeout, &progress);
        tokio::pin!(answer);
        let answer = loop {
            let received = *progress.borrow();
            let paused_until = self.readers.paused_until();
            let time_left = paused_until.saturating_sub(context.now());
            let answered = tokio::time::timeout(time_left, &mut answer).await;
            if let Ok(answer) = answered {
                break answer;
            }
            if *progress.borrow() == received {
                self.update_polling();
                break answer.await;
            }
            self.readers.record_progress(context.now());
        };
        match answer {
            Some(answer) => self.apply_answer(reader, &request, answer).await,
            None => self.readers.record_failure(reader, context.now()),
        }
    }

    /// Records when the readers last confirmed this box's state.
    fn record_confirmation(&self) {
        let confirmed = self.readers.current_at();
        if let Some(at) = confirmed {
            let age = self.context.now().saturating_sub(at);
            self.context.metrics.record_confirmation(age);
        }
        self.context.confirmed_by_readers.set(confirmed);
    }

    /// Creates the next request to a reader; none if the configuration's updater has stopped.
    async fn create_request(&mut self, reader: &Arc<str>) -> Option<FollowRequest> {
        let (reply, state) = oneshot::channel();
        let _ = self.configuration.send(Request::Digest { reply });
        let (digest, boxes) = state.await.ok()?;
        Some(FollowRequest {
            cursor: self
                .last_answers
                .get(reader)
                .and_then(|last| last.next_cursor(digest)),
            digest,
            boxes,
        })
    }

    /// Applies an answer. It confirms this box's state only if both boxes then have the same rows.
    async fn apply_answer(
        &mut self,
        reader: &Arc<str>,
        request: &FollowRequest,
        received: Received<FollowAnswer>,
    ) {
        let Received { answer, arrived } = received;
        let (cursor, digest, heard_ms) = (answer.cursor, answer.digest, answer.heard_ms);
        let (reply, applied) = oneshot::channel();
        let _ = self
            .configuration
            .send(Request::ReaderAnswer { answer, reply });
        let Ok(own_digest) = applied.await else {
            return self.readers.record_failure(reader, self.context.now());
        };
        let before = self.last_answers.remove(reader);
        let resynced = match request.cursor {
            _ if own_digest == digest => None,
            None => Some(own_digest),
            Some(_) => before.and_then(|last| last.resynced),
        };
        let last = LastAnswer {
            cursor,
            digest,
            resynced,
        };
        let requests_all_next = last.next_cursor(own_digest).is_none();
        self.last_answers.insert(reader.clone(), last);
        let heard = heard_ms.map(Duration::from_millis);
        if heard.is_some() && requests_all_next {
            return;
        }
        let confirmed = heard.filter(|_| own_digest == digest);
        let age = confirmed.map(|heard| heard + arrived.elapsed());
        self.readers.record_answer(reader, age, self.context.now());
        self.record_confirmation();
    }
}
