//! The configuration's bounds and weights, as the core uses them.

use std::time::Duration;

use almondpass_schema::model;

/// What a stop may take from the decision to the report that all is free: a poll of the worker
/// and a call, with room. Never more than a quarter of the bound.
const STOP_MARGIN: Duration = Duration::from_secs(2);
/// Blocks cleared at a time where only fragmentation counts.
const MOST_CLEARINGS: f64 = 6.0;

/// Bounds and weights in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PolicyParameters {
    pub(crate) reclaim_bound: Duration,
    /// Time for a checkpoint that still leaves time for the stop.
    pub(crate) checkpoint_grace: Duration,
    pub(crate) stop_margin: Duration,
    pub(crate) urgent_start_bound: Duration,
    pub(crate) ageing_step: Duration,
    pub(crate) gang_wait: Duration,
    pub(crate) overrun_factor: f64,
    /// Weight of fragmentation against completion time, 0 to 1.
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

    /// How long a gang waits before a block is cleared for it: at once where fragmentation counts
    /// most, since a block takes the longer to open the later it is begun.
    pub(crate) fn gang_reservation_delay(&self) -> Duration {
        self.gang_wait.mul_f64((1.0 - self.fragmentation_weight) / 2.0)
    }

    /// Blocks cleared at a time. Each holds accelerators back, which costs completion time.
    pub(crate) fn max_gang_reservations(&self) -> usize {
        1 + ((MOST_CLEARINGS - 1.0) * self.fragmentation_weight) as usize
    }

    /// A run that is never exceeded: longer ones are stopped.
    pub(crate) fn max_run_time(&self, longest: Duration) -> Duration {
        longest.mul_f64(self.overrun_factor) + self.checkpoint_grace + self.stop_margin
    }

    /// What a stop for urgent work may take of its start bound.
    pub(crate) fn urgent_grace(&self) -> Duration {
        self.checkpoint_grace.min(self.urgent_start_bound / 2)
    }
}
