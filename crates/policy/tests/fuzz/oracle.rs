//! Naive model of a hall that follows the policy's decisions and checks that each is allowed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use almondpass_policy::{decision, work};
use almondpass_schema::{ids, model, time};

use crate::config_variants;

/// Phase of a work item, according to the decisions of the policy and the reported events.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Phase {
    Waiting,
    Starting,
    Running(time::WallTime),
    /// No task runs any more, but the policy has not yet decided to requeue or finish the work.
    Ended {
        succeeded: bool,
    },
    Finished,
}

/// A work item and its history.
#[derive(Clone, Debug)]
pub(crate) struct TrackedWork {
    pub(crate) item: work::WorkItem,
    /// Actual run time.
    pub(crate) run: Duration,
    /// Whether the work fails on every worker.
    pub(crate) faulty: bool,
    pub(crate) phase: Phase,
    pub(crate) placement: Vec<work::TaskAssignment>,
    /// Number of the latest start; pending events of earlier starts are ignored.
    pub(crate) start_number: u32,
    pub(crate) ever_ran: bool,
    pub(crate) cancelled: bool,
    pub(crate) stopping: bool,
    /// Time by which a claim must have started. None for other work, and for claims that a fault, a lost
    /// guarantee or other work of the account may delay.
    pub(crate) start_by: Option<time::WallTime>,
}

/// State of a worker, and what was reported to the policy about it.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrackedWorker {
    pub(crate) dead: bool,
    pub(crate) reported_lost: bool,
    pub(crate) drained: bool,
    pub(crate) faulty: bool,
    /// Whether the policy has quarantined or is probing the worker.
    pub(crate) excluded_by_policy: bool,
}

/// Model of one hall.
pub(crate) struct HallOracle {
    pub(crate) document: Arc<model::ConfigDocument>,
    pub(crate) work_by_id: BTreeMap<work::WorkId, TrackedWork>,
    pub(crate) workers: BTreeMap<ids::WorkerId, TrackedWorker>,
    /// The work that holds each accelerator, by worker and index.
    pub(crate) holders: BTreeMap<(ids::WorkerId, u32), work::WorkId>,
    pub(crate) lost_guarantees: BTreeSet<(ids::AccountId, ids::GuaranteeName)>,
    /// Claims submitted before this time are not held to the reclaim bound, because a fault was injected
    /// shortly before them.
    pub(crate) claim_checks_from: time::WallTime,
}

impl HallOracle {
    /// Ids of the configured workers of each rack, in layout order.
    pub(crate) fn racks(&self) -> Vec<Vec<ids::WorkerId>> {
        let worker_names = |rack: &model::RackLayout| {
            (1..=rack.workers)
                .map(|it| format!("{}-{}-{it:02}", config_variants::HALL, rack.name))
                .collect()
        };
        self.document.halls[0].racks.iter().map(worker_names).collect()
    }

    pub(crate) fn class(&self, name: &str) -> &model::JobClass {
        self.document.classes.iter().find(|it| it.name == name).expect("the class is configured")
    }

    /// Applies a configuration. A lost guarantee stays lost if its shape is unchanged.
    pub(crate) fn set_document(&mut self, document: Arc<model::ConfigDocument>) {
        let previous = std::mem::replace(&mut self.document, document);
        let find_shape = |document: &model::ConfigDocument, key: &(ids::AccountId, String)| {
            let account = document.accounts.iter().find(|it| it.id == key.0);
            account.and_then(|it| it.guarantees.iter().find(|it| it.name == key.1)).cloned()
        };
        let current = self.document.clone();
        self.lost_guarantees.retain(|it| {
            find_shape(&previous, it).is_some_and(|old| find_shape(&current, it) == Some(old))
        });
    }

    /// Checks that a start is allowed and records it.
    pub(crate) fn record_start(&mut self, id: work::WorkId, placement: &[work::TaskAssignment]) {
        let tracked =
            self.work_by_id.get(&id).unwrap_or_else(|| panic!("start of unknown work {id}"));
        assert_eq!(tracked.phase, Phase::Waiting, "{id} started while not waiting");
        assert!(!tracked.cancelled, "{id} started after it was cancelled");
        let repeatable = self.class(&tracked.item.class).repeatable;
        assert!(repeatable || !tracked.ever_ran, "{id} is not repeatable and started twice");
        self.check_gang_complete(&tracked.item, placement);
        self.check_adjacency(&tracked.item, placement);
        for assignment in placement {
            let worker = &self.workers[&assignment.worker];
            let takes_work = !worker.reported_lost && !worker.drained;
            assert!(takes_work, "{id} started on lost or drained worker {}", assignment.worker);
            let excluded = tracked.item.exclude.contains(&assignment.worker);
            assert!(!excluded, "{id} started on excluded worker {}", assignment.worker);
            for it in &assignment.accelerators {
                let previous_holder = self.holders.insert((assignment.worker.clone(), *it), id);
                assert_eq!(
                    previous_holder, None,
                    "accelerator {}/{it} allocated to {id} while held",
                    assignment.worker
                );
            }
        }
        let tracked = self.work_by_id.get_mut(&id).expect("checked above");
        tracked.phase = Phase::Starting;
        tracked.stopping = false;
        tracked.start_number += 1;
        tracked.placement = placement.to_vec();
        self.check_worker_resources(placement);
    }

