//! The SQL engine of a stand-in member: SQLite in memory behind PostgreSQL's dialect.
//!
//! Statements are parsed in PostgreSQL's dialect, casts are rewritten, and the
//! types of parameters and columns are guessed from casts and declared columns,
//! well enough for clients that ask for binary formats.

use std::collections::HashMap;
use std::ops::ControlFlow;

use rusqlite::Connection;
use rusqlite::types::Value;
use sqlparser::ast::{
    AssignmentTarget, CastKind, DataType, Expr, Function, Insert, ObjectName, SelectItem, SetExpr,
    Statement, TableObject, Value as Literal, visit_expressions, visit_expressions_mut,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

pub mod oid {
    pub const BOOL: u32 = 16;
    pub const BYTEA: u32 = 17;
    pub const INT8: u32 = 20;
    pub const INT2: u32 = 21;
    pub const INT4: u32 = 23;
    pub const TEXT: u32 = 25;
    pub const FLOAT8: u32 = 701;
    pub const FLOAT4: u32 = 700;
}

/// An error as a caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub code: &'static str,
    pub message: String,
}

impl Fault {
    pub fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

/// What a statement is, as far as the member must tell them apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    Empty,
    Begin,
    Commit,
    Rollback,
    Set,
    Read,
    Write,
}

#[derive(Clone, Debug)]
pub struct Column {
    pub name: String,
    pub oid: u32,
}

/// A statement that is ready to run.
#[derive(Clone, Debug)]
pub struct Prepared {
    pub verb: Verb,
    pub sql: String,
    pub params: Vec<u32>,
    pub columns: Vec<Column>,
    tag: &'static str,
}

/// The rows and the command tag of one run.
pub struct Answer {
    pub rows: Vec<Vec<Value>>,
    pub tag: String,
}

pub struct Engine {
    connection: Connection,
    /// Declared types by column name; the stand-in takes names to be unambiguous.
    columns: HashMap<String, u32>,
}

impl Engine {
    pub fn open() -> rusqlite::Result<Self> {
        Ok(Self {
            connection: Connection::open_in_memory()?,
            columns: HashMap::new(),
        })
    }

    /// Splits a simple query into prepared statements' texts.
    pub fn split(sql: &str) -> Result<Vec<Statement>, Fault> {
        Parser::parse_sql(&PostgreSqlDialect {}, sql)
            .map_err(|error| Fault::new("42601", error.to_string()))
    }

    pub fn prepare(&self, sql: &str, declared: &[u32]) -> Result<Prepared, Fault> {
        let mut statements = Self::split(sql)?;
        match statements.len() {
            0 => Ok(plain(Verb::Empty, "")),
            1 => self.prepare_one(&mut statements[0], declared),
            _ => Err(Fault::new(
                "42601",
                "cannot insert multiple commands into a prepared statement",
            )),
        }
    }

    pub fn prepare_one(
        &self,
        statement: &mut Statement,
        declared: &[u32],
    ) -> Result<Prepared, Fault> {
        match statement {
            Statement::StartTransaction { .. } => return Ok(plain(Verb::Begin, "BEGIN")),
            Statement::Commit { .. } => return Ok(plain(Verb::Commit, "COMMIT")),
            Statement::Rollback { .. } => return Ok(plain(Verb::Rollback, "ROLLBACK")),
            Statement::Set(_) => return Ok(plain(Verb::Set, "SET")),
            _ => {}
        }
        let params = self.param_types(statement, declared);
        let guessed = self.column_types(statement);
        let (verb, tag) = verb_of(statement);
        rewrite_casts(statement);
        let sql = statement.to_string();
        let columns = self.columns_of(&sql, &guessed)?;
        Ok(Prepared {
            verb,
            sql,
            params,
            columns,
            tag,
        })
    }

    fn columns_of(&self, sql: &str, guessed: &[Option<u32>]) -> Result<Vec<Column>, Fault> {
        let statement = self.connection.prepare_cached(sql).map_err(fault)?;
        let columns = statement.columns();
        let column = |(i, column): (usize, &rusqlite::Column)| Column {
            name: column.name().to_owned(),
            oid: column
                .decl_type()
                .map(oid_of_name)
                .or(guessed.get(i).copied().flatten())
                .unwrap_or(oid::TEXT),
        };
        Ok(columns.iter().enumerate().map(column).collect())
    }

    /// Runs a read or a write; the caller keeps transactions.
    pub fn run(&mut self, prepared: &Prepared, params: &[Value]) -> Result<Answer, Fault> {
        let answer = self.run_inner(prepared, params)?;
        if prepared.columns.is_empty() && !matches!(prepared.tag, "INSERT" | "UPDATE" | "DELETE") {
            self.read_schema().map_err(fault)?;
        }
        Ok(answer)
    }

