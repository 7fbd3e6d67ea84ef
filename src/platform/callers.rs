//! Entry for callers of the line protocol. Each connection is one session.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use xxhash_rust::xxh3::xxh3_64;

use super::failure::{self, code};
use super::line::{Channel, Frames, LineError, excerpt};
use super::protocol::{Mode, Statement, format_position, split_word};
use super::upstream::INTERNAL_ID;
use crate::borders::upstream::{Begin, Opening, Prepared, Setup, Status, Values};
use crate::decisions::position::Position;
use crate::declarations::resource::{Database, Workspace};
use crate::declarations::snapshot::UnknownKey;
use crate::events;
use crate::node::context::{Caller, Context};
use crate::node::entry::Entry;
use crate::node::exchange::{Effect, Failure, Reply};
use crate::node::owner::Owner;
use crate::node::request::{Intent, Request};
use crate::node::session::Session;
use crate::secret;

/// Time within which a caller must send its CONNECT line.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry delay sent to callers that still reach this box although the balancer should route them
/// to other boxes. The balancer checks readiness every second.
const ELSEWHERE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Accepts callers of the line protocol.
pub struct LineEntry;

#[async_trait(?Send)]
impl Entry for LineEntry {
    async fn serve(
        &self,
        context: Rc<Context>,
        owner: Rc<Owner>,
        listener: TcpListener,
    ) -> std::io::Result<()> {
        loop {
            // A leaving box still serves the callers that the balancer sends.
            let (stream, _) = listener.accept().await?;
            let (context, owner) = (context.clone(), owner.clone());
            tokio::task::spawn_local(async move {
                let _counted = Caller::new(&context);
                if let Err(error) = serve(context.clone(), owner, stream).await {
                    log_protocol_error(&context, &error);
                }
            });
        }
    }
}

fn log_protocol_error(context: &Context, error: &LineError) {
    if !matches!(error, LineError::Closed | LineError::Io(_)) {
        events::emit(&context.log, &events::CALLER_PROTOCOL, &[("error", error)]);
    }
}

async fn serve(context: Rc<Context>, owner: Rc<Owner>, stream: TcpStream) -> Result<(), LineError> {
    stream.set_nodelay(true)?;
    let mut channel = Channel::new(stream);
    let Ok(greeting) = tokio::time::timeout(CONNECT_TIMEOUT, channel.read()).await else {
        return Ok(());
    };
    let greeting = greeting?;
    let (verb, rest) = split_word(&greeting);
    let (database, key) = split_word(rest);
    if verb != "CONNECT" || database.is_empty() {
        return refuse(
            &mut channel,
            code::MALFORMED,
            "expected CONNECT and a database",
        )
        .await;
    }
    if context.callers.get() > context.live.borrow().max_callers {
        return refuse(
            &mut channel,
            code::OVERLOAD,
            "this box takes no more callers",
        )
        .await;
    }
    let Some(declared) = context.database(database) else {
        return refuse(&mut channel, code::NO_DATABASE, "no such database").await;
    };
    let key: Arc<str> = secret::hash(key).into();
    if let Err(error) = context.authenticate(&declared, &key) {
        context.metrics.unknown_keys.add(1, &[]);
        return refuse(&mut channel, code::NO_KEY, &error.to_string()).await;
    }
    if context.is_not_ready_for(context.settings.max_balancer_delay) {
        // Refused before READY: closing a started session would look like a lost answer.
        let text = format!(
            "not run: callers are served elsewhere; retry after {} ms",
            ELSEWHERE_RETRY_DELAY.as_millis()
        );
        return refuse(&mut channel, code::RETRY, &text).await;
    }
    let mut greeting = Frames::default();
    push_ready(&mut greeting, 'I', None);
    channel.write(&greeting).await?;
    Conversation::new(context, owner, channel, database, key)
        .run()
        .await
}

async fn refuse(channel: &mut Channel, code: &str, text: &str) -> Result<(), LineError> {
    let mut frames = Frames::default();
    frames.push_error(&format!("ERROR {code} {text}"));
    channel.write(&frames).await
}

