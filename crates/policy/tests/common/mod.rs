//! A hall under test: the policy core with a simulated clock and workers that execute its decisions at once.
#![allow(dead_code, unreachable_pub)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondpass_policy::core::HallCore;
use almondpass_policy::decision::{AfterStop, Decision};
use almondpass_policy::event::{HallEvent, WorkExit};
use almondpass_policy::hall_policy::HallPolicy;
use almondpass_policy::work;
use almondpass_schema::{model, time};
use uuid::Uuid;

/// Simulated time at the start of every test.
pub const START: time::WallTime = time::WallTime(Duration::from_secs(1_790_000_000));

pub fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn span(secs: u64) -> time::TimeSpan {
    time::TimeSpan::from_secs(secs)
}

/// A repeatable job class of upstream `lab` that is not urgent and makes no checkpoints. Runs are expected to
/// take 10 minutes, and may take an hour.
pub fn class(name: &str, kind: model::ClassKind, priority: u8) -> model::JobClass {
    model::JobClass {
        name: name.to_owned(),
        kind,
        priority,
        urgent: false,
        repeatable: true,
        checkpoint: false,
        upstream: "lab".to_owned(),
        accelerators: 0,
        cores: 1,
        memory_mb: 256,
        expected_run: span(600),
        max_run: span(3600),
        deadline: span(24 * 3600),
        max_body_bytes: 1 << 20,
    }
}

/// A client account without guarantees and without a limit of accelerators.
pub fn account(id: &str) -> model::ClientAccount {
    model::ClientAccount {
        id: id.to_owned(),
        name: id.to_owned(),
        keys: Vec::new(),
        guarantees: Vec::new(),
        limits: model::AccountLimits {
            accelerators: None,
            queued_jobs: 10_000,
            queued_requests: 10_000,
            running_requests: 10_000,
        },
    }
}

/// A guaranteed shape that may be in any hall.
pub fn shape(name: &str, accelerators: u32, adjacency: model::Adjacency) -> model::GuaranteedShape {
    model::GuaranteedShape { name: name.to_owned(), accelerators, adjacency, hall: None }
}

/// A hall `vadodara` whose racks have 8 workers with 8 accelerators each; an account `large` without
/// guarantees, and an account `small` with a guarantee `rig` of 8 accelerators on one worker.
pub fn config(n_racks: usize) -> model::ConfigDocument {
    let rack = |it: usize| model::RackLayout {
        name: format!("r{it}"),
        workers: 8,
        kind: "gpu8".to_owned(),
    };
    let ageing = model::JobClass {
        checkpoint: true,
        max_run: span(8 * 3600),
        expected_run: span(2 * 3600),
        ..class("ageing", model::ClassKind::Job, 2)
    };
    let certificate =
        model::JobClass { repeatable: false, ..class("certificate", model::ClassKind::Job, 4) };
    let diagnosis =
        model::JobClass { urgent: true, ..class("diagnosis", model::ClassKind::Job, 8) };
    let check = model::JobClass {
        accelerators: 1,
        max_run: span(20),
        expected_run: span(5),
        ..class("check", model::ClassKind::Request, 5)
    };
    let print = model::JobClass {
        repeatable: false,
        accelerators: 1,
        max_run: span(120),
        ..class("print", model::ClassKind::Request, 6)
    };
    let mut small = account("small");
    small.guarantees.push(shape("rig", 8, model::Adjacency::Worker));
    model::ConfigDocument {
        site: "test".to_owned(),
        objective: model::ObjectiveWeights { completion_time: 0.5, fragmentation: 0.5 },
        bounds: model::PolicyBounds {
            reclaim: span(30),
            checkpoint_grace: span(10),
            urgent_start: span(3),
            ageing_step: span(600),
            gang_wait: span(600),
            overrun: 1.5,
            idempotency_window: span(86_400),
            job_retention: span(86_400),
        },
        worker_kinds: vec![model::WorkerKind {
            name: "gpu8".to_owned(),
            cores: 32,
            memory_mb: 65_536,
            accelerators: 8,
            slots: 8,
            connections: 64,
        }],
        halls: vec![model::HallLayout {
            name: "vadodara".to_owned(),
            region: "gujarat".to_owned(),
            data_center: "dc1".to_owned(),
            racks: (1..=n_racks).map(rack).collect(),
        }],
        upstreams: vec![model::UpstreamSpec {
            name: "lab".to_owned(),
            halls: vec!["vadodara".to_owned()],
            former_halls: Vec::new(),
        }],
        classes: vec![
            class("batch", model::ClassKind::Job, 2),
            ageing,
            certificate,
            diagnosis,
            check,
            print,
        ],
        accounts: vec![account("large"), small],
        drains: Vec::new(),
    }
}

