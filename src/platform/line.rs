//! Line-based transport over a TCP stream, used for callers and for members.

use std::io;

use bytes::{Buf, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Longest accepted line.
pub const MAX_LINE_BYTES: usize = 1024 * 1024;
/// Buffer capacity reserved before each read. Idle connections keep no buffer.
const READ_RESERVE_BYTES: usize = 2 * 1024;

/// Longest excerpt of a message in a log line, in bytes.
const MAX_EXCERPT_BYTES: usize = 80;

/// Returns the beginning of a message for a log line, with control characters escaped.
pub fn excerpt(message: &[u8]) -> String {
    let shown = &message[..message.len().min(MAX_EXCERPT_BYTES)];
    shown.escape_ascii().to_string()
}

/// Why a channel can no longer be used.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    #[error("connection lost: {0}")]
    Io(#[from] io::Error),
    #[error("the other side closed the connection")]
    Closed,
    #[error("a line of more than {MAX_LINE_BYTES} bytes")]
    TooLong,
    #[error("a line that is no text")]
    NotUtf8,
}

/// One end of a connection, with its input buffer.
pub struct Channel {
    stream: TcpStream,
    input: BytesMut,
    /// Length of the input's prefix that is known to contain no newline.
    scanned: usize,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            input: BytesMut::new(),
            scanned: 0,
        }
    }

    /// Reads the next line, without its line ending. Cancel-safe.
    pub async fn read(&mut self) -> Result<String, LineError> {
        loop {
            if let Some(line) = self.take_line()? {
                return Ok(line);
            }
            self.fill().await?;
        }
    }

    fn take_line(&mut self) -> Result<Option<String>, LineError> {
        let unscanned = &self.input[self.scanned..];
        let Some(end) = unscanned.iter().position(|byte| *byte == b'\n') else {
            self.scanned = self.input.len();
            return match self.scanned > MAX_LINE_BYTES {
                true => Err(LineError::TooLong),
                false => Ok(None),
            };
        };
        let mut line = self.input.split_to(self.scanned + end);
        self.input.advance(1);
        self.scanned = 0;
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        if line.len() > MAX_LINE_BYTES {
            return Err(LineError::TooLong);
        }
        let text = String::from_utf8(line.to_vec());
        text.map(Some).map_err(|_| LineError::NotUtf8)
    }

    async fn fill(&mut self) -> Result<(), LineError> {
        loop {
            self.stream.readable().await?;
            self.input.reserve(READ_RESERVE_BYTES);
            match self.stream.try_read_buf(&mut self.input) {
                Ok(0) => return Err(LineError::Closed),
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Waits until the connection is lost or the input grows too long. Input received meanwhile
    /// is kept.
    pub async fn closed(&mut self) -> LineError {
        loop {
            if self.input.len() > MAX_LINE_BYTES {
                return LineError::TooLong;
            }
            if let Err(error) = self.fill().await {
                return error;
            }
        }
    }

    /// Whether the peer has neither sent unexpected data nor closed the connection.
    pub fn is_quiet(&mut self) -> bool {
        if !self.input.is_empty() {
            return false;
        }
        let read = self.stream.try_read_buf(&mut self.input);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns the input that has arrived and was not read, if any.
    pub fn unread(&self) -> Option<&[u8]> {
        (!self.input.is_empty()).then_some(&self.input[..])
    }

    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), LineError> {
        self.stream.write_all(bytes).await?;
        Ok(())
    }
}
