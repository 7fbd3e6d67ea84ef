//! A scripted member that may repeat its answers. Its framing and its rules are written from the
//! description of the protocol and share no code with the adapter under test.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use larkfall::borders::upstream::Status;
use larkfall::decisions::position::Position;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::{TcpListener, TcpStream};

const LINE_END: &[u8] = b"\r\n";
/// Statements after which a repetition is due, at most.
const MAX_DELAY: usize = 6;

/// How often the member repeats an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repetitions {
    Never,
    /// At most one repeated answer arrives within an exchange of the adapter.
    Single,
    Several,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// In front of an answer, in the same segment.
    Before,
    /// Behind an answer, in the same segment.
    After,
    /// While nothing is asked.
    Idle,
}

/// An earlier answer that will be sent again.
#[derive(Clone, Debug)]
struct Repetition {
    answer: usize,
    /// Number of the statement at which it is sent.
    due: usize,
    place: Place,
}

/// A statement that the member received, with its answer.
#[derive(Clone, Debug)]
pub struct Record {
    pub connection: usize,
    pub id: String,
    /// The text without the position that the log must hold.
    pub text: String,
    pub has_run: bool,
    pub values: BTreeMap<String, String>,
    /// Shape of the executed prepared statement.
    pub shape: Option<String>,
    /// Id of the statement that opened the transaction.
    pub transaction: Option<String>,
    /// Lines of the answer but the last, with their ends.
    pub lines: String,
    pub status: Status,
    pub position: Option<Position>,
    /// Number of lines in the trace before the answer.
    pub traced: usize,
}

impl Record {
    pub fn is_error(&self) -> bool {
        self.lines.contains("ERROR ")
    }
}

struct Transaction {
    id: String,
    is_read_only: bool,
    has_failed: bool,
    has_written: bool,
}

/// State of a connection.
struct Session {
    /// None once the far end has closed.
    stream: Option<Rc<TcpStream>>,
    rng: SmallRng,
    values: BTreeMap<String, String>,
    shapes: BTreeMap<String, String>,
    transaction: Option<Transaction>,
    answers: Vec<String>,
    due: Vec<Repetition>,
    /// First exchange in which a single repetition may arrive.
    next_repetition: u64,
}

/// A member and all that it has received and sent.
pub struct Member {
    seed: u64,
    repetitions: Repetitions,
    /// Whether other commits move the log on.
    is_busy: bool,
    /// Whether answers to statements without data name no position.
    hides_position: bool,
    position: Position,
    answered: u64,
    sessions: Vec<Session>,
    /// Number of the adapter's exchange, counted by the driver.
    pub exchange: u64,
    pub records: Vec<Record>,
    pub repeated: u64,
    /// Lines received and sent.
    pub trace: Vec<String>,
}

