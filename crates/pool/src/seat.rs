//! Watches the tenure of the pools, and takes it when nobody holds it.

use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::lease_clock;
use almondpass_peer::codec;
use almondpass_ports::boot_clock::BootClock;
use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use tokio::time;
use xxhash_rust::xxh3;

use crate::document;
use crate::lead;
use crate::settings;
use crate::state;
use crate::store_call;
use crate::tenure_watch;
use crate::writer;

/// For an order that was under way when the earlier holder stopped giving orders.
const ORDER_SLACK: Duration = Duration::from_millis(300);

/// Looks of different instances are spread over this share of the time between two looks.
const SPREAD: f64 = 0.3;

/// Watches and schedules until the instance leaves.
pub(crate) async fn run<S: state::PoolSite>(state: Arc<state::PoolState<S>>) {
    let mut watch = tenure_watch::TenureWatch::default();
    let look = spread(&state.settings.instance, state.settings.tenure.look);
    while !state.leaving.is_cancelled() {
        read(&state, &mut watch).await;
        state.set_holder(watch.row().filter(|it| !it.released).map(|it| state::HolderView {
            instance: it.holder.clone(),
            address: it.address.clone(),
        }));
        if let Some(taken) = take(&state, &watch).await {
            lead::run(Arc::clone(&state), taken).await;
            watch = tenure_watch::TenureWatch::default();
            continue;
        }
        // The next look comes at the moment at which the tenure may be taken, if that is sooner.
        let due = watch.seen().and_then(|it| wait_for(&state, it));
        tokio::select! {
            () = time::sleep(due.map_or(look, |it| it.min(look))) => {}
            () = first_document(&state.document), if state.document.version() == 0 => {}
            () = state.leaving.cancelled() => {}
        }
    }
}

/// Ends once there is a configuration. After a power loss of all instances the former holder's
/// machine may take the tenure at once, and reads its row before the configuration.
async fn first_document(document: &document::DocumentSlot) {
    let mut versions = document.subscribe();
    // The slot lives as long as the instance.
    let _ = versions.wait_for(|it| *it > 0).await;
}

async fn read<S: state::PoolSite>(
    state: &state::PoolState<S>,
    watch: &mut tenure_watch::TenureWatch,
) {
    let read = store_call::get(state, keys::pool_tenure()).await;
    let now = state.site.clock().now();
    match read {
        Ok(rows) => {
            let row = rows.rows.into_iter().next();
            let version = row.as_ref().map_or(0, |it| it.version);
            let tenure = row.and_then(|it| it.value).and_then(|it| codec::decode(&it).ok());
            watch.saw(version, tenure, now);
        }
        Err(error) => {
            tracing::debug!(%error, "the tenure can't be read");
            watch.missed(now);
        }
    }
}

async fn take<S: state::PoolSite>(
    state: &state::PoolState<S>,
    watch: &tenure_watch::TenureWatch,
) -> Option<lead::TakenTenure> {
    let settings = &state.settings;
    // Without a configuration nothing could be decided.
    state.document.current()?;
    let now = state.site.clock().now();
    let seen = watch.seen()?;
    if wait_for(state, seen).is_some() {
        return None;
    }
    let losses = seen.row.as_ref().and_then(|it| it.losses.clone());
    let notes_silence = seen.row.as_ref().is_some_and(|it| it.notes_silence);
    let row = model::PoolTenure {
        holder: settings.instance.clone(),
        address: settings.peer_address.clone(),
        epoch: seen.row.as_ref().map_or(0, |it| it.epoch) + 1,
        renewal: 0,
        released: false,
        losses: losses.clone(),
        notes_silence,
    };
    let transaction = model::TableTransaction {
        conditions: vec![model::TableCondition { key: keys::pool_tenure(), version: seen.version }],
        writes: vec![writer::write_of(keys::pool_tenure(), &row)],
    };
    let sent_at = state.site.clock().now();
    let outcome = store_call::transact(state, transaction).await;
    let Ok(model::TableOutcome::Committed { versions }) = outcome else { return None };
    let version = versions.first().copied()?;
    let settles_at = settles_at(seen, settings, now);
    let epoch = row.epoch;
    Some(lead::TakenTenure { epoch, version, sent_at, settles_at, losses, notes_silence })
}

/// How much longer this instance leaves the tenure to its holder and to others; nothing once it may
/// take it.
fn wait_for<S: state::PoolSite>(
    state: &state::PoolState<S>,
    seen: &tenure_watch::SeenRow,
) -> Option<Duration> {
    let settings = &state.settings;
    let free_at = seen.free_at(&settings.peer_address, settings.tenure.term);
    let may_take_at = free_at + deference(state, seen);
    let wait = may_take_at.saturating_sub(state.site.clock().now());
    (!wait.is_zero()).then_some(wait)
}

/// How long a free tenure is left to stronger instances. The holder's work grows with the number of
/// workers: at 350 it took nine tenths of the 0.12 cores of the weakest instances, and renewals and
/// looks came late.
fn deference<S: state::PoolSite>(
    state: &state::PoolState<S>,
    seen: &tenure_watch::SeenRow,
) -> Duration {
    let times = state.settings.tenure;
    if seen.is_of(&state.settings.peer_address) {
        return Duration::ZERO;
    }
    // Who is strong shows only once all have written their rows.
    let first = if seen.row.is_none() { times.first_start } else { Duration::ZERO };
    let to_stronger = if state.knows_stronger() { times.deference } else { Duration::ZERO };
    first + to_stronger
}

/// When whatever the earlier holder ordered has surely ended, on workers that don't answer.
fn settles_at(
    seen: &tenure_watch::SeenRow,
    settings: &settings::PoolSettings,
    now: Duration,
) -> Duration {
    let Some(row) = &seen.row else { return now };
    let is_over = row.released || seen.is_of(&settings.peer_address);
    let times = settings.tenure;
    let goes_on = if is_over { Duration::ZERO } else { times.term + times.detached };
    seen.first_seen + goes_on + ORDER_SLACK + lease_clock::at_most(settings.terms.lease)
}

/// Time between two looks of this instance.
fn spread(instance: &ids::InstanceId, look: Duration) -> Duration {
    let mut hasher = xxh3::Xxh3Default::new();
    hasher.write(instance.as_bytes());
    let share = (hasher.finish() % 1_000) as f64 / 1_000.0;
    look.mul_f64(1.0 + SPREAD * share)
}
