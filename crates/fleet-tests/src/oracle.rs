//! What must always hold, checked against what callers were told and what workers really ran.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use almondpass_schema::{ids, model};
use almondpass_standin::{execution, run};
use tokio::time::Instant;
use uuid::Uuid;

use crate::caller;
use crate::document;
use crate::ledger;
use crate::world;

/// The eight conditions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// A guaranteed shape is held within the bound of its claim.
    GuaranteeIsReclaimed,
    /// A gang runs whole or not at all.
    GangIsWhole,
    /// A caller gets the whole answer to its own request.
    AnswerIsOwnAndWhole,
    /// What was told not to have run did not run.
    NotRunIsTrue,
    /// What is not repeatable runs at most once.
    RunsAtMostOnce,
    /// An upstream that leaves gets no new work after a few seconds.
    LeavingGetsNothing,
    /// A graceful shutdown cuts no request in flight.
    ShutdownCutsNothing,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    ConfigurationStays,
}

/// A condition that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub condition: Condition,
    /// What was seen.
    pub detail: String,
}

/// Checks conditions, and counts how often each was checked.
#[derive(Debug, Default)]
pub struct FleetOracle {
    /// Checks of each condition.
    pub checks: BTreeMap<Condition, u64>,
    /// What did not hold.
    pub violations: Vec<Violation>,
    /// The longest that part of a gang ran without the rest.
    pub longest_partial: Duration,
    versions: BTreeMap<ids::InstanceId, ids::ConfigVersion>,
}

/// Part of a gang may run for this long without the rest: a member is lost without a sign, its
/// lease lapses (12 s), and its scheduler may die at the same time (6 s), or the worker of another
/// member may be paused, so that its own clock stands still (15 s at most in the storms).
pub const PARTIAL_LIMIT: Duration = Duration::from_secs(12 + 6 + 2 + 15);

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.condition, self.detail)
    }
}

impl FleetOracle {
    /// Counts one check of a condition.
    pub fn check(&mut self, condition: Condition, holds: bool, detail: impl FnOnce() -> String) {
        *self.checks.entry(condition).or_default() += 1;
        if !holds {
            self.violations.push(Violation { condition, detail: detail() });
        }
    }

    /// Looks at the versions in force; called after every step.
    pub fn watch(&mut self, world: &world::FleetWorld) {
        for node in &world.nodes {
            let version = node.keeper.active().version;
            let before = self.versions.insert(node.id.clone(), version).unwrap_or_default();
            self.check(Condition::ConfigurationStays, before <= version, || {
                format!("{} went from version {before} back to {version}", node.id)
            });
        }
    }

    /// Checks the whole run, once nobody acts any more.
    pub fn close(&mut self, world: &world::FleetWorld) {
        let runs = world.enter(|it| it.site.fakes.fleet.runs());
        let executions = world.site.fakes.executions.executions();
        let ledger = world.ledger();
        self.close_requests(world, &ledger, &executions);
        self.close_jobs(&ledger, &runs, world.now());
    }

    fn close_requests(
        &mut self,
        world: &world::FleetWorld,
        ledger: &ledger::CallerLedger,
        executions: &[execution::RequestExecution],
    ) {
        for (index, sent) in ledger.requests.iter().enumerate() {
            if sent.answer.is_success() {
                let whole = sent.answer.whole();
                let own = whole.is_some_and(|it| it.body == sent.body);
                self.check(Condition::AnswerIsOwnAndWhole, own, || format!("{sent:?}"));
            }
            if sent.answer.says_not_run() {
                let next = ledger.next_sending(index);
                let ran = executions.iter().find(|it| ran_for(it, sent, next));
                self.check(Condition::NotRunIsTrue, ran.is_none(), || {
                    format!("{sent:?}, but it ran: {ran:?}")
                });
            }
            // A body that breaks off at once takes the head of its answer along.
            let misbehaved = |it: &execution::RequestExecution| {
                it.misbehaviour.is_some() && it.body_head == sent.body
            };
            let cut =
                sent.answer == caller::CallerAnswer::NoHead && !executions.iter().any(misbehaved);
            let disturbed = world.disturbed.contains(&sent.node);
            if !disturbed {
                self.check(Condition::ShutdownCutsNothing, !cut, || {
                    let at = world.since_start(sent.sent_at);
                    let ran = executions.iter().filter(|it| it.body_head == sent.body);
                    let ran = ran.map(|it| (world.since_start(it.started), it));
                    format!("sent at {at:?}: {sent:?}, ran {:?}", ran.collect::<Vec<_>>())
                });
            }
        }
        let keys = ledger.requests.iter().filter_map(|it| it.key).collect::<BTreeSet<_>>();
        for key in keys {
            let text = key.to_string();
            let ran = executions.iter().filter(|it| it.idempotency.as_ref() == Some(&text));
            let ran = ran.collect::<Vec<_>>();
            self.check(Condition::RunsAtMostOnce, ran.len() <= 1, || format!("{ran:?}"));
        }
    }

