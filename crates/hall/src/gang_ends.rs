//! How gangs end: by themselves, by a decision, or because a member was lost.

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
    /// Stops a gang whole: every member's lease is released, and what follows waits until all are
    /// proven gone.
    pub(crate) fn stop_gang(&mut self, job: ids::JobId, ending: GangEnding) {
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        let Some(gang) = entry.gang.as_mut() else {
            return;
        };
        match gang.phase {
            GangPhase::Stopping { .. } => return,
            // The task that starts it is under way: a reservation of its that landed behind our
            // release would hold accelerators for a term. Its report comes soon.
            GangPhase::Reserving | GangPhase::Starting if !gang.start_reported => {
                gang.stop_requested = true;
                return;
            }
            // Dropping the sender calls the start off.
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

    /// A member's lease lapsed: the others stop too.
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

    /// Stops gangs of which a member may have lapsed: its worker did not answer for a term.
    pub(crate) fn stop_lapsed_gangs(&mut self, now: Instant) {
        if now < self.next_lapse_check {
            return;
        }
        self.next_lapse_check = now + LAPSE_LOOK;
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

    /// Sees what follows from a gang's members.
    pub(crate) fn advance_gang(&mut self, job: ids::JobId) {
        let Some(gang) = self.jobs.entries.get(&job).and_then(|it| it.gang.as_ref()) else {
            return;
        };
        match &gang.phase {
            GangPhase::Stopping { .. }
                if gang.members.iter().all(|it| self.is_given_back(gang, it)) =>
            {
                self.gang_stopped(job);
            }
            GangPhase::Running => self.look_at_exits(job),
            _ => {}
        }
    }

    /// Whether a member of a stopping gang holds nothing any more. Where no start was sent,
    /// nothing can run under a lease whose worker does not answer: its accelerators are not to be
    /// had anyhow, and the job need not wait until it lapses.
    fn is_given_back(&self, gang: &Gang, member: &GangMember) -> bool {
        let Some(lease) = self.leases.get(&member.lease) else { return true };
        let silent = self.nodes.get(&lease.worker).is_none_or(|it| 0 < it.failed_polls);
        !gang.start_sent && silent
    }

    fn look_at_exits(&mut self, job: ids::JobId) {
        let wall = self.wall_time();
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        let Some(gang) = entry.gang.as_mut() else { return };
        let ended = |it: &&GangMember| {
            matches!(it.exit, Some(model::TaskExit::Failed { .. } | model::TaskExit::Stopped))
        };
        if let Some(member) = gang.members.iter().find(ended) {
            let worker = member.assignment.worker.clone();
            let exit = match member.exit {
                Some(model::TaskExit::Failed { .. }) => event::WorkExit::Failed { worker },
                _ => event::WorkExit::Lost { worker },
            };
            self.stop_gang(job, GangEnding::Ended(exit));
            return;
        }
        if gang.members.iter().all(|it| it.exit == Some(model::TaskExit::Succeeded)) {
            self.gang_succeeded(job);
            return;
        }
        let durable = gang.checkpoint_requested
            && gang.members.iter().all(|it| {
                it.exit.is_some()
                    || it.checkpoint.is_some() && it.checkpoint != it.previous_checkpoint
            });
        if durable {
            gang.checkpoint_requested = false;
            let first = gang.members.iter().find(|it| it.assignment.rank == 0);
            entry.record.checkpoint = first.and_then(|it| it.checkpoint.clone());
            entry.saved_run = gang.started_at.elapsed();
            // A gang saves its run now and then and runs on; only the policy's stop ends it.
            if entry.record.state == model::JobState::Checkpointing {
                entry.record.state = model::JobState::Running;
                entry.record.state_since = wall;
            }
            self.mark_dirty(job);
            self.apply_event(event::HallEvent::Checkpointed(job));
        }
    }

    /// Work that may run only once keeps its leases until its end is durable: a successor that
    /// found neither the end in the row nor the leases at the workers could not tell it.
    fn gang_succeeded(&mut self, job: ids::JobId) {
        let wall = self.wall_time();
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        if !entry.repeatable {
            let durable =
                entry.committed.as_ref().is_some_and(|it| it.state == model::JobState::Done);
            if !durable {
                if entry.record.state != model::JobState::Done {
                    entry.record.state = model::JobState::Done;
                    entry.record.state_since = wall;
                    self.mark_dirty(job);
                }
                return;
            }
        }
        self.stop_gang(job, GangEnding::Ended(event::WorkExit::Succeeded));
    }

    /// Nothing of the gang is held any more.
    fn gang_stopped(&mut self, job: ids::JobId) {
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        let Some(gang) = entry.gang.take() else { return };
        let GangPhase::Stopping { ending, since } = gang.phase else { return };
        let (account, class) =
            (entry.record.account.clone(), entry.record.submission.class.clone());
        let ran = gang.started_at.elapsed();
        let never_again = !entry.repeatable && entry.record.state == model::JobState::Starting;
        match ending {
            GangEnding::NotStarted { .. } if never_again => self.end_job_unknown(job),
            GangEnding::NotStarted { worker, fault } => {
                self.set_queued(job);
                let failed = event::HallEvent::StartFailed { work: job, worker, fault };
                self.apply_event(failed);
            }
            GangEnding::Ended(exit) => {
                if exit == event::WorkExit::Stopped {
                    metric::reclaim_time(&account, &class, since.elapsed());
                }
                metric::run_time(&account, &class, ran);
                // It had ended well and only waited for its row.
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

/// Between two looks for lapsed leases.
const LAPSE_LOOK: std::time::Duration = std::time::Duration::from_millis(250);
