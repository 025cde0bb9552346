//! Watches the tenure of the pools and acquires it when no instance holds it.

use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::codec;
use almondpass_peer::link::PeerLink;
use almondpass_ports::boot_clock::BootClock;
use almondpass_ports::keys;
use almondpass_schema::model;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time;

use crate::document;
use crate::leader;
use crate::predecessor_list;
use crate::spread;
use crate::state;
use crate::store_call;
use crate::tenure_watch;
use crate::vacancy;
use crate::writer;

/// Wait before the tenure's row is read again after a write to it got no answer.
const UNCLEAR_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Timeout of a call that shows whether an instance is up.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(300);

/// Most instances that are asked at a time whether they are up.
const MAX_ASKED: usize = 8;

/// Watches the tenure, and schedules while this instance holds it, until the instance leaves.
pub(crate) async fn run<S: state::PoolAdapters>(state: Arc<state::PoolState<S>>) {
    let mut watch = tenure_watch::TenureWatch::default();
    let mut unnamed_bound = UnnamedHolderBound::default();
    let settings = &state.settings;
    let spread =
        |interval| spread::lengthen(&settings.instance, interval, vacancy::MAX_SPREAD_SHARE);
    let interval = spread(settings.tenure.watch_interval);
    let rare_interval = spread(settings.tenure.rare_watch_interval);
    while !state.shutdown.is_cancelled() {
        let before = watch.seen().cloned();
        read(&state, &mut watch).await;
        if release_unserved(&state, &watch).await {
            continue;
        }
        unnamed_bound.observe(&state, before.as_ref(), watch.row());
        state.set_holder(watch.row().filter(|it| !it.released).map(|it| state::HolderView {
            instance: it.holder.clone(),
            address: it.address.clone(),
        }));
        let left_to = find_better(&state, &watch).await;
        match acquire(&state, &watch, left_to, &mut unnamed_bound).await {
            AcquireOutcome::Acquired(acquired) => {
                let was_release_requested = leader::run(Arc::clone(&state), acquired).await;
                watch = tenure_watch::TenureWatch::default();
                if was_release_requested {
                    yield_to_others(&state).await;
                }
                continue;
            }
            // The write may have succeeded; the row then names this instance as holder.
            AcquireOutcome::Unknown => {
                time::sleep(UNCLEAR_RETRY_DELAY).await;
                continue;
            }
            AcquireOutcome::NotAcquired => {}
        }
        let wait = time_until_read(&state, &watch, left_to, interval, rare_interval);
        tokio::select! {
            biased;
            () = state.shutdown.cancelled() => {}
            () = wait_for_first_document(&state.document), if state.document.version() == 0 => {}
            () = time::sleep(wait) => {}
            // A doubt makes a watcher that reads rarely read as often as an early one, and no one more often.
            () = doubted_after(&state, interval) => {}
        }
    }
}

/// Returns once the holder was doubted, but not before `min_wait` has passed.
async fn doubted_after<S: state::PoolAdapters>(state: &state::PoolState<S>, min_wait: Duration) {
    tokio::join!(state.holder_doubted.notified(), time::sleep(min_wait));
}

/// Wait before the tenure's row is read again.
///
/// If all instances read the row often, the calls to the store would grow with their number. So only early
/// contenders do, and the others once the row has not changed since their last read.
fn time_until_read<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    watch: &tenure_watch::TenureWatch,
    left_to: BetterInstance,
    interval: Duration,
    rare_interval: Duration,
) -> Duration {
    let Some(seen) = watch.seen() else { return interval };
    let now = state.adapters.clock().now();
    let is_held = seen.row.as_ref().is_some_and(|it| !it.released);
    let is_renewed = now < seen.unchanged_since + interval;
    if is_held && is_renewed && !state.is_early_contender() {
        return rare_interval;
    }
    // Reads the row as soon as the tenure is free or may be acquired, if that is before the next regular read.
    let free_at = seen.free_at(&state.settings.peer_address, state.settings.tenure.term);
    if left_to == BetterInstance::Up && now < free_at {
        return interval.min(free_at - now);
    }
    time_until_free(state, seen, left_to).map_or(interval, |it| it.min(interval))
}

/// Waits until each other instance has read the tenure's row. An instance that can write but not read, or
/// that panics at what it reads, would otherwise be the first to reacquire the tenure each time after
/// releasing it.
async fn yield_to_others<S: state::PoolAdapters>(state: &state::PoolState<S>) {
    tokio::select! {
        () = time::sleep(vacancy::two_watch_intervals(&state.settings.tenure)) => {}
        () = state.shutdown.cancelled() => {}
    }
}

