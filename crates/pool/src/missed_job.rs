//! Recovers missed jobs: jobs that are stored, that the tenure holder does not know, and whose rows its feed
//! has passed. There should be none; without recovery such a job would wait until the next takeover.

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

/// Wait before the first repetition for a job that could not be read or admitted; doubled for each further
/// one.
const FIRST_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait between two attempts.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(8);

/// Starts to read a job from the store and admit it, unless that is in progress already. Returns at once.
pub(crate) fn recover<S: state::PoolAdapters>(
    state: &Arc<state::PoolState<S>>,
    leader: &Arc<leader::LeaderState>,
    graph: ids::GraphId,
) {
    if !leader.missed_jobs().insert(graph) {
        return;
    }
    let (state, mark) = (Arc::clone(state), RecoveryMark { leader: Arc::clone(leader), graph });
    tokio::spawn(async move {
        recover_until_known(&state, &mark.leader, graph).await;
        drop(mark);
    });
}

/// Reads a job until the core knows it, the store has no row of it, or the tenure is over.
async fn recover_until_known<S: state::PoolAdapters>(
    state: &state::PoolState<S>,
    leader: &leader::LeaderState,
    graph: ids::GraphId,
) {
    let mut retry_interval = FIRST_RETRY_INTERVAL;
    loop {
        let is_settled = match read_saved_job(state, leader, graph).await {
            Ok(Some(missed)) => admit(state, leader, missed),
            Ok(None) => true,
            Err(job_query::ReadFailure) => false,
        };
        if is_settled {
            return;
        }
        tokio::select! {
            () = leader.ended.cancelled() => return,
            () = time::sleep(retry_interval) => {}
        }
        retry_interval = (retry_interval * 2).min(MAX_RETRY_INTERVAL);
    }
}

/// Marks a job as being recovered. The mark is removed with its task, also by a panic: otherwise the job
/// would never be recovered later.
struct RecoveryMark {
    leader: Arc<leader::LeaderState>,
    graph: ids::GraphId,
}

impl Drop for RecoveryMark {
    fn drop(&mut self) {
        self.leader.missed_jobs().remove(&self.graph);
    }
}

/// Admits a job. Returns whether the core knows it afterwards; a holder whose tenure isn't firm admits none.
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

/// Reads a job's rows as a takeover does; `None` where the job was forgotten. When a job is forgotten, the
/// row of its acceptance is removed first, and a job admitted without its progress would run once more. So
/// the acceptance is read again at the end, and has to exist still.
async fn read_saved_job<S: state::PoolAdapters>(
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