/// A job of `tasks` tasks with `accelerators` accelerators each, anywhere in the hall. Its id is set when it
/// is submitted.
pub fn job(account: &str, class: &str, tasks: u32, accelerators: u32) -> work::WorkItem {
    work::WorkItem {
        id: Uuid::nil(),
        account: account.to_owned(),
        class: class.to_owned(),
        tasks,
        demand: work::TaskDemand { accelerators, cores: accelerators, memory_mb: 256, slots: 0 },
        adjacency: model::Adjacency::Any,
        guarantee: None,
        declared_run: None,
        deadline: None,
        submitted_at: START,
        attempt: 0,
        saved_run: Duration::ZERO,
        exclude: Vec::new(),
        failed_on: Vec::new(),
    }
}

/// A request for one accelerator and one slot.
pub fn request(account: &str, class: &str) -> work::WorkItem {
    let demand = work::TaskDemand { accelerators: 1, cores: 1, memory_mb: 256, slots: 1 };
    work::WorkItem { demand, ..job(account, class, 1, 1) }
}

/// A gang whose accelerators must be adjacent.
pub fn gang(
    account: &str,
    class: &str,
    tasks: u32,
    accelerators: u32,
    adjacency: model::Adjacency,
) -> work::WorkItem {
    work::WorkItem { adjacency, ..job(account, class, tasks, accelerators) }
}

/// Id of the `n`th work item that is submitted, from 1.
pub fn work_id(n: u64) -> work::WorkId {
    Uuid::from_u128(u128::from(n))
}

/// A policy core with its clock, its decisions and the work that runs.
pub struct TestHall {
    pub core: HallCore,
    pub now: time::WallTime,
    /// Every decision so far with its time, the oldest first.
    pub decisions: Vec<(time::WallTime, Decision)>,
    /// Tasks of the work that was started and has not ended.
    pub running: BTreeMap<work::WorkId, Vec<work::TaskAssignment>>,
    /// Whether decided starts and stops take effect at once, without events from the test.
    pub executes_decisions: bool,
    next_work_number: u64,
}

impl TestHall {
    /// A hall to which every worker is connected. Its log is empty.
    pub fn new(config: model::ConfigDocument) -> TestHall {
        let mut hall = TestHall::without_workers(config);
        let names: Vec<String> =
            hall.core.picture(START).workers.into_iter().map(|it| it.worker).collect();
        for it in names {
            hall.core.apply(HallEvent::WorkerBack(it), START);
        }
        hall.run_rounds();
        hall.decisions.clear();
        hall
    }

    /// A hall to which no worker has connected yet.
    pub fn without_workers(config: model::ConfigDocument) -> TestHall {
        let hall = config.halls[0].name.clone();
        let core = HallCore::new(&hall, Arc::new(config), START).expect("a valid configuration");
        TestHall {
            core,
            now: START,
            decisions: Vec::new(),
            running: BTreeMap::new(),
            executes_decisions: true,
            next_work_number: 1,
        }
    }

