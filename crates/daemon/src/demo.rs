//! A whole site at work in one process.

use std::process::ExitCode;

/// How long and with what the demo runs.
#[derive(Clone, Debug, clap::Args)]
pub struct DemoArgs {}

/// Runs the demo.
pub fn run(_args: DemoArgs) -> anyhow::Result<ExitCode> {
    anyhow::bail!("expected the demo, found that it is not written yet")
}
