//! The extent and the form of a message.
//!
//! The decoder of `pgwire` reads a message's fields wherever they lead: past the message's end, or
//! short of it, so that the rest is taken for the next message. A message is therefore cut off by
//! its length, and its fields must fill it exactly, before it is decoded.

/// Bytes of the kind and the length in front of a message's body.
const HEADER_BYTES: usize = 5;
/// Bytes of a column's description after its name.
const COLUMN_BYTES: usize = 18;
/// Kind of the authentication request that brings a salt.
const MD5_PASSWORD: u32 = 5;

/// Why a message is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("a message of length {0}, less than the length field itself")]
    Length(i32),
    #[error("the fields of message {0:?} don't end where it ends")]
    Fields(char),
    #[error("text in message {0:?} is not valid UTF-8")]
    Text(char),
}

/// Which end sent a message: some kinds mean one message of a caller and another of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    Caller,
    Member,
}

/// Returns the number of bytes of the message at the start of the input, or none if it is not
/// complete yet.
pub fn length(input: &[u8]) -> Result<Option<usize>, FrameError> {
    let [_, a, b, c, d, ..] = *input else {
        return Ok(None);
    };
    let length = i32::from_be_bytes([a, b, c, d]);
    if length < 4 {
        return Err(FrameError::Length(length));
    }
    let length = 1 + length as usize;
    Ok((input.len() >= length).then_some(length))
}

/// Checks that the fields of a whole message end where the message ends, and that a caller's text,
/// which is encoded again for the member, is UTF-8.
pub fn check(message: &[u8], sender: Sender) -> Result<(), FrameError> {
    let kind = char::from(message[0]);
    let mut fields = Fields {
        rest: &message[HEADER_BYTES..],
        text_is_valid: true,
    };
    let parsed = match sender {
        Sender::Caller => fields.take_frontend(message[0]),
        Sender::Member => fields.take_backend(message[0]),
    };
    if parsed.is_none() || !fields.rest.is_empty() {
        return Err(FrameError::Fields(kind));
    }
    match sender {
        Sender::Caller if !fields.text_is_valid => Err(FrameError::Text(kind)),
        _ => Ok(()),
    }
}

/// The fields of a message that are not parsed yet. Each method returns none if the message ends
/// before the field does.
struct Fields<'a> {
    rest: &'a [u8],
    text_is_valid: bool,
}

impl Fields<'_> {
    fn take_frontend(&mut self, kind: u8) -> Option<()> {
        match kind {
            b'Q' => self.text(),
            b'P' => {
                self.texts(2)?;
                self.list(|fields| fields.skip(4))
            }
            b'B' => {
                self.texts(2)?;
                self.list(|fields| fields.skip(2))?;
                self.list(Self::value)?;
                self.list(|fields| fields.skip(2))
            }
            b'D' | b'C' => {
                self.skip(1)?;
                self.text()
            }
            b'E' => {
                self.text()?;
                self.skip(4)
            }
            b'S' | b'H' | b'X' | b'c' => Some(()),
            _ => self.skip(self.rest.len()),
        }
    }

    fn take_backend(&mut self, kind: u8) -> Option<()> {
        match kind {
            b'Z' => self.skip(1),
            b'C' => self.text(),
            b'S' => self.texts(2),
            b'T' => self.list(|fields| {
                fields.text()?;
                fields.skip(COLUMN_BYTES)
            }),
            b'D' => self.list(Self::value),
            b't' => self.list(|fields| fields.skip(4)),
            b'A' => {
                self.skip(4)?;
                self.texts(2)
            }
            b'E' | b'N' => {
                while *self.rest.first()? != 0 {
                    self.skip(1)?;
                    self.text()?;
                }
                self.skip(1)
            }
            b'1' | b'2' | b'3' | b'n' | b'I' | b's' | b'c' => Some(()),
            b'R' => self.authentication(),
            b'K' => {
                self.skip(8)?;
                self.skip(self.rest.len())
            }
            b'G' | b'H' | b'W' => {
                self.skip(1)?;
                self.list(|fields| fields.skip(2))
            }
            b'd' => self.skip(self.rest.len()),
            // The decoder may read past the end of a message whose fields are unknown here.
            _ => None,
        }
    }

    /// Takes the kind of an authentication request, and what it requires.
    fn authentication(&mut self) -> Option<()> {
        let (kind, rest) = self.rest.split_first_chunk::<4>()?;
        self.rest = rest;
        match u32::from_be_bytes(*kind) {
            MD5_PASSWORD => self.skip(4),
            _ => self.skip(self.rest.len()),
        }
    }

    fn skip(&mut self, count: usize) -> Option<()> {
        self.rest = self.rest.get(count..)?;
        Some(())
    }

    /// Takes text up to its NUL.
    fn text(&mut self) -> Option<()> {
        let end = self.rest.iter().position(|byte| *byte == 0)?;
        self.text_is_valid &= std::str::from_utf8(&self.rest[..end]).is_ok();
        self.skip(end + 1)
    }

    fn texts(&mut self, count: usize) -> Option<()> {
        (0..count).try_for_each(|_| self.text())
    }

    /// Takes a number of items, and that many items.
    fn list(&mut self, mut item: impl FnMut(&mut Self) -> Option<()>) -> Option<()> {
        let (count, rest) = self.rest.split_first_chunk::<2>()?;
        self.rest = rest;
        (0..u16::from_be_bytes(*count)).try_for_each(|_| item(self))
    }

    /// Takes a value after its length; a length of -1 means NULL.
    fn value(&mut self) -> Option<()> {
        let (length, rest) = self.rest.split_first_chunk::<4>()?;
        self.rest = rest;
        match i32::from_be_bytes(*length) {
            -1 => Some(()),
            length => self.skip(usize::try_from(length).ok()?),
        }
    }
}
