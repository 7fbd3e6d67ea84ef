//! Connections to members over the line protocol.
//!
//! Answers are matched with statements by [`History`]. Where it can't tell, a barrier shows whether
//! another answer arrives before the barrier's own.

use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use slog::Logger;

use super::failure::code;
use super::line::{Channel, FrameError, Frames, excerpt};
use super::protocol::{format_position, split_word};
use super::reply::{Reply, parse_ready};
use crate::borders::upstream::{
    Answer, Begin, ConnectError, Dialer, Keyed, Status, Task, Upstream, UpstreamError, Verdict,
};
use crate::decisions::answers::{Expected, Form, History, Match};
use crate::decisions::position::Position;
use crate::decisions::setup::{State, Step};
use crate::declarations::resource::Member;
use crate::dial::dial;
use crate::events;
use crate::metrics::Metrics;

/// Workspace name sent to members for connections that belong to no workspace.
const NO_WORKSPACE: &str = "larkfall";
/// Id of statements that the proxy itself sends.
pub const INTERNAL_ID: &str = "-";

/// Opens connections from one local address.
pub struct LineDialer {
    pub from: IpAddr,
    pub connect_timeout: Duration,
    pub metrics: Rc<Metrics>,
    pub log: Logger,
}

#[async_trait(?Send)]
impl Dialer for LineDialer {
    async fn connect(
        &self,
        member: &Member,
        workspace: Option<&str>,
    ) -> Result<Box<dyn Upstream>, ConnectError> {
        let report = Report {
            group: member.group.clone(),
            member: member.name.clone(),
            metrics: self.metrics.clone(),
            log: self.log.clone(),
        };
        let workspace = workspace.unwrap_or(NO_WORKSPACE);
        let opened = Connection::open(self.from, member, workspace, report);
        let opened = tokio::time::timeout(self.connect_timeout, opened).await;
        Ok(Box::new(opened.map_err(|_| ConnectError::TimedOut)??))
    }
}

/// Reports what a member sends beyond its answers.
struct Report {
    group: Arc<str>,
    member: Arc<str>,
    metrics: Rc<Metrics>,
    log: Logger,
}

impl Report {
    fn unexpected_input(&self, input: &[u8]) {
        self.metrics.unexpected_input.add(1, &[]);
        let fields: [(_, &dyn std::fmt::Display); 3] = [
            ("group", &self.group),
            ("member", &self.member),
            ("input", &excerpt(input)),
        ];
        events::emit(&self.log, &events::UNEXPECTED_INPUT, &fields);
    }
}

/// An open connection and the state left on it by earlier statements.
struct Connection {
    report: Report,
    channel: Channel,
    position: Option<Position>,
    status: Status,
    /// Settings, prepared statements and transaction set up on the connection.
    setup_state: State,
    /// The answers that arrived.
    history: History,
    /// Whether the statements of a later task would run in another state than they expect.
    is_abandoned: bool,
    /// Whether an answer is outstanding or was read only in part. Such a connection is never
    /// reused.
    out_of_sync: bool,
}

/// A statement that changes nothing, also inside a transaction.
const BARRIER: &str = "PREPARE larkfall READ larkfall";

/// Returns the message that runs a setup step.
fn step_query(step: &Step, floor: &str) -> Result<Frames, FrameError> {
    let text = match step {
        Step::Reset => "RESET".to_owned(),
        Step::Set { name, value } => format!("SET {name} {value}"),
        Step::Prepare(prepared) => format!("PREPARE {} {}", prepared.name, prepared.text),
        Step::Open(opening) => match opening.begin {
            Begin::ReadWrite => format!("{floor}BEGIN"),
            Begin::ReadOnly => format!("{floor}BEGIN READ"),
        },
    };
    let id = match step {
        Step::Open(opening) => &*opening.id,
        _ => INTERNAL_ID,
    };
    query(id, &text)
}

/// Returns the message that runs a statement.
fn query(id: &str, text: &str) -> Result<Frames, FrameError> {
    Frames::new(&format!("QUERY {id} {text}"))
}

impl Connection {
    async fn open(
        from: IpAddr,
        member: &Member,
        workspace: &str,
        report: Report,
    ) -> Result<Self, ConnectError> {
        let lost = |error: &dyn std::fmt::Display| ConnectError::Lost(error.to_string());
        let stream = dial(from, &member.address.sql).await;
        let mut connection = Self {
            report,
            channel: Channel::new(stream.map_err(|error| lost(&error))?),
            position: None,
            status: Status::Idle,
            setup_state: State::default(),
            history: History::default(),
            is_abandoned: false,
            out_of_sync: false,
        };
        let hello = Frames::new(&format!(
            "CONNECT {} {workspace} {}",
            member.group, member.name
        ));
        let hello = hello.map_err(|error| lost(&error))?;
        let sent = connection.channel.write(&hello).await;
        sent.map_err(|error| lost(&error))?;
        let line = connection.channel.read().await;
        let line = line.map_err(|error| lost(&error))?;
        let (verb, rest) = split_word(&line);
        match verb {
            "READY" => {
                let ready = parse_ready(rest).map_err(|error| lost(&error))?;
                (connection.status, connection.position) = ready;
                Ok(connection)
            }
            "ERROR" if rest.starts_with("WRONGNODE") => {
                Err(ConnectError::WrongMember(rest.to_owned()))
            }
            "ERROR" => Err(ConnectError::Full(rest.to_owned())),
            _ => Err(lost(&format!("answered {line:?}"))),
        }
    }

