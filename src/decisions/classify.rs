//! What a statement is: where it may run and what it must wait for.
//!
//! A hint in a comment names the kind of read or the key of a request that must
//! not be repeated: `/* larkfall: kind=panel */`, `/* larkfall: once=sale-17 */`.
//! What doesn't parse is taken for a write: the primary will say what is wrong.

use std::collections::BTreeSet;
use std::ops::ControlFlow;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sqlparser::ast::{
    Expr, ObjectName, Query, Set, SetExpr, Statement, TransactionAccessMode, TransactionMode,
    visit_expressions, visit_relations,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

const HINT: &str = "larkfall:";
/// Functions that change something although they stand in a query.
const WRITING: [&str; 7] = [
    "nextval",
    "setval",
    "pg_notify",
    "pg_advisory_lock",
    "pg_advisory_xact_lock",
    "lo_create",
    "set_config",
];

/// Where a statement may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// Any member that meets floor and age.
    Read,
    /// Nothing of a database's: answered by the box.
    Session,
    /// The primary.
    Write,
    /// Opens a transaction on the primary.
    Begin,
    /// Opens a transaction that only reads.
    BeginRead,
    /// Ends a transaction.
    End,
}

/// A classified statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    pub kind: Kind,
    /// Kind of read by hint.
    pub read_kind: Option<Arc<str>>,
    /// Key by hint, of a request that must run at most once.
    pub once_key: Option<Arc<str>>,
    /// Tables named, lower case, without schema.
    pub tables: BTreeSet<Arc<str>>,
    pub command: Command,
}

/// A statement that the box answers itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    None,
    Set {
        name: Arc<str>,
        value: Arc<str>,
    },
    Show {
        name: Arc<str>,
    },
    Reset,
    /// Can't be had on pooled connections.
    Refuse {
        what: &'static str,
    },
}

impl Class {
    fn of(kind: Kind) -> Self {
        Self {
            kind,
            read_kind: None,
            once_key: None,
            tables: BTreeSet::new(),
            command: Command::None,
        }
    }

    /// The stricter of two that run together.
    pub fn combine(mut self, other: Class) -> Class {
        let same = self.read_kind == other.read_kind;
        self.kind = self.kind.max(other.kind);
        self.read_kind = self.read_kind.filter(|_| same);
        self.once_key = self.once_key.or(other.once_key);
        self.tables.extend(other.tables);
        if let Command::Refuse { .. } = other.command {
            self.command = other.command;
        }
        self
    }
}

/// What pools send to clean a connection. A session has nothing of it to clean.
const RESETS: [&str; 6] = [
    "select pg_advisory_unlock_all()",
    "close all",
    "unlisten *",
    "reset all",
    "discard all",
    "deallocate all",
];

fn is_reset(sql: &str) -> bool {
    let mut parts = sql.split(';').map(|part| part.trim().to_lowercase());
    let known = |part: &String| part.is_empty() || RESETS.contains(&part.as_str());
    !sql.trim().is_empty() && parts.all(|part| known(&part))
}

/// Classifies one query text, which may hold several statements.
pub fn classify(sql: &str) -> Class {
    if is_reset(sql) {
        return Class {
            command: Command::Reset,
            ..Class::of(Kind::Session)
        };
    }
    let mut class = match Parser::parse_sql(&PostgreSqlDialect {}, sql) {
        Ok(statements) => statements
            .iter()
            .map(one)
            .reduce(Class::combine)
            .unwrap_or(Class::of(Kind::Read)),
        Err(_) => Class::of(Kind::Write),
    };
    for (name, value) in hints(sql) {
        match name {
            "kind" => class.read_kind = Some(value.into()),
            "once" => class.once_key = Some(value.into()),
            _ => {}
        }
    }
    class
}

