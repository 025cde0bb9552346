//! `almondpassd run`: one instance, until it is told to end.

use std::num::NonZeroUsize;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;

use anyhow::Context;
use tokio::runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tracing::info;

use crate::instance;
use crate::logging;
use crate::settings;

/// Runs one instance.
#[derive(Clone, Debug, clap::Args)]
pub struct RunArgs {
    /// The settings file.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Threads that serve; one for each processor by default.
    #[arg(long, value_name = "N")]
    pub threads: Option<NonZeroUsize>,
}

/// Runs until `SIGTERM` or `SIGINT`, then leaves without cutting anything; a second one leaves
/// out the wait for the balancer.
pub fn run(args: &RunArgs) -> anyhow::Result<ExitCode> {
    let settings = settings::load(&args.settings)?;
    logging::start(settings.log.as_deref())?;
    let processors = || thread::available_parallelism().unwrap_or(NonZeroUsize::MIN);
    let mut spec = instance::InstanceSpec::new(settings);
    spec.threads = args.threads.unwrap_or_else(processors).get();
    let signals = runtime::Builder::new_current_thread().enable_all().build().context("runtime")?;
    signals.block_on(serve(spec))?;
    Ok(ExitCode::SUCCESS)
}

async fn serve(spec: instance::InstanceSpec) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("handler of SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("handler of SIGINT")?;
    let instance = instance::Instance::start(spec).await?;
    let addresses = instance.addresses();
    info!(
        step = "start",
        instance = instance.id(),
        callers = %addresses.callers,
        operators = %addresses.operators,
        peers = %addresses.peers,
        "listening",
    );
    let switch = instance.switch();
    let mut left = std::pin::pin!(instance.left());
    loop {
        tokio::select! {
            ended = &mut left => return ended,
            () = either(&mut terminate, &mut interrupt) => {
                info!(step = "shutdown", "told to end");
                switch.press();
            }
        }
    }
}

async fn either(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
