//! Puts one instance together, runs it, and ends it without cutting anything.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};

use almondpass_config::{active, keeper};
use almondpass_console::console;
use almondpass_entry::{server as entry_server, service as entry_service, settings};
use almondpass_hall::{backend, options, service as hall_service};
use almondpass_membership::{directory, members, service as member_service};
use almondpass_peer::{client, http_client, key, server};
use almondpass_ports::{clock, remote, store};
use almondpass_schema::{ids, model};
use anyhow::{Context, anyhow};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::CancellationToken;
use tracing::{error, info};

use crate::beats;
use crate::certificate;
use crate::health;
use crate::instance;
use crate::local_halls;
use crate::meters;
use crate::operators;
use crate::peers;
use crate::secret_file;
use crate::shutdown;
use crate::tls;
use crate::wiring;

/// What an instance is put together from.
#[derive(Debug)]
pub struct AssemblyParts {
    /// Its id.
    pub id: ids::InstanceId,
    /// Its settings.
    pub settings: model::InstanceSettings,
    /// Tells whether it is ready.
    pub health: health::HealthState,
    /// Asks it to end.
    pub switch: shutdown::ShutdownSwitch,
    /// Its metrics.
    pub meters: meters::MeterRegistry,
}

/// An instance that listens but does not run yet.
pub struct Assembly {
    parts: AssemblyParts,
    listeners: InstanceListeners,
    addresses: instance::InstanceAddresses,
    key: key::ClusterKey,
    certificate: Option<Arc<certificate::CertificateStore>>,
    acceptor: tls::ListenerAcceptor,
    services: InstanceServices,
}

struct InstanceListeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

/// What the listeners serve.
struct InstanceServices {
    keeper: wiring::Keeper,
    members: wiring::Members,
    instances: remote::RemoteInstances<wiring::Link>,
    halls: wiring::Halls,
    directory: wiring::Directory,
    table: wiring::Table,
    clock: clock::WallClock,
}

impl Assembly {
    /// Reads the key files, binds the listeners and connects the parts.
    pub async fn build(parts: AssemblyParts) -> anyhow::Result<Assembly> {
        let settings = &parts.settings;
        let key = secret_file::read_cluster_key(Path::new(&settings.cluster_key_file))?;
        let key = key::ClusterKey::new(key);
        let certificate = settings.tls.as_ref().map(certificate::CertificateStore::load);
        let certificate = certificate.transpose()?.map(Arc::new);
        let acceptor = match &certificate {
            Some(store) => tls::ListenerAcceptor::with_certificate(store.clone())?,
            None => tls::ListenerAcceptor::plain(),
        };
        let listeners = InstanceListeners {
            callers: bind("listen.callers", &settings.listen.callers).await?,
            operators: bind("listen.operators", &settings.listen.operators).await?,
            peers: bind("listen.peers", &settings.listen.peers).await?,
        };
        let addresses = instance::InstanceAddresses {
            callers: listeners.callers.local_addr()?,
            operators: listeners.operators.local_addr()?,
            peers: listeners.peers.local_addr()?,
        };
        let own = members::MemberIdentity {
            id: parts.id.clone(),
            address: advertised(&settings.advertise, addresses.peers)?,
            data_center: settings.data_center.clone(),
        };
        let services = InstanceServices::connect(settings, own, &key)?;
        Ok(Assembly { parts, listeners, addresses, key, certificate, acceptor, services })
    }

    /// Where it listens.
    pub fn addresses(&self) -> instance::InstanceAddresses {
        self.addresses
    }

    /// The configuration in force, as it changes.
    pub fn configs(&self) -> watch::Receiver<Arc<active::ActiveConfig>> {
        self.services.keeper.subscribe()
    }

    /// Runs until it was asked to end and has ended.
    pub async fn run(self) {
        let timing = self.parts.settings.timing.clone().unwrap_or_default();
        let AssemblyParts { id, settings, health, switch, meters } = self.parts;
        let services = self.services;
        let stop = CancellationToken::new();

        let mut background = JoinSet::new();
        background.spawn(meters.clone().keep_up());
        background.spawn(become_ready(services.keeper.clone(), health.clone()));
        let members = services.members.clone();
        background.spawn(async move { members.run(services.instances).await });
        let keeper = services.keeper.clone();
        let keeper_stop = stop.clone();
        background.spawn(async move { keeper.run(keeper_stop).await });
        if let Some(store) = self.certificate.clone() {
            background.spawn(store.watch());
        }

        let peers = peers::InstancePeers {
            members: services.members.clone(),
            keeper: services.keeper.clone(),
            halls: services.halls.clone(),
        };
        let config = server::ServerConfig {
            cluster_key: Some(self.key.clone()),
            ..server::ServerConfig::default()
        };
        let peers_end = stop.clone().cancelled_owned();
        let peers = tokio::spawn(server::serve(self.listeners.peers, peers, config, peers_end));

        let console = console::ConsoleSettings {
            operators: settings.operators.clone(),
            cluster_key: self.key.as_bytes().to_vec(),
            secure_cookies: self.certificate.is_some(),
            instance: id.clone(),
        };
        let console = wiring::Console::new(
            console,
            services.keeper.clone(),
            services.directory.clone(),
            services.members.subscribe(),
            meters.histograms(),
            services.clock,
        );
        let operators = operators::OperatorService { console, health: health.clone(), meters };
        let operators_end = stop.clone().cancelled_owned();
        let operators =
            operators.serve(self.listeners.operators, self.acceptor.clone(), operators_end);
        let operators = tokio::spawn(operators);

        let entry = entry_service::EntryService::new(entry_service::EntryParts {
            settings: settings::EntrySettings::new(
                id.clone(),
                settings.data_center.clone(),
                settings.limits.clone().unwrap_or_default(),
            ),
            link: services.directory,
            table: services.table,
            clock: services.clock,
            configs: services.keeper.subscribe(),
        });
        let (phase, phases) = watch::channel(entry_server::ServePhase::Serving);
        let entry = entry_server::EntryServer::new(entry);
        let entry = tokio::spawn(entry.serve(self.listeners.callers, self.acceptor, phases));

        switch.asked(shutdown::ShutdownStage::Leaving).await;
        info!(step = "shutdown", instance = id, "not ready any more, serving on");
        health.reach(health::HealthStage::Draining);
        phase.send_replace(entry_server::ServePhase::Draining);
        let wait = switch.wait_for_balancer(timing.drain_wait.0);
        tokio::join!(services.members.leave(), wait);
        info!(step = "shutdown", instance = id, "handing halls over");
        services.halls.shutdown().await;
        info!(step = "shutdown", instance = id, "finishing requests in flight");
        phase.send_replace(entry_server::ServePhase::Closing);
        // Beats and calls between instances go on until here, as requests in flight need them.
        finished("callers' listener", entry).await;
        stop.cancel();
        finished("peers' listener", peers).await;
        finished("operators' listener", operators).await;
        info!(step = "shutdown", instance = id, "ended");
    }
}

