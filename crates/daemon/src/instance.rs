//! One instance, with a runtime of its own, so that several can live and die in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondpass_config::active;
use almondpass_schema::{ids, model};
use anyhow::{Context, anyhow};
use tokio::runtime;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use uuid::Uuid;

use crate::assembly;
use crate::health;
use crate::meters;
use crate::shutdown;
use crate::threads;

/// What an instance is started with.
#[derive(Clone, Debug)]
pub struct InstanceSpec {
    /// Its settings. Ports may be 0; where that of `advertise` is, the one listened on is told to
    /// the others.
    pub settings: model::InstanceSettings,
    /// Its id, new at each start; a random one by default.
    pub id: ids::InstanceId,
    /// Threads of its runtime.
    pub threads: usize,
}

/// A running instance. Dropped, it dies as by a crash.
#[derive(Debug)]
pub struct Instance {
    id: ids::InstanceId,
    addresses: InstanceAddresses,
    configs: watch::Receiver<Arc<active::ActiveConfig>>,
    health: health::HealthState,
    switch: shutdown::ShutdownSwitch,
    meters: meters::MeterRegistry,
    threads: threads::ThreadLedger,
    runtime: Option<runtime::Runtime>,
    running: JoinHandle<()>,
}

/// Where an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For the other instances.
    pub peers: SocketAddr,
}

impl InstanceSpec {
    /// An instance of these settings with a random id and one thread.
    pub fn new(settings: model::InstanceSettings) -> InstanceSpec {
        InstanceSpec { settings, id: Uuid::new_v4().simple().to_string(), threads: 1 }
    }
}

impl Instance {
    /// Starts an instance; returns once it listens. It is ready once it has a configuration.
    pub async fn start(spec: InstanceSpec) -> anyhow::Result<Instance> {
        let meters = meters::MeterRegistry::new()?;
        let threads = threads::ThreadLedger::default();
        let runtime = runtime(&spec, &meters, &threads)?;
        let health = health::HealthState::new();
        let switch = shutdown::ShutdownSwitch::new();
        let id = spec.id.clone();
        let parts = assembly::AssemblyParts {
            id: spec.id,
            settings: spec.settings,
            health: health.clone(),
            switch: switch.clone(),
            meters: meters.clone(),
        };
        let (listening, listens) = oneshot::channel();
        let running = runtime.spawn(async move {
            match assembly::Assembly::build(parts).await {
                Ok(assembly) => {
                    let _ = listening.send(Ok((assembly.addresses(), assembly.configs())));
                    assembly.run().await;
                }
                Err(error) => {
                    let _ = listening.send(Err(error));
                }
            }
        });
        let listens = listens.await;
        let listens = listens.map_err(|_| anyhow!("the start of instance {id} panicked"));
        let (addresses, configs) = match listens.and_then(|it| it) {
            Ok(listening) => listening,
            Err(error) => {
                // A runtime that is dropped within another one panics.
                runtime.shutdown_background();
                return Err(error).context(format!("instance {id}"));
            }
        };
        let runtime = Some(runtime);
        Ok(Instance { id, addresses, configs, health, switch, meters, threads, runtime, running })
    }

    /// Its id.
    pub fn id(&self) -> &ids::InstanceId {
        &self.id
    }

    /// Where it listens.
    pub fn addresses(&self) -> InstanceAddresses {
        self.addresses
    }

    /// Number of the configuration in force there.
    pub fn config_version(&self) -> ids::ConfigVersion {
        self.configs.borrow().version
    }

    /// How far it is.
    pub fn health(&self) -> &health::HealthState {
        &self.health
    }

    /// Its metrics in Prometheus' text format.
    pub fn metrics(&self) -> String {
        self.meters.render()
    }

    /// Processor time that it used so far.
    pub fn cpu_time(&self) -> Duration {
        self.threads.cpu_time()
    }

    /// Asks it to end from elsewhere.
    pub fn switch(&self) -> shutdown::ShutdownSwitch {
        self.switch.clone()
    }

    /// Asks it to leave, as the first `SIGTERM` does, or to hurry, as the second does; returns at
    /// once.
    pub fn ask_to_leave(&self) {
        self.switch.press();
    }

    /// Waits until it has left. A panic of its main task is an error.
    pub async fn left(mut self) -> anyhow::Result<()> {
        let ended = (&mut self.running).await;
        ended.with_context(|| format!("instance {}", self.id))
    }

    /// Shuts it down without cutting anything, and waits for that.
    pub async fn shut_down(self) -> anyhow::Result<()> {
        self.ask_to_leave();
        self.left().await
    }

    /// Kills it: nothing of it runs on, and its connections break.
    pub fn crash(self) {
        drop(self);
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Waiting for the tasks would block the caller's runtime.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn runtime(
    spec: &InstanceSpec,
    meters: &meters::MeterRegistry,
    threads: &threads::ThreadLedger,
) -> anyhow::Result<runtime::Runtime> {
    let meters = meters.clone();
    let threads = threads.clone();
    runtime::Builder::new_multi_thread()
        .worker_threads(spec.threads)
        .thread_name("almondpass")
        .on_thread_start(move || {
            meters.adopt_thread();
            threads.adopt_thread();
        })
        .enable_all()
        .build()
        .context("runtime")
}
