//! Ends gangs: after their tasks have ended, on a decision of the policy, or after the loss of a member.

use almondpass_policy::event;
use almondpass_schema::{ids, model};
use tokio::time::Instant;

use crate::actor::HallActor;
use crate::backend;
use crate::job_table::{Gang, GangEnding, GangMember, GangPhase};
use crate::lease;
use crate::lease_table::LeaseState;
use crate::metric;

impl<B: backend::HallBackend> HallActor<B> {
    /// Stops all members of a gang: releases the lease of each, and reports `ending` to the policy
    /// once every lease is proven gone.
    pub(crate) fn stop_gang(&mut self, job: ids::JobId, ending: GangEnding) {
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        let Some(gang) = entry.gang.as_mut() else {
            return;
        };
        match gang.phase {
            GangPhase::Stopping { .. } => return,
            // The task that starts the gang is still in progress: a reservation of that task which
            // reached a worker after our release would hold accelerators for a lease term. The
            // gang is stopped when the task reports, which it does soon.
            GangPhase::Reserving | GangPhase::Starting if !gang.start_reported => {
                gang.stop_requested = true;
                return;
            }
            // Dropping the sender cancels the start.
            GangPhase::PersistingStart(_) => {
                gang.stop_requested = true;
                gang.phase = GangPhase::Reserving;
                return;
            }
            _ => {}
        }
        gang.phase = GangPhase::Stopping { ending, since: Instant::now() };
        let leases = gang.members.iter().map(|it| it.lease.clone()).collect::<Vec<_>>();
        for lease in &leases {
            self.release(lease);
        }
        self.advance_gang(job);
    }

    /// Stops the gang of a member whose lease lapsed on `worker`, if the gang is running.
    pub(crate) fn on_member_lapsed(
        &mut self,
        job: ids::JobId,
        start: lease::StartNumber,
        worker: &ids::WorkerId,
    ) {
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        let Some(gang) = entry.gang_for_start(start) else { return };
        if let GangPhase::Running = gang.phase {
            let exit = event::WorkExit::Lost { worker: worker.clone() };
            self.stop_gang(job, GangEnding::Ended(exit));
        }
    }

    /// Stops gangs with a member whose lease may have lapsed because its worker did not answer for a
    /// lease term, and removes the leases that have certainly lapsed.
    pub(crate) fn stop_lapsed_gangs(&mut self, now: Instant) {
        if now < self.next_lapse_check {
            return;
        }
        self.next_lapse_check = now + LAPSE_CHECK_INTERVAL;
        let lapsed = self
            .leases
            .iter()
            .filter(|(_, it)| it.state == LeaseState::Held && it.valid_until <= now);
        let lapsed = lapsed.filter_map(|(_, it)| match it.purpose {
            lease::LeasePurpose::Task { job, start, .. } => Some((job, start, it.worker.clone())),
            lease::LeasePurpose::Serve { .. } => None,
        });
        for (job, start, worker) in lapsed.collect::<Vec<_>>() {
            self.on_member_lapsed(job, start, &worker);
        }
        for (lease, entry) in self.leases.expire(now) {
            self.grants.idle_leases.remove(&lease);
            if let lease::LeasePurpose::Task { job, .. } = entry.purpose {
                self.advance_gang(job);
            }
        }
    }

    /// Moves a gang to its next phase if the state of its members allows that: a stopping gang ends
    /// once all leases are gone, a running one is checked for ended tasks and new checkpoints.
    pub(crate) fn advance_gang(&mut self, job: ids::JobId) {
        let Some(gang) = self.jobs.entries.get(&job).and_then(|it| it.gang.as_ref()) else {
            return;
        };
        match &gang.phase {
            GangPhase::Stopping { .. }
                if gang.members.iter().all(|it| self.is_released(gang, it)) =>
            {
                self.finish_stopped_gang(job);
            }
            GangPhase::Running => self.check_member_exits(job),
            _ => {}
        }
    }

    /// Whether a member of a stopping gang holds no accelerators any more. If no start was sent,
    /// nothing can run under a lease whose worker does not answer: the accelerators of that worker
    /// cannot be used anyway, and the job need not wait until the lease lapses.
    fn is_released(&self, gang: &Gang, member: &GangMember) -> bool {
        let Some(lease) = self.leases.get(&member.lease) else { return true };
        let is_unreachable = self.nodes.get(&lease.worker).is_none_or(|it| 0 < it.failed_polls);
        !gang.start_sent && is_unreachable
    }

