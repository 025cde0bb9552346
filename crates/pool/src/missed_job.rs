//! Jobs that are stored although the holder of the tenure does not know them, and whose rows its feed has
//! passed. None should be; one that is would wait for the next takeover.

use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::{intake, progress};
use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use tokio::time;

use crate::graph_follower;
use crate::job_query;
use crate::leader;
use crate::state;

/// Wait before a job that could not be read or taken in is looked for again; doubled for each further time.
const FIRST_AGAIN: Duration = Duration::from_millis(250);

/// Longest wait between two times.
const LONGEST_AGAIN: Duration = Duration::from_secs(8);

/// Looks for a job in the store and takes it in, without waiting for it.
pub(crate) fn recover<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    leader: &Arc<leader::LeaderState>,
    graph: ids::GraphId,
) {
    if !leader.missed_jobs().insert(graph) {
        return;
    }
    let (state, mark) = (Arc::clone(state), MissedMark { leader: Arc::clone(leader), graph });
    tokio::spawn(async move {
        look_for(&state, &mark.leader, graph).await;
        drop(mark);
    });
}

/// Looks for a job until it is known, or nowhere to be found, or the tenure is over.
async fn look_for<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    graph: ids::GraphId,
) {
    let mut again = FIRST_AGAIN;
    loop {
        let is_over = match read(state, leader, graph).await {
            Ok(Some(missed)) => admit(state, leader, missed),
            Ok(None) => true,
            Err(job_query::ReadFailure) => false,
        };
        if is_over {
            return;
        }
        tokio::select! {
            () = leader.ended.cancelled() => return,
            () = time::sleep(again) => {}
        }
        again = (again * 2).min(LONGEST_AGAIN);
    }
}

/// A job that is being looked for. It ends with its task, by a panic too: else nobody would look for it again.
struct MissedMark {
    leader: Arc<leader::LeaderState>,
    graph: ids::GraphId,
}

impl Drop for MissedMark {
    fn drop(&mut self) {
        self.leader.missed_jobs().remove(&self.graph);
    }
}

/// Takes a job in. Tells whether it is known from then on; a holder that isn't firm takes none.
fn admit<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    missed: intake::AdmittedJob,
) -> bool {
    let graph = missed.graph;
    if leader.core().has_job(graph, missed.row.cancelled) {
        return true;
    }
    if !graph_follower::admit(state, leader, std::iter::once(missed)) {
        return false;
    }
    let followed_until = leader.applied_graph_version();
    tracing::warn!(job = format_args!("{graph:016x}"), followed_until, "missed job is taken in");
    metrics::counter!("almondpass_pool_missed_jobs_total").increment(1);
    true
}

/// Reads a job as a takeover would; nothing where it was forgotten. Its acceptance is the first to go when a
/// job is forgotten, and one without progress would run once more: so it has to be there still at the end.
async fn read<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    graph: ids::GraphId,
) -> Result<Option<intake::AdmittedJob>, job_query::ReadFailure> {
    let accepted = job_query::read_row::<S, model::GraphRow>(state, keys::graph(graph)).await?;
    let Some((row, _)) = accepted else { return Ok(None) };
    let mut saved = progress::SavedChunks::default();
    for chunk in 0..progress::n_chunks_of_row(&row) {
        let key = keys::progress(graph, chunk);
        if let Some((content, _)) = job_query::read_row::<S, model::ProgressRow>(state, key).await?
        {
            saved.insert(chunk, content);
        }
    }
    let kept = job_query::read_row::<S, model::GraphRow>(state, keys::graph(graph)).await?;
    let Some((row, version)) = kept else { return Ok(None) };
    let inherited = version < leader.acquired_version || !saved.is_empty();
    let origin = intake::JobOrigin::Lookup;
    Ok(Some(intake::AdmittedJob { graph, row, version, origin, progress: saved, inherited }))
}
