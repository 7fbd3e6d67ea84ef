//! One connection to a stand-in member: the PostgreSQL protocol, served.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pgwire::messages::PgWireBackendMessage as Back;
use pgwire::messages::PgWireFrontendMessage as Front;
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{Bind, BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{CommandComplete, EmptyQueryResponse, TransactionStatus};
use pgwire::messages::startup::{Authentication, BackendKeyData, SecretKey};
use rusqlite::types::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedMutexGuard;

use super::engine::{Answer, Column, Engine, Fault, Prepared, Verb};
use super::member::{Cell, Change, Member};
use super::value;
use crate::decisions::position::Position;
use crate::postgres::channel::{Channel, ChannelError, Opening};
use crate::postgres::response::{self, SqlError};

const LOCK_WAIT: Duration = Duration::from_secs(5);

/// Serves callers until the listener fails.
pub async fn serve(member: Arc<Member>, listener: TcpListener) -> std::io::Result<()> {
    loop {
        let (socket, peer) = listener.accept().await?;
        socket.set_nodelay(true)?;
        let member = member.clone();
        tokio::task::spawn_local(async move {
            member.state().open += 1;
            let _ = Session::run(member.clone(), socket, peer.ip()).await;
            member.state().open -= 1;
        });
    }
}

struct Portal {
    prepared: Prepared,
    params: Vec<Value>,
    formats: Vec<i16>,
}

/// An open transaction; dropping it without an end rolls back.
struct Transaction {
    member: Arc<Member>,
    _whole: OwnedMutexGuard<()>,
    changes: Vec<Change>,
    ended: bool,
}

impl Transaction {
    async fn begin(member: &Arc<Member>) -> Result<Self, Fault> {
        let lock = member.lock.clone().lock_owned();
        let whole = tokio::time::timeout(LOCK_WAIT, lock)
            .await
            .map_err(|_| Fault::new("55P03", "canceling statement due to lock timeout"))?;
        member.state().engine.control("BEGIN")?;
        Ok(Self {
            member: member.clone(),
            _whole: whole,
            changes: Vec::new(),
            ended: false,
        })
    }

    fn commit(mut self) -> Result<(), Fault> {
        self.ended = true;
        let changes = std::mem::take(&mut self.changes);
        self.member.commit(changes)
    }
}

impl Drop for Transaction {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.member.state().engine.control("ROLLBACK");
        }
    }
}

struct Session {
    member: Arc<Member>,
    peer: IpAddr,
    channel: Channel,
    statements: HashMap<String, Prepared>,
    portals: HashMap<String, Portal>,
    transaction: Option<Transaction>,
    /// Opened by BEGIN, not just for the statements up to the next Sync.
    explicit: bool,
    failed: bool,
    /// An error was sent; everything up to Sync is skipped.
    skipping: bool,
    reported: Position,
}

impl Session {
    async fn run(member: Arc<Member>, socket: TcpStream, peer: IpAddr) -> Result<(), ChannelError> {
        let mut session = Session {
            channel: Channel::new(Box::new(socket)),
            member,
            peer,
            statements: HashMap::new(),
            portals: HashMap::new(),
            transaction: None,
            explicit: false,
            failed: false,
            skipping: false,
            reported: Position::ZERO,
        };
        if !session.start().await? {
            return Ok(());
        }
        session.serve().await
    }

    async fn start(&mut self) -> Result<bool, ChannelError> {
        let opening = self.channel.read_opening().await?;
        self.member.gate.enter(self.peer).await;
        if let Opening::Cancel { .. } = opening {
            return Ok(false);
        }
        if self.member.state().open > self.member.settings.connections {
            let error = SqlError::fatal("53300", "sorry, too many clients already");
            self.channel.queue_backend(&error.to_message())?;
            self.channel.flush().await?;
            return Ok(false);
        }
        tokio::time::sleep(Duration::from_millis(self.member.settings.connect_ms)).await;
        self.channel
            .queue_backend(&Back::Authentication(Authentication::Ok))?;
        for (name, value) in [("server_version", "15.0 (larkfall stand-in)")]
            .into_iter()
            .chain(response::SESSION_PARAMETERS)
        {
            self.channel
                .queue_backend(&response::parameter_status(name, value))?;
        }
        let key = BackendKeyData::new(1, SecretKey::I32(1));
        self.channel.queue_backend(&Back::BackendKeyData(key))?;
        self.ready().await?;
        Ok(true)
    }

