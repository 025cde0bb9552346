//! Limits the share of a pool that is excluded by inference at a time.
//!
//! That a worker fails, stalls or is slow is inferred from the tasks on it. If the same is inferred of
//! most workers, the tasks are the more likely cause, and with all these workers excluded nothing could
//! start.

use almondpass_schema::ids;

use crate::core;
use crate::worker;

/// Of this many workers of an upstream, one may be excluded for a given reason.
const WORKERS_PER_EXCLUSION: usize = 2;

impl core::PoolCore {
    /// Whether a worker may be excluded for the reason that `is_excluded` tests, in addition to the workers
    /// of its upstream that already are.
    pub(crate) fn can_exclude(
        &self,
        worker: &ids::WorkerId,
        is_excluded: impl Fn(&worker::WorkerRecord) -> bool,
    ) -> bool {
        let Some(record) = self.workers.get(worker) else { return false };
        if is_excluded(record) {
            return true;
        }
        let upstream = &record.entry.upstream;
        let of_upstream = || {
            let usable = self.workers.values().filter(|it| it.listed && it.is_responsive());
            usable.filter(|it| it.entry.upstream == *upstream)
        };
        let n_excluded = of_upstream().filter(|it| is_excluded(it)).count();
        (n_excluded + 1) * WORKERS_PER_EXCLUSION <= of_upstream().count()
    }
}
