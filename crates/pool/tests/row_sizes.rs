//! Sizes of stored rows at the planned size of the platform and beyond.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::{core, intake, progress, save_queue, saving, speed_row, timing, worker};
use almondpass_peer::codec;
use almondpass_schema::{ids, model};

/// Longest content of a row that the platform's store accepts, in bytes.
const MAX_ROW_BYTES: usize = 65_536;

/// Longest key of a row that the platform's store accepts, in bytes; ids of workers are such keys.
const MAX_KEY_BYTES: usize = 200;

fn empty_core() -> core::PoolCore {
    core::PoolCore::new(core::PoolStart {
        epoch: 0,
        timing: timing::PoolTiming::default(),
        scheduling: model::SchedulingSettings::default(),
        catalog: Arc::default(),
        settles_at: Duration::ZERO,
    })
}

fn worker_id(index: usize) -> ids::WorkerId {
    format!("{index:0width$}", width = MAX_KEY_BYTES)
}

/// Returns the content of every row that the core has to save, and marks it as saved.
fn save_all_rows(
    core: &mut core::PoolCore,
) -> BTreeMap<save_queue::SaveRowKey, saving::SaveContent> {
    let mut saved = BTreeMap::new();
    while let Some(batch) = core.take_save_batch(Duration::ZERO, |_| true) {
        saved.extend(batch.rows.iter().map(|it| (it.key, it.content.clone())));
        core.batch_saved(batch);
    }
    saved
}

fn encoded_bytes(content: &saving::SaveContent) -> usize {
    let encoded = match content {
        saving::SaveContent::Progress(row) => codec::encode(row),
        saving::SaveContent::Roster(row) => codec::encode(row),
        saving::SaveContent::Speeds(row) => codec::encode(row),
        saving::SaveContent::Removed => return 0,
    };
    encoded.expect("a message").len()
}

fn assert_all_fit(saved: &BTreeMap<save_queue::SaveRowKey, saving::SaveContent>) {
    for (key, content) in saved {
        let n_bytes = encoded_bytes(content);
        assert!(n_bytes <= MAX_ROW_BYTES, "{key:?}: {n_bytes} bytes");
    }
}

fn workers_of_roster(
    saved: &BTreeMap<save_queue::SaveRowKey, saving::SaveContent>,
) -> BTreeSet<String> {
    let pages = saved.values().filter_map(|it| match it {
        saving::SaveContent::Roster(row) => Some(&row.workers),
        _ => None,
    });
    pages.flatten().map(|it| it.worker.clone()).collect()
}

/// Guards against a roster (the list of workers that may run tasks) that the store rejects: in a single
/// row, it is too long with more than about 1,000 workers.
#[test]
fn pages_of_the_roster_fit_with_5_000_workers_of_the_longest_names() {
    let mut core = empty_core();
    for index in 0..5_000 {
        let listing = worker::WorkerEntry {
            address: "255.255.255.255:65535".to_owned(),
            upstream: "u".repeat(MAX_KEY_BYTES),
            ..worker::WorkerEntry::default()
        };
        core.update_worker(worker_id(index), listing, Duration::ZERO);
    }
    let saved = save_all_rows(&mut core);
    assert_all_fit(&saved);
    assert_eq!(workers_of_roster(&saved).len(), 5_000);
}

/// A new worker changes a single page of the roster.
#[test]
fn a_new_worker_writes_one_page() {
    let mut core = empty_core();
    for index in 0..500 {
        core.update_worker(worker_id(index), worker::WorkerEntry::default(), Duration::ZERO);
    }
    save_all_rows(&mut core);
    core.update_worker(worker_id(500), worker::WorkerEntry::default(), Duration::ZERO);
    assert_eq!(save_all_rows(&mut core).len(), 1);
}

/// An earlier release stored all workers in the row that is now the first page.
#[test]
fn the_roster_of_an_earlier_release_is_spread_over_pages() {
    let mut core = empty_core();
    for index in 0..1_000 {
        let entry = model::RosterEntry {
            on_record: true,
            worker: worker_id(index),
            address: String::new(),
            upstream: String::new(),
        };
        core.inherit_worker(entry, 0);
    }
    let saved = save_all_rows(&mut core);
    assert_all_fit(&saved);
    assert_eq!(workers_of_roster(&saved).len(), 1_000);
    assert!(saved.contains_key(&save_queue::SaveRowKey::Roster { page: 0 }));
    assert_eq!(save_all_rows(&mut core).len(), 0);
}

