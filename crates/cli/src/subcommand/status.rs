//! `almondpass status`

use std::io::Write;

use almondpass_schema::ids;

use crate::arguments;
use crate::caller;
use crate::error;
use crate::printer;
use crate::table;

/// Arguments of `status`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct StatusArgs {
    /// The job.
    job: ids::JobId,
    #[command(flatten)]
    caller: arguments::CallerArgs,
}

pub(crate) async fn run<O: Write>(
    args: StatusArgs,
    common: &arguments::CommonArgs,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    let client = caller::CallerClient::new(common, &args.caller)?;
    let record = client.job(args.job).await?;
    printer.print(&record, table::job)?;
    Ok(())
}
