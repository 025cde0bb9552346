//! Responses of the console.

use bytes::Bytes;
use cookie::Cookie;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::Full;
use maud::Markup;
use serde::Serialize;

use crate::fault;
use crate::page::layout;

/// A response with its whole body.
pub type ConsoleResponse = Response<Full<Bytes>>;

/// A page. It may neither load nor run anything, nor be framed, so that markup which slipped
/// through the escaping could do nothing.
pub(crate) fn page(status: StatusCode, markup: Markup) -> ConsoleResponse {
    let mut response = respond(status, "text/html; charset=utf-8", markup.into_string());
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_SECURITY_POLICY, layout::content_security_policy());
    headers.insert(header::REFERRER_POLICY, HeaderValue::from_static("same-origin"));
    headers.insert(header::X_FRAME_OPTIONS, HeaderValue::from_static("DENY"));
    response
}

/// A JSON answer of the operators' API.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> ConsoleResponse {
    match serde_json::to_vec(body) {
        Ok(body) => respond(status, "application/json", body),
        Err(error) => {
            respond(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", format!("unwritable: {error}"))
        }
    }
}

/// A fault as the operators' API tells it.
pub(crate) fn problem(fault: &fault::ConsoleFault, step: &str) -> ConsoleResponse {
    let problem = fault.problem(step);
    let mut response = json(fault.status(), &problem);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if let Some(span) = problem.retry_after {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(span.0.as_secs()));
    }
    match fault {
        fault::ConsoleFault::SignedOut => {
            let challenge = HeaderValue::from_static("Basic realm=\"almondpass operators\"");
            headers.insert(header::WWW_AUTHENTICATE, challenge);
        }
        fault::ConsoleFault::Method { allowed } => {
            headers.insert(header::ALLOW, HeaderValue::from_static(allowed));
        }
        _ => {}
    }
    response
}

/// Sends the browser to another page, which it gets by GET.
pub(crate) fn see_other(path: &str) -> ConsoleResponse {
    let mut response = respond(StatusCode::SEE_OTHER, "text/plain", String::new());
    if let Ok(path) = HeaderValue::from_str(path) {
        response.headers_mut().insert(header::LOCATION, path);
    }
    response
}

/// Adds a cookie.
pub(crate) fn with_cookie(mut response: ConsoleResponse, cookie: &Cookie<'_>) -> ConsoleResponse {
    if let Ok(mut value) = HeaderValue::from_str(&cookie.to_string()) {
        value.set_sensitive(true);
        response.headers_mut().append(header::SET_COOKIE, value);
    }
    response
}

fn respond(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> ConsoleResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    headers.insert(header::X_CONTENT_TYPE_OPTIONS, HeaderValue::from_static("nosniff"));
    response
}
