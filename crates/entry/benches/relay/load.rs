//! The client: as fast as answers come, or at a rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::parties;

/// Bytes of each body.
const BODY: [u8; 512] = [b'x'; 512];
/// Any request that takes longer counts as this, in microseconds.
const LONGEST: u64 = 10_000_000;
/// Answers before a measurement begins.
const WARM_UP: Duration = Duration::from_millis(300);

/// One connection of the client.
pub(crate) struct LoadConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    key: &'static str,
}

impl LoadConnection {
    pub(crate) async fn open(target: SocketAddr, key: &'static str) -> LoadConnection {
        let stream = TcpStream::connect(target).await.expect("the target listens");
        stream.set_nodelay(true).expect("a socket option");
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.expect("a connection");
        tokio::spawn(driver);
        LoadConnection { sender, key }
    }

    /// Returns the status of the answer.
    pub(crate) async fn exchange(&mut self) -> u16 {
        let request = http::Request::post("/v1/requests")
            .header("host", "entry")
            .header("authorization", format!("Bearer {}", self.key))
            .header("x-job-class", "check")
            .header("x-request-id", "0")
            .body(Full::new(Bytes::from_static(&BODY)))
            .expect("a request");
        self.sender.ready().await.expect("the target stays");
        let response = self.sender.send_request(request).await.expect("an answer");
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.expect("a whole answer").to_bytes();
        assert!(status != 200 || body.len() == BODY.len());
        status
    }
}

pub(crate) fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("a runtime")
}

/// Answers within `span` with every connection busy.
pub(crate) fn saturate(target: SocketAddr, n_connections: usize, span: Duration) -> u64 {
    runtime().block_on(async {
        let end = Instant::now() + span;
        let tasks = (0..n_connections).map(|_| {
            tokio::spawn(async move {
                let mut connection = LoadConnection::open(target, parties::KEY).await;
                let mut n_answers = 0_u64;
                loop {
                    assert_eq!(connection.exchange().await, 200);
                    if end < Instant::now() {
                        return n_answers;
                    }
                    n_answers += 1;
                }
            })
        });
        let tasks = tasks.collect::<Vec<_>>();
        let mut n_answers = 0;
        for it in tasks {
            n_answers += it.await.expect("a connection's task");
        }
        n_answers
    })
}

/// Latencies in microseconds at `rate`. Sends are timed by a thread that does nothing else; each
/// latency counts from the time at which the request was due, so that a stall counts for every
/// request that it delays.
pub(crate) fn paced(
    target: SocketAddr,
    n_connections: usize,
    rate: f64,
    span: Duration,
) -> Histogram<u64> {
    let runtime = runtime();
    let due = Arc::new(Semaphore::new(0));
    let begin = Instant::now() + WARM_UP;
    let next = Arc::new(std::sync::atomic::AtomicU64::new(0));
    let n_requests = (rate * span.as_secs_f64()) as u64;
    let interval = Duration::from_secs_f64(1.0 / rate);
    let tasks = (0..n_connections).map(|_| {
        let (due, next) = (Arc::clone(&due), Arc::clone(&next));
        runtime.spawn(async move {
            let mut connection = LoadConnection::open(target, parties::KEY).await;
            assert_eq!(connection.exchange().await, 200);
            let mut latencies = Histogram::<u64>::new_with_max(LONGEST, 3).expect("bounds");
            while let Ok(permit) = due.acquire().await {
                permit.forget();
                let number = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let due_at = begin + interval.mul_f64(number as f64);
                assert_eq!(connection.exchange().await, 200);
                latencies.saturating_record(due_at.elapsed().as_micros() as u64);
            }
            latencies
        })
    });
    let tasks = tasks.collect::<Vec<_>>();
    for number in 0..n_requests {
        let due_at = begin + interval.mul_f64(number as f64);
        while Instant::now() < due_at {
            std::hint::spin_loop();
        }
        due.add_permits(1);
    }
    std::thread::sleep(WARM_UP);
    due.close();
    runtime.block_on(async {
        let mut latencies = Histogram::<u64>::new_with_max(LONGEST, 3).expect("bounds");
        for it in tasks {
            latencies.add(it.await.expect("a connection's task")).expect("the same bounds");
        }
        latencies
    })
}