    async fn serve(&mut self) -> Result<(), ChannelError> {
        loop {
            let waits = !self.channel.has_input();
            let message = self.channel.read_frontend().await?;
            if waits {
                self.member.gate.enter(self.peer).await;
            }
            match message {
                Front::Terminate(_) => return Ok(()),
                Front::Query(query) => {
                    if let Err(fault) = self.simple(&query.query).await {
                        self.fail(&fault)?;
                    }
                    self.finish().await?;
                }
                Front::Sync(_) => self.finish().await?,
                Front::Flush(_) => self.answer().await?,
                _ if self.skipping => {}
                other => {
                    if let Err(fault) = self.extended(other).await {
                        self.fail(&fault)?;
                        self.skipping = true;
                    }
                }
            }
        }
    }

    async fn answer(&mut self) -> Result<(), ChannelError> {
        self.member.gate.leave(self.peer).await;
        self.channel.flush().await
    }

    fn fail(&mut self, fault: &Fault) -> Result<(), ChannelError> {
        if self.explicit {
            self.failed = true;
        } else {
            self.transaction = None;
        }
        let error = SqlError::error(fault.code, fault.message.clone());
        self.channel.queue_backend(&error.to_message())
    }

    /// Ends what was opened only for this query or this run up to Sync.
    async fn finish(&mut self) -> Result<(), ChannelError> {
        self.skipping = false;
        if !self.explicit {
            if let Err(fault) = self.end(true) {
                self.fail(&fault)?;
            }
            self.portals.clear();
        }
        self.ready().await
    }

    async fn ready(&mut self) -> Result<(), ChannelError> {
        let position = self.member.state().applied_position();
        if position != self.reported {
            self.reported = position;
            let parameter =
                response::parameter_status(response::POSITION_PARAMETER, position.token());
            self.channel.queue_backend(&parameter)?;
        }
        let status = match (self.explicit, self.failed) {
            (false, _) => TransactionStatus::Idle,
            (true, false) => TransactionStatus::Transaction,
            (true, true) => TransactionStatus::Error,
        };
        self.channel
            .queue_backend(&response::ready_for_query(status))?;
        self.answer().await
    }

    fn end(&mut self, commit: bool) -> Result<(), Fault> {
        let failed = std::mem::take(&mut self.failed);
        self.explicit = false;
        match self.transaction.take() {
            Some(transaction) if commit && !failed => transaction.commit(),
            _ => Ok(()),
        }
    }

    async fn simple(&mut self, sql: &str) -> Result<(), Fault> {
        let mut statements = Engine::split(sql)?;
        if statements.is_empty() {
            let empty = Back::EmptyQueryResponse(EmptyQueryResponse::new());
            return self.queue(&empty);
        }
        for statement in &mut statements {
            let prepared = self.member.state().engine.prepare_one(statement, &[])?;
            if !prepared.columns.is_empty() {
                let description = describe(&prepared.columns, &[]);
                self.queue(&Back::RowDescription(description))?;
            }
            self.execute(&prepared, &[], &[]).await?;
        }
        Ok(())
    }

    async fn extended(&mut self, message: Front) -> Result<(), Fault> {
        match message {
            Front::Parse(parse) => {
                let prepared = self
                    .member
                    .state()
                    .engine
                    .prepare(&parse.query, &parse.type_oids)?;
                self.statements
                    .insert(parse.name.unwrap_or_default(), prepared);
                self.queue(&Back::ParseComplete(ParseComplete::new()))
            }
            Front::Bind(bind) => self.bind(bind),
            Front::Describe(describe) => {
                self.describe(describe.target_type, describe.name.unwrap_or_default())
            }
            Front::Execute(execute) => {
                let name = execute.name.unwrap_or_default();
                let portal = self.portals.remove(&name).ok_or_else(|| {
                    Fault::new("34000", format!("portal {name:?} does not exist"))
                })?;
                let done = self
                    .execute(&portal.prepared, &portal.params, &portal.formats)
                    .await;
                self.portals.insert(name, portal);
                done
            }
            Front::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == b'S' {
                    self.statements.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                self.queue(&Back::CloseComplete(CloseComplete::new()))
            }
            _ => Err(Fault::new("0A000", "message is not supported")),
        }
    }

    fn statement(&self, name: &str) -> Result<&Prepared, Fault> {
        self.statements.get(name).ok_or_else(|| {
            Fault::new(
                "26000",
                format!("prepared statement {name:?} does not exist"),
            )
        })
    }

    fn bind(&mut self, bind: Bind) -> Result<(), Fault> {
        let prepared = self
            .statement(&bind.statement_name.unwrap_or_default())?
            .clone();
        if bind.parameters.len() != prepared.params.len() {
            let message = format!(
                "bind message supplies {} parameters, but the statement requires {}",
                bind.parameters.len(),
                prepared.params.len()
            );
            return Err(Fault::new("08P01", message));
        }
        let formats = &bind.parameter_format_codes;
        let decode = |(i, bytes): (usize, &Option<Bytes>)| match bytes {
            None => Ok(Value::Null),
            Some(bytes) => value::decode(bytes, prepared.params[i], format_at(formats, i)),
        };
        let params = bind.parameters.iter().enumerate().map(decode);
        let params = params.collect::<Result<_, _>>()?;
        let portal = Portal {
            params,
            prepared,
            formats: bind.result_column_format_codes,
        };
        self.portals
            .insert(bind.portal_name.unwrap_or_default(), portal);
        self.queue(&Back::BindComplete(BindComplete::new()))
    }

