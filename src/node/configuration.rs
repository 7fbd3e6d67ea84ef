//! Keeps the declarations in force: polls the table's head, fetches what is newer,
//! and passes news between peers. A box never steps back in revision.

mod departures;
mod store;

use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use rand::seq::IndexedRandom;
use tokio::sync::{mpsc, oneshot, watch};

use super::context::Context;
use super::message::Message;
use super::peers;
use super::updates::{Cursor, FollowAnswer, FollowRequest, ScanRequest, Update};
use crate::borders::roster::Listing;
use crate::borders::table::{Revision, Scan, Section};
use crate::declarations::resource::Key;
use crate::declarations::snapshot::{Manner, Snapshot};
use crate::events;

pub use departures::Departures;
pub use store::Store;

pub const PRIMARY_PREFIX: &str = "primary/";
/// Peers are asked when the table has given no answer for this long: when all boxes
/// start together, the table answers before any peer does.
const PEER_AFTER: Duration = Duration::from_millis(600);
/// Peers that are asked how long ago a member left: one of them may have just started too.
const PEERS_ASKED: usize = 3;
/// Peers that a box asks once, when it has read the table after its start: one of them may have
/// just started too.
const PEERS_COMPARED: usize = 2;
/// Members that one piece of news names in the log: when the store comes back, the entries of
/// all may have lapsed.
const MOST_NAMED: usize = 20;

/// Where rows came from, as logs name it.
#[derive(Clone, Debug)]
enum Origin {
    Table,
    /// A box at this address.
    Peer(Arc<str>),
    /// A reader of the table, which this box follows.
    Reader,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Origin::Table => f.write_str("table"),
            Origin::Peer(address) => write!(f, "peer {address}"),
            Origin::Reader => f.write_str("reader"),
        }
    }
}

/// What is said to the keeper.
#[derive(Debug)]
pub enum Request {
    /// Rows after a revision, for a peer or a watcher.
    Scan {
        request: ScanRequest,
        reply: oneshot::Sender<Scan>,
    },
    Update(Update),
    /// What a follower lacks of the rows and of the list of boxes.
    Follow {
        request: FollowRequest,
        reply: oneshot::Sender<FollowAnswer>,
    },
    /// Digest of all rows, and revision of the list of boxes.
    Digest {
        reply: oneshot::Sender<(u64, Revision)>,
    },
    /// What a reader of the table has passed on.
    ReaderAnswer(FollowAnswer),
    /// Look at the table now.
    Poll,
}

pub type Sender = mpsc::UnboundedSender<Request>;

/// What a peer has answered; none if it has not.
enum Heard {
    Rows {
        peer: Arc<str>,
        since: Revision,
        scan: Option<Scan>,
    },
    Boxes(Option<Vec<Listing>>),
}

/// The keeper of the configuration on one box.
pub struct Updater {
    context: Rc<Context>,
    inbox: mpsc::UnboundedReceiver<Request>,
    store: Store,
    departures: Departures,
    /// When the table was last looked at.
    looked: Option<Duration>,
    snapshot: watch::Sender<Arc<Snapshot>>,
    boxes: watch::Sender<Arc<[Listing]>>,
    table_up: bool,
    /// When the table was last found to give no answer.
    down_since: Duration,
    /// Tag of the list of boxes that is known.
    tag: String,
    boxes_revision: Revision,
    /// Names this start of the box.
    epoch: u64,
    /// Questions to peers under way. The keeper goes on meanwhile: a wait for a silent peer
    /// would hold up a change that the table has told, by 0.4 s as seen in logs.
    questions: FuturesUnordered<LocalBoxFuture<'static, Heard>>,
    /// Peers that are asked for rows now.
    asked: BTreeSet<Arc<str>>,
    /// What was read at the start was compared with what others know.
    compared: bool,
}

