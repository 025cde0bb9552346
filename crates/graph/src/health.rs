//! Workers that fail or hang: what is believed of them, by evidence from different jobs.

use std::time::Duration;

use almondpass_schema::ids;

/// Failures of different jobs in a row, without one that ended well, after which a worker gets no
/// tasks for a while. One may be the job's own fault; two jobs that both fail by their own fault
/// on one worker are rare at the declared shares of 2 to 5%.
const FAILURES_TO_PAUSE: u32 = 2;

/// First pause of a worker that fails or hangs; it doubles with each further one. About the time
/// for which such faults last on the users' days.
const FIRST_PAUSE: Duration = Duration::from_secs(4);

/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(32);

/// How a worker has been doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerHealth {
    failures: u32,
    last_job: Option<ids::GraphId>,
    pauses: u32,
    paused_until: Duration,
}

impl WorkerHealth {
    /// A task ended well.
    pub fn task_succeeded(&mut self) {
        self.failures = 0;
        self.pauses = 0;
        self.last_job = None;
    }

    /// A task of `job` failed. Tells whether the worker is paused by it, which it is only if it can be
    /// spared.
    pub fn task_failed(&mut self, job: ids::GraphId, is_spare: bool, now: Duration) -> bool {
        if self.last_job == Some(job) {
            return false;
        }
        self.last_job = Some(job);
        self.failures += 1;
        if self.failures < FAILURES_TO_PAUSE || !is_spare {
            return false;
        }
        self.pause(now);
        true
    }

    /// A task stood still. The worker is paused by it if it can be spared.
    pub fn task_stalled(&mut self, is_spare: bool, now: Duration) {
        self.failures += 1;
        if is_spare {
            self.pause(now);
        }
    }

    /// Whether it gets no tasks for now.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Whether it has failed and not yet ended a task well since; it is used last.
    pub fn has_recent_failures(&self) -> bool {
        self.failures > 0
    }

    fn pause(&mut self, now: Duration) {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.pauses.min(8)).min(LONGEST_PAUSE);
        self.paused_until = now + pause;
        self.pauses += 1;
    }
}
