//! `almondpass drain`

use std::io::Write;

use almondpass_schema::{ids, model};

use crate::arguments;
use crate::error;
use crate::operator;
use crate::printer;
use crate::table;

/// Arguments of `drain`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct DrainArgs {
    /// Drains this worker, or the upstream on this worker.
    #[arg(long, value_name = "WORKER")]
    worker: Option<ids::WorkerId>,
    /// Drains this upstream.
    #[arg(long, value_name = "UPSTREAM")]
    upstream: Option<ids::UpstreamName>,
    /// Calls the drain off.
    #[arg(long)]
    off: bool,
    #[command(flatten)]
    operator: arguments::OperatorArgs,
}

pub(crate) async fn run<O: Write>(
    args: DrainArgs,
    common: &arguments::CommonArgs,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    let client = operator::OperatorClient::new(common, &args.operator)?;
    let drain = model::DrainRequest { worker: args.worker, upstream: args.upstream };
    let listing = if drain.worker.is_none() && drain.upstream.is_none() {
        client.drains().await?
    } else if args.off {
        client.undrain(&drain).await?
    } else {
        client.drain(&drain).await?
    };
    printer.print(&listing, table::drains)?;
    Ok(())
}
