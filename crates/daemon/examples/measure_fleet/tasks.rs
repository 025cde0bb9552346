//! Long jobs without accelerators, to load the workers' leases.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{bail, ensure};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{self, Instant};

use crate::fleet;

/// Tasks of one job.
const GANG: usize = 32;

/// Starts about `n_tasks` tasks and tells how many run once they all do, or after a while.
pub(crate) async fn run_tasks(fleet: &fleet::BenchFleet, n_tasks: usize) -> anyhow::Result<usize> {
    let addresses = fleet.instances.values().map(|it| it.addresses().callers).collect::<Vec<_>>();
    let n_jobs = n_tasks / GANG;
    for n in 0..n_jobs {
        let hall = n % fleet::N_HALLS;
        let body = format!(
            "{{\"class\":\"batch\",\"tasks\":{GANG},\"cores\":1,\"memory_mb\":64,\
             \"hall\":\"hall{hall}\",\"run_time\":\"1h\",\
             \"arguments\":\"{{\\\"run\\\":\\\"1h\\\"}}\"}}"
        );
        submit(addresses[n % addresses.len()], body).await?;
    }
    let started = Instant::now();
    let mut running = 0;
    while running < n_jobs * GANG && started.elapsed() < fleet::LIMIT {
        time::sleep(Duration::from_millis(500)).await;
        let workers = fleet.platform.fakes.fleet.workers();
        let leases = workers.iter().flat_map(|(_, it)| it.peek());
        running = leases.filter(|it| it.started && it.exit.is_none()).count();
    }
    Ok(running)
}

async fn submit(to: SocketAddr, body: String) -> anyhow::Result<()> {
    let started = Instant::now();
    loop {
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(TcpStream::connect(to).await?)).await?;
        let connection = tokio::spawn(connection);
        let request = Request::post("/v1/jobs")
            .header("authorization", format!("Bearer {}", fleet::ACCOUNT_KEY))
            .header("content-type", "application/json")
            .header("host", "entry")
            .body(Full::new(Bytes::from(body.clone())))?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        let answer = response.into_body().collect().await?.to_bytes();
        connection.abort();
        if status.is_success() {
            return Ok(());
        }
        if !status.is_server_error() && status.as_u16() != 429 {
            bail!("expected a job, found {status}: {}", String::from_utf8_lossy(&answer));
        }
        ensure!(started.elapsed() < fleet::LIMIT, "expected a job, found {status}");
        time::sleep(Duration::from_millis(100)).await;
    }
}