    /// Reads the answer to the statement sent last.
    async fn read_reply(&mut self, expected: Expected) -> Result<Reply, UpstreamError> {
        let (matched, first) = self.read_candidate(expected).await?;
        let reply = match matched {
            Match::Ambiguous => self.settle(expected, first).await?,
            _ => first,
        };
        self.history.record(&reply.received());
        if matched == Match::Ambiguous {
            self.history.record_barrier();
        }
        self.status = reply.status;
        self.position = reply.position.or(self.position);
        Ok(reply)
    }

    /// Reads the next answer that may be that of the statement sent last.
    async fn read_candidate(
        &mut self,
        expected: Expected,
    ) -> Result<(Match, Reply), UpstreamError> {
        loop {
            let reply = Reply::read(&mut self.channel).await?;
            match self.history.match_answer(expected, &reply.received()) {
                Match::Repeated => self.discard(&reply),
                Match::Unknown => return Err(reply.into_unknown()),
                matched => return Ok((matched, reply)),
            }
        }
    }

    fn discard(&mut self, reply: &Reply) {
        self.history.record_repetition();
        self.report.unexpected_input(reply.lines.as_bytes());
    }

    /// Returns the answer to the statement sent last, of which `first` has the form, but may be a
    /// repetition.
    async fn settle(&mut self, expected: Expected, first: Reply) -> Result<Reply, UpstreamError> {
        let mut own = None;
        for barrier in self.send_barrier(first.status).await? {
            let completes = Expected {
                form: Form::Completion,
                status: *barrier,
            };
            loop {
                let reply = Reply::read(&mut self.channel).await?;
                let received = reply.received();
                let is_own = self.history.match_answer(expected, &received) == Match::Own;
                match received.form {
                    // One of two equal errors is the statement's, the other a barrier's.
                    Form::Error if own.is_none() && received.text == first.lines => {
                        return Ok(first);
                    }
                    Form::Error => return Err(reply.into_unknown()),
                    _ if is_own && own.is_none() => own = Some(reply),
                    _ if received.text == first.lines => self.discard(&reply),
                    _ => match self.history.match_answer(completes, &received) {
                        Match::Own => {
                            self.history.record(&received);
                            break;
                        }
                        Match::Repeated => self.discard(&reply),
                        _ => return Err(reply.into_unknown()),
                    },
                }
            }
        }
        match (own, first.received().form) {
            (Some(_), Form::Error) => Err(first.into_unknown()),
            (Some(own), _) => {
                self.discard(&first);
                Ok(own)
            }
            // A digest that isn't new says nothing of its statement.
            (None, Form::Digest) => Err(first.into_unknown()),
            (None, _) => Ok(first),
        }
    }

