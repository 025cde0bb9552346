//! What the parts of an instance share.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use almondpass_peer::link;
use almondpass_ports::boot_clock::BootClock;
use almondpass_ports::{boot_clock, row_feed, table};
use almondpass_schema::{ids, model};
use tokio_util::sync::CancellationToken;

use crate::control;
use crate::document;
use crate::evacuation;
use crate::hand_over;
use crate::leader;
use crate::nudge;
use crate::relay;
use crate::settings;
use crate::worker_entry;

/// The platform and the peers as an instance reaches them.
pub trait PoolAdapters: Clone + Send + Sync + 'static {
    /// The store.
    type Store: table::TableService + row_feed::RowFeed;
    /// The workers.
    type Control: control::TaskControl;
    /// What the platform and its operators write.
    type Reader: document::PlatformReader;
    /// The other instances.
    type Peers: link::PeerLink;
    /// The time.
    type Clock: boot_clock::BootClock;

    /// The store.
    fn store(&self) -> &Self::Store;
    /// The workers.
    fn control(&self) -> &Self::Control;
    /// What the platform and its operators write.
    fn reader(&self) -> &Self::Reader;
    /// The other instances.
    fn peers(&self) -> &Self::Peers;
    /// The time.
    fn clock(&self) -> &Self::Clock;
}

/// State of an instance; its parts hold it in an `Arc`.
#[derive(Debug)]
pub struct PoolState<S> {
    /// The platform and the peers.
    pub adapters: S,
    /// What the instance was told at its start.
    pub settings: settings::PoolSettings,
    /// When the process began.
    pub(crate) started_at: Duration,
    /// The configuration in force.
    pub document: document::DocumentSlot,
    /// The data centres under evacuation.
    pub evacuations: evacuation::EvacuationSlot,
    /// Ends when the instance is to leave.
    pub shutdown: CancellationToken,
    /// Who holds the tenure, as last seen.
    holder: Mutex<Option<HolderView>>,
    /// The tenure, while this instance holds it.
    leader: Mutex<Option<Arc<leader::LeaderState>>>,
    /// Number of the tenure from its taking on, before its rows are read.
    acquired_epoch: Mutex<Option<ids::Epoch>>,
    /// When an order of a tenure that is over here may have left last.
    last_order_at: Mutex<Option<Duration>>,
    /// What the last such tenure held against tasks and had not saved.
    unsaved: Mutex<Vec<model::UnsavedSuspicions>>,
    /// Whether the store gives this instance no answers, as its last long call showed.
    store_unavailable: AtomicBool,
    /// Whether calls by way of peers are worth a try.
    relays: Mutex<relay::RelayState>,
    /// Nudges that the holder has not acknowledged yet.
    nudges: Mutex<nudge::PendingNudges>,
    /// Instances that were found, this one included.
    members: Mutex<Vec<model::InstanceRow>>,
    /// Stronger instances to which this one has offered the tenure.
    offered_instances: Mutex<hand_over::OfferedInstances>,
    /// Entries of the list of workers that name no worker to use.
    faulty_entries: Mutex<worker_entry::FaultyEntries>,
}

/// The holder of the tenure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderView {
    /// Which instance.
    pub instance: ids::InstanceId,
    /// Where it answers its peers.
    pub address: ids::PeerAddress,
}

impl<S: PoolAdapters> PoolState<S> {
    /// An instance that knows nothing yet.
    pub fn new(adapters: S, settings: settings::PoolSettings) -> PoolState<S> {
        let started_at = adapters.clock().now();
        PoolState {
            adapters,
            settings,
            started_at,
            document: document::DocumentSlot::default(),
            evacuations: evacuation::EvacuationSlot::default(),
            shutdown: CancellationToken::new(),
            holder: Mutex::default(),
            leader: Mutex::default(),
            acquired_epoch: Mutex::default(),
            last_order_at: Mutex::default(),
            unsaved: Mutex::default(),
            store_unavailable: AtomicBool::new(false),
            relays: Mutex::default(),
            nudges: Mutex::default(),
            members: Mutex::default(),
            offered_instances: Mutex::default(),
            faulty_entries: Mutex::default(),
        }
    }

