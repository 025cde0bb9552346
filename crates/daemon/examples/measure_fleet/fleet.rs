//! A site with instances at production timing.

use std::collections::BTreeMap;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;

use almondpass_config::keeper;
use almondpass_daemon::{health, instance};
use almondpass_peer::link::PeerLink;
use almondpass_peer::{client, codec, key};
use almondpass_ports::{clock, keys};
use almondpass_schema::{ids, model, time as span};
use almondpass_standin::{net, plan, site};
use anyhow::{Context, bail};
use sha2::{Digest, Sha256};
use tokio::time::{self, Instant};

/// Halls at every size, so that the slopes are those of workers and instances alone.
pub(crate) const N_HALLS: usize = 8;
/// Workers of a rack.
const RACK: usize = 8;
/// Accounts, as in the users' letter.
const N_ACCOUNTS: usize = 22;
/// How far the platform's list lags.
const LIST_LAG: Duration = Duration::from_secs(5);
/// For news of the instances to go round, and for seats to settle.
const SETTLING: Duration = Duration::from_secs(12);
/// For whatever is awaited.
pub(crate) const LIMIT: Duration = Duration::from_secs(120);
/// Key of the account that submits.
pub(crate) const ACCOUNT_KEY: &str = "account-0-key";
/// Key between instances.
const CLUSTER_KEY: &str = "a-cluster-key-of-the-bench";

/// Instances on a stand-in platform.
pub(crate) struct BenchFleet {
    /// The platform.
    pub(crate) platform: site::SiteServer,
    /// The instances, by id.
    pub(crate) instances: BTreeMap<ids::InstanceId, instance::Instance>,
    /// The newest accepted configuration.
    pub(crate) document: model::ConfigDocument,
    /// Its number.
    pub(crate) version: ids::ConfigVersion,
    link: client::PeerClient,
    n_started: usize,
    worker_poll: span::TimeSpan,
    keys: tempfile::TempDir,
}

impl BenchFleet {
    /// Starts everything and waits until each hall answers.
    pub(crate) async fn start(
        n_instances: usize,
        n_workers: usize,
        worker_poll: span::TimeSpan,
    ) -> anyhow::Result<BenchFleet> {
        let document = document(n_workers);
        let platform =
            site::SiteServer::start(&plan::configured_workers(&document), LIST_LAG).await?;
        let config = client::ClientConfig {
            cluster_key: Some(key::ClusterKey::new(CLUSTER_KEY)),
            ..client::ClientConfig::default()
        };
        let mut fleet = BenchFleet {
            platform,
            instances: BTreeMap::new(),
            document: document.clone(),
            version: 0,
            link: client::PeerClient::new(config)?,
            n_started: 0,
            worker_poll,
            keys: tempfile::tempdir()?,
        };
        fleet.accept(document).await?;
        for _ in 0..n_instances {
            fleet.add().await?;
        }
        for instance in fleet.instances.values() {
            let ready = instance.health().reached(health::HealthStage::Ready);
            time::timeout(LIMIT, ready).await.context("an instance is not ready")?;
        }
        for hall in fleet.halls() {
            fleet.await_hall(&hall, |_| true).await?;
        }
        // The first look at every worker, and the list's changes, are no part of what runs idle.
        time::sleep(LIST_LAG + SETTLING).await;
        Ok(fleet)
    }

    /// Names of the halls.
    pub(crate) fn halls(&self) -> Vec<ids::HallName> {
        self.document.halls.iter().map(|it| it.name.clone()).collect()
    }

    /// Starts one more instance.
    pub(crate) async fn add(&mut self) -> anyhow::Result<()> {
        let data_center = format!("dc{}", self.n_started % N_HALLS);
        let mut spec = instance::InstanceSpec::new(self.settings(&data_center)?);
        spec.id = format!("instance-{}", self.n_started);
        self.n_started += 1;
        let instance = instance::Instance::start(spec).await?;
        let address = instance.addresses().peers.to_string();
        self.platform.fakes.register_instance(instance.id(), &address, &data_center);
        self.instances.insert(instance.id().clone(), instance);
        Ok(())
    }

    /// Accepts a configuration; returns when it was written.
    pub(crate) async fn accept(&mut self, document: model::ConfigDocument) -> anyhow::Result<()> {
        let timing = keeper::KeeperTiming { poll: LIMIT, deadline: LIMIT };
        let link = net::FakeNet::new().link("operator");
        let table = self.platform.fakes.table().clone();
        let clock = clock::WallClock::from_system();
        let keeper = keeper::ConfigKeeper::new(table, link, clock, timing);
        let proposal = model::ConfigProposal {
            base: self.version,
            operator: "bench".to_owned(),
            note: "bench".to_owned(),
            proposal: None,
            document: document.clone(),
        };
        self.version = keeper.propose(proposal).await.context("proposal")?.version;
        self.document = document;
        Ok(())
    }

