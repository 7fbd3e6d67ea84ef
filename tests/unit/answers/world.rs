//! Runs seeded statements through the adapter against a scripted member, and checks the results
//! with the member's records.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use larkfall::borders::upstream::{
    Answer, Begin, Dialer, Opening, Prepared, Setup, Status, Task, Upstream, UpstreamError, Verdict,
};
use larkfall::declarations::resource::{Address, Member as Declared};
use larkfall::metrics::Metrics;
use larkfall::platform::upstream::{INTERNAL_ID, LineDialer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slog::Logger;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use super::member::{Member, Record, Repetitions, listen};

const OPERATIONS: u64 = 30;
/// Time after which an exchange counts as stalled. The member answers at once.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Rounds of the event loop in which everything sent arrives.
const SETTLE_ROUNDS: usize = 3;
/// Rounds of the event loop after which a connection counts as leaked.
const MAX_CLOSE_ROUNDS: usize = 10_000;
/// Lines of the trace that a violation shows.
const SHOWN_LINES: usize = 16;

/// Values of the sessions.
const SESSIONS: [&[(&str, &str)]; 3] = [&[], &[("lang", "es")], &[("lang", "fr"), ("zone", "a")]];
/// Names and texts of the prepared statements.
const PREPARED: [(&str, &str); 2] = [("p1", "READ q1"), ("p2", "WRITE q2")];
/// Statements that the adapter may send under its own id, without operands.
const OWN_TEXTS: [&str; 3] = ["RESET", "BEGIN READ", "ROLLBACK"];

/// What happened in a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub violations: Vec<String>,
    pub repeated: u64,
    pub succeeded: u64,
    pub failed: u64,
    /// Exchanges without a result.
    pub unknown: u64,
    /// Exchanges that waited for an answer when there was none to come.
    pub stalled: u64,
    pub connections: u64,
    /// Connections lost, or exchanges without a result, though the member had neither repeated an
    /// answer nor reported an error.
    pub needless: u64,
    pub unexpected_inputs: u64,
}

/// What the driver asked for under an id.
#[derive(Clone, Debug)]
struct Asked {
    text: String,
    values: BTreeMap<String, String>,
    shape: Option<String>,
    transaction: Option<String>,
}

struct World {
    member: Rc<RefCell<Member>>,
    declared: Declared,
    dialer: LineDialer,
    rng: SmallRng,
    idle: Option<Box<dyn Upstream>>,
    next_id: u64,
    asked: BTreeMap<String, Asked>,
    commands: Vec<String>,
    /// Ids of statements that were reported as not run.
    rejected: Vec<String>,
    outcome: Outcome,
}

/// Plays a seed.
pub async fn play(seed: u64, repetitions: Repetitions) -> Outcome {
    LocalSet::new()
        .run_until(play_local(seed, repetitions))
        .await
}

async fn play_local(seed: u64, repetitions: Repetitions) -> Outcome {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let member = Rc::new(RefCell::new(Member::new(seed, repetitions)));
    let server = tokio::task::spawn_local(listen(listener, member.clone()));
    let metrics = Rc::new(Metrics::default());
    let mut world = World {
        member,
        declared: declared(&address),
        dialer: LineDialer {
            from: IpAddr::V4(Ipv4Addr::LOCALHOST),
            connect_timeout: Duration::from_secs(5),
            metrics: metrics.clone(),
            log: Logger::root(slog::Discard, slog::o!()),
        },
        rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
        idle: None,
        next_id: 1,
        asked: BTreeMap::new(),
        commands: Vec::new(),
        rejected: Vec::new(),
        outcome: Outcome::default(),
    };
    for _ in 0..OPERATIONS {
        match world.rng.random_range(0..10) {
            0..4 => world.run_single().await,
            4..8 => world.run_transaction().await,
            _ => world.run_command().await,
        }
    }
    world.close().await;
    server.abort();
    world.check_records();
    let mut outcome = world.outcome;
    outcome.unexpected_inputs = read_counter(&metrics.text(), "larkfall_unexpected_input");
    outcome
}

fn declared(address: &str) -> Declared {
    Declared {
        partner: "".into(),
        group: "tenant".into(),
        name: "i-1".into(),
        address: Address {
            sql: address.into(),
            control: address.into(),
        },
        domain: "a".into(),
        leaving: false,
        born: None,
    }
}

