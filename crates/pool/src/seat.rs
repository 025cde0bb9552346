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

use crate::lead;
use crate::state;
use crate::store_call;
use crate::tenure_watch;
use crate::writer;

/// Workers' clocks run at least this fast; a lease that an earlier holder granted lasts so much
/// longer at most.
const SLOWEST_RATE: f64 = 0.98;

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
        tokio::select! {
            () = time::sleep(look) => {}
            () = state.leaving.cancelled() => {}
        }
    }
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
    let seen = watch.free(&settings.peer_address, settings.tenure.term, now)?;
    if defers(state, seen, now) {
        return None;
    }
    let row = model::PoolTenure {
        holder: settings.instance.clone(),
        address: settings.peer_address.clone(),
        epoch: seen.row.as_ref().map_or(0, |it| it.epoch) + 1,
        renewal: 0,
        released: false,
    };
    let transaction = model::TableTransaction {
        conditions: vec![model::TableCondition { key: keys::pool_tenure(), version: seen.version }],
        writes: vec![writer::write_of(keys::pool_tenure(), &row)],
    };
    let sent_at = state.site.clock().now();
    let outcome = store_call::transact(state, transaction).await;
    let Ok(model::TableOutcome::Committed { versions }) = outcome else { return None };
    let version = versions.first().copied()?;
    let settles_at = settles_at(seen, settings.tenure, settings.terms.lease, now);
    Some(lead::TakenTenure { epoch: row.epoch, version, sent_at, settles_at })
}

/// Whether a stronger instance should have the first try. The holder's work grows with the number of
/// workers: at 350 it took nine tenths of the 0.12 cores of the weakest instances, and renewals and
/// looks came late.
fn defers<S: state::PoolSite>(
    state: &state::PoolState<S>,
    seen: &tenure_watch::SeenRow,
    now: Duration,
) -> bool {
    let times = state.settings.tenure;
    let is_own = seen.row.as_ref().is_some_and(|it| it.address == state.settings.peer_address);
    if is_own {
        return false;
    }
    // At the very first start the others' rows are not there yet.
    let is_first = seen.row.is_none() && !state.knows_members();
    let free_since = match &seen.row {
        Some(row) if !row.released => seen.since + times.term,
        _ => seen.first_seen,
    };
    (is_first || state.knows_stronger()) && now < free_since + times.deference
}

/// When whatever the earlier holder ordered has surely ended, on workers that don't answer.
fn settles_at(
    seen: &tenure_watch::SeenRow,
    times: crate::settings::TenureTimes,
    lease: Duration,
    now: Duration,
) -> Duration {
    let Some(row) = &seen.row else { return now };
    let last_order = match row.released {
        true => seen.first_seen,
        false => seen.first_seen + times.term + times.detached,
    };
    last_order + ORDER_SLACK + lease.div_f64(SLOWEST_RATE)
}

/// Time between two looks of this instance.
fn spread(instance: &ids::InstanceId, look: Duration) -> Duration {
    let mut hasher = xxh3::Xxh3Default::new();
    hasher.write(instance.as_bytes());
    let share = (hasher.finish() % 1_000) as f64 / 1_000.0;
    look.mul_f64(1.0 + SPREAD * share)
}