fn one(statement: &Statement) -> Class {
    match statement {
        Statement::Query(query) => of_query(statement, query),
        Statement::StartTransaction { modes, .. } => {
            let read_only = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
            Class::of(match modes.contains(&read_only) {
                true => Kind::BeginRead,
                false => Kind::Begin,
            })
        }
        Statement::Commit { .. } | Statement::Rollback { .. } => Class::of(Kind::End),
        Statement::Set(set) => of_set(set),
        Statement::ShowVariable { variable } => {
            let words: Vec<String> = variable.iter().map(|word| word.value.clone()).collect();
            let name = words.join(".").to_lowercase().into();
            Class {
                command: Command::Show { name },
                ..Class::of(Kind::Session)
            }
        }
        Statement::Copy { .. } => refused("COPY"),
        Statement::LISTEN { .. } => refused("LISTEN"),
        Statement::Prepare { .. } => refused("PREPARE as a statement"),
        _ => Class {
            tables: tables(statement),
            ..Class::of(Kind::Write)
        },
    }
}

fn refused(what: &'static str) -> Class {
    Class {
        command: Command::Refuse { what },
        ..Class::of(Kind::Session)
    }
}

fn of_query(statement: &Statement, query: &Query) -> Class {
    let writes = !query.locks.is_empty() || !reads_only(&query.body) || calls_writer(statement);
    let with_writes = query.with.as_ref().is_some_and(|with| {
        let mut ctes = with.cte_tables.iter();
        ctes.any(|cte| !reads_only(&cte.query.body))
    });
    let kind = match writes || with_writes {
        true => Kind::Write,
        false => Kind::Read,
    };
    Class {
        tables: tables(statement),
        ..Class::of(kind)
    }
}

fn reads_only(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => select.into.is_none(),
        SetExpr::Query(query) => query.locks.is_empty() && reads_only(&query.body),
        SetExpr::SetOperation { left, right, .. } => reads_only(left) && reads_only(right),
        SetExpr::Values(_) | SetExpr::Table(_) => true,
        SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => false,
    }
}

fn calls_writer(statement: &Statement) -> bool {
    let found = visit_expressions(statement, |expression| {
        let Expr::Function(function) = expression else {
            return ControlFlow::Continue(());
        };
        match WRITING.contains(&&*last_name(&function.name)) {
            true => ControlFlow::Break(()),
            false => ControlFlow::Continue(()),
        }
    });
    found.is_break()
}

fn of_set(set: &Set) -> Class {
    let Set::SingleAssignment {
        variable, values, ..
    } = set
    else {
        return Class::of(Kind::Session);
    };
    let text = |value: &Expr| value.to_string().trim_matches('\'').to_owned();
    let value: Vec<String> = values.iter().map(text).collect();
    let command = Command::Set {
        name: variable.to_string().to_lowercase().into(),
        value: value.join(",").into(),
    };
    Class {
        command,
        ..Class::of(Kind::Session)
    }
}

fn tables(statement: &Statement) -> BTreeSet<Arc<str>> {
    let mut names = BTreeSet::new();
    let _: ControlFlow<()> = visit_relations(statement, |name| {
        names.insert(last_name(name));
        ControlFlow::Continue(())
    });
    names
}

fn last_name(name: &ObjectName) -> Arc<str> {
    let text = name.to_string().to_lowercase();
    let last = text.rsplit('.').next().unwrap_or_default();
    last.trim_matches('"').into()
}

/// Name and value pairs of hint comments.
fn hints(sql: &str) -> Vec<(&str, &str)> {
    let mut found = Vec::new();
    let mut rest = sql;
    while let Some(start) = rest.find("/*") {
        let comment = &rest[start + 2..];
        let Some(end) = comment.find("*/") else { break };
        if let Some(hint) = comment[..end].trim().strip_prefix(HINT) {
            let pairs = hint.split_whitespace();
            found.extend(pairs.filter_map(|pair| pair.split_once('=')));
        }
        rest = &comment[end + 2..];
    }
    found
}
