//! Watches the tenure of the pools, and takes it when nobody holds it.

use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::codec;
use almondpass_ports::boot_clock::BootClock;
use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use tokio::time;
use xxhash_rust::xxh3;

use crate::document;
use crate::leader;
use crate::predecessor_list;
use crate::state;
use crate::store_call;
use crate::tenure_watch;
use crate::writer;

/// Wait before the row is read again whose write had no answer.
const UNCLEAR_AGAIN: Duration = Duration::from_millis(120);

/// Looks of different instances are spread over this share of the time between two looks.
const SPREAD: f64 = 0.3;

/// Watches and schedules until the instance leaves.
pub(crate) async fn run<S: state::PoolAdapters>(state: Arc<state::PoolState<S>>) {
    let mut watch = tenure_watch::TenureWatch::default();
    let mut floor = SettleFloor::default();
    let look = spread(&state.settings.instance, state.settings.tenure.watch_interval);
    while !state.shutdown.is_cancelled() {
        let before = watch.seen().cloned();
        read(&state, &mut watch).await;
        floor.saw(&state, before.as_ref(), watch.row());
        state.set_holder(watch.row().filter(|it| !it.released).map(|it| state::HolderView {
            instance: it.holder.clone(),
            address: it.address.clone(),
        }));
        match take(&state, &watch, &mut floor).await {
            TakeOutcome::Taken(taken) => {
                let was_given_up = leader::run(Arc::clone(&state), taken).await;
                watch = tenure_watch::TenureWatch::default();
                if was_given_up {
                    leave_to_others(&state).await;
                }
                continue;
            }
            // It may be taken, and by this instance, which the row tells.
            TakeOutcome::Unclear => {
                time::sleep(UNCLEAR_AGAIN).await;
                continue;
            }
            TakeOutcome::NotTaken => {}
        }
        // The next look comes at the moment at which the tenure may be taken, if that is sooner.
        let due = watch.seen().and_then(|it| wait_for(&state, it));
        tokio::select! {
            biased;
            () = state.shutdown.cancelled() => {}
            () = first_document(&state.document), if state.document.version() == 0 => {}
            () = time::sleep(due.map_or(look, |it| it.min(look))) => {}
        }
    }
}

/// Waits until each other instance has had a look. One that can write and not read, or panics at what it
/// reads, would otherwise be the first each time to take the tenure that it has just given up.
async fn leave_to_others<S: state::PoolAdapters>(state: &state::PoolState<S>) {
    let looks = state.settings.tenure.watch_interval.mul_f64(2.0 * (1.0 + SPREAD));
    tokio::select! {
        () = time::sleep(looks) => {}
        () = state.shutdown.cancelled() => {}
    }
}

/// Ends once there is a configuration. After a power loss of all instances the former holder's
/// machine may take the tenure at once, and reads its row before the configuration.
async fn first_document(document: &document::DocumentSlot) {
    let mut versions = document.subscribe();
    // The slot lives as long as the instance.
    let _ = versions.wait_for(|it| *it > 0).await;
}

async fn read<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    watch: &mut tenure_watch::TenureWatch,
) {
    let read = store_call::get(state, keys::pool_tenure()).await;
    let now = state.adapters.clock().now();
    match read {
        Ok(rows) => {
            let row = rows.rows.into_iter().next();
            let version = row.as_ref().map_or(0, |it| it.version);
            let tenure = row.and_then(|it| it.value).and_then(|it| codec::decode(&it).ok());
            watch.record_read(version, tenure, now);
        }
        Err(error) => {
            tracing::debug!(%error, "the tenure can't be read");
            watch.record_failure(now);
        }
    }
}

/// Until when holders before the last one may have left something running, where the row does not name them: an
/// earlier release tells of the last one alone, which may have taken the tenure and not served it.
#[derive(Debug, Default)]
struct SettleFloor {
    until: Duration,
}

impl SettleFloor {
    /// The row was read again. A holder that another follows without having given the tenure up goes on
    /// for a while.
    fn saw<S: state::PoolAdapters>(
        &mut self,
        state: &state::PoolState<S>,
        before: Option<&tenure_watch::SeenRow>,
        row: Option<&model::PoolTenure>,
    ) {
        let Some((before, row)) = before.zip(row) else { return };
        let is_other = before.row.as_ref().is_some_and(|it| it.epoch < row.epoch);
        if is_other && !row.names_earlier {
            let earlier = predecessor_list::PredecessorList::from_row(state, before);
            self.until = self.until.max(earlier.settles_at());
        }
    }
}

