//! Loads what a new holder needs from the store before it makes its first decision.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::{core, intake, progress, task_key, worker};
use almondpass_peer::error;
use almondpass_ports::boot_clock::BootClock;
use almondpass_ports::keys;
use almondpass_ports::row_feed;
use almondpass_schema::{ids, model};
use tokio::time;

use crate::document::PlatformReader;
use crate::document_follower;
use crate::leader;
use crate::state;
use crate::store_call;
use crate::worker_entry;

/// Wait before the rows are read again after a failure.
const READ_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Attempts to read before the tenure is released: an instance that can write but not read would otherwise
/// keep the tenure from the others.
const MAX_READ_ATTEMPTS: u32 = 3;

/// State of the core at the beginning of a tenure, and the versions after which its feeds continue.
#[derive(Debug)]
pub(crate) struct LoadedTenure {
    pub(crate) core: core::PoolCore,
    pub(crate) graphs_version: ids::RowVersion,
    pub(crate) workers_version: ids::RowVersion,
}

/// Reads the tables, with a bounded number of attempts. Returns `None` when all failed or the instance is
/// leaving.
pub(crate) async fn load<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    acquired: &leader::AcquiredTenure,
) -> Option<LoadedTenure> {
    for _ in 0..MAX_READ_ATTEMPTS {
        if state.shutdown.is_cancelled() {
            return None;
        }
        match read_tables(state, acquired).await {
            Ok(loaded) => return Some(loaded),
            Err(error) => tracing::warn!(%error, "rows of the tenure can't be read"),
        }
        time::sleep(READ_RETRY_DELAY).await;
    }
    None
}

async fn read_tables<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    acquired: &leader::AcquiredTenure,
) -> Result<LoadedTenure, error::CallError> {
    let requested_at = state.adapters.clock().now();
    let (operators, graphs, progress, workers, roster) = tokio::try_join!(
        store_call::snapshot(state, S::Reader::DOCUMENT_TABLE),
        store_call::snapshot(state, keys::GRAPHS),
        store_call::snapshot(state, keys::PROGRESS),
        store_call::snapshot(state, S::Reader::WORKER_TABLE),
        store_call::snapshot(state, keys::ROSTER),
    )?;
    // Applied before the first start, because the feed that this instance follows may have failed a moment
    // ago.
    document_follower::apply_table(state, &operators);
    let now = state.adapters.clock().now();
    let catalog = state.document.current().map(|it| Arc::clone(&it.catalog));
    let mut core = core::PoolCore::new(core::PoolStart {
        epoch: acquired.epoch,
        timing: state.settings.timing,
        scheduling: state.settings.scheduling.clone(),
        catalog: catalog.unwrap_or_default(),
        settles_at: acquired.settles_at,
    });
    core.set_evacuated(state.evacuations.data_centers());
    let (graphs_version, workers_version) = (graphs.version, workers.version);
    core.note_list_read(requested_at);
    for row in workers.rows {
        apply_worker_row(state, &mut core, &row, now);
        if let Some(at) = acquired.versions.written_before(row.version) {
            core.note_entry_written_before(&row.key, at);
        }
    }
    core.restore_loss_history(acquired.losses.as_ref(), now);
    for row in &roster.rows {
        inherit_roster_page(&mut core, row);
    }
    if let Some(row) = roster.rows.iter().find(|it| keys::is_speeds(&it.key))
        && let Some(speeds) = decode::<model::SpeedRow>(row)
    {
        core.inherit_speeds(speeds, now);
    }
    core.inherit_silence_notes(acquired.notes_silence);
    let mut progress = progress_by_graph(progress);
    let accepted = graphs.rows.iter().filter_map(|it| task_key::parse_graph(&it.key));
    let accepted = accepted.collect::<BTreeSet<_>>();
    for row in graphs.rows {
        let result = decode_graph_row(&row, intake::JobOrigin::Load, acquired.version);
        let Some(mut admitted) = result else { continue };
        admitted.progress = progress.remove(&admitted.graph).unwrap_or_default();
        admitted.inherited |= !admitted.progress.is_empty();
        core.admit(admitted, now);
    }
    // When a job is forgotten, its acceptance row is deleted first, so progress rows without one are
    // leftovers.
    for (graph, saved) in progress.into_iter().filter(|(it, _)| !accepted.contains(it)) {
        saved.numbers().for_each(|chunk| core.forget_chunk(graph, chunk));
    }
    Ok(LoadedTenure { core, graphs_version, workers_version })
}

