//! A socket that carries PostgreSQL messages, either end of it.

use std::io;

use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::startup::Startup;
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage,
};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

const BUFFER_BYTES: usize = 8 * 1024;
/// A caller's queued answer is written out beyond this many bytes.
pub const FLUSH_THRESHOLD_BYTES: usize = 64 * 1024;

/// Anything that carries bytes both ways: a socket, with or without TLS.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

/// Why a channel can't go on.
#[derive(Debug, thiserror::Error)]
pub enum ChannelError {
    #[error("connection lost: {0}")]
    Io(#[from] io::Error),
    #[error("the other side closed the connection")]
    Closed,
    #[error("malformed message: {0}")]
    Malformed(#[from] PgWireError),
    #[error("unexpected message: {0}")]
    Unexpected(String),
}

/// How a caller opened its connection.
pub enum Opening {
    Startup(Startup),
    Cancel { pid: i32, secret: i32 },
}

/// One end of a connection with its buffers.
pub struct Channel {
    stream: Box<dyn Stream>,
    input: BytesMut,
    output: BytesMut,
    context: DecodeContext,
}

impl Channel {
    pub fn new(stream: Box<dyn Stream>) -> Self {
        Self {
            stream,
            input: BytesMut::with_capacity(BUFFER_BYTES),
            output: BytesMut::with_capacity(BUFFER_BYTES),
            context: DecodeContext::default(),
        }
    }

    /// Reads a caller's opening, declining encryption.
    pub async fn read_opening(&mut self) -> Result<Opening, ChannelError> {
        loop {
            match self.read_frontend().await? {
                PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                    self.context.awaiting_frontend_ssl = false;
                }
                PgWireFrontendMessage::SslNegotiation(_) => self.stream.write_all(b"N").await?,
                PgWireFrontendMessage::Startup(startup) => {
                    self.context.awaiting_frontend_startup = false;
                    return Ok(Opening::Startup(startup));
                }
                PgWireFrontendMessage::CancelRequest(cancel) => {
                    let secret = cancel.secret_key.as_i32().unwrap_or_default();
                    return Ok(Opening::Cancel {
                        pid: cancel.pid,
                        secret,
                    });
                }
                other => return Err(ChannelError::Unexpected(format!("{other:?}"))),
            }
        }
    }

    /// Takes this end for the one that opened the connection.
    pub fn mark_started(&mut self) {
        self.context.awaiting_frontend_ssl = false;
        self.context.awaiting_frontend_startup = false;
    }

    /// Next message of a caller.
    pub async fn read_frontend(&mut self) -> Result<PgWireFrontendMessage, ChannelError> {
        loop {
            if let Some(message) = PgWireFrontendMessage::decode(&mut self.input, &self.context)? {
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    /// Next message of a member.
    pub async fn read_backend(&mut self) -> Result<PgWireBackendMessage, ChannelError> {
        loop {
            if let Some(message) = PgWireBackendMessage::decode(&mut self.input, &self.context)? {
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    /// Waits for the other side to send or close. Cancel-safe.
    pub async fn fill(&mut self) -> Result<(), ChannelError> {
        match self.stream.read_buf(&mut self.input).await? {
            0 => Err(ChannelError::Closed),
            _ => Ok(()),
        }
    }

    /// Whether bytes wait that nobody asked for.
    pub fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    pub fn queue_backend(&mut self, message: &PgWireBackendMessage) -> Result<(), ChannelError> {
        Ok(message.encode(&mut self.output)?)
    }

    pub fn queue_frontend(&mut self, message: &PgWireFrontendMessage) -> Result<(), ChannelError> {
        Ok(message.encode(&mut self.output)?)
    }

    pub fn queue_bytes(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    pub fn queued_bytes(&self) -> usize {
        self.output.len()
    }

    pub async fn flush(&mut self) -> Result<(), ChannelError> {
        if self.output.is_empty() {
            return Ok(());
        }
        self.stream.write_all(&self.output).await?;
        self.output.clear();
        Ok(())
    }
}
