//! One caller's session: groups the caller's messages into exchanges, has the core run them
//! and sends back the answers.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pgwire::messages::PgWireBackendMessage as Back;
use pgwire::messages::PgWireFrontendMessage as Front;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::extendedquery::{Bind, CloseComplete, Describe, Parse};
use pgwire::messages::response::{CommandComplete, EmptyQueryResponse, TransactionStatus};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_128;

use super::channel::{Channel, ChannelError};
use super::failure::{self, state};
use super::relay::encode_backend;
use super::response::{self, SqlError};
use super::steps::{Close, Expect, Statement, Step, Steps};
use crate::borders::upstream::Setup;
use crate::decisions::classify::{Class, Command, Kind};
use crate::decisions::floors::Scope;
use crate::decisions::group::Target;
use crate::decisions::position::Position;
use crate::declarations::resource::{OwnWrites, Read};
use crate::declarations::snapshot::Plan;
use crate::node::context::Context;
use crate::node::exchange::{Effect, Exchange, Reply, Status};
use crate::node::owner::Owner;
use crate::node::session as core;

/// Parameters that may be set without effect: they don't change the meaning of statements.
const IGNORED_PARAMETERS: [&str; 6] = [
    "application_name",
    "client_min_messages",
    "extra_float_digits",
    "client_encoding",
    "datestyle",
    "timezone",
];
/// Parameter that sets the key of the next write, which then runs at most once.
const ONCE_PARAMETER: &str = "larkfall.once";
/// Parameter that sets the declared kind of the session's reads.
const KIND_PARAMETER: &str = "larkfall.kind";
/// Object id of the type `text`.
const TEXT_OID: u32 = 25;

/// A prepared statement of the session.
#[derive(Clone)]
struct Prepared {
    statement: Statement,
    class: Rc<Class>,
}

/// Messages collected for the next exchange.
#[derive(Default)]
struct Batch {
    steps: Vec<Step>,
    /// Joined class of the statements; decides where the exchange runs.
    class: Option<Rc<Class>>,
    /// Whether a statement other than a read or BEGIN is executed.
    writes: bool,
    executes: bool,
}

impl Batch {
    fn add_class(&mut self, class: Rc<Class>) {
        self.class = Some(match self.class.take() {
            Some(joined) if Rc::ptr_eq(&joined, &class) => joined,
            Some(joined) => Rc::new(Class::clone(&joined).combine(Class::clone(&class))),
            None => class,
        });
    }
}

/// A caller's connection and the state of its session.
pub struct Session {
    context: Rc<Context>,
    core: core::Session,
    channel: Channel,
    group: Arc<str>,
    /// Prepared statements by the name that the caller gave them.
    statements: HashMap<String, Prepared>,
    /// Class of each portal's statement.
    portals: HashMap<String, Rc<Class>>,
    batch: Batch,
    /// Whether messages are skipped up to the next Sync, after an error was sent.
    skipping: bool,
    /// Key of the next write, set by `larkfall.once`.
    next_key: Option<Arc<str>>,
    /// Kind of the reads that have no hint, set by `larkfall.kind`.
    default_kind: Option<Arc<str>>,
    /// Notified when the caller cancels its statement.
    cancel: Rc<Notify>,
}

impl Session {
    pub fn new(
        context: Rc<Context>,
        owner: Rc<Owner>,
        channel: Channel,
        group: Arc<str>,
        floor: Option<Position>,
        cancel: Rc<Notify>,
    ) -> Self {
        Self {
            core: core::Session::new(context.clone(), owner, floor),
            context,
            channel,
            group,
            statements: HashMap::new(),
            portals: HashMap::new(),
            batch: Batch::default(),
            skipping: false,
            next_key: None,
            default_kind: None,
            cancel,
        }
    }

