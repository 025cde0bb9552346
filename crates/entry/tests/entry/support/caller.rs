//! A caller that writes raw bytes and reads raw answers.

use std::net::SocketAddr;

use almondpass_schema::model;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// An answer as it came over the wire.
#[derive(Clone, Debug)]
pub(crate) struct RawAnswer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    /// Whether it came to its end, rather than breaking off.
    pub(crate) whole: bool,
}

impl RawAnswer {
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        super::upstream::header(&self.head, name)
    }

    pub(crate) fn problem(&self) -> model::ProblemDetails {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|it| panic!("expected a problem, found {self:?}: {it}"))
    }
}

pub(crate) struct RawCaller {
    pub(crate) stream: TcpStream,
    buffer: Vec<u8>,
}

impl RawCaller {
    pub(crate) async fn connect(address: SocketAddr) -> RawCaller {
        let stream = TcpStream::connect(address).await.expect("the entry listens");
        RawCaller { stream, buffer: Vec::new() }
    }

    pub(crate) async fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).await.expect("the entry reads");
    }

    /// Writes what the entry may refuse to read.
    pub(crate) async fn try_write(&mut self, bytes: impl AsRef<[u8]>) {
        let _ = self.stream.write_all(bytes.as_ref()).await;
    }

    async fn fill(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.buffer).await, Ok(n_bytes) if 0 < n_bytes)
    }

    /// The next answer; `None` where the connection ends before one.
    pub(crate) async fn read(&mut self) -> Option<RawAnswer> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|it| it == b"\r\n\r\n") {
                break end + 4;
            }
            if !self.fill().await {
                return None;
            }
        };
        let head = String::from_utf8(self.buffer.drain(..end).collect()).expect("a readable head");
        let status = head.split(' ').nth(1)?.parse::<u16>().ok()?;
        let (body, whole) = match super::upstream::header(&head, "content-length") {
            Some(length) => self.read_sized(length.parse::<usize>().ok()?).await,
            None => self.read_chunks().await,
        };
        Some(RawAnswer { status, head, body, whole })
    }

    async fn read_sized(&mut self, length: usize) -> (Vec<u8>, bool) {
        while self.buffer.len() < length {
            if !self.fill().await {
                return (std::mem::take(&mut self.buffer), false);
            }
        }
        (self.buffer.drain(..length).collect(), true)
    }

    async fn read_chunks(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") else {
                if !self.fill().await {
                    return (body, false);
                }
                continue;
            };
            let size = std::str::from_utf8(&self.buffer[..end]).unwrap_or_default();
            let Ok(size) = usize::from_str_radix(size, 16) else {
                return (body, false);
            };
            while self.buffer.len() < end + 4 + size {
                if !self.fill().await {
                    return (body, false);
                }
            }
            body.extend_from_slice(&self.buffer[end + 2..end + 2 + size]);
            self.buffer.drain(..end + 4 + size);
            if size == 0 {
                return (body, true);
            }
        }
    }

    /// Whether the entry has closed the connection.
    pub(crate) async fn closed(&mut self) -> bool {
        self.buffer.is_empty() && !self.fill().await
    }
}
