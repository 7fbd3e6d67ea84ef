//! Concurrent sessions that write, read their own writes, press twice and roam.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::client::{Client, ClientError};
use super::journal::{Journal, Verdict};
use crate::postgres::failure::state;

const PAUSE: Duration = Duration::from_millis(5);
const PRESSES: u32 = 3;

/// What the sessions do.
#[derive(Clone, Debug)]
pub struct Mix {
    pub sessions: u32,
    /// Of a hundred operations.
    pub writes: u32,
    pub sales: u32,
    pub roams: u32,
    /// Time a session thinks between two operations.
    pub think: Duration,
    pub seed: u64,
}

impl Default for Mix {
    fn default() -> Self {
        Self {
            sessions: 8,
            writes: 15,
            sales: 3,
            roams: 3,
            think: Duration::from_millis(2),
            seed: 1,
        }
    }
}

/// A workload under way.
pub struct Workload {
    pub journal: Rc<RefCell<Journal>>,
    start: Instant,
    stop: Rc<Cell<bool>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    boxes: Rc<[SocketAddr]>,
    partner: Rc<str>,
    group: Rc<str>,
}

/// Creates the tables that the workload uses.
pub async fn create_tables(client: &mut Client) -> Result<(), ClientError> {
    for sql in [
        "CREATE TABLE answer (id text PRIMARY KEY, student bigint, seq bigint)",
        "CREATE TABLE sale (id text PRIMARY KEY, key text)",
        "CREATE TABLE beat (id bigint)",
    ] {
        client.query(sql).await?;
    }
    Ok(())
}

impl Workload {
    pub fn start(boxes: Vec<SocketAddr>, partner: &str, group: &str, mix: &Mix) -> Self {
        let mut workload = Self {
            journal: Rc::default(),
            start: Instant::now(),
            stop: Rc::default(),
            tasks: Vec::new(),
            boxes: boxes.into(),
            partner: partner.into(),
            group: group.into(),
        };
        for student in 0..mix.sessions {
            let session = workload.session(student, mix);
            workload.tasks.push(tokio::task::spawn_local(session.run()));
        }
        workload
    }

