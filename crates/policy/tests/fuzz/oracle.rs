//! What is allowed: a naive model that follows the decisions and judges them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use almondpass_policy::{decision, work};
use almondpass_schema::{ids, model, time};

use crate::config_variants;

/// Where work stands, by what was decided and reported.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Phase {
    Waiting,
    Starting,
    Running(time::WallTime),
    /// Nothing runs, and the policy has yet to say what becomes of it.
    Ended {
        succeeded: bool,
    },
    Over,
}

/// One piece of work.
#[derive(Clone, Debug)]
pub(crate) struct TrackedWork {
    pub(crate) item: work::WorkItem,
    pub(crate) run: Duration,
    pub(crate) faulty: bool,
    pub(crate) phase: Phase,
    pub(crate) placement: Vec<work::TaskAssignment>,
    /// Number of the latest start, so that late reports of an earlier one are told apart.
    pub(crate) start: u32,
    pub(crate) ever_ran: bool,
    pub(crate) cancelled: bool,
    pub(crate) stopping: bool,
    /// A claim that must start by this time while nothing is in its way.
    pub(crate) due: Option<time::WallTime>,
}

/// One worker as the policy was told of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrackedWorker {
    pub(crate) dead: bool,
    pub(crate) told_lost: bool,
    pub(crate) drained: bool,
    pub(crate) poisoned: bool,
    /// The policy itself keeps work away from it.
    pub(crate) shunned: bool,
}

/// The naive model.
pub(crate) struct HallOracle {
    pub(crate) document: Arc<model::ConfigDocument>,
    pub(crate) works: BTreeMap<work::WorkId, TrackedWork>,
    pub(crate) workers: BTreeMap<ids::WorkerId, TrackedWorker>,
    pub(crate) holders: BTreeMap<(ids::WorkerId, u32), work::WorkId>,
    pub(crate) lost_guarantees: BTreeSet<(ids::AccountId, ids::GuaranteeName)>,
    /// No claim is judged by what began before this.
    pub(crate) calm_since: time::WallTime,
}

impl HallOracle {
    /// Names of the workers of the configuration in order, by rack.
    pub(crate) fn racks(&self) -> Vec<Vec<ids::WorkerId>> {
        let names = |rack: &model::RackLayout| {
            (1..=rack.workers)
                .map(|it| format!("{}-{}-{it:02}", config_variants::HALL, rack.name))
                .collect()
        };
        self.document.halls[0].racks.iter().map(names).collect()
    }

    pub(crate) fn class(&self, name: &str) -> &model::JobClass {
        self.document.classes.iter().find(|it| it.name == name).expect("a class of the site")
    }

    /// Takes a configuration. A guarantee that stays the same stays reported as it was.
    pub(crate) fn adopt(&mut self, document: Arc<model::ConfigDocument>) {
        let was = std::mem::replace(&mut self.document, document);
        let shape = |document: &model::ConfigDocument, key: &(ids::AccountId, String)| {
            let account = document.accounts.iter().find(|it| it.id == key.0);
            account.and_then(|it| it.guarantees.iter().find(|it| it.name == key.1)).cloned()
        };
        let now = self.document.clone();
        self.lost_guarantees
            .retain(|it| shape(&was, it).is_some_and(|old| shape(&now, it) == Some(old)));
    }

    /// Judges a start and books it.
    pub(crate) fn start(&mut self, id: work::WorkId, placement: &[work::TaskAssignment]) {
        let case = self.works.get(&id).unwrap_or_else(|| panic!("start of unknown {id}"));
        assert_eq!(case.phase, Phase::Waiting, "{id} started while it does not wait");
        assert!(!case.cancelled, "{id} started after it was cancelled");
        let repeatable = self.class(&case.item.class).repeatable;
        assert!(repeatable || !case.ever_ran, "{id} is not repeatable and started twice");
        self.check_whole(&case.item, placement);
        self.check_near(&case.item, placement);
        for slot in placement {
            let worker = &self.workers[&slot.worker];
            let takes = !worker.told_lost && !worker.drained;
            assert!(takes, "{id} started on {} which takes no work", slot.worker);
            let excluded = case.item.exclude.contains(&slot.worker);
            assert!(!excluded, "{id} started on {} which it excludes", slot.worker);
            for it in &slot.accelerators {
                let before = self.holders.insert((slot.worker.clone(), *it), id);
                assert_eq!(before, None, "{}/{it} given to {id} while held", slot.worker);
            }
        }
        let case = self.works.get_mut(&id).expect("checked above");
        case.phase = Phase::Starting;
        case.stopping = false;
        case.start += 1;
        case.placement = placement.to_vec();
        self.check_room(placement);
    }

