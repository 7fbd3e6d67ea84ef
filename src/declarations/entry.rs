//! Unvalidated declarations: tables of fields with their line numbers.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::Value;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::finding::Finding;

/// A field's value and its line in the file.
#[derive(Clone, Debug)]
pub struct Field {
    pub value: Value,
    pub line: Option<usize>,
}

/// One declared resource before validation.
#[derive(Clone, Debug)]
pub struct Entry {
    pub kind: String,
    pub file: Arc<str>,
    pub line: Option<usize>,
    pub fields: BTreeMap<String, Field>,
}

impl Entry {
    /// Returns a finding at the line of the field, or of the entry if the field is missing.
    pub fn finding(&self, field: &str, message: impl Into<String>) -> Finding {
        let line = self.fields.get(field).map_or(self.line, |f| f.line);
        Finding {
            file: self.file.clone(),
            line,
            field: format!("{}.{field}", self.kind),
            message: message.into(),
        }
    }

    /// Creates an entry from a request body, which has no line numbers.
    pub fn from_json(kind: &str, origin: &str, body: &Value) -> Result<Self, Finding> {
        let Value::Object(object) = body else {
            return Err(Finding {
                file: origin.into(),
                line: None,
                field: kind.to_owned(),
                message: "must be an object".to_owned(),
            });
        };
        let field = |(name, value): (&String, &Value)| {
            let value = value.clone();
            (name.clone(), Field { value, line: None })
        };
        Ok(Self {
            kind: kind.to_owned(),
            file: origin.into(),
            line: None,
            fields: object.iter().map(field).collect(),
        })
    }
}

/// Parses a TOML file of `[[kind]]` tables.
pub fn parse(file: &str, text: &str) -> (Vec<Entry>, Vec<Finding>) {
    let file: Arc<str> = file.into();
    let document = match DeTable::parse(text) {
        Ok(document) => document,
        Err(error) => {
            let line = error.span().map(|span| line_of(text, span.start));
            let finding = Finding {
                file,
                line,
                field: "syntax".to_owned(),
                message: error.message().to_owned(),
            };
            return (Vec::new(), vec![finding]);
        }
    };
    let mut entries = Vec::new();
    let mut findings = Vec::new();
    for (kind, value) in document.get_ref() {
        let kind = kind.get_ref().to_string();
        let line = Some(line_of(text, value.span().start));
        let DeValue::Array(tables) = value.get_ref() else {
            findings.push(Finding {
                file: file.clone(),
                line,
                message: format!("must be written as [[{kind}]]"),
                field: kind,
            });
            continue;
        };
        for table in tables.iter() {
            match table_entry(&file, &kind, table, text) {
                Ok(entry) => entries.push(entry),
                Err(finding) => findings.push(finding),
            }
        }
    }
    entries.sort_by_key(|entry| entry.line);
    (entries, findings)
}

fn table_entry(
    file: &Arc<str>,
    kind: &str,
    table: &Spanned<DeValue<'_>>,
    text: &str,
) -> Result<Entry, Finding> {
    let line = Some(line_of(text, table.span().start));
    let DeValue::Table(fields) = table.get_ref() else {
        return Err(Finding {
            file: file.clone(),
            line,
            field: kind.to_owned(),
            message: "must be a table".to_owned(),
        });
    };
    let field = |(name, value): (&Spanned<std::borrow::Cow<'_, str>>, &Spanned<DeValue<'_>>)| {
        let line = Some(line_of(text, name.span().start));
        let value = to_json(value.get_ref());
        (name.get_ref().to_string(), Field { value, line })
    };
    Ok(Entry {
        kind: kind.to_owned(),
        file: file.clone(),
        line,
        fields: fields.iter().map(field).collect(),
    })
}

fn to_json(value: &DeValue<'_>) -> Value {
    match value {
        DeValue::String(text) => Value::from(text.as_ref()),
        DeValue::Integer(number) => {
            let parsed = i64::from_str_radix(number.as_str(), number.radix());
            parsed.map_or(Value::Null, Value::from)
        }
        DeValue::Float(number) => number
            .as_str()
            .parse::<f64>()
            .map_or(Value::Null, Value::from),
        DeValue::Boolean(flag) => Value::from(*flag),
        DeValue::Datetime(time) => Value::from(time.to_string()),
        DeValue::Array(items) => items.iter().map(|item| to_json(item.get_ref())).collect(),
        DeValue::Table(table) => {
            let pair =
                |(name, value): (&Spanned<std::borrow::Cow<'_, str>>, &Spanned<DeValue<'_>>)| {
                    (name.get_ref().to_string(), to_json(value.get_ref()))
                };
            Value::Object(table.iter().map(pair).collect())
        }
    }
}

fn line_of(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}
