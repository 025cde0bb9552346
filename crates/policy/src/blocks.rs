//! Blocks that a guaranteed shape could be at home in.
//!
//! Blocks are aligned, as cells of a buddy system are: one that fits in a worker begins at a
//! multiple of its size rounded up to a power of two, a larger one at a worker. Without that, small
//! blocks would cut workers so that a task of several accelerators finds no place in a block that
//! is large enough by count.

use almondpass_schema::model;

use crate::placement;
use crate::topology::HallTopology;

/// A block and how well it fits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BlockChoice {
    /// Its accelerators, ascending.
    pub(crate) accelerators: Vec<u32>,
    /// Accelerators of its run that it leaves over.
    pub(crate) slack: u32,
}

/// Every aligned block of `size` allowed accelerators. For a shape without adjacency there is one
/// choice: the accelerators of the shortest runs.
pub(crate) fn choices(
    topology: &HallTopology,
    size: u32,
    adjacency: model::Adjacency,
    allows: impl Fn(u32) -> bool,
) -> Vec<BlockChoice> {
    if size == 0 {
        return Vec::new();
    }
    let runs = placement::free_runs(topology, adjacency, allows);
    if adjacency == model::Adjacency::Any {
        return scattered(runs, size).into_iter().collect();
    }
    let mut choices = Vec::new();
    for run in runs.into_iter().filter(|it| size <= it.len()) {
        let mut found = aligned(topology, run, size);
        if found.is_empty() {
            found.extend(unaligned(topology, run, size));
        }
        choices.extend(found.into_iter().map(|start| BlockChoice {
            accelerators: (start..start + size).collect(),
            slack: run.len() - size,
        }));
    }
    choices
}

/// Aligned starts of a block in a run.
fn aligned(topology: &HallTopology, run: placement::FreeRun, size: u32) -> Vec<u32> {
    let first = topology.worker_of[run.start as usize];
    let last = topology.worker_of[run.end as usize - 1];
    let mut starts = Vec::new();
    for worker in first..=last {
        let spec = &topology.workers[worker as usize];
        if spec.accelerators == 0 {
            continue;
        }
        let inside = size <= spec.accelerators;
        let step = if inside { size.next_power_of_two() } else { u32::MAX };
        let mut at = spec.first_accelerator;
        while at < spec.accelerators_end() {
            let end = at + size;
            let fits =
                run.start <= at && end <= run.end && (!inside || end <= spec.accelerators_end());
            if fits {
                starts.push(at);
            }
            at = at.saturating_add(step);
        }
    }
    starts
}

/// Any start that keeps a small block inside one worker.
fn unaligned(topology: &HallTopology, run: placement::FreeRun, size: u32) -> Option<u32> {
    (run.start..=run.end - size).find(|it| {
        let spec = topology.host(*it);
        size <= spec.accelerators && it + size <= spec.accelerators_end()
    })
}

/// Accelerators from the shortest runs first.
fn scattered(mut runs: Vec<placement::FreeRun>, size: u32) -> Option<BlockChoice> {
    runs.sort_by_key(|it| (it.len(), it.start));
    let total: u32 = runs.iter().map(|it| it.len()).sum();
    let mut accelerators: Vec<u32> =
        runs.iter().flat_map(|it| it.start..it.end).take(size as usize).collect();
    accelerators.sort_unstable();
    (accelerators.len() as u32 == size).then(|| BlockChoice { accelerators, slack: total - size })
}
