//! The worker leases that a holder knows of.

use std::collections::{BTreeMap, BTreeSet};

use almondpass_policy::work;
use almondpass_schema::ids;
use tokio::time::Instant;

use crate::lease;

/// How a lease stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseState {
    /// The reservation was sent and is not answered yet.
    Reserving,
    /// Granted and renewed.
    Held,
    /// To be released. It counts as held until its worker confirms that it is gone, or until it
    /// has certainly lapsed: other work would otherwise be promised what is still in use.
    Releasing,
}

/// One lease.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LeaseEntry {
    /// What it is for.
    pub(crate) purpose: lease::LeasePurpose,
    /// Its worker.
    pub(crate) worker: ids::WorkerId,
    /// Accelerators, ascending.
    pub(crate) accelerators: Vec<u32>,
    /// Slots, cores and memory.
    pub(crate) demand: work::TaskDemand,
    /// How it stands.
    pub(crate) state: LeaseState,
    /// Its worker certainly keeps it until then.
    pub(crate) valid_until: Instant,
    /// Its worker has certainly dropped it by then.
    pub(crate) expired_by: Instant,
}

/// Leases by name and by worker.
#[derive(Debug, Default)]
pub(crate) struct LeaseTable {
    entries: BTreeMap<ids::LeaseId, LeaseEntry>,
    by_worker: BTreeMap<ids::WorkerId, BTreeSet<ids::LeaseId>>,
}

impl LeaseTable {
    /// Adds a lease, or replaces what is known of it.
    pub(crate) fn insert(&mut self, entry: LeaseEntry) -> ids::LeaseId {
        let name = entry.purpose.name();
        self.by_worker.entry(entry.worker.clone()).or_default().insert(name.clone());
        self.entries.insert(name.clone(), entry);
        name
    }

    /// The lease of this name.
    pub(crate) fn get(&self, name: &str) -> Option<&LeaseEntry> {
        self.entries.get(name)
    }

    /// The lease of this name.
    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut LeaseEntry> {
        self.entries.get_mut(name)
    }

    /// Forgets a lease that is proven gone.
    pub(crate) fn remove(&mut self, name: &str) -> Option<LeaseEntry> {
        let entry = self.entries.remove(name)?;
        if let Some(names) = self.by_worker.get_mut(&entry.worker) {
            names.remove(name);
        }
        Some(entry)
    }

    /// Marks a lease for release.
    pub(crate) fn start_release(&mut self, name: &str) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.state = LeaseState::Releasing;
        }
    }

    /// Leases on a worker.
    pub(crate) fn on_worker(
        &self,
        worker: &str,
    ) -> impl Iterator<Item = (&ids::LeaseId, &LeaseEntry)> + use<'_> {
        let names = self.by_worker.get(worker);
        names.into_iter().flatten().map(|it| (it, &self.entries[it]))
    }

    /// Names of the leases on a worker that are in `state`.
    pub(crate) fn names_in_state(&self, worker: &str, state: LeaseState) -> Vec<ids::LeaseId> {
        let leases = self.on_worker(worker).filter(|(_, it)| it.state == state);
        leases.map(|(name, _)| name.clone()).collect()
    }

    /// Every lease.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ids::LeaseId, &LeaseEntry)> {
        self.entries.iter()
    }

    /// Leases that have certainly lapsed by `now`; they are forgotten.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<(ids::LeaseId, LeaseEntry)> {
        let lapsed = self.entries.iter().filter(|(_, it)| it.expired_by <= now);
        let names = lapsed.map(|(name, _)| name.clone()).collect::<Vec<_>>();
        names.into_iter().filter_map(|it| Some((it.clone(), self.remove(&it)?))).collect()
    }
}
