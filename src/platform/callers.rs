//! Callers that speak lines: each connection is a session of the core.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use xxhash_rust::xxh3::xxh3_64;

use super::failure::{self, code};
use super::line::{Channel, LineError};
use super::words::{Mode, Statement, position_text, word};
use crate::borders::upstream::{Begin, Opening, Prepared, Setup, Status, Values};
use crate::decisions::position::Position;
use crate::declarations::resource::{Database, Workspace};
use crate::declarations::snapshot::Stranger;
use crate::events;
use crate::node::context::{Caller, Context};
use crate::node::entry::Entry;
use crate::node::exchange::{Effect, Failure, Reply};
use crate::node::owner::Owner;
use crate::node::serving::{Intent, Work};
use crate::node::session::Session;
use crate::secret;

/// Time in which a caller must have said which database it wants.
const HELLO_WAIT: Duration = Duration::from_secs(10);
/// What a late caller of a box that leaves, or is cut off, is told to wait: the balancer
/// asks each second.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(300);

/// Takes callers that speak lines.
pub struct Lines;

#[async_trait(?Send)]
impl Entry for Lines {
    async fn serve(
        &self,
        context: Rc<Context>,
        owner: Rc<Owner>,
        listener: TcpListener,
    ) -> std::io::Result<()> {
        loop {
            // A leaving box still takes those whom the balancer sends.
            let (stream, _) = listener.accept().await?;
            let (context, owner) = (context.clone(), owner.clone());
            tokio::task::spawn_local(async move {
                let _counted = Caller::new(&context);
                if let Err(error) = serve(context.clone(), owner, stream).await {
                    note_end(&context, &error);
                }
            });
        }
    }
}

fn note_end(context: &Context, error: &LineError) {
    if !matches!(error, LineError::Closed | LineError::Io(_)) {
        events::emit(&context.log, &events::CALLER_PROTOCOL, &[("error", error)]);
    }
}

