//! Workers that are lost, and what of it is held against the tasks that ran there.
//!
//! Who did it is in doubt, mostly. A worker that was leaving, or lost power beside others, says little
//! about its tasks; one that is silent may live; of several tasks one is to blame at most, and rather one
//! under which a worker was lost before. So each task is charged with a chance, and given up once what
//! has struck it is no chance any more.

use std::collections::BTreeSet;
use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::core;
use crate::loss_history;
use crate::suspicion;
use crate::task_key;

/// Tasks of a lost worker that are named in the log.
const MOST_NAMED: usize = 32;

/// Chance that a worker lives that is silent, and that the list has no more.
const SILENT_ODDS: f64 = 0.2;

/// The same of one that the list still has: others hear of it.
const CUT_OFF_ODDS: f64 = 0.5;

/// Chance that a worker was lost before it took a start that it has not answered.
const UNSTARTED_ODDS: f64 = 0.2;

/// A worker may have been missed first this much behind the moment at which time was taken note of last.
const MISS_SLACK: Duration = Duration::from_millis(100);

/// How likely a task is to have done it under which fewer workers were lost before, as a share.
const LESS_STRUCK_WEIGHT: f64 = 0.1;

/// Chance that a task did nothing while a suspect ran beside it.
const BESIDE_SUSPECT_ODDS: f64 = 0.9;

/// How a worker was found to be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossEvidence {
    /// Another worker answers at its address.
    Replaced,
    /// It answers in a later life.
    Restarted,
    /// It has been silent for longer than everything there may run, and the list has it no more.
    Silent,
    /// It has been silent for as long, but is listed: rather it is cut off from here.
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

    /// Chance that the worker has not crashed.
    fn survival_probability(self) -> f64 {
        match self {
            LossEvidence::Replaced | LossEvidence::Restarted => 0.0,
            LossEvidence::Silent => SILENT_ODDS,
            LossEvidence::CutOff => CUT_OFF_ODDS,
        }
    }
}

/// A run on a worker that was lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LostRun {
    /// The task.
    pub task: task_key::TaskKey,
    /// What it is placed with; the members of a gang share its fate.
    pub unit: task_key::UnitKey,
    /// Its attempt.
    pub attempt: u32,
    /// How long it ran.
    pub ran: Duration,
    /// Whether the worker had confirmed it.
    pub is_confirmed: bool,
    /// Whether the task was under suspicion already.
    pub is_suspect: bool,
    /// Workers that had been lost under it before.
    pub n_losses: usize,
    /// Chance that it was struck by what else was lost, as it looked then.
    pub background_probability: f64,
    /// The same of being struck as early as all its runs were that have ended so, this one included.
    pub early_background_probability: f64,
    /// The share of its run time within which it was struck. What cuts a worker off comes at any time of a
    /// run.
    pub run_share_at_loss: f64,
    /// How far into its run that was at the latest; nothing where that can't be compared with other runs.
    pub latest_loss_offset: Option<Duration>,
}

/// What surrounds the loss of a worker.
struct LossScene<'a> {
    /// When it was last heard of.
    last_contact_at: Duration,
    /// By when it was lost at the latest.
    lost_by: Duration,
    /// What runs on each worker that fell silent at about the same time.
    silent: Vec<&'a BTreeSet<task_key::TaskKey>>,
}

/// Figures for metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LossCounts {
    /// The sign of each worker that was lost.
    pub evidence: Vec<LossEvidence>,
    /// Jobs that were given up.
    pub n_given_up: u64,
}

impl core::PoolCore {
    /// Takes note that a worker is lost with `runs` on it, and holds it against them.
    pub(crate) fn record_worker_loss(
        &mut self,
        worker: &ids::WorkerId,
        sign: LossEvidence,
        runs: &[task_key::TaskKey],
        now: Duration,
    ) {
        let runs = self.lost_runs(worker, runs, now);
        self.log_loss(worker, sign, &runs, now);
        self.loss_counts.evidence.push(sign);
        let Some(record) = self.workers.get(worker) else { return };
        // A worker that leaves may go before the time that it has told.
        if record.leaves_at.is_some() {
            return;
        }
        let last_contact_at = record.last_contact_at;
        if !is_explained(&runs) {
            let tasks = runs.iter().map(|it| it.task).collect();
            self.loss_history.record(last_contact_at, tasks, now);
        }
        self.charge_all(worker, sign, &runs, now);
        if let Some(record) = self.workers.get_mut(worker) {
            record.lost_runs = runs;
        }
    }

