//! Values between SQLite and PostgreSQL's text and binary formats.

use bytes::{BufMut, BytesMut};
use rusqlite::types::Value;

use super::engine::{Fault, oid};

const BINARY: i16 = 1;

/// Reads a bound parameter.
pub fn decode(bytes: &[u8], kind: u32, format: i16) -> Result<Value, Fault> {
    let bad = || Fault::new("22P03", "incorrect binary data format in bind parameter");
    if format == BINARY {
        return Ok(match kind {
            oid::BOOL => Value::Integer(i64::from(*bytes.first().ok_or_else(bad)?)),
            oid::INT2 => Value::Integer(i16::from_be_bytes(fixed(bytes)?).into()),
            oid::INT4 => Value::Integer(i32::from_be_bytes(fixed(bytes)?).into()),
            oid::INT8 => Value::Integer(i64::from_be_bytes(fixed(bytes)?)),
            oid::FLOAT4 => Value::Real(f32::from_be_bytes(fixed(bytes)?).into()),
            oid::FLOAT8 => Value::Real(f64::from_be_bytes(fixed(bytes)?)),
            oid::BYTEA => Value::Blob(bytes.to_vec()),
            _ => Value::Text(String::from_utf8(bytes.to_vec()).map_err(|_| bad())?),
        });
    }
    let text = std::str::from_utf8(bytes).map_err(|_| bad())?;
    let wrong = |_| Fault::new("22P02", format!("invalid input syntax: {text:?}"));
    Ok(match kind {
        oid::BOOL => Value::Integer(matches!(text, "t" | "true" | "1" | "on").into()),
        oid::INT2 | oid::INT4 | oid::INT8 => Value::Integer(text.parse().map_err(wrong)?),
        oid::FLOAT4 | oid::FLOAT8 => {
            let wrong = |_| Fault::new("22P02", format!("invalid input syntax: {text:?}"));
            Value::Real(text.parse().map_err(wrong)?)
        }
        _ => Value::Text(text.to_owned()),
    })
}

/// Appends one cell of a data row.
pub fn encode(value: &Value, kind: u32, format: i16, row: &mut BytesMut) {
    if matches!(value, Value::Null) {
        row.put_i32(-1);
        return;
    }
    if format != BINARY {
        let text = text_of(value, kind);
        put(row, text.as_bytes());
        return;
    }
    let integer = integer_of(value);
    match kind {
        oid::BOOL => put(row, &[u8::from(integer != 0)]),
        oid::INT2 => put(row, &(integer as i16).to_be_bytes()),
        oid::INT4 => put(row, &(integer as i32).to_be_bytes()),
        oid::INT8 => put(row, &integer.to_be_bytes()),
        oid::FLOAT4 => put(row, &(real_of(value) as f32).to_be_bytes()),
        oid::FLOAT8 => put(row, &real_of(value).to_be_bytes()),
        _ => match value {
            Value::Blob(bytes) => put(row, bytes),
            other => put(row, text_of(other, kind).as_bytes()),
        },
    }
}

fn put(row: &mut BytesMut, bytes: &[u8]) {
    row.put_i32(bytes.len() as i32);
    row.put_slice(bytes);
}

fn integer_of(value: &Value) -> i64 {
    match value {
        Value::Integer(number) => *number,
        Value::Real(number) => *number as i64,
        Value::Text(text) => text.parse().unwrap_or_default(),
        _ => 0,
    }
}

fn real_of(value: &Value) -> f64 {
    match value {
        Value::Real(number) => *number,
        Value::Text(text) => text.parse().unwrap_or_default(),
        other => integer_of(other) as f64,
    }
}

fn text_of(value: &Value, kind: u32) -> String {
    match value {
        Value::Integer(number) if kind == oid::BOOL => {
            if *number == 0 { "f" } else { "t" }.to_owned()
        }
        Value::Integer(number) => number.to_string(),
        Value::Real(number) => number.to_string(),
        Value::Text(text) => text.clone(),
        Value::Blob(bytes) => bytes.iter().fold("\\x".to_owned(), |mut text, byte| {
            text.push_str(&format!("{byte:02x}"));
            text
        }),
        Value::Null => String::new(),
    }
}

fn fixed<const N: usize>(bytes: &[u8]) -> Result<[u8; N], Fault> {
    bytes
        .try_into()
        .map_err(|_| Fault::new("22P03", "incorrect binary data format in bind parameter"))
}
