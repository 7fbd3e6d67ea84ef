//! Classifies SQL statements: where a statement may run, and which tables it uses.
//!
//! A hint in a comment names the kind of read, or the key of a request that must run at most
//! once: `/* larkfall: kind=panel */`, `/* larkfall: once=sale-17 */`. Text that doesn't parse
//! counts as a write, so that the primary reports the error.

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

const HINT_PREFIX: &str = "larkfall:";
/// Functions with side effects that make a query a write.
const WRITING_FUNCTIONS: [&str; 7] = [
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
    /// On any member that meets the floor and the maximum age.
    Read,
    /// On no member: the box answers.
    Session,
    /// On the primary.
    Write,
    /// Opens a transaction on the primary.
    Begin,
    /// Opens a read-only transaction.
    BeginRead,
    /// Ends a transaction.
    End,
}

/// A classified statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    pub kind: Kind,
    /// Kind of read that a hint names.
    pub read_kind: Option<Arc<str>>,
    /// Key that a hint gives a request that must run at most once.
    pub once_key: Option<Arc<str>>,
    /// Names of the tables used, in lower case and without schema.
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
    /// Not supported on pooled connections.
    Refuse {
        what: &'static str,
    },
}

impl Class {
    fn new(kind: Kind) -> Self {
        Self {
            kind,
            read_kind: None,
            once_key: None,
            tables: BTreeSet::new(),
            command: Command::None,
        }
    }

    /// Combines the classes of two statements that run together; the stricter kind wins.
    pub fn combine(mut self, other: Class) -> Class {
        let same_read_kind = self.read_kind == other.read_kind;
        self.kind = self.kind.max(other.kind);
        self.read_kind = self.read_kind.filter(|_| same_read_kind);
        self.once_key = self.once_key.or(other.once_key);
        self.tables.extend(other.tables);
        if let Command::Refuse { .. } = other.command {
            self.command = other.command;
        }
        self
    }
}

/// Statements that clients' connection pools send to clean a connection. Sessions keep none of
/// this state, so the box answers them itself.
const RESET_STATEMENTS: [&str; 6] = [
    "select pg_advisory_unlock_all()",
    "close all",
    "unlisten *",
    "reset all",
    "discard all",
    "deallocate all",
];

fn is_reset(sql: &str) -> bool {
    let mut parts = sql.split(';').map(|part| part.trim().to_lowercase());
    let is_known = |part: &String| part.is_empty() || RESET_STATEMENTS.contains(&part.as_str());
    !sql.trim().is_empty() && parts.all(|part| is_known(&part))
}

/// Classifies a query text, which may hold several statements.
pub fn classify(sql: &str) -> Class {
    if is_reset(sql) {
        return Class {
            command: Command::Reset,
            ..Class::new(Kind::Session)
        };
    }
    let mut class = match Parser::parse_sql(&PostgreSqlDialect {}, sql) {
        Ok(statements) => statements
            .iter()
            .map(classify_statement)
            .reduce(Class::combine)
            .unwrap_or(Class::new(Kind::Read)),
        Err(_) => Class::new(Kind::Write),
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

fn classify_statement(statement: &Statement) -> Class {
    match statement {
        Statement::Query(query) => classify_query(statement, query),
        Statement::StartTransaction { modes, .. } => {
            let read_only = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
            Class::new(match modes.contains(&read_only) {
                true => Kind::BeginRead,
                false => Kind::Begin,
            })
        }
        Statement::Commit { .. } | Statement::Rollback { .. } => Class::new(Kind::End),
        Statement::Set(set) => classify_set(set),
        Statement::ShowVariable { variable } => {
            let parts: Vec<String> = variable.iter().map(|part| part.value.clone()).collect();
            let name = parts.join(".").to_lowercase().into();
            Class {
                command: Command::Show { name },
                ..Class::new(Kind::Session)
            }
        }
        Statement::Copy { .. } => unsupported("COPY"),
        Statement::LISTEN { .. } => unsupported("LISTEN"),
        Statement::Prepare { .. } => unsupported("PREPARE as a statement"),
        _ => Class {
            tables: table_names(statement),
            ..Class::new(Kind::Write)
        },
    }
}

fn unsupported(what: &'static str) -> Class {
    Class {
        command: Command::Refuse { what },
        ..Class::new(Kind::Session)
    }
}

fn classify_query(statement: &Statement, query: &Query) -> Class {
    let writes =
        !query.locks.is_empty() || !reads_only(&query.body) || calls_writing_function(statement);
    let with_writes = query.with.as_ref().is_some_and(|with| {
        let mut ctes = with.cte_tables.iter();
        ctes.any(|cte| !reads_only(&cte.query.body))
    });
    let kind = match writes || with_writes {
        true => Kind::Write,
        false => Kind::Read,
    };
    Class {
        tables: table_names(statement),
        ..Class::new(kind)
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

fn calls_writing_function(statement: &Statement) -> bool {
    let found = visit_expressions(statement, |expression| {
        let Expr::Function(function) = expression else {
            return ControlFlow::Continue(());
        };
        match WRITING_FUNCTIONS.contains(&&*last_name(&function.name)) {
            true => ControlFlow::Break(()),
            false => ControlFlow::Continue(()),
        }
    });
    found.is_break()
}

fn classify_set(set: &Set) -> Class {
    let Set::SingleAssignment {
        variable, values, ..
    } = set
    else {
        return Class::new(Kind::Session);
    };
    let text = |value: &Expr| value.to_string().trim_matches('\'').to_owned();
    let value: Vec<String> = values.iter().map(text).collect();
    let command = Command::Set {
        name: variable.to_string().to_lowercase().into(),
        value: value.join(",").into(),
    };
    Class {
        command,
        ..Class::new(Kind::Session)
    }
}

fn table_names(statement: &Statement) -> BTreeSet<Arc<str>> {
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

/// Returns the name and value pairs of the hint comments.
fn hints(sql: &str) -> Vec<(&str, &str)> {
    let mut found = Vec::new();
    let mut rest = sql;
    while let Some(start) = rest.find("/*") {
        let comment = &rest[start + 2..];
        let Some(end) = comment.find("*/") else { break };
        if let Some(hint) = comment[..end].trim().strip_prefix(HINT_PREFIX) {
            let pairs = hint.split_whitespace();
            found.extend(pairs.filter_map(|pair| pair.split_once('=')));
        }
        rest = &comment[end + 2..];
    }
    found
}
