//! The upstream, the bare relay and the entry, each on one core of its own.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_config::active;
use almondpass_entry::{acceptor, server, service, settings};
use almondpass_ports::clock;
use almondpass_schema::model;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sha2::Digest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::granting;

/// Key of the large account.
pub(crate) const KEY: &str = "large";
/// Key of the small account.
pub(crate) const SMALL_KEY: &str = "small";

/// A party that listens, and the processor time of its thread.
#[derive(Clone, Debug)]
pub(crate) struct Party {
    pub(crate) address: SocketAddr,
    schedstat: std::path::PathBuf,
}

impl Party {
    /// Processor time so far.
    pub(crate) fn cpu(&self) -> Duration {
        let stat = std::fs::read_to_string(&self.schedstat).expect("a Linux system");
        let nanos = stat.split(' ').next().and_then(|it| it.parse::<u64>().ok());
        Duration::from_nanos(nanos.expect("a number of nanoseconds"))
    }
}

/// Runs `serve` on a thread with a runtime of its own.
fn on_one_core<F>(name: &str, serve: impl FnOnce(TcpListener) -> F + Send + 'static) -> Party
where
    F: Future<Output = ()>,
{
    let (tell, told) = std::sync::mpsc::channel();
    let thread = std::thread::Builder::new().name(name.to_owned());
    let body = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let thread = std::fs::read_link("/proc/thread-self").expect("a Linux system");
            let schedstat = std::path::Path::new("/proc").join(thread).join("schedstat");
            let address = listener.local_addr().expect("an address");
            tell.send(Party { address, schedstat }).expect("the bench waits");
            serve(listener).await;
        });
    };
    thread.spawn(body).expect("a thread");
    told.recv().expect("the thread starts")
}

async fn accept(listener: &TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().await.expect("a connection");
    stream.set_nodelay(true).expect("a socket option");
    stream
}

/// Sends bodies back as they come, after `service_time`.
pub(crate) fn start_upstream(service_time: Duration) -> Party {
    on_one_core("upstream", move |listener| async move {
        loop {
            let stream = accept(&listener).await;
            tokio::spawn(http1::Builder::new().serve_connection(
                TokioIo::new(stream),
                service_fn(move |request: Request<Incoming>| async move {
                    if !service_time.is_zero() {
                        tokio::time::sleep(service_time).await;
                    }
                    let (mut parts, body) = request.into_parts();
                    let mut response = Response::new(body);
                    if let Some(id) = parts.headers.remove("x-request-id") {
                        response.headers_mut().insert("x-request-id", id);
                    }
                    Ok::<_, Infallible>(response)
                }),
            ));
        }
    })
}

/// The least that any relay on this HTTP library does: no accounts, grants, limits or checks.
pub(crate) fn start_bare_relay(upstream: SocketAddr) -> Party {
    type Idle = Arc<Mutex<Vec<client::SendRequest<Incoming>>>>;
    async fn relay(idle: Idle, to: SocketAddr, it: Request<Incoming>) -> Response<Incoming> {
        let reused = idle.lock().expect("one thread").pop();
        let mut sender = match reused {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(to).await.expect("the upstream listens");
                stream.set_nodelay(true).expect("a socket option");
                let (sender, driver) =
                    client::handshake(TokioIo::new(stream)).await.expect("a connection");
                tokio::spawn(driver);
                sender
            }
        };
        sender.ready().await.expect("the upstream stays");
        let response = sender.send_request(it).await.expect("an answer");
        idle.lock().expect("one thread").push(sender);
        response
    }
    on_one_core("bare", move |listener| async move {
        let idle = Idle::default();
        loop {
            let stream = accept(&listener).await;
            let idle = Arc::clone(&idle);
            tokio::spawn(http1::Builder::new().serve_connection(
                TokioIo::new(stream),
                service_fn(move |it| {
                    let answer = relay(Arc::clone(&idle), upstream, it);
                    async { Ok::<_, Infallible>(answer.await) }
                }),
            ));
        }
    })
}

/// The entry, with a scheduler that grants at once.
pub(crate) fn start_entry(upstream: SocketAddr, places: Option<u32>) -> Party {
    on_one_core("entry", move |listener| async move {
        let mut limits = serde_json::from_str::<model::LimitSettings>("{}").expect("defaults");
        limits.requests_in_flight = places.unwrap_or(limits.requests_in_flight);
        let settings =
            settings::EntrySettings::new("bench".to_owned(), "kartli-1".to_owned(), limits);
        let config = active::ActiveConfig { version: 1, document: Arc::new(document()) };
        let (_configs, config_watch) = watch::channel(Arc::new(config));
        let service = service::EntryService::new(service::EntryParts {
            settings,
            link: granting::GrantingHalls { upstream: upstream.to_string(), connections: 256 },
            table: granting::NoRows,
            clock: clock::WallClock::from_system(),
            configs: config_watch,
        });
        let (_phase, phase_watch) = watch::channel(server::ServePhase::Serving);
        let server = server::EntryServer::new(service);
        server.serve(listener, acceptor::PlainAcceptor, phase_watch).await;
    })
}

fn document() -> model::ConfigDocument {
    let document = serde_json::json!({
        "site": "bench",
        "objective": {"completion_time": 0.5, "fragmentation": 0.5},
        "bounds": {
            "reclaim": "10s", "checkpoint_grace": "5s", "urgent_start": "2s",
            "ageing_step": "10s", "gang_wait": "1m", "overrun": 2.0,
            "idempotency_window": "1h", "job_retention": "2h",
        },
        "worker_kinds": [],
        "halls": [
            {"name": "rustavi", "region": "kartli", "data_center": "kartli-1", "racks": []},
        ],
        "upstreams": [{"name": "weighdesk", "halls": ["rustavi"]}],
        "classes": [{
            "name": "check", "kind": "request", "priority": 5, "upstream": "weighdesk",
            "expected_run": "1s", "max_run": "10s", "deadline": "20s",
            "max_body_bytes": 1_u64 << 30,
        }],
        "accounts": [account("large", KEY), account("small", SMALL_KEY)],
    });
    serde_json::from_value(document).expect("a document")
}

fn account(id: &str, key: &str) -> serde_json::Value {
    serde_json::json!({
        "id": id, "name": id, "keys": [hex::encode(sha2::Sha256::digest(key))],
        "limits": {"queued_jobs": 1, "queued_requests": 1000, "running_requests": 1000},
    })
}