    fn check_member_exits(&mut self, job: ids::JobId) {
        let wall_time = self.wall_time();
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        let Some(gang) = entry.gang.as_mut() else { return };
        let failed_or_stopped = |it: &&GangMember| {
            matches!(it.exit, Some(model::TaskExit::Failed { .. } | model::TaskExit::Stopped))
        };
        if let Some(member) = gang.members.iter().find(failed_or_stopped) {
            let worker = member.assignment.worker.clone();
            let exit = match member.exit {
                Some(model::TaskExit::Failed { .. }) => event::WorkExit::Failed { worker },
                _ => event::WorkExit::Lost { worker },
            };
            self.stop_gang(job, GangEnding::Ended(exit));
            return;
        }
        if gang.members.iter().all(|it| it.exit == Some(model::TaskExit::Succeeded)) {
            self.stop_succeeded_gang(job);
            return;
        }
        let durable = gang.checkpoint_requested
            && gang.members.iter().all(|it| {
                it.exit.is_some()
                    || it.checkpoint.is_some() && it.checkpoint != it.previous_checkpoint
            });
        if durable {
            gang.checkpoint_requested = false;
            let first_member = gang.members.iter().find(|it| it.assignment.rank == 0);
            entry.record.checkpoint = first_member.and_then(|it| it.checkpoint.clone());
            entry.saved_run = gang.started_at.elapsed();
            // A checkpoint does not end the run: the gang runs on until the policy stops it.
            if entry.record.state == model::JobState::Checkpointing {
                entry.record.state = model::JobState::Running;
                entry.record.state_since = wall_time;
            }
            self.mark_dirty(job);
            self.apply_event(event::HallEvent::Checkpointed(job));
        }
    }

    /// Stops a gang whose tasks have all succeeded. A job that may run only once keeps its leases
    /// until its end is durable: a later holder of the tenure that found neither the end in the job's
    /// row nor the leases at the workers could not know that the job succeeded.
    fn stop_succeeded_gang(&mut self, job: ids::JobId) {
        let wall_time = self.wall_time();
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        if !entry.repeatable {
            let durable =
                entry.committed.as_ref().is_some_and(|it| it.state == model::JobState::Done);
            if !durable {
                if entry.record.state != model::JobState::Done {
                    entry.record.state = model::JobState::Done;
                    entry.record.state_since = wall_time;
                    self.mark_dirty(job);
                }
                return;
            }
        }
        self.stop_gang(job, GangEnding::Ended(event::WorkExit::Succeeded));
    }

    /// Removes a stopping gang whose leases are all gone, and reports its ending to the policy.
    fn finish_stopped_gang(&mut self, job: ids::JobId) {
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        let Some(gang) = entry.gang.take() else { return };
        let GangPhase::Stopping { ending, since } = gang.phase else { return };
        let (account, class) =
            (entry.record.account.clone(), entry.record.submission.class.clone());
        let run_time = gang.started_at.elapsed();
        let may_have_run = !entry.repeatable && entry.record.state == model::JobState::Starting;
        match ending {
            GangEnding::NotStarted { .. } if may_have_run => self.end_job_unknown(job),
            GangEnding::NotStarted { worker, fault } => {
                self.set_queued(job);
                let start_failed = event::HallEvent::StartFailed { work: job, worker, fault };
                self.apply_event(start_failed);
            }
            GangEnding::Ended(exit) => {
                if exit == event::WorkExit::Stopped {
                    metric::reclaim_time(&account, &class, since.elapsed());
                }
                metric::run_time(&account, &class, run_time);
                // The gang had succeeded and only waited until its row was durable.
                let done = entry.record.state == model::JobState::Done;
                let exit = if done { event::WorkExit::Succeeded } else { exit };
                let ambiguous = matches!(exit, event::WorkExit::Lost { .. });
                if !entry.repeatable && ambiguous {
                    self.end_job_unknown(job);
                    return;
                }
                if let event::WorkExit::Failed { worker } = &exit {
                    entry.record.failed_on.push(worker.clone());
                }
                self.apply_event(event::HallEvent::Ended { work: job, exit });
            }
        }
    }
}

/// Minimum time between two checks for lapsed leases.
const LAPSE_CHECK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(250);
