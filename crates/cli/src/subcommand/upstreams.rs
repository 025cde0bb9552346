//! `almondpass upstreams`

use std::io::Write;

use crate::arguments;
use crate::error;
use crate::operator;
use crate::printer;
use crate::table;

/// Arguments of `upstreams`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct UpstreamsArgs {
    #[command(flatten)]
    operator: arguments::OperatorArgs,
}

pub(crate) async fn run<O: Write>(
    args: UpstreamsArgs,
    common: &arguments::CommonArgs,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    let client = operator::OperatorClient::new(common, &args.operator)?;
    printer.print(&client.upstreams().await?, table::upstreams)?;
    Ok(())
}
