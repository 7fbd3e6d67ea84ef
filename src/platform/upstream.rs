//! A connection to a member that speaks lines.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::net::TcpSocket;

use super::line::{Channel, LineError};
use super::words::{position, position_text, word};
use crate::borders::upstream::{
    Answer, Begin, ConnectError, Dialer, Keyed, Rejection, Status, Task, Upstream, UpstreamError,
    Verdict,
};
use crate::decisions::position::Position;
use crate::decisions::setup::{Fitting, Step};
use crate::declarations::resource::Member;

/// Who calls, as members are told, where it is no workspace.
const NOBODY: &str = "larkfall";
/// Id of statements of our own.
pub const OWN: &str = "-";

/// Opens connections from one address.
pub struct Remote {
    pub from: IpAddr,
    /// Time a new connection may take.
    pub wait: Duration,
}

#[async_trait(?Send)]
impl Dialer for Remote {
    async fn connect(
        &self,
        member: &Member,
        workspace: Option<&str>,
    ) -> Result<Box<dyn Upstream>, ConnectError> {
        let opened = Connection::open(self.from, member, workspace.unwrap_or(NOBODY));
        let opened = tokio::time::timeout(self.wait, opened).await;
        Ok(Box::new(opened.map_err(|_| ConnectError::TimedOut)??))
    }
}

/// An open connection and what it carries from earlier statements.
struct Connection {
    channel: Channel,
    position: Option<Position>,
    status: Status,
    fitting: Fitting,
    /// An answer is still out, or was cut short: never to be used again.
    spoilt: bool,
}

/// A whole answer in the protocol's words.
struct Reply {
    /// Lines up to the one that tells the state, with their ends.
    lines: String,
    /// Code of an error.
    error: Option<String>,
}

impl Connection {
    async fn open(from: IpAddr, member: &Member, who: &str) -> Result<Self, ConnectError> {
        let lost = |error: &dyn std::fmt::Display| ConnectError::Lost(error.to_string());
        let stream = dial(from, &member.address.sql).await;
        let mut connection = Self {
            channel: Channel::new(stream.map_err(|error| lost(&error))?),
            position: None,
            status: Status::Idle,
            fitting: Fitting::default(),
            spoilt: false,
        };
        let hello = format!("CONNECT {} {who} {}\r\n", member.group, member.name);
        let sent = connection.channel.write(hello.as_bytes()).await;
        sent.map_err(|error| lost(&error))?;
        let line = connection.channel.read().await;
        let line = line.map_err(|error| lost(&error))?;
        let (verb, rest) = word(&line);
        match verb {
            "READY" => {
                connection.ready(rest).map_err(|error| lost(&error))?;
                Ok(connection)
            }
            "ERROR" if rest.starts_with("WRONGNODE") => {
                Err(ConnectError::WrongMember(rest.to_owned()))
            }
            "ERROR" => Err(ConnectError::Full(rest.to_owned())),
            _ => Err(lost(&format!("answered {line:?}"))),
        }
    }

    fn ready(&mut self, rest: &str) -> Result<(), UpstreamError> {
        let (state, at) = word(rest);
        self.status = match state {
            "I" => Status::Idle,
            "T" => Status::Transaction,
            "E" => Status::Failed,
            _ => return Err(UpstreamError::InvalidAnswer(format!("state {state:?}"))),
        };
        self.position = position(at).or(self.position);
        Ok(())
    }

    async fn send(&mut self, id: &str, text: &str) -> Result<(), LineError> {
        let line = format!("QUERY {id} {text}\r\n");
        self.channel.write(line.as_bytes()).await
    }

    /// Reads one whole answer.
    async fn answer(&mut self) -> Result<Reply, UpstreamError> {
        let mut reply = Reply {
            lines: String::new(),
            error: None,
        };
        let mut ended = false;
        loop {
            let line = self.channel.read().await?;
            let (verb, rest) = word(&line);
            match verb {
                "READY" if ended => {
                    self.ready(rest)?;
                    return Ok(reply);
                }
                "DATA" if !ended => {}
                "COMPLETE" if !ended => ended = true,
                "ERROR" if !ended => {
                    ended = true;
                    reply.error = Some(word(rest).0.to_owned());
                }
                _ => return Err(UpstreamError::InvalidAnswer(format!("answered {line:?}"))),
            }
            reply.lines.push_str(&line);
            reply.lines.push_str("\r\n");
        }
    }

    /// Does one thing before a statement. An error code says that it was not done.
    async fn prepare(&mut self, step: &Step, floor: &str) -> Result<Option<Reply>, UpstreamError> {
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
            _ => OWN,
        };
        self.send(id, &text).await?;
        let reply = self.answer().await?;
        if reply.error.is_some() {
            return Ok(Some(reply));
        }
        self.fitting.done(step);
        Ok(None)
    }

    fn typed(&self, reply: Reply) -> Answer {
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

    async fn exchange(&mut self, task: &Task<'_>) -> Result<Answer, UpstreamError> {
        let floor = match task.floor {
            Some(floor) if floor > Position::ZERO => {
                format!("AFTER {} ", position_text(Some(floor)))
            }
            _ => String::new(),
        };
        let mut begun = false;
        if let Some(setup) = task.setup {
            for step in self.fitting.steps(setup) {
                if let Some(refused) = self.prepare(&step, &floor).await? {
                    return Ok(self.typed(refused));
                }
                begun |= matches!(step, Step::Open(_));
            }
        }
        let payload = std::str::from_utf8(task.payload)
            .map_err(|error| UpstreamError::InvalidAnswer(error.to_string()))?;
        let (id, text) = word(payload);
        // Inside a transaction its BEGIN has named the floor.
        let outside = self.status == Status::Idle && !begun;
        let floor = if outside { floor.as_str() } else { "" };
        self.send(id, &format!("{floor}{text}")).await?;
        let reply = self.answer().await?;
        if reply.error.as_deref() == Some("NOSTMT")
            && let Some(prepared) = task.setup.and_then(|setup| setup.prepared.as_ref())
        {
            self.fitting.forget(prepared);
        }
        Ok(self.typed(reply))
    }
}

async fn dial(from: IpAddr, address: &Arc<str>) -> std::io::Result<tokio::net::TcpStream> {
    let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(from, 0))?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
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
        // Stays so when the caller gives up and drops this future half-way.
        self.spoilt = true;
        let answer = self.exchange(task).await?;
        self.spoilt = false;
        Ok(answer)
    }

    async fn run_keyed(&mut self, _: &Task<'_>, _: &str) -> Result<Keyed, UpstreamError> {
        let why = "members that speak lines keep no ledger of keys";
        Err(UpstreamError::InvalidAnswer(why.to_owned()))
    }

    async fn roll_back(&mut self) -> Result<(), UpstreamError> {
        if self.spoilt {
            let why = "an answer is still out".to_owned();
            return Err(UpstreamError::Lost(why));
        }
        if self.status == Status::Idle {
            return Ok(());
        }
        self.spoilt = true;
        self.send(OWN, "ROLLBACK").await?;
        self.answer().await?;
        self.spoilt = false;
        Ok(())
    }

    fn position(&self) -> Option<Position> {
        self.position
    }

    fn is_reusable(&mut self) -> bool {
        !self.spoilt && self.status == Status::Idle && self.channel.is_quiet()
    }
}