    /// Serves the caller until one side ends the connection.
    pub async fn run(&mut self) -> Result<(), ChannelError> {
        let mut shutting_down = self.context.shutting_down.clone();
        loop {
            let idle = self.core.is_idle();
            let message = tokio::select! {
                biased;
                message = self.channel.read_frontend() => match message {
                    Err(error @ ChannelError::Malformed(_)) => {
                        return self.send_protocol_error(error).await;
                    }
                    message => message?,
                },
                _ = shutting_down.wait_for(|shutting_down| *shutting_down), if idle => {
                    return self.send_shutdown().await;
                }
            };
            if let Front::Terminate(_) = message {
                return Ok(());
            }
            self.handle_message(message).await?;
        }
    }

    /// Reports a malformed message to the caller, before the connection is closed.
    async fn send_protocol_error(&mut self, error: ChannelError) -> Result<(), ChannelError> {
        let fatal = SqlError::fatal("08P01", error.to_string());
        self.channel.queue_backend(&fatal.to_message())?;
        self.channel.flush().await?;
        Err(error)
    }

    /// Tells the caller that the box is shutting down.
    async fn send_shutdown(&mut self) -> Result<(), ChannelError> {
        let error = SqlError::fatal("57P01", "this box is leaving; connect again");
        self.channel.queue_backend(&error.to_message())?;
        self.channel.flush().await
    }

    async fn handle_message(&mut self, message: Front) -> Result<(), ChannelError> {
        match message {
            Front::Query(query) => self.handle_query(query.query).await,
            Front::Sync(_) => self.handle_sync().await,
            Front::Flush(_) if !self.skipping => self.run_exchange(Close::Flush).await,
            _ if self.skipping => Ok(()),
            Front::Parse(parse) => self.handle_parse(parse),
            Front::Bind(bind) => self.handle_bind(bind).await,
            Front::Describe(describe) => self.handle_describe(describe).await,
            Front::Execute(execute) => {
                let name = execute.name.clone().unwrap_or_default();
                if let Some(class) = self.portals.get(&name) {
                    let reads_only =
                        matches!(class.kind, Kind::Read | Kind::Begin | Kind::BeginRead);
                    self.batch.writes |= !reads_only;
                    let class = class.clone();
                    self.batch.add_class(class);
                }
                self.batch.executes = true;
                self.push_message(&Front::Execute(execute), Expect::Execute)
            }
            Front::Close(close) => {
                let name = close.name.clone().unwrap_or_default();
                if close.target_type == b'P' {
                    self.portals.remove(&name);
                    return self.push_message(&Front::Close(close), Expect::Close);
                }
                self.statements.remove(&name);
                let complete = encode_backend(&Back::CloseComplete(CloseComplete::new()))?;
                self.batch.steps.push(Step::Answer(complete));
                Ok(())
            }
            _ => {
                let error = SqlError::error(state::UNSUPPORTED, "this message is not supported");
                self.send_error(&error, None).await
            }
        }
    }

    // Extended protocol.

    fn push_message(&mut self, message: &Front, expect: Expect) -> Result<(), ChannelError> {
        let bytes = encode_frontend(message)?;
        self.batch.steps.push(Step::Send { bytes, expect });
        Ok(())
    }

    fn handle_parse(&mut self, parse: Parse) -> Result<(), ChannelError> {
        let class = self.context.classes.classify(&parse.query);
        let statement = shared_statement(&parse.query, parse.type_oids);
        let prepared = Prepared {
            statement: statement.clone(),
            class: class.clone(),
        };
        self.batch.add_class(class);
        self.statements
            .insert(parse.name.unwrap_or_default(), prepared);
        self.batch.steps.push(Step::Parse(statement));
        Ok(())
    }