    /// The row that names the hall's scheduler.
    pub(crate) fn row(&self, hall: &str) -> Option<model::SchedulerRow> {
        let key = keys::scheduler(hall);
        let rows = self.platform.fakes.table().peek(&key);
        let value = rows.into_iter().find(|it| it.key == key)?.value?;
        codec::decode(&value).ok()
    }

    /// Waits until a scheduler that passes answers for the hall, and tells since when.
    pub(crate) async fn await_hall(
        &self,
        hall: &ids::HallName,
        pass: impl Fn(&model::SchedulerRow) -> bool,
    ) -> anyhow::Result<Instant> {
        let started = Instant::now();
        while started.elapsed() < LIMIT {
            if let Some(row) = self.row(hall)
                && !row.released
                && pass(&row)
            {
                let query = model::HallQuery { hall: hall.clone() };
                let answer = self.link.call(&row.address, query, Duration::from_secs(2)).await;
                if matches!(answer, Ok(model::HallReply::Picture { .. })) {
                    return Ok(Instant::now());
                }
            }
            time::sleep(Duration::from_millis(5)).await;
        }
        bail!("expected a scheduler of {hall} within {LIMIT:?}")
    }

    /// Ends all instances.
    pub(crate) async fn end(self) {
        for (_, instance) in self.instances {
            instance.crash();
        }
    }

    fn settings(&self, data_center: &str) -> anyhow::Result<model::InstanceSettings> {
        let free = || "127.0.0.1:0".to_owned();
        let platform = self.platform.address.clone();
        let path = self.keys.path().join("cluster.key");
        fs::write(&path, CLUSTER_KEY)?;
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600))?;
        Ok(model::InstanceSettings {
            data_center: data_center.to_owned(),
            listen: model::ListenSettings { callers: free(), operators: free(), peers: free() },
            advertise: free(),
            platform: model::PlatformSettings {
                table: platform.clone(),
                objects: platform.clone(),
                instances: platform,
            },
            cluster_key_file: path.display().to_string(),
            operators: Vec::new(),
            tls: None,
            timing: Some(model::TimingSettings {
                drain_wait: span::TimeSpan::from_millis(100),
                worker_poll: self.worker_poll,
                ..model::TimingSettings::default()
            }),
            limits: None,
            log: None,
        })
    }
}

/// Workers of one accelerator in eight halls, and 22 accounts.
fn document(n_workers: usize) -> model::ConfigDocument {
    let halls = (0..N_HALLS).map(|n| hall(n, n_workers)).collect::<Vec<_>>();
    let names = halls.iter().map(|it| it.name.clone()).collect();
    let text = serde_json::json!({
        "site": "bench",
        "objective": { "completion_time": 0.5, "fragmentation": 0.5 },
        "bounds": {
            "reclaim": "30s", "checkpoint_grace": "10s", "urgent_start": "2900ms",
            "ageing_step": "10m", "gang_wait": "2h", "overrun": 1.5,
            "idempotency_window": "1day", "job_retention": "7days",
        },
        "worker_kinds": [{
            "name": "single", "cores": 32, "memory_mb": 65_536, "accelerators": 1, "slots": 8,
            "connections": 64,
        }],
        "halls": halls,
        "upstreams": [model::UpstreamSpec {
            name: "service".to_owned(),
            halls: names,
            former_halls: Vec::new(),
        }],
        "classes": [
            {
                "name": "check", "kind": "request", "priority": 8, "upstream": "service",
                "expected_run": "1s", "max_run": "10s", "deadline": "1m",
            },
            {
                "name": "batch", "kind": "job", "priority": 3, "upstream": "service",
                "checkpoint": true, "expected_run": "1h", "max_run": "6h", "deadline": "1day",
            },
        ],
        "accounts": (0..N_ACCOUNTS).map(account).collect::<Vec<_>>(),
    });
    serde_json::from_value(text).expect("a document of the schema's form")
}

fn hall(n: usize, n_workers: usize) -> model::HallLayout {
    let n_own = n_workers / N_HALLS + usize::from(n < n_workers % N_HALLS);
    let racks = (0..n_own.div_ceil(RACK)).map(|rack| model::RackLayout {
        name: format!("r{rack}"),
        workers: u32::try_from(RACK.min(n_own - rack * RACK)).expect("a small number"),
        kind: "single".to_owned(),
    });
    model::HallLayout {
        name: format!("hall{n}"),
        region: format!("region{}", n / (N_HALLS / 2)),
        data_center: format!("dc{n}"),
        racks: racks.collect(),
    }
}

fn account(n: usize) -> serde_json::Value {
    let key = format!("account-{n}-key");
    serde_json::json!({
        "id": format!("account-{n}"),
        "name": format!("Account {n}"),
        "keys": [hex::encode(Sha256::digest(key.as_bytes()))],
        "guarantees": [{ "name": "one", "accelerators": 1, "adjacency": "worker" }],
        "limits": { "queued_jobs": 5_000, "running_requests": 512, "queued_requests": 2_048 },
    })
}
