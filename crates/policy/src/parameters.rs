//! Bounds and weights of the policy, derived from the configuration.

use std::time::Duration;

use almondpass_schema::model;

/// Time allowed for a stop, from the decision to the report that all accelerators are free: one poll
/// of the worker and one call, with a margin. At most a quarter of the reclaim bound is used for it.
const STOP_MARGIN: Duration = Duration::from_secs(2);
/// Blocks reserved for gangs at a time if the objective weighs fragmentation only.
const MAX_GANG_RESERVATIONS: f64 = 6.0;

/// Bounds and weights of the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PolicyParameters {
    /// Time within which a claimed guarantee holds its accelerators, checkpoints of victims included.
    pub(crate) reclaim_bound: Duration,
    /// Time for a checkpoint before a stop; leaves `stop_margin` of the reclaim bound for the stop.
    pub(crate) checkpoint_grace: Duration,
    /// Time allowed for the stop itself.
    pub(crate) stop_margin: Duration,
    /// Time within which urgent work starts.
    pub(crate) urgent_start_bound: Duration,
    /// Waiting time that raises the priority of work by one.
    pub(crate) ageing_step: Duration,
    /// Time after which a waiting gang is overdue.
    pub(crate) gang_wait: Duration,
    /// Multiple of the run limit of a class at which a run is stopped; at least 1.
    pub(crate) overrun_factor: f64,
    /// Weight of fragmentation relative to completion time, 0 to 1.
    pub(crate) fragmentation_weight: f64,
}

impl PolicyParameters {
    pub(crate) fn new(config: &model::ConfigDocument) -> PolicyParameters {
        let bounds = &config.bounds;
        let margin = STOP_MARGIN.min(bounds.reclaim.0 / 4);
        let weights = &config.objective;
        let sum = weights.completion_time + weights.fragmentation;
        let fragmentation = if 0.0 < sum { weights.fragmentation / sum } else { 0.5 };
        PolicyParameters {
            reclaim_bound: bounds.reclaim.0,
            checkpoint_grace: bounds.checkpoint_grace.0.min(bounds.reclaim.0 - margin),
            stop_margin: margin,
            urgent_start_bound: bounds.urgent_start.0,
            ageing_step: bounds.ageing_step.0.max(Duration::from_millis(1)),
            gang_wait: bounds.gang_wait.0,
            overrun_factor: bounds.overrun.max(1.0),
            fragmentation_weight: fragmentation.clamp(0.0, 1.0),
        }
    }

    /// How long a gang waits before a block is reserved for it: not at all if only fragmentation
    /// counts, since the later a block is reserved the later it becomes free.
    pub(crate) fn gang_reservation_delay(&self) -> Duration {
        self.gang_wait.mul_f64((1.0 - self.fragmentation_weight) / 2.0)
    }

    /// Blocks reserved for gangs at a time. Each reservation keeps accelerators idle, which costs
    /// completion time.
    pub(crate) fn max_gang_reservations(&self) -> usize {
        1 + ((MAX_GANG_RESERVATIONS - 1.0) * self.fragmentation_weight) as usize
    }

    /// Longest time that work of a class can run, given the run limit of the class: longer runs are
    /// stopped.
    pub(crate) fn max_run_time(&self, run_limit: Duration) -> Duration {
        run_limit.mul_f64(self.overrun_factor) + self.checkpoint_grace + self.stop_margin
    }

    /// Time for the checkpoint of a victim of urgent work: at most half of the urgent start bound.
    pub(crate) fn urgent_grace(&self) -> Duration {
        self.checkpoint_grace.min(self.urgent_start_bound / 2)
    }
}