    /// Every rank once, each with its own count of accelerators in a row.
    fn check_whole(&self, item: &work::WorkItem, placement: &[work::TaskAssignment]) {
        let ranks: BTreeSet<u32> = placement.iter().map(|it| it.rank).collect();
        let all: BTreeSet<u32> = (0..item.tasks).collect();
        assert_eq!(ranks, all, "{} is not whole: {placement:?}", item.id);
        assert_eq!(placement.len(), item.tasks as usize, "{} repeats ranks", item.id);
        for slot in placement {
            let wanted = item.demand.accelerators as usize;
            assert_eq!(slot.accelerators.len(), wanted, "{}: {slot:?}", item.id);
            let in_row = slot.accelerators.windows(2).all(|it| it[0] + 1 == it[1]);
            assert!(in_row, "{}: accelerators not in a row: {slot:?}", item.id);
            let there =
                slot.accelerators.iter().all(|it| *it < config_variants::WORKER_ACCELERATORS);
            assert!(there, "{}: no such accelerator: {slot:?}", item.id);
        }
    }

    /// All on neighbours, with no room for another task in between.
    fn check_near(&self, item: &work::WorkItem, placement: &[work::TaskAssignment]) {
        if item.demand.accelerators == 0 || item.adjacency == model::Adjacency::Any {
            return;
        }
        let racks = self.racks();
        let order: Vec<(usize, &ids::WorkerId)> = racks
            .iter()
            .enumerate()
            .flat_map(|(at, it)| it.iter().map(move |it| (at, it)))
            .collect();
        let mut used: Vec<(usize, u32)> = Vec::new();
        for slot in placement {
            let place = order.iter().position(|(_, it)| **it == slot.worker);
            let place = place.unwrap_or_else(|| panic!("{} is in no rack", slot.worker));
            used.extend(slot.accelerators.iter().map(|it| (place, *it)));
        }
        used.sort_unstable();
        let (first, last) = (used[0], used[used.len() - 1]);
        let one_rack = order[first.0].0 == order[last.0].0;
        match item.adjacency {
            model::Adjacency::Worker => assert_eq!(first.0, last.0, "{placement:?}"),
            model::Adjacency::Rack => assert!(one_rack, "{placement:?}"),
            model::Adjacency::Hall | model::Adjacency::Any => {}
        }
        let linear = |it: &(usize, u32)| it.0 as u32 * config_variants::WORKER_ACCELERATORS + it.1;
        for pair in used.windows(2) {
            let gap = linear(&pair[1]) - linear(&pair[0]) - 1;
            let same = pair[0].0 == pair[1].0;
            let near = if same { gap == 0 } else { gap < 2 * item.demand.accelerators };
            assert!(near && pair[1].0 <= pair[0].0 + 1, "{} has gaps: {placement:?}", item.id);
        }
    }

    /// No worker gives more cores, memory or slots than it has.
    fn check_room(&self, placement: &[work::TaskAssignment]) {
        for slot in placement {
            let mut cores = 0;
            let mut memory_mb = 0;
            let mut slots = 0;
            for case in self.works.values().filter(|it| holds(it)) {
                let n_tasks = case.placement.iter().filter(|it| it.worker == slot.worker).count();
                cores += case.item.demand.cores * n_tasks as u32;
                memory_mb += case.item.demand.memory_mb * n_tasks as u64;
                slots += case.item.demand.slots * n_tasks as u32;
            }
            assert!(cores <= config_variants::WORKER_CORES, "{} gives {cores} cores", slot.worker);
            assert!(
                memory_mb <= config_variants::WORKER_MEMORY_MB,
                "{} gives {memory_mb} MiB",
                slot.worker
            );
            assert!(slots <= 4, "{} gives {slots} slots", slot.worker);
        }
    }

