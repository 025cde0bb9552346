//! Why work waits, and the hall as operators see it.

use almondpass_schema::{model, time};

use crate::core::HallCore;
use crate::guarantee::HomeBlock;
use crate::item::{ItemState, QueueItem, ReservationKind};
use crate::placement;
use crate::reasons;
use crate::topology::NONE;

/// Waiting work shown in a picture.
const QUEUE_PAGE: usize = 100;

impl HallCore {
    /// Where an item stands, and why.
    pub(crate) fn explain(&self, index: u32, now: time::WallTime) -> model::WaitReason {
        let item = self.items.at(index);
        match item.state {
            ItemState::Waiting => self.explain_waiting(index, now),
            ItemState::Delayed => reasons::plain(
                model::WaitCode::Queued,
                format!("pauses after {}", reasons::count(item.n_failures as usize, "failure")),
            ),
            ItemState::Reserved(kind) => self.explain_reserving(index, kind),
            ItemState::Starting => reasons::plain(
                model::WaitCode::Queued,
                format!("starts on {}", self.where_is(item)),
            ),
            ItemState::Running => {
                reasons::plain(model::WaitCode::Queued, format!("runs on {}", self.where_is(item)))
            }
            ItemState::Checkpointing => reasons::until(
                model::WaitCode::Reclaiming,
                "makes a checkpoint, and is stopped then",
                item.state_since + self.parameters.checkpoint_grace,
            ),
            ItemState::Stopping => reasons::plain(model::WaitCode::Reclaiming, "is being stopped"),
        }
    }

    fn where_is(&self, item: &QueueItem) -> String {
        let mut workers: Vec<u32> = item.tasks.iter().map(|it| it.worker).collect();
        workers.dedup();
        let name = |it: &u32| self.topology.workers[*it as usize].name.as_str();
        match workers.as_slice() {
            [] => "no worker".to_owned(),
            [one] => name(one).to_owned(),
            [first, .., last] => {
                let n = reasons::count(workers.len(), "worker");
                format!("{n} from {} to {}", name(first), name(last))
            }
        }
    }

    fn explain_reserving(&self, index: u32, kind: ReservationKind) -> model::WaitReason {
        let opening = self.items.at(index).expected_free_at;
        let missing = self.missing_workers(index);
        let by = reasons::clock(opening);
        match kind {
            ReservationKind::Gang => reasons::until(
                model::WaitCode::ClearingBlock,
                format!("waiting for {missing}, cleared by {by}"),
                opening,
            ),
            ReservationKind::Claim | ReservationKind::Urgent => reasons::until(
                model::WaitCode::Reclaiming,
                format!("waiting for {missing}, being reclaimed by {by}"),
                opening,
            ),
        }
    }

    fn explain_waiting(&self, index: u32, now: time::WallTime) -> model::WaitReason {
        let item = self.items.at(index);
        let key = self.group_key(index);
        let Some(group) = self.queue.find(&key) else {
            return reasons::plain(model::WaitCode::Queued, "queued");
        };
        let n_ahead = group.entries.iter().take_while(|it| it.item != index).count();
        if 0 < n_ahead {
            let ahead = reasons::count(n_ahead, "elder piece");
            return reasons::plain(
                model::WaitCode::BehindPriority,
                format!("behind {ahead} of work of the same account, class and shape"),
            );
        }
        if group.blocked_at_version.is_none() {
            return reasons::plain(model::WaitCode::Queued, "queued; decided in the next turn");
        }
        if item.work.guarantee.is_some() {
            return self.explain_claim(item);
        }
        match group.wait_code {
            model::WaitCode::Adjacency => self.explain_adjacency(item),
            code => reasons::plain(code, self.waiting_text(item, code, now)),
        }
    }

