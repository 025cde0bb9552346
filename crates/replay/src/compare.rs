//! Replays the same traces against the policy and the baselines, side by side.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use almondpass_policy::{baseline_best_fit, baseline_first_fit, core};
use clap::{Args, ValueEnum};
use serde::Serialize;

use crate::engine;
use crate::report;
use crate::site;
use crate::tally;
use crate::trace;

/// First seed for tuning the policy; figures from these are not reported.
const TUNING_SEED: u64 = 1_000;
/// First seed for reporting; the policy is never tuned on these.
const REPORTING_SEED: u64 = 9_000;

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// The policy.
    Almondpass,
    /// First fit in arrival order.
    FirstFit,
    /// Best fit with backfill.
    BestFit,
}

/// Which seeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SeedSet {
    /// For changing the policy.
    Tuning,
    /// For figures that are published.
    Reporting,
}

impl SeedSet {
    fn first(self) -> u64 {
        match self {
            SeedSet::Tuning => TUNING_SEED,
            SeedSet::Reporting => REPORTING_SEED,
        }
    }
}

/// Replays traces against the policy and the baselines.
#[derive(Clone, Debug, Args)]
pub struct CompareArgs {
    /// Sites to replay.
    #[arg(long, value_delimiter = ',', default_values_t = [site::SiteName::Laboratories, site::SiteName::Association], value_enum)]
    pub sites: Vec<site::SiteName>,
    /// Offered loads in percent of the hall.
    #[arg(long, value_delimiter = ',', default_values_t = [60, 85, 100])]
    pub loads: Vec<u32>,
    /// Policies.
    #[arg(long, value_delimiter = ',', default_values_t = PolicyName::value_variants().to_vec(), value_enum)]
    pub policies: Vec<PolicyName>,
    /// Which seeds.
    #[arg(long, default_value = "reporting", value_enum)]
    pub seeds: SeedSet,
    /// How many seeds.
    #[arg(long, default_value_t = 5)]
    pub n_seeds: u64,
    /// Hours in which work arrives.
    #[arg(long, default_value_t = 8)]
    pub hours: u64,
    /// Replays at a time.
    #[arg(long, default_value_t = 3)]
    pub threads: usize,
    /// Prints JSON instead of tables.
    #[arg(long)]
    pub json: bool,
}

/// One policy at one site and load, over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct CompareCell {
    /// The site.
    pub site: site::SiteName,
    /// Offered load in percent.
    pub load: u32,
    /// The policy.
    pub policy: PolicyName,
    /// What was measured.
    pub summary: tally::ReplaySummary,
}

#[derive(Clone, Copy)]
struct CompareTask {
    cell: usize,
    site: site::SiteName,
    load: u32,
    policy: PolicyName,
    seed: u64,
}

/// Runs the comparison and prints it.
pub fn run(args: &CompareArgs) -> anyhow::Result<()> {
    let cells = compare(args)?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&cells)?);
    } else {
        println!("{}", report::tables(&cells));
    }
    Ok(())
}

/// Runs the comparison.
pub fn compare(args: &CompareArgs) -> anyhow::Result<Vec<CompareCell>> {
    let tasks = tasks(args);
    let n_cells = tasks.iter().map(|it| it.cell + 1).max().unwrap_or(0);
    let tallies = Mutex::new(vec![tally::ReplayTally::default(); n_cells]);
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        let work = || -> anyhow::Result<()> {
            while let Some(task) = tasks.get(next.fetch_add(1, Ordering::Relaxed)) {
                let tally = replay(task, Duration::from_secs(args.hours * 3_600))?;
                tallies.lock().expect("no replay panics with the lock")[task.cell].merge(&tally);
            }
            Ok(())
        };
        let threads: Vec<_> = (0..args.threads).map(|_| scope.spawn(work)).collect();
        threads.into_iter().try_for_each(|it| it.join().expect("a replay that does not panic"))
    })?;
    let tallies = tallies.into_inner()?;
    let cell = |(index, tally): (usize, &tally::ReplayTally)| {
        let task = tasks.iter().find(|it| it.cell == index)?;
        let summary = tally.summary();
        Some(CompareCell { site: task.site, load: task.load, policy: task.policy, summary })
    };
    Ok(tallies.iter().enumerate().filter_map(cell).collect())
}

fn tasks(args: &CompareArgs) -> Vec<CompareTask> {
    let mut tasks = Vec::new();
    let mut cell = 0;
    for &site in &args.sites {
        for &load in &args.loads {
            for &policy in &args.policies {
                let seeds = (0..args.n_seeds).map(|it| args.seeds.first() + it);
                tasks.extend(seeds.map(|seed| CompareTask { cell, site, load, policy, seed }));
                cell += 1;
            }
        }
    }
    tasks
}

fn replay(task: &CompareTask, span: Duration) -> anyhow::Result<tally::ReplayTally> {
    let document = Arc::new(task.site.document());
    let load = f64::from(task.load) / 100.0;
    let spec = trace::TraceSpec { site: task.site, load, span, seed: task.seed };
    let trace = trace::Trace::generate(&spec);
    match task.policy {
        PolicyName::Almondpass => engine::replay::<core::HallCore>(&document, &trace, task.seed),
        PolicyName::FirstFit => {
            engine::replay::<baseline_first_fit::FirstFit>(&document, &trace, task.seed)
        }
        PolicyName::BestFit => {
            engine::replay::<baseline_best_fit::BestFit>(&document, &trace, task.seed)
        }
    }
}
