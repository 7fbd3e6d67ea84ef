//! A caller that speaks lines.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Nothing of ours takes longer; a test that waits this long has failed.
const WAIT: Duration = Duration::from_secs(20);

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    pub rows: Vec<String>,
    /// Digest of a success.
    pub digest: Option<String>,
    /// Code of an error.
    pub error: Option<String>,
    pub state: String,
}

/// An open session.
pub struct Client {
    lines: Lines<BufReader<OwnedReadHalf>>,
    write: OwnedWriteHalf,
    next: u64,
    name: &'static str,
}

impl Client {
    /// Opens a session; the error is the line that refused it.
    pub async fn connect(
        address: SocketAddr,
        database: &str,
        name: &'static str,
    ) -> Result<Self, String> {
        let mut client = Self::connect_raw(address, name).await?;
        client.send(&format!("CONNECT {database} {name}")).await?;
        match client.read_line().await? {
            ready if ready.starts_with("READY I") => Ok(client),
            other => Err(other),
        }
    }

    /// A connection that has said nothing yet.
    pub async fn connect_raw(address: SocketAddr, name: &'static str) -> Result<Self, String> {
        let stream = TcpStream::connect(address).await;
        let (read, write) = stream.map_err(|error| error.to_string())?.into_split();
        Ok(Self {
            lines: BufReader::new(read).lines(),
            write,
            next: 0,
            name,
        })
    }

    pub async fn send(&mut self, line: &str) -> Result<(), String> {
        let sent = self.write.write_all(format!("{line}\r\n").as_bytes()).await;
        sent.map_err(|error| error.to_string())
    }

    pub async fn read_line(&mut self) -> Result<String, String> {
        let line = tokio::time::timeout(WAIT, self.lines.next_line()).await;
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

    /// Runs one statement.
    pub async fn run(&mut self, text: &str) -> Result<Answer, String> {
        self.next += 1;
        let id = format!("{}-{}", self.name, self.next);
        self.send(&format!("QUERY {id} {text}")).await?;
        self.read_answer().await
    }

    /// Id of the last statement.
    pub fn last_id(&self) -> String {
        format!("{}-{}", self.name, self.next)
    }
}
