//! Converts values between SQLite and PostgreSQL's text and binary formats.

use bytes::{BufMut, BytesMut};
use rusqlite::types::Value;

use super::engine::{QueryError, oid};

const BINARY_FORMAT: i16 = 1;

/// Decodes a bound parameter.
pub fn decode(bytes: &[u8], type_oid: u32, format: i16) -> Result<Value, QueryError> {
    let invalid_binary =
        || QueryError::new("22P03", "incorrect binary data format in bind parameter");
    if format == BINARY_FORMAT {
        return Ok(match type_oid {
            oid::BOOL => Value::Integer(i64::from(*bytes.first().ok_or_else(invalid_binary)?)),
            oid::INT2 => Value::Integer(i16::from_be_bytes(to_array(bytes)?).into()),
            oid::INT4 => Value::Integer(i32::from_be_bytes(to_array(bytes)?).into()),
            oid::INT8 => Value::Integer(i64::from_be_bytes(to_array(bytes)?)),
            oid::FLOAT4 => Value::Real(f32::from_be_bytes(to_array(bytes)?).into()),
            oid::FLOAT8 => Value::Real(f64::from_be_bytes(to_array(bytes)?)),
            oid::BYTEA => Value::Blob(bytes.to_vec()),
            _ => Value::Text(String::from_utf8(bytes.to_vec()).map_err(|_| invalid_binary())?),
        });
    }
    let text = std::str::from_utf8(bytes).map_err(|_| invalid_binary())?;
    let invalid_text = |_| QueryError::new("22P02", format!("invalid input syntax: {text:?}"));
    Ok(match type_oid {
        oid::BOOL => Value::Integer(matches!(text, "t" | "true" | "1" | "on").into()),
        oid::INT2 | oid::INT4 | oid::INT8 => Value::Integer(text.parse().map_err(invalid_text)?),
        oid::FLOAT4 | oid::FLOAT8 => {
            let invalid_text =
                |_| QueryError::new("22P02", format!("invalid input syntax: {text:?}"));
            Value::Real(text.parse().map_err(invalid_text)?)
        }
        _ => Value::Text(text.to_owned()),
    })
}

/// Appends a value to a data row.
pub fn encode(value: &Value, type_oid: u32, format: i16, row: &mut BytesMut) {
    if matches!(value, Value::Null) {
        row.put_i32(-1);
        return;
    }
    if format != BINARY_FORMAT {
        let text = to_text(value, type_oid);
        put_cell(row, text.as_bytes());
        return;
    }
    let integer = to_integer(value);
    match type_oid {
        oid::BOOL => put_cell(row, &[u8::from(integer != 0)]),
        oid::INT2 => put_cell(row, &(integer as i16).to_be_bytes()),
        oid::INT4 => put_cell(row, &(integer as i32).to_be_bytes()),
        oid::INT8 => put_cell(row, &integer.to_be_bytes()),
        oid::FLOAT4 => put_cell(row, &(to_real(value) as f32).to_be_bytes()),
        oid::FLOAT8 => put_cell(row, &to_real(value).to_be_bytes()),
        _ => match value {
            Value::Blob(bytes) => put_cell(row, bytes),
            other => put_cell(row, to_text(other, type_oid).as_bytes()),
        },
    }
}

fn put_cell(row: &mut BytesMut, bytes: &[u8]) {
    row.put_i32(bytes.len() as i32);
    row.put_slice(bytes);
}

fn to_integer(value: &Value) -> i64 {
    match value {
        Value::Integer(number) => *number,
        Value::Real(number) => *number as i64,
        Value::Text(text) => text.parse().unwrap_or_default(),
        _ => 0,
    }
}

fn to_real(value: &Value) -> f64 {
    match value {
        Value::Real(number) => *number,
        Value::Text(text) => text.parse().unwrap_or_default(),
        other => to_integer(other) as f64,
    }
}

fn to_text(value: &Value, type_oid: u32) -> String {
    match value {
        Value::Integer(number) if type_oid == oid::BOOL => {
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

fn to_array<const N: usize>(bytes: &[u8]) -> Result<[u8; N], QueryError> {
    bytes
        .try_into()
        .map_err(|_| QueryError::new("22P03", "incorrect binary data format in bind parameter"))
}
