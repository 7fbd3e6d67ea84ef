//! Connections to the members of the owned groups.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use pgwire::messages::PgWireBackendMessage as Back;
use pgwire::messages::PgWireFrontendMessage as Front;
use pgwire::messages::startup::{Authentication, Startup};
use tokio::net::TcpSocket;

use crate::decisions::position::Position;
use crate::wire::channel::{Channel, ChannelError};
use crate::wire::report;

/// Statements kept prepared on one connection; above it the connection is not kept.
const MOST_STATEMENTS: usize = 500;

/// Why no connection could be made. The statement was not sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    #[error("{0}")]
    Channel(#[from] ChannelError),
    #[error("the member refuses connections: {0}")]
    Full(String),
    #[error("no connection in time")]
    Late,
}

/// An open connection and what is prepared on it.
pub struct Connection {
    pub channel: Channel,
    pub prepared: HashSet<Arc<str>>,
    /// Position that the member reported last on it.
    pub position: Option<Position>,
}

impl Connection {
    /// Opens a connection to `address`, an `IP:port`, from `from`.
    pub async fn open(from: IpAddr, address: &str, wait: Duration) -> Result<Self, ConnectError> {
        tokio::time::timeout(wait, Self::start(from, address))
            .await
            .map_err(|_| ConnectError::Late)?
    }

    async fn start(from: IpAddr, address: &str) -> Result<Self, ConnectError> {
        let invalid = |_| ChannelError::Unexpected(format!("address {address}"));
        let address: SocketAddr = address.parse().map_err(invalid)?;
        let socket = TcpSocket::new_v4().map_err(ChannelError::from)?;
        socket
            .bind(SocketAddr::new(from, 0))
            .map_err(ChannelError::from)?;
        let stream = socket.connect(address).await.map_err(ChannelError::from)?;
        stream.set_nodelay(true).map_err(ChannelError::from)?;
        let mut channel = Channel::new(Box::new(stream));
        channel.opened();
        let user = [("user".to_owned(), "larkfall".to_owned())];
        let mut startup = Startup::new();
        startup.protocol_number_minor = 0;
        startup.parameters = user.into_iter().collect();
        channel.queue_front(&Front::Startup(startup))?;
        channel.flush().await?;
        let mut position = None;
        loop {
            match channel.read_back().await? {
                Back::ReadyForQuery(_) => break,
                Back::ParameterStatus(parameter) if parameter.name == report::POSITION => {
                    position = parameter.value.parse().ok();
                }
                Back::Authentication(Authentication::Ok)
                | Back::ParameterStatus(_)
                | Back::BackendKeyData(_)
                | Back::NoticeResponse(_) => {}
                Back::ErrorResponse(error) => {
                    let code = report::code_of(&error).to_owned();
                    return Err(ConnectError::Full(code));
                }
                other => return Err(ChannelError::Unexpected(format!("{other:?}")).into()),
            }
        }
        Ok(Self {
            channel,
            prepared: HashSet::new(),
            position,
        })
    }

    /// Whether nothing came that nobody asked for, the end included.
    fn is_quiet(&mut self) -> bool {
        !self.channel.has_input() && self.channel.fill().now_or_never().is_none()
    }
}

/// Idle connections by member address.
pub struct Pool {
    from: IpAddr,
    connect_wait: Duration,
    idle: RefCell<HashMap<Arc<str>, Vec<Connection>>>,
}

impl Pool {
    pub fn new(from: IpAddr, connect_wait: Duration) -> Self {
        Self {
            from,
            connect_wait,
            idle: RefCell::default(),
        }
    }

    /// An idle connection, or a new one.
    pub async fn take(&self, address: &Arc<str>) -> Result<Connection, ConnectError> {
        while let Some(mut connection) = self.take_idle(address) {
            if connection.is_quiet() {
                return Ok(connection);
            }
        }
        Connection::open(self.from, address, self.connect_wait).await
    }

    fn take_idle(&self, address: &str) -> Option<Connection> {
        self.idle.borrow_mut().get_mut(address)?.pop()
    }

    /// Takes back a connection whose last answer came whole.
    pub fn put(&self, address: &Arc<str>, connection: Connection) {
        if connection.channel.has_input() || connection.prepared.len() > MOST_STATEMENTS {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        idle.entry(address.clone()).or_default().push(connection);
    }

    /// Closes the idle connections to members that are no longer there.
    pub fn retain(&self, keep: &HashSet<Arc<str>>) {
        self.idle
            .borrow_mut()
            .retain(|address, _| keep.contains(address));
    }

    /// Connections that nobody uses now.
    pub fn idle(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }
}
