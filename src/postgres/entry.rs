//! Accepts callers: checks their start-up message and password, then serves their session.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use async_trait::async_trait;
use pgwire::messages::PgWireBackendMessage as Back;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::{Authentication, BackendKeyData, SecretKey, Startup};
use rand::Rng;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::channel::{Channel, ChannelError, Opening};
use super::response::{self, SqlError};
use super::session::Session;
use crate::decisions::position::Position;
use crate::declarations::resource::Partner;
use crate::declarations::snapshot::group_id;
use crate::events;
use crate::node::context::{Caller, Context};
use crate::node::entry::Entry;
use crate::node::owner::Owner;
use crate::secret;

/// Process id and secret by which a caller cancels its statement.
type CancelKey = (i32, i32);

/// Accepts callers that speak PostgreSQL.
pub struct Acceptor;

#[async_trait(?Send)]
impl Entry for Acceptor {
    async fn serve(
        &self,
        context: Rc<Context>,
        owner: Rc<Owner>,
        listener: TcpListener,
    ) -> std::io::Result<()> {
        Server::new(context, owner).accept_all(listener).await
    }
}

/// Serves the callers of one listener.
struct Server {
    context: Rc<Context>,
    owner: Rc<Owner>,
    /// Open sessions, notified when their caller cancels a statement.
    sessions: RefCell<HashMap<CancelKey, Rc<Notify>>>,
}

impl Server {
    fn new(context: Rc<Context>, owner: Rc<Owner>) -> Rc<Self> {
        Rc::new(Self {
            context,
            owner,
            sessions: RefCell::default(),
        })
    }

    /// Accepts callers until the box shuts down.
    async fn accept_all(self: Rc<Self>, listener: TcpListener) -> std::io::Result<()> {
        let mut shutting_down = self.context.shutting_down.clone();
        loop {
            let (socket, _) = tokio::select! {
                accepted = listener.accept() => accepted?,
                _ = shutting_down.wait_for(|shutting_down| *shutting_down) => return Ok(()),
            };
            let server = self.clone();
            tokio::task::spawn_local(async move {
                let _counted = Caller::new(&server.context);
                if let Err(error) = server.serve_caller(socket).await
                    && !matches!(error, ChannelError::Closed | ChannelError::Io(_))
                {
                    let log = &server.context.log;
                    events::emit(log, &events::CALLER_PROTOCOL, &[("error", &error)]);
                }
            });
        }
    }

    async fn serve_caller(&self, socket: TcpStream) -> Result<(), ChannelError> {
        socket.set_nodelay(true)?;
        let mut channel = Channel::new(Box::new(socket));
        let opening = self.read_startup(&mut channel).await;
        let startup = match opening {
            Ok(Some(startup)) => startup,
            Ok(None) => return Ok(()),
            Err(error @ ChannelError::Malformed(_)) => {
                let refusal = SqlError::fatal("08P01", error.to_string());
                return send_error(&mut channel, &refusal).await.and(Err(error));
            }
            Err(error) => return Err(error),
        };
        let accepted = match self.authenticate(&mut channel, &startup).await? {
            Ok(accepted) => accepted,
            Err(refusal) => {
                let why = &refusal.message;
                events::emit(&self.context.log, &events::CALLER_REFUSED, &[("why", why)]);
                return send_error(&mut channel, &refusal).await;
            }
        };
        self.serve_session(channel, accepted).await
    }

    /// Reads the start-up message; returns none after handling a cancel request.
    async fn read_startup(&self, channel: &mut Channel) -> Result<Option<Startup>, ChannelError> {
        match channel.read_opening().await? {
            Opening::Startup(startup) => Ok(Some(startup)),
            Opening::Cancel { pid, secret } => {
                if let Some(cancel) = self.sessions.borrow().get(&(pid, secret)) {
                    cancel.notify_waiters();
                }
                Ok(None)
            }
        }
    }