    /// Sends statements that change nothing but end a failed transaction, and returns the states in
    /// which they complete.
    async fn send_barrier(&mut self, status: Status) -> Result<&'static [Status], UpstreamError> {
        let (texts, states): (&[&str], &[Status]) = match status {
            Status::Idle => (
                &["BEGIN READ", "ROLLBACK"],
                &[Status::Transaction, Status::Idle],
            ),
            Status::Transaction => (&[BARRIER], &[Status::Transaction]),
            Status::Failed => {
                self.is_abandoned = true;
                (&["ROLLBACK"], &[Status::Idle])
            }
        };
        let mut barrier = Frames::default();
        for text in texts {
            barrier.append(query(INTERNAL_ID, text).expect("a short text"));
        }
        self.channel.write(&barrier).await?;
        Ok(states)
    }

    /// Sends statements that complete without rows, with the states in which they do, and reads
    /// their answers. Returns the first error.
    async fn complete(
        &mut self,
        mut queries: Frames,
        mut states: Vec<Status>,
    ) -> Result<Option<Reply>, UpstreamError> {
        let barriers = self.history.barriers_behind(states.len());
        for _ in 0..barriers {
            queries.append(query(INTERNAL_ID, BARRIER).expect("a short text"));
            states.extend(states.last().copied());
        }
        self.channel.write(&queries).await?;
        let form = Form::Completion;
        for status in states {
            let reply = self.read_reply(Expected { form, status }).await?;
            if reply.error().is_some() {
                self.is_abandoned = true;
                return Ok(Some(reply));
            }
        }
        if barriers > 0 {
            self.history.record_barrier();
        }
        Ok(None)
    }

    /// Runs the setup steps. Returns the answer to their statement if a step failed.
    async fn run_steps(
        &mut self,
        steps: &[Step],
        floor: &str,
    ) -> Result<Option<Answer>, UpstreamError> {
        let mut queries = Frames::default();
        let mut states = Vec::new();
        for step in steps {
            match step_query(step, floor) {
                Ok(query) => queries.append(query),
                Err(error) => return Ok(Some(self.refuse(&error))),
            }
            states.push(match step {
                Step::Open(_) => Status::Transaction,
                _ => self.status,
            });
        }
        if let Some(failed) = self.complete(queries, states).await? {
            return Ok(Some(self.to_answer(failed)));
        }
        for step in steps {
            self.setup_state.record(step);
        }
        Ok(None)
    }

    fn to_answer(&self, reply: Reply) -> Answer {
        let verdict = reply.verdict();
        Answer {
            messages: Bytes::from(reply.lines),
            status: Some(reply.status),
            position: self.position,
            verdict,
        }
    }

    /// Returns the answer to a statement that can't be sent.
    fn refuse(&self, error: &FrameError) -> Answer {
        let mut lines = Frames::default();
        lines.push_error(&format!("ERROR {} not run: {error}", code::MALFORMED));
        Answer {
            messages: lines.into_bytes(),
            status: Some(self.status),
            position: None,
            verdict: Verdict::Failed,
        }
    }

    async fn run_task(&mut self, task: &Task<'_>) -> Result<Answer, UpstreamError> {
        let floor = match task.floor {
            Some(floor) if floor > Position::ZERO => {
                format!("AFTER {} ", format_position(Some(floor)))
            }
            _ => String::new(),
        };
        let steps = task.setup.map(|setup| self.setup_state.steps_to(setup));
        let steps = steps.unwrap_or_default();
        if let Some(refused) = self.run_steps(&steps, &floor).await? {
            return Ok(refused);
        }
        let opened = steps.iter().any(|step| matches!(step, Step::Open(_)));
        let payload = std::str::from_utf8(task.payload)
            .map_err(|error| UpstreamError::InvalidAnswer(error.to_string()))?;
        let (id, text) = split_word(payload);
        // Inside a transaction, BEGIN has already sent the floor.
        let outside_transaction = self.status == Status::Idle && !opened;
        let floor = if outside_transaction {
            floor.as_str()
        } else {
            ""
        };
        let query = match query(id, &format!("{floor}{text}")) {
            Ok(query) => query,
            Err(error) => return Ok(self.refuse(&error)),
        };
        self.channel.write(&query).await?;
        let form = match id {
            INTERNAL_ID => Form::Rows,
            _ => Form::Digest,
        };
        let status = match text {
            "COMMIT" => Status::Idle,
            _ => self.status,
        };
        let reply = self.read_reply(Expected { form, status }).await?;
        if reply.error() == Some("NOSTMT")
            && let Some(prepared) = task.setup.and_then(|setup| setup.prepared.as_ref())
        {
            self.setup_state.forget_prepared(prepared);
        }
        Ok(self.to_answer(reply))
    }
}

#[async_trait(?Send)]
impl Upstream for Connection {
    async fn run(&mut self, task: &Task<'_>) -> Result<Answer, UpstreamError> {
        if self.is_abandoned {
            let why = "not sent: setup steps or the transaction failed before".to_owned();
            return Err(UpstreamError::InvalidAnswer(why));
        }
        // Stays set if this future is dropped before the answer is complete.
        self.out_of_sync = true;
        let answer = self.run_task(task).await?;
        self.out_of_sync = false;
        Ok(answer)
    }

    async fn run_keyed(&mut self, _: &Task<'_>, _: &str) -> Result<Keyed, UpstreamError> {
        let why = "members that speak lines keep no ledger of keys";
        Err(UpstreamError::InvalidAnswer(why.to_owned()))
    }

    async fn roll_back(&mut self) -> Result<(), UpstreamError> {
        if self.out_of_sync || !self.history.is_reliable() {
            let why = "closed instead of rolled back".to_owned();
            return Err(UpstreamError::Lost(why));
        }
        if self.status == Status::Idle {
            return Ok(());
        }
        self.out_of_sync = true;
        let query = query(INTERNAL_ID, "ROLLBACK").expect("a short text");
        self.complete(query, vec![Status::Idle]).await?;
        self.out_of_sync = false;
        Ok(())
    }

    fn position(&self) -> Option<Position> {
        self.position
    }

    fn is_reusable(&mut self) -> bool {
        let reliable = !self.out_of_sync && self.history.is_reliable();
        if !reliable || self.status != Status::Idle {
            return false;
        }
        let quiet = self.channel.is_quiet();
        if let Some(input) = self.channel.unread() {
            self.report.unexpected_input(input);
        }
        quiet
    }
}