fn step_of(tasks: u32, gang: bool) -> model::GraphStep {
    model::GraphStep {
        accelerators: 1,
        after: Vec::new(),
        cpu_milli: 1_000,
        estimate_ms: 1_000,
        gang,
        label: None,
        memory_mb: 100,
        per_worker: 0,
        rack: None,
        same_rack: false,
        saves: true,
        tasks,
    }
}

fn job_with_steps(steps: Vec<model::GraphStep>) -> model::GraphRow {
    model::GraphRow {
        account: None,
        cancelled: false,
        class: "trend".to_owned(),
        graph: model::JobGraph { body: String::new(), schedule: None, steps },
        max_attempts: 20,
        priority: 1,
        upstream: "analysis".to_owned(),
    }
}

/// A place whose worker has the longest id that is saved.
fn longest_place() -> model::StartPlace {
    model::StartPlace {
        worker: "w".repeat(36),
        incarnation: Some(u64::MAX),
        clock_ms: 100_000_000_000,
    }
}

/// Longest possible progress of a step: every task has failed as often as it may, has a checkpoint, and is
/// suspected of crashing its workers.
fn longest_progress(tasks: u32) -> model::StepProgress {
    let loss = |attempt| model::WorkerLoss {
        attempt,
        odds_ppm: 1_000_000,
        surroundings_ppm: 1_000_000,
        struck_ms: Some(100_000_000),
    };
    let losses = (100_021..100_028).map(loss).collect::<Vec<_>>();
    let attempts = (100_001..100_020).collect::<Vec<_>>();
    model::StepProgress {
        done: Vec::new(),
        failures: (0..tasks)
            .map(|task| model::TaskFailures { task, attempts: attempts.clone() })
            .collect(),
        attempts: (0..tasks).map(|task| model::TaskAttempt { task, attempt: 100_020 }).collect(),
        checkpoints: (0..tasks)
            .map(|task| model::TaskCheckpoint { task, checkpoint: "c".repeat(256) })
            .collect(),
        losses: (0..tasks)
            .map(|task| model::TaskLosses {
                task,
                losses: losses.clone(),
                survived_ms: Some(100_000_000),
            })
            .collect(),
        trials: (0..tasks)
            .map(|task| model::SavedStart { task, attempt: 100_028, place: Some(longest_place()) })
            .collect(),
    }
}

fn admit_saved_job(core: &mut core::PoolCore, row: model::GraphRow, chunks: progress::SavedChunks) {
    let admitted = intake::AdmittedJob {
        graph: 1,
        row,
        version: 1,
        origin: intake::JobOrigin::Load,
        progress: chunks,
        inherited: true,
    };
    core.admit(admitted, Duration::ZERO);
}

/// Guards against the progress of a wide job in a single row, which the store rejects together with all other
/// rows of the same write. The single row of an earlier release is divided into chunks.
#[test]
fn rows_of_the_widest_job_fit() {
    let widths = [100, 1, 6_000, 12_899];
    let steps = widths.map(|it| step_of(it, false)).to_vec();
    let mut chunks = progress::SavedChunks::default();
    let undivided = model::ProgressRow {
        state: model::GraphState::Running,
        failure: None,
        first_step: 0,
        steps: widths.map(longest_progress).to_vec(),
    };
    chunks.insert(progress::HEAD_CHUNK, undivided.clone());
    let mut core = empty_core();
    admit_saved_job(&mut core, job_with_steps(steps.clone()), chunks);

    let saved = save_all_rows(&mut core);
    assert_all_fit(&saved);
    assert_eq!(saved.len(), 19_000_usize.div_ceil(64));

    let mut divided = progress::SavedChunks::default();
    for (key, content) in saved {
        if let (
            save_queue::SaveRowKey::Progress { chunk, .. },
            saving::SaveContent::Progress(row),
        ) = (key, content)
        {
            divided.insert(chunk, row);
        }
    }
    let mut next = empty_core();
    admit_saved_job(&mut next, job_with_steps(steps), divided);
    assert_eq!(save_all_rows(&mut next).len(), 0, "divided already");
}

/// Guards against a gang that runs again after it has ended. A gang may lie in several rows: the holder may
/// save and acknowledge the end of one member, and end before it writes the rows of the other members.
#[test]
fn the_end_of_one_member_ends_its_gang() {
    let done = model::StepProgress {
        done: vec![130],
        failures: Vec::new(),
        attempts: Vec::new(),
        checkpoints: Vec::new(),
        losses: Vec::new(),
        trials: Vec::new(),
    };
    let row = model::ProgressRow {
        state: model::GraphState::Running,
        failure: None,
        first_step: 0,
        steps: vec![done],
    };
    let mut chunks = progress::SavedChunks::default();
    chunks.insert(2, row);
    let mut core = empty_core();
    admit_saved_job(&mut core, job_with_steps(vec![step_of(160, true)]), chunks);
    let shown = core.state_of(1).map(|it| (it.state, it.account));
    assert_eq!(shown, Some((model::GraphState::Completed, None)));
}

