//! A client's session.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Client {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub error: Option<String>,
    pub digest: String,
    pub state: String,
}

impl Client {
    /// Opens a session. Gives up when READY takes over 2 s.
    pub fn connect(address: SocketAddr, database: &str) -> std::io::Result<Self> {
        let limit = Duration::from_secs(2);
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        let mut client = Self {
            reader: BufReader::new(stream.try_clone()?),
            writer: stream,
        };
        client
            .writer
            .write_all(format!("CONNECT {database} c1\r\n").as_bytes())?;
        let line = client.line()?;
        match line.starts_with("READY") {
            true => Ok(client),
            false => Err(std::io::Error::other(line)),
        }
    }

    fn line(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(std::io::Error::other("closed"));
        }
        Ok(line.trim_end().to_owned())
    }

    /// Sends a statement and waits for its complete answer.
    pub fn run(&mut self, id: &str, text: &str, limit: Duration) -> std::io::Result<Answer> {
        self.writer.get_ref_timeout(limit)?;
        self.writer
            .write_all(format!("QUERY {id} {text}\r\n").as_bytes())?;
        let mut answer = Answer::default();
        loop {
            let line = self.line()?;
            let (verb, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match verb {
                "DATA" => {}
                "COMPLETE" => answer.digest = rest.to_owned(),
                "ERROR" => answer.error = Some(rest.split(' ').next().unwrap_or("").to_owned()),
                "READY" => {
                    answer.state = rest.split(' ').next().unwrap_or("").to_owned();
                    return Ok(answer);
                }
                _ => return Err(std::io::Error::other(line)),
            }
        }
    }
}

trait Timeout {
    fn get_ref_timeout(&self, limit: Duration) -> std::io::Result<()>;
}

impl Timeout for TcpStream {
    fn get_ref_timeout(&self, limit: Duration) -> std::io::Result<()> {
        self.set_read_timeout(Some(limit))
    }
}
