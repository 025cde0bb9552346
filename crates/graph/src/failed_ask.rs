//! What was asked for in vain in a turn.
//!
//! Within a turn workers only fill up. So where a task found no room, one that asks for no less finds
//! none either, and need not be tried: on a pool that is full each waiting job would go over all
//! workers, in each turn.

use crate::berth;
use crate::resources;

/// What a single task asked for in vain.
#[derive(Clone, Debug)]
pub struct FailedAsk {
    upstream: usize,
    room: resources::Resources,
    label: Option<String>,
    only_rack: Option<usize>,
    keeps_empty: usize,
    takes_reserved: bool,
}

impl FailedAsk {
    /// What `ask` wanted, where that tells of others: not where it was alone in what it avoids, or in
    /// how many of its tasks a worker may have.
    pub fn of(ask: &berth::PlaceAsk) -> Option<FailedAsk> {
        let tells =
            ask.n_tasks == 1 && ask.avoids.is_empty() && ask.per_worker == 0 && !ask.is_trial;
        tells.then(|| FailedAsk {
            upstream: ask.upstream,
            room: ask.room,
            label: ask.label.map(str::to_owned),
            only_rack: only_rack(ask),
            keeps_empty: ask.keeps_empty,
            takes_reserved: ask.takes_reserved,
        })
    }

    /// Whether `ask` wants no less than what was not found.
    pub fn covers(&self, ask: &berth::PlaceAsk) -> bool {
        self.upstream == ask.upstream
            && self.room.fits_in(ask.room)
            && self.label.as_deref().is_none_or(|it| ask.label == Some(it))
            && self.only_rack.is_none_or(|it| only_rack(ask) == Some(it))
            && self.keeps_empty <= ask.keeps_empty
            && (self.takes_reserved || !ask.takes_reserved)
    }
}

/// The only rack that will do, if there is one.
fn only_rack(ask: &berth::PlaceAsk) -> Option<usize> {
    ask.rack_number.filter(|_| !ask.far)
}