    /// Adds a step that prepares one of the session's statements on the connection that the
    /// exchange will use. Reports an unknown name to the caller and returns none.
    async fn add_prepared(&mut self, name: &str) -> Result<Option<Prepared>, ChannelError> {
        let Some(prepared) = self.statements.get(name).cloned() else {
            let message = format!("prepared statement {name:?} does not exist");
            self.send_error(&SqlError::error("26000", message), None)
                .await?;
            return Ok(None);
        };
        self.batch.add_class(prepared.class.clone());
        self.batch
            .steps
            .push(Step::Ensure(prepared.statement.clone()));
        Ok(Some(prepared))
    }

    async fn handle_bind(&mut self, mut bind: Bind) -> Result<(), ChannelError> {
        let name = bind.statement_name.take().unwrap_or_default();
        let Some(prepared) = self.add_prepared(&name).await? else {
            return Ok(());
        };
        let portal = bind.portal_name.clone().unwrap_or_default();
        self.portals.insert(portal, prepared.class);
        bind.statement_name = Some(prepared.statement.name.to_string());
        self.push_message(&Front::Bind(bind), Expect::Bind)
    }

    async fn handle_describe(&mut self, mut describe: Describe) -> Result<(), ChannelError> {
        if describe.target_type == b'S' {
            let name = describe.name.take().unwrap_or_default();
            let Some(prepared) = self.add_prepared(&name).await? else {
                return Ok(());
            };
            describe.name = Some(prepared.statement.name.to_string());
        }
        self.push_message(&Front::Describe(describe), Expect::Describe)
    }

    async fn handle_sync(&mut self) -> Result<(), ChannelError> {
        if self.skipping {
            self.skipping = false;
            self.batch = Batch::default();
            if !self.core.has_connection() {
                return self.send_ready().await;
            }
        }
        if self.batch.steps.is_empty() && !self.core.has_connection() {
            return self.send_ready().await;
        }
        self.run_exchange(Close::Sync).await
    }

    // Simple protocol.

    async fn handle_query(&mut self, sql: String) -> Result<(), ChannelError> {
        let class = self.context.classes.classify(&sql);
        if self.core.status == Status::Idle && class.kind == Kind::Session {
            return self.run_command(&class.command).await;
        }
        if sql.trim().is_empty() {
            let empty = Back::EmptyQueryResponse(EmptyQueryResponse::new());
            self.channel.queue_backend(&empty)?;
            return self.send_ready().await;
        }
        let reads_only = matches!(class.kind, Kind::Read | Kind::Begin | Kind::BeginRead);
        self.batch = Batch {
            writes: !reads_only,
            executes: true,
            class: Some(class),
            steps: Vec::new(),
        };
        let query = Front::Query(pgwire::messages::simplequery::Query::new(sql));
        self.push_message(&query, Expect::Whole)?;
        self.run_exchange(Close::Query).await
    }

    /// Answers a statement that the box handles itself, without a member.
    async fn run_command(&mut self, command: &Command) -> Result<(), ChannelError> {
        let close = Some(Close::Query);
        let tag = match command {
            Command::Set { name, value } => match self.set_parameter(name, value) {
                Ok(()) => "SET",
                Err(error) => return self.send_error(&error, close).await,
            },
            Command::Show { name } => match self.parameter(name) {
                Some(value) => {
                    self.queue_row(name, &value)?;
                    "SHOW"
                }
                None => {
                    let message = format!("unrecognized configuration parameter {name:?}");
                    return self
                        .send_error(&SqlError::error("42704", message), close)
                        .await;
                }
            },
            Command::Reset => "RESET",
            Command::Refuse { what } => return self.send_error(&unsupported(what), close).await,
            Command::None => {
                let message = "this setting is not supported on pooled connections";
                let error = SqlError::error(state::UNSUPPORTED, message);
                return self.send_error(&error, close).await;
            }
        };
        let complete = CommandComplete::new(tag.to_owned());
        self.channel
            .queue_backend(&Back::CommandComplete(complete))?;
        self.send_ready().await
    }