/// Returns the sum of a counter in Prometheus' text format.
fn read_counter(text: &str, name: &str) -> u64 {
    let samples = text.lines().filter(|line| line.starts_with(name));
    let values = samples.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum::<f64>() as u64
}

async fn settle() {
    for _ in 0..SETTLE_ROUNDS {
        tokio::task::yield_now().await;
    }
}

impl World {
    fn violation(&mut self, what: &str) {
        let member = self.member.borrow();
        let shown = show_lines(&member, member.trace.len());
        self.outcome.violations.push(format!("{what}{shown}"));
    }

    fn id(&mut self) -> String {
        self.next_id += 1;
        format!("{:016x}", self.next_id)
    }

    /// Takes the idle connection as the pool does, or opens one.
    async fn acquire(&mut self) -> Option<Box<dyn Upstream>> {
        self.member.borrow_mut().send_idle();
        settle().await;
        if let Some(mut connection) = self.idle.take() {
            if connection.is_reusable() {
                return Some(connection);
            }
            self.count_needless();
        }
        self.member.borrow_mut().exchange += 1;
        self.outcome.connections += 1;
        match self.dialer.connect(&self.declared, None).await {
            Ok(connection) => Some(connection),
            Err(error) => {
                self.violation(&format!("no connection: {error}"));
                None
            }
        }
    }

    fn release(&mut self, mut connection: Box<dyn Upstream>) {
        match connection.is_reusable() {
            true => self.idle = Some(connection),
            false => self.count_needless(),
        }
    }

    /// Counts the loss of the newest connection if the member gave no cause for it.
    fn count_needless(&mut self) {
        let member = self.member.borrow();
        let newest = member.connections() - 1;
        let of_newest = |record: &&Record| record.connection == newest;
        let mut records = member.records.iter().filter(of_newest);
        let has_error = records.any(Record::is_error);
        self.outcome.needless += u64::from(!has_error && member.repeated == 0);
    }

    /// Draws a read or a write, and what must be set up for it.
    fn draw_statement(&mut self, session: usize, opening: Option<Opening>) -> (String, Setup) {
        let data = self.rng.random_range(0..1000);
        let mut prepared = None;
        let text = match self.rng.random_range(0..3) {
            0 => format!("READ t{data}"),
            1 => format!("WRITE t{data} xk{data}"),
            _ => {
                let (name, shape) = PREPARED[self.rng.random_range(0..PREPARED.len())];
                prepared = Some(Prepared {
                    name: name.into(),
                    text: shape.into(),
                });
                format!("EXECUTE {name} t{data} xk{data}")
            }
        };
        let values = SESSIONS[session].iter();
        let values = values.map(|(name, value)| (Arc::from(*name), Arc::from(*value)));
        let setup = Setup {
            values: Arc::new(values.collect()),
            prepared,
            opening,
        };
        (text, setup)
    }

    /// Runs one statement of a session.
    async fn run(
        &mut self,
        connection: &mut Box<dyn Upstream>,
        session: usize,
        opening: Option<Opening>,
        transaction: Option<&str>,
    ) -> Option<Answer> {
        let (text, setup) = self.draw_statement(session, opening);
        self.run_text(connection, &text, &setup, transaction).await
    }

    async fn run_text(
        &mut self,
        connection: &mut Box<dyn Upstream>,
        text: &str,
        setup: &Setup,
        transaction: Option<&str>,
    ) -> Option<Answer> {
        let id = self.id();
        let values = setup.values.iter();
        let asked = Asked {
            text: text.to_owned(),
            values: values
                .map(|(name, value)| (name.to_string(), value.to_string()))
                .collect(),
            shape: setup.prepared.as_ref().map(|it| it.text.to_string()),
            transaction: transaction.map(str::to_owned),
        };
        self.asked.insert(id.clone(), asked);
        let floor = self
            .rng
            .random_bool(0.5)
            .then_some(())
            .and(connection.position());
        let payload = Bytes::from(format!("{id} {text}"));
        let task = Task {
            payload: &payload,
            setup: Some(setup),
            floor,
        };
        let answer = self.exchange(connection, &task).await?;
        match answer.verdict {
            Verdict::Done => self.check_success(&id, &answer),
            Verdict::Rejection(_) => self.rejected.push(id),
            Verdict::Failed => {}
        }
        Some(answer)
    }

