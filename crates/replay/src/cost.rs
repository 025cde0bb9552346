//! What one decision and one full turn cost, by the size of the hall.

use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use almondpass_policy::hall_policy::HallPolicy;
use almondpass_policy::{core, decision, event, work};
use almondpass_schema::{ids, model, time};
use clap::Args;
use serde::Serialize;
use uuid::Uuid;

use crate::site;
use crate::tally;
use crate::trace;

/// Workers of a rack.
const RACK_WORKERS: u32 = 8;
/// Work that waits in a full hall, as a part of what runs.
const WAITING_PART: u32 = 10;
/// Ends and arrivals between two turns of a busy hall.
const CHANGES_A_TURN: u32 = 16;
/// Size of a page; the kernel counts memory in pages.
const PAGE_BYTES: u64 = 4_096;

/// A size of hall.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct HallSize {
    /// For people.
    pub name: &'static str,
    /// Workers.
    pub workers: u32,
    /// Accelerators of each.
    pub accelerators: u32,
    /// Tasks that run.
    pub tasks: u32,
}

/// Today, in two years one hall of eight, and in two years all in one hall.
pub const SIZES: [HallSize; 3] = [
    HallSize { name: "today", workers: 17, accelerators: 8, tasks: 136 },
    HallSize { name: "two years, a hall", workers: 163, accelerators: 1, tasks: 2_400 },
    HallSize { name: "two years, one hall", workers: 1_300, accelerators: 1, tasks: 19_000 },
];

/// Measures the time of decisions and turns, and memory.
#[derive(Clone, Debug, Args)]
pub struct CostArgs {
    /// Sizes by number. Memory is right for the first of a process only: later ones get pages that
    /// the earlier ones gave back.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 1, 2])]
    pub sizes: Vec<usize>,
    /// Turns measured at each size.
    #[arg(long, default_value_t = 2_000)]
    pub turns: u32,
    /// Prints JSON instead of text.
    #[arg(long)]
    pub json: bool,
}

/// What one size costs.
#[derive(Clone, Debug, Serialize)]
pub struct CostRow {
    /// The size.
    pub size: HallSize,
    /// One end, one arrival and the turn after them, in milliseconds.
    pub decision_milliseconds: tally::SpanSummary,
    /// Several ends and arrivals and the turn after them, in milliseconds.
    pub turn_milliseconds: tally::SpanSummary,
    /// Resident memory of an empty hall for each worker, in bytes.
    pub bytes_a_worker: u64,
    /// Resident memory for each task that runs or waits, in bytes.
    pub bytes_a_task: u64,
}

/// A full hall with work waiting.
pub struct FullHall {
    core: core::HallCore,
    now: time::WallTime,
    running: Vec<work::WorkId>,
    next: u64,
}

/// Measures every size and prints it.
pub fn run(args: &CostArgs) -> anyhow::Result<()> {
    let sizes = args.sizes.iter().filter_map(|it| SIZES.get(*it));
    let rows: Vec<CostRow> =
        sizes.map(|it| measure(it, args.turns)).collect::<anyhow::Result<_>>()?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
        return Ok(());
    }
    for it in rows {
        println!(
            "{}: {} workers, {} tasks: decision ms p50 {:.3} p99 {:.3}, turn ms p50 {:.3} p99 {:.3} \
             max {:.3}, {} bytes a worker, {} bytes a task",
            it.size.name,
            it.size.workers,
            it.size.tasks,
            it.decision_milliseconds.p50,
            it.decision_milliseconds.p99,
            it.turn_milliseconds.p50,
            it.turn_milliseconds.p99,
            it.turn_milliseconds.max,
            it.bytes_a_worker,
            it.bytes_a_task,
        );
    }
    Ok(())
}

fn measure(size: &HallSize, turns: u32) -> anyhow::Result<CostRow> {
    let before = resident_bytes();
    let mut hall = FullHall::empty(size)?;
    let empty = resident_bytes();
    hall.fill(size);
    let full = resident_bytes();
    let mut decisions = tally::SpanHistogram::default();
    let mut full_turns = tally::SpanHistogram::default();
    for _ in 0..turns {
        decisions.record_number(hall.busy_turn(1).as_nanos() as u64);
        full_turns.record_number(hall.busy_turn(CHANGES_A_TURN).as_nanos() as u64);
    }
    let n_tasks = u64::from(size.tasks + size.tasks / WAITING_PART);
    Ok(CostRow {
        size: *size,
        decision_milliseconds: decisions.summary(1e6),
        turn_milliseconds: full_turns.summary(1e6),
        bytes_a_worker: empty.saturating_sub(before) / u64::from(size.workers),
        bytes_a_task: full.saturating_sub(empty) / n_tasks,
    })
}