impl Member {
    pub fn new(seed: u64, repetitions: Repetitions) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            seed,
            repetitions,
            is_busy: rng.random_bool(0.5),
            hides_position: rng.random_bool(0.3),
            position: Position::new(3, 1200),
            answered: 0,
            sessions: Vec::new(),
            exchange: 0,
            records: Vec::new(),
            repeated: 0,
            trace: Vec::new(),
        }
    }

    /// Sends the repetitions that are due while nothing is asked.
    pub fn send_idle(&mut self) {
        for connection in 0..self.sessions.len() {
            let Some(stream) = self.sessions[connection].stream.clone() else {
                continue;
            };
            let mut output = String::new();
            self.repeat(connection, Place::Idle, &mut output);
            // The far end may have closed meanwhile.
            let _ = stream.try_write(output.as_bytes());
        }
    }

    pub fn open_connections(&self) -> usize {
        let open = self.sessions.iter().filter(|it| it.stream.is_some());
        open.count()
    }

    pub fn connections(&self) -> usize {
        self.sessions.len()
    }

    fn open(&mut self, stream: Rc<TcpStream>) -> usize {
        let connection = self.sessions.len();
        self.sessions.push(Session {
            stream: Some(stream),
            rng: SmallRng::seed_from_u64(self.seed.wrapping_mul(1009) + connection as u64),
            values: BTreeMap::new(),
            shapes: BTreeMap::new(),
            transaction: None,
            answers: Vec::new(),
            due: Vec::new(),
            next_repetition: 0,
        });
        connection
    }

    /// Answers a line. Returns all that is to be sent.
    fn answer(&mut self, connection: usize, line: &str) -> String {
        self.trace.push(format!("{connection} > {line}"));
        let own = match line.split_once(' ') {
            Some(("CONNECT", _)) => format!("READY I {}\r\n", self.written_position()),
            Some(("QUERY", rest)) => {
                let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
                self.answer_statement(connection, id, text)
            }
            _ => "ERROR MALFORMED\r\n".to_owned(),
        };
        let mut output = String::new();
        self.repeat(connection, Place::Before, &mut output);
        self.trace
            .push(format!("{connection} < {}", own.escape_debug()));
        output.push_str(&own);
        let session = &mut self.sessions[connection];
        session.answers.push(own);
        if self.repetitions != Repetitions::Never {
            session.plan_repetitions(self.repetitions);
        }
        self.repeat(connection, Place::After, &mut output);
        output
    }

    /// Appends the repetitions that are due at this place.
    fn repeat(&mut self, connection: usize, place: Place, output: &mut String) {
        let session = &mut self.sessions[connection];
        let statement = session.answers.len();
        let mut kept = Vec::new();
        for repetition in std::mem::take(&mut session.due) {
            let is_due = repetition.place == place && repetition.due <= statement;
            let is_allowed =
                self.repetitions != Repetitions::Single || self.exchange >= session.next_repetition;
            if !is_due || !is_allowed {
                kept.push(repetition);
                continue;
            }
            // What follows an answer may also be read in the next exchange.
            let last = self.exchange + u64::from(place != Place::Before);
            session.next_repetition = last + 1;
            let answer = &session.answers[repetition.answer];
            output.push_str(answer);
            self.repeated += 1;
            self.trace.push(format!(
                "{connection} < again ({place:?}): {}",
                answer.escape_debug()
            ));
        }
        session.due = kept;
    }

    fn answer_statement(&mut self, connection: usize, id: &str, text: &str) -> String {
        let text = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').unwrap_or((rest, "")).1,
            None => text,
        };
        if self.is_busy && self.sessions[connection].rng.random_bool(0.3) {
            self.position.index += 1;
        }
        let session = &self.sessions[connection];
        let mut record = Record {
            connection,
            id: id.to_owned(),
            text: text.to_owned(),
            has_run: false,
            values: session.values.clone(),
            shape: None,
            transaction: session.transaction.as_ref().map(|open| open.id.clone()),
            lines: String::new(),
            status: Status::Idle,
            position: None,
            traced: self.trace.len(),
        };
        let result = self.execute(connection, text, &mut record);
        let session = &mut self.sessions[connection];
        record.has_run = matches!(result, Ok(_) | Err("FAILED"));
        record.lines = match result {
            Ok(lines) => lines,
            Err(code) => {
                if let Some(open) = &mut session.transaction {
                    open.has_failed = true;
                }
                format!("ERROR {code} refused\r\n")
            }
        };
        let (status, state) = match &session.transaction {
            None => (Status::Idle, 'I'),
            Some(open) if open.has_failed => (Status::Failed, 'E'),
            Some(_) => (Status::Transaction, 'T'),
        };
        record.status = status;
        let hidden = self.hides_position && record.lines == "COMPLETE -\r\n";
        let ready = match hidden {
            true => format!("READY {state} -\r\n"),
            false => {
                record.position = Some(self.position);
                format!("READY {state} {}\r\n", self.written_position())
            }
        };
        let own = format!("{}{ready}", record.lines);
        self.records.push(record);
        own
    }

    /// Runs a statement. Returns the lines of its success, or the code of its error.
    fn execute(
        &mut self,
        connection: usize,
        text: &str,
        record: &mut Record,
    ) -> Result<String, &'static str> {
        self.answered += 1;
        let number = self.answered;
        let session = &mut self.sessions[connection];
        let words: Vec<&str> = text.split(' ').collect();
        let has_failed = matches!(&session.transaction, Some(open) if open.has_failed);
        if has_failed && text != "ROLLBACK" {
            return Err("MALFORMED");
        }
        let completed = || Ok("COMPLETE -\r\n".to_owned());
        match words[..] {
            ["BEGIN"] | ["BEGIN", "READ"] if session.transaction.is_none() => {
                let is_read_only = words.len() == 2;
                match is_read_only {
                    true => session.refuse(&["RETRY", "LAGGING"])?,
                    false => session.refuse(&["RETRY", "LAGGING", "READONLY"])?,
                }
                record.transaction = Some(record.id.clone());
                session.transaction = Some(Transaction {
                    id: record.id.clone(),
                    is_read_only,
                    has_failed: false,
                    has_written: false,
                });
                completed()
            }
            ["COMMIT"] => {
                let open = session.transaction.take().ok_or("MALFORMED")?;
                session.refuse(&["RETRY", "READONLY"])?;
                self.position.index += u64::from(open.has_written);
                Ok(digest(number))
            }
            ["ROLLBACK"] => {
                session.transaction.take().ok_or("MALFORMED")?;
                completed()
            }
            ["RESET"] => {
                session.values.clear();
                session.shapes.clear();
                completed()
            }
            ["SET", name, value] => {
                session.values.insert(name.to_owned(), value.to_owned());
                completed()
            }
            ["PREPARE", name, ..] => {
                session.refuse(&["RETRY"])?;
                session.shapes.insert(name.to_owned(), words[2..].join(" "));
                completed()
            }
            ["CLOSE", name] => {
                session.shapes.remove(name);
                completed()
            }
            ["READ", _] => self.read(connection, number),
            ["WRITE", _, _] => self.write(connection, number),
            ["EXECUTE", name, ..] => {
                if session.rng.random_bool(0.02) {
                    session.shapes.remove(name);
                }
                let shape = session.shapes.get(name).cloned().ok_or("NOSTMT")?;
                let is_read = shape.starts_with("READ ");
                record.shape = Some(shape);
                match is_read {
                    true => self.read(connection, number),
                    false => self.write(connection, number),
                }
            }
            ["STATUS"] | ["RESUME"] | ["PAUSE" | "STEPDOWN", _] => {
                session.refuse(&["RETRY"])?;
                let position = self.written_position();
                Ok(format!(
                    "DATA replica 3 {position} 0 {number} 2 17\r\nCOMPLETE -\r\n"
                ))
            }
            _ => Err("MALFORMED"),
        }
    }

    fn read(&mut self, connection: usize, number: u64) -> Result<String, &'static str> {
        let session = &mut self.sessions[connection];
        session.refuse(&["RETRY", "LAGGING", "FAILED"])?;
        let rows = session.rng.random_range(0..3);
        let rows = (0..rows).map(|row| format!("DATA row{number} {row}\r\n"));
        Ok(rows.collect::<String>() + &digest(number))
    }

    fn write(&mut self, connection: usize, number: u64) -> Result<String, &'static str> {
        let session = &mut self.sessions[connection];
        session.refuse(&["RETRY", "READONLY", "FAILED"])?;
        match &mut session.transaction {
            Some(open) if open.is_read_only => return Err("READONLY"),
            Some(open) => open.has_written = true,
            None => self.position.index += 1,
        }
        Ok(digest(number))
    }

    fn written_position(&self) -> String {
        format!("{}.{}", self.position.term, self.position.index)
    }
}

