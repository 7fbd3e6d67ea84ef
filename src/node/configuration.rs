//! Keeps the declarations in force up to date: polls the platform's table, applies newer rows,
//! publishes snapshots and exchanges updates with peers. The revision never decreases.

mod departures;
mod encoder;
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
use super::updates::{Body, Cursor, FollowAnswer, FollowRequest, ScanRequest, Update};
use crate::borders::roster::Listing;
use crate::borders::table::{Revision, Scan, Section, TableError};
use crate::declarations::resource::Key;
use crate::declarations::snapshot::{DepartureReason, Snapshot};
use crate::events;

pub use departures::Departures;
pub use encoder::{Encoder, Rows};
pub use store::Store;

/// Key prefix of rows that record a group's primary.
pub const PRIMARY_PREFIX: &str = "primary/";
/// Time without an answer of the table after which peers are asked. Peers that start at the same
/// time know nothing before the table answers.
const PEER_DELAY: Duration = Duration::from_millis(600);
/// Number of peers to ask for the ages of departures, as some may have just started too.
const PEERS_FOR_AGES: usize = 3;
/// Number of peers to compare rows with after the start, as some may have just started too.
const PEERS_TO_COMPARE: usize = 2;
/// Maximum number of departures that are logged for one update, as the entries of all members
/// may expire during an outage of the platform's store.
const MAX_LOGGED_DEPARTURES: usize = 20;

