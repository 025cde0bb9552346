//! What the program can do, one module each.

use std::io::Write;

use crate::arguments;
use crate::error;
use crate::printer;

mod cancel;
mod completions;
mod config;
mod drain;
mod halls;
mod jobs;
mod status;
mod submit;
mod upstreams;
mod wait;
mod workers;

/// What to do.
#[derive(Clone, Debug, clap::Subcommand)]
pub(crate) enum Subcommand {
    /// Submits a request and prints its answer, or submits a job.
    Submit(Box<submit::SubmitArgs>),
    /// Shows a job: where it stands, and why it waits or ended.
    Status(status::StatusArgs),
    /// Waits until a job has ended.
    Wait(wait::WaitArgs),
    /// Cancels a job; cancelling twice changes nothing.
    Cancel(cancel::CancelArgs),
    /// Lists the jobs of the account, oldest first.
    Jobs(jobs::JobsArgs),
    /// Lists the halls, or shows one: workers, guarantees and what waits.
    Halls(halls::HallsArgs),
    /// Lists the workers.
    Workers(workers::WorkersArgs),
    /// Lists the upstreams.
    Upstreams(upstreams::UpstreamsArgs),
    /// Drains a worker or an upstream, calls a drain off, or lists the drains.
    Drain(drain::DrainArgs),
    /// Reads, checks and applies the configuration.
    #[command(subcommand)]
    Config(config::ConfigCommand),
    /// Prints completions for a shell.
    Completions(completions::CompletionsArgs),
}

/// Runs the subcommand of `arguments`.
pub(crate) async fn run<O: Write>(
    arguments: arguments::Arguments,
    out: &mut O,
) -> Result<(), error::Error> {
    let common = arguments.common;
    let mut printer = printer::OutputPrinter::new(out, common.json);
    match arguments.subcommand {
        Subcommand::Submit(args) => submit::run(*args, &common, &mut printer).await,
        Subcommand::Status(args) => status::run(args, &common, &mut printer).await,
        Subcommand::Wait(args) => wait::run(args, &common, &mut printer).await,
        Subcommand::Cancel(args) => cancel::run(args, &common, &mut printer).await,
        Subcommand::Jobs(args) => jobs::run(args, &common, &mut printer).await,
        Subcommand::Halls(args) => halls::run(args, &common, &mut printer).await,
        Subcommand::Workers(args) => workers::run(args, &common, &mut printer).await,
        Subcommand::Upstreams(args) => upstreams::run(args, &common, &mut printer).await,
        Subcommand::Drain(args) => drain::run(args, &common, &mut printer).await,
        Subcommand::Config(command) => config::run(command, &common, &mut printer).await,
        Subcommand::Completions(args) => completions::run(&args, &mut printer),
    }
}
