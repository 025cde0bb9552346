//! The HTTP client for calls to peers and to the platform's services.

use std::fmt;
use std::time::Duration;

use almondpass_schema::ids;
use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;

use crate::call;
use crate::codec;
use crate::error;
use crate::http_client;
use crate::key;
use crate::link;
use crate::wire;

/// Settings of a [`PeerClient`].
#[derive(Clone, Debug, Default)]
pub struct ClientConfig {
    /// Sent with every call. `None` for calls to the platform, which must not learn the key.
    pub cluster_key: Option<key::ClusterKey>,
    /// Timeouts and limits of the connections.
    pub http: http_client::HttpConfig,
}

/// Sends calls over pooled connections; clones share the pool.
#[derive(Clone, Debug)]
pub struct PeerClient {
    http: http_client::HttpClient,
    key: Option<HeaderValue>,
}

/// Most bytes of an error response that an error message quotes.
const MAX_DETAIL_BYTES: usize = 512;

impl PeerClient {
    /// Creates a client that connects on its first call. Fails if an HTTP header can't hold the key.
    pub fn new(config: ClientConfig) -> Result<PeerClient, header::InvalidHeaderValue> {
        let key = config.cluster_key.as_ref().map(|it| HeaderValue::from_bytes(it.as_bytes()));
        let mut key = key.transpose()?;
        if let Some(key) = &mut key {
            key.set_sensitive(true);
        }
        Ok(PeerClient { http: http_client::HttpClient::new(config.http), key })
    }

    /// Creates a client that uses the connections of `http` and sends no cluster key.
    pub fn without_key(http: http_client::HttpClient) -> PeerClient {
        PeerClient { http, key: None }
    }

    async fn exchange<C: call::PeerCall>(
        &self,
        peer: &ids::PeerAddress,
        call: &C,
        deadline: Duration,
    ) -> Result<C::Reply, error::CallFault> {
        let body = codec::encode(call).map_err(not_sent)?;
        let request = self.request(peer, C::PATH, body).map_err(not_sent)?;
        let reply = self.http.exchange(peer, request, deadline).await?;
        if reply.status == StatusCode::OK {
            return codec::decode(&reply.body).map_err(malformed);
        }
        let detail = &reply.body[..reply.body.len().min(MAX_DETAIL_BYTES)];
        let detail = String::from_utf8_lossy(detail).into_owned();
        if reply.status.is_client_error() || reply.status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(error::CallFault::Refused { status: reply.status.as_u16(), detail });
        }
        Err(error::CallFault::NoAnswer(format!("status {}: {detail}", reply.status)))
    }

    fn request(
        &self,
        peer: &ids::PeerAddress,
        path: &'static str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let request = Request::post(path)
            .header(header::HOST, peer)
            .header(header::CONTENT_TYPE, wire::MESSAGE_PACK)
            .header(wire::VERSION, wire::MESSAGE_VERSION);
        let request = match &self.key {
            Some(key) => request.header(wire::CLUSTER_KEY, key),
            None => request,
        };
        request.body(Full::new(body))
    }
}

impl link::PeerLink for PeerClient {
    async fn call<C: call::PeerCall>(
        &self,
        peer: &ids::PeerAddress,
        call: C,
        deadline: Duration,
    ) -> Result<C::Reply, error::CallError> {
        let reply = self.exchange(peer, &call, deadline).await;
        reply.map_err(|fault| error::CallError { step: C::PATH, peer: peer.clone(), fault })
    }
}

fn not_sent(reason: impl fmt::Display) -> error::CallFault {
    error::CallFault::NotSent(reason.to_string())
}

fn malformed(reason: impl fmt::Display) -> error::CallFault {
    error::CallFault::Malformed(reason.to_string())
}
