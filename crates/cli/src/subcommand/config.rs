//! `almondpass config`

use std::io::Write;

use crate::arguments;
use crate::error;
use crate::printer;

mod apply;
mod check;
mod get;
mod history;

/// What to do with the configuration.
#[derive(Clone, Debug, clap::Subcommand)]
pub(crate) enum ConfigCommand {
    /// Prints the configuration in force, or an accepted version, as YAML.
    Get(get::GetArgs),
    /// Checks a document on this machine; needs no server.
    Check(check::CheckArgs),
    /// Makes a document the configuration in force, unless another operator was first.
    Apply(apply::ApplyArgs),
    /// Lists accepted versions, newest first.
    History(history::HistoryArgs),
}

pub(crate) async fn run<O: Write>(
    command: ConfigCommand,
    common: &arguments::CommonArgs,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    match command {
        ConfigCommand::Get(args) => get::run(args, common, printer).await,
        ConfigCommand::Check(args) => check::run(&args, printer),
        ConfigCommand::Apply(args) => apply::run(args, common, printer).await,
        ConfigCommand::History(args) => history::run(args, common, printer).await,
    }
}
