//! The command line.

use clap::{Parser, Subcommand};

use crate::compare;
use crate::cost;

/// Measures the decision core beside ordinary schedulers on seeded traces.
#[derive(Clone, Debug, Parser)]
#[command(name = "almondpass-replay", version)]
pub struct ReplayArgs {
    /// What to do.
    #[command(subcommand)]
    pub command: ReplayCommand,
}

/// What to do.
#[derive(Clone, Debug, Subcommand)]
pub enum ReplayCommand {
    /// Replays traces against the policy and the baselines.
    Compare(compare::CompareArgs),
    /// Measures the time of decisions and turns, and memory.
    Cost(cost::CostArgs),
}

impl ReplayArgs {
    /// Does it.
    pub fn run(&self) -> anyhow::Result<()> {
        match &self.command {
            ReplayCommand::Compare(args) => compare::run(args),
            ReplayCommand::Cost(args) => cost::run(args),
        }
    }
}
