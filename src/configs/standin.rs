//! Settings of the stand-ins, read from flags and environment variables.

use super::run::{Reader, Source};
use crate::declarations::finding::Finding;
use crate::standin::{member, platform};

const LOOPBACK: std::net::IpAddr = std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

/// Reads the settings of `larkfall stand-in member`.
pub fn member(source: Source<'_>) -> Result<member::Settings, Vec<Finding>> {
    let mut reader = Reader::new(source);
    let role = |text: &str| match text {
        "primary" => Some(true),
        "replica" => Some(false),
        _ => None,
    };
    let settings = member::Settings {
        ip: reader.optional("ip", LOOPBACK, "an IP number", |t| t.parse().ok()),
        sql_port: reader.required("sql-port", 0, "a port", |t| t.parse().ok()),
        control_port: reader.required("control-port", 0, "a port", |t| t.parse().ok()),
        slots: reader.number("slots", 3),
        connections: reader.number("connections", 24),
        connect_ms: reader.number("connect-ms", 10),
        service_ms: reader.number("service-ms", 0),
        lag_ms: reader.number("lag-ms", 5),
        primary: reader.optional("role", false, "primary or replica", role),
    };
    match reader.findings.is_empty() {
        true => Ok(settings),
        false => Err(reader.findings),
    }
}

/// Reads the settings of `larkfall stand-in platform`.
pub fn platform(source: Source<'_>) -> Result<platform::Settings, Vec<Finding>> {
    let mut reader = Reader::new(source);
    let settings = platform::Settings {
        ip: reader.optional("ip", LOOPBACK, "an IP number", |t| t.parse().ok()),
        port: reader.required("port", 0, "a port", |t| t.parse().ok()),
        roster_lag_ms: reader.number("roster-lag-ms", 0),
    };
    match reader.findings.is_empty() {
        true => Ok(settings),
        false => Err(reader.findings),
    }
}
