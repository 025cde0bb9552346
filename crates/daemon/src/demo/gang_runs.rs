//! The runs of one attempt of a gang, put together from what the workers recorded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondpass_schema::{ids, model};
use almondpass_standin::run;
use tokio::time::Instant;

/// One start of a gang.
#[derive(Clone, Debug)]
pub struct GangAttempt {
    /// Its job.
    pub job: ids::JobId,
    /// Its members' runs.
    pub members: Vec<run::TaskRun>,
}

/// Groups the runs of jobs by job and attempt. Lease names are `job/<job>/<attempt>/<rank>`.
pub fn attempts(runs: &[run::TaskRun]) -> Vec<GangAttempt> {
    let mut groups = BTreeMap::<(ids::JobId, &str), Vec<run::TaskRun>>::new();
    for run in runs {
        let attempt = run.lease.rsplit_once('/').map_or(run.lease.as_str(), |(attempt, _)| attempt);
        groups.entry((run.job, attempt)).or_default().push(run.clone());
    }
    groups.into_iter().map(|((job, _), members)| GangAttempt { job, members }).collect()
}

impl GangAttempt {
    /// When its first member started.
    pub fn started_at(&self) -> Option<Instant> {
        self.members.iter().map(|it| it.started).min()
    }

    /// When all `tasks` members ran, if ever.
    pub fn complete_at(&self, tasks: u32) -> Option<Instant> {
        let ranks = self.members.iter().map(|it| it.rank).collect::<BTreeSet<_>>();
        if ranks.len() != tasks as usize {
            return None;
        }
        self.members.iter().map(|it| it.started).max()
    }

    /// For how long some members ran without the others: until the last one started, and after
    /// the first one was stopped. Members that end well by themselves leave the others whole.
    pub fn partial_for(&self, tasks: u32, now: Instant) -> Duration {
        let Some(started) = self.started_at() else { return Duration::ZERO };
        let last_end = self.members.iter().map(|it| ended_at(it, now)).max().unwrap_or(started);
        let Some(complete) = self.complete_at(tasks) else {
            return last_end.saturating_duration_since(started);
        };
        let broken = self.members.iter().filter(|it| !ended_well(it)).filter_map(end_of).min();
        let starting = complete.saturating_duration_since(started);
        let stopping = broken.map_or(Duration::ZERO, |it| last_end.saturating_duration_since(it));
        starting.max(stopping)
    }
}

fn end_of(run: &run::TaskRun) -> Option<Instant> {
    run.ended.as_ref().map(|it| it.at)
}

fn ended_at(run: &run::TaskRun, now: Instant) -> Instant {
    end_of(run).unwrap_or(now)
}

fn ended_well(run: &run::TaskRun) -> bool {
    let cause = run.ended.as_ref().map(|it| &it.cause);
    matches!(cause, Some(run::EndCause::Exited(model::TaskExit::Succeeded)))
}