    /// The accelerators of work are free again.
    pub(crate) fn free(&mut self, id: work::WorkId) {
        self.holders.retain(|_, holder| *holder != id);
        let case = self.works.get_mut(&id).expect("known work");
        case.placement.clear();
        case.stopping = false;
    }

    /// Judges a stop.
    pub(crate) fn stop(&mut self, id: work::WorkId, after_stop: decision::AfterStop) {
        let class = self.class(&self.works[&id].item.class).clone();
        let case = self.works.get_mut(&id).expect("known work");
        let keeps = after_stop == decision::AfterStop::Requeue && !case.cancelled;
        let lost = keeps && !class.repeatable && matches!(case.phase, Phase::Running(_));
        assert!(!lost, "{id} is not repeatable and was stopped to run again");
        case.stopping = true;
    }

    /// Judges a requeue.
    pub(crate) fn requeue(&mut self, id: work::WorkId) {
        let repeatable = self.class(&self.works[&id].item.class).repeatable;
        let case = self.works.get_mut(&id).expect("known work");
        // After a start that was rolled back it waits already.
        let idle = matches!(case.phase, Phase::Waiting | Phase::Ended { succeeded: false });
        assert!(idle, "{id} requeued in {:?}", case.phase);
        assert!(repeatable || !case.ever_ran, "{id} is not repeatable and was requeued");
        case.phase = Phase::Waiting;
    }

    /// Judges what the caller is told.
    pub(crate) fn finish(&mut self, id: work::WorkId, outcome: model::RequestOutcome) {
        let case = self.works.get_mut(&id).expect("known work");
        let succeeded = match case.phase {
            Phase::Ended { succeeded } => succeeded,
            Phase::Waiting => false,
            _ => panic!("{id} finished with {outcome:?} in {:?}", case.phase),
        };
        match outcome {
            model::RequestOutcome::Done => assert!(succeeded, "{id} done but did not succeed"),
            model::RequestOutcome::NotRun => {
                assert!(!case.ever_ran, "{id} told not run, but it ran");
            }
            model::RequestOutcome::Failed | model::RequestOutcome::Unknown => {
                assert!(case.ever_ran, "{id} told {outcome:?}, but it never ran");
                assert!(!succeeded, "{id} told {outcome:?}, but it succeeded");
            }
        }
        case.phase = Phase::Over;
    }

    /// Whether nothing is wrong in the hall.
    pub(crate) fn is_calm(&self) -> bool {
        let sound = |it: &TrackedWorker| {
            !it.dead && !it.told_lost && !it.drained && !it.poisoned && !it.shunned
        };
        self.workers.values().all(sound)
    }

    /// No claim waits past the reclaim bound while nothing is wrong.
    pub(crate) fn check_claims(&self, now: time::WallTime) {
        for (id, case) in &self.works {
            let Some(due) = case.due else { continue };
            let late = case.phase == Phase::Waiting && due < now;
            assert!(!late, "claim {id} waits past its bound: {case:?}");
        }
    }