    async fn exchange(
        &mut self,
        connection: &mut Box<dyn Upstream>,
        task: &Task<'_>,
    ) -> Option<Answer> {
        self.member.borrow_mut().exchange += 1;
        let result = tokio::time::timeout(STALL_TIMEOUT, connection.run(task)).await;
        let result = result.unwrap_or_else(|_| {
            self.outcome.stalled += 1;
            Err(UpstreamError::TimedOut)
        });
        self.record_result(&result);
        result.ok()
    }

    fn record_result(&mut self, result: &Result<Answer, UpstreamError>) {
        match result {
            Ok(answer) if answer.verdict == Verdict::Done => self.outcome.succeeded += 1,
            Ok(_) => self.outcome.failed += 1,
            Err(_) => {
                self.outcome.unknown += 1;
                self.count_needless();
            }
        }
    }

    fn check_success(&mut self, id: &str, answer: &Answer) {
        let member = self.member.borrow();
        let run = member.records.iter().find(|it| it.id == id && it.has_run);
        let fault = match run {
            None => Some("not run".to_owned()),
            Some(record) => compare(record, answer),
        };
        drop(member);
        if let Some(fault) = fault {
            self.violation(&format!("success of {id}: {fault}"));
        }
    }

    async fn run_single(&mut self) {
        let Some(mut connection) = self.acquire().await else {
            return;
        };
        let session = self.rng.random_range(0..SESSIONS.len());
        let answer = self.run(&mut connection, session, None, None).await;
        if answer.is_some() {
            self.release(connection);
        }
    }

    async fn run_transaction(&mut self) {
        let Some(mut connection) = self.acquire().await else {
            return;
        };
        let session = self.rng.random_range(0..SESSIONS.len());
        let begin = match self.rng.random_bool(0.5) {
            true => Begin::ReadOnly,
            false => Begin::ReadWrite,
        };
        let id = self.id();
        let mut opening = Some(Opening {
            begin,
            id: id.as_str().into(),
        });
        for _ in 0..self.rng.random_range(1..4) {
            let answer = self.run(&mut connection, session, opening.take(), Some(&id));
            let Some(answer) = answer.await else {
                return;
            };
            if answer.verdict != Verdict::Done {
                return self.roll_back(connection).await;
            }
            // Nobody looks at a pinned connection between its statements.
            self.member.borrow_mut().send_idle();
            settle().await;
        }
        match self.rng.random_range(0..10) {
            0..3 => self.roll_back(connection).await,
            3 => drop(connection),
            _ => self.commit(connection, session, &id).await,
        }
    }

    async fn commit(
        &mut self,
        mut connection: Box<dyn Upstream>,
        session: usize,
        transaction: &str,
    ) {
        let (_, setup) = self.draw_statement(session, None);
        let setup = Setup {
            prepared: None,
            ..setup
        };
        let answer = self.run_text(&mut connection, "COMMIT", &setup, Some(transaction));
        match answer.await {
            Some(answer) if answer.status == Some(Status::Idle) => self.release(connection),
            Some(_) => self.roll_back(connection).await,
            None => {}
        }
    }

    async fn roll_back(&mut self, mut connection: Box<dyn Upstream>) {
        self.member.borrow_mut().exchange += 1;
        let result = tokio::time::timeout(STALL_TIMEOUT, connection.roll_back()).await;
        self.outcome.stalled += u64::from(result.is_err());
        match result {
            Ok(Ok(())) => self.release(connection),
            _ => {
                self.outcome.unknown += 1;
                self.count_needless();
            }
        }
    }

    async fn run_command(&mut self) {
        let Some(mut connection) = self.acquire().await else {
            return;
        };
        let text = ["STATUS", "STATUS", "PAUSE 4", "STEPDOWN 4", "RESUME"];
        let text = text[self.rng.random_range(0..text.len())];
        self.commands.push(text.to_owned());
        let first = self.member.borrow().records.len();
        let payload = Bytes::from(format!("{INTERNAL_ID} {text}"));
        let task = Task {
            payload: &payload,
            setup: None,
            floor: None,
        };
        let Some(answer) = self.exchange(&mut connection, &task).await else {
            return;
        };
        self.check_command(text, first, &answer);
        self.release(connection);
    }

