//! Calls over real sockets: which calls reach the service, and which error the caller gets.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_peer::link::{PeerLink, PeerService};
use almondpass_peer::{client, dispatch, error, key, link, server};
use almondpass_schema::{ids, model};
use bytes::Bytes;
use http_body_util::Full;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot};
use tokio::time;

const KEY: &str = "shared by all instances";

/// Does not expire in these tests.
const LONG_DEADLINE: Duration = Duration::from_secs(60);

/// For calls to peers that never answer.
const SHORT_DEADLINE: Duration = Duration::from_millis(300);

/// Answers `HandOver` calls; the name of the hall selects the answer. "gated" waits for a permit.
#[derive(Clone)]
struct HandOverService {
    n_served: Arc<AtomicU32>,
    gate: Arc<Semaphore>,
}

impl PeerService for HandOverService {
    async fn serve(&self, path: &str, body: Bytes) -> Option<link::ServedReply> {
        match path {
            model::HandOver::PATH => {
                dispatch::try_answer(&body, async |call| self.answer_hand_over(call).await)
            }
            _ => return None,
        }
        .await
    }
}

impl HandOverService {
    async fn answer_hand_over(
        &self,
        call: model::HandOver,
    ) -> Result<model::Ack, error::ServeFault> {
        self.n_served.fetch_add(1, Ordering::SeqCst);
        match call.hall.as_str() {
            "busy" => Err(error::ServeFault::Unavailable("a busy one".to_owned())),
            "silent" => Err(error::ServeFault::Silent),
            "gated" => {
                self.gate.acquire().await.unwrap().forget();
                Ok(model::Ack {})
            }
            _ => Ok(model::Ack {}),
        }
    }
}

struct TestServer {
    address: ids::PeerAddress,
    service: HandOverService,
    stop: oneshot::Sender<()>,
    stopped: tokio::task::JoinHandle<()>,
}

async fn listen() -> (TcpListener, ids::PeerAddress) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

async fn start_server() -> TestServer {
    let (listener, address) = listen().await;
    let service = HandOverService { n_served: Arc::default(), gate: Arc::new(Semaphore::new(0)) };
    let config = server::ServerConfig {
        cluster_key: Some(key::ClusterKey::new(KEY)),
        max_body_bytes: 1024,
        ..server::ServerConfig::default()
    };
    let (stop, stop_requested) = oneshot::channel::<()>();
    let shutdown = async move { stop_requested.await.unwrap_or_default() };
    let stopped = tokio::spawn(server::serve(listener, service.clone(), config, shutdown));
    TestServer { address, service, stop, stopped }
}

fn client_with(key: &str) -> client::PeerClient {
    let cluster_key = Some(key::ClusterKey::new(key));
    client::PeerClient::new(client::ClientConfig { cluster_key, ..Default::default() }).unwrap()
}

fn hand_over(hall: &str) -> model::HandOver {
    model::HandOver { hall: hall.to_owned(), epoch: 1 }
}

async fn failed_call(client: &client::PeerClient, peer: &str, hall: &str) -> error::CallFault {
    let peer = ids::PeerAddress::from(peer);
    let error = client.call(&peer, hand_over(hall), LONG_DEADLINE).await.unwrap_err();
    assert_eq!(error.peer, peer);
    error.fault
}

fn refusal_status(fault: error::CallFault) -> u16 {
    assert!(fault.had_no_effect());
    match fault {
        error::CallFault::Refused { status, .. } => status,
        other => panic!("expected a refusal, found {other}"),
    }
}

#[tokio::test]
async fn call_is_answered() {
    let test_server = start_server().await;
    let client = client_with(KEY);
    for _ in 0..3 {
        let reply = client.call(&test_server.address, hand_over("vadodara"), LONG_DEADLINE).await;
        assert_eq!(reply, Ok(model::Ack {}));
    }
    assert_eq!(test_server.service.n_served.load(Ordering::SeqCst), 3);
}

