//! Refuses submissions of the load simulation, and lets the refused callers come back as told.

use std::time::Duration;

use almondpass_graph::{admission, catalog};
use almondpass_schema::model;

use crate::load_simulation;

/// Of the refusals, one in this many is not carried out, to see whether the job would have been of use.
const PROBE_INTERVAL: u32 = 2;

/// A submission.
#[derive(Clone, Debug)]
pub(crate) struct LoadOffer {
    pub(crate) job: load_simulation::LoadJob,
    pub(crate) row: model::GraphRow,
    /// Whether the job was refused before.
    pub(crate) is_return: bool,
}

/// What became of the refused submissions.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RefusalTally {
    pub(crate) n_refused: u32,
    /// Refused jobs that were admitted nevertheless.
    pub(crate) n_probes: u32,
    /// Probes that ended within three times their objective.
    pub(crate) n_useful_probes: u32,
    /// Callers that came back as told.
    pub(crate) n_returned: u32,
    /// Of these, those that were admitted.
    pub(crate) n_returned_admitted: u32,
}

impl RefusalTally {
    /// Adds what became of the refused submissions of another simulation.
    pub(crate) fn add(&mut self, other: RefusalTally) {
        self.n_refused += other.n_refused;
        self.n_probes += other.n_probes;
        self.n_useful_probes += other.n_useful_probes;
        self.n_returned += other.n_returned;
        self.n_returned_admitted += other.n_returned_admitted;
    }
}

/// Decides about submissions.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionGate {
    pub(crate) tally: RefusalTally,
    returning: Vec<(Duration, LoadOffer)>,
}

impl AdmissionGate {
    /// Returns an offer that is admitted; a refused caller comes back once.
    pub(crate) fn decide(
        &mut self,
        mut offer: LoadOffer,
        catalog: &catalog::PoolCatalog,
        load: Option<&model::LoadSummary>,
        now: Duration,
    ) -> Option<LoadOffer> {
        let request = |load| admission::AdmissionRequest { row: &offer.row, catalog, load };
        let refusal = load.and_then(|it| admission::refusal(request(it)));
        if offer.is_return {
            self.tally.n_returned += 1;
            self.tally.n_returned_admitted += u32::from(refusal.is_none());
        }
        let Some(refusal) = refusal else { return Some(offer) };
        if offer.is_return {
            return None;
        }
        self.tally.n_refused += 1;
        if self.tally.n_refused.is_multiple_of(PROBE_INTERVAL) {
            self.tally.n_probes += 1;
            offer.job.is_probe = true;
            return Some(offer);
        }
        offer.is_return = true;
        let returns_in = Duration::from_secs(refusal.returns_in.as_secs() + 1);
        self.returning.push((now + returns_in, offer));
        None
    }

    /// The callers that come back by now.
    pub(crate) fn take_returning(&mut self, now: Duration) -> Vec<LoadOffer> {
        let due = self.returning.extract_if(.., |(at, _)| *at <= now);
        due.map(|(_, it)| it).collect()
    }
}