/// Guards against a cancelled job that is shown as failed. After the cancellation, a task outside the first
/// chunk fails for the last time; its chunk is saved, the head chunk is not, and another instance takes over
/// the tenure. The state of the job must not be derived from its tasks alone.
#[test]
fn a_cancelled_job_stays_cancelled_whatever_its_tasks_show() {
    let failures = model::TaskFailures { task: 70, attempts: (1..=20).collect() };
    let step = model::StepProgress {
        done: Vec::new(),
        failures: vec![failures],
        attempts: Vec::new(),
        checkpoints: Vec::new(),
        losses: Vec::new(),
        trials: Vec::new(),
    };
    let row = model::ProgressRow {
        state: model::GraphState::Cancelled,
        failure: None,
        first_step: 0,
        steps: vec![step],
    };
    let mut chunks = progress::SavedChunks::default();
    chunks.insert(1, row);
    let mut core = empty_core();
    let cancelled =
        model::GraphRow { cancelled: true, ..job_with_steps(vec![step_of(100, false)]) };
    admit_saved_job(&mut core, cancelled, chunks);
    let shown = core.state_of(1).map(|it| (it.state, it.account));
    assert_eq!(shown, Some((model::GraphState::Cancelled, None)));
}

/// Content of the row of speeds of workers with ids of that length, half of them fast and half slow.
fn speed_row_of(n_workers: usize, id_bytes: usize) -> model::SpeedRow {
    let mut core = core::PoolCore::new(core::PoolStart {
        epoch: 0,
        timing: timing::PoolTiming::default(),
        scheduling: model::SchedulingSettings {
            remember_speeds: true,
            ..model::SchedulingSettings::default()
        },
        catalog: Arc::default(),
        settles_at: Duration::ZERO,
    });
    let id = |index: usize| format!("{index:0id_bytes$}");
    let incarnation = Some(u64::MAX);
    let mut entries = Vec::new();
    for index in 0..n_workers {
        let entry = worker::WorkerEntry { incarnation, ..worker::WorkerEntry::default() };
        core.update_worker(id(index), entry, Duration::ZERO);
        let percent = if index.is_multiple_of(2) { 60 } else { 160 };
        entries.push(model::SpeedEntry { worker: id(index), incarnation, percent, samples: 8 });
    }
    // A row has a bounded number of entries, so that several are read.
    for workers in entries.chunks(speed_row::MAX_ENTRIES) {
        let row = model::SpeedRow { noise_percent: 20, workers: workers.to_vec() };
        core.inherit_speeds(row, Duration::ZERO);
    }
    core.admit(waiting_job(), Duration::ZERO);
    core.run_round(Duration::from_secs(1));
    core.speed_row().expect("speeds that differ")
}

fn waiting_job() -> intake::AdmittedJob {
    intake::AdmittedJob {
        graph: 1,
        row: job_with_steps(vec![step_of(1, false)]),
        version: 1,
        origin: intake::JobOrigin::Feed,
        progress: progress::SavedChunks::default(),
        inherited: false,
    }
}

fn check_speed_row(n_workers: usize, id_bytes: usize) {
    let row = speed_row_of(n_workers, id_bytes);
    let n_entries = row.workers.len();
    let n_bytes = codec::encode(&row).expect("a message").len();
    println!("{n_workers} workers, ids of {id_bytes} bytes: {n_entries} entries, {n_bytes} bytes");
    assert!(n_bytes <= speed_row::MAX_BYTES, "{n_bytes} bytes");
    assert!(n_entries <= speed_row::MAX_ENTRIES, "{n_entries} entries");
    assert!(n_entries >= n_workers.min(100), "{n_entries} entries");
}

macro_rules! speed_rows {
    ($($(#[$doc:meta])* $name:ident: $n_workers:expr, $id_bytes:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { check_speed_row($n_workers, $id_bytes); })*
    };
}

speed_rows! {
    speeds_of_350_workers_fit: 350, 12;
    speeds_of_6_000_workers_fit: 6_000, 12;
    /// Guards against a row of speeds that grows with the number of workers and the length of their ids.
    speeds_of_6_000_workers_of_the_longest_names_fit: 6_000, MAX_KEY_BYTES;
}
