//! When a job is in time, by what its class declares and by learned run times.

use std::time::Duration;

use crate::catalog;
use crate::core;
use crate::job;

/// Slack of a job whose class promises nothing, or is no longer configured: two of the 5 s that a run
/// of an unknown class is taken to last.
const UNKNOWN_SLACK: Duration = Duration::from_secs(10);

/// Steps of a job that come one after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepChain {
    /// How many there are in the longest chain.
    pub n_steps: u32,
    /// How many there are in the longest chain of those that are not done.
    pub n_left: u32,
}

impl StepChain {
    /// The longest chain of `steps`, each of which waits only for earlier ones.
    pub fn of(steps: &[job::StepRecord]) -> StepChain {
        let mut chains = Vec::<StepChain>::with_capacity(steps.len());
        for step in steps {
            let before = step.spec.after.iter().filter_map(|it| chains.get(*it as usize));
            let longest = before.copied().fold(StepChain::default(), StepChain::longest);
            chains.push(StepChain {
                n_steps: longest.n_steps + 1,
                n_left: longest.n_left + u32::from(!step.is_done()),
            });
        }
        chains.into_iter().fold(StepChain::default(), StepChain::longest)
    }

    fn longest(self, other: StepChain) -> StepChain {
        StepChain {
            n_steps: self.n_steps.max(other.n_steps),
            n_left: self.n_left.max(other.n_left),
        }
    }
}

/// Time from handing in to the end within which a job is in time, if each step takes `step`.
pub fn objective(class: &catalog::ClassSpec, chain: StepChain, step: Duration) -> Duration {
    (step * chain.n_steps).mul_f64(class.stretch) + class.target_latency
}

/// How long a job may wait in all and be in time.
pub fn slack(class: &catalog::ClassSpec, chain: StepChain, step: Duration) -> Duration {
    objective(class, chain, step).saturating_sub(step * chain.n_steps)
}

impl core::PoolCore {
    /// The class of a job, where the configuration has it and it promises a time.
    pub(crate) fn class_with_objective(&self, job: &job::JobRecord) -> Option<&catalog::ClassSpec> {
        self.catalog.classes.get(&job.class).filter(|it| it.stretch > 0.0)
    }

    /// How long a job may wait in all and be in time, by the learned run time of its class.
    pub(crate) fn slack(&self, job: &job::JobRecord) -> Duration {
        let Some(class) = self.class_with_objective(job) else { return UNKNOWN_SLACK };
        slack(class, StepChain::of(&job.steps), self.run_times.mean(&job.class))
    }

    /// How long a unit waits for a place where it does not take longer. Elsewhere it takes
    /// `remote_factor` times as long, which costs it that much less one mean run time: behind such a
    /// wait a place anywhere would have been as soon. Half of it served 0.014 of worth less (40
    /// paired days, error 0.005), half as much again 0.007 less (0.006).
    pub(crate) fn locality_wait(&self, job: &job::JobRecord) -> Duration {
        let lost = (self.timing.remote_factor - 1.0).max(0.0);
        self.run_times.mean(&job.class).mul_f64(lost)
    }
}