impl InstanceServices {
    /// Connects the parts; seats and their tasks start here.
    fn connect(
        settings: &model::InstanceSettings,
        own: members::MemberIdentity,
        key: &key::ClusterKey,
    ) -> anyhow::Result<InstanceServices> {
        let timing = settings.timing.clone().unwrap_or_default();
        let clock = clock::WallClock::from_system();
        let link = link("peers", Some(key.clone()))?;
        // The platform and the workers must not learn the cluster key.
        let platform = self::link("platform", None)?;
        let workers = self::link("workers", None)?;
        let deadline = timing.store_deadline.0;
        let service = |address: &ids::PeerAddress| {
            remote::RemoteService::new(platform.clone(), address.clone(), deadline)
        };
        let limits = settings.limits.clone().unwrap_or_default();
        let store = store::StoreConfig {
            deadline,
            writes_per_second: limits.store_writes_per_second,
            ..store::StoreConfig::default()
        };
        let (table, objects) = store::open(
            remote::RemoteTable(service(&settings.platform.table)),
            remote::RemoteObjects(service(&settings.platform.objects)),
            store,
        );
        let instances = remote::RemoteInstances(service(&settings.platform.instances));
        let workers = remote::RemoteWorkers::new(workers, deadline);

        let keeper_timing = keeper::KeeperTiming::from(&timing);
        let keeper = wiring::Keeper::new(table.clone(), link.clone(), clock, keeper_timing);
        let beats = beats::InstanceBeats::new(keeper.clone());
        let member_timing =
            member_service::MemberTiming { beat: timing.beat.0, poll: timing.instance_poll.0 };
        let members = wiring::Members::new(own.clone(), member_timing, link.clone(), beats.clone());
        let halls = wiring::Halls::start(hall_service::ServiceDependencies {
            ports: backend::HallPorts {
                table: table.clone(),
                objects,
                workers,
                link: link.clone(),
            },
            options: options::HallOptions {
                instance: own.id.clone(),
                address: own.address.clone(),
                timing,
                clock,
            },
            config: keeper.subscribe(),
            members: members.subscribe(),
        });
        beats.connect(halls.clone());
        let local = local_halls::OwnHalls { halls: halls.clone(), address: own.address.clone() };
        let directory = wiring::Directory::new(directory::DirectoryParts {
            own: own.address,
            link,
            table: table.clone(),
            local,
            holders: members.holders(),
            read_at: Mutex::default(),
        });
        Ok(InstanceServices { keeper, members, instances, halls, directory, table, clock })
    }
}

fn link(side: &'static str, cluster_key: Option<key::ClusterKey>) -> anyhow::Result<wiring::Link> {
    let http = http_client::HttpConfig { side, ..http_client::HttpConfig::default() };
    let config = client::ClientConfig { cluster_key, http };
    client::PeerClient::new(config).context("cluster key")
}

async fn bind(setting: &'static str, address: &ids::PeerAddress) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| format!("{setting}: cannot listen on {address}"))
}

/// The address told to the others: as set, with the port listened on where it leaves that open.
fn advertised(advertise: &str, listening: SocketAddr) -> anyhow::Result<ids::PeerAddress> {
    let address = advertise.parse::<SocketAddr>();
    let mut address = address.map_err(|_| {
        anyhow!("advertise: expected an IP address with a port, found {advertise:?}")
    })?;
    if address.port() == 0 {
        address.set_port(listening.port());
    }
    Ok(address.to_string())
}

/// Callers may come once there is a configuration: nothing can be accepted before.
async fn become_ready(keeper: wiring::Keeper, health: health::HealthState) {
    let mut configs = keeper.subscribe();
    if configs.wait_for(|it| 0 < it.version).await.is_ok() {
        health.reach(health::HealthStage::Ready);
    }
}

/// Waits for a task that serves; a panic in it must not keep the rest from ending well.
async fn finished(step: &'static str, task: JoinHandle<()>) {
    if let Err(error) = task.await {
        error!(step, %error, "a listener's task failed");
    }
}
