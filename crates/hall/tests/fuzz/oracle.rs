//! Checks the invariants of a fuzz case: replies to callers and entries must match the tasks that workers
//! ran.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use almondpass_schema::{ids, model};
use almondpass_standin::run;
use tokio::time::Instant;

/// A grant as its entry received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedGrant {
    pub(crate) slot: model::SlotGrant,
    pub(crate) key: Option<ids::IdempotencyKey>,
    pub(crate) received_at: Instant,
    pub(crate) returned: Option<model::RequestOutcome>,
}

/// Number of submissions of one job, and of those that were refused.
#[derive(Debug, Default)]
pub(crate) struct SubmissionCount {
    pub(crate) sent: u32,
    pub(crate) refused: u32,
}

/// Replies to callers and entries, and the violations found.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    pub(crate) grants: Vec<ReceivedGrant>,
    /// Jobs for which a caller received a record, and whether they may run more than once.
    pub(crate) accepted: BTreeMap<ids::JobId, bool>,
    /// Counts of submissions and refusals by job. A job counts as refused only if all its submissions were
    /// refused, because a submission without an answer may still take effect later.
    pub(crate) submissions: BTreeMap<ids::JobId, SubmissionCount>,
    /// Violations of the invariants.
    pub(crate) violations: Vec<String>,
}

impl Oracle {
    /// Records a grant that an entry received, unless it is already known. Checks the other grants of its
    /// key and lease.
    pub(crate) fn record_grant(
        &mut self,
        slot: model::SlotGrant,
        key: Option<ids::IdempotencyKey>,
    ) {
        if self.grants.iter().any(|it| it.slot.grant == slot.grant) {
            return;
        }
        let now = Instant::now();
        // A request with a key runs at most once: a new grant requires that all earlier grants of the key
        // were returned as not run.
        let may_have_run = |it: &&ReceivedGrant| it.returned != Some(model::RequestOutcome::NotRun);
        let mut earlier = self.grants.iter().filter(|it| key.is_some() && it.key == key);
        if let Some(earlier_grant) = earlier.find(may_have_run) {
            let (earlier_grant, later_grant) = (earlier_grant.slot.grant, slot.grant);
            self.violations.push(format!("key granted twice: {earlier_grant} and {later_grant}"));
        }
        // A serving lease has at most one grant that is neither returned nor expired.
        let unreturned = self.grants.iter().filter(|it| it.slot.lease == slot.lease);
        let mut unreturned =
            unreturned.filter(|it| it.returned.is_none() && now < it.received_at + it.slot.term.0);
        if unreturned.next().is_some() {
            self.violations.push(format!("lease {} granted twice at the same time", slot.lease));
        }
        self.grants.push(ReceivedGrant { slot, key, received_at: now, returned: None });
    }

    /// Checks the recorded outcome that a caller received for a key: an entry must have reported it, or it
    /// is unknown.
    pub(crate) fn check_recorded_outcome(
        &mut self,
        key: ids::IdempotencyKey,
        outcome: model::RequestOutcome,
    ) {
        let grants = self.grants.iter().filter(|it| it.key == Some(key));
        let mut reported_outcomes = grants.filter_map(|it| it.returned);
        let is_known =
            outcome == model::RequestOutcome::Unknown || reported_outcomes.any(|it| it == outcome);
        if !is_known || outcome == model::RequestOutcome::NotRun {
            self.violations
                .push(format!("key {key} recorded as {outcome}, which no entry reported"));
        }
    }

    /// Records the reply to the submission of a job.
    pub(crate) fn record_job_reply(
        &mut self,
        job: ids::JobId,
        repeatable: bool,
        reply: &model::JobReply,
    ) {
        match reply {
            model::JobReply::Record { .. } => {
                self.accepted.insert(job, repeatable);
            }
            model::JobReply::Refused { .. } => {
                self.submissions.entry(job).or_default().refused += 1;
            }
            _ => {}
        }
    }

