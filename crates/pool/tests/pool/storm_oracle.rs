//! Oracle of the storms: checks the rules against what workers and callers have seen.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use almondpass_graph::{order, task_key};
use almondpass_schema::{ids, model};
use almondpass_standin::{pool_fleet, pool_worker};
use tokio::time::Instant;

use crate::call_history;
use crate::support;

/// A job that was shown as completed is not started this long after it.
const SHOWN_WITHIN: Duration = Duration::from_secs(1);

/// An accepted job is visible at each instance this long after its acceptance.
const VISIBLE_WITHIN: Duration = Duration::from_secs(3);

/// No start of a job is sent this long after the acknowledgement of its cancellation.
const CANCELLED_WITHIN: Duration = Duration::from_secs(3);

/// No task runs on this long after the acknowledgement of its job's cancellation: it covers an outage of the
/// store, a takeover and a lease, one after another.
const STOPPED_WITHIN: Duration = Duration::from_secs(25);

/// A broken rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BrokenRule {
    /// Two runs of a task at the same time, or a start after it had succeeded.
    Twice,
    /// An accepted job is shown as ended without cause, or not at all.
    Lost,
    /// A task of a cancelled job is started, or runs on.
    Unasked,
    /// A task fails more often than its class allows.
    Budget,
    /// A step is started before those that it waits for are done.
    Order,
    /// A job is shown as completed before all its tasks have succeeded.
    Mixed,
    /// A start exceeds the resources of its worker.
    Limit,
}

/// A violation of a rule, with what was seen.
#[derive(Clone, Debug)]
pub(crate) struct RuleViolation {
    pub(crate) rule: BrokenRule,
    pub(crate) detail: String,
}

impl fmt::Display for RuleViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.detail)
    }
}

/// What workers and callers have seen.
struct StormEvidence {
    /// All ended runs, in the order of their starts.
    runs: Vec<pool_worker::RunRecord>,
    sent_starts: Vec<pool_fleet::SentStart>,
    acknowledgements: Vec<pool_worker::EndAcknowledgement>,
    jobs: BTreeMap<ids::GraphId, call_history::JobCalls>,
    started: Instant,
}

/// Panics if a rule is broken.
pub(crate) fn check(bench: &support::PoolBench, seed: u64) {
    let violations = violations(bench);
    assert!(violations.is_empty(), "storm {seed}:\n{}", to_lines(&violations));
}

/// Panics if a task has run twice.
pub(crate) fn check_single_runs(bench: &support::PoolBench) {
    let violations = StormEvidence::of(bench).repeated_runs();
    assert!(violations.is_empty(), "\n{}", to_lines(&violations));
}

/// One line for each violation.
pub(crate) fn to_lines(violations: &[RuleViolation]) -> String {
    violations.iter().map(|it| format!("{it}\n")).collect()
}

/// All violations of the rules so far.
pub(crate) fn violations(bench: &support::PoolBench) -> Vec<RuleViolation> {
    let evidence = StormEvidence::of(bench);
    let mut violations = evidence.repeated_runs();
    violations.extend(evidence.starts_after_completion());
    violations.extend(evidence.jobs_lost());
    violations.extend(evidence.unasked_runs());
    violations.extend(evidence.excess_failures());
    violations.extend(evidence.early_steps());
    violations.extend(evidence.early_completions());
    violations
}

/// All violations of the rules by a time at which each job has to have ended.
pub(crate) async fn final_violations(bench: &support::PoolBench) -> Vec<RuleViolation> {
    let lost = |detail| RuleViolation { rule: BrokenRule::Lost, detail };
    let mut violations = Vec::new();
    for (graph, calls) in bench.history.jobs() {
        let shown = bench.lookup(0, graph).await;
        let has_ended = match shown {
            model::LookOutcome::Known(state) => {
                state != model::GraphState::Pending && state != model::GraphState::Running
            }
            _ => false,
        };
        if calls.accepted_at().is_some() && !has_ended {
            violations.push(lost(format!("accepted job {graph} has not ended: {shown:?}")));
        }
    }
    for (worker, task) in bench.fleet.running() {
        violations.push(lost(format!("{task} still runs on {worker}")));
    }
    violations.extend(self::violations(bench));
    violations
}

