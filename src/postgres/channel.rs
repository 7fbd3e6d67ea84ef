//! Buffered exchange of PostgreSQL messages over a byte stream, for either end of a connection.

use std::io;
use std::ops::RangeInclusive;

use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::startup::Startup;
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage,
};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use super::frame::{self, FrameError, Sender};

/// Lengths that an opening message may have.
const OPENING_BYTES: RangeInclusive<i32> = 8..=10_000;
const INITIAL_BUFFER_BYTES: usize = 8 * 1024;
/// Amount of queued output above which a sender flushes.
pub const FLUSH_THRESHOLD_BYTES: usize = 64 * 1024;

/// A bidirectional byte stream, such as a TCP or TLS socket.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

/// An error after which a channel can't be used any more.
#[derive(Debug, thiserror::Error)]
pub enum ChannelError {
    #[error("connection lost: {0}")]
    Io(#[from] io::Error),
    #[error("the other side closed the connection")]
    Closed,
    #[error("malformed message: {0}")]
    Malformed(String),
    #[error("unexpected message: {0}")]
    Unexpected(String),
}

impl From<PgWireError> for ChannelError {
    fn from(error: PgWireError) -> Self {
        Self::Malformed(error.to_string())
    }
}

impl From<FrameError> for ChannelError {
    fn from(error: FrameError) -> Self {
        Self::Malformed(error.to_string())
    }
}

/// The first message of a connection, after encryption was negotiated.
pub enum Opening {
    Startup(Startup),
    Cancel { pid: i32, secret: i32 },
}

/// One end of a connection, with its input and output buffers.
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
            input: BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
            output: BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
            context: DecodeContext::default(),
        }
    }

    /// Reads a caller's opening message; requests for encryption are declined.
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

    /// Skips the start-up phase of the decoder, for the end that opened the connection.
    pub fn mark_started(&mut self) {
        self.context.awaiting_frontend_ssl = false;
        self.context.awaiting_frontend_startup = false;
    }

    /// Reads the next message of a caller.
    pub async fn read_frontend(&mut self) -> Result<PgWireFrontendMessage, ChannelError> {
        loop {
            if let Some(message) = self.decode_frontend()? {
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    fn decode_frontend(&mut self) -> Result<Option<PgWireFrontendMessage>, ChannelError> {
        if self.context.awaiting_frontend_ssl || self.context.awaiting_frontend_startup {
            return self.decode_opening();
        }
        let Some(mut message) = self.take_message(Sender::Caller)? else {
            // The decoder refuses an unknown kind or an excessive length before the message is
            // complete.
            return Ok(PgWireFrontendMessage::decode(
                &mut self.input,
                &self.context,
            )?);
        };
        Ok(PgWireFrontendMessage::decode(&mut message, &self.context)?)
    }

    /// Decodes a message of the opening, which has no kind.
    fn decode_opening(&mut self) -> Result<Option<PgWireFrontendMessage>, ChannelError> {
        let Some((length, _)) = self.input.split_first_chunk::<4>() else {
            return Ok(None);
        };
        let length = i32::from_be_bytes(*length);
        if !OPENING_BYTES.contains(&length) {
            let what = format!("an opening message of length {length}");
            return Err(ChannelError::Malformed(what));
        }
        // The decoder looks for a request for encryption without taking other messages.
        if self.context.awaiting_frontend_ssl {
            let input = &mut self.input;
            return Ok(PgWireFrontendMessage::decode(input, &self.context)?);
        }
        if self.input.len() < length as usize {
            return Ok(None);
        }
        let mut message = self.input.split_to(length as usize);
        let decoded = PgWireFrontendMessage::decode(&mut message, &self.context)?;
        if !message.is_empty() {
            let what = "the fields of the opening message don't end where it ends";
            return Err(ChannelError::Malformed(what.to_owned()));
        }
        Ok(decoded)
    }

    /// Reads the next message of a member.
    pub async fn read_backend(&mut self) -> Result<PgWireBackendMessage, ChannelError> {
        self.read_backend_into(&mut BytesMut::new()).await
    }

    /// Reads the next message of a member, and appends its bytes to `copy` as they came.
    pub async fn read_backend_into(
        &mut self,
        copy: &mut BytesMut,
    ) -> Result<PgWireBackendMessage, ChannelError> {
        loop {
            if let Some(message) = self.decode_backend(copy)? {
                return Ok(message);
            }
            self.fill().await?;
        }
    }

    /// Decodes the next message of a member from the input, if it is complete.
    pub fn decode_backend(
        &mut self,
        copy: &mut BytesMut,
    ) -> Result<Option<PgWireBackendMessage>, ChannelError> {
        let Some(mut message) = self.take_message(Sender::Member)? else {
            return Ok(PgWireBackendMessage::decode(
                &mut self.input,
                &self.context,
            )?);
        };
        copy.extend_from_slice(&message);
        Ok(PgWireBackendMessage::decode(&mut message, &self.context)?)
    }

    /// Cuts the first message off the input, if it is complete.
    fn take_message(&mut self, sender: Sender) -> Result<Option<BytesMut>, ChannelError> {
        let Some(length) = frame::length(&self.input)? else {
            return Ok(None);
        };
        let message = self.input.split_to(length);
        frame::check(&message, sender)?;
        Ok(Some(message))
    }

    /// Reads more input into the buffer; fails once the other side has closed. Cancel-safe.
    pub async fn fill(&mut self) -> Result<(), ChannelError> {
        match self.stream.read_buf(&mut self.input).await? {
            0 => Err(ChannelError::Closed),
            _ => Ok(()),
        }
    }

    /// Whether the buffer holds input that has not been decoded.
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

    /// Removes the queued output and returns it.
    pub fn take_queued(&mut self) -> BytesMut {
        self.output.split()
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