    /// The tenure, while this instance holds it.
    pub fn leader(&self) -> Option<Arc<leader::LeaderState>> {
        lock(&self.leader).clone()
    }

    pub(crate) fn set_leader(&self, leader: Option<Arc<leader::LeaderState>>) {
        *lock(&self.leader) = leader;
    }

    /// Number of the tenure that this instance has taken and not ended.
    pub(crate) fn acquired_epoch(&self) -> Option<ids::Epoch> {
        *lock(&self.acquired_epoch)
    }

    pub(crate) fn set_acquired_epoch(&self, epoch: Option<ids::Epoch>) {
        *lock(&self.acquired_epoch) = epoch;
    }

    /// When an order of a tenure that is over here may have left last, if any has.
    pub(crate) fn last_order_at(&self) -> Option<Duration> {
        *lock(&self.last_order_at)
    }

    /// What the last tenure that is over here held against tasks and had not saved.
    pub(crate) fn unsaved_suspicions(&self) -> Vec<model::UnsavedSuspicions> {
        lock(&self.unsaved).clone()
    }

    /// A tenure is over here, whose last order may have left at `ordered_at`.
    pub(crate) fn record_tenure_end(
        &self,
        last_order_at: Option<Duration>,
        unsaved: Vec<model::UnsavedSuspicions>,
    ) {
        let mut latest = lock(&self.last_order_at);
        *latest = (*latest).max(last_order_at);
        *lock(&self.unsaved) = unsaved;
    }

    /// Another instance that holds the tenure, as last seen.
    pub fn remote_holder(&self) -> Option<HolderView> {
        let holder = lock(&self.holder).clone();
        holder.filter(|it| it.instance != self.settings.instance)
    }

    pub(crate) fn set_holder(&self, holder: Option<HolderView>) {
        let mut current = lock(&self.holder);
        if *current != holder {
            let name = holder.as_ref().map(|it| it.instance.as_str());
            tracing::info!(holder = name, "holder of the tenure");
        }
        *current = holder;
    }

    /// Peers that were found, and those named at the start.
    pub fn peer_addresses(&self) -> Vec<ids::PeerAddress> {
        let members = lock(&self.members);
        let mut addresses = members.iter().map(|it| it.address.clone()).collect::<Vec<_>>();
        addresses.extend(self.settings.seeds.iter().cloned());
        addresses.sort();
        addresses.dedup();
        addresses.retain(|it| *it != self.settings.peer_address);
        addresses
    }

    /// Whether the store gives this instance no answers.
    pub(crate) fn is_store_unavailable(&self) -> bool {
        self.store_unavailable.load(Ordering::Relaxed)
    }

    pub(crate) fn set_store_unavailable(&self, is_away: bool) {
        self.store_unavailable.store(is_away, Ordering::Relaxed);
    }

    pub(crate) fn relays(&self) -> MutexGuard<'_, relay::RelayState> {
        lock(&self.relays)
    }

    pub(crate) fn nudges(&self) -> MutexGuard<'_, nudge::PendingNudges> {
        lock(&self.nudges)
    }

    pub(crate) fn offered_instances(&self) -> MutexGuard<'_, hand_over::OfferedInstances> {
        lock(&self.offered_instances)
    }

    pub(crate) fn faulty_entries(&self) -> MutexGuard<'_, worker_entry::FaultyEntries> {
        lock(&self.faulty_entries)
    }

    pub(crate) fn set_members(&self, members: Vec<model::InstanceRow>) {
        *lock(&self.members) = members;
    }

    /// Whether a stronger instance than this was found.
    pub(crate) fn knows_stronger_instance(&self) -> bool {
        !self.stronger_instances().is_empty()
    }

    /// Instances that were found and are stronger than this.
    pub(crate) fn stronger_instances(&self) -> BTreeSet<ids::InstanceId> {
        let members = lock(&self.members);
        let own = self.settings.strength_milli;
        let stronger = members.iter().filter(|it| it.strength_milli > own);
        stronger.map(|it| it.instance.clone()).collect()
    }
}

/// Locks although a holder of the lock panicked: the state is whole between any two statements.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