    /// Checks that every rank is placed once, with the demanded number of contiguous accelerators.
    fn check_gang_complete(&self, item: &work::WorkItem, placement: &[work::TaskAssignment]) {
        let ranks: BTreeSet<u32> = placement.iter().map(|it| it.rank).collect();
        let expected_ranks: BTreeSet<u32> = (0..item.tasks).collect();
        assert_eq!(ranks, expected_ranks, "{} has missing or extra ranks: {placement:?}", item.id);
        assert_eq!(placement.len(), item.tasks as usize, "{} has duplicate ranks", item.id);
        for assignment in placement {
            let n_demanded = item.demand.accelerators as usize;
            assert_eq!(
                assignment.accelerators.len(),
                n_demanded,
                "{}: wrong number of accelerators: {assignment:?}",
                item.id
            );
            let is_contiguous = assignment.accelerators.windows(2).all(|it| it[0] + 1 == it[1]);
            assert!(is_contiguous, "{}: accelerators not contiguous: {assignment:?}", item.id);
            let exists =
                assignment.accelerators.iter().all(|it| *it < config_variants::WORKER_ACCELERATORS);
            assert!(exists, "{}: no such accelerator: {assignment:?}", item.id);
        }
    }

    /// Checks that an adjacent gang lies on consecutive workers within its reach, without a gap in which
    /// another of its tasks would fit.
    fn check_adjacency(&self, item: &work::WorkItem, placement: &[work::TaskAssignment]) {
        if item.demand.accelerators == 0 || item.adjacency == model::Adjacency::Any {
            return;
        }
        let racks = self.racks();
        let order: Vec<(usize, &ids::WorkerId)> = racks
            .iter()
            .enumerate()
            .flat_map(|(rack, it)| it.iter().map(move |it| (rack, it)))
            .collect();
        let mut used: Vec<(usize, u32)> = Vec::new();
        for assignment in placement {
            let worker_index = order.iter().position(|(_, it)| **it == assignment.worker);
            let worker_index = worker_index
                .unwrap_or_else(|| panic!("worker {} is not configured", assignment.worker));
            used.extend(assignment.accelerators.iter().map(|it| (worker_index, *it)));
        }
        used.sort_unstable();
        let (first, last) = (used[0], used[used.len() - 1]);
        let one_rack = order[first.0].0 == order[last.0].0;
        match item.adjacency {
            model::Adjacency::Worker => assert_eq!(first.0, last.0, "{placement:?}"),
            model::Adjacency::Rack => assert!(one_rack, "{placement:?}"),
            model::Adjacency::Hall | model::Adjacency::Any => {}
        }
        let linear_index =
            |it: &(usize, u32)| it.0 as u32 * config_variants::WORKER_ACCELERATORS + it.1;
        for pair in used.windows(2) {
            let gap = linear_index(&pair[1]) - linear_index(&pair[0]) - 1;
            let same_worker = pair[0].0 == pair[1].0;
            let is_near = if same_worker { gap == 0 } else { gap < 2 * item.demand.accelerators };
            assert!(is_near && pair[1].0 <= pair[0].0 + 1, "{} has gaps: {placement:?}", item.id);
        }
    }

    /// Checks that no worker of the placement has more cores, memory or slots allocated than it has.
    fn check_worker_resources(&self, placement: &[work::TaskAssignment]) {
        for assignment in placement {
            let mut cores = 0;
            let mut memory_mb = 0;
            let mut slots = 0;
            for tracked in self.work_by_id.values().filter(|it| holds_accelerators(it)) {
                let n_tasks =
                    tracked.placement.iter().filter(|it| it.worker == assignment.worker).count();
                cores += tracked.item.demand.cores * n_tasks as u32;
                memory_mb += tracked.item.demand.memory_mb * n_tasks as u64;
                slots += tracked.item.demand.slots * n_tasks as u32;
            }
            assert!(
                cores <= config_variants::WORKER_CORES,
                "{} has {cores} cores allocated",
                assignment.worker
            );
            assert!(
                memory_mb <= config_variants::WORKER_MEMORY_MB,
                "{} has {memory_mb} MiB allocated",
                assignment.worker
            );
            assert!(slots <= 4, "{} has {slots} slots allocated", assignment.worker);
        }
    }

