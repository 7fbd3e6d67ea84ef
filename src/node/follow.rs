//! Passes on what the table holds, from the boxes that read it to the others of their
//! failure domain.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use super::configuration::{Request, Sender};
use super::context::Context;
use super::peers;
use super::updates::{Cursor, FollowAnswer, FollowRequest};
use crate::borders::roster::Listing;
use crate::borders::table::Polling;
use crate::decisions::readers::{Schedule, Settings};
use crate::declarations::snapshot::Snapshot;
use crate::events;

/// Time after which a question without news is answered.
const WAIT: Duration = Duration::from_millis(600);
/// Time beyond it after which the reader is held to be gone: a way there and back, and
/// a change of a few hundred kilobytes.
const MARGIN: Duration = Duration::from_millis(500);
/// Pause while there is no reader to ask.
const PAUSE: Duration = Duration::from_millis(300);
/// The same while the box starts.
const START_PAUSE: Duration = Duration::from_millis(30);

/// Answers a follower as soon as there is news.
pub async fn answer_follower(
    state: FollowRequest,
    keeper: &Sender,
    mut snapshot: watch::Receiver<Arc<Snapshot>>,
    mut boxes: watch::Receiver<Arc<[Listing]>>,
) -> Option<FollowAnswer> {
    let end = Instant::now() + WAIT;
    loop {
        snapshot.mark_unchanged();
        boxes.mark_unchanged();
        let (reply, answered) = oneshot::channel();
        let _ = keeper.send(Request::Follow {
            request: state,
            reply,
        });
        let answer = answered.await.ok()?;
        if answer.has_changes_for(&state) || Instant::now() >= end {
            return Some(answer);
        }
        tokio::select! {
            changed = snapshot.changed() => changed.ok()?,
            changed = boxes.changed() => changed.ok()?,
            () = tokio::time::sleep_until(end) => {}
        }
    }
}

/// Asks the readers of this failure domain in turn, and has the table rest meanwhile.
pub async fn run(context: Rc<Context>, keeper: Sender) {
    let mut boxes = context.boxes.clone();
    let settings = Settings::new(context.settings.apply, context.settings.first_start);
    let mut follower = Follower {
        context: context.clone(),
        keeper,
        readers: Schedule::new(settings, context.now()),
        told: HashMap::new(),
    };
    // As the table is started.
    context.pace.set(Polling::Paused);
    loop {
        let settings = &context.settings;
        let listed = boxes.borrow_and_update().clone();
        follower
            .readers
            .set_boxes(&listed, &settings.name, &settings.domain);
        follower.set_pace();
        match follower.readers.next_reader(context.now()) {
            Some(reader) => follower.ask_in_time(&reader).await,
            None => {
                let pause = match follower.readers.is_starting(context.now()) {
                    true => START_PAUSE,
                    false => PAUSE,
                };
                let _ = tokio::time::timeout(pause, boxes.changed()).await;
            }
        }
    }
}

struct Follower {
    context: Rc<Context>,
    keeper: Sender,
    readers: Schedule,
    /// By reader.
    told: HashMap<Arc<str>, Told>,
}

/// What a reader has told last.
struct Told {
    cursor: Cursor,
    digest: u64,
    /// Own digest with which all rows were asked for, since the reader's differed.
    compared: Option<u64>,
}

impl Told {
    /// Where the reader goes on; from the start where both should have the same rows and
    /// have not: a row that the reader never knew can't be among its changes.
    fn cursor(&mut self, digest: u64) -> Option<Cursor> {
        if self.digest == digest || self.compared == Some(digest) {
            return Some(self.cursor);
        }
        self.compared = Some(digest);
        None
    }
}

impl Follower {
    fn set_pace(&self) {
        let pace = self.readers.polling(self.context.now());
        let before = self.context.pace.replace(pace);
        if before == pace {
            return;
        }
        self.context.table.set_polling(pace);
        let until = self.readers.paused_until();
        let fields: [(_, &dyn std::fmt::Display); 2] =
            [("pace", &pace), ("good_until_ms", &until.as_millis())];
        events::emit(&self.context.log, &events::PACE, &fields);
    }

    /// Asks one reader; the table is read again as soon as what is known grows stale.
    async fn ask_in_time(&mut self, reader: &Arc<str>) {
        let context = self.context.clone();
        let stale = self.readers.paused_until();
        let Some(question) = self.question(reader).await else {
            return self.readers.record_failure(reader, context.now());
        };
        let left = stale.saturating_sub(context.now());
        let answer = {
            let asked = peers::follow(&context, reader, &question, WAIT + MARGIN);
            tokio::pin!(asked);
            match tokio::time::timeout(left, &mut asked).await {
                Ok(answer) => answer,
                Err(_) => {
                    self.set_pace();
                    asked.await
                }
            }
        };
        match answer {
            Some(answer) => self.take(reader, answer),
            None => self.readers.record_failure(reader, context.now()),
        }
    }

    /// What is asked of a reader; none when the keeper has ended.
    async fn question(&mut self, reader: &Arc<str>) -> Option<FollowRequest> {
        let (reply, known) = oneshot::channel();
        let _ = self.keeper.send(Request::Digest { reply });
        let (digest, boxes) = known.await.ok()?;
        Some(FollowRequest {
            cursor: self
                .told
                .get_mut(reader)
                .and_then(|told| told.cursor(digest)),
            digest,
            boxes,
        })
    }

    fn take(&mut self, reader: &Arc<str>, answer: FollowAnswer) {
        let age = answer.heard_ms.map(Duration::from_millis);
        let before = self.told.remove(reader);
        let told = Told {
            cursor: answer.cursor,
            digest: answer.digest,
            compared: before.and_then(|told| told.compared),
        };
        self.told.insert(reader.clone(), told);
        self.readers.record_answer(reader, age, self.context.now());
        let _ = self.keeper.send(Request::ReaderAnswer(answer));
    }
}
