//! When a watcher may take the tenure.

use std::time::Duration;

use almondpass_schema::{ids, model};

/// What a watcher has seen of the tenure's row.
#[derive(Clone, Debug, Default)]
pub struct TenureWatch {
    seen: Option<SeenRow>,
}

/// The row as it was read.
#[derive(Clone, Debug)]
pub struct SeenRow {
    /// Its version; 0 where there is none.
    pub version: ids::RowVersion,
    /// Its content.
    pub row: Option<model::PoolTenure>,
    /// When this version was first read. Moves on when a read fails.
    pub unchanged_since: Duration,
    /// When this version was first read in truth: no later renewal has reached the store.
    pub first_seen: Duration,
    /// When its epoch was first read.
    pub epoch_since: Duration,
}

impl TenureWatch {
    /// A read has shown the row.
    pub fn record_read(
        &mut self,
        version: ids::RowVersion,
        row: Option<model::PoolTenure>,
        now: Duration,
    ) {
        match &mut self.seen {
            Some(seen) if seen.version == version => {}
            seen => {
                let epoch = |row: &Option<model::PoolTenure>| row.as_ref().map(|it| it.epoch);
                let known = seen.as_ref().filter(|it| epoch(&it.row) == epoch(&row));
                let epoch_since = known.map_or(now, |it| it.epoch_since);
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

    /// A read has failed: while the store is away the holder can't renew, and the time must not
    /// count against it.
    pub fn record_failure(&mut self, now: Duration) {
        if let Some(seen) = &mut self.seen {
            seen.unchanged_since = now;
        }
    }

    /// What was seen, once a read has succeeded.
    pub fn seen(&self) -> Option<&SeenRow> {
        self.seen.as_ref()
    }

    /// The row as last seen.
    pub fn row(&self) -> Option<&model::PoolTenure> {
        self.seen.as_ref()?.row.as_ref()
    }
}

impl SeenRow {
    /// Whether an earlier process at `address` holds the tenure still, by the row.
    pub fn is_held_at(&self, address: &str) -> bool {
        self.row.as_ref().is_some_and(|it| it.address == address && !it.released)
    }

    /// From when on nobody holds the tenure: it was given up, or not renewed for a `term`, or held
    /// by an earlier process at `address`, which is this process's own. That process is over, as
    /// no two can listen there; waiting out its term would cost seconds after a restart of all.
    pub fn free_at(&self, address: &str, term: Duration) -> Duration {
        match &self.row {
            Some(row) if !row.released && !self.is_held_at(address) => self.unchanged_since + term,
            _ => self.first_seen,
        }
    }
}