macro_rules! refusals {
    ($($name:ident: $key:expr, $hall:expr => $status:literal, $n_served:literal;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let test_server = start_server().await;
            let fault = failed_call(&client_with($key), &test_server.address, $hall).await;
            assert_eq!(refusal_status(fault), $status);
            assert_eq!(test_server.service.n_served.load(Ordering::SeqCst), $n_served);
        })*
    };
}

refusals! {
    other_key_is_refused: "another", "vadodara" => 401, 0;
    oversized_call_is_refused: KEY, &"x".repeat(2000) => 413, 0;
    unavailable_service_is_a_refusal: KEY, "busy" => 503, 1;
}

#[tokio::test]
async fn unknown_path_is_refused() {
    let test_server = start_server().await;
    let query = model::HallQuery { hall: "vadodara".to_owned() };
    let error =
        client_with(KEY).call(&test_server.address, query, LONG_DEADLINE).await.unwrap_err();
    assert_eq!(refusal_status(error.fault), 404);
}

/// Sends a request with `headers` and `body` that `PeerClient` would not send, and returns its status.
async fn raw_status(address: &str, headers: &[(&str, &str)], body: &[u8]) -> u16 {
    let stream = TcpStream::connect(address).await.unwrap();
    let io = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.unwrap();
    tokio::spawn(connection);
    let mut request = http::Request::post(model::HandOver::PATH);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(body));
    sender.send_request(request.body(body).unwrap()).await.unwrap().status().as_u16()
}

macro_rules! raw_calls {
    ($($name:ident: $headers:expr, $body:expr => $status:literal;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let test_server = start_server().await;
            assert_eq!(raw_status(&test_server.address, &$headers, $body).await, $status);
            assert_eq!(test_server.service.n_served.load(Ordering::SeqCst), 0);
        })*
    };
}

raw_calls! {
    missing_key_is_refused: [("x-message-version", "1")], b"\x80" => 401;
    other_version_is_refused:
        [("x-cluster-key", KEY), ("x-message-version", "2")], b"\x80" => 400;
    unreadable_call_is_refused:
        [("x-cluster-key", KEY), ("x-message-version", "1")], b"\xc1\xff" => 400;
    deeply_nested_call_is_refused:
        [("x-cluster-key", KEY), ("x-message-version", "1")], &[0x91; 1000] => 400;
    oversized_head_is_refused:
        [("x-cluster-key", KEY), ("x-filler", &"x".repeat(9000))], b"\x80" => 431;
}

#[tokio::test]
async fn refused_connection_is_not_sent() {
    let (listener, address) = listen().await;
    drop(listener);
    let fault = failed_call(&client_with(KEY), &address, "vadodara").await;
    assert!(matches!(fault, error::CallFault::NotSent(_)), "{fault}");
}

#[tokio::test]
async fn call_to_a_host_name_is_not_sent() {
    let fault = failed_call(&client_with(KEY), "localhost:80", "vadodara").await;
    assert_eq!(fault, error::CallFault::NotSent("the address \"localhost:80\"".to_owned()));
}

#[tokio::test]
async fn broken_connection_may_have_had_an_effect() {
    let test_server = start_server().await;
    let fault = failed_call(&client_with(KEY), &test_server.address, "silent").await;
    assert!(matches!(fault, error::CallFault::NoAnswer(_)), "{fault}");
    assert!(!fault.had_no_effect());
}

async fn read_some(stream: &mut TcpStream) {
    assert_ne!(stream.read(&mut [0; 1024]).await.unwrap(), 0);
}

#[tokio::test]
async fn truncated_answer_is_no_answer() {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_some(&mut stream).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n\x80").await.unwrap();
    });
    let fault = failed_call(&client_with(KEY), &address, "vadodara").await;
    assert!(matches!(fault, error::CallFault::NoAnswer(_)), "{fault}");
}