    fn run_inner(&self, prepared: &Prepared, params: &[Value]) -> Result<Answer, Fault> {
        let mut statement = self
            .connection
            .prepare_cached(&prepared.sql)
            .map_err(fault)?;
        for i in 1..=statement.parameter_count() {
            let name = statement.parameter_name(i).unwrap_or("$1");
            let number: usize = name[1..].parse().unwrap_or(i);
            let value = params.get(number - 1).cloned().unwrap_or(Value::Null);
            statement.raw_bind_parameter(i, value).map_err(fault)?;
        }
        let width = statement.column_count();
        if width == 0 {
            let changed = statement.raw_execute().map_err(fault)?;
            return Ok(Answer {
                rows: Vec::new(),
                tag: tag_of(prepared.tag, changed),
            });
        }
        let mut rows = Vec::new();
        let mut cursor = statement.raw_query();
        while let Some(row) = cursor.next().map_err(fault)? {
            let cells = (0..width).map(|i| row.get(i)).collect::<Result<_, _>>();
            rows.push(cells.map_err(fault)?);
        }
        let tag = tag_of(prepared.tag, rows.len());
        Ok(Answer { rows, tag })
    }

    /// Runs a transaction keyword of SQLite's own.
    pub fn control(&self, sql: &str) -> Result<(), Fault> {
        self.connection.execute_batch(sql).map_err(fault)
    }

    fn read_schema(&mut self) -> rusqlite::Result<()> {
        let query = "SELECT lower(c.name), c.type FROM sqlite_master m, pragma_table_info(m.name) c \
                     WHERE m.type = 'table'";
        let mut statement = self.connection.prepare(query)?;
        let pairs = statement.query_map([], |row| {
            Ok((row.get::<_, String>(0)?, row.get::<_, String>(1)?))
        })?;
        let mut columns = HashMap::new();
        for pair in pairs {
            let (name, kind) = pair?;
            columns.insert(name, oid_of_name(&kind));
        }
        drop(statement);
        self.columns = columns;
        Ok(())
    }

    fn column_oid(&self, expression: &Expr) -> Option<u32> {
        let name = match expression {
            Expr::Identifier(name) => &name.value,
            Expr::CompoundIdentifier(names) => &names.last()?.value,
            _ => return None,
        };
        self.columns.get(&name.to_lowercase()).copied()
    }

    fn param_types(&self, statement: &Statement, declared: &[u32]) -> Vec<u32> {
        let mut types: Vec<Option<u32>> = declared
            .iter()
            .map(|&oid| (oid != 0).then_some(oid))
            .collect();
        let mut note = |expression: &Expr, oid: Option<u32>| {
            let Some(number) = placeholder(expression) else {
                return;
            };
            if types.len() < number {
                types.resize(number, None);
            }
            types[number - 1] = types[number - 1].or(oid);
        };
        if let Statement::Insert(insert) = statement {
            self.insert_types(insert, &mut note);
        }
        if let Statement::Update { assignments, .. } = statement {
            for assignment in assignments {
                if let AssignmentTarget::ColumnName(name) = &assignment.target {
                    note(
                        &assignment.value,
                        self.columns.get(&last_name(name)).copied(),
                    );
                }
            }
        }
        let _: ControlFlow<()> = visit_expressions(statement, |expression| {
            match expression {
                Expr::Cast {
                    expr, data_type, ..
                } => note(expr, Some(oid_of_type(data_type))),
                Expr::BinaryOp { left, right, .. } => {
                    note(right, self.column_oid(left));
                    note(left, self.column_oid(right));
                }
                other => note(other, None),
            }
            ControlFlow::Continue(())
        });
        types
            .into_iter()
            .map(|oid| oid.unwrap_or(oid::TEXT))
            .collect()
    }

    fn insert_types(&self, insert: &Insert, note: &mut impl FnMut(&Expr, Option<u32>)) {
        let names: Vec<String> = if insert.columns.is_empty() {
            self.table_columns(&insert.table)
        } else {
            let lower = |name: &sqlparser::ast::Ident| name.value.to_lowercase();
            insert.columns.iter().map(lower).collect()
        };
        let Some(source) = &insert.source else { return };
        let SetExpr::Values(values) = source.body.as_ref() else {
            return;
        };
        for row in &values.rows {
            for (expression, name) in row.iter().zip(&names) {
                note(expression, self.columns.get(name).copied());
            }
        }
    }

    fn table_columns(&self, table: &TableObject) -> Vec<String> {
        let TableObject::TableName(name) = table else {
            return Vec::new();
        };
        let query = "SELECT lower(name) FROM pragma_table_info(?1) ORDER BY cid";
        let names = || -> rusqlite::Result<Vec<String>> {
            let mut statement = self.connection.prepare_cached(query)?;
            let rows = statement.query_map([last_name(name)], |row| row.get(0))?;
            rows.collect()
        };
        names().unwrap_or_default()
    }

