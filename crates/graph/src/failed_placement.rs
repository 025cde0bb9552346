//! What was asked for in vain in a turn.
//!
//! Within a turn workers only fill up. So where a task found no room, one that asks for no less finds
//! none either, and need not be tried: on a pool that is full each waiting job would go over all
//! workers, in each turn.

use crate::candidate;
use crate::resources;

/// What a single task asked for in vain.
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
    /// What `ask` wanted, where that tells of others: not where it was alone in what it avoids, or in
    /// how many of its tasks a worker may have.
    pub fn from_request(request: &candidate::PlacementRequest) -> Option<FailedPlacement> {
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

    /// Whether `ask` wants no less than what was not found.
    pub fn covers(&self, request: &candidate::PlacementRequest) -> bool {
        self.upstream == request.upstream
            && self.room.fits_in(request.per_task)
            && self.label.as_deref().is_none_or(|it| request.label == Some(it))
            && self.only_rack.is_none_or(|it| only_rack(request) == Some(it))
            && self.keeps_empty <= request.keeps_empty
            && (self.takes_reserved || !request.takes_reserved)
    }
}

/// The only rack that will do, if there is one.
fn only_rack(request: &candidate::PlacementRequest) -> Option<usize> {
    request.rack_number.filter(|_| !request.allows_remote)
}