impl Updater {
    pub fn new(
        context: Rc<Context>,
        inbox: mpsc::UnboundedReceiver<Request>,
        snapshot: watch::Sender<Arc<Snapshot>>,
        boxes: watch::Sender<Arc<[Listing]>>,
    ) -> Self {
        Self {
            context,
            inbox,
            store: Store::default(),
            departures: Departures::default(),
            looked: None,
            snapshot,
            boxes,
            table_up: true,
            down_since: Duration::ZERO,
            tag: String::new(),
            boxes_revision: Revision::NONE,
            epoch: rand::random(),
            questions: FuturesUnordered::new(),
            asked: BTreeSet::new(),
            compared: false,
        }
    }

    pub async fn run(mut self) {
        let table = self.context.table.clone();
        loop {
            self.poll().await;
            let news = table.wait_for_changes(self.jittered());
            tokio::pin!(news);
            loop {
                tokio::select! {
                    request = self.inbox.recv() => match request {
                        Some(request) => self.take(request).await,
                        None => return,
                    },
                    Some(heard) = self.questions.next() => self.hear(heard),
                    () = &mut news => break,
                }
            }
        }
    }

    /// What a follower does not have yet.
    fn follow(&self, state: &FollowRequest) -> FollowAnswer {
        let cursor = Cursor {
            epoch: self.epoch,
            taken: self.store.sequence(),
        };
        let told = state.cursor.filter(|told| told.epoch == self.epoch);
        let scan = self
            .store
            .scan_for_follower(state.digest, told.map(|told| told.taken));
        let scan = self.with_ages(scan);
        let newer = self.boxes_revision > state.boxes;
        let heard = self.context.table.answer_age();
        FollowAnswer {
            cursor,
            scan,
            digest: self.store.digest(),
            boxes: newer.then(|| self.boxes.borrow().to_vec()),
            boxes_revision: self.boxes_revision,
            heard_ms: heard.map(|age| age.as_millis() as u64),
        }
    }

    fn take_followed(&mut self, answer: FollowAnswer) {
        self.accept(&Origin::Reader, Revision::NONE, answer.scan);
        if let Some(boxes) = answer.boxes
            && answer.boxes_revision > self.boxes_revision
        {
            self.boxes_revision = answer.boxes_revision;
            self.set_boxes(boxes.into());
        }
    }

    fn question(&self) -> ScanRequest {
        let since = match self.context.table.has_ordered_revisions() {
            true => self.store.revision(),
            false => Revision::NONE,
        };
        let digest = self.store.digest();
        ScanRequest { since, digest }
    }

    /// The poll interval, spread so that boxes do not ask in step.
    fn jittered(&self) -> Duration {
        let factor = rand::Rng::random_range(&mut rand::rng(), 0.8..1.2);
        self.context.settings.poll.mul_f64(factor)
    }

    async fn take(&mut self, request: Request) {
        match request {
            Request::Scan {
                request: question,
                reply,
            } => {
                let _ = reply.send(self.with_ages(self.store.scan_for_peer(&question)));
            }
            Request::Update(news) => self.news(news),
            Request::Follow {
                request: state,
                reply,
            } => {
                let _ = reply.send(self.follow(&state));
            }
            Request::Digest { reply } => {
                let _ = reply.send((self.store.digest(), self.boxes_revision));
            }
            Request::ReaderAnswer(answer) => self.take_followed(answer),
            Request::Poll => self.poll().await,
        }
    }

    async fn poll(&mut self) {
        if !self.context.table.has_ordered_revisions() {
            // What one source told counts, whatever becomes of the others; and without
            // an order a row may be new although the head is not.
            self.fetch().await;
        }
        match self.context.table.head().await {
            Ok(head) => {
                self.note_table(true);
                if head > self.store.revision() {
                    self.fetch().await;
                }
                self.looked = Some(self.context.now());
                self.read_boxes().await;
                self.compare();
                self.ask_for_ages();
            }
            Err(_) => {
                self.note_table(false);
                if self.context.now() >= self.down_since + PEER_AFTER {
                    self.ask_a_peer();
                }
            }
        }
    }

    fn note_table(&mut self, up: bool) {
        if self.table_up && !up {
            self.down_since = self.context.now();
        }
        if self.table_up != up {
            let kind = match up {
                true => &events::TABLE_BACK,
                false => &events::TABLE_DOWN,
            };
            events::emit(&self.context.log, kind, &[]);
        }
        self.table_up = up;
    }