    /// Records that a work item holds no accelerators any more.
    pub(crate) fn release_accelerators(&mut self, id: work::WorkId) {
        self.holders.retain(|_, holder| *holder != id);
        let tracked = self.work_by_id.get_mut(&id).expect("known work");
        tracked.placement.clear();
        tracked.stopping = false;
    }

    /// Checks that a stop is allowed and records it.
    pub(crate) fn record_stop(&mut self, id: work::WorkId, after_stop: decision::AfterStop) {
        let class = self.class(&self.work_by_id[&id].item.class).clone();
        let tracked = self.work_by_id.get_mut(&id).expect("known work");
        let is_requeued = after_stop == decision::AfterStop::Requeue && !tracked.cancelled;
        let would_run_twice =
            is_requeued && !class.repeatable && matches!(tracked.phase, Phase::Running(_));
        assert!(!would_run_twice, "{id} is not repeatable and was stopped to run again");
        tracked.stopping = true;
    }

    /// Checks that a requeue is allowed and records it.
    pub(crate) fn record_requeue(&mut self, id: work::WorkId) {
        let repeatable = self.class(&self.work_by_id[&id].item.class).repeatable;
        let tracked = self.work_by_id.get_mut(&id).expect("known work");
        // Work whose start was rolled back is already waiting.
        let is_idle = matches!(tracked.phase, Phase::Waiting | Phase::Ended { succeeded: false });
        assert!(is_idle, "{id} requeued in {:?}", tracked.phase);
        assert!(repeatable || !tracked.ever_ran, "{id} is not repeatable and was requeued");
        tracked.phase = Phase::Waiting;
    }

    /// Checks that the outcome returned to the caller is true and records it.
    pub(crate) fn record_finish(&mut self, id: work::WorkId, outcome: model::RequestOutcome) {
        let tracked = self.work_by_id.get_mut(&id).expect("known work");
        let succeeded = match tracked.phase {
            Phase::Ended { succeeded } => succeeded,
            Phase::Waiting => false,
            _ => panic!("{id} finished with {outcome:?} in {:?}", tracked.phase),
        };
        match outcome {
            model::RequestOutcome::Done => {
                assert!(succeeded, "{id} finished as done, but it did not succeed")
            }
            model::RequestOutcome::NotRun => {
                assert!(!tracked.ever_ran, "{id} finished as not run, but it ran");
            }
            model::RequestOutcome::Failed | model::RequestOutcome::Unknown => {
                assert!(tracked.ever_ran, "{id} finished as {outcome:?}, but it never ran");
                assert!(!succeeded, "{id} finished as {outcome:?}, but it succeeded");
            }
        }
        tracked.phase = Phase::Finished;
    }

    /// Whether every worker is live, undrained, free of faults and not excluded by the policy.
    pub(crate) fn all_workers_healthy(&self) -> bool {
        let is_healthy = |it: &TrackedWorker| {
            !it.dead && !it.reported_lost && !it.drained && !it.faulty && !it.excluded_by_policy
        };
        self.workers.values().all(is_healthy)
    }

    /// Checks that no claim to which the reclaim bound applies waits longer than that bound.
    pub(crate) fn check_claims(&self, now: time::WallTime) {
        for (id, tracked) in &self.work_by_id {
            let Some(start_by) = tracked.start_by else { continue };
            let is_late = tracked.phase == Phase::Waiting && start_by < now;
            assert!(!is_late, "claim {id} waits longer than the reclaim bound: {tracked:?}");
        }
    }

    /// Checks that every unclaimed guaranteed shape has a block of its own that is free or can be freed
    /// within the reclaim bound. Tries all blocks. Checks nothing while any guarantee is reported lost.
    pub(crate) fn check_guarantees(&self, now: time::WallTime) {
        if !self.lost_guarantees.is_empty() {
            return;
        }
        let shapes: Vec<(&ids::AccountId, &model::GuaranteedShape)> = self
            .document
            .accounts
            .iter()
            .flat_map(|it| it.guarantees.iter().map(move |shape| (&it.id, shape)))
            .collect();
        let is_satisfiable =
            self.guarantees_fit(&shapes, &mut BTreeSet::new(), &mut Vec::new(), now);
        assert!(
            is_satisfiable,
            "no blocks for guarantees {shapes:?}; accelerators held: {:?}",
            self.holders
        );
    }

