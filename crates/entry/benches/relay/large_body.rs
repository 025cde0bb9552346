//! The memory that a large body takes on its way through an entry and back.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::parties;

const CHUNK: usize = 64 * 1024;
const MIB: usize = 1024 * 1024;

/// Prints what bodies of two sizes take; the client and the upstream, in this process too, hold
/// nothing of them either.
pub(crate) fn report(entry: SocketAddr) {
    println!("a body through the entry and back, peak growth of the whole process:");
    for size in [1, 64, 256] {
        let (grown, span) = measure(entry, size * MIB);
        let rate = size as f64 / span.as_secs_f64();
        let grown = grown as f64 / MIB as f64;
        println!("  {size:>4} MiB  {grown:>5.1} MiB grown, {rate:.0} MiB/s each way");
    }
}

fn measure(entry: SocketAddr, n_bytes: usize) -> (usize, Duration) {
    let before = resident();
    let done = Arc::new(AtomicBool::new(false));
    let watched = Arc::clone(&done);
    let watcher = std::thread::spawn(move || {
        let mut peak = 0;
        while !watched.load(Ordering::Relaxed) {
            peak = peak.max(resident());
            std::thread::sleep(Duration::from_millis(1));
        }
        peak
    });
    let begin = Instant::now();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(exchange(entry, n_bytes));
    let span = begin.elapsed();
    done.store(true, Ordering::Relaxed);
    (watcher.join().expect("the watcher ends").saturating_sub(before), span)
}

async fn exchange(entry: SocketAddr, n_bytes: usize) {
    let stream = TcpStream::connect(entry).await.expect("the entry listens");
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.expect("a connection");
    tokio::spawn(driver);
    let chunk = Bytes::from(vec![b'x'; CHUNK]);
    let frames = (0..n_bytes / CHUNK).map(move |_| Ok::<_, Infallible>(Frame::data(chunk.clone())));
    let request = http::Request::post("/v1/requests")
        .header("host", "entry")
        .header("authorization", format!("Bearer {}", parties::KEY))
        .header("x-job-class", "check")
        .body(StreamBody::new(stream::iter(frames)))
        .expect("a request");
    let response = sender.send_request(request).await.expect("an answer");
    let mut body = response.into_body();
    let mut n_received = 0;
    while let Some(frame) = body.frame().await {
        n_received += frame.expect("a whole answer").data_ref().map_or(0, Bytes::len);
    }
    assert_eq!(n_received, n_bytes);
}

/// Bytes of this process in memory.
pub(crate) fn resident() -> usize {
    const PAGE: usize = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").expect("a Linux system");
    let pages = statm.split(' ').nth(1).and_then(|it| it.parse::<usize>().ok());
    pages.expect("a number of pages") * PAGE
}