    fn set_parameter(&mut self, name: &str, value: &str) -> Result<(), SqlError> {
        let non_empty = || (!value.is_empty()).then(|| Arc::from(value));
        match name {
            ONCE_PARAMETER => self.next_key = non_empty(),
            KIND_PARAMETER => self.default_kind = non_empty(),
            response::TOKEN_PARAMETER => match value.parse::<Position>() {
                Ok(position) => self.core.floors.raise(position),
                Err(error) => return Err(SqlError::error("22023", error.to_string())),
            },
            name if IGNORED_PARAMETERS.contains(&name) => {}
            name => {
                let message = format!("setting {name:?} is not supported on pooled connections");
                return Err(SqlError::error(state::UNSUPPORTED, message));
            }
        }
        Ok(())
    }

    /// Returns the value of a parameter that SHOW supports.
    fn parameter(&self, name: &str) -> Option<String> {
        match name {
            response::TOKEN_PARAMETER => Some(
                self.core
                    .floors
                    .token()
                    .map_or(String::new(), Position::token),
            ),
            "server_version" => Some(response::SERVER_VERSION.to_owned()),
            "transaction.isolation.level" => Some("read committed".to_owned()),
            "standard_conforming_strings" => Some("on".to_owned()),
            _ => None,
        }
    }

    /// Queues a result of one row with one text column.
    fn queue_row(&mut self, name: &str, value: &str) -> Result<(), ChannelError> {
        let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
        let description = RowDescription::new(vec![field]);
        self.channel
            .queue_backend(&Back::RowDescription(description))?;
        let mut cell = BytesMut::new();
        cell.extend_from_slice(&(value.len() as i32).to_be_bytes());
        cell.extend_from_slice(value.as_bytes());
        let row = Back::DataRow(DataRow::new(cell, 1));
        self.channel.queue_backend(&row)
    }

    // Exchanges.

    /// Runs the collected messages as one exchange and sends the answer.
    async fn run_exchange(&mut self, close: Close) -> Result<(), ChannelError> {
        let batch = std::mem::take(&mut self.batch);
        if self.core.transaction_lost {
            return self.run_in_lost_transaction(&batch, close).await;
        }
        let (exchange, scope) = match self.build_exchange(batch, close) {
            Ok(built) => built,
            Err(error) => return self.send_error(&error, Some(close)).await,
        };
        let cancel = self.cancel.clone();
        let reads = exchange.effect == Effect::Reads;
        let token = self.core.floors.token();
        let served = tokio::select! {
            biased;
            served = self.core.serve(&exchange, &scope) => Some(served),
            () = cancel.notified(), if reads => None,
        };
        match served {
            Some(Ok(reply)) => self.send_reply(reply, close, token).await,
            Some(Err(failure)) => {
                self.send_error(&failure::to_error(&failure), Some(close))
                    .await
            }
            None => {
                let error = SqlError::error("57014", "canceling statement due to user request");
                self.send_error(&error, Some(close)).await
            }
        }
    }

    fn build_exchange(
        &mut self,
        batch: Batch,
        close: Close,
    ) -> Result<(Exchange, Scope), SqlError> {
        let snapshot = self.context.snapshot.borrow().clone();
        let plan = snapshot
            .groups
            .get(&self.group)
            .ok_or_else(|| SqlError::fatal("3D000", "this database group is no longer declared"))?;
        let class = batch
            .class
            .unwrap_or_else(|| self.context.classes.classify(""));
        if let Command::Refuse { what } = class.command {
            return Err(unsupported(what));
        }
        let effect = match batch.writes && batch.executes {
            true => Effect::Writes,
            false => Effect::Reads,
        };
        let once = self.request_key(plan, &class, effect)?;
        let kind = self.declared_read(plan, &class);
        let separate = kind.filter(|kind| kind.own_writes == OwnWrites::Tables);
        let covered = |kind: &&Read| class.tables.iter().all(|t| kind.tables.contains(t));
        let scope = Scope {
            read_kind: kind.map(|kind| kind.name.clone()),
            separate_kind: separate.filter(covered).map(|kind| kind.name.clone()),
            tables: class.tables.clone(),
            ends_transaction: class.kind == Kind::End,
        };
        let exchange = Exchange {
            workspace: None,
            group: self.group.clone(),
            target: target(plan, &class, kind),
            effect,
            commits: class.kind == Kind::End,
            floor: self.core.floors.floor_for(&scope),
            patience: Duration::from_millis(plan.group.deadline_ms),
            limit: None,
            flow: None,
            aim: None,
            trace: "".into(),
            lease: self.core.connection_id(),
            setup: Setup::default(),
            on_primary: false,
            payload: Steps {
                steps: batch.steps,
                close,
            }
            .to_payload(),
            once,
        };
        Ok((exchange, scope))
    }

