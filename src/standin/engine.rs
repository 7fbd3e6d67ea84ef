//! The SQL engine of a stand-in member: SQLite in memory behind PostgreSQL's dialect.
//!
//! The engine parses statements in PostgreSQL's dialect and rewrites their casts for SQLite. It
//! infers the types of parameters and columns from casts and column declarations, as clients
//! that use binary formats need them.

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

/// Object ids of PostgreSQL's types.
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

/// An error that is sent to the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryError {
    /// SQLSTATE.
    pub code: &'static str,
    pub message: String,
}

impl QueryError {
    pub fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

/// How the member handles a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
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

/// A parsed statement with its types.
#[derive(Clone, Debug)]
pub struct Prepared {
    pub kind: Kind,
    /// The statement in SQLite's dialect.
    pub sql: String,
    /// Types of the parameters.
    pub params: Vec<u32>,
    pub columns: Vec<Column>,
    tag: &'static str,
}

/// Result of running a statement.
pub struct Answer {
    pub rows: Vec<Vec<Value>>,
    /// Command tag, with the number of rows if the command reports it.
    pub tag: String,
}

/// An SQLite database in memory.
pub struct Engine {
    connection: Connection,
    /// Declared types by column name. Columns of the same name in several tables are assumed to
    /// have the same type.
    columns: HashMap<String, u32>,
}

impl Engine {
    pub fn open() -> rusqlite::Result<Self> {
        Ok(Self {
            connection: Connection::open_in_memory()?,
            columns: HashMap::new(),
        })
    }

    /// Parses the statements of a query string.
    pub fn parse(sql: &str) -> Result<Vec<Statement>, QueryError> {
        Parser::parse_sql(&PostgreSqlDialect {}, sql)
            .map_err(|error| QueryError::new("42601", error.to_string()))
    }

    /// Prepares a single statement. `declared` holds the parameter types that the client declares;
    /// 0 leaves a type to be inferred.
    pub fn prepare(&self, sql: &str, declared: &[u32]) -> Result<Prepared, QueryError> {
        let mut statements = Self::parse(sql)?;
        match statements.len() {
            0 => Ok(without_result(Kind::Empty, "")),
            1 => self.prepare_statement(&mut statements[0], declared),
            _ => Err(QueryError::new(
                "42601",
                "cannot insert multiple commands into a prepared statement",
            )),
        }
    }

    pub fn prepare_statement(
        &self,
        statement: &mut Statement,
        declared: &[u32],
    ) -> Result<Prepared, QueryError> {
        match statement {
            Statement::StartTransaction { .. } => return Ok(without_result(Kind::Begin, "BEGIN")),
            Statement::Commit { .. } => return Ok(without_result(Kind::Commit, "COMMIT")),
            Statement::Rollback { .. } => return Ok(without_result(Kind::Rollback, "ROLLBACK")),
            Statement::Set(_) => return Ok(without_result(Kind::Set, "SET")),
            _ => {}
        }
        let params = self.infer_param_types(statement, declared);
        let inferred = self.infer_column_types(statement);
        let (kind, tag) = classify(statement);
        rewrite_casts(statement);
        let sql = statement.to_string();
        let columns = self.result_columns(&sql, &inferred)?;
        Ok(Prepared {
            kind,
            sql,
            params,
            columns,
            tag,
        })
    }

    fn result_columns(
        &self,
        sql: &str,
        inferred: &[Option<u32>],
    ) -> Result<Vec<Column>, QueryError> {
        let statement = self.connection.prepare_cached(sql).map_err(query_error)?;
        let columns = statement.columns();
        let column = |(i, column): (usize, &rusqlite::Column)| Column {
            name: column.name().to_owned(),
            oid: column
                .decl_type()
                .map(oid_of_name)
                .or(inferred.get(i).copied().flatten())
                .unwrap_or(oid::TEXT),
        };
        Ok(columns.iter().enumerate().map(column).collect())
    }

