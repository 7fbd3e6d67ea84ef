//! Serves the PostgreSQL protocol on one connection to a stand-in member.

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
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, NoticeResponse, NotificationResponse, TransactionStatus,
};
use pgwire::messages::startup::{Authentication, BackendKeyData, SecretKey};
use rusqlite::types::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedMutexGuard;

use super::engine::{Answer, Column, Engine, Kind, Prepared, QueryError};
use super::faults::Repeat;
use super::member::{Cell, Change, Member};
use super::value;
use crate::decisions::position::Position;
use crate::postgres::channel::{Channel, ChannelError, Opening};
use crate::postgres::response::{self, SqlError};

const LOCK_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves connections until the listener fails.
pub async fn serve(member: Arc<Member>, listener: TcpListener) -> std::io::Result<()> {
    loop {
        let (socket, peer) = listener.accept().await?;
        socket.set_nodelay(true)?;
        let member = member.clone();
        tokio::task::spawn_local(async move {
            member.state().open_connections += 1;
            let _ = Session::run(member.clone(), socket, peer.ip()).await;
            member.state().open_connections -= 1;
        });
    }
}

/// A statement bound to its parameters.
struct Portal {
    prepared: Prepared,
    params: Vec<Value>,
    formats: Vec<i16>,
}

/// An open transaction. It is rolled back when dropped without a commit.
struct Transaction {
    member: Arc<Member>,
    _guard: OwnedMutexGuard<()>,
    changes: Vec<Change>,
    ended: bool,
}

impl Transaction {
    async fn begin(member: &Arc<Member>) -> Result<Self, QueryError> {
        let lock = member.transaction_lock.clone().lock_owned();
        let guard = tokio::time::timeout(LOCK_TIMEOUT, lock)
            .await
            .map_err(|_| QueryError::new("55P03", "canceling statement due to lock timeout"))?;
        member.state().engine.run_command("BEGIN")?;
        Ok(Self {
            member: member.clone(),
            _guard: guard,
            changes: Vec::new(),
            ended: false,
        })
    }

    fn commit(mut self) -> Result<(), QueryError> {
        self.ended = true;
        let changes = std::mem::take(&mut self.changes);
        self.member.commit(changes)
    }
}