/// Guards against one missed deadline for each pooled connection after the peer's machine died, which
/// closes no connections. After a call timed out, the next call must open a new connection.
#[tokio::test]
async fn missed_deadline_discards_the_peers_connections() {
    let (listener, address) = listen().await;
    let n_connected = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&n_connected);
    tokio::spawn(async move {
        let mut held = Vec::new();
        loop {
            held.push(listener.accept().await.unwrap());
            counter.fetch_add(1, Ordering::SeqCst);
        }
    });
    let client = client_with(KEY);
    for n in 1..=2 {
        let error = client.call(&address, hand_over("vadodara"), SHORT_DEADLINE).await.unwrap_err();
        assert_eq!(error.fault, error::CallFault::TimedOut(SHORT_DEADLINE));
        assert_eq!(n_connected.load(Ordering::SeqCst), n);
    }
}

/// Answers calls on all connections. Once `silent` is set, the first `n_silenced` connections no longer
/// answer.
async fn serve_until_silent(listener: TcpListener, n_silenced: usize, silent: Arc<AtomicBool>) {
    for nth in 0.. {
        let (mut stream, _) = listener.accept().await.unwrap();
        let silent = Arc::clone(&silent);
        tokio::spawn(async move {
            while stream.read(&mut [0; 1024]).await.is_ok_and(|it| it > 0) {
                if nth < n_silenced && silent.load(Ordering::SeqCst) {
                    continue;
                }
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n\x80";
                stream.write_all(answer).await.unwrap();
            }
        });
    }
}

/// Guards against one timeout for each unresponsive pooled connection when the caller's own timeout is
/// shorter than the deadline of the call.
#[tokio::test]
async fn call_cancelled_by_its_caller_discards_the_peers_connections() {
    let (listener, address) = listen().await;
    let silent = Arc::new(AtomicBool::new(false));
    tokio::spawn(serve_until_silent(listener, 3, Arc::clone(&silent)));
    let client = client_with(KEY);
    let call = || client.call(&address, hand_over("vadodara"), LONG_DEADLINE);
    let pooled = tokio::join!(call(), call(), call());
    assert_eq!(pooled, (Ok(model::Ack {}), Ok(model::Ack {}), Ok(model::Ack {})));
    silent.store(true, Ordering::SeqCst);
    assert!(time::timeout(SHORT_DEADLINE, call()).await.is_err());
    let next = time::timeout(SHORT_DEADLINE, call()).await;
    assert_eq!(next, Ok(Ok(model::Ack {})));
}

/// Guards against a failure of the first call after a peer's restart: the peer closed the connection
/// while it was pooled, and the next call takes that connection from the pool.
#[tokio::test]
async fn connection_closed_while_idle_is_replaced() {
    let (listener, address) = listen().await;
    let client = client_with(KEY);
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n\x80";
    for _ in 0..2 {
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_some(&mut stream).await;
            stream.write_all(answer).await.unwrap();
        };
        let call = client.call(&address, hand_over("vadodara"), LONG_DEADLINE);
        let (reply, ()) = tokio::join!(call, serve);
        assert_eq!(reply, Ok(model::Ack {}));
    }
}

/// Guards against a hand-over that stops half-way: hyper drops the handler when the connection closes,
/// for example because the caller's deadline passed while the call was being answered.
#[tokio::test]
async fn handler_finishes_after_its_caller_gives_up() {
    let test_server = start_server().await;
    let client = client_with(KEY);
    let address = test_server.address.clone();
    let call =
        tokio::spawn(async move { client.call(&address, hand_over("gated"), LONG_DEADLINE).await });
    while test_server.service.n_served.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
    call.abort();
    assert!(call.await.is_err());
    test_server.service.gate.add_permits(1);
    while test_server.service.gate.available_permits() != 0 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn shutdown_finishes_calls_in_flight() {
    let test_server = start_server().await;
    let client = client_with(KEY);
    let address = test_server.address.clone();
    let call =
        tokio::spawn(async move { client.call(&address, hand_over("gated"), LONG_DEADLINE).await });
    while test_server.service.n_served.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
    test_server.stop.send(()).unwrap();
    tokio::task::yield_now().await;
    test_server.service.gate.add_permits(1);
    assert_eq!(call.await.unwrap(), Ok(model::Ack {}));
    test_server.stopped.await.unwrap();
    let fault = failed_call(&client_with(KEY), &test_server.address, "vadodara").await;
    assert!(matches!(fault, error::CallFault::NotSent(_)), "{fault}");
}
