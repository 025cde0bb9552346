//! `almondpass jobs`

use std::io::Write;

use almondpass_schema::{ids, model};

use crate::arguments;
use crate::caller;
use crate::error;
use crate::printer;
use crate::table;

/// Most jobs asked for at once.
const PAGE_JOBS: u32 = 100;

/// Arguments of `jobs`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct JobsArgs {
    /// Only jobs behind this one.
    #[arg(long, value_name = "JOB")]
    after: Option<ids::JobId>,
    /// Lists at most this many.
    #[arg(long, value_name = "COUNT", default_value_t = PAGE_JOBS)]
    limit: u32,
    #[command(flatten)]
    caller: arguments::CallerArgs,
}

pub(crate) async fn run<O: Write>(
    args: JobsArgs,
    common: &arguments::CommonArgs,
    printer: &mut printer::OutputPrinter<'_, O>,
) -> Result<(), error::Error> {
    let client = caller::CallerClient::new(common, &args.caller)?;
    let page = read_pages(&client, args.after, args.limit).await?;
    printer.print(&page, page_text)?;
    Ok(())
}

/// Reads pages until there are `limit` jobs or no more; `next` says where to go on.
async fn read_pages(
    client: &caller::CallerClient,
    after: Option<ids::JobId>,
    limit: u32,
) -> Result<model::JobPage, error::Error> {
    let mut found = model::JobPage { jobs: Vec::new(), next: after };
    let mut left = limit;
    while 0 < left {
        let page = client.jobs(found.next, left.min(PAGE_JOBS)).await?;
        left = left.saturating_sub(u32::try_from(page.jobs.len()).unwrap_or(u32::MAX));
        found.next = page.next;
        found.jobs.extend(page.jobs);
        if found.next.is_none() {
            break;
        }
    }
    Ok(found)
}

fn page_text(page: &model::JobPage) -> String {
    let more =
        page.next.map(|it| format!("\nmore: almondpass jobs --after {it}")).unwrap_or_default();
    table::jobs(&page.jobs) + &more
}
