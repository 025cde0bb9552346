//! Measures what control costs, and how fast halls and configurations move, at several sizes of
//! the fleet: whole instances in one process, over sockets of loopback, on the stand-in platform.
//!
//! ```text
//! cargo run --release -p almondpass-daemon --example measure_fleet -- --seconds 10 --moves 2
//! ```

mod cost;
mod fleet;
mod moves;
mod report;
mod tasks;

use std::time::Duration;

use almondpass_schema::time;
use clap::Parser;

/// Sizes and spans of the measurement.
#[derive(Clone, Debug, Parser)]
struct BenchArgs {
    /// Numbers of instances.
    #[arg(long, value_delimiter = ',', default_value = "3,9,30")]
    instances: Vec<usize>,
    /// Numbers of worker stand-ins.
    #[arg(long, value_delimiter = ',', default_value = "50,400,1300")]
    workers: Vec<usize>,
    /// Tasks that run on each worker while loaded.
    #[arg(long, default_value_t = 14)]
    tasks: usize,
    /// Seconds that the tasks run before the costs are measured; workers of old tasks are called
    /// less often.
    #[arg(long, default_value_t = 125)]
    age: u64,
    /// Between renewals at a worker.
    #[arg(long, default_value = "1s")]
    worker_poll: time::TimeSpan,
    /// Seconds of each measurement of costs.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Configuration changes, crashes and hand-overs at each size.
    #[arg(long, default_value_t = 3)]
    moves: usize,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args = BenchArgs::parse();
    report::print_head();
    for n_workers in &args.workers {
        for n_instances in &args.instances {
            let point = measure(&args, *n_instances, *n_workers).await?;
            report::print(&point);
        }
    }
    Ok(())
}

async fn measure(
    args: &BenchArgs,
    n_instances: usize,
    n_workers: usize,
) -> anyhow::Result<report::BenchPoint> {
    let span = Duration::from_secs(args.seconds);
    let mut fleet = fleet::BenchFleet::start(n_instances, n_workers, args.worker_poll).await?;
    let idle = cost::measure(&fleet, span).await;
    let versions = moves::change_configuration(&mut fleet, args.moves).await?;
    let tasks = tasks::run_tasks(&fleet, n_workers * args.tasks).await?;
    if 0 < tasks {
        tokio::time::sleep(Duration::from_secs(args.age)).await;
    }
    let loaded = cost::measure(&fleet, span).await;
    let hand_overs = moves::hand_over(&mut fleet, args.moves).await?;
    let takeovers = moves::crash(&mut fleet, args.moves).await?;
    let rss_mb = cost::resident_mb();
    fleet.end().await;
    Ok(report::BenchPoint {
        n_instances,
        n_workers,
        idle,
        tasks,
        loaded,
        versions,
        hand_overs,
        takeovers,
        rss_mb,
    })
}
