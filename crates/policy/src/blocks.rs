//! Candidate home blocks for a guaranteed shape.
//!
//! Blocks are aligned like the cells of a buddy allocator: a block that fits in a worker begins at a
//! multiple of its size rounded up to a power of two, and a larger block begins at the first
//! accelerator of a worker. Without alignment, small blocks would split workers so that a task of
//! several accelerators does not fit in a block that has enough accelerators by count.

use almondpass_schema::model;

use crate::placement;
use crate::topology::HallTopology;

/// A candidate block and how tightly it fits in its free run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BlockChoice {
    /// Indexes of its accelerators, ascending.
    pub(crate) accelerators: Vec<u32>,
    /// Accelerators of the free run that lie outside the block.
    pub(crate) slack: u32,
}

/// Every aligned block of `size` allowed accelerators, or an unaligned block inside one worker for
/// each run that has no aligned one. For `Adjacency::Any` there is at most one choice: the
/// accelerators of the shortest runs.
pub(crate) fn choices(
    topology: &HallTopology,
    size: u32,
    adjacency: model::Adjacency,
    allows_accelerator: impl Fn(u32) -> bool,
) -> Vec<BlockChoice> {
    if size == 0 {
        return Vec::new();
    }
    let runs = placement::free_runs(topology, adjacency, allows_accelerator);
    if adjacency == model::Adjacency::Any {
        return scattered_block(runs, size).into_iter().collect();
    }
    let mut choices = Vec::new();
    for run in runs.into_iter().filter(|it| size <= it.len()) {
        let mut found = aligned_starts(topology, run, size);
        if found.is_empty() {
            found.extend(unaligned_start(topology, run, size));
        }
        choices.extend(found.into_iter().map(|start| BlockChoice {
            accelerators: (start..start + size).collect(),
            slack: run.len() - size,
        }));
    }
    choices
}

/// Starts of the aligned blocks of `size` accelerators in a run.
fn aligned_starts(topology: &HallTopology, run: placement::FreeRun, size: u32) -> Vec<u32> {
    let first = topology.worker_of[run.start as usize];
    let last = topology.worker_of[run.end as usize - 1];
    let mut starts = Vec::new();
    for worker in first..=last {
        let spec = &topology.workers[worker as usize];
        if spec.accelerators == 0 {
            continue;
        }
        let within_worker = size <= spec.accelerators;
        let step = if within_worker { size.next_power_of_two() } else { u32::MAX };
        let mut start = spec.first_accelerator;
        while start < spec.accelerators_end() {
            let end = start + size;
            let fits = run.start <= start
                && end <= run.end
                && (!within_worker || end <= spec.accelerators_end());
            if fits {
                starts.push(start);
            }
            start = start.saturating_add(step);
        }
    }
    starts
}

/// The first start at which a block of `size` accelerators lies inside the run and one worker.
fn unaligned_start(topology: &HallTopology, run: placement::FreeRun, size: u32) -> Option<u32> {
    (run.start..=run.end - size).find(|it| {
        let spec = topology.host(*it);
        size <= spec.accelerators && it + size <= spec.accelerators_end()
    })
}

/// Takes the accelerators of the shortest runs; `None` if all runs together are too small.
fn scattered_block(mut runs: Vec<placement::FreeRun>, size: u32) -> Option<BlockChoice> {
    runs.sort_by_key(|it| (it.len(), it.start));
    let total: u32 = runs.iter().map(|it| it.len()).sum();
    let mut accelerators: Vec<u32> =
        runs.iter().flat_map(|it| it.start..it.end).take(size as usize).collect();
    accelerators.sort_unstable();
    (accelerators.len() as u32 == size).then(|| BlockChoice { accelerators, slack: total - size })
}
