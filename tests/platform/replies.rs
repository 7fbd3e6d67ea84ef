//! The answers of a stand-in member: their record, and the fault that some are sent twice.

use std::io::Result;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Mutex;

use super::framing::{self, frame};
use super::member::Handle;

/// What an answer answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// CONNECT.
    Connect,
    Read,
    Write,
    Commit,
    Begin,
    Rollback,
    Set,
    Prepare,
    Reset,
    /// STATUS, PAUSE, STEPDOWN or RESUME.
    Control,
    /// Any statement that failed.
    Error,
}

impl Kind {
    /// Returns the kind of the answer that ends with this line. Digests name the effect, which an
    /// EXECUTE doesn't.
    pub fn of(text: &str, end: &str) -> Self {
        let (outcome, digest) = end.split_once(' ').unwrap_or((end, ""));
        if outcome == "ERROR" {
            return Kind::Error;
        }
        match digest.split('.').next() {
            Some("read") => return Kind::Read,
            Some("write") => return Kind::Write,
            Some("commit") => return Kind::Commit,
            _ => {}
        }
        match text.split(' ').next() {
            Some("BEGIN" | "AFTER") => Kind::Begin,
            Some("ROLLBACK") => Kind::Rollback,
            Some("SET") => Kind::Set,
            Some("PREPARE") => Kind::Prepare,
            Some("RESET") => Kind::Reset,
            _ => Kind::Control,
        }
    }
}

/// An answer that a member sent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Number of the connection.
    pub connection: u64,
    /// Id of the statement.
    pub id: String,
    pub kind: Kind,
    pub rows: Vec<String>,
    /// The line with COMPLETE or ERROR; none for CONNECT.
    pub end: Option<String>,
    /// The READY line.
    pub ready: String,
    /// Whether the same answer was sent before.
    pub duplicate: bool,
}

impl Sent {
    /// Returns the digest of a statement that succeeded.
    pub fn digest(&self) -> Option<&str> {
        self.end.as_deref()?.strip_prefix("COMPLETE ")
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        for row in &self.rows {
            bytes.extend(frame(&format!("DATA {row}")));
        }
        for line in self.end.iter().chain([&self.ready]) {
            bytes.extend(frame(line));
        }
        bytes
    }
}

/// When the duplicate of an answer is sent.
#[derive(Clone, Debug)]
pub enum Timing {
    /// After a random delay.
    Delayed(Range<Duration>),
    Held(Hold),
}

/// Holds a duplicate back until a later statement of the connection was run, and sends it right
/// before that statement's own answer.
#[derive(Clone, Debug)]
pub struct Hold {
    /// Kinds of that statement; any if empty.
    pub before: Vec<Kind>,
    /// Number of such statements that are answered first.
    pub skip: usize,
    /// Time between the duplicate and the statement's own answer.
    pub gap: Duration,
}

/// The fault that a member sends answers twice.
pub struct Duplication {
    /// Kinds of the answers; any if empty.
    kinds: Vec<Kind>,
    timing: Timing,
    /// Share of the answers of these kinds.
    share: f64,
    /// Number of the answers that are still to be sent twice.
    left: usize,
    rng: SmallRng,
}

impl Duplication {
    /// Duplicates all answers of some kinds.
    pub fn new(kinds: &[Kind], timing: Timing) -> Self {
        Self {
            kinds: kinds.to_vec(),
            timing,
            share: 1.0,
            left: usize::MAX,
            rng: SmallRng::seed_from_u64(1),
        }
    }

    /// Duplicates this number of answers.
    pub fn times(self, left: usize) -> Self {
        Self { left, ..self }
    }

    /// Duplicates a random share of the answers.
    pub fn share(self, share: f64, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { share, rng, ..self }
    }

    /// Returns when the duplicate of an answer is to be sent, if one is.
    fn draw(&mut self, kind: Kind) -> Option<Timing> {
        if self.left == 0 || !matches(&self.kinds, kind) || !self.rng.random_bool(self.share) {
            return None;
        }
        self.left -= 1;
        Some(match &self.timing {
            Timing::Delayed(range) => {
                let delay = self.rng.random_range(range.clone());
                Timing::Delayed(delay..delay)
            }
            held => held.clone(),
        })
    }
}

fn matches(kinds: &[Kind], kind: Kind) -> bool {
    kinds.is_empty() || kinds.contains(&kind)
}

/// Writes the answers of a connection, each whole.
pub struct Writer {
    handle: Handle,
    half: Arc<Mutex<OwnedWriteHalf>>,
    /// Duplicates that are held back.
    held: Vec<(Hold, Sent)>,
}

impl Writer {
    pub fn new(handle: Handle, half: OwnedWriteHalf) -> Self {
        Self {
            handle,
            half: Arc::new(Mutex::new(half)),
            held: Vec::new(),
        }
    }

    /// Writes bytes that are no answer.
    pub async fn write(&self, bytes: &[u8]) -> Result<()> {
        framing::write(&mut *self.half.lock().await, bytes, None).await
    }

    /// Sends an answer, after the duplicates that are held back until then.
    pub async fn send(&mut self, answer: Sent) -> Result<()> {
        let due = self.take_due(answer.kind);
        let mut half = self.half.lock().await;
        for (hold, duplicate) in due {
            send(&self.handle, &mut half, duplicate).await?;
            tokio::time::sleep(hold.gap).await;
        }
        send(&self.handle, &mut half, answer.clone()).await?;
        drop(half);
        self.plan_duplicate(answer);
        Ok(())
    }

    /// Takes the duplicates that precede an answer of this kind.
    fn take_due(&mut self, kind: Kind) -> Vec<(Hold, Sent)> {
        let mut due = Vec::new();
        for (mut hold, duplicate) in std::mem::take(&mut self.held) {
            let counts = matches(&hold.before, kind);
            if counts && hold.skip == 0 {
                due.push((hold, duplicate));
                continue;
            }
            hold.skip -= usize::from(counts);
            self.held.push((hold, duplicate));
        }
        due
    }

    fn plan_duplicate(&mut self, answer: Sent) {
        let duplicate = Sent {
            duplicate: true,
            ..answer
        };
        let mut fault = self.handle.duplication.lock().expect("no panic");
        match fault.as_mut().and_then(|fault| fault.draw(duplicate.kind)) {
            None => {}
            Some(Timing::Held(hold)) => self.held.push((hold, duplicate)),
            Some(Timing::Delayed(delay)) => self.send_later(delay.start, duplicate),
        }
    }

    /// Sends a duplicate after a delay, unless the connection has ended by then.
    fn send_later(&self, delay: Duration, duplicate: Sent) {
        let (handle, half) = (self.handle.clone(), Arc::downgrade(&self.half));
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            handle.wait_while_frozen().await;
            if let Some(half) = half.upgrade() {
                let _closed = send(&handle, &mut *half.lock().await, duplicate).await;
            }
        });
    }
}

/// Records an answer and writes it.
async fn send(handle: &Handle, half: &mut OwnedWriteHalf, answer: Sent) -> Result<()> {
    let bytes = answer.bytes();
    let number = handle.record_answer(answer);
    let split = handle.split_answers.load(Ordering::SeqCst);
    let mut rng = split.then(|| SmallRng::seed_from_u64(number));
    framing::write(half, &bytes, rng.as_mut()).await
}
