//! `almondpass workers`

use std::io::Write;

use almondpass_schema::{ids, model};

use crate::arguments;
use crate::error;
use crate::operator;
use crate::printer;
use crate::table;

/// Arguments of `workers`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct WorkersArgs {
    /// Only this hall.
    #[arg(long, value_name = "HALL")]
    hall: Option<ids::HallName>,
    #[command(flatten)]
    operator: arguments::OperatorArgs,
}

pub(crate) async fn run<O: Write>(
    args: WorkersArgs,
    common: &arguments::CommonArgs,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    let client = operator::OperatorClient::new(common, &args.operator)?;
    let mut listing = client.workers().await?;
    if let Some(name) = args.hall {
        listing.halls.retain(|it| it.hall == name);
        if listing.halls.is_empty() {
            return Err(error::Error::NotFound { what: "hall", name });
        }
    }
    printer.print(&listing, listing_text)?;
    Ok(())
}

fn listing_text(listing: &model::WorkerListing) -> String {
    let workers = listing
        .halls
        .iter()
        .flat_map(|hall| hall.workers.iter().map(|it| (hall.hall.as_str(), it)));
    let mut text = table::workers(workers);
    for hall in &listing.halls {
        if let Some(why) = &hall.unavailable {
            text.push_str(&format!("\nhall {} did not answer: {why}", hall.hall));
        }
    }
    text
}
