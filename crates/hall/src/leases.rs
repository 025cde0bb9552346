//! How the scheduler reserves, releases and accounts for worker leases.

use almondpass_policy::work;
use almondpass_schema::{ids, model, time};
use tokio::time::Instant;

use crate::actor::HallActor;
use crate::backend;
use crate::lease;
use crate::lease_table::{LeaseEntry, LeaseState};
use crate::metric;

impl<B: backend::HallBackend> HallActor<B> {
    /// Enters a lease whose reservation is about to be sent.
    pub(crate) fn insert_reserving_lease(
        &mut self,
        purpose: lease::LeasePurpose,
        slot: &work::TaskAssignment,
        demand: work::TaskDemand,
    ) -> ids::LeaseId {
        let now = Instant::now();
        // Tries and retries of the reservation end within this; it may land as late.
        let latest = now + self.options.call_deadline() * RESERVE_SPAN;
        self.leases.insert(LeaseEntry {
            purpose,
            worker: slot.worker.clone(),
            accelerators: slot.accelerators.clone(),
            demand,
            state: LeaseState::Reserving,
            valid_until: now,
            expired_by: latest + self.options.lease_term() + self.options.lease_margin(),
        })
    }

    /// The reservation as sent.
    pub(crate) fn reservation(
        &self,
        lease: &ids::LeaseId,
        slot: &work::TaskAssignment,
        demand: &work::TaskDemand,
    ) -> model::LeaseReserve {
        model::LeaseReserve {
            lease: lease.clone(),
            accelerators: slot.accelerators.clone(),
            slots: demand.slots,
            cores: demand.cores,
            memory_mb: demand.memory_mb,
            term: time::TimeSpan(self.options.lease_term()),
        }
    }

    /// The worker granted or renewed a lease by an exchange that was sent at `sent_at`.
    pub(crate) fn extend_lease(&mut self, lease: &str, sent_at: Instant) {
        let (term, margin) = (self.options.lease_term(), self.options.lease_margin());
        let Some(entry) = self.leases.get_mut(lease) else { return };
        if entry.state == LeaseState::Reserving {
            entry.state = LeaseState::Held;
        } else {
            let left = entry.valid_until.saturating_duration_since(Instant::now());
            metric::lease_margin(&self.hall, left);
        }
        entry.valid_until = entry.valid_until.max(sent_at + term.saturating_sub(margin));
        entry.expired_by = entry.expired_by.max(Instant::now() + term + margin);
    }

    /// Gives a lease back; it counts as held until its worker confirms or it has lapsed.
    pub(crate) fn release(&mut self, lease: &ids::LeaseId) {
        self.grants.idle_leases.remove(lease);
        let Some(worker) = self.leases.get(lease).map(|it| it.worker.clone()) else { return };
        self.leases.start_release(lease);
        self.poll_soon(&worker);
    }

    /// Has the worker called at the next turn.
    pub(crate) fn poll_soon(&mut self, worker: &str) {
        if let Some(node) = self.nodes.get_mut(worker) {
            node.next_poll = Instant::now();
        }
        self.wake.notify_one();
    }

    /// Idle serving leases that stand in the way of a reservation; they are being released.
    pub(crate) fn evict_idle_leases(
        &mut self,
        slot: &work::TaskAssignment,
        demand: &work::TaskDemand,
    ) -> Vec<ids::LeaseId> {
        let on_worker = self.leases.on_worker(&slot.worker);
        let idle = on_worker.filter(|(name, _)| self.grants.idle_leases.contains_key(*name));
        let (overlapping, mut others): (Vec<_>, Vec<_>) =
            idle.map(|(name, it)| (name.clone(), it.clone())).partition(|(_, it)| {
                it.accelerators.iter().any(|index| slot.accelerators.contains(index))
            });
        let mut evicted = overlapping.into_iter().map(|(name, _)| name).collect::<Vec<_>>();
        while !self.fits(&slot.worker, demand, &evicted) {
            let Some((name, _)) = others.pop() else { break };
            evicted.push(name);
        }
        for name in &evicted {
            self.release(name);
        }
        evicted
    }

    /// Whether slots, cores and memory suffice once `without` is gone.
    fn fits(&self, worker: &str, demand: &work::TaskDemand, without: &[ids::LeaseId]) -> bool {
        let Some(node) = self.nodes.get(worker) else { return true };
        let held = self.leases.on_worker(worker).filter(|(name, _)| !without.contains(name));
        let held = held.map(|(_, it)| it.demand).collect::<Vec<_>>();
        let slots = held.iter().map(|it| it.slots).sum::<u32>() + demand.slots;
        let cores = held.iter().map(|it| it.cores).sum::<u32>() + demand.cores;
        let memory = held.iter().map(|it| it.memory_mb).sum::<u64>() + demand.memory_mb;
        slots <= node.kind.slots && cores <= node.kind.cores && memory <= node.kind.memory_mb
    }

    /// Releases leases that stood in the way and that this scheduler does not know: they were
    /// reserved by an earlier tenure, or by a reservation of ours that landed after its release.
    /// Without this, an accelerator would look free and refuse everybody for a term.
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

    /// Enters an unknown lease found on a worker, to be released.
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
            "releases a lease of an earlier tenure"
        );
        self.leases.insert(entry);
        self.poll_soon(worker);
    }
}

/// Call deadlines that a reservation with its retries may take.
const RESERVE_SPAN: u32 = 3;
