//! What a caller is told whose connection ends.

use almondpass_schema::model;
use bytes::Bytes;
use http::header::{self, HeaderValue};

use crate::problem;

/// Closes the connection after this answer.
pub fn close_after<B>(response: &mut http::Response<B>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// The whole answer to a head that did not arrive in time. The HTTP library closes such a
/// connection without a word, and the caller could not tell it from a crash.
pub fn slow_head() -> Bytes {
    // Proof of `not_run`: the head never arrived whole, so nobody was told of the request.
    let problem = problem::Problem::new(
        problem::ProblemKind::RequestTimeout,
        model::RequestOutcome::NotRun,
        "request.head",
        "expected the whole head in time, found part of it",
    );
    let mut response = problem.into_response();
    close_after(&mut response);
    let n_body = response.body().len();
    response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(n_body));
    let mut text = format!("HTTP/1.1 {}\r\n", response.status()).into_bytes();
    for (name, value) in response.headers() {
        text.extend_from_slice(name.as_str().as_bytes());
        text.extend_from_slice(b": ");
        text.extend_from_slice(value.as_bytes());
        text.extend_from_slice(b"\r\n");
    }
    text.extend_from_slice(b"\r\n");
    text.extend_from_slice(response.body());
    Bytes::from(text)
}
