//! One instance: everything that the daemon assembles, over the fakes.

use std::net::SocketAddr;
use std::sync::Mutex;

use almondpass_config::keeper;
use almondpass_entry::{acceptor, server, service as entry, settings};
use almondpass_hall::{backend, options, service as hall};
use almondpass_membership::{directory, members, service as member};
use almondpass_ports::{clock, store};
use almondpass_schema::{ids, model, time};
use almondpass_standin::{fault, net, site};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::peers;
use crate::runtime;

/// One instance, with the faults of its own ways to the platform.
pub struct FleetNode {
    /// Its id, new at each start.
    pub id: ids::InstanceId,
    /// Its peer address, kept by its successor.
    pub address: ids::PeerAddress,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Its ways to the platform.
    pub paths: NodePaths,
    /// Its configuration.
    pub keeper: peers::Keeper,
    /// Its halls.
    pub halls: peers::Halls,
    /// Whether its clock stands still.
    pub paused: bool,
    /// Ends once it has shut down.
    pub leaving: Option<JoinHandle<()>>,
    members: peers::Members,
    phase: watch::Sender<server::ServePhase>,
    entry: Option<JoinHandle<()>>,
    runtime: runtime::PacedRuntime,
}

/// Faults between one instance and the platform.
#[derive(Clone, Debug, Default)]
pub struct NodePaths {
    /// To the table service and the object store.
    pub store: fault::FaultPlan,
    /// To the instance list.
    pub instances: fault::FaultPlan,
    /// To the workers' control interfaces.
    pub workers: fault::FaultPlan,
}

/// What an instance is started with.
pub struct NodeParts<'a> {
    /// Its id.
    pub id: ids::InstanceId,
    /// Its peer address.
    pub address: ids::PeerAddress,
    /// Where it is.
    pub data_center: ids::DataCenter,
    /// The platform.
    pub fakes: &'a site::SiteFakes,
    /// The other instances.
    pub net: &'a net::FakeNet,
    /// What all clocks show.
    pub now: Instant,
    /// What the time of day is.
    pub wall: time::WallTime,
    /// Seed of its jitter.
    pub seed: u64,
}

impl FleetNode {
    /// Starts an instance.
    pub fn start(parts: NodeParts<'_>) -> FleetNode {
        let runtime = runtime::PacedRuntime::starting_at(parts.now);
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let callers = listener.local_addr().expect("an address");
        runtime.enter(|| FleetNode::assemble(&parts, listener, callers)).with_runtime(runtime)
    }

    fn assemble(parts: &NodeParts<'_>, listener: TcpListener, callers: SocketAddr) -> NodeShell {
        let timing = timing();
        let clock = clock::WallClock::starting_at(parts.wall);
        let paths = NodePaths::default();
        let mut config = store::StoreConfig::default();
        config.retry.seed = parts.seed;
        let (table, objects) = store::open(
            parts.fakes.table().with_path_faults(paths.store.clone()),
            parts.fakes.objects().with_path_faults(paths.store.clone()),
            config,
        );
        let link = parts.net.link(&parts.address);
        let keeper_timing = keeper::KeeperTiming::from(&timing);
        let keeper = peers::Keeper::new(table.clone(), link.clone(), clock, keeper_timing);
        let beats = peers::NodeBeats::new(keeper.clone());
        let own = members::MemberIdentity {
            id: parts.id.clone(),
            address: parts.address.clone(),
            data_center: parts.data_center.clone(),
        };
        let member_timing =
            member::MemberTiming { beat: timing.beat.0, poll: timing.instance_poll.0 };
        let members = peers::Members::new(own, member_timing, link.clone(), beats.clone());
        let halls = peers::Halls::start(hall::ServiceDependencies {
            ports: backend::HallPorts {
                table: table.clone(),
                objects,
                workers: parts.fakes.fleet.with_path_faults(paths.workers.clone()),
                link: link.clone(),
            },
            options: options::HallOptions {
                instance: parts.id.clone(),
                address: parts.address.clone(),
                timing,
                clock,
            },
            config: keeper.subscribe(),
            members: members.subscribe(),
        });
        beats.connect(halls.clone());
        let directory = peers::Directory::new(directory::DirectoryParts {
            own: parts.address.clone(),
            link,
            table: table.clone(),
            local: halls.clone(),
            holders: members.holders(),
            read_at: Mutex::default(),
        });
        let (phase, phases) = watch::channel(server::ServePhase::Serving);
        let limits = model::LimitSettings::default();
        let service = entry::EntryService::new(entry::EntryParts {
            settings: settings::EntrySettings::new(
                parts.id.clone(),
                parts.data_center.clone(),
                limits,
            ),
            link: directory,
            table,
            clock,
            configs: keeper.subscribe(),
        });
        let server = server::EntryServer::new(service);
        let entry = tokio::spawn(server.serve(listener, acceptor::PlainAcceptor, phases));

        let instances = parts.fakes.instances().with_path_faults(paths.instances.clone());
        let running = members.clone();
        tokio::spawn(async move { running.run(instances).await });
        let running = keeper.clone();
        tokio::spawn(async move { running.run(CancellationToken::new()).await });
        let service = peers::NodePeers {
            members: members.clone(),
            keeper: keeper.clone(),
            halls: halls.clone(),
        };
        parts.net.register(&parts.address, service);
        NodeShell {
            id: parts.id.clone(),
            address: parts.address.clone(),
            callers,
            paths,
            keeper,
            halls,
            members,
            phase,
            entry,
        }
    }

