//! Rate at which workers are lost for other reasons than the task in question.

use std::collections::VecDeque;
use std::time::Duration;

use almondpass_schema::model;

use crate::task_key;

/// Time for which losses are remembered.
const RETENTION: Duration = Duration::from_secs(60);

/// Workers that lose power together have their last contacts within this time of each other: an idle
/// worker is polled every 2 s.
const SAME_CAUSE_WINDOW: Duration = Duration::from_millis(2_500);

/// Losses added to those seen, as a scheduler that has just started has seen none.
const ASSUMED_LOSSES: f64 = 1.0;

/// The loss of a worker that is not explained by a suspect running alone on it.
#[derive(Clone, Debug)]
struct PastLoss {
    /// Last contact with the worker.
    last_contact_at: Duration,
    /// Tasks that ran on it.
    tasks: Vec<task_key::TaskKey>,
}

/// Recent losses of workers, except those explained by a suspect.
#[derive(Clone, Debug, Default)]
pub struct LossHistory {
    losses: VecDeque<PastLoss>,
    /// Time since which losses are counted; `None` if they were counted for as long as they are
    /// remembered.
    counted_since: Option<Duration>,
}

/// The circumstances of a loss, to be compared with the loss history.
#[derive(Clone, Copy, Debug)]
pub struct LossContext {
    /// Time of the estimate.
    pub now: Duration,
    /// Last contact with the lost worker.
    pub last_contact_at: Duration,
    /// How long the task is at risk of a loss that it does not cause: its expected run time, or the time
    /// it ran if that is longer.
    pub exposure: Duration,
    /// Number of known workers.
    pub n_workers: usize,
    /// Number of other workers that fell silent at about the same time and are not counted as lost.
    pub n_silent: usize,
    /// Number of workers lost under the task before.
    pub n_own_losses: usize,
}

impl LossHistory {
    /// Starts to count losses, with those that an earlier scheduler saw recently. Without these the
    /// scheduler would underestimate the rate of losses.
    pub fn begin(&mut self, inherited: Option<&model::RecentLosses>, now: Duration) {
        let counted_for = inherited.map_or(0, |it| it.watched_ms);
        let counted_for = Duration::from_millis(counted_for).min(RETENTION);
        self.counted_since = Some(now.saturating_sub(counted_for));
        let past =
            PastLoss { last_contact_at: now.saturating_sub(counted_for / 2), tasks: Vec::new() };
        let n_losses = inherited.map_or(0, |it| it.count) as usize;
        self.losses.extend(std::iter::repeat_n(past, n_losses));
    }

    /// The number of recent losses and the time in which they were counted, for a successor.
    pub fn recent(&self, now: Duration) -> model::RecentLosses {
        let n_recent = self.losses.iter().filter(|it| now < it.last_contact_at + RETENTION).count();
        let watched_ms = self.counted_for(now).as_millis() as u64;
        model::RecentLosses { count: n_recent as u32, watched_ms }
    }

    /// Time in which losses were counted, at most the time for which they are remembered.
    fn counted_for(&self, now: Duration) -> Duration {
        self.counted_since.map_or(RETENTION, |it| now.saturating_sub(it)).min(RETENTION)
    }

    /// Records a loss.
    pub fn record(
        &mut self,
        last_contact_at: Duration,
        tasks: Vec<task_key::TaskKey>,
        now: Duration,
    ) {
        self.losses.retain(|it| now < it.last_contact_at + RETENTION);
        self.losses.push_back(PastLoss { last_contact_at, tasks });
    }

    /// Probability that `task`, if it crashes nothing, loses its worker to whatever caused the other
    /// losses.
    pub fn background_probability(&self, task: task_key::TaskKey, context: LossContext) -> f64 {
        let is_recent = |it: &&PastLoss| context.now < it.last_contact_at + RETENTION;
        let others = || self.losses.iter().filter(is_recent).filter(|it| !it.tasks.contains(&task));
        let n_concurrent = others()
            .filter(|it| may_share_cause(it.last_contact_at, context.last_contact_at))
            .count();
        let n_workers = context.n_workers.max(2) as f64;
        let by_common_cause = (n_concurrent + context.n_silent) as f64 / (n_workers - 1.0);
        let worker_seconds = n_workers * self.counted_for(context.now).as_secs_f64().max(1.0);
        // If the task crashes nothing, its earlier losses are evidence of the rate like any others.
        let n_counted = others().count() as f64 + context.n_own_losses as f64 + ASSUMED_LOSSES;
        // The rate is raised by one standard deviation, as a few losses give only a rough estimate. Too
        // low a rate would make the scheduler give up jobs whose tasks lost their workers by chance.
        let rate = (n_counted + n_counted.sqrt()) / worker_seconds;
        let by_rate = 1.0 - (-rate * context.exposure.as_secs_f64()).exp();
        by_common_cause.max(by_rate).min(1.0)
    }
}

/// Whether two workers may have been lost by the same cause, given the last contact with each.
pub fn may_share_cause(one: Duration, other: Duration) -> bool {
    one.abs_diff(other) <= SAME_CAUSE_WINDOW
}
