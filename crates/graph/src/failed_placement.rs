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
    room: resources::Resources,
    label: Option<String>,
    only_rack: Option<usize>,
    keeps_empty: usize,
    takes_reserved: bool,
}

impl FailedPlacement {
    /// The requirements of a failed `request`. `None` if they say nothing about other requests,
    /// because workers that only this task avoids, or its limit of tasks per worker, may have made
    /// it fail.
    pub fn of(request: &candidate::PlacementRequest) -> Option<FailedPlacement> {
        let tells = request.n_tasks == 1
            && request.avoids.is_empty()
            && request.per_worker == 0
            && !request.may_crash_worker;
        tells.then(|| FailedPlacement {
            upstream: request.upstream,
            room: request.per_task,
            label: request.label.map(str::to_owned),
            only_rack: only_rack(request),
            keeps_empty: request.keeps_empty,
            takes_reserved: request.takes_reserved,
        })
    }

    /// Whether `request` requires no less than the failed request, so that it fails too.
    pub fn covers(&self, request: &candidate::PlacementRequest) -> bool {
        self.upstream == request.upstream
            && self.room.fits_in(request.per_task)
            && self.label.as_deref().is_none_or(|it| request.label == Some(it))
            && self.only_rack.is_none_or(|it| only_rack(request) == Some(it))
            && self.keeps_empty <= request.keeps_empty
            && (self.takes_reserved || !request.takes_reserved)
    }
}

/// The rack on which the task has to run; `None` if it may run on any.
fn only_rack(request: &candidate::PlacementRequest) -> Option<usize> {
    request.rack_number.filter(|_| !request.allows_remote)
}
