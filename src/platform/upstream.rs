//! Connections to members over the line protocol.

use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use slog::Logger;

use super::failure::code;
use super::line::{Channel, FrameError, Frames, LineError, excerpt};
use super::protocol::{format_position, parse_position, split_word};
use crate::borders::upstream::{
    Answer, Begin, ConnectError, Dialer, Keyed, Rejection, Status, Task, Upstream, UpstreamError,
    Verdict,
};
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
    /// Whether an answer is outstanding or was read only in part. Such a connection is never
    /// reused.
    out_of_sync: bool,
}

/// A complete answer in the protocol's format.
struct RawReply {
    /// Lines before the READY line, with their line endings.
    lines: String,
    /// Error code, if the answer is an error.
    error: Option<String>,
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
                connection.read_ready(rest).map_err(|error| lost(&error))?;
                Ok(connection)
            }
            "ERROR" if rest.starts_with("WRONGNODE") => {
                Err(ConnectError::WrongMember(rest.to_owned()))
            }
            "ERROR" => Err(ConnectError::Full(rest.to_owned())),
            _ => Err(lost(&format!("answered {line:?}"))),
        }
    }

    /// Reads the transaction state and the position from the operands of a READY line.
    fn read_ready(&mut self, rest: &str) -> Result<(), UpstreamError> {
        let (state, at) = split_word(rest);
        self.status = match state {
            "I" => Status::Idle,
            "T" => Status::Transaction,
            "E" => Status::Failed,
            _ => return Err(UpstreamError::InvalidAnswer(format!("state {state:?}"))),
        };
        self.position = parse_position(at).or(self.position);
        Ok(())
    }

    /// Reads one complete answer.
    async fn read_reply(&mut self) -> Result<RawReply, UpstreamError> {
        let mut reply = RawReply {
            lines: String::new(),
            error: None,
        };
        let mut ended = false;
        loop {
            let line = self.channel.read().await?;
            let (verb, rest) = split_word(&line);
            match verb {
                "READY" if ended => {
                    self.read_ready(rest)?;
                    return Ok(reply);
                }
                "DATA" if !ended => {}
                "COMPLETE" if !ended => ended = true,
                "ERROR" if !ended => {
                    ended = true;
                    reply.error = Some(split_word(rest).0.to_owned());
                }
                _ => return Err(UpstreamError::InvalidAnswer(format!("answered {line:?}"))),
            }
            reply.lines.push_str(&line);
            reply.lines.push_str("\r\n");
        }
    }

    /// Runs one setup step. Returns the answer to its statement if the step failed.
    async fn run_step(
        &mut self,
        step: &Step,
        floor: &str,
    ) -> Result<Option<Answer>, UpstreamError> {
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
        let query = match query(id, &text) {
            Ok(query) => query,
            Err(error) => return Ok(Some(self.refuse(&error))),
        };
        self.channel.write(&query).await?;
        let reply = self.read_reply().await?;
        if reply.error.is_some() {
            return Ok(Some(self.to_answer(reply)));
        }
        self.setup_state.record(step);
        Ok(None)
    }

    fn to_answer(&self, reply: RawReply) -> Answer {
        let verdict = match reply.error.as_deref() {
            None => Verdict::Done,
            Some("READONLY") => Verdict::Rejection(Rejection::NotPrimary),
            Some("LAGGING") => Verdict::Rejection(Rejection::Lagging),
            Some("RETRY" | "OVERLOAD") => Verdict::Rejection(Rejection::Busy),
            Some("NOSTMT") => Verdict::Rejection(Rejection::NotPrepared),
            Some(_) => Verdict::Failed,
        };
        Answer {
            messages: Bytes::from(reply.lines),
            status: Some(self.status),
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
        let mut opened = false;
        if let Some(setup) = task.setup {
            for step in self.setup_state.steps_to(setup) {
                if let Some(refused) = self.run_step(&step, &floor).await? {
                    return Ok(refused);
                }
                opened |= matches!(step, Step::Open(_));
            }
        }
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
        let reply = self.read_reply().await?;
        if reply.error.as_deref() == Some("NOSTMT")
            && let Some(prepared) = task.setup.and_then(|setup| setup.prepared.as_ref())
        {
            self.setup_state.forget_prepared(prepared);
        }
        Ok(self.to_answer(reply))
    }
}

impl From<LineError> for UpstreamError {
    fn from(error: LineError) -> Self {
        match error {
            LineError::Io(_) | LineError::Closed => UpstreamError::Lost(error.to_string()),
            _ => UpstreamError::InvalidAnswer(error.to_string()),
        }
    }
}

#[async_trait(?Send)]
impl Upstream for Connection {
    async fn run(&mut self, task: &Task<'_>) -> Result<Answer, UpstreamError> {
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
        if self.out_of_sync {
            let why = "an answer is still out".to_owned();
            return Err(UpstreamError::Lost(why));
        }
        if self.status == Status::Idle {
            return Ok(());
        }
        self.out_of_sync = true;
        let query = query(INTERNAL_ID, "ROLLBACK").expect("a short text");
        self.channel.write(&query).await?;
        self.read_reply().await?;
        self.out_of_sync = false;
        Ok(())
    }

    fn position(&self) -> Option<Position> {
        self.position
    }

    fn is_reusable(&mut self) -> bool {
        if self.out_of_sync || self.status != Status::Idle {
            return false;
        }
        let quiet = self.channel.is_quiet();
        if let Some(input) = self.channel.unread() {
            self.report.unexpected_input(input);
        }
        quiet
    }
}
