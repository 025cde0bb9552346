//! Baseline policy: arrival order with first-fit placement.

use std::sync::Arc;

use almondpass_schema::{ids, model, time};

use crate::baseline_capacity;
use crate::baseline_state;
use crate::decision;
use crate::event;
use crate::hall_policy;
use crate::work;

/// First fit in arrival order: starts only whole gangs and respects adjacency, but ignores guarantees
/// and priorities.
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
        let mut unfit_shapes = Vec::new();
        for work in self.state.ready(now) {
            let item = &self.state.entries[&work].item;
            let shape = baseline_capacity::ShapeKey::of(item);
            if shape.as_ref().is_some_and(|it| unfit_shapes.contains(it)) {
                continue;
            }
            match self
                .state
                .free_capacity
                .find_placement(item, baseline_capacity::PlacementChoice::First)
            {
                Some(placement) => self.state.start(work, placement),
                None => unfit_shapes.extend(shape),
            }
        }
        std::mem::take(&mut self.state.decisions)
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
