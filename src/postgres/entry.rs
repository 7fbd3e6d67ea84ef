//! Takes callers: start-up, password, token, then a session.

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
use super::report::{self, Report};
use super::session::Session;
use crate::decisions::position::Position;
use crate::declarations::resource::Partner;
use crate::declarations::snapshot::group_id;
use crate::events;
use crate::node::context::{Caller, Context};
use crate::node::entry::Entry as Border;
use crate::node::owner::Owner;
use crate::secret;

type Key = (i32, i32);

/// Takes callers that speak PostgreSQL.
pub struct Front;

#[async_trait(?Send)]
impl Border for Front {
    async fn serve(
        &self,
        context: Rc<Context>,
        owner: Rc<Owner>,
        listener: TcpListener,
    ) -> std::io::Result<()> {
        Entry::new(context, owner).accept_all(listener).await
    }
}

/// The callers of a box.
struct Entry {
    context: Rc<Context>,
    owner: Rc<Owner>,
    /// Sessions that can be cancelled, by the key they were given.
    sessions: RefCell<HashMap<Key, Rc<Notify>>>,
}

impl Entry {
    fn new(context: Rc<Context>, owner: Rc<Owner>) -> Rc<Self> {
        Rc::new(Self {
            context,
            owner,
            sessions: RefCell::default(),
        })
    }

    /// Takes callers until the box leaves.
    async fn accept_all(self: Rc<Self>, listener: TcpListener) -> std::io::Result<()> {
        let mut leaving = self.context.shutting_down.clone();
        loop {
            let (socket, _) = tokio::select! {
                accepted = listener.accept() => accepted?,
                _ = leaving.wait_for(|leaving| *leaving) => return Ok(()),
            };
            let entry = self.clone();
            tokio::task::spawn_local(async move {
                let _counted = Caller::new(&entry.context);
                if let Err(error) = entry.take(socket).await
                    && !matches!(error, ChannelError::Closed | ChannelError::Io(_))
                {
                    let log = &entry.context.log;
                    events::emit(log, &events::CALLER_PROTOCOL, &[("error", &error)]);
                }
            });
        }
    }

    async fn take(&self, socket: TcpStream) -> Result<(), ChannelError> {
        socket.set_nodelay(true)?;
        let mut channel = Channel::new(Box::new(socket));
        let opened = self.open(&mut channel).await;
        let startup = match opened {
            Ok(Some(startup)) => startup,
            Ok(None) => return Ok(()),
            Err(error @ ChannelError::Malformed(_)) => {
                let report = Report::fatal("08P01", error.to_string());
                return refuse(&mut channel, &report).await.and(Err(error));
            }
            Err(error) => return Err(error),
        };
        let accepted = match self.accept(&mut channel, &startup).await? {
            Ok(accepted) => accepted,
            Err(report) => {
                let why = &report.message;
                events::emit(&self.context.log, &events::CALLER_REFUSED, &[("why", why)]);
                return refuse(&mut channel, &report).await;
            }
        };
        self.serve_session(channel, accepted).await
    }

    async fn open(&self, channel: &mut Channel) -> Result<Option<Startup>, ChannelError> {
        match channel.open().await? {
            Opening::Startup(startup) => Ok(Some(startup)),
            Opening::Cancel { pid, secret } => {
                if let Some(cancel) = self.sessions.borrow().get(&(pid, secret)) {
                    cancel.notify_waiters();
                }
                Ok(None)
            }
        }
    }

    /// Checks who calls and for which group.
    async fn accept(
        &self,
        channel: &mut Channel,
        startup: &Startup,
    ) -> Result<Result<Accepted, Report>, ChannelError> {
        if self.context.callers.get() > self.context.live.borrow().callers {
            let report = Report::fatal("53300", "this box takes no more callers; try another");
            return Ok(Err(report));
        }
        let user = startup.parameters.get("user").cloned().unwrap_or_default();
        let database = startup.parameters.get("database").cloned();
        let database = database.unwrap_or_else(|| user.clone());
        let snapshot = self.context.snapshot.borrow().clone();
        let Some(partner) = snapshot.partners.get(user.as_str()) else {
            let message = format!("user {user:?} is no declared partner");
            return Ok(Err(Report::fatal("28000", message)));
        };
        if !self.password_fits(channel, partner).await? {
            let message = format!("password authentication failed for user {user:?}");
            return Ok(Err(Report::fatal("28P01", message)));
        }
        let group = group_id(&user, &database);
        if !snapshot.groups.contains_key(&group) {
            let message = format!("database {database:?} is no declared group of {user:?}");
            return Ok(Err(Report::fatal("3D000", message)));
        }
        let floor = self.floor(startup);
        Ok(Ok(Accepted { group, floor }))
    }

    async fn password_fits(
        &self,
        channel: &mut Channel,
        partner: &Partner,
    ) -> Result<bool, ChannelError> {
        let Some(hash) = &partner.caller else {
            return Ok(true);
        };
        let ask = Back::Authentication(Authentication::CleartextPassword);
        channel.queue_back(&ask)?;
        channel.flush().await?;
        match channel.read_front().await? {
            PgWireFrontendMessage::PasswordMessageFamily(message) => {
                let password = message.into_password()?;
                Ok(secret::fits(&password.password, hash))
            }
            other => Err(ChannelError::Unexpected(format!("{other:?}"))),
        }
    }

    /// The session's floor from the token it hands in.
    fn floor(&self, startup: &Startup) -> Option<Position> {
        let direct = startup.parameters.get(report::TOKEN).cloned();
        let token = direct.or_else(|| option(startup.parameters.get("options")?, report::TOKEN))?;
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
        let key: Key = (rand::rng().random_range(1..i32::MAX), rand::rng().random());
        channel.queue_back(&Back::Authentication(Authentication::Ok))?;
        for (name, value) in [("server_version", report::SERVER_VERSION)]
            .into_iter()
            .chain(report::SESSION)
        {
            channel.queue_back(&report::parameter(name, value))?;
        }
        let data = BackendKeyData::new(key.0, SecretKey::I32(key.1));
        channel.queue_back(&Back::BackendKeyData(data))?;
        channel.queue_back(&report::ready(TransactionStatus::Idle))?;
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
        let ended = session.run().await;
        self.sessions.borrow_mut().remove(&key);
        ended
    }
}

struct Accepted {
    group: Arc<str>,
    floor: Option<Position>,
}

async fn refuse(channel: &mut Channel, report: &Report) -> Result<(), ChannelError> {
    channel.queue_back(&report.message())?;
    channel.flush().await
}

/// A setting given as `-c name=value` among the start-up options.
fn option(options: &str, name: &str) -> Option<String> {
    let words = options.split_whitespace();
    let pairs = words.filter_map(|word| word.trim_start_matches("-c").split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.next().map(|(_, value)| value.to_owned())
}
