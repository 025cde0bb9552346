//! Decides when a watcher may acquire the tenure.

use std::time::Duration;

use almondpass_schema::{ids, model};

use crate::version_history;

/// The tenure's row as a watcher has read it over time.
#[derive(Clone, Debug, Default)]
pub struct TenureWatch {
    seen: Option<SeenRow>,
    versions: version_history::VersionHistory,
}

/// The tenure's row as last read.
#[derive(Clone, Debug)]
pub struct SeenRow {
    /// Version of the row; 0 if there is no row.
    pub version: ids::RowVersion,
    /// Content of the row, if it exists and could be decoded.
    pub row: Option<model::PoolTenure>,
    /// Start of the time for which this version counts as unchanged: its first read, or the last failed read
    /// if that is later.
    pub unchanged_since: Duration,
    /// Time at which this version was first read; failed reads do not move it. No later renewal has reached
    /// the store since.
    pub first_seen: Duration,
    /// Time at which the row's epoch was first read.
    pub epoch_since: Duration,
}

impl TenureWatch {
    /// Records a successful read of the row.
    pub fn record_read(
        &mut self,
        version: ids::RowVersion,
        row: Option<model::PoolTenure>,
        now: Duration,
    ) {
        self.versions.record(version, now);
        match &mut self.seen {
            Some(seen) if seen.version == version => {}
            seen => {
                let epoch = |row: &Option<model::PoolTenure>| row.as_ref().map(|it| it.epoch);
                let same_epoch = seen.as_ref().filter(|it| epoch(&it.row) == epoch(&row));
                let epoch_since = same_epoch.map_or(now, |it| it.epoch_since);
                *seen = Some(SeenRow {
                    version,
                    row,
                    unchanged_since: now,
                    first_seen: now,
                    epoch_since,
                });
            }
        }
    }

    /// Records a failed read: while the store is unavailable the holder can't renew, and that time must not
    /// count against it.
    pub fn record_failure(&mut self, now: Duration) {
        if let Some(seen) = &mut self.seen {
            seen.unchanged_since = now;
        }
    }

    /// The versions of the row that were read.
    pub fn versions(&self) -> &version_history::VersionHistory {
        &self.versions
    }

    /// The row as last read; `None` until a read has succeeded.
    pub fn seen(&self) -> Option<&SeenRow> {
        self.seen.as_ref()
    }

    /// Content of the row as last read.
    pub fn row(&self) -> Option<&model::PoolTenure> {
        self.seen.as_ref()?.row.as_ref()
    }
}

impl SeenRow {
    /// Whether the row says that a process at `address` still holds the tenure.
    pub fn is_held_at(&self, address: &str) -> bool {
        self.row.as_ref().is_some_and(|it| it.address == address && !it.released)
    }

    /// Number of tenures in a row whose holders have not scheduled, if the last one was held at `address`. It does
    /// not count while `instance` itself is named as holder: the answer to its write was lost.
    pub fn n_unserved_at(&self, address: &str, instance: &str) -> u32 {
        let own = self.row.as_ref().filter(|it| it.address == address);
        let ended = own.filter(|it| it.released || it.holder != instance);
        ended.map_or(0, |it| it.n_unserved)
    }

    /// Number of tenures in a row whose holders have not scheduled, if any of these was held at `address`. Of the
    /// earlier ones the row names those whose orders may not have ended, which are the latest. It does not count
    /// while `instance` itself is named as holder: the answer to its write was lost.
    pub fn n_unserved_beside(&self, address: &str, instance: &str) -> u32 {
        let Some(row) = &self.row else { return 0 };
        if row.holder == instance && !row.released {
            return 0;
        }
        let mut earlier = row.earlier.iter().filter(|it| is_unserved(row, it));
        if earlier.any(|it| it.address == address) {
            return row.n_unserved;
        }
        self.n_unserved_at(address, instance)
    }

    /// Number of the unserved tenures in a row that the row names as held at `address`.
    pub fn n_named_at(&self, address: &str) -> usize {
        let Some(row) = &self.row else { return 0 };
        let earlier = row.earlier.iter().filter(|it| is_unserved(row, it));
        let n_earlier = earlier.filter(|it| it.address == address).count();
        n_earlier + usize::from(row.n_unserved > 0 && row.address == address)
    }

    /// Time from which on no instance holds the tenure: it was released, not renewed for a `term`, or held by
    /// an earlier process at `address`, the address of this process. That process has ended, as no two
    /// processes can listen at one address; waiting for its term would cost seconds after a restart of all
    /// instances.
    pub fn free_at(&self, address: &str, term: Duration) -> Duration {
        match &self.row {
            Some(row) if !row.released && !self.is_held_at(address) => self.unchanged_since + term,
            _ => self.first_seen,
        }
    }
}

/// Whether the tenure of an earlier holder is one of those in a row that were not served.
fn is_unserved(row: &model::PoolTenure, earlier: &model::EarlierHolder) -> bool {
    earlier.epoch + u64::from(row.n_unserved) > row.epoch
}
