//! Baseline: all waiting work in order of arrival, each at the first place that fits.

use std::sync::Arc;

use almondpass_schema::{ids, model, time};

use crate::baseline_capacity;
use crate::baseline_state;
use crate::decision;
use crate::event;
use crate::hall_policy;
use crate::work;

/// First fit in arrival order: whole gangs and adjacency, but no guarantees and no priorities.
pub struct FirstFit {
    state: baseline_state::BaselineState,
}

impl hall_policy::HallPolicy for FirstFit {
    fn new(
        hall: &ids::HallName,
        config: Arc<model::ConfigDocument>,
        _now: time::WallTime,
    ) -> Result<FirstFit, hall_policy::PolicyFault> {
        Ok(FirstFit { state: baseline_state::BaselineState::new(hall, config)? })
    }

    fn configure(
        &mut self,
        config: Arc<model::ConfigDocument>,
        _now: time::WallTime,
    ) -> Result<(), hall_policy::PolicyFault> {
        self.state.configure(config)
    }

    fn apply(&mut self, event: event::HallEvent, now: time::WallTime) {
        self.state.apply(event, now);
    }

    fn run_round(&mut self, now: time::WallTime) -> Vec<decision::Decision> {
        let mut unfit = Vec::new();
        for work in self.state.ready(now) {
            let item = &self.state.works[&work].item;
            let key = baseline_capacity::ShapeKey::of(item);
            if key.as_ref().is_some_and(|it| unfit.contains(it)) {
                continue;
            }
            match self.state.free_capacity.place(item, baseline_capacity::PlacementChoice::First) {
                Some(placement) => self.state.start(work, placement),
                None => unfit.extend(key),
            }
        }
        std::mem::take(&mut self.state.out)
    }

    fn next_wake(&self, now: time::WallTime) -> Option<time::WallTime> {
        self.state.next_wake(now)
    }

    fn reason(&self, work: &work::WorkId, _now: time::WallTime) -> Option<model::WaitReason> {
        self.state.reason(work)
    }

    fn admits(&self, item: &work::WorkItem) -> Result<(), model::WaitReason> {
        self.state.admits(item)
    }

    fn picture(&self, _now: time::WallTime) -> model::HallPicture {
        self.state.picture()
    }
}
