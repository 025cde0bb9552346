//! Estimates whether a task crashes the workers that start it.
//!
//! When a task crashes its worker, no worker is left to report its end, so the limit of attempts does
//! not apply to it: worker after worker is lost, each with all that runs there. The only evidence is the
//! number of workers lost under the task, and the probability that these losses were chance.

use std::time::Duration;

use crate::saved_start;

/// Lower bound of the probability of a loss: no single loss is proof.
pub const MIN_PROBABILITY: f64 = 0.01;

/// A job is given up once the product of the probabilities of all losses of a task, at any time of its
/// runs, is lower than this: first after two losses, then after more. Two losses are proof only if the
/// task ran alone, not in a gang on several workers, and hardly any other worker was lost. After more
/// losses weaker evidence will do: the platform allows two more starts of a task after three workers have
/// crashed under it, and little or nothing may be known of the first losses if they fell into an outage.
const PROOF_PROBABILITY: [f64; 2] = [2.0 * MIN_PROBABILITY * MIN_PROBABILITY, 0.001];

/// The same bounds for the probability that all losses came as early in the runs, first after four
/// losses, then after more. They are lower, as among many tasks a few have several early losses in a row
/// by chance.
const EARLY_PROOF_PROBABILITY: [f64; 2] = [0.000_001, 0.000_1];

/// A loss whose probability is higher than this is explained by other losses. Such a loss, as when a
/// rack loses power, says so little about a task that an isolated run would cost more than it reveals.
const MAX_UNEXPLAINED_PROBABILITY: f64 = 0.25;

/// Below this probability hardly anything else explains a loss, and the task is close to proven.
const STRONG_SUSPECT_PROBABILITY: f64 = 0.1;

/// A task that crashes its workers does so after about the same work in each run; the speed of workers
/// differs by up to this factor.
const LOSS_OFFSET_SPREAD: f64 = 1.5;

/// Error in the measured time from the start of a run to the loss of its worker.
const LOSS_OFFSET_ERROR: Duration = Duration::from_millis(250);

/// Losses, explained or not, after which a task may only be started in isolated runs.
const MIN_LOSSES_TO_ISOLATE: usize = 2;

/// Maximum number of losses that are kept for a task, to keep its row small: the least probable ones.
const MAX_KEPT_LOSSES: usize = 7;

/// The loss of a worker under a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskLoss {
    /// The attempt that ran there.
    pub attempt: u32,
    /// Probability that a task that crashes nothing loses its worker as early in its run. It takes in
    /// other losses, other tasks on the worker, and the doubt whether the worker has crashed at all.
    pub early_probability: f64,
    /// Probability that other losses explain this one at any time of the run.
    pub anytime_probability: f64,
    /// Upper bound of the time from the start of the run to the loss; `None` where it can't be compared
    /// with that of other runs.
    pub latest_loss_offset: Option<Duration>,
}

/// The losses of a task, and what speaks against it as their cause.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskSuspicion {
    losses: Vec<TaskLoss>,
    /// The longest time that a run of the task was seen to last.
    longest_survived: Duration,
    /// The start that is saved: if the scheduler fails, its successor counts the start as a loss unless
    /// a worker reports the end of the run, or shows that nothing of it runs there. Boxed, as few tasks
    /// have one.
    pub saved_start: Option<Box<saved_start::SavedStart>>,
    /// The start that an earlier scheduler had saved.
    pub inherited_start: Option<Box<saved_start::SavedStart>>,
    /// The highest attempt whose start may still be in the store although it counts no more, as it was not
    /// sent, has ended or is recorded as a loss; 0 for none.
    settled_attempt: u32,
}

impl TaskSuspicion {
    /// The suspicion of a task as it was saved.
    pub fn restored(losses: Vec<TaskLoss>, longest_survived: Duration) -> TaskSuspicion {
        TaskSuspicion { losses, longest_survived, ..TaskSuspicion::default() }
    }

    /// The recorded losses, in the order in which they were recorded.
    pub fn losses(&self) -> &[TaskLoss] {
        &self.losses
    }

    /// The longest time that a run of the task was seen to last.
    pub fn longest_survived_run(&self) -> Duration {
        self.longest_survived
    }

    /// Records that a run lasted for `ran`. Losses much earlier in other runs then had another cause.
    pub fn record_survival(&mut self, ran: Duration) {
        self.longest_survived = self.longest_survived.max(ran);
    }

    /// Whether the task has a loss that nothing else explains.
    pub fn is_suspect(&self) -> bool {
        self.n_unexplained() > 0
    }

    /// Whether the task may only be started in isolated runs, saved before they are sent. A task with
    /// several losses, explained or not, has to run alone in the end: next to other tasks each further
    /// loss would say as little as those before.
    pub fn needs_isolation(&self) -> bool {
        self.is_suspect() || self.attributable().count() >= MIN_LOSSES_TO_ISOLATE
    }

    /// Whether two losses are unexplained, or a single one is improbable by chance.
    pub fn is_strong_suspect(&self) -> bool {
        self.n_unexplained() > 1
            || (self.is_suspect() && self.early_probability() <= STRONG_SUSPECT_PROBABILITY)
    }

