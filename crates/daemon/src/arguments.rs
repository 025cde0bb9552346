//! The command line.

use clap::Parser;

use crate::subcommand;

/// Schedules multi-accelerator jobs under tenant guarantees.
#[derive(Clone, Debug, Parser)]
#[command(name = "almondpassd", version)]
pub struct Arguments {
    /// What to do.
    #[command(subcommand)]
    pub subcommand: subcommand::Subcommand,
}