    fn session(&self, student: u32, mix: &Mix) -> Session {
        Session {
            journal: self.journal.clone(),
            start: self.start,
            stop: self.stop.clone(),
            boxes: self.boxes.clone(),
            partner: self.partner.clone(),
            group: self.group.clone(),
            student,
            mix: mix.clone(),
            dice: SmallRng::seed_from_u64(mix.seed * 1_000 + u64::from(student)),
            at: student as usize,
            token: None,
            sequence: 0,
            sales: 0,
            acknowledged: 0,
            seen: 0,
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Stops the sessions and compares what they saw with what is there.
    pub async fn finish(self) -> Result<(Verdict, Rc<RefCell<Journal>>), ClientError> {
        self.stop.set(true);
        for task in self.tasks {
            let _ = task.await;
        }
        let mut tries = 0;
        let (present, sales) = loop {
            let at = self.boxes[tries % self.boxes.len()];
            match read_all(at, &self.partner, &self.group).await {
                Ok(found) => break found,
                Err(error) if tries > 200 => return Err(error),
                Err(_) => tokio::time::sleep(PAUSE * 10).await,
            }
            tries += 1;
        };
        let verdict = self.journal.borrow().check(&present, &sales);
        Ok((verdict, self.journal))
    }
}

/// All rows, read in a transaction on the primary.
async fn read_all(
    at: SocketAddr,
    partner: &str,
    group: &str,
) -> Result<(Vec<String>, Vec<String>), ClientError> {
    let mut client = Client::connect(at, partner, group, None).await?;
    client.query("BEGIN").await?;
    let answers = client.query("SELECT id FROM answer").await?;
    let sales = client.query("SELECT key FROM sale").await?;
    client.query("COMMIT").await?;
    let first = |rows: Vec<Vec<Option<String>>>| {
        let cells = rows.into_iter().filter_map(|row| row.into_iter().next()?);
        cells.collect::<Vec<String>>()
    };
    Ok((first(answers.rows), first(sales.rows)))
}

struct Session {
    journal: Rc<RefCell<Journal>>,
    start: Instant,
    stop: Rc<Cell<bool>>,
    boxes: Rc<[SocketAddr]>,
    partner: Rc<str>,
    group: Rc<str>,
    student: u32,
    mix: Mix,
    dice: SmallRng,
    at: usize,
    token: Option<String>,
    sequence: u64,
    sales: u64,
    /// Highest own write that was acknowledged.
    acknowledged: i64,
    /// Highest own write that was read.
    seen: i64,
}

impl Session {
    async fn run(mut self) {
        while !self.stop.get() {
            let Ok(mut client) = self.connect().await else {
                self.at += 1;
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            while !self.stop.get() {
                tokio::time::sleep(self.mix.think).await;
                match self.step(&mut client).await {
                    Ok(()) => {}
                    Err(Next::Again(pause)) => tokio::time::sleep(pause).await,
                    Err(Next::Roam) => break,
                }
            }
            self.token = client.token.take().or(self.token.take());
            self.at += 1;
        }
    }

    async fn connect(&mut self) -> Result<Client, ClientError> {
        let at = self.boxes[self.at % self.boxes.len()];
        // One in four comes without its token: the floor is then unknown.
        let token = match self.dice.random_range(0..4) {
            0 => None,
            _ => self.token.clone(),
        };
        Client::connect(at, &self.partner, &self.group, token.as_deref()).await
    }

    async fn step(&mut self, client: &mut Client) -> Result<(), Next> {
        let roll = self.dice.random_range(0..100);
        if roll < self.mix.writes {
            return self.write(client).await;
        }
        if roll < self.mix.writes + self.mix.sales {
            return self.sell(client).await;
        }
        if roll < self.mix.writes + self.mix.sales + self.mix.roams {
            return Err(Next::Roam);
        }
        self.read(client).await
    }

    async fn write(&mut self, client: &mut Client) -> Result<(), Next> {
        self.sequence += 1;
        let (student, sequence) = (self.student, self.sequence);
        let id = format!("{student}-{sequence}");
        let sql = format!("INSERT INTO answer VALUES ('{id}', {student}, {sequence})");
        let answer = client.query(&sql).await;
        let mut journal = self.journal.borrow_mut();
        journal.writes += 1;
        match answer {
            Ok(answer) => {
                journal.foreign_answers += u64::from(answer.tag != "INSERT 0 1");
                journal.acknowledged.insert(id);
                journal.acknowledged_at.push(self.start.elapsed());
                self.acknowledged = sequence as i64;
                Ok(())
            }
            Err(error) => {
                match error.is_not_run() {
                    true => journal.refused.insert(id),
                    false => journal.unknown.insert(id),
                };
                Err(note(&mut journal, &error))
            }
        }
    }

    async fn read(&mut self, client: &mut Client) -> Result<(), Next> {
        let student = self.student;
        let sql = format!("SELECT {student}, max(seq) FROM answer WHERE student = {student}");
        let answer = client.query(&sql).await;
        let mut journal = self.journal.borrow_mut();
        journal.reads += 1;
        let answer = answer.map_err(|error| note(&mut journal, &error))?;
        let cell = |i: usize| answer.rows.first().and_then(|row| row.get(i)?.clone());
        if cell(0) != Some(student.to_string()) {
            journal.foreign_answers += 1;
        }
        let found: i64 = cell(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or_default();
        if found < self.acknowledged {
            journal.stale_own_reads += 1;
        }
        if found < self.seen {
            journal.backward_reads += 1;
        }
        self.seen = self.seen.max(found);
        Ok(())
    }

    /// Presses the same sale several times, on several boxes.
    async fn sell(&mut self, client: &mut Client) -> Result<(), Next> {
        self.sales += 1;
        let key = format!("sale-{}-{}", self.student, self.sales);
        let mut next = Ok(());
        for press in 0..PRESSES {
            let id = format!("{key}-{press}");
            let sql =
                format!("/* larkfall: once={key} */ INSERT INTO sale VALUES ('{id}', '{key}')");
            let answer = match press {
                0 => client.query(&sql).await,
                _ => self.press_elsewhere(&sql, press).await,
            };
            let mut journal = self.journal.borrow_mut();
            match answer {
                Ok(_) => {
                    journal.sold.insert(key.clone());
                }
                Err(error) => next = Err(note(&mut journal, &error)),
            }
        }
        next
    }

    async fn press_elsewhere(
        &self,
        sql: &str,
        press: u32,
    ) -> Result<super::client::Answer, ClientError> {
        let at = self.boxes[(self.at + press as usize) % self.boxes.len()];
        let mut client = Client::connect(at, &self.partner, &self.group, None).await?;
        client.query(sql).await
    }
}

/// What a session does after an error.
enum Next {
    Again(Duration),
    Roam,
}

fn note(journal: &mut Journal, error: &ClientError) -> Next {
    let code = match error {
        ClientError::Lost(_) => "lost".to_owned(),
        ClientError::Sql { code, .. } => code.clone(),
    };
    *journal.errors.entry(code).or_default() += 1;
    match error {
        ClientError::Lost(_) => Next::Roam,
        _ if error.code() == state::UNKNOWN => Next::Again(PAUSE),
        _ => Next::Again(error.retry_after().unwrap_or(PAUSE).min(PAUSE * 20)),
    }
}