impl Session {
    /// Fails at random with one of the codes.
    fn refuse(&mut self, codes: &[&'static str]) -> Result<(), &'static str> {
        match self.rng.random_bool(0.05) {
            true => Err(codes[self.rng.random_range(0..codes.len())]),
            false => Ok(()),
        }
    }

    fn plan_repetitions(&mut self, repetitions: Repetitions) {
        if !self.rng.random_bool(0.2) {
            return;
        }
        let count = match repetitions {
            Repetitions::Several => self.rng.random_range(1..4),
            _ => 1,
        };
        let newest = self.answers.len() - 1;
        let due = self.answers.len() + self.rng.random_range(0..MAX_DELAY);
        for _ in 0..count {
            let answer = match self.rng.random_bool(0.5) {
                true => newest,
                false => self.rng.random_range(0..=newest),
            };
            let place = match self.rng.random_range(0..5) {
                0..3 => Place::Before,
                3 => Place::After,
                _ => Place::Idle,
            };
            self.due.push(Repetition { answer, due, place });
        }
    }
}

fn digest(number: u64) -> String {
    format!("COMPLETE 7.1f3.c.2b.{number:016x}\r\n")
}

/// Accepts connections until the task is dropped.
pub async fn listen(listener: TcpListener, member: Rc<RefCell<Member>>) {
    while let Ok((stream, _)) = listener.accept().await {
        stream.set_nodelay(true).expect("no delay");
        // Closes with a reset, so that many runs leave no ports in TIME_WAIT.
        stream.set_zero_linger().expect("no linger");
        let stream = Rc::new(stream);
        let connection = member.borrow_mut().open(stream.clone());
        tokio::task::spawn_local(serve(stream, member.clone(), connection));
    }
}

async fn serve(stream: Rc<TcpStream>, member: Rc<RefCell<Member>>, connection: usize) {
    let mut input = Vec::new();
    while stream.readable().await.is_ok() {
        match stream.try_read_buf(&mut input) {
            Ok(0) => break,
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => break,
        }
        while let Some(end) = find_line_end(&input) {
            let line: Vec<u8> = input.drain(..end + LINE_END.len()).collect();
            let line = String::from_utf8_lossy(&line[..end]).into_owned();
            let output = member.borrow_mut().answer(connection, &line);
            // A far end that closed reads no answer.
            let _ = stream.try_write(output.as_bytes());
        }
    }
    member.borrow_mut().sessions[connection].stream = None;
}

fn find_line_end(input: &[u8]) -> Option<usize> {
    input
        .windows(LINE_END.len())
        .position(|bytes| bytes == LINE_END)
}
