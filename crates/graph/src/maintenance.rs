//! Periodic maintenance: lapsed leases, stops that have to be repeated, workers that are leaving,
//! and gangs that have lost a member. Also starts the checks for stalled tasks and slow workers.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::job;
use crate::lease_clock;
use crate::losses;
use crate::stop_reason;
use crate::task_key;

/// Minimum interval between two maintenance passes. A pass goes over all runs, and a round follows
/// each event, so that not every round can afford one.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(40);

/// Wait before an unanswered stop is sent again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// A task ends within the platform's stop timeout after its stop was answered. If its end is not
/// listed this long after that, the stop is sent again.
const STOPPED_END_SLACK: Duration = Duration::from_millis(600);

/// Allowance for the time in which a worker's write of its entry takes effect.
const ENTRY_WRITE_MARGIN: Duration = Duration::from_millis(300);

/// Allowance for stopping a task before its worker leaves, beyond the platform's stop timeout.
const LEAVE_MARGIN: Duration = Duration::from_millis(300);

impl core::PoolCore {
    /// Runs one maintenance pass if the last one is long enough ago. Comes first in each round.
    pub(crate) fn run_maintenance(&mut self, now: Duration) {
        if now < self.last_maintenance_at + MAINTENANCE_INTERVAL {
            return;
        }
        self.last_maintenance_at = now;
        self.expire_avoidances(now);
        self.release_lapsed(now);
        self.settle_overdue(now);
        self.repeat_stops(now);
        self.stop_stalled(now);
        if self.scheduling.move_late_runs {
            self.poll_young_runs(now);
        } else {
            self.move_urgent_off_slow_workers(now);
        }
        self.stop_runs_before_leaving(now);
        self.stop_broken_gangs(now);
    }

    /// Releases the runs on workers whose lease has surely lapsed, and removes such workers if they
    /// are not listed any more.
    fn release_lapsed(&mut self, now: Duration) {
        let known_until = self.known_until(now);
        let silent = self.workers.iter().filter(|(_, it)| {
            it.n_missed_calls > 0
                && known_until >= it.clock.lapses_at()
                && (it.fenced || known_until >= self.settles_at)
        });
        let silent = silent.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        for worker in silent {
            let Some(record) = self.workers.get(&worker) else { continue };
            let listed = record.listed;
            let (lapsed, remaining) = record.runs.iter().copied().partition::<Vec<_>, _>(|key| {
                self.is_bound_to_known_incarnation(*key)
                    || self.has_surely_lapsed(*key, known_until)
            });
            if !lapsed.is_empty() {
                let loss_sign = if listed {
                    losses::LossEvidence::CutOff
                } else {
                    losses::LossEvidence::Silent
                };
                self.record_worker_loss(&worker, loss_sign, &lapsed, now);
            }
            for key in lapsed {
                self.release_run(key, now);
            }
            if !remaining.is_empty() {
                continue;
            }
            if !listed {
                self.workers.remove(&worker);
            } else if let Some(record) = self.workers.get_mut(&worker) {
                record.has_lapsed = record.unwanted_runs.is_empty();
            }
        }
    }

    /// Whether a run is over on a worker whose lease has lapsed by the known clock. If the known
    /// incarnation has not confirmed the run, a later one may have it: at worst that incarnation
    /// accepted the start at the last moment, with a deadline far ahead on its own clock, which it
    /// shortened to the longest lease.
    pub(crate) fn has_surely_lapsed(&self, key: task_key::TaskKey, now: Duration) -> bool {
        let Some(run) = self.task_run(key) else { return true };
        let longest_lease = lease_clock::max_local_span(self.timing.longest_lease);
        run.is_confirmed_by_incarnation
            || now >= run.tracked_since + self.timing.start_timeout + longest_lease
    }

    /// Whether no incarnation after the known one can have accepted the start of a run: it would
    /// have written an entry of its own by the time up to which the platform's list was read.
    fn is_bound_to_known_incarnation(&self, key: task_key::TaskKey) -> bool {
        let Some(run) = self.task_run(key) else { return false };
        let (Some(start), Some(worker)) = (run.start_deadline, self.workers.get(&run.worker))
        else {
            return false;
        };
        let is_entry_incarnation =
            worker.incarnation.is_some() && worker.entry_incarnation == worker.incarnation;
        let listed_by = run.tracked_since
            + self.timing.start_timeout
            + self.timing.heartbeat
            + ENTRY_WRITE_MARGIN;
        is_entry_incarnation
            && start.generation == worker.generation
            && self.list_read_at >= listed_by
    }

