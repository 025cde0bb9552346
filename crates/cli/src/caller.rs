//! The callers' interface.

use std::time::Duration;

use almondpass_schema::{ids, model};
use futures_util::TryStreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::fs::File;
use tokio::io::AsyncRead;
use tokio_util::io::ReaderStream;

use crate::api;
use crate::arguments;
use crate::connection;
use crate::error;

/// Header that names the job class of a request.
const CLASS_HEADER: &str = "x-job-class";
/// Header with the caller's deadline.
const DEADLINE_HEADER: &str = "x-deadline";
/// Header that lets the server know a repeat.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Step of a request, for messages.
const REQUEST_STEP: &str = "submit request";
/// Largest problem that is read.
const PROBLEM_BYTES: usize = 64 << 10;

/// Speaks as a client account.
pub(crate) struct CallerClient {
    api: api::ApiClient,
}

/// A request that is answered on its connection.
pub(crate) struct RequestForm {
    /// Its job class.
    pub(crate) class: ids::ClassName,
    /// Content type of the body.
    pub(crate) content_type: String,
    /// The deadline, as the caller wrote it.
    pub(crate) deadline: Option<String>,
    /// Names the request over all its repeats.
    pub(crate) key: ids::IdempotencyKey,
}

impl CallerClient {
    /// A client by the command line.
    pub(crate) fn new(
        common: &arguments::CommonArgs,
        caller: &arguments::CallerArgs,
    ) -> Result<CallerClient, error::Error> {
        let connection = connection::ServerConnection::new(&caller.server, common.ca.as_deref())?;
        let authorization = format!("Bearer {}", caller.key);
        let api = api::ApiClient::new(connection, &authorization, common)?;
        Ok(CallerClient { api })
    }

    /// Submits a job under `key`.
    pub(crate) async fn submit_job(
        &self,
        submission: &model::JobSubmission,
        key: ids::IdempotencyKey,
    ) -> Result<model::JobRecord, error::Error> {
        let call = api::ApiCall::change("submit job", http::Method::POST, "/v1/jobs".to_owned())
            .with_json(submission)
            .with_header(IDEMPOTENCY_HEADER, &key.to_string())?;
        self.api.call(call).await
    }

    /// Reads a job.
    pub(crate) async fn job(&self, job: ids::JobId) -> Result<model::JobRecord, error::Error> {
        self.api.call(api::ApiCall::get("read job", format!("/v1/jobs/{job}"))).await
    }

    /// Cancels a job; repeated, it changes nothing.
    pub(crate) async fn cancel(&self, job: ids::JobId) -> Result<model::JobRecord, error::Error> {
        let path = format!("/v1/jobs/{job}");
        self.api.call(api::ApiCall::change("cancel job", http::Method::DELETE, path)).await
    }

    /// Reads a page of jobs behind `after`.
    pub(crate) async fn jobs(
        &self,
        after: Option<ids::JobId>,
        limit: u32,
    ) -> Result<model::JobPage, error::Error> {
        let after = after.map(|it| format!("&after={it}")).unwrap_or_default();
        let path = format!("/v1/jobs?limit={limit}{after}");
        self.api.call(api::ApiCall::get("list jobs", path)).await
    }

    /// Sends a request once and returns the head of its answer; the body follows as it arrives.
    pub(crate) async fn request(
        &self,
        form: &RequestForm,
        body: connection::RequestBody,
        timeout: Duration,
    ) -> Result<http::Response<Incoming>, error::Error> {
        let mut request = http::Request::new(body);
        *request.method_mut() = http::Method::POST;
        let headers = request.headers_mut();
        let content_type = api::header_value("content-type", &form.content_type)?;
        headers.insert(http::header::CONTENT_TYPE, content_type);
        headers.insert(CLASS_HEADER, api::header_value(CLASS_HEADER, &form.class)?);
        let key = api::header_value(IDEMPOTENCY_HEADER, &form.key.to_string())?;
        headers.insert(IDEMPOTENCY_HEADER, key);
        if let Some(deadline) = &form.deadline {
            headers.insert(DEADLINE_HEADER, api::header_value(DEADLINE_HEADER, deadline)?);
        }
        let effect = api::CallEffect::Idempotent;
        let response =
            self.api.send(REQUEST_STEP, "/v1/requests", request, timeout, effect).await?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let body = http_body_util::Limited::new(response.into_body(), PROBLEM_BYTES)
            .collect()
            .await
            .map_err(|fault| self.answer_lost(fault.to_string()))?
            .to_bytes();
        Err(self.api.refusal(REQUEST_STEP, status, &body))
    }

    /// An answer that broke off.
    pub(crate) fn answer_lost(&self, detail: String) -> error::Error {
        api::lost(REQUEST_STEP, self.api.peer(), detail, api::CallEffect::Idempotent)
    }
}

/// A body that is read from `source` as it is sent.
pub(crate) fn streamed_body<R>(source: R) -> connection::RequestBody
where
    R: AsyncRead + Send + Sync + 'static,
{
    StreamBody::new(ReaderStream::new(source).map_ok(Frame::data)).boxed()
}

/// Opens the file of a body.
pub(crate) async fn open_body(path: &std::path::Path) -> Result<File, error::Error> {
    File::open(path)
        .await
        .map_err(|source| error::Error::ReadFile { path: path.to_owned(), source })
}
