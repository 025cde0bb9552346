//! The tenure of the pools while this instance holds it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use almondpass_graph::{core, order};
use almondpass_ports::boot_clock::BootClock;
use almondpass_schema::{ids, model};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::graph_follower;
use crate::hand_over;
use crate::predecessor;
use crate::predecessor_list;
use crate::retention;
use crate::scheduling_loop;
use crate::settings;
use crate::state;
use crate::tenure_loader;
use crate::tenure_status;
use crate::worker_follower;
use crate::writer;

/// State of a tenure; its parts hold it in an `Arc`.
#[derive(Debug)]
pub struct LeaderState {
    /// Number of the tenure; the fencing token of its orders.
    pub epoch: ids::Epoch,
    /// Version of the tenure's row when it was taken: rows below it are from before.
    pub acquired_version: ids::RowVersion,
    core: Mutex<core::PoolCore>,
    tenure: Mutex<tenure_status::TenureState>,
    /// When an order may have left last, if any has.
    ordered_at: Mutex<Option<Duration>>,
    predecessors: Mutex<predecessor_list::PredecessorList>,
    applied_graph_version: AtomicU64,
    missed_jobs: Mutex<BTreeSet<ids::GraphId>>,
    senders: Mutex<BTreeMap<ids::WorkerId, mpsc::UnboundedSender<order::PoolOrder>>>,
    /// A turn is due.
    pub(crate) round_due: Notify,
    /// Something is to be saved.
    pub(crate) save_due: Notify,
    /// Something was saved.
    pub(crate) saved: Notify,
    /// The tenure is to be given up although the instance stays.
    pub(crate) release_requested: CancellationToken,
    /// Ends with the tenure.
    pub(crate) ended: CancellationToken,
}

/// A tenure that was just taken.
#[derive(Clone, Debug)]
pub(crate) struct AcquiredTenure {
    pub(crate) epoch: ids::Epoch,
    pub(crate) version: ids::RowVersion,
    pub(crate) sent_at: Duration,
    pub(crate) settles_at: Duration,
    /// Losses of workers that the earlier holder has seen lately.
    pub(crate) losses: Option<model::RecentLosses>,
    /// The holders before.
    pub(crate) predecessors: predecessor_list::PredecessorList,
    /// Whether the earlier holder has kept what the roster notes of silent workers.
    pub(crate) notes_silence: bool,
}

impl LeaderState {
    pub(crate) fn new(
        taken: &AcquiredTenure,
        times: settings::TenureTiming,
        core: core::PoolCore,
    ) -> LeaderState {
        LeaderState {
            epoch: taken.epoch,
            acquired_version: taken.version,
            core: Mutex::new(core),
            tenure: Mutex::new(tenure_status::TenureState::new(times, taken.sent_at)),
            ordered_at: Mutex::default(),
            predecessors: Mutex::new(taken.predecessors.clone()),
            applied_graph_version: AtomicU64::new(0),
            missed_jobs: Mutex::default(),
            senders: Mutex::default(),
            round_due: Notify::new(),
            save_due: Notify::new(),
            saved: Notify::new(),
            release_requested: CancellationToken::new(),
            ended: CancellationToken::new(),
        }
    }

    /// The decisions of this tenure.
    pub fn core(&self) -> MutexGuard<'_, core::PoolCore> {
        state::lock(&self.core)
    }

    pub(crate) fn tenure(&self) -> MutexGuard<'_, tenure_status::TenureState> {
        state::lock(&self.tenure)
    }

    /// Up to which version all rows of accepted jobs were taken in.
    pub(crate) fn applied_graph_version(&self) -> ids::RowVersion {
        self.applied_graph_version.load(Ordering::Relaxed)
    }

    pub(crate) fn set_applied_graph_version(&self, version: ids::RowVersion) {
        self.applied_graph_version.store(version, Ordering::Relaxed);
    }

    /// Jobs that are being looked for in the store.
    pub(crate) fn missed_jobs(&self) -> MutexGuard<'_, BTreeSet<ids::GraphId>> {
        state::lock(&self.missed_jobs)
    }

    /// Whether no order leaves any more.
    pub fn has_ended(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// Whether orders may be given now; if so, they are taken to be.
    pub(crate) fn permit_order(&self, clock: &impl BootClock) -> bool {
        let now = clock.now();
        let may_order = !self.ended.is_cancelled() && self.tenure().may_order(now);
        if may_order {
            *state::lock(&self.ordered_at) = Some(now);
        }
        may_order
    }

    /// When an order may have left last, if any has.
    pub(crate) fn ordered_at(&self) -> Option<Duration> {
        *state::lock(&self.ordered_at)
    }

    /// The holders before.
    pub(crate) fn predecessors(&self) -> MutexGuard<'_, predecessor_list::PredecessorList> {
        state::lock(&self.predecessors)
    }

    /// Whether nobody else can hold the tenure now.
    pub(crate) fn is_exclusive(&self, clock: &impl BootClock) -> bool {
        self.tenure().status(clock.now()) == tenure_status::TenureStatus::Firm
    }

    /// Ends the tenure here; no order leaves from now on.
    pub(crate) fn end(&self) {
        self.tenure().end();
        self.ended.cancel();
    }

    /// Hands an order to the sender of its worker. Returns it where there is none.
    pub(crate) fn send_order(&self, order: order::PoolOrder) -> Option<order::PoolOrder> {
        let worker = match &order {
            order::PoolOrder::Start(it) => &it.worker,
            order::PoolOrder::Stop(it) => &it.worker,
            order::PoolOrder::Poll { worker } => worker,
        };
        let senders = state::lock(&self.senders);
        let Some(sender) = senders.get(worker) else { return Some(order) };
        sender.send(order).err().map(|it| it.0)
    }

    /// The workers to which nothing can be sent yet.
    pub(crate) fn workers_without_sender(&self) -> Vec<ids::WorkerId> {
        let core = self.core();
        let senders = state::lock(&self.senders);
        core.worker_ids().filter(|it| !senders.contains_key(*it)).cloned().collect()
    }

    pub(crate) fn add_sender(
        &self,
        worker: &ids::WorkerId,
        sender: mpsc::UnboundedSender<order::PoolOrder>,
    ) {
        state::lock(&self.senders).insert(worker.clone(), sender);
    }

    pub(crate) fn remove_sender(&self, worker: &ids::WorkerId) {
        state::lock(&self.senders).remove(worker);
    }
}

