//! Leases and tasks of one fake worker. The worker runs no timers: the next call to it processes the task
//! ends and lease expirations that are due by then.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_schema::{ids, model, time};
use tokio::time::Instant;

use crate::run;
use crate::script;

/// Name, data centre and resources of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerShape {
    /// Name of the worker, unique in its site.
    pub id: ids::WorkerId,
    /// Data centre of the worker's hall.
    pub data_center: ids::DataCenter,
    /// Number of accelerators; they are numbered from 0.
    pub accelerators: u32,
    /// Number of slots that leases share.
    pub slots: u32,
    /// Number of processor cores that leases share.
    pub cores: u32,
    /// Memory that leases share, in MiB.
    pub memory_mb: u64,
}

/// Fault of a worker that a test has injected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerHealth {
    /// The worker has no fault.
    #[default]
    Healthy,
    /// The worker answers every start of a task with a failure.
    RefusesStarts,
    /// Every task that the worker starts fails after this time, whatever its script says.
    FailsTasks(Duration),
}

/// Leases of one worker, with their tasks and the injected faults of the worker.
#[derive(Debug)]
pub(crate) struct WorkerState {
    shape: WorkerShape,
    health: WorkerHealth,
    usage_lag: Duration,
    paused: bool,
    leases: BTreeMap<ids::LeaseId, HeldLease>,
    scripts: script::TaskScripts,
    log: run::RunLog,
}

#[derive(Debug)]
struct HeldLease {
    reservation: model::LeaseReserve,
    expires: Instant,
    task: Option<HeldTask>,
    n_checkpoints: u32,
    checkpoint: Option<ids::CheckpointId>,
    pending_checkpoint: Option<Instant>,
}

#[derive(Debug)]
struct HeldTask {
    run: run::RunIndex,
    job: ids::JobId,
    rank: u32,
    script: script::TaskScript,
    started: Instant,
    ends_at: Instant,
    exit: Option<model::TaskExit>,
}

/// Factor by which a throttle signal lengthens the remaining run time of a task.
const THROTTLE_FACTOR: u32 = 2;

/// Memory that a running task reports as used, in MiB, independent of its lease.
const MEMORY_USED_MB: u64 = 128;

impl WorkerState {
    pub(crate) fn new(
        shape: WorkerShape,
        scripts: script::TaskScripts,
        log: run::RunLog,
    ) -> WorkerState {
        let usage_lag = Duration::from_secs(5);
        let leases = BTreeMap::new();
        let health = WorkerHealth::Healthy;
        WorkerState { shape, health, usage_lag, paused: false, leases, scripts, log }
    }

    pub(crate) fn shape(&self) -> &WorkerShape {
        &self.shape
    }

    pub(crate) fn set_health(&mut self, health: WorkerHealth) {
        self.health = health;
    }

    /// Pauses or resumes the worker. While paused, it processes no task ends and no lease expirations; on
    /// resuming, it processes all that became due.
    pub(crate) fn set_paused(&mut self, paused: bool, now: Instant) {
        self.process_due(now);
        self.paused = paused;
        self.process_due(now);
    }

    /// Ends every task and drops every lease, as a crash of the worker does.
    pub(crate) fn crash(&mut self, now: Instant) {
        self.process_due(now);
        for lease in std::mem::take(&mut self.leases).into_values() {
            self.end(&lease, now, run::EndCause::WorkerLost);
        }
    }

    /// Processes the task ends, checkpoints and lease expirations that are due by `now`.
    pub(crate) fn process_due(&mut self, now: Instant) {
        if self.paused {
            return;
        }
        for lease in self.leases.values_mut() {
            lease.process_due(now.min(lease.expires), &self.log);
        }
        let lapsed = self.leases.extract_if(.., |_, lease| lease.expires <= now);
        let lapsed = lapsed.map(|(_, lease)| lease).collect::<Vec<_>>();
        for lease in lapsed {
            self.end(&lease, lease.expires, run::EndCause::Lapsed);
        }
    }

