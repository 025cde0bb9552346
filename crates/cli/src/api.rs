//! JSON over HTTP: one call, its answer, and the errors that a server tells.

use std::time::Duration;

use almondpass_schema::model;
use backon::{BackoffBuilder, ExponentialBuilder};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::arguments;
use crate::connection;
use crate::error;

/// Largest answer that is read whole; more than a page of anything.
const ANSWER_BYTES: usize = 64 << 20;
/// Most of an error page that is shown.
const SHOWN_CHARS: usize = 200;
/// Retries of one call.
const RETRIES: usize = 3;

/// Speaks JSON with one server, under one set of credentials.
#[derive(Clone)]
pub(crate) struct ApiClient {
    connection: connection::ServerConnection,
    authorization: http::HeaderValue,
    timeout: Duration,
    retry_pause: Duration,
}

/// One call.
#[derive(Clone, Debug)]
pub(crate) struct ApiCall {
    /// What is being done, for messages.
    pub(crate) step: &'static str,
    /// HTTP method.
    pub(crate) method: http::Method,
    /// Path with its query.
    pub(crate) path: String,
    /// JSON body; empty for none.
    pub(crate) body: Bytes,
    /// Headers besides the credentials.
    pub(crate) headers: http::HeaderMap,
    /// What repeating it would do.
    pub(crate) effect: CallEffect,
}

/// What a call changes, which decides what a lost answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallEffect {
    /// Nothing; it is asked again freely.
    Nothing,
    /// The same however often it arrives, for it names itself; a lost answer is settled by
    /// sending it again.
    Idempotent,
}

impl ApiCall {
    /// A question.
    pub(crate) fn get(step: &'static str, path: String) -> ApiCall {
        ApiCall {
            step,
            method: http::Method::GET,
            path,
            body: Bytes::new(),
            headers: http::HeaderMap::new(),
            effect: CallEffect::Nothing,
        }
    }

    /// A change that may be sent twice.
    pub(crate) fn change(step: &'static str, method: http::Method, path: String) -> ApiCall {
        ApiCall { method, effect: CallEffect::Idempotent, ..ApiCall::get(step, path) }
    }

    /// With `body` as JSON.
    pub(crate) fn with_json<T: Serialize>(mut self, body: &T) -> ApiCall {
        // Messages of the schema are plain trees with text keys, which JSON can always write.
        self.body = serde_json::to_vec(body).unwrap_or_default().into();
        self.headers
            .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
        self
    }

    /// With one more header.
    pub(crate) fn with_header(
        mut self,
        name: &'static str,
        value: &str,
    ) -> Result<ApiCall, error::Error> {
        self.headers.insert(name, header_value(name, value)?);
        Ok(self)
    }
}

impl ApiClient {
    /// A client that sends `authorization` with each call.
    pub(crate) fn new(
        connection: connection::ServerConnection,
        authorization: &str,
        common: &arguments::CommonArgs,
    ) -> Result<ApiClient, error::Error> {
        let mut authorization = header_value("authorization", authorization)?;
        authorization.set_sensitive(true);
        let timeout = common.timeout.0;
        let retry_pause = common.retry_pause.0;
        Ok(ApiClient { connection, authorization, timeout, retry_pause })
    }

    /// Name of the server.
    pub(crate) fn peer(&self) -> String {
        self.connection.authority().to_owned()
    }

    /// Sends `call` and reads the answer, again after a fault that a repeat may settle.
    ///
    /// A lost answer leaves open whether a change took effect; it would show as a job that runs
    /// though its caller was told that nothing was sent. Every change names itself by an id that
    /// stays the same over the repeats, so the server answers a repeat with what became of the
    /// first. Where the repeats fail too, the lost answer is what is reported: a later refusal is
    /// proof for its own attempt only.
    pub(crate) async fn call<T: DeserializeOwned>(&self, call: ApiCall) -> Result<T, error::Error> {
        let mut pauses = ExponentialBuilder::default()
            .with_min_delay(self.retry_pause)
            .with_max_times(RETRIES)
            .with_jitter()
            .build();
        let mut lost = None;
        loop {
            let fault = match self.attempt(&call).await {
                Ok(answer) => return Ok(answer),
                Err(fault) => fault,
            };
            let Some(pause) = pauses.next().filter(|_| is_worth_repeating(&fault)) else {
                return Err(lost.filter(|_| proves_one_attempt_only(&fault)).unwrap_or(fault));
            };
            if matches!(fault, error::Error::AnswerLost { .. }) {
                lost = Some(fault);
            }
            tokio::time::sleep(pause).await;
        }
    }

