//! The periodic polls of workers: lease renewal, release of leases, and detection of lost workers.

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
    /// Starts a poll of each worker whose next poll is due.
    pub(crate) fn poll_workers(&mut self, now: Instant) {
        // A scheduler that may have lost its tenure must not keep leases alive.
        if self.fenced || !self.tenure.may_act() {
            return;
        }
        let due = self.nodes.iter().filter(|(_, it)| !it.polling && it.next_poll <= now);
        for worker in due.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.poll_worker(worker, now);
        }
    }

    fn poll_worker(&mut self, worker: ids::WorkerId, now: Instant) {
        let Some(node) = self.nodes.get_mut(&worker) else { return };
        let Some(address) = node.address().cloned() else {
            node.next_poll = now + UNLISTED_RETRY_DELAY;
            return;
        };
        node.polling = true;
        // After a failed poll the leases are listed, not renewed. Each unanswered renewal may have taken
        // effect, so repeating it would postpone the time by which the leases have certainly lapsed.
        let must_list = node.state == NodeState::LeasesUnknown || 0 < node.failed_polls;
        let release = self.leases.names_in_state(&worker, LeaseState::Releasing);
        let query = if must_list {
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
            Some(listing) => self.on_poll_answered(&worker, &report, listing),
            None => self.on_poll_unanswered(&worker, &report),
        }
        self.wake.notify_one();
    }

    fn on_poll_answered(
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
            self.record_task_status(status);
        }
        let lapsed = listing.lapsed.clone();
        for lease in &lapsed {
            self.lease_lapsed(lease, worker);
        }
        let all_known = renews || self.reconcile(worker, report, listing);
        let interval = self.poll_interval(worker);
        let Some(node) = self.nodes.get_mut(worker) else { return };
        node.failed_polls = 0;
        let now = Instant::now();
        if !all_known {
            node.next_poll = now;
            return;
        }
        let came_back = node.state == NodeState::LeasesUnknown;
        node.state = NodeState::Live;
        // Listing doesn't renew the leases, so a renewal follows at once.
        node.next_poll = if renews { now + interval } else { now };
        if came_back {
            tracing::info!(hall = self.hall, worker, "worker answers");
            self.apply_event(event::HallEvent::WorkerBack(worker.clone()));
            self.update_draining(worker);
        }
    }

    /// Compares a full list of a worker's leases with the lease table. Held leases that the list lacks have
    /// lapsed, except those that may have been reserved after the list was requested. Unknown leases are
    /// entered for release. Returns whether all listed leases were known.
    fn reconcile(
        &mut self,
        worker: &ids::WorkerId,
        report: &worker_poll_task::PollReport,
        listing: &model::LeaseListing,
    ) -> bool {
        let held = self.leases.names_in_state(worker, LeaseState::Held);
        for lease in held {
            let listed = listing.leases.iter().any(|it| it.lease == lease);
            // The list can lack a lease that was reserved after the list was requested. Such a lease is
            // valid beyond `sent_at`.
            let expired_before_list =
                self.leases.get(&lease).is_some_and(|it| it.valid_until < report.sent_at);
            if !listed
                && (expired_before_list || self.nodes[worker].state == NodeState::LeasesUnknown)
            {
                self.lease_lapsed(&lease, worker);
            }
        }
        let mut all_known = true;
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
            all_known = false;
        }
        all_known
    }

    fn on_poll_unanswered(
        &mut self,
        worker: &ids::WorkerId,
        report: &worker_poll_task::PollReport,
    ) {
        let (term, margin) = (self.options.lease_term(), self.options.lease_margin());
        if let PollQuery::Renew { leases, .. } = &report.plan.query {
            // The renewal may have taken effect although its reply was lost.
            for lease in leases {
                if let Some(entry) = self.leases.get_mut(lease) {
                    entry.expired_by = entry.expired_by.max(Instant::now() + term + margin);
                }
            }
        }
        let Some(node) = self.nodes.get_mut(worker) else { return };
        node.failed_polls += 1;
        node.next_poll = Instant::now() + self.options.timing.worker_poll.0;
        let is_first_failure = node.failed_polls == 1;
        if node.failed_polls == LOST_AFTER_POLLS && node.state == NodeState::Live {
            node.state = NodeState::LeasesUnknown;
            tracing::warn!(hall = self.hall, worker, "worker does not answer");
            self.apply_event(event::HallEvent::WorkerLost(worker.clone()));
        }
        if is_first_failure {
            self.advance_gangs_on(worker);
        }
    }

    fn advance_gangs_on(&mut self, worker: &str) {
        let tasks = self.leases.on_worker(worker).filter_map(|(_, it)| match it.purpose {
            LeasePurpose::Task { job, .. } => Some(job),
            LeasePurpose::Serve { .. } => None,
        });
        for job in tasks.collect::<Vec<_>>() {
            self.advance_gang(job);
        }
    }

    /// Records the checkpoint and the exit that a worker reports for a gang's task.
    fn record_task_status(&mut self, status: &model::LeaseStatus) {
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

    /// Removes a lease whose release the worker confirmed.
    pub(crate) fn on_lease_released(&mut self, lease: &ids::LeaseId) {
        let Some(entry) = self.leases.remove(lease) else { return };
        self.grants.idle_leases.remove(lease);
        if let LeasePurpose::Task { job, .. } = entry.purpose {
            self.advance_gang(job);
        }
    }

    /// Removes a lease that lapsed on its worker. It is counted and logged if the scheduler still held it.
    pub(crate) fn lease_lapsed(&mut self, lease: &ids::LeaseId, worker: &ids::WorkerId) {
        let Some(entry) = self.leases.get(lease) else { return };
        if entry.state == LeaseState::Held {
            metric::lease_lapsed(&self.hall);
            tracing::warn!(hall = self.hall, lease, worker, "worker lease lapsed");
        }
        let purpose = entry.purpose;
        self.leases.remove(lease);
        self.grants.idle_leases.remove(lease);
        if let LeasePurpose::Task { job, start, .. } = purpose {
            self.on_member_lapsed(job, start, worker);
            self.advance_gang(job);
        }
    }

    /// Time until the next poll of a worker. It grows with the age of the worker's youngest task: a task that
    /// just started may end at once, while one that has run for hours need not be polled each second.
    fn poll_interval(&self, worker: &str) -> Duration {
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
        let youngest = youngest.min().unwrap_or(longest * AGE_PER_POLL_INTERVAL);
        (youngest / AGE_PER_POLL_INTERVAL).clamp(shortest, longest.max(shortest))
    }
}

/// Failed polls in a row after which a worker counts as lost.
const LOST_AFTER_POLLS: u32 = 3;
/// Time until the next attempt to poll a worker that has no address on the instance list.
const UNLISTED_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Leases are renewed at least this often within their term.
const RENEWALS_PER_TERM: u32 = 4;
/// The poll interval is the age of the worker's youngest task divided by this.
const AGE_PER_POLL_INTERVAL: u32 = 16;
