//! A complete fake site of the platform: services, workers and upstreams.

use std::collections::BTreeMap;
use std::future;
use std::io;
use std::time::Duration;

use almondpass_peer::{link, server};
use almondpass_schema::{ids, model};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::execution;
use crate::fleet;
use crate::instance;
use crate::object;
use crate::plan;
use crate::service;
use crate::table;
use crate::upstream;

/// Handles to the fakes of a site, in memory or served over sockets.
#[derive(Clone, Debug, Default)]
pub struct SiteFakes {
    /// The platform's services: table, object store and instance list.
    pub platform: service::PlatformService,
    /// The workers, by control address.
    pub fleet: fleet::WorkerFleet,
    /// The upstream services, by the address at which each answers.
    pub upstreams: BTreeMap<ids::PeerAddress, upstream::UpstreamFake>,
    /// Requests that the upstreams executed.
    pub executions: execution::ExecutionLog,
}

/// A site served on loopback sockets. Dropping the server stops its listeners.
#[derive(Debug)]
pub struct SiteServer {
    /// Handles to the fakes that are served.
    pub fakes: SiteFakes,
    /// Address of the table, the object store and the instance list.
    pub address: ids::PeerAddress,
    _listeners: JoinSet<()>,
}

/// Addresses of one worker's control interface and upstreams.
struct WorkerAddresses {
    control: ids::PeerAddress,
    upstreams: Vec<(ids::UpstreamName, ids::PeerAddress)>,
}

/// Listen address: loopback, any free port.
const LOOPBACK: &str = "127.0.0.1:0";

/// Maximum number of connections to one worker's control interface.
const CONTROL_CONNECTIONS: usize = 64;

impl SiteFakes {
    /// A site in memory. Its workers are listed at once; later changes of the instance list become visible
    /// after `lag`. The control address of a worker is its id; upstreams answer at `<worker>/<upstream>`.
    pub fn in_memory(workers: &[plan::WorkerPlan], lag: Duration) -> SiteFakes {
        let mut fakes = SiteFakes::default();
        for worker in workers {
            let control = worker.shape.id.clone();
            let upstreams = worker.upstreams.iter();
            let upstreams = upstreams.map(|it| (it.clone(), format!("{control}/{it}"))).collect();
            fakes.add_worker(worker, WorkerAddresses { control, upstreams });
        }
        fakes.platform.instances.set_lag(lag);
        fakes
    }

    fn add_worker(&mut self, worker: &plan::WorkerPlan, addresses: WorkerAddresses) {
        let control = self.fleet.add(&addresses.control, worker.shape.clone());
        let id = &worker.shape.id;
        let mut endpoints = Vec::new();
        for (name, address) in addresses.upstreams {
            let log = self.executions.clone();
            let fake = upstream::UpstreamFake::new(id, &name, Some(control.clone()), log);
            self.upstreams.insert(address.clone(), fake);
            let state = model::InstanceState::Live;
            endpoints.push(model::UpstreamEndpoint { upstream: name, address, state });
        }
        self.platform.instances.register(model::InstanceEntry {
            id: id.clone(),
            role: model::InstanceRole::Worker,
            state: model::InstanceState::Live,
            data_center: worker.shape.data_center.clone(),
            address: addresses.control,
            upstreams: endpoints,
        });
    }

    /// Registers a started scheduler instance, which the instance list shows after the lag.
    pub fn register_instance(&self, id: &str, address: &str, data_center: &str) {
        self.platform.instances.register(model::InstanceEntry {
            id: id.to_owned(),
            role: model::InstanceRole::Scheduler,
            state: model::InstanceState::Live,
            data_center: data_center.to_owned(),
            address: address.to_owned(),
            upstreams: Vec::new(),
        });
    }

    /// Table of the site.
    pub fn table(&self) -> &table::TableFake {
        &self.platform.table
    }

    /// Object store of the site.
    pub fn objects(&self) -> &object::ObjectFake {
        &self.platform.objects
    }

    /// Instance list of the site.
    pub fn instances(&self) -> &instance::InstanceFake {
        &self.platform.instances
    }
}

impl SiteServer {
    /// Serves the workers, the upstreams and the platform's services of a site, each on a free port. The
    /// workers are listed at once; later changes of the instance list become visible after `lag`.
    pub async fn start(workers: &[plan::WorkerPlan], lag: Duration) -> io::Result<SiteServer> {
        let mut fakes = SiteFakes::default();
        let mut listeners = JoinSet::new();
        for worker in workers {
            let (listener, control) = listen().await?;
            let mut upstreams = Vec::new();
            let mut services = Vec::new();
            for name in &worker.upstreams {
                let (listener, address) = listen().await?;
                upstreams.push((name.clone(), address.clone()));
                services.push((listener, address));
            }
            fakes.add_worker(worker, WorkerAddresses { control: control.clone(), upstreams });
            let fleet = fakes.fleet.clone();
            let service = service::WorkerService { fleet, address: control };
            listeners.spawn(serve(listener, service, CONTROL_CONNECTIONS));
            for (listener, address) in services {
                let fake = fakes.upstreams.get(&address).cloned();
                listeners.spawn(async move {
                    if let Some(fake) = fake {
                        fake.serve(listener).await;
                    }
                });
            }
        }
        let (listener, address) = listen().await?;
        let max_connections = server::ServerConfig::default().limits.max_connections;
        listeners.spawn(serve(listener, fakes.platform.clone(), max_connections));
        fakes.platform.instances.set_lag(lag);
        Ok(SiteServer { fakes, address, _listeners: listeners })
    }
}

async fn listen() -> io::Result<(TcpListener, ids::PeerAddress)> {
    let listener = TcpListener::bind(LOOPBACK).await?;
    let address = listener.local_addr()?.to_string();
    Ok((listener, address))
}

async fn serve<S: link::PeerService>(listener: TcpListener, service: S, max_connections: usize) {
    let mut config = server::ServerConfig::default();
    config.limits.max_connections = max_connections;
    server::serve(listener, service, config, future::pending()).await;
}