    /// Whether every shape is claimed or has a block. If several work items name the same guarantee, only
    /// one of them is its claim; the policy chooses which, so each of them is tried.
    fn guarantees_fit<'a>(
        &'a self,
        shapes: &[(&'a ids::AccountId, &'a model::GuaranteedShape)],
        claims: &mut BTreeSet<work::WorkId>,
        unclaimed: &mut Vec<(&'a ids::AccountId, &'a model::GuaranteedShape)>,
        now: time::WallTime,
    ) -> bool {
        let Some(((account, shape), rest)) = shapes.split_first() else {
            return self.blocks_fit(unclaimed, claims, &mut BTreeSet::new(), now);
        };
        let requests_guarantee = |it: &&TrackedWork| {
            it.item.account == **account
                && it.item.guarantee.as_ref() == Some(&shape.name)
                && holds_accelerators(it)
        };
        let requesting: Vec<work::WorkId> =
            self.work_by_id.values().filter(requests_guarantee).map(|it| it.item.id).collect();
        for it in &requesting {
            claims.insert(*it);
            if self.guarantees_fit(rest, claims, unclaimed, now) {
                return true;
            }
            claims.remove(it);
        }
        unclaimed.push((account, shape));
        let is_satisfiable = self.guarantees_fit(rest, claims, unclaimed, now);
        unclaimed.pop();
        is_satisfiable
    }

    /// Whether all unclaimed shapes have disjoint blocks; a backtracking search.
    fn blocks_fit(
        &self,
        unclaimed: &[(&ids::AccountId, &model::GuaranteedShape)],
        claims: &BTreeSet<work::WorkId>,
        taken: &mut BTreeSet<(ids::WorkerId, u32)>,
        now: time::WallTime,
    ) -> bool {
        let Some(((account, shape), rest)) = unclaimed.split_first() else { return true };
        for block in self.blocks(shape) {
            let is_usable = block
                .iter()
                .all(|it| !taken.contains(it) && self.is_available(it, account, claims, now));
            if !is_usable {
                continue;
            }
            taken.extend(block.iter().cloned());
            if self.blocks_fit(rest, claims, taken, now) {
                return true;
            }
            block.iter().for_each(|it| {
                taken.remove(it);
            });
        }
        false
    }

    /// All blocks of the shape's length that its adjacency allows.
    fn blocks(&self, shape: &model::GuaranteedShape) -> Vec<Vec<(ids::WorkerId, u32)>> {
        let accelerators = |worker: &ids::WorkerId| {
            (0..config_variants::WORKER_ACCELERATORS)
                .map(|it| (worker.clone(), it))
                .collect::<Vec<_>>()
        };
        let racks = self.racks();
        let rows: Vec<Vec<(ids::WorkerId, u32)>> = match shape.adjacency {
            model::Adjacency::Worker => racks.iter().flatten().map(accelerators).collect(),
            model::Adjacency::Rack => {
                racks.iter().map(|it| it.iter().flat_map(accelerators).collect()).collect()
            }
            model::Adjacency::Hall | model::Adjacency::Any => {
                vec![racks.iter().flatten().flat_map(accelerators).collect()]
            }
        };
        let blocks_in_row = |row: &Vec<(ids::WorkerId, u32)>| {
            row.windows(shape.accelerators as usize).map(<[_]>::to_vec).collect::<Vec<_>>()
        };
        rows.iter().flat_map(blocks_in_row).collect()
    }

    /// Whether an accelerator of a usable worker is free, is held by work of the account that is not a
    /// claim, or is released within the reclaim bound: its work is being stopped, can be stopped, or ends.
    fn is_available(
        &self,
        accelerator: &(ids::WorkerId, u32),
        account: &str,
        claims: &BTreeSet<work::WorkId>,
        now: time::WallTime,
    ) -> bool {
        let worker = &self.workers[&accelerator.0];
        if worker.reported_lost || worker.drained || worker.excluded_by_policy {
            return false;
        }
        let Some(holder) = self.holders.get(accelerator) else { return true };
        let tracked = &self.work_by_id[holder];
        if claims.contains(holder) {
            return false;
        }
        if tracked.item.account == account || tracked.stopping {
            return true;
        }
        let class = self.class(&tracked.item.class);
        let stoppable = class.repeatable && class.kind == model::ClassKind::Job;
        stoppable || self.latest_end(tracked, class, now) <= now + self.document.bounds.reclaim.0
    }

    /// Latest time at which a work item ends: a request at its run time limit, a job when it is stopped for
    /// overrunning that limit.
    fn latest_end(
        &self,
        tracked: &TrackedWork,
        class: &model::JobClass,
        now: time::WallTime,
    ) -> time::WallTime {
        let since = if let Phase::Running(since) = tracked.phase { since } else { now };
        match class.kind {
            model::ClassKind::Request => since + class.max_run.0,
            model::ClassKind::Job => {
                since
                    + class.max_run.0.mul_f64(self.document.bounds.overrun)
                    + self.document.bounds.checkpoint_grace.0
            }
        }
    }
}

/// Whether a work item is starting or running, and so holds its accelerators.
pub(crate) fn holds_accelerators(tracked: &TrackedWork) -> bool {
    matches!(tracked.phase, Phase::Starting | Phase::Running(_))
}
