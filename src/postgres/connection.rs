//! Connections to members over the PostgreSQL protocol.

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::BytesMut;
use futures::FutureExt;
use pgwire::messages::PgWireBackendMessage as Back;
use pgwire::messages::PgWireFrontendMessage as Front;
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{Authentication, ParameterStatus, Startup};
use tokio::net::TcpSocket;

use super::channel::{Channel, ChannelError};
use super::steps::{Close, Expect, Step, Steps};
use super::transaction::Transaction;
use super::{ledger, relay, response};
use crate::borders::upstream::{
    Answer, ConnectError, Dialer, Keyed, Task, Upstream, UpstreamError,
};
use crate::decisions::position::Position;
use crate::declarations::resource::Member;

/// A connection with more prepared statements is not reused.
const MAX_PREPARED_STATEMENTS: usize = 500;

/// Opens connections to members.
pub struct Connector {
    /// Local address that connections are made from.
    pub source: IpAddr,
    /// Limit for connecting and starting up.
    pub timeout: Duration,
}

#[async_trait(?Send)]
impl Dialer for Connector {
    /// Connects as the same user for every workspace, so that any workspace can reuse a
    /// pooled connection.
    async fn connect(
        &self,
        member: &Member,
        _: Option<&str>,
    ) -> Result<Box<dyn Upstream>, ConnectError> {
        let opened = Connection::open(self.source, &member.address.sql);
        let opened = tokio::time::timeout(self.timeout, opened).await;
        Ok(Box::new(opened.map_err(|_| ConnectError::TimedOut)??))
    }
}

/// An open connection to a member.
pub struct Connection {
    pub channel: Channel,
    /// Names of the statements prepared on the connection.
    pub prepared: HashSet<Arc<str>>,
    /// Position that the member last reported on the connection.
    pub position: Option<Position>,
    /// Number of exchanges that were sent.
    pub exchanges: u64,
    pub transaction: Transaction,
    /// Whether the member skips messages up to the next Sync, after an error.
    pub skipping: bool,
}

impl Connection {
    async fn open(source: IpAddr, address: &str) -> Result<Self, ConnectError> {
        let lost = |error: &dyn std::fmt::Display| ConnectError::Lost(error.to_string());
        let channel = open_channel(source, address)
            .await
            .map_err(|error| lost(&error))?;
        let mut connection = Self {
            channel,
            prepared: HashSet::new(),
            position: None,
            exchanges: 0,
            transaction: Transaction::default(),
            skipping: false,
        };
        loop {
            let message = connection.channel.read_backend().await;
            match message.map_err(|error| lost(&error))? {
                Back::ReadyForQuery(_) => return Ok(connection),
                Back::ParameterStatus(parameter)
                    if parameter.name == response::POSITION_PARAMETER =>
                {
                    connection.position = parameter.value.parse().ok();
                }
                Back::Authentication(Authentication::Ok)
                | Back::ParameterStatus(_)
                | Back::BackendKeyData(_)
                | Back::NoticeResponse(_) => {}
                Back::ErrorResponse(error) => {
                    return Err(ConnectError::Full(response::sqlstate(&error).to_owned()));
                }
                other => return Err(lost(&format!("unexpected message {other:?}"))),
            }
        }
    }

    /// Runs a statement of the proxy itself as a simple query.
    pub async fn query(&mut self, sql: &str) -> Result<relay::Answer, ChannelError> {
        let mut bytes = BytesMut::new();
        Front::Query(Query::new(sql.to_owned())).encode(&mut bytes)?;
        let step = Step::Send {
            bytes: bytes.freeze(),
            expect: Expect::Whole,
        };
        relay::run(self, &[step], Close::Query).await
    }

    /// Runs a statement of the proxy itself that must complete with the tag.
    pub async fn command(&mut self, sql: &str, tag: &str) -> Result<relay::Answer, ChannelError> {
        let answer = self.query(sql).await?;
        answer.expect_tag(tag)?;
        Ok(answer)
    }

    /// Handles messages that a server may send at any time; returns whether nothing else came.
    fn take_unasked(&mut self) -> bool {
        loop {
            match self.channel.decode_backend(&mut BytesMut::new()) {
                Ok(Some(Back::ParameterStatus(parameter))) => self.record_parameter(&parameter),
                Ok(Some(Back::NoticeResponse(_) | Back::NotificationResponse(_))) => {}
                Ok(Some(_)) | Err(_) => return false,
                Ok(None) => match self.channel.fill().now_or_never() {
                    None => return !self.channel.has_input(),
                    Some(Ok(())) => {}
                    Some(Err(_)) => return false,
                },
            }
        }
    }

    fn record_parameter(&mut self, parameter: &ParameterStatus) {
        if parameter.name == response::POSITION_PARAMETER {
            self.position = parameter.value.parse().ok().or(self.position);
        }
    }
}

/// Connects to an address and sends the start-up message.
async fn open_channel(source: IpAddr, address: &str) -> Result<Channel, ChannelError> {
    let invalid = |_| ChannelError::Unexpected(format!("address {address}"));
    let address: SocketAddr = address.parse().map_err(invalid)?;
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source, 0))?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    let mut channel = Channel::new(Box::new(stream));
    channel.mark_started();
    let user = [("user".to_owned(), "larkfall".to_owned())];
    let mut startup = Startup::new();
    startup.protocol_number_minor = 0;
    startup.parameters = user.into_iter().collect();
    channel.queue_frontend(&Front::Startup(startup))?;
    channel.flush().await?;
    Ok(channel)
}

impl From<ChannelError> for UpstreamError {
    fn from(error: ChannelError) -> Self {
        match error {
            ChannelError::Io(_) | ChannelError::Closed => UpstreamError::Lost(error.to_string()),
            _ => UpstreamError::InvalidAnswer(error.to_string()),
        }
    }
}

fn decode_steps(task: &Task<'_>) -> Result<Steps, UpstreamError> {
    let steps = Steps::from_payload(task.payload);
    steps.map_err(|error| UpstreamError::InvalidAnswer(error.to_string()))
}

#[async_trait(?Send)]
impl Upstream for Connection {
    async fn run(&mut self, task: &Task<'_>) -> Result<Answer, UpstreamError> {
        let steps = decode_steps(task)?;
        let answer = relay::run(self, &steps.steps, steps.close).await?;
        Ok(answer.into_upstream())
    }

    async fn run_keyed(&mut self, task: &Task<'_>, key: &str) -> Result<Keyed, UpstreamError> {
        let steps = decode_steps(task)?;
        Ok(ledger::run_once(self, &steps, key).await?)
    }

    async fn roll_back(&mut self) -> Result<(), UpstreamError> {
        self.command("ROLLBACK", "ROLLBACK").await?;
        Ok(())
    }

    fn position(&self) -> Option<Position> {
        self.position
    }

    fn is_reusable(&mut self) -> bool {
        let under_limit = self.prepared.len() <= MAX_PREPARED_STATEMENTS;
        under_limit && !self.skipping && self.transaction.is_idle() && self.take_unasked()
    }
}