    /// Runs a read or a write in the transaction that is open on the connection.
    pub fn run(&mut self, prepared: &Prepared, params: &[Value]) -> Result<Answer, QueryError> {
        let answer = self.execute(prepared, params)?;
        // Any other statement without a result may have changed the schema.
        if prepared.columns.is_empty() && !matches!(prepared.tag, "INSERT" | "UPDATE" | "DELETE") {
            self.reload_columns().map_err(query_error)?;
        }
        Ok(answer)
    }

    fn execute(&self, prepared: &Prepared, params: &[Value]) -> Result<Answer, QueryError> {
        let mut statement = self
            .connection
            .prepare_cached(&prepared.sql)
            .map_err(query_error)?;
        for i in 1..=statement.parameter_count() {
            let name = statement.parameter_name(i).unwrap_or("$1");
            let number: usize = name[1..].parse().unwrap_or(i);
            let value = params.get(number - 1).cloned().unwrap_or(Value::Null);
            statement
                .raw_bind_parameter(i, value)
                .map_err(query_error)?;
        }
        let width = statement.column_count();
        if width == 0 {
            let changed = statement.raw_execute().map_err(query_error)?;
            return Ok(Answer {
                rows: Vec::new(),
                tag: command_tag(prepared.tag, changed),
            });
        }
        let mut rows = Vec::new();
        let mut cursor = statement.raw_query();
        while let Some(row) = cursor.next().map_err(query_error)? {
            let cells = (0..width).map(|i| row.get(i)).collect::<Result<_, _>>();
            rows.push(cells.map_err(query_error)?);
        }
        let tag = command_tag(prepared.tag, rows.len());
        Ok(Answer { rows, tag })
    }

    /// Runs `BEGIN`, `COMMIT` or `ROLLBACK`.
    pub fn run_command(&self, sql: &str) -> Result<(), QueryError> {
        self.connection.execute_batch(sql).map_err(query_error)
    }

    fn reload_columns(&mut self) -> rusqlite::Result<()> {
        let query = "SELECT lower(c.name), c.type FROM sqlite_master m, pragma_table_info(m.name) c \
                     WHERE m.type = 'table'";
        let mut statement = self.connection.prepare(query)?;
        let pairs = statement.query_map([], |row| {
            Ok((row.get::<_, String>(0)?, row.get::<_, String>(1)?))
        })?;
        let mut columns = HashMap::new();
        for pair in pairs {
            let (name, type_name) = pair?;
            columns.insert(name, oid_of_name(&type_name));
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

    fn infer_param_types(&self, statement: &Statement, declared: &[u32]) -> Vec<u32> {
        let mut types: Vec<Option<u32>> = declared
            .iter()
            .map(|&oid| (oid != 0).then_some(oid))
            .collect();
        let mut record = |expression: &Expr, oid: Option<u32>| {
            let Some(number) = placeholder_number(expression) else {
                return;
            };
            if types.len() < number {
                types.resize(number, None);
            }
            types[number - 1] = types[number - 1].or(oid);
        };
        if let Statement::Insert(insert) = statement {
            self.infer_insert_types(insert, &mut record);
        }
        if let Statement::Update { assignments, .. } = statement {
            for assignment in assignments {
                if let AssignmentTarget::ColumnName(name) = &assignment.target {
                    record(
                        &assignment.value,
                        self.columns.get(&unqualified_name(name)).copied(),
                    );
                }
            }
        }
        let _: ControlFlow<()> = visit_expressions(statement, |expression| {
            match expression {
                Expr::Cast {
                    expr, data_type, ..
                } => record(expr, Some(oid_of_type(data_type))),
                Expr::BinaryOp { left, right, .. } => {
                    record(right, self.column_oid(left));
                    record(left, self.column_oid(right));
                }
                other => record(other, None),
            }
            ControlFlow::Continue(())
        });
        types
            .into_iter()
            .map(|oid| oid.unwrap_or(oid::TEXT))
            .collect()
    }

    fn infer_insert_types(&self, insert: &Insert, record: &mut impl FnMut(&Expr, Option<u32>)) {
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
                record(expression, self.columns.get(name).copied());
            }
        }
    }