    /// Why work that names a guarantee does not have it.
    fn explain_claim(&self, item: &QueueItem) -> model::WaitReason {
        let named = |it: &&HomeBlock| {
            it.account == item.account && Some(&it.guarantee) == item.work.guarantee.as_ref()
        };
        let Some(shape) = self.homes.iter().find(named) else {
            let text = format!("its guarantee is not at home in {} now", self.hall);
            return reasons::plain(model::WaitCode::NoCapacity, text);
        };
        let label = shape.label();
        if !shape.has_block() {
            let text = format!("guarantee {label} is lost: too few workers of {}", self.hall);
            return reasons::plain(model::WaitCode::NoCapacity, text);
        }
        let claimed: u32 = shape.claims.iter().map(|it| self.items.at(*it).n_accelerators()).sum();
        let text = format!(
            "guarantee {label} is claimed already, with {claimed} of {} accelerators, and nothing \
             above it is free",
            shape.size
        );
        reasons::plain(model::WaitCode::NoCapacity, text)
    }

    fn explain_adjacency(&self, item: &QueueItem) -> model::WaitReason {
        let need = item.n_accelerators();
        let runs = placement::free_runs(&self.topology, item.work.adjacency, |it| {
            self.is_accelerator_available(it)
        });
        let longest = runs.into_iter().max_by_key(|it| it.len());
        let text = match longest {
            None => format!(
                "needs {need} adjacent accelerators ({}); none is free in {}",
                item.work.adjacency, self.hall
            ),
            Some(run) => format!(
                "needs {need} adjacent accelerators ({}); the longest free run in {} has {}, from {}",
                item.work.adjacency,
                self.hall,
                run.len(),
                self.topology.host(run.start).name
            ),
        };
        reasons::plain(model::WaitCode::Adjacency, text)
    }

    fn waiting_text(&self, item: &QueueItem, code: model::WaitCode, now: time::WallTime) -> String {
        let rule = &self.catalog.classes[item.class as usize];
        match code {
            model::WaitCode::AccountLimit => {
                let uses = &self.account_usage[item.account as usize];
                format!(
                    "{} is at its limit, with {} accelerators and {} running",
                    item.work.account,
                    uses.accelerators,
                    reasons::count(uses.running_requests as usize, "request")
                )
            }
            model::WaitCode::GuaranteeKept => format!(
                "what is free belongs to guarantees of others, and class {} can't be reclaimed in \
                 time",
                rule.name
            ),
            model::WaitCode::ClearingBlock => format!(
                "what is free is kept: for a gang, as a run of class {} may outlast its opening, or \
                 for work that is urgent or can't be reclaimed",
                rule.name
            ),
            model::WaitCode::UpstreamUnavailable => {
                format!("upstream {} takes no new work", rule.upstream)
            }
            model::WaitCode::UnknownClass => format!("class {} is not configured now", rule.name),
            model::WaitCode::UnknownAccount => {
                format!("client account {} is not configured now", item.work.account)
            }
            _ => format!(
                "no worker has {} free for it; waits for {}",
                reasons::demand(&item.work.demand),
                reasons::span(now.since(item.work.submitted_at))
            ),
        }
    }

    /// Whether an accelerator is free on a worker that takes work.
    pub(crate) fn is_accelerator_available(&self, accelerator: u32) -> bool {
        let worker = self.topology.worker_of[accelerator as usize];
        self.ledger.holder[accelerator as usize] == NONE && self.health[worker as usize].usable()
    }

    /// Share of the free accelerators that lie in no free run of the largest shape wanted: the
    /// largest guaranteed or waiting one that must be one run.
    pub fn fragmentation(&self) -> f64 {
        let guaranteed = self.homes.iter().map(|it| (it.size, it.adjacency));
        let waiting = self
            .queue
            .active_groups()
            .filter_map(|it| self.queue.group(it))
            .map(|it| (it.key.tasks * it.key.demand.accelerators, it.key.adjacency));
        let reserving = self
            .reserved_items
            .iter()
            .map(|it| self.items.at(*it))
            .map(|it| (it.n_accelerators(), it.work.adjacency));
        let strict = |it: &(u32, model::Adjacency)| it.1 != model::Adjacency::Any;
        let largest = guaranteed.chain(waiting).chain(reserving).filter(strict).max();
        let Some((size, adjacency)) = largest else { return 0.0 };
        let runs =
            placement::free_runs(&self.topology, adjacency, |it| self.is_accelerator_available(it));
        let total: u32 = runs.iter().map(|it| it.len()).sum();
        let whole: u32 = runs.iter().map(|it| it.len()).filter(|it| size <= *it).sum();
        if total == 0 { 0.0 } else { f64::from(total - whole) / f64::from(total) }
    }