/// Appends the line that ends an answer: the state of the transaction and the position reached.
fn push_ready(frames: &mut Frames, state: char, position: Option<Position>) {
    let ready = format!("READY {state} {}", format_position(position));
    frames
        .push(&ready)
        .expect("neither too long nor with line endings");
}

/// A prepared statement of the session.
#[derive(Clone)]
struct NamedStatement {
    prepared: Prepared,
    mode: Mode,
}

/// An open transaction.
struct OpenTransaction {
    database: Arc<Database>,
    begin: Begin,
    /// Workspace of the caller, if callers need a key.
    workspace: Option<Arc<Workspace>>,
    /// BEGIN that no member has received yet.
    unsent_opening: Option<Opening>,
    has_written: bool,
}

/// One caller's connection.
struct Conversation {
    context: Rc<Context>,
    session: Session,
    channel: Channel,
    database: Arc<str>,
    /// Digest of the caller's key. The workspace that owns the key may change at any time.
    key: Arc<str>,
    values: Arc<Values>,
    prepared: HashMap<String, NamedStatement>,
    open: Option<OpenTransaction>,
}

/// Answer to a statement.
enum Outcome {
    /// Completed without data.
    Done,
    Error(&'static str, String),
    /// A member's answer.
    Reply(Reply),
}

impl Outcome {
    fn malformed(text: &str) -> Self {
        Outcome::Error(code::MALFORMED, text.to_owned())
    }
}

impl Conversation {
    fn new(
        context: Rc<Context>,
        owner: Rc<Owner>,
        channel: Channel,
        database: &str,
        key: Arc<str>,
    ) -> Self {
        Self {
            // Nothing was read or written yet, so every member is current enough.
            session: Session::new(context.clone(), owner, Some(Position::ZERO)),
            context,
            channel,
            database: database.into(),
            key,
            values: Arc::new(BTreeMap::new()),
            prepared: HashMap::new(),
            open: None,
        }
    }

    async fn run(&mut self) -> Result<(), LineError> {
        loop {
            // Idle sessions are closed only once the balancer sends no callers to this box, so
            // that they reconnect to another box.
            let not_ready = self
                .context
                .wait_until_not_ready_for(self.context.settings.max_balancer_delay);
            let idle = self.open.is_none();
            let line = tokio::select! {
                biased;
                line = self.channel.read() => line,
                () = not_ready, if idle => return Ok(()),
            };
            let line = match line {
                Err(error @ (LineError::TooLong | LineError::NotUtf8)) => {
                    let text = error.to_string();
                    refuse(&mut self.channel, code::MALFORMED, &text).await?;
                    return Err(error);
                }
                line => line?,
            };
            let (verb, rest) = split_word(&line);
            match verb {
                "QUERY" => {
                    let (id, text) = split_word(rest);
                    let outcome = self.run_statement(id, text).await?;
                    self.send_outcome(outcome).await?;
                }
                "QUIT" => return Ok(()),
                _ => {
                    let text = "expected QUERY or QUIT";
                    let fields: [(_, &dyn std::fmt::Display); 2] =
                        [("error", &text), ("line", &excerpt(line.as_bytes()))];
                    events::emit(&self.context.log, &events::CALLER_PROTOCOL, &fields);
                    return refuse(&mut self.channel, code::MALFORMED, text).await;
                }
            }
        }
    }

    async fn send_outcome(&mut self, outcome: Outcome) -> Result<(), LineError> {
        let mut frames = Frames::default();
        let mut position = None;
        match outcome {
            Outcome::Done => frames.push_received(b"COMPLETE -\r\n"),
            Outcome::Error(code, text) => frames.push_error(&format!("ERROR {code} {text}")),
            Outcome::Reply(reply) => {
                position = reply.position;
                frames.push_received(&reply.messages);
            }
        }
        push_ready(&mut frames, self.transaction_state(), position);
        self.channel.write(&frames).await
    }

    fn transaction_state(&self) -> char {
        match (self.session.status, &self.open) {
            (Status::Failed, _) => 'E',
            (_, Some(_)) => 'T',
            (_, None) => 'I',
        }
    }