/// Releases the tenure of an earlier process at this instance's address that ended before it scheduled. Returns
/// whether the row was written.
///
/// What ended it, such as rows that take more memory than the instance has, may end this process too. Other
/// instances could acquire the tenure only after its term, and this one was faster each time.
async fn release_unserved<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    watch: &tenure_watch::TenureWatch,
) -> bool {
    let settings = &state.settings;
    let Some(seen) = watch.seen().filter(|it| it.is_held_at(&settings.peer_address)) else {
        return false;
    };
    let n_unserved = seen.n_unserved_at(&settings.peer_address, &settings.instance);
    let Some(row) = seen.row.as_ref().filter(|_| n_unserved > 0) else { return false };
    let now = state.adapters.clock().now();
    let predecessors = predecessor_list::PredecessorList::from_row(state, seen);
    let mut earlier = predecessors.row_entries(now);
    earlier.retain(|it| it.epoch != row.epoch);
    let settles_in = predecessors.settles_at().saturating_sub(now);
    let released = model::PoolTenure {
        released: true,
        settles_in_ms: settles_in.as_millis() as u64,
        earlier,
        ..row.clone()
    };
    let transaction = model::TableTransaction {
        conditions: vec![model::TableCondition { key: keys::pool_tenure(), version: seen.version }],
        writes: vec![writer::encode_write(keys::pool_tenure(), &released)],
    };
    let written = store_call::transact(state, transaction).await;
    let is_released = matches!(written, Ok(model::TableOutcome::Committed { .. }));
    tracing::warn!(
        holder = row.holder,
        epoch = row.epoch,
        n_unserved,
        is_released,
        "an earlier process at this address ended before it scheduled; the tenure is left to others"
    );
    is_released
}

/// Returns once there is a configuration. After a power loss of all instances the former holder's machine may
/// acquire the tenure at once, and it reads the tenure's row before the configuration.
async fn wait_for_first_document(document: &document::DocumentSlot) {
    let mut versions = document.subscribe();
    // The sender is part of the instance's state, so it outlives this wait.
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
            match row.and_then(|it| it.value).map(|it| codec::decode(&it)).transpose() {
                Ok(tenure) => watch.record_read(version, tenure, now),
                // Read as absent, the row would end another instance's tenure, with a lower epoch.
                Err(error) => {
                    tracing::error!(version, %error, "the tenure's row can't be decoded");
                    watch.record_failure(now);
                }
            }
        }
        Err(error) => {
            tracing::debug!(%error, "the tenure can't be read");
            watch.record_failure(now);
        }
    }
}

/// Upper bound for what earlier holders that the row does not name may have left running. A holder of an
/// earlier release names only the last holder, which may have acquired the tenure without ever serving it.
#[derive(Debug, Default)]
struct UnnamedHolderBound {
    until: Duration,
}

impl UnnamedHolderBound {
    /// Raises the bound when a row of a new epoch is read that does not name the earlier holders. A holder
    /// that was succeeded without releasing the tenure may go on giving orders for a while.
    fn observe<S: state::PoolAdapters>(
        &mut self,
        state: &state::PoolState<S>,
        before: Option<&tenure_watch::SeenRow>,
        row: Option<&model::PoolTenure>,
    ) {
        let Some((before, row)) = before.zip(row) else { return };
        let is_new_epoch = before.row.as_ref().is_some_and(|it| it.epoch < row.epoch);
        if is_new_epoch && !row.names_earlier {
            let earlier = predecessor_list::PredecessorList::from_row(state, before);
            self.until = self.until.max(earlier.settles_at());
        }
    }
}

/// Outcome of an attempt to acquire the tenure.
enum AcquireOutcome {
    Acquired(leader::AcquiredTenure),
    /// The tenure is not free, or another instance was faster.
    NotAcquired,
    /// The write got no answer, so it may have succeeded.
    Unknown,
}

async fn acquire<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    watch: &tenure_watch::TenureWatch,
    left_to: BetterInstance,
    unnamed_bound: &mut UnnamedHolderBound,
) -> AcquireOutcome {
    let settings = &state.settings;
    // Scheduling needs a configuration.
    if state.document.current().is_none() {
        return AcquireOutcome::NotAcquired;
    }
    let now = state.adapters.clock().now();
    let Some(seen) = watch.seen().filter(|it| time_until_free(state, it, left_to).is_none()) else {
        return AcquireOutcome::NotAcquired;
    };
    let losses = seen.row.as_ref().and_then(|it| it.losses.clone());
    let mut predecessors = predecessor_list::PredecessorList::from_row(state, seen);
    predecessors.add_unnamed(unnamed_bound.until);
    let settles_at = predecessors.settles_at().max(now);
    let notes_silence = seen.row.as_ref().is_some_and(|it| it.notes_silence);
    let n_unserved = n_unserved_with_next(seen.row.as_ref(), &settings.instance);
    let row = model::PoolTenure {
        holder: settings.instance.clone(),
        address: settings.peer_address.clone(),
        epoch: seen.row.as_ref().map_or(0, |it| it.epoch) + 1,
        renewal: 0,
        released: false,
        losses: losses.clone(),
        settles_in_ms: settles_at.saturating_sub(now).as_millis() as u64,
        notes_silence,
        strongest_milli: state.strongest_milli(),
        earlier: predecessors.row_entries(now),
        names_earlier: true,
        n_unserved,
    };
    let transaction = model::TableTransaction {
        conditions: vec![model::TableCondition { key: keys::pool_tenure(), version: seen.version }],
        writes: vec![writer::encode_write(keys::pool_tenure(), &row)],
    };
    let sent_at = state.adapters.clock().now();
    let versions = match store_call::transact(state, transaction).await {
        Ok(model::TableOutcome::Committed { versions }) => versions,
        Err(error) if !error.fault.had_no_effect() => return AcquireOutcome::Unknown,
        Ok(model::TableOutcome::Conflict { .. }) | Err(_) => return AcquireOutcome::NotAcquired,
    };
    let Some(version) = versions.first().copied() else { return AcquireOutcome::NotAcquired };
    let epoch = row.epoch;
    AcquireOutcome::Acquired(leader::AcquiredTenure {
        epoch,
        version,
        sent_at,
        settles_at,
        losses,
        predecessors,
        notes_silence,
        n_unserved,
        versions: watch.versions().clone(),
    })
}

