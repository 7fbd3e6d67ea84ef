//! Concurrent sessions that write, read their own writes, repeat sales and switch boxes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::client::{Client, ClientError};
use super::journal::{Journal, Verdict};
use crate::postgres::failure::state;

const RETRY_PAUSE: Duration = Duration::from_millis(5);
const SALE_ATTEMPTS: u32 = 3;

/// The mix of operations that the sessions run. All other operations are reads.
#[derive(Clone, Debug)]
pub struct Mix {
    pub sessions: u32,
    pub write_percent: u32,
    pub sale_percent: u32,
    /// Percentage of operations that disconnect and continue on another box.
    pub switch_percent: u32,
    /// Pause of a session between two operations.
    pub think_time: Duration,
    pub seed: u64,
}

impl Default for Mix {
    fn default() -> Self {
        Self {
            sessions: 8,
            write_percent: 15,
            sale_percent: 3,
            switch_percent: 3,
            think_time: Duration::from_millis(2),
            seed: 1,
        }
    }
}

/// A running workload.
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
            rng: SmallRng::seed_from_u64(mix.seed * 1_000 + u64::from(student)),
            box_index: student as usize,
            token: None,
            sequence: 0,
            sales: 0,
            last_acknowledged: 0,
            highest_read: 0,
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Stops the sessions and checks their observations against the final rows.
    pub async fn finish(self) -> Result<(Verdict, Rc<RefCell<Journal>>), ClientError> {
        self.stop.set(true);
        for task in self.tasks {
            let _ = task.await;
        }
        let mut attempts = 0;
        let (present, sales) = loop {
            let at = self.boxes[attempts % self.boxes.len()];
            match read_final_rows(at, &self.partner, &self.group).await {
                Ok(found) => break found,
                Err(error) if attempts > 200 => return Err(error),
                Err(_) => tokio::time::sleep(RETRY_PAUSE * 10).await,
            }
            attempts += 1;
        };
        let verdict = self.journal.borrow().check(&present, &sales);
        Ok((verdict, self.journal))
    }
}

/// Reads the ids of all answers and the keys of all sales in a transaction on the primary.
async fn read_final_rows(
    at: SocketAddr,
    partner: &str,
    group: &str,
) -> Result<(Vec<String>, Vec<String>), ClientError> {
    let mut client = Client::connect(at, partner, group, None).await?;
    client.query("BEGIN").await?;
    let answers = client.query("SELECT id FROM answer").await?;
    let sales = client.query("SELECT key FROM sale").await?;
    client.query("COMMIT").await?;
    let first_cells = |rows: Vec<Vec<Option<String>>>| {
        let cells = rows.into_iter().filter_map(|row| row.into_iter().next()?);
        cells.collect::<Vec<String>>()
    };
    Ok((first_cells(answers.rows), first_cells(sales.rows)))
}

struct Session {
    journal: Rc<RefCell<Journal>>,
    start: Instant,
    stop: Rc<Cell<bool>>,
    boxes: Rc<[SocketAddr]>,
    partner: Rc<str>,
    group: Rc<str>,
    /// Number of the session, stored in its rows.
    student: u32,
    mix: Mix,
    rng: SmallRng,
    box_index: usize,
    token: Option<String>,
    sequence: u64,
    sales: u64,
    /// Sequence number of the last acknowledged write.
    last_acknowledged: i64,
    /// Highest sequence number that was read.
    highest_read: i64,
}

