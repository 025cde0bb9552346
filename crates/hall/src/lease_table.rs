//! Table of the worker leases that the holder of the tenure knows.

use std::collections::{BTreeMap, BTreeSet};

use almondpass_policy::work;
use almondpass_schema::ids;
use tokio::time::Instant;

use crate::lease;

/// State of a lease, as this scheduler knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseState {
    /// The reservation is sent, or about to be, and not answered yet.
    Reserving,
    /// The worker granted the lease, and it is renewed with each poll.
    Held,
    /// The lease is to be released. It counts as held until its worker confirms the release, or until
    /// it has certainly lapsed: otherwise other work would get resources that are still in use.
    Releasing,
}

/// A lease on a worker with its resources and time bounds.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LeaseEntry {
    /// Task or serving slot that the lease is for.
    pub(crate) purpose: lease::LeasePurpose,
    /// Worker that holds the resources.
    pub(crate) worker: ids::WorkerId,
    /// Indexes of the accelerators on the worker, ascending.
    pub(crate) accelerators: Vec<u32>,
    /// Slots, cores and memory that the lease takes; the accelerators are listed above.
    pub(crate) demand: work::TaskDemand,
    /// State of the lease.
    pub(crate) state: LeaseState,
    /// Time until which the worker certainly keeps the lease.
    pub(crate) valid_until: Instant,
    /// Time by which the worker has certainly dropped the lease.
    pub(crate) expired_by: Instant,
}

/// Leases, by name and by worker.
#[derive(Debug, Default)]
pub(crate) struct LeaseTable {
    entries: BTreeMap<ids::LeaseId, LeaseEntry>,
    by_worker: BTreeMap<ids::WorkerId, BTreeSet<ids::LeaseId>>,
}

impl LeaseTable {
    /// Adds a lease, or replaces the entry of the same name. Returns the name.
    pub(crate) fn insert(&mut self, entry: LeaseEntry) -> ids::LeaseId {
        let name = entry.purpose.name();
        self.by_worker.entry(entry.worker.clone()).or_default().insert(name.clone());
        self.entries.insert(name.clone(), entry);
        name
    }

    /// Lease of this name; `None` once it is gone.
    pub(crate) fn get(&self, name: &str) -> Option<&LeaseEntry> {
        self.entries.get(name)
    }

    /// Mutable lease of this name; its name and worker must not change.
    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut LeaseEntry> {
        self.entries.get_mut(name)
    }

    /// Removes a lease that is proven gone.
    pub(crate) fn remove(&mut self, name: &str) -> Option<LeaseEntry> {
        let entry = self.entries.remove(name)?;
        if let Some(names) = self.by_worker.get_mut(&entry.worker) {
            names.remove(name);
        }
        Some(entry)
    }

    /// Marks a lease for release at the next poll of its worker.
    pub(crate) fn start_release(&mut self, name: &str) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.state = LeaseState::Releasing;
        }
    }

    /// Leases on a worker, by name, in any state.
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

    /// Leases on all workers, by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ids::LeaseId, &LeaseEntry)> {
        self.entries.iter()
    }

    /// Removes and returns the leases that have certainly lapsed by `now`.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<(ids::LeaseId, LeaseEntry)> {
        let lapsed = self.entries.iter().filter(|(_, it)| it.expired_by <= now);
        let names = lapsed.map(|(name, _)| name.clone()).collect::<Vec<_>>();
        names.into_iter().filter_map(|it| Some((it.clone(), self.remove(&it)?))).collect()
    }
}
