//! Time objectives of jobs, from the settings of their class and learned run times.

use std::time::Duration;

use almondpass_schema::model;

use crate::catalog;
use crate::core;
use crate::job;

/// Slack of a job whose class has no objective or is no longer configured: twice the run time of 5 s that is
/// assumed for an unknown class.
const UNKNOWN_SLACK: Duration = Duration::from_secs(10);

/// Length of the longest chain of dependent steps of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepChain {
    /// Steps in the longest chain.
    pub n_steps: u32,
    /// Unfinished steps in the chain that has most of them.
    pub n_unfinished: u32,
}

impl StepChain {
    /// Finds the longest chain in `steps`; dependencies on later steps are ignored.
    pub fn of(steps: &[job::StepRecord]) -> StepChain {
        StepChain::of_steps(steps.iter().map(|it| (it.spec.as_ref(), it.is_done())))
    }

    /// The same for a job. A timed job has the chain of one run.
    pub fn of_job(job: &job::JobRecord) -> StepChain {
        if job.schedule.is_none() {
            return StepChain::of(&job.steps);
        }
        StepChain::of_steps(job.graph_steps.iter().map(|it| (it.as_ref(), false)))
    }

    /// The same for a job that has not started.
    pub fn of_graph(steps: &[model::GraphStep]) -> StepChain {
        StepChain::of_steps(steps.iter().map(|it| (it, false)))
    }

    /// Finds the longest chain in steps, each with whether it is done.
    fn of_steps<'a>(steps: impl Iterator<Item = (&'a model::GraphStep, bool)>) -> StepChain {
        let mut chains = Vec::<StepChain>::new();
        for (step, is_done) in steps {
            let before = step.after.iter().filter_map(|it| chains.get(*it as usize));
            let longest = before.copied().fold(StepChain::default(), StepChain::longest);
            chains.push(StepChain {
                n_steps: longest.n_steps + 1,
                n_unfinished: longest.n_unfinished + u32::from(!is_done),
            });
        }
        chains.into_iter().fold(StepChain::default(), StepChain::longest)
    }

    fn longest(self, other: StepChain) -> StepChain {
        StepChain {
            n_steps: self.n_steps.max(other.n_steps),
            n_unfinished: self.n_unfinished.max(other.n_unfinished),
        }
    }
}

/// Steps in the longest chain of steps that depend on the step `index`, without that step.
pub fn steps_after(steps: &[job::StepRecord], index: usize) -> u32 {
    let mut distances = vec![None; steps.len()];
    for (at, step) in steps.iter().enumerate().skip(index) {
        let before = step.spec.after.iter().filter(|it| (**it as usize) < at);
        let farthest = before.filter_map(|it| distances[*it as usize]).max();
        distances[at] = if at == index { Some(0) } else { farthest.map(|it: u32| it + 1) };
    }
    distances.into_iter().flatten().max().unwrap_or_default()
}

/// Time from submission to the end within which a job is in time, if each step takes `step`.
pub fn objective(class: &catalog::ClassSpec, chain: StepChain, step: Duration) -> Duration {
    (step * chain.n_steps).mul_f64(class.stretch) + class.target_latency
}

/// Longest total wait with which a job is still in time, if each step takes `step`.
pub fn slack(class: &catalog::ClassSpec, chain: StepChain, step: Duration) -> Duration {
    objective(class, chain, step).saturating_sub(step * chain.n_steps)
}

impl core::PoolCore {
    /// Class of a job, if it is configured and has an objective.
    pub(crate) fn class_with_objective(&self, job: &job::JobRecord) -> Option<&catalog::ClassSpec> {
        self.catalog.classes.get(&job.class).filter(|it| it.stretch > 0.0)
    }

    /// Longest total wait with which a job is still in time, by the learned run time of its class.
    pub(crate) fn slack(&self, job: &job::JobRecord) -> Duration {
        let Some(class) = self.class_with_objective(job) else { return UNKNOWN_SLACK };
        slack(class, StepChain::of_job(job), self.run_times.mean(&job.class))
    }

    /// How long a unit waits for a place near its data and gang. Elsewhere it takes `remote_factor` times as
    /// long, which costs `remote_factor` - 1 mean run times; after a wait of that length, starting anywhere
    /// at once would have been as fast. Half of this wait served 0.014 of worth less (40 paired days, error
    /// 0.005), one and a half times this wait 0.007 less (error 0.006).
    pub(crate) fn locality_wait(&self, job: &job::JobRecord) -> Duration {
        let lost = (self.timing.remote_factor - 1.0).max(0.0);
        self.run_times.mean(&job.class).mul_f64(lost)
    }
}
