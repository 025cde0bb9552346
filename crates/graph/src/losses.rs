//! Lost workers, and the probability that each task that ran on one of them caused its loss.
//!
//! The cause of a loss is mostly uncertain. A worker that was leaving, or that lost power together with
//! others, says little about its tasks; a silent worker may still be alive; of several tasks at most one
//! is the cause, most likely one that has lost workers before. So each loss is recorded for each of
//! these tasks with the probability that the task lost its worker by chance. A job is given up once the
//! losses of one of its tasks are too improbable to be chance.

use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::core;
use crate::suspicion;
use crate::task_key;

/// Maximum number of tasks of a lost worker that its log line names.
const MAX_LOGGED_TASKS: usize = 32;

/// Probability that a silent worker is alive although it is no longer in the worker list.
const SILENT_ALIVE_PROBABILITY: f64 = 0.2;

/// Probability that a silent worker is alive while its entry in the worker list is still updated, so that
/// it has contact with others.
const CUT_OFF_ALIVE_PROBABILITY: f64 = 0.5;

/// Probability that a worker was lost before it received a start that it has not confirmed.
const UNSTARTED_PROBABILITY: f64 = 0.2;

/// Weight of a task as the possible cause of a loss, next to a task under which more workers were lost
/// before. Tasks with as many losses or more have weight 1.
const FEWER_LOSSES_WEIGHT: f64 = 0.1;

/// Probability that a loss was not caused by a task that ran next to a suspect.
const NEXT_TO_SUSPECT_PROBABILITY: f64 = 0.9;

/// How the loss of a worker was detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossEvidence {
    /// Another worker answers at its address.
    Replaced,
    /// A later incarnation of the worker answers.
    Restarted,
    /// The worker has been silent for longer than anything on it may run, and is no longer in the worker
    /// list.
    Silent,
    /// The worker has been silent for as long, but is still in the worker list: more likely only this
    /// scheduler has no contact with it.
    CutOff,
}

impl LossEvidence {
    /// A short name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            LossEvidence::Replaced => "replaced",
            LossEvidence::Restarted => "restarted",
            LossEvidence::Silent => "silent",
            LossEvidence::CutOff => "cut off",
        }
    }

    /// Probability that the worker has not crashed.
    fn survival_probability(self) -> f64 {
        match self {
            LossEvidence::Replaced | LossEvidence::Restarted => 0.0,
            LossEvidence::Silent => SILENT_ALIVE_PROBABILITY,
            LossEvidence::CutOff => CUT_OFF_ALIVE_PROBABILITY,
        }
    }
}

/// A run on a worker that was lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LostRun {
    /// The task.
    pub task: task_key::TaskKey,
    /// The unit that the task is placed with; all members of a gang are lost together.
    pub unit: task_key::UnitKey,
    /// The attempt that was running.
    pub attempt: u32,
    /// Time from the start of the run until the loss was recorded.
    pub ran: Duration,
    /// Whether the worker had confirmed the run.
    pub is_confirmed: bool,
    /// Whether the task was a suspect before this loss.
    pub is_suspect: bool,
    /// Number of workers lost under the task before.
    pub n_losses: usize,
    /// Number of workers on which the unit ran.
    pub n_unit_workers: usize,
    /// Probability that other losses explain this one, at any time of the run, estimated when the worker
    /// was lost.
    pub background_probability: f64,
    /// Probability that other losses explain a loss within the time of the longest known run of the task,
    /// this one included.
    pub early_background_probability: f64,
    /// Share of the expected run time that had passed at the loss. A worker is cut off at any time of a
    /// run with equal probability, so the probability of an early one is in proportion to this share.
    pub run_share_at_loss: f64,
    /// Upper bound of the time from the start of the run to the loss; `None` where it can't be compared
    /// with that of other runs.
    pub latest_loss_offset: Option<Duration>,
}

/// Counts for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LossCounts {
    /// How the loss was detected, for each lost worker.
    pub evidence: Vec<LossEvidence>,
    /// Jobs that were given up because workers crash under a task of theirs.
    pub n_given_up: u64,
}

impl core::PoolCore {
    /// Records the loss of a worker, and for each task in `runs` the probability that the task did not
    /// cause it.
    pub(crate) fn record_worker_loss(
        &mut self,
        worker: &ids::WorkerId,
        evidence: LossEvidence,
        runs: &[task_key::TaskKey],
        now: Duration,
    ) {
        let runs = self.lost_runs(worker, runs, now);
        self.log_loss(worker, evidence, &runs, now);
        self.loss_counts.evidence.push(evidence);
        let Some(record) = self.workers.get(worker) else { return };
        // A worker that is leaving may stop earlier than it has announced.
        if record.leaves_at.is_some() {
            return;
        }
        let last_contact_at = record.last_contact_at;
        if !is_explained(&runs) {
            let tasks = runs.iter().map(|it| it.task).collect();
            self.loss_history.record(last_contact_at, tasks, now);
        }
        self.record_losses(worker, evidence, &runs, now);
        if let Some(record) = self.workers.get_mut(worker) {
            record.lost_runs = runs;
        }
    }