    async fn run_statement(&mut self, id: &str, text: &str) -> Result<Outcome, LineError> {
        if id.is_empty() || id == INTERNAL_ID {
            return Ok(Outcome::malformed("the statement has no id of its own"));
        }
        let Some(statement) = Statement::parse(text) else {
            return Ok(Outcome::malformed("no statement of this protocol"));
        };
        if self.session.status == Status::Failed {
            return Ok(self.end_failed_transaction(statement));
        }
        let outcome = match statement {
            Statement::Begin { read_only } => self.begin(id, read_only),
            Statement::Commit => return self.commit(id, text).await,
            Statement::Rollback => self.roll_back(),
            Statement::Set { name, value } => {
                let values = Arc::make_mut(&mut self.values);
                values.insert(name.into(), value.into());
                Outcome::Done
            }
            Statement::Prepare { name, mode, text } => {
                let prepared = shared_statement(text);
                self.prepared
                    .insert(name.to_owned(), NamedStatement { prepared, mode });
                Outcome::Done
            }
            Statement::Close { name } => {
                self.prepared.remove(name);
                Outcome::Done
            }
            Statement::Read => return self.serve_statement(Effect::Reads, id, text, None).await,
            Statement::Write => return self.serve_statement(Effect::Writes, id, text, None).await,
            Statement::Execute { name, arguments } => {
                return self.execute(id, name, arguments).await;
            }
        };
        Ok(outcome)
    }

    /// Handles a statement in a failed transaction: only COMMIT and ROLLBACK are accepted; both
    /// roll back.
    fn end_failed_transaction(&mut self, statement: Statement<'_>) -> Outcome {
        let commits = statement == Statement::Commit;
        if !commits && statement != Statement::Rollback {
            return Outcome::malformed("the transaction has failed; end it");
        }
        self.end_transaction();
        match commits {
            true => Outcome::Error(code::ABORTED, "the transaction had failed".to_owned()),
            false => Outcome::Done,
        }
    }

    /// Rolls back and closes the open transaction.
    fn end_transaction(&mut self) {
        self.session.release_connection();
        self.session.end_lost_transaction();
        self.open = None;
    }

    /// Opens a transaction. No connection is taken before the first statement.
    fn begin(&mut self, id: &str, read_only: bool) -> Outcome {
        if self.open.is_some() {
            return Outcome::malformed("a transaction is open already");
        }
        let Some(database) = self.context.database(&self.database) else {
            return no_database();
        };
        let begin = match read_only {
            true => Begin::ReadOnly,
            false => Begin::ReadWrite,
        };
        let Ok(workspace) = self.context.authenticate(&database, &self.key) else {
            return self.refuse_key();
        };
        self.open = Some(OpenTransaction {
            database,
            workspace,
            begin,
            unsent_opening: Some(Opening {
                begin,
                id: id.into(),
            }),
            has_written: false,
        });
        Outcome::Done
    }

    fn roll_back(&mut self) -> Outcome {
        if self.open.is_none() {
            return Outcome::malformed("no transaction is open");
        }
        self.end_transaction();
        Outcome::Done
    }

    async fn commit(&mut self, id: &str, text: &str) -> Result<Outcome, LineError> {
        let Some(open) = &self.open else {
            return Ok(Outcome::malformed("no transaction is open"));
        };
        let effect = match open.has_written {
            true => Effect::Writes,
            false => Effect::Reads,
        };
        self.serve(effect, true, id, text, None).await
    }

    async fn execute(
        &mut self,
        id: &str,
        name: &str,
        arguments: &str,
    ) -> Result<Outcome, LineError> {
        let Some(named) = self.prepared.get(name).cloned() else {
            let text = format!("no prepared statement {name}");
            return Ok(Outcome::Error(code::NOT_PREPARED, text));
        };
        let effect = match named.mode {
            Mode::Read => Effect::Reads,
            Mode::Write => Effect::Writes,
        };
        let text = format!("EXECUTE {}{arguments}", named.prepared.name);
        self.serve_statement(effect, id, &text, Some(named.prepared))
            .await
    }

    async fn serve_statement(
        &mut self,
        effect: Effect,
        id: &str,
        text: &str,
        prepared: Option<Prepared>,
    ) -> Result<Outcome, LineError> {
        self.serve(effect, false, id, text, prepared).await
    }