    /// Returns the declared kind of a read: by hint, by `larkfall.kind`, or the first kind
    /// that covers all of its tables.
    fn declared_read<'a>(&self, plan: &'a Plan, class: &Class) -> Option<&'a Read> {
        let named = class.read_kind.as_ref().or(self.default_kind.as_ref());
        let by_name = named.and_then(|name| plan.reads.iter().find(|read| read.name == *name));
        let by_tables = || {
            let covers = |read: &&Read| {
                !class.tables.is_empty() && class.tables.iter().all(|t| read.tables.contains(t))
            };
            plan.reads.iter().find(covers)
        };
        by_name.or_else(by_tables)
    }

    /// Returns the key under which a write runs at most once, from its hint or `larkfall.once`.
    /// Fails for a write that needs a key and has none, or has one inside a transaction.
    fn request_key(
        &mut self,
        plan: &Plan,
        class: &Class,
        effect: Effect,
    ) -> Result<Option<Arc<str>>, SqlError> {
        if effect != Effect::Writes || class.kind != Kind::Write {
            return Ok(None);
        }
        let key = class.once_key.clone().or_else(|| self.next_key.take());
        let rule = plan
            .onces
            .iter()
            .find(|rule| class.tables.contains(&rule.table));
        match (key, rule) {
            (None, Some(rule)) => {
                let table = &rule.table;
                let message =
                    format!("writes to {table} need a key, so that they run at most once");
                let hint = "send /* larkfall: once=KEY */ or SET larkfall.once = 'KEY' before it";
                Err(SqlError::error(state::KEY_MISSING, message).with_hint(hint))
            }
            (Some(_), _) if self.core.status != Status::Idle || self.core.has_connection() => {
                let message = "a request with a key can't be part of a larger transaction";
                Err(SqlError::error(state::UNSUPPORTED, message))
            }
            (key, _) => Ok(key),
        }
    }

    /// Sends an answer, with the session's token if it differs from `token_before`.
    async fn send_reply(
        &mut self,
        reply: Reply,
        close: Close,
        token_before: Option<Position>,
    ) -> Result<(), ChannelError> {
        self.channel.queue_bytes(&reply.messages);
        let changed = self
            .core
            .floors
            .token()
            .filter(|t| Some(*t) != token_before);
        if let Some(position) = changed {
            let token = response::parameter_status(response::TOKEN_PARAMETER, position.token());
            self.channel.queue_backend(&token)?;
        }
        if close == Close::Flush {
            self.skipping = reply.failed;
            return self.channel.flush().await;
        }
        if self.core.status == Status::Idle {
            self.portals.clear();
        }
        self.send_ready().await
    }

    /// Answers a batch after the transaction was lost: only a statement that ends the
    /// transaction succeeds.
    async fn run_in_lost_transaction(
        &mut self,
        batch: &Batch,
        close: Close,
    ) -> Result<(), ChannelError> {
        let ends_transaction = batch.class.as_ref().is_some_and(|c| c.kind == Kind::End);
        if !ends_transaction {
            let message = "the transaction is gone; end it and begin anew";
            return self
                .send_error(&SqlError::error("25P02", message), Some(close))
                .await;
        }
        self.core.end_lost_transaction();
        let bytes = self.rollback_answer(batch)?;
        self.channel.queue_bytes(&bytes);
        self.send_ready().await
    }

    /// Encodes the answer that a member would give to the batch's messages for a ROLLBACK.
    fn rollback_answer(&self, batch: &Batch) -> Result<Bytes, ChannelError> {
        use pgwire::messages::data::NoData;
        use pgwire::messages::extendedquery::{BindComplete, ParseComplete};
        let mut bytes = BytesMut::new();
        let complete = || Back::CommandComplete(CommandComplete::new("ROLLBACK".to_owned()));
        for step in &batch.steps {
            let message = match step {
                Step::Ensure(_) => continue,
                Step::Parse(_) => Back::ParseComplete(ParseComplete::new()),
                Step::Answer(answer) => {
                    bytes.extend_from_slice(answer);
                    continue;
                }
                Step::Send { expect, .. } => match expect {
                    Expect::Parse => Back::ParseComplete(ParseComplete::new()),
                    Expect::Bind => Back::BindComplete(BindComplete::new()),
                    Expect::Describe => Back::NoData(NoData::new()),
                    Expect::Close => Back::CloseComplete(CloseComplete::new()),
                    Expect::Execute | Expect::Whole => complete(),
                },
            };
            message.encode(&mut bytes)?;
        }
        Ok(bytes.freeze())
    }

    /// Sends an error that the box itself reports and fails an open transaction, as a database
    /// would. Unless the exchange ended with a query or a Sync, messages up to the next Sync
    /// are skipped.
    async fn send_error(
        &mut self,
        error: &SqlError,
        close: Option<Close>,
    ) -> Result<(), ChannelError> {
        self.batch = Batch::default();
        self.core.abort_if_in_transaction();
        self.channel.queue_backend(&error.to_message())?;
        match close {
            Some(Close::Query | Close::Sync) => self.send_ready().await,
            Some(Close::Flush) | None => {
                self.skipping = true;
                self.channel.flush().await
            }
        }
    }

    /// Sends ReadyForQuery with the state of the transaction.
    async fn send_ready(&mut self) -> Result<(), ChannelError> {
        let status = match self.core.status {
            Status::Idle => TransactionStatus::Idle,
            Status::Transaction => TransactionStatus::Transaction,
            Status::Failed => TransactionStatus::Error,
        };
        self.channel
            .queue_backend(&response::ready_for_query(status))?;
        self.channel.flush().await
    }
}