    /// Records that an incarnation of a worker has certainly ended, with `runs` on it.
    pub(crate) fn incarnation_ended(
        &mut self,
        worker: &ids::WorkerId,
        evidence: LossEvidence,
        runs: &[task_key::TaskKey],
        now: Duration,
    ) {
        let was_lost = self.workers.get(worker).is_some_and(|it| !it.lost_runs.is_empty());
        self.update_loss_evidence(worker, evidence, now);
        if !was_lost || !runs.is_empty() {
            self.record_worker_loss(worker, evidence, runs, now);
        }
    }

    /// Records the loss of a silent worker once more after better evidence of it: its tasks are charged
    /// with a lower probability of chance.
    pub(crate) fn update_loss_evidence(
        &mut self,
        worker: &ids::WorkerId,
        evidence: LossEvidence,
        now: Duration,
    ) {
        let Some(record) = self.workers.get_mut(worker) else { return };
        let runs = match evidence {
            LossEvidence::Silent | LossEvidence::CutOff => record.lost_runs.clone(),
            LossEvidence::Replaced | LossEvidence::Restarted => {
                std::mem::take(&mut record.lost_runs)
            }
        };
        if !runs.is_empty() {
            tracing::info!(
                worker,
                sign = evidence.name(),
                n_runs = runs.len(),
                "better evidence for the loss of a worker"
            );
            self.record_losses(worker, evidence, &runs, now);
        }
    }

    /// Withdraws the loss recorded for an attempt, as its worker lists the attempt and so is alive.
    /// Returns whether a loss was recorded.
    pub(crate) fn withdraw_loss(&mut self, key: task_key::TaskKey, attempt: u32) -> bool {
        let Some(task) = self.task_record_mut(key) else { return false };
        let is_changed = task.suspicion.withdraw_loss(attempt);
        if is_changed {
            tracing::info!(
                job = format_args!("{:016x}", key.graph),
                task = %key,
                attempt,
                is_suspect = task.suspicion.is_suspect(),
                "loss is not held against the task any more: its worker lives"
            );
        }
        is_changed
    }

    /// Begins to count losses, starting from those that an earlier scheduler saw recently.
    pub fn restore_loss_history(&mut self, inherited: Option<&model::RecentLosses>, now: Duration) {
        self.loss_history.begin(inherited, now);
    }

    /// Losses within the time for which they are remembered, for a successor.
    pub fn recent_losses(&self, now: Duration) -> model::RecentLosses {
        self.loss_history.recent(now)
    }

    /// Returns the counts since the last call.
    pub fn take_loss_counts(&mut self) -> LossCounts {
        std::mem::take(&mut self.loss_counts)
    }

    fn lost_runs(
        &self,
        worker: &ids::WorkerId,
        runs: &[task_key::TaskKey],
        now: Duration,
    ) -> Vec<LostRun> {
        let concurrent = self.concurrent_losses(worker, now);
        let lost = runs.iter().filter_map(|key| {
            let job = self.jobs.get(&key.graph)?;
            let task = job.task(*key)?;
            let run = task.run.as_ref()?;
            let latest_loss_offset = job
                .has_comparable_run_time(*key)
                .then(|| concurrent.lost_by.saturating_sub(run.tracked_since));
            let longest = latest_loss_offset.map(|it| task.suspicion.longest_run().max(it));
            let exposure = self.exposure(*key, now);
            let early_exposure = longest.map_or(exposure, |it| it.min(exposure));
            Some(LostRun {
                task: *key,
                unit: job.unit_of(*key)?,
                attempt: run.attempt,
                ran: now.saturating_sub(run.tracked_since),
                is_confirmed: run.is_confirmed,
                is_suspect: task.suspicion.is_suspect(),
                n_losses: task.suspicion.losses().len(),
                n_unit_workers: self.n_unit_workers(*key),
                background_probability: self.background_probability(
                    &concurrent,
                    *key,
                    exposure,
                    now,
                ),
                early_background_probability: self.background_probability(
                    &concurrent,
                    *key,
                    early_exposure,
                    now,
                ),
                run_share_at_loss: self.run_share_at_loss(&concurrent, *key, now),
                latest_loss_offset,
            })
        });
        lost.collect()
    }

    /// Whether a task is a suspect.
    pub(crate) fn is_suspect(&self, key: task_key::TaskKey) -> bool {
        let task = self.jobs.get(&key.graph).and_then(|it| it.task(key));
        task.is_some_and(|it| it.suspicion.is_suspect())
    }

    /// Whether a task may only be started in an isolated run.
    pub(crate) fn needs_isolation(&self, key: task_key::TaskKey) -> bool {
        let task = self.jobs.get(&key.graph).and_then(|it| it.task(key));
        task.is_some_and(|it| it.suspicion.needs_isolation())
    }

    fn record_losses(
        &mut self,
        worker: &ids::WorkerId,
        evidence: LossEvidence,
        runs: &[LostRun],
        now: Duration,
    ) {
        for run in runs {
            let loss = loss_of_run(run, runs, evidence);
            self.record_loss(run.task, loss, now);
            self.avoid_worker(run.task, worker);
            if evidence == LossEvidence::CutOff {
                self.delay_restart(run.task, now);
            }
        }
    }