impl Session {
    async fn run(mut self) {
        while !self.stop.get() {
            let Ok(mut client) = self.connect().await else {
                self.box_index += 1;
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            while !self.stop.get() {
                tokio::time::sleep(self.mix.think_time).await;
                match self.run_operation(&mut client).await {
                    Ok(()) => {}
                    Err(NextStep::Retry(pause)) => tokio::time::sleep(pause).await,
                    Err(NextStep::SwitchBox) => break,
                }
            }
            self.token = client.token.take().or(self.token.take());
            self.box_index += 1;
        }
    }

    async fn connect(&mut self) -> Result<Client, ClientError> {
        let at = self.boxes[self.box_index % self.boxes.len()];
        // One in four connections has no token, so the session's floor is unknown to the box.
        let token = match self.rng.random_range(0..4) {
            0 => None,
            _ => self.token.clone(),
        };
        Client::connect(at, &self.partner, &self.group, token.as_deref()).await
    }

    async fn run_operation(&mut self, client: &mut Client) -> Result<(), NextStep> {
        let draw = self.rng.random_range(0..100);
        if draw < self.mix.write_percent {
            return self.write(client).await;
        }
        if draw < self.mix.write_percent + self.mix.sale_percent {
            return self.sell(client).await;
        }
        if draw < self.mix.write_percent + self.mix.sale_percent + self.mix.switch_percent {
            return Err(NextStep::SwitchBox);
        }
        self.read(client).await
    }

    async fn write(&mut self, client: &mut Client) -> Result<(), NextStep> {
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
                self.last_acknowledged = sequence as i64;
                Ok(())
            }
            Err(error) => {
                match error.is_not_run() {
                    true => journal.refused.insert(id),
                    false => journal.unknown.insert(id),
                };
                Err(record_error(&mut journal, &error))
            }
        }
    }

    async fn read(&mut self, client: &mut Client) -> Result<(), NextStep> {
        let student = self.student;
        let sql = format!("SELECT {student}, max(seq) FROM answer WHERE student = {student}");
        let answer = client.query(&sql).await;
        let mut journal = self.journal.borrow_mut();
        journal.reads += 1;
        let answer = answer.map_err(|error| record_error(&mut journal, &error))?;
        let cell = |i: usize| answer.rows.first().and_then(|row| row.get(i)?.clone());
        if cell(0) != Some(student.to_string()) {
            journal.foreign_answers += 1;
        }
        let found: i64 = cell(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or_default();
        if found < self.last_acknowledged {
            journal.stale_own_reads += 1;
        }
        if found < self.highest_read {
            journal.backward_reads += 1;
        }
        self.highest_read = self.highest_read.max(found);
        Ok(())
    }

    /// Sends the same sale several times, to several boxes. It must run at most once.
    async fn sell(&mut self, client: &mut Client) -> Result<(), NextStep> {
        self.sales += 1;
        let key = format!("sale-{}-{}", self.student, self.sales);
        let mut next = Ok(());
        for attempt in 0..SALE_ATTEMPTS {
            let id = format!("{key}-{attempt}");
            let sql =
                format!("/* larkfall: once={key} */ INSERT INTO sale VALUES ('{id}', '{key}')");
            let answer = match attempt {
                0 => client.query(&sql).await,
                _ => self.sell_on_other_box(&sql, attempt).await,
            };
            let mut journal = self.journal.borrow_mut();
            match answer {
                Ok(_) => {
                    journal.sold.insert(key.clone());
                }
                Err(error) => next = Err(record_error(&mut journal, &error)),
            }
        }
        next
    }

    async fn sell_on_other_box(
        &self,
        sql: &str,
        attempt: u32,
    ) -> Result<super::client::Answer, ClientError> {
        let at = self.boxes[(self.box_index + attempt as usize) % self.boxes.len()];
        let mut client = Client::connect(at, &self.partner, &self.group, None).await?;
        client.query(sql).await
    }
}

/// What a session does next after an error.
enum NextStep {
    /// Continues on the same connection after a pause.
    Retry(Duration),
    /// Connects to the next box.
    SwitchBox,
}

/// Counts an error and returns what the session does next.
fn record_error(journal: &mut Journal, error: &ClientError) -> NextStep {
    let code = match error {
        ClientError::Lost(_) => "lost".to_owned(),
        ClientError::Sql { code, .. } => code.clone(),
    };
    *journal.errors.entry(code).or_default() += 1;
    match error {
        ClientError::Lost(_) => NextStep::SwitchBox,
        _ if error.code() == state::UNKNOWN => NextStep::Retry(RETRY_PAUSE),
        _ => NextStep::Retry(
            error
                .retry_after()
                .unwrap_or(RETRY_PAUSE)
                .min(RETRY_PAUSE * 20),
        ),
    }
}