impl StormEvidence {
    fn of(bench: &support::PoolBench) -> StormEvidence {
        let mut runs = bench.fleet.records();
        runs.sort_by_key(|it| it.started);
        StormEvidence {
            runs,
            sent_starts: bench.fleet.sent_starts(),
            acknowledgements: bench.fleet.acknowledgements(),
            jobs: bench.history.jobs(),
            started: bench.started,
        }
    }

    /// Two runs of a task at the same time, and starts after a run that had succeeded. A success that was not
    /// acknowledged before the worker's lease lapsed does not count.
    fn repeated_runs(&self) -> Vec<RuleViolation> {
        let mut by_task = BTreeMap::<task_key::TaskKey, Vec<&pool_worker::RunRecord>>::new();
        let mut violations = Vec::new();
        for run in &self.runs {
            let earlier = by_task.entry(run.task).or_default();
            for it in earlier.iter().filter(|it| run.started < it.ended) {
                let detail = format!("{} ran beside {}", self.show(run), self.show(it));
                violations.push(RuleViolation { rule: BrokenRule::Twice, detail });
            }
            let is_final = |it: &pool_worker::RunRecord| {
                is_done(it) && it.is_acknowledged && it.ended <= run.started
            };
            for it in earlier.iter().filter(|it| is_final(it)) {
                let detail = format!("{} ran after {}", self.show(run), self.show(it));
                violations.push(RuleViolation { rule: BrokenRule::Twice, detail });
            }
            earlier.push(run);
        }
        violations
    }

    /// Starts of jobs that had been shown as completed.
    fn starts_after_completion(&self) -> Vec<RuleViolation> {
        let late = |run: &&pool_worker::RunRecord| {
            let completed = self.shown(run.task.graph, model::GraphState::Completed);
            completed.min().is_some_and(|it| self.sent_at(run) > it + SHOWN_WITHIN)
        };
        let violation = |run: &pool_worker::RunRecord| RuleViolation {
            rule: BrokenRule::Twice,
            detail: format!("{} was started after its job was shown as completed", self.show(run)),
        };
        self.runs.iter().filter(late).map(violation).collect()
    }

    fn jobs_lost(&self) -> Vec<RuleViolation> {
        let mut violations = Vec::new();
        for (graph, calls) in &self.jobs {
            let details = [
                self.failed_without_cause(*graph, calls),
                self.cancelled_without_cause(*graph, calls),
                self.absent_though_accepted(*graph, calls),
            ];
            let lost = |detail| RuleViolation { rule: BrokenRule::Lost, detail };
            violations.extend(details.into_iter().flatten().map(lost));
        }
        violations
    }

    fn failed_without_cause(
        &self,
        graph: ids::GraphId,
        calls: &call_history::JobCalls,
    ) -> Option<String> {
        let shown_at = self.shown(graph, model::GraphState::Failed).min()?;
        let row = calls.row.as_ref()?;
        let crashes_workers = row.graph.body.contains("crash=");
        let n_failures = self.most_failures(graph, row, shown_at);
        if crashes_workers || n_failures >= row.max_attempts {
            return None;
        }
        let mut n_crashes = BTreeMap::<_, u32>::new();
        for run in self.runs.iter().filter(|it| it.task.graph == graph && it.number == 0) {
            *n_crashes.entry(run.task).or_default() += 1;
        }
        let n_crashes = n_crashes.values().max().copied().unwrap_or_default();
        let at = shown_at - self.started;
        Some(format!(
            "job {graph} is shown as failed at {at:?}: no task has failed more than {n_failures} times, \
             and none was on more than {n_crashes} workers that crashed"
        ))
    }

    /// The most failures of one task of a job, or of one of its gangs.
    fn most_failures(&self, graph: ids::GraphId, row: &model::GraphRow, until: Instant) -> u32 {
        let mut attempts = BTreeMap::<_, BTreeSet<_>>::new();
        let failed = self.runs.iter().filter(|it| it.task.graph == graph && it.ended <= until);
        for run in failed.filter(|it| it.end_kind == order::EndKind::Failed) {
            let step = row.graph.steps.get(run.task.step as usize);
            let is_gang = step.is_some_and(|it| it.gang);
            let unit = (run.task.step, (!is_gang).then_some(run.task.task));
            attempts.entry(unit).or_default().insert(run.attempt);
        }
        attempts.values().map(|it| it.len() as u32).max().unwrap_or_default()
    }