/// Returns the members that an exchange may run on. Without a tolerated age, a read must see
/// the latest data.
fn target(plan: &Plan, class: &Class, kind: Option<&Read>) -> Target {
    if !matches!(class.kind, Kind::Read | Kind::BeginRead) {
        return Target::Primary;
    }
    match kind.map_or(plan.group.max_age_ms, |kind| kind.max_age_ms) {
        0 => Target::Strict,
        milliseconds => Target::Replica {
            max_age: Duration::from_millis(milliseconds),
        },
    }
}

fn unsupported(what: &str) -> SqlError {
    let message = format!("{what} is not supported on pooled connections");
    SqlError::error(state::UNSUPPORTED, message)
}

/// Returns a statement whose name is a hash of its SQL and parameter types, so that sessions
/// and boxes share its preparation on pooled connections.
fn shared_statement(sql: &str, types: Vec<u32>) -> Statement {
    let mut content = sql.as_bytes().to_vec();
    for oid in &types {
        content.extend_from_slice(&oid.to_be_bytes());
    }
    let name = format!("lf_{:032x}", xxh3_128(&content));
    Statement {
        name: name.into(),
        sql: sql.into(),
        types,
    }
}

fn encode_frontend(message: &Front) -> Result<Bytes, ChannelError> {
    let mut bytes = BytesMut::new();
    message.encode(&mut bytes)?;
    Ok(bytes.freeze())
}
