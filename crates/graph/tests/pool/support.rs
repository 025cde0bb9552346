//! A test bench: a pool core, and workers that answer as each test says.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::{
    core, intake, order, progress, resources, save_queue, saving, timing, worker,
};
use almondpass_schema::{ids, model};

/// Resources that each worker offers.
pub(crate) const CAPACITY: resources::Resources =
    resources::Resources { cpu_milli: 32_000, memory_mb: 65_536, accelerators: 8 };

/// Number of workers in one rack.
const WORKERS_PER_RACK: usize = 8;

/// A pool core with its time. The clocks of all workers show the same time.
pub(crate) struct PoolBench {
    pub(crate) core: core::PoolCore,
    pub(crate) now: Duration,
    /// The progress rows that were saved of each job.
    pub(crate) saved: BTreeMap<ids::GraphId, progress::SavedChunks>,
}

impl PoolBench {
    /// `n_workers` workers in racks of eight, each of which has answered a poll.
    pub(crate) fn new(n_workers: usize) -> PoolBench {
        PoolBench::with_scheduling(n_workers, model::SchedulingSettings::default())
    }

    /// The same with optional decisions.
    pub(crate) fn with_scheduling(
        n_workers: usize,
        scheduling: model::SchedulingSettings,
    ) -> PoolBench {
        let mut bench = PoolBench::unanswered(n_workers, Duration::ZERO, scheduling);
        for index in 0..n_workers {
            bench.answer_poll(index, &[], &[]);
        }
        bench
    }

    /// Workers that have not answered yet. All runs that an earlier scheduler ordered end by
    /// `settles_at`.
    pub(crate) fn with_unanswered_workers(n_workers: usize, settles_at: Duration) -> PoolBench {
        PoolBench::unanswered(n_workers, settles_at, model::SchedulingSettings::default())
    }

    /// The same with optional decisions.
    pub(crate) fn unanswered(
        n_workers: usize,
        settles_at: Duration,
        scheduling: model::SchedulingSettings,
    ) -> PoolBench {
        PoolBench::of_tenure(0, n_workers, settles_at, scheduling)
    }

    /// The same in the tenure of an epoch.
    pub(crate) fn of_tenure(
        epoch: ids::Epoch,
        n_workers: usize,
        settles_at: Duration,
        scheduling: model::SchedulingSettings,
    ) -> PoolBench {
        let start = core::PoolStart {
            epoch,
            timing: timing::PoolTiming::default(),
            scheduling,
            catalog: Arc::default(),
            settles_at,
        };
        let mut bench = PoolBench {
            core: core::PoolCore::new(start),
            now: Duration::from_secs(1_000),
            saved: BTreeMap::new(),
        };
        for index in 0..n_workers {
            bench.core.update_worker(worker_id(index), worker_entry(index), bench.now);
        }
        bench.save();
        bench
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    /// Saves all changed rows.
    pub(crate) fn save(&mut self) {
        while let Some(batch) = self.take_save_batch() {
            self.record_progress(&batch);
            self.core.batch_saved(batch);
        }
    }

    /// All rows that have to be written, in one batch.
    pub(crate) fn take_save_batch(&mut self) -> Option<saving::SaveBatch> {
        self.core.take_save_batch(self.now, |_| true)
    }

    /// Records the progress rows of a batch in `saved`.
    pub(crate) fn record_progress(&mut self, batch: &saving::SaveBatch) {
        for row in &batch.rows {
            let save_queue::SaveRowKey::Progress { graph, chunk } = row.key else { continue };
            let saving::SaveContent::Progress(content) = &row.content else { continue };
            self.saved.entry(graph).or_default().insert(chunk, content.clone());
        }
    }

    pub(crate) fn admit(&mut self, graph: ids::GraphId, row: model::GraphRow) {
        let admitted = intake::AdmittedJob {
            graph,
            row,
            version: 1,
            origin: intake::JobOrigin::Nudge,
            progress: progress::SavedChunks::default(),
            inherited: false,
        };
        self.core.admit(admitted, self.now);
    }

    /// Admits a job that was accepted under an earlier scheduler, with the progress that was saved
    /// of it.
    pub(crate) fn inherit(
        &mut self,
        graph: ids::GraphId,
        row: model::GraphRow,
        progress: Option<progress::SavedChunks>,
    ) {
        let admitted = intake::AdmittedJob {
            graph,
            row,
            version: 1,
            origin: intake::JobOrigin::Load,
            progress: progress.unwrap_or_default(),
            inherited: true,
        };
        self.core.admit(admitted, self.now);
    }

    pub(crate) fn run_round(&mut self) -> Vec<order::PoolOrder> {
        self.core.run_round(self.now);
        self.core.take_orders()
    }

    /// Runs a round and confirms every start that it orders.
    pub(crate) fn run_round_and_start(&mut self) -> Vec<order::StartOrder> {
        let starts = starts(&self.run_round());
        for start in &starts {
            self.confirm_start(start);
        }
        starts
    }

    pub(crate) fn confirm_start(&mut self, start: &order::StartOrder) {
        let clock_ms = self.clock_ms();
        let answer = order::StartAnswer::Started { clock_ms };
        self.core.start_answered(start, answer, self.now);
    }

    /// A worker answers a poll that was sent just now.
    pub(crate) fn answer_poll(
        &mut self,
        worker: usize,
        running: &[order::ListedRun],
        ended: &[order::ListedEnd],
    ) {
        self.answer_poll_sent_at(worker, running, ended, self.now);
    }

    /// A worker answers a poll that was sent at `sent_at`.
    pub(crate) fn answer_poll_sent_at(
        &mut self,
        worker: usize,
        running: &[order::ListedRun],
        ended: &[order::ListedEnd],
        sent_at: Duration,
    ) {
        let listed = order::PollReply {
            incarnation: None,
            clock_ms: self.clock_ms(),
            running: running.to_vec(),
            ended: ended.to_vec(),
            complete: true,
        };
        self.core.poll_answered(&worker_id(worker), listed, sent_at, self.now);
    }

    /// A worker answers a poll that was sent just now, and has more ends than one answer holds.
    pub(crate) fn answer_poll_incompletely(&mut self, worker: usize, ended: &[order::ListedEnd]) {
        let listed = order::PollReply {
            clock_ms: self.clock_ms(),
            ended: ended.to_vec(),
            ..order::PollReply::default()
        };
        self.core.poll_answered(&worker_id(worker), listed, self.now, self.now);
    }

    fn clock_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }
}

