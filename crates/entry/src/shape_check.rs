//! Whether any hall could ever hold a job's gang.

use almondpass_schema::model;

/// What is missing in every one of `halls`, or `None` where one is large enough when empty. The
/// scheduler judges adjacency and what an account may use; this only spares it the hopeless.
pub fn misfit(
    document: &model::ConfigDocument,
    halls: &[&model::HallLayout],
    submission: &model::JobSubmission,
) -> Option<String> {
    let n_tasks = u64::from(submission.tasks);
    let most = halls.iter().map(|it| tasks_in(document, it, submission)).max().unwrap_or(0);
    (most < n_tasks).then(|| {
        format!("expected room for {n_tasks} tasks in one hall, found at most {most} when empty")
    })
}

/// Tasks of this demand that an empty hall holds.
fn tasks_in(
    document: &model::ConfigDocument,
    hall: &model::HallLayout,
    submission: &model::JobSubmission,
) -> u64 {
    let tasks_in_rack = |rack: &model::RackLayout| {
        let kind = document.worker_kinds.iter().find(|it| it.name == rack.kind);
        kind.map_or(0, |it| tasks_on(it, submission) * u64::from(rack.workers))
    };
    hall.racks.iter().map(tasks_in_rack).sum()
}

fn tasks_on(kind: &model::WorkerKind, submission: &model::JobSubmission) -> u64 {
    let times = |whole: u64, part: u64| whole.checked_div(part).unwrap_or(u64::MAX);
    let accelerators = times(kind.accelerators.into(), submission.accelerators.into());
    let cores = times(kind.cores.into(), submission.cores.into());
    let memory = times(kind.memory_mb, submission.memory_mb);
    // A task that asks for nothing still is one task, and a worker runs only so many.
    accelerators.min(cores).min(memory).min(u32::MAX.into())
}
