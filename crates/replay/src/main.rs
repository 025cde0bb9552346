//! Replays seeded traces against the decision core and its baselines.

use almondpass_replay::args;
use clap::Parser;

fn main() -> anyhow::Result<()> {
    args::ReplayArgs::parse().run()
}