    fn cancelled_without_cause(
        &self,
        graph: ids::GraphId,
        calls: &call_history::JobCalls,
    ) -> Option<String> {
        let shown_at = self.shown(graph, model::GraphState::Cancelled).min()?;
        let at = shown_at - self.started;
        (!calls.is_cancel_sent(shown_at)).then(|| {
            format!("job {graph} is shown as cancelled at {at:?}, and nobody cancelled it")
        })
    }

    fn absent_though_accepted(
        &self,
        graph: ids::GraphId,
        calls: &call_history::JobCalls,
    ) -> Option<String> {
        let visible_at = calls.accepted_at()? + VISIBLE_WITHIN;
        let absent = calls.lookups.iter().filter(|it| it.sent_at > visible_at);
        let mut absent = absent.filter_map(|it| it.answer.as_ref());
        let absent = absent.find(|it| {
            it.outcome.outcome == model::LookOutcome::Absent && !calls.is_cancel_sent(it.at)
        })?;
        Some(format!("accepted job {graph} is absent at {:?}", absent.at - self.started))
    }

    /// Starts and runs of jobs after the answer to their cancellation.
    fn unasked_runs(&self) -> Vec<RuleViolation> {
        let mut violations = Vec::new();
        for (graph, calls) in &self.jobs {
            let Some(cancelled) = cancelled(calls) else { continue };
            for run in self.runs.iter().filter(|it| it.task.graph == *graph) {
                let was_started_late = self.sent_at(run) > cancelled.at + CANCELLED_WITHIN;
                if was_started_late || run.ended > cancelled.at + STOPPED_WITHIN {
                    let at = cancelled.at - self.started;
                    let detail = format!(
                        "{} although the cancellation was answered {} at {at:?}",
                        self.show(run),
                        cancelled.outcome,
                    );
                    violations.push(RuleViolation { rule: BrokenRule::Unasked, detail });
                }
            }
        }
        violations
    }

    /// Tasks that failed more often than allowed, by ends that were acknowledged.
    fn excess_failures(&self) -> Vec<RuleViolation> {
        let mut n_failures = BTreeMap::<_, u32>::new();
        let failed = self.runs.iter().filter(|it| it.end_kind == order::EndKind::Failed);
        for run in failed.filter(|it| it.is_acknowledged) {
            *n_failures.entry(run.task).or_default() += 1;
        }
        let allowed = |task: &task_key::TaskKey| {
            self.jobs
                .get(&task.graph)
                .and_then(|it| it.row.as_ref())
                .map_or(0, |it| it.max_attempts)
        };
        let excess = n_failures.into_iter().filter(|(task, n)| *n > allowed(task));
        let violation = |(task, n)| RuleViolation {
            rule: BrokenRule::Budget,
            detail: format!("{n} acknowledged failures of {task}"),
        };
        excess.map(violation).collect()
    }

    /// Starts of steps before the steps that they wait for were done. A task of such a step may run once more
    /// after that: if its end was not acknowledged before the worker's lease lapsed, another run may start, and
    /// then the worker is back and lists the first end.
    fn early_steps(&self) -> Vec<RuleViolation> {
        let first_successes = self.first_successes();
        let is_early = |run: &&pool_worker::RunRecord| {
            let row = self.jobs.get(&run.task.graph).and_then(|it| it.row.as_ref());
            let Some(row) = row else { return false };
            let Some(step) = row.graph.steps.get(run.task.step as usize) else { return false };
            let done_at = |step: &u32| step_done_at(&first_successes, run.task.graph, row, *step);
            step.after.iter().map(done_at).any(|it| it.is_none_or(|at| run.started < at))
        };
        let violation = |run: &pool_worker::RunRecord| RuleViolation {
            rule: BrokenRule::Order,
            detail: format!("{} was started before an earlier step was done", self.show(run)),
        };
        self.runs.iter().filter(is_early).map(violation).collect()
    }

