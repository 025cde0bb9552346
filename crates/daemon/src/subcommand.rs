//! What the program can do, one module each.

use std::process::ExitCode;

use crate::demo;

pub mod check;
pub mod run;

/// What to do.
#[derive(Clone, Debug, clap::Subcommand)]
pub enum Subcommand {
    /// Checks a settings file and the files it names.
    Check(check::CheckArgs),
    /// Shows a whole site at work in one process, on loopback.
    Demo(demo::DemoArgs),
    /// Runs one instance.
    Run(run::RunArgs),
}

impl Subcommand {
    /// Does it.
    pub fn run(self) -> anyhow::Result<ExitCode> {
        match self {
            Subcommand::Check(args) => check::run(&args),
            Subcommand::Demo(args) => demo::run(args),
            Subcommand::Run(args) => run::run(&args),
        }
    }
}