    pub(crate) fn reserve(
        &mut self,
        reservation: model::LeaseReserve,
        now: Instant,
    ) -> model::LeaseReserved {
        self.process_due(now);
        if let Some(held) = self.leases.get_mut(&reservation.lease) {
            if !has_same_content(&held.reservation, &reservation) {
                return refused(vec![reservation.lease], "the lease stands with other content");
            }
            held.expires = now + reservation.term.0;
            return model::LeaseReserved::Granted;
        }
        if let Some(refusal) = self.refusal(&reservation) {
            return refusal;
        }
        let lease = HeldLease {
            expires: now + reservation.term.0,
            task: None,
            n_checkpoints: 0,
            checkpoint: None,
            pending_checkpoint: None,
            reservation,
        };
        self.leases.insert(lease.reservation.lease.clone(), lease);
        model::LeaseReserved::Granted
    }

    pub(crate) fn start(&mut self, start: model::TaskStart, now: Instant) -> model::TaskStarted {
        self.process_due(now);
        let Some(lease) = self.leases.get_mut(&start.lease) else {
            return model::TaskStarted::NoLease;
        };
        if lease.task.is_some() {
            return model::TaskStarted::Started;
        }
        let mut script = self.scripts.script(&start);
        match self.health {
            WorkerHealth::Healthy => {}
            WorkerHealth::RefusesStarts => {
                let reason = "the worker cannot start tasks".to_owned();
                return model::TaskStarted::Failed { reason };
            }
            WorkerHealth::FailsTasks(after) => script = script::TaskScript::failing(after),
        }
        let run = self.log.start(run::TaskRun {
            worker: self.shape.id.clone(),
            lease: start.lease,
            job: start.job,
            rank: start.rank,
            accelerators: lease.reservation.accelerators.clone(),
            resumed_from: start.checkpoint.clone(),
            started: now,
            ended: None,
        });
        lease.checkpoint = start.checkpoint;
        lease.task = Some(HeldTask {
            run,
            job: start.job,
            rank: start.rank,
            started: now,
            ends_at: now + script.run.0,
            script,
            exit: None,
        });
        model::TaskStarted::Started
    }

    pub(crate) fn renew(&mut self, renew: model::LeaseRenew, now: Instant) -> model::LeaseListing {
        self.process_due(now);
        let mut listing = model::LeaseListing { leases: Vec::new(), lapsed: Vec::new() };
        for id in renew.leases {
            match self.leases.get_mut(&id) {
                Some(lease) => {
                    lease.expires = now + renew.term.0;
                    listing.leases.push(lease.status(now, self.usage_lag));
                }
                None => listing.lapsed.push(id),
            }
        }
        listing
    }

    pub(crate) fn signal(&mut self, signal: &model::TaskSignal, now: Instant) -> model::Ack {
        self.process_due(now);
        let Some(lease) = self.leases.get_mut(&signal.lease) else { return model::Ack {} };
        let Some(task) = lease.task.as_mut().filter(|it| it.exit.is_none()) else {
            return model::Ack {};
        };
        match signal.signal {
            model::TaskSignalKind::Checkpoint => {
                let done_at = task.script.checkpoint.map(|it| now + it.0);
                lease.pending_checkpoint = lease.pending_checkpoint.or(done_at);
            }
            model::TaskSignalKind::Throttle => {
                task.ends_at = now + task.ends_at.duration_since(now) * THROTTLE_FACTOR;
            }
            model::TaskSignalKind::Stop => {
                task.exit = Some(model::TaskExit::Stopped);
                let end = run::RunEnd { at: now, cause: run::EndCause::Signalled };
                self.log.end(task.run, end);
            }
        }
        model::Ack {}
    }

    pub(crate) fn release(&mut self, release: &model::LeaseRelease, now: Instant) -> model::Ack {
        self.process_due(now);
        for id in &release.leases {
            if let Some(lease) = self.leases.remove(id) {
                self.end(&lease, now, run::EndCause::Released);
            }
        }
        model::Ack {}
    }