/// Applies a row of the worker table to the core. Returns whether it changed what is known of the worker.
pub(crate) fn apply_worker_row<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    core: &mut core::PoolCore,
    row: &row_feed::FeedRow,
    now: Duration,
) -> bool {
    let Some(value) = &row.value else {
        state.faulty_entries().forget(&row.key);
        core.unlist_worker(&row.key, now);
        return true;
    };
    let result = state.adapters.reader().worker(value).and_then(|it| check_upstream(state, it));
    state.faulty_entries().observe(&row.key, &result);
    match result {
        Ok(listing) => core.update_worker(row.key.clone(), listing, now),
        // Tasks on the worker still count as running: the worker may be healthy and only its entry
        // overwritten.
        Err(_) => {
            core.unlist_worker(&row.key, now);
            true
        }
    }
}

/// Rejects a worker whose upstream the configuration does not name. Workers rewrite their entries every few
/// seconds, so a worker is soon found once its upstream is added.
fn check_upstream<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    listing: worker::WorkerEntry,
) -> Result<worker::WorkerEntry, worker_entry::EntryFault> {
    let document = state.document.current();
    if document.is_none_or(|it| it.upstreams.contains(&listing.upstream)) {
        return Ok(listing);
    }
    Err(worker_entry::EntryFault::Upstream(listing.upstream))
}

/// Decodes a row of an accepted job graph. The job counts as inherited if its row was written before version
/// `taken`.
pub(crate) fn decode_graph_row(
    row: &row_feed::FeedRow,
    origin: intake::JobOrigin,
    acquired: ids::RowVersion,
) -> Option<intake::AdmittedJob> {
    let graph = task_key::parse_graph(&row.key)?;
    let content = decode::<model::GraphRow>(row)?;
    let inherited = row.version < acquired;
    Some(intake::AdmittedJob {
        graph,
        row: content,
        version: row.version,
        origin,
        progress: progress::SavedChunks::default(),
        inherited,
    })
}

fn progress_by_graph(rows: row_feed::FeedRows) -> BTreeMap<ids::GraphId, progress::SavedChunks> {
    let mut by_graph = BTreeMap::<ids::GraphId, progress::SavedChunks>::new();
    for row in &rows.rows {
        let Some((name, chunk)) = keys::name_and_number(&row.key) else { continue };
        let Some(graph) = task_key::parse_graph(name) else { continue };
        let chunks = by_graph.entry(graph).or_default();
        match decode::<model::ProgressRow>(row) {
            Some(saved) => chunks.insert(chunk, saved),
            // Read as absent, the row would let done tasks run again.
            None if row.value.is_some() => chunks.insert_unreadable(chunk),
            None => {}
        }
    }
    by_graph
}

fn inherit_roster_page(core: &mut core::PoolCore, row: &row_feed::FeedRow) {
    let Some(page) = keys::roster_page(&row.key) else { return };
    let Some(roster) = decode::<model::RosterRow>(row) else {
        core.note_unreadable_roster();
        return;
    };
    for entry in roster.workers {
        core.inherit_worker(entry, page);
    }
}

fn decode<M: serde::de::DeserializeOwned>(row: &row_feed::FeedRow) -> Option<M> {
    match almondpass_peer::codec::decode(row.value.as_ref()?) {
        Ok(content) => Some(content),
        Err(error) => {
            tracing::error!(key = row.key, version = row.version, %error, "row can't be decoded");
            None
        }
    }
}
