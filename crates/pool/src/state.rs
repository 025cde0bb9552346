//! State shared by the tasks of an instance.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use almondpass_peer::link;
use almondpass_ports::boot_clock::BootClock;
use almondpass_ports::{boot_clock, row_feed, table};
use almondpass_schema::{ids, model};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::control;
use crate::document;
use crate::evacuation;
use crate::hand_over;
use crate::leader;
use crate::load_view;
use crate::nudge;
use crate::relay;
use crate::settings;
use crate::store_outage;
use crate::tenure_legacy;
use crate::worker_entry;

/// Access to everything outside the instance: the store, the workers, the peers and the clock.
pub trait PoolAdapters: Clone + Send + Sync + 'static {
    /// Client of the platform's store: transactions, reads and feeds.
    type Store: table::TableService + row_feed::RowFeed;
    /// Client that starts, stops and polls tasks on workers.
    type Control: control::TaskControl;
    /// Parser of the rows that the platform and its operators write.
    type Reader: document::PlatformReader;
    /// Client for calls to other instances.
    type Peers: link::PeerLink;
    /// Clock that counts while the machine is suspended too.
    type Clock: boot_clock::BootClock;

    /// Returns the client of the store; calls have no deadline of their own (see [`crate::store_call`]).
    fn store(&self) -> &Self::Store;
    /// Returns the client of the workers.
    fn control(&self) -> &Self::Control;
    /// Returns the parser of platform rows.
    fn reader(&self) -> &Self::Reader;
    /// Returns the client of the other instances.
    fn peers(&self) -> &Self::Peers;
    /// Returns the clock by which the tenure's term and the workers' leases are measured.
    fn clock(&self) -> &Self::Clock;
}

/// State of an instance, shared by its tasks in an `Arc`.
#[derive(Debug)]
pub struct PoolState<S> {
    /// Access to the store, the workers, the peers and the clock.
    pub adapters: S,
    /// Settings given at the start of the process; they never change.
    pub settings: settings::PoolSettings,
    /// Time of the clock at the start of the process.
    pub(crate) started_at: Duration,
    /// Configuration document in force, from the store or from a peer.
    pub document: document::DocumentSlot,
    /// Data centres under evacuation, from the store or from a peer.
    pub evacuations: evacuation::EvacuationSlot,
    /// Cancelled once the instance is to give up the tenure and shut down.
    pub shutdown: CancellationToken,
    /// Holder of the tenure according to the last read of the tenure's row.
    holder: Mutex<Option<HolderView>>,
    /// State of the tenure; `None` while this instance does not hold it.
    leader: Mutex<Option<Arc<leader::LeaderState>>>,
    /// Epoch of the tenure that this instance has acquired, set before the tenure's rows are loaded.
    acquired_epoch: Mutex<Option<ids::Epoch>>,
    /// Latest time at which an order of an ended tenure of this instance may have been sent.
    last_order_at: Mutex<Option<Duration>>,
    /// What the last ended tenure of this instance leaves to its successor.
    legacy: Mutex<tenure_legacy::TenureLegacy>,
    /// Whether the store does not answer this instance, according to the last read of the document's feed.
    store_unavailable: AtomicBool,
    /// Outages of the store that this instance has seen; recorded while `adaptive_retry` is on.
    pub(crate) outages: store_outage::StoreOutages,
    /// Load of the pool as the tenure holder reported it; used while `refuse_hopeless` is on.
    pub(crate) load: load_view::LoadView,
    /// Which peer relays the next call, and whether relaying is paused.
    relays: Mutex<relay::RelayState>,
    /// Nudges that the tenure holder has not acknowledged yet.
    nudges: Mutex<nudge::PendingNudges>,
    /// Rows of the known instances, which may include this one.
    members: Mutex<Vec<model::InstanceRow>>,
    /// Whether this instance is one of the first to take over the tenure.
    is_early_contender: AtomicBool,
    /// Notified when the holder of the tenure may be another than the known one.
    pub(crate) holder_doubted: Notify,
    /// Stronger instances to which this one has offered the tenure.
    offered_instances: Mutex<hand_over::OfferedInstances>,
    /// Entries of the list of workers that are invalid and not used.
    faulty_entries: Mutex<worker_entry::FaultyEntries>,
}

/// Identity and address of the tenure holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderView {
    /// Id of the instance, new at each start of its process.
    pub instance: ids::InstanceId,
    /// Address at which the instance answers calls of peers.
    pub address: ids::PeerAddress,
}