    async fn fetch(&mut self) {
        let since = self.store.revision();
        if let Ok(scan) = self.context.table.scan(since).await {
            self.accept(&Origin::Table, since, scan);
        }
    }

    async fn read_boxes(&mut self) {
        if let Ok(Some(listed)) = self.context.roster.boxes(&self.tag).await {
            self.tag = listed.tag;
            if listed.revision > Revision::NONE && listed.revision <= self.boxes_revision {
                // A reader of the table has told of a newer list.
                return;
            }
            self.boxes_revision = listed.revision;
            self.set_boxes(listed.boxes.into());
        }
    }

    fn set_boxes(&mut self, boxes: Arc<[Listing]>) {
        if *self.boxes.borrow() == boxes {
            return;
        }
        let count = boxes.len();
        events::emit(
            &self.context.log,
            &events::ROSTER_CHANGED,
            &[("boxes", &count)],
        );
        let now = self.context.now();
        let name = &self.context.settings.name;
        self.context.limits.set_boxes(name, &boxes, now);
        self.boxes.send_replace(boxes.clone());
        let _ = self.context.decisions.send(Message::Boxes(boxes));
    }

    /// Puts newer rows in force and tells some peers.
    fn accept(&mut self, origin: &Origin, since: Revision, scan: Scan) -> bool {
        let now = self.context.now();
        if !self.store.apply(since, &scan, &self.context.log) {
            if self.departures.merge_ages(&scan.ages, now) {
                self.put_in_force(self.store.snapshot());
            }
            return false;
        }
        let snapshot = self.store.snapshot();
        let lag = self.lag(origin, &scan);
        let before = self.snapshot.borrow().clone();
        let change = (&*before, &snapshot);
        let departed = self.departures.update(change, &scan.ages, lag, now);
        let known = self.store.complete_sections().get(&Section::Declarations);
        let fields: [(_, &dyn fmt::Display); 4] = [
            ("revision", &snapshot.revision),
            ("declarations", known.unwrap_or(&Revision::NONE)),
            ("rows", &scan.rows.len()),
            ("from", origin),
        ];
        events::emit(&self.context.log, &events::CONFIGURED, &fields);
        self.note_departed(origin, &departed);
        self.put_in_force(snapshot);
        self.tell_peers(since, self.with_ages(scan));
        true
    }

