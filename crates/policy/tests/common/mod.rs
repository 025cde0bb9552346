//! A hall under test, with a scheduler that does what it is told.
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

/// Start of every test.
pub const START: time::WallTime = time::WallTime(Duration::from_secs(1_790_000_000));

/// A span of seconds.
pub fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn span(secs: u64) -> time::TimeSpan {
    time::TimeSpan::from_secs(secs)
}

/// A job class.
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

/// A client account without guarantees.
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

/// A guaranteed shape.
pub fn shape(name: &str, accelerators: u32, adjacency: model::Adjacency) -> model::GuaranteedShape {
    model::GuaranteedShape { name: name.to_owned(), accelerators, adjacency, hall: None }
}

/// A hall `vadodara` of racks of 8 workers with 8 accelerators; accounts `large`, and `small` with
/// a guarantee `rig` of 8 adjacent accelerators.
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

/// A piece of work under construction.
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

/// A request of one accelerator.
pub fn request(account: &str, class: &str) -> work::WorkItem {
    let demand = work::TaskDemand { accelerators: 1, cores: 1, memory_mb: 256, slots: 1 };
    work::WorkItem { demand, ..job(account, class, 1, 1) }
}

/// A gang whose accelerators are one run.
pub fn gang(
    account: &str,
    class: &str,
    tasks: u32,
    accelerators: u32,
    adjacency: model::Adjacency,
) -> work::WorkItem {
    work::WorkItem { adjacency, ..job(account, class, tasks, accelerators) }
}

/// Id of the `n`th piece of work.
pub fn work_id(n: u64) -> work::WorkId {
    Uuid::from_u128(u128::from(n))
}

/// The hall and its clock.
pub struct TestHall {
    pub core: HallCore,
    pub now: time::WallTime,
    /// Every decision so far with its time.
    pub decisions: Vec<(time::WallTime, Decision)>,
    pub running: BTreeMap<work::WorkId, Vec<work::TaskAssignment>>,
    /// Whether starts and stops succeed by themselves.
    pub executes_decisions: bool,
    next: u64,
}

impl TestHall {
    /// Every worker is there.
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

    /// No worker has answered.
    pub fn without_workers(config: model::ConfigDocument) -> TestHall {
        let hall = config.halls[0].name.clone();
        let core = HallCore::new(&hall, Arc::new(config), START).expect("a fit configuration");
        TestHall {
            core,
            now: START,
            decisions: Vec::new(),
            running: BTreeMap::new(),
            executes_decisions: true,
            next: 1,
        }
    }

    /// Submits work now and returns its id.
    pub fn submit(&mut self, item: work::WorkItem) -> work::WorkId {
        let work = work_id(self.next);
        self.next += 1;
        let item = work::WorkItem { id: work, submitted_at: self.now, ..item };
        self.core.apply(HallEvent::Arrived(item), self.now);
        work
    }

    /// Submits work and lets the hall decide.
    pub fn schedule(&mut self, item: work::WorkItem) -> work::WorkId {
        let work = self.submit(item);
        self.run_rounds();
        work
    }

    /// Tells the core something and lets it decide.
    pub fn apply_event(&mut self, event: HallEvent) {
        if let HallEvent::Ended { work, .. } = &event {
            self.running.remove(work);
        }
        self.core.apply(event, self.now);
        self.run_rounds();
    }

    /// Ends work well.
    pub fn succeed(&mut self, work: work::WorkId) {
        self.apply_event(HallEvent::Ended { work, exit: WorkExit::Succeeded });
    }

    /// Turns until nothing is left to do now.
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
        panic!("the core has something to do for ever");
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

    /// Lets time pass, with the turns that the core asks for.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.core.next_wake(self.now).filter(|it| *it <= end) {
            self.now = self.now.max(at);
            self.run_rounds();
        }
        self.now = end;
        self.run_rounds();
    }

    /// Workers on which work runs, in order.
    pub fn workers_of(&self, work: work::WorkId) -> Vec<String> {
        let slots = self.running.get(&work).cloned().unwrap_or_default();
        let mut workers: Vec<String> = slots.into_iter().map(|it| it.worker).collect();
        workers.dedup();
        workers
    }

    /// Whether work runs.
    pub fn is_running(&self, work: work::WorkId) -> bool {
        self.running.contains_key(&work)
    }

    /// Outcome of work that is over.
    pub fn outcome(&self, work: work::WorkId) -> Option<model::RequestOutcome> {
        self.decisions.iter().find_map(|(_, it)| match it {
            Decision::Finish { work: other, outcome, .. } if *other == work => Some(*outcome),
            _ => None,
        })
    }

    /// Whether a stop of this work was decided, to queue it again.
    pub fn was_reclaimed(&self, work: work::WorkId) -> bool {
        self.decisions.iter().any(|(_, it)| {
            matches!(it, Decision::Stop { work: other, after_stop: AfterStop::Requeue, .. } if *other == work)
        })
    }

    /// Text of the reason why work waits.
    pub fn wait_text(&self, work: work::WorkId) -> String {
        self.core.reason(&work, self.now).map_or("unknown".to_owned(), |it| it.text)
    }
}
