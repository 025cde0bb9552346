//! How many workers are lost anyhow: what a loss under a task has to be compared with.

use std::collections::VecDeque;
use std::time::Duration;

use almondpass_schema::model;

use crate::task_key;

/// Losses are remembered for this long.
const MEMORY: Duration = Duration::from_secs(60);

/// Workers that lose power together are heard of last within this of each other: a worker with nothing to
/// do is looked at every 2 s.
const TOGETHER: Duration = Duration::from_millis(2_500);

/// Losses that are assumed beside those seen, as a scheduler that has just begun has seen none.
const ASSUMED: f64 = 1.0;

/// A worker that was lost without a suspect alone on it.
#[derive(Clone, Debug)]
struct PastLoss {
    /// When it was last heard of.
    last_contact_at: Duration,
    /// What ran there.
    tasks: Vec<task_key::TaskKey>,
}

/// The workers that were lost lately, but for those that a suspect explains.
#[derive(Clone, Debug, Default)]
pub struct LossHistory {
    losses: VecDeque<PastLoss>,
    /// Since when losses are taken note of; for as long as they are remembered, where that is not known.
    began: Option<Duration>,
}

/// What a loss is compared with.
#[derive(Clone, Copy, Debug)]
pub struct LossContext {
    /// The time.
    pub now: Duration,
    /// When the worker was last heard of.
    pub last_contact_at: Duration,
    /// How long the task runs, or ran there, whichever is longer: an innocent one is at risk for so long.
    pub exposure: Duration,
    /// Workers known.
    pub n_workers: usize,
    /// Other workers that fell silent at about the same time, and have not been counted as lost.
    pub n_silent: usize,
    /// Workers that were lost under the task before.
    pub n_own_losses: usize,
}

impl LossHistory {
    /// A scheduler begins to take note of losses. Without those that an earlier one has seen lately it
    /// would take what follows for rare.
    pub fn begin(&mut self, inherited: Option<&model::RecentLosses>, now: Duration) {
        let watched = inherited.map_or(0, |it| it.watched_ms);
        let watched = Duration::from_millis(watched).min(MEMORY);
        self.began = Some(now.saturating_sub(watched));
        let past = PastLoss { last_contact_at: now.saturating_sub(watched / 2), tasks: Vec::new() };
        let n_losses = inherited.map_or(0, |it| it.count) as usize;
        self.losses.extend(std::iter::repeat_n(past, n_losses));
    }

    /// What a successor has to know.
    pub fn recent(&self, now: Duration) -> model::RecentLosses {
        let n_recent = self.losses.iter().filter(|it| now < it.last_contact_at + MEMORY).count();
        let watched_ms = self.watched(now).as_millis() as u64;
        model::RecentLosses { count: n_recent as u32, watched_ms }
    }

    /// How long losses have been taken note of, as far as they are remembered.
    fn watched(&self, now: Duration) -> Duration {
        self.began.map_or(MEMORY, |it| now.saturating_sub(it)).min(MEMORY)
    }

    /// Takes in a loss.
    pub fn record(
        &mut self,
        last_contact_at: Duration,
        tasks: Vec<task_key::TaskKey>,
        now: Duration,
    ) {
        self.losses.retain(|it| now < it.last_contact_at + MEMORY);
        self.losses.push_back(PastLoss { last_contact_at, tasks });
    }

    /// Chance that `task` was struck although it crashes nothing, by what else was lost.
    pub fn background_probability(&self, task: task_key::TaskKey, beside: LossContext) -> f64 {
        let is_recent = |it: &&PastLoss| beside.now < it.last_contact_at + MEMORY;
        let others = || self.losses.iter().filter(is_recent).filter(|it| !it.tasks.contains(&task));
        let n_together = others()
            .filter(|it| may_share_cause(it.last_contact_at, beside.last_contact_at))
            .count();
        let n_workers = beside.n_workers.max(2) as f64;
        let together = (n_together + beside.n_silent) as f64 / (n_workers - 1.0);
        let worker_seconds = n_workers * self.watched(beside.now).as_secs_f64().max(1.0);
        // If the task crashes nothing, what has struck it before tells of the rate like any other loss.
        let seen = others().count() as f64 + beside.n_own_losses as f64 + ASSUMED;
        // A few losses tell the rate to a deviation only; taken too low, it gives up work that was struck
        // by chance.
        let rate = (seen + seen.sqrt()) / worker_seconds;
        let by_rate = 1.0 - (-rate * beside.exposure.as_secs_f64()).exp();
        together.max(by_rate).min(1.0)
    }
}

/// Whether two workers may have been lost by one cause, by when each was last heard of.
pub fn may_share_cause(one: Duration, other: Duration) -> bool {
    one.abs_diff(other) <= TOGETHER
}