    /// Returns the caller's workspace. Fails if the key is no longer valid, or belongs to
    /// another workspace than at the start of the open transaction.
    fn check_caller(&self, database: &Database) -> Result<Option<Arc<Workspace>>, UnknownKey> {
        let workspace = self.context.authenticate(database, &self.key)?;
        let Some(open) = &self.open else {
            return Ok(workspace);
        };
        let name = |workspace: &Option<Arc<Workspace>>| workspace.as_ref().map(|w| w.name.clone());
        match name(&workspace) == name(&open.workspace) {
            true => Ok(workspace),
            false => Err(UnknownKey),
        }
    }

    /// Refuses a statement whose key is not valid. An open transaction fails.
    fn refuse_key(&mut self) -> Outcome {
        self.context.metrics.unknown_keys.add(1, &[]);
        if self.open.is_some() {
            self.session.abort_transaction();
        }
        Outcome::Error(code::NO_KEY, UnknownKey.to_string())
    }

    /// Serves a statement. Returns early if the caller disconnects.
    async fn serve(
        &mut self,
        effect: Effect,
        commits: bool,
        id: &str,
        text: &str,
        prepared: Option<Prepared>,
    ) -> Result<Outcome, LineError> {
        let database = match &self.open {
            Some(open) => Some(open.database.clone()),
            None => self.context.database(&self.database),
        };
        let Some(database) = database else {
            return Ok(no_database());
        };
        let Ok(workspace) = self.check_caller(&database) else {
            return Ok(self.refuse_key());
        };
        let begin = self.open.as_ref().map(|open| open.begin);
        let opening = self
            .open
            .as_ref()
            .and_then(|open| open.unsent_opening.clone());
        // The later statements of a transaction are admitted with its first statement.
        let needs_admission = begin.is_none() || opening.is_some();
        if let Some(workspace) = workspace.as_ref().filter(|_| needs_admission) {
            let target = Duration::from_millis(database.target_ms);
            let admitted = tokio::select! {
                admitted = self.context.admit(workspace, target) => admitted,
                error = self.channel.closed() => return Err(error),
            };
            if let Err(refusal) = admitted {
                let failure = Failure::NotRun(refusal);
                return Ok(self.record_outcome(Err(failure), effect, commits));
            }
        }
        let request = Request {
            database: &database,
            workspace: workspace.as_deref(),
            intent: Intent {
                effect,
                commits,
                transaction: begin,
            },
            trace: id.into(),
            setup: Setup {
                values: self.values.clone(),
                prepared,
                opening,
            },
            payload: Bytes::from(format!("{id} {text}")),
        };
        let served = tokio::select! {
            served = self.session.serve_request(request) => served,
            error = self.channel.closed() => return Err(error),
        };
        Ok(self.record_outcome(served, effect, commits))
    }

    /// Updates the transaction's state with the result of a statement, and returns the answer.
    fn record_outcome(
        &mut self,
        served: Result<Reply, Failure>,
        effect: Effect,
        commits: bool,
    ) -> Outcome {
        let outcome = match served {
            Ok(reply) => Outcome::Reply(reply),
            Err(failure) => {
                let (code, text) = failure::error_reply(&failure);
                Outcome::Error(code, text)
            }
        };
        let Some(open) = &mut self.open else {
            return outcome;
        };
        open.unsent_opening = None;
        open.has_written |= effect == Effect::Writes;
        let error = matches!(outcome, Outcome::Error(..));
        if commits {
            // A commit ends the transaction whatever its outcome.
            self.end_transaction();
        } else if error {
            self.session.abort_transaction();
        } else if self.session.status == Status::Idle {
            self.open = None;
        }
        outcome
    }
}

fn no_database() -> Outcome {
    Outcome::Error(code::NO_DATABASE, "no such database".to_owned())
}

/// Returns a prepared statement named by a hash of its text, so that sessions share it.
fn shared_statement(text: &str) -> Prepared {
    Prepared {
        name: format!("p{:016x}", xxh3_64(text.as_bytes())).into(),
        text: text.into(),
    }
}
