//! Framing of the line protocol for the stand-ins. It is independent of the code under test, so
//! that the two can disagree. A line ends at CR LF and nowhere else: a bare LF or CR is data.

use std::io::{Error, ErrorKind, Result};
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;

/// The end of a line.
const END: &str = "\r\n";
/// Longest piece of a split write.
const MAX_PIECE: usize = 9;

/// Reads lines.
pub struct Lines<R> {
    read: R,
    received: Vec<u8>,
}

impl<R: AsyncRead + Unpin> Lines<R> {
    pub fn new(read: R) -> Self {
        let received = Vec::new();
        Self { read, received }
    }

    /// Reads the next line, without its end. Returns `None` when the connection has ended before
    /// the end of a line. Cancel-safe.
    pub async fn next(&mut self) -> Result<Option<String>> {
        loop {
            let end = self.received.windows(END.len()).position(is_end);
            if let Some(end) = end {
                let line: Vec<u8> = self.received.drain(..end + END.len()).take(end).collect();
                let text = String::from_utf8(line);
                return text
                    .map(Some)
                    .map_err(|error| Error::new(ErrorKind::InvalidData, error));
            }
            if self.read.read_buf(&mut self.received).await? == 0 {
                return Ok(None);
            }
        }
    }
}

fn is_end(bytes: &[u8]) -> bool {
    bytes == END.as_bytes()
}

/// Returns the bytes of a line.
pub fn frame(line: &str) -> Vec<u8> {
    assert!(!line.contains(END), "the end of a line within {line:?}");
    [line.as_bytes(), END.as_bytes()].concat()
}

/// Writes bytes at once or, given a random generator, in random pieces.
pub async fn write(
    half: &mut OwnedWriteHalf,
    bytes: &[u8],
    split: Option<&mut SmallRng>,
) -> Result<()> {
    let Some(rng) = split else {
        return half.write_all(bytes).await;
    };
    let mut rest = bytes;
    while !rest.is_empty() {
        let length = rng.random_range(1..=MAX_PIECE.min(rest.len()));
        half.write_all(&rest[..length]).await?;
        rest = &rest[length..];
        match rng.random_bool(0.1) {
            true => tokio::time::sleep(Duration::from_millis(1)).await,
            false => tokio::task::yield_now().await,
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::Lines;

    async fn lines(reads: &[&[u8]]) -> Vec<String> {
        let mut builder = Vec::new();
        let (mut near, far) = tokio::io::duplex(64);
        let sent: Vec<Vec<u8>> = reads.iter().map(|bytes| bytes.to_vec()).collect();
        tokio::spawn(async move {
            for bytes in sent {
                tokio::io::AsyncWriteExt::write_all(&mut near, &bytes)
                    .await
                    .expect("the reader is there");
                tokio::task::yield_now().await;
            }
        });
        let mut lines = Lines::new(far);
        while let Some(line) = lines.next().await.expect("text") {
            builder.push(line);
        }
        builder
    }

    #[gtest]
    #[tokio::test]
    async fn a_line_ends_at_cr_lf_alone_however_the_reads_are_split() {
        let bytes = b"a\nb\rc\r\r\n\r\n\nd\r\nrest";
        let expected = ["a\nb\rc\r", "", "\nd"];
        expect_that!(lines(&[bytes]).await, eq(&expected));
        for cut in 0..bytes.len() {
            let (left, right) = bytes.split_at(cut);
            expect_that!(lines(&[left, right]).await, eq(&expected), "cut at {cut}");
        }
    }
}
