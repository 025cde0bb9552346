//! Beats and calls of one instance, as the daemon puts them together.

use std::fmt;
use std::sync::{Arc, OnceLock};

use almondpass_config::keeper;
use almondpass_hall::{backend, service};
use almondpass_membership::{content, directory, service as member};
use almondpass_peer::call::PeerCall;
use almondpass_peer::{dispatch, link};
use almondpass_policy::core;
use almondpass_ports::{store_objects, store_table};
use almondpass_schema::{ids, model};
use almondpass_standin::{fleet, net, object, table};
use bytes::Bytes;

/// Carries calls.
pub type Link = net::FakeLink;
/// The table service.
pub type Table = store_table::StoreTable<table::TableFake>;
/// The object store.
pub type Objects = store_objects::StoreObjects<object::ObjectFake>;
/// What hall schedulers are built upon.
pub type Backend = backend::BackendOf<core::HallCore, Table, Objects, fleet::WorkerFleet, Link>;
/// Seats for all halls.
pub type Halls = service::HallService<Backend>;
/// The configuration in force.
pub type Keeper = keeper::ConfigKeeper<Table, Link>;
/// Who is live.
pub type Members = member::MemberService<Link, NodeBeats>;
/// Finds hall schedulers.
pub type Directory = directory::HallDirectory<Link, Table, Halls>;

/// Fills and reads the beats of one instance.
#[derive(Clone)]
pub struct NodeBeats {
    keeper: Keeper,
    halls: Arc<OnceLock<Halls>>,
}

/// Answers the calls of the other instances.
#[derive(Clone)]
pub struct NodePeers {
    /// Answers beats.
    pub members: Members,
    /// Gives the configuration in force.
    pub keeper: Keeper,
    /// Answers calls of halls.
    pub halls: Halls,
}

impl NodeBeats {
    /// Beats without halls.
    pub fn new(keeper: Keeper) -> NodeBeats {
        NodeBeats { keeper, halls: Arc::default() }
    }

    /// Speaks of these halls from now on.
    pub fn connect(&self, halls: Halls) {
        let _ = self.halls.set(halls);
    }
}

impl fmt::Debug for NodeBeats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NodeBeats").finish_non_exhaustive()
    }
}

impl content::BeatContent for NodeBeats {
    fn config_version(&self) -> ids::ConfigVersion {
        self.keeper.active().version
    }

    fn halls(&self) -> Vec<model::HallBeat> {
        self.halls.get().map(|it| it.summaries()).unwrap_or_default()
    }

    fn on_beat(&self, beat: &model::PeerBeat) {
        self.keeper.heard(beat.config_version, &beat.address);
        if let Some(halls) = self.halls.get() {
            halls.observe_epochs(&beat.halls);
        }
    }
}

impl link::PeerService for NodePeers {
    async fn serve(&self, path: &str, body: Bytes) -> Option<link::ServedReply> {
        match path {
            model::PeerBeat::PATH => {
                dispatch::answer(&body, async |beat| self.members.receive_beat(&beat)).await
            }
            model::ConfigFetch::PATH => {
                dispatch::answer(&body, async |fetch| self.keeper.fetched(&fetch)).await
            }
            _ => self.halls.serve(path, body).await,
        }
    }
}
