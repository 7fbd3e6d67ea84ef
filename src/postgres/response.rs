//! Builds the messages of a server: errors, parameters and readiness.

use pgwire::messages::PgWireBackendMessage as Back;
use pgwire::messages::response::{ErrorResponse, ReadyForQuery, TransactionStatus};
use pgwire::messages::startup::ParameterStatus;

/// Server version reported to callers.
pub const SERVER_VERSION: &str = "15.0 (larkfall)";

/// Parameter in which a member reports the position that its answers include.
pub const POSITION_PARAMETER: &str = "larkfall.position";
/// Parameter in which a box reports the session's token to the caller.
pub const TOKEN_PARAMETER: &str = "larkfall.token";

/// Parameters reported at start-up, besides the version.
pub const SESSION_PARAMETERS: [(&str, &str); 6] = [
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// An error with its SQLSTATE, as sent to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SqlError {
    pub severity: &'static str,
    pub code: String,
    pub message: String,
    pub detail: Option<String>,
    pub hint: Option<String>,
}

impl SqlError {
    pub fn error(code: &str, message: impl Into<String>) -> Self {
        Self {
            severity: "ERROR",
            code: code.to_owned(),
            message: message.into(),
            detail: None,
            hint: None,
        }
    }

    pub fn fatal(code: &str, message: impl Into<String>) -> Self {
        Self {
            severity: "FATAL",
            ..Self::error(code, message)
        }
    }

    pub fn with_hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = Some(hint.into());
        self
    }

    /// Encodes the error as a message.
    pub fn to_message(&self) -> Back {
        let mut fields = vec![
            (b'S', self.severity.to_owned()),
            (b'V', self.severity.to_owned()),
            (b'C', self.code.clone()),
            (b'M', self.message.clone()),
        ];
        fields.extend(self.detail.clone().map(|text| (b'D', text)));
        fields.extend(self.hint.clone().map(|text| (b'H', text)));
        Back::ErrorResponse(ErrorResponse::new(fields))
    }
}

/// Returns the SQLSTATE of an error message, empty if there is none.
pub fn sqlstate(error: &ErrorResponse) -> &str {
    let code = error.fields.iter().find(|(kind, _)| *kind == b'C');
    code.map_or("", |(_, value)| value)
}

/// Whether the server closes the connection after the error.
pub fn is_fatal(error: &ErrorResponse) -> bool {
    let severity = error.fields.iter().find(|(kind, _)| *kind == b'V');
    let severity = severity.or_else(|| error.fields.iter().find(|(kind, _)| *kind == b'S'));
    severity.is_some_and(|(_, value)| ["FATAL", "PANIC"].contains(&value.as_str()))
}

pub fn parameter_status(name: &str, value: impl Into<String>) -> Back {
    Back::ParameterStatus(ParameterStatus::new(name.to_owned(), value.into()))
}

pub fn ready_for_query(status: TransactionStatus) -> Back {
    Back::ReadyForQuery(ReadyForQuery::new(status))
}