    pub(crate) fn list(&mut self, now: Instant) -> model::LeaseListing {
        self.process_due(now);
        let leases = self.leases.values().map(|it| it.status(now, self.usage_lag)).collect();
        model::LeaseListing { leases, lapsed: Vec::new() }
    }

    fn end(&self, lease: &HeldLease, at: Instant, cause: run::EndCause) {
        if let Some(task) = lease.task.as_ref().filter(|it| it.exit.is_none()) {
            self.log.end(task.run, run::RunEnd { at, cause });
        }
    }

    /// The refusal of a reservation, if its accelerators don't exist or are held, or resources are short.
    fn refusal(&self, reservation: &model::LeaseReserve) -> Option<model::LeaseReserved> {
        if let Some(missing) =
            reservation.accelerators.iter().find(|it| self.shape.accelerators <= **it)
        {
            return Some(refused(Vec::new(), &format!("there is no accelerator {missing}")));
        }
        let overlaps = |it: &&HeldLease| {
            it.reservation.accelerators.iter().any(|it| reservation.accelerators.contains(it))
        };
        let holders = self.leases.values().filter(overlaps);
        let holders = holders.map(|it| it.reservation.lease.clone()).collect::<Vec<_>>();
        if !holders.is_empty() {
            return Some(refused(holders, "accelerators are held"));
        }
        let held = self.leases.values().map(|it| &it.reservation);
        let slots = held.clone().map(|it| it.slots).sum::<u32>();
        let cores = held.clone().map(|it| it.cores).sum::<u32>();
        let memory_mb = held.map(|it| it.memory_mb).sum::<u64>();
        let shortage = if self.shape.slots < slots.saturating_add(reservation.slots) {
            "slots are held"
        } else if self.shape.cores < cores.saturating_add(reservation.cores) {
            "cores are held"
        } else if self.shape.memory_mb < memory_mb.saturating_add(reservation.memory_mb) {
            "memory is held"
        } else {
            return None;
        };
        Some(refused(self.leases.keys().cloned().collect(), shortage))
    }
}

impl HeldLease {
    fn process_due(&mut self, now: Instant, log: &run::RunLog) {
        let Some(task) = self.task.as_mut().filter(|it| it.exit.is_none()) else { return };
        if let Some(done_at) = self.pending_checkpoint.filter(|it| *it <= now.min(task.ends_at)) {
            self.pending_checkpoint = None;
            self.n_checkpoints += 1;
            let micros = done_at.duration_since(task.started).as_micros();
            self.checkpoint =
                Some(format!("{}/{}/{}-{micros}", task.job, task.rank, self.n_checkpoints));
        }
        if task.ends_at <= now {
            let exit = task.script.exit.clone();
            let cause = run::EndCause::Exited(exit.clone());
            task.exit = Some(exit);
            log.end(task.run, run::RunEnd { at: task.ends_at, cause });
        }
    }

    fn status(&self, now: Instant, usage_lag: Duration) -> model::LeaseStatus {
        let reported = |it: &&HeldTask| it.exit.is_none() && it.started + usage_lag <= now;
        let running = self.task.as_ref().filter(reported);
        let cores = f64::from(self.reservation.cores);
        model::LeaseStatus {
            lease: self.reservation.lease.clone(),
            accelerators: self.reservation.accelerators.clone(),
            slots: self.reservation.slots,
            started: self.task.is_some(),
            exit: self.task.as_ref().and_then(|it| it.exit.clone()),
            checkpoint: self.checkpoint.clone(),
            remaining: time::TimeSpan(self.expires.saturating_duration_since(now)),
            cores_used: running.map_or(0.0, |it| cores * it.script.use_of_cores),
            memory_used_mb: running.map_or(0, |_| MEMORY_USED_MB),
        }
    }
}

fn has_same_content(held: &model::LeaseReserve, requested: &model::LeaseReserve) -> bool {
    model::LeaseReserve { term: held.term, ..requested.clone() } == *held
}

fn refused(holders: Vec<ids::LeaseId>, reason: &str) -> model::LeaseReserved {
    model::LeaseReserved::Refused { holders, reason: reason.to_owned() }
}