    /// Checks the runs on the workers against the replies and the job records.
    pub(crate) fn check_runs(
        &mut self,
        runs: &[run::TaskRun],
        records: &BTreeMap<ids::JobId, model::JobRecord>,
        single_run_jobs: &BTreeSet<ids::JobId>,
    ) {
        let mut by_job = BTreeMap::<ids::JobId, Vec<&run::TaskRun>>::new();
        for run in runs {
            by_job.entry(run.job).or_default().push(run);
        }
        for (job, runs) in &by_job {
            let submissions = self.submissions.get(job);
            if submissions.is_some_and(|it| it.sent == it.refused) {
                self.violations.push(format!("job {job} was refused but ran"));
            }
            let ranks = runs.iter().map(|it| it.rank).collect::<BTreeSet<_>>();
            if single_run_jobs.contains(job) && ranks.len() < runs.len() {
                self.violations.push(format!("job {job} may run only once but a task ran again"));
            }
            let Some(record) = records.get(job) else { continue };
            if record.state == model::JobState::NotRun {
                self.violations.push(format!("job {job} is reported as not run but ran"));
            }
            self.check_partial_runs(record, runs);
        }
        for (job, record) in records {
            let is_complete =
                |runs: &Vec<&run::TaskRun>| has_complete_start(runs, record.submission.tasks);
            let done = record.state == model::JobState::Done;
            if done && !by_job.get(job).is_some_and(is_complete) {
                self.violations.push(format!(
                    "job {job} is reported as done but no start of it succeeded with all tasks"
                ));
            }
        }
    }

    /// Checks for each start of a gang that no part of the gang runs without the rest for longer than
    /// `MAX_PARTIAL_RUN`.
    fn check_partial_runs(&mut self, record: &model::JobRecord, runs: &[&run::TaskRun]) {
        let mut starts = BTreeMap::<&str, Vec<&run::TaskRun>>::new();
        for run in runs {
            starts.entry(start_name(&run.lease)).or_default().push(run);
        }
        for (start, runs) in starts {
            let ends = runs.iter().filter_map(|it| it.ended.as_ref().map(|it| it.at));
            let mut boundaries = runs.iter().map(|it| it.started).chain(ends).collect::<Vec<_>>();
            boundaries.push(Instant::now());
            boundaries.sort();
            let mut partial_span = Duration::ZERO;
            for span in boundaries.windows(2) {
                let n_running = runs.iter().filter(|it| it.overlaps(span[0], span[1])).count();
                let is_complete = n_running == 0 || n_running == record.submission.tasks as usize;
                partial_span =
                    if is_complete { Duration::ZERO } else { partial_span + (span[1] - span[0]) };
                if MAX_PARTIAL_RUN < partial_span {
                    let job = record.job;
                    self.violations
                        .push(format!("part of {job} ran for {partial_span:?} in {start}"));
                    break;
                }
            }
        }
    }
}

/// Whether all ranks of the gang succeeded in the same start.
fn has_complete_start(runs: &[&run::TaskRun], n_tasks: u32) -> bool {
    let mut starts = BTreeMap::<&str, BTreeSet<u32>>::new();
    for run in runs {
        let end = run.ended.as_ref().map(|it| &it.cause);
        if end == Some(&run::EndCause::Exited(model::TaskExit::Succeeded)) {
            starts.entry(start_name(&run.lease)).or_default().insert(run.rank);
        }
    }
    starts.values().any(|it| it.len() == n_tasks as usize)
}

/// The prefix of a lease name that all members of one gang start share.
fn start_name(lease: &str) -> &str {
    lease.rsplit_once('/').map_or(lease, |(start, _)| start)
}

/// A task whose lease expires stops after a term. By then the scheduler or its successor has stopped the
/// other tasks of the gang, or their leases have expired too.
const MAX_PARTIAL_RUN: Duration = Duration::from_secs(80);
