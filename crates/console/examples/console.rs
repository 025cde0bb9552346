//! Serves the console over made-up halls, to look at its pages without a running site:
//! `cargo run -p almondpass-console --example console -- 127.0.0.1:8090`. The operator is `asha`
//! with the password `a long random password`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::convert::Infallible;
use std::sync::Arc;

use almondpass_membership::snapshot;
use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics::{Key, Label, Level, Metadata, Recorder};
use tokio::net::TcpListener;

const DEFAULT_ADDRESS: &str = "127.0.0.1:8090";

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let address = std::env::args().nth(1).unwrap_or_else(|| DEFAULT_ADDRESS.to_owned());
    let (_site, instance) = support::ConsoleSite::started().await;
    fill(&instance);
    let listener =
        TcpListener::bind(&address).await.with_context(|| format!("listen on {address}"))?;
    println!("http://{}/console", listener.local_addr()?);
    loop {
        let (stream, _) = listener.accept().await.context("accept")?;
        let console = instance.console.clone();
        let service = service_fn(move |request| answer(console.clone(), request));
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

async fn answer(
    console: support::Console,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    Ok(console.route(request).await.unwrap_or_default())
}

/// Other instances, and times that were recorded.
fn fill(instance: &support::Instance) {
    let mut members = snapshot::MemberSnapshot::default();
    for number in 1..=9 {
        let entry = snapshot::MemberEntry {
            address: format!("10.0.0.{number}:7000"),
            data_center: "rajkot".to_owned(),
            leaving: number == 8,
            config_version: if number == 7 { 0 } else { 1 },
        };
        members.instances.insert(format!("instance-{number}"), entry);
    }
    instance.members.send_replace(Arc::new(members));
    for metric in ["almondpass_wait_seconds", "almondpass_completion_seconds"] {
        for (account, class, middle) in [
            ("gujarat-grid", "ageing-trend", 4000.0),
            ("gujarat-grid", "diagnosis", 2.0),
            ("kutch-substations", "diagnosis", 1.7),
            ("narmada-works", "report-check", 0.4),
        ] {
            let labels = vec![Label::new("account", account), Label::new("class", class)];
            let key = Key::from_parts(metric, labels);
            let metadata = Metadata::new("example", Level::INFO, None);
            let histogram = instance.histograms.register_histogram(&key, &metadata);
            for step in 0..200 {
                let spread = f64::from(step % 17 + 2) / 10.0;
                histogram.record(middle * spread * spread);
            }
        }
    }
}