impl FullHall {
    /// A hall without work.
    pub fn empty(size: &HallSize) -> anyhow::Result<FullHall> {
        let document = document(size);
        let hall = document.halls[0].clone();
        let mut core = core::HallCore::new(&hall.name, Arc::new(document), trace::EPOCH)?;
        for it in site::worker_names(&hall).concat() {
            core.apply(event::HallEvent::WorkerBack(it), trace::EPOCH);
        }
        let mut full = FullHall { core, now: trace::EPOCH, running: Vec::new(), next: 0 };
        full.turn();
        Ok(full)
    }

    /// Fills the hall and lets a tenth as much wait.
    pub fn fill(&mut self, size: &HallSize) {
        for _ in 0..size.tasks + size.tasks / WAITING_PART {
            self.arrive(size.accelerators);
        }
        self.turn();
    }

    /// Ends and replaces `changes` pieces of work, and times the turn that follows, with telling it.
    pub fn busy_turn(&mut self, changes: u32) -> Duration {
        self.now = self.now + Duration::from_millis(50);
        let mut ended = Vec::new();
        for step in 0..u64::from(changes) {
            let at = (self.next * 7_919 + step * 104_729) % self.running.len().max(1) as u64;
            if !self.running.is_empty() {
                ended.push(self.running.swap_remove(at as usize));
            }
        }
        let clock = Instant::now();
        for work in ended {
            let exit = event::WorkExit::Succeeded;
            self.core.apply(event::HallEvent::Ended { work, exit }, self.now);
            self.arrive(1);
        }
        let decisions = self.core.run_round(self.now);
        let took = clock.elapsed();
        self.obey(decisions);
        took
    }

    fn arrive(&mut self, accelerators: u32) {
        self.next += 1;
        // In two years most tasks have no accelerator of their own.
        let bare = accelerators == 1 && !self.next.is_multiple_of(14);
        let item = work::WorkItem {
            id: Uuid::from_u128(self.next.into()),
            account: format!("team-{}", self.next % 22),
            class: "batch".to_owned(),
            tasks: 1,
            demand: work::TaskDemand {
                accelerators: u32::from(!bare),
                cores: 1,
                memory_mb: 256,
                slots: 0,
            },
            adjacency: model::Adjacency::Any,
            guarantee: None,
            declared_run: Some(Duration::from_secs(3_600)),
            deadline: None,
            submitted_at: self.now,
            attempt: 0,
            saved_run: Duration::ZERO,
            exclude: Vec::new(),
            failed_on: Vec::new(),
        };
        self.core.apply(event::HallEvent::Arrived(item), self.now);
    }

    fn turn(&mut self) {
        loop {
            let decisions = self.core.run_round(self.now);
            self.obey(decisions);
            if self.core.next_wake(self.now).is_none_or(|it| self.now < it) {
                return;
            }
        }
    }

    fn obey(&mut self, decisions: Vec<decision::Decision>) {
        for it in decisions {
            if let decision::Decision::Start { work, .. } = it {
                self.running.push(work);
                self.core.apply(event::HallEvent::Started(work), self.now);
            }
        }
    }
}

fn document(size: &HallSize) -> model::ConfigDocument {
    let hall: ids::HallName = "large".to_owned();
    let upstream = "runner";
    let rack = |index: u32| model::RackLayout {
        name: format!("r{index}"),
        workers: RACK_WORKERS.min(size.workers - (index - 1) * RACK_WORKERS),
        kind: "node".to_owned(),
    };
    let team = |it: u32| {
        let guarantees = match it {
            0 => vec![site::shape("rig", 8, model::Adjacency::Rack, &hall)],
            1..5 => vec![site::shape("rig", 4, model::Adjacency::Rack, &hall)],
            _ => Vec::new(),
        };
        site::account(&format!("team-{it}"), guarantees)
    };
    model::ConfigDocument {
        site: "cost".to_owned(),
        worker_kinds: vec![model::WorkerKind {
            name: "node".to_owned(),
            cores: 32,
            memory_mb: 65_536,
            accelerators: size.accelerators,
            slots: 8,
            connections: 64,
        }],
        halls: vec![model::HallLayout {
            name: hall.clone(),
            region: "region".to_owned(),
            data_center: "center".to_owned(),
            racks: (1..=size.workers.div_ceil(RACK_WORKERS)).map(rack).collect(),
        }],
        upstreams: vec![model::UpstreamSpec {
            name: upstream.to_owned(),
            halls: vec![hall.clone()],
            former_halls: Vec::new(),
        }],
        classes: vec![site::class("batch", model::ClassKind::Job, upstream, 3_600, 28_800)],
        accounts: (0..22).map(team).collect(),
        ..site::SiteName::Laboratories.document()
    }
}

/// Resident memory of this process, zero where the kernel does not tell.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