    /// Takes note that a life of a worker is surely over.
    pub(crate) fn incarnation_ended(
        &mut self,
        worker: &ids::WorkerId,
        sign: LossEvidence,
        runs: &[task_key::TaskKey],
        now: Duration,
    ) {
        let was_lost = self.workers.get(worker).is_some_and(|it| !it.lost_runs.is_empty());
        self.update_loss_evidence(worker, sign, now);
        if !was_lost || !runs.is_empty() {
            self.record_worker_loss(worker, sign, runs, now);
        }
    }

    /// What is known of a worker that has been silent for long becomes surer: what ran there is charged
    /// with more.
    pub(crate) fn update_loss_evidence(
        &mut self,
        worker: &ids::WorkerId,
        sign: LossEvidence,
        now: Duration,
    ) {
        let Some(record) = self.workers.get_mut(worker) else { return };
        let runs = match sign {
            LossEvidence::Silent | LossEvidence::CutOff => record.lost_runs.clone(),
            LossEvidence::Replaced | LossEvidence::Restarted => {
                std::mem::take(&mut record.lost_runs)
            }
        };
        if !runs.is_empty() {
            tracing::info!(worker, sign = sign.name(), n_runs = runs.len(), "loss is surer");
            self.charge_all(worker, sign, &runs, now);
        }
    }

    /// Takes back what an attempt was charged with: its worker lists it, and lives.
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

    /// Begins to take note of losses, with those that an earlier scheduler has seen lately.
    pub fn restore_loss_history(&mut self, inherited: Option<&model::RecentLosses>, now: Duration) {
        self.loss_history.begin(inherited, now);
    }

    /// The losses of late, for a successor.
    pub fn recent_losses(&self, now: Duration) -> model::RecentLosses {
        self.loss_history.recent(now)
    }

    /// Figures since the last call.
    pub fn take_loss_counts(&mut self) -> LossCounts {
        std::mem::take(&mut self.loss_counts)
    }

    fn lost_runs(
        &self,
        worker: &ids::WorkerId,
        runs: &[task_key::TaskKey],
        now: Duration,
    ) -> Vec<LostRun> {
        let scene = self.scene_of(worker, now);
        let lost = runs.iter().filter_map(|key| {
            let job = self.jobs.get(&key.graph)?;
            let task = job.task(*key)?;
            let run = task.run.as_ref()?;
            let latest_loss_offset = job
                .has_comparable_run_time(*key)
                .then(|| scene.lost_by.saturating_sub(run.tracked_since));
            let longest = latest_loss_offset.map(|it| task.suspicion.longest_run().max(it));
            let exposure = self.exposure(*key, now);
            let early = longest.map_or(exposure, |it| it.min(exposure));
            Some(LostRun {
                task: *key,
                unit: job.unit_of(*key)?,
                attempt: run.attempt,
                ran: now.saturating_sub(run.tracked_since),
                is_confirmed: run.is_confirmed,
                is_suspect: task.suspicion.is_suspect(),
                n_losses: task.suspicion.losses().len(),
                background_probability: self.background_probability(&scene, *key, exposure, now),
                early_background_probability: self.background_probability(&scene, *key, early, now),
                run_share_at_loss: self.run_share_at_loss(&scene, *key, now),
                latest_loss_offset,
            })
        });
        lost.collect()
    }