    /// Jobs that were shown as completed before each step was done.
    fn early_completions(&self) -> Vec<RuleViolation> {
        let first_successes = self.first_successes();
        let mut violations = Vec::new();
        for (graph, calls) in &self.jobs {
            let shown_at = self.shown(*graph, model::GraphState::Completed).min();
            let (Some(shown_at), Some(row)) = (shown_at, calls.row.as_ref()) else { continue };
            let is_missing = |step: &u32| {
                let done_at = step_done_at(&first_successes, *graph, row, *step);
                done_at.is_none_or(|done_at| shown_at < done_at)
            };
            let mut steps = 0..row.graph.steps.len() as u32;
            if let Some(step) = steps.find(is_missing) {
                let at = shown_at - self.started;
                let detail =
                    format!("job {graph} is shown as completed at {at:?} without step {step}");
                violations.push(RuleViolation { rule: BrokenRule::Mixed, detail });
            }
        }
        violations
    }

    fn first_successes(&self) -> BTreeMap<task_key::TaskKey, Instant> {
        let mut first = BTreeMap::new();
        for run in self.runs.iter().filter(|it| is_done(it)) {
            let earliest = first.entry(run.task).or_insert(run.ended);
            *earliest = run.ended.min(*earliest);
        }
        first
    }

    /// When callers were shown this state of a job.
    fn shown(
        &self,
        graph: ids::GraphId,
        state: model::GraphState,
    ) -> impl Iterator<Item = Instant> {
        let lookups = self.jobs.get(&graph).into_iter().flat_map(|it| &it.lookups);
        let answers = lookups.filter_map(|it| it.answer.as_ref());
        let wanted = model::LookOutcome::Known(state);
        answers.filter(move |it| it.outcome.outcome == wanted).map(|it| it.at)
    }

    /// When the order that started a run was sent. The effect of an order may come seconds later.
    fn sent_at(&self, run: &pool_worker::RunRecord) -> Instant {
        let is_order = |it: &&pool_fleet::SentStart| {
            it.task == run.task && it.attempt == run.attempt && it.worker == run.worker
        };
        let sent = self.sent_starts.iter().filter(is_order).map(|it| it.sent_at);
        sent.filter(|it| *it <= run.started).max().unwrap_or(run.started)
    }

    /// When a run's end was acknowledged so that it is final.
    fn acknowledged_at(&self, run: &pool_worker::RunRecord) -> Option<Instant> {
        let mut of_run = self.acknowledgements.iter().filter(|it| {
            it.task == run.task && it.attempt == run.attempt && it.worker == run.worker
        });
        of_run.next().map(|it| it.at)
    }

    fn show(&self, run: &pool_worker::RunRecord) -> String {
        let row = self.jobs.get(&run.task.graph).and_then(|it| it.row.as_ref());
        format!(
            "attempt {} of {} ({}) on {} ({:?} to {:?}, {:?}, acknowledged at {:?})",
            run.attempt,
            run.task,
            row.map_or("", |it| it.graph.body.as_str()),
            run.worker,
            run.started - self.started,
            run.ended - self.started,
            run.end_kind,
            self.acknowledged_at(run).map(|it| it - self.started)
        )
    }
}

fn is_done(run: &pool_worker::RunRecord) -> bool {
    run.end_kind == order::EndKind::Done
}

/// The first answer by which a caller may rely on the cancellation of a job. `Absent` is such an answer once
/// each submission of the job was answered, and if none follows.
fn cancelled(
    calls: &call_history::JobCalls,
) -> Option<&call_history::CallAnswer<model::CancelOutcome>> {
    let is_reliable = |it: &&call_history::CallRecord<model::CancelOutcome>| {
        let outcome = it.answer.as_ref().map(|it| it.outcome);
        let is_absent = outcome == Some(model::CancelOutcome::Absent);
        outcome == Some(model::CancelOutcome::Cancelled)
            || (is_absent && calls.are_submissions_over(it.sent_at))
    };
    let reliable = calls.cancels.iter().filter(is_reliable);
    reliable.filter_map(|it| it.answer.as_ref()).min_by_key(|it| it.at)
}

/// When a step was done: with the success of its last task. The success of one member of a gang ends the gang.
fn step_done_at(
    first_successes: &BTreeMap<task_key::TaskKey, Instant>,
    graph: ids::GraphId,
    row: &model::GraphRow,
    step: u32,
) -> Option<Instant> {
    let spec = row.graph.steps.get(step as usize)?;
    let key = |task| task_key::TaskKey { graph, occurrence: 0, step, task };
    let successes = (0..spec.tasks).map(|task| first_successes.get(&key(task)).copied());
    if spec.gang {
        return successes.flatten().min();
    }
    successes.collect::<Option<Vec<_>>>()?.into_iter().max()
}
