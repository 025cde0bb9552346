//! Operators of the demo, through the operators' JSON interface.

use std::net::SocketAddr;
use std::time::Duration;

use almondpass_schema::{ids, model};
use anyhow::{Context, bail};
use base64::Engine;
use base64::engine::general_purpose;
use bytes::Bytes;
use http_body_util::Full;
use serde::de::DeserializeOwned;
use uuid::Uuid;

use crate::demo::http_client;

/// Sign-in name of the demo's operator.
pub const NAME: &str = "demo";
/// Password of the demo's operator; the process ends with the demo.
pub const PASSWORD: &str = "demo-password";

/// For one call.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// What became of a draft.
#[derive(Clone, Debug)]
pub enum DraftEnd {
    /// It is version so and so.
    Accepted(ids::ConfigVersion),
    /// Another operator was first.
    Conflict(Box<model::ConfigConflict>),
}

/// Reads the configuration in force on the instance.
pub async fn config(operators: SocketAddr) -> anyhow::Result<model::ConfigInForce> {
    found(call(operators, http::Method::GET, "/v1/config", Bytes::new()).await?)
}

/// Reads the picture of a hall.
pub async fn hall(operators: SocketAddr, hall: &str) -> anyhow::Result<model::HallPicture> {
    let path = format!("/v1/halls/{hall}");
    found(call(operators, http::Method::GET, &path, Bytes::new()).await?)
}

/// Proposes a document as a change of `base`.
pub async fn propose(
    operators: SocketAddr,
    base: ids::ConfigVersion,
    note: &str,
    document: &model::ConfigDocument,
) -> anyhow::Result<DraftEnd> {
    let proposal = model::ConfigProposal {
        base,
        proposal: Some(Uuid::now_v7()),
        operator: NAME.to_owned(),
        note: note.to_owned(),
        document: document.clone(),
    };
    let body = serde_json::to_vec(&proposal)?.into();
    let response = call(operators, http::Method::POST, "/v1/config", body).await?;
    if response.status() == http::StatusCode::CONFLICT {
        return Ok(DraftEnd::Conflict(Box::new(serde_json::from_slice(response.body())?)));
    }
    let accepted = found::<model::ConfigAccepted>(response)?;
    Ok(DraftEnd::Accepted(accepted.version))
}

/// Drains a worker.
pub async fn drain(operators: SocketAddr, worker: &str) -> anyhow::Result<model::DrainListing> {
    drain_call(operators, http::Method::POST, worker).await
}

/// Calls the drain of a worker off.
pub async fn undrain(operators: SocketAddr, worker: &str) -> anyhow::Result<model::DrainListing> {
    drain_call(operators, http::Method::DELETE, worker).await
}

async fn drain_call(
    operators: SocketAddr,
    method: http::Method,
    worker: &str,
) -> anyhow::Result<model::DrainListing> {
    let drain = model::DrainRequest { worker: Some(worker.to_owned()), upstream: None };
    let body = serde_json::to_vec(&drain)?.into();
    found(call(operators, method, "/v1/drains", body).await?)
}

async fn call(
    operators: SocketAddr,
    method: http::Method,
    path: &str,
    body: Bytes,
) -> anyhow::Result<http::Response<Bytes>> {
    let credentials = general_purpose::STANDARD.encode(format!("{NAME}:{PASSWORD}"));
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, operators.to_string())
        .header(http::header::AUTHORIZATION, format!("Basic {credentials}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))?;
    match http_client::exchange(operators, request, CALL_LIMIT).await {
        Ok(response) => Ok(response),
        Err(http_client::ExchangeFault::NotSent) => {
            bail!("{path} at {operators}: expected a connection, found none")
        }
        Err(http_client::ExchangeFault::Broken(detail)) => {
            bail!("{path} at {operators}: expected an answer, found {detail}")
        }
    }
}

fn found<T: DeserializeOwned>(response: http::Response<Bytes>) -> anyhow::Result<T> {
    let text = String::from_utf8_lossy(response.body());
    if !response.status().is_success() {
        bail!("expected a result, found status {}: {text}", response.status());
    }
    serde_json::from_slice(response.body()).with_context(|| format!("expected JSON, found {text}"))
}