async fn serve(context: Rc<Context>, owner: Rc<Owner>, stream: TcpStream) -> Result<(), LineError> {
    stream.set_nodelay(true)?;
    let mut channel = Channel::new(stream);
    let Ok(hello) = tokio::time::timeout(HELLO_WAIT, channel.read()).await else {
        return Ok(());
    };
    let hello = hello?;
    let (verb, rest) = word(&hello);
    let (database, key) = word(rest);
    if verb != "CONNECT" || database.is_empty() {
        return refuse(
            &mut channel,
            code::MALFORMED,
            "expected CONNECT and a database",
        )
        .await;
    }
    if context.callers.get() > context.live.borrow().callers {
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
    if let Err(stranger) = context.caller(&declared, &key) {
        context.metrics.strangers.add(1, &[]);
        return refuse(&mut channel, code::NO_KEY, &stranger.to_string()).await;
    }
    if context.is_away_for(context.settings.balancer_turn) {
        // A session that is closed right after its start looks like a lost answer.
        let text = format!(
            "not run: callers are served elsewhere; retry after {} ms",
            ELSEWHERE_RETRY.as_millis()
        );
        return refuse(&mut channel, code::RETRY, &text).await;
    }
    channel.write(b"READY I -\r\n").await?;
    Conversation::new(context, owner, channel, database, key)
        .run()
        .await
}

async fn refuse(channel: &mut Channel, code: &str, text: &str) -> Result<(), LineError> {
    channel
        .write(format!("ERROR {code} {text}\r\n").as_bytes())
        .await
}

/// A prepared statement of the session.
#[derive(Clone)]
struct Named {
    prepared: Prepared,
    mode: Mode,
}

/// An open transaction.
struct Open {
    database: Arc<Database>,
    begin: Begin,
    /// Whose it is, where callers need a key.
    workspace: Option<Arc<Workspace>>,
    /// What no member has been told yet.
    unsent: Option<Opening>,
    wrote: bool,
}

/// One caller's connection.
struct Conversation {
    context: Rc<Context>,
    session: Session,
    channel: Channel,
    database: Arc<str>,
    /// Digest of the key with which the caller came. Whose it is may change at any time.
    key: Arc<str>,
    values: Arc<Values>,
    named: HashMap<String, Named>,
    open: Option<Open>,
}

/// What a statement is answered with.
enum Outcome {
    /// Nothing but that it is done.
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
            // Nothing was read or written yet: every position will do.
            session: Session::new(context.clone(), owner, Some(Position::ZERO)),
            context,
            channel,
            database: database.into(),
            key,
            values: Arc::new(BTreeMap::new()),
            named: HashMap::new(),
            open: None,
        }
    }

    async fn run(&mut self) -> Result<(), LineError> {
        loop {
            // By then the balancer sends no new sessions here: closed idle ones come back
            // elsewhere.
            let left = self.context.away_for(self.context.settings.balancer_turn);
            let idle = self.open.is_none();
            let line = tokio::select! {
                biased;
                line = self.channel.read() => line,
                () = left, if idle => return Ok(()),
            };
            let line = match line {
                Err(error @ (LineError::TooLong | LineError::NoText)) => {
                    let text = error.to_string();
                    refuse(&mut self.channel, code::MALFORMED, &text).await?;
                    return Err(error);
                }
                line => line?,
            };
            let (verb, rest) = word(&line);
            match verb {
                "QUERY" => {
                    let (id, text) = word(rest);
                    let outcome = self.statement(id, text).await?;
                    self.answer(outcome).await?;
                }
                "QUIT" => return Ok(()),
                _ => {
                    let text = "expected QUERY or QUIT";
                    return refuse(&mut self.channel, code::MALFORMED, text).await;
                }
            }
        }
    }

    async fn answer(&mut self, outcome: Outcome) -> Result<(), LineError> {
        let mut position = None;
        let mut text = match outcome {
            Outcome::Done => "COMPLETE -\r\n".to_owned(),
            Outcome::Error(code, text) => format!("ERROR {code} {text}\r\n"),
            Outcome::Reply(reply) => {
                position = reply.position;
                String::from_utf8_lossy(&reply.messages).into_owned()
            }
        };
        let state = self.state();
        let position = position_text(position);
        text.push_str(&format!("READY {state} {position}\r\n"));
        self.channel.write(text.as_bytes()).await
    }

    fn state(&self) -> char {
        match (self.session.status, &self.open) {
            (Status::Failed, _) => 'E',
            (_, Some(_)) => 'T',
            (_, None) => 'I',
        }
    }

    async fn statement(&mut self, id: &str, text: &str) -> Result<Outcome, LineError> {
        let Some(statement) = Statement::parse(text) else {
            return Ok(Outcome::malformed("no statement of this protocol"));
        };
        if self.session.status == Status::Failed {
            return Ok(self.in_failed(statement));
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
                let prepared = shared(text);
                self.named.insert(name.to_owned(), Named { prepared, mode });
                Outcome::Done
            }
            Statement::Close { name } => {
                self.named.remove(name);
                Outcome::Done
            }
            Statement::Read => return self.run_one(Effect::Reads, id, text, None).await,
            Statement::Write => return self.run_one(Effect::Writes, id, text, None).await,
            Statement::Execute { name, arguments } => {
                return self.execute(id, name, arguments).await;
            }
        };
        Ok(outcome)
    }

    /// In a failed transaction only its end is taken, and rolls back.
    fn in_failed(&mut self, statement: Statement<'_>) -> Outcome {
        let commits = statement == Statement::Commit;
        if !commits && statement != Statement::Rollback {
            return Outcome::malformed("the transaction has failed; end it");
        }
        self.end();
        match commits {
            true => Outcome::Error(code::ABORTED, "the transaction had failed".to_owned()),
            false => Outcome::Done,
        }
    }

    /// Ends the open transaction without effect.
    fn end(&mut self) {
        self.session.let_go();
        self.session.end_lost();
        self.open = None;
    }

    /// Opens a transaction. No connection is taken before its first statement.
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
        let Ok(workspace) = self.context.caller(&database, &self.key) else {
            return self.no_key();
        };
        self.open = Some(Open {
            database,
            workspace,
            begin,
            unsent: Some(Opening {
                begin,
                id: id.into(),
            }),
            wrote: false,
        });
        Outcome::Done
    }

    fn roll_back(&mut self) -> Outcome {
        if self.open.is_none() {
            return Outcome::malformed("no transaction is open");
        }
        self.end();
        Outcome::Done
    }

    async fn commit(&mut self, id: &str, text: &str) -> Result<Outcome, LineError> {
        let Some(open) = &self.open else {
            return Ok(Outcome::malformed("no transaction is open"));
        };
        let effect = match open.wrote {
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
        let Some(named) = self.named.get(name).cloned() else {
            let text = format!("no prepared statement {name}");
            return Ok(Outcome::Error(code::NOT_PREPARED, text));
        };
        let effect = match named.mode {
            Mode::Read => Effect::Reads,
            Mode::Write => Effect::Writes,
        };
        let text = format!("EXECUTE {} {arguments}", named.prepared.name);
        self.run_one(effect, id, &text, Some(named.prepared)).await
    }

    async fn run_one(
        &mut self,
        effect: Effect,
        id: &str,
        text: &str,
        prepared: Option<Prepared>,
    ) -> Result<Outcome, LineError> {
        self.serve(effect, false, id, text, prepared).await
    }

    /// Whose statement comes next. A key that was taken away, or given to another
    /// workspace, ends an open transaction too.
    fn caller(&self, database: &Database) -> Result<Option<Arc<Workspace>>, Stranger> {
        let workspace = self.context.caller(database, &self.key)?;
        let Some(open) = &self.open else {
            return Ok(workspace);
        };
        let name = |workspace: &Option<Arc<Workspace>>| workspace.as_ref().map(|w| w.name.clone());
        match name(&workspace) == name(&open.workspace) {
            true => Ok(workspace),
            false => Err(Stranger),
        }
    }

    /// Refuses for want of a key; an open transaction fails with it.
    fn no_key(&mut self) -> Outcome {
        self.context.metrics.strangers.add(1, &[]);
        if self.open.is_some() {
            self.session.fail();
        }
        Outcome::Error(code::NO_KEY, Stranger.to_string())
    }

    /// Has the core serve a statement while the caller waits for it.
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
        let Ok(workspace) = self.caller(&database) else {
            return Ok(self.no_key());
        };
        let begin = self.open.as_ref().map(|open| open.begin);
        let opening = self.open.as_ref().and_then(|open| open.unsent.clone());
        let starts = begin.is_none() || opening.is_some();
        if let Some(workspace) = workspace.as_ref().filter(|_| starts) {
            let aim = Duration::from_millis(database.target_ms);
            let admitted = tokio::select! {
                admitted = self.context.admit(workspace, aim) => admitted,
                error = self.channel.gone() => return Err(error),
            };
            if let Err(refusal) = admitted {
                let failure = Failure::NotRun(refusal);
                return Ok(self.took(Err(failure), effect, commits));
            }
        }
        let work = Work {
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
            served = self.session.work(work) => served,
            error = self.channel.gone() => return Err(error),
        };
        Ok(self.took(served, effect, commits))
    }

    /// Keeps the transaction's state by the outcome of its statement.
    fn took(&mut self, served: Result<Reply, Failure>, effect: Effect, commits: bool) -> Outcome {
        let outcome = match served {
            Ok(reply) => Outcome::Reply(reply),
            Err(failure) => {
                let (code, text) = failure::answer(&failure);
                Outcome::Error(code, text)
            }
        };
        let Some(open) = &mut self.open else {
            return outcome;
        };
        open.unsent = None;
        open.wrote |= effect == Effect::Writes;
        let error = matches!(outcome, Outcome::Error(..));
        if commits {
            // A commit ends its transaction, whatever comes of it.
            self.end();
        } else if error {
            self.session.fail();
        } else if self.session.status == Status::Idle {
            self.open = None;
        }
        outcome
    }
}

fn no_database() -> Outcome {
    Outcome::Error(code::NO_DATABASE, "no such database".to_owned())
}

/// A statement under a name that depends only on what it is.
fn shared(text: &str) -> Prepared {
    Prepared {
        name: format!("p{:016x}", xxh3_64(text.as_bytes())).into(),
        text: text.into(),
    }
}