/// What became of taking the tenure.
enum TakeOutcome {
    Taken(leader::AcquiredTenure),
    /// It is not free, or another was first.
    NotTaken,
    /// The write had no answer.
    Unclear,
}

async fn take<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    watch: &tenure_watch::TenureWatch,
    floor: &mut SettleFloor,
) -> TakeOutcome {
    let settings = &state.settings;
    // Without a configuration nothing could be decided.
    if state.document.current().is_none() {
        return TakeOutcome::NotTaken;
    }
    let now = state.adapters.clock().now();
    let Some(seen) = watch.seen().filter(|it| wait_for(state, it).is_none()) else {
        return TakeOutcome::NotTaken;
    };
    let losses = seen.row.as_ref().and_then(|it| it.losses.clone());
    let mut predecessors = predecessor_list::PredecessorList::from_row(state, seen);
    predecessors.add_unnamed(floor.until);
    let settles_at = predecessors.settles_at().max(now);
    let notes_silence = seen.row.as_ref().is_some_and(|it| it.notes_silence);
    let row = model::PoolTenure {
        holder: settings.instance.clone(),
        address: settings.peer_address.clone(),
        epoch: seen.row.as_ref().map_or(0, |it| it.epoch) + 1,
        renewal: 0,
        released: false,
        losses: losses.clone(),
        settles_in_ms: settles_at.saturating_sub(now).as_millis() as u64,
        notes_silence,
        earlier: predecessors.row_entries(now),
        names_earlier: true,
    };
    let transaction = model::TableTransaction {
        conditions: vec![model::TableCondition { key: keys::pool_tenure(), version: seen.version }],
        writes: vec![writer::encode_write(keys::pool_tenure(), &row)],
    };
    let sent_at = state.adapters.clock().now();
    let versions = match store_call::transact(state, transaction).await {
        Ok(model::TableOutcome::Committed { versions }) => versions,
        Err(error) if !error.fault.had_no_effect() => return TakeOutcome::Unclear,
        Ok(model::TableOutcome::Conflict { .. }) | Err(_) => return TakeOutcome::NotTaken,
    };
    let Some(version) = versions.first().copied() else { return TakeOutcome::NotTaken };
    let epoch = row.epoch;
    TakeOutcome::Taken(leader::AcquiredTenure {
        epoch,
        version,
        sent_at,
        settles_at,
        losses,
        predecessors,
        notes_silence,
    })
}

/// How much longer this instance leaves the tenure to its holder and to others; nothing once it may
/// take it.
fn wait_for<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    seen: &tenure_watch::SeenRow,
) -> Option<Duration> {
    let settings = &state.settings;
    let free_at = seen.free_at(&settings.peer_address, settings.tenure.term);
    let may_take_at = free_at + deference(state, seen);
    let wait = may_take_at.saturating_sub(state.adapters.clock().now());
    (!wait.is_zero()).then_some(wait)
}

/// How long a free tenure is left to stronger instances. The holder's work grows with the number of
/// workers: at 350 it took nine tenths of the 0.12 cores of the weakest instances, and renewals and
/// looks came late.
fn deference<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    seen: &tenure_watch::SeenRow,
) -> Duration {
    let times = state.settings.tenure;
    if seen.is_held_at(&state.settings.peer_address) {
        return Duration::ZERO;
    }
    // Who is strong shows only once all have written their rows.
    let first = if seen.row.is_none() { times.first_start_delay } else { Duration::ZERO };
    let to_stronger =
        if state.knows_stronger_instance() { times.weaker_delay } else { Duration::ZERO };
    first + to_stronger
}

/// Time between two looks of this instance.
fn spread(instance: &ids::InstanceId, look: Duration) -> Duration {
    let mut hasher = xxh3::Xxh3Default::new();
    hasher.write(instance.as_bytes());
    let share = (hasher.finish() % 1_000) as f64 / 1_000.0;
    look.mul_f64(1.0 + SPREAD * share)
}
