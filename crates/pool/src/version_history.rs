//! When which versions of the store were seen: an upper bound of the time at which a row was written.

use std::collections::VecDeque;
use std::time::Duration;

use almondpass_schema::ids;

/// Most versions that are kept.
const MAX_SEEN: usize = 32;

/// Versions of the store as they were first seen, oldest first. The store numbers the writes of all rows together.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    seen: VecDeque<SeenVersion>,
}

#[derive(Clone, Copy, Debug)]
struct SeenVersion {
    version: ids::RowVersion,
    at: Duration,
}

impl VersionHistory {
    /// Records that the store had a version at `at`.
    pub fn record(&mut self, version: ids::RowVersion, at: Duration) {
        if self.seen.back().is_some_and(|it| version <= it.version) {
            return;
        }
        self.seen.push_back(SeenVersion { version, at });
        if self.seen.len() > MAX_SEEN {
            self.seen.pop_front();
        }
    }

    /// Time before which a row of `version` was written; `None` if no later version was seen.
    pub fn written_before(&self, version: ids::RowVersion) -> Option<Duration> {
        self.seen.iter().find(|it| it.version > version).map(|it| it.at)
    }
}