    async fn attempt<T: DeserializeOwned>(&self, call: &ApiCall) -> Result<T, error::Error> {
        let body = Full::new(call.body.clone()).map_err(|never| match never {}).boxed();
        let mut request = http::Request::new(body);
        *request.method_mut() = call.method.clone();
        *request.headers_mut() = call.headers.clone();
        let response = self.send(call.step, &call.path, request, self.timeout, call.effect).await?;
        let status = response.status();
        let lost = |detail: String| lost(call.step, self.peer(), detail, call.effect);
        let body = tokio::time::timeout(
            self.timeout,
            Limited::new(response.into_body(), ANSWER_BYTES).collect(),
        )
        .await
        .map_err(|_| lost(format!("half of it within {:?}", self.timeout)))?
        .map_err(|fault| lost(fault.to_string()))?
        .to_bytes();
        if !status.is_success() {
            return Err(self.refusal(call.step, status, &body));
        }
        serde_json::from_slice(&body).map_err(|fault| lost(format!("unreadable JSON: {fault}")))
    }

    /// Sends `request` to `path` and awaits the head of the answer.
    pub(crate) async fn send(
        &self,
        step: &'static str,
        path: &str,
        mut request: http::Request<connection::RequestBody>,
        timeout: Duration,
        effect: CallEffect,
    ) -> Result<http::Response<Incoming>, error::Error> {
        *request.uri_mut() =
            path.parse().map_err(|_| error::Error::HeaderValue { header: "path" })?;
        let host = header_value("host", self.connection.authority())?;
        request.headers_mut().insert(http::header::HOST, host);
        let authorization = self.authorization.clone();
        request.headers_mut().insert(http::header::AUTHORIZATION, authorization);
        self.connection.exchange(request, timeout).await.map_err(|fault| match fault {
            connection::ExchangeFault::NotSent(detail) => {
                error::Error::Unreachable { step, peer: self.peer(), detail }
            }
            connection::ExchangeFault::NoAnswer(detail) => lost(step, self.peer(), detail, effect),
        })
    }

    /// What the server said instead of a result.
    pub(crate) fn refusal(
        &self,
        step: &'static str,
        status: http::StatusCode,
        body: &[u8],
    ) -> error::Error {
        let peer = self.peer();
        if let Ok(problem) = serde_json::from_slice::<model::ProblemDetails>(body) {
            return error::Error::Problem { step, peer, problem: Box::new(problem) };
        }
        if let Ok(conflict) = serde_json::from_slice::<model::ConfigConflict>(body) {
            return error::Error::Conflict { step, peer, conflict: Box::new(conflict) };
        }
        if let Ok(found) = serde_json::from_slice::<model::ConfigFaults>(body) {
            return error::Error::Faults { step, peer, faults: found.faults };
        }
        let text = String::from_utf8_lossy(body);
        let detail = text.trim().chars().take(SHOWN_CHARS).collect();
        error::Error::Status { step, peer, status: status.as_u16(), detail }
    }
}

/// A lost answer, by what the call may have done.
pub(crate) fn lost(
    step: &'static str,
    peer: String,
    detail: String,
    effect: CallEffect,
) -> error::Error {
    match effect {
        CallEffect::Nothing => error::Error::NoAnswer { step, peer, detail },
        CallEffect::Idempotent => error::Error::AnswerLost { step, peer, detail },
    }
}

/// A value for a header, checked.
pub(crate) fn header_value(
    header: &'static str,
    value: &str,
) -> Result<http::HeaderValue, error::Error> {
    http::HeaderValue::from_str(value).map_err(|_| error::Error::HeaderValue { header })
}

fn is_worth_repeating(error: &error::Error) -> bool {
    matches!(
        error,
        error::Error::Unreachable { .. }
            | error::Error::NoAnswer { .. }
            | error::Error::AnswerLost { .. }
    )
}

/// Whether the error tells nothing about earlier attempts: not sent, or turned away for now.
fn proves_one_attempt_only(error: &error::Error) -> bool {
    matches!(error, error::Error::Unreachable { .. }) || error.retry_after().is_some()
}
