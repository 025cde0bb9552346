//! `almondpass config history`

use std::io::Write;

use almondpass_schema::ids;

use crate::arguments;
use crate::error;
use crate::operator;
use crate::printer;
use crate::table;

/// Arguments of `config history`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct HistoryArgs {
    /// Only versions before this one.
    #[arg(long, value_name = "NUMBER")]
    before: Option<ids::ConfigVersion>,
    #[command(flatten)]
    operator: arguments::OperatorArgs,
}

pub(crate) async fn run<O: Write>(
    args: HistoryArgs,
    common: &arguments::CommonArgs,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    let client = operator::OperatorClient::new(common, &args.operator)?;
    printer.print(&client.history(args.before).await?, table::history)?;
    Ok(())
}