    fn close_jobs(&mut self, ledger: &ledger::CallerLedger, runs: &[run::TaskRun], now: Instant) {
        let mut by_job = BTreeMap::<Uuid, Vec<&run::TaskRun>>::new();
        for run in runs {
            by_job.entry(run.job).or_default().push(run);
        }
        for (index, sent) in ledger.submissions.iter().enumerate() {
            if sent.answer.says_not_run() {
                let next = ledger.next_submission(index);
                let ran = by_job.get(&sent.job).into_iter().flatten();
                let ran = ran.filter(|it| next.is_none_or(|next| it.started < next)).count();
                self.check(Condition::NotRunIsTrue, ran == 0, || {
                    format!("{sent:?}, but {ran} tasks ran")
                });
            }
        }
        let shapes = ledger.submissions.iter().map(|it| (it.job, it)).collect::<BTreeMap<_, _>>();
        for (job, runs) in by_job {
            let Some(sent) = shapes.get(&job) else { continue };
            if sent.class == document::PRINT {
                let ranks = runs.iter().map(|it| it.rank).collect::<BTreeSet<_>>();
                self.check(Condition::RunsAtMostOnce, ranks.len() == runs.len(), || {
                    format!("a task of job {job} ran twice: {runs:?}")
                });
            }
            for attempt in attempts(&runs) {
                let partial = partial_for(&attempt, sent.tasks, now);
                self.longest_partial = self.longest_partial.max(partial);
                self.check(Condition::GangIsWhole, partial <= PARTIAL_LIMIT, || {
                    format!(
                        "job {job} of {} tasks ran in part for {partial:?}: {attempt:?}",
                        sent.tasks
                    )
                });
            }
        }
    }

    /// Checks how an accepted job is shown against what ran.
    pub fn close_job(
        &mut self,
        sent: &ledger::SentSubmission,
        record: Option<&model::JobRecord>,
        runs: &[run::TaskRun],
    ) {
        let Some(record) = record else {
            self.check(Condition::NotRunIsTrue, false, || format!("{sent:?} was lost"));
            return;
        };
        let runs = runs.iter().filter(|it| it.job == sent.job).collect::<Vec<_>>();
        if record.state == model::JobState::NotRun {
            self.check(Condition::NotRunIsTrue, runs.is_empty(), || {
                format!("{record:?}, but it ran: {runs:?}")
            });
        }
        if record.state == model::JobState::Done {
            let whole = attempts(&runs).iter().any(|it| ended_well(it, sent.tasks));
            self.check(Condition::GangIsWhole, whole, || {
                format!("{record:?} is done, but no attempt ended well: {runs:?}")
            });
        }
    }
}

/// Whether an execution was of this sending: by the id in its answer, or by its key before the
/// caller sent it again.
fn ran_for(
    execution: &execution::RequestExecution,
    sent: &ledger::SentRequest,
    next: Option<Instant>,
) -> bool {
    let id = sent.answer.whole().and_then(|it| it.request.as_ref());
    if execution.request.is_some() && execution.request.as_ref() == id {
        return true;
    }
    let key = sent.key.map(|it| it.to_string());
    key.is_some()
        && execution.idempotency == key
        && next.is_none_or(|next| execution.started < next)
}

/// Groups the runs of one job by attempt; lease names are `job/<job>/<attempt>/<rank>`.
fn attempts<'a>(runs: &[&'a run::TaskRun]) -> Vec<Vec<&'a run::TaskRun>> {
    let mut groups = BTreeMap::<&str, Vec<&run::TaskRun>>::new();
    for run in runs {
        let attempt = run.lease.rsplit_once('/').map_or(run.lease.as_str(), |(attempt, _)| attempt);
        groups.entry(attempt).or_default().push(run);
    }
    groups.into_values().collect()
}

/// For how long some members ran without the others: before the last one started, and after the
/// first one was stopped. A member that ends by itself, well, leaves the others whole.
fn partial_for(attempt: &[&run::TaskRun], tasks: u32, now: Instant) -> Duration {
    let end_of = |it: &&run::TaskRun| it.ended.as_ref().map(|it| it.at);
    let Some(started) = attempt.iter().map(|it| it.started).min() else { return Duration::ZERO };
    let last_end = attempt.iter().map(|it| end_of(it).unwrap_or(now)).max().unwrap_or(started);
    let ranks = attempt.iter().map(|it| it.rank).collect::<BTreeSet<_>>();
    if ranks.len() < tasks as usize {
        return last_end - started;
    }
    let complete = attempt.iter().map(|it| it.started).max().unwrap_or(started);
    let broken = attempt.iter().filter(|it| !exited_well(it)).filter_map(end_of).min();
    let stopping = broken.map_or(Duration::ZERO, |it| last_end.saturating_duration_since(it));
    stopping.max(complete - started)
}

fn ended_well(attempt: &[&run::TaskRun], tasks: u32) -> bool {
    let well = attempt.iter().filter(|it| exited_well(it));
    well.map(|it| it.rank).collect::<BTreeSet<_>>().len() == tasks as usize
}

fn exited_well(run: &run::TaskRun) -> bool {
    let cause = run.ended.as_ref().map(|it| &it.cause);
    matches!(cause, Some(run::EndCause::Exited(model::TaskExit::Succeeded)))
}
