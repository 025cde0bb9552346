//! The workers of a hall, and what operators drain on them, as the configuration says.

use almondpass_config::active;
use almondpass_schema::{ids, model};

/// Names of a hall's workers with their kinds, in order.
pub(crate) fn workers(
    config: &active::ActiveConfig,
    hall: &str,
) -> Vec<(ids::WorkerId, model::WorkerKind)> {
    let Some(layout) = config.hall(hall) else { return Vec::new() };
    let mut workers = Vec::new();
    for rack in &layout.racks {
        let kinds = &config.document.worker_kinds;
        let Some(kind) = kinds.iter().find(|it| it.name == rack.kind) else { continue };
        for number in 1..=rack.workers {
            let name = format!("{hall}-{}-{number:02}", rack.name);
            workers.push((name, kind.clone()));
        }
    }
    workers
}

/// Whether an operator drains the whole worker.
pub(crate) fn is_worker_drained(config: &active::ActiveConfig, worker: &str) -> bool {
    let drains = config.document.drains.iter().filter(|it| it.upstream.is_none());
    drains.into_iter().any(|it| it.worker.as_deref() == Some(worker))
}

/// Whether an operator drains an upstream on a worker.
pub(crate) fn is_upstream_drained(
    config: &active::ActiveConfig,
    upstream: &str,
    worker: &str,
) -> bool {
    let drains = &config.document.drains;
    drains.iter().any(|it| {
        it.upstream.as_deref() == Some(upstream)
            && it.worker.as_deref().is_none_or(|drained| drained == worker)
    })
}
