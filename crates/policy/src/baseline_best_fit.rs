//! Baseline: order of arrival with EASY backfill, each at the place that fits most tightly.

use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::{ids, model, time};

use crate::baseline_capacity;
use crate::baseline_state;
use crate::decision;
use crate::event;
use crate::hall_policy;
use crate::work;

/// Run time assumed of work whose class is not configured.
const UNKNOWN_RUN: Duration = Duration::from_secs(60);

/// Best fit with backfill: the first work that does not fit has its place and time reserved, and
/// later work starts only where it does not delay that. No guarantees and no priorities.
pub struct BestFit {
    state: baseline_state::BaselineState,
}

/// Where and when the first waiting work that does not fit is expected to start.
struct HeadReservation {
    at: time::WallTime,
    placement: Vec<work::TaskAssignment>,
}

impl HeadReservation {
    fn is_clear_of(&self, placement: &[work::TaskAssignment]) -> bool {
        !placement.iter().any(|slot| {
            self.placement.iter().any(|planned| {
                planned.worker == slot.worker
                    && (slot.accelerators.is_empty()
                        || slot.accelerators.iter().any(|it| planned.accelerators.contains(it)))
            })
        })
    }
}

impl BestFit {
    fn expected_run(&self, item: &work::WorkItem) -> Duration {
        let class = self.state.config.classes.iter().find(|it| it.name == item.class);
        let prior = class.map_or(UNKNOWN_RUN, |it| it.expected_run.0);
        item.declared_run.unwrap_or(prior).saturating_sub(item.saved_run)
    }

    fn plan(&self, item: &work::WorkItem, now: time::WallTime) -> Option<HeadReservation> {
        let mut ends = self.expected_ends(now);
        ends.sort_unstable();
        let steps: Vec<usize> = (1..=ends.len()).collect();
        let fits_after = |n_ends: usize| {
            let mut room = self.state.free_capacity.clone();
            for (_, work) in &ends[..n_ends] {
                let entry = &self.state.works[work];
                room.give_back(&entry.item.demand, &entry.placement);
            }
            room.place(item, baseline_capacity::PlacementChoice::Tightest)
        };
        let index = steps.partition_point(|it| fits_after(*it).is_none());
        let n_ends = *steps.get(index)?;
        Some(HeadReservation { at: ends[n_ends - 1].0, placement: fits_after(n_ends)? })
    }

    fn expected_ends(&self, now: time::WallTime) -> Vec<(time::WallTime, work::WorkId)> {
        let end = |entry: &baseline_state::WorkEntry| match entry.stage {
            baseline_state::WorkStage::Waiting(_) => None,
            baseline_state::WorkStage::Starting => Some(now + self.expected_run(&entry.item)),
            baseline_state::WorkStage::Running(since) => {
                Some((since + self.expected_run(&entry.item)).max(now))
            }
        };
        self.state.works.values().filter_map(|it| end(it).map(|at| (at, it.item.id))).collect()
    }
}

impl hall_policy::HallPolicy for BestFit {
    fn new(
        hall: &ids::HallName,
        config: Arc<model::ConfigDocument>,
        _now: time::WallTime,
    ) -> Result<BestFit, hall_policy::PolicyFault> {
        Ok(BestFit { state: baseline_state::BaselineState::new(hall, config)? })
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
        let mut head: Option<work::WorkId> = None;
        let mut plan: Option<HeadReservation> = None;
        for work in self.state.ready(now) {
            let item = &self.state.works[&work].item;
            let key = baseline_capacity::ShapeKey::of(item);
            if key.as_ref().is_some_and(|it| unfit.contains(it)) {
                continue;
            }
            let Some(placement) =
                self.state.free_capacity.place(item, baseline_capacity::PlacementChoice::Tightest)
            else {
                unfit.extend(key);
                head = head.or(Some(work));
                continue;
            };
            if plan.is_none()
                && let Some(head) = &head
            {
                plan = self.plan(&self.state.works[head].item, now);
            }
            let end = now + self.expected_run(item);
            if plan.as_ref().is_none_or(|it| end <= it.at || it.is_clear_of(&placement)) {
                self.state.start(work, placement);
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