    fn put_in_force(&self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot.with_departures(self.departures.iter()));
        self.snapshot.send_replace(snapshot.clone());
        let _ = self.context.decisions.send(Message::Snapshot(snapshot));
    }

    /// How long ago news was written at the most; none where nobody can tell.
    fn lag(&self, origin: &Origin, scan: &Scan) -> Option<Duration> {
        match origin {
            Origin::Table if self.context.table.has_ordered_revisions() => {
                self.looked.map(|looked| self.context.now() - looked)
            }
            Origin::Table => scan.lag_ms.map(Duration::from_millis),
            // They tell the ages that they know.
            Origin::Peer(_) | Origin::Reader => None,
        }
    }

    fn with_ages(&self, scan: Scan) -> Scan {
        Scan {
            ages: self.departures.ages(self.context.now()),
            ..scan
        }
    }

    /// Asks others, once, what they know that the table does not: it may be an older copy of
    /// itself when a box starts, which has known nothing newer.
    fn compare(&mut self) {
        if self.compared
            || self.context.settings.first_start
            || self.context.table.has_ordered_revisions()
        {
            return;
        }
        if !self
            .store
            .complete_sections()
            .contains_key(&Section::Declarations)
        {
            return;
        }
        for listing in self.some_peers(PEERS_COMPARED) {
            self.compared = true;
            self.ask_for_rows(listing.address);
        }
    }

    /// Asks others for how long members have been leaving, where this box can't tell: it
    /// started after their word.
    fn ask_for_ages(&mut self) {
        if !self.departures.has_unknown_age(self.context.now()) {
            return;
        }
        for listing in self.some_peers(PEERS_ASKED) {
            self.ask_for_rows(listing.address);
        }
    }

    /// Logs whom news declares to leave, or lists no more.
    fn note_departed(&self, origin: &Origin, departed: &[(Key, Manner)]) {
        for (member, how) in departed.iter().take(MOST_NAMED) {
            let fields: [(_, &dyn fmt::Display); 3] =
                [("member", member), ("how", how), ("from", origin)];
            events::emit(&self.context.log, &events::MEMBER_LEAVES, &fields);
        }
    }

    fn tell_peers(&self, since: Revision, scan: Scan) {
        if self.context.settings.fanout == 0 {
            return;
        }
        let news = Update {
            from: self.context.own_api_address().into(),
            since,
            scan,
        };
        let random = self.context.settings.fanout.saturating_sub(1);
        let next = self.next_peer().into_iter();
        for listing in next.chain(self.some_peers(random)) {
            let told = peers::push_update(self.context.clone(), listing.address, news.clone());
            tokio::task::spawn_local(told);
        }
    }

    /// The box after this one in order of name. Random peers alone leave some box
    /// out nearly always; passed on along this ring, news reaches every box.
    fn next_peer(&self) -> Option<Listing> {
        let own = &self.context.settings.name;
        let boxes = self.boxes.borrow();
        let after = boxes.iter().filter(|l| l.name > *own);
        let next = after.min_by(|a, b| a.name.cmp(&b.name));
        let first = || boxes.iter().min_by(|a, b| a.name.cmp(&b.name));
        next.or_else(first).filter(|l| l.name != *own).cloned()
    }

    fn some_peers(&self, count: usize) -> Vec<Listing> {
        let own = &self.context.settings.name;
        let boxes = self.boxes.borrow().clone();
        let others: Vec<Listing> = boxes.iter().filter(|l| l.name != *own).cloned().collect();
        let chosen = others.choose_multiple(&mut rand::rng(), count);
        chosen.cloned().collect()
    }

    fn news(&mut self, news: Update) {
        if news.scan.head <= self.store.revision() && self.context.table.has_ordered_revisions() {
            return;
        }
        let origin = Origin::Peer(news.from.clone());
        if self.accept(&origin, news.since, news.scan) {
            return;
        }
        self.ask_for_rows(news.from);
    }

    /// Asks a peer for rows, unless it is being asked.
    fn ask_for_rows(&mut self, peer: Arc<str>) {
        if !self.asked.insert(peer.clone()) {
            return;
        }
        let context = self.context.clone();
        let question = self.question();
        let asked = async move {
            let scan = peers::fetch_rows(&context, &peer, &question).await;
            let since = question.since;
            Heard::Rows { peer, since, scan }
        };
        self.questions.push(Box::pin(asked));
    }

    fn ask_for_boxes(&mut self, peer: Arc<str>) {
        let context = self.context.clone();
        let asked = async move { Heard::Boxes(peers::fetch_boxes(&context, &peer).await) };
        self.questions.push(Box::pin(asked));
    }

    fn hear(&mut self, heard: Heard) {
        match heard {
            Heard::Rows { peer, since, scan } => {
                self.asked.remove(&peer);
                if let Some(scan) = scan {
                    self.accept(&Origin::Peer(peer), since, scan);
                }
            }
            Heard::Boxes(Some(boxes)) if self.boxes.borrow().is_empty() => {
                self.set_boxes(boxes.into());
            }
            Heard::Boxes(_) => {}
        }
    }

    /// While the table is down, a peer may know more.
    fn ask_a_peer(&mut self) {
        let own = self.context.own_api_address();
        let live = self.context.live.borrow().clone();
        let seeds = live.peers.iter();
        let seeds: Vec<Arc<str>> = seeds.filter(|seed| ***seed != *own).cloned().collect();
        if self.boxes.borrow().is_empty()
            && let Some(seed) = seeds.choose(&mut rand::rng())
            && !self.asked.contains(seed)
        {
            self.ask_for_boxes(seed.clone());
            self.ask_for_rows(seed.clone());
        }
        for listing in self.some_peers(1) {
            self.ask_for_rows(listing.address);
        }
    }
}
