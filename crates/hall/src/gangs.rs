//! Starts and signals gangs: either all members of a gang run or none does.

use almondpass_policy::{decision, event, work};
use almondpass_ports::worker::WorkerControl;
use almondpass_schema::{blob, ids, model};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::actor::HallActor;
use crate::backend;
use crate::gang_task;
use crate::job_table::{Gang, GangEnding, GangMember, GangPhase};
use crate::lease;
use crate::metric;

impl<B: backend::HallBackend> HallActor<B> {
    /// Carries out a decision of the policy about a job.
    pub(crate) fn apply_job_decision(&mut self, decision: decision::Decision) {
        match decision {
            decision::Decision::Start { work, placement, reason } => {
                self.start_gang(work, placement, reason);
            }
            decision::Decision::Checkpoint { work, .. } => self.checkpoint_gang(work),
            decision::Decision::Stop { work, reason, .. } => {
                self.set_wait_reason(work, reason);
                let ending = GangEnding::Ended(event::WorkExit::Stopped);
                self.stop_gang(work, ending);
            }
            decision::Decision::Throttle { work, reason } => {
                self.set_wait_reason(work, reason);
                self.signal_gang(work, model::TaskSignalKind::Throttle);
            }
            decision::Decision::Requeue { work, reason } => self.requeue_job(work, reason),
            decision::Decision::Finish { work, outcome, reason } => {
                self.finish_job(work, outcome, reason);
            }
            decision::Decision::WorkerChanged { .. }
            | decision::Decision::GuaranteeChanged { .. } => {}
        }
    }

    fn start_gang(
        &mut self,
        job: ids::JobId,
        placement: Vec<work::TaskAssignment>,
        reason: model::WaitReason,
    ) {
        let Some(entry) = self.jobs.entries.get_mut(&job) else {
            let fault = event::StartFault::Withdrawn;
            self.apply_event(event::HallEvent::Cancelled(job));
            self.apply_event(event::HallEvent::StartFailed { work: job, worker: None, fault });
            return;
        };
        let (repeatable, class) = (entry.repeatable, entry.record.submission.class.clone());
        let upstream = self.config.class(&class).map(|it| it.upstream.clone());
        let serves_upstream = upstream.as_ref().is_some_and(|upstream| {
            placement.iter().all(|it| self.has_upstream(&it.worker, upstream))
        });
        // The row of a job that may run only once has to be written before its start, which a holder
        // that is cut off from the table cannot do.
        if !serves_upstream || (!repeatable && !self.is_sole_holder()) {
            self.withdraw_start(job);
            return;
        }
        let Some(plan) = self.plan_gang(job, &placement, upstream.unwrap_or_default()) else {
            self.withdraw_start(job);
            return;
        };
        tracing::info!(hall = self.hall, job = %job, n_tasks = placement.len(), reason = reason.text,
            "starting a gang");
        self.set_wait_reason(job, reason);
        let (workers, tenure, scheduler) =
            (self.ports.workers.clone(), self.tenure.clone(), self.own_address());
        tokio::spawn(gang_task::run::<B>(workers, tenure, plan, scheduler));
    }

    /// Reports to the policy, after `WITHDRAWAL_REPORT_DELAY`, that a start failed.
    fn withdraw_start(&mut self, job: ids::JobId) {
        let fault = event::StartFault::Withdrawn;
        let start_failed = event::HallEvent::StartFailed { work: job, worker: None, fault };
        self.defer_event(Instant::now() + WITHDRAWAL_REPORT_DELAY, start_failed);
    }

    fn plan_gang(
        &mut self,
        job: ids::JobId,
        placement: &[work::TaskAssignment],
        upstream: ids::UpstreamName,
    ) -> Option<gang_task::GangPlan> {
        let entry = self.jobs.entries.get_mut(&job)?;
        if entry.gang.is_some() || entry.has_ended() {
            return None;
        }
        entry.n_starts += 1;
        let start = lease::StartNumber { epoch: self.tenure.epoch(), attempt: entry.n_starts };
        let submission = entry.record.submission.clone();
        let checkpoint = entry.record.checkpoint.clone();
        let demand = work::TaskDemand {
            accelerators: submission.accelerators,
            cores: submission.cores,
            memory_mb: submission.memory_mb,
            slots: 0,
        };
        let mut members = Vec::new();
        let mut plans = Vec::new();
        for assignment in placement {
            let evict = self.evict_idle_leases(assignment, &demand);
            let purpose = lease::LeasePurpose::Task { job, start, rank: assignment.rank };
            let name = self.insert_reserving_lease(purpose, assignment, demand);
            let node = self.nodes.get(&assignment.worker);
            plans.push(gang_task::MemberPlan {
                rank: assignment.rank,
                worker: assignment.worker.clone(),
                address: node.and_then(|it| it.address().cloned()).unwrap_or_default(),
                evict,
                reserve: self.reservation(&name, assignment, &demand),
            });
            members.push(GangMember {
                assignment: assignment.clone(),
                lease: name,
                exit: None,
                previous_checkpoint: None,
                checkpoint: None,
            });
        }
        let entry = self.jobs.entries.get_mut(&job)?;
        entry.gang = Some(Gang {
            start,
            members,
            phase: GangPhase::Reserving,
            started_at: Instant::now(),
            checkpoint_requested: false,
            stop_requested: false,
            start_sent: false,
            start_reported: false,
        });
        let arguments = submission.arguments.unwrap_or_default().into_bytes();
        Some(gang_task::GangPlan {
            job,
            start,
            members: plans,
            upstream,
            arguments: blob::Blob::from(arguments),
            checkpoint,
            deadline: self.options.call_deadline(),
        })
    }