    fn repeat_stops(&mut self, now: Duration) {
        let stopped_end_timeout = self.timing.stop_timeout + STOPPED_END_SLACK;
        let mut stops_due = Vec::new();
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
                if worker.stops_in_transit.contains(&(*key, run.attempt)) {
                    continue;
                }
                let wait =
                    if stop_acked_at.is_some() { stopped_end_timeout } else { STOP_RETRY_INTERVAL };
                if now >= stop_sent_at + wait {
                    stops_due.push((id.clone(), *key, run.attempt, stop_acked_at));
                }
            }
        }
        for (worker, key, attempt, stop_acked_at) in stops_due {
            if let Some(job) = self.jobs.get_mut(&key.graph)
                && let Some(run) = job.task_mut(key).and_then(|it| it.run.as_mut())
            {
                // The time of the first answered stop is kept. A poll sent after that answer
                // settles the run, and may take longer than the wait before the next stop.
                run.phase = job::RunPhase::Stopping { stop_sent_at: now, stop_acked_at };
            }
            self.order_stop(worker, key, attempt);
        }
    }

    /// Stops tasks that would not end before their worker leaves.
    fn stop_runs_before_leaving(&mut self, now: Duration) {
        let leaving = self.workers.values().filter(|it| it.leaves_at.is_some());
        let leaving = leaving.map(|it| (it.leaves_at, it.runs.clone()));
        for (leaves_at, runs) in leaving.collect::<Vec<_>>() {
            let Some(leaves_at) = leaves_at else { continue };
            for key in runs {
                if self.outlasts(key, leaves_at, now) {
                    self.stop_run(key, stop_reason::StopReason::LeavingWorker, now);
                }
            }
        }
    }

    /// Whether a run would still be in progress at `leaves_at`, less the time that stopping it
    /// takes.
    fn outlasts(&self, key: task_key::TaskKey, leaves_at: Duration, now: Duration) -> bool {
        let Some(run) = self.task_run(key) else { return false };
        if run.phase.is_stopping() {
            return false;
        }
        let margin = self.timing.stop_timeout + LEAVE_MARGIN;
        now + self.expected_time_left(key, now) + margin > leaves_at
    }

    /// Stops the remaining members of a gang that has lost one, so that the whole gang can start
    /// again.
    fn stop_broken_gangs(&mut self, now: Duration) {
        let settled = self.settled(now);
        let mut broken = BTreeSet::<(ids::GraphId, usize)>::new();
        for (graph, job) in self.active_jobs() {
            if !settled.covers(job) {
                continue;
            }
            for (index, step) in job.steps.iter().enumerate() {
                if step.spec.gang && !step.is_done() && is_gang_broken(step) {
                    broken.insert((graph, index));
                }
            }
        }
        for (graph, step) in broken {
            let unit = task_key::UnitKey { graph, step: step as u32, task: None };
            for key in self.unit_tasks(unit) {
                self.stop_run(key, stop_reason::StopReason::BrokenGang, now);
            }
        }
    }

    /// Time that a run is expected to take from now on: by its rate of progress, or else by the
    /// mean run time of its class.
    pub(crate) fn expected_time_left(&self, key: task_key::TaskKey, now: Duration) -> Duration {
        let Some(run) = self.task_run(key) else { return Duration::ZERO };
        let ran_for = now.saturating_sub(run.tracked_since);
        if let Some(pace) = run.pace.latest().filter(|it| *it > 0.0) {
            let remaining = f64::from(100 - run.percent.min(100)) / pace;
            return Duration::from_secs_f64(remaining)
                .saturating_sub(now.saturating_sub(run.percent_changed_at));
        }
        let class = self.jobs.get(&key.graph).map(|it| it.class.as_str()).unwrap_or_default();
        self.run_times.mean(class).saturating_sub(ran_for)
    }

    pub(crate) fn saves_checkpoints(&self, key: task_key::TaskKey) -> bool {
        let step = self.jobs.get(&key.graph).and_then(|it| it.step(key));
        step.is_some_and(|it| it.spec.saves)
    }

    pub(crate) fn task_run(&self, key: task_key::TaskKey) -> Option<&job::TaskRun> {
        self.jobs.get(&key.graph)?.task(key)?.run.as_ref()
    }
}

/// Whether a step has runs, but not those of all members in one attempt, each confirmed or ordered
/// and none being stopped.
fn is_gang_broken(step: &job::StepRecord) -> bool {
    let runs = || step.tasks.iter().filter_map(|it| it.run.as_ref());
    let n_present = runs().count();
    let is_partial = n_present > 0 && n_present < step.tasks.len();
    let attempt = runs().map(|it| it.attempt).max();
    let is_inconsistent = runs().any(|it| {
        let is_unclear = matches!(it.phase, job::RunPhase::Unclear { .. });
        Some(it.attempt) != attempt || it.phase.is_stopping() || is_unclear
    });
    is_partial || is_inconsistent
}
