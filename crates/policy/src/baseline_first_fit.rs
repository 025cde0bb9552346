//! Baseline: all waiting work in order of arrival, each at the first place that fits.

use std::sync::Arc;

use almondpass_schema::{ids, model, time};

use crate::baseline_board;
use crate::baseline_room;
use crate::decision;
use crate::event;
use crate::hall_policy;
use crate::work;

/// First fit in arrival order: whole gangs and adjacency, but no guarantees and no priorities.
pub struct FirstFit {
    board: baseline_board::BaselineBoard,
}

impl hall_policy::HallPolicy for FirstFit {
    fn new(
        hall: &ids::HallName,
        config: Arc<model::ConfigDocument>,
        _now: time::WallTime,
    ) -> Result<FirstFit, hall_policy::PolicyFault> {
        Ok(FirstFit { board: baseline_board::BaselineBoard::new(hall, config)? })
    }

    fn configure(
        &mut self,
        config: Arc<model::ConfigDocument>,
        _now: time::WallTime,
    ) -> Result<(), hall_policy::PolicyFault> {
        self.board.configure(config)
    }

    fn apply(&mut self, event: event::HallEvent, now: time::WallTime) {
        self.board.apply(event, now);
    }

    fn run_round(&mut self, now: time::WallTime) -> Vec<decision::Decision> {
        let mut unfit = Vec::new();
        for work in self.board.ready(now) {
            let item = &self.board.works[&work].item;
            let key = baseline_room::ShapeKey::of(item);
            if key.as_ref().is_some_and(|it| unfit.contains(it)) {
                continue;
            }
            match self.board.room.place(item, baseline_room::PlaceChoice::First) {
                Some(placement) => self.board.start(work, placement),
                None => unfit.extend(key),
            }
        }
        std::mem::take(&mut self.board.out)
    }

    fn next_wake(&self, now: time::WallTime) -> Option<time::WallTime> {
        self.board.next_wake(now)
    }

    fn reason(&self, work: &work::WorkId, _now: time::WallTime) -> Option<model::WaitReason> {
        self.board.reason(work)
    }

    fn admits(&self, item: &work::WorkItem) -> Result<(), model::WaitReason> {
        self.board.admits(item)
    }

    fn picture(&self, _now: time::WallTime) -> model::HallPicture {
        self.board.picture()
    }
}
