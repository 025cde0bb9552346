//! Accounts for worker leases that the scheduler reserves, extends and releases.

use almondpass_policy::work;
use almondpass_schema::{ids, model, time};
use tokio::time::Instant;

use crate::actor::HallActor;
use crate::backend;
use crate::lease;
use crate::lease_table::{LeaseEntry, LeaseState};
use crate::metric;

impl<B: backend::HallBackend> HallActor<B> {
    /// Adds a lease whose reservation is about to be sent.
    pub(crate) fn insert_reserving_lease(
        &mut self,
        purpose: lease::LeasePurpose,
        assignment: &work::TaskAssignment,
        demand: work::TaskDemand,
    ) -> ids::LeaseId {
        let now = Instant::now();
        // The reservation with its retries ends by then, so the worker may grant it that late.
        let latest = now + self.options.call_deadline() * MAX_RESERVE_DEADLINES;
        self.leases.insert(LeaseEntry {
            purpose,
            worker: assignment.worker.clone(),
            accelerators: assignment.accelerators.clone(),
            demand,
            state: LeaseState::Reserving,
            valid_until: now,
            expired_by: latest + self.options.lease_term() + self.options.lease_margin(),
        })
    }

    /// Reservation call for a lease, as sent to the worker.
    pub(crate) fn reservation(
        &self,
        lease: &ids::LeaseId,
        assignment: &work::TaskAssignment,
        demand: &work::TaskDemand,
    ) -> model::LeaseReserve {
        model::LeaseReserve {
            lease: lease.clone(),
            accelerators: assignment.accelerators.clone(),
            slots: demand.slots,
            cores: demand.cores,
            memory_mb: demand.memory_mb,
            term: time::TimeSpan(self.options.lease_term()),
        }
    }

    /// Extends a lease that the worker granted or renewed in answer to a call sent at `sent_at`.
    pub(crate) fn extend_lease(&mut self, lease: &str, sent_at: Instant) {
        let (term, margin) = (self.options.lease_term(), self.options.lease_margin());
        let Some(entry) = self.leases.get_mut(lease) else { return };
        if entry.state == LeaseState::Reserving {
            entry.state = LeaseState::Held;
        } else {
            let remaining = entry.valid_until.saturating_duration_since(Instant::now());
            metric::lease_margin(&self.hall, remaining);
        }
        entry.valid_until = entry.valid_until.max(sent_at + term.saturating_sub(margin));
        entry.expired_by = entry.expired_by.max(Instant::now() + term + margin);
    }

    /// Marks a lease for release. It counts as held until its worker confirms, or until it lapses.
    pub(crate) fn release(&mut self, lease: &ids::LeaseId) {
        self.grants.idle_leases.remove(lease);
        let Some(worker) = self.leases.get(lease).map(|it| it.worker.clone()) else { return };
        self.leases.start_release(lease);
        self.poll_soon(&worker);
    }

    /// Schedules a poll of the worker for the next scheduling round.
    pub(crate) fn poll_soon(&mut self, worker: &str) {
        if let Some(node) = self.nodes.get_mut(worker) {
            node.next_poll = Instant::now();
        }
        self.wake.notify_one();
    }

    /// Marks idle serving leases for release that conflict with a reservation, and returns their names:
    /// all that share its accelerators, then others until slots, cores and memory suffice.
    pub(crate) fn evict_idle_leases(
        &mut self,
        assignment: &work::TaskAssignment,
        demand: &work::TaskDemand,
    ) -> Vec<ids::LeaseId> {
        let on_worker = self.leases.on_worker(&assignment.worker);
        let idle = on_worker.filter(|(name, _)| self.grants.idle_leases.contains_key(*name));
        let (overlapping, mut others): (Vec<_>, Vec<_>) =
            idle.map(|(name, it)| (name.clone(), it.clone())).partition(|(_, it)| {
                it.accelerators.iter().any(|index| assignment.accelerators.contains(index))
            });
        let mut evicted = overlapping.into_iter().map(|(name, _)| name).collect::<Vec<_>>();
        while !self.fits_without(&assignment.worker, demand, &evicted) {
            let Some((name, _)) = others.pop() else { break };
            evicted.push(name);
        }
        for name in &evicted {
            self.release(name);
        }
        evicted
    }

    /// Whether the worker's slots, cores and memory suffice for `demand` without the leases `without`.
    fn fits_without(
        &self,
        worker: &str,
        demand: &work::TaskDemand,
        without: &[ids::LeaseId],
    ) -> bool {
        let Some(node) = self.nodes.get(worker) else { return true };
        let held = self.leases.on_worker(worker).filter(|(name, _)| !without.contains(name));
        let held = held.map(|(_, it)| it.demand).collect::<Vec<_>>();
        let slots = held.iter().map(|it| it.slots).sum::<u32>() + demand.slots;
        let cores = held.iter().map(|it| it.cores).sum::<u32>() + demand.cores;
        let memory = held.iter().map(|it| it.memory_mb).sum::<u64>() + demand.memory_mb;
        slots <= node.kind.slots && cores <= node.kind.cores && memory <= node.kind.memory_mb
    }

    /// Releases conflicting leases that this scheduler does not know: they were reserved by an earlier
    /// tenure, or by a reservation of this one that reached the worker after its release. Otherwise an
    /// accelerator would look free while its worker refuses all reservations for a lease term.
    pub(crate) fn release_stray_leases(&mut self, worker: &ids::WorkerId, names: &[ids::LeaseId]) {
        for name in names {
            if self.leases.get(name).is_some() {
                continue;
            }
            let Some(purpose) = lease::LeasePurpose::parse(name) else { continue };
            if self.tenure.epoch() < purpose.epoch() {
                self.fence();
                return;
            }
            self.insert_stray_lease(worker, purpose, Vec::new());
        }
    }

    /// Adds an unknown lease that was found on a worker, marked for release.
    pub(crate) fn insert_stray_lease(
        &mut self,
        worker: &ids::WorkerId,
        purpose: lease::LeasePurpose,
        accelerators: Vec<u32>,
    ) {
        let now = Instant::now();
        let entry = LeaseEntry {
            purpose,
            worker: worker.clone(),
            accelerators,
            demand: work::TaskDemand::default(),
            state: LeaseState::Releasing,
            valid_until: now,
            expired_by: now + self.options.lease_term() + self.options.lease_margin(),
        };
        tracing::info!(
            hall = self.hall,
            worker,
            lease = entry.purpose.name(),
            "releasing a stray lease"
        );
        self.leases.insert(entry);
        self.poll_soon(worker);
    }
}

/// Longest duration of a reservation with its retries, in call deadlines.
const MAX_RESERVE_DEADLINES: u32 = 3;
