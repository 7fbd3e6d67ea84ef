//! One caller's session: messages in, exchanges out, answers back.

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
use super::relay::encoded;
use super::report::{self, Report};
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

/// Settings that change nothing about a statement's meaning: taken, not passed on.
const HARMLESS: [&str; 6] = [
    "application_name",
    "client_min_messages",
    "extra_float_digits",
    "client_encoding",
    "datestyle",
    "timezone",
];
const ONCE: &str = "larkfall.once";
const KIND: &str = "larkfall.kind";
const TEXT_OID: u32 = 25;

/// A prepared statement of the session.
#[derive(Clone)]
struct Named {
    statement: Statement,
    class: Rc<Class>,
}

/// Messages gathered until the exchange is closed.
#[derive(Default)]
struct Batch {
    steps: Vec<Step>,
    /// Decides where the exchange runs.
    class: Option<Rc<Class>>,
    /// Something is executed that may change data.
    writes: bool,
    executes: bool,
}

impl Batch {
    fn join(&mut self, class: Rc<Class>) {
        self.class = Some(match self.class.take() {
            Some(before) if Rc::ptr_eq(&before, &class) => before,
            Some(before) => Rc::new(Class::clone(&before).combine(Class::clone(&class))),
            None => class,
        });
    }
}

pub struct Session {
    context: Rc<Context>,
    core: core::Session,
    channel: Channel,
    group: Arc<str>,
    statements: HashMap<String, Named>,
    portals: HashMap<String, Rc<Class>>,
    batch: Batch,
    /// An error was sent; everything up to Sync is skipped.
    skipping: bool,
    once: Option<Arc<str>>,
    kind: Option<Arc<str>>,
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
            once: None,
            kind: None,
            cancel,
        }
    }

    /// Serves the caller until one side ends the connection.
    pub async fn run(&mut self) -> Result<(), ChannelError> {
        let mut leaving = self.context.shutting_down.clone();
        loop {
            let idle = self.core.is_idle();
            let message = tokio::select! {
                biased;
                message = self.channel.read_front() => match message {
                    Err(error @ ChannelError::Malformed(_)) => {
                        return self.hang_up(error).await;
                    }
                    message => message?,
                },
                _ = leaving.wait_for(|leaving| *leaving), if idle => {
                    return self.say_goodbye().await;
                }
            };
            if let Front::Terminate(_) = message {
                return Ok(());
            }
            self.take(message).await?;
        }
    }

    /// Tells a caller that broke the protocol why it is cut off.
    async fn hang_up(&mut self, error: ChannelError) -> Result<(), ChannelError> {
        let report = Report::fatal("08P01", error.to_string());
        self.channel.queue_back(&report.message())?;
        self.channel.flush().await?;
        Err(error)
    }

    async fn say_goodbye(&mut self) -> Result<(), ChannelError> {
        let report = Report::fatal("57P01", "this box is leaving; connect again");
        self.channel.queue_back(&report.message())?;
        self.channel.flush().await
    }

    async fn take(&mut self, message: Front) -> Result<(), ChannelError> {
        match message {
            Front::Query(query) => self.simple(query.query).await,
            Front::Sync(_) => self.sync().await,
            Front::Flush(_) if !self.skipping => self.close(Close::Flush).await,
            _ if self.skipping => Ok(()),
            Front::Parse(parse) => self.parse(parse),
            Front::Bind(bind) => self.bind(bind).await,
            Front::Describe(describe) => self.describe(describe).await,
            Front::Execute(execute) => {
                let name = execute.name.clone().unwrap_or_default();
                if let Some(class) = self.portals.get(&name) {
                    let read = matches!(class.kind, Kind::Read | Kind::Begin | Kind::BeginRead);
                    self.batch.writes |= !read;
                    let class = class.clone();
                    self.batch.join(class);
                }
                self.batch.executes = true;
                self.push(&Front::Execute(execute), Expect::Execute)
            }
            Front::Close(close) => {
                let name = close.name.clone().unwrap_or_default();
                if close.target_type == b'P' {
                    self.portals.remove(&name);
                    return self.push(&Front::Close(close), Expect::Close);
                }
                self.statements.remove(&name);
                let complete = encoded(&Back::CloseComplete(CloseComplete::new()))?;
                self.batch.steps.push(Step::Answer(complete));
                Ok(())
            }
            _ => {
                let report = Report::error(state::UNSUPPORTED, "this message is not supported");
                self.fail(&report, None).await
            }
        }
    }

    // Extended protocol.

    fn push(&mut self, message: &Front, expect: Expect) -> Result<(), ChannelError> {
        let bytes = front_bytes(message)?;
        self.batch.steps.push(Step::Send { bytes, expect });
        Ok(())
    }

    fn parse(&mut self, parse: Parse) -> Result<(), ChannelError> {
        let class = self.context.classes.classify(&parse.query);
        let statement = shared_statement(&parse.query, parse.type_oids);
        let named = Named {
            statement: statement.clone(),
            class: class.clone(),
        };
        self.batch.join(class);
        self.statements
            .insert(parse.name.unwrap_or_default(), named);
        self.batch.steps.push(Step::Parse(statement));
        Ok(())
    }

    /// Has a statement of this session prepared wherever the exchange runs.
    async fn ensure(&mut self, name: &str) -> Result<Option<Named>, ChannelError> {
        let Some(named) = self.statements.get(name).cloned() else {
            let message = format!("prepared statement {name:?} does not exist");
            self.fail(&Report::error("26000", message), None).await?;
            return Ok(None);
        };
        self.batch.join(named.class.clone());
        self.batch.steps.push(Step::Ensure(named.statement.clone()));
        Ok(Some(named))
    }

    async fn bind(&mut self, mut bind: Bind) -> Result<(), ChannelError> {
        let name = bind.statement_name.take().unwrap_or_default();
        let Some(named) = self.ensure(&name).await? else {
            return Ok(());
        };
        let portal = bind.portal_name.clone().unwrap_or_default();
        self.portals.insert(portal, named.class);
        bind.statement_name = Some(named.statement.name.to_string());
        self.push(&Front::Bind(bind), Expect::Bind)
    }

    async fn describe(&mut self, mut describe: Describe) -> Result<(), ChannelError> {
        if describe.target_type == b'S' {
            let name = describe.name.take().unwrap_or_default();
            let Some(named) = self.ensure(&name).await? else {
                return Ok(());
            };
            describe.name = Some(named.statement.name.to_string());
        }
        self.push(&Front::Describe(describe), Expect::Describe)
    }

    async fn sync(&mut self) -> Result<(), ChannelError> {
        if self.skipping {
            self.skipping = false;
            self.batch = Batch::default();
            if !self.core.has_connection() {
                return self.ready().await;
            }
        }
        if self.batch.steps.is_empty() && !self.core.has_connection() {
            return self.ready().await;
        }
        self.close(Close::Sync).await
    }

    // Simple protocol.

    async fn simple(&mut self, sql: String) -> Result<(), ChannelError> {
        let class = self.context.classes.classify(&sql);
        if self.core.status == Status::Idle && class.kind == Kind::Session {
            return self.command(&class.command).await;
        }
        if sql.trim().is_empty() {
            let empty = Back::EmptyQueryResponse(EmptyQueryResponse::new());
            self.channel.queue_back(&empty)?;
            return self.ready().await;
        }
        let read = matches!(class.kind, Kind::Read | Kind::Begin | Kind::BeginRead);
        self.batch = Batch {
            writes: !read,
            executes: true,
            class: Some(class),
            steps: Vec::new(),
        };
        let query = Front::Query(pgwire::messages::simplequery::Query::new(sql));
        self.push(&query, Expect::Whole)?;
        self.close(Close::Query).await
    }

    /// Answers what concerns the session and no database.
    async fn command(&mut self, command: &Command) -> Result<(), ChannelError> {
        let query = Some(Close::Query);
        let tag = match command {
            Command::Set { name, value } => match self.set(name, value) {
                Ok(()) => "SET",
                Err(report) => return self.fail(&report, query).await,
            },
            Command::Show { name } => match self.show(name) {
                Some(value) => {
                    self.one_row(name, &value)?;
                    "SHOW"
                }
                None => {
                    let message = format!("unrecognized configuration parameter {name:?}");
                    return self.fail(&Report::error("42704", message), query).await;
                }
            },
            Command::Reset => "RESET",
            Command::Refuse { what } => return self.fail(&unsupported(what), query).await,
            Command::None => {
                let message = "this setting is not supported on pooled connections";
                let report = Report::error(state::UNSUPPORTED, message);
                return self.fail(&report, query).await;
            }
        };
        let complete = CommandComplete::new(tag.to_owned());
        self.channel.queue_back(&Back::CommandComplete(complete))?;
        self.ready().await
    }

    fn set(&mut self, name: &str, value: &str) -> Result<(), Report> {
        let some = || (!value.is_empty()).then(|| Arc::from(value));
        match name {
            ONCE => self.once = some(),
            KIND => self.kind = some(),
            report::TOKEN => match value.parse::<Position>() {
                Ok(position) => self.core.floors.raise(position),
                Err(error) => return Err(Report::error("22023", error.to_string())),
            },
            name if HARMLESS.contains(&name) => {}
            name => {
                let message = format!("setting {name:?} is not supported on pooled connections");
                return Err(Report::error(state::UNSUPPORTED, message));
            }
        }
        Ok(())
    }

    fn show(&self, name: &str) -> Option<String> {
        match name {
            report::TOKEN => Some(
                self.core
                    .floors
                    .token()
                    .map_or(String::new(), Position::token),
            ),
            "server_version" => Some(report::SERVER_VERSION.to_owned()),
            "transaction.isolation.level" => Some("read committed".to_owned()),
            "standard_conforming_strings" => Some("on".to_owned()),
            _ => None,
        }
    }

    fn one_row(&mut self, name: &str, value: &str) -> Result<(), ChannelError> {
        let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
        let description = RowDescription::new(vec![field]);
        self.channel
            .queue_back(&Back::RowDescription(description))?;
        let mut cell = BytesMut::new();
        cell.extend_from_slice(&(value.len() as i32).to_be_bytes());
        cell.extend_from_slice(value.as_bytes());
        let row = Back::DataRow(DataRow::new(cell, 1));
        self.channel.queue_back(&row)
    }

    // Exchanges.

    async fn close(&mut self, close: Close) -> Result<(), ChannelError> {
        let batch = std::mem::take(&mut self.batch);
        if self.core.transaction_lost {
            return self.refuse_lost(&batch, close).await;
        }
        let (exchange, scope) = match self.exchange(batch, close) {
            Ok(ready) => ready,
            Err(report) => return self.fail(&report, Some(close)).await,
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
            Some(Ok(reply)) => self.answer(reply, close, token).await,
            Some(Err(failure)) => self.fail(&failure::report(&failure), Some(close)).await,
            None => {
                let failure = Report::error("57014", "canceling statement due to user request");
                self.fail(&failure, Some(close)).await
            }
        }
    }

    fn exchange(&mut self, batch: Batch, close: Close) -> Result<(Exchange, Scope), Report> {
        let snapshot = self.context.snapshot.borrow().clone();
        let plan = snapshot
            .groups
            .get(&self.group)
            .ok_or_else(|| Report::fatal("3D000", "this database group is no longer declared"))?;
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
        let once = self.once_key(plan, &class, effect)?;
        let kind = self.read_kind(plan, &class);
        let apart = kind.filter(|kind| kind.own_writes == OwnWrites::Tables);
        let covered = |kind: &&Read| class.tables.iter().all(|t| kind.tables.contains(t));
        let scope = Scope {
            read_kind: kind.map(|kind| kind.name.clone()),
            separate_kind: apart.filter(covered).map(|kind| kind.name.clone()),
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
            .payload(),
            once,
        };
        Ok((exchange, scope))
    }

    /// The declared kind of a read: by hint, by setting, or by its tables.
    fn read_kind<'a>(&self, plan: &'a Plan, class: &Class) -> Option<&'a Read> {
        let named = class.read_kind.as_ref().or(self.kind.as_ref());
        let by_name = named.and_then(|name| plan.reads.iter().find(|read| read.name == *name));
        let by_tables = || {
            let all = |read: &&Read| {
                !class.tables.is_empty() && class.tables.iter().all(|t| read.tables.contains(t))
            };
            plan.reads.iter().find(all)
        };
        by_name.or_else(by_tables)
    }

    /// The key of a request that must not be repeated, if it is one.
    fn once_key(
        &mut self,
        plan: &Plan,
        class: &Class,
        effect: Effect,
    ) -> Result<Option<Arc<str>>, Report> {
        if effect != Effect::Writes || class.kind != Kind::Write {
            return Ok(None);
        }
        let key = class.once_key.clone().or_else(|| self.once.take());
        let ruled = plan
            .onces
            .iter()
            .find(|once| class.tables.contains(&once.table));
        match (key, ruled) {
            (None, Some(once)) => {
                let table = &once.table;
                let message =
                    format!("writes to {table} need a key, so that they run at most once");
                let hint = "send /* larkfall: once=KEY */ or SET larkfall.once = 'KEY' before it";
                Err(Report::error(state::KEY_MISSING, message).hint(hint))
            }
            (Some(_), _) if self.core.status != Status::Idle || self.core.has_connection() => {
                let message = "a request with a key can't be part of a larger transaction";
                Err(Report::error(state::UNSUPPORTED, message))
            }
            (key, _) => Ok(key),
        }
    }

    /// Passes an answer on, with the session's token when it is not `before` any more.
    async fn answer(
        &mut self,
        reply: Reply,
        close: Close,
        before: Option<Position>,
    ) -> Result<(), ChannelError> {
        self.channel.queue_bytes(&reply.messages);
        let after = self.core.floors.token().filter(|t| Some(*t) != before);
        if let Some(position) = after {
            let token = report::parameter(report::TOKEN, position.token());
            self.channel.queue_back(&token)?;
        }
        if close == Close::Flush {
            self.skipping = reply.failed;
            return self.channel.flush().await;
        }
        if self.core.status == Status::Idle {
            self.portals.clear();
        }
        self.ready().await
    }

    /// In a transaction that is gone, only its end is taken.
    async fn refuse_lost(&mut self, batch: &Batch, close: Close) -> Result<(), ChannelError> {
        let ends = batch.class.as_ref().is_some_and(|c| c.kind == Kind::End);
        if !ends {
            let message = "the transaction is gone; end it and begin anew";
            return self
                .fail(&Report::error("25P02", message), Some(close))
                .await;
        }
        self.core.end_lost_transaction();
        let bytes = self.ended_answer(batch)?;
        self.channel.queue_bytes(&bytes);
        self.ready().await
    }

    /// What a ROLLBACK would answer to the same messages.
    fn ended_answer(&self, batch: &Batch) -> Result<Bytes, ChannelError> {
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

    /// Reports an error of this box's own. Before a Sync, everything up to it is
    /// skipped; an open transaction is given up, as a database would.
    async fn fail(&mut self, report: &Report, close: Option<Close>) -> Result<(), ChannelError> {
        self.batch = Batch::default();
        self.core.abort_if_in_transaction();
        self.channel.queue_back(&report.message())?;
        match close {
            Some(Close::Query | Close::Sync) => self.ready().await,
            Some(Close::Flush) | None => {
                self.skipping = true;
                self.channel.flush().await
            }
        }
    }

    async fn ready(&mut self) -> Result<(), ChannelError> {
        let status = match self.core.status {
            Status::Idle => TransactionStatus::Idle,
            Status::Transaction => TransactionStatus::Transaction,
            Status::Failed => TransactionStatus::Error,
        };
        self.channel.queue_back(&report::ready(status))?;
        self.channel.flush().await
    }
}

/// Where an exchange may run.
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

fn unsupported(what: &str) -> Report {
    let message = format!("{what} is not supported on pooled connections");
    Report::error(state::UNSUPPORTED, message)
}

/// A statement under a name that depends only on what it is.
fn shared_statement(sql: &str, types: Vec<u32>) -> Statement {
    let mut seed = sql.as_bytes().to_vec();
    for oid in &types {
        seed.extend_from_slice(&oid.to_be_bytes());
    }
    let name = format!("lf_{:032x}", xxh3_128(&seed));
    Statement {
        name: name.into(),
        sql: sql.into(),
        types,
    }
}

fn front_bytes(message: &Front) -> Result<Bytes, ChannelError> {
    let mut bytes = BytesMut::new();
    message.encode(&mut bytes)?;
    Ok(bytes.freeze())
}
