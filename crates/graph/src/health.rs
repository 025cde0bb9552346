//! Pauses of workers on which tasks of different jobs fail or stall.

use std::time::Duration;

use almondpass_schema::ids;

/// Failures of different jobs in a row, with no success in between, after which a worker is paused. A
/// single failure may be the job's own fault. Two jobs that both fail on one worker by their own fault
/// are rare at the declared failure shares of 2 to 5%.
const FAILURES_TO_PAUSE: u32 = 2;

/// First pause of a worker on which tasks fail or stall; it doubles with each further pause, as a fault
/// may be short or last.
const FIRST_PAUSE: Duration = Duration::from_secs(4);

/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(32);

/// Recent failures and pauses of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerHealth {
    failures: u32,
    last_job: Option<ids::GraphId>,
    pauses: u32,
    paused_until: Duration,
}

impl WorkerHealth {
    /// Records a success, which ends the row of failures.
    pub fn task_succeeded(&mut self) {
        self.failures = 0;
        self.pauses = 0;
        self.last_job = None;
    }

    /// Records a failure of a task of `job`. Returns whether it pauses the worker, which needs
    /// `can_exclude`: the pool can do without it.
    pub fn task_failed(&mut self, job: ids::GraphId, can_exclude: bool, now: Duration) -> bool {
        if self.last_job == Some(job) {
            return false;
        }
        self.last_job = Some(job);
        self.failures += 1;
        if self.failures < FAILURES_TO_PAUSE || !can_exclude {
            return false;
        }
        self.pause(now);
        true
    }

    /// Records a stalled task, which pauses the worker if the pool can do without it (`can_exclude`).
    pub fn task_stalled(&mut self, can_exclude: bool, now: Duration) {
        self.failures += 1;
        if can_exclude {
            self.pause(now);
        }
    }

    /// Whether the worker gets no new tasks at `now`.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Whether a task failed or stalled since the last success. Such a worker is used last.
    pub fn has_recent_failures(&self) -> bool {
        self.failures > 0
    }

    fn pause(&mut self, now: Duration) {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.pauses.min(8)).min(MAX_PAUSE);
        self.paused_until = now + pause;
        self.pauses += 1;
    }
}
