//! HTTP/1.1 over TCP: a small server with a thread per connection, and a client of one request.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

/// A request with its whole body. Header names are in lower case.
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
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// A status and a JSON body; `Null` is sent as no body.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
}

impl Answer {
    pub fn new(status: u16, body: Value) -> Answer {
        Answer { status, body }
    }

    pub fn empty(status: u16) -> Answer {
        Answer { status, body: Value::Null }
    }
}

/// What a door does with its connections.
#[derive(Debug, Default)]
struct DoorState {
    is_down: bool,
    streams: Vec<(u64, TcpStream)>,
}

/// A listening address, the faults of its connections, and nothing else.
#[derive(Clone, Debug)]
pub struct Door {
    pub address: SocketAddr,
    state: Arc<Mutex<DoorState>>,
    /// Connections with a lower number have gone silent: nothing is read from them or written to them.
    silent_below: Arc<AtomicU64>,
    next_number: Arc<AtomicU64>,
}

impl Door {
    /// Listens on a free port of `ip` and answers each request by `handle`.
    pub fn open(ip: &str, handle: impl Fn(Request) -> Answer + Send + Sync + 'static) -> Door {
        let listener = TcpListener::bind((ip, 0)).expect("bind a free port of a loopback address");
        let door = Door {
            address: listener.local_addr().expect("local address"),
            state: Arc::default(),
            silent_below: Arc::default(),
            next_number: Arc::default(),
        };
        let (own, handle) = (door.clone(), Arc::new(handle));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                own.accept(stream, Arc::clone(&handle));
            }
        });
        door
    }

    fn accept<H: Fn(Request) -> Answer + Send + Sync + 'static>(
        &self,
        stream: TcpStream,
        handle: Arc<H>,
    ) {
        let number = self.next_number.fetch_add(1, Ordering::SeqCst);
        let mut state = self.state.lock().unwrap();
        if state.is_down {
            return;
        }
        if let Ok(copy) = stream.try_clone() {
            state.streams.push((number, copy));
        }
        drop(state);
        let door = self.clone();
        let serving = thread::Builder::new().stack_size(256 << 10);
        let _ = serving.spawn(move || {
            let _ = door.serve(number, stream, &*handle);
            door.state.lock().unwrap().streams.retain(|(it, _)| *it != number);
        });
    }

    fn serve(
        &self,
        number: u64,
        mut stream: TcpStream,
        handle: &dyn Fn(Request) -> Answer,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer)? {
            self.stay_silent(number);
            let answer = handle(request);
            self.stay_silent(number);
            stream.write_all(&answer_bytes(&answer))?;
        }
        self.stay_silent(number);
        Ok(())
    }

    /// Does not return for a connection that has gone silent, which stays open.
    fn stay_silent(&self, number: u64) {
        while number < self.silent_below.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_secs(1));
        }
    }

    /// Lets all open connections go silent for good, without a reset. New ones work.
    pub fn silence_open_connections(&self) {
        self.silent_below.store(self.next_number.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Closes all connections and each new one, until `rise`.
    pub fn fall(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_down = true;
        for (_, stream) in state.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn rise(&self) {
        self.state.lock().unwrap().is_down = false;
    }
}

fn answer_bytes(answer: &Answer) -> Vec<u8> {
    let body = if answer.body.is_null() { String::new() } else { answer.body.to_string() };
    let head = format!(
        "HTTP/1.1 {} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        answer.status,
        body.len()
    );
    (head + &body).into_bytes()
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    loop {
        if let Some((request, length)) = parse_request(buffer) {
            buffer.drain(..length);
            return Ok(Some(request));
        }
        let mut bytes = [0; 16 << 10];
        let n = stream.read(&mut bytes)?;
        if n == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&bytes[..n]);
    }
}

fn head_length(buffer: &[u8]) -> Option<usize> {
    Some(buffer.windows(4).position(|it| it == b"\r\n\r\n")? + 4)
}

fn headers_of(head: &str) -> BTreeMap<String, String> {
    let lines = head.split("\r\n").skip(1).filter_map(|it| it.split_once(':'));
    lines.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned())).collect()
}

fn parse_request(buffer: &[u8]) -> Option<(Request, usize)> {
    let head_end = head_length(buffer)?;
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let headers = headers_of(&head);
    let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let body = buffer.get(head_end..head_end + length)?.to_vec();
    let mut words = head.split(' ');
    let uri = words.nth(1)?.to_owned();
    let (path, query) = uri.split_once('?').unwrap_or((&uri, ""));
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    let query = pairs.map(|(name, value)| (decode(name), decode(value))).collect();
    let request = Request { path: path.to_owned(), query, headers, body };
    Some((request, head_end + length))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match escaped.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends one request on a connection of its own. `None` without a whole answer in time.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let deadline = Instant::now() + timeout;
    let address = address.parse::<SocketAddr>().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all(format!("{head}\r\n{body}").as_bytes()).ok()?;
    let mut buffer = Vec::new();
    loop {
        if let Some(answer) = parse_answer(&buffer) {
            return Some(answer);
        }
        let left = deadline.checked_duration_since(Instant::now()).filter(|it| !it.is_zero())?;
        stream.set_read_timeout(Some(left)).ok()?;
        let mut bytes = [0; 4 << 10];
        let n = stream.read(&mut bytes).ok().filter(|it| *it > 0)?;
        buffer.extend_from_slice(&bytes[..n]);
    }
}

fn parse_answer(buffer: &[u8]) -> Option<(u16, String)> {
    let head_end = head_length(buffer)?;
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let length = headers_of(&head).get("content-length").and_then(|it| it.parse().ok());
    let body = buffer.get(head_end..head_end + length.unwrap_or(0))?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(body).into_owned()))
}
