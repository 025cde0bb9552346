//! A scripted server on a free port, and the program run against it in this process.

#![allow(dead_code, reason = "each test file uses its own part")]

pub(crate) mod records;

use std::collections::VecDeque;
use std::convert::Infallible;
use std::ffi::OsString;
use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task;
use std::thread;

use almondpass_cli::exit;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::runtime;

/// How much of an answer is missing that is cut short.
pub(crate) const CUT_BYTES: usize = 10;

/// What the server does with one request.
#[derive(Clone, Debug)]
pub(crate) enum ServerReply {
    /// Answers with JSON.
    Json(u16, Value),
    /// Answers with plain text.
    Text(u16, &'static str),
    /// Closes the connection without an answer.
    Hangup,
    /// Promises [`CUT_BYTES`] more than it sends.
    CutShort(&'static str),
}

/// A request as the server saw it.
#[derive(Clone, Debug)]
pub(crate) struct SeenRequest {
    pub(crate) method: http::Method,
    pub(crate) path: String,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
}

impl SeenRequest {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or("")
    }
}

/// Gives its replies one after the other; the last one stands for all that follow.
pub(crate) struct ScriptedServer {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
}

/// What a run of the program left behind.
#[derive(Debug)]
pub(crate) struct RunOutput {
    pub(crate) status: exit::ExitStatus,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl fmt::Display for RunOutput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "status {}\n-- out\n{}\n-- err\n{}", self.status, self.out, self.err)
    }
}

impl ScriptedServer {
    pub(crate) fn start(replies: impl IntoIterator<Item = ServerReply>) -> ScriptedServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
        listener.set_nonblocking(true).expect("set nonblocking");
        let address = listener.local_addr().expect("read the port");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let replies = Arc::new(Mutex::new(replies.into_iter().collect::<VecDeque<_>>()));
        let log = Arc::clone(&seen);
        thread::spawn(move || serve(listener, &replies, &log));
        ScriptedServer { address, seen }
    }

    pub(crate) fn seen(&self) -> Vec<SeenRequest> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Runs the program as a caller.
    pub(crate) fn run_caller(&self, arguments: &[&str]) -> RunOutput {
        let address = self.address.to_string();
        let mut all = arguments.to_vec();
        all.extend(["--server", &address, "--key", "test-key"]);
        self.run(&all)
    }

    /// Runs the program as an operator.
    pub(crate) fn run_operator(&self, arguments: &[&str]) -> RunOutput {
        let address = self.address.to_string();
        let mut all = arguments.to_vec();
        all.extend(["--console", &address, "--operator", "asha", "--password", "secret"]);
        self.run(&all)
    }

    fn run(&self, arguments: &[&str]) -> RunOutput {
        let output = run(arguments);
        let address = self.address.to_string();
        RunOutput { err: output.err.replace(&address, "SERVER"), ..output }
    }
}

/// Runs the program without a server.
pub(crate) fn run(arguments: &[&str]) -> RunOutput {
    let mut out = Vec::new();
    let mut err = Vec::new();
    let arguments = ["almondpass", "--retry-pause", "1ms"].iter().chain(arguments);
    let arguments = arguments.map(OsString::from);
    let status = almondpass_cli::run(arguments, &mut out, &mut err);
    RunOutput {
        status,
        out: String::from_utf8(out).expect("text on standard output"),
        err: String::from_utf8(err).expect("text on standard error"),
    }
}

fn serve(
    listener: TcpListener,
    replies: &Arc<Mutex<VecDeque<ServerReply>>>,
    log: &Arc<Mutex<Vec<SeenRequest>>>,
) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::from_std(listener).expect("adopt the listener");
        while let Ok((stream, _)) = listener.accept().await {
            let replies = Arc::clone(replies);
            let log = Arc::clone(log);
            let answer = service::service_fn(move |request| {
                let replies = Arc::clone(&replies);
                let log = Arc::clone(&log);
                async move { answer(request, &replies, &log).await }
            });
            // A client that goes away is part of some tests.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), answer).await;
        }
    });
}

/// An error makes hyper close the connection without an answer.
async fn answer(
    request: http::Request<Incoming>,
    replies: &Mutex<VecDeque<ServerReply>>,
    log: &Mutex<Vec<SeenRequest>>,
) -> Result<http::Response<CutBody>, &'static str> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| "body")?.to_bytes();
    log.lock().unwrap_or_else(PoisonError::into_inner).push(SeenRequest {
        method: head.method,
        path: head.uri.to_string(),
        headers: head.headers,
        body,
    });
    let reply = {
        let mut replies = replies.lock().unwrap_or_else(PoisonError::into_inner);
        let reply = replies.front().cloned().expect("a reply");
        if 1 < replies.len() {
            replies.pop_front();
        }
        reply
    };
    let missing = if matches!(reply, ServerReply::CutShort(_)) { CUT_BYTES } else { 0 };
    let (status, content_type, text) = match reply {
        ServerReply::Json(status, value) => (status, "application/json", value.to_string()),
        ServerReply::Text(status, text) => (status, "text/plain", text.to_owned()),
        ServerReply::CutShort(text) => (200, "text/plain", text.to_owned()),
        ServerReply::Hangup => return Err("hangup"),
    };
    let response = http::Response::builder()
        .status(status)
        .header("content-type", content_type)
        .header("content-length", text.len() + missing);
    Ok(response.body(CutBody::new(text.into())).expect("a response"))
}

/// A body that may be shorter than the head promised. It pauses before its end: hyper would
/// otherwise drop what it has not yet written of a body that ends too early.
pub(crate) struct CutBody {
    content: Full<Bytes>,
    paused: bool,
}

impl CutBody {
    fn new(content: Bytes) -> CutBody {
        CutBody { content: Full::new(content), paused: false }
    }
}

impl hyper::body::Body for CutBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<hyper::body::Frame<Bytes>, Infallible>>> {
        match Pin::new(&mut self.content).poll_frame(context) {
            task::Poll::Ready(None) if !self.paused => {
                self.paused = true;
                context.waker().wake_by_ref();
                task::Poll::Pending
            }
            polled => polled,
        }
    }
}
