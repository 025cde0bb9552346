//! The instances of the demo and the stand-in platform that they live on.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;

use almondpass_schema::{ids, model, time as span};
use almondpass_standin::{plan, site as standin};
use anyhow::{Context, bail};
use sha2::{Digest, Sha256};
use tempfile::TempDir;
use tokio::time::{self, Instant};
use uuid::Uuid;

use crate::demo::balancer;
use crate::demo::operators;
use crate::instance;

/// Lag of the platform's instance list.
const LIST_LAG: Duration = Duration::from_millis(500);
/// Term of a hall's scheduler; a crash costs its halls about this.
pub const SCHEDULER_TERM: Duration = Duration::from_secs(3);
/// How long a leaving instance waits for the balancer to move on.
const DRAIN_WAIT: Duration = Duration::from_millis(800);
/// For a new instance to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Permission bits of the cluster key's file.
const KEY_MODE: u32 = 0o600;
/// Threads of an instance.
const INSTANCE_THREADS: usize = 2;

/// Instances on a platform.
pub struct DemoCluster {
    /// The platform.
    pub platform: standin::SiteServer,
    /// Sends callers to the instances.
    pub balancer: balancer::CallerBalancer,
    instances: Vec<instance::Instance>,
    data_centers: Vec<ids::DataCenter>,
    n_started: usize,
    key_folder: TempDir,
}

impl DemoCluster {
    /// Starts the platform with the workers of `document`.
    pub async fn start(document: &model::ConfigDocument) -> anyhow::Result<DemoCluster> {
        let workers = plan::configured_workers(document);
        let platform =
            standin::SiteServer::start(&workers, LIST_LAG).await.context("stand-in platform")?;
        Ok(DemoCluster {
            platform,
            balancer: balancer::CallerBalancer::default(),
            instances: Vec::new(),
            data_centers: document.halls.iter().map(|it| it.data_center.clone()).collect(),
            n_started: 0,
            key_folder: write_key()?,
        })
    }

    /// Starts one more instance, in the next data centre; callers come once it is ready.
    pub async fn add_instance(&mut self) -> anyhow::Result<ids::InstanceId> {
        let name = char::from(b'a' + u8::try_from(self.n_started % 26)?);
        let id = format!("instance-{name}");
        let data_center = self.data_centers[self.n_started % self.data_centers.len()].clone();
        self.n_started += 1;
        let mut spec = instance::InstanceSpec::new(self.settings(&data_center));
        spec.id = id.clone();
        spec.threads = INSTANCE_THREADS;
        let instance = instance::Instance::start(spec).await?;
        let addresses = instance.addresses();
        let peers = addresses.peers.to_string();
        self.platform.fakes.register_instance(&id, &peers, &data_center);
        self.balancer.add(balancer::BalancedInstance {
            id: id.clone(),
            callers: addresses.callers,
            operators: addresses.operators,
        });
        self.instances.push(instance);
        Ok(id)
    }

    /// Waits until all instances are ready.
    pub async fn all_ready(&self) -> anyhow::Result<Duration> {
        let started = Instant::now();
        while !self.balancer.all_ready() {
            if READY_LIMIT < started.elapsed() {
                bail!("expected every instance to be ready within {READY_LIMIT:?}");
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        Ok(started.elapsed())
    }

    /// Takes the oldest instance out, to shut it down or crash it.
    pub fn take_oldest(&mut self) -> Option<instance::Instance> {
        if self.instances.is_empty() { None } else { Some(self.instances.remove(0)) }
    }

    /// The platform begins to replace an instance.
    pub fn mark_leaving(&self, id: &str) {
        self.platform.fakes.instances().set_state(id, model::InstanceState::Leaving);
    }

    /// The instance is gone.
    pub fn forget(&self, id: &str) {
        self.balancer.remove(id);
        self.platform.fakes.instances().remove(id);
    }

    /// Shuts down whatever still runs.
    pub async fn shut_down(mut self) -> anyhow::Result<()> {
        for instance in &self.instances {
            let switch = instance.switch();
            switch.press();
            switch.press();
        }
        for instance in self.instances.drain(..) {
            instance.left().await?;
        }
        Ok(())
    }

    fn settings(&self, data_center: &str) -> model::InstanceSettings {
        let platform = &self.platform.address;
        let free_port = || "127.0.0.1:0".to_owned();
        let password = Sha256::digest(operators::PASSWORD.as_bytes());
        let span = span::TimeSpan::from_millis;
        model::InstanceSettings {
            data_center: data_center.to_owned(),
            listen: model::ListenSettings {
                callers: free_port(),
                operators: free_port(),
                peers: free_port(),
            },
            advertise: free_port(),
            platform: model::PlatformSettings {
                table: platform.clone(),
                objects: platform.clone(),
                instances: platform.clone(),
            },
            cluster_key_file: self.key_path().display().to_string(),
            operators: vec![model::OperatorSettings {
                name: operators::NAME.to_owned(),
                password_sha256: hex::encode(password),
            }],
            tls: None,
            timing: Some(model::TimingSettings {
                scheduler_term: span::TimeSpan(SCHEDULER_TERM),
                lease_term: span(10_000),
                lease_margin: span(700),
                beat: span(400),
                config_poll: span(500),
                worker_poll: span(400),
                instance_poll: span(400),
                store_deadline: span(1_000),
                grant_start_by: span(1_500),
                drain_wait: span::TimeSpan(DRAIN_WAIT),
            }),
            limits: None,
            log: None,
        }
    }

    fn key_path(&self) -> std::path::PathBuf {
        self.key_folder.path().join("cluster.key")
    }
}

/// A cluster key of this run; its file goes away with the demo.
fn write_key() -> anyhow::Result<TempDir> {
    let folder = tempfile::tempdir().context("folder for the cluster key")?;
    let path = folder.path().join("cluster.key");
    fs::write(&path, Uuid::new_v4().to_string()).context("cluster key")?;
    fs::set_permissions(&path, fs::Permissions::from_mode(KEY_MODE)).context("cluster key")?;
    Ok(folder)
}
