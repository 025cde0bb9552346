//! What the head of a request says, and what of it goes on to the upstream.

use std::time::Duration;

use almondpass_membership::home;
use almondpass_ports::clock;
use almondpass_schema::{ids, model};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use uuid::Uuid;

use crate::deadline;
use crate::problem;

/// Names the job class.
pub const CLASS_HEADER: HeaderName = HeaderName::from_static("x-job-class");
/// A span or a time by which the caller wants its answer.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline");
/// Marks a request that must run at most once; a UUIDv7.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Id of the request; an upstream's answer must carry it back.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Keys from further in the future than this are refused: their age could not be judged.
const CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Headers that we add.
const ADDED: usize = 4;

/// Headers that belong to one connection, or to us, and go no further.
static NOT_FORWARDED: [HeaderName; 14] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::COOKIE,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// The bearer key, if there is one.
pub fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked("Bearer ".len())?;
    scheme.eq_ignore_ascii_case(b"Bearer ").then(|| key.trim_ascii())
}

/// Bytes of the names and values of all headers.
pub fn n_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
}

/// The length that the caller announced.
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// The text of a header that may be there once.
pub fn text<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, problem::Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = value.to_str().ok().filter(|_| values.next().is_none());
    // Proof of `not_run`: such a head is always refused before a scheduler hears of it.
    text.map(Some).ok_or_else(|| invalid(format!("expected one readable header {name}")))
}

/// The caller's deadline, or else the class's.
pub fn deadline(
    headers: &HeaderMap,
    clock: &clock::WallClock,
    class: &model::JobClass,
) -> Result<deadline::CallerDeadline, problem::Problem> {
    let Some(text) = text(headers, &DEADLINE_HEADER)? else {
        return Ok(deadline::CallerDeadline::after(clock, class.deadline.0));
    };
    deadline::CallerDeadline::parse(clock, text).ok_or_else(|| {
        invalid(format!("expected a span like `30s` or an RFC 3339 time in {DEADLINE_HEADER}"))
    })
}

/// The caller's idempotency key.
pub fn key(
    headers: &HeaderMap,
    clock: &clock::WallClock,
) -> Result<Option<ids::IdempotencyKey>, problem::Problem> {
    let Some(text) = text(headers, &KEY_HEADER)? else {
        return Ok(None);
    };
    let key = text.parse::<Uuid>().ok();
    let Some((key, made_at)) = key.and_then(|it| Some((it, home::key_time(&it)?))) else {
        return Err(invalid(format!("expected a UUIDv7 in {KEY_HEADER}")));
    };
    if clock.now() + CLOCK_SKEW < made_at {
        return Err(invalid(format!("expected a UUIDv7 of the past in {KEY_HEADER}")));
    }
    Ok(Some(key))
}

/// Headers that go beyond one connection.
pub fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|it| it.to_str().ok());
    let named = named
        .flat_map(|it| it.split(','))
        .filter_map(|it| HeaderName::from_bytes(it.trim().as_bytes()).ok())
        .collect::<Vec<_>>();
    let mut forwarded = HeaderMap::with_capacity(headers.len() + ADDED);
    for (name, value) in headers {
        if !NOT_FORWARDED.contains(name) && !named.contains(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// A request id as a header.
pub fn id_value(request: &ids::RequestId) -> HeaderValue {
    let mut buffer = Uuid::encode_buffer();
    let text = request.hyphenated().encode_lower(&mut buffer);
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// A head that no scheduler is asked about.
pub fn invalid(detail: impl Into<String>) -> problem::Problem {
    // Proof of `not_run`: a head like this one is refused each time it is sent, before a
    // scheduler or an upstream hears of it.
    let outcome = model::RequestOutcome::NotRun;
    problem::Problem::new(problem::ProblemKind::InvalidRequest, outcome, "request.head", detail)
}
