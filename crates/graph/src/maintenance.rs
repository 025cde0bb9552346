//! What time brings: lapsed leases, stops to repeat, workers that leave, gangs that have lost a
//! member. Calls what is done for tasks that stand still or are slow.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::job;
use crate::lease_clock;
use crate::losses;
use crate::task_key;

/// Time is taken note of this often: it goes over all runs, and turns come with each event.
const KEEP_UP_INTERVAL: Duration = Duration::from_millis(40);

/// Wait before an unanswered stop is sent again.
const STOP_AGAIN: Duration = Duration::from_millis(400);

/// A stop that was answered takes at most the platform's bound; if the end is not listed this much
/// later, it is sent again.
const STOP_SLACK: Duration = Duration::from_millis(600);

/// Kept for a worker's write of its entry.
const ENTRY_MARGIN: Duration = Duration::from_millis(300);

/// Kept for stopping a task before its worker leaves, beyond the time that a stop takes.
const LEAVE_MARGIN: Duration = Duration::from_millis(300);

impl core::PoolCore {
    /// Takes note of the passage of time. Comes first in a turn.
    pub(crate) fn run_maintenance(&mut self, now: Duration) {
        if now < self.last_maintenance_at + KEEP_UP_INTERVAL {
            return;
        }
        self.last_maintenance_at = now;
        self.expire_avoidances(now);
        self.drop_lapsed(now);
        self.settle_overdue(now);
        self.repeat_stops(now);
        self.stop_stalled(now);
        self.move_urgent_off_slow_workers(now);
        self.clear_leaving(now);
        self.repair_gangs(now);
    }

    /// Frees what ran on workers whose lease has surely lapsed, and forgets workers that are gone.
    fn drop_lapsed(&mut self, now: Duration) {
        let silent = self.workers.iter().filter(|(_, it)| {
            it.n_missed_calls > 0
                && now >= it.clock.lapses_at()
                && (it.fenced || now >= self.settles_at)
        });
        let silent = silent.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        for worker in silent {
            let Some(record) = self.workers.get(&worker) else { continue };
            let listed = record.listed;
            let (lapsed, left) = record.runs.iter().copied().partition::<Vec<_>, _>(|key| {
                self.is_of_known_life(*key) || self.has_surely_lapsed(*key, now)
            });
            if !lapsed.is_empty() {
                let sign = if listed {
                    losses::LossEvidence::CutOff
                } else {
                    losses::LossEvidence::Silent
                };
                self.record_worker_loss(&worker, sign, &lapsed, now);
            }
            for key in lapsed {
                self.release_run(key, now);
            }
            if !left.is_empty() {
                continue;
            }
            if !listed {
                self.workers.remove(&worker);
            } else if let Some(record) = self.workers.get_mut(&worker) {
                record.has_lapsed = record.unwanted_runs.is_empty();
            }
        }
    }

    /// Whether a run is over on a worker whose lease has lapsed by the clock that is known. Where that
    /// life has not said that it has the run, a later one may: it took the start as late as that may
    /// come, with a deadline far ahead on its own clock, and shortened it to the longest lease.
    pub(crate) fn has_surely_lapsed(&self, key: task_key::TaskKey, now: Duration) -> bool {
        let Some(run) = self.task_run(key) else { return true };
        let longest = lease_clock::max_local_span(self.timing.longest_lease);
        run.is_confirmed_by_incarnation
            || now >= run.tracked_since + self.timing.start_timeout + longest
    }

    /// Whether no life behind the known one of its worker can have taken a start: it would have told of itself
    /// in the list by the time up to which that was read.
    fn is_of_known_life(&self, key: task_key::TaskKey) -> bool {
        let Some(run) = self.task_run(key) else { return false };
        let (Some(start), Some(worker)) = (run.start_deadline, self.workers.get(&run.worker))
        else {
            return false;
        };
        let is_told_life =
            worker.incarnation.is_some() && worker.entry_incarnation == worker.incarnation;
        let told_by =
            run.tracked_since + self.timing.start_timeout + self.timing.heartbeat + ENTRY_MARGIN;
        is_told_life && start.generation == worker.generation && self.list_read_at >= told_by
    }

