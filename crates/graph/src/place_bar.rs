//! Why a worker gets no tasks now.

use std::time::Duration;

use almondpass_schema::ids;

use crate::core;
use crate::worker;

/// A worker that has not answered for this long gets no new tasks: longer than an idle look takes.
const ANSWERED_WITHIN: Duration = Duration::from_millis(3_500);

/// What bars a worker from new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PlaceBar {
    /// The platform's list does not have it.
    Unlisted,
    /// Its entry has not been written lately, and it refuses nothing: its room may have shrunk.
    OldNews,
    /// A successor would not find it.
    OffRoster,
    /// It has not answered under this tenure, or not lately.
    Silent,
    /// The list speaks of another life of it.
    OtherLife,
    /// It is about to leave.
    Leaving,
    /// Its data centre is evacuated.
    Evacuated,
    /// It refused a start a moment ago.
    Refusing,
    /// It fails or hangs tasks of several jobs.
    Failing,
    /// Its tasks are far too slow.
    Slow,
}

impl PlaceBar {
    /// A short name, for logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            PlaceBar::Unlisted => "unlisted",
            PlaceBar::OldNews => "old news",
            PlaceBar::OffRoster => "off the roster",
            PlaceBar::Silent => "silent",
            PlaceBar::OtherLife => "other life",
            PlaceBar::Leaving => "leaving",
            PlaceBar::Evacuated => "evacuated",
            PlaceBar::Refusing => "refusing",
            PlaceBar::Failing => "failing",
            PlaceBar::Slow => "slow",
        }
    }
}

impl core::PoolCore {
    /// What bars a worker from new tasks now, if anything does.
    pub(crate) fn place_bar(
        &self,
        id: &ids::WorkerId,
        worker: &worker::WorkerRecord,
        now: Duration,
    ) -> Option<PlaceBar> {
        // A worker that refuses nothing would be filled beyond a room that has shrunk unheard, as
        // while the store is away.
        let is_unguarded = self.catalog.unguarded.contains(&worker.listing.upstream);
        let is_silent = !worker.answers() || now >= worker.answered_at + ANSWERED_WITHIN;
        let bars = [
            (!worker.listed, PlaceBar::Unlisted),
            (is_unguarded && worker.is_news_old(&self.terms, now), PlaceBar::OldNews),
            (!self.roster.is_saved(id), PlaceBar::OffRoster),
            (is_silent, PlaceBar::Silent),
            (!worker.is_listed_life(), PlaceBar::OtherLife),
            (worker.leaves_at.is_some(), PlaceBar::Leaving),
            (self.is_evacuated(worker), PlaceBar::Evacuated),
            (now < worker.pauses_until, PlaceBar::Refusing),
            (worker.health.is_paused(now), PlaceBar::Failing),
            (now < worker.slow_until, PlaceBar::Slow),
        ];
        bars.into_iter().find_map(|(is_barred, bar)| is_barred.then_some(bar))
    }

    /// Whether nothing may start on a worker until its data centre is taken back.
    pub(crate) fn is_evacuated(&self, worker: &worker::WorkerRecord) -> bool {
        self.evacuated.contains(&worker.listing.data_center)
    }
}