/// Number of tenures in a row whose holders have not scheduled, if `instance` acquires the next one. A write of
/// this instance without an answer and its repetition count once.
fn n_unserved_with_next(row: Option<&model::PoolTenure>, instance: &str) -> u32 {
    let Some(row) = row else { return 1 };
    let is_repetition = row.holder == instance && !row.released;
    if is_repetition { row.n_unserved.max(1) } else { row.n_unserved.saturating_add(1) }
}

/// Whether another instance is up that has failed to serve fewer of the last tenures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BetterInstance {
    /// One is up, or it is not known yet: the tenure is not free, or the instances have not been read.
    Up,
    /// None is up, or this instance has served its tenures.
    NoneUp,
}

/// Finds out whether there is a better instance, if the last tenures were not served and one of them was this
/// instance's. Where all instances were killed one after the other, each would otherwise leave the tenure to the
/// rest.
async fn find_better<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    watch: &tenure_watch::TenureWatch,
) -> BetterInstance {
    let settings = &state.settings;
    let Some(seen) = watch.seen() else { return BetterInstance::NoneUp };
    if seen.n_unserved_beside(&settings.peer_address, &settings.instance) == 0 {
        return BetterInstance::NoneUp;
    }
    let is_free =
        seen.free_at(&settings.peer_address, settings.tenure.term) <= state.adapters.clock().now();
    let Some(members) = state.other_members().filter(|_| is_free) else {
        return BetterInstance::Up;
    };
    let n_own = seen.n_named_at(&settings.peer_address);
    let better = members.into_iter().filter(|it| seen.n_named_at(it) < n_own);
    let have = state.document.version();
    let asked = better.take(MAX_ASKED).map(|it| async move {
        let pull = model::DocumentPull { have };
        state.adapters.peers().call(&it, pull, PRESENCE_TIMEOUT).await.is_ok()
    });
    let mut answers = asked.collect::<FuturesUnordered<_>>();
    while let Some(is_up) = answers.next().await {
        if is_up {
            return BetterInstance::Up;
        }
    }
    BetterInstance::NoneUp
}

/// How much longer this instance leaves the tenure to its holder and to other instances; `None` once it may
/// acquire the tenure.
fn time_until_free<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    seen: &tenure_watch::SeenRow,
    left_to: BetterInstance,
) -> Option<Duration> {
    let settings = &state.settings;
    let free_at = seen.free_at(&settings.peer_address, settings.tenure.term);
    let n_unserved = match left_to {
        BetterInstance::Up => seen.n_unserved_beside(&settings.peer_address, &settings.instance),
        BetterInstance::NoneUp => 0,
    };
    let unserved_delay = vacancy::unserved_delay(&settings.tenure, n_unserved);
    let may_acquire_at = free_at + yield_delay(state, seen).max(unserved_delay);
    let wait = may_acquire_at.saturating_sub(state.adapters.clock().now());
    (!wait.is_zero()).then_some(wait)
}

/// How long a free tenure is left to stronger instances.
fn yield_delay<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    seen: &tenure_watch::SeenRow,
) -> Duration {
    let timing = &state.settings.tenure;
    if seen.is_held_at(&state.settings.peer_address) {
        return Duration::ZERO;
    }
    // Which instances are stronger is known only once all of them have written their rows.
    let startup_delay = if seen.row.is_none() { timing.first_start_delay } else { Duration::ZERO };
    let strongest_of_holder = seen.row.as_ref().map_or(0, |it| it.strongest_milli);
    let strongest = state.strongest_milli().max(strongest_of_holder);
    if state.settings.strength_milli >= strongest {
        return startup_delay;
    }
    startup_delay + vacancy::weaker_delay(timing, state.is_early_contender())
}
