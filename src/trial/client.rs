//! A small PostgreSQL client for trials that runs simple queries and keeps the session's token.

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

/// Why a query failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    #[error("{code}: {message}")]
    Sql {
        code: String,
        message: String,
        hint: Option<String>,
    },
    /// The connection was lost, so the outcome is unknown.
    #[error("connection lost: {0}")]
    Lost(String),
}

impl ClientError {
    /// Whether the server reported that the statement did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, ClientError::Sql { code, .. } if code == state::NOT_RUN)
    }

    /// Returns the SQLSTATE, empty for a lost connection.
    pub fn code(&self) -> &str {
        match self {
            ClientError::Sql { code, .. } => code,
            ClientError::Lost(_) => "",
        }
    }

    /// Returns the delay after which the server asks for a retry.
    pub fn retry_after(&self) -> Option<Duration> {
        let ClientError::Sql { hint, .. } = self else {
            return None;
        };
        let text = hint.as_deref()?.strip_prefix("retry after ")?;
        let ms = text.strip_suffix(" ms")?.parse().ok()?;
        Some(Duration::from_millis(ms))
    }
}

impl From<ChannelError> for ClientError {
    fn from(error: ChannelError) -> Self {
        ClientError::Lost(error.to_string())
    }
}

/// The rows of an answer as text, and its command tag.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    pub rows: Vec<Vec<Option<String>>>,
    pub tag: String,
}

impl Answer {
    /// Returns the first cell of the first row as a number.
    pub fn number(&self) -> Option<i64> {
        self.rows.first()?.first()?.as_ref()?.parse().ok()
    }
}

/// A connected client.
pub struct Client {
    channel: Channel,
    /// Newest session token that the server reported.
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
        client.read_answer().await?;
        Ok(client)
    }

    /// Runs one simple query.
    pub async fn query(&mut self, sql: &str) -> Result<Answer, ClientError> {
        self.channel
            .queue_frontend(&Front::Query(Query::new(sql.to_owned())))?;
        self.channel.flush().await?;
        self.read_answer().await
    }

    /// Reads messages until the server is ready for the next query.
    async fn read_answer(&mut self) -> Result<Answer, ClientError> {
        let mut answer = Answer::default();
        let mut failure = None;
        loop {
            match self.channel.read_backend().await? {
                Back::ReadyForQuery(_) => return failure.map_or(Ok(answer), Err),
                Back::DataRow(row) => answer.rows.push(parse_row(&row)),
                Back::CommandComplete(complete) => answer.tag = complete.tag,
                Back::ParameterStatus(parameter) if parameter.name == response::TOKEN_PARAMETER => {
                    self.token = Some(parameter.value);
                }
                Back::ErrorResponse(error) => {
                    let fatal = error_field(&error, b'S').as_deref() == Some("FATAL");
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

fn error_field(error: &ErrorResponse, kind: u8) -> Option<String> {
    let found = error.fields.iter().find(|(tag, _)| *tag == kind);
    found.map(|(_, value)| value.clone())
}

fn sql_error(error: &ErrorResponse) -> ClientError {
    ClientError::Sql {
        code: response::sqlstate(error).to_owned(),
        message: error_field(error, b'M').unwrap_or_default(),
        hint: error_field(error, b'H'),
    }
}

fn parse_row(row: &DataRow) -> Vec<Option<String>> {
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