    fn column_types(&self, statement: &Statement) -> Vec<Option<u32>> {
        let Statement::Query(query) = statement else {
            return Vec::new();
        };
        let SetExpr::Select(select) = query.body.as_ref() else {
            return Vec::new();
        };
        let guess = |item: &SelectItem| match item {
            SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } => {
                self.type_of(expr)
            }
            _ => None,
        };
        select.projection.iter().map(guess).collect()
    }

    fn type_of(&self, expression: &Expr) -> Option<u32> {
        match expression {
            Expr::Cast { data_type, .. } => Some(oid_of_type(data_type)),
            Expr::Value(value) => match &value.value {
                Literal::Number(text, _) if text.contains('.') => Some(oid::FLOAT8),
                Literal::Number(_, _) => Some(oid::INT4),
                Literal::Boolean(_) => Some(oid::BOOL),
                _ => Some(oid::TEXT),
            },
            Expr::Function(Function { name, .. }) => match last_name(name).as_str() {
                "count" | "sum" | "max" | "min" | "coalesce" | "length" => Some(oid::INT8),
                "avg" | "total" => Some(oid::FLOAT8),
                _ => None,
            },
            Expr::Nested(inner) => self.type_of(inner),
            Expr::BinaryOp { left, op, .. } => {
                use sqlparser::ast::BinaryOperator as Op;
                match op {
                    Op::Plus | Op::Minus | Op::Multiply | Op::Divide | Op::Modulo => {
                        self.type_of(left).map(|_| oid::INT8)
                    }
                    _ => None,
                }
            }
            other => self.column_oid(other),
        }
    }
}

fn plain(verb: Verb, tag: &'static str) -> Prepared {
    Prepared {
        verb,
        sql: String::new(),
        params: Vec::new(),
        columns: Vec::new(),
        tag,
    }
}

fn verb_of(statement: &Statement) -> (Verb, &'static str) {
    match statement {
        Statement::Query(_) | Statement::Explain { .. } => (Verb::Read, "SELECT"),
        Statement::Insert(_) => (Verb::Write, "INSERT"),
        Statement::Update { .. } => (Verb::Write, "UPDATE"),
        Statement::Delete(_) => (Verb::Write, "DELETE"),
        Statement::CreateTable(_) => (Verb::Write, "CREATE TABLE"),
        Statement::CreateIndex(_) => (Verb::Write, "CREATE INDEX"),
        Statement::Drop { .. } => (Verb::Write, "DROP TABLE"),
        _ => (Verb::Write, "OK"),
    }
}

fn rewrite_casts(statement: &mut Statement) {
    let _: ControlFlow<()> = visit_expressions_mut(statement, |expression| {
        if let Expr::Cast {
            kind, data_type, ..
        } = expression
        {
            *kind = CastKind::Cast;
            *data_type = match oid_of_type(data_type) {
                oid::TEXT => DataType::Text,
                oid::FLOAT8 | oid::FLOAT4 => DataType::Real,
                oid::BYTEA => DataType::Blob(None),
                _ => DataType::Integer(None),
            };
        }
        ControlFlow::Continue(())
    });
}

fn placeholder(expression: &Expr) -> Option<usize> {
    let Expr::Value(value) = expression else {
        return None;
    };
    let Literal::Placeholder(name) = &value.value else {
        return None;
    };
    name.strip_prefix('$')?.parse().ok().filter(|&n| n > 0)
}

fn last_name(name: &ObjectName) -> String {
    let text = name.to_string().to_lowercase();
    text.rsplit('.').next().unwrap_or_default().to_owned()
}

fn oid_of_type(kind: &DataType) -> u32 {
    oid_of_name(&kind.to_string())
}

fn oid_of_name(name: &str) -> u32 {
    let name = name.to_lowercase();
    let base = name.split('(').next().unwrap_or_default().trim();
    match base {
        "bigint" | "int8" | "bigserial" => oid::INT8,
        "int" | "integer" | "int4" | "serial" => oid::INT4,
        "smallint" | "int2" => oid::INT2,
        "bool" | "boolean" => oid::BOOL,
        "float8" | "double precision" | "double" | "real" | "float" => oid::FLOAT8,
        "bytea" | "blob" => oid::BYTEA,
        _ => oid::TEXT,
    }
}

fn tag_of(tag: &'static str, count: usize) -> String {
    match tag {
        "INSERT" => format!("INSERT 0 {count}"),
        "SELECT" | "UPDATE" | "DELETE" => format!("{tag} {count}"),
        other => other.to_owned(),
    }
}

fn fault(error: rusqlite::Error) -> Fault {
    let message = error.to_string();
    let code = match &error {
        rusqlite::Error::SqliteFailure(cause, _)
            if cause.code == rusqlite::ErrorCode::ConstraintViolation =>
        {
            "23505"
        }
        _ if message.contains("no such table") => "42P01",
        _ if message.contains("no such column") => "42703",
        _ if message.contains("already exists") => "42P07",
        _ if message.contains("syntax error") => "42601",
        _ => "XX000",
    };
    Fault::new(code, message)
}
