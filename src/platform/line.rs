//! Line-based transport over a TCP stream, used for callers and for members.
//!
//! A line ends with CR LF. A line feed or a carriage return alone is part of its text.

use std::io;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const LINE_ENDING: &str = "\r\n";
/// Longest text of a line.
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

/// Why a text can't be sent as one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("a text of more than {MAX_LINE_BYTES} bytes")]
    TooLong,
    #[error("a text that contains a line ending")]
    LineEnding,
}

/// Lines to be written at once. Each text ends where its line ends.
#[derive(Clone, Debug, Default)]
pub struct Frames {
    bytes: Vec<u8>,
}

impl Frames {
    pub fn new(text: &str) -> Result<Self, FrameError> {
        let mut frames = Self::default();
        frames.push(text)?;
        Ok(frames)
    }

    /// Appends a line.
    pub fn push(&mut self, text: &str) -> Result<(), FrameError> {
        if text.len() > MAX_LINE_BYTES {
            return Err(FrameError::TooLong);
        }
        if text.contains(LINE_ENDING) {
            return Err(FrameError::LineEnding);
        }
        self.bytes.extend_from_slice(text.as_bytes());
        self.bytes.extend_from_slice(LINE_ENDING.as_bytes());
        Ok(())
    }

    /// Appends a line that only a person reads, without the line endings that its text contains.
    pub fn push_error(&mut self, text: &str) {
        let text = text.replace(LINE_ENDING, " ");
        let shown = text.floor_char_boundary(MAX_LINE_BYTES);
        self.push(&text[..shown])
            .expect("neither too long nor with line endings");
    }

    /// Appends other lines.
    pub fn append(&mut self, mut other: Frames) {
        self.bytes.append(&mut other.bytes);
    }

    /// Returns the lines with their line endings.
    pub fn into_bytes(self) -> Bytes {
        self.bytes.into()
    }

    /// Appends lines that were received, with their line endings.
    pub fn push_received(&mut self, lines: &[u8]) {
        self.bytes.extend_from_slice(lines);
    }
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

/// Returns the length of the first line, if it ends after the first `from` bytes.
fn find_line_ending(input: &[u8], from: usize) -> Option<usize> {
    let newlines = (from..input.len()).filter(|at| input[*at] == b'\n');
    newlines
        .filter_map(|at| at.checked_sub(1))
        .find(|before| input[*before] == b'\r')
}

/// One end of a connection, with its input buffer.
pub struct Channel {
    stream: TcpStream,
    input: BytesMut,
    /// Length of the input's prefix that is known to contain no line ending.
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
        let Some(length) = find_line_ending(&self.input, self.scanned) else {
            self.scanned = self.input.len();
            return match self.scanned >= MAX_LINE_BYTES + LINE_ENDING.len() {
                true => Err(LineError::TooLong),
                false => Ok(None),
            };
        };
        let line = self.input.split_to(length);
        self.input.advance(LINE_ENDING.len());
        self.scanned = 0;
        if self.input.is_empty() {
            self.input = BytesMut::new();
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

    pub async fn write(&mut self, frames: &Frames) -> Result<(), LineError> {
        self.stream.write_all(&frames.bytes).await?;
        Ok(())
    }
}