    /// Submits work now, without a round, and returns its id.
    pub fn submit(&mut self, item: work::WorkItem) -> work::WorkId {
        let work = work_id(self.next_work_number);
        self.next_work_number += 1;
        let item = work::WorkItem { id: work, submitted_at: self.now, ..item };
        self.core.apply(HallEvent::Arrived(item), self.now);
        work
    }

    /// Submits work, runs rounds and returns the id of the work.
    pub fn schedule(&mut self, item: work::WorkItem) -> work::WorkId {
        let work = self.submit(item);
        self.run_rounds();
        work
    }

    /// Applies an event to the core and runs rounds.
    pub fn apply_event(&mut self, event: HallEvent) {
        if let HallEvent::Ended { work, .. } = &event {
            self.running.remove(work);
        }
        self.core.apply(event, self.now);
        self.run_rounds();
    }

    /// Reports that work ended with success, and runs rounds.
    pub fn succeed(&mut self, work: work::WorkId) {
        self.apply_event(HallEvent::Ended { work, exit: WorkExit::Succeeded });
    }

    /// Runs rounds until the core wants no further round at the current time, and checks the invariants after
    /// each. Returns the decisions.
    pub fn run_rounds(&mut self) -> Vec<Decision> {
        let mut all = Vec::new();
        for _ in 0..1000 {
            let decisions = self.core.run_round(self.now);
            self.core.check_invariants(self.now).expect("the invariants hold");
            for it in &decisions {
                self.execute_decision(it);
            }
            self.decisions.extend(decisions.iter().map(|it| (self.now, it.clone())));
            all.extend(decisions);
            if self.core.next_wake(self.now).is_none_or(|it| self.now < it) {
                return all;
            }
        }
        panic!("the core still wants another round after 1000 rounds");
    }

    fn execute_decision(&mut self, decision: &Decision) {
        match decision {
            Decision::Start { work, placement, .. } => {
                self.running.insert(*work, placement.clone());
                if self.executes_decisions {
                    self.core.apply(HallEvent::Started(*work), self.now);
                }
            }
            Decision::Stop { work, .. } if self.executes_decisions => {
                self.running.remove(work);
                let exit = WorkExit::Stopped;
                self.core.apply(HallEvent::Ended { work: *work, exit }, self.now);
            }
            _ => {}
        }
    }

    /// Moves the clock on by `span`, and runs rounds at the times that the core asks for.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.core.next_wake(self.now).filter(|it| *it <= end) {
            self.now = self.now.max(at);
            self.run_rounds();
        }
        self.now = end;
        self.run_rounds();
    }

    /// Workers on which work runs, in the order of its tasks.
    pub fn workers_of(&self, work: work::WorkId) -> Vec<String> {
        let assignments = self.running.get(&work).cloned().unwrap_or_default();
        let mut workers: Vec<String> = assignments.into_iter().map(|it| it.worker).collect();
        workers.dedup();
        workers
    }

    /// Whether work was started and has not ended.
    pub fn is_running(&self, work: work::WorkId) -> bool {
        self.running.contains_key(&work)
    }

    /// Outcome of work that has finished.
    pub fn outcome(&self, work: work::WorkId) -> Option<model::RequestOutcome> {
        self.decisions.iter().find_map(|(_, it)| match it {
            Decision::Finish { work: other, outcome, .. } if *other == work => Some(*outcome),
            _ => None,
        })
    }

    /// Whether the core ever decided to stop this work and queue it again.
    pub fn was_reclaimed(&self, work: work::WorkId) -> bool {
        self.decisions.iter().any(|(_, it)| {
            matches!(it, Decision::Stop { work: other, after_stop: AfterStop::Requeue, .. } if *other == work)
        })
    }

    /// Text of the reason why work waits, or `unknown` for work that the core does not have.
    pub fn wait_text(&self, work: work::WorkId) -> String {
        self.core.reason(&work, self.now).map_or("unknown".to_owned(), |it| it.text)
    }
}
