//! A small PostgreSQL client for trials: simple queries, and the session's token.

use std::net::SocketAddr;
use std::time::Duration;

use pgwire::messages::PgWireBackendMessage as Back;
use pgwire::messages::PgWireFrontendMessage as Front;
use pgwire::messages::data::DataRow;
use pgwire::messages::response::ErrorResponse;
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::Startup;
use tokio::net::TcpStream;

use crate::postgres::channel::{Channel, ChannelError};
use crate::postgres::failure::state;
use crate::postgres::response;

/// Why a query brought no rows.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    #[error("{code}: {message}")]
    Sql {
        code: String,
        message: String,
        hint: Option<String>,
    },
    /// The connection is gone; the outcome is unknown.
    #[error("connection lost: {0}")]
    Lost(String),
}

impl ClientError {
    /// Whether the statement is said to have not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, ClientError::Sql { code, .. } if code == state::NOT_RUN)
    }

    /// SQLSTATE, empty for a lost connection.
    pub fn code(&self) -> &str {
        match self {
            ClientError::Sql { code, .. } => code,
            ClientError::Lost(_) => "",
        }
    }

    /// When the server says to come back.
    pub fn retry_after(&self) -> Option<Duration> {
        let ClientError::Sql { hint, .. } = self else {
            return None;
        };
        let text = hint.as_deref()?.strip_prefix("retry after ")?;
        let number = text.strip_suffix(" ms")?.parse().ok()?;
        Some(Duration::from_millis(number))
    }
}

impl From<ChannelError> for ClientError {
    fn from(error: ChannelError) -> Self {
        ClientError::Lost(error.to_string())
    }
}

/// Rows as texts, and the command tag.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    pub rows: Vec<Vec<Option<String>>>,
    pub tag: String,
}

impl Answer {
    /// The first row's first cell as a number.
    pub fn number(&self) -> Option<i64> {
        self.rows.first()?.first()?.as_ref()?.parse().ok()
    }
}

/// A connected client.
pub struct Client {
    channel: Channel,
    /// Newest token the server reported.
    pub token: Option<String>,
}

impl Client {
    pub async fn connect(
        address: SocketAddr,
        user: &str,
        database: &str,
        token: Option<&str>,
    ) -> Result<Self, ClientError> {
        let lost = |error: std::io::Error| ClientError::Lost(error.to_string());
        let stream = TcpStream::connect(address).await.map_err(lost)?;
        stream.set_nodelay(true).map_err(lost)?;
        let mut channel = Channel::new(Box::new(stream));
        channel.mark_started();
        let mut startup = Startup::new();
        startup.protocol_number_minor = 0;
        let parameters = &mut startup.parameters;
        parameters.insert("user".to_owned(), user.to_owned());
        parameters.insert("database".to_owned(), database.to_owned());
        if let Some(token) = token {
            parameters.insert(response::TOKEN_PARAMETER.to_owned(), token.to_owned());
        }
        channel.queue_frontend(&Front::Startup(startup))?;
        channel.flush().await?;
        let mut client = Self {
            channel,
            token: token.map(str::to_owned),
        };
        client.answer().await?;
        Ok(client)
    }

    /// Runs one simple query.
    pub async fn query(&mut self, sql: &str) -> Result<Answer, ClientError> {
        self.channel
            .queue_frontend(&Front::Query(Query::new(sql.to_owned())))?;
        self.channel.flush().await?;
        self.answer().await
    }

    async fn answer(&mut self) -> Result<Answer, ClientError> {
        let mut answer = Answer::default();
        let mut failure = None;
        loop {
            match self.channel.read_backend().await? {
                Back::ReadyForQuery(_) => return failure.map_or(Ok(answer), Err),
                Back::DataRow(row) => answer.rows.push(cells(&row)),
                Back::CommandComplete(complete) => answer.tag = complete.tag,
                Back::ParameterStatus(parameter) if parameter.name == response::TOKEN_PARAMETER => {
                    self.token = Some(parameter.value);
                }
                Back::ErrorResponse(error) => {
                    let fatal = field(&error, b'S').as_deref() == Some("FATAL");
                    let error = sql_error(&error);
                    if fatal {
                        return Err(error);
                    }
                    failure.get_or_insert(error);
                }
                _ => {}
            }
        }
    }
}

fn field(error: &ErrorResponse, kind: u8) -> Option<String> {
    let found = error.fields.iter().find(|(k, _)| *k == kind);
    found.map(|(_, value)| value.clone())
}

fn sql_error(error: &ErrorResponse) -> ClientError {
    ClientError::Sql {
        code: response::sqlstate(error).to_owned(),
        message: field(error, b'M').unwrap_or_default(),
        hint: field(error, b'H'),
    }
}

fn cells(row: &DataRow) -> Vec<Option<String>> {
    let mut cells = Vec::new();
    let mut rest = &row.data[..];
    for _ in 0..row.field_count {
        let Some((length, tail)) = rest.split_first_chunk::<4>() else {
            break;
        };
        let length = i32::from_be_bytes(*length);
        let Ok(length) = usize::try_from(length) else {
            cells.push(None);
            rest = tail;
            continue;
        };
        let (cell, tail) = tail.split_at(length.min(tail.len()));
        cells.push(Some(String::from_utf8_lossy(cell).into_owned()));
        rest = tail;
    }
    cells
}
