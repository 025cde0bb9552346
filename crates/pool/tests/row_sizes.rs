//! How long rows get at the size to build towards and beyond.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use almondpass_graph::{core, intake, progress, save_queue, saving, timing, worker};
use almondpass_peer::codec;
use almondpass_schema::{ids, model};

/// Longest content of a row that the platform takes, in bytes.
const ROW_BYTES: usize = 65_536;

/// Longest name of a row that the platform takes; names of workers are such names.
const NAME_BYTES: usize = 200;

fn empty_core() -> core::PoolCore {
    core::PoolCore::new(core::PoolStart {
        timing: timing::PoolTiming::default(),
        catalog: Arc::default(),
        settles_at: Duration::ZERO,
    })
}

fn worker_named(index: usize) -> ids::WorkerId {
    format!("{index:0width$}", width = NAME_BYTES)
}

/// Everything that the core wants to save, by row.
fn save_all(core: &mut core::PoolCore) -> BTreeMap<save_queue::SaveRowKey, saving::SaveContent> {
    let mut saved = BTreeMap::new();
    while let Some(batch) = core.take_save_batch(Duration::ZERO, |_| true) {
        saved.extend(batch.rows.iter().map(|it| (it.key, it.content.clone())));
        core.batch_saved(batch);
    }
    saved
}

fn n_bytes(content: &saving::SaveContent) -> usize {
    let encoded = match content {
        saving::SaveContent::Progress(row) => codec::encode(row),
        saving::SaveContent::Roster(row) => codec::encode(row),
        saving::SaveContent::Removed => return 0,
    };
    encoded.expect("a message").len()
}

fn assert_all_fit(saved: &BTreeMap<save_queue::SaveRowKey, saving::SaveContent>) {
    for (key, content) in saved {
        let n_bytes = n_bytes(content);
        assert!(n_bytes <= ROW_BYTES, "{key:?}: {n_bytes} bytes");
    }
}

fn workers_in(saved: &BTreeMap<save_queue::SaveRowKey, saving::SaveContent>) -> BTreeSet<String> {
    let pages = saved.values().filter_map(|it| match it {
        saving::SaveContent::Roster(row) => Some(&row.workers),
        _ => None,
    });
    pages.flatten().map(|it| it.worker.clone()).collect()
}

/// Symptom: the store refuses the list of workers on which tasks may be. Sequence: more than about
/// 1,000 workers are listed. Cause: they stood in one row.
#[test]
fn pages_of_the_roster_fit_with_5_000_workers_of_the_longest_names() {
    let mut core = empty_core();
    for index in 0..5_000 {
        let listing = worker::WorkerEntry {
            address: "255.255.255.255:65535".to_owned(),
            upstream: "u".repeat(NAME_BYTES),
            ..worker::WorkerEntry::default()
        };
        core.update_worker(worker_named(index), listing, Duration::ZERO);
    }
    let saved = save_all(&mut core);
    assert_all_fit(&saved);
    assert_eq!(workers_in(&saved).len(), 5_000);
}

/// A change of one worker writes one page.
#[test]
fn one_worker_more_writes_one_page() {
    let mut core = empty_core();
    for index in 0..500 {
        core.update_worker(worker_named(index), worker::WorkerEntry::default(), Duration::ZERO);
    }
    save_all(&mut core);
    core.update_worker(worker_named(500), worker::WorkerEntry::default(), Duration::ZERO);
    assert_eq!(save_all(&mut core).len(), 1);
}

/// An earlier release kept all workers in the row that is now the first page.
#[test]
fn the_roster_of_an_earlier_release_is_spread_over_pages() {
    let mut core = empty_core();
    for index in 0..1_000 {
        let entry = model::RosterEntry {
            on_record: true,
            worker: worker_named(index),
            address: String::new(),
            upstream: String::new(),
        };
        core.inherit_worker(entry, 0);
    }
    let saved = save_all(&mut core);
    assert_all_fit(&saved);
    assert_eq!(workers_in(&saved).len(), 1_000);
    assert!(saved.contains_key(&save_queue::SaveRowKey::Roster { page: 0 }));
    assert_eq!(save_all(&mut core).len(), 0);
}

fn graph_step(tasks: u32, gang: bool) -> model::GraphStep {
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

fn graph_row(steps: Vec<model::GraphStep>) -> model::GraphRow {
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

/// Progress of a step at its longest: every task has failed as often as it may, has a checkpoint, and is
/// under suspicion of crashing its workers.
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
        trials: (0..tasks).map(|task| model::TaskAttempt { task, attempt: 100_028 }).collect(),
    }
}

fn inherit(core: &mut core::PoolCore, row: model::GraphRow, chunks: progress::SavedChunks) {
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

/// Symptom: the store refuses what became of a wide job, and with it all else that is saved. Cause: a
/// job had one row. An earlier release's row is divided.
#[test]
fn rows_of_the_widest_job_fit() {
    let widths = [100, 1, 6_000, 12_899];
    let steps = widths.map(|it| graph_step(it, false)).to_vec();
    let mut chunks = progress::SavedChunks::default();
    let undivided = model::ProgressRow {
        state: model::GraphState::Running,
        failure: None,
        first_step: 0,
        steps: widths.map(longest_progress).to_vec(),
    };
    chunks.insert(progress::HEAD_CHUNK, undivided.clone());
    let mut core = empty_core();
    inherit(&mut core, graph_row(steps.clone()), chunks);

    let saved = save_all(&mut core);
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
    inherit(&mut next, graph_row(steps), divided);
    assert_eq!(save_all(&mut next).len(), 0, "divided already");
}

/// Symptom: a gang runs again although it has ended. Sequence: one member's end is saved and
/// acknowledged; the scheduler ends before the rows of the other members are written. Cause: a gang
/// lies in several rows.
#[test]
fn the_end_of_one_member_is_that_of_its_gang() {
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
    inherit(&mut core, graph_row(vec![graph_step(160, true)]), chunks);
    let shown = core.state_of(1).map(|it| (it.state, it.account));
    assert_eq!(shown, Some((model::GraphState::Completed, None)));
}

/// Symptom: a job that its caller has cancelled is shown as failed. Sequence: a task behind the first
/// chunk fails for the last time after the cancelling; its chunk is saved, the head is not; another
/// scheduler takes over. Cause: the state was taken from what the tasks show.
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
    let cancelled = model::GraphRow { cancelled: true, ..graph_row(vec![graph_step(100, false)]) };
    inherit(&mut core, cancelled, chunks);
    let shown = core.state_of(1).map(|it| (it.state, it.account));
    assert_eq!(shown, Some((model::GraphState::Cancelled, None)));
}
