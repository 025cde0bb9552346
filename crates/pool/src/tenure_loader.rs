//! What a new holder reads before it decides anything.

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
const READ_AGAIN: Duration = Duration::from_millis(150);

/// Tries before the tenure is given up: an instance that can write and not read would keep it from
/// the others.
const READ_TRIES: u32 = 3;

/// The state of a tenure at its beginning, and where to follow on.
#[derive(Debug)]
pub(crate) struct LoadedTenure {
    pub(crate) core: core::PoolCore,
    pub(crate) graphs_version: ids::RowVersion,
    pub(crate) workers_version: ids::RowVersion,
}

/// Reads until it succeeds, a few times at most.
pub(crate) async fn load<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    taken: &leader::AcquiredTenure,
) -> Option<LoadedTenure> {
    for _ in 0..READ_TRIES {
        if state.shutdown.is_cancelled() {
            return None;
        }
        match read(state, taken).await {
            Ok(loaded) => return Some(loaded),
            Err(error) => tracing::warn!(%error, "rows of the tenure can't be read"),
        }
        time::sleep(READ_AGAIN).await;
    }
    None
}

async fn read<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    taken: &leader::AcquiredTenure,
) -> Result<LoadedTenure, error::CallError> {
    let asked_at = state.adapters.clock().now();
    let (operators, graphs, progress, workers, roster) = tokio::try_join!(
        store_call::snapshot(state, S::Reader::DOCUMENT_TABLE),
        store_call::snapshot(state, keys::GRAPHS),
        store_call::snapshot(state, keys::PROGRESS),
        store_call::snapshot(state, S::Reader::WORKER_TABLE),
        store_call::snapshot(state, keys::ROSTER),
    )?;
    // Before the first start: what this instance follows may have gone silent a moment ago.
    document_follower::apply_table(state, &operators);
    let now = state.adapters.clock().now();
    let catalog = state.document.current().map(|it| Arc::clone(&it.catalog));
    let mut core = core::PoolCore::new(core::PoolStart {
        timing: state.settings.timing,
        catalog: catalog.unwrap_or_default(),
        settles_at: taken.settles_at,
    });
    core.set_evacuated(state.evacuations.data_centers());
    let (graphs_version, workers_version) = (graphs.version, workers.version);
    core.note_list_read(asked_at);
    for row in workers.rows {
        apply_worker_row(state, &mut core, &row, now);
    }
    core.restore_loss_history(taken.losses.as_ref(), now);
    for row in &roster.rows {
        inherit_page(&mut core, row);
    }
    core.inherit_silence_notes(taken.notes_silence);
    let mut progress = progress_by_graph(progress);
    let accepted = graphs.rows.iter().filter_map(|it| task_key::parse_graph(&it.key));
    let accepted = accepted.collect::<BTreeSet<_>>();
    for row in graphs.rows {
        let read = decode_graph_row(&row, intake::JobOrigin::Load, taken.version);
        let Some(mut admitted) = read else { continue };
        admitted.progress = progress.remove(&admitted.graph).unwrap_or_default();
        admitted.inherited |= !admitted.progress.is_empty();
        core.admit(admitted, now);
    }
    // The row of the acceptance is the first to go when a job is forgotten.
    for (graph, saved) in progress.into_iter().filter(|(it, _)| !accepted.contains(it)) {
        saved.numbers().for_each(|chunk| core.forget_chunk(graph, chunk));
    }
    Ok(LoadedTenure { core, graphs_version, workers_version })
}

/// Takes a row of the workers' table into the core. Tells whether that is news of its worker.
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
    let read = state.adapters.reader().worker(value).and_then(|it| check_upstream(state, it));
    state.faulty_entries().observe(&row.key, &read);
    match read {
        Ok(listing) => core.update_worker(row.key.clone(), listing, now),
        // What runs there counts on: the worker may be sound, and only its entry overwritten.
        Err(_) => {
            core.unlist_worker(&row.key, now);
            true
        }
    }
}

/// A worker of an upstream that the configuration does not name is none to use. A worker writes its
/// entry anew every few seconds, so that one whose upstream is added is found soon.
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

/// Reads a row of an accepted job graph. It is inherited if it was written before version `taken`.
pub(crate) fn decode_graph_row(
    row: &row_feed::FeedRow,
    origin: intake::JobOrigin,
    taken: ids::RowVersion,
) -> Option<intake::AdmittedJob> {
    let graph = task_key::parse_graph(&row.key)?;
    let content = decode::<model::GraphRow>(row)?;
    let inherited = row.version < taken;
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
        let Some(saved) = decode::<model::ProgressRow>(row) else { continue };
        by_graph.entry(graph).or_default().insert(chunk, saved);
    }
    by_graph
}

fn inherit_page(core: &mut core::PoolCore, row: &row_feed::FeedRow) {
    let Some(page) = keys::roster_page(&row.key) else { return };
    let Some(roster) = decode::<model::RosterRow>(row) else { return };
    for entry in roster.workers {
        core.inherit_worker(entry, page);
    }
}

fn decode<M: serde::de::DeserializeOwned>(row: &row_feed::FeedRow) -> Option<M> {
    match almondpass_peer::codec::decode(row.value.as_ref()?) {
        Ok(content) => Some(content),
        Err(error) => {
            tracing::error!(key = row.key, version = row.version, %error, "a row can't be read");
            None
        }
    }
}