    fn repeat_stops(&mut self, now: Duration) {
        let patience = self.timing.stop_timeout + STOP_SLACK;
        let mut again = Vec::new();
        for (id, worker) in &self.workers {
            if worker.n_missed_calls > 0 {
                continue;
            }
            for key in &worker.runs {
                let run = self.jobs.get(&key.graph).and_then(|it| it.task(*key));
                let Some(run) = run.and_then(|it| it.run.as_ref()) else { continue };
                let job::RunPhase::Stopping { stop_sent_at, stop_acked_at } = run.phase else {
                    continue;
                };
                let wait = if stop_acked_at.is_some() { patience } else { STOP_AGAIN };
                if now >= stop_sent_at + wait {
                    again.push((id.clone(), *key, run.attempt, stop_acked_at));
                }
            }
        }
        for (worker, key, attempt, stop_acked_at) in again {
            if let Some(job) = self.jobs.get_mut(&key.graph)
                && let Some(run) = job.task_mut(key).and_then(|it| it.run.as_mut())
            {
                // An answer to an earlier stop counts on: a look that was sent behind it settles
                // the run, and may take longer than the wait before the next stop.
                run.phase = job::RunPhase::Stopping { stop_sent_at: now, stop_acked_at };
            }
            self.order_stop(worker, key, attempt);
        }
    }

    /// Stops tasks that would not end before their worker leaves.
    fn clear_leaving(&mut self, now: Duration) {
        let leaving = self.workers.iter().filter(|(_, it)| it.leaves_at.is_some());
        let leaving = leaving.map(|(id, it)| (id.clone(), it.leaves_at, it.runs.clone()));
        for (worker, leaves_at, runs) in leaving.collect::<Vec<_>>() {
            let Some(leaves_at) = leaves_at else { continue };
            for key in runs {
                if self.outlasts(key, leaves_at, now) {
                    tracing::info!(
                        job = format_args!("{:016x}", key.graph),
                        task = %key,
                        worker,
                        "task is moved off a worker that leaves"
                    );
                    self.stop_run(key, now);
                }
            }
        }
    }

    /// Whether a run would go on behind `leaves_at`, less the time for stopping it.
    fn outlasts(&self, key: task_key::TaskKey, leaves_at: Duration, now: Duration) -> bool {
        let Some(run) = self.task_run(key) else { return false };
        if run.phase.is_stopping() {
            return false;
        }
        let margin = self.timing.stop_timeout + LEAVE_MARGIN;
        now + self.expected_time_left(key, now) + margin > leaves_at
    }

    /// Stops the other members of a gang that has lost one, so that it can start again as a whole.
    fn repair_gangs(&mut self, now: Duration) {
        let settled = self.settled(now);
        let mut broken = BTreeSet::<(ids::GraphId, usize)>::new();
        for (graph, job) in self.active_jobs() {
            if !settled.covers(job) {
                continue;
            }
            for (index, step) in job.steps.iter().enumerate() {
                if step.spec.gang && !step.is_done() && is_broken(step) {
                    broken.insert((graph, index));
                }
            }
        }
        for (graph, step) in broken {
            let unit = task_key::UnitKey { graph, step: step as u32, task: None };
            for key in self.unit_tasks(unit) {
                self.stop_run(key, now);
            }
        }
    }

    /// How much longer a run is expected to take.
    pub(crate) fn expected_time_left(&self, key: task_key::TaskKey, now: Duration) -> Duration {
        let Some(run) = self.task_run(key) else { return Duration::ZERO };
        let ran = now.saturating_sub(run.tracked_since);
        if let Some(pace) = run.pace.latest().filter(|it| *it > 0.0) {
            let left = f64::from(100 - run.percent.min(100)) / pace;
            return Duration::from_secs_f64(left)
                .saturating_sub(now.saturating_sub(run.percent_changed_at));
        }
        let class = self.jobs.get(&key.graph).map(|it| it.class.as_str()).unwrap_or_default();
        self.run_times.mean(class).saturating_sub(ran)
    }

    pub(crate) fn saves_checkpoints(&self, key: task_key::TaskKey) -> bool {
        let step = self.jobs.get(&key.graph).and_then(|it| it.step(key));
        step.is_some_and(|it| it.spec.saves)
    }

    pub(crate) fn task_run(&self, key: task_key::TaskKey) -> Option<&job::TaskRun> {
        self.jobs.get(&key.graph)?.task(key)?.run.as_ref()
    }
}

/// Whether some members are present, but not all of them, in one attempt, and soundly.
fn is_broken(step: &job::StepRecord) -> bool {
    let runs = || step.tasks.iter().filter_map(|it| it.run.as_ref());
    let n_present = runs().count();
    let is_partial = n_present > 0 && n_present < step.tasks.len();
    let attempt = runs().map(|it| it.attempt).max();
    let is_odd = runs().any(|it| {
        let is_unclear = matches!(it.phase, job::RunPhase::Unclear { .. });
        Some(it.attempt) != attempt || it.phase.is_stopping() || is_unclear
    });
    is_partial || is_odd
}
