//! `almondpass wait`

use std::io::Write;

use almondpass_schema::{ids, model, time};
use backon::{BackoffBuilder, ExponentialBuilder};
use tokio::time::Instant;

use crate::arguments;
use crate::caller;
use crate::error;
use crate::printer;
use crate::table;

/// How a job is waited for.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct PollArgs {
    /// First pause between two looks; it grows up to `--pause-limit`.
    #[arg(long, value_name = "SPAN", default_value = "250ms")]
    pause: time::TimeSpan,
    /// Longest pause between two looks.
    #[arg(long, value_name = "SPAN", default_value = "5s")]
    pause_limit: time::TimeSpan,
    /// Gives up after this; the job goes on.
    #[arg(long, value_name = "SPAN")]
    within: Option<time::TimeSpan>,
}

/// Arguments of `wait`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct WaitArgs {
    /// The job.
    job: ids::JobId,
    #[command(flatten)]
    poll: PollArgs,
    #[command(flatten)]
    caller: arguments::CallerArgs,
}

pub(crate) async fn run<O: Write>(
    args: WaitArgs,
    common: &arguments::CommonArgs,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    let client = caller::CallerClient::new(common, &args.caller)?;
    let record = client.job(args.job).await?;
    until_ended(&client, record, &args.poll, printer).await
}

/// Looks at the job again and again until it has ended, showing people each new state.
pub(crate) async fn until_ended<O: Write>(
    client: &caller::CallerClient,
    mut record: model::JobRecord,
    poll: &PollArgs,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    let started = Instant::now();
    let mut pauses = ExponentialBuilder::default()
        .with_min_delay(poll.pause.0)
        .with_max_delay(poll.pause_limit.0)
        .with_factor(1.5)
        .without_max_times()
        .with_jitter()
        .build();
    let mut shown = None;
    while !has_ended(record.state) {
        if !printer.is_json() && shown.as_ref() != Some(&standing(&record)) {
            shown = Some(standing(&record));
            printer.line(&standing(&record))?;
        }
        if let Some(limit) = poll.within
            && limit.0 <= started.elapsed()
        {
            return Err(error::Error::JobUnended { job: record.job, state: record.state, limit });
        }
        tokio::time::sleep(pauses.next().unwrap_or(poll.pause_limit.0)).await;
        record = client.job(record.job).await?;
    }
    printer.print(&record, table::job)?;
    if record.state == model::JobState::Done {
        return Ok(());
    }
    Err(error::Error::JobEnded { job: record.job, state: record.state, reason: record.reason })
}

fn has_ended(state: model::JobState) -> bool {
    match state {
        model::JobState::Queued
        | model::JobState::Starting
        | model::JobState::Running
        | model::JobState::Checkpointing => false,
        model::JobState::Done
        | model::JobState::Failed
        | model::JobState::NotRun
        | model::JobState::Unknown
        | model::JobState::Cancelled => true,
    }
}

fn standing(record: &model::JobRecord) -> String {
    match &record.reason {
        Some(reason) => format!("{}: {}", record.state, reason.text),
        None => record.state.to_string(),
    }
}