    /// Whether the losses prove that the task crashes the workers that start it.
    pub fn is_proven_to_crash(&self) -> bool {
        let n_losses = self.attributable().count();
        let is_below = |probability: f64, bounds: [f64; 2], min_losses: usize| {
            let n_more = n_losses.checked_sub(min_losses);
            n_more.is_some_and(|it| probability < bounds[it.min(bounds.len() - 1)])
        };
        let at_any_time = self
            .attributable()
            .map(|it| it.early_probability.max(it.anytime_probability))
            .product();
        is_below(at_any_time, PROOF_PROBABILITY, 2)
            || is_below(self.early_probability(), EARLY_PROOF_PROBABILITY, 4)
    }

    /// The longest known run of the task, by runs that were observed and by its losses.
    pub fn longest_run(&self) -> Duration {
        let longest_lost = self.attributable().filter_map(|it| it.latest_loss_offset).max();
        self.longest_survived.max(longest_lost.unwrap_or_default())
    }

    fn n_unexplained(&self) -> usize {
        self.attributable()
            .filter(|it| it.anytime_probability <= MAX_UNEXPLAINED_PROBABILITY)
            .count()
    }

    /// The losses that the task may have caused: those not much earlier than the longest run that it
    /// survived.
    fn attributable(&self) -> impl Iterator<Item = &TaskLoss> {
        let max_offset = |it: Duration| it.mul_f64(LOSS_OFFSET_SPREAD) + LOSS_OFFSET_ERROR;
        self.losses.iter().filter(move |it| {
            it.latest_loss_offset.is_none_or(|by| max_offset(by) >= self.longest_survived)
        })
    }

    /// Probability that a task that crashes nothing has all these losses, each as early in its run.
    pub fn early_probability(&self) -> f64 {
        self.attributable().map(|it| it.early_probability).product()
    }

    /// Records a loss. A further loss of the same attempt counts once, with the lower probabilities of the
    /// two.
    pub fn record_loss(&mut self, loss: TaskLoss) {
        if let Some(known) = self.losses.iter_mut().find(|it| it.attempt == loss.attempt) {
            known.early_probability = known.early_probability.min(loss.early_probability);
            known.anytime_probability = known.anytime_probability.min(loss.anytime_probability);
            known.latest_loss_offset = known.latest_loss_offset.or(loss.latest_loss_offset);
            return;
        }
        self.losses.push(loss);
        if self.losses.len() > MAX_KEPT_LOSSES {
            let weakest = (0..self.losses.len()).max_by(|one, other| {
                self.losses[*one]
                    .early_probability
                    .total_cmp(&self.losses[*other].early_probability)
            });
            weakest.map(|it| self.losses.remove(it));
        }
    }

    /// Withdraws the loss of an attempt, as its worker is alive. Returns whether a loss was recorded.
    pub fn withdraw_loss(&mut self, attempt: u32) -> bool {
        let n_before = self.losses.len();
        self.losses.retain(|it| it.attempt != attempt);
        self.losses.len() < n_before
    }

    /// The attempt whose start is saved.
    pub fn saved_attempt(&self) -> Option<u32> {
        self.saved_start.as_ref().map(|it| it.attempt)
    }

    /// The attempt whose start an earlier scheduler had saved.
    pub fn inherited_attempt(&self) -> Option<u32> {
        self.inherited_start.as_ref().map(|it| it.attempt)
    }

    /// Removes the saved start of an attempt whose end is known. Returns whether it was saved.
    pub fn forget_attempt(&mut self, attempt: u32) -> bool {
        let saved = self.saved_start.take_if(|it| it.attempt == attempt);
        let inherited = self.inherited_start.take_if(|it| it.attempt == attempt);
        let was_saved = saved.or(inherited).is_some();
        if was_saved {
            self.note_settled(attempt);
        }
        was_saved
    }

    /// Removes the saved start of the current or planned run, whose outcome is known. Returns whether there
    /// was one.
    pub fn drop_saved_start(&mut self) -> bool {
        let Some(start) = self.saved_start.take() else { return false };
        self.note_settled(start.attempt);
        true
    }

    /// Takes the start that an earlier scheduler had saved, as it is known what became of it.
    pub fn take_inherited_start(&mut self) -> Option<saved_start::SavedStart> {
        let start = self.inherited_start.take()?;
        self.note_settled(start.attempt);
        Some(*start)
    }

    /// Removes inherited starts up to `attempt`, and the loss that was recorded for that attempt, as an earlier
    /// scheduler knows better. Returns whether there were any.
    pub fn settle_inherited(&mut self, attempt: u32) -> bool {
        self.note_settled(attempt);
        let is_removed = self.inherited_start.take_if(|it| it.attempt <= attempt).is_some();
        self.withdraw_loss(attempt) || is_removed
    }

    /// The highest attempt whose start may still be in the store although it counts no more; `None` if there
    /// is none, or if a later one counts.
    pub fn settled_attempt(&self) -> Option<u32> {
        let counted = self.saved_attempt().max(self.inherited_attempt()).unwrap_or_default();
        Some(self.settled_attempt).filter(|it| *it > counted)
    }

    fn note_settled(&mut self, attempt: u32) {
        self.settled_attempt = self.settled_attempt.max(attempt);
    }
}