    /// Every guaranteed shape that is not reported lost and not claimed has a block of its own
    /// that is free or can be freed within the reclaim bound. Tries all places.
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
        let fits = self.fit_some(&shapes, &mut BTreeSet::new(), &mut Vec::new(), now);
        assert!(fits, "no blocks for {shapes:?} among {:?}", self.holders);
    }

    /// Of several works that name one guarantee only one is its claim; which one is the policy's
    /// choice, so any will do.
    fn fit_some<'a>(
        &'a self,
        shapes: &[(&'a ids::AccountId, &'a model::GuaranteedShape)],
        claims: &mut BTreeSet<work::WorkId>,
        wanted: &mut Vec<(&'a ids::AccountId, &'a model::GuaranteedShape)>,
        now: time::WallTime,
    ) -> bool {
        let Some(((account, shape), rest)) = shapes.split_first() else {
            return self.fit_all(wanted, claims, &mut BTreeSet::new(), now);
        };
        let names = |it: &&TrackedWork| {
            it.item.account == **account
                && it.item.guarantee.as_ref() == Some(&shape.name)
                && holds(it)
        };
        let named: Vec<work::WorkId> =
            self.works.values().filter(names).map(|it| it.item.id).collect();
        for it in &named {
            claims.insert(*it);
            if self.fit_some(rest, claims, wanted, now) {
                return true;
            }
            claims.remove(it);
        }
        wanted.push((account, shape));
        let fits = self.fit_some(rest, claims, wanted, now);
        wanted.pop();
        fits
    }

    fn fit_all(
        &self,
        wanted: &[(&ids::AccountId, &model::GuaranteedShape)],
        claims: &BTreeSet<work::WorkId>,
        taken: &mut BTreeSet<(ids::WorkerId, u32)>,
        now: time::WallTime,
    ) -> bool {
        let Some(((account, shape), rest)) = wanted.split_first() else { return true };
        for block in self.blocks(shape) {
            let open =
                block.iter().all(|it| !taken.contains(it) && self.opens(it, account, claims, now));
            if !open {
                continue;
            }
            taken.extend(block.iter().cloned());
            if self.fit_all(rest, claims, taken, now) {
                return true;
            }
            block.iter().for_each(|it| {
                taken.remove(it);
            });
        }
        false
    }

    /// Every run of the shape's length.
    fn blocks(&self, shape: &model::GuaranteedShape) -> Vec<Vec<(ids::WorkerId, u32)>> {
        let accelerators = |worker: &ids::WorkerId| {
            (0..config_variants::WORKER_ACCELERATORS)
                .map(|it| (worker.clone(), it))
                .collect::<Vec<_>>()
        };
        let racks = self.racks();
        let lines: Vec<Vec<(ids::WorkerId, u32)>> = match shape.adjacency {
            model::Adjacency::Worker => racks.iter().flatten().map(accelerators).collect(),
            model::Adjacency::Rack => {
                racks.iter().map(|it| it.iter().flat_map(accelerators).collect()).collect()
            }
            model::Adjacency::Hall | model::Adjacency::Any => {
                vec![racks.iter().flatten().flat_map(accelerators).collect()]
            }
        };
        let runs = |line: &Vec<(ids::WorkerId, u32)>| {
            line.windows(shape.accelerators as usize).map(<[_]>::to_vec).collect::<Vec<_>>()
        };
        lines.iter().flat_map(runs).collect()
    }

    /// Whether an accelerator is free, or is its account's own, or can be freed in time.
    fn opens(
        &self,
        place: &(ids::WorkerId, u32),
        account: &str,
        claims: &BTreeSet<work::WorkId>,
        now: time::WallTime,
    ) -> bool {
        let worker = &self.workers[&place.0];
        if worker.told_lost || worker.drained || worker.shunned {
            return false;
        }
        let Some(holder) = self.holders.get(place) else { return true };
        let case = &self.works[holder];
        if claims.contains(holder) {
            return false;
        }
        if case.item.account == account || case.stopping {
            return true;
        }
        let class = self.class(&case.item.class);
        let stoppable = class.repeatable && class.kind == model::ClassKind::Job;
        stoppable || self.certain_end(case, class, now) <= now + self.document.bounds.reclaim.0
    }

    /// When work is over in any case: requests by their limit, jobs once they overran.
    fn certain_end(
        &self,
        case: &TrackedWork,
        class: &model::JobClass,
        now: time::WallTime,
    ) -> time::WallTime {
        let since = if let Phase::Running(since) = case.phase { since } else { now };
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

/// Whether work holds accelerators.
pub(crate) fn holds(case: &TrackedWork) -> bool {
    matches!(case.phase, Phase::Starting | Phase::Running(_))
}
