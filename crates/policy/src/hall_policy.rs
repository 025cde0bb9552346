//! The interface between a hall scheduler and the policy that decides for the hall.

use std::sync::Arc;

use almondpass_schema::{ids, model, time};
use thiserror::Error;

use crate::decision;
use crate::event;
use crate::work;

/// Decides which work of one hall runs where. Implemented by [`crate::core::HallCore`] and by the
/// baseline policies.
pub trait HallPolicy: Sized + Send + 'static {
    /// Creates the policy of a hall without work, in which every worker counts as lost until
    /// `WorkerBack` is applied.
    ///
    /// Fails if the configuration cannot be used for the hall, see [`PolicyFault`].
    fn new(
        hall: &ids::HallName,
        config: Arc<model::ConfigDocument>,
        now: time::WallTime,
    ) -> Result<Self, PolicyFault>;

    /// Replaces the configuration; work that is queued or running is kept. On an error the previous
    /// configuration stays in force.
    fn configure(
        &mut self,
        config: Arc<model::ConfigDocument>,
        now: time::WallTime,
    ) -> Result<(), PolicyFault>;

    /// Updates the state by an event. Makes no decisions about placement: these are left to the next
    /// round, so that the call is cheap.
    fn apply(&mut self, event: event::HallEvent, now: time::WallTime);

    /// Runs one scheduling round and returns its decisions in order. The work of a round is bounded;
    /// the next round continues where this one stopped.
    fn run_round(&mut self, now: time::WallTime) -> Vec<decision::Decision>;

    /// When the next round is due if no event is applied before: `now` if the last round reached its
    /// bound or the state has changed since it began, else the time of the first timer, or `None` without timers.
    fn next_wake(&self, now: time::WallTime) -> Option<time::WallTime>;

    /// Why a request or job waits, or its current state; `None` if its id is unknown.
    fn reason(&self, work: &work::WorkId, now: time::WallTime) -> Option<model::WaitReason>;

    /// Checks whether the hall could ever run the work; the error is the reason why it could not.
    fn admits(&self, item: &work::WorkItem) -> Result<(), model::WaitReason>;

    /// A snapshot of the hall for operators. The hall scheduler fills in `epoch` and `holder`.
    fn picture(&self, now: time::WallTime) -> model::HallPicture;
}

/// Why a configuration cannot be used for a hall.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PolicyFault {
    /// The configuration has no such hall.
    #[error("expected hall {0} in the configuration, found none")]
    UnknownHall(ids::HallName),
    /// No block of its own can be found for a guaranteed shape.
    #[error(
        "expected room for the guarantee {guarantee} of {account} in hall {hall}, found {detail}"
    )]
    GuaranteeUnfit {
        /// Account that the guarantee belongs to.
        account: ids::AccountId,
        /// Name of the guarantee.
        guarantee: ids::GuaranteeName,
        /// Hall in which the home block was sought.
        hall: ids::HallName,
        /// What was found in place of a block that fits.
        detail: String,
    },
}