    /// What surrounds the loss of a worker: the others that fell silent at about the same time, but for those
    /// that a suspect explains.
    fn scene_of(&self, worker: &ids::WorkerId, now: Duration) -> LossScene<'_> {
        let record = self.workers.get(worker);
        let last_contact_at = record.map_or(now, |it| it.last_contact_at);
        let silent_since =
            record.filter(|it| it.n_missed_calls > 0).map(|it| it.silent_since + MISS_SLACK);
        let lost_by = silent_since.map_or(now, |it| it.min(now));
        let silent = self.workers.iter().filter(|(id, it)| {
            *id != worker
                && it.n_missed_calls > 0
                && loss_history::may_share_cause(it.last_contact_at, last_contact_at)
                && !self.has_suspect_alone(it.runs.iter().copied())
        });
        LossScene { last_contact_at, lost_by, silent: silent.map(|(_, it)| &it.runs).collect() }
    }

    /// Chance that a task that is at risk for `exposure` was struck by what else was lost.
    fn background_probability(
        &self,
        scene: &LossScene,
        key: task_key::TaskKey,
        exposure: Duration,
        now: Duration,
    ) -> f64 {
        let silent = scene.silent.iter().filter(|it| !it.contains(&key));
        let beside = loss_history::LossContext {
            now,
            last_contact_at: scene.last_contact_at,
            exposure,
            n_workers: self.workers.len(),
            n_silent: silent.count(),
            n_own_losses: self.n_losses_before(key),
        };
        self.loss_history.background_probability(key, beside)
    }

    /// The share of its run time within which a task was struck.
    fn run_share_at_loss(&self, scene: &LossScene, key: task_key::TaskKey, now: Duration) -> f64 {
        let Some(run) = self.task_run(key) else { return 1.0 };
        let ran = scene.lost_by.saturating_sub(run.tracked_since).as_secs_f64();
        let exposure = self.exposure(key, now).as_secs_f64();
        if exposure > 0.0 { (ran / exposure).min(1.0) } else { 1.0 }
    }

    /// Chance that a task was struck at some time that is not known.
    pub(crate) fn background_probability_untimed(
        &self,
        key: task_key::TaskKey,
        now: Duration,
    ) -> f64 {
        let silent = self.workers.values().filter(|it| it.n_missed_calls > 0);
        let scene = LossScene {
            last_contact_at: now,
            lost_by: now,
            silent: silent.map(|it| &it.runs).collect(),
        };
        self.background_probability(&scene, key, self.exposure(key, now), now)
    }

    /// Workers that were lost under a task before the attempt that is under way.
    fn n_losses_before(&self, key: task_key::TaskKey) -> usize {
        let Some(task) = self.jobs.get(&key.graph).and_then(|it| it.task(key)) else { return 0 };
        let losses = task.suspicion.losses().iter();
        losses.filter(|it| it.attempt != task.attempt).count()
    }

    /// How long a task is at risk: until its end as its pace tells it, or as long as its class takes, or as
    /// it ran. By the shortest, long tasks would be taken for culprits: they are struck most.
    fn exposure(&self, key: task_key::TaskKey, now: Duration) -> Duration {
        let class = self.jobs.get(&key.graph).map(|it| it.class.as_str()).unwrap_or_default();
        let usual = self.run_times.mean(class);
        let Some(run) = self.task_run(key) else { return usual };
        let pace = run.pace.latest().filter(|it| *it > 0.0);
        let whole = pace.map_or(Duration::ZERO, |it| Duration::from_secs_f64(100.0 / it));
        whole.max(usual).max(now.saturating_sub(run.tracked_since))
    }

    /// Whether one unit runs alone, and is under suspicion.
    fn has_suspect_alone(&self, mut runs: impl Iterator<Item = task_key::TaskKey>) -> bool {
        let unit_of = |it: task_key::TaskKey| self.jobs.get(&it.graph)?.unit_of(it);
        let Some(first) = runs.next() else { return false };
        let unit = unit_of(first);
        unit.is_some_and(|it| self.has_suspect(it)) && runs.all(|it| unit_of(it) == unit)
    }

    /// Whether a task is under suspicion.
    pub(crate) fn is_suspect(&self, key: task_key::TaskKey) -> bool {
        let task = self.jobs.get(&key.graph).and_then(|it| it.task(key));
        task.is_some_and(|it| it.suspicion.is_suspect())
    }

    /// Whether the starts of a task are trials.
    pub(crate) fn needs_isolation(&self, key: task_key::TaskKey) -> bool {
        let task = self.jobs.get(&key.graph).and_then(|it| it.task(key));
        task.is_some_and(|it| it.suspicion.needs_isolation())
    }

    fn charge_all(
        &mut self,
        worker: &ids::WorkerId,
        sign: LossEvidence,
        runs: &[LostRun],
        now: Duration,
    ) {
        for run in runs {
            let loss = loss_of_run(run, runs, sign);
            self.record_loss(run.task, loss, now);
            self.avoid_worker(run.task, worker);
            if sign == LossEvidence::CutOff {
                self.delay_restart(run.task, now);
            }
        }
    }

    /// Holds a loss against a task, and gives its job up if there is no doubt left.
    pub(crate) fn record_loss(
        &mut self,
        key: task_key::TaskKey,
        loss: suspicion::TaskLoss,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get_mut(&key.graph).filter(|it| !it.has_ended()) else { return };
        let Some(task) = job.task_mut(key).filter(|it| !it.done) else { return };
        task.suspicion.record_loss(loss);
        let is_proved = task.suspicion.is_proven_to_crash();
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
        if is_proved {
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

    /// Tells what ran there, and for how long: whether workers are lost by what they run shows only by
    /// comparing.
    fn log_loss(
        &self,
        worker: &ids::WorkerId,
        sign: LossEvidence,
        runs: &[LostRun],
        now: Duration,
    ) {
        let named = runs.iter().take(MOST_NAMED);
        let named = named.map(|it| format!("{}#{} {} ms", it.task, it.attempt, it.ran.as_millis()));
        let tasks = named.collect::<Vec<_>>().join(", ");
        let record = self.workers.get(worker);
        let silent_ms = record.map(|it| now.saturating_sub(it.last_contact_at).as_millis() as u64);
        tracing::info!(
            worker,
            sign = sign.name(),
            n_runs = runs.len(),
            silent_ms,
            leaves = record.is_some_and(|it| it.leaves_at.is_some()),
            tasks,
            "worker is lost"
        );
    }
}

/// Whether a loss needs no other explanation: one unit ran there alone, and is under suspicion.
fn is_explained(runs: &[LostRun]) -> bool {
    let Some(first) = runs.first() else { return false };
    runs.iter().all(|it| it.unit == first.unit) && runs.iter().any(|it| it.is_suspect)
}

/// What a run on a lost worker is charged with.
fn loss_of_run(run: &LostRun, runs: &[LostRun], sign: LossEvidence) -> suspicion::TaskLoss {
    let others = || runs.iter().filter(|it| it.unit != run.unit);
    let n_suspects = others().filter(|it| it.is_suspect).count();
    let weight = |it: &LostRun| if it.n_losses < run.n_losses { LESS_STRUCK_WEIGHT } else { 1.0 };
    let rivals = others().map(weight).sum::<f64>();
    let is_beside_suspect = !run.is_suspect && n_suspects > 0;
    let by_others = rivals / (rivals + 1.0);
    let start = if run.is_confirmed { 0.0 } else { UNSTARTED_ODDS };
    let beside = if is_beside_suspect { BESIDE_SUSPECT_ODDS } else { 0.0 };
    let cut_off = if sign == LossEvidence::CutOff { CUT_OFF_ODDS } else { 0.0 };
    let by_sign = sign.survival_probability() * run.run_share_at_loss;
    let chances = [run.early_background_probability, by_others, by_sign, start, beside];
    suspicion::TaskLoss {
        attempt: run.attempt,
        early_probability: chances.into_iter().fold(suspicion::MIN_PROBABILITY, f64::max),
        anytime_probability: run.background_probability.max(beside).max(cut_off),
        latest_loss_offset: run.latest_loss_offset,
    }
}