    /// Extends the leases of a fully reserved gang. The receiver gets `true` when the starts may be
    /// sent; its sender is dropped if the job was cancelled or the tenure ended.
    pub(crate) fn on_gang_reserved(
        &mut self,
        reserved: gang_task::GangReserved,
    ) -> oneshot::Receiver<bool> {
        let (sender, receiver) = oneshot::channel();
        let may_act = !self.fenced && self.tenure.may_act();
        let wall_time = self.wall_time();
        let leases = self.member_leases(reserved.job, reserved.start);
        for (rank, sent_at) in &reserved.sent_at {
            if let Some((_, lease)) = leases.iter().find(|(it, _)| it == rank) {
                self.extend_lease(lease, *sent_at);
            }
        }
        let Some(entry) = self.jobs.entries.get_mut(&reserved.job) else { return receiver };
        let repeatable = entry.repeatable;
        let cancelled = entry.record.cancel_requested;
        let Some(gang) = entry.gang_for_start(reserved.start) else { return receiver };
        if cancelled
            || gang.stop_requested
            || !may_act
            || !matches!(gang.phase, GangPhase::Reserving)
        {
            // Dropping the sender cancels the start.
            return receiver;
        }
        gang.start_sent = true;
        if repeatable {
            gang.phase = GangPhase::Starting;
            let _ = sender.send(true);
        } else {
            gang.phase = GangPhase::PersistingStart(sender);
        }
        // From here on a start may be sent, so the row must say that one may have been sent.
        entry.record.attempt += 1;
        entry.record.state = model::JobState::Starting;
        entry.record.state_since = wall_time;
        entry.record.placement = placements(entry.gang.as_ref());
        self.mark_dirty(reserved.job);
        receiver
    }

    /// Lets a gang start that waited for its row, if the row now says that a start may have been sent.
    pub(crate) fn resume_persisted_start(&mut self, job: ids::JobId) {
        let sole_holder = self.is_sole_holder();
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        let durable = entry.committed.as_ref().is_some_and(|it| {
            it.state == model::JobState::Starting && it.attempt == entry.record.attempt
        });
        let cancelled = entry.record.cancel_requested;
        let Some(gang) = entry.gang.as_mut() else { return };
        if !durable || !matches!(gang.phase, GangPhase::PersistingStart(_)) {
            return;
        }
        let phase = std::mem::replace(&mut gang.phase, GangPhase::Starting);
        if let GangPhase::PersistingStart(sender) = phase {
            let _ = sender.send(sole_holder && !cancelled);
        }
    }

    pub(crate) fn on_gang_start_report(&mut self, report: gang_task::GangStartReport) {
        let job = report.job;
        let wall_time = self.wall_time();
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        let cancelled = entry.record.cancel_requested;
        let wait_time = entry.arrived_at.elapsed();
        let Some(gang) = entry.gang_for_start(report.start) else { return };
        gang.start_reported = true;
        let must_stop = cancelled || gang.stop_requested;
        match report.outcome {
            gang_task::GangStartOutcome::Started => {
                gang.phase = GangPhase::Running;
                gang.started_at = Instant::now();
                entry.record.state = model::JobState::Running;
                entry.record.state_since = wall_time;
                let (account, class) =
                    (entry.record.account.clone(), entry.record.submission.class.clone());
                metric::wait_time(&account, &class, wait_time);
                self.mark_dirty(job);
                self.apply_event(event::HallEvent::Started(job));
                for worker in self.gang_workers(job) {
                    self.poll_soon(&worker);
                }
                if must_stop {
                    // A stop or a cancellation was requested while the gang was starting.
                    self.stop_gang(job, GangEnding::Ended(event::WorkExit::Stopped));
                }
            }
            gang_task::GangStartOutcome::NotReserved { worker, fault, holders } => {
                metric::start_failed(&self.hall);
                self.release_stray_leases(&worker, &holders);
                let worker = Some(worker);
                self.stop_gang(job, GangEnding::NotStarted { worker, fault });
            }
            gang_task::GangStartOutcome::Withdrawn => {
                self.revert_unsent_start(job);
                let fault = event::StartFault::Withdrawn;
                self.stop_gang(job, GangEnding::NotStarted { worker: None, fault });
            }
            gang_task::GangStartOutcome::NotStarted { worker, fault } => {
                metric::start_failed(&self.hall);
                let worker = Some(worker);
                self.stop_gang(job, GangEnding::NotStarted { worker, fault });
            }
        }
        self.finish_freeze();
    }

