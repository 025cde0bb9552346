//! Starts that count as unsettled for longer than any can be.
//!
//! What settles a start comes from outside: its answer, a look, the lapse of a lease. Should one of them be
//! lost on its way to here, its task would wait for as long as the tenure lasts.

use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::job;
use crate::lease_clock;
use crate::poll_answers;
use crate::task_key;

/// A start that is overdue.
#[derive(Clone, Debug)]
struct OverdueStart {
    worker: ids::WorkerId,
    task: task_key::TaskKey,
    phase: job::RunPhase,
}

impl core::PoolCore {
    /// Tells once of each start that has been unsettled for longer than any can be, and has it settled: it
    /// counts as unclear, and its worker is looked at. Its task starts nowhere else before that is done.
    pub(crate) fn settle_overdue(&mut self, now: Duration) {
        for start in self.overdue_starts(now) {
            self.tell_overdue(&start, now);
            let task = self.jobs.get_mut(&start.task.graph).and_then(|it| it.task_mut(start.task));
            let Some(run) = task.and_then(|it| it.run.as_mut()) else { continue };
            run.is_reported_overdue = true;
            if run.phase == job::RunPhase::Ordered {
                run.phase = job::RunPhase::Unclear { since: now };
            }
            self.overdue_phases.push(start.phase);
            self.order_poll(&start.worker);
        }
    }

    /// What was believed of each start that was found overdue since the last call.
    pub fn take_overdue_phases(&mut self) -> Vec<job::RunPhase> {
        std::mem::take(&mut self.overdue_phases)
    }

    fn overdue_starts(&self, now: Duration) -> Vec<OverdueStart> {
        let longest = self.longest_open();
        let mut overdue = Vec::new();
        for (id, worker) in &self.workers {
            for key in &worker.runs {
                let Some(run) = self.task_run(*key) else { continue };
                let is_open = !run.is_confirmed && !run.is_reported_overdue;
                if is_open && now >= run.tracked_since + longest {
                    overdue.push(OverdueStart { worker: id.clone(), task: *key, phase: run.phase });
                }
            }
        }
        overdue
    }

    /// How long a start may stay unsettled at most, on a worker that answers: a look sent then finds it
    /// behind its deadline.
    fn longest_open(&self) -> Duration {
        lease_clock::max_local_span(
            self.timing.start_timeout + 2 * poll_answers::START_DEADLINE_SLACK,
        )
    }

    fn tell_overdue(&self, start: &OverdueStart, now: Duration) {
        let run = self.task_run(start.task);
        let worker = self.workers.get(&start.worker);
        tracing::warn!(
            job = format_args!("{:016x}", start.task.graph),
            task = %start.task,
            attempt = run.map(|it| it.attempt),
            worker = start.worker,
            belief = start.phase.name(),
            age_ms = run.map(|it| now.saturating_sub(it.tracked_since).as_millis() as u64),
            worker_answers = worker.is_some_and(|it| it.is_responsive()),
            "start is unsettled for longer than it can be"
        );
    }
}
