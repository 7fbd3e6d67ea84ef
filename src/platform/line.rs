//! A socket that carries lines, either end of it.

use std::io;

use bytes::{Buf, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Longest message, in bytes.
pub const MOST_LINE: usize = 1024 * 1024;
/// Room made before each read; an idle connection holds none.
const READ_ROOM: usize = 2 * 1024;

/// Why a channel can't go on.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    #[error("connection lost: {0}")]
    Io(#[from] io::Error),
    #[error("the other side closed the connection")]
    Closed,
    #[error("a line of more than {MOST_LINE} bytes")]
    TooLong,
    #[error("a line that is no text")]
    NoText,
}

/// One end of a connection with its buffers.
pub struct Channel {
    stream: TcpStream,
    input: BytesMut,
    /// Bytes of the input that are known to hold no line's end.
    searched: usize,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            input: BytesMut::new(),
            searched: 0,
        }
    }

    /// Next line without its end. Cancel-safe.
    pub async fn read(&mut self) -> Result<String, LineError> {
        loop {
            if let Some(line) = self.take()? {
                return Ok(line);
            }
            self.fill().await?;
        }
    }

    fn take(&mut self) -> Result<Option<String>, LineError> {
        let fresh = &self.input[self.searched..];
        let Some(end) = fresh.iter().position(|byte| *byte == b'\n') else {
            self.searched = self.input.len();
            return match self.searched > MOST_LINE {
                true => Err(LineError::TooLong),
                false => Ok(None),
            };
        };
        let mut line = self.input.split_to(self.searched + end);
        self.input.advance(1);
        self.searched = 0;
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        if line.len() > MOST_LINE {
            return Err(LineError::TooLong);
        }
        let text = String::from_utf8(line.to_vec());
        text.map(Some).map_err(|_| LineError::NoText)
    }

    async fn fill(&mut self) -> Result<(), LineError> {
        loop {
            self.stream.readable().await?;
            self.input.reserve(READ_ROOM);
            match self.stream.try_read_buf(&mut self.input) {
                Ok(0) => return Err(LineError::Closed),
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Returns when the other side is gone. What it sends meanwhile is kept.
    pub async fn gone(&mut self) -> LineError {
        loop {
            if self.input.len() > MOST_LINE {
                return LineError::TooLong;
            }
            if let Err(error) = self.fill().await {
                return error;
            }
        }
    }

    /// Whether nothing came that nobody asked for, the end included.
    pub fn is_quiet(&mut self) -> bool {
        if !self.input.is_empty() {
            return false;
        }
        let read = self.stream.try_read_buf(&mut self.input);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), LineError> {
        self.stream.write_all(bytes).await?;
        Ok(())
    }
}
