//! `almondpass config apply`

use std::io::Write;
use std::path::PathBuf;

use almondpass_schema::{ids, model};
use uuid::Uuid;

use crate::arguments;
use crate::error;
use crate::operator;
use crate::printer;
use crate::subcommand::config::check;

/// Arguments of `config apply`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct ApplyArgs {
    /// YAML or JSON file with the document.
    file: PathBuf,
    /// The version that was edited, as `config get` shows it; a newer one since is a conflict.
    #[arg(long, value_name = "NUMBER")]
    base: ids::ConfigVersion,
    /// Why, for the history.
    #[arg(long, value_name = "TEXT")]
    note: String,
    #[command(flatten)]
    operator: arguments::OperatorArgs,
}

pub(crate) async fn run<O: Write>(
    args: ApplyArgs,
    common: &arguments::CommonArgs,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    let document = check::read_document(&args.file)?;
    let client = operator::OperatorClient::new(common, &args.operator)?;
    let proposal = model::ConfigProposal {
        base: args.base,
        // Names the proposal over repeats after a lost answer: without it the repeat of an accepted
        // proposal would be answered as a conflict with itself.
        proposal: Some(Uuid::now_v7()),
        operator: client.name().to_owned(),
        note: args.note,
        document,
    };
    let accepted = client.propose(&proposal).await?;
    printer.print(&accepted, |it| format!("version {} is accepted", it.version))?;
    Ok(())
}