impl<S: PoolAdapters> PoolState<S> {
    /// Creates the state of an instance that has read nothing from the store yet.
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
            legacy: Mutex::default(),
            store_unavailable: AtomicBool::new(false),
            outages: store_outage::StoreOutages::default(),
            load: load_view::LoadView::default(),
            relays: Mutex::default(),
            nudges: Mutex::default(),
            members: Mutex::default(),
            is_early_contender: AtomicBool::new(true),
            holder_doubted: Notify::new(),
            offered_instances: Mutex::default(),
            faulty_entries: Mutex::default(),
        }
    }

    /// Returns the state of the tenure; `None` while this instance does not hold it.
    pub fn leader(&self) -> Option<Arc<leader::LeaderState>> {
        lock(&self.leader).clone()
    }

    pub(crate) fn set_leader(&self, leader: Option<Arc<leader::LeaderState>>) {
        *lock(&self.leader) = leader;
    }

    /// Returns the epoch of the tenure that this instance has acquired and not ended.
    pub(crate) fn acquired_epoch(&self) -> Option<ids::Epoch> {
        *lock(&self.acquired_epoch)
    }

    pub(crate) fn set_acquired_epoch(&self, epoch: Option<ids::Epoch>) {
        *lock(&self.acquired_epoch) = epoch;
    }

    /// Returns the latest time at which an order of an ended tenure of this instance may have been sent, if
    /// any was.
    pub(crate) fn last_order_at(&self) -> Option<Duration> {
        *lock(&self.last_order_at)
    }

    /// Returns what the last ended tenure of this instance leaves to its successor.
    pub(crate) fn legacy(&self) -> tenure_legacy::TenureLegacy {
        lock(&self.legacy).clone()
    }

    /// Records that a tenure of this instance has ended. Its last order may have been sent at
    /// `last_order_at`.
    pub(crate) fn record_tenure_end(
        &self,
        last_order_at: Option<Duration>,
        legacy: tenure_legacy::TenureLegacy,
    ) {
        let mut latest = lock(&self.last_order_at);
        *latest = (*latest).max(last_order_at);
        *lock(&self.legacy) = legacy;
    }

    /// Returns the holder of the tenure according to the last read; `None` where this instance or nobody
    /// holds it.
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

    /// Returns the addresses of all known peers and of the seeds in the settings, sorted, without this
    /// instance.
    pub fn peer_addresses(&self) -> Vec<ids::PeerAddress> {
        let members = lock(&self.members);
        let mut addresses = members.iter().map(|it| it.address.clone()).collect::<Vec<_>>();
        addresses.extend(self.settings.seeds.iter().cloned());
        addresses.sort();
        addresses.dedup();
        addresses.retain(|it| *it != self.settings.peer_address);
        addresses
    }

    /// Returns whether the store does not answer this instance.
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

    /// Whether this instance is one of the first to take over the tenure; true until the others are known.
    pub(crate) fn is_early_contender(&self) -> bool {
        self.is_early_contender.load(Ordering::Relaxed)
    }

    pub(crate) fn set_early_contender(&self, is_early_contender: bool) {
        self.is_early_contender.store(is_early_contender, Ordering::Relaxed);
    }

    pub(crate) fn set_members(&self, members: Vec<model::InstanceRow>) {
        *lock(&self.members) = members;
    }

    /// Addresses of the known instances other than this one, the strongest first; `None` until they are known.
    pub(crate) fn other_members(&self) -> Option<Vec<ids::PeerAddress>> {
        let members = lock(&self.members);
        let others = members.iter().map(|it| &it.address);
        let others = others.filter(|it| **it != self.settings.peer_address).cloned().collect();
        (!members.is_empty()).then_some(others)
    }

    /// Thousandths of a core of the strongest known instance, which may be this one.
    pub(crate) fn strongest_milli(&self) -> u32 {
        let members = lock(&self.members);
        let strongest = members.iter().map(|it| it.strength_milli).max();
        strongest.unwrap_or_default().max(self.settings.strength_milli)
    }

    /// Returns the known instances with a higher strength than this one.
    pub(crate) fn stronger_instances(&self) -> BTreeSet<ids::InstanceId> {
        let members = lock(&self.members);
        let own = self.settings.strength_milli;
        let stronger = members.iter().filter(|it| it.strength_milli > own);
        stronger.map(|it| it.instance.clone()).collect()
    }
}

/// Locks a mutex and ignores poisoning: the state under it is consistent between any two statements, so a
/// panic while it was locked does no harm.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
