//! How much of a pool may be out of use on a belief at a time.
//!
//! What is believed of a worker is concluded from the tasks that run there. Concluded of most workers at a
//! time, it is true of the tasks rather, and nothing would start anywhere.

use almondpass_schema::ids;

use crate::core;
use crate::worker;

/// Of the workers of an upstream, one in so many may be out of use on one belief.
const ONE_IN: usize = 2;

impl core::PoolCore {
    /// Whether a worker may be put out of use on a belief, beside those of its upstream of which it is
    /// held already.
    pub(crate) fn can_exclude(
        &self,
        worker: &ids::WorkerId,
        is_out: impl Fn(&worker::WorkerRecord) -> bool,
    ) -> bool {
        let Some(record) = self.workers.get(worker) else { return false };
        if is_out(record) {
            return true;
        }
        let upstream = &record.entry.upstream;
        let alike = || {
            let usable = self.workers.values().filter(|it| it.listed && it.is_responsive());
            usable.filter(|it| it.entry.upstream == *upstream)
        };
        let n_out = alike().filter(|it| is_out(it)).count();
        (n_out + 1) * ONE_IN <= alike().count()
    }
}