    /// The picture for operators.
    pub(crate) fn build_picture(&self, now: time::WallTime) -> model::HallPicture {
        model::HallPicture {
            epoch: 0,
            fragmentation: self.fragmentation(),
            guarantees: (0..self.homes.len() as u32).map(|it| self.draw_home(it)).collect(),
            hall: self.hall.clone(),
            holder: String::new(),
            queue: self.draw_queue(now),
            workers: (0..self.topology.workers.len()).map(|it| self.draw_worker(it, now)).collect(),
        }
    }

    fn draw_home(&self, home: u32) -> model::GuaranteeView {
        let shape = &self.homes[home as usize];
        model::GuaranteeView {
            account: shape.account_id.clone(),
            claimed: self.claimed_accelerators(home),
            guarantee: shape.guarantee.clone(),
            state: self.home_state(home),
        }
    }

    fn draw_queue(&self, now: time::WallTime) -> Vec<model::QueueView> {
        let groups = self.ranked_groups(|_, _| true);
        let waiting = groups
            .iter()
            .filter_map(|it| self.queue.group(*it))
            .flat_map(|it| it.entries.iter().map(|entry| entry.item));
        let view = |index: u32| {
            let item = self.items.at(index);
            model::QueueView {
                account: item.work.account.clone(),
                class: item.work.class.clone(),
                job: item.work.id,
                reason: self.explain(index, now),
                since: item.work.submitted_at,
            }
        };
        self.reserved_items.iter().copied().chain(waiting).take(QUEUE_PAGE).map(view).collect()
    }

    fn draw_worker(&self, worker: usize, now: time::WallTime) -> model::WorkerView {
        let spec = &self.topology.workers[worker];
        let book = &self.ledger.workers[worker];
        model::WorkerView {
            accelerators: (spec.first_accelerator..spec.accelerators_end())
                .map(|it| self.draw_accelerator(it))
                .collect(),
            cores_free: book.free.cores.max(0) as u32,
            memory_free_mb: book.free.memory_mb.max(0) as u64,
            rack: self.topology.rack_name(worker as u32).to_owned(),
            slots_used: (i64::from(spec.slots) - book.free.slots).max(0) as u32,
            state: self.health[worker].state(now),
            worker: spec.name.clone(),
        }
    }

    fn draw_accelerator(&self, accelerator: u32) -> model::AcceleratorView {
        let at = accelerator as usize;
        let worker = self.topology.worker_of[at] as usize;
        let home = self.ledger.home[at];
        let reserved = self.ledger.reserved_for[at];
        let holder = match self.ledger.holder[at] {
            NONE => reserved,
            holder => holder,
        };
        let item = (holder != NONE).then(|| self.items.at(holder));
        let request = item.is_some_and(|it| self.catalog.classes[it.class as usize].is_request);
        let state = match item {
            _ if !self.health[worker].present => model::AcceleratorState::Lost,
            None => model::AcceleratorState::Free,
            Some(it) if !it.state.holds_accelerators() => model::AcceleratorState::Reserved,
            Some(_) if request => model::AcceleratorState::Request,
            Some(_) => model::AcceleratorState::Job,
        };
        model::AcceleratorView {
            account: item.map(|it| it.work.account.clone()),
            home_of: (home != NONE).then(|| self.homes[home as usize].label()),
            job: item.filter(|_| !request).map(|it| it.work.id),
            state,
        }
    }
}