    /// Moves its clock, unless it is paused.
    pub fn advance_to(&self, now: Instant) {
        if !self.paused {
            self.runtime.advance_to(now);
        }
    }

    /// Lets it run for one turn, unless it is paused.
    pub fn turn(&self) {
        if !self.paused {
            self.runtime.turn();
        }
    }

    /// Starts a task on it.
    pub fn spawn<F>(&self, future: F) -> JoinHandle<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        self.runtime.spawn(future)
    }

    /// Shuts it down as the daemon does, without cutting anything.
    pub fn leave(&mut self) {
        let Some(entry) = self.entry.take() else { return };
        let phase = self.phase.clone();
        let (members, halls) = (self.members.clone(), self.halls.clone());
        self.leaving = Some(self.runtime.spawn(async move {
            phase.send_replace(server::ServePhase::Draining);
            let drain = timing().drain_wait.0;
            tokio::join!(members.leave(), tokio::time::sleep(drain));
            halls.shutdown().await;
            phase.send_replace(server::ServePhase::Closing);
            entry.await.expect("the entry ends well");
        }));
    }

    /// Whether new callers are sent to it.
    pub fn is_serving(&self) -> bool {
        self.leaving.is_none()
    }

    /// Whether it has shut down.
    pub fn has_left(&self) -> bool {
        self.leaving.as_ref().is_some_and(JoinHandle::is_finished)
    }
}

/// An instance without its runtime.
struct NodeShell {
    id: ids::InstanceId,
    address: ids::PeerAddress,
    callers: SocketAddr,
    paths: NodePaths,
    keeper: peers::Keeper,
    halls: peers::Halls,
    members: peers::Members,
    phase: watch::Sender<server::ServePhase>,
    entry: JoinHandle<()>,
}

impl NodeShell {
    fn with_runtime(self, runtime: runtime::PacedRuntime) -> FleetNode {
        FleetNode {
            id: self.id,
            address: self.address,
            callers: self.callers,
            paths: self.paths,
            keeper: self.keeper,
            halls: self.halls,
            paused: false,
            leaving: None,
            members: self.members,
            phase: self.phase,
            entry: Some(self.entry),
            runtime,
        }
    }
}

/// Terms and intervals: the defaults, but for shorter leases and drains, so that more happens.
pub fn timing() -> model::TimingSettings {
    model::TimingSettings {
        lease_term: time::TimeSpan::from_secs(12),
        drain_wait: time::TimeSpan::from_secs(2),
        ..model::TimingSettings::default()
    }
}