pub(crate) fn worker_id(index: usize) -> ids::WorkerId {
    format!("w{index:02}")
}

/// Index of a worker, parsed from its id.
pub(crate) fn index_of(worker: &str) -> usize {
    worker.trim_start_matches('w').parse().unwrap()
}

/// Data centre of a worker; each rack is in one of its own.
pub(crate) fn data_center(index: usize) -> ids::DataCenter {
    format!("dc{}", index / WORKERS_PER_RACK)
}

pub(crate) fn worker_entry(index: usize) -> worker::WorkerEntry {
    let rack = format!("r{}", index / WORKERS_PER_RACK);
    worker::WorkerEntry {
        address: format!("127.0.0.1:{}", 8_000 + index),
        upstream: "analysis".to_owned(),
        capacity: CAPACITY,
        labels: vec!["a".to_owned(), rack.clone()],
        data_center: data_center(index),
        rack,
        leaves_in: None,
        incarnation: None,
        sequence: None,
    }
}

/// A job with one step.
pub(crate) fn job(priority: u32, step: model::GraphStep) -> model::GraphRow {
    model::GraphRow {
        account: Some("lab".to_owned()),
        cancelled: false,
        class: format!("class-{priority}"),
        graph: model::JobGraph { body: "sample".to_owned(), schedule: None, steps: vec![step] },
        max_attempts: 2,
        priority,
        upstream: "analysis".to_owned(),
    }
}

/// A step of `n` tasks that need one accelerator each.
pub(crate) fn tasks(n: u32) -> model::GraphStep {
    model::GraphStep {
        accelerators: 1,
        after: Vec::new(),
        cpu_milli: 2_000,
        estimate_ms: 2_500,
        gang: false,
        label: None,
        memory_mb: 4_000,
        per_worker: 0,
        rack: None,
        same_rack: false,
        saves: false,
        tasks: n,
    }
}

/// A step of `n` tasks that need a whole worker each.
pub(crate) fn whole_workers(n: u32) -> model::GraphStep {
    model::GraphStep { accelerators: 8, ..tasks(n) }
}

/// The same step as a gang.
pub(crate) fn gang(step: model::GraphStep) -> model::GraphStep {
    model::GraphStep { gang: true, ..step }
}

pub(crate) fn starts(orders: &[order::PoolOrder]) -> Vec<order::StartOrder> {
    let starts = orders.iter().filter_map(|it| match it {
        order::PoolOrder::Start(start) => Some(start.clone()),
        _ => None,
    });
    starts.collect()
}

pub(crate) fn stops(orders: &[order::PoolOrder]) -> Vec<order::StopOrder> {
    let stops = orders.iter().filter_map(|it| match it {
        order::PoolOrder::Stop(stop) => Some(stop.clone()),
        _ => None,
    });
    stops.collect()
}

/// The run of a start, as a worker lists it.
pub(crate) fn listed_run(start: &order::StartOrder, percent: u32) -> order::ListedRun {
    order::ListedRun { task: start.task, attempt: start.attempt, checkpoint: None, percent }
}

/// The end of a start's run, as a worker lists it.
pub(crate) fn listed_end(
    number: u64,
    start: &order::StartOrder,
    how: order::EndKind,
) -> order::ListedEnd {
    order::ListedEnd { number, task: start.task, attempt: start.attempt, how, checkpoint: None }
}

/// Replaces a worker: another worker answers at its address, and has an entry in the worker list.
pub(crate) fn replace_worker(bench: &mut PoolBench, index: usize) {
    let address = worker_entry(index).address;
    bench.core.worker_replaced(&worker_id(index), &address, bench.now);
    bench.core.update_worker(worker_id(index), worker_entry(index), bench.now);
    bench.save();
    bench.answer_poll(index, &[], &[]);
}

/// Runs a round, saves, and runs another round, as a suspect starts only once its start is saved. All
/// starts succeed.
pub(crate) fn run_rounds_with_save(bench: &mut PoolBench) -> Vec<order::StartOrder> {
    let mut starts = bench.run_round_and_start();
    bench.save();
    starts.extend(bench.run_round_and_start());
    starts
}

/// Advances the time by 100 ms, and lets all workers list the runs that were started on them.
pub(crate) fn answer_with_runs(
    bench: &mut PoolBench,
    starts: &[order::StartOrder],
    n_workers: usize,
) {
    bench.advance(100);
    for index in 0..n_workers {
        let here = starts.iter().filter(|it| index_of(&it.worker) == index);
        let running = here.map(|it| listed_run(it, 1)).collect::<Vec<_>>();
        bench.answer_poll(index, &running, &[]);
    }
}