    /// Checks the caller's partner, password and group.
    async fn authenticate(
        &self,
        channel: &mut Channel,
        startup: &Startup,
    ) -> Result<Result<Accepted, SqlError>, ChannelError> {
        if self.context.callers.get() > self.context.live.borrow().max_callers {
            let refusal = SqlError::fatal("53300", "this box takes no more callers; try another");
            return Ok(Err(refusal));
        }
        let user = startup.parameters.get("user").cloned().unwrap_or_default();
        let database = startup.parameters.get("database").cloned();
        let database = database.unwrap_or_else(|| user.clone());
        let snapshot = self.context.snapshot.borrow().clone();
        let Some(partner) = snapshot.partners.get(user.as_str()) else {
            let message = format!("user {user:?} is no declared partner");
            return Ok(Err(SqlError::fatal("28000", message)));
        };
        if !self.verify_password(channel, partner).await? {
            let message = format!("password authentication failed for user {user:?}");
            return Ok(Err(SqlError::fatal("28P01", message)));
        }
        let group = group_id(&user, &database);
        if !snapshot.groups.contains_key(&group) {
            let message = format!("database {database:?} is no declared group of {user:?}");
            return Ok(Err(SqlError::fatal("3D000", message)));
        }
        let floor = self.token_floor(startup);
        Ok(Ok(Accepted { group, floor }))
    }

    /// Whether the caller's password is right; true where the partner has none.
    async fn verify_password(
        &self,
        channel: &mut Channel,
        partner: &Partner,
    ) -> Result<bool, ChannelError> {
        let Some(hash) = &partner.caller else {
            return Ok(true);
        };
        let request = Back::Authentication(Authentication::CleartextPassword);
        channel.queue_backend(&request)?;
        channel.flush().await?;
        match channel.read_frontend().await? {
            PgWireFrontendMessage::PasswordMessageFamily(message) => {
                let password = message.into_password()?;
                Ok(secret::matches_hash(&password.password, hash))
            }
            other => Err(ChannelError::Unexpected(format!("{other:?}"))),
        }
    }

    /// Returns the position of the token in the start-up parameters. A malformed token is
    /// logged and ignored.
    fn token_floor(&self, startup: &Startup) -> Option<Position> {
        let parameter = startup.parameters.get(response::TOKEN_PARAMETER).cloned();
        let token = parameter.or_else(|| {
            startup_option(
                startup.parameters.get("options")?,
                response::TOKEN_PARAMETER,
            )
        })?;
        match token.parse() {
            Ok(position) => Some(position),
            Err(error) => {
                let log = &self.context.log;
                events::emit(log, &events::TOKEN_IGNORED, &[("error", &error)]);
                None
            }
        }
    }

    async fn serve_session(
        &self,
        mut channel: Channel,
        accepted: Accepted,
    ) -> Result<(), ChannelError> {
        let key: CancelKey = (rand::rng().random_range(1..i32::MAX), rand::rng().random());
        channel.queue_backend(&Back::Authentication(Authentication::Ok))?;
        for (name, value) in [("server_version", response::SERVER_VERSION)]
            .into_iter()
            .chain(response::SESSION_PARAMETERS)
        {
            channel.queue_backend(&response::parameter_status(name, value))?;
        }
        let data = BackendKeyData::new(key.0, SecretKey::I32(key.1));
        channel.queue_backend(&Back::BackendKeyData(data))?;
        channel.queue_backend(&response::ready_for_query(TransactionStatus::Idle))?;
        channel.flush().await?;
        let cancel = Rc::new(Notify::new());
        self.sessions.borrow_mut().insert(key, cancel.clone());
        let mut session = Session::new(
            self.context.clone(),
            self.owner.clone(),
            channel,
            accepted.group,
            accepted.floor,
            cancel,
        );
        let result = session.run().await;
        self.sessions.borrow_mut().remove(&key);
        result
    }
}

/// What an authenticated caller asked for.
struct Accepted {
    group: Arc<str>,
    /// Oldest position that the session may read.
    floor: Option<Position>,
}

async fn send_error(channel: &mut Channel, error: &SqlError) -> Result<(), ChannelError> {
    channel.queue_backend(&error.to_message())?;
    channel.flush().await
}

/// Returns the value of `-c name=value` in the `options` start-up parameter.
fn startup_option(options: &str, name: &str) -> Option<String> {
    let arguments = options.split_whitespace();
    let pairs = arguments.filter_map(|argument| argument.trim_start_matches("-c").split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.next().map(|(_, value)| value.to_owned())
}