    fn describe(&mut self, target: u8, name: String) -> Result<(), Fault> {
        let (columns, formats) = if target == b'S' {
            let prepared = self.statement(&name)?.clone();
            let types = ParameterDescription::new(prepared.params);
            self.queue(&Back::ParameterDescription(types))?;
            (prepared.columns, Vec::new())
        } else {
            let portal = self
                .portals
                .get(&name)
                .ok_or_else(|| Fault::new("34000", format!("portal {name:?} does not exist")))?;
            (portal.prepared.columns.clone(), portal.formats.clone())
        };
        if columns.is_empty() {
            return self.queue(&Back::NoData(NoData::new()));
        }
        self.queue(&Back::RowDescription(describe(&columns, &formats)))
    }

    async fn execute(
        &mut self,
        prepared: &Prepared,
        params: &[Value],
        formats: &[i16],
    ) -> Result<(), Fault> {
        if self.failed && !matches!(prepared.verb, Verb::Commit | Verb::Rollback) {
            return Err(Fault::new(
                "25P02",
                "current transaction is aborted, commands ignored until end of transaction block",
            ));
        }
        let tag = match prepared.verb {
            Verb::Empty => return self.queue(&Back::EmptyQueryResponse(EmptyQueryResponse::new())),
            Verb::Set => "SET".to_owned(),
            Verb::Begin => {
                self.explicit = true;
                "BEGIN".to_owned()
            }
            Verb::Commit if self.failed => {
                self.end(false)?;
                "ROLLBACK".to_owned()
            }
            Verb::Commit => {
                self.end(true)?;
                "COMMIT".to_owned()
            }
            Verb::Rollback => {
                self.end(false)?;
                "ROLLBACK".to_owned()
            }
            Verb::Read | Verb::Write => {
                let answer = self.run_in_slot(prepared, params).await?;
                self.rows(&answer, &prepared.columns, formats)?;
                answer.tag
            }
        };
        self.queue(&Back::CommandComplete(CommandComplete::new(tag)))
    }

    async fn run_in_slot(
        &mut self,
        prepared: &Prepared,
        params: &[Value],
    ) -> Result<Answer, Fault> {
        let member = self.member.clone();
        // The slot is given back before the lock: its holder may need a slot itself.
        let slot = member.slots.acquire().await.expect("never closed");
        if member.settings.service_ms > 0 {
            tokio::time::sleep(Duration::from_millis(member.settings.service_ms)).await;
        }
        drop(slot);
        if self.transaction.is_none() {
            self.transaction = Some(Transaction::begin(&member).await?);
        }
        let answer = member.run(prepared, params)?;
        if prepared.verb == Verb::Write
            && let Some(transaction) = &mut self.transaction
        {
            transaction.changes.push(Change {
                sql: prepared.sql.clone(),
                params: params.iter().map(Cell::from_value).collect(),
            });
        }
        Ok(answer)
    }

    fn rows(&mut self, answer: &Answer, columns: &[Column], formats: &[i16]) -> Result<(), Fault> {
        for cells in &answer.rows {
            let mut row = BytesMut::new();
            for (i, cell) in cells.iter().enumerate() {
                let kind = columns.get(i).map_or(super::engine::oid::TEXT, |c| c.oid);
                value::encode(cell, kind, format_at(formats, i), &mut row);
            }
            let row = DataRow::new(row, cells.len() as i16);
            self.queue(&Back::DataRow(row))?;
        }
        Ok(())
    }

    fn queue(&mut self, message: &Back) -> Result<(), Fault> {
        self.channel
            .queue_backend(message)
            .map_err(|error| Fault::new("08P01", error.to_string()))
    }
}

fn format_at(formats: &[i16], i: usize) -> i16 {
    match formats {
        [] => 0,
        [one] => *one,
        many => many.get(i).copied().unwrap_or_default(),
    }
}

fn describe(columns: &[Column], formats: &[i16]) -> RowDescription {
    let field = |(i, column): (usize, &Column)| {
        FieldDescription::new(
            column.name.clone(),
            0,
            0,
            column.oid,
            -1,
            -1,
            format_at(formats, i),
        )
    };
    RowDescription::new(columns.iter().enumerate().map(field).collect())
}