impl Drop for Transaction {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.member.state().engine.run_command("ROLLBACK");
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
    /// Whether the client has opened the transaction with `BEGIN`. Otherwise it ends with the
    /// query, or at Sync.
    explicit: bool,
    /// Whether a statement of the explicit transaction has failed.
    failed: bool,
    /// Whether messages up to Sync are skipped because of an error.
    skipping: bool,
    /// The applied position that was last reported to the client.
    reported: Position,
    /// The last answer to a statement, which faults may repeat.
    last_answer: BytesMut,
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
            last_answer: BytesMut::new(),
        };
        if !session.start_up().await? {
            return Ok(());
        }
        session.serve().await
    }

    async fn start_up(&mut self) -> Result<bool, ChannelError> {
        let opening = self.channel.read_opening().await?;
        self.member.gate.enter(self.peer).await;
        if let Opening::Cancel { .. } = opening {
            return Ok(false);
        }
        if self.member.state().open_connections > self.member.settings.connections {
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
        self.queue_ready()?;
        self.member.gate.leave(self.peer).await;
        self.channel.flush().await?;
        Ok(true)
    }

    async fn serve(&mut self) -> Result<(), ChannelError> {
        loop {
            let is_batch_start = !self.channel.has_input();
            if is_batch_start {
                self.repeat_while_idle().await?;
            }
            let message = self.channel.read_frontend().await?;
            if is_batch_start {
                self.member.gate.enter(self.peer).await;
            }
            match message {
                Front::Terminate(_) => return Ok(()),
                Front::Query(query) => {
                    if let Err(error) = self.run_query(&query.query).await {
                        self.queue_error(&error)?;
                    }
                    self.finish_query().await?;
                }
                Front::Sync(_) => self.finish_query().await?,
                Front::Flush(_) => self.send_answers().await?,
                _ if self.skipping => {}
                other => {
                    if let Err(error) = self.handle_extended(other).await {
                        self.queue_error(&error)?;
                        self.skipping = true;
                    }
                }
            }
        }
    }

    async fn send_answers(&mut self) -> Result<(), ChannelError> {
        self.member.gate.leave(self.peer).await;
        let answer = self.channel.take_queued();
        let faults = self.member.gate.get();
        if let Some(part) = faults.repeat {
            let repeated = repeated_part(&self.last_answer, part);
            self.channel.queue_bytes(repeated);
        }
        if faults.unasked {
            self.queue_unasked()?;
        }
        self.channel.queue_bytes(&answer);
        if faults.unasked {
            self.queue_unasked()?;
        }
        self.last_answer = answer;
        self.channel.flush().await
    }

    /// Sends the last answer again if no input arrives within the time that the faults set.
    async fn repeat_while_idle(&mut self) -> Result<(), ChannelError> {
        let Some(ms) = self.member.gate.get().repeat_idle_ms else {
            return Ok(());
        };
        let input = tokio::time::timeout(Duration::from_millis(ms), self.channel.fill()).await;
        if let Ok(filled) = input {
            return filled;
        }
        self.channel.queue_bytes(&self.last_answer);
        self.channel.flush().await
    }

    /// Queues the messages that a server may send at any time.
    fn queue_unasked(&mut self) -> Result<(), ChannelError> {
        let fields = [(b'S', "NOTICE"), (b'C', "00000"), (b'M', "unasked")];
        let fields = fields.map(|(kind, text)| (kind, text.to_owned()));
        let notice = NoticeResponse::new(fields.to_vec());
        self.channel.queue_backend(&Back::NoticeResponse(notice))?;
        let parameter = response::parameter_status("application_name", "unasked");
        self.channel.queue_backend(&parameter)?;
        let notification = NotificationResponse::new(1, "unasked".to_owned(), String::new());
        self.channel
            .queue_backend(&Back::NotificationResponse(notification))
    }

    fn queue_error(&mut self, error: &QueryError) -> Result<(), ChannelError> {
        if self.explicit {
            self.failed = true;
        } else {
            self.transaction = None;
        }
        let reply = SqlError::error(error.code, error.message.clone());
        self.channel.queue_backend(&reply.to_message())
    }

    /// Ends a query, or the messages up to Sync, and commits an implicit transaction.
    async fn finish_query(&mut self) -> Result<(), ChannelError> {
        self.skipping = false;
        if !self.explicit {
            if let Err(error) = self.end_transaction(true) {
                self.queue_error(&error)?;
            }
            self.portals.clear();
        }
        self.send_ready().await
    }

    async fn send_ready(&mut self) -> Result<(), ChannelError> {
        self.queue_ready()?;
        self.send_answers().await
    }

    fn queue_ready(&mut self) -> Result<(), ChannelError> {
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
            .queue_backend(&response::ready_for_query(status))
    }

    fn end_transaction(&mut self, commit: bool) -> Result<(), QueryError> {
        let failed = std::mem::take(&mut self.failed);
        self.explicit = false;
        match self.transaction.take() {
            Some(transaction) if commit && !failed => transaction.commit(),
            _ => Ok(()),
        }
    }

    async fn run_query(&mut self, sql: &str) -> Result<(), QueryError> {
        let mut statements = Engine::parse(sql)?;
        if statements.is_empty() {
            let empty = Back::EmptyQueryResponse(EmptyQueryResponse::new());
            return self.queue(&empty);
        }
        for statement in &mut statements {
            let prepared = self
                .member
                .state()
                .engine
                .prepare_statement(statement, &[])?;
            if !prepared.columns.is_empty() {
                let description = describe(&prepared.columns, &[]);
                self.queue(&Back::RowDescription(description))?;
            }
            self.execute(&prepared, &[], &[]).await?;
        }
        Ok(())
    }

    async fn handle_extended(&mut self, message: Front) -> Result<(), QueryError> {
        match message {
            Front::Parse(parse) => {
                let prepared = self
                    .member
                    .state()
                    .engine
                    .prepare(&parse.query, &parse.type_oids)?;
                let name = parse.name.unwrap_or_default();
                // Only the unnamed statement is replaced.
                if !name.is_empty() && self.statements.contains_key(&name) {
                    let message = format!("prepared statement {name:?} already exists");
                    return Err(QueryError::new("42P05", message));
                }
                self.statements.insert(name, prepared);
                self.queue(&Back::ParseComplete(ParseComplete::new()))
            }
            Front::Bind(bind) => self.bind(bind),
            Front::Describe(describe) => {
                self.describe(describe.target_type, describe.name.unwrap_or_default())
            }
            Front::Execute(execute) => {
                let name = execute.name.unwrap_or_default();
                let portal = self.portals.remove(&name).ok_or_else(|| {
                    QueryError::new("34000", format!("portal {name:?} does not exist"))
                })?;
                let result = self
                    .execute(&portal.prepared, &portal.params, &portal.formats)
                    .await;
                self.portals.insert(name, portal);
                result
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
            _ => Err(QueryError::new("0A000", "message is not supported")),
        }
    }

    fn find_statement(&self, name: &str) -> Result<&Prepared, QueryError> {
        self.statements.get(name).ok_or_else(|| {
            QueryError::new(
                "26000",
                format!("prepared statement {name:?} does not exist"),
            )
        })
    }

    fn bind(&mut self, bind: Bind) -> Result<(), QueryError> {
        let prepared = self
            .find_statement(&bind.statement_name.unwrap_or_default())?
            .clone();
        if bind.parameters.len() != prepared.params.len() {
            let message = format!(
                "bind message supplies {} parameters, but the statement requires {}",
                bind.parameters.len(),
                prepared.params.len()
            );
            return Err(QueryError::new("08P01", message));
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

    fn describe(&mut self, target: u8, name: String) -> Result<(), QueryError> {
        let (columns, formats) = if target == b'S' {
            let prepared = self.find_statement(&name)?.clone();
            let types = ParameterDescription::new(prepared.params);
            self.queue(&Back::ParameterDescription(types))?;
            (prepared.columns, Vec::new())
        } else {
            let portal = self.portals.get(&name).ok_or_else(|| {
                QueryError::new("34000", format!("portal {name:?} does not exist"))
            })?;
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
    ) -> Result<(), QueryError> {
        if self.failed && !matches!(prepared.kind, Kind::Commit | Kind::Rollback) {
            return Err(QueryError::new(
                "25P02",
                "current transaction is aborted, commands ignored until end of transaction block",
            ));
        }
        let tag = match prepared.kind {
            Kind::Empty => return self.queue(&Back::EmptyQueryResponse(EmptyQueryResponse::new())),
            Kind::Set => "SET".to_owned(),
            Kind::Begin => {
                self.explicit = true;
                "BEGIN".to_owned()
            }
            Kind::Commit if self.failed => {
                self.end_transaction(false)?;
                "ROLLBACK".to_owned()
            }
            Kind::Commit => {
                self.end_transaction(true)?;
                "COMMIT".to_owned()
            }
            Kind::Rollback => {
                self.end_transaction(false)?;
                "ROLLBACK".to_owned()
            }
            Kind::Read | Kind::Write => {
                let answer = self.run_in_slot(prepared, params).await?;
                self.queue_rows(&answer, &prepared.columns, formats)?;
                answer.tag
            }
        };
        self.queue(&Back::CommandComplete(CommandComplete::new(tag)))
    }

    async fn run_in_slot(
        &mut self,
        prepared: &Prepared,
        params: &[Value],
    ) -> Result<Answer, QueryError> {
        let member = self.member.clone();
        // The slot is released before waiting for the transaction lock, as the holder of the
        // lock may need a slot.
        let slot = member.slots.acquire().await.expect("never closed");
        if member.settings.service_ms > 0 {
            tokio::time::sleep(Duration::from_millis(member.settings.service_ms)).await;
        }
        drop(slot);
        if self.transaction.is_none() {
            self.transaction = Some(Transaction::begin(&member).await?);
        }
        let answer = member.run(prepared, params)?;
        if prepared.kind == Kind::Write
            && let Some(transaction) = &mut self.transaction
        {
            transaction.changes.push(Change {
                sql: prepared.sql.clone(),
                params: params.iter().map(Cell::from_value).collect(),
            });
        }
        Ok(answer)
    }

    fn queue_rows(
        &mut self,
        answer: &Answer,
        columns: &[Column],
        formats: &[i16],
    ) -> Result<(), QueryError> {
        for cells in &answer.rows {
            let mut row = BytesMut::new();
            for (i, cell) in cells.iter().enumerate() {
                let type_oid = columns.get(i).map_or(super::engine::oid::TEXT, |c| c.oid);
                value::encode(cell, type_oid, format_at(formats, i), &mut row);
            }
            let row = DataRow::new(row, cells.len() as i16);
            self.queue(&Back::DataRow(row))?;
        }
        Ok(())
    }

    fn queue(&mut self, message: &Back) -> Result<(), QueryError> {
        self.channel
            .queue_backend(message)
            .map_err(|error| QueryError::new("08P01", error.to_string()))
    }
}

/// Returns the messages of an answer that are repeated.
fn repeated_part(answer: &[u8], part: Repeat) -> &[u8] {
    let kind = match part {
        Repeat::Whole => return answer,
        Repeat::Complete => b'C',
        Repeat::Ready => b'Z',
    };
    let mut found: &[u8] = &[];
    let mut rest = answer;
    while let [first, a, b, c, d, ..] = *rest {
        let length = 1 + u32::from_be_bytes([a, b, c, d]) as usize;
        let (message, tail) = rest.split_at(length.min(rest.len()));
        if first == kind {
            found = message;
        }
        rest = tail;
    }
    found
}

fn format_at(formats: &[i16], i: usize) -> i16 {
    match formats {
        [] => 0,
        [format] => *format,
        formats => formats.get(i).copied().unwrap_or_default(),
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
