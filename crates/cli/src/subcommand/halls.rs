//! `almondpass halls`

use std::io::Write;

use almondpass_schema::ids;

use crate::arguments;
use crate::error;
use crate::operator;
use crate::printer;
use crate::table;

/// Arguments of `halls`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct HallsArgs {
    /// Shows this hall instead of listing all.
    hall: Option<ids::HallName>,
    #[command(flatten)]
    operator: arguments::OperatorArgs,
}

pub(crate) async fn run<O: Write>(
    args: HallsArgs,
    common: &arguments::CommonArgs,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    let client = operator::OperatorClient::new(common, &args.operator)?;
    match args.hall {
        Some(hall) => printer.print(&client.hall(&hall).await?, table::hall)?,
        None => printer.print(&client.halls().await?, table::halls)?,
    }
    Ok(())
}
