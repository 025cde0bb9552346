//! Placement requests that failed in the present round.
//!
//! Within a round the free resources of workers only shrink. A request that asks for no less than
//! one that has failed therefore fails too, and need not be tried. Without this, on a full pool,
//! the scheduler would go over all workers for each waiting job in each round.

use crate::candidate;
use crate::resources;

/// The requirements of a single task for which no worker was found.
#[derive(Clone, Debug)]
pub struct FailedPlacement {
    upstream: usize,
    per_task: resources::Resources,
    label: Option<String>,
    required_rack: Option<usize>,
    keeps_empty: usize,
    takes_reserved: bool,
}

impl FailedPlacement {
    /// The requirements of a failed `request`. `None` if they say nothing about other requests,
    /// because workers that only this task avoids, or its limit of tasks per worker, may have made
    /// it fail.
    pub fn from_request(request: &candidate::PlacementRequest) -> Option<FailedPlacement> {
        let applies_to_others = request.n_tasks == 1
            && request.avoids.is_empty()
            && request.per_worker == 0
            && !request.may_crash_worker;
        applies_to_others.then(|| FailedPlacement {
            upstream: request.upstream,
            per_task: request.per_task,
            label: request.label.map(str::to_owned),
            required_rack: required_rack(request),
            keeps_empty: request.keeps_empty,
            takes_reserved: request.takes_reserved,
        })
    }

    /// Whether `request` requires no less than the failed request, so that it fails too.
    pub fn covers(&self, request: &candidate::PlacementRequest) -> bool {
        self.upstream == request.upstream
            && self.per_task.fits_in(request.per_task)
            && self.label.as_deref().is_none_or(|it| request.label == Some(it))
            && self.required_rack.is_none_or(|it| required_rack(request) == Some(it))
            && self.keeps_empty <= request.keeps_empty
            && (self.takes_reserved || !request.takes_reserved)
    }
}

/// The rack on which the task has to run; `None` if it may run on any.
fn required_rack(request: &candidate::PlacementRequest) -> Option<usize> {
    request.rack_number.filter(|_| !request.allows_remote)
}
