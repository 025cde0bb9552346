//! How the scheduler keeps in touch with the workers.

use std::time::Duration;

use almondpass_policy::event;
use almondpass_schema::{ids, model};
use tokio::time::Instant;

use crate::actor::HallActor;
use crate::backend;
use crate::job_table::GangPhase;
use crate::lease::LeasePurpose;
use crate::lease_table::LeaseState;
use crate::metric;
use crate::worker_node::NodeState;
use crate::worker_poll_task::{self, PollQuery};

impl<B: backend::HallBackend> HallActor<B> {
    /// Calls the workers whose time has come.
    pub(crate) fn poll_workers(&mut self, now: Instant) {
        // A holder that does not know whether it still is one must not keep leases alive.
        if self.fenced || !self.tenure.may_act() {
            return;
        }
        let due = self.nodes.iter().filter(|(_, it)| !it.polling && it.next_poll <= now);
        for worker in due.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.sync_worker(worker, now);
        }
    }

    fn sync_worker(&mut self, worker: ids::WorkerId, now: Instant) {
        let Some(node) = self.nodes.get_mut(&worker) else { return };
        let Some(address) = node.address().cloned() else {
            node.next_poll = now + UNLISTED_RETRY;
            return;
        };
        node.polling = true;
        // After a failure the worker is asked to list, not to renew: a renewal that may have
        // landed would move the time by which its leases have certainly lapsed on and on.
        let lists = node.state == NodeState::LeasesUnknown || 0 < node.failed_polls;
        let release = self.leases.names_in_state(&worker, LeaseState::Releasing);
        let query = if lists {
            PollQuery::List
        } else {
            let leases = self.leases.names_in_state(&worker, LeaseState::Held);
            PollQuery::Renew { leases, term: self.options.lease_term() }
        };
        let deadline = self.options.call_deadline();
        let plan = worker_poll_task::PollPlan { worker, address, release, query, deadline };
        let (workers, reports) = (self.ports.workers.clone(), self.own_address());
        tokio::spawn(async move {
            let _ = reports.send(worker_poll_task::run(workers, plan).await).await;
        });
    }

    pub(crate) fn on_poll_report(&mut self, report: worker_poll_task::PollReport) {
        let worker = report.plan.worker.clone();
        if let Some(node) = self.nodes.get_mut(&worker) {
            node.polling = false;
        }
        if report.released {
            for lease in &report.plan.release {
                self.on_lease_released(lease);
            }
        }
        match &report.listing {
            Some(listing) => self.on_worker_answer(&worker, &report, listing),
            None => self.on_worker_silent(&worker, &report),
        }
        self.wake.notify_one();
    }

    fn on_worker_answer(
        &mut self,
        worker: &ids::WorkerId,
        report: &worker_poll_task::PollReport,
        listing: &model::LeaseListing,
    ) {
        let renews = matches!(report.plan.query, PollQuery::Renew { .. });
        for status in &listing.leases {
            if renews {
                self.extend_lease(&status.lease, report.sent_at);
            }
            self.note_status(status);
        }
        let lapsed = listing.lapsed.clone();
        for lease in &lapsed {
            self.lease_lapsed(lease, worker);
        }
        let clean = renews || self.reconcile(worker, report, listing);
        let interval = self.sync_interval(worker);
        let Some(node) = self.nodes.get_mut(worker) else { return };
        node.failed_polls = 0;
        let now = Instant::now();
        if !clean {
            node.next_poll = now;
            return;
        }
        let back = node.state == NodeState::LeasesUnknown;
        node.state = NodeState::Live;
        // After a list, renew at once: the leases were not renewed by it.
        node.next_poll = if renews { now + interval } else { now };
        if back {
            tracing::info!(hall = self.hall, worker, "a worker answers");
            self.apply_event(event::HallEvent::WorkerBack(worker.clone()));
            self.update_draining(worker);
        }
    }

    /// Compares a full list with what is known; whether nothing unknown is on the worker.
    fn reconcile(
        &mut self,
        worker: &ids::WorkerId,
        report: &worker_poll_task::PollReport,
        listing: &model::LeaseListing,
    ) -> bool {
        let held = self.leases.names_in_state(worker, LeaseState::Held);
        for lease in held {
            let listed = listing.leases.iter().any(|it| it.lease == lease);
            // Reserved after the list was asked for: it cannot be on it.
            let older = self.leases.get(&lease).is_some_and(|it| it.valid_until < report.sent_at);
            if !listed && (older || self.nodes[worker].state == NodeState::LeasesUnknown) {
                self.lease_lapsed(&lease, worker);
            }
        }
        let mut clean = true;
        for status in &listing.leases {
            if self.leases.get(&status.lease).is_some() {
                continue;
            }
            let Some(purpose) = LeasePurpose::parse(&status.lease) else { continue };
            if self.tenure.epoch() < purpose.epoch() {
                self.fence();
                return false;
            }
            self.insert_stray_lease(worker, purpose, status.accelerators.clone());
            clean = false;
        }
        clean
    }

    fn on_worker_silent(&mut self, worker: &ids::WorkerId, report: &worker_poll_task::PollReport) {
        let (term, margin) = (self.options.lease_term(), self.options.lease_margin());
        if let PollQuery::Renew { leases, .. } = &report.plan.query {
            // The renewal may have landed without its answer.
            for lease in leases {
                if let Some(entry) = self.leases.get_mut(lease) {
                    entry.expired_by = entry.expired_by.max(Instant::now() + term + margin);
                }
            }
        }
        let Some(node) = self.nodes.get_mut(worker) else { return };
        node.failed_polls += 1;
        node.next_poll = Instant::now() + self.options.timing.worker_poll.0;
        let first = node.failed_polls == 1;
        if node.failed_polls == LOST_AFTER && node.state == NodeState::Live {
            node.state = NodeState::LeasesUnknown;
            tracing::warn!(hall = self.hall, worker, "a worker does not answer");
            self.apply_event(event::HallEvent::WorkerLost(worker.clone()));
        }
        if first {
            self.look_at_gangs_on(worker);
        }
    }

    fn look_at_gangs_on(&mut self, worker: &str) {
        let tasks = self.leases.on_worker(worker).filter_map(|(_, it)| match it.purpose {
            LeasePurpose::Task { job, .. } => Some(job),
            LeasePurpose::Serve { .. } => None,
        });
        for job in tasks.collect::<Vec<_>>() {
            self.advance_gang(job);
        }
    }

    /// What a worker says of one lease.
    fn note_status(&mut self, status: &model::LeaseStatus) {
        let Some(entry) = self.leases.get(&status.lease) else { return };
        let LeasePurpose::Task { job, start, rank } = entry.purpose else { return };
        let Some(gang) = self.jobs.entries.get_mut(&job).and_then(|it| it.gang_for_start(start))
        else {
            return;
        };
        let Some(member) = gang.members.iter_mut().find(|it| it.assignment.rank == rank) else {
            return;
        };
        if status.checkpoint.is_some() {
            member.checkpoint = status.checkpoint.clone();
        }
        if status.exit.is_some() {
            member.exit = status.exit.clone();
        }
        self.advance_gang(job);
    }

    /// A lease is proven gone.
    pub(crate) fn on_lease_released(&mut self, lease: &ids::LeaseId) {
        let Some(entry) = self.leases.remove(lease) else { return };
        self.grants.idle_leases.remove(lease);
        if let LeasePurpose::Task { job, .. } = entry.purpose {
            self.advance_gang(job);
        }
    }

    /// A lease lapsed that was not given back.
    pub(crate) fn lease_lapsed(&mut self, lease: &ids::LeaseId, worker: &ids::WorkerId) {
        let Some(entry) = self.leases.get(lease) else { return };
        if entry.state == LeaseState::Held {
            metric::lease_lapsed(&self.hall);
            tracing::warn!(hall = self.hall, lease, worker, "a worker lease lapsed");
        }
        let purpose = entry.purpose;
        self.leases.remove(lease);
        self.grants.idle_leases.remove(lease);
        if let LeasePurpose::Task { job, start, .. } = purpose {
            self.on_member_lapsed(job, start, worker);
            self.advance_gang(job);
        }
    }

    /// Calls are as seldom as the youngest task allows: one that ran for hours is not worth a
    /// call each second, and one that just started may end at once.
    fn sync_interval(&self, worker: &str) -> Duration {
        let shortest = self.options.timing.worker_poll.0;
        let longest = self.options.lease_term() / RENEWALS_PER_TERM;
        if !self.leases.names_in_state(worker, LeaseState::Releasing).is_empty() {
            return shortest;
        }
        let tasks = self.leases.on_worker(worker).filter_map(|(_, it)| match it.purpose {
            LeasePurpose::Task { job, start, .. } => Some((job, start)),
            LeasePurpose::Serve { .. } => None,
        });
        let gangs = tasks.filter_map(|(job, start)| {
            self.jobs.entries.get(&job)?.gang.as_ref().filter(|it| it.start == start)
        });
        let youngest = gangs.map(|it| match it.phase {
            GangPhase::Running if !it.checkpoint_requested => it.started_at.elapsed(),
            _ => Duration::ZERO,
        });
        let youngest = youngest.min().unwrap_or(longest * AGE_PER_CALL);
        (youngest / AGE_PER_CALL).clamp(shortest, longest.max(shortest))
    }
}

/// Calls without an answer after which a worker counts as lost.
const LOST_AFTER: u32 = 3;
/// A worker that is not on the instance list is looked for after this.
const UNLISTED_RETRY: Duration = Duration::from_secs(1);
/// Leases are renewed at least this often within their term.
const RENEWALS_PER_TERM: u32 = 4;
/// A task that ran for this many intervals is called once in one.
const AGE_PER_CALL: u32 = 16;