    /// Reverts the recorded state "a start may have been sent". Proof that none was sent: the task
    /// that would have sent it reports that the start was cancelled before, and it sends nothing
    /// after its report.
    fn revert_unsent_start(&mut self, job: ids::JobId) {
        let wall_time = self.wall_time();
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        if let Some(gang) = entry.gang.as_mut() {
            gang.start_sent = false;
        }
        if entry.record.state == model::JobState::Starting {
            entry.record.attempt -= 1;
            entry.record.state = model::JobState::Queued;
            entry.record.state_since = wall_time;
            entry.record.placement = Vec::new();
            self.mark_dirty(job);
        }
    }

    fn checkpoint_gang(&mut self, job: ids::JobId) {
        let wall_time = self.wall_time();
        let Some(entry) = self.jobs.entries.get_mut(&job) else { return };
        let Some(gang) = entry.gang.as_mut() else { return };
        gang.checkpoint_requested = true;
        for member in &mut gang.members {
            member.previous_checkpoint = member.checkpoint.clone();
        }
        entry.record.state = model::JobState::Checkpointing;
        entry.record.state_since = wall_time;
        self.mark_dirty(job);
        self.signal_gang(job, model::TaskSignalKind::Checkpoint);
        for worker in self.gang_workers(job) {
            self.poll_soon(&worker);
        }
    }

    fn signal_gang(&self, job: ids::JobId, signal: model::TaskSignalKind) {
        let Some(gang) = self.jobs.entries.get(&job).and_then(|it| it.gang.as_ref()) else {
            return;
        };
        for member in &gang.members {
            let node = self.nodes.get(&member.assignment.worker);
            let Some(address) = node.and_then(|it| it.address().cloned()) else { continue };
            let workers = self.ports.workers.clone();
            let deadline = self.options.call_deadline();
            let signal = model::TaskSignal { lease: member.lease.clone(), signal };
            tokio::spawn(async move {
                // Limited to two calls: the policy, which wanted the signal, stops the gang if the
                // signal has no effect.
                for _ in 0..MAX_SIGNAL_CALLS {
                    let call = workers.signal(&address, signal.clone());
                    if let Ok(Ok(_)) = tokio::time::timeout(deadline, call).await {
                        return;
                    }
                }
            });
        }
    }

    fn gang_workers(&self, job: ids::JobId) -> Vec<ids::WorkerId> {
        let gang = self.jobs.entries.get(&job).and_then(|it| it.gang.as_ref());
        let members = gang.map_or(&[][..], |it| it.members.as_slice());
        members.iter().map(|it| it.assignment.worker.clone()).collect()
    }

    fn member_leases(
        &mut self,
        job: ids::JobId,
        start: lease::StartNumber,
    ) -> Vec<(u32, ids::LeaseId)> {
        let entry = self.jobs.entries.get_mut(&job);
        let gang = entry.and_then(|it| it.gang_for_start(start));
        let members = gang.map_or(&[][..], |it| it.members.as_slice());
        members.iter().map(|it| (it.assignment.rank, it.lease.clone())).collect()
    }
}

/// Workers, accelerators and leases of the members of a gang, as stored in the job's row.
pub(crate) fn placements(gang: Option<&Gang>) -> Vec<model::TaskPlacement> {
    let members = gang.map_or(&[][..], |it| it.members.as_slice());
    let placements = members.iter().map(|it| model::TaskPlacement {
        rank: it.assignment.rank,
        worker: it.assignment.worker.clone(),
        accelerators: it.assignment.accelerators.clone(),
        lease: it.lease.clone(),
    });
    placements.collect()
}

/// Delay before the policy learns of a start that the scheduler itself withdrew.
const WITHDRAWAL_REPORT_DELAY: std::time::Duration = std::time::Duration::from_secs(2);
const MAX_SIGNAL_CALLS: usize = 2;