/// The source of rows, for the log.
#[derive(Clone, Debug)]
enum Origin {
    Table,
    /// The box with this API address.
    Peer(Arc<str>),
    /// A reader of the table that this box follows.
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

/// A request to the [`Updater`].
#[derive(Debug)]
pub enum Request {
    /// Returns the rows after a revision, for a watch request.
    Scan {
        request: ScanRequest,
        reply: oneshot::Sender<Scan>,
    },
    /// Returns the rows that a peer lacks, encoded.
    PeerScan {
        request: ScanRequest,
        reply: oneshot::Sender<Body>,
    },
    /// Applies an update that a peer pushed.
    Update(Update),
    /// Returns the rows and boxes that a follower lacks, encoded; none if there are no changes for
    /// it, unless `required` is set.
    Follow {
        request: FollowRequest,
        required: bool,
        reply: oneshot::Sender<Option<Body>>,
    },
    /// Returns the digest of all rows and the revision of the list of boxes.
    Digest {
        reply: oneshot::Sender<(u64, Revision)>,
    },
    /// Applies the answer of a reader that this box follows, and returns the digest of all rows.
    ReaderAnswer {
        answer: FollowAnswer,
        reply: oneshot::Sender<u64>,
    },
    /// Polls the table now.
    Poll,
}

pub type Sender = mpsc::UnboundedSender<Request>;

/// A peer's answer; none if the call failed.
enum PeerAnswer {
    Rows {
        peer: Arc<str>,
        since: Revision,
        scan: Option<Scan>,
    },
    Boxes(Option<Vec<Listing>>),
}

/// The task that keeps a box's configuration up to date.
pub struct Updater {
    context: Rc<Context>,
    inbox: mpsc::UnboundedReceiver<Request>,
    store: Store,
    encoder: Encoder,
    departures: Departures,
    /// When the table was last polled successfully.
    last_poll: Option<Duration>,
    snapshot: watch::Sender<Arc<Snapshot>>,
    boxes: watch::Sender<Arc<[Listing]>>,
    table_available: bool,
    /// When the table last became unavailable.
    unavailable_since: Duration,
    /// Entity tag of the known list of boxes.
    roster_tag: String,
    boxes_revision: Revision,
    /// Identifies this run of the process.
    epoch: u64,
    /// Pending calls to peers. They run concurrently, so that a silent peer doesn't delay changes
    /// from the table: by 0.4 s, as seen in logs.
    calls: FuturesUnordered<LocalBoxFuture<'static, PeerAnswer>>,
    /// Peers with a pending request for rows.
    requested_peers: BTreeSet<Arc<str>>,
    /// Whether peers were asked for their rows after the start.
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
            encoder: Encoder::default(),
            departures: Departures::default(),
            last_poll: None,
            snapshot,
            boxes,
            table_available: true,
            unavailable_since: Duration::ZERO,
            roster_tag: String::new(),
            boxes_revision: Revision::NONE,
            epoch: rand::random(),
            calls: FuturesUnordered::new(),
            requested_peers: BTreeSet::new(),
            compared: false,
        }
    }

    /// Runs until all senders of requests are dropped.
    pub async fn run(mut self) {
        let table = self.context.table.clone();
        loop {
            self.poll().await;
            let changes = table.wait_for_changes(self.jittered_poll_interval());
            tokio::pin!(changes);
            loop {
                tokio::select! {
                    request = self.inbox.recv() => match request {
                        Some(request) => self.handle_request(request).await,
                        None => return,
                    },
                    Some(answer) = self.calls.next() => self.handle_peer_answer(answer),
                    () = &mut changes => break,
                }
            }
        }
    }

    /// Returns the rows and boxes that a follower lacks; none if there are no changes for it, unless
    /// `required` is set.
    fn answer_follower(&mut self, request: &FollowRequest, required: bool) -> Option<Body> {
        let known = request.cursor.filter(|known| known.epoch == self.epoch);
        let heard = self.context.table.scan_age();
        let boxes = (self.boxes_revision > request.boxes).then(|| self.boxes.borrow().clone());
        let (rows, scan) = match known {
            _ if request.digest == self.store.digest() => (Rows::None, self.store.unchanged()),
            Some(known) => (self.rows_after(known.taken), self.scan_head()),
            None => (Rows::All, self.store.all_but_rows()),
        };
        let changed = known.is_none() || rows != Rows::None || boxes.is_some() || heard.is_none();
        if !changed && !required {
            return None;
        }
        let answer = FollowAnswer {
            cursor: Cursor {
                epoch: self.epoch,
                taken: self.store.sequence(),
            },
            scan: self.with_ages(scan),
            digest: self.store.digest(),
            boxes: None,
            boxes_revision: self.boxes_revision,
            heard_ms: heard.map(|age| age.as_millis() as u64),
        };
        let store = &self.store;
        let body = self
            .encoder
            .encode_answer(store, &answer, rows, boxes.as_deref());
        Some(body)
    }

    /// Selects the rows that changed after a sequence number.
    fn rows_after(&self, sequence: u64) -> Rows {
        match self.store.rows_after(sequence).next() {
            Some(_) => Rows::After(sequence),
            None => Rows::None,
        }
    }

    /// Returns a scan that tells the newest revision, without rows.
    fn scan_head(&self) -> Scan {
        Scan {
            head: self.store.revision(),
            ..Scan::default()
        }
    }

    /// Returns the rows that a peer lacks.
    fn answer_peer(&mut self, request: &ScanRequest) -> Body {
        let (rows, scan) = match request.since {
            _ if request.digest == self.store.digest() => (Rows::None, self.store.unchanged()),
            Revision::NONE => (Rows::All, self.store.all_but_rows()),
            _ => {
                let mut body = Body::default();
                body.push(&self.with_ages(self.store.scan_for_peer(request)));
                return body;
            }
        };
        let scan = self.with_ages(scan);
        self.encoder.encode_scan(&self.store, &scan, rows)
    }

    fn apply_reader_answer(&mut self, answer: FollowAnswer) {
        self.apply_rows(&Origin::Reader, Revision::NONE, answer.scan);
        if let Some(boxes) = answer.boxes
            && answer.boxes_revision > self.boxes_revision
        {
            self.boxes_revision = answer.boxes_revision;
            self.set_boxes(boxes.into());
        }
    }

    /// Returns a request for the rows that a peer has and this box doesn't.
    fn scan_request(&self) -> ScanRequest {
        let since = match self.context.table.has_ordered_revisions() {
            true => self.store.revision(),
            false => Revision::NONE,
        };
        let digest = self.store.digest();
        ScanRequest { since, digest }
    }

    /// Returns the poll interval with jitter, so that boxes don't poll at the same time.
    fn jittered_poll_interval(&self) -> Duration {
        let factor = rand::Rng::random_range(&mut rand::rng(), 0.8..1.2);
        self.context.settings.poll_interval.mul_f64(factor)
    }

    async fn handle_request(&mut self, request: Request) {
        match request {
            Request::Scan { request, reply } => {
                let _ = reply.send(self.with_ages(self.store.scan_for_peer(&request)));
            }
            Request::PeerScan { request, reply } => {
                let _ = reply.send(self.answer_peer(&request));
            }
            Request::Update(update) => self.apply_update(update),
            Request::Follow {
                request,
                required,
                reply,
            } => {
                let _ = reply.send(self.answer_follower(&request, required));
            }
            Request::Digest { reply } => {
                let _ = reply.send((self.store.digest(), self.boxes_revision));
            }
            Request::ReaderAnswer { answer, reply } => {
                self.apply_reader_answer(answer);
                let _ = reply.send(self.store.digest());
            }
            Request::Poll => self.poll().await,
        }
    }

    async fn poll(&mut self) {
        let read = self.read_table().await;
        self.record_table_state(read.as_ref().err());
        if read.is_ok() {
            self.last_poll = Some(self.context.now());
            self.compare_with_peers();
            self.request_ages();
        } else if self.context.now() >= self.unavailable_since + PEER_DELAY {
            self.ask_peers();
        }
    }

    /// Reads new rows and the list of boxes from the table.
    async fn read_table(&mut self) -> Result<(), TableError> {
        if !self.context.table.has_ordered_revisions() {
            // Without an order, a row may be new although the head is not. The rows that could
            // be read count even if the head can't be read.
            let fetched = self.fetch_rows().await;
            self.context.table.head().await?;
            fetched?;
        } else if self.context.table.head().await? > self.store.revision() {
            self.fetch_rows().await?;
        }
        self.fetch_boxes().await
    }

    /// Records whether the table could be read, and logs when that changes.
    fn record_table_state(&mut self, error: Option<&TableError>) {
        let available = error.is_none();
        if self.table_available == available {
            return;
        }
        self.table_available = available;
        match error {
            None => events::emit(&self.context.log, &events::TABLE_RECOVERED, &[]),
            Some(error) => {
                self.unavailable_since = self.context.now();
                events::emit(&self.context.log, &events::TABLE_DOWN, &[("error", error)]);
            }
        }
    }

    async fn fetch_rows(&mut self) -> Result<(), TableError> {
        let since = self.store.revision();
        let scan = self.context.table.scan(since).await?;
        self.apply_rows(&Origin::Table, since, scan);
        Ok(())
    }

    async fn fetch_boxes(&mut self) -> Result<(), TableError> {
        let listed = self.context.roster.boxes(&self.roster_tag).await?;
        let Some(listed) = listed else {
            return Ok(());
        };
        self.roster_tag = listed.tag;
        // A reader may already have passed on this list or a newer one.
        if listed.revision == Revision::NONE || listed.revision > self.boxes_revision {
            self.boxes_revision = listed.revision;
            self.set_boxes(listed.boxes.into());
        }
        Ok(())
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

    /// Puts newer rows in force and pushes them to some peers. Returns whether there were any.
    fn apply_rows(&mut self, origin: &Origin, since: Revision, scan: Scan) -> bool {
        let now = self.context.now();
        let changed = self.store.apply(since, &scan, &self.context.log);
        self.record_declarations();
        if !changed {
            if self.departures.merge_ages(&scan.ages, now) {
                let snapshot = self.store.snapshot();
                self.publish(snapshot);
            }
            return false;
        }
        let snapshot = self.store.snapshot();
        let max_age = self.max_age(origin, &scan);
        let before = self.snapshot.borrow().clone();
        let change = (&*before, &snapshot);
        let departed = self.departures.update(change, &scan.ages, max_age, now);
        let fields: [(_, &dyn fmt::Display); 4] = [
            ("revision", &snapshot.revision),
            ("declarations", &self.context.declarations.get()),
            ("rows", &scan.rows.len()),
            ("from", origin),
        ];
        events::emit(&self.context.log, &events::CONFIG_APPLIED, &fields);
        self.log_departures(origin, &departed);
        self.publish(snapshot);
        self.push_to_peers(since, self.with_ages(scan));
        true
    }

    /// Records the revision as of which all declarations are known.
    fn record_declarations(&self) {
        let known = self.store.complete_sections().get(&Section::Declarations);
        let revision = known.copied().unwrap_or_default();
        if self.context.declarations.replace(revision) != revision {
            self.context.metrics.record_declarations(revision.number());
        }
    }

    /// Puts a snapshot in force on this box.
    fn publish(&self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot.with_departures(self.departures.iter()));
        self.snapshot.send_replace(snapshot.clone());
        let _ = self.context.decisions.send(Message::Snapshot(snapshot));
    }

    /// Returns the maximum time since the rows were written; none if unknown.
    fn max_age(&self, origin: &Origin, scan: &Scan) -> Option<Duration> {
        match origin {
            Origin::Table if self.context.table.has_ordered_revisions() => self
                .last_poll
                .map(|last_poll| self.context.now() - last_poll),
            Origin::Table => scan.lag_ms.map(Duration::from_millis),
            // Boxes send the ages that they know with their rows.
            Origin::Peer(_) | Origin::Reader => None,
        }
    }

    /// Adds the ages of all current departures to the rows for another box.
    fn with_ages(&self, scan: Scan) -> Scan {
        Scan {
            ages: self.departures.ages(self.context.now()),
            ..scan
        }
    }

    /// Asks some peers once for rows that the table lacks. The table may have been restored from an
    /// older copy, which a box that has just started can't notice.
    fn compare_with_peers(&mut self) {
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
        for listing in self.choose_peers(PEERS_TO_COMPARE) {
            self.compared = true;
            self.request_rows(listing.address);
        }
    }

    /// Asks some peers how long ago members announced that they leave, if this box doesn't know
    /// because it started later.
    fn request_ages(&mut self) {
        if !self.departures.has_unknown_age(self.context.now()) {
            return;
        }
        for listing in self.choose_peers(PEERS_FOR_AGES) {
            self.request_rows(listing.address);
        }
    }

    /// Logs the members that started to leave or are no longer listed.
    fn log_departures(&self, origin: &Origin, departed: &[(Key, DepartureReason)]) {
        for (member, reason) in departed.iter().take(MAX_LOGGED_DEPARTURES) {
            let fields: [(_, &dyn fmt::Display); 3] =
                [("member", member), ("how", reason), ("from", origin)];
            events::emit(&self.context.log, &events::MEMBER_DEPARTED, &fields);
        }
    }

    /// Pushes the rows to the next box by name and to some random ones.
    fn push_to_peers(&self, since: Revision, scan: Scan) {
        if self.context.settings.fanout == 0 {
            return;
        }
        let update = Update {
            from: self.context.own_api_address().into(),
            since,
            scan,
        };
        let random_peers = self.context.settings.fanout.saturating_sub(1);
        let next = self.next_peer().into_iter();
        for listing in next.chain(self.choose_peers(random_peers)) {
            let push = peers::push_update(self.context.clone(), listing.address, update.clone());
            tokio::task::spawn_local(push);
        }
    }

    /// Returns the box after this one in the order of names. Random peers alone would often miss
    /// a box; along this ring an update reaches every box.
    fn next_peer(&self) -> Option<Listing> {
        let own_name = &self.context.settings.name;
        let boxes = self.boxes.borrow();
        let after = boxes.iter().filter(|l| l.name > *own_name);
        let next = after.min_by(|a, b| a.name.cmp(&b.name));
        let first = || boxes.iter().min_by(|a, b| a.name.cmp(&b.name));
        next.or_else(first).filter(|l| l.name != *own_name).cloned()
    }

    /// Chooses other boxes at random.
    fn choose_peers(&self, count: usize) -> Vec<Listing> {
        let own_name = &self.context.settings.name;
        let boxes = self.boxes.borrow().clone();
        let others: Vec<Listing> = boxes
            .iter()
            .filter(|l| l.name != *own_name)
            .cloned()
            .collect();
        let chosen = others.choose_multiple(&mut rand::rng(), count);
        chosen.cloned().collect()
    }

    /// Applies an update that a peer pushed, and requests the peer's rows if it doesn't apply.
    fn apply_update(&mut self, update: Update) {
        if update.scan.head <= self.store.revision() && self.context.table.has_ordered_revisions() {
            return;
        }
        let origin = Origin::Peer(update.from.clone());
        if self.apply_rows(&origin, update.since, update.scan) {
            return;
        }
        self.request_rows(update.from);
    }

    /// Requests rows from a peer, unless a request is pending.
    fn request_rows(&mut self, peer: Arc<str>) {
        if !self.requested_peers.insert(peer.clone()) {
            return;
        }
        let context = self.context.clone();
        let request = self.scan_request();
        let call = async move {
            let scan = peers::fetch_rows(&context, &peer, &request).await;
            let since = request.since;
            PeerAnswer::Rows { peer, since, scan }
        };
        self.calls.push(Box::pin(call));
    }

    fn request_boxes(&mut self, peer: Arc<str>) {
        let context = self.context.clone();
        let call = async move { PeerAnswer::Boxes(peers::fetch_boxes(&context, &peer).await) };
        self.calls.push(Box::pin(call));
    }

    fn handle_peer_answer(&mut self, answer: PeerAnswer) {
        match answer {
            PeerAnswer::Rows { peer, since, scan } => {
                self.requested_peers.remove(&peer);
                if let Some(scan) = scan {
                    self.apply_rows(&Origin::Peer(peer), since, scan);
                }
            }
            PeerAnswer::Boxes(Some(boxes)) if self.boxes.borrow().is_empty() => {
                self.set_boxes(boxes.into());
            }
            PeerAnswer::Boxes(_) => {}
        }
    }

    /// Requests rows from peers while the table is unavailable, and the list of boxes if this box
    /// doesn't have it.
    fn ask_peers(&mut self) {
        let own_address = self.context.own_api_address();
        let live = self.context.live.borrow().clone();
        let seeds = live.peers.iter();
        let seeds: Vec<Arc<str>> = seeds
            .filter(|seed| ***seed != *own_address)
            .cloned()
            .collect();
        if self.boxes.borrow().is_empty()
            && let Some(seed) = seeds.choose(&mut rand::rng())
            && !self.requested_peers.contains(seed)
        {
            self.request_boxes(seed.clone());
            self.request_rows(seed.clone());
        }
        for listing in self.choose_peers(1) {
            self.request_rows(listing.address);
        }
    }
}