    /// Compares a command's answer with the records since `first`.
    fn check_command(&mut self, text: &str, first: usize, answer: &Answer) {
        let member = self.member.borrow();
        let mut records = member.records[first..].iter();
        let record = records.find(|record| record.text == text);
        let fault = match (record, answer.verdict) {
            (None, _) => Some("answered before it arrived".to_owned()),
            (Some(record), Verdict::Rejection(_)) if record.has_run => {
                Some("rejected, but it ran".to_owned())
            }
            (Some(record), Verdict::Done) if answer.messages != record.lines.as_bytes() => {
                Some(format!("answered {:?}", answer.messages))
            }
            (Some(record), Verdict::Done) if answer.position < record.position => {
                Some(format!("position {:?}", answer.position))
            }
            _ => None,
        };
        drop(member);
        if let Some(fault) = fault {
            self.violation(&format!("command {text}: {fault}"));
        }
    }

    /// Closes the connection, and waits until the member has handled everything sent to it.
    async fn close(&mut self) {
        self.idle = None;
        for _ in 0..MAX_CLOSE_ROUNDS {
            if self.member.borrow().open_connections() == 0 {
                break;
            }
            settle().await;
        }
        if self.member.borrow().open_connections() > 0 {
            self.violation("connections left open");
        }
        self.outcome.repeated = self.member.borrow().repeated;
    }

    /// Checks everything that the member received.
    fn check_records(&mut self) {
        let member = self.member.clone();
        let mut runs = BTreeMap::new();
        for record in &member.borrow().records {
            if let Some(fault) = self.find_fault(record) {
                let shown = show_lines(&member.borrow(), record.traced + 2);
                let what = format!("{record:?}: {fault}{shown}");
                self.outcome.violations.push(what);
            }
            if record.has_run && record.id != INTERNAL_ID {
                let (count, end) = runs.entry(record.id.clone()).or_insert((0, 0));
                *count += 1;
                *end = record.traced + SHOWN_LINES / 2;
            }
        }
        for (id, (count, end)) in &runs {
            let shown = show_lines(&member.borrow(), *end);
            if *count > 1 {
                let what = format!("{id} ran {count} times{shown}");
                self.outcome.violations.push(what);
            }
            if self.rejected.contains(id) {
                let what = format!("{id} ran, but was reported as not run{shown}");
                self.outcome.violations.push(what);
            }
        }
    }

    fn find_fault(&self, record: &Record) -> Option<String> {
        if record.id == INTERNAL_ID {
            let text = record.text.as_str();
            let is_own = OWN_TEXTS.contains(&text)
                || self.commands.iter().any(|command| command == text)
                || is_setup(text);
            return (!is_own).then(|| "never asked for".to_owned());
        }
        if record.text == "BEGIN" || record.text == "BEGIN READ" {
            return None;
        }
        let Some(asked) = self.asked.get(&record.id) else {
            return Some("an id that nobody sent".to_owned());
        };
        if asked.text != record.text {
            return Some(format!("another text than {:?}", asked.text));
        }
        if !record.has_run {
            return None;
        }
        if asked.values != record.values {
            return Some(format!("run with other values than {:?}", asked.values));
        }
        if asked.shape != record.shape {
            return Some(format!("run with another shape than {:?}", asked.shape));
        }
        if asked.transaction != record.transaction {
            return Some(format!("run outside of {:?}", asked.transaction));
        }
        None
    }
}

/// Whether the text sets a value or prepares a statement, of the driver's or the adapter's.
fn is_setup(text: &str) -> bool {
    if text.starts_with("PREPARE larkfall") && text.ends_with(" READ larkfall") {
        return true;
    }
    let is_value = |(name, value): &(&str, &str)| text == format!("SET {name} {value}");
    let is_prepared = |(name, shape): &(&str, &str)| text == format!("PREPARE {name} {shape}");
    SESSIONS.iter().any(|values| values.iter().any(is_value)) || PREPARED.iter().any(is_prepared)
}

/// Shows the lines of the trace before `end`.
fn show_lines(member: &Member, end: usize) -> String {
    let end = end.min(member.trace.len());
    let first = end.saturating_sub(SHOWN_LINES);
    let lines = member.trace[first..end].join("\n    ");
    format!("; lines:\n    {lines}")
}

/// Compares an answer with the member's own.
fn compare(record: &Record, answer: &Answer) -> Option<String> {
    if answer.messages != record.lines.as_bytes() {
        return Some(format!("answered {:?}", answer.messages));
    }
    if answer.status != Some(record.status) {
        return Some(format!("state {:?}", answer.status));
    }
    (answer.position != record.position).then(|| format!("position {:?}", answer.position))
}
