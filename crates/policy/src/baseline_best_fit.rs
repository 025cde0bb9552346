//! Baseline policy: arrival order with EASY backfill and best-fit placement.

use std::sync::Arc;
use std::time::Duration;

use almondpass_schema::{ids, model, time};

use crate::baseline_capacity;
use crate::baseline_state;
use crate::decision;
use crate::event;
use crate::hall_policy;
use crate::work;

/// Run time assumed for work whose class is missing from the configuration.
const UNKNOWN_CLASS_RUN_TIME: Duration = Duration::from_secs(60);

/// Best fit with backfill: the first work item that does not fit gets a reservation, and later items
/// start only if they do not delay its expected start. Ignores guarantees and priorities.
pub struct BestFit {
    state: baseline_state::BaselineState,
}

/// Expected start and placement of the first waiting work item that does not fit now.
struct HeadReservation {
    start_at: time::WallTime,
    placement: Vec<work::TaskAssignment>,
}

impl HeadReservation {
    /// Whether `placement` uses no accelerator of the reservation. A task without accelerators overlaps
    /// with the reservation if their workers are the same.
    fn is_disjoint_from(&self, placement: &[work::TaskAssignment]) -> bool {
        !placement.iter().any(|assignment| {
            self.placement.iter().any(|reserved| {
                reserved.worker == assignment.worker
                    && (assignment.accelerators.is_empty()
                        || assignment
                            .accelerators
                            .iter()
                            .any(|it| reserved.accelerators.contains(it)))
            })
        })
    }
}

impl BestFit {
    /// Declared run time, or else that of the class, less the run time saved in the latest checkpoint.
    fn remaining_run_time(&self, item: &work::WorkItem) -> Duration {
        let class = self.state.config.classes.iter().find(|it| it.name == item.class);
        let class_run_time = class.map_or(UNKNOWN_CLASS_RUN_TIME, |it| it.expected_run.0);
        item.declared_run.unwrap_or(class_run_time).saturating_sub(item.saved_run)
    }

    /// Reserves the earliest placement for `item` that opens as running work reaches its expected end.
    fn reserve_for(&self, item: &work::WorkItem, now: time::WallTime) -> Option<HeadReservation> {
        let mut ends = self.expected_ends(now);
        ends.sort_unstable();
        let end_counts: Vec<usize> = (1..=ends.len()).collect();
        let placement_after = |n_ends: usize| {
            let mut capacity = self.state.free_capacity.clone();
            for (_, work) in &ends[..n_ends] {
                let entry = &self.state.entries[work];
                capacity.release(&entry.item.demand, &entry.placement);
            }
            capacity.find_placement(item, baseline_capacity::PlacementChoice::Tightest)
        };
        let index = end_counts.partition_point(|it| placement_after(*it).is_none());
        let n_ends = *end_counts.get(index)?;
        Some(HeadReservation { start_at: ends[n_ends - 1].0, placement: placement_after(n_ends)? })
    }

    /// Expected ends of all work that is starting or running; overdue work is expected to end now.
    fn expected_ends(&self, now: time::WallTime) -> Vec<(time::WallTime, work::WorkId)> {
        let end = |entry: &baseline_state::WorkEntry| match entry.stage {
            baseline_state::WorkStage::Waiting(_) => None,
            baseline_state::WorkStage::Starting => Some(now + self.remaining_run_time(&entry.item)),
            baseline_state::WorkStage::Running(since) => {
                Some((since + self.remaining_run_time(&entry.item)).max(now))
            }
        };
        self.state.entries.values().filter_map(|it| end(it).map(|at| (at, it.item.id))).collect()
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
        let mut unfit_shapes = Vec::new();
        let mut head: Option<work::WorkId> = None;
        let mut reservation: Option<HeadReservation> = None;
        for work in self.state.ready(now) {
            let item = &self.state.entries[&work].item;
            let shape = baseline_capacity::ShapeKey::of(item);
            if shape.as_ref().is_some_and(|it| unfit_shapes.contains(it)) {
                continue;
            }
            let Some(placement) = self
                .state
                .free_capacity
                .find_placement(item, baseline_capacity::PlacementChoice::Tightest)
            else {
                unfit_shapes.extend(shape);
                head = head.or(Some(work));
                continue;
            };
            if reservation.is_none()
                && let Some(head) = &head
            {
                reservation = self.reserve_for(&self.state.entries[head].item, now);
            }
            let end = now + self.remaining_run_time(item);
            if reservation
                .as_ref()
                .is_none_or(|it| end <= it.start_at || it.is_disjoint_from(&placement))
            {
                self.state.start(work, placement);
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
