//! `almondpass submit`

use std::io::Write;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::{Duration, SystemTime};

use almondpass_schema::{ids, model, time};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;
use uuid::Uuid;

use crate::arguments;
use crate::caller;
use crate::connection;
use crate::error;
use crate::printer;
use crate::subcommand::wait;
use crate::table;

/// File name that stands for standard input.
const STDIN_NAME: &str = "-";
/// Longest exchange of a request without a deadline.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(3600);
/// How long past its deadline the server may take to say so.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);
/// Header of an answer with the id of its request.
const REQUEST_HEADER: &str = "x-request-id";

/// Arguments of `submit`. With `--body` it is a request, answered at once; otherwise a job.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct SubmitArgs {
    /// Job class.
    class: ids::ClassName,
    #[command(flatten)]
    request: RequestArgs,
    #[command(flatten)]
    job: JobArgs,
    /// When the result is worthless: a span such as `30s`, or a time such as `2026-03-01T06:00:00Z`.
    #[arg(long, value_name = "WHEN")]
    deadline: Option<Deadline>,
    /// UUIDv7 that names the work over all repeats; made up when absent.
    #[arg(long, value_name = "UUID")]
    idempotency_key: Option<ids::IdempotencyKey>,
    /// Submits again what did not run, for this long, as often as the server invites it.
    #[arg(long, value_name = "SPAN", default_value = "0s")]
    retry_for: time::TimeSpan,
    #[command(flatten)]
    poll: wait::PollArgs,
    #[command(flatten)]
    caller: arguments::CallerArgs,
}

/// What only a request has.
#[derive(Clone, Debug, clap::Args)]
struct RequestArgs {
    /// Sends a request with this file as its body, `-` for standard input; prints the answer.
    #[arg(long, value_name = "FILE", help_heading = "Requests")]
    body: Option<PathBuf>,
    /// Content type of the body.
    #[arg(
        long,
        value_name = "TYPE",
        default_value = "application/octet-stream",
        help_heading = "Requests"
    )]
    content_type: String,
}

/// What only a job has.
#[derive(Clone, Debug, clap::Args)]
struct JobArgs {
    /// Tasks of the gang; all run or none.
    #[arg(
        long,
        value_name = "COUNT",
        default_value_t = 1,
        conflicts_with = "body",
        help_heading = "Jobs"
    )]
    tasks: u32,
    /// Accelerators of each task.
    #[arg(
        long,
        value_name = "COUNT",
        default_value_t = 0,
        conflicts_with = "body",
        help_heading = "Jobs"
    )]
    accelerators: u32,
    /// Cores of each task.
    #[arg(
        long,
        value_name = "COUNT",
        default_value_t = 1,
        conflicts_with = "body",
        help_heading = "Jobs"
    )]
    cores: u32,
    /// Memory of each task in MiB.
    #[arg(
        long,
        value_name = "MIB",
        default_value_t = 256,
        conflicts_with = "body",
        help_heading = "Jobs"
    )]
    memory: u64,
    /// How close the accelerators of all tasks must lie: any, worker, rack or hall.
    #[arg(long, value_name = "HOW", default_value_t = model::Adjacency::Any, conflicts_with = "body", help_heading = "Jobs")]
    adjacency: model::Adjacency,
    /// Only in this hall.
    #[arg(long, value_name = "HALL", conflicts_with = "body", help_heading = "Jobs")]
    hall: Option<ids::HallName>,
    /// Claims this guaranteed shape of the account.
    #[arg(long, value_name = "NAME", conflicts_with = "body", help_heading = "Jobs")]
    guarantee: Option<ids::GuaranteeName>,
    /// Expected run time; a hint.
    #[arg(long, value_name = "SPAN", conflicts_with = "body", help_heading = "Jobs")]
    run_time: Option<time::TimeSpan>,
    /// Passed to the tasks.
    #[arg(long, value_name = "TEXT", conflicts_with = "body", help_heading = "Jobs")]
    arguments: Option<String>,
    /// Waits until the job has ended.
    #[arg(long, conflicts_with = "body", help_heading = "Jobs")]
    wait: bool,
}

/// When a result is worthless.
#[derive(Clone, Copy, Debug)]
enum Deadline {
    /// So long from now.
    After(time::TimeSpan),
    /// Then.
    At(time::WallTime),
}

impl Deadline {
    fn at(self, now: time::WallTime) -> time::WallTime {
        match self {
            Deadline::After(span) => now + span.0,
            Deadline::At(time) => time,
        }
    }
}

impl FromStr for Deadline {
    type Err = String;

    fn from_str(text: &str) -> Result<Deadline, String> {
        if let Ok(span) = text.parse() {
            return Ok(Deadline::After(span));
        }
        let time = text.parse().map_err(|_| {
            "expected a span such as `30s` or a time such as `2026-03-01T06:00:00Z`".to_owned()
        })?;
        Ok(Deadline::At(time))
    }
}