/// Schedules until the tenure is over, then gives it up if it is still held. Tells whether it was to be
/// given up although the instance stays.
pub(crate) async fn run<S: state::PoolAdapters>(
    state: Arc<state::PoolState<S>>,
    taken: AcquiredTenure,
) -> bool {
    tracing::info!(epoch = taken.epoch, version = taken.version, "tenure taken");
    metrics::counter!("almondpass_pool_tenures_total").increment(1);
    let (epoch, version) = (taken.epoch, taken.version);
    state.set_acquired_epoch(Some(epoch));
    let mut core = core::PoolCore::new(core::PoolStart {
        timing: state.settings.timing,
        catalog: Arc::default(),
        settles_at: taken.settles_at,
    });
    // The tenure is renewed, and with it what is known of losses, before anything is loaded.
    core.inherit_silence_notes(taken.notes_silence);
    core.restore_loss_history(taken.losses.as_ref(), state.adapters.clock().now());
    let leader = Arc::new(LeaderState::new(&taken, state.settings.tenure, core));
    let _held = TenureGuard { state: &state, leader: &leader };
    let mut parts = JoinSet::new();
    parts.spawn(serve(Arc::clone(&state), Arc::clone(&leader), taken));
    // From the start on: while the store is slow the reads take longer than the term, and each
    // successor would lose the tenure to the next one before it had scheduled anything.
    writer::run(&state, &leader, version).await;
    let was_given_up = leader.release_requested.is_cancelled();
    leader.end();
    parts.shutdown().await;
    tracing::info!(epoch, "tenure is over");
    was_given_up
}

/// A tenure that ends here however its work ends, by a panic too: callers and peers would be answered by
/// what it knew.
struct TenureGuard<'a, S: state::PoolAdapters> {
    state: &'a state::PoolState<S>,
    leader: &'a LeaderState,
}

impl<S: state::PoolAdapters> Drop for TenureGuard<'_, S> {
    fn drop(&mut self) {
        self.leader.end();
        let unsaved = self.leader.core().unsaved_suspicions();
        self.state.record_tenure_end(self.leader.ordered_at(), unsaved);
        self.state.set_leader(None);
        self.state.set_acquired_epoch(None);
        metrics::gauge!("almondpass_pool_held").set(0.0);
    }
}

/// Reads how the pools stand, then schedules.
async fn serve<S: state::PoolAdapters>(
    state: Arc<state::PoolState<S>>,
    leader: Arc<LeaderState>,
    taken: AcquiredTenure,
) {
    // However this ends, by a panic too: a tenure that is renewed and not served would keep the
    // others from scheduling.
    let _giving_up = leader.release_requested.clone().drop_guard();
    let Some(loaded) = tenure_loader::load(&state, &taken).await else {
        tracing::warn!(epoch = taken.epoch, "tenure is given up: its rows can't be read");
        return;
    };
    *leader.core() = loaded.core;
    leader.set_applied_graph_version(loaded.graphs_version);
    state.set_leader(Some(Arc::clone(&leader)));
    metrics::gauge!("almondpass_pool_held").set(1.0);
    tokio::join!(
        graph_follower::run(Arc::clone(&state), Arc::clone(&leader), loaded.graphs_version),
        worker_follower::run(Arc::clone(&state), Arc::clone(&leader), loaded.workers_version),
        scheduling_loop::run(Arc::clone(&state), Arc::clone(&leader)),
        hand_over::run(Arc::clone(&state), Arc::clone(&leader)),
        predecessor::run(Arc::clone(&state), Arc::clone(&leader)),
        retention::run(Arc::clone(&state), Arc::clone(&leader)),
    );
}