    fn table_columns(&self, table: &TableObject) -> Vec<String> {
        let TableObject::TableName(name) = table else {
            return Vec::new();
        };
        let query = "SELECT lower(name) FROM pragma_table_info(?1) ORDER BY cid";
        let read_names = || -> rusqlite::Result<Vec<String>> {
            let mut statement = self.connection.prepare_cached(query)?;
            let rows = statement.query_map([unqualified_name(name)], |row| row.get(0))?;
            rows.collect()
        };
        read_names().unwrap_or_default()
    }

    fn infer_column_types(&self, statement: &Statement) -> Vec<Option<u32>> {
        let Statement::Query(query) = statement else {
            return Vec::new();
        };
        let SetExpr::Select(select) = query.body.as_ref() else {
            return Vec::new();
        };
        let infer = |item: &SelectItem| match item {
            SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } => {
                self.infer_type(expr)
            }
            _ => None,
        };
        select.projection.iter().map(infer).collect()
    }

    fn infer_type(&self, expression: &Expr) -> Option<u32> {
        match expression {
            Expr::Cast { data_type, .. } => Some(oid_of_type(data_type)),
            Expr::Value(value) => match &value.value {
                Literal::Number(text, _) if text.contains('.') => Some(oid::FLOAT8),
                Literal::Number(_, _) => Some(oid::INT4),
                Literal::Boolean(_) => Some(oid::BOOL),
                _ => Some(oid::TEXT),
            },
            Expr::Function(Function { name, .. }) => match unqualified_name(name).as_str() {
                "count" | "sum" | "max" | "min" | "coalesce" | "length" => Some(oid::INT8),
                "avg" | "total" => Some(oid::FLOAT8),
                _ => None,
            },
            Expr::Nested(inner) => self.infer_type(inner),
            Expr::BinaryOp { left, op, .. } => {
                use sqlparser::ast::BinaryOperator as Op;
                match op {
                    Op::Plus | Op::Minus | Op::Multiply | Op::Divide | Op::Modulo => {
                        self.infer_type(left).map(|_| oid::INT8)
                    }
                    _ => None,
                }
            }
            other => self.column_oid(other),
        }
    }
}

fn without_result(kind: Kind, tag: &'static str) -> Prepared {
    Prepared {
        kind,
        sql: String::new(),
        params: Vec::new(),
        columns: Vec::new(),
        tag,
    }
}

fn classify(statement: &Statement) -> (Kind, &'static str) {
    match statement {
        Statement::Query(_) | Statement::Explain { .. } => (Kind::Read, "SELECT"),
        Statement::Insert(_) => (Kind::Write, "INSERT"),
        Statement::Update { .. } => (Kind::Write, "UPDATE"),
        Statement::Delete(_) => (Kind::Write, "DELETE"),
        Statement::CreateTable(_) => (Kind::Write, "CREATE TABLE"),
        Statement::CreateIndex(_) => (Kind::Write, "CREATE INDEX"),
        Statement::Drop { .. } => (Kind::Write, "DROP TABLE"),
        _ => (Kind::Write, "OK"),
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

fn placeholder_number(expression: &Expr) -> Option<usize> {
    let Expr::Value(value) = expression else {
        return None;
    };
    let Literal::Placeholder(name) = &value.value else {
        return None;
    };
    name.strip_prefix('$')?.parse().ok().filter(|&n| n > 0)
}

fn unqualified_name(name: &ObjectName) -> String {
    let text = name.to_string().to_lowercase();
    text.rsplit('.').next().unwrap_or_default().to_owned()
}

fn oid_of_type(data_type: &DataType) -> u32 {
    oid_of_name(&data_type.to_string())
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

fn command_tag(tag: &'static str, count: usize) -> String {
    match tag {
        "INSERT" => format!("INSERT 0 {count}"),
        "SELECT" | "UPDATE" | "DELETE" => format!("{tag} {count}"),
        other => other.to_owned(),
    }
}

fn query_error(error: rusqlite::Error) -> QueryError {
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
    QueryError::new(code, message)
}
