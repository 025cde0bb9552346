//! One worker's leases and tasks. No timers run: whatever falls due is settled by the next look.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_schema::{ids, model, time};
use tokio::time::Instant;

use crate::run;
use crate::script;

/// What a worker has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerShape {
    /// Its name.
    pub id: ids::WorkerId,
    /// Where it is.
    pub data_center: ids::DataCenter,
    /// Accelerators.
    pub accelerators: u32,
    /// Slots.
    pub slots: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory_mb: u64,
}

/// What is wrong with a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerHealth {
    /// Nothing.
    #[default]
    Healthy,
    /// It refuses every start.
    RefusesStarts,
    /// Whatever it starts fails after this.
    FailsTasks(Duration),
}

/// The leases of one worker.
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
    reserve: model::LeaseReserve,
    expires: Instant,
    task: Option<HeldTask>,
    checkpoints: u32,
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
    ends: Instant,
    exit: Option<model::TaskExit>,
}

/// A throttled task takes this many times what was left of its run.
const THROTTLE_FACTOR: u32 = 2;

/// Memory that a task uses, in MiB, whatever it asked for.
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

    /// A paused worker runs nothing and lets nothing lapse until it wakes.
    pub(crate) fn set_paused(&mut self, paused: bool, now: Instant) {
        self.process_due(now);
        self.paused = paused;
        self.process_due(now);
    }

    /// Ends every task and forgets every lease, as the worker's death would.
    pub(crate) fn crash(&mut self, now: Instant) {
        self.process_due(now);
        for lease in std::mem::take(&mut self.leases).into_values() {
            self.end(&lease, now, run::EndCause::WorkerLost);
        }
    }

    /// Lets tasks end and leases lapse that are due by `now`.
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
        reserve: model::LeaseReserve,
        now: Instant,
    ) -> model::LeaseReserved {
        self.process_due(now);
        if let Some(held) = self.leases.get_mut(&reserve.lease) {
            if !same_content(&held.reserve, &reserve) {
                return refused(vec![reserve.lease], "the lease stands with other content");
            }
            held.expires = now + reserve.term.0;
            return model::LeaseReserved::Granted;
        }
        if let Some(refusal) = self.obstacle(&reserve) {
            return refusal;
        }
        let lease = HeldLease {
            expires: now + reserve.term.0,
            task: None,
            checkpoints: 0,
            checkpoint: None,
            pending_checkpoint: None,
            reserve,
        };
        self.leases.insert(lease.reserve.lease.clone(), lease);
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
            accelerators: lease.reserve.accelerators.clone(),
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
            ends: now + script.run.0,
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
                let done = task.script.checkpoint.map(|it| now + it.0);
                lease.pending_checkpoint = lease.pending_checkpoint.or(done);
            }
            model::TaskSignalKind::Throttle => {
                task.ends = now + task.ends.duration_since(now) * THROTTLE_FACTOR;
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

    /// What stands in the way of a reservation.
    fn obstacle(&self, reserve: &model::LeaseReserve) -> Option<model::LeaseReserved> {
        if let Some(missing) =
            reserve.accelerators.iter().find(|it| self.shape.accelerators <= **it)
        {
            return Some(refused(Vec::new(), &format!("there is no accelerator {missing}")));
        }
        let overlaps = |it: &&HeldLease| {
            it.reserve.accelerators.iter().any(|it| reserve.accelerators.contains(it))
        };
        let holders = self.leases.values().filter(overlaps);
        let holders = holders.map(|it| it.reserve.lease.clone()).collect::<Vec<_>>();
        if !holders.is_empty() {
            return Some(refused(holders, "accelerators are held"));
        }
        let held = self.leases.values().map(|it| &it.reserve);
        let slots = held.clone().map(|it| it.slots).sum::<u32>();
        let cores = held.clone().map(|it| it.cores).sum::<u32>();
        let memory_mb = held.map(|it| it.memory_mb).sum::<u64>();
        let short = if self.shape.slots < slots.saturating_add(reserve.slots) {
            "slots are held"
        } else if self.shape.cores < cores.saturating_add(reserve.cores) {
            "cores are held"
        } else if self.shape.memory_mb < memory_mb.saturating_add(reserve.memory_mb) {
            "memory is held"
        } else {
            return None;
        };
        Some(refused(self.leases.keys().cloned().collect(), short))
    }
}

impl HeldLease {
    fn process_due(&mut self, now: Instant, log: &run::RunLog) {
        let Some(task) = self.task.as_mut().filter(|it| it.exit.is_none()) else { return };
        if let Some(done) = self.pending_checkpoint.filter(|it| *it <= now.min(task.ends)) {
            self.pending_checkpoint = None;
            self.checkpoints += 1;
            let micros = done.duration_since(task.started).as_micros();
            self.checkpoint =
                Some(format!("{}/{}/{}-{micros}", task.job, task.rank, self.checkpoints));
        }
        if task.ends <= now {
            let exit = task.script.exit.clone();
            let cause = run::EndCause::Exited(exit.clone());
            task.exit = Some(exit);
            log.end(task.run, run::RunEnd { at: task.ends, cause });
        }
    }

    fn status(&self, now: Instant, usage_lag: Duration) -> model::LeaseStatus {
        let reported = |it: &&HeldTask| it.exit.is_none() && it.started + usage_lag <= now;
        let running = self.task.as_ref().filter(reported);
        let cores = f64::from(self.reserve.cores);
        model::LeaseStatus {
            lease: self.reserve.lease.clone(),
            accelerators: self.reserve.accelerators.clone(),
            slots: self.reserve.slots,
            started: self.task.is_some(),
            exit: self.task.as_ref().and_then(|it| it.exit.clone()),
            checkpoint: self.checkpoint.clone(),
            remaining: time::TimeSpan(self.expires.saturating_duration_since(now)),
            cores_used: running.map_or(0.0, |it| cores * it.script.use_of_cores),
            memory_used_mb: running.map_or(0, |_| MEMORY_USED_MB),
        }
    }
}

fn same_content(held: &model::LeaseReserve, asked: &model::LeaseReserve) -> bool {
    model::LeaseReserve { term: held.term, ..asked.clone() } == *held
}

fn refused(holders: Vec<ids::LeaseId>, reason: &str) -> model::LeaseReserved {
    model::LeaseReserved::Refused { holders, reason: reason.to_owned() }
}
