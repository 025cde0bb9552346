//! Minimal HTTP/1.1: a server whose handler may also end the connection without an answer, and a client that
//! makes one call per connection.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time;

/// A request with its complete body. Header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or_default()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// What a server does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    Answer(u16, String),
    /// The connection delivers nothing further and stays open.
    Silence,
}

impl Reply {
    pub fn json(status: u16, body: &Value) -> Reply {
        Reply::Answer(status, body.to_string())
    }

    pub fn empty(status: u16) -> Reply {
        Reply::Answer(status, String::new())
    }
}

/// A server; dropping it closes its listener and all its connections.
#[derive(Debug)]
pub struct Server {
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves `listener`. A handler runs to its end even if the client hangs up.
pub fn serve<H, F>(listener: TcpListener, handler: H) -> Server
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let handler = Arc::new(handler);
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let handler = Arc::clone(&handler);
            connections.spawn(async move {
                let _ = serve_connection(stream, handler).await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Server { task }
}

async fn serve_connection<H, F>(mut stream: TcpStream, handler: Arc<H>) -> io::Result<()>
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await? {
        let handled = tokio::spawn(handler(request)).await;
        match handled.unwrap_or(Reply::Silence) {
            Reply::Answer(status, body) => {
                let length = body.len();
                let text = format!(
                    "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
                );
                stream.write_all(text.as_bytes()).await?;
            }
            Reply::Silence => {
                let mut rest = [0; 1024];
                while stream.read(&mut rest).await? > 0 {}
                return Ok(());
            }
        }
    }
    Ok(())
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    loop {
        if let Some((request, length)) = parse_request(buffer) {
            buffer.drain(..length);
            return Ok(Some(request));
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

fn parse_request(buffer: &[u8]) -> Option<(Request, usize)> {
    let (first, headers, head_length) = parse_head(buffer)?;
    let mut words = first.split(' ');
    let uri = words.nth(1)?.to_owned();
    let body_length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let body = buffer.get(head_length..head_length + body_length)?.to_vec();
    let (path, query) = uri.split_once('?').unwrap_or((&uri, ""));
    let query = form_urlencoded::parse(query.as_bytes()).into_owned().collect();
    let request = Request { path: path.to_owned(), query, headers, body };
    Some((request, head_length + body_length))
}

fn parse_head(buffer: &[u8]) -> Option<(String, BTreeMap<String, String>, usize)> {
    let length = buffer.windows(4).position(|it| it == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..length]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers = lines.filter_map(|it| it.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
    Some((first, headers.collect(), length))
}

/// A call of a client: its status and body, or why there was no complete answer.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    patience: Duration,
) -> Result<(u16, String), String> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.map_err(|it| it.to_string())?;
        let headers = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
        let headers = headers.collect::<String>();
        let length = body.len();
        let text = format!(
            "{method} {path} HTTP/1.1\r\n{headers}content-type: application/json\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
        );
        stream.write_all(text.as_bytes()).await.map_err(|it| it.to_string())?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.map_err(|it| it.to_string())?;
        let (first, headers, head_length) =
            parse_head(&answer).ok_or("connection closed without an answer")?;
        let status = first.split(' ').nth(1).and_then(|it| it.parse().ok());
        let status = status.ok_or("malformed answer")?;
        let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let body = answer.get(head_length..head_length + length).ok_or("incomplete answer")?;
        Ok((status, String::from_utf8_lossy(body).into_owned()))
    };
    time::timeout(patience, exchange)
        .await
        .unwrap_or_else(|_| Err(format!("no answer within {patience:?}; the client leaves")))
}
