//! A whole site at work in one process: three instances, a stand-in platform, real traffic.
//!
//! Callers, operators, the platform, workers and upstreams are all spoken to over loopback. At the
//! end the eight conditions are checked against what the stand-ins recorded.

pub mod balancer;
pub mod callers;
pub mod checks;
pub mod clock;
pub mod cluster;
mod course;
pub mod evidence;
pub mod gang_runs;
pub mod gangs;
pub mod http_client;
pub mod ledger;
pub mod operators;
pub mod report;
pub mod scenario;
pub mod site;
pub mod watcher;

use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use tokio::runtime;

use crate::logging;

/// How long and with what the demo runs.
#[derive(Clone, Debug, clap::Args)]
pub struct DemoArgs {
    /// Site to show.
    #[arg(long, value_enum, default_value = "laboratories")]
    site: site::SiteName,
    /// Seed of the traffic.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// For how many seconds callers send new work.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(20..=600))]
    seconds: u64,
    /// Runs no course: keeps the site up under calm traffic for so many minutes, and prints what to
    /// try the console and the command line with.
    #[arg(
        long,
        value_name = "MINUTES",
        conflicts_with_all = ["seconds", "json"],
        value_parser = clap::value_parser!(u64).range(1..=600)
    )]
    stay: Option<u64>,
    /// Prints the report as JSON.
    #[arg(long)]
    json: bool,
    /// Filter of the instances' logs, such as `info`; they go to standard error.
    #[arg(long, value_name = "FILTER", default_value = "off")]
    log: String,
}

/// Runs the demo; succeeds only if all conditions held.
pub fn run(args: DemoArgs) -> anyhow::Result<ExitCode> {
    logging::start(Some(&args.log))?;
    let seconds = args.stay.map_or(args.seconds, |minutes| minutes * 60);
    let options = scenario::DemoOptions {
        site: args.site,
        seed: args.seed,
        traffic: Duration::from_secs(seconds),
    };
    let runtime = runtime::Builder::new_multi_thread().enable_all().build().context("runtime")?;
    if args.stay.is_some() {
        runtime.block_on(scenario::stay(options))?;
        return Ok(ExitCode::SUCCESS);
    }
    let evidence = runtime.block_on(scenario::run(options))?;
    let report = report::DemoReport::new(args.seed, &evidence);
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        println!("\n{}", report.text());
    }
    Ok(if report.held { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
