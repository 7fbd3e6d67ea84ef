//! Errors and parameters as PostgreSQL messages.

use pgwire::messages::PgWireBackendMessage as Back;
use pgwire::messages::response::{ErrorResponse, ReadyForQuery, TransactionStatus};
use pgwire::messages::startup::ParameterStatus;

/// What callers are told the server is.
pub const SERVER_VERSION: &str = "15.0 (larkfall)";

/// Parameter in which a member reports the position its answers reach.
pub const POSITION: &str = "larkfall.position";
/// Parameter in which a box hands the session's token to the caller.
pub const TOKEN: &str = "larkfall.token";

/// What callers are told at start-up besides the version.
pub const SESSION: [(&str, &str); 6] = [
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// An error with its SQLSTATE, as sent to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    pub severity: &'static str,
    pub code: String,
    pub message: String,
    pub detail: Option<String>,
    pub hint: Option<String>,
}

impl Report {
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

    pub fn hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = Some(hint.into());
        self
    }

    pub fn message(&self) -> Back {
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

/// SQLSTATE of an error message, empty when it has none.
pub fn code_of(error: &ErrorResponse) -> &str {
    let code = error.fields.iter().find(|(kind, _)| *kind == b'C');
    code.map_or("", |(_, value)| value)
}

pub fn parameter(name: &str, value: impl Into<String>) -> Back {
    Back::ParameterStatus(ParameterStatus::new(name.to_owned(), value.into()))
}

pub fn ready(status: TransactionStatus) -> Back {
    Back::ReadyForQuery(ReadyForQuery::new(status))
}
