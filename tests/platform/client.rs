//! A caller that speaks the line protocol.

use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::framing::{self, Lines, frame};

/// Longer than any answer of a box takes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Error codes which guarantee that the statement had no effect.
pub const NO_EFFECT_CODES: [&str; 6] = [
    "RETRY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "WRONGNODE",
    "OVERLOAD",
];

/// The whole answer to a statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    pub rows: Vec<String>,
    /// Digest of a statement that succeeded.
    pub digest: Option<String>,
    /// Code of the error of a statement that failed.
    pub error: Option<String>,
    /// Transaction state: `I` for idle, `T` in a transaction, `E` in a failed one.
    pub state: String,
}

/// A connection to a box.
pub struct Client {
    lines: Lines<OwnedReadHalf>,
    write: OwnedWriteHalf,
    /// Number of the last statement.
    last_id: u64,
    name: &'static str,
    /// Splits what is sent into random pieces.
    split: Option<SmallRng>,
}

impl Client {
    /// Opens a session. The error is the box's refusal.
    pub async fn connect(
        address: SocketAddr,
        database: &str,
        name: &'static str,
    ) -> Result<Self, String> {
        let mut client = Self::connect_raw(address, name).await?;
        client.send(&format!("CONNECT {database} {name}")).await?;
        match client.read_line().await? {
            ready if ready.starts_with("READY I") => Ok(client),
            refusal => Err(refusal),
        }
    }

    /// Opens a connection and sends nothing.
    pub async fn connect_raw(address: SocketAddr, name: &'static str) -> Result<Self, String> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| error.to_string())?;
        stream
            .set_nodelay(true)
            .map_err(|error| error.to_string())?;
        let (read, write) = stream.into_split();
        Ok(Self {
            lines: Lines::new(read),
            write,
            last_id: 0,
            name,
            split: None,
        })
    }

    /// Sends from now on in random pieces.
    pub fn split_writes(&mut self, seed: u64) {
        self.split = Some(SmallRng::seed_from_u64(seed));
    }

    /// Sends a line.
    pub async fn send(&mut self, line: &str) -> Result<(), String> {
        let sent = framing::write(&mut self.write, &frame(line), self.split.as_mut()).await;
        sent.map_err(|error| error.to_string())
    }

    /// Reads a line.
    pub async fn read_line(&mut self) -> Result<String, String> {
        let line = tokio::time::timeout(ANSWER_TIMEOUT, self.lines.next()).await;
        let line = line.map_err(|_| "no answer".to_owned())?;
        let line = line.map_err(|error| error.to_string())?;
        line.ok_or_else(|| "closed".to_owned())
    }

    /// Reads one whole answer.
    pub async fn read_answer(&mut self) -> Result<Answer, String> {
        let mut answer = Answer::default();
        loop {
            let line = self.read_line().await?;
            let (verb, rest) = line.split_once(' ').unwrap_or((&line, ""));
            let first = rest.split(' ').next().unwrap_or_default().to_owned();
            match verb {
                "DATA" => answer.rows.push(rest.to_owned()),
                "COMPLETE" => answer.digest = Some(first),
                "ERROR" => answer.error = Some(first),
                "READY" => {
                    answer.state = first;
                    return Ok(answer);
                }
                _ => return Err(line),
            }
        }
    }

    /// Runs a statement under the next id.
    pub async fn run(&mut self, text: &str) -> Result<Answer, String> {
        self.last_id += 1;
        let id = format!("{}-{}", self.name, self.last_id);
        self.send(&format!("QUERY {id} {text}")).await?;
        self.read_answer().await
    }

    /// Returns the id of the last statement that was run.
    pub fn last_id(&self) -> String {
        format!("{}-{}", self.name, self.last_id)
    }
}
