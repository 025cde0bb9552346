//! How far a task is under suspicion of crashing the workers that start it.
//!
//! A task that crashes its worker leaves nobody to list its end, so that no limit of attempts bounds how
//! often it starts: one notices by workers that are lost one after the other, each with all that runs
//! there. What is left to go by is that workers are lost under it, and how likely that was by chance.

use std::time::Duration;

/// Chance at which a loss counts at least: no single one proves anything.
pub const MIN_PROBABILITY: f64 = 0.01;

/// A task is given up once the chance of all that has struck it is lower than this, after two losses and
/// after more, whenever in its runs they came. Two losses have to be by themselves, under a task that ran alone,
/// while hardly any other worker was lost. The more there are, the less has to be known of each: the platform
/// lets a task be started twice more when three workers have crashed under it, and of the first losses, amid an
/// outage, little may be known, or nothing.
const PROOF_ODDS: [f64; 2] = [2.0 * MIN_PROBABILITY * MIN_PROBABILITY, 0.001];

/// The same of the chance that all struck it so early, after four losses and after more. Among many tasks some are
/// struck early in a row, so that it has to be lower.
const EARLY_PROOF_ODDS: [f64; 2] = [0.000_001, 0.000_1];

/// Up to this chance what else was lost does not explain a loss. Above it, as when a rack loses power, a
/// loss says so little that keeping what ran there apart would cost more than it tells.
const UNEXPLAINED_ODDS: f64 = 0.25;

/// Up to this chance hardly anything else explains a loss; a task with a lower one is nearly proved.
const STRONG_ODDS: f64 = 0.1;

/// A task that crashes its workers does so at a like moment of each run: workers differ in pace by up to this
/// factor...
const MOMENT_SPREAD: f64 = 1.5;

/// ...and it is known up to this when a run began, and when its worker was lost.
const MOMENT_SLACK: Duration = Duration::from_millis(250);

/// Losses of any kind after which the starts of a task are trials.
const LOSSES_TO_TRIAL: usize = 2;

/// Most losses that are kept of a task, so that its row stays small: those that speak most against it.
const MOST_KEPT: usize = 7;

/// A worker that was lost under a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskLoss {
    /// The attempt that ran there.
    pub attempt: u32,
    /// Chance that a task that crashes nothing was struck as it was, so early in its run: by what else was
    /// lost, by what else ran there, and by how sure it is that the worker crashed.
    pub early_probability: f64,
    /// Chance that what else was lost struck it at any time of its run.
    pub anytime_probability: f64,
    /// How far into its run the worker was lost at the latest; nothing where that can't be compared with
    /// other runs.
    pub latest_loss_offset: Option<Duration>,
}

/// What is held against a task.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskSuspicion {
    losses: Vec<TaskLoss>,
    /// The longest that a run of it was seen to go on.
    survived: Duration,
    /// The attempt of a start that is on record: should the scheduler go, its successor counts the start
    /// unless it hears of its end.
    pub saved_attempt: Option<u32>,
    /// The same as an earlier scheduler has left it.
    pub inherited_attempt: Option<u32>,
}

impl TaskSuspicion {
    /// What was saved of a task.
    pub fn restored(losses: Vec<TaskLoss>, survived: Duration) -> TaskSuspicion {
        TaskSuspicion { losses, survived, ..TaskSuspicion::default() }
    }

    /// What is held against it.
    pub fn losses(&self) -> &[TaskLoss] {
        &self.losses
    }

    /// The longest that a run of it was seen to go on.
    pub fn longest_survived_run(&self) -> Duration {
        self.survived
    }

    /// A run of it was seen to go on for so long. It is not what ended others much sooner.
    pub fn record_survival(&mut self, ran: Duration) {
        self.survived = self.survived.max(ran);
    }

    /// Whether something is held against it that nothing else explains.
    pub fn is_suspect(&self) -> bool {
        self.n_unexplained() > 0
    }

    /// Whether its starts are trials: apart from other work, and on record. What was struck several times,
    /// amid whatever, runs alone at last; beside others each further loss would say as little.
    pub fn needs_isolation(&self) -> bool {
        self.is_suspect() || self.counted().count() >= LOSSES_TO_TRIAL
    }

    /// Whether more than one loss speaks against it, or one under it alone.
    pub fn is_strong_suspect(&self) -> bool {
        self.n_unexplained() > 1 || (self.is_suspect() && self.early_probability() <= STRONG_ODDS)
    }

    /// Whether it is taken to crash the workers that start it.
    pub fn is_proven_to_crash(&self) -> bool {
        let n_losses = self.counted().count();
        let is_below = |odds: f64, bounds: [f64; 2], least_losses: usize| {
            let n_more = n_losses.checked_sub(least_losses);
            n_more.is_some_and(|it| odds < bounds[it.min(bounds.len() - 1)])
        };
        let at_any_time =
            self.counted().map(|it| it.early_probability.max(it.anytime_probability)).product();
        is_below(at_any_time, PROOF_ODDS, 2)
            || is_below(self.early_probability(), EARLY_PROOF_ODDS, 4)
    }

    /// The longest that any run of it has lasted, as far as is known.
    pub fn longest_run(&self) -> Duration {
        let struck = self.counted().filter_map(|it| it.latest_loss_offset).max();
        self.survived.max(struck.unwrap_or_default())
    }

    fn n_unexplained(&self) -> usize {
        self.counted().filter(|it| it.anytime_probability <= UNEXPLAINED_ODDS).count()
    }

    /// The losses that may be its doing: no run of it was seen to go on far beyond the moment of theirs.
    fn counted(&self) -> impl Iterator<Item = &TaskLoss> {
        let latest = |it: Duration| it.mul_f64(MOMENT_SPREAD) + MOMENT_SLACK;
        self.losses
            .iter()
            .filter(move |it| it.latest_loss_offset.is_none_or(|by| latest(by) >= self.survived))
    }

    /// Chance of all that has struck it, if it crashes nothing.
    pub fn early_probability(&self) -> f64 {
        self.counted().map(|it| it.early_probability).product()
    }

    /// Takes in a loss. One of the same attempt counts once, by what is known best.
    pub fn record_loss(&mut self, loss: TaskLoss) {
        if let Some(known) = self.losses.iter_mut().find(|it| it.attempt == loss.attempt) {
            known.early_probability = known.early_probability.min(loss.early_probability);
            known.anytime_probability = known.anytime_probability.min(loss.anytime_probability);
            known.latest_loss_offset = known.latest_loss_offset.or(loss.latest_loss_offset);
            return;
        }
        self.losses.push(loss);
        if self.losses.len() > MOST_KEPT {
            let weakest = (0..self.losses.len()).max_by(|one, other| {
                self.losses[*one]
                    .early_probability
                    .total_cmp(&self.losses[*other].early_probability)
            });
            weakest.map(|it| self.losses.remove(it));
        }
    }

    /// Takes back what an attempt was charged with, as its worker lives. Tells whether there was anything.
    pub fn withdraw_loss(&mut self, attempt: u32) -> bool {
        let n_before = self.losses.len();
        self.losses.retain(|it| it.attempt != attempt);
        self.losses.len() < n_before
    }

    /// Takes the start of an attempt off the record, as its end is known. Tells whether it was there.
    pub fn forget_attempt(&mut self, attempt: u32) -> bool {
        let before = (self.saved_attempt, self.inherited_attempt);
        self.saved_attempt = self.saved_attempt.filter(|it| *it != attempt);
        self.inherited_attempt = self.inherited_attempt.filter(|it| *it != attempt);
        before != (self.saved_attempt, self.inherited_attempt)
    }
}
