//! The interface between a hall's scheduler and whatever decides for it.

use std::sync::Arc;

use almondpass_schema::{ids, model, time};
use thiserror::Error;

use crate::decision;
use crate::event;
use crate::work;

/// Decides for one hall. The policy and its baselines implement it.
pub trait HallPolicy: Sized + Send + 'static {
    /// A hall with nothing running, every worker lost until `WorkerBack`.
    fn new(
        hall: &ids::HallName,
        config: Arc<model::ConfigDocument>,
        now: time::WallTime,
    ) -> Result<Self, PolicyFault>;

    /// Takes a newer configuration; work in progress stays.
    fn configure(
        &mut self,
        config: Arc<model::ConfigDocument>,
        now: time::WallTime,
    ) -> Result<(), PolicyFault>;

    /// Learns of something. Cheap; decisions wait for the next turn.
    fn apply(&mut self, event: event::HallEvent, now: time::WallTime);

    /// Decides. Bounded work: what is left over is taken up by the next turn.
    fn run_round(&mut self, now: time::WallTime) -> Vec<decision::Decision>;

    /// When the next turn is due even if nothing happens; at once where the last one left work over.
    fn next_wake(&self, now: time::WallTime) -> Option<time::WallTime>;

    /// Why work waits, or where it stands.
    fn reason(&self, work: &work::WorkId, now: time::WallTime) -> Option<model::WaitReason>;

    /// Whether the hall could ever run the work, with the reason where it could not.
    fn admits(&self, item: &work::WorkItem) -> Result<(), model::WaitReason>;

    /// A picture for operators; `epoch` and `holder` are filled in by the scheduler.
    fn picture(&self, now: time::WallTime) -> model::HallPicture;
}

/// Why a configuration cannot be used for a hall.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PolicyFault {
    /// The configuration has no such hall.
    #[error("expected hall {0} in the configuration, found none")]
    UnknownHall(ids::HallName),
    /// A guaranteed shape has no place of its own.
    #[error(
        "expected room for the guarantee {guarantee} of {account} in hall {hall}, found {detail}"
    )]
    GuaranteeUnfit {
        /// Whose it is.
        account: ids::AccountId,
        /// Its name.
        guarantee: ids::GuaranteeName,
        /// Where it was to be at home.
        hall: ids::HallName,
        /// What stood in the way.
        detail: String,
    },
}