pub(crate) async fn run<O: Write>(
    args: SubmitArgs,
    common: &arguments::CommonArgs,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    let client = caller::CallerClient::new(common, &args.caller)?;
    // The key stays the same over every repeat: that is how the server knows them for one.
    let key = args.idempotency_key.unwrap_or_else(Uuid::now_v7);
    let retry = RetryWindow::open(&args, common);
    match &args.request.body {
        Some(body) => submit_request(&client, &args, body, key, &retry, printer).await,
        None => submit_job(&client, &args, key, &retry, printer).await,
    }
}

async fn submit_job<O: Write>(
    client: &caller::CallerClient,
    args: &SubmitArgs,
    key: ids::IdempotencyKey,
    retry: &RetryWindow,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    let job = &args.job;
    let submission = model::JobSubmission {
        class: args.class.clone(),
        tasks: job.tasks,
        accelerators: job.accelerators,
        cores: job.cores,
        memory_mb: job.memory,
        adjacency: job.adjacency,
        hall: job.hall.clone(),
        guarantee: job.guarantee.clone(),
        run_time: job.run_time,
        deadline: args.deadline.map(|it| it.at(wall_now())),
        arguments: job.arguments.clone(),
    };
    let record = loop {
        match client.submit_job(&submission, key).await {
            Ok(record) => break record,
            Err(fault) => retry.pause_or_fail(fault).await?,
        }
    };
    if job.wait {
        return wait::until_ended(client, record, &args.poll, printer).await;
    }
    printer.print(&record, table::job)?;
    Ok(())
}

async fn submit_request<O: Write>(
    client: &caller::CallerClient,
    args: &SubmitArgs,
    path: &Path,
    key: ids::IdempotencyKey,
    retry: &RetryWindow,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    let deadline = args.deadline.map(|it| it.at(wall_now()));
    let form = caller::RequestForm {
        class: args.class.clone(),
        content_type: args.request.content_type.clone(),
        deadline: deadline.map(|it| it.to_string()),
        key,
    };
    let limit =
        deadline.map_or(EXCHANGE_LIMIT, |it| it.since(wall_now()).saturating_add(DEADLINE_GRACE));
    loop {
        let body = request_body(path).await?;
        match client.request(&form, body, limit).await {
            Ok(response) => return print_answer(client, response, limit, printer).await,
            // What was read from standard input cannot be sent again.
            Err(fault) if path == Path::new(STDIN_NAME) => return Err(fault),
            Err(fault) => retry.pause_or_fail(fault).await?,
        }
    }
}

/// For how long work that did not run is submitted again.
struct RetryWindow {
    started: Instant,
    length: Duration,
    least_pause: Duration,
}

impl RetryWindow {
    fn open(args: &SubmitArgs, common: &arguments::CommonArgs) -> RetryWindow {
        RetryWindow {
            started: Instant::now(),
            length: args.retry_for.0,
            least_pause: common.retry_pause.0,
        }
    }

    /// Pauses before a repeat that is safe, or hands the fault back. Only a proof that nothing ran
    /// allows one: after a lost answer the first copy may still run, and for a repeatable class,
    /// whose keys the server does not record, a second would run beside it.
    async fn pause_or_fail(&self, fault: error::Error) -> Result<(), error::Error> {
        let pause = match &fault {
            error::Error::Unreachable { .. } => Some(self.least_pause),
            fault => fault.retry_after().map(|it| it.0.max(self.least_pause)),
        };
        let Some(pause) = pause.filter(|it| self.started.elapsed() + *it <= self.length) else {
            return Err(fault);
        };
        tokio::time::sleep(pause).await;
        Ok(())
    }
}

async fn request_body(path: &Path) -> Result<connection::RequestBody, error::Error> {
    if path == Path::new(STDIN_NAME) {
        return Ok(caller::streamed_body(tokio::io::stdin()));
    }
    Ok(caller::streamed_body(caller::open_body(path).await?))
}

/// Writes the answer as it arrives. An answer that breaks off is an error even though a part of it
/// was written: a script must not take half a certificate for a whole one.
async fn print_answer<O: Write>(
    client: &caller::CallerClient,
    response: http::Response<Incoming>,
    limit: Duration,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    let request = response
        .headers()
        .get(REQUEST_HEADER)
        .and_then(|it| it.to_str().ok())
        .unwrap_or("without an id")
        .to_owned();
    let broken = |detail: String| {
        client.answer_lost(format!("a part of the answer to request {request}: {detail}"))
    };
    let mut body = response.into_body();
    loop {
        let frame = tokio::time::timeout(limit, body.frame())
            .await
            .map_err(|_| broken(format!("nothing for {limit:?}")))?;
        let Some(frame) = frame else { return Ok(()) };
        let frame = frame.map_err(|fault| broken(fault.to_string()))?;
        if let Ok(data) = frame.into_data() {
            printer.bytes(&data)?;
        }
    }
}

fn wall_now() -> time::WallTime {
    time::WallTime(SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default())
}