    /// Records a loss for a task, and gives its job up if the task is proven to crash its workers.
    pub(crate) fn record_loss(
        &mut self,
        key: task_key::TaskKey,
        loss: suspicion::TaskLoss,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get_mut(&key.graph).filter(|it| !it.has_ended()) else { return };
        let Some(task) = job.task_mut(key).filter(|it| !it.done) else { return };
        task.suspicion.record_loss(loss);
        let is_proven = task.suspicion.is_proven_to_crash();
        if task.suspicion.is_suspect() {
            tracing::warn!(
                job = format_args!("{:016x}", key.graph),
                task = %key,
                attempt = loss.attempt,
                odds = loss.early_probability,
                surroundings = loss.anytime_probability,
                n_losses = task.suspicion.losses().len(),
                all_odds = task.suspicion.early_probability(),
                "task is under suspicion of crashing its workers"
            );
        }
        if is_proven {
            self.give_up(key, now);
        }
        self.mark_task_changed(key);
    }

    fn give_up(&mut self, key: task_key::TaskKey, now: Duration) {
        let Some(job) = self.jobs.get_mut(&key.graph) else { return };
        let Some(task) = job.task(key) else { return };
        let attempts = task.suspicion.losses().iter().map(|it| it.attempt).collect::<Vec<_>>();
        tracing::warn!(
            job = format_args!("{:016x}", key.graph),
            task = %key,
            ?attempts,
            all_odds = task.suspicion.early_probability(),
            "job is given up: workers crash under its task"
        );
        job.state = model::GraphState::Failed;
        job.failure = Some(model::FailureCause::CrashesWorkers);
        self.loss_counts.n_given_up += 1;
        self.finish(key.graph, now);
        self.stop_all(key.graph, now);
    }

    /// Logs what ran on a lost worker, and for how long: only a comparison of several losses shows
    /// whether a task causes them.
    fn log_loss(
        &self,
        worker: &ids::WorkerId,
        evidence: LossEvidence,
        runs: &[LostRun],
        now: Duration,
    ) {
        let named = runs.iter().take(MAX_LOGGED_TASKS);
        let named = named.map(|it| format!("{}#{} {} ms", it.task, it.attempt, it.ran.as_millis()));
        let tasks = named.collect::<Vec<_>>().join(", ");
        let record = self.workers.get(worker);
        let silent_ms = record.map(|it| now.saturating_sub(it.last_contact_at).as_millis() as u64);
        let lapsed_ms =
            record.map(|it| now.saturating_sub(it.clock.lapses_at()).as_millis() as u64);
        tracing::info!(
            worker,
            sign = evidence.name(),
            n_runs = runs.len(),
            silent_ms,
            lapsed_ms,
            leaves = record.is_some_and(|it| it.leaves_at.is_some()),
            tasks,
            "worker is lost"
        );
    }
}

/// Whether a suspect explains a loss: only one unit ran there, and it is a suspect.
fn is_explained(runs: &[LostRun]) -> bool {
    let Some(first) = runs.first() else { return false };
    runs.iter().all(|it| it.unit == first.unit) && runs.iter().any(|it| it.is_suspect)
}

/// The loss to record for a run on a lost worker.
fn loss_of_run(run: &LostRun, runs: &[LostRun], evidence: LossEvidence) -> suspicion::TaskLoss {
    let others = || runs.iter().filter(|it| it.unit != run.unit);
    let n_suspects = others().filter(|it| it.is_suspect).count();
    let weight = |it: &LostRun| if it.n_losses < run.n_losses { FEWER_LOSSES_WEIGHT } else { 1.0 };
    let others_weight = others().map(weight).sum::<f64>();
    let is_next_to_suspect = !run.is_suspect && n_suspects > 0;
    let by_others = others_weight / (others_weight + 1.0);
    let unstarted = if run.is_confirmed { 0.0 } else { UNSTARTED_PROBABILITY };
    let next_to_suspect = if is_next_to_suspect { NEXT_TO_SUSPECT_PROBABILITY } else { 0.0 };
    let cut_off = if evidence == LossEvidence::CutOff { CUT_OFF_ALIVE_PROBABILITY } else { 0.0 };
    let by_evidence = evidence.survival_probability() * run.run_share_at_loss;
    // A gang on several workers loses one of them by chance that much more often, and any of its tasks would
    // be charged. Only the first loss is that likely: later ones have to strike the same task.
    let n_chances = if run.n_losses == 0 { run.n_unit_workers.max(1) as f64 } else { 1.0 };
    let by_chance = run.early_background_probability.max(suspicion::MIN_PROBABILITY) * n_chances;
    let probabilities = [by_others, by_evidence, unstarted, next_to_suspect];
    suspicion::TaskLoss {
        attempt: run.attempt,
        early_probability: probabilities.into_iter().fold(by_chance.min(1.0), f64::max),
        anytime_probability: run.background_probability.max(next_to_suspect).max(cut_off),
        latest_loss_offset: run.latest_loss_offset,
    }
}
